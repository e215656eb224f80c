//! Runs a schedule of faults on a fleet of real processes on loopback sockets.

use crate::checks::Bounds;
use crate::planners::Planners;
use crate::process::{
    DewpierProcess, create_test_folder, inventory_csv, inventory_settings, replace_file, with_draining_nodes,
};
use crate::record::{Arrival, ClientRequest, HeldVerdict, ObservedDrain, Outage, Record, VerdictReading};
use crate::schedule::{self, Fault, RunSize, Schedule, Step};
use crate::stall_watch::StallWatch;
use dewpier_standins::backend::{Backend, PathFault};
use dewpier_standins::mesh::{self, Mesh};
use dewpier_standins::message::read_message;
use dewpier_standins::wait_for;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Settings of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Interval at which proxies send to each other.
    pub send_interval: Duration,
    /// Maximum age of the evidence for a verdict.
    pub max_evidence_age: Duration,
    /// Time without a response after which an attempt counts as silent.
    pub silent_after: Duration,
    /// Number of proxies that must agree on a verdict.
    pub quorum: usize,
    /// Number of places in the fleet without a process, behind those of the proxies; tests may use them.
    pub unused_places: usize,
    /// Whether each proxy persists its state in a snapshot and restores it after a restart.
    pub snapshots: bool,
    /// Number of planners that send the list to the proxies; with 0 each proxy watches the list itself.
    pub planners: usize,
    /// Whether planners relay the messages between proxies, in place of datagrams.
    pub relay_by_planners: bool,
    /// Whether proxies with planners watch a copy of the list that never changes; used to test the checkers.
    pub static_own_list: bool,
}

impl Default for Settings {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Self {
            send_interval: ms(100),
            max_evidence_age: ms(8000),
            silent_after: ms(500),
            quorum: 3,
            unused_places: 0,
            snapshots: false,
            planners: 0,
            relay_by_planners: false,
            static_own_list: false,
        }
    }
}

/// Response time of a healthy node; long compared to the timer error of a busy host.
const RESPONSE_TIME: Duration = Duration::from_millis(30);
/// Number of requests that a client sends at once, equal to the size of a subset so that each member gets one.
const CONCURRENT_REQUESTS: usize = 3;
/// Interval between two such groups of requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(1200);
/// Number of requests that each proxy first gets at a short interval. The typical latency of a class is known after
/// eight attempts, and one request in four is an order.
const LEARNING_REQUESTS: u64 = 36;
/// Interval between the first groups of requests.
const LEARNING_INTERVAL: Duration = Duration::from_millis(100);
/// Deadline of requests, as configured in the processes.
const REQUEST_DEADLINE: Duration = Duration::from_millis(2000);
/// Time that a client waits for a response.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(4000);
/// Interval at which the verdicts of a proxy are read.
const VERDICT_READ_INTERVAL: Duration = Duration::from_millis(150);
/// Log odds that one successful attempt subtracts at most, for the default rate of false verdicts.
const SUCCESS_LOG_ODDS: f64 = 0.69;
/// Log odds that a verdict requires, for the default rate of false verdicts.
const REQUIRED_LOG_ODDS: f64 = 11.29;
/// Timeout of reading verdicts; suspended processes do not answer.
const VERDICT_READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of all other operator calls.
const OPERATOR_CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Response time of a slow node.
const SLOW_RESPONSE_TIME: Duration = Duration::from_millis(400);
/// Response time of a hanging node; longer than any request waits.
const HANG_TIME: Duration = Duration::from_secs(60);
/// Requests sent this long before a process terminates may fail, because its idle connections close at the same time.
const REUSED_CONNECTION_RACE: Duration = Duration::from_millis(200);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Addresses of a proxy for requests and for operator calls; None while it does not run.
type ProxyAddresses = Arc<Mutex<Option<(SocketAddr, SocketAddr)>>>;

struct Proxy {
    process: Mutex<Option<DewpierProcess>>,
    addresses: ProxyAddresses,
    config_file: PathBuf,
    /// When the proxy had read a list, from the logs of all its processes.
    list_read_times: Mutex<Vec<Instant>>,
}

