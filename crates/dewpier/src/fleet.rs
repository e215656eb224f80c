//! A proxy among others: what its engine sees of attempts becomes evidence, what holds of nodes becomes a belief of
//! its module, and datagrams carry both.

use crate::carried::Carries;
use crate::config::Fleet as Told;
use crate::error::ServeError;
use crate::kept;
use dewpier_operate::calls::{self, Call};
use dewpier_peers::{Name, Peers, Process};
use dewpier_verdicts::{
    End, Kind, Known, Member, NodeId, Origin, Report, Rulings, Says, Snapshot, SnapshotError, Verdicts, When,
};
use gannetproxy::engine::{Engine, Seen, Upstream};
use gannetproxy::{BackendId, Outcome};
use serde::Serialize;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::fmt::Write;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Datagrams that are looked at in a second, for each partner's datagram that is due in it.
const TAKEN: f64 = 4.0;
/// How much slower than normal a node counts that fails or can't be reached, as in the module,
const BAD: f64 = 8.0;
/// and one that is slow. It has to be avoided by the module's own rule: it draws among those of at most mean load.
const SLOW: f64 = 4.0;

/// A listed node, as the fleet knows it.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub backend: BackendId,
    pub name: String,
    pub id: NodeId,
    pub cell: u32,
    pub serving: bool,
}

struct State {
    peers: Peers,
    verdicts: Verdicts,
    rulings: Rulings,
    nodes: HashMap<BackendId, NodeId>,
    names: HashMap<NodeId, (BackendId, String)>,
    /// What the module was told, by its own number: a node may leave the list, or be another process at another
    /// address, before its verdict is taken back.
    believed: HashMap<BackendId, Kind>,
    /// What a process before this one knew, and how long before that moment it was kept: until there is a list.
    before: Option<(Snapshot, Duration, When)>,
    snapshots: Snapshots,
}

/// Snapshots so far.
#[derive(Default)]
struct Snapshots {
    written: u64,
    failed: u64,
    /// The last one failed, and that was said.
    said: bool,
}

/// One proxy of a fleet.
pub(crate) struct Fleet {
    state: RefCell<State>,
    told: Told,
    start: Instant,
    me: Name,
    classes: Vec<String>,
}

/// How often what is known is kept, if it is.
const KEPT_EVERY: Duration = Duration::from_secs(1);

/// A verdict, as operators are told.
#[derive(Serialize)]
struct Shown {
    node: String,
    #[serde(flatten)]
    report: Report,
}

impl Fleet {
    /// A process of the fleet, with these classes of requests; it has heard of nobody. It has to be told of the
    /// list before it says anything.
    pub fn start(told: Told, zone: &str, classes: Vec<String>) -> Rc<Self> {
        let start = Instant::now();
        let now = lead(&told);
        // Not zero, which stands for nobody.
        let life = (crate::feed::seed() as u32).max(1);
        let me = Process { name: Name::of(&told.name), life };
        let others: Vec<Name> = told.peers.iter().map(|name| Name::of(name)).collect();
        let partners = dewpier_peers::partners(me.name, &others).len();
        let due = partners.max(1) as f64 / told.every.as_secs_f64();
        let peers = Peers::new(
            dewpier_peers::Settings {
                me,
                others,
                every: told.every,
                stale: told.verdicts.window(),
                most_taken: (TAKEN * due).ceil() as u32,
                key: told.key.clone(),
            },
            now,
        );
        let verdicts = Verdicts::new(told.verdicts.clone(), me, zone, classes.len(), partners, now);
        let rulings = Rulings::new(Origin::of(me));
        let (nodes, names, believed) = (HashMap::new(), HashMap::new(), HashMap::new());
        let before = told.snapshot.as_deref().and_then(|path| match read(path, &told, me.name) {
            Ok(before) => before,
            Err(error) => {
                tracing::warn!(file = %path.display(), error, "no snapshot is taken up");
                None
            }
        });
        let snapshots = Snapshots::default();
        let state = State { peers, verdicts, rulings, nodes, names, believed, before, snapshots };
        Rc::new(Self { state: RefCell::new(state), told, start, me: me.name, classes })
    }

    fn now(&self) -> Duration {
        lead(&self.told) + self.start.elapsed()
    }

