//! A forwarder's side: a connection to each planner, all the time.

use super::frame;
use super::security::{Part, Security};
use crate::wire::{MOST_TOLD, WireError, read_told, write_asked};
use crate::{Asked, Digest, Follower, Heard, Letter, MOST_LETTERS, Told, Turns};
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
pub struct Following {
    /// Where the planners are.
    pub planners: Vec<SocketAddr>,
    /// The forwarder's name.
    pub name: String,
    /// How often each planner is asked.
    pub beat: Duration,
    /// From when the follower's time counts.
    pub start: Instant,
    /// How planners are told from strangers.
    pub security: Security,
}

/// What has changed with what was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// Nothing but how long the nodes may be gone by.
    Lease,
    /// The nodes to go by.
    Nodes,
    /// What cold nodes may be sent.
    Budgets,
}

/// Letters of a forwarder: those that it writes, and where those go that come for it. What finds no room on the way is
/// lost, as datagrams are.
#[derive(Debug)]
pub struct Mail {
    /// The number that others know it by.
    pub from: u64,
    /// One round of letters after another.
    pub out: mpsc::Receiver<Vec<Letter>>,
    /// Those that came.
    pub into: mpsc::Sender<Vec<u8>>,
}

/// The next round of letters, if there are to be any.
async fn written(mail: &mut Option<Mail>) -> Vec<Letter> {
    let next = match mail {
        Some(mail) => mail.out.recv().await,
        None => None,
    };
    match next {
        Some(letters) => letters,
        None => std::future::pending().await,
    }
}

/// Hands a round of letters to the planner whose turn it is, or to the next that takes them.
fn post(from: u64, letters: &[Letter], turns: &mut Turns, writers: &[Option<mpsc::Sender<Asked>>]) {
    let order: Vec<usize> = turns.next(writers.len()).collect();
    for some in letters.chunks(MOST_LETTERS) {
        let mut open = order.iter().filter_map(|planner| writers[*planner].as_ref());
        let _ = open.any(|writer| writer.try_send(Asked::Letters { from, letters: some.to_vec() }).is_ok());
    }
}

/// Follows all planners until it is dropped. `seen` is called after all that it hears or asks, and told
/// what has changed. Each digest that `digests` brings goes to all planners, each round of letters to one. Runs on one
/// thread.
pub async fn follow(
    following: Following,
    follower: Rc<RefCell<Follower>>,
    mut digests: watch::Receiver<Digest>,
    mut mail: Option<Mail>,
    seen: impl Fn(&Follower, Seen),
) {
    let mut turns = Turns::default();
    let (told, mut heard) = mpsc::channel::<(usize, Word)>(WAITING);
    let mut tasks = tokio::task::JoinSet::new();
    let mut writers: Vec<Option<mpsc::Sender<Asked>>> = vec![None; following.planners.len()];
    for (planner, address) in following.planners.iter().enumerate() {
        tasks.spawn(connected(planner, *address, following.clone(), told.clone()));
    }
    let mut beats = tokio::time::interval(following.beat);
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
                let digest = Asked::Digest(digests.borrow_and_update().clone());
                for writer in writers.iter().flatten() {
                    let _ = writer.try_send(digest.clone()); // the next one tells as much
                }
                continue;
            }
            letters = written(&mut mail) => {
                let from = mail.as_ref().map_or(0, |mail| mail.from);
                post(from, &letters, &mut turns, &writers);
                continue;
            }
            _ = beats.tick() => {
                let mut follower = follower.borrow_mut();
                follower.round();
                for (planner, writer) in writers.iter().enumerate() {
                    let question = follower.ask(planner, following.start.elapsed());
                    // A connection that takes no questions gets none, and its lease ends.
                    writer.iter().for_each(|w| drop(w.try_send(question.clone())));
                }
                seen(&follower, Seen::Lease);
                continue;
            }
        };
        let mut follower = follower.borrow_mut();
        let mut changed = Seen::Lease;
        match word {
            Word::Up(writer) => {
                let has = follower.version();
                let nodes = follower.slice().and_then(|slice| u32::try_from(slice.size()).ok());
                let _ = writer.try_send(Asked::Hello { name: following.name.clone(), has, nodes });
                writers[planner] = Some(writer);
            }
            Word::Unreadable => follower.unreadable(),
            Word::Down => {
                writers[planner] = None;
                follower.lost(planner);
            }
            Word::Told(Told::Letters(letters)) => {
                if let Some(mail) = &mail {
                    letters.into_iter().for_each(|letter| drop(mail.into.try_send(letter)));
                }
                continue;
            }
            Word::Told(told) => match follower.hear(planner, told) {
                Heard::Changed => {
                    changed = Seen::Nodes;
                    // Whoever told of a plan can vouch for it: there is no waiting for the next round.
                    let question = follower.ask(planner, following.start.elapsed());
                    writers[planner].iter().for_each(|w| drop(w.try_send(question.clone())));
                }
                Heard::Ask(question) => {
                    writers[planner].iter().for_each(|w| drop(w.try_send(question.clone())));
                }
                Heard::Budgets => changed = Seen::Budgets,
                Heard::Noted | Heard::Refused(_) => {}
            },
        }
        seen(&follower, changed);
    }
}

enum Word {
    Up(mpsc::Sender<Asked>),
    /// It said what can't be read; `Down` follows.
    Unreadable,
    Down,
    Told(Told),
}

/// Keeps a connection to one planner, and hands on what it says and when it is to be asked.
async fn connected(
    planner: usize,
    address: SocketAddr,
    following: Following,
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
    following: &Following,
    told: &mpsc::Sender<(usize, Word)>,
) -> io::Result<()> {
    let gone = |_| io::Error::from(io::ErrorKind::BrokenPipe);
    let stream = tokio::time::timeout(CONNECT_WITHIN, TcpStream::connect(address)).await??;
    let stream = following.security.connect(stream, Part::Planner).await?;
    let (mut reader, mut writer) = tokio::io::split(stream);
    let (questions, mut asked) = mpsc::channel(WAITING);
    told.send((planner, Word::Up(questions))).await.map_err(gone)?;
    let reading = async {
        loop {
            let bytes = frame::read(&mut reader, MOST_TOLD, BEATS_SILENT * following.beat).await?;
            match read_told(&bytes) {
                Ok(word) => told.send((planner, Word::Told(word))).await.map_err(gone)?,
                // A newer planner may say what this release does not know.
                Err(WireError::Unknown) => {}
                Err(error) => return Err(io::Error::new(io::ErrorKind::InvalidData, error.to_string())),
            }
        }
    };
    let writing = async {
        while let Some(question) = asked.recv().await {
            frame::write(&mut writer, &write_asked(&question)).await?;
        }
        Ok(())
    };
    tokio::select! {
        ended = reading => ended,
        ended = writing => ended,
    }
}
