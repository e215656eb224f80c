//! Runs one planner of a cluster over TCP.

use crate::fleet::{AgreedState, Command};
use crate::join::{GroupMembership, GroupState, Step, member_id, planner_number};
use crate::lease_grantor::LeaseGrantor;
use crate::link::{
    MAX_MESSAGE_BYTES, PlannerConnection, PlannerReply, PlannerRequest, PlannerStatus, RaftMessage,
    RaftReply, RaftRequest, read, write,
};
use crate::missing_nodes::drain_missing_nodes;
use crate::raft::{self, AgreedStateMachine, Applied, LogStore, Network, Raft};
use dewpier_plan::io::{Planner, Role, Security, frame};
use dewpier_plan::{AnnouncementVersion, Announcer, Node, PlannerMessage, lease_check_interval};
use openraft::{EmptyNode, ServerState};
use std::collections::hash_map::RandomState;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{BuildHasher, Hasher};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

/// Time limit for a reply of another planner to a status request.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);
/// Time limit for the agreement on a proposal; after it the proposal is made again.
const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval of checks for proposals and changes of group membership.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// A leader without contact to a majority for this time does not count as a leader.
const QUORUM_TIMEOUT_MS: u64 = 1500;
/// A member without contact to a leader for this time counts as leaderless.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum number of open connections from other planners.
const MAX_CONNECTIONS: usize = 256;
/// A connection from another planner is closed after this time without a message.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Terms reported by followers are ignored if they are further ahead of the clock than this, in milliseconds.
const MAX_TERM_AHEAD_MS: u64 = 24 * 3600 * 1000;

/// Settings of a planner.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of this planner.
    pub number: u32,
    /// Addresses on which the planners listen for each other, by number, including this one.
    pub planners: BTreeMap<u32, SocketAddr>,
    /// The longest lease granted to a forwarder.
    pub lease: Duration,
    /// The view of a planner that was silent for this time is removed.
    pub expel_after: Duration,
    /// Maximum number of connected forwarders.
    pub max_forwarders: usize,
    /// How connections are secured.
    pub security: Security,
}

/// This process as a Raft member, and its group if it is in one.
struct LocalMember {
    member_id: u64,
    group: Option<(u64, Raft)>,
}

/// The state that is local to this planner.
struct LocalState {
    announcer: Announcer,
    grantor: LeaseGrantor,
    membership: GroupMembership,
    /// For each other planner, the latest of its announcements that this planner knows.
    acknowledged: BTreeMap<u32, AnnouncementVersion>,
    /// The highest term that any planner has seen with a follower.
    highest_term: u64,
}

/// One planner of the cluster.
pub struct Cluster {
    settings: Settings,
    planner: Arc<Planner>,
    start: Instant,
    local_state: Mutex<LocalState>,
    member: tokio::sync::Mutex<LocalMember>,
    fleet: watch::Sender<Arc<AgreedState>>,
    /// Time of the last contact with the leader, in milliseconds since the start, plus one; 0 for none.
    leader_contact_ms: AtomicU64,
    membership_changing: AtomicBool,
    step_due: Notify,
    open_connections: AtomicUsize,
    rejected_connections: AtomicU64,
}

/// A base for the terms of a group: the time, followed by 16 random bits. Two groups must not use the same
/// version for different plans, even if a clock was set back between them.
fn new_term_base(unix_millis: u64) -> u64 {
    // The keys of the standard hasher are random, which suffices here.
    let random_bits = RandomState::new().build_hasher().finish() & 0xffff;
    unix_millis << 16 | random_bits
}

/// Milliseconds since 1970. Used only for numbers that must rise with each start.
fn unix_millis_now() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    u64::try_from(now).unwrap_or(u64::MAX)
}

