//! Watches the backend list of the discovery service.
//!
//! One task makes one call at a time, so that no answer is older than one already applied. Changes of the
//! address or of what is requested take effect between calls or cancel the current call.

pub mod schedule;

use crate::backend::HttpUpstream;
use crate::body::RequestBody;
use crate::config::WireSettings;
use crate::connection::{self, Connection};
use crate::listing::{BackendIds, RawList};
use dewpier_operate::metrics::Metrics;
use gannetproxy::Settings;
use gannetproxy::engine::{BackendListUpdate, Engine, ListRequest};
use http_body_util::{BodyExt, Limited};
use hyper::Request;
use schedule::{Call, CallTiming, FailedCall, Rejection, Schedule};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Time within which the body of a list must arrive. A body that stalls must not delay the next call until
/// the timeout of the current one.
const BODY_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest duration of a call that the service rejected at once.
const MAX_IMMEDIATE_REJECTION: Duration = Duration::from_millis(100);
/// Shortest duration of a call that the service rejected after a wait in its queue.
const MIN_QUEUE_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest accepted list in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;

/// The path of the backend list.
const LIST: &str = "/api/targets";

#[derive(Debug, Error)]
enum CallError {
    #[error("the call timed out")]
    TimedOut,
    #[error("the connection was closed")]
    ConnectionClosed,
    #[error("cannot connect: {0}")]
    Connect(std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("unexpected status {0}")]
    Status(u16),
    #[error("cannot read the body: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("invalid list: {0}")]
    Json(#[from] serde_json::Error),
}

impl CallError {
    /// Returns how the service rejected a call that failed with this error after `duration`, if it did.
    fn rejection(&self, call: Call, duration: Duration) -> Option<Rejection> {
        match self {
            Self::Status(429 | 503 | 504) if duration <= MAX_IMMEDIATE_REJECTION => Some(Rejection::AtOnce),
            // A watch may also end after a wait because the service went down.
            Self::Status(429 | 503 | 504) if call.wait.is_zero() && duration >= MIN_QUEUE_TIMEOUT => {
                Some(Rejection::AfterWait)
            }
            _ => None,
        }
    }
}

/// What the watch requests next.
struct WatchState {
    address: SocketAddr,
    /// The version of the last list from this address, if any.
    generation: Option<u64>,
    /// Whether changes are watched.
    watching: bool,
    /// Whether the whole list is requested once.
    full_list: bool,
    /// Whether the full list needs the list endpoint, because a watch from version 0 doesn't return it.
    use_list_endpoint: bool,
}

impl WatchState {
    /// Returns the version for the next call, and whether its answer is the full list. A watch from version 0
    /// returns the full list and continues from there; a separate list call would double the load when all
    /// proxies restart.
    fn since(&self) -> (u64, bool) {
        match self.generation.filter(|_| !self.full_list) {
            Some(generation) => (generation, false),
            None => (0, true),
        }
    }
}

/// Keeps the backend list of the engine up to date.
pub struct Discovery {
    engine: Rc<Engine<HttpUpstream>>,
    ids: RefCell<BackendIds>,
    watch_state: RefCell<WatchState>,
    /// Notified when the watch state has changed and the current call is obsolete.
    state_changed: Notify,
    schedule: RefCell<Schedule>,
    /// When the service last returned a list.
    last_response_at: Cell<Instant>,
    /// Number of calls so far, which identifies a call in the log.
    calls: Cell<u64>,
    metrics: Rc<Metrics>,
}

impl Discovery {
    /// Passes the known list to the engine and starts the watch, unless the decision module has to request
    /// it. `seed` spreads the calls of many proxies.
    pub fn start(
        address: SocketAddr,
        known: RawList,
        wire: &WireSettings,
        settings: &Settings,
        seed: u64,
        engine: Rc<Engine<HttpUpstream>>,
        metrics: Rc<Metrics>,
    ) -> Rc<Self> {
        let timing = match settings.must_watch {
            true => CallTiming::SHARED_SERVICE.with_fleet_size(settings.instance_count),
            false => CallTiming::LOCAL_AGENT,
        };
        let max_wait = Duration::try_from_secs_f64(settings.list_request_deadline).unwrap_or(timing.wait);
        let discovery = Rc::new(Self {
            ids: RefCell::new(BackendIds::new(wire.zones.clone())),
            watch_state: RefCell::new(WatchState {
                address,
                generation: Some(known.generation),
                // Without any known backend, the watch starts at once.
                watching: !settings.must_watch || known.instances.is_empty(),
                full_list: false,
                use_list_endpoint: false,
            }),
            state_changed: Notify::new(),
            schedule: RefCell::new(Schedule::new(timing.with_max_wait(max_wait), seed)),
            last_response_at: Cell::new(Instant::now()),
            calls: Cell::new(0),
            metrics,
            engine,
        });
        let weak_discovery = Rc::downgrade(&discovery);
        discovery.engine.set_list_source(move |request| {
            let Some(discovery) = weak_discovery.upgrade() else {
                return;
            };
            match request {
                ListRequest::Watch(on) => discovery.set_watching(on),
                ListRequest::Fetch => discovery.request_full_list(),
            }
        });
        let listed = discovery.ids.borrow_mut().convert_list(known.instances, discovery.engine.clock());
        discovery.engine.update_list(BackendListUpdate::Remembered(listed));
        tokio::task::spawn_local(discovery.clone().run());
        discovery
    }

