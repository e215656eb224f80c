//! A fleet of real processes on loopback sockets, played through a schedule.

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

/// What all processes are set to.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How often proxies write to each other.
    pub send_interval: Duration,
    /// No verdict acts on what was seen longer ago.
    pub max_evidence_age: Duration,
    /// After which an attempt without an answer is silent.
    pub silent_after: Duration,
    /// Proxies that have to agree.
    pub quorum: usize,
    /// Places in the fleet that no process of the program takes: a test may, behind those of all proxies.
    pub unused_places: usize,
    /// Each process keeps what it knows for the one that comes after it.
    pub snapshots: bool,
    /// Planners that tell the proxies what is listed; without them each watches the list itself.
    pub planners: usize,
    /// They carry what proxies say to each other; without it datagrams do.
    pub relay_by_planners: bool,
    /// What proxies watch themselves beside planners is a copy of the list that nobody changes: for tests of the checkers.
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

/// What an answer takes: long beside what a busy machine makes of a timer.
const RESPONSE_TIME: Duration = Duration::from_millis(30);
/// Requests that a client sends at once: as many as a subset has members, so that each of them is met soon.
const CONCURRENT_REQUESTS: usize = 3;
/// How often it does.
const REQUEST_INTERVAL: Duration = Duration::from_millis(1200);
/// Requests that each proxy gets first, without much of a pause: what is usual is known after eight of a class, and one in
/// four is an order. Before that nothing is called slow.
const LEARNING_REQUESTS: u64 = 36;
const LEARNING_INTERVAL: Duration = Duration::from_millis(100);
/// In which requests are to be answered, as the processes are told.
const REQUEST_DEADLINE: Duration = Duration::from_millis(2000);
/// How long a client waits for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(4000);
/// How often what a proxy holds is looked at.
const VERDICT_READ_INTERVAL: Duration = Duration::from_millis(150);
/// What an attempt that went well takes off the odds at most, and the odds that a verdict needs, as logarithms: docs/design/verdicts.md
/// has both, for the default rate of false verdicts.
const SUCCESS_LOG_ODDS: f64 = 0.69;
const REQUIRED_LOG_ODDS: f64 = 11.29;
/// How long a look waits for what a proxy says: one that stands still says nothing.
const VERDICT_READ_TIMEOUT: Duration = Duration::from_secs(1);
/// How long anybody else does: long beside what a busy machine takes.
const OPERATOR_CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// A node that is slow takes so long.
const SLOW_RESPONSE_TIME: Duration = Duration::from_millis(400);
/// Longer than any request waits.
const HANG_TIME: Duration = Duration::from_secs(60);
/// A kept connection may be closed while a request is on its way: what was sent so shortly before a process was ended
/// may find nobody.
const REUSED_CONNECTION_RACE: Duration = Duration::from_millis(200);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Where a process serves, and where operators call it; None while it does not run.
type ProxyAddresses = Arc<Mutex<Option<(SocketAddr, SocketAddr)>>>;

struct Proxy {
    process: Mutex<Option<DewpierProcess>>,
    addresses: ProxyAddresses,
    config_file: PathBuf,
    /// When it had read a list: each line that says so, of each of its processes.
    list_read_times: Mutex<Vec<Instant>>,
}

/// What was seen of a play so far.
struct RunState {
    record: Record,
    /// When the list was written that says so, for each drain of the record.
    written: Vec<Instant>,
    /// When it began, on the stage's clock.
    offset: Duration,
    /// For each drain of the record, how many lists its proxy had read before.
    read_before: Vec<usize>,
}

/// What all proxies of a fleet share.
pub const FLEET_KEY: &[u8] = b"a secret of the whole fleet";

