//! Assigns a request class to plain HTTP requests by method and path. No I/O.

use hyper::Method;

/// A rule that assigns a class to matching requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The methods that match. An empty list matches any method.
    pub methods: Vec<Method>,
    /// The path prefix that matches, in whole segments: `/quotes` matches `/quotes` and `/quotes/7`, but not
    /// `/quotes-old`.
    pub prefix: String,
    /// The index of the class.
    pub class: usize,
}

/// An ordered list of rules, of which the first match applies.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Routes(Vec<Route>);

impl Routes {
    /// Creates the list from `routes` in order of precedence.
    pub fn new(routes: Vec<Route>) -> Self {
        Self(routes)
    }

    /// Returns the class of a request, or `None` if no rule matches.
    pub fn find_class(&self, method: &Method, path: &str) -> Option<usize> {
        let matches = |route: &&Route| {
            (route.methods.is_empty() || route.methods.contains(method))
                && has_path_prefix(path, &route.prefix)
        };
        self.0.iter().find(matches).map(|route| route.class)
    }
}

fn has_path_prefix(path: &str, prefix: &str) -> bool {
    let prefix = prefix.strip_suffix('/').unwrap_or(prefix);
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