/// State of a run in progress.
struct RunState {
    record: Record,
    /// When the list with the drain was written, for each drain of the record.
    list_written_at: Vec<Instant>,
    /// Start of the run, from the start of the harness.
    run_offset: Duration,
    /// Number of lists that the proxy had read before, for each drain of the record.
    lists_read_before: Vec<usize>,
}

/// Key shared by all proxies of a fleet.
pub const FLEET_KEY: &[u8] = b"a secret of the whole fleet";

/// A running fleet; dropping it stops all processes.
pub struct FleetHarness {
    run_size: RunSize,
    settings: Settings,
    start: Instant,
    /// Mock servers behind the proxies.
    pub nodes: Vec<Backend>,
    /// Network that carries the datagrams between proxies.
    pub datagram_network: Mesh,
    inventory_file: PathBuf,
    planners: Option<Planners>,
    proxies: Vec<Proxy>,
    is_stopping: Arc<AtomicBool>,
    requests: Arc<Mutex<Vec<ClientRequest>>>,
    verdict_readings: Arc<Mutex<Vec<VerdictReading>>>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Drop for FleetHarness {
    fn drop(&mut self) {
        self.is_stopping.store(true, Ordering::SeqCst);
        self.threads.drain(..).for_each(|t| drop(t.join()));
    }
}

impl FleetHarness {
    /// Starts all processes, and waits until all proxies exchange datagrams and all nodes receive requests.
    pub fn start(seed: u64, size: RunSize, settings: Settings) -> Self {
        let nodes: Vec<Backend> =
            (0..size.nodes).map(|i| Backend::start(&format!("n{i}"), RESPONSE_TIME)).collect();
        let file = create_test_folder("stage").join("nodes.csv");
        let copy = file.with_file_name("copy.csv");
        [&file, &copy].iter().for_each(|file| replace_file(file, inventory_csv(&nodes).as_bytes()));
        let key = file.with_file_name("fleet.key");
        replace_file(&key, FLEET_KEY);
        let network = Mesh::start(size.proxies + settings.unused_places, seed);
        let planners =
            (settings.planners > 0).then(|| Planners::start(settings.planners, size.proxies, &file));
        let proxies: Vec<Proxy> = (0..size.proxies)
            .map(|proxy| {
                let config = create_test_folder("config").join("dewpier.toml");
                let list = match &planners {
                    Some(planners) => {
                        planners.proxy_settings(proxy)
                            + &inventory_settings(if settings.static_own_list { &copy } else { &file })
                    }
                    None => inventory_settings(&file),
                };
                let text = proxy_config(proxy, size, settings, &network, &list, [&key, &config]);
                replace_file(&config, text.as_bytes());
                let (addresses, list_read_times) = (ProxyAddresses::default(), Mutex::default());
                Proxy { process: Mutex::new(None), addresses, config_file: config, list_read_times }
            })
            .collect();
        let mut harness = Self {
            run_size: size,
            settings,
            start: Instant::now(),
            nodes,
            datagram_network: network,
            inventory_file: file,
            planners,
            proxies,
            is_stopping: Arc::default(),
            requests: Arc::default(),
            verdict_readings: Arc::default(),
            threads: Vec::new(),
        };
        (0..size.proxies).for_each(|p| harness.start_proxy(p));
        for proxy in 0..size.proxies {
            let addresses = harness.proxies[proxy].addresses.clone();
            let (stop_requests, requests, started) =
                (harness.is_stopping.clone(), harness.requests.clone(), harness.start);
            let (stop_reads, readings, proxy_addresses) =
                (harness.is_stopping.clone(), harness.verdict_readings.clone(), addresses.clone());
            harness.threads.push(std::thread::spawn(move || {
                send_requests(proxy, &addresses, &stop_requests, &requests, started)
            }));
            harness.threads.push(std::thread::spawn(move || {
                read_verdicts_periodically(proxy, &proxy_addresses, &stop_reads, &readings, started)
            }));
        }
        wait_for("datagrams between all proxies", || {
            (0..size.proxies)
                .all(|p| harness.read_metric(p, "partners_answering") == Some(size.proxies as u64 - 1))
        });
        wait_for("requests at all nodes", || harness.nodes.iter().all(|n| n.request_count() >= 10));
        wait_for("learned typical latencies", || {
            let requests = lock(&harness.requests);
            let answered =
                |proxy: usize| requests.iter().filter(|a| a.proxy == proxy && a.status.is_some()).count();
            (0..size.proxies).all(|proxy| answered(proxy) >= LEARNING_REQUESTS as usize)
        });
        harness
    }

