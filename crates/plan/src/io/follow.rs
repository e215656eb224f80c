//! The forwarder's side: keeps a connection to each planner and feeds a [`Follower`].

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

/// Time limit for connecting to a planner.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The shortest wait between two connection attempts; doubled after each failure.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// The longest wait between two connection attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// A connection is closed after this many heartbeat intervals without a message from the planner.
const MAX_SILENT_HEARTBEATS: u32 = 20;
/// Capacity of the queues of events, and of messages to one planner.
const QUEUE_CAPACITY: usize = 16;

/// How a forwarder follows its planners.
#[derive(Clone, Debug)]
pub struct FollowSettings {
    /// Addresses of the planners.
    pub planners: Vec<SocketAddr>,
    /// Name of the forwarder.
    pub name: String,
    /// Interval of heartbeats to each planner.
    pub heartbeat_interval: Duration,
    /// Start of the follower's clock.
    pub start: Instant,
    /// How the connections are secured.
    pub security: Security,
}

/// What an event of the follower has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowEvent {
    /// Only the lease, if anything.
    LeaseChanged,
    /// The nodes to use.
    NodesChanged,
    /// The budgets of cold nodes.
    BudgetsChanged,
}

/// Connects a forwarder to the relay of the planners. Messages that exceed the capacity of a queue are lost,
/// as datagrams are.
#[derive(Debug)]
pub struct RelayChannel {
    /// The number by which other forwarders know this one.
    pub sender: u64,
    /// Rounds of messages to send.
    pub outgoing: mpsc::Receiver<Vec<RelayedMessage>>,
    /// Messages received from other forwarders.
    pub incoming: mpsc::Sender<Vec<u8>>,
}

/// The next round of messages to relay; pending forever without a relay channel.
async fn next_round(relay: &mut Option<RelayChannel>) -> Vec<RelayedMessage> {
    let next = match relay {
        Some(relay) => relay.outgoing.recv().await,
        None => None,
    };
    match next {
        Some(messages) => messages,
        None => std::future::pending().await,
    }
}

/// Sends a round of messages to the planner whose turn it is, or to the next one whose queue has space.
fn send_round(
    sender: u64,
    messages: &[RelayedMessage],
    rotation: &mut PlannerRotation,
    writers: &[Option<mpsc::Sender<ForwarderMessage>>],
) {
    let order: Vec<usize> = rotation.next_order(writers.len()).collect();
    for batch in messages.chunks(MAX_MESSAGES_PER_RELAY) {
        let mut open = order.iter().filter_map(|planner| writers[*planner].as_ref());
        let _ = open.any(|writer| {
            writer.try_send(ForwarderMessage::Relay { sender, messages: batch.to_vec() }).is_ok()
        });
    }
}

/// Follows all planners until the future is dropped. `on_event` is called after each event with what has
/// changed. Each digest goes to all planners, each round of relayed messages to one. Runs on one thread.
pub async fn follow(
    settings: FollowSettings,
    follower: Rc<RefCell<Follower>>,
    mut digests: watch::Receiver<Digest>,
    mut relay: Option<RelayChannel>,
    on_event: impl Fn(&Follower, FollowEvent),
) {
    let mut rotation = PlannerRotation::default();
    let (event_sender, mut events) = mpsc::channel::<(usize, ConnectionEvent)>(QUEUE_CAPACITY);
    let mut tasks = tokio::task::JoinSet::new();
    let mut writers: Vec<Option<mpsc::Sender<ForwarderMessage>>> = vec![None; settings.planners.len()];
    for (planner, address) in settings.planners.iter().enumerate() {
        tasks.spawn(stay_connected(planner, *address, settings.clone(), event_sender.clone()));
    }
    let mut ticks = tokio::time::interval(settings.heartbeat_interval);
    // After a pause only one round of heartbeats is sent, and the next one follows after a full interval.
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let (planner, event) = tokio::select! {
            // Received messages are processed before the next round, so that a waiting reply counts as
            // answered.
            biased;
            event = events.recv() => match event {
                Some(event) => event,
                None => return,
            },
            Ok(()) = digests.changed() => {
                let digest = ForwarderMessage::Digest(digests.borrow_and_update().clone());
                for writer in writers.iter().flatten() {
                    let _ = writer.try_send(digest.clone()); // the next digest replaces it
                }
                continue;
            }
            messages = next_round(&mut relay) => {
                let sender = relay.as_ref().map_or(0, |relay| relay.sender);
                send_round(sender, &messages, &mut rotation, &writers);
                continue;
            }
            _ = ticks.tick() => {
                let mut follower = follower.borrow_mut();
                follower.begin_round();
                for (planner, writer) in writers.iter().enumerate() {
                    let heartbeat = follower.next_heartbeat(planner, settings.start.elapsed());
                    // A planner whose queue is full gets no heartbeat, and its lease ends.
                    writer.iter().for_each(|w| drop(w.try_send(heartbeat.clone())));
                }
                on_event(&follower, FollowEvent::LeaseChanged);
                continue;
            }
        };
        let mut follower = follower.borrow_mut();
        let mut changed = FollowEvent::LeaseChanged;
        match event {
            ConnectionEvent::Connected(writer) => {
                let plan_version = follower.version();
                let slice_size = follower.slice().and_then(|slice| u32::try_from(slice.size()).ok());
                let _ = writer.try_send(ForwarderMessage::Hello {
                    name: settings.name.clone(),
                    plan_version,
                    slice_size,
                });
                writers[planner] = Some(writer);
            }
            ConnectionEvent::Unreadable => follower.record_unreadable(),
            ConnectionEvent::Disconnected => {
                writers[planner] = None;
                follower.remove_connection(planner);
            }
            ConnectionEvent::Received(PlannerMessage::Relayed(messages)) => {
                if let Some(relay) = &relay {
                    messages.into_iter().for_each(|message| drop(relay.incoming.try_send(message)));
                }
                continue;
            }
            ConnectionEvent::Received(message) => match follower.receive(planner, message) {
                MessageEffect::NodesChanged => {
                    changed = FollowEvent::NodesChanged;
                    // The planner that sent the plan can grant a lease for it at once.
                    let heartbeat = follower.next_heartbeat(planner, settings.start.elapsed());
                    writers[planner].iter().for_each(|w| drop(w.try_send(heartbeat.clone())));
                }
                MessageEffect::Request(request) => {
                    writers[planner].iter().for_each(|w| drop(w.try_send(request.clone())));
                }
                MessageEffect::BudgetsChanged => changed = FollowEvent::BudgetsChanged,
                MessageEffect::Accepted | MessageEffect::Rejected(_) => {}
            },
        }
        on_event(&follower, changed);
    }
}

