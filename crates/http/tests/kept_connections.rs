//! Kept connections on which something happens in the very moment of their use. The runtime of these tests does not
//! hear of it before the attempt begins, so that the bad order comes every time.

use bytes::Bytes;
use dewpier_http::backend::{Answers, Http, Reuse};
use dewpier_http::body::Given;
use dewpier_http::limits::Budget;
use dewpier_http::payload::{Carried, Payload};
use dewpier_standins::LONG;
use dewpier_standins::message::{answer, read, reset};
use gannetproxy::engine::{Attempt, AttemptResult, Clock, SendGate, Upstream};
use gannetproxy::{BackendId, Outcome};
use std::cell::Cell;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

/// What a backend does with its first connection once its first answer is out and it is told to.
#[derive(Clone, Copy, Debug)]
enum Meanwhile {
    /// Writes this.
    Writes(&'static str),
    /// Ends its side.
    Ends,
    /// Resets it.
    Resets,
}

/// A backend that answers 'good', and does something to its first connection between two requests.
struct Backend {
    address: SocketAddr,
    go: Sender<()>,
    done: Receiver<()>,
    served: Receiver<usize>,
}

impl Backend {
    fn start(meanwhile: Meanwhile) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let ((go, gone), (tell, done), (serve, served)) = (channel(), channel(), channel());
        std::thread::spawn(move || {
            let (first, _) = listener.accept().unwrap();
            let mut stream = BufReader::new(first.try_clone().unwrap());
            answer_one(&mut stream);
            serve.send(1).unwrap();
            gone.recv_timeout(LONG).unwrap();
            let open = match meanwhile {
                Meanwhile::Writes(text) => (&first).write_all(text.as_bytes()).map(|()| Some(stream)),
                Meanwhile::Ends => first.shutdown(Shutdown::Write).map(|()| Some(stream)),
                Meanwhile::Resets => {
                    drop(stream);
                    reset(first);
                    Ok(None)
                }
            };
            let open = open.unwrap();
            tell.send(()).unwrap();
            // What still comes whole on the first connection runs there.
            let also = serve.clone();
            std::thread::spawn(move || {
                let Some(mut stream) = open else { return };
                while answer_one(&mut stream) {
                    also.send(1).unwrap();
                }
            });
            for (number, stream) in listener.incoming().enumerate() {
                let mut stream = BufReader::new(stream.unwrap());
                while answer_one(&mut stream) {
                    serve.send(2 + number).unwrap();
                }
            }
        });
        Self { address, go, done, served }
    }
}

fn answer_one(stream: &mut BufReader<TcpStream>) -> bool {
    let asked = read(stream).is_some();
    asked && stream.get_mut().write_all(answer("200 OK", "good").as_bytes()).is_ok()
}

async fn attempt(http: &Http, endpoint: &Rc<<Http as Upstream>::Endpoint>) -> (Outcome, Bytes) {
    let made = Attempt {
        gate: Rc::new(SendGate::default()),
        backend: BackendId(1),
        clock: Clock::start(),
        deadline: 20.0,
        written: Default::default(),
        request_open: Rc::new(Cell::new(true)),
        reply_sink: Default::default(),
        exclusive_claim: Default::default(),
    };
    let payload = Payload {
        method: "POST".parse().unwrap(),
        uri: "/api".parse().unwrap(),
        headers: [("host".parse().unwrap(), "app.svc".parse().unwrap())].into_iter().collect(),
        body: Carried::Whole("body".into()),
        stake: dewpier_reuse::Stake::Wait,
        lost: Default::default(),
    };
    let AttemptResult { outcome, reply: served, .. } =
        http.attempt(endpoint.clone(), payload.into(), made).await;
    let body = served.map(|served| match served.body {
        Given::Whole(body) => body,
        Given::Passed(_) => unreachable!("it is short"),
    });
    (outcome, body.unwrap_or_default())
}

#[test]
fn what_befalls_a_kept_connection_in_the_moment_of_its_use_costs_nothing() {
    for meanwhile in [
        Meanwhile::Writes("HTTP/1.1 2"),
        Meanwhile::Writes("\r\n"),
        Meanwhile::Writes("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"),
        Meanwhile::Writes("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nstray"),
        Meanwhile::Writes("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"),
        Meanwhile::Ends,
        Meanwhile::Resets,
    ] {
        let backend = Backend::start(meanwhile);
        let http = Http {
            connections: Budget::new(4),
            connect_timeout: LONG,
            idle_close: LONG,
            probe_path: "/",
            reuse: Reuse::new(0.0),
            answers: Answers::Platform,
            attempts: Default::default(),
        };
        let endpoint = Rc::new(http.create_endpoint(backend.address));
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(async {
            assert_eq!(attempt(&http, &endpoint).await, (Outcome::Served, "good".into()));
            // Until it has settled, and is used again.
            tokio::time::sleep(Duration::from_millis(60)).await;
            // The thread stands still here, so that the runtime hears of nothing before the next attempt begins.
            backend.go.send(()).unwrap();
            backend.done.recv_timeout(LONG).unwrap();
            assert_eq!(attempt(&http, &endpoint).await, (Outcome::Served, "good".into()), "{meanwhile:?}");
        });
        let served: Vec<usize> = backend.served.try_iter().collect();
        assert_eq!(served, [1, 2], "{meanwhile:?}: each ran once, the second one on a new connection");
    }
}