/// The fleet, for as long as it is kept.
pub struct FleetHarness {
    run_size: RunSize,
    settings: Settings,
    start: Instant,
    /// The stand-ins.
    pub nodes: Vec<Backend>,
    /// What carries datagrams.
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
    /// Starts all processes, and waits until each hears all others and traffic is at all nodes.
    pub fn start(seed: u64, size: RunSize, settings: Settings) -> Self {
        let nodes: Vec<Backend> =
            (0..size.nodes).map(|i| Backend::start(&format!("n{i}"), RESPONSE_TIME)).collect();
        let file = create_test_folder("stage").join("nodes.csv");
        let copy = file.with_file_name("copy.csv");
        [&file, &copy].iter().for_each(|file| replace_file(file, inventory_csv(&nodes).as_bytes()));
        let key = file.with_file_name("fleet.key");
        replace_file(&key, FLEET_KEY);
        let mesh = Mesh::start(size.proxies + settings.unused_places, seed);
        let planners =
            (settings.planners > 0).then(|| Planners::start(settings.planners, size.proxies, &file));
        let proxies: Vec<Proxy> = (0..size.proxies)
            .map(|me| {
                let config = create_test_folder("config").join("dewpier.toml");
                let list = match &planners {
                    Some(planners) => {
                        planners.proxy_settings(me)
                            + &inventory_settings(if settings.static_own_list { &copy } else { &file })
                    }
                    None => inventory_settings(&file),
                };
                let text = proxy_config(me, size, settings, &mesh, &list, [&key, &config]);
                replace_file(&config, text.as_bytes());
                let (places, lists) = (ProxyAddresses::default(), Mutex::default());
                Proxy {
                    process: Mutex::new(None),
                    addresses: places,
                    config_file: config,
                    list_read_times: lists,
                }
            })
            .collect();
        let mut stage = Self {
            run_size: size,
            settings,
            start: Instant::now(),
            nodes,
            datagram_network: mesh,
            inventory_file: file,
            planners,
            proxies,
            is_stopping: Arc::default(),
            requests: Arc::default(),
            verdict_readings: Arc::default(),
            threads: Vec::new(),
        };
        (0..size.proxies).for_each(|p| stage.start_proxy(p));
        for number in 0..size.proxies {
            let places = stage.proxies[number].addresses.clone();
            let (over, asked, from) = (stage.is_stopping.clone(), stage.requests.clone(), stage.start);
            let (also, looks, known) =
                (stage.is_stopping.clone(), stage.verdict_readings.clone(), places.clone());
            stage
                .threads
                .push(std::thread::spawn(move || send_requests(number, &places, &over, &asked, from)));
            stage.threads.push(std::thread::spawn(move || {
                read_verdicts_periodically(number, &known, &also, &looks, from)
            }));
        }
        wait_for("talk of all with all", || {
            (0..size.proxies)
                .all(|p| stage.read_metric(p, "partners_answering") == Some(size.proxies as u64 - 1))
        });
        wait_for("traffic at all nodes", || stage.nodes.iter().all(|n| n.request_count() >= 10));
        wait_for("what is usual to be known", || {
            let asked = lock(&stage.requests);
            let of = |proxy: usize| asked.iter().filter(|a| a.proxy == proxy && a.status.is_some()).count();
            (0..size.proxies).all(|proxy| of(proxy) >= LEARNING_REQUESTS as usize)
        });
        stage
    }

    /// The bounds that these settings promise.
    pub fn bounds(&self) -> Bounds {
        let Settings { send_interval: every, max_evidence_age: stale, silent_after: silent, .. } =
            self.settings;
        Bounds {
            max_evidence_age: stale,
            send_interval: every,
            silent_after: silent,
            required_observers: self.settings.quorum,
            success_weight: SUCCESS_LOG_ODDS / (REQUIRED_LOG_ODDS / self.settings.quorum as f64),
            // Four times what an answer takes is slow.
            min_detectable_delay: 3 * RESPONSE_TIME,
            // Eight orders, one in four requests.
            latency_learning_time: REQUEST_INTERVAL * 11,
            max_ejected: (0.3 * self.run_size.nodes as f64) as usize,
            request_deadline: REQUEST_DEADLINE,
            drain_grace: Duration::from_millis(500),
            timing_slack: Duration::from_millis(1500),
        }
    }

