//! The table `[inventory]`.

use super::check::{HOUR, Wrong, beside, millis, number, whole, wrong};
use dewpier_inventory::reload::Rules;
use dewpier_inventory::{Encoding, Format, Options};
use serde::Deserialize;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::Spanned;

/// The file that lists the backends, and how it is read.
#[derive(Clone, Debug)]
pub struct Inventory {
    /// The file.
    pub file: PathBuf,
    /// How its text is read.
    pub options: Options,
    /// When it is read and taken.
    pub rules: Rules,
    /// How often it is looked at where the system tells of no change.
    pub poll: Duration,
    /// Host names are looked up when a list is taken; otherwise a list with names is refused.
    pub names: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawInventory {
    file: Spanned<PathBuf>,
    format: Option<Spanned<String>>,
    encoding: Option<Spanned<String>>,
    group: Option<String>,
    default_port: Option<Spanned<i64>>,
    #[serde(default)]
    names: Names,
    settle_ms: Option<Spanned<i64>>,
    poll_ms: Option<Spanned<i64>>,
    max_vanish: Option<Spanned<f64>>,
    #[serde(default = "yes")]
    complete_end: bool,
    max_bytes: Option<Spanned<i64>>,
    max_nodes: Option<Spanned<i64>>,
}

fn yes() -> bool {
    true
}

#[derive(Clone, Copy, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
enum Names {
    #[default]
    Refuse,
    LookUp,
}

pub(super) fn inventory(raw: &RawInventory, path: &Path) -> Result<Inventory, Wrong> {
    let file = raw.file.get_ref();
    if file.as_os_str().is_empty() {
        return wrong(raw.file.span(), "file", "the name of a file", "''");
    }
    let (defaults, rules) = (Options::default(), Rules::default());
    let named = |value: &Option<Spanned<String>>| value.as_ref().map(|v| (v.span(), v.get_ref().clone()));
    let format = match named(&raw.format).filter(|(_, name)| name != "auto") {
        Some((span, name)) => Some(name.parse::<Format>().map_err(|message| Wrong { span, message })?),
        None => None,
    };
    let encoding = match named(&raw.encoding).filter(|(_, name)| name != "auto") {
        Some((span, name)) => Some(name.parse::<Encoding>().map_err(|message| Wrong { span, message })?),
        None => None,
    };
    let default_port = whole(&raw.default_port, "default_port", [1, 65_535], 1)?;
    let default_port = raw.default_port.as_ref().and_then(|_| u16::try_from(default_port).ok());
    let settle = rules.settle.as_millis() as i64;
    Ok(Inventory {
        file: beside(path, file),
        options: Options {
            format,
            encoding,
            group: raw.group.clone(),
            default_port,
            max_bytes: whole(&raw.max_bytes, "max_bytes", [1, 1 << 30], defaults.max_bytes as i64)? as usize,
            max_rows: whole(&raw.max_nodes, "max_nodes", [1, 1 << 20], defaults.max_rows as i64)? as usize,
        },
        rules: Rules {
            settle: millis(&raw.settle_ms, "settle_ms", [0, 60_000], settle)?,
            max_vanish: number(&raw.max_vanish, "max_vanish", [0.0, 1.0], rules.max_vanish)?,
            complete_end: raw.complete_end,
        },
        poll: millis(&raw.poll_ms, "poll_ms", [10, HOUR], 2000)?,
        names: raw.names == Names::LookUp,
    })
}
