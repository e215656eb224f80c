//! Mock servers whose responses a test scripts.

use crate::WAIT_TIMEOUT;
use crate::message::{Message, format_response, read_message};
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Reaction of a scripted server to a request.
pub enum ScriptedReply {
    /// Sends the response.
    Respond(String),
    /// Sends the first part, and the second part after this time.
    RespondInTwoParts(String, Duration, String),
    /// Sends this many bytes at a time with a pause after each, until the peer closes the connection.
    RespondInChunks(String, usize, Duration),
    /// Sends the response, closes the connection without notice and notifies the test.
    RespondAndClose(String, Sender<()>),
    /// Closes the connection without a response.
    Close,
    /// Sends nothing, and notifies the test when the peer closes the connection.
    NeverRespond(Sender<()>),
}

/// A mock server that follows a script.
pub struct ScriptedServer {
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Requests received so far.
    pub received_requests: Arc<Mutex<Vec<Message>>>,
    /// Number of connections accepted.
    pub connection_count: Arc<AtomicUsize>,
}

impl ScriptedServer {
    /// Starts a server. `script` decides on each request, given the number of earlier requests.
    pub fn new(script: impl Fn(usize, &Message) -> ScriptedReply + Send + Sync + 'static) -> Self {
        Self::bind(SocketAddr::from(([127, 0, 0, 1], 0)), script)
    }

    /// Starts a server at an address.
    pub fn bind(
        address: SocketAddr,
        script: impl Fn(usize, &Message) -> ScriptedReply + Send + Sync + 'static,
    ) -> Self {
        Self::on_listener(TcpListener::bind(address).expect("a free port"), script)
    }

    /// Starts a server on a socket that listens already.
    pub fn on_listener(
        listener: TcpListener,
        script: impl Fn(usize, &Message) -> ScriptedReply + Send + Sync + 'static,
    ) -> Self {
        let address = listener.local_addr().expect("the address of a bound socket");
        let server = Self { address, received_requests: Arc::default(), connection_count: Arc::default() };
        let (requests, connections) = (server.received_requests.clone(), server.connection_count.clone());
        let script = Arc::new(script);
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                connections.fetch_add(1, Ordering::SeqCst);
                let (requests, script) = (requests.clone(), script.clone());
                std::thread::spawn(move || serve(stream, &requests, &*script));
            }
        });
        server
    }

    /// Starts a server that answers all requests with 200 and its name.
    pub fn always_ok(name: &'static str) -> Self {
        Self::new(move |_, _| ScriptedReply::Respond(format_response("200 OK", name)))
    }

    /// Starts such a server that holds its first response until the returned sender is used.
    pub fn with_held_response(name: &'static str) -> (Self, Sender<()>) {
        let (release, released) = channel();
        let released = Mutex::new(released);
        let server = Self::new(move |earlier_requests, _| {
            if earlier_requests == 0 {
                let released = released.lock().unwrap_or_else(PoisonError::into_inner);
                released.recv_timeout(WAIT_TIMEOUT).expect("the response is released");
            }
            ScriptedReply::Respond(format_response("200 OK", name))
        });
        (server, release)
    }

    /// Returns the number of requests received.
    pub fn request_count(&self) -> usize {
        self.received_requests.lock().unwrap_or_else(PoisonError::into_inner).len()
    }
}

fn serve(
    stream: TcpStream,
    requests: &Mutex<Vec<Message>>,
    script: &dyn Fn(usize, &Message) -> ScriptedReply,
) {
    let mut stream = BufReader::new(stream);
    while let Some(message) = read_message(&mut stream) {
        let earlier_requests = {
            let mut requests = requests.lock().unwrap_or_else(PoisonError::into_inner);
            requests.push(message.clone());
            requests.len() - 1
        };
        match script(earlier_requests, &message) {
            ScriptedReply::Respond(text) => drop(stream.get_mut().write_all(text.as_bytes())),
            ScriptedReply::RespondInTwoParts(text, wait, more) => {
                let _ = stream.get_mut().write_all(text.as_bytes());
                std::thread::sleep(wait);
                let _ = stream.get_mut().write_all(more.as_bytes());
            }
            ScriptedReply::RespondInChunks(text, size, pause) => {
                for chunk in text.as_bytes().chunks(size) {
                    if stream.get_mut().write_all(chunk).is_err() {
                        return;
                    }
                    std::thread::sleep(pause);
                }
            }
            ScriptedReply::RespondAndClose(text, closed) => {
                let _ = stream.get_mut().write_all(text.as_bytes());
                // Dropping the stream does not close the connection while a process that is being started holds a
                // copy of it.
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
