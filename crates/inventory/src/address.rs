//! Where a node listens.

use std::fmt;
use std::net::{IpAddr, SocketAddr};

/// The longest host name, in bytes (RFC 1123).
const MOST_NAME: usize = 253;
/// The longest part of one between dots.
const MOST_LABEL: usize = 63;

/// A host: an address, or a name that someone else has to look up.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Host {
    /// An IPv4 or IPv6 address. An IPv4 address in IPv6 form is kept as IPv4.
    Ip(IpAddr),
    /// A host name, in lower case.
    Name(String),
}

/// A host and a port.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Address {
    /// The host.
    pub host: Host,
    /// The port, not 0.
    pub port: u16,
}

impl Address {
    /// As a socket address, if no name has to be looked up.
    pub fn socket_address(&self) -> Option<SocketAddr> {
        match self.host {
            Host::Ip(ip) => Some(SocketAddr::new(ip, self.port)),
            Host::Name(_) => None,
        }
    }
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.host {
            Host::Ip(ip) => SocketAddr::new(*ip, self.port).fmt(f),
            Host::Name(name) => write!(f, "{name}:{}", self.port),
        }
    }
}

/// Why a text is no host or port: what was expected.
pub(crate) type Expected = &'static str;

/// Reads a host.
pub(crate) fn host(text: &str) -> Result<Host, Expected> {
    let bare = text.strip_prefix('[').and_then(|t| t.strip_suffix(']')).unwrap_or(text);
    if let Ok(ip) = bare.parse::<IpAddr>() {
        let ip = ip.to_canonical();
        return match ip.is_unspecified() || ip.is_multicast() {
            true => Err("the address of one host"),
            false => Ok(Host::Ip(ip)),
        };
    }
    // A name that ends in a number is an address gone wrong, such as 10.0.0.256 or 010.0.0.1:
    // resolvers read some of these as addresses that nobody meant.
    let last = text.rsplit('.').next().unwrap_or_default();
    if !last.is_empty() && last.bytes().all(|b| b.is_ascii_digit()) || text.contains(':') {
        return Err("an IPv4 address, an IPv6 address, or a host name");
    }
    let label = |label: &str| {
        let fits = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
        !label.is_empty()
            && label.len() <= MOST_LABEL
            && label.bytes().all(fits)
            && !label.starts_with('-')
            && !label.ends_with('-')
    };
    match text.len() <= MOST_NAME && text.split('.').all(label) {
        true => Ok(Host::Name(text.to_ascii_lowercase())),
        false => Err("an IPv4 address, an IPv6 address, or a host name"),
    }
}

/// Reads a port.
pub(crate) fn port(text: &str) -> Result<u16, Expected> {
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit()) && !text.starts_with('0');
    let port = digits.then(|| text.parse::<u16>().ok()).flatten();
    port.ok_or("a port from 1 to 65535, in plain digits")
}

/// Splits a text into a host and, if there is one, a port.
pub(crate) fn split(text: &str) -> (&str, Option<&str>) {
    if let Some(rest) = text.strip_prefix('[') {
        // An IPv6 address in brackets.
        return match rest.split_once(']') {
            Some((host, "")) => (host, None),
            Some((host, after)) => match after.strip_prefix(':') {
                Some(port) => (host, Some(port)),
                None => (text, None),
            },
            None => (text, None),
        };
    }
    match text.split_once(':') {
        // More than one colon and no brackets: an IPv6 address without a port.
        Some((_, after)) if after.contains(':') => (text, None),
        Some((host, port)) => (host, Some(port)),
        None => (text, None),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn hosts_are_addresses_or_names_and_never_numbers_gone_wrong() {
        assert_eq!(host("10.0.0.1"), Ok(Host::Ip("10.0.0.1".parse().unwrap())));
        assert_eq!(host("::ffff:10.0.0.1"), host("10.0.0.1"), "one address in two forms");
        assert_eq!(host("[::1]"), host("0:0:0:0:0:0:0:1"));
        assert_eq!(host("Pricing-3.Example.ORG"), Ok(Host::Name("pricing-3.example.org".into())));
        for bad in
            ["", "10.0.0.256", "010.0.0.1", "10.1", "0.0.0.0", "224.0.0.1", "-a", "a..b", "a b", "é", "::g"]
        {
            assert!(host(bad).is_err(), "{bad}");
        }
        assert!(host(&"a".repeat(64)).is_err());
        assert!(host(&"a.".repeat(127)).is_err());
    }

    #[test]
    fn ports_are_plain_digits() {
        assert_eq!(port("8080"), Ok(8080));
        for bad in ["", "0", "080", "65536", "-1", "+1", "8080 ", "8o80", "99999999999999999999"] {
            assert!(port(bad).is_err(), "{bad}");
        }
    }

    #[test]
    fn a_port_is_told_from_the_colons_of_ipv6() {
        assert_eq!(split("10.0.0.1:80"), ("10.0.0.1", Some("80")));
        assert_eq!(split("[::1]:80"), ("::1", Some("80")));
        assert_eq!(split("[::1]"), ("::1", None));
        assert_eq!(split("fe80::1"), ("fe80::1", None));
        assert_eq!(split("host"), ("host", None));
        assert_eq!(split("host:"), ("host", Some("")));
        assert_eq!(split("[::1"), ("[::1", None));
    }
}