    /// Returns the bounds that follow from the settings.
    pub fn bounds(&self) -> Bounds {
        let Settings { send_interval, max_evidence_age, silent_after, .. } = self.settings;
        Bounds {
            max_evidence_age,
            send_interval,
            silent_after,
            required_observers: self.settings.quorum,
            success_weight: SUCCESS_LOG_ODDS / (REQUIRED_LOG_ODDS / self.settings.quorum as f64),
            // A response counts as slow at four times the typical latency.
            min_detectable_delay: 3 * RESPONSE_TIME,
            // Time for eight orders; one request in four is an order.
            latency_learning_time: REQUEST_INTERVAL * 11,
            max_ejected: (0.3 * self.run_size.nodes as f64) as usize,
            request_deadline: REQUEST_DEADLINE,
            drain_grace: Duration::from_millis(500),
            timing_slack: Duration::from_millis(1500),
        }
    }

    /// Starts a proxy with its configuration file.
    fn start_proxy(&self, proxy: usize) {
        let state = &self.proxies[proxy];
        let command = if self.planners.is_some() { "forwarder" } else { "serve" };
        let process = DewpierProcess::start_from_config(command, &state.config_file, &self.inventory_file);
        let line = process.wait_for_log(0, "operators call at").1;
        let operator = line.rsplit(' ').next().and_then(|at| at.parse().ok());
        *lock(&state.addresses) = operator.map(|operator| (process.address, operator));
        *lock(&state.process) = Some(process);
    }

    /// Kills a proxy and restarts it; only its snapshot remains.
    pub fn restart(&self, proxy: usize) {
        self.kill(proxy);
        self.start_proxy(proxy);
    }

    /// Kills all proxies and restarts them at the same time.
    pub fn restart_all(&self) {
        (0..self.run_size.proxies).for_each(|proxy| self.kill(proxy));
        self.start_all();
    }

    /// Kills a proxy and restarts it with the given bytes as its snapshot.
    pub fn restart_with_snapshot(&self, proxy: usize, snapshot: &[u8]) {
        self.kill(proxy);
        replace_file(&self.snapshot_path(proxy), snapshot);
        self.start_proxy(proxy);
    }

    /// Lists these nodes as draining and all others as serving, and waits until every proxy has read the list.
    pub fn set_draining(&self, draining: &[usize]) {
        let lists_before: Vec<usize> =
            (0..self.run_size.proxies).map(|p| self.list_read_times(p).len()).collect();
        replace_file(
            &self.inventory_file,
            with_draining_nodes(&inventory_csv(&self.nodes), draining).as_bytes(),
        );
        wait_for("the new list at all proxies", || {
            lists_before
                .iter()
                .enumerate()
                .all(|(proxy, lists_before)| self.list_read_times(proxy).len() > *lists_before)
        });
    }

    fn start_all(&self) {
        std::thread::scope(|scope| {
            (0..self.run_size.proxies).for_each(|proxy| drop(scope.spawn(move || self.start_proxy(proxy))));
        });
    }

    /// Returns the path of a proxy's snapshot file.
    pub fn snapshot_path(&self, proxy: usize) -> PathBuf {
        self.proxies[proxy].config_file.with_file_name("known")
    }

