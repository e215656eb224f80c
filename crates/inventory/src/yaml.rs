//! YAML as a tree that remembers where each value stands and how it was written. The scanner is
//! saphyr-parser's; what is a duplicate, an alias bomb or a doubtful word is decided here.

use crate::error::{Fault, FaultKind, Problem, RawPosition, shown};
use saphyr_parser::{Event, Parser, ScalarStyle, ScanError, Span, Tag};
use std::collections::HashMap;
use std::rc::Rc;

/// How deep values may be nested.
const MOST_DEPTH: usize = 64;

/// A value.
#[derive(Debug)]
pub(crate) struct Node {
    pub at: RawPosition,
    pub kind: Kind,
    /// Values in it, itself and those of aliases included.
    size: usize,
}

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

#[derive(Clone, Debug)]
pub(crate) struct Scalar {
    pub text: String,
    /// Not in quotes, so that readers may take it for something else than text.
    plain: bool,
    /// A tag that this reader does not know.
    tag: Option<String>,
}

impl Scalar {
    /// Nothing is written, or a word for nothing.
    pub fn is_null(&self) -> bool {
        self.plain && matches!(self.text.as_str(), "" | "~" | "null" | "Null" | "NULL")
    }

    /// The text, if every reader of YAML, of whichever version, takes it for that text.
    pub fn certain(&self, at: RawPosition, what: &str) -> Result<&str, Fault> {
        if let Some(tag) = &self.tag {
            return Err(Fault::value(at, what, "a plain value", format!("the tag {tag}")));
        }
        let doubt = if self.plain { doubt(&self.text) } else { None };
        match doubt {
            Some(read) => {
                let expected = format!("text; write it in quotes if it is meant as {}", shown(&self.text));
                Err(Fault::value(
                    at,
                    what,
                    expected,
                    format!("{}, which YAML reads as {read}", shown(&self.text)),
                ))
            }
            None if self.text.contains("{{") => {
                Err(Fault::value(at, what, "a plain value", format!("the template {}", shown(&self.text))))
            }
            None => Ok(&self.text),
        }
    }
}

/// What readers of YAML 1.1 or 1.2 take a plain scalar for, where it is not the text or the whole
/// number that it looks like.
fn doubt(text: &str) -> Option<&'static str> {
    let words = ["yes", "no", "on", "off", "true", "false"];
    let one_case = text == text.to_lowercase()
        || text == text.to_uppercase()
        || text.chars().next().is_some_and(char::is_uppercase) && text[1..] == text[1..].to_lowercase();
    if one_case && words.contains(&text.to_lowercase().as_str()) {
        return Some("a truth value");
    }
    let bare = text.strip_prefix(['-', '+']).unwrap_or(text);
    let lower = bare.to_ascii_lowercase();
    if lower == ".inf" || lower == ".nan" {
        return Some("no finite number");
    }
    let numeric = |t: &str, more: &str| {
        !t.is_empty() && t.bytes().all(|b| b.is_ascii_digit() || more.as_bytes().contains(&b))
    };
    if !bare.starts_with(|c: char| c.is_ascii_digit() || c == '.') {
        return None;
    }
    let radix = |prefix: &str| {
        lower
            .strip_prefix(prefix)
            .is_some_and(|t| !t.is_empty() && t.bytes().all(|b| b.is_ascii_hexdigit() || b == b'_'))
    };
    if radix("0x") || radix("0o") || radix("0b") {
        return Some("a number in another base");
    }
    if bare.contains(':') && numeric(&bare.replace(':', ""), "_.") {
        // 22:22 is 1342: sixties, as in degrees and hours. An IPv6 address has no such parts only
        // where it has a letter or an empty part.
        let parts: Vec<&str> = bare.split(':').collect();
        let sixty = |p: &&str| matches!(p.len(), 1 | 2) && p.parse::<u32>().is_ok_and(|n| n < 60);
        let last = parts.last().and_then(|p| p.split('.').next()).unwrap_or_default();
        let middle = parts.get(1..parts.len() - 1).unwrap_or_default();
        return (numeric(parts[0], "_") && middle.iter().all(sixty) && sixty(&last))
            .then_some("a number of sixties");
    }
    if numeric(bare, "_") {
        let sevens = bare.len() > 1 && bare.starts_with('0');
        return match (sevens, bare.contains('_') || bare.len() < text.len() && text.starts_with('+')) {
            (true, _) => Some("an octal number"),
            (_, true) => Some("a number without its signs"),
            // Beyond that some readers keep a float, and digits are lost.
            _ => (bare.len() > 15).then_some("a number that may lose digits"),
        };
    }
    let date: Vec<&str> = bare.split('-').collect();
    if let [year, month, day] = date[..]
        && year.len() == 4
        && [year, month].iter().all(|p| numeric(p, ""))
        && day.starts_with(|c: char| c.is_ascii_digit())
    {
        return Some("a date");
    }
    let (mantissa, exponent) = lower.split_once('e').unwrap_or((&lower, "0"));
    let exponent = exponent.strip_prefix(['-', '+']).unwrap_or(exponent);
    let points = mantissa.matches('.').count();
    if numeric(mantissa, "._") && mantissa != "." && points <= 1 && numeric(exponent, "") {
        return Some("a decimal number");
    }
    None
}

