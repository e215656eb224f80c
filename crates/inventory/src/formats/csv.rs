//! Parses tables: RFC 4180 with commas, semicolons or tabs as separators. The `csv` crate splits the rows. It
//! accepts misplaced quotes and bare carriage returns, so that this module rejects them beforehand.

use super::IgnoredFields;
use crate::collect::Collector;
use crate::error::{Fault, Problem, RawPosition, quoted};
use crate::fields::{Fields, Raw};
use crate::{Backend, InventoryError, Options, Position};
use ::csv::{ByteRecord, ReaderBuilder, StringRecord, Trim};

/// The supported separators.
const SEPARATORS: [u8; 3] = [b',', b';', b'\t'];
/// The accepted normalized column names of each field, in the order of preference.
const FIELD_COLUMNS: [(&str, &[&str]); 8] = [
    ("id", &["id", "name", "node", "instance", "instanceid", "backend", "server"]),
    ("address", &["address", "addr", "hostport", "endpoint", "target"]),
    ("host", &["host", "hostname", "ip", "ipaddress"]),
    ("port", &["port"]),
    ("zone", &["zone", "availabilityzone"]),
    ("cell", &["cell"]),
    ("weight", &["weight"]),
    ("state", &["state", "status", "lifecycle"]),
];
/// Normalized names of columns that are ignored without a note.
const COMMENT_COLUMNS: [&str; 4] = ["comment", "comments", "note", "notes"];
/// Maximum length of a line in bytes. It bounds the number of columns, each of which takes more memory than
/// its text.
const MAX_LINE_BYTES: usize = 64 << 10;
/// Maximum number of columns of a table.
const MAX_COLUMNS: usize = 256;

/// The text and the separator of a table. The first line may be Excel's `sep=;`.
struct Table<'a> {
    text: &'a str,
    /// Byte offset of the header.
    header_start: usize,
    separator: u8,
}

/// The column of each field, in the order of [`FIELD_COLUMNS`].
#[derive(Clone, Copy, Default)]
struct Columns([Option<usize>; 8]);

/// Normalizes a column name: lower case, without spaces and punctuation.
fn normalize(name: &str) -> String {
    name.chars().filter(|c| !matches!(c, ' ' | '_' | '-' | '.' | ':')).flat_map(char::to_lowercase).collect()
}

/// Returns the index of a column's field and the rank of the column name among the field's names.
fn find_field(name: &str) -> Option<(usize, usize)> {
    let normalized = normalize(name);
    FIELD_COLUMNS
        .iter()
        .enumerate()
        .find_map(|(i, (_, names))| Some((i, names.iter().position(|n| *n == normalized)?)))
}

/// Whether the first line of a text contains known column names.
pub(super) fn has_header(text: &str) -> bool {
    let line = text.lines().next().unwrap_or_default();
    let mut names = line.split(['\t', ';', ',']).map(|n| n.trim_matches([' ', '"']));
    names.clone().count() > 1 && names.any(|n| find_field(n).is_some_and(|(field, _)| field < 3))
        || find_field(line).is_some_and(|(field, _)| field == 1)
}

impl<'a> Table<'a> {
    /// Detects the separator.
    fn new(text: &'a str) -> Self {
        let line_end = text.find('\n').map_or(text.len(), |newline| newline + 1);
        let first_line = text[..line_end].trim_end_matches(['\r', '\n']);
        if let [b's', b'e', b'p', b'=', separator] = *first_line.to_ascii_lowercase().as_bytes()
            && SEPARATORS.contains(&separator)
        {
            return Self { text, header_start: line_end, separator };
        }
        // Selects the separator with the most known columns in the header.
        let count_known = |separator: &u8| {
            let names = first_line.split(char::from(*separator)).map(|n| n.trim_matches([' ', '"']));
            names
                .filter(|n| find_field(n).is_some() || COMMENT_COLUMNS.contains(&normalize(n).as_str()))
                .count()
        };
        let separator = SEPARATORS.into_iter().rev().max_by_key(count_known).unwrap_or(b',');
        Self { text, header_start: 0, separator }
    }