    /// Starts a process by its configuration.
    fn start_proxy(&self, proxy: usize) {
        let known = &self.proxies[proxy];
        let command = if self.planners.is_some() { "forwarder" } else { "serve" };
        let served = DewpierProcess::start_from_config(command, &known.config_file, &self.inventory_file);
        let line = served.wait_for_log(0, "operators call at").1;
        let operator = line.rsplit(' ').next().and_then(|at| at.parse().ok());
        *lock(&known.addresses) = operator.map(|operator| (served.address, operator));
        *lock(&known.process) = Some(served);
    }

    /// Kills a process and starts it anew, with nothing but what it kept.
    pub fn restart(&self, proxy: usize) {
        self.kill(proxy);
        self.start_proxy(proxy);
    }

    /// Kills all processes and starts them anew at once.
    pub fn restart_all(&self) {
        (0..self.run_size.proxies).for_each(|proxy| self.kill(proxy));
        self.start_all();
    }

    /// Kills a process and starts it anew with these bytes for what it kept.
    pub fn restart_with_snapshot(&self, proxy: usize, kept: &[u8]) {
        self.kill(proxy);
        replace_file(&self.snapshot_path(proxy), kept);
        self.start_proxy(proxy);
    }

    /// The list says from now on that these drain, and all others serve; every proxy has read that.
    pub fn set_draining(&self, draining: &[usize]) {
        let before: Vec<usize> = (0..self.run_size.proxies).map(|p| self.list_read_times(p).len()).collect();
        replace_file(
            &self.inventory_file,
            with_draining_nodes(&inventory_csv(&self.nodes), draining).as_bytes(),
        );
        wait_for("all to read the list", || {
            before.iter().enumerate().all(|(proxy, before)| self.list_read_times(proxy).len() > *before)
        });
    }

    fn start_all(&self) {
        std::thread::scope(|scope| {
            (0..self.run_size.proxies).for_each(|proxy| drop(scope.spawn(move || self.start_proxy(proxy))));
        });
    }

    /// Where a process keeps what it knows.
    pub fn snapshot_path(&self, proxy: usize) -> PathBuf {
        self.proxies[proxy].config_file.with_file_name("known")
    }

    /// Lines of the log of the process that runs now.
    pub fn log_lines_containing(&self, proxy: usize, what: &str) -> Vec<String> {
        let served = lock(&self.proxies[proxy].process);
        served.as_ref().map(|s| s.log_lines_containing(what)).unwrap_or_default()
    }

    /// Keeps what its log says of lists, before the log goes.
    fn store_list_times(&self, proxy: usize) {
        let known = &self.proxies[proxy];
        let lines =
            lock(&known.process).as_ref().map(|s| s.log_times(self.list_log_text())).unwrap_or_default();
        lock(&known.list_read_times).extend(lines);
    }

    /// What a proxy answers to an operator's call. None where it does not, in time.
    pub fn call_operator(&self, proxy: usize, what: &str) -> Option<String> {
        let (_, operator) = (*lock(&self.proxies[proxy].addresses))?;
        call_operator(operator, what, OPERATOR_CALL_TIMEOUT)
    }

    /// What a proxy holds. None where it does not say.
    pub fn read_verdicts(&self, proxy: usize) -> Option<Vec<HeldVerdict>> {
        parse_verdicts(&self.call_operator(proxy, "verdicts-json")?)
    }

    /// A figure of a proxy's fleet.
    pub fn read_metric(&self, proxy: usize, name: &str) -> Option<u64> {
        let vars = self.call_operator(proxy, "vars")?;
        vars.lines().find_map(|l| l.strip_prefix(&format!("edge_relay.fleet.{name}=")))?.parse().ok()
    }

