//! Parses the host and port on which a node listens.

use std::fmt;
use std::net::{IpAddr, SocketAddr};

/// Maximum length of a host name in bytes (RFC 1123).
const MAX_NAME_BYTES: usize = 253;
/// Maximum length of a label of a host name in bytes (RFC 1123).
const MAX_LABEL_BYTES: usize = 63;

/// A host: an IP address or an unresolved host name.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Host {
    /// An IPv4 or IPv6 address. An IPv4-mapped IPv6 address is stored as IPv4.
    Ip(IpAddr),
    /// A host name, in lower case.
    Name(String),
}

/// A host and a port.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Address {
    /// The host.
    pub host: Host,
    /// The port; never 0.
    pub port: u16,
}

impl Address {
    /// The socket address; None if the host is a name.
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

/// The expected input, as the error of a failed parse.
pub(crate) type Expected = &'static str;

/// Parses a host.
pub(crate) fn parse_host(text: &str) -> Result<Host, Expected> {
    let bare = text.strip_prefix('[').and_then(|t| t.strip_suffix(']')).unwrap_or(text);
    if let Ok(ip) = bare.parse::<IpAddr>() {
        let ip = ip.to_canonical();
        return match ip.is_unspecified() || ip.is_multicast() {
            true => Err("the address of one host"),
            false => Ok(Host::Ip(ip)),
        };
    }
    // A name whose last label is a number is a malformed address, such as 10.0.0.256 or 010.0.0.1,
    // and resolvers interpret some of these as different addresses.
    let last_label = text.rsplit('.').next().unwrap_or_default();
    if !last_label.is_empty() && last_label.bytes().all(|b| b.is_ascii_digit()) || text.contains(':') {
        return Err("an IPv4 address, an IPv6 address, or a host name");
    }
    let is_label = |label: &str| {
        let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
        !label.is_empty()
            && label.len() <= MAX_LABEL_BYTES
            && label.bytes().all(is_allowed)
            && !label.starts_with('-')
            && !label.ends_with('-')
    };
    match text.len() <= MAX_NAME_BYTES && text.split('.').all(is_label) {
        true => Ok(Host::Name(text.to_ascii_lowercase())),
        false => Err("an IPv4 address, an IPv6 address, or a host name"),
    }
}

/// Parses a port.
pub(crate) fn parse_port(text: &str) -> Result<u16, Expected> {
    let is_plain = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit()) && !text.starts_with('0');
    let port = is_plain.then(|| text.parse::<u16>().ok()).flatten();
    port.ok_or("a port from 1 to 65535, in plain digits")
}

/// Splits a text into a host and an optional port.
pub(crate) fn split_port(text: &str) -> (&str, Option<&str>) {
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
    fn hosts_are_addresses_or_names_and_malformed_addresses_are_rejected() {
        assert_eq!(parse_host("10.0.0.1"), Ok(Host::Ip("10.0.0.1".parse().unwrap())));
        assert_eq!(
            parse_host("::ffff:10.0.0.1"),
            parse_host("10.0.0.1"),
            "IPv4-mapped IPv6 address equals IPv4"
        );
        assert_eq!(parse_host("[::1]"), parse_host("0:0:0:0:0:0:0:1"));
        assert_eq!(parse_host("Pricing-3.Example.ORG"), Ok(Host::Name("pricing-3.example.org".into())));
        for bad in
            ["", "10.0.0.256", "010.0.0.1", "10.1", "0.0.0.0", "224.0.0.1", "-a", "a..b", "a b", "é", "::g"]
        {
            assert!(parse_host(bad).is_err(), "{bad}");
        }
        assert!(parse_host(&"a".repeat(64)).is_err());
        assert!(parse_host(&"a.".repeat(127)).is_err());
    }

    #[test]
    fn ports_other_than_plain_digits_are_rejected() {
        assert_eq!(parse_port("8080"), Ok(8080));
        for bad in ["", "0", "080", "65536", "-1", "+1", "8080 ", "8o80", "99999999999999999999"] {
            assert!(parse_port(bad).is_err(), "{bad}");
        }
    }

    #[test]
    fn port_is_split_from_host_without_breaking_ipv6() {
        assert_eq!(split_port("10.0.0.1:80"), ("10.0.0.1", Some("80")));
        assert_eq!(split_port("[::1]:80"), ("::1", Some("80")));
        assert_eq!(split_port("[::1]"), ("::1", None));
        assert_eq!(split_port("fe80::1"), ("fe80::1", None));
        assert_eq!(split_port("host"), ("host", None));
        assert_eq!(split_port("host:"), ("host", Some("")));
        assert_eq!(split_port("[::1"), ("[::1", None));
    }
}
