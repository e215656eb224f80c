//! One planner among others, over TCP.

use crate::fleet::{Command, Fleet};
use crate::join::{Join, Standing, Step, identity, number};
use crate::lease_grantor::LeaseGrantor;
use crate::link::{Answered, Link, MOST_BYTES, Message, Question, Reply, Status, ToMember, read, write};
use crate::missing_nodes::drain_missing_nodes;
use crate::raft::{self, Applied, Log, Machine, Network, Raft};
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

/// It must answer within this.
const ANSWER_WITHIN: Duration = Duration::from_millis(500);
/// A proposal must be agreed within this, or is made anew.
const AGREE_WITHIN: Duration = Duration::from_secs(3);
/// How often it is seen whether anything is to be proposed or changed.
const LOOK: Duration = Duration::from_millis(100);
/// A leader that has heard no majority for so long is none.
const QUORUM_WITHIN: u64 = 1500;
/// A member that has heard no leader for so long has none.
const LEADER_WITHIN: Duration = Duration::from_millis(1500);
/// Connections of other planners that are held at once: a few for each, and as many that die.
const MOST_CONNECTIONS: usize = 256;
/// One of them that says nothing for so long is closed.
const SILENT: Duration = Duration::from_secs(30);
/// A follower that claims a plan of a term further ahead of the clock, in milliseconds, is not believed.
const AHEAD: u64 = 24 * 3600 * 1000;

/// How a planner is set.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its number.
    pub number: u32,
    /// Where each planner listens for the others, its own place included, by number.
    pub planners: BTreeMap<u32, SocketAddr>,
    /// For how long a forwarder may go by a planner's word.
    pub lease: Duration,
    /// The view of a planner that was silent for so long no longer counts.
    pub expel_after: Duration,
    /// Forwarders that are let in.
    pub max_forwarders: usize,
    /// How connections are secured.
    pub security: Security,
}

/// Its place in a group.
struct Seat {
    id: u64,
    group: Option<(u64, Raft)>,
}

/// What is known here alone.
struct Known {
    announcer: Announcer,
    vouch: LeaseGrantor,
    join: Join,
    /// Up to where the news of each other planner are known.
    heard: BTreeMap<u32, AnnouncementVersion>,
    /// The highest term that any planner has seen with a follower.
    term: u64,
}

/// One planner.
pub struct Cluster {
    settings: Settings,
    planner: Arc<Planner>,
    start: Instant,
    known: Mutex<Known>,
    seat: tokio::sync::Mutex<Seat>,
    told: watch::Sender<Arc<Fleet>>,
    /// When the leader was heard last, in milliseconds from the start, one added.
    led: AtomicU64,
    changing: AtomicBool,
    wake: Notify,
    connections: AtomicUsize,
    refused: AtomicU64,
}

/// A term from which those of a group count: the time, and 16 random bits behind it. Two groups must not
/// give one version to two plans, also where a clock was set back between them.
fn base(clock: u64) -> u64 {
    // The keys of the standard hasher are random; no more is needed.
    let lot = RandomState::new().build_hasher().finish() & 0xffff;
    clock << 16 | lot
}

/// Milliseconds since 1970. Only for numbers that are to be higher at a later start.
fn clock() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    u64::try_from(now).unwrap_or(u64::MAX)
}

impl Cluster {
    /// A planner that has seen nothing yet.
    pub fn new(settings: Settings) -> Arc<Self> {
        let epoch = clock();
        let me = settings.number;
        let others = settings.planners.keys().copied().filter(|n| *n != me);
        let known = Known {
            announcer: Announcer::new(me, epoch),
            vouch: LeaseGrantor::new(others, settings.lease),
            join: Join::new(settings.planners.keys().copied().collect()),
            heard: BTreeMap::new(),
            term: 0,
        };
        Arc::new_cyclic(|this: &Weak<Self>| {
            let this = this.clone();
            let lease = move || this.upgrade().map_or(Duration::ZERO, |this| this.lease());
            Self {
                planner: Planner::new(Box::new(lease), settings.lease, settings.max_forwarders),
                settings,
                start: Instant::now(),
                known: Mutex::new(known),
                seat: tokio::sync::Mutex::new(Seat { id: identity(epoch, me), group: None }),
                told: watch::Sender::new(Arc::default()),
                led: AtomicU64::new(0),
                changing: AtomicBool::new(false),
                wake: Notify::new(),
                connections: AtomicUsize::new(0),
                refused: AtomicU64::new(0),
            }
        })
    }

