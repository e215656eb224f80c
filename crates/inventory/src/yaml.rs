//! Parses YAML into a tree with the position and the quoting of each value. The tokens come from
//! saphyr-parser; this module rejects duplicate keys, excessive alias expansion and ambiguous scalars.

use crate::error::{Fault, FaultKind, Problem, RawPosition, quoted};
use saphyr_parser::{Event, Parser, ScalarStyle, ScanError, Span, Tag};
use std::collections::HashMap;
use std::rc::Rc;

/// Maximum nesting depth of values.
const MAX_DEPTH: usize = 64;

/// A value with its position in the file.
#[derive(Debug)]
pub(crate) struct Node {
    pub at: RawPosition,
    pub kind: Kind,
    /// Number of values in this value, including itself and expanded aliases.
    value_count: usize,
}

/// The content of a value.
#[derive(Debug)]
pub(crate) enum Kind {
    Scalar(Scalar),
    List(Vec<Rc<Node>>),
    Map(Vec<(Key, Rc<Node>)>),
}

/// A key of a mapping.
#[derive(Clone, Debug)]
pub(crate) struct Key {
    pub at: RawPosition,
    pub scalar: Scalar,
}

/// A scalar before its type is resolved.
#[derive(Clone, Debug)]
pub(crate) struct Scalar {
    pub text: String,
    /// Whether it has neither quotes nor a text tag, so that YAML parsers may resolve it to another type than text.
    is_plain: bool,
    /// A tag that this module does not support.
    unknown_tag: Option<String>,
}

impl Scalar {
    /// Whether it is empty or a null literal.
    pub fn is_null(&self) -> bool {
        self.is_plain && matches!(self.text.as_str(), "" | "~" | "null" | "Null" | "NULL")
    }

    /// Returns the text, or an error if a YAML 1.1 or 1.2 parser may resolve the scalar to something else.
    /// `subject` names the value in the error.
    pub fn unambiguous_text(&self, at: RawPosition, subject: &str) -> Result<&str, Fault> {
        if let Some(tag) = &self.unknown_tag {
            return Err(Fault::value(at, subject, "a plain value", format!("the tag {tag}")));
        }
        let other_type = if self.is_plain { ambiguous_type(&self.text) } else { None };
        match other_type {
            Some(other_type) => {
                let expected = format!("text; write it in quotes if it is meant as {}", quoted(&self.text));
                Err(Fault::value(
                    at,
                    subject,
                    expected,
                    format!("{}, which YAML reads as {other_type}", quoted(&self.text)),
                ))
            }
            None if self.text.contains("{{") => Err(Fault::value(
                at,
                subject,
                "a plain value",
                format!("the template {}", quoted(&self.text)),
            )),
            None => Ok(&self.text),
        }
    }
}

/// Returns the type to which YAML 1.1 or 1.2 parsers may resolve a plain scalar, if that is neither text
/// nor a decimal integer.
fn ambiguous_type(text: &str) -> Option<&'static str> {
    let booleans = ["yes", "no", "on", "off", "true", "false"];
    let mut characters = text.chars();
    let starts_uppercase = characters.next().is_some_and(char::is_uppercase);
    let rest = characters.as_str();
    let has_uniform_case = text == text.to_lowercase()
        || text == text.to_uppercase()
        || starts_uppercase && rest == rest.to_lowercase();
    if has_uniform_case && booleans.contains(&text.to_lowercase().as_str()) {
        return Some("a boolean");
    }
    let unsigned = text.strip_prefix(['-', '+']).unwrap_or(text);
    let lower = unsigned.to_ascii_lowercase();
    if lower == ".inf" || lower == ".nan" {
        return Some("infinity or NaN");
    }
    let is_numeric = |part: &str, separators: &str| {
        !part.is_empty() && part.bytes().all(|b| b.is_ascii_digit() || separators.as_bytes().contains(&b))
    };
    if !unsigned.starts_with(|c: char| c.is_ascii_digit() || c == '.') {
        return None;
    }
    let has_radix_prefix = |prefix: &str| {
        lower.strip_prefix(prefix).is_some_and(|digits| {
            !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_hexdigit() || b == b'_')
        })
    };
    if has_radix_prefix("0x") || has_radix_prefix("0o") || has_radix_prefix("0b") {
        return Some("a number in another base");
    }
    if unsigned.contains(':') && is_numeric(&unsigned.replace(':', ""), "_.") {
        // YAML 1.1 resolves 22:22 to 1342, a base-60 number. An IPv6 address may also consist of digits and colons.
        let parts: Vec<&str> = unsigned.split(':').collect();
        let is_base60_digit =
            |part: &&str| matches!(part.len(), 1 | 2) && part.parse::<u32>().is_ok_and(|n| n < 60);
        let last = parts.last().and_then(|p| p.split('.').next()).unwrap_or_default();
        let middle = parts.get(1..parts.len() - 1).unwrap_or_default();
        return (is_numeric(parts[0], "_") && middle.iter().all(is_base60_digit) && is_base60_digit(&last))
            .then_some("a base-60 number");
    }
    if is_numeric(unsigned, "_") {
        let has_leading_zero = unsigned.len() > 1 && unsigned.starts_with('0');
        return match (
            has_leading_zero,
            unsigned.contains('_') || unsigned.len() < text.len() && text.starts_with('+'),
        ) {
            (true, _) => Some("an octal number"),
            (_, true) => Some("a number without its underscores or its sign"),
            // Some parsers store longer integers as floats and lose digits.
            _ => (unsigned.len() > 15).then_some("a number that may lose digits"),
        };
    }
    let date: Vec<&str> = unsigned.split('-').collect();
    if let [year, month, day] = date[..]
        && year.len() == 4
        && [year, month].iter().all(|p| is_numeric(p, ""))
        && day.starts_with(|c: char| c.is_ascii_digit())
    {
        return Some("a date");
    }
    let (mantissa, exponent) = lower.split_once('e').unwrap_or((&lower, "0"));
    let exponent = exponent.strip_prefix(['-', '+']).unwrap_or(exponent);
    let point_count = mantissa.matches('.').count();
    if is_numeric(mantissa, "._") && mantissa != "." && point_count <= 1 && is_numeric(exponent, "") {
        return Some("a decimal number");
    }
    None
}