    /// Sends a process a signal.
    pub fn send_signal(&self, proxy: usize, name: &str) {
        lock(&self.proxies[proxy].process).iter().for_each(|s| s.send_signal(name));
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Plays a schedule and tells what was seen, with the steps as they were played. All is well again at its end.
    pub fn run_schedule(&self, schedule: &Schedule) -> (Record, Schedule) {
        let of = (self.settings.planners, self.settings.relay_by_planners);
        assert_eq!((schedule.planners, schedule.relay_by_planners), of, "a stage for other schedules");
        let watch = StallWatch::start();
        let (offset, since) = (self.now(), Instant::now());
        let mut play =
            RunState { record: Record::default(), written: Vec::new(), offset, read_before: Vec::new() };
        let mut played = Schedule { steps: Vec::new(), ..schedule.clone() };
        let ms = |at: Duration| at.as_millis() as u64;
        // Each begins and each ends; ends first where both are due.
        let mut due: Vec<(u64, bool, usize)> = Vec::new();
        for (i, step) in schedule.steps.iter().enumerate() {
            due.extend([(step.at_ms, true, i), (step.end_ms(), false, i)]);
        }
        due.sort_unstable();
        let mut began = vec![Duration::ZERO; schedule.steps.len()];
        for (at, begins, i) in due {
            std::thread::sleep((Duration::from_millis(at)).saturating_sub(since.elapsed()));
            let fault = &schedule.steps[i].fault;
            if begins {
                // What it does is seen from before it, and until after it.
                began[i] = self.now() - offset;
                self.begin_fault(fault, &mut play);
            } else {
                self.end_fault(fault, &mut play);
                let for_ms = ms(self.now() - offset - began[i]) + 1;
                played.steps.push(Step { at_ms: ms(began[i]), duration_ms: for_ms, fault: fault.clone() });
            }
        }
        let rest = Duration::from_millis(schedule.size.duration_ms).saturating_sub(since.elapsed());
        std::thread::sleep(rest);
        // Whatever was asked has an answer by then, or none in time.
        std::thread::sleep(CLIENT_TIMEOUT);
        played.steps.sort_by_key(|step| step.at_ms);
        self.collect_observations(&mut play);
        play.record.planner_disagreement = self.planners.as_ref().and_then(Planners::wait_for_agreement);
        play.record.longest_stall = watch.longest();
        (play.record, played)
    }

    fn begin_fault(&self, fault: &Fault, play: &mut RunState) {
        let now = self.now() - play.offset;
        let record = &mut play.record;
        let disturbed =
            |proxy, from| Outage { proxy, started_at: from, ended_at: Duration::MAX, answers_pending: false };
        match fault {
            Fault::Node { node, fault: does } => match does {
                schedule::NodeFault::Hangs => self.nodes[*node].set_response_time(HANG_TIME),
                schedule::NodeFault::Slow => self.nodes[*node].set_response_time(SLOW_RESPONSE_TIME),
                schedule::NodeFault::Fails => self.nodes[*node].set_failing(true),
                schedule::NodeFault::OneInTen => self.nodes[*node].set_failure_interval(10),
                schedule::NodeFault::Gone => self.nodes[*node].kill(),
            },
            Fault::Path { proxy, node, fault: does } => {
                self.nodes[*node].set_path_fault(&format!("p{proxy}"), Some(path_fault(*does)));
            }
            Fault::Datagrams {
                from,
                to,
                lost_per_mille: lost,
                duplicated_per_mille: doubled,
                max_delay_ms: delay_ms,
            } => {
                let way = mesh::LinkFaults {
                    cut: *lost >= 1000,
                    lost_per_mille: *lost,
                    duplicated_per_mille: *doubled,
                    max_delay: Duration::from_millis(*delay_ms),
                };
                self.datagram_network.set_faults(way, |a, b| from.contains(&a) && to.contains(&b));
            }
            Fault::Suspended { proxy } => {
                record.outages.push(disturbed(*proxy, now));
                self.send_signal(*proxy, "-STOP");
            }
            Fault::Killed { proxy } => {
                record.outages.push(disturbed(*proxy, now));
                self.kill(*proxy);
            }
            Fault::AllKilled => {
                record.outages.extend((0..self.run_size.proxies).map(|proxy| disturbed(proxy, now)));
                (0..self.run_size.proxies).for_each(|proxy| self.kill(proxy));
            }
            Fault::Terminated { proxy } => {
                let from = now.saturating_sub(REUSED_CONNECTION_RACE);
                record.outages.push(Outage { answers_pending: true, ..disturbed(*proxy, from) });
                *lock(&self.proxies[*proxy].addresses) = None;
                self.send_signal(*proxy, "-TERM");
            }
            Fault::Drain { node } => {
                let text = with_draining_nodes(&inventory_csv(&self.nodes), &[*node]);
                for proxy in 0..self.run_size.proxies {
                    play.read_before.push(self.list_read_times(proxy).len());
                    play.written.push(Instant::now());
                    let (told, until) = (Duration::MAX / 4, Duration::MAX);
                    record.drains.push(ObservedDrain {
                        node: *node,
                        proxy,
                        notified_at: told,
                        ended_at: until,
                    });
                }
                replace_file(&self.inventory_file, text.as_bytes());
            }
            Fault::Planner { planner, fault: does } => {
                self.planners.iter().for_each(|p| p.begin_fault(*planner, *does));
            }
            Fault::AllPlanners => self.planners.iter().for_each(Planners::kill_all),
            Fault::Streams { proxies, planners, to, responses_only: answers } => {
                self.planners.iter().for_each(|p| p.set_blocked(proxies, planners, to, !answers, true));
            }
        }
    }

    fn end_fault(&self, fault: &Fault, play: &mut RunState) {
        let (record, offset) = (&mut play.record, play.offset);
        match fault {
            Fault::Node { node, fault: does } => match does {
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
                if let Some(served) = lock(&self.proxies[*proxy].process).take() {
                    served.terminate();
                }
                self.start_proxy(*proxy);
            }
            Fault::Drain { .. } => {
                let now = self.now() - offset;
                record
                    .drains
                    .iter_mut()
                    .filter(|d| d.ended_at == Duration::MAX)
                    .for_each(|d| d.ended_at = now);
                replace_file(&self.inventory_file, inventory_csv(&self.nodes).as_bytes());
            }
            Fault::Planner { planner, fault: does } => {
                self.planners.iter().for_each(|p| p.end_fault(*planner, *does))
            }
            Fault::AllPlanners => self.planners.iter().for_each(Planners::start_all),
            Fault::Streams { proxies, planners, to, .. } => {
                self.planners.iter().for_each(|p| p.set_blocked(proxies, planners, to, false, false));
            }
        }
        let now = self.now() - offset;
        let over = |d: &&mut Outage| match fault {
            Fault::Suspended { proxy } | Fault::Killed { proxy } | Fault::Terminated { proxy } => {
                d.proxy == *proxy
            }
            Fault::AllKilled => true,
            _ => false,
        };
        let open = record.outages.iter_mut().filter(|d| d.ended_at == Duration::MAX);
        open.filter(over).for_each(|d| d.ended_at = now);
    }

    fn kill(&self, proxy: usize) {
        *lock(&self.proxies[proxy].addresses) = None;
        self.store_list_times(proxy);
        drop(lock(&self.proxies[proxy].process).take());
    }

    /// When a proxy had read a list, in order.
    fn list_read_times(&self, proxy: usize) -> Vec<Instant> {
        let known = &self.proxies[proxy];
        let mut lists = lock(&known.list_read_times).clone();
        lists.extend(
            lock(&known.process).as_ref().map(|s| s.log_times(self.list_log_text())).unwrap_or_default(),
        );
        lists
    }

    /// What a log says where a proxy has read the list itself.
    fn list_log_text(&self) -> &'static str {
        if self.planners.is_some() { "from its own watch" } else { "backends from" }
    }