impl Node {
    /// A scalar's text, or what stands here instead.
    pub fn scalar(&self) -> Option<&Scalar> {
        match &self.kind {
            Kind::Scalar(scalar) => Some(scalar),
            _ => None,
        }
    }

    pub fn is_null(&self) -> bool {
        self.scalar().is_some_and(Scalar::is_null)
    }

    /// What it is, for messages.
    pub fn described(&self) -> String {
        match &self.kind {
            Kind::Scalar(scalar) if scalar.is_null() => "nothing".into(),
            Kind::Scalar(scalar) => shown(&scalar.text),
            Kind::List(list) => format!("a list of {}", list.len()),
            Kind::Map(map) => match map.first() {
                Some((key, _)) => format!("a mapping with {}", shown(&key.scalar.text)),
                None => "an empty mapping".into(),
            },
        }
    }

    /// Its entries; nothing counts as none.
    pub fn map(&self, what: &str) -> Result<&[(Key, Rc<Node>)], Fault> {
        match &self.kind {
            Kind::Map(map) => Ok(map),
            _ if self.is_null() => Ok(&[]),
            _ => Err(Fault::value(self.at, what, "a mapping", self.described())),
        }
    }

    /// The value of a key of a mapping.
    pub fn get(&self, name: &str) -> Option<&Rc<Node>> {
        match &self.kind {
            Kind::Map(map) => map.iter().find(|(key, _)| key.scalar.text == name).map(|(_, node)| node),
            _ => None,
        }
    }
}

/// What is being read.
enum Open {
    List {
        at: RawPosition,
        anchor: usize,
        size: usize,
        items: Vec<Rc<Node>>,
    },
    Map {
        at: RawPosition,
        anchor: usize,
        size: usize,
        entries: Vec<(Key, Rc<Node>)>,
        merged: Vec<Rc<Node>>,
        key: Option<Key>,
    },
}

/// Reads the one document of a text. `most` values at the most, those of aliases included.
pub(crate) fn parse(text: &str, max_values: usize) -> Result<Option<Rc<Node>>, Fault> {
    let mut reader =
        Reader { open: Vec::new(), anchors: HashMap::new(), root: None, max_values, documents: 0 };
    for event in Parser::new_from_str(text) {
        let (event, span) = event.map_err(|error| broken(&error))?;
        reader.event(event, spot(&span))?;
    }
    Ok(reader.root)
}

fn number(n: usize) -> u32 {
    u32::try_from(n).unwrap_or(u32::MAX)
}

fn spot(span: &Span) -> RawPosition {
    RawPosition(number(span.start.line()), number(span.start.col() + 1))
}

