//! The table `[fleet]`: the other proxies that this proxy exchanges evidence about nodes with.

use super::check::{
    InvalidValue, check_integer, check_millis, check_number, invalid, parse_address, resolve_path,
};
use dewpier_peers::Key;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::Spanned;

/// Maximum number of listed proxies.
const MAX_PROXIES: usize = 10_000;
/// Maximum quorum, in proxies.
const MAX_QUORUM: usize = 64;
/// Minimum and maximum size of the shared secret, in bytes.
const SECRET_BYTES: [usize; 2] = [16, 4096];
/// Longest name of a proxy, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// The configuration of a proxy's fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// The proxy's name, unique in the fleet.
    pub name: String,
    /// Names of the other proxies.
    pub peers: BTreeSet<String>,
    /// The transport of datagrams between the proxies.
    pub carrier: TransportConfig,
    /// The key that all proxies of the fleet share.
    pub key: Key,
    /// Interval between datagrams to each partner.
    pub send_interval: Duration,
    /// The file in which a process persists its evidence for its successor, if any.
    pub snapshot_file: Option<PathBuf>,
    /// Settings of the verdicts on nodes.
    pub verdict_settings: dewpier_verdicts::Settings,
}

/// The configured transport of datagrams between proxies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransportConfig {
    /// UDP sockets.
    Datagrams {
        /// The address on which datagrams are received.
        listen: SocketAddr,
        /// The addresses of the other proxies, by name.
        peer_addresses: BTreeMap<String, SocketAddr>,
    },
    /// The planners that a forwarder follows relay the datagrams.
    Planners,
}

/// The table `[fleet]` as written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawFleet {
    name: Spanned<String>,
    carrier: Option<Spanned<String>>,
    listen: Option<Spanned<String>>,
    peers: Spanned<Vec<RawPeer>>,
    key_file: Spanned<String>,
    every_ms: Option<Spanned<i64>>,
    snapshot_file: Option<Spanned<String>>,
    stale_ms: Option<Spanned<i64>>,
    quorum: Option<Spanned<i64>>,
    most_out: Option<Spanned<f64>>,
    slow_factor: Option<Spanned<f64>>,
    silent_after_ms: Option<Spanned<i64>>,
}

/// An entry of `peers` as written.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawPeer {
    name: Spanned<String>,
    address: Option<Spanned<String>>,
}

/// Checks the name of a proxy.
fn check_name(raw: &Spanned<String>) -> Result<String, InvalidValue> {
    let text = raw.get_ref();
    if !(1..=MAX_NAME_BYTES).contains(&text.len()) || text.chars().any(char::is_control) {
        let expected = format!("1 to {MAX_NAME_BYTES} bytes without control characters");
        return invalid(raw.span(), "name", &expected, format!("'{}'", text.escape_debug()));
    }
    Ok(text.clone())
}

/// Reads the shared secret and derives the key from it.
fn read_key(raw: &Spanned<String>, path: &Path) -> Result<Key, InvalidValue> {
    let file = resolve_path(path, Path::new(raw.get_ref()));
    let expected =
        format!("a file of {} to {} bytes that all proxies share", SECRET_BYTES[0], SECRET_BYTES[1]);
    let secret = match std::fs::read(&file) {
        Ok(secret) => secret,
        Err(error) => {
            return invalid(raw.span(), "key_file", &expected, format!("{}: {error}", file.display()));
        }
    };
    match (SECRET_BYTES[0]..=SECRET_BYTES[1]).contains(&secret.len()) {
        true => Ok(Key::from_secret(&secret)),
        false => invalid(
            raw.span(),
            "key_file",
            &expected,
            format!("{} bytes in {}", secret.len(), file.display()),
        ),
    }
}

/// Checks the path of the snapshot file. Its folder must exist, the file itself need not.
fn check_snapshot_path(raw: &Spanned<String>, path: &Path) -> Result<PathBuf, InvalidValue> {
    let file = resolve_path(path, Path::new(raw.get_ref()));
    let expected = "a file in a folder that is there";
    // A bare file name next to a configuration given by its bare file name is in the current folder.
    let folder =
        file.parent().map(|folder| if folder.as_os_str().is_empty() { Path::new(".") } else { folder });
    if file.file_name().is_none() || !folder.is_some_and(Path::is_dir) || file.is_dir() {
        return invalid(raw.span(), "snapshot_file", expected, format!("'{}'", file.display()));
    }
    Ok(file)
}

