//! The table `[fleet]`: proxies that tell each other what they see of nodes.

use super::check::{Wrong, address, beside, millis, number, whole, wrong};
use dewpier_peers::Key;
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::Spanned;

/// Proxies in a fleet.
const MOST_PROXIES: usize = 10_000;
/// Proxies that may have to agree.
const MOST_QUORUM: usize = 64;
/// Bytes that a key is made from.
const SECRET: [usize; 2] = [16, 4096];
/// Longest name of a proxy, in bytes.
const MOST_NAME: usize = 64;

/// A fleet that a proxy belongs to.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The proxy's name, which no other has.
    pub name: String,
    /// The others by name.
    pub peers: BTreeSet<String>,
    /// What carries datagrams to them.
    pub carrier: Carrier,
    /// What the fleet shares.
    pub key: Key,
    /// How often partners are written to.
    pub every: Duration,
    /// Where a process keeps what it knows for the one that comes after it.
    pub snapshot: Option<PathBuf>,
    /// What verdicts are given by.
    pub verdicts: dewpier_verdicts::Settings,
}

/// What carries datagrams from proxy to proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Carrier {
    /// UDP.
    Datagrams {
        /// Where they come.
        listen: SocketAddr,
        /// Where the others listen.
        at: BTreeMap<String, SocketAddr>,
    },
    /// The planners that a forwarder follows, each in turn.
    Planners,
}

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

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawPeer {
    name: Spanned<String>,
    address: Option<Spanned<String>>,
}

fn name(raw: &Spanned<String>) -> Result<String, Wrong> {
    let text = raw.get_ref();
    if !(1..=MOST_NAME).contains(&text.len()) || text.chars().any(char::is_control) {
        let expected = format!("1 to {MOST_NAME} bytes without control characters");
        return wrong(raw.span(), "name", &expected, format!("'{}'", text.escape_debug()));
    }
    Ok(text.clone())
}

fn key(raw: &Spanned<String>, path: &Path) -> Result<Key, Wrong> {
    let file = beside(path, Path::new(raw.get_ref()));
    let expected = format!("a file of {} to {} bytes that all proxies share", SECRET[0], SECRET[1]);
    let secret = match std::fs::read(&file) {
        Ok(secret) => secret,
        Err(error) => {
            return wrong(raw.span(), "key_file", &expected, format!("{}: {error}", file.display()));
        }
    };
    match (SECRET[0]..=SECRET[1]).contains(&secret.len()) {
        true => Ok(Key::from_secret(&secret)),
        false => {
            wrong(raw.span(), "key_file", &expected, format!("{} bytes in {}", secret.len(), file.display()))
        }
    }
}

/// The file need not be there, its folder must be.
fn snapshot(raw: &Spanned<String>, path: &Path) -> Result<PathBuf, Wrong> {
    let file = beside(path, Path::new(raw.get_ref()));
    let expected = "a file in a folder that is there";
    // A name alone, beside a configuration that is named alone, is in the folder that the program was started in.
    let folder =
        file.parent().map(|folder| if folder.as_os_str().is_empty() { Path::new(".") } else { folder });
    if file.file_name().is_none() || !folder.is_some_and(Path::is_dir) || file.is_dir() {
        return wrong(raw.span(), "snapshot_file", expected, format!("'{}'", file.display()));
    }
    Ok(file)
}

/// Whether planners carry datagrams.
fn by_planners(raw: &RawFleet, planners: bool) -> Result<bool, Wrong> {
    let Some(named) = &raw.carrier else { return Ok(false) };
    match (named.get_ref().as_str(), planners) {
        ("datagrams", _) => Ok(false),
        ("planners", true) => Ok(true),
        ("planners", false) => wrong(named.span(), "carrier", "a forwarder with [planners]", "none"),
        (other, _) => {
            let found = format!("'{}'", other.escape_debug());
            wrong(named.span(), "carrier", "\"datagrams\" or \"planners\"", found)
        }
    }
}

/// An address that datagrams need and planners do not.
fn at(
    raw: &Option<Spanned<String>>,
    key: &'static str,
    by_planners: bool,
    without: std::ops::Range<usize>,
) -> Result<Option<SocketAddr>, Wrong> {
    match raw {
        None if by_planners => Ok(None),
        None => wrong(without, key, "address:port, as datagrams go by address", "none"),
        Some(raw) if by_planners => {
            let found = format!("'{}'", raw.get_ref().escape_debug());
            wrong(raw.span(), key, "none, as planners carry what is said", found)
        }
        Some(raw) => address(raw, key).map(Some),
    }
}

pub(super) fn fleet(raw: &RawFleet, planners: bool, path: &Path) -> Result<Fleet, Wrong> {
    let by_planners = by_planners(raw, planners)?;
    let own = name(&raw.name)?;
    let listed = raw.peers.get_ref();
    if listed.len() > MOST_PROXIES {
        return wrong(raw.peers.span(), "peers", &format!("at most {MOST_PROXIES}"), listed.len());
    }
    let (mut peers, mut addresses) = (BTreeSet::new(), BTreeMap::new());
    for peer in listed {
        let theirs = name(&peer.name)?;
        let at = at(&peer.address, "address", by_planners, peer.name.span())?;
        // One list may serve all proxies, this one in it.
        if theirs == own {
            continue;
        }
        addresses.extend(at.map(|at| (theirs.clone(), at)));
        if !peers.insert(theirs.clone()) {
            return wrong(
                peer.name.span(),
                "name",
                "a name that no other proxy has",
                format!("'{theirs}' again"),
            );
        }
    }
    let every = millis(&raw.every_ms, "every_ms", [50, 10_000], 250)?;
    let stale = millis(&raw.stale_ms, "stale_ms", [2000, 300_000], 30_000)?;
    // Three questions have to fit into the part of it in which words of others count.
    if every * 6 > stale {
        let at = raw.every_ms.as_ref().or(raw.stale_ms.as_ref()).map_or(0..0, Spanned::span);
        let expected = format!("every_ms to be at most a sixth of stale_ms, {} ms", stale.as_millis() / 6);
        return wrong(at, "every_ms", &expected, format!("{} ms", every.as_millis()));
    }
    let proxies = peers.len() + 1;
    // One that more proxies have to agree on than there are would never come.
    let most = proxies.clamp(2, MOST_QUORUM);
    let quorum = whole(&raw.quorum, "quorum", [2, MOST_QUORUM as i64], most.min(3) as i64)? as usize;
    if let Some(raw) = raw.quorum.as_ref().filter(|_| quorum > most) {
        return wrong(
            raw.span(),
            "quorum",
            &format!("from 2 to {most}, as there are {proxies} proxies"),
            quorum,
        );
    }
    let verdicts = dewpier_verdicts::Settings {
        max_evidence_age: stale,
        quorum,
        max_ejected: number(&raw.most_out, "most_out", [0.0, 0.9], 0.3)?,
        slow_factor: number(&raw.slow_factor, "slow_factor", [1.5, 100.0], 4.0)?,
        silent_after: millis(&raw.silent_after_ms, "silent_after_ms", [20, 60_000], 1000)?,
        fleet_size: proxies,
        ..dewpier_verdicts::Settings::default()
    };
    let carrier = match at(&raw.listen, "listen", by_planners, raw.name.span())? {
        Some(listen) => Carrier::Datagrams { listen, at: addresses },
        None => Carrier::Planners,
    };
    let snapshot = raw.snapshot_file.as_ref().map(|raw| snapshot(raw, path)).transpose()?;
    Ok(Fleet { name: own, peers, carrier, key: key(&raw.key_file, path)?, every, snapshot, verdicts })
}
