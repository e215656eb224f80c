//! Tracks client connections: their states, which are overdue, and which are closed to make room.

use crate::head_scanner::HeadScanner;
use crate::upload::ClientInput;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time within which the head of a request must arrive, counted from its first byte, or from the connect for
/// the first request. Protects against clients that send nothing or send endlessly slowly.
pub const HEAD_READ_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time without progress in either direction after which a streamed body is cut off.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Time after which a connection without an open request is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);
/// Idle time from which a connection may be closed to make room.
const EVICT_IDLE_AFTER: Duration = Duration::from_secs(2);
/// Age from which a connection that has never sent a request may be closed to make room, if no idle
/// connection can be closed.
const EVICT_WITHOUT_REQUEST_AFTER: Duration = Duration::from_millis(100);
/// Idle time between two requests from which a connection may be closed to make room, if no other connection
/// can be closed. Its client can reconnect, while a new client already has a request to send.
const EVICT_BETWEEN_REQUESTS_AFTER: Duration = Duration::from_millis(100);
/// One part in this many of the capacity is for connections that only get a rejection because all others are
/// busy.
const OVERFLOW_DIVISOR: usize = 8;
/// Interval at which overdue connections are closed.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// The state of one client connection.
pub struct ClientConnection {
    /// A whole request has arrived and is not yet answered.
    request_open: Cell<bool>,
    /// The client has sent at least one request.
    has_sent_request: Cell<bool>,
    /// When the last open request ended, at first the start of the connection.
    idle_since: Cell<Instant>,
    /// When the request that is being read started.
    read_started: Cell<Option<Instant>>,
    /// Any byte has been received.
    has_received: Cell<bool>,
    /// Bytes were received while a request was open.
    received_early: Cell<bool>,
    /// Scans the head of the request that is being read.
    head_scanner: Cell<HeadScanner>,
    /// The head has arrived, and the body has not.
    reading_body: Cell<bool>,
    /// The body of a request, while it is read.
    input: Rc<ClientInput>,
    /// A request or response body is being streamed.
    streaming: Cell<bool>,
    /// The streamed body is that of a response.
    response_started: Cell<bool>,
    /// When bytes were last received or sent, or streaming started or stopped.
    last_activity: Cell<Instant>,
    /// The stream stalled, and the connection is closed although a request is open.
    cut_off: Cell<bool>,
    /// The connection is being closed, because it is overdue or to make room.
    closing: Cell<bool>,
    /// The connection is being closed to make room, so that its descriptor is needed at once.
    evicted: Cell<bool>,
    close_requested: Notify,
}

impl ClientConnection {
    /// Records that the head of a request has arrived and its body is being read.
    pub fn start_body(&self) {
        self.reading_body.set(true);
    }

    /// Returns whether the head that was read has a Content-Length header, or `None` if that is unknown.
    pub fn has_content_length(&self) -> Option<bool> {
        self.head_scanner.get().has_content_length()
    }

    /// Returns what is known of the body of the request that is read.
    pub fn input(&self) -> &Rc<ClientInput> {
        &self.input
    }

    /// Returns whether the body of a request is streamed and incomplete.
    pub fn is_uploading(&self) -> bool {
        self.request_open.get() && !self.response_started.get() && self.input.is_receiving()
    }

    /// Records that a streamed response has started.
    pub fn start_response(&self) {
        self.response_started.set(true);
        self.set_streaming(true);
    }

    /// Records that a body starts or stops being streamed.
    pub fn set_streaming(&self, streaming: bool) {
        self.last_activity.set(Instant::now());
        self.streaming.set(streaming);
    }

    /// Records that a request has arrived, either whole or with a body that is streamed.
    pub fn mark_request_received(&self) {
        self.reading_body.set(false);
        self.request_open.set(true);
        self.has_sent_request.set(true);
        self.read_started.set(None);
    }

    /// Records that the current request has been answered.
    pub fn mark_request_answered(&self) {
        let now = Instant::now();
        self.request_open.set(false);
        self.reading_body.set(false);
        self.streaming.set(false);
        self.response_started.set(false);
        self.input.end_body(now);
        self.idle_since.set(now);
        let mut head_scanner = HeadScanner::default();
        if self.received_early.get() {
            head_scanner.mark_skipped();
        }
        self.head_scanner.set(head_scanner);
        self.read_started.set(self.received_early.take().then_some(now));
    }