    /// Switches to the discovery service at `address`. Its versions are independent, so that the full list is
    /// requested at once. The last list stays in use until then, and pending answers of the previous service
    /// are dropped.
    pub fn change_address(&self, address: SocketAddr) {
        tracing::info!(%address, "discovery address changed");
        let mut state = self.watch_state.borrow_mut();
        *state = WatchState {
            address,
            generation: None,
            watching: true,
            full_list: false,
            use_list_endpoint: false,
        };
        self.schedule.borrow_mut().record_success();
        self.state_changed.notify_one();
    }

    /// Starts or stops the watch.
    pub fn set_watching(&self, on: bool) {
        let mut state = self.watch_state.borrow_mut();
        if std::mem::replace(&mut state.watching, on) != on {
            self.state_changed.notify_one();
        }
    }

    /// Requests the whole list once.
    pub fn request_full_list(&self) {
        self.watch_state.borrow_mut().full_list = true;
        self.state_changed.notify_one();
    }

    /// Makes one call after another, since a gap would interrupt the watch.
    async fn run(self: Rc<Self>) {
        let mut connection = None;
        loop {
            let Some((address, path, call)) = self.next_call() else {
                self.state_changed.notified().await;
                continue;
            };
            let call_started_at = Instant::now() + call.delay;
            self.calls.set(self.calls.get() + 1);
            tokio::select! {
                biased; // drops an answer that is obsolete
                () = self.state_changed.notified() => {
                    let age_ms = Instant::now().saturating_duration_since(call_started_at).as_millis();
                    self.metrics.count_cancelled_discovery_call();
                    tracing::info!(call = self.calls.get(), %path, age_ms, "discovery call cancelled");
                    connection = None;
                }
                response = call_after_delay(address, &path, call, &mut connection) => {
                    let duration = call_started_at.elapsed();
                    self.log_response(&path, duration, &response);
                    self.handle_response(call, duration, response);
                }
            }
        }
    }

    /// Returns the address, path and timing of the next call, if any.
    fn next_call(&self) -> Option<(SocketAddr, String, Call)> {
        let state = self.watch_state.borrow();
        let mut schedule = self.schedule.borrow_mut();
        if !state.watching && !state.full_list {
            return None;
        }
        let (since, is_full) = state.since();
        let call = if is_full { schedule.next_fetch() } else { schedule.next_watch() };
        let path = match is_full && state.use_list_endpoint {
            true => LIST.to_string(),
            false => format!("{LIST}?since={since}&timeout_ms={}", call.wait.as_millis()),
        };
        Some((state.address, path, call))
    }

