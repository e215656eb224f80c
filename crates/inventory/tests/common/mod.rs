//! Writes lists of nodes in every supported format and encoding.
#![allow(dead_code)]

use dewpier_inventory::{Backend, Encoding, Format, Options, State};

/// The style of a table.
#[derive(Clone, Copy, Debug)]
pub struct Table {
    pub separator: char,
    /// Lines end in CRLF instead of LF.
    pub crlf: bool,
    /// All values in quotes.
    pub quote_all: bool,
    /// Host and port in separate columns.
    pub split_port: bool,
    /// Columns in reverse order.
    pub reverse_columns: bool,
}

/// Quotes a value of a table if necessary or requested.
fn quote_value(text: &str, table: &Table) -> String {
    let must_quote = text.contains([table.separator, '"', '\n', '\r']);
    match table.quote_all || must_quote {
        true => format!("\"{}\"", text.replace('"', "\"\"")),
        false => text.to_string(),
    }
}

/// Writes a table with an additional comment column and an unknown column.
pub fn write_csv(backends: &[Backend], table: &Table) -> String {
    let mut names = vec!["Id", "Zone", "cell", "Weight", "STATE", "Comment", "rack"];
    names.extend(if table.split_port { ["host", "port"].as_slice() } else { ["address"].as_slice() });
    let backend_row = |b: &Backend| {
        let mut row = vec![
            b.id.clone(),
            b.zone.to_string(),
            b.cell.to_string(),
            b.weight.to_string(),
            b.state.name().to_uppercase(),
            "Бұл түйін \"жылы\", ескерту".into(),
            "r7".into(),
        ];
        match table.split_port {
            true => row.extend([host_text(b), b.address.port.to_string()]),
            false => row.push(b.address.to_string()),
        }
        row
    };
    let mut rows = vec![names.into_iter().map(String::from).collect::<Vec<_>>()];
    rows.extend(backends.iter().map(backend_row));
    if table.reverse_columns {
        rows.iter_mut().for_each(|row| row.reverse());
    }
    let line_end = if table.crlf { "\r\n" } else { "\n" };
    let format_line = |row: Vec<String>| {
        let values: Vec<String> = row.iter().map(|value| quote_value(value, table)).collect();
        values.join(&table.separator.to_string()) + line_end
    };
    rows.into_iter().map(format_line).collect()
}

/// The host of a backend as text.
fn host_text(b: &Backend) -> String {
    match &b.address.host {
        dewpier_inventory::Host::Ip(ip) => ip.to_string(),
        dewpier_inventory::Host::Name(name) => name.clone(),
    }
}

/// Writes a JSON string.
fn json_string(text: &str) -> String {
    let mut out = String::from('"');
    for c in text.chars() {
        match c {
            '"' | '\\' => out.extend(['\\', c]),
            c => out.push(c),
        }
    }
    out + "\""
}

/// Writes a YAML list with an additional unknown key.
pub fn write_list(backends: &[Backend]) -> String {
    let format_node = |b: &Backend| {
        format!(
            "- id: {}\n  address: {}\n  zone: {}\n  cell: {}\n  weight: {:?}\n  state: {}\n  owner: someone # жазба\n",
            json_string(&b.id),
            json_string(&b.address.to_string()),
            json_string(&b.zone),
            b.cell,
            b.weight,
            b.state.name()
        )
    };
    backends.iter().map(format_node).collect()
}

/// Writes Prometheus target groups, one for each backend, as a group with an id has one target.
pub fn write_file_sd(backends: &[Backend]) -> String {
    let format_group = |b: &Backend| {
        format!(
            "{{\"targets\": [{}], \"labels\": {{\"id\": {}, \"zone\": {}, \"cell\": \"{}\", \"weight\": \"{}\", \
             \"state\": \"{}\", \"job\": \"pricing\"}}}}",
            json_string(&b.address.to_string()),
            json_string(&b.id),
            json_string(&b.zone),
            b.cell,
            b.weight,
            b.state.name()
        )
    };
    format!("[{}]", backends.iter().map(format_group).collect::<Vec<_>>().join(",\n "))
}

