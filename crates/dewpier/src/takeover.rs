//! Takes over the listening socket of an older process when the platform's proxy starts, and hands it over to the
//! next one.

use dewpier_handover::io::{self as handover, HandoverReply};
use dewpier_handover::sender::Action;
use dewpier_handover::shared_ids::{CLAIM_LIFETIME, SharedRequestIds};
use dewpier_http::server::{self, Server};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// How long binding an address in use is retried, as an older process may be about to exit. A new process must be
/// ready within 6 seconds.
const BIND_RETRY_DURATION: Duration = Duration::from_secs(5);
/// Pause between two tries to bind.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// How long a predecessor without a connection is assumed to run: its exit cannot be observed, but the platform ends
/// its stop by then.
const ASSUMED_LIFETIME: Duration = Duration::from_secs(12);

/// The path of the handover socket for an address; none if `TMPDIR` is not set.
pub fn handover_path(address: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    Some(handover::socket_path(Path::new(&folder), address))
}

/// Shares the IDs of requests with the other processes that serve the address, for as long as there are any and their
/// requests may still run. Without a usable folder each process knows its own only.
#[derive(Clone)]
pub struct RequestIdSharing {
    folder: Option<PathBuf>,
    server: Rc<Server>,
    /// Increased with each change, so that an older one does not end what a newer one has begun.
    changes: Rc<Cell<u64>>,
}

impl RequestIdSharing {
    /// Creates the sharing of a process whose handover socket is at `handover_path`.
    pub fn new(handover_path: Option<&Path>, server: Rc<Server>) -> Self {
        let folder = handover_path.map(|path| path.with_extension("ids"));
        Self { folder, server, changes: Rc::default() }
    }

    /// Begins to share: another process has started.
    pub fn begin(&self) {
        self.changes.set(self.changes.get() + 1);
        let Some(folder) = self.folder.clone() else { return };
        match SharedRequestIds::open(folder) {
            Ok(mut claims) => self.server.share_request_ids(Some(Box::new(move |id| {
                claims.claim(id).unwrap_or_else(|error| {
                    tracing::warn!(%error, "claiming the ID of a request from the other process failed");
                    true
                })
            }))),
            Err(error) => tracing::warn!(%error, "request IDs are not shared with the other process"),
        }
    }

    /// Ends sharing once no request of a process that has exited can run any more.
    pub fn end_later(&self) {
        let change = self.changes.get() + 1;
        self.changes.set(change);
        let sharing = self.clone();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(CLAIM_LIFETIME).await;
            if sharing.changes.get() == change && !sharing.server.is_sharing() {
                sharing.server.share_request_ids(None);
                let claims = sharing.folder.map(SharedRequestIds::open);
                claims.into_iter().flatten().for_each(SharedRequestIds::remove_all);
            }
        });
    }
}

/// The older process that serves the same address.
pub enum Predecessor {
    /// No older process was found.
    None,
    /// It handed its listening socket over.
    HandedOver(handover::PredecessorConnection),
    /// It runs and did not hand its socket over.
    NoHandover,
    /// It runs and is handing its socket over to another process.
    Busy,
}

impl Predecessor {
    /// Whether an older process runs, with which the resource limits are shared.
    pub fn is_running(&self) -> bool {
        !matches!(self, Self::None)
    }

    /// Whether newer processes must ask this process for its socket instead of the older one.
    pub fn yields_handover_socket(&self) -> bool {
        !matches!(self, Self::Busy)
    }

    /// Tells the older process that this process accepts connections.
    pub async fn announce_accepting(&mut self) {
        if let Self::HandedOver(connection) = self
            && let Err(error) = connection.announce_accepting().await
        {
            tracing::warn!(%error, "announcing the takeover to the older process failed");
        }
    }

    /// Whether both processes share one accept queue, so that the older one can accept connections while this one has
    /// no backend list. With a queue of its own, this process must accept them itself.
    pub fn shares_accept_queue(&self) -> bool {
        matches!(self, Self::HandedOver(_))
    }

    /// Waits until the older process has exited, or is assumed to have.
    pub async fn wait_for_exit(&mut self) {
        match self {
            Self::None => {}
            Self::HandedOver(connection) => connection.wait_for_exit().await,
            Self::NoHandover | Self::Busy => tokio::time::sleep(ASSUMED_LIFETIME).await,
        }
    }
}

/// Takes over the listening socket of the older process, or binds one next to it. Fails if the address stays in use.
pub async fn take_over_listener(
    address: SocketAddr,
    handover_path: Option<&Path>,
) -> io::Result<(TcpListener, Predecessor)> {
    let reply = match handover_path {
        Some(path) => handover::request_listener(path).await,
        None => HandoverReply::NoPredecessor,
    };
    let predecessor = match reply {
        HandoverReply::ListenerReceived(listener, connection) if listener.local_addr()? == address => {
            return Ok((TcpListener::from_std(listener)?, Predecessor::HandedOver(connection)));
        }
        HandoverReply::ListenerReceived(..) | HandoverReply::NoPredecessor => Predecessor::None,
        HandoverReply::Busy => {
            tracing::warn!(
                "the older process is handing its socket over to another one, binding a new socket"
            );
            Predecessor::Busy
        }
        HandoverReply::Refused(reason) => {
            tracing::warn!(reason, "the older process did not hand its socket over, binding a new socket");
            Predecessor::NoHandover
        }
    };
    let started = tokio::time::Instant::now();
    loop {
        match server::bind_shared(address) {
            Err(error)
                if error.kind() == io::ErrorKind::AddrInUse && started.elapsed() < BIND_RETRY_DURATION =>
            {
                tokio::time::sleep(BIND_RETRY_INTERVAL).await;
            }
            result => return Ok((result?, predecessor)),
        }
    }
}

/// Hands the listening socket over to newer processes. If that is impossible, logs it once; newer processes then bind
/// sockets of their own.
pub async fn serve_handovers(
    handover_path: Option<&Path>,
    listener: Weak<TcpListener>,
    server: Rc<Server>,
    sharing: RequestIdSharing,
) {
    let Some(path) = handover_path else { return };
    let successor_exited = Rc::new(Notify::new());
    loop {
        let handover_socket = match handover::listen(path) {
            Ok(socket) => socket,
            Err(error) => {
                return tracing::warn!(path = %path.display(), %error, "listening for handovers failed");
            }
        };
        // A successor replaces the handover socket, so it is bound again once the successor has exited.
        tokio::select! {
            () = handover::serve_handovers(
                handover_socket,
                listener.clone(),
                action_handler(server.clone(), sharing.clone(), successor_exited.clone()),
            ) => {}
            () = successor_exited.notified() => {}
        }
    }
}

/// Performs the actions of a handover that concern this process.
fn action_handler(
    server: Rc<Server>,
    sharing: RequestIdSharing,
    successor_exited: Rc<Notify>,
) -> impl Fn(Action) + 'static {
    move |action| match action {
        Action::ShareLimits(on) => {
            server.update_limit_sharing(on);
            match on {
                true => sharing.begin(),
                false => sharing.end_later(),
            }
        }
        Action::StopAccepting => {
            tracing::info!("a newer process accepts the connections to the address now");
            server.hand_over();
        }
        Action::ResumeAccepting => {
            tracing::warn!("the newer process has exited, taking clients again");
            server.resume_accepting();
            successor_exited.notify_one();
        }
        Action::SendSocket(_) | Action::SendMessage(..) | Action::Disconnect(_) => {}
    }
}
