//! The clients' side: the listener, requests and their answers, readiness and the graceful stop.

use crate::backend::{Http, Served};
use crate::body::{Answering, Given};
use crate::clients::{self, Client, Clients, Place};
use crate::config::WireSettings;
use crate::limits::{Budget, Caps, MOST_HEAD};
use crate::payload::Carried;
use crate::request::{self, Asked, Dialect, Room, Unfit};
use crate::socket::Socket;
use bytes::Bytes;
use dewpier_operate::calls::{self, Call};
use dewpier_operate::lifecycle::Lifecycle;
use dewpier_operate::metrics::{BackendCounts, Metrics, RequestOutcome};
use gannetproxy::engine::{Answer, Engine};
use gannetproxy::{RequestId, Settings, Time};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// So many steps without a request in hand, after that, and connections are no longer waited for.
const IDLE_STEPS: usize = 10;
const STEP: Duration = Duration::from_millis(50);
/// How long a connection without a request may take to end once it is to be closed.
const CLOSE_WITHIN: Duration = Duration::from_millis(200);
/// After an accept that failed: what it lacks comes back no sooner for being asked for again at once.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// How often it is seen, once connections are to be closed, whether a request that has begun has come whole.
const LOOK: Duration = Duration::from_millis(10);

type Reply = Response<Answering>;

/// Answers clients.
pub struct Server {
    engine: Rc<Engine<Http>>,
    settings: Settings,
    wire: WireSettings,
    dialect: Dialect,
    start: Instant,
    /// What the process is at: whether it takes clients, and which of them are to go.
    life: RefCell<Lifecycle>,
    figures: Rc<Metrics>,
    /// Idle connections are to be closed.
    closing: watch::Sender<bool>,
    clients: Rc<Clients>,
    /// Accepted, and waiting for a place: a stop must not lose it.
    in_hand: Cell<Option<TcpStream>>,
    room: Room,
    caps: Caps,
    /// Other processes that share the limits.
    others: Cell<usize>,
    /// Whether connections are accepted may have changed.
    changed: Notify,
}

/// Tells the engine that the client has left, if it is dropped before the answer.
struct Leaving<'a>(&'a Engine<Http>, RequestId);

impl Drop for Leaving<'_> {
    fn drop(&mut self) {
        self.0.client_left(self.1);
    }
}

/// Marks our own answer to what a client got wrong: a backend's 404 is not one.
#[derive(Clone)]
struct Unusable;

fn plain(status: StatusCode, text: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Answering::Whole(Full::new(text.into())));
    if status.is_client_error() {
        reply.extensions_mut().insert(Unusable);
    }
    *reply.status_mut() = status;
    reply
}

/// What a backend worded whole.
fn passed_on(served: Served) -> Reply {
    let body = match served.body {
        Given::Whole(body) => body,
        Given::Passed(_) => return plain(StatusCode::BAD_GATEWAY, "failed\n"), // no error begins and goes on
    };
    let mut reply = Response::new(Answering::Whole(Full::new(body)));
    *reply.status_mut() = served.status;
    *reply.headers_mut() = served.headers;
    reply
}

/// Says when to come again, if that is known: on the platform to the millisecond, elsewhere in whole
/// seconds, which are all that the header may hold (RFC 9110, 10.2.3).
fn come_again(reply: &mut Reply, wait: Option<Time>, dialect: &Dialect) {
    let text = |wait: Time| match dialect {
        Dialect::Platform => format!("{wait:.3}"),
        Dialect::Plain(_) => format!("{:.0}", wait.ceil().max(1.0)),
    };
    if let Some(wait) = wait.and_then(|w| HeaderValue::from_str(&text(w)).ok()) {
        reply.headers_mut().insert(RETRY_AFTER, wait);
    }
}

fn refusal(unfit: &Unfit) -> Reply {
    plain(unfit.status(), format!("{unfit}\n"))
}