    /// Returns the log lines of the current process that contain a text.
    pub fn log_lines_containing(&self, proxy: usize, text: &str) -> Vec<String> {
        let process = lock(&self.proxies[proxy].process);
        process.as_ref().map(|s| s.log_lines_containing(text)).unwrap_or_default()
    }

    /// Saves the times at which lists were read, before the log is dropped.
    fn store_list_times(&self, proxy: usize) {
        let state = &self.proxies[proxy];
        let lines =
            lock(&state.process).as_ref().map(|s| s.log_times(self.list_log_text())).unwrap_or_default();
        lock(&state.list_read_times).extend(lines);
    }

    /// Sends an operator call to a proxy. Returns None if it does not answer in time.
    pub fn call_operator(&self, proxy: usize, command: &str) -> Option<String> {
        let (_, operator) = (*lock(&self.proxies[proxy].addresses))?;
        call_operator(operator, command, OPERATOR_CALL_TIMEOUT)
    }

    /// Returns the verdicts of a proxy, or None if it does not answer.
    pub fn read_verdicts(&self, proxy: usize) -> Option<Vec<HeldVerdict>> {
        parse_verdicts(&self.call_operator(proxy, "verdicts-json")?)
    }

    /// Returns a metric of the fleet as seen by a proxy.
    pub fn read_metric(&self, proxy: usize, name: &str) -> Option<u64> {
        let vars = self.call_operator(proxy, "vars")?;
        vars.lines().find_map(|l| l.strip_prefix(&format!("edge_relay.fleet.{name}=")))?.parse().ok()
    }

