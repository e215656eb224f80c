//! Detects the format of a file and dispatches to the format's parser.

mod ansible;
mod csv;
mod file_sd;
mod list;

use crate::error::{Fault, Problem, RawPosition};
use crate::fields::{Fields, Raw};
use crate::yaml::{self, Node};
use crate::{Inventory, InventoryError, Options, Position, encoding};
use std::fmt;
use std::str::FromStr;

/// Maximum number of values in a YAML file per permitted node.
const MAX_VALUES_PER_NODE: usize = 16;

/// The format of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// A table with a header and separators: RFC 4180 with commas, semicolons or tabs.
    Csv,
    /// An Ansible inventory in YAML.
    Ansible,
    /// Prometheus target groups, in YAML or JSON.
    FileSd,
    /// A list of nodes, in YAML or JSON.
    List,
}

impl Format {
    const ALL: [Self; 4] = [Self::Csv, Self::Ansible, Self::FileSd, Self::List];

    /// The name in settings and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Csv => "csv",
            Self::Ansible => "ansible",
            Self::FileSd => "file_sd",
            Self::List => "list",
        }
    }
}

impl fmt::Display for Format {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Format {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        let known = Self::ALL.into_iter().find(|f| f.name() == name);
        known.ok_or_else(|| format!("expected csv, ansible, file_sd or list, found '{name}'"))
    }
}

/// Parses and validates a whole file, or returns the first error. `name` is the file's name; its extension
/// selects CSV or YAML if the options give no format. Of a file over the size limit, the first
/// `max_bytes + 1` bytes suffice.
pub fn read(bytes: &[u8], name: &str, options: &Options) -> Result<Inventory, InventoryError> {
    if bytes.len() > options.max_bytes {
        let (unit, max, found) = ("bytes", options.max_bytes, format!("{} or more", bytes.len()));
        return Err(InventoryError { at: START, problem: Problem::LimitExceeded { unit, max, found } });
    }
    let (text, encoding) = encoding::decode(bytes, options.encoding)?;
    let has_complete_end = text.is_empty() || text.ends_with('\n');
    let end = Position::of_offset(&text, text.len());
    let is_table = match options.format {
        Some(format) => format == Format::Csv,
        None => looks_like_table(name, &text),
    };
    let check_group = |format: Format| match &options.group {
        Some(group) if format != Format::Ansible => {
            let (subject, expected) = (format!("group '{group}'"), "an Ansible inventory".to_string());
            Err(Problem::Value { subject, expected, found: format!("the form {format}") })
        }
        _ => Ok(()),
    };
    if is_table {
        check_group(Format::Csv).map_err(|problem| InventoryError { at: START, problem })?;
        let (backends, ignored_fields) = csv::read(&text, options)?;
        return Ok(Inventory {
            format: Format::Csv,
            encoding,
            backends,
            has_complete_end,
            end,
            ignored_fields,
        });
    }
    let max_values = options.max_nodes.saturating_mul(MAX_VALUES_PER_NODE);
    let to_position = |raw: RawPosition| Position { line: raw.0, column: raw.1 };
    let parsed = yaml::parse(&text, max_values).and_then(|root| {
        let Some(root) = root.filter(|root| !root.is_null()) else {
            return Err(Fault::new(RawPosition(1, 1), Problem::Empty { found: "an empty document".into() }));
        };
        let format = options.format.unwrap_or_else(|| detect_yaml_format(&root));
        check_group(format).map_err(|problem| Fault::new(RawPosition(1, 1), problem))?;
        let (backends, ignored_fields) = match format {
            Format::Ansible => ansible::read(&root, options)?,
            Format::FileSd => file_sd::read(&root, options)?,
            Format::List | Format::Csv => list::read(&root, options)?,
        };
        Ok((format, backends, ignored_fields))
    });
    let (format, backends, ignored_fields) = parsed.map_err(|fault| fault.into_error(to_position))?;
    // The closing bracket of the whole document is a complete end too.
    let has_complete_end = has_complete_end || text.starts_with(['[', '{']) && text.ends_with([']', '}']);
    Ok(Inventory { format, encoding, backends, has_complete_end, end, ignored_fields })
}

/// The position of errors that concern the whole file.
const START: Position = Position { line: 1, column: 1 };

/// Whether a file is a table, by its extension or else by its first line.
fn looks_like_table(name: &str, text: &str) -> bool {
    let extension = name.rsplit('.').next().unwrap_or_default().to_ascii_lowercase();
    match extension.as_str() {
        "csv" | "tsv" | "tab" => true,
        "yaml" | "yml" | "json" => false,
        _ => csv::has_header(text),
    }
}

/// Detects the format of a YAML document.
fn detect_yaml_format(root: &Node) -> Format {
    use yaml::Kind;
    match &root.kind {
        Kind::List(items) if items.iter().any(|item| item.get("targets").is_some()) => Format::FileSd,
        Kind::Map(_) if list::find_list(root).is_none() => Format::Ansible,
        _ => Format::List,
    }
}

/// The unambiguous text of a scalar; None for null. `subject` names the field in errors.
fn field_value<'a>(node: &'a Node, subject: &str) -> Result<Option<Raw<'a>>, Fault> {
    let Some(scalar) = node.scalar() else {
        return Err(Fault::value(node.at, subject, "a plain value", node.describe()));
    };
    if scalar.is_null() {
        return Ok(None);
    }
    Ok(Some(Raw { text: scalar.unambiguous_text(node.at, subject)?, at: node.at }))
}

/// The text of a scalar that is a weight, which may be a decimal number; None for null.
fn weight_value(node: &Node) -> Result<Option<Raw<'_>>, Fault> {
    match node.scalar() {
        Some(scalar) if !scalar.is_null() => Ok(Some(Raw { text: &scalar.text, at: node.at })),
        _ => field_value(node, "weight"),
    }
}

/// Sets the field with this name. Returns whether such a field exists.
fn set_field<'a>(fields: &mut Fields<'a>, name: &str, node: &'a Node) -> Result<bool, Fault> {
    let (field, raw) = match name {
        "id" => (&mut fields.id, field_value(node, name)?),
        "address" => (&mut fields.address, field_value(node, name)?),
        "host" => (&mut fields.host, field_value(node, name)?),
        "port" => (&mut fields.port, field_value(node, name)?),
        "zone" => (&mut fields.zone, field_value(node, name)?),
        "cell" => (&mut fields.cell, field_value(node, name)?),
        "weight" => (&mut fields.weight, weight_value(node)?),
        "state" => (&mut fields.state, field_value(node, name)?),
        _ => return Ok(false),
    };
    *field = raw;
    Ok(true)
}

/// Distinct names of ignored columns or keys, in the order of their first occurrence.
#[derive(Default)]
struct IgnoredFields(Vec<String>);

/// Maximum number of ignored names that are reported.
const MAX_IGNORED_FIELDS: usize = 64;

impl IgnoredFields {
    fn add(&mut self, name: &str) {
        if self.0.len() < MAX_IGNORED_FIELDS && !self.0.iter().any(|known| known == name) {
            self.0.push(name.to_string());
        }
    }
}
