//! Tables as spreadsheets write them: RFC 4180, with commas, semicolons or tabs. The `csv` crate
//! splits the rows; as it forgives lost quotes and bare carriage returns, these are looked for first.

use super::IgnoredFields;
use crate::collect::Collector;
use crate::error::{Fault, Problem, RawPosition, shown};
use crate::fields::{Fields, Raw};
use crate::{Backend, InventoryError, Options, Position};
use ::csv::{ByteRecord, ReaderBuilder, StringRecord, Trim};

const SEPARATORS: [u8; 3] = [b',', b';', b'\t'];
/// What each field may be called, the usual name first; letters only, in lower case.
const COLUMNS: [(&str, &[&str]); 8] = [
    ("id", &["id", "name", "node", "instance", "instanceid", "backend", "server"]),
    ("address", &["address", "addr", "hostport", "endpoint", "target"]),
    ("host", &["host", "hostname", "ip", "ipaddress"]),
    ("port", &["port"]),
    ("zone", &["zone", "availabilityzone"]),
    ("cell", &["cell"]),
    ("weight", &["weight"]),
    ("state", &["state", "status", "lifecycle"]),
];
/// Columns that are for people.
const COMMENTS: [&str; 4] = ["comment", "comments", "note", "notes"];
/// The longest line, in bytes. Guards against lines of separators alone, whose columns would take
/// fifty times their size.
const MOST_LINE: usize = 64 << 10;
/// Columns that a table may have.
const MOST_COLUMNS: usize = 256;

/// The text of a table whose first line may be Excel's `sep=;`, and its separator.
struct Table<'a> {
    text: &'a str,
    /// Where the header begins.
    start: usize,
    separator: u8,
}

/// Where each known column stands in a row.
#[derive(Clone, Copy, Default)]
struct Columns([Option<usize>; 8]);

fn plain(name: &str) -> String {
    name.chars().filter(|c| !matches!(c, ' ' | '_' | '-' | '.' | ':')).flat_map(char::to_lowercase).collect()
}

/// Which field a column is, and how far down the list of its names.
fn role(name: &str) -> Option<(usize, usize)> {
    let plain = plain(name);
    COLUMNS.iter().enumerate().find_map(|(i, (_, names))| Some((i, names.iter().position(|n| *n == plain)?)))
}

/// A text whose first line names columns that are known.
pub(super) fn has_header(text: &str) -> bool {
    let line = text.lines().next().unwrap_or_default();
    let mut names = line.split(['\t', ';', ',']).map(|n| n.trim_matches([' ', '"']));
    names.clone().count() > 1 && names.any(|n| role(n).is_some_and(|(i, _)| i < 3))
        || role(line).is_some_and(|(i, _)| i == 1)
}

impl<'a> Table<'a> {
    fn new(text: &'a str) -> Self {
        let line_end = text.find('\n').map_or(text.len(), |at| at + 1);
        let first = text[..line_end].trim_end_matches(['\r', '\n']);
        if let [b's', b'e', b'p', b'=', separator] = *first.to_ascii_lowercase().as_bytes()
            && SEPARATORS.contains(&separator)
        {
            return Self { text, start: line_end, separator };
        }
        // The separator is the one that finds the most known columns in the header.
        let known = |separator: &u8| {
            let names = first.split(char::from(*separator)).map(|n| n.trim_matches([' ', '"']));
            names.filter(|n| role(n).is_some() || COMMENTS.contains(&plain(n).as_str())).count()
        };
        let best = SEPARATORS.into_iter().rev().max_by_key(known).unwrap_or(b',');
        Self { text, start: 0, separator: best }
    }

