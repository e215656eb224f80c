//! The thin part: a Unix socket beside the clients' address, and descriptors sent over it.

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

/// Who is asked must answer within this: a process that hangs must not keep the new one from starting.
const ANSWERED_WITHIN: Duration = Duration::from_secs(1);
/// Who comes must have said what it wants by then.
const SAID_WITHIN: Duration = Duration::from_secs(1);
/// New processes that are listened to at once; others wait in the system's queue.
const MOST_PEERS: usize = 4;
/// After an accept that failed.
const PAUSE: Duration = Duration::from_millis(50);

/// Where the process that serves an address is asked for its socket.
pub fn socket_path(folder: &Path, address: SocketAddr) -> PathBuf {
    folder.join(format!("dewpier-{address}.handover"))
}

/// What a process that starts has found.
#[derive(Debug)]
pub enum HandoverReply {
    /// Nobody serves the address, as far as can be told.
    NoPredecessor,
    /// Somebody does, and gave its socket.
    ListenerReceived(TcpListener, PredecessorConnection),
    /// Somebody does, and gives it to another new process just now.
    Busy,
    /// Somebody does, and gave none: why.
    Refused(String),
}

/// The connection to the process that gave its socket.
#[derive(Debug)]
pub struct PredecessorConnection {
    stream: UnixStream,
}

impl PredecessorConnection {
    /// Tells the other one that this process accepts now.
    pub async fn announce_accepting(&mut self) -> io::Result<()> {
        self.stream.write_all(Message::Taking.to_string().as_bytes()).await
    }

    /// Waits until the other one has ended.
    pub async fn wait_for_exit(&mut self) {
        let mut space = [0; MAX_LINE_BYTES];
        // It has nothing more to say; whatever comes is passed over.
        while self.stream.read(&mut space).await.is_ok_and(|read| read > 0) {}
    }
}

/// Asks the process that serves the address, if there is one, for its socket.
pub async fn request_listener(place: &Path) -> HandoverReply {
    let Ok(stream) = UnixStream::connect(place).await else { return HandoverReply::NoPredecessor };
    match tokio::time::timeout(ANSWERED_WITHIN, asked(stream)).await {
        Ok(Ok(found)) => found,
        Ok(Err(error)) => HandoverReply::Refused(error.to_string()),
        Err(_) => HandoverReply::Refused("no answer in time".into()),
    }
}

async fn asked(mut stream: UnixStream) -> io::Result<HandoverReply> {
    stream.write_all(Message::Hello(PROTOCOL_VERSION).to_string().as_bytes()).await?;
    let (line, descriptor) = stream.async_io(Interest::READABLE, || receive(&stream)).await?;
    match (Message::parse(&line), descriptor) {
        (Some(Message::Listener), Some(descriptor)) => {
            let listener = TcpListener::from(descriptor);
            listener.local_addr()?; // a socket of another kind is none
            listener.set_nonblocking(true)?;
            Ok(HandoverReply::ListenerReceived(listener, PredecessorConnection { stream }))
        }
        (Some(Message::Busy), None) => Ok(HandoverReply::Busy),
        (Some(no), None) => Ok(HandoverReply::Refused(no.to_string().trim_end().to_string())),
        _ => Ok(HandoverReply::Refused("an answer that makes no sense".into())),
    }
}

fn receive(stream: &UnixStream) -> io::Result<(Vec<u8>, Option<OwnedFd>)> {
    let mut line = [0; MAX_LINE_BYTES];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut parts = [IoSliceMut::new(&mut line)];
    let received = recvmsg(stream, &mut parts, &mut control, RecvFlags::CMSG_CLOEXEC)?;
    let rights = control.drain().find_map(|message| match message {
        RecvAncillaryMessage::ScmRights(mut rights) => rights.next(),
        _ => None,
    });
    Ok((line[..received.bytes.min(MAX_LINE_BYTES)].to_vec(), rights))
}

