//! Tests the assignment of plain HTTP requests to classes.

use dewpier_http::routes::{Route, Routes};
use hyper::Method;

#[test]
fn first_matching_rule_determines_the_class() {
    let route = |methods: &[Method], prefix: &str, class| Route {
        methods: methods.to_vec(),
        prefix: prefix.into(),
        class,
    };
    let routes = Routes::new(vec![
        route(&[Method::POST], "/quotes", 0),
        route(&[], "/quotes/old/", 1),
        route(&[Method::GET, Method::HEAD], "/", 2),
    ]);
    for (method, path, class) in [
        (Method::POST, "/quotes", Some(0)),
        (Method::POST, "/quotes/7", Some(0)),
        (Method::POST, "/quotes-old", None),
        (Method::GET, "/quotes-old", Some(2)),
        (Method::GET, "/quotes/old", Some(1)),
        (Method::GET, "/quotes/old/3", Some(1)),
        (Method::GET, "/", Some(2)),
        (Method::DELETE, "/", None),
    ] {
        assert_eq!(routes.find_class(&method, path), class, "{method} {path}");
    }
}
