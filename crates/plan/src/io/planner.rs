//! A planner's side of the connections.

use super::frame;
use super::security::{self, Security, Stream};
use crate::wire::WireError;
use crate::wire::{MAX_FORWARDER_MESSAGE_BYTES, read_forwarder_message, write_planner_message};
use crate::{
    Digest, ForwarderMessage, Loads, MAX_DIGEST_NODES, Plan, PlannerMessage, Publisher, RelayCounts,
    RelayMailboxes, RelayedMessage, SentPlan, Slice, Version,
};
use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::AsyncWrite;
use tokio::net::TcpListener;
use tokio::sync::{Notify, broadcast, mpsc};

/// A follower must say who it is within this,
const HELLO_WITHIN: Duration = Duration::from_secs(2);
/// and ask something this often.
const SILENT: Duration = Duration::from_secs(10);
/// News that wait for a follower that is slow; one that is further behind gets the whole plan.
const WAITING: usize = 256;
/// Questions of one follower that wait.
const QUESTIONS: usize = 16;

/// For how long the planner may vouch now for what it tells.
pub type LeaseSource = dyn Fn() -> Duration + Send + Sync;

/// What all followers are told.
struct News {
    /// It is of a plan: those who use a part of it are told what changes of that.
    plan: bool,
    frame: Vec<u8>,
}

/// Tells followers of plans.
pub struct Planner {
    publisher: Mutex<Publisher>,
    news: broadcast::Sender<Arc<News>>,
    lease: Box<LeaseSource>,
    highest: Mutex<Version>,
    loads: Mutex<Loads>,
    post: Mutex<RelayMailboxes>,
    /// Whom to wake where letters wait: connections that have asked for some.
    awaiting: Mutex<HashMap<u64, Arc<Notify>>>,
    connections: AtomicU64,
    start: Instant,
    most: usize,
    followers: AtomicUsize,
    refused: AtomicU64,
}

/// A frame to one follower, or to all of them.
enum Framed {
    Own(Vec<u8>),
    Shared(Arc<News>),
}

impl Framed {
    fn bytes(&self) -> &[u8] {
        match self {
            Self::Own(frame) => frame,
            Self::Shared(news) => &news.frame,
        }
    }
}

/// Gives a place back when a connection ends.
struct Place<'a>(&'a Planner, u64);

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.followers.fetch_sub(1, Ordering::Relaxed);
        self.0.loads().remove_forwarder(self.1);
        self.0.post().remove_connection(self.1);
        self.0.awaiting().remove(&self.1);
    }
}

/// A node that started less long ago than this is budgeted.
const COLD: Duration = Duration::from_secs(60);

impl Planner {
    /// A planner that gives the leases that it is told of whenever it is asked for one, none of which is
    /// longer than `full`, to so many followers at most; more are not let in.
    pub fn new(lease: Box<LeaseSource>, full: Duration, most: usize) -> Arc<Self> {
        let news = broadcast::Sender::new(WAITING);
        let (followers, refused) = (AtomicUsize::new(0), AtomicU64::new(0));
        Arc::new(Self {
            publisher: Mutex::new(Publisher::with_max_lease(full)),
            news,
            lease,
            highest: Mutex::default(),
            loads: Mutex::default(),
            post: Mutex::default(),
            awaiting: Mutex::default(),
            connections: AtomicU64::new(0),
            start: Instant::now(),
            most,
            followers,
            refused,
        })
    }

    fn publisher(&self) -> MutexGuard<'_, Publisher> {
        self.publisher.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells all followers of a plan, if it is newer than the one that holds.
    pub fn publish(&self, plan: Plan) {
        // Under the lock, so that a follower that comes meanwhile misses nothing and hears nothing
        // twice.
        let mut publisher = self.publisher();
        let told = publisher.publish(plan, self.start.elapsed());
        self.tell(told);
    }

    /// Tells all followers of drains, ahead of any plan.
    pub fn announce_drains(&self, drains: Vec<PlannerMessage>) {
        let mut publisher = self.publisher();
        let told = publisher.add_drains(drains);
        self.tell(told);
    }

    fn tell(&self, told: impl IntoIterator<Item = PlannerMessage>) {
        for told in told {
            let plan = matches!(told, PlannerMessage::Full(_) | PlannerMessage::Delta(_));
            let _ = self.news.send(Arc::new(News { plan, frame: write_planner_message(&told) })); // nobody may be there
        }
    }

