//! The values of a node, checked the same way whatever form they stand in.

use crate::State;
use crate::address::{self, Address};
use crate::error::{Fault, RawPosition, shown};

/// The longest id or zone, in bytes.
const MOST_TEXT: usize = 253;

/// A value as the file has it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Raw<'a> {
    pub text: &'a str,
    pub at: RawPosition,
}

impl Raw<'_> {
    fn fault(&self, what: &str, expected: &str) -> Fault {
        Fault::value(self.at, what, expected, shown(self.text))
    }

    /// An id, or another name that is kept as it stands.
    pub fn name(&self, what: &'static str) -> Result<&str, Fault> {
        let text = self.text.trim();
        // The usual name is plain ASCII: it is looked at once.
        let plain = text.bytes().all(|b| (0x20..0x7f).contains(&b));
        if text.is_empty() || text.len() > MOST_TEXT || !plain && text.chars().any(char::is_control) {
            return Err(self.fault(what, "1 to 253 bytes without control characters"));
        }
        Ok(text)
    }

    pub fn zone(&self) -> Result<&str, Fault> {
        if self.text.trim().is_empty() { Ok("") } else { self.name("zone") }
    }

    pub fn cell(&self) -> Result<u32, Fault> {
        let text = self.text.trim();
        let plain = text == "0" || !text.starts_with('0');
        let cell = text.parse().ok().filter(|_| plain && text.bytes().all(|b| b.is_ascii_digit()));
        cell.ok_or_else(|| self.fault("cell", "a whole number from 0 to 4294967295, in plain digits"))
    }

    /// A weight. `comma` where the decimal point may be a comma, as spreadsheets write it that
    /// separate values by semicolons; with three digits behind it, it might separate thousands.
    pub fn weight(&self, comma: bool) -> Result<f64, Fault> {
        let expected = "a number not below 0, such as 1 or 0.5";
        let text = self.text.trim();
        let (whole, part) = match text.split_once(',') {
            Some((whole, part)) if comma && (1..=2).contains(&part.len()) => (whole, Some(part)),
            Some(_) => return Err(self.fault("weight", expected)),
            None => match text.split_once('.') {
                Some((whole, part)) => (whole, Some(part)),
                None => (text, None),
            },
        };
        let digits = |t: &str| !t.is_empty() && t.bytes().all(|b| b.is_ascii_digit());
        let plain = digits(whole) && (whole == "0" || !whole.starts_with('0')) && part.is_none_or(digits);
        // Plain digits alone: no exponent, no sign, nothing that one reader takes for infinity.
        let value = match part {
            Some(part) if comma => format!("{whole}.{part}").parse::<f64>(),
            _ => text.parse::<f64>(),
        };
        match value {
            Ok(weight) if plain && weight.is_finite() => Ok(weight),
            _ => Err(self.fault("weight", expected)),
        }
    }

    pub fn state(&self) -> Result<State, Fault> {
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

/// The values of one node, before they are checked. What is absent or blank is None.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Fields<'a> {
    /// Where the node is named, for what is missing.
    pub at: RawPosition,
    pub id: Option<Raw<'a>>,
    /// Host and perhaps port.
    pub address: Option<Raw<'a>>,
    /// Host alone, where it stands apart.
    pub host: Option<Raw<'a>>,
    pub port: Option<Raw<'a>>,
    pub zone: Option<Raw<'a>>,
    pub cell: Option<Raw<'a>>,
    pub weight: Option<Raw<'a>>,
    pub state: Option<Raw<'a>>,
    /// The decimal point of weights may be a comma.
    pub comma: bool,
}

impl<'a> Fields<'a> {
    /// Host and port from wherever they stand. Two places that name one must agree.
    pub fn address(&self, default_port: Option<u16>) -> Result<Address, Fault> {
        let (host, mut ports) = match (self.address, self.host) {
            (Some(address), host) => {
                let (text, port) = address::split(address.text.trim());
                if let Some(host) = host.filter(|h| !h.text.trim().eq_ignore_ascii_case(text)) {
                    let what = "host".to_string();
                    let (expected, first, found) = (shown(text), address.at, shown(host.text));
                    let what = crate::error::FaultKind::Conflict { what, expected, first, found };
                    return Err(Fault { at: host.at, what });
                }
                (Raw { text, at: address.at }, port.map(|text| Raw { text, at: address.at }))
            }
            // A host may bring its port along all the same.
            (None, Some(host)) => {
                let (text, port) = address::split(host.text.trim());
                (Raw { text, at: host.at }, port.map(|text| Raw { text, at: host.at }))
            }
            (None, None) => {
                return Err(Fault::value(self.at, "address", "host:port, or a host and a port", "none"));
            }
        };
        if let (Some(inner), Some(outer)) = (ports, self.port)
            && inner.text != outer.text.trim()
        {
            let (what, found) = ("port".to_string(), shown(outer.text));
            let (expected, first) = (shown(inner.text), inner.at);
            let what = crate::error::FaultKind::Conflict { what, expected, first, found };
            return Err(Fault { at: outer.at, what });
        }
        ports = ports.or(self.port);
        let port = match (ports, default_port) {
            (Some(port), _) => {
                let text = Raw { text: port.text.trim(), at: port.at };
                address::port(text.text).map_err(|expected| text.fault("port", expected))?
            }
            (None, Some(port)) => port,
            (None, None) => {
                let found = format!("none in {}", shown(host.text));
                return Err(Fault::value(host.at, "port", "a port from 1 to 65535", found));
            }
        };
        let host = address::host(host.text).map_err(|expected| host.fault("host", expected))?;
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
    fn weights_are_plain_numbers() {
        for (text, comma, weight) in
            [("1", false, 1.0), ("0", false, 0.0), ("0.5", false, 0.5), ("1,5", true, 1.5)]
        {
            assert_eq!(raw(text).weight(comma).unwrap(), weight);
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
            assert!(raw(text).weight(false).is_err(), "{text}");
        }
        assert!(raw("1,500").weight(true).is_err(), "a thousand and a half, or one and a half?");
    }

    #[test]
    fn cells_are_plain_digits() {
        assert_eq!((raw("0").cell().unwrap(), raw(" 12 ").cell().unwrap()), (0, 12));
        for text in ["", "012", "-1", "+1", "1.0", "4294967296"] {
            assert!(raw(text).cell().is_err(), "{text}");
        }
    }
}
