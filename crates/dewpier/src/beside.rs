//! A platform's proxy that is started while an older one serves its address: takes the socket over, and gives it to
//! the next one.

use dewpier_handover::io::{self as handover, HandoverReply};
use dewpier_handover::sender::Action;
use dewpier_http::server::{self, Server};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// An address that is in use is tried again for so long: an older process that shares it with nobody may be about
/// to end. A new one has 6 s to say yes.
const TRIES: Duration = Duration::from_secs(5);
const TRY: Duration = Duration::from_millis(50);
/// A process that gives nothing, and whose end is not seen, is taken to be there for so long: until its stop is
/// over, as the platform has it.
const THERE_FOR: Duration = Duration::from_secs(12);

/// Where the process that serves an address is asked for its socket, if there is a folder for that.
pub fn place(address: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    Some(handover::socket_path(Path::new(&folder), address))
}

/// The process that was here before.
pub enum Before {
    /// There was none.
    None,
    /// It gave its socket.
    Given(handover::PredecessorConnection),
    /// It is there, and did not.
    Hidden,
    /// The same, and it goes on being asked by others.
    Asked,
}

impl Before {
    /// It shares the limits.
    pub fn runs(&self) -> bool {
        !matches!(self, Self::None)
    }

    /// Newer processes are to ask this one from now on, and not that.
    pub fn yields(&self) -> bool {
        !matches!(self, Self::Asked)
    }

    /// Tells it that this process accepts now.
    pub async fn taking(&mut self) {
        if let Self::Given(before) = self
            && let Err(error) = before.announce_accepting().await
        {
            tracing::warn!(%error, "the process before is gone");
        }
    }

    /// What comes is its own as long as this process knows no backend. One that listens beside has a queue of its own,
    /// and must look after that.
    pub fn shares_queue(&self) -> bool {
        matches!(self, Self::Given(_))
    }

    /// Waits until it has ended, as far as can be told.
    pub async fn ended(&mut self) {
        match self {
            Self::None => {}
            Self::Given(before) => before.wait_for_exit().await,
            Self::Hidden | Self::Asked => tokio::time::sleep(THERE_FOR).await,
        }
    }
}

/// The listening socket: the one of the process before if it gives it, else one of this process's own.
pub async fn listener(address: SocketAddr, place: Option<&Path>) -> io::Result<(TcpListener, Before)> {
    let found = match place {
        Some(place) => handover::request_listener(place).await,
        None => HandoverReply::NoPredecessor,
    };
    let before = match found {
        HandoverReply::ListenerReceived(listener, before) if listener.local_addr()? == address => {
            return Ok((TcpListener::from_std(listener)?, Before::Given(before)));
        }
        HandoverReply::ListenerReceived(..) | HandoverReply::NoPredecessor => Before::None,
        HandoverReply::Busy => {
            tracing::warn!("the process before gives its socket to another one: listening beside");
            Before::Asked
        }
        HandoverReply::Refused(why) => {
            tracing::warn!(why, "the process before gives no socket: listening beside");
            Before::Hidden
        }
    };
    let begun = tokio::time::Instant::now();
    loop {
        match server::bind_beside(address) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && begun.elapsed() < TRIES => {
                tokio::time::sleep(TRY).await;
            }
            bound => return Ok((bound?, before)),
        }
    }
}

/// Gives the socket to newer processes. Where that can't be, this says so once, and they bind for themselves.
pub async fn give(place: Option<&Path>, listener: Weak<TcpListener>, server: Rc<Server>) {
    let Some(place) = place else { return };
    let again = Rc::new(Notify::new());
    loop {
        let door = match handover::listen(place) {
            Ok(door) => door,
            Err(error) => return tracing::warn!(place = %place.display(), %error, "no handover"),
        };
        // A process that took over and is gone has left the place to nobody.
        tokio::select! {
            () = handover::serve_handovers(door, listener.clone(), act(server.clone(), again.clone())) => {}
            () = again.notified() => {}
        }
    }
}

/// What this process does about a newer one.
fn act(server: Rc<Server>, again: Rc<Notify>) -> impl Fn(Action) + 'static {
    move |done| match done {
        Action::ShareLimits(beside) => server.beside(beside),
        Action::StopAccepting => {
            tracing::info!("a new process takes the address over");
            server.hand_over();
        }
        Action::ResumeAccepting => {
            tracing::warn!("the new process is gone: taking clients again");
            server.take_back();
            again.notify_one();
        }
        Action::SendSocket(_) | Action::SendMessage(..) | Action::Disconnect(_) => {}
    }
}