impl Server {
    /// A server that keeps to these caps.
    pub fn new(
        engine: Rc<Engine<Http>>,
        settings: Settings,
        wire: WireSettings,
        dialect: Dialect,
        caps: Caps,
        figures: Rc<Metrics>,
    ) -> Rc<Self> {
        let longest = settings.classes.iter().map(|c| c.deadline).fold(0.0, Time::max);
        Rc::new(Self {
            engine,
            settings,
            wire,
            dialect,
            start: Instant::now(),
            life: RefCell::new(Lifecycle::new(longest)),
            figures,
            closing: watch::Sender::new(false),
            clients: Clients::new(caps.clients),
            in_hand: Cell::new(None),
            room: Room { bodies: Budget::new(caps.bodies), streams: Budget::new(caps.streams) },
            caps,
            others: Cell::new(0),
            changed: Notify::new(),
        })
    }

    /// Serves until `stop`, then goes on for a while, answers all that was taken, and returns.
    /// Whoever else holds the listener must do so weakly: it is closed before the last answers are given, so that
    /// nothing more is taken.
    pub async fn run(self: Rc<Self>, listener: Rc<TcpListener>, stop: impl Future<Output = ()>) {
        let accepting = self.clone().accept(&listener);
        let stopped = async {
            stop.await;
            let serves = self.life.borrow_mut().begin_stop(self.now());
            let left = self.life.borrow().request_time_left(self.now());
            left.into_iter().for_each(|left| self.engine.answer_within(left));
            let waits = async {
                // After a handover nobody new comes, and who is left is told with an answer.
                while self.life.borrow().is_accepting() || !self.clients.is_empty() {
                    tokio::time::sleep(STEP).await;
                }
            };
            let _ = tokio::time::timeout(serves, waits).await; // or it is over before
        };
        tokio::select! {
            () = accepting => {}
            () = self.sweep() => {}
            () = stopped => {}
        }
        // What the system has accepted for us is ours to answer too.
        if let Some(stream) = self.in_hand.take() {
            self.clone().serve(stream, self.clients.admit());
        }
        while self.life.borrow().is_accepting()
            && let Some(stream) = accept_waiting(&listener)
        {
            self.clone().serve(stream, self.clients.admit());
        }
        drop(listener);
        self.closing.send_replace(true);
        // A client that neither finishes its request nor goes away must not keep us until SIGKILL.
        let mut idle = 0;
        while !self.clients.is_empty() && idle < IDLE_STEPS && self.may_go_on() {
            self.clients.one_left(STEP).await;
            let left = self.life.borrow().request_time_left(self.now()).is_none_or(|left| !left.is_zero());
            let coming = self.figures.pending() > 0 || self.clients.are_reading();
            let owes = self.engine.owes_answers() || (coming && left);
            idle = if owes { 0 } else { idle + 1 };
        }
    }

    /// The process need not have ended yet.
    fn may_go_on(&self) -> bool {
        self.life.borrow().time_until_exit(self.now()).is_none_or(|within| !within.is_zero())
    }

    /// There is a list to go by.
    pub fn listed(&self) -> bool {
        self.engine.listed()
    }

    /// Another process shares the limits from now on, or one does no longer.
    pub fn beside(&self, beside: bool) {
        let others = self.others.get();
        self.others.set(if beside { others + 1 } else { others.saturating_sub(1) });
        let caps = self.caps.shared(self.others.get() > 0);
        self.clients.bound(caps.clients);
        self.room.bodies.bound(caps.bodies);
        self.room.streams.bound(caps.streams);
        self.engine.upstream().connections.bound(caps.backends);
    }

    /// Another process accepts what comes to the address from now on.
    pub fn hand_over(&self) {
        self.life.borrow_mut().hand_over(self.now());
        self.changed.notify_one();
    }

    /// It is gone again.
    pub fn take_back(&self) {
        self.life.borrow_mut().resume_accepting();
        self.changed.notify_one();
    }

