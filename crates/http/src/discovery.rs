//! Discovery: the watch and fetch calls.

use crate::backend::Http;
use crate::body::Outgoing;
use crate::config::WireSettings;
use crate::listing::{Names, RawList};
use crate::peer::{self, Peer};
use gannetproxy::Settings;
use gannetproxy::engine::{Ask, Engine, News};
use http_body_util::{BodyExt, Limited};
use hyper::Request;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::task::AbortHandle;

/// Longest wait for news that a watch call may ask for.
const MOST_WATCH: Duration = Duration::from_secs(60);
/// How much longer than that an answer may take.
const PATIENCE: Duration = Duration::from_secs(2);
/// The same two where lists are pushed. The agent is on this machine, and its answers cost nothing. Guards
/// against a watch that falls silent: what it had to tell counts as told 2 s after its wait is over, so that
/// the next calls must have been answered by then, also where one or two of them fall silent as well.
const PUSHED_WATCH: Duration = Duration::from_secs(2);
const PUSHED_PATIENCE: Duration = Duration::from_millis(500);
/// A list that has begun to come must have come whole within this: one that stalls must not keep the next call
/// from being made until the wait for news is over.
const COMES_WITHIN: Duration = Duration::from_secs(1);
/// Bounds of the wait after a call that failed, where the module doesn't say when to ask again.
const BACKOFF: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(400)];
/// Largest list taken in.
const MOST_BYTES: usize = 4 << 20;

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

/// Keeps the engine's list fresh.
pub struct Discovery {
    address: Cell<SocketAddr>,
    engine: Rc<Engine<Http>>,
    names: RefCell<Names>,
    /// The version of the list that was last had from this address, if any was.
    generation: Cell<Option<u64>>,
    watch: RefCell<Option<AbortHandle>>,
    /// Goes up when the address changes: what the old one still says is not taken in.
    era: Cell<u64>,
    /// How long a call waits for news: a discovery that has fallen silent shows after that.
    wait: Duration,
    /// The module says when to call again after a failure.
    asked: bool,
}

impl Discovery {
    /// Hands the known list to the engine, and starts the watch where no one has to ask for it.
    pub fn start(
        address: SocketAddr,
        known: RawList,
        wire: &WireSettings,
        settings: &Settings,
        engine: Rc<Engine<Http>>,
    ) -> Rc<Self> {
        let longest = if settings.must_watch { MOST_WATCH } else { PUSHED_WATCH };
        let discovery = Rc::new(Self {
            address: Cell::new(address),
            names: RefCell::new(Names::new(wire.zones.clone())),
            generation: Cell::new(Some(known.generation)),
            watch: RefCell::default(),
            era: Cell::new(0),
            wait: Duration::try_from_secs_f64(settings.ask_within).unwrap_or(longest).min(longest),
            asked: settings.must_watch,
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
        if !settings.must_watch {
            discovery.watch(true);
        }
        discovery
    }

    /// Goes over to the discovery at `address`. Its versions are its own, so that the whole list
    /// is asked for at once; until it comes, the last one holds.
    pub fn move_to(self: &Rc<Self>, address: SocketAddr) {
        eprintln!("discovery: now at {address}");
        self.watch(false);
        self.address.set(address);
        self.generation.set(None);
        self.era.set(self.era.get() + 1);
        self.watch(true);
    }

    /// Begins a watch, if none is on, or ends it.
    pub fn watch(self: &Rc<Self>, on: bool) {
        let mut watch = self.watch.borrow_mut();
        if !on {
            watch.take().into_iter().for_each(|w| w.abort());
        } else if watch.is_none() {
            *watch = Some(tokio::task::spawn_local(self.clone().watch_loop()).abort_handle());
        }
    }

    /// Asks for the whole list once.
    pub fn fetch(self: &Rc<Self>) {
        let this = self.clone();
        tokio::task::spawn_local(async move {
            let era = this.era.get();
            let answer = this.call("/api/targets", PATIENCE, &mut None).await;
            if this.era.get() == era {
                this.take(answer);
            }
        });
    }

    /// One call after another: a gap between them would end the watch. Where lists are pushed,
    /// a call that failed is made again after a while; where they must be asked for, the module
    /// is told and says when.
    async fn watch_loop(self: Rc<Self>) {
        let mut peer = None;
        let mut backoff = BACKOFF[0];
        let patience = if self.asked { PATIENCE } else { PUSHED_PATIENCE };
        let mut failed = false;
        loop {
            // After a call that failed: what has been missed, at once.
            let wait = if failed { Duration::ZERO } else { self.wait };
            let answer = match self.generation.get() {
                Some(since) => {
                    let path = format!("/api/targets?since={since}&timeout_ms={}", wait.as_millis());
                    self.call(&path, wait + patience, &mut peer).await
                }
                None => self.call("/api/targets", patience, &mut peer).await,
            };
            let good = answer.is_ok();
            if !good && self.asked {
                // Over before the module is told: its next call begins a watch of its own.
                *self.watch.borrow_mut() = None;
                return self.take(answer);
            }
            self.take(answer);
            failed = !good;
            if good {
                backoff = BACKOFF[0];
            } else {
                tokio::time::sleep(backoff).await;
                backoff = (2 * backoff).min(BACKOFF[1]);
            }
        }
    }

    /// Takes in an answer; the last list is kept if there is none that makes sense.
    fn take(&self, answer: Result<RawList, CallError>) {
        match answer {
            Ok(list) => {
                self.generation.set(Some(list.generation));
                let listed = self.names.borrow_mut().list(list.instances, self.engine.clock());
                let news = if list.reset { News::Full(listed) } else { News::Changes(listed) };
                self.engine.news(news);
                self.names.borrow_mut().forget(|id| self.engine.knows(id));
            }
            Err(error) => {
                eprintln!("discovery: {error}");
                if self.asked {
                    self.engine.news(News::Refused);
                }
            }
        }
    }

    /// One call, on the connection kept from the last one if there is one.
    async fn call(&self, path: &str, wait: Duration, kept: &mut Option<Peer>) -> Result<RawList, CallError> {
        let called = tokio::time::timeout(wait, async {
            let mut peer = match kept.take().and_then(Peer::checked) {
                Some(peer) => peer,
                None => peer::connect(self.address.get(), PATIENCE).await.map_err(CallError::Connect)?,
            };
            let request = Request::get(path).header("host", self.address.get().to_string());
            let Ok(request) = request.body(Outgoing::default()) else {
                return Err(CallError::Status(0)); // a path of ours is always valid
            };
            let answer = peer.send(request).await.ok_or(CallError::Broken)?.map_err(|e| e.into_error())?;
            let (status, body) = (answer.status(), Limited::new(answer.into_body(), MOST_BYTES));
            let body = tokio::time::timeout(COMES_WITHIN, peer.drive(body.collect())).await;
            let body =
                body.map_err(|_| CallError::Late)?.ok_or(CallError::Broken)?.map_err(CallError::Body)?;
            if !status.is_success() {
                return Err(CallError::Status(status.as_u16()));
            }
            *kept = peer.checked();
            Ok(serde_json::from_slice(&body.to_bytes())?)
        });
        called.await.unwrap_or(Err(CallError::Late))
    }
}