impl Cluster {
    /// Creates a planner that has not read membership yet.
    pub fn new(settings: Settings) -> Arc<Self> {
        let epoch = unix_millis_now();
        let own_number = settings.number;
        let others = settings.planners.keys().copied().filter(|n| *n != own_number);
        let local_state = LocalState {
            announcer: Announcer::new(own_number, epoch),
            grantor: LeaseGrantor::new(others, settings.lease),
            membership: GroupMembership::new(settings.planners.keys().copied().collect()),
            acknowledged: BTreeMap::new(),
            highest_term: 0,
        };
        Arc::new_cyclic(|this: &Weak<Self>| {
            let this = this.clone();
            let lease = move || this.upgrade().map_or(Duration::ZERO, |this| this.lease());
            Self {
                planner: Planner::new(Box::new(lease), settings.lease, settings.max_forwarders),
                settings,
                start: Instant::now(),
                local_state: Mutex::new(local_state),
                member: tokio::sync::Mutex::new(LocalMember {
                    member_id: member_id(epoch, own_number),
                    group: None,
                }),
                fleet: watch::Sender::new(Arc::default()),
                leader_contact_ms: AtomicU64::new(0),
                membership_changing: AtomicBool::new(false),
                step_due: Notify::new(),
                open_connections: AtomicUsize::new(0),
                rejected_connections: AtomicU64::new(0),
            }
        })
    }

    /// The planner's side of connections to forwarders.
    pub fn planner(&self) -> &Arc<Planner> {
        &self.planner
    }

    /// The agreed state; notifies of each change.
    pub fn fleet(&self) -> watch::Receiver<Arc<AgreedState>> {
        self.fleet.subscribe()
    }

    /// Number of connections from other planners that were closed because of invalid messages.
    pub fn rejected_connections(&self) -> u64 {
        self.rejected_connections.load(Ordering::Relaxed)
    }

    fn local_state(&self) -> MutexGuard<'_, LocalState> {
        self.local_state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn lease(&self) -> Duration {
        self.local_state().grantor.grantable_lease(self.now())
    }

    /// Updates this planner's view of membership. Drains are announced at once.
    pub fn observe(&self, nodes: Vec<Node>) {
        let drains = self.local_state().announcer.observe(nodes);
        self.planner.announce_drains(drains);
        self.announce_missing_nodes(&self.fleet.borrow().clone());
        self.step_due.notify_one();
    }

    /// Records a membership read, started at `started_at`, that found nothing newer than the last call of
    /// [`Cluster::observe`].
    pub fn record_membership_read(&self, started_at: Instant) {
        self.local_state().grantor.record_membership_read(started_at.saturating_duration_since(self.start));
    }

    /// Whether membership must be read now, because another planner is silent and may know of drains that
    /// this one does not.
    pub fn needs_membership_read(&self) -> bool {
        self.local_state().grantor.needs_membership_read(self.now())
    }

    /// Runs the planner. Other planners connect to `listener`. Never returns.
    pub async fn run(self: Arc<Self>, listener: Option<TcpListener>) {
        let mut tasks = tokio::task::JoinSet::new();
        for (number, address) in &self.settings.planners {
            if *number != self.settings.number {
                tasks.spawn(self.clone().poll_planner(*number, *address));
            }
        }
        if let Some(listener) = listener {
            tasks.spawn(self.clone().accept(listener));
        }
        tasks.spawn(self.clone().publish());
        loop {
            self.run_step().await;
            tokio::select! {
                () = tokio::time::sleep(STEP_INTERVAL) => {}
                () = self.step_due.notified() => {}
            }
        }
    }

    /// Publishes each agreed plan to forwarders.
    async fn publish(self: Arc<Self>) {
        let mut updates = self.fleet.subscribe();
        while updates.changed().await.is_ok() {
            let fleet = updates.borrow_and_update().clone();
            self.announce_missing_nodes(&fleet);
            self.planner.publish(fleet.plan());
            self.step_due.notify_one();
        }
    }

    /// Announces the drain of nodes that other planners list and this one does not, until its own view is
    /// part of the agreed state.
    fn announce_missing_nodes(&self, fleet: &AgreedState) {
        let (drains, suspension_change) = {
            let mut state = self.local_state();
            let LocalState { announcer, grantor, .. } = &mut *state;
            let before = grantor.is_suspended();
            let drains = drain_missing_nodes(fleet, self.settings.number, announcer, grantor);
            (drains, (grantor.is_suspended() != before).then(|| grantor.is_suspended()))
        };
        let own_number = self.settings.number;
        match suspension_change {
            Some(true) => eprintln!(
                "planner {own_number}: more than half of the listed nodes are missing here: leases suspended"
            ),
            Some(false) => {
                eprintln!("planner {own_number}: the listed nodes are no longer missing: leases resumed")
            }
            None => {}
        }
        self.planner.announce_drains(drains);
    }

