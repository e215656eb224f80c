//! A forwarder's side: a connection to each planner, all the time.

use super::frame;
use super::security::{Role, Security};
use crate::wire::{MAX_PLANNER_MESSAGE_BYTES, WireError, read_planner_message, write_forwarder_message};
use crate::{
    Digest, Follower, ForwarderMessage, MAX_MESSAGES_PER_RELAY, MessageEffect, PlannerMessage,
    PlannerRotation, RelayedMessage,
};
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

/// A planner must take a connection within this.
const CONNECT_WITHIN: Duration = Duration::from_millis(500);
/// The waits between two tries, doubled from the one to the other.
const BACKOFF: [Duration; 2] = [Duration::from_millis(50), Duration::from_secs(1)];
/// A planner that has said nothing for so many beats is connected to anew.
const BEATS_SILENT: u32 = 20;
/// Messages that wait to be taken in.
const WAITING: usize = 16;

/// How planners are followed.
#[derive(Clone, Debug)]
pub struct FollowSettings {
    /// Where the planners are.
    pub planners: Vec<SocketAddr>,
    /// The forwarder's name.
    pub name: String,
    /// How often each planner is asked.
    pub heartbeat_interval: Duration,
    /// From when the follower's time counts.
    pub start: Instant,
    /// How planners are told from strangers.
    pub security: Security,
}

/// What has changed with what was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowEvent {
    /// Nothing but how long the nodes may be gone by.
    LeaseChanged,
    /// The nodes to go by.
    NodesChanged,
    /// What cold nodes may be sent.
    BudgetsChanged,
}

/// Letters of a forwarder: those that it writes, and where those go that come for it. What finds no room on the way is
/// lost, as datagrams are.
#[derive(Debug)]
pub struct RelayChannel {
    /// The number that others know it by.
    pub sender: u64,
    /// One round of letters after another.
    pub outgoing: mpsc::Receiver<Vec<RelayedMessage>>,
    /// Those that came.
    pub incoming: mpsc::Sender<Vec<u8>>,
}

/// The next round of letters, if there are to be any.
async fn written(mail: &mut Option<RelayChannel>) -> Vec<RelayedMessage> {
    let next = match mail {
        Some(mail) => mail.outgoing.recv().await,
        None => None,
    };
    match next {
        Some(letters) => letters,
        None => std::future::pending().await,
    }
}

/// Hands a round of letters to the planner whose turn it is, or to the next that takes them.
fn post(
    from: u64,
    letters: &[RelayedMessage],
    turns: &mut PlannerRotation,
    writers: &[Option<mpsc::Sender<ForwarderMessage>>],
) {
    let order: Vec<usize> = turns.next_order(writers.len()).collect();
    for some in letters.chunks(MAX_MESSAGES_PER_RELAY) {
        let mut open = order.iter().filter_map(|planner| writers[*planner].as_ref());
        let _ = open.any(|writer| {
            writer.try_send(ForwarderMessage::Relay { sender: from, messages: some.to_vec() }).is_ok()
        });
    }
}