    /// Refuses what only forgiving readers take: a quote that is not closed or stands in a bare
    /// value, text behind a closing quote, and lines that end in a carriage return alone.
    fn check_quotes(&self) -> Result<(), (usize, &'static str, &'static str)> {
        let bytes = self.text.as_bytes();
        let returns = memchr::memchr(b'\r', bytes).is_some();
        let lone = |at: usize| bytes.get(at + 1) != Some(&b'\n');
        let mut at = self.start;
        loop {
            // Up to the next quote there is nothing but bare values.
            let quote = memchr::memchr(b'"', &bytes[at..]).map(|found| at + found);
            let bare = at..quote.unwrap_or(bytes.len());
            if returns && let Some(found) = bare.clone().find(|&i| bytes[i] == b'\r' && lone(i)) {
                return Err((found, "lines that end in CRLF or LF", "a carriage return alone"));
            }
            let Some(opened) = quote else {
                return Ok(());
            };
            let begins = |before: u8| before == b'\n' || before == self.separator;
            if opened > self.start && !begins(bytes[opened - 1]) {
                let expected = "quotes around a whole value, doubled within it";
                return Err((opened, expected, "a quote within a bare value"));
            }
            at = opened;
            loop {
                let Some(found) = memchr::memchr(b'"', &bytes[at + 1..]) else {
                    return Err((opened, "a closing quote", "the end of the file"));
                };
                at += found + 2;
                if bytes.get(at) != Some(&b'"') {
                    break;
                }
            }
            match bytes.get(at) {
                Some(b'\n') | None => {}
                Some(b'\r') if !lone(at) => {}
                Some(b) if *b == self.separator => {}
                _ => {
                    let expected = "a separator or the end of the line behind a closing quote";
                    return Err((at, expected, "more text"));
                }
            }
        }
    }

    /// Where a value of a row begins: a spot is the row's offset and the value's number.
    fn place(&self, spot: RawPosition) -> Position {
        let bytes = self.text.as_bytes();
        let mut at = spot.0 as usize;
        // The reader says where it began to look, which may be at empty lines.
        while matches!(bytes.get(at), Some(b'\n' | b'\r')) {
            at += 1;
        }
        let mut quoted = false;
        let mut left = spot.1;
        while left > 0 && at < bytes.len() {
            match bytes[at] {
                b'"' => quoted = !quoted,
                b'\n' if !quoted => break,
                b if b == self.separator && !quoted => left -= 1,
                _ => {}
            }
            at += 1;
        }
        Position::of_offset(self.text, at)
    }

    fn columns(
        &self,
        header: &StringRecord,
        spot: impl Fn(usize) -> RawPosition,
    ) -> Result<(Columns, Vec<String>), Fault> {
        let mut ignored_fields = IgnoredFields::default();
        let mut found: [Option<(usize, usize)>; 8] = [None; 8];
        for (i, name) in header.iter().enumerate() {
            let Some((field, rank)) = role(name) else {
                if !name.trim().is_empty() && !COMMENTS.contains(&plain(name).as_str()) {
                    ignored_fields.add(name.trim());
                }
                continue;
            };
            match found[field] {
                Some((first, known)) if known == rank => {
                    let (what, value) = ("column", name.trim().to_string());
                    let what = crate::error::FaultKind::Duplicate { what, value, first: spot(first) };
                    return Err(Fault { at: spot(i), what });
                }
                Some((other, known)) if known < rank => {
                    let _ = other; // the better name holds, and this one is passed over
                    ignored_fields.add(name.trim());
                }
                Some((other, _)) => {
                    ignored_fields.add(header.get(other).unwrap_or_default().trim());
                    found[field] = Some((i, rank));
                }
                None => found[field] = Some((i, rank)),
            }
        }
        if found[1].is_none() && found[2].is_none() {
            let names: Vec<&str> = header.iter().take(8).collect();
            let expected =
                "a column 'address', or 'host' and 'port', separated by commas, semicolons or tabs";
            return Err(Fault::value(spot(0), "header", expected, shown(&names.join(" | "))));
        }
        Ok((Columns(found.map(|f| f.map(|(column, _)| column))), ignored_fields.0))
    }
}

pub(super) fn read(text: &str, options: &Options) -> Result<(Vec<Backend>, Vec<String>), InventoryError> {
    let table = Table::new(text);
    if let Err((at, expected, found)) = table.check_quotes() {
        let problem = Problem::Syntax { expected: expected.into(), found: found.into() };
        return Err(InventoryError { at: Position::of_offset(text, at), problem });
    }
    let mut start = 0;
    for end in memchr::memchr_iter(b'\n', text.as_bytes()).chain([text.len()]) {
        if end - start > MOST_LINE {
            let (what, max, found) = ("bytes in a line", MOST_LINE, (end - start).to_string());
            return Err(InventoryError {
                at: Position::of_offset(text, start),
                problem: Problem::LimitExceeded { what, max, found },
            });
        }
        start = end + 1;
    }
    rows(&table, options).map_err(|fault| fault.placed(|spot| table.place(spot)))
}

