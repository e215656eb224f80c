//! Servers whose every answer a test plays.

use crate::WAIT_TIMEOUT;
use crate::message::{Message, format_response, read_message};
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// What a played server does with a request, given how many it has had before.
pub enum ScriptedReply {
    /// Answers so.
    Respond(String),
    /// Writes the first, and the second after that time.
    RespondInTwoParts(String, Duration, String),
    /// Writes so many bytes at a time, with a rest after each, until the other side ends the connection.
    RespondInChunks(String, usize, Duration),
    /// Answers, then closes without having said so, and tells.
    RespondAndClose(String, Sender<()>),
    /// Closes without an answer.
    Close,
    /// Says nothing; tells when the other side ends the connection.
    NeverRespond(Sender<()>),
}

/// A server that the test plays.
pub struct ScriptedServer {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it was asked.
    pub received_requests: Arc<Mutex<Vec<Message>>>,
    /// How often it was connected to.
    pub connection_count: Arc<AtomicUsize>,
}

impl ScriptedServer {
    /// A server that does with each request what `play` says.
    pub fn new(play: impl Fn(usize, &Message) -> ScriptedReply + Send + Sync + 'static) -> Self {
        Self::bind(SocketAddr::from(([127, 0, 0, 1], 0)), play)
    }

    /// The same at that address.
    pub fn bind(
        address: SocketAddr,
        play: impl Fn(usize, &Message) -> ScriptedReply + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind(address).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let played = Self { address, received_requests: Arc::default(), connection_count: Arc::default() };
        let (requests, connections) = (played.received_requests.clone(), played.connection_count.clone());
        let play = Arc::new(play);
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                connections.fetch_add(1, Ordering::SeqCst);
                let (requests, play) = (requests.clone(), play.clone());
                std::thread::spawn(move || serve(stream, &requests, &*play));
            }
        });
        played
    }

    /// A server that answers all with 200 and its name.
    pub fn always_ok(name: &'static str) -> Self {
        Self::new(move |_, _| ScriptedReply::Respond(format_response("200 OK", name)))
    }

    /// The same, but its first answer waits until it is let go.
    pub fn with_held_response(name: &'static str) -> (Self, Sender<()>) {
        let (release, held) = channel();
        let held = Mutex::new(held);
        let played = Self::new(move |before, _| {
            if before == 0 {
                let held = held.lock().unwrap_or_else(PoisonError::into_inner);
                held.recv_timeout(WAIT_TIMEOUT).expect("it is let go");
            }
            ScriptedReply::Respond(format_response("200 OK", name))
        });
        (played, release)
    }

    /// How many requests it has had.
    pub fn request_count(&self) -> usize {
        self.received_requests.lock().unwrap_or_else(PoisonError::into_inner).len()
    }
}

fn serve(stream: TcpStream, requests: &Mutex<Vec<Message>>, play: &dyn Fn(usize, &Message) -> ScriptedReply) {
    let mut stream = BufReader::new(stream);
    while let Some(message) = read_message(&mut stream) {
        let before = {
            let mut requests = requests.lock().unwrap_or_else(PoisonError::into_inner);
            requests.push(message.clone());
            requests.len() - 1
        };
        match play(before, &message) {
            ScriptedReply::Respond(text) => drop(stream.get_mut().write_all(text.as_bytes())),
            ScriptedReply::RespondInTwoParts(text, wait, more) => {
                let _ = stream.get_mut().write_all(text.as_bytes());
                std::thread::sleep(wait);
                let _ = stream.get_mut().write_all(more.as_bytes());
            }
            ScriptedReply::RespondInChunks(text, size, rest) => {
                for piece in text.as_bytes().chunks(size) {
                    if stream.get_mut().write_all(piece).is_err() {
                        return;
                    }
                    std::thread::sleep(rest);
                }
            }
            ScriptedReply::RespondAndClose(text, closed) => {
                let _ = stream.get_mut().write_all(text.as_bytes());
                // Not by dropping it: a process that is just being started has a copy.
                let _ = stream.get_mut().shutdown(Shutdown::Both);
                let _ = closed.send(());
                return;
            }
            ScriptedReply::Close => return drop(stream.get_mut().shutdown(Shutdown::Both)),
            ScriptedReply::NeverRespond(ended) => {
                let _ = stream.read(&mut [0]);
                let _ = ended.send(());
                return;
            }
        }
    }
}