/// Follows all planners until it is dropped. `seen` is called after all that it hears or asks, and told
/// what has changed. Each digest that `digests` brings goes to all planners, each round of letters to one. Runs on one
/// thread.
pub async fn follow(
    following: FollowSettings,
    follower: Rc<RefCell<Follower>>,
    mut digests: watch::Receiver<Digest>,
    mut mail: Option<RelayChannel>,
    seen: impl Fn(&Follower, FollowEvent),
) {
    let mut turns = PlannerRotation::default();
    let (told, mut heard) = mpsc::channel::<(usize, Word)>(WAITING);
    let mut tasks = tokio::task::JoinSet::new();
    let mut writers: Vec<Option<mpsc::Sender<ForwarderMessage>>> = vec![None; following.planners.len()];
    for (planner, address) in following.planners.iter().enumerate() {
        tasks.spawn(connected(planner, *address, following.clone(), told.clone()));
    }
    let mut beats = tokio::time::interval(following.heartbeat_interval);
    // After a pause one round of questions is enough, and the next is given its time.
    beats.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let (planner, word) = tokio::select! {
            // What has come is taken in before anything is asked: an answer that waits is one.
            biased;
            word = heard.recv() => match word {
                Some(word) => word,
                None => return,
            },
            Ok(()) = digests.changed() => {
                let digest = ForwarderMessage::Digest(digests.borrow_and_update().clone());
                for writer in writers.iter().flatten() {
                    let _ = writer.try_send(digest.clone()); // the next one tells as much
                }
                continue;
            }
            letters = written(&mut mail) => {
                let from = mail.as_ref().map_or(0, |mail| mail.sender);
                post(from, &letters, &mut turns, &writers);
                continue;
            }
            _ = beats.tick() => {
                let mut follower = follower.borrow_mut();
                follower.begin_round();
                for (planner, writer) in writers.iter().enumerate() {
                    let question = follower.next_heartbeat(planner, following.start.elapsed());
                    // A connection that takes no questions gets none, and its lease ends.
                    writer.iter().for_each(|w| drop(w.try_send(question.clone())));
                }
                seen(&follower, FollowEvent::LeaseChanged);
                continue;
            }
        };
        let mut follower = follower.borrow_mut();
        let mut changed = FollowEvent::LeaseChanged;
        match word {
            Word::Up(writer) => {
                let has = follower.version();
                let nodes = follower.slice().and_then(|slice| u32::try_from(slice.size()).ok());
                let _ = writer.try_send(ForwarderMessage::Hello {
                    name: following.name.clone(),
                    plan_version: has,
                    slice_size: nodes,
                });
                writers[planner] = Some(writer);
            }
            Word::Unreadable => follower.record_unreadable(),
            Word::Down => {
                writers[planner] = None;
                follower.remove_connection(planner);
            }
            Word::Received(PlannerMessage::Relayed(letters)) => {
                if let Some(mail) = &mail {
                    letters.into_iter().for_each(|letter| drop(mail.incoming.try_send(letter)));
                }
                continue;
            }
            Word::Received(told) => match follower.receive(planner, told) {
                MessageEffect::NodesChanged => {
                    changed = FollowEvent::NodesChanged;
                    // Whoever told of a plan can vouch for it: there is no waiting for the next round.
                    let question = follower.next_heartbeat(planner, following.start.elapsed());
                    writers[planner].iter().for_each(|w| drop(w.try_send(question.clone())));
                }
                MessageEffect::Request(question) => {
                    writers[planner].iter().for_each(|w| drop(w.try_send(question.clone())));
                }
                MessageEffect::BudgetsChanged => changed = FollowEvent::BudgetsChanged,
                MessageEffect::Accepted | MessageEffect::Rejected(_) => {}
            },
        }
        seen(&follower, changed);
    }
}

enum Word {
    Up(mpsc::Sender<ForwarderMessage>),
    /// It said what can't be read; `Down` follows.
    Unreadable,
    Down,
    Received(PlannerMessage),
}

/// Keeps a connection to one planner, and hands on what it says and when it is to be asked.
async fn connected(
    planner: usize,
    address: SocketAddr,
    following: FollowSettings,
    told: mpsc::Sender<(usize, Word)>,
) {
    let mut backoff = BACKOFF[0];
    loop {
        let up = Instant::now();
        if let Err(error) = connection(planner, address, &following, &told).await
            && error.kind() == io::ErrorKind::InvalidData
        {
            eprintln!("forwarder: planner {address}: {error}");
            if told.send((planner, Word::Unreadable)).await.is_err() {
                return;
            }
        }
        if told.send((planner, Word::Down)).await.is_err() {
            return;
        }
        // One that held for a while begins again at the shortest wait.
        backoff = if up.elapsed() > BACKOFF[1] { BACKOFF[0] } else { (2 * backoff).min(BACKOFF[1]) };
        tokio::time::sleep(backoff).await;
    }
}

async fn connection(
    planner: usize,
    address: SocketAddr,
    following: &FollowSettings,
    told: &mpsc::Sender<(usize, Word)>,
) -> io::Result<()> {
    let gone = |_| io::Error::from(io::ErrorKind::BrokenPipe);
    let stream = tokio::time::timeout(CONNECT_WITHIN, TcpStream::connect(address)).await??;
    let stream = following.security.connect(stream, Role::Planner).await?;
    let (mut reader, mut writer) = tokio::io::split(stream);
    let (questions, mut asked) = mpsc::channel(WAITING);
    told.send((planner, Word::Up(questions))).await.map_err(gone)?;
    let reading = async {
        loop {
            let bytes = frame::read(
                &mut reader,
                MAX_PLANNER_MESSAGE_BYTES,
                BEATS_SILENT * following.heartbeat_interval,
            )
            .await?;
            match read_planner_message(&bytes) {
                Ok(word) => told.send((planner, Word::Received(word))).await.map_err(gone)?,
                // A newer planner may say what this release does not know.
                Err(WireError::Unknown) => {}
                Err(error) => return Err(io::Error::new(io::ErrorKind::InvalidData, error.to_string())),
            }
        }
    };
    let writing = async {
        while let Some(question) = asked.recv().await {
            frame::write(&mut writer, &write_forwarder_message(&question)).await?;
        }
        Ok(())
    };
    tokio::select! {
        ended = reading => ended,
        ended = writing => ended,
    }
}