fn rows(table: &Table<'_>, options: &Options) -> Result<(Vec<Backend>, Vec<String>), Fault> {
    let body = &table.text.as_bytes()[table.start..];
    let mut reader = ReaderBuilder::new()
        .delimiter(table.separator)
        .has_headers(false)
        .flexible(true)
        .trim(Trim::None)
        .from_reader(body);
    let offset = |record: &ByteRecord| {
        let at = table.start as u64 + record.position().map_or(0, |p| p.byte());
        u32::try_from(at).unwrap_or(u32::MAX)
    };
    let syntax = |at: RawPosition, expected: &str, found: String| {
        Fault::new(at, Problem::Syntax { expected: expected.into(), found })
    };
    // Bytes, as all of the text is known to be UTF-8 and most of it is never looked at.
    let mut record = ByteRecord::new();
    let mut next = |record: &mut ByteRecord| {
        let more = reader.read_byte_record(record);
        more.map_err(|error| syntax(RawPosition(0, 0), "CSV", error.to_string()))
    };
    if !next(&mut record)? {
        return Err(Fault::new(RawPosition(0, 0), Problem::Empty { found: "an empty file".into() }));
    }
    let width = record.len();
    if width > MOST_COLUMNS {
        let (what, max, found) = ("columns", MOST_COLUMNS, width.to_string());
        return Err(Fault::new(RawPosition(offset(&record), 0), Problem::LimitExceeded { what, max, found }));
    }
    let header = offset(&record);
    let names = StringRecord::from_byte_record(record.clone());
    let names = names.map_err(|error| syntax(RawPosition(header, 0), "text", error.to_string()))?;
    let (columns, ignored_fields) = table.columns(&names, |i| RawPosition(header, i as u32))?;
    let mut collector = Collector::new(options);
    collector.reserve(memchr::memchr_iter(b'\n', body).count());
    while next(&mut record)? {
        let start = offset(&record);
        let at = RawPosition(start, 0);
        if record.len() != width {
            let found = format!("{} in this row", record.len());
            return Err(syntax(at, &format!("{width} values, as the header has"), found));
        }
        // Spreadsheets write rows of separators below a table.
        if record.iter().all(|value| value.trim_ascii().is_empty()) {
            continue;
        }
        let field = |i: usize| -> Result<Option<Raw<'_>>, Fault> {
            let Some(column) = columns.0[i] else {
                return Ok(None);
            };
            let at = RawPosition(start, column as u32);
            let text = record.get(column).map(std::str::from_utf8).transpose();
            let text = text.map_err(|error| syntax(at, "text", error.to_string()))?;
            Ok(text.filter(|text| !text.trim().is_empty()).map(|text| Raw { text, at }))
        };
        let id = field(0)?;
        if let (Some(column), None) = (columns.0[0], id) {
            let at = RawPosition(start, column as u32);
            return Err(Fault::value(at, "id", "a name, as the other rows have", "nothing"));
        }
        collector.add(&Fields {
            at,
            id,
            address: field(1)?,
            host: field(2)?,
            port: field(3)?,
            zone: field(4)?,
            cell: field(5)?,
            weight: field(6)?,
            state: field(7)?,
            comma: table.separator != b',',
        })?;
    }
    let mut lines = Lines { table, line: 1, at: 0 };
    let mut places = collector
        .finish(|spot| Position { line: spot.0, column: 1 }, (RawPosition(header, 0), "a header alone"))?;
    // Rows are by id now; their lines are counted in one walk, in the order of the file.
    let mut order: Vec<usize> = (0..places.len()).collect();
    order.sort_unstable_by_key(|&i| places[i].at.line);
    for i in order {
        places[i].at.line = lines.line_of(places[i].at.line as usize);
    }
    Ok((places, ignored_fields))
}

/// Counts lines up to ever later offsets.
struct Lines<'t> {
    table: &'t Table<'t>,
    line: u32,
    at: usize,
}

impl Lines<'_> {
    fn line_of(&mut self, offset: usize) -> u32 {
        let bytes = self.table.text.as_bytes();
        let mut to = offset.clamp(self.at, bytes.len());
        while matches!(bytes.get(to), Some(b'\n' | b'\r')) {
            to += 1;
        }
        let passed = memchr::memchr_iter(b'\n', &bytes[self.at..to]).count();
        self.line = self.line.saturating_add(u32::try_from(passed).unwrap_or(u32::MAX));
        self.at = to;
        self.line
    }
}