    /// Logs a failed call, the first list after failures, and lists that change something. A quiet watch logs nothing.
    fn log_response(&self, path: &str, duration: Duration, response: &Result<RawList, CallError>) {
        let call = self.calls.get();
        let failures = self.schedule.borrow().failures();
        let duration_ms = duration.as_millis();
        let list_age_ms = self.last_response_at.get().elapsed().as_millis();
        match response {
            Ok(list) => {
                let generation = list.generation;
                if failures > 0 {
                    tracing::info!(
                        call,
                        path,
                        duration_ms,
                        failures,
                        generation,
                        list_age_ms,
                        "discovery answers again"
                    );
                }
                if !list.instances.is_empty() {
                    let (entries, full) = (list.instances.len(), list.reset);
                    let unavailable = list.instances.iter().filter(|entry| !entry.is_serving()).count();
                    tracing::info!(call, generation, full, entries, unavailable, "backend list received");
                }
                self.last_response_at.set(Instant::now());
            }
            Err(error) => {
                let failures = failures.saturating_add(1);
                tracing::warn!(call, %error, path, duration_ms, failures, list_age_ms, "discovery call failed");
            }
        }
    }

    /// Applies an answer. On an error the last list stays in use.
    fn handle_response(&self, call: Call, duration: Duration, response: Result<RawList, CallError>) {
        match response {
            Ok(list) => {
                self.schedule.borrow_mut().record_success();
                let mut state = self.watch_state.borrow_mut();
                let (_, is_full) = state.since();
                // Changes since version 0 may not be the whole list.
                if is_full && !list.reset {
                    state.use_list_endpoint = true;
                    return;
                }
                state.generation = Some(list.generation);
                state.full_list = false;
                drop(state); // the engine may request a list
                let listed = self.ids.borrow_mut().convert_list(list.instances, self.engine.clock());
                let update = if list.reset {
                    BackendListUpdate::Full(listed)
                } else {
                    BackendListUpdate::Changes(listed)
                };
                self.engine.update_list(update);
                self.ids.borrow_mut().retain(|id| self.engine.has_backend(id));
            }
            Err(error) => {
                if matches!(error, CallError::Status(400..500)) {
                    self.watch_state.borrow_mut().use_list_endpoint = true;
                }
                self.metrics.count_discovery_failure();
                let rejection = error.rejection(call, duration);
                self.schedule.borrow_mut().record_failure(FailedCall { duration, rejection });
            }
        }
    }
}

/// Waits for the delay and makes a call, on the previous connection if it is reusable.
async fn call_after_delay(
    address: SocketAddr,
    path: &str,
    call: Call,
    connection: &mut Option<Connection>,
) -> Result<RawList, CallError> {
    tokio::time::sleep(call.delay).await;
    let response = tokio::time::timeout(call.timeout, fetch_list(address, path, call.timeout, connection));
    response.await.unwrap_or(Err(CallError::TimedOut))
}

async fn fetch_list(
    address: SocketAddr,
    path: &str,
    connect_timeout: Duration,
    connection: &mut Option<Connection>,
) -> Result<RawList, CallError> {
    let mut connected = match connection.take().and_then(Connection::into_reusable) {
        Some(connection) => connection,
        None => connection::connect(address, connect_timeout).await.map_err(CallError::Connect)?,
    };
    let request = Request::get(path).header("host", address.to_string());
    let Ok(request) = request.body(RequestBody::default()) else {
        return Err(CallError::Status(0)); // not reached, as the path is always valid
    };
    let response = connected
        .send(request)
        .await
        .ok_or(CallError::ConnectionClosed)?
        .map_err(|error| error.into_error())?;
    let (status, body) = (response.status(), Limited::new(response.into_body(), MAX_LIST_BYTES));
    let body = tokio::time::timeout(BODY_TIMEOUT, connected.drive(body.collect())).await;
    let body = body
        .map_err(|_| CallError::TimedOut)?
        .ok_or(CallError::ConnectionClosed)?
        .map_err(CallError::Body)?;
    if !status.is_success() {
        return Err(CallError::Status(status.as_u16()));
    }
    *connection = connected.into_reusable();
    Ok(serde_json::from_slice(&body.to_bytes())?)
}