    // ---- Group membership ----

    /// Performs the next step of group membership, proposes the own view, and performs the duties of a
    /// leader.
    async fn run_step(self: &Arc<Self>) {
        let mut member = self.member.lock().await;
        let own_state = self.group_state(&member);
        let step = self.local_state().membership.next_step(own_state, self.now());
        match step {
            Step::Wait => {}
            Step::Found(members) => {
                let group = member.member_id;
                match self.join_group(&mut member, group).await {
                    Ok(raft) => {
                        let members: BTreeMap<u64, EmptyNode> =
                            members.into_iter().map(|id| (id, EmptyNode {})).collect();
                        match raft.initialize(members).await {
                            Ok(()) => eprintln!("planner {}: founds group {group}", self.settings.number),
                            Err(error) => eprintln!("planner {}: {error}", self.settings.number),
                        }
                    }
                    Err(error) => eprintln!("planner {}: {error}", self.settings.number),
                }
            }
            Step::Leave => {
                if let Some((group, raft)) = member.group.take() {
                    eprintln!("planner {}: leaves group {group}, which has no leader", self.settings.number);
                    let _ = raft.shutdown().await; // the result does not matter, as the group is abandoned
                }
                member.member_id =
                    member_id(unix_millis_now().max((member.member_id >> 4) + 1), self.settings.number);
                self.fleet.send_replace(Arc::default());
            }
        }
        let Some((_, raft)) = member.group.clone() else { return };
        drop(member);
        let leader = raft.metrics().borrow().current_leader;
        self.propose_view(&raft, leader).await;
        if raft.metrics().borrow().state == ServerState::Leader {
            self.perform_leader_duties(&raft).await;
        }
    }

    fn group_state(&self, member: &LocalMember) -> GroupState {
        let has_leader = member.group.as_ref().is_some_and(|(_, raft)| {
            let metrics = raft.metrics();
            let metrics = metrics.borrow();
            match metrics.state {
                ServerState::Leader => {
                    metrics.millis_since_quorum_ack.is_some_and(|ms| ms < QUORUM_TIMEOUT_MS)
                }
                _ => {
                    let last = self.leader_contact_ms.load(Ordering::Relaxed);
                    last > 0 && self.now() < Duration::from_millis(last) + LEADER_TIMEOUT
                }
            }
        });
        GroupState {
            member_id: member.member_id,
            group: member.group.as_ref().map(|(group, _)| *group),
            has_leader,
        }
    }

    /// Joins a group by starting a Raft member for it.
    async fn join_group(&self, member: &mut LocalMember, group: u64) -> Result<Raft, String> {
        let config = Arc::new(raft::config().validate().map_err(|error| error.to_string())?);
        let network = Network {
            group,
            addresses: self.settings.planners.clone(),
            security: self.settings.security.clone(),
        };
        let state_machine = AgreedStateMachine::new(self.fleet.clone());
        let started = Raft::new(member.member_id, config, network, LogStore::default(), state_machine).await;
        let raft = started.map_err(|error| error.to_string())?;
        member.group = Some((group, raft.clone()));
        Ok(raft)
    }

    // ---- Agreement ----