fn send(stream: &UnixStream, listener: &impl AsFd) -> io::Result<()> {
    let line = Message::Listener.to_string();
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    let descriptors = [listener.as_fd()];
    control.push(SendAncillaryMessage::ScmRights(&descriptors));
    // So short a line goes out whole or not at all.
    sendmsg(stream, &[IoSlice::new(line.as_bytes())], &mut control, SendFlags::NOSIGNAL)?;
    Ok(())
}

/// Listens there for new processes, in place of whoever did so before.
pub fn listen(place: &Path) -> io::Result<UnixListener> {
    // Bound under a name of its own and moved: at no moment is there no socket to ask.
    let new = place.with_extension(format!("{}", std::process::id()));
    match std::fs::remove_file(&new) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    let listener = UnixListener::bind(&new)?;
    std::fs::rename(&new, place)?;
    Ok(listener)
}

/// Gives `listener` to new processes, one at a time, until it is dropped. It is held weakly: a process that closes it
/// takes nothing more, whoever attends here. What the process itself has to do about it goes to `act`.
pub async fn serve_handovers(
    door: UnixListener,
    listener: Weak<impl AsFd + 'static>,
    act: impl Fn(Action) + 'static,
) {
    let shared = Rc::new(Shared { giver: RefCell::default(), listener, act });
    let mut next: ConnectionId = 0;
    let mut peers = tokio::task::JoinSet::new();
    loop {
        while peers.len() >= MOST_PEERS {
            peers.join_next().await;
        }
        tokio::select! {
            accepted = door.accept() => match accepted {
                Ok((stream, _)) => {
                    next += 1;
                    peers.spawn_local(shared.clone().serve(next, stream));
                }
                Err(_) => tokio::time::sleep(PAUSE).await,
            },
            Some(_) = peers.join_next() => {}
        }
    }
}

struct Shared<L, A> {
    giver: RefCell<HandoverSender>,
    listener: Weak<L>,
    act: A,
}

impl<L: AsFd, A: Fn(Action)> Shared<L, A> {
    async fn serve(self: Rc<Self>, peer: ConnectionId, mut stream: UnixStream) {
        // Its first line must come; after that the connection stands for as long as the process lives.
        let mut within = SAID_WITHIN;
        while let Ok(Ok(line)) = tokio::time::timeout(within, line(&mut stream)).await {
            let Some(message) = Message::parse(&line) else { break };
            if !self.handle(Event::MessageReceived(peer, message), &mut stream).await {
                break;
            }
            within = Duration::from_secs(u64::from(u32::MAX));
        }
        self.handle(Event::Disconnected(peer), &mut stream).await;
    }

    /// False where the connection is to end.
    async fn handle(&self, event: Event, stream: &mut UnixStream) -> bool {
        let todo = self.giver.borrow_mut().handle(event);
        let mut stays = true;
        for done in todo {
            let sent = match done {
                Action::SendSocket(_) => {
                    let give = || match self.listener.upgrade() {
                        Some(listener) => send(stream, &*listener),
                        None => Err(io::ErrorKind::NotConnected.into()),
                    };
                    stream.async_io(Interest::WRITABLE, give).await
                }
                Action::SendMessage(_, message) => stream.write_all(message.to_string().as_bytes()).await,
                Action::Disconnect(_) => {
                    stays = false;
                    Ok(())
                }
                Action::ShareLimits(_) | Action::StopAccepting | Action::ResumeAccepting => {
                    (self.act)(done);
                    Ok(())
                }
            };
            stays &= sent.is_ok();
        }
        stays
    }
}

/// A line with its end; an error where the other side has ended, or says too much.
async fn line(stream: &mut UnixStream) -> io::Result<Vec<u8>> {
    let mut line = Vec::new();
    while line.last() != Some(&b'\n') {
        if line.len() >= MAX_LINE_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        line.push(stream.read_u8().await?);
    }
    Ok(line)
}