    /// Goes on from what a process before this one knew, once nodes are known.
    fn take_up(&self, state: &mut State) {
        let Some((snapshot, before, read)) = state.before.take() else { return };
        // In this order: what is kept may come out older than it is, never younger.
        let now = self.now();
        let age = match kept::now() {
            Ok(when) => before + when.at.saturating_sub(read.at),
            Err(error) => return tracing::warn!(%error, "no snapshot is taken up"),
        };
        let State { verdicts, rulings, .. } = state;
        let others: HashSet<Name> = self.told.peers.iter().map(|name| Name::of(name)).collect();
        let mut known = Known { verdicts, rulings, classes: &self.classes };
        let taken = snapshot.take_up(&mut known, |name| others.contains(&name), age, now);
        tracing::info!(
            age_ms = age.as_millis() as u64,
            attempts = taken.seen,
            words = taken.words,
            verdicts = taken.verdicts,
            rulings = taken.rulings,
            "goes on from what the process before knew"
        );
    }

    /// What is known now, as bytes for the process that comes after this one.
    fn snapshot(&self) -> Result<Vec<u8>, String> {
        let when = kept::now().map_err(|error| error.to_string())?;
        let now = self.now();
        let State { verdicts, rulings, .. } = &mut *self.state.borrow_mut();
        let snapshot = Snapshot::of(&Known { verdicts, rulings, classes: &self.classes }, now);
        snapshot.write(&self.told.key, self.me, when).map_err(|error| error.to_string())
    }

