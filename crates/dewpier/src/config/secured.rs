//! Settings that forwarders and planners share: the drain bound, and the security of their connections.

use super::check::{InvalidValue, check_millis, invalid, parse_address, resolve_path};
use dewpier_plan::DrainBound;
use dewpier_plan::io::CertificateFiles;
use serde::Deserialize;
use std::net::SocketAddr;
use std::ops::{Range, RangeInclusive};
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::Spanned;

/// The table `tls` as written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawTls {
    authority: PathBuf,
    certificate: PathBuf,
    key: PathBuf,
}

/// Checks `drain_ms`: the maximum time from a planner's drain notice until nothing new is sent to the node.
pub(super) fn check_drain_bound(value: &Option<Spanned<i64>>) -> Result<DrainBound, InvalidValue> {
    let [min, max] = [DrainBound::MIN, DrainBound::MAX].map(|bound| bound.as_millis() as i64);
    let default = DrainBound::default().get().as_millis() as i64;
    let bound = check_millis(value, "drain_ms", [min, max], default)?;
    DrainBound::new(bound).or_else(|error| invalid(0..0, "drain_ms", "a bound that can be kept", error))
}

/// Checks a duration in milliseconds against the range that the drain bound allows.
pub(super) fn check_within_drain_bound(
    value: &Option<Spanned<i64>>,
    key: &str,
    drain_bound: DrainBound,
    range: RangeInclusive<Duration>,
    default: Duration,
) -> Result<Duration, InvalidValue> {
    let [min, max, default] =
        [*range.start(), *range.end(), default].map(|duration| duration.as_millis() as i64);
    let add_drain_bound = |mut error: InvalidValue| {
        error.message += &format!(", where drain_ms is {}", drain_bound.get().as_millis());
        error
    };
    check_millis(value, key, [min, max], default).map_err(add_drain_bound)
}

/// Checks the table `tls`. Returns its files, or none if the configuration asks for plain connections.
pub(super) fn check_tls(
    tls: &Option<RawTls>,
    plaintext: bool,
    span: Range<usize>,
    path: &Path,
) -> Result<Option<CertificateFiles>, InvalidValue> {
    match (tls, plaintext) {
        (Some(raw), false) => Ok(Some(CertificateFiles {
            authority: resolve_path(path, &raw.authority),
            certificate: resolve_path(path, &raw.certificate),
            key: resolve_path(path, &raw.key),
        })),
        (None, true) => Ok(None),
        (None, false) => {
            invalid(span, "connections", "a table 'tls', or plaintext = true on loopback", "neither")
        }
        (Some(_), true) => invalid(span, "connections", "a table 'tls', or plaintext = true", "both"),
    }
}

/// Checks an address. Without TLS it must be a loopback address: anyone who can connect could redirect traffic.
pub(super) fn check_secure_address(
    value: &Spanned<String>,
    key: &str,
    tls: &Option<CertificateFiles>,
) -> Result<SocketAddr, InvalidValue> {
    let address = parse_address(value, key)?;
    match address.ip().is_loopback() || tls.is_some() {
        true => Ok(address),
        false => invalid(value.span(), key, "a loopback address, as connections are plain", address),
    }
}
