//! A proxy's part in its fleet: turns the outcomes of its attempts into evidence about nodes, exchanges evidence with
//! the other proxies, and passes the resulting verdicts to the decision module as backend hints.

use crate::config::FleetConfig;
use crate::error::ServeError;
use crate::fleet_transport::FleetTransport;
use crate::snapshot_file;
use dewpier_operate::calls::{self, Call};
use dewpier_peers::{Peers, Process, ProxyId};
use dewpier_verdicts::{
    AttemptEnd, BootTime, Kind, ListedNode, LiveState, NodeId, OperatorOverrides, OverrideKind, ProcessId,
    Snapshot, SnapshotError, VerdictSummary, Verdicts,
};
use gannetproxy::engine::{AttemptEvent, Engine, Upstream};
use gannetproxy::{BackendId, Outcome};
use serde::Serialize;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::fmt::Write;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum received datagrams per second, as a multiple of the number that the partners send.
const RECEIVE_RATE_FACTOR: f64 = 4.0;
/// Backend hint for nodes that fail, are silent or cannot be reached: how many times slower than normal they count.
const BAD_SLOWDOWN: f64 = 8.0;
/// Backend hint for slow nodes. It suffices for the decision module to avoid them, as it chooses among backends of at
/// most mean load.
const SLOW_SLOWDOWN: f64 = 4.0;

/// A listed node.
#[derive(Clone, Debug)]
pub(crate) struct FleetNode {
    /// The node's id in the engine.
    pub backend: BackendId,
    /// The node's name in the inventory.
    pub name: String,
    /// The node's id in the fleet.
    pub id: NodeId,
    /// The cell that it is in.
    pub cell: u32,
    /// Whether it takes requests, rather than drains.
    pub serving: bool,
}

/// The parts of a [`FleetParticipant`] that change.
struct State {
    peers: Peers,
    verdicts: Verdicts,
    overrides: OperatorOverrides,
    /// The listed nodes by backend id.
    nodes: HashMap<BackendId, NodeId>,
    /// Backend ids and names of the listed nodes.
    names: HashMap<NodeId, (BackendId, String)>,
    /// The verdicts that the decision module was given as hints. Keyed by backend id, as a node may leave the list or
    /// change its address before its hint is withdrawn.
    hinted: HashMap<BackendId, Kind>,
    /// The snapshot of a predecessor, its age when it was read, and when that was. Present until the first list.
    unrestored: Option<(Snapshot, Duration, BootTime)>,
    snapshot_counts: SnapshotCounts,
}

/// Counts of snapshot writes.
#[derive(Default)]
struct SnapshotCounts {
    written: u64,
    failed: u64,
    /// Whether the last write failed, which has been logged.
    is_failing: bool,
}

/// A proxy's part in its fleet.
pub(crate) struct FleetParticipant {
    state: RefCell<State>,
    config: FleetConfig,
    start: Instant,
    own_id: ProxyId,
    /// The names of the request classes.
    classes: Vec<String>,
}

/// Interval between snapshots.
const SNAPSHOT_INTERVAL: Duration = Duration::from_secs(1);

/// A verdict as printed for operators.
#[derive(Serialize)]
struct NamedSummary {
    node: String,
    #[serde(flatten)]
    summary: VerdictSummary,
}

