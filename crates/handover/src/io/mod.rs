//! Passes a listening socket between processes over a Unix socket, as an attached file descriptor.

use crate::message::{MAX_LINE_BYTES, Message, PROTOCOL_VERSION};
use crate::sender::{Action, ConnectionId, Event, HandoverSender};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use std::cell::RefCell;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{UnixListener, UnixStream};

/// Time in which the running process must answer. A process that hangs must not keep its successor from starting.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time in which a new process must send its first message.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of new processes served at once; others wait in the accept queue.
const MAX_CONNECTIONS: usize = 4;
/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The path of the Unix socket on which the process that serves `address` hands over its listening socket.
pub fn socket_path(folder: &Path, address: SocketAddr) -> PathBuf {
    folder.join(format!("dewpier-{address}.handover"))
}

/// The result of asking the running process for its listening socket.
#[derive(Debug)]
pub enum HandoverReply {
    /// No process listens on the handover socket.
    NoPredecessor,
    /// The running process sent its listening socket.
    ListenerReceived(TcpListener, PredecessorConnection),
    /// The running process is handing its socket over to another process.
    Busy,
    /// The running process sent no socket, with the reason.
    Refused(String),
}

/// The connection to the process that sent its listening socket.
#[derive(Debug)]
pub struct PredecessorConnection {
    stream: UnixStream,
}

impl PredecessorConnection {
    /// Tells the predecessor that this process accepts connections. Fails if the predecessor has exited.
    pub async fn announce_accepting(&mut self) -> io::Result<()> {
        self.stream.write_all(Message::Taking.to_string().as_bytes()).await
    }

    /// Waits until the predecessor has exited.
    pub async fn wait_for_exit(&mut self) {
        let mut buffer = [0; MAX_LINE_BYTES];
        // The protocol has no further messages: bytes that arrive are ignored.
        while self.stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {}
    }
}

/// Asks the process that listens on the handover socket at `path`, if there is one, for its listening socket.
pub async fn request_listener(path: &Path) -> HandoverReply {
    let Ok(stream) = UnixStream::connect(path).await else { return HandoverReply::NoPredecessor };
    match tokio::time::timeout(ANSWER_TIMEOUT, exchange(stream)).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(error)) => HandoverReply::Refused(error.to_string()),
        Err(_) => HandoverReply::Refused("no answer in time".into()),
    }
}

/// Sends the request on a connection and reads the answer.
async fn exchange(mut stream: UnixStream) -> io::Result<HandoverReply> {
    stream.write_all(Message::Hello(PROTOCOL_VERSION).to_string().as_bytes()).await?;
    let (line, descriptor) = stream.async_io(Interest::READABLE, || receive_listener(&stream)).await?;
    match (Message::parse(&line), descriptor) {
        (Some(Message::Listener), Some(descriptor)) => {
            let listener = TcpListener::from(descriptor);
            listener.local_addr()?; // fails for a descriptor that is not a TCP socket
            listener.set_nonblocking(true)?;
            Ok(HandoverReply::ListenerReceived(listener, PredecessorConnection { stream }))
        }
        (Some(Message::Busy), None) => Ok(HandoverReply::Busy),
        (Some(refusal), None) => Ok(HandoverReply::Refused(refusal.to_string().trim_end().to_string())),
        _ => Ok(HandoverReply::Refused("expected a socket or a refusal, got an invalid answer".into())),
    }
}

/// Receives a line and the descriptor attached to it, if any.
fn receive_listener(stream: &UnixStream) -> io::Result<(Vec<u8>, Option<OwnedFd>)> {
    let mut line = [0; MAX_LINE_BYTES];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let mut parts = [IoSliceMut::new(&mut line)];
    let received = recvmsg(stream, &mut parts, &mut ancillary, RecvFlags::CMSG_CLOEXEC)?;
    let descriptor = ancillary.drain().find_map(|message| match message {
        RecvAncillaryMessage::ScmRights(mut descriptors) => descriptors.next(),
        _ => None,
    });
    Ok((line[..received.bytes.min(MAX_LINE_BYTES)].to_vec(), descriptor))
}

