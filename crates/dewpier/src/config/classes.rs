//! The tables `[[class]]`: request classes, and which requests belong to each.

use super::check::{HOUR_MILLIS, InvalidValue, check_millis, check_number, invalid};
use dewpier_http::routes::Route;
use gannetproxy::{Class, DedupGroup, Effect};
use hyper::Method;
use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;

/// A table `[[class]]` as written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawClass {
    name: Spanned<String>,
    effect: RawEffect,
    aim_ms: Option<Spanned<i64>>,
    deadline_ms: Option<Spanned<i64>>,
    worth: Option<Spanned<f64>>,
    late_worth: Option<Spanned<f64>>,
    window_ms: Option<Spanned<i64>>,
    group: Option<RawGroup>,
    #[serde(default, rename = "match")]
    matches: Vec<RawMatch>,
}

/// The setting `effect`: whether requests of the class may be repeated.
#[derive(Clone, Copy, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
enum RawEffect {
    Safe,
    Keyed,
    Unsafe,
}

/// The setting `group`: which backends share the keys of a keyed class.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum RawGroup {
    All,
    Zone,
    Cell,
}

/// An entry of `match` as written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawMatch {
    #[serde(default)]
    methods: Vec<Spanned<String>>,
    path: Option<Spanned<String>>,
}

/// The checked classes with their names, and the routes that assign requests to them.
pub(super) struct Classes {
    pub(super) classes: Vec<Class>,
    pub(super) names: Vec<String>,
    pub(super) routes: Vec<Route>,
}

/// Checks the configured classes and adds the default classes for requests that match none of them.
pub(super) fn check_classes(raws: &[RawClass]) -> Result<Classes, InvalidValue> {
    let (mut classes, mut names, mut routes) = (Vec::new(), Vec::new(), Vec::new());
    for raw in raws {
        if names.contains(raw.name.get_ref()) || raw.name.get_ref().is_empty() {
            let found = format!("'{}'", raw.name.get_ref());
            return invalid(raw.name.span(), "name of a class", "a name that no other class has", found);
        }
        for raw_match in &raw.matches {
            routes.push(check_route(raw_match, classes.len())?);
        }
        names.push(raw.name.get_ref().clone());
        classes.push(check_class(raw)?);
    }
    // Requests that match no class are safe if their method is (RFC 9110, 9.2.1) and unsafe otherwise: only the
    // operator can know whether a server tolerates repeats of other methods.
    let default_class =
        |effect| Class { aim: 5.0, deadline: 15.0, late_worth: 0.5, worth: 1.0, effect, in_order: false };
    let any_path = |methods: Vec<Method>, class| Route { methods, prefix: "/".into(), class };
    let safe_methods = vec![Method::GET, Method::HEAD, Method::OPTIONS];
    routes.extend([any_path(safe_methods, classes.len()), any_path(Vec::new(), classes.len() + 1)]);
    names.extend(["default-safe".into(), "default-unsafe".into()]);
    classes.extend([default_class(Effect::Safe), default_class(Effect::Unsafe)]);
    Ok(Classes { classes, names, routes })
}

/// Checks one class.
fn check_class(raw: &RawClass) -> Result<Class, InvalidValue> {
    let seconds = |value: Duration| value.as_secs_f64();
    let deadline = check_millis(&raw.deadline_ms, "deadline_ms", [1, 24 * HOUR_MILLIS], 15_000)?;
    let deadline_millis = deadline.as_millis() as i64;
    let effect = match (raw.effect, &raw.window_ms) {
        (RawEffect::Safe, None) => Effect::Safe,
        (RawEffect::Unsafe, None) => Effect::Unsafe,
        (RawEffect::Keyed, Some(_)) => Effect::Keyed {
            group: match raw.group.unwrap_or(RawGroup::All) {
                RawGroup::All => DedupGroup::All,
                RawGroup::Zone => DedupGroup::Zone,
                RawGroup::Cell => DedupGroup::Cell,
            },
            window: seconds(check_millis(&raw.window_ms, "window_ms", [1, 24 * HOUR_MILLIS], 1)?),
        },
        (RawEffect::Keyed, None) => {
            let expected = "for how long backends drop the repeats of a key";
            return invalid(raw.name.span(), "window_ms", expected, "nothing, in a keyed class");
        }
        (_, Some(window)) => {
            return invalid(window.span(), "window_ms", "none", "one, in a class without keys");
        }
    };
    Ok(Class {
        aim: seconds(check_millis(
            &raw.aim_ms,
            "aim_ms",
            [1, deadline_millis],
            (deadline_millis / 3).max(1),
        )?),
        deadline: seconds(deadline),
        late_worth: check_number(&raw.late_worth, "late_worth", [0.0, 1.0], 0.5)?,
        worth: check_number(&raw.worth, "worth", [0.0, 1e6], 1.0)?,
        effect,
        in_order: false,
    })
}

/// Checks one entry of `match`.
fn check_route(raw: &RawMatch, class: usize) -> Result<Route, InvalidValue> {
    let mut methods = Vec::new();
    for method in &raw.methods {
        let is_upper_case = method.get_ref().bytes().all(|b| b.is_ascii_uppercase() || b == b'-');
        match Method::from_bytes(method.get_ref().as_bytes()) {
            Ok(parsed) if is_upper_case => methods.push(parsed),
            _ => {
                let found = format!("'{}'", method.get_ref());
                return invalid(method.span(), "methods", "a method in capitals, such as GET", found);
            }
        }
    }
    let prefix = match &raw.path {
        None => "/".to_string(),
        Some(path) if path.get_ref().starts_with('/') => path.get_ref().clone(),
        Some(path) => {
            return invalid(path.span(), "path", "one that begins with /", format!("'{}'", path.get_ref()));
        }
    };
    Ok(Route { methods, prefix, class })
}
