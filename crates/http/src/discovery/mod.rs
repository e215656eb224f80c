//! Watches the backend list of the discovery service.
//!
//! One task owns the calls. [`calls`] decides when they are made and which answers apply.

pub mod calls;
mod client;
pub mod schedule;

use crate::backend::HttpUpstream;
use crate::config::WireSettings;
use crate::connection::Connection;
use crate::listing::{BackendIds, RawList};
use calls::{Call, CallId, CallPlanner, CallReason, NextStep, Verdict};
use client::CallError;
use dewpier_operate::metrics::Metrics;
use gannetproxy::Settings;
use gannetproxy::engine::{BackendListUpdate, Engine, ListRequest};
use schedule::CallTiming;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Instant;

/// Number of failures in a row that are all logged. Of further ones only every 2^n-th is.
const MAX_FAILURES_LOGGED: u32 = 3;

/// A call that has ended.
struct EndedCall {
    call: Call,
    duration: Duration,
    result: Result<(RawList, Option<Connection>), CallError>,
}

/// The calls that are out.
#[derive(Default)]
struct RunningCalls {
    tasks: JoinSet<EndedCall>,
    handles: HashMap<CallId, AbortHandle>,
    /// A connection without a call, and its address.
    idle_connection: Option<(SocketAddr, Connection)>,
}

/// Keeps the backend list of the engine up to date.
pub struct Discovery {
    engine: Rc<Engine<HttpUpstream>>,
    ids: RefCell<BackendIds>,
    planner: RefCell<CallPlanner>,
    /// Notified when something else is requested.
    request_changed: Notify,
    started_at: Instant,
    /// When the service last returned a list.
    last_response_at: Cell<Instant>,
    metrics: Rc<Metrics>,
}