enum ConnectionEvent {
    Connected(mpsc::Sender<ForwarderMessage>),
    /// The planner sent a message that cannot be decoded; `Disconnected` follows.
    Unreadable,
    Disconnected,
    Received(PlannerMessage),
}

/// Keeps a connection to one planner and forwards its events.
async fn stay_connected(
    planner: usize,
    address: SocketAddr,
    settings: FollowSettings,
    events: mpsc::Sender<(usize, ConnectionEvent)>,
) {
    let mut backoff = MIN_BACKOFF;
    loop {
        let attempt_start = Instant::now();
        if let Err(error) = run_connection(planner, address, &settings, &events).await
            && error.kind() == io::ErrorKind::InvalidData
        {
            eprintln!("forwarder: planner {address}: {error}");
            if events.send((planner, ConnectionEvent::Unreadable)).await.is_err() {
                return;
            }
        }
        if events.send((planner, ConnectionEvent::Disconnected)).await.is_err() {
            return;
        }
        // A connection that lasted for a while starts again at the shortest wait.
        backoff =
            if attempt_start.elapsed() > MAX_BACKOFF { MIN_BACKOFF } else { (2 * backoff).min(MAX_BACKOFF) };
        tokio::time::sleep(backoff).await;
    }
}

async fn run_connection(
    planner: usize,
    address: SocketAddr,
    settings: &FollowSettings,
    events: &mpsc::Sender<(usize, ConnectionEvent)>,
) -> io::Result<()> {
    let closed = |_| io::Error::from(io::ErrorKind::BrokenPipe);
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    let stream = settings.security.connect(stream, Role::Planner).await?;
    let (mut reader, mut writer) = tokio::io::split(stream);
    let (requests, mut queue) = mpsc::channel(QUEUE_CAPACITY);
    events.send((planner, ConnectionEvent::Connected(requests))).await.map_err(closed)?;
    let reading = async {
        loop {
            let bytes = frame::read(
                &mut reader,
                MAX_PLANNER_MESSAGE_BYTES,
                MAX_SILENT_HEARTBEATS * settings.heartbeat_interval,
            )
            .await?;
            match read_planner_message(&bytes) {
                Ok(message) => {
                    events.send((planner, ConnectionEvent::Received(message))).await.map_err(closed)?
                }
                // Newer planners may send kinds of messages that this release does not know.
                Err(WireError::Unknown) => {}
                Err(error) => return Err(io::Error::new(io::ErrorKind::InvalidData, error.to_string())),
            }
        }
    };
    let writing = async {
        while let Some(request) = queue.recv().await {
            frame::write(&mut writer, &write_forwarder_message(&request)).await?;
        }
        Ok(())
    };
    tokio::select! {
        result = reading => result,
        result = writing => result,
    }
}