    /// Its side that forwarders connect to.
    pub fn planner(&self) -> &Arc<Planner> {
        &self.planner
    }

    /// What is agreed, and whenever that changes.
    pub fn fleet(&self) -> watch::Receiver<Arc<Fleet>> {
        self.told.subscribe()
    }

    /// How many connections of other planners were ended for what they said.
    pub fn rejected_connections(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    fn known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn lease(&self) -> Duration {
        self.known().vouch.grantable_lease(self.now())
    }

    /// Membership as it sees it now. Drains go out at once.
    pub fn observe(&self, nodes: Vec<Node>) {
        let drains = self.known().announcer.observe(nodes);
        self.planner.announce_drains(drains);
        self.beside(&self.told.borrow().clone());
        self.wake.notify_one();
    }

    /// A look at membership that began then found nothing but what was told to [`Cluster::observe`].
    pub fn record_membership_read(&self, began: Instant) {
        self.known().vouch.record_membership_read(began.saturating_duration_since(self.start));
    }

    /// Membership is to be looked at now: another planner is silent, and may have been told of what this
    /// one must know.
    pub fn needs_membership_read(&self) -> bool {
        self.known().vouch.needs_membership_read(self.now())
    }

    /// Runs it for good, with the others let in by `listener`.
    pub async fn run(self: Arc<Self>, listener: Option<TcpListener>) {
        let mut tasks = tokio::task::JoinSet::new();
        for (number, address) in &self.settings.planners {
            if *number != self.settings.number {
                tasks.spawn(self.clone().asks(*number, *address));
            }
        }
        if let Some(listener) = listener {
            tasks.spawn(self.clone().accept(listener));
        }
        tasks.spawn(self.clone().publish());
        loop {
            self.see().await;
            tokio::select! {
                () = tokio::time::sleep(LOOK) => {}
                () = self.wake.notified() => {}
            }
        }
    }

    /// Tells forwarders of the plan that is agreed.
    async fn publish(self: Arc<Self>) {
        let mut told = self.told.subscribe();
        while told.changed().await.is_ok() {
            let fleet = told.borrow_and_update().clone();
            self.beside(&fleet);
            self.planner.publish(fleet.plan());
            self.wake.notify_one();
        }
    }

    /// Tells what the others list and it does not, while its own view is not among theirs.
    fn beside(&self, fleet: &Fleet) {
        let (drains, turned) = {
            let mut known = self.known();
            let Known { announcer, vouch, .. } = &mut *known;
            let before = vouch.is_suspended();
            let drains = drain_missing_nodes(fleet, self.settings.number, announcer, vouch);
            (drains, (vouch.is_suspended() != before).then(|| vouch.is_suspended()))
        };
        let me = self.settings.number;
        match turned {
            Some(true) => eprintln!(
                "planner {me}: it lacks more than half of the nodes that others list, and stands back"
            ),
            Some(false) => eprintln!("planner {me}: it lists what others do again"),
            None => {}
        }
        self.planner.announce_drains(drains);
    }

    // ---- Its place among the planners ----

    /// Does what is due.
    async fn see(self: &Arc<Self>) {
        let mut seat = self.seat.lock().await;
        let me = self.standing(&seat);
        let step = self.known().join.step(me, self.now());
        match step {
            Step::Wait => {}
            Step::Found(members) => {
                let group = seat.id;
                match self.sit(&mut seat, group).await {
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
                if let Some((group, raft)) = seat.group.take() {
                    eprintln!("planner {}: leaves group {group}, which has no leader", self.settings.number);
                    let _ = raft.shutdown().await; // it is not asked any more either way
                }
                seat.id = identity(clock().max((seat.id >> 4) + 1), self.settings.number);
                self.told.send_replace(Arc::default());
            }
        }
        let Some((_, raft)) = seat.group.clone() else { return };
        drop(seat);
        let leader = raft.metrics().borrow().current_leader;
        self.propose_view(&raft, leader).await;
        if raft.metrics().borrow().state == ServerState::Leader {
            self.lead(&raft).await;
        }
    }

    fn standing(&self, seat: &Seat) -> Standing {
        let led = seat.group.as_ref().is_some_and(|(_, raft)| {
            let metrics = raft.metrics();
            let metrics = metrics.borrow();
            match metrics.state {
                ServerState::Leader => metrics.millis_since_quorum_ack.is_some_and(|ms| ms < QUORUM_WITHIN),
                _ => {
                    let last = self.led.load(Ordering::Relaxed);
                    last > 0 && self.now() < Duration::from_millis(last) + LEADER_WITHIN
                }
            }
        });
        Standing { id: seat.id, group: seat.group.as_ref().map(|(group, _)| *group), led }
    }

    /// Takes a place in that group.
    async fn sit(&self, seat: &mut Seat, group: u64) -> Result<Raft, String> {
        let config = Arc::new(raft::config().validate().map_err(|error| error.to_string())?);
        let network = Network {
            group,
            addresses: self.settings.planners.clone(),
            security: self.settings.security.clone(),
        };
        let machine = Machine::new(self.told.clone());
        let made = Raft::new(seat.id, config, network, Log::default(), machine).await;
        let raft = made.map_err(|error| error.to_string())?;
        seat.group = Some((group, raft.clone()));
        Ok(raft)
    }

    // ---- What is agreed ----

    /// Has its own view agreed, where that is not so.
    async fn propose_view(&self, raft: &Raft, leader: Option<u64>) {
        let me = self.settings.number;
        let fleet = self.told.borrow().clone();
        let command = {
            let mut known = self.known();
            let mark = known.announcer.version();
            if mark.sequence == 0 || known.vouch.is_suspended() {
                return; // it has seen nothing yet, or what can't be right
            }
            match fleet.announcement_version(me) {
                Some(agreed) if agreed == mark => return,
                Some(agreed) if agreed.epoch == mark.epoch => {
                    let Some(listed) = fleet.listed_nodes(me) else { return };
                    let view = known.announcer.view();
                    let ids: BTreeSet<&String> = view.iter().map(|n| &n.id).collect();
                    let set = view.iter().filter(|n| listed.get(&n.id) != Some(n)).cloned().collect();
                    let gone = listed.keys().filter(|id| !ids.contains(id)).cloned().collect();
                    Command::Change { planner: me, from: agreed, to: mark, set, gone }
                }
                _ => {
                    let over = fleet.expelled_epoch(me).or(fleet.announcement_version(me).map(|m| m.epoch));
                    if over.is_some_and(|over| over >= mark.epoch) {
                        // What it told counts as settled: it is told anew.
                        let drains = known.announcer.begin_epoch(over.unwrap_or_default() + 1);
                        drop(known);
                        self.planner.announce_drains(drains);
                        known = self.known();
                    }
                    let (mark, nodes) = (known.announcer.version(), known.announcer.view().to_vec());
                    Command::View { planner: me, announcement_version: mark, nodes }
                }
            }
        };
        if let Err(why) = self.propose(raft, leader, command).await {
            eprintln!("planner {me}: its view is not agreed yet: {why}");
        }
    }

    async fn propose(&self, raft: &Raft, leader: Option<u64>, command: Command) -> Result<Applied, String> {
        let leads = raft.metrics().borrow().state == ServerState::Leader;
        if leads {
            let agreed = tokio::time::timeout(AGREE_WITHIN, raft.client_write(command)).await;
            return match agreed {
                Ok(Ok(agreed)) => Ok(agreed.data),
                Ok(Err(error)) => Err(error.to_string()),
                Err(_) => Err("no majority agrees in time".into()),
            };
        }
        let address = leader.and_then(|id| self.settings.planners.get(&number(id)));
        let Some(address) = address.filter(|_| leader.map(number) != Some(self.settings.number)) else {
            return Err("there is no leader".into());
        };
        match Link::new(*address, self.settings.security.clone())
            .ask(&Question::Propose(command), AGREE_WITHIN)
            .await
        {
            Ok(Reply::Proposed(applied)) => Ok(applied),
            Ok(other) => Err(format!("{other:?}")),
            Err(error) => Err(error.to_string()),
        }
    }

    /// What is the leader's affair: terms, who is expelled, who belongs to the group.
    async fn lead(self: &Arc<Self>, raft: &Raft) {
        let fleet = self.told.borrow().clone();
        let (me, now, wall) = (self.settings.number, self.now(), clock());
        let plan = fleet.plan().version;
        let seen =
            self.known().term.max(self.planner.highest_version().term).max(self.planner.version().term);
        let seen = if seen >> 16 <= wall + AHEAD { seen } else { 0 };
        // Followers may have had plans of a group that is no more: those to come must be newer.
        if fleet.base() == 0 || seen > plan.term {
            let base = base(wall).max(base((seen >> 16) + 1));
            if let Err(why) = self.propose(raft, None, Command::Base(base)).await {
                eprintln!("planner {me}: terms are not agreed yet: {why}");
            }
        }
        let others = self.settings.planners.keys().copied().filter(|n| *n != me);
        let silent = |n: &u32| {
            let known = self.known();
            let last = known.join.heard_at(*n).unwrap_or_default();
            // Only after a look at membership of its own, which shows what that one was told.
            now.saturating_sub(last) >= self.settings.expel_after
                && !known.vouch.grantable_lease(now).is_zero()
        };
        let expelled: Vec<u32> = others.filter(|n| fleet.expelled_epoch(*n).is_none() && silent(n)).collect();
        for planner in expelled {
            eprintln!("planner {me}: planner {planner} is silent, and its view no longer counts");
            let epoch = wall.max(fleet.announcement_version(planner).map_or(0, |m| m.epoch));
            if let Err(why) = self.propose(raft, None, Command::Expel { planner, epoch }).await {
                eprintln!("planner {me}: that is not agreed yet: {why}");
            }
        }
        self.replace(raft, now);
    }

    /// Puts a process that started anew in the place of the one of its number.
    fn replace(self: &Arc<Self>, raft: &Raft, now: Duration) {
        let voters: BTreeSet<u64> =
            raft.metrics().borrow().membership_config.membership().voter_ids().collect();
        let fresh = |n: u32| self.known().join.fresh(n, now).filter(|s| s.group.is_none());
        let others = self.settings.planners.keys().filter(|n| **n != self.settings.number);
        let Some(new) = others.filter_map(|n| fresh(*n)).find(|s| !voters.contains(&s.id)) else { return };
        if self.changing.swap(true, Ordering::SeqCst) {
            return; // one at a time
        }
        let (this, raft) = (self.clone(), raft.clone());
        tokio::spawn(async move {
            let me = this.settings.number;
            let members: BTreeSet<u64> =
                voters.into_iter().filter(|id| number(*id) != number(new.id)).chain([new.id]).collect();
            let change = async {
                raft.add_learner(new.id, EmptyNode {}, true).await.map_err(|error| error.to_string())?;
                raft.change_membership(members, false).await.map_err(|error| error.to_string())
            };
            match tokio::time::timeout(3 * AGREE_WITHIN, change).await {
                Ok(Ok(_)) => eprintln!("planner {me}: planner {} is in the group", number(new.id)),
                Ok(Err(why)) => eprintln!("planner {me}: planner {} does not join: {why}", number(new.id)),
                Err(_) => eprintln!("planner {me}: planner {} does not join in time", number(new.id)),
            }
            this.changing.store(false, Ordering::SeqCst);
        });
    }

    // ---- Talk with other planners ----

    /// Asks one of them where it stands, for good.
    async fn asks(self: Arc<Self>, other: u32, address: SocketAddr) {
        let mut link = Link::new(address, self.settings.security.clone());
        let mut every = tokio::time::interval(lease_check_interval(self.settings.lease));
        every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            every.tick().await;
            let asked = self.now();
            let agreed = self.told.borrow().announcement_version(other).unwrap_or_default();
            let heard = self.known().heard.get(&other).copied().unwrap_or_default().max(agreed);
            let question = Question::Status { from: self.settings.number, heard };
            // That it does not answer shows by itself.
            if let Ok(Reply::Status(status)) = link.ask(&question, ANSWER_WITHIN).await
                && status.number == other
            {
                self.heard(other, status, asked);
            }
        }
    }

    fn heard(&self, other: u32, status: Status, asked: Duration) {
        let told = |(mark, id)| PlannerMessage::Drain { planner: other, announcement_version: mark, id };
        // Followers first: what is confirmed must be told.
        self.planner.announce_drains(status.news.into_iter().map(told).collect());
        let now = self.now();
        let mut known = self.known();
        let standing = Standing { id: status.id, group: status.group, led: status.led };
        known.join.heard(other, standing, now);
        known.term = known.term.max(status.term);
        if status.complete {
            let heard = known.heard.entry(other).or_default();
            *heard = status.mark.max(*heard);
            known.vouch.record_answer(other, status.mark.epoch, asked, now);
        }
    }

    async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.connections.load(Ordering::Relaxed) < MOST_CONNECTIONS => {
                    self.connections.fetch_add(1, Ordering::Relaxed);
                    let this = self.clone();
                    tokio::spawn(async move {
                        if let Err(error) = this.answers(stream).await
                            && error.kind() == io::ErrorKind::InvalidData
                        {
                            this.refused.fetch_add(1, Ordering::Relaxed);
                            eprintln!("planner {}: a planner is refused: {error}", this.settings.number);
                        }
                        this.connections.fetch_sub(1, Ordering::Relaxed);
                    });
                }
                Ok(_) => {} // dropped: there is no room
                Err(error) => {
                    eprintln!("planner {}: accept: {error}", self.settings.number);
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
    }

    /// Answers one other planner.
    async fn answers(self: &Arc<Self>, stream: TcpStream) -> io::Result<()> {
        let mut stream = self.settings.security.accept(stream, Role::Planner).await?;
        loop {
            let question = read(&frame::read(&mut stream, MOST_BYTES, SILENT).await?)?;
            let reply = match question {
                Question::Status { from, heard } => self.status(from, heard).await,
                Question::Member(to) => self.member(*to).await,
                Question::Propose(command) => self.proposed(command).await,
            };
            frame::write(&mut stream, &write(&reply)?).await?;
        }
    }

    async fn status(&self, from: u32, heard: AnnouncementVersion) -> Reply {
        if !self.settings.planners.contains_key(&from) || from == self.settings.number {
            return Reply::Refused(format!("expected the number of another planner, found {from}"));
        }
        let standing = self.standing(&*self.seat.lock().await);
        let term = self.planner.highest_version().term;
        let known = self.known();
        let (mark, news) = (known.announcer.version(), known.announcer.drains_since(heard));
        let complete = mark.sequence > 0 && news.is_some();
        let (number, news) = (self.settings.number, news.unwrap_or_default());
        let Standing { id, group, led } = standing;
        Reply::Status(Status { number, id, group, led, complete, mark, news, term })
    }

    async fn member(&self, to: ToMember) -> Reply {
        let raft = {
            let mut seat = self.seat.lock().await;
            if to.member != seat.id {
                return Reply::Refused(format!(
                    "expected a message for {}, found one for {}",
                    seat.id, to.member
                ));
            }
            match &seat.group {
                Some((group, raft)) if *group == to.group => raft.clone(),
                Some((group, _)) => {
                    return Reply::Refused(format!("expected group {group}, found {}", to.group));
                }
                None => match self.sit(&mut seat, to.group).await {
                    Ok(raft) => raft,
                    Err(why) => return Reply::Refused(why),
                },
            }
        };
        let answered = match to.message {
            Message::Append(rpc) => {
                let answer = raft.append_entries(rpc).await;
                if matches!(&answer, Ok(answer) if !matches!(answer, openraft::raft::AppendEntriesResponse::HigherVote(_)))
                {
                    self.heard_leader();
                }
                Answered::Append(answer)
            }
            Message::Vote(rpc) => Answered::Vote(raft.vote(rpc).await),
            Message::Snapshot(rpc) => {
                let answer = raft.install_snapshot(rpc).await;
                if answer.is_ok() {
                    self.heard_leader();
                }
                Answered::Snapshot(answer)
            }
        };
        Reply::Member(Box::new(answered))
    }

    fn heard_leader(&self) {
        let now = u64::try_from(self.now().as_millis()).unwrap_or(u64::MAX);
        self.led.store(now.saturating_add(1), Ordering::Relaxed);
    }

    async fn proposed(&self, command: Command) -> Reply {
        let raft = self.seat.lock().await.group.as_ref().map(|(_, raft)| raft.clone());
        match raft {
            Some(raft) => match self.propose(&raft, None, command).await {
                Ok(applied) => Reply::Proposed(applied),
                Err(why) => Reply::Refused(why),
            },
            None => Reply::Refused("it is in no group".into()),
        }
    }
}