    /// Sends a signal to a proxy, such as `-STOP`.
    pub fn send_signal(&self, proxy: usize, name: &str) {
        lock(&self.proxies[proxy].process).iter().for_each(|s| s.send_signal(name));
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Runs a schedule. Returns the observations, and the steps with their actual times; all faults have ended then.
    pub fn run_schedule(&self, schedule: &Schedule) -> (Record, Schedule) {
        let expected = (self.settings.planners, self.settings.relay_by_planners);
        assert_eq!(
            (schedule.planners, schedule.relay_by_planners),
            expected,
            "the schedule does not match the settings of the harness"
        );
        let watch = StallWatch::start();
        let (run_offset, run_start) = (self.now(), Instant::now());
        let mut run = RunState {
            record: Record::default(),
            list_written_at: Vec::new(),
            run_offset,
            lists_read_before: Vec::new(),
        };
        let mut executed = Schedule { steps: Vec::new(), ..schedule.clone() };
        let ms = |time: Duration| time.as_millis() as u64;
        // Each step begins and ends; ends come first where both are due.
        let mut pending: Vec<(u64, bool, usize)> = Vec::new();
        for (index, step) in schedule.steps.iter().enumerate() {
            pending.extend([(step.at_ms, true, index), (step.end_ms(), false, index)]);
        }
        pending.sort_unstable();
        let mut start_times = vec![Duration::ZERO; schedule.steps.len()];
        for (due_ms, begins, index) in pending {
            std::thread::sleep((Duration::from_millis(due_ms)).saturating_sub(run_start.elapsed()));
            let fault = &schedule.steps[index].fault;
            if begins {
                // The recorded interval includes the whole effect of the fault.
                start_times[index] = self.now() - run_offset;
                self.begin_fault(fault, &mut run);
            } else {
                self.end_fault(fault, &mut run);
                let duration_ms = ms(self.now() - run_offset - start_times[index]) + 1;
                executed.steps.push(Step {
                    at_ms: ms(start_times[index]),
                    duration_ms,
                    fault: fault.clone(),
                });
            }
        }
        let rest = Duration::from_millis(schedule.size.duration_ms).saturating_sub(run_start.elapsed());
        std::thread::sleep(rest);
        // By then every request has been answered or has timed out.
        std::thread::sleep(CLIENT_TIMEOUT);
        executed.steps.sort_by_key(|step| step.at_ms);
        self.collect_observations(&mut run);
        run.record.planner_disagreement = self.planners.as_ref().and_then(Planners::wait_for_agreement);
        run.record.longest_stall = watch.longest();
        (run.record, executed)
    }

    fn begin_fault(&self, fault: &Fault, run: &mut RunState) {
        let now = self.now() - run.run_offset;
        let record = &mut run.record;
        let outage =
            |proxy, from| Outage { proxy, started_at: from, ended_at: Duration::MAX, answers_pending: false };
        match fault {
            Fault::Node { node, fault: kind } => match kind {
                schedule::NodeFault::Hangs => self.nodes[*node].set_response_time(HANG_TIME),
                schedule::NodeFault::Slow => self.nodes[*node].set_response_time(SLOW_RESPONSE_TIME),
                schedule::NodeFault::Fails => self.nodes[*node].set_failing(true),
                schedule::NodeFault::OneInTen => self.nodes[*node].set_failure_interval(10),
                schedule::NodeFault::Gone => self.nodes[*node].kill(),
            },
            Fault::Path { proxy, node, fault: kind } => {
                self.nodes[*node].set_path_fault(&format!("p{proxy}"), Some(path_fault(*kind)));
            }
            Fault::Datagrams { from, to, lost_per_mille, duplicated_per_mille, max_delay_ms } => {
                let link_faults = mesh::LinkFaults {
                    cut: *lost_per_mille >= 1000,
                    lost_per_mille: *lost_per_mille,
                    duplicated_per_mille: *duplicated_per_mille,
                    max_delay: Duration::from_millis(*max_delay_ms),
                };
                self.datagram_network.set_faults(link_faults, |a, b| from.contains(&a) && to.contains(&b));
            }
            Fault::Suspended { proxy } => {
                record.outages.push(outage(*proxy, now));
                self.send_signal(*proxy, "-STOP");
            }
            Fault::Killed { proxy } => {
                record.outages.push(outage(*proxy, now));
                self.kill(*proxy);
            }
            Fault::AllKilled => {
                record.outages.extend((0..self.run_size.proxies).map(|proxy| outage(proxy, now)));
                (0..self.run_size.proxies).for_each(|proxy| self.kill(proxy));
            }
            Fault::Terminated { proxy } => {
                let from = now.saturating_sub(REUSED_CONNECTION_RACE);
                record.outages.push(Outage { answers_pending: true, ..outage(*proxy, from) });
                *lock(&self.proxies[*proxy].addresses) = None;
                self.send_signal(*proxy, "-TERM");
            }
            Fault::Drain { node } => {
                let text = with_draining_nodes(&inventory_csv(&self.nodes), &[*node]);
                for proxy in 0..self.run_size.proxies {
                    run.lists_read_before.push(self.list_read_times(proxy).len());
                    run.list_written_at.push(Instant::now());
                    let (notified_at, ended_at) = (Duration::MAX / 4, Duration::MAX);
                    record.drains.push(ObservedDrain { node: *node, proxy, notified_at, ended_at });
                }
                replace_file(&self.inventory_file, text.as_bytes());
            }
            Fault::Planner { planner, fault: kind } => {
                self.planners.iter().for_each(|p| p.begin_fault(*planner, *kind));
            }
            Fault::AllPlanners => self.planners.iter().for_each(Planners::kill_all),
            Fault::Streams { proxies, planners, to, responses_only } => {
                self.planners
                    .iter()
                    .for_each(|p| p.set_blocked(proxies, planners, to, !responses_only, true));
            }
        }
    }

    fn end_fault(&self, fault: &Fault, run: &mut RunState) {
        let (record, run_offset) = (&mut run.record, run.run_offset);
        match fault {
            Fault::Node { node, fault: kind } => match kind {
                schedule::NodeFault::Hangs | schedule::NodeFault::Slow => {
                    self.nodes[*node].set_response_time(RESPONSE_TIME)
                }
                schedule::NodeFault::Fails => self.nodes[*node].set_failing(false),
                schedule::NodeFault::OneInTen => self.nodes[*node].set_failure_interval(0),
                schedule::NodeFault::Gone => self.nodes[*node].restart(),
            },
            Fault::Path { proxy, node, .. } => self.nodes[*node].set_path_fault(&format!("p{proxy}"), None),
            Fault::Datagrams { from, to, .. } => {
                self.datagram_network
                    .set_faults(mesh::LinkFaults::default(), |a, b| from.contains(&a) && to.contains(&b));
            }
            Fault::Suspended { proxy } => self.send_signal(*proxy, "-CONT"),
            Fault::Killed { proxy } => self.start_proxy(*proxy),
            Fault::AllKilled => self.start_all(),
            Fault::Terminated { proxy } => {
                self.store_list_times(*proxy);
                if let Some(process) = lock(&self.proxies[*proxy].process).take() {
                    process.terminate();
                }
                self.start_proxy(*proxy);
            }
            Fault::Drain { .. } => {
                let now = self.now() - run_offset;
                record
                    .drains
                    .iter_mut()
                    .filter(|d| d.ended_at == Duration::MAX)
                    .for_each(|d| d.ended_at = now);
                replace_file(&self.inventory_file, inventory_csv(&self.nodes).as_bytes());
            }
            Fault::Planner { planner, fault: kind } => {
                self.planners.iter().for_each(|p| p.end_fault(*planner, *kind))
            }
            Fault::AllPlanners => self.planners.iter().for_each(Planners::start_all),
            Fault::Streams { proxies, planners, to, .. } => {
                self.planners.iter().for_each(|p| p.set_blocked(proxies, planners, to, false, false));
            }
        }
        let now = self.now() - run_offset;
        let is_affected = |d: &&mut Outage| match fault {
            Fault::Suspended { proxy } | Fault::Killed { proxy } | Fault::Terminated { proxy } => {
                d.proxy == *proxy
            }
            Fault::AllKilled => true,
            _ => false,
        };
        let open_outages = record.outages.iter_mut().filter(|d| d.ended_at == Duration::MAX);
        open_outages.filter(is_affected).for_each(|d| d.ended_at = now);
    }

    fn kill(&self, proxy: usize) {
        *lock(&self.proxies[proxy].addresses) = None;
        self.store_list_times(proxy);
        drop(lock(&self.proxies[proxy].process).take());
    }

    /// Returns when a proxy had read a list, in order.
    fn list_read_times(&self, proxy: usize) -> Vec<Instant> {
        let state = &self.proxies[proxy];
        let mut list_read_times = lock(&state.list_read_times).clone();
        list_read_times.extend(
            lock(&state.process).as_ref().map(|s| s.log_times(self.list_log_text())).unwrap_or_default(),
        );
        list_read_times
    }

    /// Text of the log line that a proxy writes when it has read the list itself.
    fn list_log_text(&self) -> &'static str {
        if self.planners.is_some() { "from its own watch" } else { "backends from" }
    }