    /// Answers an operator.
    pub fn operate(&self, call: Call) -> String {
        let mut life = self.life.borrow_mut();
        match call {
            Call::Check if !self.engine.listed() => "NO no list of backends yet\n".into(),
            Call::Check if !life.is_taking_clients() => "NO takes no clients\n".into(),
            Call::Check => "YES takes clients\n".into(),
            Call::Vars => {
                let (listed, avoided) = self.engine.members();
                calls::format_metrics(&self.figures, BackendCounts { listed, avoided })
            }
            Call::Verdicts | Call::VerdictsJson | Call::Override { .. } => {
                "NO it belongs to no fleet\n".into()
            }
            Call::DrainOn => {
                life.start_drain(self.now());
                "YES drains\n".into()
            }
            Call::DrainOff => {
                life.cancel_drain();
                match life.is_taking_clients() {
                    true => "YES takes clients\n".into(),
                    false => "NO it stops, or another process has its address\n".into(),
                }
            }
        }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    async fn sweep(&self) {
        loop {
            tokio::time::sleep(clients::STEP).await;
            let rested = self.life.borrow().idle_close_threshold(self.now());
            self.clients.sweep(rested);
        }
    }

    async fn accept(self: Rc<Self>, listener: &TcpListener) {
        let mut failing = false;
        loop {
            if !self.life.borrow().is_accepting() {
                self.changed.notified().await;
                continue;
            }
            let accepted = tokio::select! {
                biased; // what another process is to accept is not taken from it
                () = self.changed.notified() => continue,
                accepted = listener.accept() => accepted,
            };
            let stream = match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    // One event for as long as it lasts: clients could fill the log with them.
                    if !std::mem::replace(&mut failing, true) {
                        tracing::warn!(%error, "connections can't be accepted");
                    }
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            failing = false;
            // Waits with one in hand: nobody has to go before another has come.
            self.in_hand.set(Some(stream));
            // Those that are being closed are descriptors too, until they are gone.
            self.clients.make_room();
            while self.clients.crowded() {
                self.clients.one_left(STEP).await;
                self.clients.make_room();
            }
            if let Some(stream) = self.in_hand.take() {
                self.clone().serve(stream, self.clients.admit());
            }
        }
    }

    fn serve(self: Rc<Self>, stream: TcpStream, place: Place) {
        let _ = stream.set_nodelay(true); // it still works if not
        let full = self.clients.full();
        tokio::task::spawn_local(async move {
            let (server, client) = (&self, place.client());
            let mut closing = server.closing.subscribe();
            let (socket, watch) = Socket::new(stream, client.clone());
            let watched = &watch;
            let service = service_fn(|request| async move {
                // Where it can't be seen that a coded request names no length as well, nothing is read behind it.
                let coded = request.headers().contains_key(TRANSFER_ENCODING);
                let unsure = coded && client.names_length().is_none();
                let mut reply = server.reply(request, client, full).await;
                if let Answering::Whole(_) = reply.body() {
                    client.answered();
                }
                // What is wrong once is not given another try on the same connection: the rest of
                // it may be anything, and each try has its price.
                let wrong = reply.extensions().get::<Unusable>().is_some();
                let goes = server.life.borrow().is_announcing_close(server.now()) || *server.closing.borrow();
                if full || wrong || goes || unsure || watched.flooded() {
                    reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(reply)
            });
            let connection =
                http1::Builder::new().max_buf_size(MOST_HEAD).serve_connection(TokioIo::new(socket), service);
            let mut connection = std::pin::pin!(connection);
            // Its end is no news: clients come and go. One that leaves before it has its answer is let go at once.
            let mut serving = std::future::poll_fn(|cx| match connection.as_mut().poll(cx) {
                Poll::Ready(_) => Poll::Ready(()),
                Poll::Pending => watch.poll_left(cx),
            });
            let within = tokio::select! {
                biased; // a request that has come is read before the connection is closed
                () = &mut serving => return,
                () = client.ended() => Some(CLOSE_WITHIN),
                // A request of which some has come goes before, and its answer ends the connection.
                () = server.closes(client, &mut closing) => None,
            };
            connection.as_mut().graceful_shutdown();
            let serving = std::future::poll_fn(|cx| match connection.as_mut().poll(cx) {
                Poll::Ready(_) => Poll::Ready(()),
                Poll::Pending => watch.poll_left(cx),
            });
            match within {
                Some(within) => drop(tokio::time::timeout(within, serving).await),
                None => serving.await,
            }
        });
    }

    /// Waits until connections are to be closed and none of a request has come on this one.
    async fn closes(&self, client: &Client, closing: &mut watch::Receiver<bool>) {
        let _ = closing.wait_for(|closing| *closing).await; // the sender outlives it
        while client.is_reading() {
            tokio::time::sleep(LOOK).await;
        }
    }

    async fn read(&self, request: hyper::Request<Incoming>, length: Option<bool>) -> Result<Asked, Unfit> {
        request::read(request, &self.settings, &self.wire, &self.dialect, &self.room, length).await
    }

    async fn reply(&self, request: hyper::Request<Incoming>, client: &Rc<Client>, full: bool) -> Reply {
        if request.uri().path() == "/-/ready" {
            return match self.engine.listed() && self.life.borrow().is_ready() {
                true => plain(StatusCode::OK, "ready\n"),
                false => plain(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            };
        }
        client.head_read();
        let mut asked = match self.read(request, client.names_length()).await {
            Ok(asked) => asked,
            Err(unfit) => return refusal(&unfit),
        };
        client.opened();
        if let Carried::Passed(..) = asked.payload.body {
            client.passes(true);
        }
        let _room = asked.room;
        let taken = self.figures.begin_request(asked.request.class);
        if full {
            taken.end(RequestOutcome::Rejected);
            return plain(StatusCode::SERVICE_UNAVAILABLE, "too many connections\n");
        }
        if let Some(left) = self.life.borrow().request_time_left(self.now()) {
            asked.request.budget = asked.request.budget.min(left.as_secs_f64());
        }
        let Some((id, answer)) = self.engine.request(asked.txn, asked.request, asked.payload) else {
            return plain(StatusCode::BAD_REQUEST, "X-Txn is in use\n");
        };
        let leaving = Leaving(&self.engine, id);
        let asked = Instant::now();
        let answer = answer.await;
        drop(leaving); // it has had its answer: nothing is told
        if let Ok(Answer::Served(_)) = answer {
            self.life.borrow_mut().record_served(self.now(), asked.elapsed());
        }
        let answer = match answer {
            Ok(Answer::Served(Served { status, headers, body: Given::Passed(passed) })) => {
                let mut reply = Response::new(Answering::passed(passed, taken, client.clone()));
                *reply.status_mut() = status;
                *reply.headers_mut() = headers;
                return reply;
            }
            answer => answer,
        };
        taken.end(match answer {
            Ok(Answer::Served(_)) => RequestOutcome::Completed,
            Ok(Answer::Refused(..)) => RequestOutcome::Rejected,
            Ok(Answer::Failed(_)) | Err(_) => RequestOutcome::Failed,
        });
        match answer {
            // 503 says that trying again does no harm, whoever words it: a backend's own does not
            // go through where the request may have run.
            Ok(Answer::Failed(Some(served))) if served.status == StatusCode::SERVICE_UNAVAILABLE => {
                let mut reply = passed_on(served);
                *reply.status_mut() = StatusCode::BAD_GATEWAY;
                *reply.headers_mut() = Default::default();
                reply
            }
            Ok(Answer::Served(served)) | Ok(Answer::Failed(Some(served))) => passed_on(served),
            Ok(Answer::Refused(wait, Some(served))) => {
                let mut reply = passed_on(served);
                if !reply.headers().contains_key(RETRY_AFTER) {
                    come_again(&mut reply, wait, &self.dialect);
                }
                reply
            }
            Ok(Answer::Refused(wait, None)) => {
                let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE, "refused, try again\n");
                come_again(&mut reply, wait, &self.dialect);
                reply
            }
            Ok(Answer::Failed(None)) | Err(_) => plain(StatusCode::BAD_GATEWAY, "failed\n"),
        }
    }
}

/// A connection that waits to be accepted, if there is one. Asks the system itself, as the runtime may not have heard
/// of it yet.
fn accept_waiting(listener: &TcpListener) -> Option<TcpStream> {
    let (socket, _) = socket2::SockRef::from(listener).accept().ok()?;
    socket.set_nonblocking(true).ok()?;
    TcpStream::from_std(socket.into()).ok()
}

/// Binds a listener.
pub fn bind(address: std::net::SocketAddr) -> io::Result<TcpListener> {
    bound(address, false)
}

/// Binds a listener at an address where another process of this user may listen as well.
pub fn bind_beside(address: std::net::SocketAddr) -> io::Result<TcpListener> {
    bound(address, true)
}

fn bound(address: std::net::SocketAddr, beside: bool) -> io::Result<TcpListener> {
    let socket = match address.is_ipv4() {
        true => tokio::net::TcpSocket::new_v4()?,
        false => tokio::net::TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(beside)?;
    socket.bind(address)?;
    socket.listen(1024)
}
