//! A planner's side of the connections.

use super::frame;
use super::security::{self, Security, Stream};
use crate::wire::WireError;
use crate::wire::{MOST_ASKED, read_asked, write_told};
use crate::{
    Asked, Digest, Letter, Letters, Loads, MOST_COUNTED, Part, Plan, Post, Publisher, Slice, Told, Version,
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
pub type Lease = dyn Fn() -> Duration + Send + Sync;

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
    lease: Box<Lease>,
    highest: Mutex<Version>,
    loads: Mutex<Loads>,
    post: Mutex<Post>,
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
        self.0.loads().lost(self.1);
        self.0.post().lost(self.1);
        self.0.awaiting().remove(&self.1);
    }
}

/// A node that started less long ago than this is budgeted.
const COLD: Duration = Duration::from_secs(60);

impl Planner {
    /// A planner that gives the leases that it is told of whenever it is asked for one, none of which is
    /// longer than `full`, to so many followers at most; more are not let in.
    pub fn new(lease: Box<Lease>, full: Duration, most: usize) -> Arc<Self> {
        let news = broadcast::Sender::new(WAITING);
        let (followers, refused) = (AtomicUsize::new(0), AtomicU64::new(0));
        Arc::new(Self {
            publisher: Mutex::new(Publisher::lending(full)),
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
    pub fn drains(&self, drains: Vec<Told>) {
        let mut publisher = self.publisher();
        let told = publisher.drains(drains);
        self.tell(told);
    }

    fn tell(&self, told: impl IntoIterator<Item = Told>) {
        for told in told {
            let plan = matches!(told, Told::Full(_) | Told::Delta(_));
            let _ = self.news.send(Arc::new(News { plan, frame: write_told(&told) })); // nobody may be there
        }
    }

    /// The version that it tells of.
    pub fn version(&self) -> Version {
        self.publisher().plan().version
    }

    /// The highest version that a follower has had when it came.
    pub fn highest(&self) -> Version {
        *self.highest.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How many followers there are.
    pub fn followers(&self) -> usize {
        self.followers.load(Ordering::Relaxed)
    }

    /// How many connections were ended for what they said.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Lets followers in, for good.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, security: Security) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.followers() < self.most => {
                    self.followers.fetch_add(1, Ordering::Relaxed);
                    let (this, security) = (self.clone(), security.clone());
                    tokio::spawn(async move {
                        let number = this.connections.fetch_add(1, Ordering::Relaxed);
                        let _place = Place(&this, number);
                        let let_in = async {
                            let stream = security.accept(stream, security::Part::Forwarder).await?;
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
        let asked = |bytes: &[u8]| match read_asked(bytes) {
            Ok(asked) => Ok(Some(asked)),
            // A newer follower may ask what this release does not know.
            Err(WireError::Unknown) => Ok(None),
            Err(error) => Err(io::Error::new(io::ErrorKind::InvalidData, error.to_string())),
        };
        let first = asked(&frame::read(&mut reader, MOST_ASKED, HELLO_WITHIN).await?)?;
        let Some(Asked::Hello { has, name, nodes }) = first else {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "expected a hello first"));
        };
        if let Some(has) = has {
            let mut highest = self.highest.lock().unwrap_or_else(PoisonError::into_inner);
            *highest = has.max(*highest);
        }
        let slice = nodes.map(|nodes| Slice::new(&name, usize::try_from(nodes).unwrap_or(usize::MAX)));
        let (mut news, (mut part, behind)) = {
            let publisher = self.publisher();
            (self.news.subscribe(), publisher.welcome(slice, has, self.start.elapsed()))
        };
        for told in behind {
            frame::write(&mut writer, &write_told(&told)).await?;
        }
        let letters = Arc::new(Notify::new());
        self.awaiting().insert(number, letters.clone());
        // Reading is a task of its own, as half a frame must not be lost when news come first.
        let (questions, mut heard) = mpsc::channel(QUESTIONS);
        let reading = async move {
            loop {
                let question = match frame::read(&mut reader, MOST_ASKED, SILENT).await {
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
                            let told = self.publisher().change(&mut part, self.start.elapsed());
                            match told {
                                Some(told) => Framed::Own(write_told(&told)),
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
                        Some(Ok(Some(Asked::Beat { number }))) => {
                            let lease = u64::try_from((self.lease)().as_millis()).unwrap_or(u64::MAX);
                            let told = {
                                let publisher = self.publisher();
                                // News of this very moment: the follower is to ask again.
                                publisher.beat(number, if news.is_empty() { lease } else { 0 })
                            };
                            Framed::Own(write_told(&told))
                        }
                        Some(Ok(Some(Asked::Resend))) => {
                            self.all(&mut part, &mut writer).await?;
                            continue;
                        }
                        Some(Ok(None)) => continue,
                        Some(Ok(Some(Asked::Digest(digest)))) => match self.digest(number, &part, digest) {
                            Some(budgets) => Framed::Own(write_told(&budgets)),
                            None => continue,
                        },
                        Some(Ok(Some(Asked::Letters { from, letters }))) => {
                            self.take(number, from, letters);
                            continue;
                        }
                        Some(Ok(Some(Asked::Hello { .. }))) => {
                            return Err(io::Error::new(io::ErrorKind::InvalidData, "expected one hello"));
                        }
                        Some(Err(error)) => return Err(error),
                        None => return Ok(()),
                    },
                    // They come last: what vouches for a plan waits for none of them but the message under way.
                    () = letters.notified() => match self.fetch(number, &letters) {
                        Some(told) => Framed::Own(write_told(&told)),
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

    fn post(&self) -> MutexGuard<'_, Post> {
        self.post.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn awaiting(&self) -> MutexGuard<'_, HashMap<u64, Arc<Notify>>> {
        self.awaiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What became of letters so far.
    pub fn letters(&self) -> Letters {
        self.post().letters
    }

    /// Takes letters in, and wakes those that they are for.
    fn take(&self, number: u64, from: u64, letters: Vec<Letter>) {
        let woken = self.post().take(number, from, letters, self.start.elapsed());
        let awaiting = self.awaiting();
        woken.iter().filter_map(|to| awaiting.get(to)).for_each(|to| to.notify_one());
    }

    /// Letters that wait for a connection, and another turn for those that are too many for one message.
    fn fetch(&self, number: u64, more: &Notify) -> Option<Told> {
        let letters = self.post().fetch(number);
        if letters.is_empty() {
            return None;
        }
        more.notify_one();
        Some(Told::Letters(letters))
    }

    fn loads(&self) -> MutexGuard<'_, Loads> {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What all forwarders serve, in requests a second, by their digests.
    pub fn rate(&self) -> f64 {
        self.loads().rate(self.start.elapsed())
    }

    /// Takes in a digest, and says what cold nodes may be sent for it, if there are any.
    fn digest(&self, number: u64, part: &Part, digest: Digest) -> Option<Told> {
        let now = self.start.elapsed();
        let publisher = self.publisher();
        let mut loads = self.loads();
        loads.hear(number, digest, now);
        let cold: Vec<&crate::Node> = publisher.cold(COLD, now).take(MOST_COUNTED).collect();
        if cold.is_empty() {
            return None;
        }
        let serving = publisher.plan().nodes.iter().filter(|n| !n.draining).map(|n| n.weight).sum::<f64>();
        let warm = serving - cold.iter().map(|n| n.weight).sum::<f64>();
        let its = cold.iter().filter(|n| part.has(&n.id));
        let usual: Vec<_> = its.map(|n| (n.id.clone(), loads.usual(number, n, warm, now))).collect();
        (!usual.is_empty()).then_some(Told::Budgets(usual))
    }

    /// All that holds.
    async fn all(&self, part: &mut Part, writer: &mut (impl AsyncWrite + Unpin)) -> io::Result<()> {
        let told = self.publisher().again(part, self.start.elapsed());
        for told in told {
            frame::write(writer, &write_told(&told)).await?;
        }
        Ok(())
    }
}