    /// Proposes this planner's own view, if the agreed one differs.
    async fn propose_view(&self, raft: &Raft, leader: Option<u64>) {
        let own_number = self.settings.number;
        let fleet = self.fleet.borrow().clone();
        let command = {
            let mut state = self.local_state();
            let version = state.announcer.version();
            if version.sequence == 0 || state.grantor.is_suspended() {
                return; // nothing was read yet, or the inventory is incomplete
            }
            match fleet.announcement_version(own_number) {
                Some(agreed) if agreed == version => return,
                Some(agreed) if agreed.epoch == version.epoch => {
                    let Some(listed) = fleet.listed_nodes(own_number) else { return };
                    let view = state.announcer.view();
                    let ids: BTreeSet<&String> = view.iter().map(|n| &n.id).collect();
                    let set = view.iter().filter(|n| listed.get(&n.id) != Some(n)).cloned().collect();
                    let gone = listed.keys().filter(|id| !ids.contains(id)).cloned().collect();
                    Command::Change { planner: own_number, from: agreed, to: version, set, gone }
                }
                _ => {
                    let settled_epoch = fleet
                        .expelled_epoch(own_number)
                        .or(fleet.announcement_version(own_number).map(|v| v.epoch));
                    if settled_epoch.is_some_and(|settled| settled >= version.epoch) {
                        // The announcements of the epoch count as settled, so they are made again in a new
                        // one.
                        let drains = state.announcer.begin_epoch(settled_epoch.unwrap_or_default() + 1);
                        drop(state);
                        self.planner.announce_drains(drains);
                        state = self.local_state();
                    }
                    let (version, nodes) = (state.announcer.version(), state.announcer.view().to_vec());
                    Command::View { planner: own_number, announcement_version: version, nodes }
                }
            }
        };
        if let Err(reason) = self.propose(raft, leader, command).await {
            eprintln!("planner {own_number}: own view not agreed yet: {reason}");
        }
    }

    async fn propose(&self, raft: &Raft, leader: Option<u64>, command: Command) -> Result<Applied, String> {
        let is_leader = raft.metrics().borrow().state == ServerState::Leader;
        if is_leader {
            let agreed = tokio::time::timeout(AGREEMENT_TIMEOUT, raft.client_write(command)).await;
            return match agreed {
                Ok(Ok(agreed)) => Ok(agreed.data),
                Ok(Err(error)) => Err(error.to_string()),
                Err(_) => Err("no majority agreed in time".into()),
            };
        }
        let address = leader.and_then(|id| self.settings.planners.get(&planner_number(id)));
        let Some(address) = address.filter(|_| leader.map(planner_number) != Some(self.settings.number))
        else {
            return Err("there is no leader".into());
        };
        match PlannerConnection::new(*address, self.settings.security.clone())
            .request(&PlannerRequest::Propose(command), AGREEMENT_TIMEOUT)
            .await
        {
            Ok(PlannerReply::Proposed(applied)) => Ok(applied),
            Ok(other) => Err(format!("{other:?}")),
            Err(error) => Err(error.to_string()),
        }
    }

    /// Performs the duties of a leader: agrees on terms, expels silent planners, and replaces restarted
    /// members.
    async fn perform_leader_duties(self: &Arc<Self>, raft: &Raft) {
        let fleet = self.fleet.borrow().clone();
        let (own_number, now, unix_millis) = (self.settings.number, self.now(), unix_millis_now());
        let plan_version = fleet.plan().version;
        let highest_term = self
            .local_state()
            .highest_term
            .max(self.planner.highest_version().term)
            .max(self.planner.version().term);
        let highest_term =
            if highest_term >> 16 <= unix_millis + MAX_TERM_AHEAD_MS { highest_term } else { 0 };
        // Followers may have plans of an earlier group; new plans need higher terms.
        if fleet.base() == 0 || highest_term > plan_version.term {
            let base = new_term_base(unix_millis).max(new_term_base((highest_term >> 16) + 1));
            if let Err(reason) = self.propose(raft, None, Command::Base(base)).await {
                eprintln!("planner {own_number}: the base of terms is not agreed yet: {reason}");
            }
        }
        let others = self.settings.planners.keys().copied().filter(|n| *n != own_number);
        let is_silent = |n: &u32| {
            let state = self.local_state();
            let last = state.membership.last_report_at(*n).unwrap_or_default();
            // A planner is expelled only after a membership read of this one, which shows the drains that the
            // silent planner knew of.
            now.saturating_sub(last) >= self.settings.expel_after
                && !state.grantor.grantable_lease(now).is_zero()
        };
        let silent_planners: Vec<u32> =
            others.filter(|n| fleet.expelled_epoch(*n).is_none() && is_silent(n)).collect();
        for planner in silent_planners {
            eprintln!(
                "planner {own_number}: planner {planner} is silent, proposing to remove the view of that planner"
            );
            let epoch = unix_millis.max(fleet.announcement_version(planner).map_or(0, |v| v.epoch));
            if let Err(reason) = self.propose(raft, None, Command::Expel { planner, epoch }).await {
                eprintln!(
                    "planner {own_number}: the expulsion of planner {planner} is not agreed yet: {reason}"
                );
            }
        }
        self.replace_restarted_planner(raft, now);
    }