    /// The version that it tells of.
    pub fn version(&self) -> Version {
        self.publisher().plan().version
    }

    /// The highest version that a follower has had when it came.
    pub fn highest_version(&self) -> Version {
        *self.highest.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How many followers there are.
    pub fn follower_count(&self) -> usize {
        self.followers.load(Ordering::Relaxed)
    }

    /// How many connections were ended for what they said.
    pub fn rejected_connections(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Lets followers in, for good.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, security: Security) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.follower_count() < self.most => {
                    self.followers.fetch_add(1, Ordering::Relaxed);
                    let (this, security) = (self.clone(), security.clone());
                    tokio::spawn(async move {
                        let number = this.connections.fetch_add(1, Ordering::Relaxed);
                        let _place = Place(&this, number);
                        let let_in = async {
                            let stream = security.accept(stream, security::Role::Forwarder).await?;
                            this.follower(number, stream).await
                        };
                        if let Err(error) = let_in.await
                            && error.kind() == io::ErrorKind::InvalidData
                        {
                            this.refused.fetch_add(1, Ordering::Relaxed);
                            eprintln!("planner: a follower is refused: {error}");
                        }
                    });
                }
                Ok(_) => {} // dropped: there is no room
                Err(error) => {
                    eprintln!("planner: accept: {error}");
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
    }

    async fn follower(&self, number: u64, stream: Stream) -> io::Result<()> {
        let (mut reader, mut writer) = tokio::io::split(stream);
        let asked = |bytes: &[u8]| match read_forwarder_message(bytes) {
            Ok(asked) => Ok(Some(asked)),
            // A newer follower may ask what this release does not know.
            Err(WireError::Unknown) => Ok(None),
            Err(error) => Err(io::Error::new(io::ErrorKind::InvalidData, error.to_string())),
        };
        let first = asked(&frame::read(&mut reader, MAX_FORWARDER_MESSAGE_BYTES, HELLO_WITHIN).await?)?;
        let Some(ForwarderMessage::Hello { plan_version: has, name, slice_size: nodes }) = first else {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "expected a hello first"));
        };
        if let Some(has) = has {
            let mut highest = self.highest.lock().unwrap_or_else(PoisonError::into_inner);
            *highest = has.max(*highest);
        }
        let slice = nodes.map(|nodes| Slice::new(&name, usize::try_from(nodes).unwrap_or(usize::MAX)));
        let (mut news, (mut part, behind)) = {
            let publisher = self.publisher();
            (self.news.subscribe(), publisher.initial_messages(slice, has, self.start.elapsed()))
        };
        for told in behind {
            frame::write(&mut writer, &write_planner_message(&told)).await?;
        }
        let letters = Arc::new(Notify::new());
        self.awaiting().insert(number, letters.clone());
        // Reading is a task of its own, as half a frame must not be lost when news come first.
        let (questions, mut heard) = mpsc::channel(QUESTIONS);
        let reading = async move {
            loop {
                let question = match frame::read(&mut reader, MAX_FORWARDER_MESSAGE_BYTES, SILENT).await {
                    Ok(bytes) => asked(&bytes),
                    Err(error) => Err(error),
                };
                let last = question.is_err();
                if questions.send(question).await.is_err() || last {
                    return Ok::<(), io::Error>(());
                }
            }
        };
        let writing = async {
            loop {
                let frame = tokio::select! {
                    // What is new goes out before any word that vouches for what is known.
                    biased;
                    told = news.recv() => match told {
                        Ok(news) if news.plan && !part.is_whole() => {
                            let told = self.publisher().update_for(&mut part, self.start.elapsed());
                            match told {
                                Some(told) => Framed::Own(write_planner_message(&told)),
                                None => continue,
                            }
                        }
                        Ok(news) => Framed::Shared(news),
                        Err(broadcast::error::RecvError::Lagged(_)) => {
                            self.all(&mut part, &mut writer).await?;
                            continue;
                        }
                        Err(broadcast::error::RecvError::Closed) => return Ok(()),
                    },
                    question = heard.recv() => match question {
                        Some(Ok(Some(ForwarderMessage::Heartbeat { number }))) => {
                            let lease = u64::try_from((self.lease)().as_millis()).unwrap_or(u64::MAX);
                            let told = {
                                let publisher = self.publisher();
                                // News of this very moment: the follower is to ask again.
                                publisher.heartbeat_reply(number, if news.is_empty() { lease } else { 0 })
                            };
                            Framed::Own(write_planner_message(&told))
                        }
                        Some(Ok(Some(ForwarderMessage::Resend))) => {
                            self.all(&mut part, &mut writer).await?;
                            continue;
                        }
                        Some(Ok(None)) => continue,
                        Some(Ok(Some(ForwarderMessage::Digest(digest)))) => match self.digest(number, &part, digest) {
                            Some(budgets) => Framed::Own(write_planner_message(&budgets)),
                            None => continue,
                        },
                        Some(Ok(Some(ForwarderMessage::Relay { sender: from, messages: letters }))) => {
                            self.take(number, from, letters);
                            continue;
                        }
                        Some(Ok(Some(ForwarderMessage::Hello { .. }))) => {
                            return Err(io::Error::new(io::ErrorKind::InvalidData, "expected one hello"));
                        }
                        Some(Err(error)) => return Err(error),
                        None => return Ok(()),
                    },
                    // They come last: what vouches for a plan waits for none of them but the message under way.
                    () = letters.notified() => match self.fetch(number, &letters) {
                        Some(told) => Framed::Own(write_planner_message(&told)),
                        None => continue,
                    },
                };
                frame::write(&mut writer, frame.bytes()).await?;
            }
        };
        // Neither is polled again once the other has ended: the connection goes with both.
        tokio::pin!(reading, writing);
        let mut read = false;
        loop {
            tokio::select! {
                ended = &mut writing => return ended,
                _ = &mut reading, if !read => read = true, // what it has said is still to be answered
            }
        }
    }

    fn post(&self) -> MutexGuard<'_, RelayMailboxes> {
        self.post.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn awaiting(&self) -> MutexGuard<'_, HashMap<u64, Arc<Notify>>> {
        self.awaiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What became of letters so far.
    pub fn relay_counts(&self) -> RelayCounts {
        self.post().counts
    }

    /// Takes letters in, and wakes those that they are for.
    fn take(&self, number: u64, from: u64, letters: Vec<RelayedMessage>) {
        let woken = self.post().accept(number, from, letters, self.start.elapsed());
        let awaiting = self.awaiting();
        woken.iter().filter_map(|to| awaiting.get(to)).for_each(|to| to.notify_one());
    }

    /// Letters that wait for a connection, and another turn for those that are too many for one message.
    fn fetch(&self, number: u64, more: &Notify) -> Option<PlannerMessage> {
        let letters = self.post().take_waiting(number);
        if letters.is_empty() {
            return None;
        }
        more.notify_one();
        Some(PlannerMessage::Relayed(letters))
    }

    fn loads(&self) -> MutexGuard<'_, Loads> {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What all forwarders serve, in requests a second, by their digests.
    pub fn total_rate(&self) -> f64 {
        self.loads().total_rate(self.start.elapsed())
    }

    /// Takes in a digest, and says what cold nodes may be sent for it, if there are any.
    fn digest(&self, number: u64, part: &SentPlan, digest: Digest) -> Option<PlannerMessage> {
        let now = self.start.elapsed();
        let publisher = self.publisher();
        let mut loads = self.loads();
        loads.record_digest(number, digest, now);
        let cold: Vec<&crate::Node> = publisher.cold_nodes(COLD, now).take(MAX_DIGEST_NODES).collect();
        if cold.is_empty() {
            return None;
        }
        let serving = publisher.plan().nodes.iter().filter(|n| !n.draining).map(|n| n.weight).sum::<f64>();
        let warm = serving - cold.iter().map(|n| n.weight).sum::<f64>();
        let its = cold.iter().filter(|n| part.contains(&n.id));
        let usual: Vec<_> = its.map(|n| (n.id.clone(), loads.usual_rate(number, n, warm, now))).collect();
        (!usual.is_empty()).then_some(PlannerMessage::Budgets(usual))
    }

    /// All that holds.
    async fn all(&self, part: &mut SentPlan, writer: &mut (impl AsyncWrite + Unpin)) -> io::Result<()> {
        let told = self.publisher().full_update(part, self.start.elapsed());
        for told in told {
            frame::write(writer, &write_planner_message(&told)).await?;
        }
        Ok(())
    }
}