    /// Adds the observations since the start of the run, with times relative to it.
    fn collect_observations(&self, run: &mut RunState) {
        let (record, run_offset) = (&mut run.record, run.run_offset);
        let time_in_run = |at: Instant| at.saturating_duration_since(self.start).saturating_sub(run_offset);
        let drains = record.drains.iter_mut().zip(&run.lists_read_before).zip(&run.list_written_at);
        for ((drain, lists_before), list_written_at) in drains {
            let read = match &self.planners {
                // A list binds a proxy once any planner or the proxy itself has read it.
                Some(planners) => {
                    let own = self.list_read_times(drain.proxy).into_iter().find(|at| at > list_written_at);
                    planners.first_list_read(*list_written_at).into_iter().chain(own).min()
                }
                None => self.list_read_times(drain.proxy).get(*lists_before).copied(),
            };
            drain.notified_at = read.map_or(drain.notified_at, time_in_run);
        }
        for (node, backend) in self.nodes.iter().enumerate() {
            for a in backend.arrivals() {
                let Some(request_id) = a.order_id else { continue };
                let proxy = request_id.strip_prefix('p').and_then(|o| o.split('-').next()?.parse().ok());
                let Some(proxy) = proxy else { continue };
                if a.received_at >= self.start + run_offset {
                    let (arrived_at, must_run_once) = (time_in_run(a.received_at), a.method == "POST");
                    record.arrivals.push(Arrival {
                        node,
                        arrived_at,
                        proxy,
                        request_id,
                        must_run_once,
                        is_faulty: a.is_faulty,
                    });
                }
            }
        }
        record.arrivals.sort_by_key(|a| a.arrived_at);
        let since_start = |time: Duration| time.checked_sub(run_offset);
        let requests = lock(&self.requests).clone().into_iter();
        record.requests.extend(requests.filter_map(|a| {
            Some(ClientRequest { sent_at: since_start(a.sent_at)?, ended_at: since_start(a.ended_at)?, ..a })
        }));
        let readings = lock(&self.verdict_readings).clone().into_iter();
        record.verdict_readings.extend(readings.filter_map(|l| {
            Some(VerdictReading {
                requested_at: since_start(l.requested_at)?,
                answered_at: since_start(l.answered_at)?,
                ..l
            })
        }));
    }
}

fn path_fault(kind: schedule::PathFault) -> PathFault {
    match kind {
        schedule::PathFault::RequestsHeld => PathFault::RequestsHeld,
        schedule::PathFault::ResponsesHeld => PathFault::ResponsesHeld,
        schedule::PathFault::ResetBeforeRequest => PathFault::ResetBeforeRequest,
        schedule::PathFault::ResetAfterRequest => PathFault::ResetAfterRequest,
        schedule::PathFault::SlowResponse => PathFault::SlowResponse(20),
    }
}

/// Formats the configuration of a proxy. `list` holds the settings of its list source; the files are the key and the
/// configuration itself.
fn proxy_config(
    proxy: usize,
    size: RunSize,
    settings: Settings,
    network: &Mesh,
    list: &str,
    [key, config]: [&Path; 2],
) -> String {
    let snapshot = config.with_file_name("known");
    let snapshot = match settings.snapshots {
        true => format!("snapshot_file = \"{}\"\n", snapshot.display()),
        false => String::new(),
    };
    let by_planners = settings.relay_by_planners;
    let peer = |to| match by_planners {
        true => format!("{{ name = \"proxy-{to}\" }}"),
        false => format!("{{ name = \"proxy-{to}\", address = \"{}\" }}", network.send_address(proxy, to)),
    };
    let carrier = match by_planners {
        true => "carrier = \"planners\"".into(),
        false => format!("listen = \"{}\"", network.listen_addresses[proxy]),
    };
    let peers: Vec<String> =
        (0..size.proxies + settings.unused_places).filter(|to| *to != proxy).map(peer).collect();
    let class = |name: &str, effect: &str, method: &str| {
        format!(
            "[[class]]\nname = \"{name}\"\neffect = \"{effect}\"\naim_ms = 600\ndeadline_ms = {}\nmatch = [{{ methods = [\"{method}\"] }}]\n",
            REQUEST_DEADLINE.as_millis()
        )
    };
    format!(
        "listen = \"127.0.0.1:0\"\noperator = \"127.0.0.1:0\"\n{list}[fleet]\nname = \"proxy-{proxy}\"\n{carrier}\nkey_file = \"{}\"\nevery_ms = {}\nstale_ms = {}\nquorum = {}\nsilent_after_ms = {}\n{snapshot}peers = [{}]\n[instances]\nnumber = {}\nme = {proxy}\n{}{}",
        key.display(),
        settings.send_interval.as_millis(),
        settings.max_evidence_age.as_millis(),
        settings.quorum,
        settings.silent_after.as_millis(),
        peers.join(", "),
        size.proxies,
        class("read", "safe", "GET"),
        class("order", "unsafe", "POST")
    )
}

/// Sends an operator call. Returns None if there is no answer in time.
fn call_operator(address: SocketAddr, command: &str, timeout: Duration) -> Option<String> {
    let mut response = String::new();
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(format!("{command}\n").as_bytes()).ok()?;
    stream.read_to_string(&mut response).ok()?;
    Some(response)
}

/// Sends groups of requests to a proxy periodically; one in four must run only once.
fn send_requests(
    proxy: usize,
    addresses: &ProxyAddresses,
    is_stopping: &AtomicBool,
    requests: &Mutex<Vec<ClientRequest>>,
    start: Instant,
) {
    let mut connections: Vec<Option<BufReader<TcpStream>>> = (0..CONCURRENT_REQUESTS).map(|_| None).collect();
    std::thread::sleep(REQUEST_INTERVAL / 12 * (proxy as u32 % 12));
    let (mut count, mut last_addresses) = (0u64, None);
    while !is_stopping.load(Ordering::SeqCst) {
        let next =
            Instant::now() + if count < LEARNING_REQUESTS { LEARNING_INTERVAL } else { REQUEST_INTERVAL };
        let current = *lock(addresses);
        if last_addresses != current {
            // A connection to a process that has ended may accept a request and never answer.
            connections.iter_mut().for_each(|stream| *stream = None);
            last_addresses = current;
        }
        let mut sent = Vec::new();
        for (i, stream) in connections.iter_mut().enumerate() {
            if stream.is_none() {
                *stream =
                    current.and_then(|(address, _)| TcpStream::connect(address).ok()).map(BufReader::new);
            }
            let Some(open) = stream else { continue };
            count += 1;
            let (request_id, method) =
                (format!("p{proxy}-{count}"), if count.is_multiple_of(4) { "POST" } else { "GET" });
            let text = format!(
                "{method} /r HTTP/1.1\r\nHost: shop\r\nX-Order: {request_id}\r\nContent-Length: 0\r\n\r\n"
            );
            let sent_at = start.elapsed();
            if open.get_mut().write_all(text.as_bytes()).is_ok() {
                sent.push((i, request_id, sent_at));
            } else {
                *stream = None; // the connection was closed while idle
            }
        }
        for (i, request_id, sent_at) in sent {
            let Some(mut stream) = connections[i].take() else { continue };
            let time_left =
                (sent_at + CLIENT_TIMEOUT).saturating_sub(start.elapsed()).max(Duration::from_millis(1));
            let _ = stream.get_ref().set_read_timeout(Some(time_left));
            let response = read_message(&mut stream);
            let status = response.as_ref().map(|a| a.status());
            let ended_at = start.elapsed();
            lock(requests).push(ClientRequest { proxy, request_id, sent_at, ended_at, status });
            let is_closing = response.as_ref().is_none_or(|a| a.header("connection") == Some("close"));
            connections[i] = (!is_closing).then_some(stream);
        }
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

/// Reads the verdicts of a proxy periodically.
fn read_verdicts_periodically(
    proxy: usize,
    addresses: &ProxyAddresses,
    is_stopping: &AtomicBool,
    readings: &Mutex<Vec<VerdictReading>>,
    start: Instant,
) {
    while !is_stopping.load(Ordering::SeqCst) {
        let operator = *lock(addresses);
        let requested_at = start.elapsed();
        let response =
            operator.and_then(|(_, address)| call_operator(address, "verdicts-json", VERDICT_READ_TIMEOUT));
        if let Some(verdicts) = response.and_then(|text| parse_verdicts(&text)) {
            lock(readings).push(VerdictReading {
                proxy,
                requested_at,
                answered_at: start.elapsed(),
                verdicts,
            });
        }
        std::thread::sleep(VERDICT_READ_INTERVAL);
    }
}

fn parse_verdicts(text: &str) -> Option<Vec<HeldVerdict>> {
    let all: serde_json::Value = serde_json::from_str(text).ok()?;
    let parse_verdict = |v: &serde_json::Value| {
        Some(HeldVerdict {
            node: v["node"].as_str()?.strip_prefix("pricing-")?.parse().ok()?,
            kind: v["kind"].as_str()?.into(),
            is_ejected: v["out"].as_bool()?,
            oldest_report_age: Duration::from_millis(v["oldest_ms"].as_u64()?),
        })
    };
    all.as_array()?.iter().map(parse_verdict).collect()
}