    /// Replaces the Raft member of a restarted planner by its new process.
    fn replace_restarted_planner(self: &Arc<Self>, raft: &Raft, now: Duration) {
        let voters: BTreeSet<u64> =
            raft.metrics().borrow().membership_config.membership().voter_ids().collect();
        let recent_idle =
            |n: u32| self.local_state().membership.recent_state(n, now).filter(|s| s.group.is_none());
        let others = self.settings.planners.keys().filter(|n| **n != self.settings.number);
        let Some(new) = others.filter_map(|n| recent_idle(*n)).find(|s| !voters.contains(&s.member_id))
        else {
            return;
        };
        if self.membership_changing.swap(true, Ordering::SeqCst) {
            return; // one change at a time
        }
        let (this, raft) = (self.clone(), raft.clone());
        tokio::spawn(async move {
            let own_number = this.settings.number;
            let members: BTreeSet<u64> = voters
                .into_iter()
                .filter(|id| planner_number(*id) != planner_number(new.member_id))
                .chain([new.member_id])
                .collect();
            let change = async {
                raft.add_learner(new.member_id, EmptyNode {}, true)
                    .await
                    .map_err(|error| error.to_string())?;
                raft.change_membership(members, false).await.map_err(|error| error.to_string())
            };
            match tokio::time::timeout(3 * AGREEMENT_TIMEOUT, change).await {
                Ok(Ok(_)) => eprintln!(
                    "planner {own_number}: planner {} joined the group",
                    planner_number(new.member_id)
                ),
                Ok(Err(reason)) => eprintln!(
                    "planner {own_number}: planner {} could not join the group: {reason}",
                    planner_number(new.member_id)
                ),
                Err(_) => eprintln!(
                    "planner {own_number}: planner {} did not join the group in time",
                    planner_number(new.member_id)
                ),
            }
            this.membership_changing.store(false, Ordering::SeqCst);
        });
    }

    // ---- Communication with other planners ----