    /// Adds what was seen since then, on its clock.
    fn collect_observations(&self, play: &mut RunState) {
        let (record, offset) = (&mut play.record, play.offset);
        let since = |at: Instant| at.saturating_duration_since(self.start).saturating_sub(offset);
        let drains = record.drains.iter_mut().zip(&play.read_before).zip(&play.written);
        for ((drain, before), written) in drains {
            let read = match &self.planners {
                // What any planner has read binds all, and so does what a proxy has read itself.
                Some(planners) => {
                    let own = self.list_read_times(drain.proxy).into_iter().find(|at| at > written);
                    planners.first_list_read(*written).into_iter().chain(own).min()
                }
                None => self.list_read_times(drain.proxy).get(*before).copied(),
            };
            drain.notified_at = read.map_or(drain.notified_at, since);
        }
        for (node, backend) in self.nodes.iter().enumerate() {
            for a in backend.arrivals() {
                let Some(order) = a.order_id else { continue };
                let proxy = order.strip_prefix('p').and_then(|o| o.split('-').next()?.parse().ok());
                let Some(proxy) = proxy else { continue };
                if a.received_at >= self.start + offset {
                    let (at, once) = (since(a.received_at), a.method == "POST");
                    record.arrivals.push(Arrival {
                        node,
                        arrived_at: at,
                        proxy,
                        request_id: order,
                        must_run_once: once,
                        is_faulty: a.is_faulty,
                    });
                }
            }
        }
        record.arrivals.sort_by_key(|a| a.arrived_at);
        let later = |at: Duration| at.checked_sub(offset);
        let asked = lock(&self.requests).clone().into_iter();
        record.requests.extend(asked.filter_map(|a| {
            Some(ClientRequest { sent_at: later(a.sent_at)?, ended_at: later(a.ended_at)?, ..a })
        }));
        let looks = lock(&self.verdict_readings).clone().into_iter();
        record.verdict_readings.extend(looks.filter_map(|l| {
            Some(VerdictReading {
                requested_at: later(l.requested_at)?,
                answered_at: later(l.answered_at)?,
                ..l
            })
        }));
    }
}

