//! The watch on discovery: one task that makes one call at a time, so that an answer is never older than one that
//! was taken in before it. What it is to do (watch or not, another address, the whole list) is told to it between
//! calls or ends the call that is out.

pub mod schedule;

use crate::backend::Http;
use crate::body::Outgoing;
use crate::config::WireSettings;
use crate::listing::{Names, RawList};
use crate::peer::{self, Peer};
use gannetproxy::Settings;
use gannetproxy::engine::{Ask, Engine, News};
use http_body_util::{BodyExt, Limited};
use hyper::Request;
use schedule::{Call, Pace, Schedule};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::Notify;

/// A list that has begun to come must have come whole within this: one that stalls must not keep the next call
/// from being made until the deadline of its call.
const COMES_WITHIN: Duration = Duration::from_secs(1);
/// Largest list taken in.
const MOST_BYTES: usize = 4 << 20;

/// Where discovery tells its list.
const LIST: &str = "/api/targets";

#[derive(Debug, Error)]
enum CallError {
    #[error("no answer in time")]
    Late,
    #[error("the connection ended")]
    Broken,
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("status {0}")]
    Status(u16),
    #[error("body: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("list: {0}")]
    Json(#[from] serde_json::Error),
}

/// What the watch is to do.
struct Wanted {
    address: SocketAddr,
    /// The version of the list that was last had from that address, if any was.
    generation: Option<u64>,
    /// Changes are to be asked for as they come.
    watch: bool,
    /// The whole list is to be asked for once.
    whole: bool,
    /// This discovery does not tell everything to a watch that begins at no version.
    by_list_call: bool,
}

impl Wanted {
    /// The version that the next call names, and whether its answer is everything that there is. A watch that begins
    /// at no version is told all, and goes on from there: a call for the list and a watch after it would cost
    /// discovery twice as much, just when all proxies have to begin anew.
    fn since(&self) -> (u64, bool) {
        match self.generation.filter(|_| !self.whole) {
            Some(generation) => (generation, false),
            None => (0, true),
        }
    }
}

/// Keeps the engine's list fresh.
pub struct Discovery {
    engine: Rc<Engine<Http>>,
    names: RefCell<Names>,
    wanted: RefCell<Wanted>,
    /// What is wanted has changed: the call that is out is not.
    changed: Notify,
    schedule: RefCell<Schedule>,
}

impl Discovery {
    /// Hands the known list to the engine, and starts the watch where no one has to ask for it. `seed` spreads the
    /// calls of many proxies.
    pub fn start(
        address: SocketAddr,
        known: RawList,
        wire: &WireSettings,
        settings: &Settings,
        seed: u64,
        engine: Rc<Engine<Http>>,
    ) -> Rc<Self> {
        let pace = if settings.must_watch { Pace::ASKED } else { Pace::PUSHED };
        let longest = Duration::try_from_secs_f64(settings.list_request_deadline).unwrap_or(pace.wait);
        let discovery = Rc::new(Self {
            names: RefCell::new(Names::new(wire.zones.clone())),
            wanted: RefCell::new(Wanted {
                address,
                generation: Some(known.generation),
                // Who knows no backend can't wait until the module asks.
                watch: !settings.must_watch || known.instances.is_empty(),
                whole: false,
                by_list_call: false,
            }),
            changed: Notify::new(),
            schedule: RefCell::new(Schedule::new(pace.waiting_up_to(longest), seed)),
            engine,
        });
        let asked = Rc::downgrade(&discovery);
        discovery.engine.asks(move |ask| {
            let Some(discovery) = asked.upgrade() else {
                return;
            };
            match ask {
                Ask::Watch(on) => discovery.watch(on),
                Ask::Fetch => discovery.fetch(),
            }
        });
        let listed = discovery.names.borrow_mut().list(known.instances, discovery.engine.clock());
        discovery.engine.news(News::Remembered(listed));
        tokio::task::spawn_local(discovery.clone().run());
        discovery
    }

    /// Goes over to the discovery at `address`. Its versions are its own, so that the whole list
    /// is asked for at once; until it comes, the last one holds. What the old one still says is not taken in.
    pub fn move_to(&self, address: SocketAddr) {
        tracing::info!(%address, "discovery has moved");
        let mut wanted = self.wanted.borrow_mut();
        *wanted = Wanted { address, generation: None, watch: true, whole: false, by_list_call: false };
        self.schedule.borrow_mut().answered();
        self.changed.notify_one();
    }