impl Node {
    /// The scalar, if the value is one.
    pub fn scalar(&self) -> Option<&Scalar> {
        match &self.kind {
            Kind::Scalar(scalar) => Some(scalar),
            _ => None,
        }
    }

    /// Whether the value is empty or a null literal.
    pub fn is_null(&self) -> bool {
        self.scalar().is_some_and(Scalar::is_null)
    }

    /// Describes the value for messages.
    pub fn describe(&self) -> String {
        match &self.kind {
            Kind::Scalar(scalar) if scalar.is_null() => "nothing".into(),
            Kind::Scalar(scalar) => quoted(&scalar.text),
            Kind::List(list) => format!("a list of {}", list.len()),
            Kind::Map(map) => match map.first() {
                Some((key, _)) => format!("a mapping with {}", quoted(&key.scalar.text)),
                None => "an empty mapping".into(),
            },
        }
    }

    /// The entries of a mapping; null counts as an empty mapping. `subject` names the value in the error.
    pub fn map(&self, subject: &str) -> Result<&[(Key, Rc<Node>)], Fault> {
        match &self.kind {
            Kind::Map(map) => Ok(map),
            _ if self.is_null() => Ok(&[]),
            _ => Err(Fault::value(self.at, subject, "a mapping", self.describe())),
        }
    }

    /// Looks up a key of a mapping.
    pub fn get(&self, name: &str) -> Option<&Rc<Node>> {
        match &self.kind {
            Kind::Map(map) => map.iter().find(|(key, _)| key.scalar.text == name).map(|(_, node)| node),
            _ => None,
        }
    }
}

/// A list or mapping whose end has not been reached.
enum OpenCollection {
    List {
        at: RawPosition,
        anchor: usize,
        value_count: usize,
        items: Vec<Rc<Node>>,
    },
    Map {
        at: RawPosition,
        anchor: usize,
        value_count: usize,
        entries: Vec<(Key, Rc<Node>)>,
        merged: Vec<Rc<Node>>,
        key: Option<Key>,
    },
}

/// Parses a text with at most one document and at most `max_values` values, expanded aliases included. Returns None for
/// a text without a document.
pub(crate) fn parse(text: &str, max_values: usize) -> Result<Option<Rc<Node>>, Fault> {
    let mut builder = TreeBuilder {
        open: Vec::new(),
        anchored_values: HashMap::new(),
        root: None,
        max_values,
        document_count: 0,
    };
    for event in Parser::new_from_str(text) {
        let (event, span) = event.map_err(|error| syntax_error(&error))?;
        builder.handle_event(event, position(&span))?;
    }
    Ok(builder.root)
}