    /// Rejects malformed quotes and line ends that the `csv` crate accepts: an unclosed quote, a quote within an
    /// unquoted value, text after a closing quote, and a carriage return without a line feed. The error is the
    /// byte offset, the expected and the found input.
    fn check_quotes(&self) -> Result<(), (usize, &'static str, &'static str)> {
        let bytes = self.text.as_bytes();
        let has_returns = memchr::memchr(b'\r', bytes).is_some();
        let is_lone_return = |offset: usize| bytes.get(offset + 1) != Some(&b'\n');
        let mut offset = self.header_start;
        loop {
            // All text before the next quote is unquoted.
            let quote = memchr::memchr(b'"', &bytes[offset..]).map(|found| offset + found);
            let unquoted = offset..quote.unwrap_or(bytes.len());
            if has_returns
                && let Some(found) = unquoted.clone().find(|&i| bytes[i] == b'\r' && is_lone_return(i))
            {
                return Err((found, "lines that end in CRLF or LF", "a carriage return alone"));
            }
            let Some(opening_quote) = quote else {
                return Ok(());
            };
            let is_value_start = |before: u8| before == b'\n' || before == self.separator;
            if opening_quote > self.header_start && !is_value_start(bytes[opening_quote - 1]) {
                let expected = "quotes around a whole value, doubled within it";
                return Err((opening_quote, expected, "a quote within a bare value"));
            }
            offset = opening_quote;
            loop {
                let Some(found) = memchr::memchr(b'"', &bytes[offset + 1..]) else {
                    return Err((opening_quote, "a closing quote", "the end of the file"));
                };
                offset += found + 2;
                if bytes.get(offset) != Some(&b'"') {
                    break;
                }
            }
            match bytes.get(offset) {
                Some(b'\n') | None => {}
                Some(b'\r') if !is_lone_return(offset) => {}
                Some(b) if *b == self.separator => {}
                _ => {
                    let expected = "a separator or the end of the line behind a closing quote";
                    return Err((offset, expected, "more text"));
                }
            }
        }
    }

    /// The position of the start of a value. A raw position is the byte offset of a row and the index of a value.
    fn position(&self, raw: RawPosition) -> Position {
        let bytes = self.text.as_bytes();
        let mut offset = raw.0 as usize;
        // The offset that the `csv` crate reports may precede empty lines.
        while matches!(bytes.get(offset), Some(b'\n' | b'\r')) {
            offset += 1;
        }
        let mut in_quotes = false;
        let mut remaining_separators = raw.1;
        while remaining_separators > 0 && offset < bytes.len() {
            match bytes[offset] {
                b'"' => in_quotes = !in_quotes,
                b'\n' if !in_quotes => break,
                b if b == self.separator && !in_quotes => remaining_separators -= 1,
                _ => {}
            }
            offset += 1;
        }
        Position::of_offset(self.text, offset)
    }

    /// Assigns columns to fields, and returns the ignored columns too. Of several names of a field, the preferred
    /// one is used. `to_raw_position` converts an index of a column.
    fn assign_columns(
        &self,
        header: &StringRecord,
        to_raw_position: impl Fn(usize) -> RawPosition,
    ) -> Result<(Columns, Vec<String>), Fault> {
        let mut ignored_fields = IgnoredFields::default();
        let mut columns: [Option<(usize, usize)>; 8] = [None; 8];
        for (i, name) in header.iter().enumerate() {
            let Some((field, rank)) = find_field(name) else {
                if !name.trim().is_empty() && !COMMENT_COLUMNS.contains(&normalize(name).as_str()) {
                    ignored_fields.add(name.trim());
                }
                continue;
            };
            match columns[field] {
                Some((first, other_rank)) if other_rank == rank => {
                    let (kind, value) = ("column", name.trim().to_string());
                    let kind =
                        crate::error::FaultKind::Duplicate { kind, value, first: to_raw_position(first) };
                    return Err(Fault { at: to_raw_position(i), kind });
                }
                Some((other, other_rank)) if other_rank < rank => {
                    let _ = other; // the other column has a preferred name
                    ignored_fields.add(name.trim());
                }
                Some((other, _)) => {
                    ignored_fields.add(header.get(other).unwrap_or_default().trim());
                    columns[field] = Some((i, rank));
                }
                None => columns[field] = Some((i, rank)),
            }
        }
        if columns[1].is_none() && columns[2].is_none() {
            let names: Vec<&str> = header.iter().take(8).collect();
            let expected =
                "a column 'address', or 'host' and 'port', separated by commas, semicolons or tabs";
            return Err(Fault::value(to_raw_position(0), "header", expected, quoted(&names.join(" | "))));
        }
        Ok((Columns(columns.map(|f| f.map(|(column, _)| column))), ignored_fields.0))
    }
}

/// Parses a table. Returns the nodes and the ignored columns.
pub(super) fn read(text: &str, options: &Options) -> Result<(Vec<Backend>, Vec<String>), InventoryError> {
    let table = Table::new(text);
    if let Err((offset, expected, found)) = table.check_quotes() {
        let problem = Problem::Syntax { expected: expected.into(), found: found.into() };
        return Err(InventoryError { at: Position::of_offset(text, offset), problem });
    }
    let mut line_start = 0;
    for line_end in memchr::memchr_iter(b'\n', text.as_bytes()).chain([text.len()]) {
        if line_end - line_start > MAX_LINE_BYTES {
            let (unit, max, found) = ("bytes in a line", MAX_LINE_BYTES, (line_end - line_start).to_string());
            return Err(InventoryError {
                at: Position::of_offset(text, line_start),
                problem: Problem::LimitExceeded { unit, max, found },
            });
        }
        line_start = line_end + 1;
    }
    read_rows(&table, options).map_err(|fault| fault.into_error(|raw| table.position(raw)))
}

