//! The planner's side: serves plans, drains, leases and budgets to connected followers.

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

/// Time limit for the first message of a follower.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection is closed after this time without a message from the follower.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Capacity of the broadcast queue; a follower further behind gets the complete state.
const BROADCAST_CAPACITY: usize = 256;
/// Capacity of the queue of messages from one follower.
const REQUEST_QUEUE_CAPACITY: usize = 16;

/// Returns the lease that the planner can grant now.
pub type LeaseSource = dyn Fn() -> Duration + Send + Sync;

/// A message broadcast to all followers.
struct Broadcast {
    /// Whether the message contains a plan or a delta. Followers of a slice get the change of their slice
    /// instead.
    is_plan: bool,
    frame: Vec<u8>,
}

/// Serves followers.
pub struct Planner {
    publisher: Mutex<Publisher>,
    broadcasts: broadcast::Sender<Arc<Broadcast>>,
    lease: Box<LeaseSource>,
    highest_version: Mutex<Version>,
    loads: Mutex<Loads>,
    mailboxes: Mutex<RelayMailboxes>,
    /// Wakes the connections that have subscribed to relayed messages.
    relay_wakers: Mutex<HashMap<u64, Arc<Notify>>>,
    next_connection: AtomicU64,
    start: Instant,
    max_followers: usize,
    follower_count: AtomicUsize,
    rejected_connections: AtomicU64,
}

/// A frame for one follower, or one shared by all.
enum OutgoingFrame {
    Own(Vec<u8>),
    Shared(Arc<Broadcast>),
}

impl OutgoingFrame {
    fn bytes(&self) -> &[u8] {
        match self {
            Self::Own(frame) => frame,
            Self::Shared(broadcast) => &broadcast.frame,
        }
    }
}

/// Removes the state of a connection when it ends.
struct ConnectionGuard<'a>(&'a Planner, u64);

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        self.0.follower_count.fetch_sub(1, Ordering::Relaxed);
        self.0.loads().remove_forwarder(self.1);
        self.0.mailboxes().remove_connection(self.1);
        self.0.relay_wakers().remove(&self.1);
    }
}

/// Nodes younger than this get budgets.
const MAX_BUDGETED_AGE: Duration = Duration::from_secs(60);

impl Planner {
    /// Creates a planner that serves up to `max_followers` followers; further connections are closed. `lease`
    /// is called for each heartbeat; `max_lease` is the longest lease that it returns.
    pub fn new(lease: Box<LeaseSource>, max_lease: Duration, max_followers: usize) -> Arc<Self> {
        let broadcasts = broadcast::Sender::new(BROADCAST_CAPACITY);
        let (follower_count, rejected_connections) = (AtomicUsize::new(0), AtomicU64::new(0));
        Arc::new(Self {
            publisher: Mutex::new(Publisher::with_max_lease(max_lease)),
            broadcasts,
            lease,
            highest_version: Mutex::default(),
            loads: Mutex::default(),
            mailboxes: Mutex::default(),
            relay_wakers: Mutex::default(),
            next_connection: AtomicU64::new(0),
            start: Instant::now(),
            max_followers,
            follower_count,
            rejected_connections,
        })
    }

    fn publisher(&self) -> MutexGuard<'_, Publisher> {
        self.publisher.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a plan to all followers, if it is newer than the current one.
    pub fn publish(&self, plan: Plan) {
        // The lock is held while sending, so that a follower that connects at this moment misses no message
        // and gets none twice.
        let mut publisher = self.publisher();
        let message = publisher.publish(plan, self.start.elapsed());
        self.broadcast(message);
    }

    /// Sends announced drains to all followers, ahead of any plan.
    pub fn announce_drains(&self, drains: Vec<PlannerMessage>) {
        let mut publisher = self.publisher();
        let new_drains = publisher.add_drains(drains);
        self.broadcast(new_drains);
    }

    fn broadcast(&self, messages: impl IntoIterator<Item = PlannerMessage>) {
        for message in messages {
            let is_plan = matches!(message, PlannerMessage::Full(_) | PlannerMessage::Delta(_));
            // There may be no receivers.
            let _ =
                self.broadcasts.send(Arc::new(Broadcast { is_plan, frame: write_planner_message(&message) }));
        }
    }

    /// Version of the current plan.
    pub fn version(&self) -> Version {
        self.publisher().plan().version
    }