impl Discovery {
    /// Passes the known list to the engine and starts the watch, after a short random delay if the decision module has to
    /// request it. `seed` spreads the calls of many proxies.
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
        let timing = timing.with_max_wait(max_wait);
        // Without any known backend, the watch starts at once.
        let starts_at_once = !settings.must_watch || known.instances.is_empty();
        let mut planner = CallPlanner::new(address, known.generation, true, timing, seed);
        if !starts_at_once {
            planner.delay_first_call();
        }
        let discovery = Rc::new(Self {
            ids: RefCell::new(BackendIds::new(wire.zones.clone())),
            planner: RefCell::new(planner),
            request_changed: Notify::new(),
            started_at: Instant::now(),
            last_response_at: Cell::new(Instant::now()),
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

    /// Switches to the discovery service at `address` and requests its whole list. The last list stays in use until
    /// then, and so do answers of the previous service to calls that are out.
    pub fn change_address(&self, address: SocketAddr) {
        let changed = self.planner.borrow_mut().change_address(address, self.started_at.elapsed());
        tracing::info!(%address, changed, "configured");
        self.request_changed.notify_one();
    }

    /// Starts or stops the watch.
    pub fn set_watching(&self, on: bool) {
        self.planner.borrow_mut().set_watching(on);
        self.request_changed.notify_one();
    }

    /// Requests the whole list once.
    pub fn request_full_list(&self) {
        self.planner.borrow_mut().request_full_list();
        self.request_changed.notify_one();
    }

    /// Makes the calls that the planner asks for and applies their answers.
    async fn run(self: Rc<Self>) {
        let mut running = RunningCalls::default();
        loop {
            self.abort_obsolete_calls(&mut running);
            let step = self.planner.borrow_mut().next_step(self.started_at.elapsed());
            let wake_at = match step {
                NextStep::Start(call) => {
                    self.start_call(call, &mut running);
                    continue;
                }
                NextStep::WaitUntil(at) => Some(self.started_at + at),
                NextStep::WaitForEvent => None,
            };
            tokio::select! {
                () = self.request_changed.notified() => {}
                Some(ended) = running.tasks.join_next() => {
                    // An aborted call has no result.
                    if let Ok(ended) = ended {
                        self.end_call(ended, &mut running);
                    }
                }
                () = sleep_until(wake_at) => {}
            }
        }
    }

    fn start_call(&self, call: Call, running: &mut RunningCalls) {
        self.log_start(&call);
        let idle = running.idle_connection.take().filter(|(address, _)| *address == call.address);
        let started_at = Instant::now();
        let handle = running.tasks.spawn_local(async move {
            let result = client::make_call(&call, idle.map(|(_, connection)| connection)).await;
            EndedCall { call, duration: started_at.elapsed(), result }
        });
        running.handles.insert(call.id, handle);
    }

    fn abort_obsolete_calls(&self, running: &mut RunningCalls) {
        let planner = self.planner.borrow();
        running.handles.retain(|id, handle| {
            let is_pending = planner.is_pending(*id);
            if !is_pending {
                handle.abort();
                self.metrics.count_cancelled_discovery_call();
                tracing::info!(call = id.0, "call cancelled");
            }
            is_pending
        });
    }

    fn end_call(&self, ended: EndedCall, running: &mut RunningCalls) {
        let EndedCall { call, duration, result } = ended;
        running.handles.remove(&call.id);
        let now = self.started_at.elapsed();
        match result {
            Ok((list, connection)) => {
                running.idle_connection = connection.map(|connection| (call.address, connection));
                let failures = self.planner.borrow().failures();
                let verdict =
                    self.planner.borrow_mut().record_list(call.id, list.generation, list.reset, now);
                self.log_list(&call, duration, failures, &list, verdict);
                if matches!(verdict, Verdict::Apply | Verdict::ApplyChanges) {
                    self.apply(list);
                }
            }
            Err(error) => self.handle_error(&call, duration, &error, now),
        }
    }

    /// Records a failed call. The last list stays in use.
    fn handle_error(&self, call: &Call, duration: Duration, error: &CallError, now: Duration) {
        self.metrics.count_discovery_failure();
        let mut planner = self.planner.borrow_mut();
        if matches!(error, CallError::Status(400..500)) {
            planner.avoid_watch_for_full_list();
        }
        planner.record_failure(call.id, error.failure(call, duration), now);
        let failures = planner.failures();
        if failures <= MAX_FAILURES_LOGGED || failures.is_power_of_two() {
            tracing::warn!(call = call.id.0, ms = duration.as_millis(), failures, %error, "call failed");
        }
    }

    /// Logs the start of a call, unless it continues a watch that was answered.
    fn log_start(&self, call: &Call) {
        if call.reason == CallReason::Continuation && !call.is_full {
            return;
        }
        let (reason, since, wait_ms) = (call.reason, call.since, call.wait.as_millis());
        let pending = self.planner.borrow().pending_calls();
        let list_age_ms = self.last_response_at.get().elapsed().as_millis();
        tracing::info!(
            call = call.id.0,
            address = %call.address,
            ?reason,
            since,
            full = call.is_full,
            wait_ms,
            pending,
            list_age_ms,
            "call started"
        );
    }

    /// Logs the first list after failures, lists that change something, and lists that don't apply. A quiet watch logs
    /// nothing.
    fn log_list(&self, call: &Call, duration: Duration, failures: u32, list: &RawList, verdict: Verdict) {
        let (id, generation, ms) = (call.id.0, list.generation, duration.as_millis());
        if !matches!(verdict, Verdict::Apply | Verdict::ApplyChanges) {
            tracing::warn!(call = id, ms, generation, ?verdict, "list not applied");
            return;
        }
        if failures > 0 {
            let list_age_ms = self.last_response_at.get().elapsed().as_millis();
            tracing::info!(call = id, failures, list_age_ms, "answers again");
        }
        if !list.instances.is_empty() || call.is_full {
            let (entries, full) = (list.instances.len(), list.reset);
            let unavailable = list.instances.iter().filter(|entry| !entry.is_serving()).count();
            tracing::info!(call = id, ms, generation, full, entries, unavailable, "list applied");
        }
        self.last_response_at.set(Instant::now());
    }

    /// Passes a list to the engine.
    fn apply(&self, list: RawList) {
        let listed = self.ids.borrow_mut().convert_list(list.instances, self.engine.clock());
        let update = match list.reset {
            true => BackendListUpdate::Full(listed),
            false => BackendListUpdate::Changes(listed),
        };
        self.engine.update_list(update); // may request a list
        self.ids.borrow_mut().retain(|id| self.engine.has_backend(id));
    }
}

/// Returns at `at`, or never without a time.
async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
