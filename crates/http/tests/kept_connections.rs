//! Idle connections that fail at the moment of their reuse. The runtime is blocked during the fault, so that
//! it can't notice the fault before the attempt starts.

mod common;

use common::{attempt, attempt_by, upstream};
use dewpier_standins::WAIT_TIMEOUT;
use dewpier_standins::message::{format_response, read_message, reset_connection};
use dewpier_standins::scripted_server::ScriptedServer;
use gannetproxy::Outcome;
use gannetproxy::engine::Upstream;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;
use tokio::task::LocalSet;

/// What a backend does to its first connection after the first response, once triggered.
#[derive(Clone, Copy, Debug)]
enum ConnectionFault {
    /// Sends these bytes.
    SendBytes(&'static str),
    /// Closes its write side.
    CloseWrite,
    /// Resets the connection.
    Reset,
}

/// A backend that answers "good" and applies a fault to its first connection between two requests.
struct Backend {
    address: SocketAddr,
    trigger: Sender<()>,
    done: Receiver<()>,
    served: Receiver<usize>,
}

impl Backend {
    fn start(fault: ConnectionFault) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let ((trigger, triggered), (notify_done, done), (record_served, served)) =
            (channel(), channel(), channel());
        std::thread::spawn(move || {
            let (first, _) = listener.accept().unwrap();
            let mut stream = BufReader::new(first.try_clone().unwrap());
            answer_request(&mut stream, &record_served, 1);
            triggered.recv_timeout(WAIT_TIMEOUT).unwrap();
            let open = match fault {
                ConnectionFault::SendBytes(text) => {
                    (&first).write_all(text.as_bytes()).map(|()| Some(stream))
                }
                ConnectionFault::CloseWrite => first.shutdown(Shutdown::Write).map(|()| Some(stream)),
                ConnectionFault::Reset => {
                    drop(stream);
                    reset_connection(first);
                    Ok(None)
                }
            };
            let open = open.unwrap();
            notify_done.send(()).unwrap();
            // Complete requests that still arrive on the first connection are served there.
            let record_first = record_served.clone();
            std::thread::spawn(move || {
                let Some(mut stream) = open else { return };
                while answer_request(&mut stream, &record_first, 1) {}
            });
            for (number, stream) in listener.incoming().enumerate() {
                let mut stream = BufReader::new(stream.unwrap());
                while answer_request(&mut stream, &record_served, 2 + number) {}
            }
        });
        Self { address, trigger, done, served }
    }
}

/// Reads a request, records the number of its connection and answers. Returns whether the connection goes on.
fn answer_request(stream: &mut BufReader<TcpStream>, record: &Sender<usize>, connection: usize) -> bool {
    if read_message(stream).is_none() {
        return false;
    }
    record.send(connection).unwrap();
    stream.get_mut().write_all(format_response("200 OK", "good").as_bytes()).is_ok()
}

#[test]
fn request_whose_latest_send_time_passes_during_the_connect_is_not_sent() {
    let backend = ScriptedServer::always_ok("good");
    let http = upstream(WAIT_TIMEOUT);
    let endpoint = Rc::new(http.create_endpoint(backend.address));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        assert_eq!(attempt_by(&http, &endpoint, 0.0).await.0, Outcome::NeverSent);
        assert_eq!(attempt_by(&http, &endpoint, 20.0).await.0, Outcome::Served);
    });
    assert_eq!(backend.request_count(), 1);
}

#[test]
fn fault_on_idle_connection_at_reuse_is_retried_on_a_new_one() {
    for fault in [
        ConnectionFault::SendBytes("HTTP/1.1 2"),
        ConnectionFault::SendBytes("\r\n"),
        ConnectionFault::SendBytes("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"),
        ConnectionFault::SendBytes("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nstray"),
        ConnectionFault::SendBytes("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"),
        ConnectionFault::CloseWrite,
        ConnectionFault::Reset,
    ] {
        let backend = Backend::start(fault);
        let http = upstream(WAIT_TIMEOUT);
        let endpoint = Rc::new(http.create_endpoint(backend.address));
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, async {
            assert_eq!(attempt(&http, &endpoint).await, (Outcome::Served, "good".into()));
            // Waits until the connection is settled and may be reused.
            tokio::time::sleep(Duration::from_millis(60)).await;
            // Blocks the thread, so that the runtime notices nothing before the next attempt starts.
            backend.trigger.send(()).unwrap();
            backend.done.recv_timeout(WAIT_TIMEOUT).unwrap();
            assert_eq!(attempt(&http, &endpoint).await, (Outcome::Served, "good".into()), "{fault:?}");
        });
        let served: Vec<usize> = backend.served.try_iter().collect();
        assert_eq!(served, [1, 2], "{fault:?}: each request must run once, the second on a new connection");
    }
}