/// Whether planners relay the datagrams. `follows_planners` says whether the configuration has `[planners]`.
fn uses_planners(raw: &RawFleet, follows_planners: bool) -> Result<bool, InvalidValue> {
    let Some(carrier) = &raw.carrier else { return Ok(false) };
    match (carrier.get_ref().as_str(), follows_planners) {
        ("datagrams", _) => Ok(false),
        ("planners", true) => Ok(true),
        ("planners", false) => invalid(carrier.span(), "carrier", "a forwarder with [planners]", "none"),
        (other, _) => {
            let found = format!("'{}'", other.escape_debug());
            invalid(carrier.span(), "carrier", "\"datagrams\" or \"planners\"", found)
        }
    }
}

/// Checks an address that UDP requires and relaying by planners excludes. `missing_span` is the position reported for
/// a missing one.
fn check_address(
    raw: &Option<Spanned<String>>,
    key: &'static str,
    uses_planners: bool,
    missing_span: std::ops::Range<usize>,
) -> Result<Option<SocketAddr>, InvalidValue> {
    match raw {
        None if uses_planners => Ok(None),
        None => invalid(missing_span, key, "address:port, as datagrams go by address", "none"),
        Some(raw) if uses_planners => {
            let found = format!("'{}'", raw.get_ref().escape_debug());
            invalid(raw.span(), key, "none, as planners carry what is said", found)
        }
        Some(raw) => parse_address(raw, key).map(Some),
    }
}

/// Checks the table. `follows_planners` says whether the configuration has `[planners]`.
pub(super) fn check_fleet(
    raw: &RawFleet,
    follows_planners: bool,
    path: &Path,
) -> Result<FleetConfig, InvalidValue> {
    let uses_planners = uses_planners(raw, follows_planners)?;
    let own_name = check_name(&raw.name)?;
    let listed = raw.peers.get_ref();
    if listed.len() > MAX_PROXIES {
        return invalid(raw.peers.span(), "peers", &format!("at most {MAX_PROXIES}"), listed.len());
    }
    let (mut peers, mut addresses) = (BTreeSet::new(), BTreeMap::new());
    for peer in listed {
        let peer_name = check_name(&peer.name)?;
        let address = check_address(&peer.address, "address", uses_planners, peer.name.span())?;
        // All proxies may share one list, which then contains this proxy too.
        if peer_name == own_name {
            continue;
        }
        addresses.extend(address.map(|address| (peer_name.clone(), address)));
        if !peers.insert(peer_name.clone()) {
            return invalid(
                peer.name.span(),
                "name",
                "a name that no other proxy has",
                format!("'{peer_name}' again"),
            );
        }
    }
    let send_interval = check_millis(&raw.every_ms, "every_ms", [50, 10_000], 250)?;
    let stale = check_millis(&raw.stale_ms, "stale_ms", [2000, 300_000], 30_000)?;
    // Three exchanges must fit into the part of `stale_ms` in which reports of others count.
    if send_interval * 6 > stale {
        let span = raw.every_ms.as_ref().or(raw.stale_ms.as_ref()).map_or(0..0, Spanned::span);
        let expected = format!("every_ms to be at most a sixth of stale_ms, {} ms", stale.as_millis() / 6);
        return invalid(span, "every_ms", &expected, format!("{} ms", send_interval.as_millis()));
    }
    let proxies = peers.len() + 1;
    // A quorum larger than the number of proxies could never be reached.
    let max_quorum = proxies.clamp(2, MAX_QUORUM);
    let quorum =
        check_integer(&raw.quorum, "quorum", [2, MAX_QUORUM as i64], max_quorum.min(3) as i64)? as usize;
    if let Some(raw) = raw.quorum.as_ref().filter(|_| quorum > max_quorum) {
        return invalid(
            raw.span(),
            "quorum",
            &format!("from 2 to {max_quorum}, as there are {proxies} proxies"),
            quorum,
        );
    }
    let verdict_settings = dewpier_verdicts::Settings {
        max_evidence_age: stale,
        quorum,
        max_ejected: check_number(&raw.most_out, "most_out", [0.0, 0.9], 0.3)?,
        slow_factor: check_number(&raw.slow_factor, "slow_factor", [1.5, 100.0], 4.0)?,
        silent_after: check_millis(&raw.silent_after_ms, "silent_after_ms", [20, 60_000], 1000)?,
        fleet_size: proxies,
        ..dewpier_verdicts::Settings::default()
    };
    let carrier = match check_address(&raw.listen, "listen", uses_planners, raw.name.span())? {
        Some(listen) => TransportConfig::Datagrams { listen, peer_addresses: addresses },
        None => TransportConfig::Planners,
    };
    let snapshot_file = raw.snapshot_file.as_ref().map(|raw| check_snapshot_path(raw, path)).transpose()?;
    Ok(FleetConfig {
        name: own_name,
        peers,
        carrier,
        key: read_key(&raw.key_file, path)?,
        send_interval,
        snapshot_file,
        verdict_settings,
    })
}