    /// Begins a watch, if none is on, or ends it.
    pub fn watch(&self, on: bool) {
        let mut wanted = self.wanted.borrow_mut();
        if std::mem::replace(&mut wanted.watch, on) != on {
            self.changed.notify_one();
        }
    }

    /// Asks for the whole list once.
    pub fn fetch(&self) {
        self.wanted.borrow_mut().whole = true;
        self.changed.notify_one();
    }

    /// One call after another: a gap between them would end the watch.
    async fn run(self: Rc<Self>) {
        let mut connection = None;
        loop {
            let Some((address, path, call)) = self.next() else {
                self.changed.notified().await;
                continue;
            };
            tokio::select! {
                biased; // an answer to what is no longer wanted is not taken in
                () = self.changed.notified() => connection = None,
                answer = call_after_pause(address, &path, call, &mut connection) => self.take(answer),
            }
        }
    }

    /// The next call, if one is to be made: where to, its path, and its times.
    fn next(&self) -> Option<(SocketAddr, String, Call)> {
        let wanted = self.wanted.borrow();
        let mut schedule = self.schedule.borrow_mut();
        if !wanted.watch && !wanted.whole {
            return None;
        }
        let (since, everything) = wanted.since();
        let call = if everything { schedule.fetch() } else { schedule.watch() };
        let path = match everything && wanted.by_list_call {
            true => LIST.to_string(),
            false => format!("{LIST}?since={since}&timeout_ms={}", call.wait.as_millis()),
        };
        Some((wanted.address, path, call))
    }

    /// Takes in an answer; the last list is kept if there is none that makes sense.
    fn take(&self, answer: Result<RawList, CallError>) {
        match answer {
            Ok(list) => {
                self.schedule.borrow_mut().answered();
                let mut wanted = self.wanted.borrow_mut();
                let (_, everything) = wanted.since();
                // What changed since the beginning need not be all that there is.
                if everything && !list.reset {
                    wanted.by_list_call = true;
                    return;
                }
                wanted.generation = Some(list.generation);
                wanted.whole = false;
                drop(wanted); // the engine may ask for something
                let listed = self.names.borrow_mut().list(list.instances, self.engine.clock());
                let news = if list.reset { News::Full(listed) } else { News::Changes(listed) };
                self.engine.news(news);
                self.names.borrow_mut().forget(|id| self.engine.knows(id));
            }
            Err(error) => {
                if matches!(error, CallError::Status(400..500)) {
                    self.wanted.borrow_mut().by_list_call = true;
                }
                let mut schedule = self.schedule.borrow_mut();
                schedule.failed();
                // Said less and less often, as it may go on for long.
                let failures = schedule.failures();
                if failures.is_power_of_two() {
                    tracing::warn!(%error, failures, "discovery call failed; the last list holds");
                }
            }
        }
    }
}

/// Rests, and makes a call, on the connection kept from the last one if there is one.
async fn call_after_pause(
    address: SocketAddr,
    path: &str,
    call: Call,
    connection: &mut Option<Peer>,
) -> Result<RawList, CallError> {
    tokio::time::sleep(call.pause).await;
    let called = tokio::time::timeout(call.deadline, fetch_list(address, path, call.deadline, connection));
    called.await.unwrap_or(Err(CallError::Late))
}

async fn fetch_list(
    address: SocketAddr,
    path: &str,
    within: Duration,
    connection: &mut Option<Peer>,
) -> Result<RawList, CallError> {
    let mut peer = match connection.take().and_then(Peer::checked) {
        Some(peer) => peer,
        None => peer::connect(address, within).await.map_err(CallError::Connect)?,
    };
    let request = Request::get(path).header("host", address.to_string());
    let Ok(request) = request.body(Outgoing::default()) else {
        return Err(CallError::Status(0)); // a path of ours is always valid
    };
    let answer = peer.send(request).await.ok_or(CallError::Broken)?.map_err(|e| e.into_error())?;
    let (status, body) = (answer.status(), Limited::new(answer.into_body(), MOST_BYTES));
    let body = tokio::time::timeout(COMES_WITHIN, peer.drive(body.collect())).await;
    let body = body.map_err(|_| CallError::Late)?.ok_or(CallError::Broken)?.map_err(CallError::Body)?;
    if !status.is_success() {
        return Err(CallError::Status(status.as_u16()));
    }
    *connection = peer.checked();
    Ok(serde_json::from_slice(&body.to_bytes())?)
}
