//! What forwarders and planners both set: the bound on drains, and how their connections are secured.

use super::check::{Wrong, address, beside, millis, wrong};
use dewpier_plan::DrainBound;
use dewpier_plan::io::CertificateFiles;
use serde::Deserialize;
use std::net::SocketAddr;
use std::ops::{Range, RangeInclusive};
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::Spanned;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawTls {
    authority: PathBuf,
    certificate: PathBuf,
    key: PathBuf,
}

/// How long after a planner's word that a node drains something new may be begun there.
pub(super) fn drain_bound(value: &Option<Spanned<i64>>) -> Result<DrainBound, Wrong> {
    let [least, most] = [DrainBound::MIN, DrainBound::MAX].map(|bound| bound.as_millis() as i64);
    let default = DrainBound::default().get().as_millis() as i64;
    let bound = millis(value, "drain_ms", [least, most], default)?;
    DrainBound::new(bound).or_else(|unkept| wrong(0..0, "drain_ms", "a bound that can be kept", unkept))
}

/// A time that must lie in what a bound on drains allows.
pub(super) fn fitting(
    value: &Option<Spanned<i64>>,
    what: &str,
    drains: DrainBound,
    range: RangeInclusive<Duration>,
    default: Duration,
) -> Result<Duration, Wrong> {
    let [least, most, default] = [*range.start(), *range.end(), default].map(|time| time.as_millis() as i64);
    let why = |mut wrong: Wrong| {
        wrong.message += &format!(", where drain_ms is {}", drains.get().as_millis());
        wrong
    };
    millis(value, what, [least, most], default).map_err(why)
}

/// The files of TLS, or none where plain connections are asked for.
pub(super) fn secured(
    tls: &Option<RawTls>,
    plaintext: bool,
    span: Range<usize>,
    path: &Path,
) -> Result<Option<CertificateFiles>, Wrong> {
    match (tls, plaintext) {
        (Some(raw), false) => Ok(Some(CertificateFiles {
            authority: beside(path, &raw.authority),
            certificate: beside(path, &raw.certificate),
            key: beside(path, &raw.key),
        })),
        (None, true) => Ok(None),
        (None, false) => {
            wrong(span, "connections", "a table 'tls', or plaintext = true on loopback", "neither")
        }
        (Some(_), true) => wrong(span, "connections", "a table 'tls', or plaintext = true", "both"),
    }
}

/// Where connections are plain, a stranger who could reach them could move traffic.
pub(super) fn reached(
    value: &Spanned<String>,
    what: &str,
    tls: &Option<CertificateFiles>,
) -> Result<SocketAddr, Wrong> {
    let address = address(value, what)?;
    match address.ip().is_loopback() || tls.is_some() {
        true => Ok(address),
        false => wrong(value.span(), what, "a loopback address, as connections are plain", address),
    }
}