impl FleetParticipant {
    /// Starts with these request classes and no evidence, and reads the snapshot of a predecessor if there is one. No
    /// evidence is sent before the first list is set.
    pub fn start(config: FleetConfig, zone: &str, classes: Vec<String>) -> Rc<Self> {
        let start = Instant::now();
        let now = clock_offset(&config);
        // Zero is not a valid process.
        let incarnation = (crate::list_updater::random_seed() as u32).max(1);
        let own_process = Process { proxy: ProxyId::from_name(&config.name), incarnation };
        let others: Vec<ProxyId> = config.peers.iter().map(|name| ProxyId::from_name(name)).collect();
        let partners = dewpier_peers::select_partners(own_process.proxy, &others).len();
        let send_rate = partners.max(1) as f64 / config.send_interval.as_secs_f64();
        let peers = Peers::new(
            dewpier_peers::Settings {
                own_process,
                fleet: others,
                send_interval: config.send_interval,
                max_echo_age: config.verdict_settings.window(),
                max_datagrams_per_second: (RECEIVE_RATE_FACTOR * send_rate).ceil() as u32,
                key: config.key.clone(),
            },
            now,
        );
        let verdicts =
            Verdicts::new(config.verdict_settings.clone(), own_process, zone, classes.len(), partners, now);
        let overrides = OperatorOverrides::new(ProcessId::from_process(own_process));
        let (nodes, names, hinted) = (HashMap::new(), HashMap::new(), HashMap::new());
        let unrestored = config.snapshot_file.as_deref().and_then(|path| {
            match read_snapshot(path, &config, own_process.proxy) {
                Ok(unrestored) => unrestored,
                Err(error) => {
                    tracing::warn!(file = %path.display(), error, "restoring the snapshot failed");
                    None
                }
            }
        });
        let snapshot_counts = SnapshotCounts::default();
        let state = State { peers, verdicts, overrides, nodes, names, hinted, unrestored, snapshot_counts };
        Rc::new(Self { state: RefCell::new(state), config, start, own_id: own_process.proxy, classes })
    }

    /// The time on this process's clock; see [`clock_offset`].
    fn now(&self) -> Duration {
        clock_offset(&self.config) + self.start.elapsed()
    }

    /// Restores the snapshot of a predecessor, if there is one.
    fn restore_snapshot(&self, state: &mut State) {
        let Some((snapshot, age_when_read, read_at)) = state.unrestored.take() else { return };
        // Read first, so that the snapshot's contents may come out older than they are, but never younger.
        let now = self.now();
        let age = match snapshot_file::now() {
            Ok(boot_time) => age_when_read + boot_time.since_boot.saturating_sub(read_at.since_boot),
            Err(error) => return tracing::warn!(%error, "restoring the snapshot failed"),
        };
        let State { verdicts, overrides, .. } = state;
        let others: HashSet<ProxyId> =
            self.config.peers.iter().map(|name| ProxyId::from_name(name)).collect();
        let mut live_state = LiveState { verdicts, overrides, classes: &self.classes };
        let restored = snapshot.restore(&mut live_state, |name| others.contains(&name), age, now);
        tracing::info!(
            age_ms = age.as_millis() as u64,
            attempts = restored.attempt_counts,
            reports = restored.reports,
            verdicts = restored.verdicts,
            overrides = restored.overrides,
            "restored the snapshot of the previous process"
        );
    }

    /// The current evidence and verdicts as a snapshot for a successor.
    fn build_snapshot(&self) -> Result<Vec<u8>, String> {
        let boot_time = snapshot_file::now().map_err(|error| error.to_string())?;
        let now = self.now();
        let State { verdicts, overrides, .. } = &mut *self.state.borrow_mut();
        let snapshot = Snapshot::capture(&LiveState { verdicts, overrides, classes: &self.classes }, now);
        snapshot.encode(&self.config.key, self.own_id, boot_time).map_err(|error| error.to_string())
    }