/// Parses the header and the rows.
fn read_rows(table: &Table<'_>, options: &Options) -> Result<(Vec<Backend>, Vec<String>), Fault> {
    let body = &table.text.as_bytes()[table.header_start..];
    let mut reader = ReaderBuilder::new()
        .delimiter(table.separator)
        .has_headers(false)
        .flexible(true)
        .trim(Trim::None)
        .from_reader(body);
    let row_offset = |record: &ByteRecord| {
        let offset = table.header_start as u64 + record.position().map_or(0, |p| p.byte());
        u32::try_from(offset).unwrap_or(u32::MAX)
    };
    let syntax_error = |at: RawPosition, expected: &str, found: String| {
        Fault::new(at, Problem::Syntax { expected: expected.into(), found })
    };
    // Byte records skip the UTF-8 validation of unused columns; the text is already valid.
    let mut record = ByteRecord::new();
    let mut read_record = |record: &mut ByteRecord| {
        let result = reader.read_byte_record(record);
        result.map_err(|error| syntax_error(RawPosition(0, 0), "CSV", error.to_string()))
    };
    if !read_record(&mut record)? {
        return Err(Fault::new(RawPosition(0, 0), Problem::Empty { found: "an empty file".into() }));
    }
    let column_count = record.len();
    if column_count > MAX_COLUMNS {
        let (unit, max, found) = ("columns", MAX_COLUMNS, column_count.to_string());
        return Err(Fault::new(
            RawPosition(row_offset(&record), 0),
            Problem::LimitExceeded { unit, max, found },
        ));
    }
    let header_offset = row_offset(&record);
    let names = StringRecord::from_byte_record(record.clone());
    let names =
        names.map_err(|error| syntax_error(RawPosition(header_offset, 0), "text", error.to_string()))?;
    let (columns, ignored_fields) = table.assign_columns(&names, |i| RawPosition(header_offset, i as u32))?;
    let mut collector = Collector::new(options);
    collector.reserve(memchr::memchr_iter(b'\n', body).count());
    while read_record(&mut record)? {
        let row_start = row_offset(&record);
        let at = RawPosition(row_start, 0);
        if record.len() != column_count {
            let found = format!("{} in this row", record.len());
            return Err(syntax_error(at, &format!("{column_count} values, as the header has"), found));
        }
        // Spreadsheets may export rows of separators below a table.
        if record.iter().all(|value| value.trim_ascii().is_empty()) {
            continue;
        }
        let field = |i: usize| -> Result<Option<Raw<'_>>, Fault> {
            let Some(column) = columns.0[i] else {
                return Ok(None);
            };
            let at = RawPosition(row_start, column as u32);
            let text = record.get(column).map(std::str::from_utf8).transpose();
            let text = text.map_err(|error| syntax_error(at, "text", error.to_string()))?;
            Ok(text.filter(|text| !text.trim().is_empty()).map(|text| Raw { text, at }))
        };
        let id = field(0)?;
        if let (Some(column), None) = (columns.0[0], id) {
            let at = RawPosition(row_start, column as u32);
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
            allow_comma: table.separator != b',',
        })?;
    }
    let mut line_counter = LineCounter { table, line: 1, offset: 0 };
    let mut backends = collector.finish(
        |raw| Position { line: raw.0, column: 1 },
        (RawPosition(header_offset, 0), "a header alone"),
    )?;
    // The backends are sorted by id, and `line` still holds a byte offset. Converts the offsets to lines in the
    // order of the file, so that one pass suffices.
    let mut order: Vec<usize> = (0..backends.len()).collect();
    order.sort_unstable_by_key(|&i| backends[i].at.line);
    for i in order {
        backends[i].at.line = line_counter.line_of(backends[i].at.line as usize);
    }
    Ok((backends, ignored_fields))
}

/// Converts increasing byte offsets to line numbers.
struct LineCounter<'t> {
    table: &'t Table<'t>,
    line: u32,
    offset: usize,
}

impl LineCounter<'_> {
    /// The line at an offset, after any empty lines.
    fn line_of(&mut self, offset: usize) -> u32 {
        let bytes = self.table.text.as_bytes();
        let mut end = offset.clamp(self.offset, bytes.len());
        while matches!(bytes.get(end), Some(b'\n' | b'\r')) {
            end += 1;
        }
        let line_breaks = memchr::memchr_iter(b'\n', &bytes[self.offset..end]).count();
        self.line = self.line.saturating_add(u32::try_from(line_breaks).unwrap_or(u32::MAX));
        self.offset = end;
        self.line
    }
}