    /// Waits until the connection is to be closed. A request that has started to arrive in the meantime is
    /// served first.
    pub async fn wait_for_close(&self) {
        loop {
            self.close_requested.notified().await;
            if self.cut_off.get() || self.is_overdue() || !self.is_reading() && !self.request_open.get() {
                return;
            }
            self.closing.set(false);
            self.evicted.set(false);
        }
    }

    /// Returns whether a request has started to arrive but isn't complete.
    pub fn is_reading(&self) -> bool {
        self.reading_body.get() || self.read_started_at().is_some()
    }

    /// Returns whether a request is complete and its answer has not started, so that further input isn't part of it.
    pub fn is_awaiting_answer(&self) -> bool {
        self.request_open.get() && !self.response_started.get() && !self.input.is_receiving()
    }

    /// Records that bytes were written to the client.
    pub fn record_write(&self) {
        self.last_activity.set(Instant::now());
    }

    /// Records bytes received from the client.
    pub fn record_read(&self, bytes: &[u8]) {
        let now = Instant::now();
        self.has_received.set(true);
        self.last_activity.set(now);
        self.input.record_bytes(now, bytes);
        if !self.request_open.get() && !self.reading_body.get() {
            let mut head_scanner = self.head_scanner.get();
            head_scanner.feed(bytes);
            self.head_scanner.set(head_scanner);
        }
        if self.streaming.get() && self.request_open.get() {
            // All bytes count as part of the body, because the start of the next head is unknown.
        } else if self.request_open.get() || self.reading_body.get() {
            self.received_early.set(self.request_open.get());
        } else if self.read_started.get().is_none() {
            self.read_started.set(Some(Instant::now()));
        }
    }

    /// Returns when the request that is being read started, or `None` if nothing has been received.
    fn read_started_at(&self) -> Option<Instant> {
        self.read_started.get().filter(|_| self.has_received.get())
    }

    fn is_overdue(&self) -> bool {
        // A body that doesn't arrive in time is handled where it is read.
        let unread = self
            .read_started
            .get()
            .is_some_and(|read_started| read_started.elapsed() > HEAD_READ_TIMEOUT + SWEEP_INTERVAL);
        !self.request_open.get()
            && !self.reading_body.get()
            && (unread || self.idle_since.get().elapsed() > KEEP_ALIVE_TIMEOUT)
    }

    /// Returns whether a streamed body has made no progress for too long.
    fn is_stalled(&self) -> bool {
        self.streaming.get() && self.last_activity.get().elapsed() > STREAM_STALL_TIMEOUT
    }

    fn request_close(&self) {
        self.closing.set(true);
        self.close_requested.notify_one();
    }

    fn evict(&self) {
        self.evicted.set(true);
        self.request_close();
    }

    /// Returns whether the connection is being closed to make room.
    pub fn is_evicted(&self) -> bool {
        self.evicted.get()
    }
}

/// All client connections.
pub struct ClientConnections {
    connections: RefCell<Vec<Rc<ClientConnection>>>,
    max_connections: Cell<usize>,
    overflow: Cell<usize>,
    connection_closed: Notify,
}

/// The registration of a connection, removed when dropped.
pub struct ConnectionGuard {
    registry: Rc<ClientConnections>,
    client: Rc<ClientConnection>,
}

impl ConnectionGuard {
    /// Returns the connection.
    pub fn client(&self) -> &Rc<ClientConnection> {
        &self.client
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.registry.connections.borrow_mut().retain(|c| !Rc::ptr_eq(c, &self.client));
        self.registry.connection_closed.notify_one();
    }
}

impl ClientConnections {
    /// Creates a registry for up to `capacity` connections.
    pub fn new(capacity: usize) -> Rc<Self> {
        let connections = Self {
            connections: RefCell::default(),
            max_connections: Cell::default(),
            overflow: Cell::default(),
            connection_closed: Notify::new(),
        };
        connections.set_capacity(capacity);
        Rc::new(connections)
    }

    /// Changes the capacity. If there are more connections, those without a request are closed at the next
    /// sweeps, the longest idle first.
    pub fn set_capacity(&self, capacity: usize) {
        let overflow = capacity / OVERFLOW_DIVISOR;
        self.max_connections.set(capacity - overflow);
        self.overflow.set(overflow);
    }