    /// Keeps what is known, again and again, one after the other: a disk that stalls holds up the next one alone.
    async fn keep(&self) {
        let Some(path) = self.told.snapshot.clone() else { return std::future::pending().await };
        let mut rounds = tokio::time::interval(KEPT_EVERY);
        rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            rounds.tick().await;
            // What a process before this one knew must not be lost to one that has no list yet.
            if self.state.borrow().before.is_some() {
                continue;
            }
            let kept = match self.snapshot() {
                Ok(bytes) => {
                    let path = path.clone();
                    let written = tokio::task::spawn_blocking(move || kept::write(&path, &bytes)).await;
                    written.map_err(io::Error::other).flatten().map_err(|error| error.to_string())
                }
                Err(error) => Err(error),
            };
            let snapshots = &mut self.state.borrow_mut().snapshots;
            match kept {
                Ok(()) => (snapshots.written, snapshots.said) = (snapshots.written + 1, false),
                Err(error) => {
                    snapshots.failed += 1;
                    if !std::mem::replace(&mut snapshots.said, true) {
                        tracing::warn!(file = %path.display(), error, "what is known here is not kept");
                    }
                }
            }
        }
    }

    /// The list is this from here on.
    pub fn list(&self, list: Vec<Node>) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let serving = list.iter().filter(|node| node.serving);
        let listed = serving.map(|node| Member { node: node.id, cell: node.cell }).collect();
        state.verdicts.list(listed, now);
        if !list.is_empty() {
            self.take_up(&mut state);
        }
        state.nodes = list.iter().map(|node| (node.backend, node.id)).collect();
        state.names = list.into_iter().map(|node| (node.id, (node.backend, node.name))).collect();
    }

    /// Goes by what an engine sees.
    pub fn watch<U: Upstream>(self: &Rc<Self>, engine: &Engine<U>) {
        let fleet = self.clone();
        engine.observe(move |id, attempt, seen| {
            let now = fleet.now();
            let mut state = fleet.state.borrow_mut();
            match seen {
                Seen::Began(backend, class) => {
                    if let Some(node) = state.nodes.get(&backend).copied() {
                        state.verdicts.began((id.0, attempt), node, class, now);
                    }
                }
                Seen::Ended(outcome) => {
                    let end = match outcome {
                        Outcome::Served => End::Served,
                        Outcome::Error | Outcome::Reset => End::Failed,
                        Outcome::NoConnection => End::Unreached,
                        Outcome::Timeout => End::Silent,
                        Outcome::Cancelled => End::GivenUp,
                        Outcome::Full | Outcome::NeverSent => End::Untold,
                    };
                    state.verdicts.ended((id.0, attempt), end, now);
                }
            }
        });
    }

    /// Talks with the others and tells the engine what holds, until it is dropped.
    pub async fn run<U: Upstream>(
        self: Rc<Self>,
        carries: Carries,
        engine: Rc<Engine<U>>,
    ) -> Result<(), ServeError> {
        let (carrier, others) = (&self.told.carrier, self.told.peers.len());
        tracing::info!(?carrier, others, "the fleet is told what is seen here");
        let talking = dewpier_peers::io::run(
            carries,
            self.told.every,
            || self.now(),
            |step| {
                let State { peers, verdicts, rulings, .. } = &mut *self.state.borrow_mut();
                // What operators say is little, and goes first.
                step(peers, &mut [rulings, verdicts]);
            },
        );
        let judging = async {
            let mut rounds = tokio::time::interval(self.told.every);
            rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            loop {
                rounds.tick().await;
                let changed = self.judge();
                if !changed.is_empty() {
                    engine.believe(&changed);
                }
            }
        };
        tokio::select! {
            error = talking => Err(error.into()),
            () = judging => Ok(()),
            () = self.keep() => Ok(()),
        }
    }

    /// What the module has to be told anew.
    fn judge(&self) -> Vec<(BackendId, f64)> {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        state.verdicts.answering(state.peers.answering(now));
        state.rulings.tick(now);
        state.verdicts.ruled(state.rulings.all(now), now);
        state.verdicts.tick(now);
        let mut held = HashMap::new();
        for (node, kind) in state.verdicts.avoided(now) {
            if let Some((backend, name)) = state.names.get(&node) {
                if state.believed.get(backend) != Some(&kind) {
                    tracing::info!(node = %name, verdict = ?kind, "avoided, as the fleet has seen");
                }
                held.insert(*backend, kind);
            }
        }
        let changed = changes(&state.believed, &held);
        state.believed = held;
        changed
    }

    /// Answers an operator's call, where it is one about the fleet, or adds to what was answered.
    pub fn operate(&self, call: Call, answered: impl FnOnce(Call) -> String) -> String {
        match call {
            Call::Verdicts => self.verdicts(),
            Call::VerdictsJson => self.verdicts_json(),
            Call::Override { node, action } => self.rule(&node, action),
            Call::Vars => self.figures(answered(Call::Vars)),
            call => answered(call),
        }
    }

    /// An operator says what is to hold of a node, in the whole fleet.
    fn rule(&self, node: &str, action: calls::NodeOverride) -> String {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let named = state.names.iter().filter(|(_, (_, name))| name == node).map(|(id, _)| *id);
        let ids: Vec<NodeId> = named.collect();
        let [id] = ids[..] else {
            return format!(
                "NO '{}': expected the name of one listed node, got that of {}\n",
                node.escape_debug(),
                ids.len()
            );
        };
        let (says, seconds) = match action {
            calls::NodeOverride::Avoid(seconds) => (Some(Says::Avoid), seconds),
            calls::NodeOverride::Trust(seconds) => (Some(Says::Trust), seconds),
            calls::NodeOverride::AsSeen => (None, 0),
        };
        match state.rulings.rule(id, says, Duration::from_secs(seconds), now) {
            Ok(()) => {
                tracing::info!(node, ?says, seconds, "an operator rules on a node");
                "YES all proxies that hear this one go by it\n".into()
            }
            Err(error) => format!("NO {error}\n"),
        }
    }

    fn shown(&self) -> Vec<Shown> {
        let state = self.state.borrow();
        let name = |node| state.names.get(&node).map_or(String::new(), |(_, name)| name.clone());
        let reports = state.verdicts.reports(self.now()).into_iter();
        reports.map(|report| Shown { node: name(report.node), report }).collect()
    }

    fn verdicts(&self) -> String {
        let mut text = String::new();
        for Shown { node, report: r } in self.shown() {
            let state = match (r.out, r.tries) {
                (true, true) => "out, tried from here",
                (true, false) => "out",
                (false, _) if r.ruling.is_some() => "not out: an operator says so",
                (false, _) => "not out: as many are as may be",
            };
            if let Some((says, left)) = r.ruling {
                let (says, out) = match (says, r.out) {
                    (Says::Avoid, true) => ("avoid", "out"),
                    (Says::Avoid, false) => ("avoid", "not out: it is the last one of its cell"),
                    (Says::Trust, _) => ("trust", "not out"),
                };
                let _ = writeln!(text, "{node}: {says}, as an operator says for {left} ms more; {out}");
            }
            if r.kind == Kind::Ruled {
                continue;
            }
            let kind = format!("{:?}", r.kind).to_lowercase();
            // Writing to a string does not fail.
            let _ = writeln!(
                text,
                "{node}: {kind}, {state}; for {} ms by {} proxies, oldest word {} ms; good {}, unreached {}, failed {}, silent {}, slow {}; odds {:.1}, new at {:.1}",
                r.for_ms,
                r.observers,
                r.oldest_ms,
                r.good,
                r.unreached,
                r.failed,
                r.silent,
                r.slow,
                r.odds,
                r.needed
            );
        }
        text + "END\n"
    }

    fn verdicts_json(&self) -> String {
        serde_json::to_string(&self.shown()).map_or_else(|error| format!("NO {error}\n"), |text| text + "\n")
    }

    /// Adds the fleet's to the figures, before their end.
    fn figures(&self, vars: String) -> String {
        let Some(vars) = vars.strip_suffix("END\n") else { return vars };
        let state = self.state.borrow();
        let (counts, reports) = (&state.peers.counts, state.verdicts.reports(self.now()));
        let mut text = vars.to_string();
        let mut line = |name: &str, value: u64| {
            let _ = writeln!(text, "edge_relay.fleet.{name}={value}");
        };
        line("partners", state.peers.partners().len() as u64);
        line("partners_answering", state.peers.answering(self.now()) as u64);
        line("datagrams_sent", counts.sent);
        line("bytes_sent", counts.sent_bytes);
        line("datagrams_taken", counts.taken);
        for (why, count) in counts.by_reason() {
            line(&format!("datagrams_refused.{}", format!("{why:?}").to_lowercase()), count);
        }
        line("snapshots_written", state.snapshots.written);
        line("snapshots_failed", state.snapshots.failed);
        line("verdicts", reports.iter().filter(|r| r.kind != Kind::Ruled).count() as u64);
        line("rulings", reports.iter().filter(|r| r.ruling.is_some()).count() as u64);
        line("nodes_out", reports.iter().filter(|r| r.out).count() as u64);
        text + "END\n"
    }
}

