//! The forms that files may have, and which one a file has.

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

/// Values of a YAML file for each node that it may list.
const VALUES_PER_ROW: usize = 16;

/// The form of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// A table as spreadsheets write it.
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

    /// Its name in settings and on the command line.
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

/// Reads a file whole, or says why not. One that is over its bound need not be given whole: a byte
/// more than may be is enough. `name` is the file's name, whose ending tells CSV from
/// YAML where the options don't.
pub fn read(bytes: &[u8], name: &str, options: &Options) -> Result<Inventory, InventoryError> {
    if bytes.len() > options.max_bytes {
        let (what, max, found) = ("bytes", options.max_bytes, format!("{} or more", bytes.len()));
        return Err(InventoryError { at: START, problem: Problem::LimitExceeded { what, max, found } });
    }
    let (text, encoding) = encoding::decode(bytes, options.encoding)?;
    let has_complete_end = text.is_empty() || text.ends_with('\n');
    let end = Position::of_offset(&text, text.len());
    let tabular = match options.format {
        Some(format) => format == Format::Csv,
        None => looks_tabular(name, &text),
    };
    let only_ansible = |format: Format| match &options.group {
        Some(group) if format != Format::Ansible => {
            let (what, expected) = (format!("group '{group}'"), "an Ansible inventory".to_string());
            Err(Problem::Value { what, expected, found: format!("the form {format}") })
        }
        _ => Ok(()),
    };
    if tabular {
        only_ansible(Format::Csv).map_err(|problem| InventoryError { at: START, problem })?;
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
    let max_values = options.max_nodes.saturating_mul(VALUES_PER_ROW);
    let place = |spot: RawPosition| Position { line: spot.0, column: spot.1 };
    let parsed = yaml::parse(&text, max_values).and_then(|root| {
        let Some(root) = root.filter(|root| !root.is_null()) else {
            return Err(Fault::new(RawPosition(1, 1), Problem::Empty { found: "an empty document".into() }));
        };
        let format = options.format.unwrap_or_else(|| shape(&root));
        only_ansible(format).map_err(|problem| Fault::new(RawPosition(1, 1), problem))?;
        let (backends, ignored_fields) = match format {
            Format::Ansible => ansible::read(&root, options)?,
            Format::FileSd => file_sd::read(&root, options)?,
            Format::List | Format::Csv => list::read(&root, options)?,
        };
        Ok((format, backends, ignored_fields))
    });
    let (format, backends, ignored_fields) = parsed.map_err(|fault| fault.placed(place))?;
    // A closed bracket around all of it shows the end as well as the end of a line does.
    let has_complete_end = has_complete_end || text.starts_with(['[', '{']) && text.ends_with([']', '}']);
    Ok(Inventory { format, encoding, backends, has_complete_end, end, ignored_fields })
}

const START: Position = Position { line: 1, column: 1 };

fn looks_tabular(name: &str, text: &str) -> bool {
    let ending = name.rsplit('.').next().unwrap_or_default().to_ascii_lowercase();
    match ending.as_str() {
        "csv" | "tsv" | "tab" => true,
        "yaml" | "yml" | "json" => false,
        _ => csv::has_header(text),
    }
}

/// Which of the YAML forms a document has.
fn shape(root: &Node) -> Format {
    use yaml::Kind;
    match &root.kind {
        Kind::List(items) if items.iter().any(|item| item.get("targets").is_some()) => Format::FileSd,
        Kind::Map(_) if list::under(root).is_none() => Format::Ansible,
        _ => Format::List,
    }
}

/// A scalar as the value of a field: None where nothing is written.
fn value<'a>(node: &'a Node, what: &str) -> Result<Option<Raw<'a>>, Fault> {
    let Some(scalar) = node.scalar() else {
        return Err(Fault::value(node.at, what, "a plain value", node.described()));
    };
    if scalar.is_null() {
        return Ok(None);
    }
    Ok(Some(Raw { text: scalar.certain(node.at, what)?, at: node.at }))
}

/// The same for a weight: a decimal number is no doubtful one there.
fn weight(node: &Node) -> Result<Option<Raw<'_>>, Fault> {
    match node.scalar() {
        Some(scalar) if !scalar.is_null() => Ok(Some(Raw { text: &scalar.text, at: node.at })),
        _ => value(node, "weight"),
    }
}

/// Sets the field of that name, and tells whether there is one.
fn set<'a>(fields: &mut Fields<'a>, name: &str, node: &'a Node) -> Result<bool, Fault> {
    let (field, raw) = match name {
        "id" => (&mut fields.id, value(node, name)?),
        "address" => (&mut fields.address, value(node, name)?),
        "host" => (&mut fields.host, value(node, name)?),
        "port" => (&mut fields.port, value(node, name)?),
        "zone" => (&mut fields.zone, value(node, name)?),
        "cell" => (&mut fields.cell, value(node, name)?),
        "weight" => (&mut fields.weight, weight(node)?),
        "state" => (&mut fields.state, value(node, name)?),
        _ => return Ok(false),
    };
    *field = raw;
    Ok(true)
}

/// Names that were passed over, each once, in the order in which they came.
#[derive(Default)]
struct IgnoredFields(Vec<String>);

/// So many of them are told of.
const MAX_IGNORED_FIELDS: usize = 64;

impl IgnoredFields {
    fn add(&mut self, name: &str) {
        if self.0.len() < MAX_IGNORED_FIELDS && !self.0.iter().any(|known| known == name) {
            self.0.push(name.to_string());
        }
    }
}