fn saturate(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

fn position(span: &Span) -> RawPosition {
    RawPosition(saturate(span.start.line()), saturate(span.start.col() + 1))
}

fn syntax_error(error: &ScanError) -> Fault {
    let at = RawPosition(saturate(error.marker().line()), saturate(error.marker().col() + 1));
    Fault::new(at, Problem::Syntax { expected: "YAML".into(), found: format!("an error: {}", error.info()) })
}

/// Builds the tree from the parser's events.
struct TreeBuilder {
    open: Vec<OpenCollection>,
    /// Complete values by the number of their anchor.
    anchored_values: HashMap<usize, Rc<Node>>,
    root: Option<Rc<Node>>,
    max_values: usize,
    document_count: usize,
}

impl TreeBuilder {
    fn handle_event(&mut self, event: Event<'_>, at: RawPosition) -> Result<(), Fault> {
        match event {
            Event::DocumentStart(_) => {
                self.document_count += 1;
                if self.document_count > 1 {
                    let (expected, found) = ("one document".into(), "a second one".into());
                    return Err(Fault::new(at, Problem::Syntax { expected, found }));
                }
                Ok(())
            }
            Event::Scalar(text, style, anchor, tag) => {
                let (text, is_plain) = (text.into_owned(), style == ScalarStyle::Plain);
                let (is_plain, unknown_tag) = resolve_tag(is_plain, tag.as_deref());
                self.add_node(
                    Node { at, kind: Kind::Scalar(Scalar { text, is_plain, unknown_tag }), value_count: 1 },
                    anchor,
                )
            }
            Event::SequenceStart(anchor, _) => self
                .open_collection(OpenCollection::List { at, anchor, value_count: 1, items: Vec::new() }, at),
            Event::MappingStart(anchor, _) => {
                let (entries, merged) = (Vec::new(), Vec::new());
                self.open_collection(
                    OpenCollection::Map { at, anchor, value_count: 1, entries, merged, key: None },
                    at,
                )
            }
            Event::SequenceEnd | Event::MappingEnd => self.close_collection(),
            Event::Alias(anchor) => {
                let Some(target) = self.anchored_values.get(&anchor).cloned() else {
                    let found = "an alias of a value that contains it".to_string();
                    let expected = "an alias of a value that is complete".to_string();
                    return Err(Fault::new(at, Problem::Syntax { expected, found }));
                };
                self.attach(target, at)
            }
            Event::Nothing | Event::StreamStart | Event::StreamEnd | Event::DocumentEnd => Ok(()),
        }
    }

    fn open_collection(&mut self, collection: OpenCollection, at: RawPosition) -> Result<(), Fault> {
        if self.open.len() >= MAX_DEPTH {
            let problem = Problem::LimitExceeded { unit: "levels", max: MAX_DEPTH, found: "more".into() };
            return Err(Fault::new(at, problem));
        }
        self.open.push(collection);
        Ok(())
    }

    fn add_node(&mut self, node: Node, anchor: usize) -> Result<(), Fault> {
        let at = node.at;
        let node = Rc::new(node);
        if anchor > 0 {
            self.anchored_values.insert(anchor, node.clone());
        }
        self.attach(node, at)
    }

    fn close_collection(&mut self) -> Result<(), Fault> {
        match self.open.pop() {
            Some(OpenCollection::List { at, anchor, value_count, items }) => {
                self.add_node(Node { at, kind: Kind::List(items), value_count }, anchor)
            }
            Some(OpenCollection::Map { at, anchor, value_count, mut entries, merged, .. }) => {
                reject_duplicate_keys(&entries)?;
                // Explicit keys override merged keys, and earlier merged mappings override later ones.
                for (key, node) in merged.iter().flat_map(|node| node.map("<<")).flatten() {
                    if !entries.iter().any(|(known, _)| known.scalar.text == key.scalar.text) {
                        entries.push((key.clone(), node.clone()));
                    }
                }
                self.add_node(Node { at, kind: Kind::Map(entries), value_count }, anchor)
            }
            None => Ok(()),
        }
    }

    /// Adds a value to the innermost open collection. The count of values bounds the expansion of nested aliases.
    fn attach(&mut self, node: Rc<Node>, at: RawPosition) -> Result<(), Fault> {
        let added_count = node.value_count;
        let new_count = match self.open.last_mut() {
            None => {
                self.root = Some(node);
                return Ok(());
            }
            Some(OpenCollection::List { value_count, items, .. }) => {
                *value_count = value_count.saturating_add(added_count);
                items.push(node);
                *value_count
            }
            Some(OpenCollection::Map { value_count, entries, merged, key, .. }) => {
                *value_count = value_count.saturating_add(added_count);
                let new_count = *value_count;
                match key.take() {
                    None => {
                        let Kind::Scalar(scalar) = &node.kind else {
                            return Err(Fault::value(at, "key", "text", node.describe()));
                        };
                        *key = Some(Key { at, scalar: scalar.clone() });
                    }
                    Some(name) if name.scalar.is_plain && name.scalar.text == "<<" => {
                        add_merge(merged, &node, at)?
                    }
                    Some(name) => {
                        entries.push((name, node));
                    }
                }
                new_count
            }
        };
        if new_count > self.max_values {
            let (unit, max) = ("values, those of aliases included", self.max_values);
            return Err(Fault::new(
                at,
                Problem::LimitExceeded { unit, max, found: format!("{new_count} or more") },
            ));
        }
        Ok(())
    }
}

/// Records the value of a merge key (`<<`).
fn add_merge(merged: &mut Vec<Rc<Node>>, node: &Rc<Node>, at: RawPosition) -> Result<(), Fault> {
    let invalid = |node: &Node| Fault::value(at, "<<", "a mapping or a list of mappings", node.describe());
    match &node.kind {
        Kind::Map(_) => merged.push(node.clone()),
        Kind::List(list) => {
            if let Some(other) = list.iter().find(|n| !matches!(n.kind, Kind::Map(_))) {
                return Err(invalid(other));
            }
            merged.extend(list.iter().cloned());
        }
        Kind::Scalar(_) => return Err(invalid(node)),
    }
    Ok(())
}

/// Applies a tag: returns whether the scalar still counts as plain, and an unsupported tag.
fn resolve_tag(is_plain: bool, tag: Option<&Tag>) -> (bool, Option<String>) {
    match tag {
        None => (is_plain, None),
        // `!!str` and `!` mark text.
        Some(tag) if tag.is_yaml_core_schema() && tag.suffix == "str" => (false, None),
        Some(tag) if tag.handle.is_empty() && tag.suffix == "!" => (false, None),
        Some(tag) if tag.is_yaml_core_schema() => (is_plain, None),
        Some(tag) => (is_plain, Some(tag.to_string())),
    }
}

/// Rejects duplicate keys in a mapping: YAML parsers differ in which value they use.
fn reject_duplicate_keys(entries: &[(Key, Rc<Node>)]) -> Result<(), Fault> {
    let mut first_positions: HashMap<&str, RawPosition> = HashMap::with_capacity(entries.len());
    for (key, _) in entries {
        if let Some(first) = first_positions.insert(&key.scalar.text, key.at) {
            let (kind, value) = ("key", key.scalar.text.clone());
            return Err(Fault { at: key.at, kind: FaultKind::Duplicate { kind, value, first } });
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn scalars_that_parsers_resolve_to_other_types_are_ambiguous() {
        for text in [
            "no",
            "No",
            "NO",
            "on",
            "off",
            "yes",
            "true",
            "FALSE",
            "012",
            "0x1F",
            "0o17",
            "0b1",
            "22:22",
            "1:20:30",
            "190:20:30.15",
            "1_000",
            "1.10",
            "1e3",
            "1.5e-3",
            ".5",
            ".inf",
            "-.INF",
            ".NaN",
            "2026-12-01",
            "+12",
            "1234567890123456",
            "-012",
        ] {
            assert!(ambiguous_type(text).is_some(), "{text}");
        }
        for text in [
            "north",
            "n",
            "y",
            "nO",
            "a-1",
            "10.0.0.1",
            "10.0.0.1:8080",
            "pricing-01",
            "12",
            "0",
            "-3",
            "::1",
            "1:2:3:4:5:6:7:800",
            "12a",
            "e3",
            "1e",
            "2026-12",
            "v1.10",
            "onward",
            "",
            ".",
            "-",
            "+",
            "127.0.0.1:22",
        ] {
            assert!(ambiguous_type(text).is_none(), "{text}: {:?}", ambiguous_type(text));
        }
    }

    #[test]
    fn alias_expansion_counts_toward_the_value_limit() {
        let mut text = "a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n".to_string();
        for level in 1..12 {
            let before = format!("*a{}", level - 1);
            text += &format!("a{level}: &a{level} [{}]\n", vec![before; 10].join(", "));
        }
        let fault = parse(&text, 100_000).unwrap_err();
        assert!(matches!(fault.kind, FaultKind::Simple(Problem::LimitExceeded { .. })), "{fault:?}");
        assert!(parse("a: &a {b: *a}\n", 100).is_err(), "alias within its own anchor");
        assert!(parse(&"[".repeat(100), 1000).is_err());
    }

    #[test]
    fn explicit_keys_override_merged_keys() {
        let root = parse("base: &base {a: 1, b: 2}\nnode: {<<: *base, b: 3}\n", 100).unwrap().unwrap();
        let node = root.get("node").unwrap();
        assert_eq!(node.get("a").unwrap().scalar().unwrap().text, "1");
        assert_eq!(node.get("b").unwrap().scalar().unwrap().text, "3");
        assert!(parse("a: 1\nb: 2\n'a': 3\n", 100).is_err(), "duplicate key");
    }
}