fn broken(error: &ScanError) -> Fault {
    let at = RawPosition(number(error.marker().line()), number(error.marker().col() + 1));
    Fault::new(at, Problem::Syntax { expected: "YAML".into(), found: format!("an error: {}", error.info()) })
}

struct Reader {
    open: Vec<Open>,
    /// Finished values with an anchor.
    anchors: HashMap<usize, Rc<Node>>,
    root: Option<Rc<Node>>,
    max_values: usize,
    documents: usize,
}

impl Reader {
    fn event(&mut self, event: Event<'_>, at: RawPosition) -> Result<(), Fault> {
        match event {
            Event::DocumentStart(_) => {
                self.documents += 1;
                if self.documents > 1 {
                    let (expected, found) = ("one document".into(), "a second one".into());
                    return Err(Fault::new(at, Problem::Syntax { expected, found }));
                }
                Ok(())
            }
            Event::Scalar(text, style, anchor, tag) => {
                let (text, plain) = (text.into_owned(), style == ScalarStyle::Plain);
                let (plain, tag) = tagged(plain, tag.as_deref());
                self.value(Node { at, kind: Kind::Scalar(Scalar { text, plain, tag }), size: 1 }, anchor)
            }
            Event::SequenceStart(anchor, _) => {
                self.nest(Open::List { at, anchor, size: 1, items: Vec::new() }, at)
            }
            Event::MappingStart(anchor, _) => {
                let (entries, merged) = (Vec::new(), Vec::new());
                self.nest(Open::Map { at, anchor, size: 1, entries, merged, key: None }, at)
            }
            Event::SequenceEnd | Event::MappingEnd => self.close(),
            Event::Alias(anchor) => {
                let Some(target) = self.anchors.get(&anchor).cloned() else {
                    let found = "an alias of what it stands in".to_string();
                    let expected = "an alias of a value that is complete".to_string();
                    return Err(Fault::new(at, Problem::Syntax { expected, found }));
                };
                self.put(target, at)
            }
            Event::Nothing | Event::StreamStart | Event::StreamEnd | Event::DocumentEnd => Ok(()),
        }
    }

    fn nest(&mut self, open: Open, at: RawPosition) -> Result<(), Fault> {
        if self.open.len() >= MOST_DEPTH {
            let problem = Problem::LimitExceeded { what: "levels", max: MOST_DEPTH, found: "more".into() };
            return Err(Fault::new(at, problem));
        }
        self.open.push(open);
        Ok(())
    }

    fn value(&mut self, node: Node, anchor: usize) -> Result<(), Fault> {
        let at = node.at;
        let node = Rc::new(node);
        if anchor > 0 {
            self.anchors.insert(anchor, node.clone());
        }
        self.put(node, at)
    }

    fn close(&mut self) -> Result<(), Fault> {
        match self.open.pop() {
            Some(Open::List { at, anchor, size, items }) => {
                self.value(Node { at, kind: Kind::List(items), size }, anchor)
            }
            Some(Open::Map { at, anchor, size, mut entries, merged, .. }) => {
                once_each(&entries)?;
                // What is merged in gives way to what is written, and the later to the first.
                for (key, node) in merged.iter().flat_map(|node| node.map("<<")).flatten() {
                    if !entries.iter().any(|(known, _)| known.scalar.text == key.scalar.text) {
                        entries.push((key.clone(), node.clone()));
                    }
                }
                self.value(Node { at, kind: Kind::Map(entries), size }, anchor)
            }
            None => Ok(()),
        }
    }

