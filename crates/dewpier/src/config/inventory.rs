//! The table `[inventory]`: the file that lists the backends, and how it is read.

use super::check::{
    HOUR_MILLIS, InvalidValue, check_integer, check_millis, check_number, invalid, resolve_path,
};
use dewpier_inventory::reload::ReloadRules;
use dewpier_inventory::{Encoding, Format, Options};
use serde::Deserialize;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::Spanned;

/// The file that lists the backends, and how it is read.
#[derive(Clone, Debug)]
pub struct Inventory {
    /// The file's path.
    pub file: PathBuf,
    /// How its contents are parsed.
    pub options: Options,
    /// When a changed file is accepted.
    pub rules: ReloadRules,
    /// Interval between checks for changes that the operating system does not report.
    pub poll_interval: Duration,
    /// Whether host names are resolved when a list is accepted. Otherwise a list with host names is rejected.
    pub resolve_names: bool,
}

/// The table `[inventory]` as written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawInventory {
    file: Spanned<PathBuf>,
    format: Option<Spanned<String>>,
    encoding: Option<Spanned<String>>,
    group: Option<String>,
    default_port: Option<Spanned<i64>>,
    #[serde(default)]
    names: HostNames,
    settle_ms: Option<Spanned<i64>>,
    poll_ms: Option<Spanned<i64>>,
    max_vanish: Option<Spanned<f64>>,
    #[serde(default = "yes")]
    complete_end: bool,
    max_bytes: Option<Spanned<i64>>,
    max_nodes: Option<Spanned<i64>>,
}

/// The default of `complete_end`.
fn yes() -> bool {
    true
}

/// The setting `names`: whether host names are refused or looked up.
#[derive(Clone, Copy, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
enum HostNames {
    #[default]
    Refuse,
    LookUp,
}

/// Checks the table.
pub(super) fn check_inventory(raw: &RawInventory, path: &Path) -> Result<Inventory, InvalidValue> {
    let file = raw.file.get_ref();
    if file.as_os_str().is_empty() {
        return invalid(raw.file.span(), "file", "the name of a file", "''");
    }
    let (defaults, rules) = (Options::default(), ReloadRules::default());
    let span_and_name =
        |value: &Option<Spanned<String>>| value.as_ref().map(|v| (v.span(), v.get_ref().clone()));
    let format = match span_and_name(&raw.format).filter(|(_, name)| name != "auto") {
        Some((span, name)) => Some(name.parse::<Format>().map_err(|message| InvalidValue { span, message })?),
        None => None,
    };
    let encoding = match span_and_name(&raw.encoding).filter(|(_, name)| name != "auto") {
        Some((span, name)) => {
            Some(name.parse::<Encoding>().map_err(|message| InvalidValue { span, message })?)
        }
        None => None,
    };
    let default_port = check_integer(&raw.default_port, "default_port", [1, 65_535], 1)?;
    let default_port = raw.default_port.as_ref().and_then(|_| u16::try_from(default_port).ok());
    let default_settle = rules.settle_time.as_millis() as i64;
    Ok(Inventory {
        file: resolve_path(path, file),
        options: Options {
            format,
            encoding,
            group: raw.group.clone(),
            default_port,
            max_bytes: check_integer(&raw.max_bytes, "max_bytes", [1, 1 << 30], defaults.max_bytes as i64)?
                as usize,
            max_nodes: check_integer(&raw.max_nodes, "max_nodes", [1, 1 << 20], defaults.max_nodes as i64)?
                as usize,
        },
        rules: ReloadRules {
            settle_time: check_millis(&raw.settle_ms, "settle_ms", [0, 60_000], default_settle)?,
            max_missing_fraction: check_number(
                &raw.max_vanish,
                "max_vanish",
                [0.0, 1.0],
                rules.max_missing_fraction,
            )?,
            require_complete_end: raw.complete_end,
        },
        poll_interval: check_millis(&raw.poll_ms, "poll_ms", [10, HOUR_MILLIS], 2000)?,
        resolve_names: raw.names == HostNames::LookUp,
    })
}
