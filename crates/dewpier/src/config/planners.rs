//! The table `[planners]` of a forwarder.

use super::check::{Wrong, beside, whole, wrong};
use super::inventory::Inventory;
use super::secured::{RawTls, drain_bound, fitting, reached, secured};
use dewpier_plan::io::CertificateFiles;
use dewpier_plan::{DrainBound, MAX_NAME_BYTES, MAX_NODES, MAX_PLANNERS};
use gannetproxy::engine::MAX_QUEUED_SECONDS;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::Spanned;

/// The planners of a forwarder.
#[derive(Clone, Debug)]
pub struct Planners {
    /// Where they are.
    pub addresses: Vec<SocketAddr>,
    /// The forwarder's name.
    pub name: String,
    /// Within which drains are kept.
    pub drains: DrainBound,
    /// How often each is asked.
    pub beat: Duration,
    /// How many nodes it uses; none for all.
    pub nodes: Option<usize>,
    /// What the forwarder watches itself while all planners are silent.
    pub own: Option<Inventory>,
    /// The longest wait before it does.
    pub spread: Duration,
    /// The files by which connections are secured; none where they are plain.
    pub tls: Option<CertificateFiles>,
    /// Where it says what it goes by, to those who may open that socket.
    pub status: Option<PathBuf>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawPlanners {
    addresses: Spanned<Vec<Spanned<String>>>,
    name: Spanned<String>,
    drain_ms: Option<Spanned<i64>>,
    beat_ms: Option<Spanned<i64>>,
    nodes: Option<Spanned<i64>>,
    own_watch_spread_ms: Option<Spanned<i64>>,
    #[serde(default)]
    plaintext: bool,
    tls: Option<RawTls>,
    status: Option<PathBuf>,
}

pub(super) fn planners(raw: &RawPlanners, own: Option<Inventory>, path: &Path) -> Result<Planners, Wrong> {
    let listed = raw.addresses.get_ref();
    if listed.is_empty() || listed.len() > MAX_PLANNERS {
        let expected = format!("1 to {MAX_PLANNERS}");
        return wrong(raw.addresses.span(), "addresses", &expected, listed.len());
    }
    let name = raw.name.get_ref();
    if !(1..=MAX_NAME_BYTES).contains(&name.len()) || name.chars().any(char::is_control) {
        return wrong(raw.name.span(), "name", "1 to 253 bytes without control characters", name.len());
    }
    let tls = secured(&raw.tls, raw.plaintext, raw.addresses.span(), path)?;
    let nodes = whole(&raw.nodes, "nodes", [1, MAX_NODES as i64], 1)?;
    let drains = drain_bound(&raw.drain_ms)?;
    let beat =
        fitting(&raw.beat_ms, "beat_ms", drains, drains.heartbeat_range(), drains.default_heartbeat())?;
    let spreads = drains.spread_range(beat, Duration::from_secs_f64(MAX_QUEUED_SECONDS));
    let spread = drains.remaining_lease(beat);
    let spread = fitting(&raw.own_watch_spread_ms, "own_watch_spread_ms", drains, spreads, spread)?;
    Ok(Planners {
        addresses: listed.iter().map(|a| reached(a, "addresses", &tls)).collect::<Result<_, _>>()?,
        name: name.clone(),
        drains,
        beat,
        nodes: raw.nodes.as_ref().and_then(|_| usize::try_from(nodes).ok()),
        own,
        spread,
        tls,
        status: raw.status.as_ref().map(|file| beside(path, file)),
    })
}