    /// Writes a snapshot at every interval until it is dropped, one at a time: a stalled disk delays only the next
    /// one.
    async fn write_snapshots(&self) {
        let Some(path) = self.config.snapshot_file.clone() else { return std::future::pending().await };
        let mut rounds = tokio::time::interval(SNAPSHOT_INTERVAL);
        rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            rounds.tick().await;
            // Without a list the predecessor's snapshot is not restored yet and must not be overwritten.
            if self.state.borrow().unrestored.is_some() {
                continue;
            }
            let result = match self.build_snapshot() {
                Ok(bytes) => {
                    let path = path.clone();
                    let written =
                        tokio::task::spawn_blocking(move || snapshot_file::write(&path, &bytes)).await;
                    written.map_err(io::Error::other).flatten().map_err(|error| error.to_string())
                }
                Err(error) => Err(error),
            };
            let counts = &mut self.state.borrow_mut().snapshot_counts;
            match result {
                Ok(()) => (counts.written, counts.is_failing) = (counts.written + 1, false),
                Err(error) => {
                    counts.failed += 1;
                    if !std::mem::replace(&mut counts.is_failing, true) {
                        tracing::warn!(file = %path.display(), error, "writing the snapshot failed");
                    }
                }
            }
        }
    }

    /// Sets the listed nodes. The first list that is not empty restores the snapshot of a predecessor.
    pub fn set_nodes(&self, list: Vec<FleetNode>) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let serving = list.iter().filter(|node| node.serving);
        let listed = serving.map(|node| ListedNode { node: node.id, cell: node.cell }).collect();
        state.verdicts.set_nodes(listed, now);
        if !list.is_empty() {
            self.restore_snapshot(&mut state);
        }
        state.nodes = list.iter().map(|node| (node.backend, node.id)).collect();
        state.names = list.into_iter().map(|node| (node.id, (node.backend, node.name))).collect();
    }

    /// Records the begin and end of every attempt of an engine as evidence.
    pub fn observe_attempts<U: Upstream>(self: &Rc<Self>, engine: &Engine<U>) {
        let fleet = self.clone();
        engine.set_observer(move |id, attempt, event| {
            let now = fleet.now();
            let mut state = fleet.state.borrow_mut();
            match event {
                AttemptEvent::Started(backend, class) => {
                    if let Some(node) = state.nodes.get(&backend).copied() {
                        state.verdicts.record_start((id.0, attempt), node, class, now);
                    }
                }
                AttemptEvent::Ended(outcome) => {
                    let end = match outcome {
                        Outcome::Served => AttemptEnd::Served,
                        Outcome::Error | Outcome::Reset => AttemptEnd::Failed,
                        Outcome::NoConnection => AttemptEnd::Unreached,
                        Outcome::Timeout => AttemptEnd::Silent,
                        Outcome::Cancelled => AttemptEnd::Cancelled,
                        Outcome::Rejected | Outcome::NeverSent => AttemptEnd::Inconclusive,
                    };
                    state.verdicts.record_end((id.0, attempt), end, now);
                }
            }
        });
    }

    /// Exchanges evidence with the other proxies, updates the engine's backend hints and writes snapshots, until it
    /// is dropped. Fails if the transport fails.
    pub async fn run<U: Upstream>(
        self: Rc<Self>,
        transport: FleetTransport,
        engine: Rc<Engine<U>>,
    ) -> Result<(), ServeError> {
        let (carrier, others) = (&self.config.carrier, self.config.peers.len());
        tracing::info!(?carrier, others, "exchanging evidence with the fleet");
        let exchanging = dewpier_peers::io::run(
            transport,
            self.config.send_interval,
            || self.now(),
            |step| {
                let State { peers, verdicts, overrides, .. } = &mut *self.state.borrow_mut();
                // Operator overrides are small and go first.
                step(peers, &mut [overrides, verdicts]);
            },
        );
        let updating_hints = async {
            let mut rounds = tokio::time::interval(self.config.send_interval);
            rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            loop {
                rounds.tick().await;
                let changed = self.update_verdicts();
                if !changed.is_empty() {
                    engine.apply_backend_hints(&changed);
                }
            }
        };
        tokio::select! {
            error = exchanging => Err(error.into()),
            () = updating_hints => Ok(()),
            () = self.write_snapshots() => Ok(()),
        }
    }

    /// Updates the verdicts and returns the backend hints that have changed.
    fn update_verdicts(&self) -> Vec<(BackendId, f64)> {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        state.verdicts.set_answering_partners(state.peers.count_answering_partners(now));
        state.overrides.tick(now);
        state.verdicts.set_overrides(state.overrides.active(now), now);
        state.verdicts.tick(now);
        let mut current = HashMap::new();
        for (node, kind) in state.verdicts.avoided_nodes(now) {
            if let Some((backend, name)) = state.names.get(&node) {
                if state.hinted.get(backend) != Some(&kind) {
                    tracing::info!(node = %name, verdict = ?kind, "avoiding a node on the fleet's verdict");
                }
                current.insert(*backend, kind);
            }
        }
        let changed = changed_hints(&state.hinted, &current);
        state.hinted = current;
        changed
    }

    /// Answers the operator calls about the fleet and adds the fleet's metrics to `vars`. Other calls are left to
    /// `answer_other`.
    pub fn operate(&self, call: Call, answer_other: impl FnOnce(Call) -> String) -> String {
        match call {
            Call::Verdicts => self.format_verdicts(),
            Call::VerdictsJson => self.format_verdicts_json(),
            Call::Override { node, action } => self.override_verdict(&node, action),
            Call::Vars => self.add_metrics(answer_other(Call::Vars)),
            call => answer_other(call),
        }
    }

    /// Overrides the verdict on a node in the whole fleet and returns the answer for the operator.
    fn override_verdict(&self, node: &str, action: calls::NodeOverride) -> String {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let matching = state.names.iter().filter(|(_, (_, name))| name == node).map(|(id, _)| *id);
        let ids: Vec<NodeId> = matching.collect();
        let [id] = ids[..] else {
            return format!(
                "NO '{}': expected the name of one listed node, got that of {}\n",
                node.escape_debug(),
                ids.len()
            );
        };
        let (kind, seconds) = match action {
            calls::NodeOverride::Avoid(seconds) => (Some(OverrideKind::Avoid), seconds),
            calls::NodeOverride::Trust(seconds) => (Some(OverrideKind::Trust), seconds),
            calls::NodeOverride::AsSeen => (None, 0),
        };
        match state.overrides.set(id, kind, Duration::from_secs(seconds), now) {
            Ok(()) => {
                tracing::info!(node, ?kind, seconds, "an operator overrides the verdict on a node");
                "YES all proxies that hear this one go by it\n".into()
            }
            Err(error) => format!("NO {error}\n"),
        }
    }

    /// The verdict summaries with the names of their nodes.
    fn named_summaries(&self) -> Vec<NamedSummary> {
        let state = self.state.borrow();
        let name = |node| state.names.get(&node).map_or(String::new(), |(_, name)| name.clone());
        let summaries = state.verdicts.summaries(self.now()).into_iter();
        summaries.map(|summary| NamedSummary { node: name(summary.node), summary }).collect()
    }

    /// Formats the verdicts as text, followed by the line `END`.
    fn format_verdicts(&self) -> String {
        let mut text = String::new();
        for NamedSummary { node, summary } in self.named_summaries() {
            let state = match (summary.ejected, summary.sends_trials) {
                (true, true) => "out, tried from here",
                (true, false) => "out",
                (false, _) if summary.operator_override.is_some() => "not out: an operator says so",
                (false, _) => "not out: as many are as may be",
            };
            if let Some((kind, left)) = summary.operator_override {
                let (kind, out) = match (kind, summary.ejected) {
                    (OverrideKind::Avoid, true) => ("avoid", "out"),
                    (OverrideKind::Avoid, false) => ("avoid", "not out: it is the last one of its cell"),
                    (OverrideKind::Trust, _) => ("trust", "not out"),
                };
                let _ = writeln!(text, "{node}: {kind}, as an operator says for {left} ms more; {out}");
            }
            if summary.kind == Kind::Ruled {
                continue;
            }
            let kind = format!("{:?}", summary.kind).to_lowercase();
            // Writing to a string does not fail.
            let _ = writeln!(
                text,
                "{node}: {kind}, {state}; for {} ms by {} proxies, oldest word {} ms; good {}, unreached {}, failed {}, silent {}, slow {}; odds {:.1}, new at {:.1}",
                summary.active_ms,
                summary.observers,
                summary.oldest_report_ms,
                summary.good,
                summary.unreached,
                summary.failed,
                summary.silent,
                summary.slow,
                summary.log_odds,
                summary.required_log_odds
            );
        }
        text + "END\n"
    }

    /// Formats the verdicts as one line of JSON.
    fn format_verdicts_json(&self) -> String {
        serde_json::to_string(&self.named_summaries())
            .map_or_else(|error| format!("NO {error}\n"), |text| text + "\n")
    }

    /// Inserts the fleet's metrics before the line `END`.
    fn add_metrics(&self, vars: String) -> String {
        let Some(vars) = vars.strip_suffix("END\n") else { return vars };
        let state = self.state.borrow();
        let (counts, summaries) = (&state.peers.counts, state.verdicts.summaries(self.now()));
        let mut text = vars.to_string();
        let mut line = |name: &str, value: u64| {
            let _ = writeln!(text, "edge_relay.fleet.{name}={value}");
        };
        line("partners", state.peers.partners().len() as u64);
        line("partners_answering", state.peers.count_answering_partners(self.now()) as u64);
        line("datagrams_sent", counts.sent);
        line("bytes_sent", counts.sent_bytes);
        line("datagrams_taken", counts.accepted);
        for (reason, count) in counts.rejected_by_reason() {
            line(&format!("datagrams_refused.{}", format!("{reason:?}").to_lowercase()), count);
        }
        line("snapshots_written", state.snapshot_counts.written);
        line("snapshots_failed", state.snapshot_counts.failed);
        line("verdicts", summaries.iter().filter(|summary| summary.kind != Kind::Ruled).count() as u64);
        line(
            "rulings",
            summaries.iter().filter(|summary| summary.operator_override.is_some()).count() as u64,
        );
        line("nodes_out", summaries.iter().filter(|summary| summary.ejected).count() as u64);
        text + "END\n"
    }
}