    /// Returns whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.connections.borrow().is_empty()
    }

    /// Returns whether any connection has a partly received request.
    pub fn is_any_reading(&self) -> bool {
        self.connections.borrow().iter().any(|client| client.is_reading())
    }

    /// Returns whether a new connection exceeds the capacity. Connections that are being closed don't count,
    /// because they end as soon as their tasks run.
    pub fn is_full(&self) -> bool {
        let all = self.connections.borrow();
        all.iter().filter(|c| !c.closing.get()).count() > self.max_connections.get()
    }

    /// Returns whether there is no room left even for connections that are rejected.
    pub fn is_overflow_full(&self) -> bool {
        self.connections.borrow().len() >= self.max_connections.get() + self.overflow.get()
    }

    /// Registers a new connection.
    pub fn add(self: &Rc<Self>) -> ConnectionGuard {
        let now = Instant::now();
        let client = Rc::new(ClientConnection {
            request_open: Cell::new(false),
            has_sent_request: Cell::new(false),
            idle_since: Cell::new(now),
            read_started: Cell::new(Some(now)),
            has_received: Cell::new(false),
            head_scanner: Cell::default(),
            reading_body: Cell::new(false),
            input: ClientInput::new(now),
            streaming: Cell::new(false),
            response_started: Cell::new(false),
            last_activity: Cell::new(now),
            cut_off: Cell::new(false),
            received_early: Cell::new(false),
            closing: Cell::new(false),
            evicted: Cell::new(false),
            close_requested: Notify::new(),
        });
        self.connections.borrow_mut().push(client.clone());
        ConnectionGuard { registry: self.clone(), client }
    }

    /// Waits until a connection ends, for at most `timeout`.
    pub async fn wait_for_close(&self, timeout: Duration) {
        let _ = tokio::time::timeout(timeout, self.connection_closed.notified()).await;
    }

    /// Makes room for one connection by closing the one that has been without a request longest, so that idle
    /// clients can't keep others out. Returns whether there is room or will be at once.
    pub fn make_room(&self) -> bool {
        let all = self.connections.borrow();
        let closing = all.iter().filter(|c| c.closing.get()).count();
        if all.len() < self.max_connections.get() + closing {
            return true;
        }
        let longest = |is_evictable: &dyn Fn(&ClientConnection) -> bool| {
            let candidates = all.iter().filter(|c| {
                !c.request_open.get() && !c.reading_body.get() && !c.closing.get() && is_evictable(c)
            });
            candidates.min_by_key(|c| c.idle_since.get()).cloned()
        };
        let idle = longest(&|c| c.idle_since.get().elapsed() >= EVICT_IDLE_AFTER);
        let without_request = || {
            longest(&|c| {
                !c.has_sent_request.get() && c.idle_since.get().elapsed() >= EVICT_WITHOUT_REQUEST_AFTER
            })
        };
        let is_between_requests =
            |c: &ClientConnection| c.has_sent_request.get() && c.read_started.get().is_none();
        let between_requests = || {
            longest(&|c| {
                is_between_requests(c) && c.idle_since.get().elapsed() >= EVICT_BETWEEN_REQUESTS_AFTER
            })
        };
        idle.or_else(without_request).or_else(between_requests).inspect(|c| c.evict()).is_some()
    }

    /// Closes overdue connections and, if `max_idle_time` is given, those that have been idle between two
    /// requests for that long.
    pub fn close_overdue(&self, max_idle_time: Option<Duration>) {
        let all = self.connections.borrow();
        let is_idle_too_long = |c: &ClientConnection| {
            !c.request_open.get()
                && !c.reading_body.get()
                && c.read_started_at().is_none()
                && max_idle_time.is_some_and(|max_idle_time| c.idle_since.get().elapsed() >= max_idle_time)
        };
        all.iter()
            .filter(|c| !c.closing.get() && (c.is_overdue() || is_idle_too_long(c)))
            .for_each(|c| c.request_close());
        for client in all.iter().filter(|c| !c.cut_off.get() && c.is_stalled()) {
            client.cut_off.set(true);
            client.request_close();
        }
        let mut idle: Vec<_> = all
            .iter()
            .filter(|c| !c.closing.get() && !c.request_open.get() && !c.reading_body.get())
            .collect();
        let remaining = all.iter().filter(|c| !c.closing.get()).count();
        idle.sort_by_key(|c| c.idle_since.get());
        let excess = remaining.saturating_sub(self.max_connections.get() + self.overflow.get());
        idle.into_iter().take(excess).for_each(|c| c.evict());
    }
}