    /// The highest plan version that any follower had when it connected.
    pub fn highest_version(&self) -> Version {
        *self.highest_version.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of connected followers.
    pub fn follower_count(&self) -> usize {
        self.follower_count.load(Ordering::Relaxed)
    }

    /// Number of connections closed because of invalid messages.
    pub fn rejected_connections(&self) -> u64 {
        self.rejected_connections.load(Ordering::Relaxed)
    }

    /// Accepts followers; never returns.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, security: Security) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.follower_count() < self.max_followers => {
                    self.follower_count.fetch_add(1, Ordering::Relaxed);
                    let (this, security) = (self.clone(), security.clone());
                    tokio::spawn(async move {
                        let connection = this.next_connection.fetch_add(1, Ordering::Relaxed);
                        let _guard = ConnectionGuard(&this, connection);
                        let serving = async {
                            let stream = security.accept(stream, security::Role::Forwarder).await?;
                            this.serve_follower(connection, stream).await
                        };
                        if let Err(error) = serving.await
                            && error.kind() == io::ErrorKind::InvalidData
                        {
                            this.rejected_connections.fetch_add(1, Ordering::Relaxed);
                            eprintln!("planner: a follower is refused: {error}");
                        }
                    });
                }
                Ok(_) => {} // over the limit: the connection is closed
                Err(error) => {
                    eprintln!("planner: accept: {error}");
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
    }

