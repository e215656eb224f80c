//! Validates the fields of a node, in the same way for all formats.

use crate::State;
use crate::address::{self, Address};
use crate::error::{Fault, RawPosition, quoted};

/// Maximum length of an id or a zone in bytes.
const MAX_NAME_BYTES: usize = 253;

/// A field's text in the file, with its position.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Raw<'a> {
    pub text: &'a str,
    pub at: RawPosition,
}

impl Raw<'_> {
    fn fault(&self, subject: &str, expected: &str) -> Fault {
        Fault::value(self.at, subject, expected, quoted(self.text))
    }

    /// Parses an id or a zone; `subject` names the field in errors.
    pub fn parse_name(&self, subject: &'static str) -> Result<&str, Fault> {
        let text = self.text.trim();
        // Printable ASCII needs no search for Unicode control characters.
        let is_printable_ascii = text.bytes().all(|b| (0x20..0x7f).contains(&b));
        if text.is_empty()
            || text.len() > MAX_NAME_BYTES
            || !is_printable_ascii && text.chars().any(char::is_control)
        {
            return Err(self.fault(subject, "1 to 253 bytes without control characters"));
        }
        Ok(text)
    }

    /// Parses a zone; blank text is an empty zone.
    pub fn parse_zone(&self) -> Result<&str, Fault> {
        if self.text.trim().is_empty() { Ok("") } else { self.parse_name("zone") }
    }

    /// Parses a cell number.
    pub fn parse_cell(&self) -> Result<u32, Fault> {
        let text = self.text.trim();
        let is_unpadded = text == "0" || !text.starts_with('0');
        let cell = text.parse().ok().filter(|_| is_unpadded && text.bytes().all(|b| b.is_ascii_digit()));
        cell.ok_or_else(|| self.fault("cell", "a whole number from 0 to 4294967295, in plain digits"))
    }

    /// Parses a weight. `allow_comma` permits a decimal comma, as in tables with semicolons or tabs as
    /// separators, with one or two digits after it: before three digits it may be a thousands separator.
    pub fn parse_weight(&self, allow_comma: bool) -> Result<f64, Fault> {
        let expected = "a number not below 0, such as 1 or 0.5";
        let text = self.text.trim();
        let (whole, part) = match text.split_once(',') {
            Some((whole, part)) if allow_comma && (1..=2).contains(&part.len()) => (whole, Some(part)),
            Some(_) => return Err(self.fault("weight", expected)),
            None => match text.split_once('.') {
                Some((whole, part)) => (whole, Some(part)),
                None => (text, None),
            },
        };
        let is_digits = |digits: &str| !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_digit());
        let is_plain =
            is_digits(whole) && (whole == "0" || !whole.starts_with('0')) && part.is_none_or(is_digits);
        // `f64::from_str` also accepts signs, exponents and infinities, which `is_plain` excludes.
        let value = match part {
            Some(part) if allow_comma => format!("{whole}.{part}").parse::<f64>(),
            _ => text.parse::<f64>(),
        };
        match value {
            Ok(weight) if is_plain && weight.is_finite() => Ok(weight),
            _ => Err(self.fault("weight", expected)),
        }
    }

    /// Parses a state; blank text is [`State::Serving`].
    pub fn parse_state(&self) -> Result<State, Fault> {
        let text = self.text.trim();
        if text.is_empty() || text.eq_ignore_ascii_case("serving") {
            Ok(State::Serving)
        } else if text.eq_ignore_ascii_case("draining") {
            Ok(State::Draining)
        } else {
            Err(self.fault("state", "serving or draining"))
        }
    }
}

/// The fields of one node before validation. A missing or blank field is None.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Fields<'a> {
    /// The position of the node, reported for missing fields.
    pub at: RawPosition,
    pub id: Option<Raw<'a>>,
    /// Host with an optional port.
    pub address: Option<Raw<'a>>,
    /// Host in a field of its own.
    pub host: Option<Raw<'a>>,
    pub port: Option<Raw<'a>>,
    pub zone: Option<Raw<'a>>,
    pub cell: Option<Raw<'a>>,
    pub weight: Option<Raw<'a>>,
    pub state: Option<Raw<'a>>,
    /// Whether weights may have a decimal comma.
    pub allow_comma: bool,
}

impl<'a> Fields<'a> {
    /// Combines the address, host and port fields. Fields that give the same part must agree.
    pub fn parse_address(&self, default_port: Option<u16>) -> Result<Address, Fault> {
        let (host, mut embedded_port) = match (self.address, self.host) {
            (Some(address), host) => {
                let (text, port) = address::split_port(address.text.trim());
                if let Some(host) = host.filter(|h| !h.text.trim().eq_ignore_ascii_case(text)) {
                    let subject = "host".to_string();
                    let (expected, first, found) = (quoted(text), address.at, quoted(host.text));
                    let kind = crate::error::FaultKind::Conflict { subject, expected, first, found };
                    return Err(Fault { at: host.at, kind });
                }
                (Raw { text, at: address.at }, port.map(|text| Raw { text, at: address.at }))
            }
            // The host field may include a port.
            (None, Some(host)) => {
                let (text, port) = address::split_port(host.text.trim());
                (Raw { text, at: host.at }, port.map(|text| Raw { text, at: host.at }))
            }
            (None, None) => {
                return Err(Fault::value(self.at, "address", "host:port, or a host and a port", "none"));
            }
        };
        if let (Some(inner), Some(outer)) = (embedded_port, self.port)
            && inner.text != outer.text.trim()
        {
            let (subject, found) = ("port".to_string(), quoted(outer.text));
            let (expected, first) = (quoted(inner.text), inner.at);
            let kind = crate::error::FaultKind::Conflict { subject, expected, first, found };
            return Err(Fault { at: outer.at, kind });
        }
        embedded_port = embedded_port.or(self.port);
        let port = match (embedded_port, default_port) {
            (Some(port), _) => {
                let text = Raw { text: port.text.trim(), at: port.at };
                address::parse_port(text.text).map_err(|expected| text.fault("port", expected))?
            }
            (None, Some(port)) => port,
            (None, None) => {
                let found = format!("none in {}", quoted(host.text));
                return Err(Fault::value(host.at, "port", "a port from 1 to 65535", found));
            }
        };
        let host = address::parse_host(host.text).map_err(|expected| host.fault("host", expected))?;
        Ok(Address { host, port })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn raw(text: &str) -> Raw<'_> {
        Raw { text, at: RawPosition(1, 1) }
    }

    #[test]
    fn weights_other_than_plain_numbers_are_rejected() {
        for (text, allow_comma, weight) in
            [("1", false, 1.0), ("0", false, 0.0), ("0.5", false, 0.5), ("1,5", true, 1.5)]
        {
            assert_eq!(raw(text).parse_weight(allow_comma).unwrap(), weight);
        }
        for text in [
            "NaN",
            "nan",
            "inf",
            "-1",
            "+1",
            "1e3",
            "",
            ".5",
            "1.",
            "01",
            "1,5",
            "0x1",
            "1 000",
            &"9".repeat(400),
        ] {
            assert!(raw(text).parse_weight(false).is_err(), "{text}");
        }
        assert!(raw("1,500").parse_weight(true).is_err(), "comma may separate thousands");
    }

    #[test]
    fn cells_other_than_plain_digits_are_rejected() {
        assert_eq!((raw("0").parse_cell().unwrap(), raw(" 12 ").parse_cell().unwrap()), (0, 12));
        for text in ["", "012", "-1", "+1", "1.0", "4294967296"] {
            assert!(raw(text).parse_cell().is_err(), "{text}");
        }
    }
}
