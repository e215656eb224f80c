//! Connects to a backend that go on after the attempt has stopped waiting.
//!
//! A connection that comes up late is a good connection: it is kept for the next request. Nothing is sent on it for the
//! request that it was opened for.

use crate::backend::Endpoint;
use crate::connection::{Connection, connect};
use crate::limits::Permit;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// Time after which a connect is given up, whether or not an attempt waits for it.
const LATE_CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest number of connects to a backend that no attempt waits for.
const MAX_LATE_CONNECTS: usize = 4;

/// A connection that has come up.
pub struct NewConnection {
    pub connection: Connection,
    pub permit: Permit,
    /// The generation of the endpoint when the connect began.
    pub generation: u64,
}

/// The number of connects to a backend that no attempt waits for.
#[derive(Clone, Default)]
pub struct LateConnects(Rc<Cell<usize>>);

/// Counts a connect as late while it exists.
struct LateConnect(LateConnects);

impl LateConnects {
    /// Counts a connect, unless there are too many.
    fn begin(&self) -> Option<LateConnect> {
        let count = self.0.get();
        (count < MAX_LATE_CONNECTS).then(|| {
            self.0.set(count + 1);
            LateConnect(self.clone())
        })
    }
}

impl Drop for LateConnect {
    fn drop(&mut self) {
        self.0.0.set(self.0.0.get().saturating_sub(1));
    }
}

/// The side of the attempt. Dropping it leaves the connect to itself, or ends it if there are too many such connects.
struct WaitingAttempt {
    task: AbortHandle,
    late_connects: LateConnects,
    /// Set while the connect goes on without the attempt.
    late: Rc<Cell<Option<LateConnect>>>,
}

impl Drop for WaitingAttempt {
    fn drop(&mut self) {
        if self.task.is_finished() {
            return;
        }
        match self.late_connects.begin() {
            Some(late) => self.late.set(Some(late)),
            None => self.task.abort(),
        }
    }
}

/// Connects to a backend and waits for `timeout`. A connection that comes up later is kept by the endpoint.
pub async fn connect_within(
    endpoint: &Rc<Endpoint>,
    late_connects: &LateConnects,
    address: SocketAddr,
    generation: u64,
    permit: Permit,
    timeout: Duration,
) -> Option<NewConnection> {
    let (sender, receiver) = oneshot::channel();
    let late: Rc<Cell<Option<LateConnect>>> = Rc::default();
    let (endpoint, task_late) = (Rc::downgrade(endpoint), late.clone());
    let connecting = async move {
        let connection = connect(address, LATE_CONNECT_TIMEOUT.max(timeout)).await;
        if let Ok(connection) = connection
            && let Err(unclaimed) = sender.send(NewConnection { connection, permit, generation })
        {
            keep(&endpoint, unclaimed);
        }
        task_late.take();
    };
    let task = tokio::task::spawn_local(connecting).abort_handle();
    let waiting = WaitingAttempt { task, late_connects: late_connects.clone(), late };
    let connected = tokio::time::timeout(timeout, receiver).await.ok().and_then(Result::ok);
    drop(waiting);
    connected
}

fn keep(endpoint: &Weak<Endpoint>, unclaimed: NewConnection) {
    if let Some(endpoint) = endpoint.upgrade() {
        endpoint.keep_late_connection(unclaimed);
    }
}