    async fn serve_follower(&self, connection: u64, stream: Stream) -> io::Result<()> {
        let (mut reader, mut writer) = tokio::io::split(stream);
        let decode = |bytes: &[u8]| match read_forwarder_message(bytes) {
            Ok(message) => Ok(Some(message)),
            // Newer followers may send kinds of messages that this release does not know.
            Err(WireError::Unknown) => Ok(None),
            Err(error) => Err(io::Error::new(io::ErrorKind::InvalidData, error.to_string())),
        };
        let first = decode(&frame::read(&mut reader, MAX_FORWARDER_MESSAGE_BYTES, HELLO_TIMEOUT).await?)?;
        let Some(ForwarderMessage::Hello { plan_version, name, slice_size }) = first else {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "expected a hello as the first message"));
        };
        if let Some(version) = plan_version {
            let mut highest = self.highest_version.lock().unwrap_or_else(PoisonError::into_inner);
            *highest = version.max(*highest);
        }
        let slice = slice_size.map(|size| Slice::new(&name, usize::try_from(size).unwrap_or(usize::MAX)));
        let (mut broadcasts, (mut sent, messages)) = {
            let publisher = self.publisher();
            (self.broadcasts.subscribe(), publisher.start_follower(slice, plan_version, self.start.elapsed()))
        };
        for message in messages {
            frame::write(&mut writer, &write_planner_message(&message)).await?;
        }
        let relay_waker = Arc::new(Notify::new());
        self.relay_wakers().insert(connection, relay_waker.clone());
        // Frames are read in a separate future, because a partially read frame must not be lost when another
        // branch is ready first.
        let (requests, mut received) = mpsc::channel(REQUEST_QUEUE_CAPACITY);
        let reading = async move {
            loop {
                let request = match frame::read(&mut reader, MAX_FORWARDER_MESSAGE_BYTES, IDLE_TIMEOUT).await
                {
                    Ok(bytes) => decode(&bytes),
                    Err(error) => Err(error),
                };
                let is_last = request.is_err();
                if requests.send(request).await.is_err() || is_last {
                    return Ok::<(), io::Error>(());
                }
            }
        };
        let writing = async {
            loop {
                let frame = tokio::select! {
                    // Broadcasts are sent before a heartbeat reply, which grants a lease for all that is
                    // known.
                    biased;
                    broadcast = broadcasts.recv() => match broadcast {
                        Ok(broadcast) if broadcast.is_plan && !sent.is_whole() => {
                            let update = self.publisher().update_for(&mut sent, self.start.elapsed());
                            match update {
                                Some(message) => OutgoingFrame::Own(write_planner_message(&message)),
                                None => continue,
                            }
                        }
                        Ok(broadcast) => OutgoingFrame::Shared(broadcast),
                        Err(broadcast::error::RecvError::Lagged(_)) => {
                            self.send_full_update(&mut sent, &mut writer).await?;
                            continue;
                        }
                        Err(broadcast::error::RecvError::Closed) => return Ok(()),
                    },
                    request = received.recv() => match request {
                        Some(Ok(Some(ForwarderMessage::Heartbeat { number }))) => {
                            let lease = u64::try_from((self.lease)().as_millis()).unwrap_or(u64::MAX);
                            let reply = {
                                let publisher = self.publisher();
                                // With messages still queued no lease is granted; the follower asks again.
                                publisher.heartbeat_reply(number, if broadcasts.is_empty() { lease } else { 0 })
                            };
                            OutgoingFrame::Own(write_planner_message(&reply))
                        }
                        Some(Ok(Some(ForwarderMessage::Resend))) => {
                            self.send_full_update(&mut sent, &mut writer).await?;
                            continue;
                        }
                        Some(Ok(None)) => continue,
                        Some(Ok(Some(ForwarderMessage::Digest(digest)))) => {
                            match self.record_digest(connection, &sent, digest) {
                                Some(budgets) => OutgoingFrame::Own(write_planner_message(&budgets)),
                                None => continue,
                            }
                        }
                        Some(Ok(Some(ForwarderMessage::Relay { sender, messages }))) => {
                            self.queue_relayed(connection, sender, messages);
                            continue;
                        }
                        Some(Ok(Some(ForwarderMessage::Hello { .. }))) => {
                            return Err(io::Error::new(io::ErrorKind::InvalidData, "expected one hello, found two"));
                        }
                        Some(Err(error)) => return Err(error),
                        None => return Ok(()),
                    },
                    // Relayed messages come last and delay a heartbeat reply by at most one message.
                    () = relay_waker.notified() => match self.next_relayed(connection, &relay_waker) {
                        Some(message) => OutgoingFrame::Own(write_planner_message(&message)),
                        None => continue,
                    },
                };
                frame::write(&mut writer, frame.bytes()).await?;
            }
        };
        // Once either future has ended, the other is not polled again and the connection closes.
        tokio::pin!(reading, writing);
        let mut reading_ended = false;
        loop {
            tokio::select! {
                result = &mut writing => return result,
                // Messages already read are still answered.
                _ = &mut reading, if !reading_ended => reading_ended = true,
            }
        }
    }

    fn mailboxes(&self) -> MutexGuard<'_, RelayMailboxes> {
        self.mailboxes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn relay_wakers(&self) -> MutexGuard<'_, HashMap<u64, Arc<Notify>>> {
        self.relay_wakers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts of relayed messages.
    pub fn relay_counts(&self) -> RelayCounts {
        self.mailboxes().counts
    }

    /// Queues relayed messages and wakes the connections of their recipients.
    fn queue_relayed(&self, connection: u64, sender: u64, messages: Vec<RelayedMessage>) {
        let recipients = self.mailboxes().accept(connection, sender, messages, self.start.elapsed());
        let relay_wakers = self.relay_wakers();
        recipients.iter().filter_map(|to| relay_wakers.get(to)).for_each(|waker| waker.notify_one());
    }

    /// The next batch of relayed messages for a connection. Notifies `more` so that the rest follows.
    fn next_relayed(&self, connection: u64, more: &Notify) -> Option<PlannerMessage> {
        let messages = self.mailboxes().take_waiting(connection);
        if messages.is_empty() {
            return None;
        }
        more.notify_one();
        Some(PlannerMessage::Relayed(messages))
    }

    fn loads(&self) -> MutexGuard<'_, Loads> {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The rate that all forwarders serve, in requests per second, according to their digests.
    pub fn total_rate(&self) -> f64 {
        self.loads().total_rate(self.start.elapsed())
    }

    /// Records a digest, and returns the budgets of cold nodes for the forwarder, if there are any.
    fn record_digest(&self, connection: u64, sent: &SentPlan, digest: Digest) -> Option<PlannerMessage> {
        let now = self.start.elapsed();
        let publisher = self.publisher();
        let mut loads = self.loads();
        loads.record_digest(connection, digest, now);
        let cold: Vec<&crate::Node> =
            publisher.cold_nodes(MAX_BUDGETED_AGE, now).take(MAX_DIGEST_NODES).collect();
        if cold.is_empty() {
            return None;
        }
        let serving = publisher.plan().nodes.iter().filter(|n| !n.draining).map(|n| n.weight).sum::<f64>();
        let warm = serving - cold.iter().map(|n| n.weight).sum::<f64>();
        let used = cold.iter().filter(|n| sent.contains(&n.id));
        let budgets: Vec<_> =
            used.map(|n| (n.id.clone(), loads.usual_rate(connection, n, warm, now))).collect();
        (!budgets.is_empty()).then_some(PlannerMessage::Budgets(budgets))
    }

    /// Sends the complete current state.
    async fn send_full_update(
        &self,
        sent: &mut SentPlan,
        writer: &mut (impl AsyncWrite + Unpin),
    ) -> io::Result<()> {
        let messages = self.publisher().full_update(sent, self.start.elapsed());
        for message in messages {
            frame::write(writer, &write_planner_message(&message)).await?;
        }
        Ok(())
    }
}
