//! Writes lists of nodes in every form and encoding that is read.
#![allow(dead_code)]

use dewpier_inventory::{Backend, Encoding, Format, Options, State};

/// How a table is written.
#[derive(Clone, Copy, Debug)]
pub struct Table {
    pub separator: char,
    pub crlf: bool,
    pub quoted: bool,
    pub split_port: bool,
    pub turned: bool,
}

fn quote(text: &str, table: &Table) -> String {
    let needed = text.contains([table.separator, '"', '\n', '\r']);
    match table.quoted || needed {
        true => format!("\"{}\"", text.replace('"', "\"\"")),
        false => text.to_string(),
    }
}

/// A table, with a column that is for people and one that nobody knows.
pub fn csv(backends: &[Backend], table: &Table) -> String {
    let mut names = vec!["Id", "Zone", "cell", "Weight", "STATE", "Comment", "rack"];
    names.extend(if table.split_port { ["host", "port"].as_slice() } else { ["address"].as_slice() });
    let row = |b: &Backend| {
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
            true => row.extend([host(b), b.address.port.to_string()]),
            false => row.push(b.address.to_string()),
        }
        row
    };
    let mut rows = vec![names.into_iter().map(String::from).collect::<Vec<_>>()];
    rows.extend(backends.iter().map(row));
    if table.turned {
        rows.iter_mut().for_each(|row| row.reverse());
    }
    let end = if table.crlf { "\r\n" } else { "\n" };
    let line = |row: Vec<String>| {
        let values: Vec<String> = row.iter().map(|value| quote(value, table)).collect();
        values.join(&table.separator.to_string()) + end
    };
    rows.into_iter().map(line).collect()
}

fn host(b: &Backend) -> String {
    match &b.address.host {
        dewpier_inventory::Host::Ip(ip) => ip.to_string(),
        dewpier_inventory::Host::Name(name) => name.clone(),
    }
}

fn json(text: &str) -> String {
    let mut out = String::from('"');
    for c in text.chars() {
        match c {
            '"' | '\\' => out.extend(['\\', c]),
            c => out.push(c),
        }
    }
    out + "\""
}

pub fn list(backends: &[Backend]) -> String {
    let node = |b: &Backend| {
        format!(
            "- id: {}\n  address: {}\n  zone: {}\n  cell: {}\n  weight: {:?}\n  state: {}\n  owner: someone # жазба\n",
            json(&b.id),
            json(&b.address.to_string()),
            json(&b.zone),
            b.cell,
            b.weight,
            b.state.name()
        )
    };
    backends.iter().map(node).collect()
}

/// Target groups. What has an id of its own stands alone.
pub fn file_sd(backends: &[Backend]) -> String {
    let group = |b: &Backend| {
        format!(
            "{{\"targets\": [{}], \"labels\": {{\"id\": {}, \"zone\": {}, \"cell\": \"{}\", \"weight\": \"{}\", \
             \"state\": \"{}\", \"job\": \"pricing\"}}}}",
            json(&b.address.to_string()),
            json(&b.id),
            json(&b.zone),
            b.cell,
            b.weight,
            b.state.name()
        )
    };
    format!("[{}]", backends.iter().map(group).collect::<Vec<_>>().join(",\n "))
}

/// Groups by state, with the variables of the draining ones said by the group.
pub fn ansible(backends: &[Backend]) -> String {
    let mut text = "all:\n  vars:\n    cell: 0\n    ansible_user: deploy\n  children:\n".to_string();
    for state in [State::Serving, State::Draining] {
        let of: Vec<&Backend> = backends.iter().filter(|b| b.state == state).collect();
        if of.is_empty() {
            continue;
        }
        text += &format!("    {0}_ones:\n      vars:\n        state: {0}\n      hosts:\n", state.name());
        for b in of {
            text += &format!(
                "        {}:\n          ansible_host: {}\n          ansible_port: {}\n          zone: {}\n          \
                 weight: {:?}\n          cell: {}\n",
                json(&b.id),
                json(&host(b)),
                b.address.port,
                json(&b.zone),
                b.weight,
                b.cell
            );
        }
    }
    text
}

/// All forms, with the names of files that tell them.
pub fn forms(backends: &[Backend]) -> Vec<(Format, String)> {
    let mut forms = vec![
        (Format::List, list(backends)),
        (Format::FileSd, file_sd(backends)),
        (Format::Ansible, ansible(backends)),
    ];
    for bits in 0..16 {
        let bit = |n: u32| bits & (1 << n) != 0;
        for separator in [',', ';', '\t'] {
            let table = Table { separator, crlf: bit(0), quoted: bit(1), split_port: bit(2), turned: bit(3) };
            forms.push((Format::Csv, csv(backends, &table)));
        }
    }
    forms
}

/// The text in an encoding; None where it has letters that the encoding has not.
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
                bytes.push(single(c, encoding)?);
            }
        }
    }
    Some(bytes)
}

/// Cyrillic as both encodings have it, and the Kazakh letters of the one that has them.
fn single(c: char, encoding: Encoding) -> Option<u8> {
    const KAZAKH: &str = "ҚҺқһҰұӘӨҒҮІіөғәҢңү";
    const PLACES: [u8; 18] = [
        0x8d, 0x8e, 0x9d, 0x9e, 0xa1, 0xa2, 0xa3, 0xa5, 0xaa, 0xaf, 0xb2, 0xb3, 0xb4, 0xba, 0xbc, 0xbd, 0xbe,
        0xbf,
    ];
    match c {
        '\0'..='\x7f' => Some(c as u8),
        'А'..='я' => Some((c as u32 - 'А' as u32 + 0xc0) as u8),
        'І' if encoding == Encoding::Windows1251 => Some(0xb2),
        'і' if encoding == Encoding::Windows1251 => Some(0xb3),
        _ if encoding == Encoding::Kz1048 => KAZAKH.chars().position(|k| k == c).map(|at| PLACES[at]),
        _ => None,
    }
}

/// The name of a file in that form.
pub fn file_name(format: Format) -> &'static str {
    match format {
        Format::Csv => "nodes.csv",
        Format::FileSd => "targets.json",
        Format::Ansible | Format::List => "nodes.yaml",
    }
}

/// Reads a text, as UTF-8.
pub fn read(
    name: &str,
    text: &str,
) -> Result<dewpier_inventory::Inventory, dewpier_inventory::InventoryError> {
    dewpier_inventory::read(text.as_bytes(), name, &Options::default())
}

/// What is left of nodes where their places in a file don't count.
pub fn bare(backends: &[Backend]) -> Vec<Backend> {
    let mut bare = backends.to_vec();
    bare.iter_mut().for_each(|b| b.at = Default::default());
    bare.sort_by(|a, b| a.id.cmp(&b.id));
    bare
}