/// What the clock of a process begins with: it knows of things that were before it, and says of the oldest how old it is.
fn lead(told: &Told) -> Duration {
    told.verdicts.stale * 2
}

/// What a process before this one knew, how long ago, and when that was read. None where nothing was kept.
fn read(path: &Path, told: &Told, me: Name) -> Result<Option<(Snapshot, Duration, When)>, String> {
    let Some(bytes) = kept::read(path).map_err(|error| error.to_string())? else { return Ok(None) };
    let now = kept::now().map_err(|error| error.to_string())?;
    let (snapshot, age) =
        Snapshot::read(&bytes, &told.key, me, now).map_err(|error: SnapshotError| error.to_string())?;
    Ok(Some((snapshot, age, now)))
}

/// What a module has to be told that was told this and is to hold that.
fn changes(told: &HashMap<BackendId, Kind>, held: &HashMap<BackendId, Kind>) -> Vec<(BackendId, f64)> {
    // A module goes by its own answers again as they come: what an operator says is said again each time.
    let new =
        held.iter().filter(|(backend, kind)| **kind == Kind::Ruled || told.get(*backend) != Some(*kind));
    let new = new.map(|(backend, kind)| (*backend, if *kind == Kind::Slow { SLOW } else { BAD }));
    let over = told.keys().filter(|backend| !held.contains_key(*backend)).map(|backend| (*backend, 0.0));
    new.chain(over).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_held_no_longer_is_taken_back_wherever_the_node_is() {
        let [one, two, three] = [1, 2, 3].map(BackendId);
        let told = HashMap::from([(one, Kind::Silent), (two, Kind::Slow)]);
        let held = HashMap::from([(two, Kind::Failing), (three, Kind::Slow)]);
        let mut changed = changes(&told, &held);
        changed.sort_by_key(|(backend, _)| *backend);
        assert_eq!(changed, [(one, 0.0), (two, BAD), (three, SLOW)]);
        assert!(changes(&held, &held).is_empty());
        let ruled = HashMap::from([(one, Kind::Ruled)]);
        assert_eq!(changes(&ruled, &ruled), [(one, BAD)]);
        assert_eq!(changes(&ruled, &HashMap::new()), [(one, 0.0)]);
    }
}
