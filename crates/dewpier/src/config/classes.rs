//! The tables `[[class]]`: which requests there are, and what they may be done with.

use super::check::{HOUR, Wrong, millis, number, wrong};
use dewpier_http::routes::Route;
use gannetproxy::{Class, DedupGroup, Effect};
use hyper::Method;
use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;

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

#[derive(Clone, Copy, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
enum RawEffect {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum RawGroup {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawMatch {
    #[serde(default)]
    methods: Vec<Spanned<String>>,
    path: Option<Spanned<String>>,
}

/// Classes, their names, and which requests belong to which.
pub(super) struct Classes {
    pub(super) classes: Vec<Class>,
    pub(super) names: Vec<String>,
    pub(super) routes: Vec<Route>,
}

/// The classes that are set, and those of what fits none of them.
pub(super) fn classes(raws: &[RawClass]) -> Result<Classes, Wrong> {
    let (mut classes, mut names, mut routes) = (Vec::new(), Vec::new(), Vec::new());
    for raw in raws {
        if names.contains(raw.name.get_ref()) || raw.name.get_ref().is_empty() {
            let found = format!("'{}'", raw.name.get_ref());
            return wrong(raw.name.span(), "name of a class", "a name that no other class has", found);
        }
        for matched in &raw.matches {
            routes.push(route(matched, classes.len())?);
        }
        names.push(raw.name.get_ref().clone());
        classes.push(class(raw)?);
    }
    // What no rule fits is safe where the standard says so (RFC 9110, 9.2.1), else unsafe: that
    // a server could bear a repeat of anything else is for its operator to say.
    let plain =
        |effect| Class { aim: 5.0, deadline: 15.0, late_worth: 0.5, worth: 1.0, effect, in_order: false };
    let any = |methods: Vec<Method>, class| Route { methods, prefix: "/".into(), class };
    let safe = vec![Method::GET, Method::HEAD, Method::OPTIONS];
    routes.extend([any(safe, classes.len()), any(Vec::new(), classes.len() + 1)]);
    names.extend(["default-safe".into(), "default-unsafe".into()]);
    classes.extend([plain(Effect::Safe), plain(Effect::Unsafe)]);
    Ok(Classes { classes, names, routes })
}

fn class(raw: &RawClass) -> Result<Class, Wrong> {
    let seconds = |value: Duration| value.as_secs_f64();
    let deadline = millis(&raw.deadline_ms, "deadline_ms", [1, 24 * HOUR], 15_000)?;
    let most = deadline.as_millis() as i64;
    let effect = match (raw.effect, &raw.window_ms) {
        (RawEffect::Safe, None) => Effect::Safe,
        (RawEffect::Unsafe, None) => Effect::Unsafe,
        (RawEffect::Keyed, Some(_)) => Effect::Keyed {
            group: match raw.group.unwrap_or(RawGroup::All) {
                RawGroup::All => DedupGroup::All,
                RawGroup::Zone => DedupGroup::Zone,
                RawGroup::Cell => DedupGroup::Cell,
            },
            window: seconds(millis(&raw.window_ms, "window_ms", [1, 24 * HOUR], 1)?),
        },
        (RawEffect::Keyed, None) => {
            let expected = "for how long backends drop the repeats of a key";
            return wrong(raw.name.span(), "window_ms", expected, "nothing, in a keyed class");
        }
        (_, Some(window)) => {
            return wrong(window.span(), "window_ms", "none", "one, in a class without keys");
        }
    };
    Ok(Class {
        aim: seconds(millis(&raw.aim_ms, "aim_ms", [1, most], (most / 3).max(1))?),
        deadline: seconds(deadline),
        late_worth: number(&raw.late_worth, "late_worth", [0.0, 1.0], 0.5)?,
        worth: number(&raw.worth, "worth", [0.0, 1e6], 1.0)?,
        effect,
        in_order: false,
    })
}

fn route(raw: &RawMatch, class: usize) -> Result<Route, Wrong> {
    let mut methods = Vec::new();
    for method in &raw.methods {
        let upper = method.get_ref().bytes().all(|b| b.is_ascii_uppercase() || b == b'-');
        match Method::from_bytes(method.get_ref().as_bytes()) {
            Ok(known) if upper => methods.push(known),
            _ => {
                let found = format!("'{}'", method.get_ref());
                return wrong(method.span(), "methods", "a method in capitals, such as GET", found);
            }
        }
    }
    let prefix = match &raw.path {
        None => "/".to_string(),
        Some(path) if path.get_ref().starts_with('/') => path.get_ref().clone(),
        Some(path) => {
            return wrong(path.span(), "path", "one that begins with /", format!("'{}'", path.get_ref()));
        }
    };
    Ok(Route { methods, prefix, class })
}
