//! The table `[planners]`: the planners that a forwarder follows.

use super::check::{InvalidValue, check_integer, invalid, resolve_path};
use super::inventory::Inventory;
use super::secured::{RawTls, check_drain_bound, check_secure_address, check_tls, check_within_drain_bound};
use dewpier_plan::io::CertificateFiles;
use dewpier_plan::{DrainBound, MAX_NAME_BYTES, MAX_NODES, MAX_PLANNERS};
use gannetproxy::engine::MAX_QUEUED_SECONDS;
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::Spanned;

/// The planners that a forwarder follows, and how it follows them.
#[derive(Clone, Debug)]
pub struct Planners {
    /// The planners' addresses.
    pub addresses: Vec<SocketAddr>,
    /// The forwarder's name.
    pub name: String,
    /// Maximum time from a planner's drain notice until nothing new is sent to the node.
    pub drain_bound: DrainBound,
    /// Interval between heartbeats to each planner.
    pub heartbeat_interval: Duration,
    /// Maximum number of nodes that the forwarder uses; none for all.
    pub max_nodes: Option<usize>,
    /// The inventory that the forwarder watches itself while all planners are silent.
    pub own_inventory: Option<Inventory>,
    /// Maximum of the random delay before the forwarder starts its own watch.
    pub own_watch_spread: Duration,
    /// The files of TLS; none where connections are plain.
    pub tls: Option<CertificateFiles>,
    /// The Unix socket on which the forwarder reports its status.
    pub status_socket: Option<PathBuf>,
}

/// The table `[planners]` as written.
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

/// Checks the table.
pub(super) fn check_planners(
    raw: &RawPlanners,
    own_inventory: Option<Inventory>,
    path: &Path,
) -> Result<Planners, InvalidValue> {
    let listed = raw.addresses.get_ref();
    if listed.is_empty() || listed.len() > MAX_PLANNERS {
        let expected = format!("1 to {MAX_PLANNERS}");
        return invalid(raw.addresses.span(), "addresses", &expected, listed.len());
    }
    let name = raw.name.get_ref();
    if !(1..=MAX_NAME_BYTES).contains(&name.len()) || name.chars().any(char::is_control) {
        return invalid(raw.name.span(), "name", "1 to 253 bytes without control characters", name.len());
    }
    let tls = check_tls(&raw.tls, raw.plaintext, raw.addresses.span(), path)?;
    let max_nodes = check_integer(&raw.nodes, "nodes", [1, MAX_NODES as i64], 1)?;
    let drain_bound = check_drain_bound(&raw.drain_ms)?;
    let heartbeat_interval = check_within_drain_bound(
        &raw.beat_ms,
        "beat_ms",
        drain_bound,
        drain_bound.heartbeat_range(),
        drain_bound.default_heartbeat(),
    )?;
    let allowed_spreads =
        drain_bound.spread_range(heartbeat_interval, Duration::from_secs_f64(MAX_QUEUED_SECONDS));
    let default_spread = drain_bound.remaining_lease(heartbeat_interval);
    let own_watch_spread = check_within_drain_bound(
        &raw.own_watch_spread_ms,
        "own_watch_spread_ms",
        drain_bound,
        allowed_spreads,
        default_spread,
    )?;
    Ok(Planners {
        addresses: listed
            .iter()
            .map(|address| check_secure_address(address, "addresses", &tls))
            .collect::<Result<_, _>>()?,
        name: name.clone(),
        drain_bound,
        heartbeat_interval,
        max_nodes: raw.nodes.as_ref().and_then(|_| usize::try_from(max_nodes).ok()),
        own_inventory,
        own_watch_spread,
        tls,
        status_socket: raw.status.as_ref().map(|file| resolve_path(path, file)),
    })
}