    /// Polls the status of another planner; never returns.
    async fn poll_planner(self: Arc<Self>, other: u32, address: SocketAddr) {
        let mut connection = PlannerConnection::new(address, self.settings.security.clone());
        let mut ticks = tokio::time::interval(lease_check_interval(self.settings.lease));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let sent_at = self.now();
            let agreed = self.fleet.borrow().announcement_version(other).unwrap_or_default();
            let acknowledged =
                self.local_state().acknowledged.get(&other).copied().unwrap_or_default().max(agreed);
            let request = PlannerRequest::Status { from: self.settings.number, acknowledged };
            // A failed request shows as a missing answer.
            if let Ok(PlannerReply::Status(status)) = connection.request(&request, STATUS_TIMEOUT).await
                && status.number == other
            {
                self.process_status(other, status, sent_at);
            }
        }
    }

    fn process_status(&self, other: u32, status: PlannerStatus, sent_at: Duration) {
        let drain =
            |(announcement_version, id)| PlannerMessage::Drain { planner: other, announcement_version, id };
        // Followers get the drains first: leases may be granted only for drains that were sent.
        self.planner.announce_drains(status.drains.into_iter().map(drain).collect());
        let now = self.now();
        let mut state = self.local_state();
        let group_state =
            GroupState { member_id: status.id, group: status.group, has_leader: status.has_leader };
        state.membership.record_state(other, group_state, now);
        state.highest_term = state.highest_term.max(status.highest_term);
        if status.complete {
            let acknowledged = state.acknowledged.entry(other).or_default();
            *acknowledged = status.announcement_version.max(*acknowledged);
            state.grantor.record_answer(other, status.announcement_version.epoch, sent_at, now);
        }
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.open_connections.load(Ordering::Relaxed) < MAX_CONNECTIONS => {
                    self.open_connections.fetch_add(1, Ordering::Relaxed);
                    let this = self.clone();
                    tokio::spawn(async move {
                        if let Err(error) = this.serve_planner(stream).await
                            && error.kind() == io::ErrorKind::InvalidData
                        {
                            this.rejected_connections.fetch_add(1, Ordering::Relaxed);
                            eprintln!("planner {}: a planner is refused: {error}", this.settings.number);
                        }
                        this.open_connections.fetch_sub(1, Ordering::Relaxed);
                    });
                }
                Ok(_) => {} // over the limit: the connection is closed
                Err(error) => {
                    eprintln!("planner {}: accept: {error}", self.settings.number);
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
    }

    /// Serves the requests of another planner.
    async fn serve_planner(self: &Arc<Self>, stream: TcpStream) -> io::Result<()> {
        let mut stream = self.settings.security.accept(stream, Role::Planner).await?;
        loop {
            let request = read(&frame::read(&mut stream, MAX_MESSAGE_BYTES, IDLE_TIMEOUT).await?)?;
            let reply = match request {
                PlannerRequest::Status { from, acknowledged } => self.status_reply(from, acknowledged).await,
                PlannerRequest::Member(request) => self.raft_reply(*request).await,
                PlannerRequest::Propose(command) => self.propose_as_leader(command).await,
            };
            frame::write(&mut stream, &write(&reply)?).await?;
        }
    }

    async fn status_reply(&self, from: u32, acknowledged: AnnouncementVersion) -> PlannerReply {
        if !self.settings.planners.contains_key(&from) || from == self.settings.number {
            return PlannerReply::Rejected(format!("expected the number of another planner, found {from}"));
        }
        let group_state = self.group_state(&*self.member.lock().await);
        let highest_term = self.planner.highest_version().term;
        let state = self.local_state();
        let (announcement_version, drains) =
            (state.announcer.version(), state.announcer.drains_since(acknowledged));
        let complete = announcement_version.sequence > 0 && drains.is_some();
        let (number, drains) = (self.settings.number, drains.unwrap_or_default());
        let GroupState { member_id: id, group, has_leader } = group_state;
        PlannerReply::Status(PlannerStatus {
            number,
            id,
            group,
            has_leader,
            complete,
            announcement_version,
            drains,
            highest_term,
        })
    }

    async fn raft_reply(&self, request: RaftRequest) -> PlannerReply {
        let raft = {
            let mut member = self.member.lock().await;
            if request.member != member.member_id {
                return PlannerReply::Rejected(format!(
                    "expected a message for member {}, found one for member {}",
                    member.member_id, request.member
                ));
            }
            match &member.group {
                Some((group, raft)) if *group == request.group => raft.clone(),
                Some((group, _)) => {
                    return PlannerReply::Rejected(format!(
                        "expected group {group}, found {}",
                        request.group
                    ));
                }
                None => match self.join_group(&mut member, request.group).await {
                    Ok(raft) => raft,
                    Err(reason) => return PlannerReply::Rejected(reason),
                },
            }
        };
        let reply = match request.message {
            RaftMessage::Append(rpc) => {
                let result = raft.append_entries(rpc).await;
                if matches!(&result, Ok(response) if !matches!(response, openraft::raft::AppendEntriesResponse::HigherVote(_)))
                {
                    self.record_leader_contact();
                }
                RaftReply::Append(result)
            }
            RaftMessage::Vote(rpc) => RaftReply::Vote(raft.vote(rpc).await),
            RaftMessage::Snapshot(rpc) => {
                let result = raft.install_snapshot(rpc).await;
                if result.is_ok() {
                    self.record_leader_contact();
                }
                RaftReply::Snapshot(result)
            }
        };
        PlannerReply::Member(Box::new(reply))
    }

    fn record_leader_contact(&self) {
        let now = u64::try_from(self.now().as_millis()).unwrap_or(u64::MAX);
        self.leader_contact_ms.store(now.saturating_add(1), Ordering::Relaxed);
    }

    async fn propose_as_leader(&self, command: Command) -> PlannerReply {
        let raft = self.member.lock().await.group.as_ref().map(|(_, raft)| raft.clone());
        match raft {
            Some(raft) => match self.propose(&raft, None, command).await {
                Ok(applied) => PlannerReply::Proposed(applied),
                Err(reason) => PlannerReply::Rejected(reason),
            },
            None => PlannerReply::Rejected("the planner is in no group".into()),
        }
    }
}