/// Sends the listening socket, attached to its message.
fn send_listener(stream: &UnixStream, listener: &impl AsFd) -> io::Result<()> {
    let line = Message::Listener.to_string();
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    let descriptors = [listener.as_fd()];
    ancillary.push(SendAncillaryMessage::ScmRights(&descriptors));
    // A line this short is sent completely or not at all.
    sendmsg(stream, &[IoSlice::new(line.as_bytes())], &mut ancillary, SendFlags::NOSIGNAL)?;
    Ok(())
}

/// Listens for new processes on the handover socket at `path`, replacing the socket of a previous process.
pub fn listen(path: &Path) -> io::Result<UnixListener> {
    // Bound under a temporary name and renamed, so that a socket exists at `path` at all times.
    let temporary = path.with_extension(format!("{}", std::process::id()));
    match std::fs::remove_file(&temporary) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    let listener = UnixListener::bind(&temporary)?;
    std::fs::rename(&temporary, path)?;
    Ok(listener)
}

/// Hands `listener` over to new processes, one at a time, until the future is dropped. The weak reference leaves the
/// process free to close the listener meanwhile. Actions that concern the process itself are passed to `act`.
pub async fn serve_handovers(
    handover_socket: UnixListener,
    listener: Weak<impl AsFd + 'static>,
    act: impl Fn(Action) + 'static,
) {
    let shared = Rc::new(Shared { sender: RefCell::default(), listener, act });
    let mut last_id: ConnectionId = 0;
    let mut connections = tokio::task::JoinSet::new();
    loop {
        while connections.len() >= MAX_CONNECTIONS {
            connections.join_next().await;
        }
        tokio::select! {
            accepted = handover_socket.accept() => match accepted {
                Ok((stream, _)) => {
                    last_id += 1;
                    connections.spawn_local(shared.clone().serve(last_id, stream));
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

/// What the connections of a handover socket share.
struct Shared<L, A> {
    sender: RefCell<HandoverSender>,
    listener: Weak<L>,
    act: A,
}

impl<L: AsFd, A: Fn(Action)> Shared<L, A> {
    /// Serves the connection of a new process until it ends.
    async fn serve(self: Rc<Self>, connection: ConnectionId, mut stream: UnixStream) {
        // Only the first message has a timeout; after it the connection stays open until the process exits.
        let mut timeout = FIRST_MESSAGE_TIMEOUT;
        while let Ok(Ok(line)) = tokio::time::timeout(timeout, read_line(&mut stream)).await {
            let Some(message) = Message::parse(&line) else { break };
            if !self.handle(Event::MessageReceived(connection, message), &mut stream).await {
                break;
            }
            timeout = Duration::from_secs(u64::from(u32::MAX));
        }
        self.handle(Event::Disconnected(connection), &mut stream).await;
    }

    /// Handles an event and performs the resulting actions. False if the connection must be closed.
    async fn handle(&self, event: Event, stream: &mut UnixStream) -> bool {
        let actions = self.sender.borrow_mut().handle(event);
        let mut stays_open = true;
        for action in actions {
            let result = match action {
                Action::SendSocket(_) => {
                    let send = || match self.listener.upgrade() {
                        Some(listener) => send_listener(stream, &*listener),
                        None => Err(io::ErrorKind::NotConnected.into()),
                    };
                    stream.async_io(Interest::WRITABLE, send).await
                }
                Action::SendMessage(_, message) => stream.write_all(message.to_string().as_bytes()).await,
                Action::Disconnect(_) => {
                    stays_open = false;
                    Ok(())
                }
                Action::ShareLimits(_) | Action::StopAccepting | Action::ResumeAccepting => {
                    (self.act)(action);
                    Ok(())
                }
            };
            stays_open &= result.is_ok();
        }
        stays_open
    }
}

/// Reads a line including its end. Fails if the connection ends or the line exceeds [`MAX_LINE_BYTES`].
async fn read_line(stream: &mut UnixStream) -> io::Result<Vec<u8>> {
    let mut line = Vec::new();
    while line.last() != Some(&b'\n') {
        if line.len() >= MAX_LINE_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        line.push(stream.read_u8().await?);
    }
    Ok(line)
}