    /// Puts a value where it belongs: counted, so that aliases of aliases can't grow without end.
    fn put(&mut self, node: Rc<Node>, at: RawPosition) -> Result<(), Fault> {
        let added = node.size;
        let grown = match self.open.last_mut() {
            None => {
                self.root = Some(node);
                return Ok(());
            }
            Some(Open::List { size, items, .. }) => {
                *size = size.saturating_add(added);
                items.push(node);
                *size
            }
            Some(Open::Map { size, entries, merged, key, .. }) => {
                *size = size.saturating_add(added);
                let grown = *size;
                match key.take() {
                    None => {
                        let Kind::Scalar(scalar) = &node.kind else {
                            return Err(Fault::value(at, "key", "text", node.described()));
                        };
                        *key = Some(Key { at, scalar: scalar.clone() });
                    }
                    Some(name) if name.scalar.plain && name.scalar.text == "<<" => merge(merged, &node, at)?,
                    Some(name) => {
                        entries.push((name, node));
                    }
                }
                grown
            }
        };
        if grown > self.max_values {
            let (what, max) = ("values, those of aliases included", self.max_values);
            return Err(Fault::new(
                at,
                Problem::LimitExceeded { what, max, found: format!("{grown} or more") },
            ));
        }
        Ok(())
    }
}

fn merge(merged: &mut Vec<Rc<Node>>, node: &Rc<Node>, at: RawPosition) -> Result<(), Fault> {
    let bad = |node: &Node| Fault::value(at, "<<", "a mapping or a list of mappings", node.described());
    match &node.kind {
        Kind::Map(_) => merged.push(node.clone()),
        Kind::List(list) => {
            if let Some(other) = list.iter().find(|n| !matches!(n.kind, Kind::Map(_))) {
                return Err(bad(other));
            }
            merged.extend(list.iter().cloned());
        }
        Kind::Scalar(_) => return Err(bad(node)),
    }
    Ok(())
}

/// Whether the value is still open to doubt, and the tag that is not known.
fn tagged(plain: bool, tag: Option<&Tag>) -> (bool, Option<String>) {
    match tag {
        None => (plain, None),
        // `!!str` and `!` say that it is text.
        Some(tag) if tag.is_yaml_core_schema() && tag.suffix == "str" => (false, None),
        Some(tag) if tag.handle.is_empty() && tag.suffix == "!" => (false, None),
        Some(tag) if tag.is_yaml_core_schema() => (plain, None),
        Some(tag) => (plain, Some(tag.to_string())),
    }
}

/// Refuses a key that a mapping has twice: readers differ in which of the two they keep.
fn once_each(entries: &[(Key, Rc<Node>)]) -> Result<(), Fault> {
    let mut seen: HashMap<&str, RawPosition> = HashMap::with_capacity(entries.len());
    for (key, _) in entries {
        if let Some(first) = seen.insert(&key.scalar.text, key.at) {
            let (what, value) = ("key", key.scalar.text.clone());
            return Err(Fault { at: key.at, what: FaultKind::Duplicate { what, value, first } });
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn words_that_readers_take_for_something_else_are_in_doubt() {
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
            assert!(doubt(text).is_some(), "{text}");
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
            assert!(doubt(text).is_none(), "{text}: {:?}", doubt(text));
        }
    }

    #[test]
    fn aliases_are_counted_as_what_they_stand_for() {
        let mut text = "a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n".to_string();
        for level in 1..12 {
            let before = format!("*a{}", level - 1);
            text += &format!("a{level}: &a{level} [{}]\n", vec![before; 10].join(", "));
        }
        let fault = parse(&text, 100_000).unwrap_err();
        assert!(matches!(fault.what, FaultKind::Plain(Problem::LimitExceeded { .. })), "{fault:?}");
        assert!(parse("a: &a {b: *a}\n", 100).is_err(), "an alias of itself");
        assert!(parse(&"[".repeat(100), 1000).is_err());
    }

    #[test]
    fn merged_keys_give_way_to_those_that_are_written() {
        let root = parse("base: &base {a: 1, b: 2}\nnode: {<<: *base, b: 3}\n", 100).unwrap().unwrap();
        let node = root.get("node").unwrap();
        assert_eq!(node.get("a").unwrap().scalar().unwrap().text, "1");
        assert_eq!(node.get("b").unwrap().scalar().unwrap().text, "3");
        assert!(parse("a: 1\nb: 2\n'a': 3\n", 100).is_err(), "a key twice");
    }
}