/// Writes an Ansible inventory with a group for each state, which sets the variable `state`.
pub fn write_ansible(backends: &[Backend]) -> String {
    let mut text = "all:\n  vars:\n    cell: 0\n    ansible_user: deploy\n  children:\n".to_string();
    for state in [State::Serving, State::Draining] {
        let members: Vec<&Backend> = backends.iter().filter(|b| b.state == state).collect();
        if members.is_empty() {
            continue;
        }
        text += &format!("    {0}_ones:\n      vars:\n        state: {0}\n      hosts:\n", state.name());
        for b in members {
            text += &format!(
                "        {}:\n          ansible_host: {}\n          ansible_port: {}\n          zone: {}\n          \
                 weight: {:?}\n          cell: {}\n",
                json_string(&b.id),
                json_string(&host_text(b)),
                b.address.port,
                json_string(&b.zone),
                b.weight,
                b.cell
            );
        }
    }
    text
}

/// Writes the list in every format, and tables in every style.
pub fn write_all_formats(backends: &[Backend]) -> Vec<(Format, String)> {
    let mut files = vec![
        (Format::List, write_list(backends)),
        (Format::FileSd, write_file_sd(backends)),
        (Format::Ansible, write_ansible(backends)),
    ];
    for bits in 0..16 {
        let bit = |n: u32| bits & (1 << n) != 0;
        for separator in [',', ';', '\t'] {
            let table = Table {
                separator,
                crlf: bit(0),
                quote_all: bit(1),
                split_port: bit(2),
                reverse_columns: bit(3),
            };
            files.push((Format::Csv, write_csv(backends, &table)));
        }
    }
    files
}

/// Encodes a text; None if the encoding lacks one of its characters. `mark` adds a byte order mark in UTF-8; UTF-16
/// always has one.
pub fn encode(text: &str, encoding: Encoding, mark: bool) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    match encoding {
        Encoding::Utf8 => {
            bytes.extend(if mark { [0xef, 0xbb, 0xbf].as_slice() } else { &[] });
            bytes.extend(text.as_bytes());
        }
        Encoding::Utf16Le => {
            bytes.extend([0xff, 0xfe]);
            text.encode_utf16().for_each(|unit| bytes.extend(unit.to_le_bytes()));
        }
        Encoding::Utf16Be => {
            bytes.extend([0xfe, 0xff]);
            text.encode_utf16().for_each(|unit| bytes.extend(unit.to_be_bytes()));
        }
        Encoding::Windows1251 | Encoding::Kz1048 => {
            for c in text.chars() {
                bytes.push(encode_single_byte(c, encoding)?);
            }
        }
    }
    Some(bytes)
}

/// Encodes a character in Windows-1251 or KZ-1048: ASCII, Cyrillic, and the Kazakh letters that the encoding has.
fn encode_single_byte(c: char, encoding: Encoding) -> Option<u8> {
    const KAZAKH_LETTERS: &str = "ҚҺқһҰұӘӨҒҮІіөғәҢңү";
    const KAZAKH_BYTES: [u8; 18] = [
        0x8d, 0x8e, 0x9d, 0x9e, 0xa1, 0xa2, 0xa3, 0xa5, 0xaa, 0xaf, 0xb2, 0xb3, 0xb4, 0xba, 0xbc, 0xbd, 0xbe,
        0xbf,
    ];
    match c {
        '\0'..='\x7f' => Some(c as u8),
        'А'..='я' => Some((c as u32 - 'А' as u32 + 0xc0) as u8),
        'І' if encoding == Encoding::Windows1251 => Some(0xb2),
        'і' if encoding == Encoding::Windows1251 => Some(0xb3),
        _ if encoding == Encoding::Kz1048 => {
            KAZAKH_LETTERS.chars().position(|k| k == c).map(|index| KAZAKH_BYTES[index])
        }
        _ => None,
    }
}

/// A file name with the extension of a format.
pub fn file_name(format: Format) -> &'static str {
    match format {
        Format::Csv => "nodes.csv",
        Format::FileSd => "targets.json",
        Format::Ansible | Format::List => "nodes.yaml",
    }
}

/// Parses a UTF-8 text with default options.
pub fn read(
    name: &str,
    text: &str,
) -> Result<dewpier_inventory::Inventory, dewpier_inventory::InventoryError> {
    dewpier_inventory::read(text.as_bytes(), name, &Options::default())
}

/// The backends sorted by id and without their positions in the file.
pub fn without_positions(backends: &[Backend]) -> Vec<Backend> {
    let mut copies = backends.to_vec();
    copies.iter_mut().for_each(|b| b.at = Default::default());
    copies.sort_by(|a, b| a.id.cmp(&b.id));
    copies
}