fn path_fault(does: schedule::PathFault) -> PathFault {
    match does {
        schedule::PathFault::RequestsHeld => PathFault::RequestsHeld,
        schedule::PathFault::ResponsesHeld => PathFault::ResponsesHeld,
        schedule::PathFault::ResetBeforeRequest => PathFault::ResetBeforeRequest,
        schedule::PathFault::ResetAfterRequest => PathFault::ResetAfterRequest,
        schedule::PathFault::SlowResponse => PathFault::SlowResponse(20),
    }
}

/// The configuration of a proxy that lies in the last of these files; the key is in the first one. `list` says where
/// its list comes from.
fn proxy_config(
    me: usize,
    size: RunSize,
    settings: Settings,
    mesh: &Mesh,
    list: &str,
    [key, config]: [&Path; 2],
) -> String {
    let kept = config.with_file_name("known");
    let kept = match settings.snapshots {
        true => format!("snapshot_file = \"{}\"\n", kept.display()),
        false => String::new(),
    };
    let by_planners = settings.relay_by_planners;
    let peer = |to| match by_planners {
        true => format!("{{ name = \"proxy-{to}\" }}"),
        false => format!("{{ name = \"proxy-{to}\", address = \"{}\" }}", mesh.send_address(me, to)),
    };
    let carrier = match by_planners {
        true => "carrier = \"planners\"".into(),
        false => format!("listen = \"{}\"", mesh.listen_addresses[me]),
    };
    let peers: Vec<String> =
        (0..size.proxies + settings.unused_places).filter(|to| *to != me).map(peer).collect();
    let class = |name: &str, effect: &str, method: &str| {
        format!(
            "[[class]]\nname = \"{name}\"\neffect = \"{effect}\"\naim_ms = 600\ndeadline_ms = {}\nmatch = [{{ methods = [\"{method}\"] }}]\n",
            REQUEST_DEADLINE.as_millis()
        )
    };
    format!(
        "listen = \"127.0.0.1:0\"\noperator = \"127.0.0.1:0\"\n{list}[fleet]\nname = \"proxy-{me}\"\n{carrier}\nkey_file = \"{}\"\nevery_ms = {}\nstale_ms = {}\nquorum = {}\nsilent_after_ms = {}\n{kept}peers = [{}]\n[instances]\nnumber = {}\nme = {me}\n{}{}",
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

/// Asks an operator's call. None where nobody answers in time.
fn call_operator(at: SocketAddr, what: &str, within: Duration) -> Option<String> {
    let mut told = String::new();
    let mut stream = TcpStream::connect(at).ok()?;
    stream.set_read_timeout(Some(within)).ok()?;
    stream.write_all(format!("{what}\n").as_bytes()).ok()?;
    stream.read_to_string(&mut told).ok()?;
    Some(told)
}

/// A few requests at once at a proxy, again and again; each fourth is one that must not run twice.
fn send_requests(
    number: usize,
    places: &ProxyAddresses,
    over: &AtomicBool,
    asked: &Mutex<Vec<ClientRequest>>,
    start: Instant,
) {
    let mut kept: Vec<Option<BufReader<TcpStream>>> = (0..CONCURRENT_REQUESTS).map(|_| None).collect();
    std::thread::sleep(REQUEST_INTERVAL / 12 * (number as u32 % 12));
    let (mut count, mut last) = (0u64, None);
    while !over.load(Ordering::SeqCst) {
        let next =
            Instant::now() + if count < LEARNING_REQUESTS { LEARNING_INTERVAL } else { REQUEST_INTERVAL };
        let at = *lock(places);
        if last != at {
            // A connection to a process that is no more takes a request and says nothing.
            kept.iter_mut().for_each(|stream| *stream = None);
            last = at;
        }
        let mut sent = Vec::new();
        for (i, stream) in kept.iter_mut().enumerate() {
            if stream.is_none() {
                *stream = at.and_then(|(at, _)| TcpStream::connect(at).ok()).map(BufReader::new);
            }
            let Some(open) = stream else { continue };
            count += 1;
            let (order, method) =
                (format!("p{number}-{count}"), if count.is_multiple_of(4) { "POST" } else { "GET" });
            let text = format!(
                "{method} /r HTTP/1.1\r\nHost: shop\r\nX-Order: {order}\r\nContent-Length: 0\r\n\r\n"
            );
            let at = start.elapsed();
            if open.get_mut().write_all(text.as_bytes()).is_ok() {
                sent.push((i, order, at));
            } else {
                *stream = None; // it was closed while nothing was on it
            }
        }
        for (i, order, at) in sent {
            let Some(mut stream) = kept[i].take() else { continue };
            let left = (at + CLIENT_TIMEOUT).saturating_sub(start.elapsed()).max(Duration::from_millis(1));
            let _ = stream.get_ref().set_read_timeout(Some(left));
            let answer = read_message(&mut stream);
            let status = answer.as_ref().map(|a| a.status());
            let ended = start.elapsed();
            lock(asked).push(ClientRequest {
                proxy: number,
                request_id: order,
                sent_at: at,
                ended_at: ended,
                status,
            });
            let closing = answer.as_ref().is_none_or(|a| a.header("connection") == Some("close"));
            kept[i] = (!closing).then_some(stream);
        }
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

/// Looks at what a proxy holds, again and again.
fn read_verdicts_periodically(
    number: usize,
    places: &ProxyAddresses,
    over: &AtomicBool,
    looks: &Mutex<Vec<VerdictReading>>,
    start: Instant,
) {
    while !over.load(Ordering::SeqCst) {
        let operator = *lock(places);
        let at = start.elapsed();
        let told = operator.and_then(|(_, at)| call_operator(at, "verdicts-json", VERDICT_READ_TIMEOUT));
        if let Some(held) = told.and_then(|text| parse_verdicts(&text)) {
            lock(looks).push(VerdictReading {
                proxy: number,
                requested_at: at,
                answered_at: start.elapsed(),
                verdicts: held,
            });
        }
        std::thread::sleep(VERDICT_READ_INTERVAL);
    }
}

fn parse_verdicts(text: &str) -> Option<Vec<HeldVerdict>> {
    let all: serde_json::Value = serde_json::from_str(text).ok()?;
    let one = |v: &serde_json::Value| {
        Some(HeldVerdict {
            node: v["node"].as_str()?.strip_prefix("pricing-")?.parse().ok()?,
            kind: v["kind"].as_str()?.into(),
            is_ejected: v["out"].as_bool()?,
            oldest_report_age: Duration::from_millis(v["oldest_ms"].as_u64()?),
        })
    };
    all.as_array()?.iter().map(one).collect()
}