/// The time at which a process's clock starts: restored evidence is older than the process, and its time must not be
/// negative.
fn clock_offset(config: &FleetConfig) -> Duration {
    config.verdict_settings.max_evidence_age * 2
}

/// Reads the snapshot file: the snapshot, its age, and when it was read; none if the file does not exist.
fn read_snapshot(
    path: &Path,
    config: &FleetConfig,
    own_id: ProxyId,
) -> Result<Option<(Snapshot, Duration, BootTime)>, String> {
    let Some(bytes) = snapshot_file::read(path).map_err(|error| error.to_string())? else { return Ok(None) };
    let now = snapshot_file::now().map_err(|error| error.to_string())?;
    let (snapshot, age) = Snapshot::decode(&bytes, &config.key, own_id, now)
        .map_err(|error: SnapshotError| error.to_string())?;
    Ok(Some((snapshot, age, now)))
}

/// The backend hints that differ between the verdicts last given and the current ones; a withdrawn hint is 0.
fn changed_hints(
    hinted: &HashMap<BackendId, Kind>,
    current: &HashMap<BackendId, Kind>,
) -> Vec<(BackendId, f64)> {
    // The decision module overwrites a hint with its own measurements, so operator overrides are repeated every time.
    let new =
        current.iter().filter(|(backend, kind)| **kind == Kind::Ruled || hinted.get(*backend) != Some(*kind));
    let new =
        new.map(|(backend, kind)| (*backend, if *kind == Kind::Slow { SLOW_SLOWDOWN } else { BAD_SLOWDOWN }));
    let withdrawn =
        hinted.keys().filter(|backend| !current.contains_key(*backend)).map(|backend| (*backend, 0.0));
    new.chain(withdrawn).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ended_verdicts_withdraw_their_hints_and_overrides_are_repeated() {
        let [one, two, three] = [1, 2, 3].map(BackendId);
        let hinted = HashMap::from([(one, Kind::Silent), (two, Kind::Slow)]);
        let current = HashMap::from([(two, Kind::Failing), (three, Kind::Slow)]);
        let mut changed = changed_hints(&hinted, &current);
        changed.sort_by_key(|(backend, _)| *backend);
        assert_eq!(changed, [(one, 0.0), (two, BAD_SLOWDOWN), (three, SLOW_SLOWDOWN)]);
        assert!(changed_hints(&current, &current).is_empty());
        let overridden = HashMap::from([(one, Kind::Ruled)]);
        assert_eq!(changed_hints(&overridden, &overridden), [(one, BAD_SLOWDOWN)]);
        assert_eq!(changed_hints(&overridden, &HashMap::new()), [(one, 0.0)]);
    }
}
