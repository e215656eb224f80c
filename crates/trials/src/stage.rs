//! A fleet of real processes on loopback sockets, played through a schedule.

use crate::checks::Bounds;
use crate::planners::Planners;
use crate::record::{Arrival, Asked, Disturbed, Drain, Held, Look, Record};
use crate::schedule::{self, Fault, Schedule, Size, Step};
use crate::served::{Served, drained, folder, replace, table, watched};
use crate::watch::Watch;
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
    pub every: Duration,
    /// No verdict acts on what was seen longer ago.
    pub stale: Duration,
    /// After which an attempt without an answer is silent.
    pub silent: Duration,
    /// Proxies that have to agree.
    pub quorum: usize,
    /// Places in the fleet that no process of the program takes: a test may, behind those of all proxies.
    pub empty: usize,
    /// Each process keeps what it knows for the one that comes after it.
    pub snapshots: bool,
    /// Planners that tell the proxies what is listed; without them each watches the list itself.
    pub planners: usize,
    /// They carry what proxies say to each other; without it datagrams do.
    pub by_planners: bool,
    /// What proxies watch themselves beside planners is a copy of the list that nobody changes: for tests of the checkers.
    pub blind: bool,
}

impl Default for Settings {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Self {
            every: ms(100),
            stale: ms(8000),
            silent: ms(500),
            quorum: 3,
            empty: 0,
            snapshots: false,
            planners: 0,
            by_planners: false,
            blind: false,
        }
    }
}

/// What an answer takes: long beside what a busy machine makes of a timer.
const WORK: Duration = Duration::from_millis(30);
/// Requests that a client sends at once: as many as a subset has members, so that each of them is met soon.
const AT_ONCE: usize = 3;
/// How often it does.
const PAUSE: Duration = Duration::from_millis(1200);
/// Requests that each proxy gets first, without much of a pause: what is usual is known after eight of a class, and one in
/// four is an order. Before that nothing is called slow.
const LEARNS: u64 = 36;
const LEARNS_PAUSE: Duration = Duration::from_millis(100);
/// In which requests are to be answered, as the processes are told.
const DEADLINE: Duration = Duration::from_millis(2000);
/// How long a client waits for an answer.
const PATIENCE: Duration = Duration::from_millis(4000);
/// How often what a proxy holds is looked at.
const LOOK: Duration = Duration::from_millis(150);
/// What an attempt that went well takes off the odds at most, and the odds that a verdict needs, as logarithms: docs/design/verdicts.md
/// has both, for the default rate of false verdicts.
const WELL: f64 = 0.69;
const NEEDED: f64 = 11.29;
/// How long a look waits for what a proxy says: one that stands still says nothing.
const LOOKED: Duration = Duration::from_secs(1);
/// How long anybody else does: long beside what a busy machine takes.
const ANSWERED: Duration = Duration::from_secs(5);
/// A node that is slow takes so long.
const SLOW: Duration = Duration::from_millis(400);
/// Longer than any request waits.
const NEVER: Duration = Duration::from_secs(60);
/// A kept connection may be closed while a request is on its way: what was sent so shortly before a process was ended
/// may find nobody.
const ON_ITS_WAY: Duration = Duration::from_millis(200);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Where a process serves, and where operators call it; None while it does not run.
type Places = Arc<Mutex<Option<(SocketAddr, SocketAddr)>>>;

struct Proxy {
    served: Mutex<Option<Served>>,
    places: Places,
    config: PathBuf,
    /// When it had read a list: each line that says so, of each of its processes.
    lists: Mutex<Vec<Instant>>,
}

/// What was seen of a play so far.
struct Play {
    record: Record,
    /// When the list was written that says so, for each drain of the record.
    written: Vec<Instant>,
    /// When it began, on the stage's clock.
    offset: Duration,
    /// For each drain of the record, how many lists its proxy had read before.
    read_before: Vec<usize>,
}

/// What all proxies of a fleet share.
pub const SECRET: &[u8] = b"a secret of the whole fleet";

/// The fleet, for as long as it is kept.
pub struct Stage {
    size: Size,
    settings: Settings,
    start: Instant,
    /// The stand-ins.
    pub nodes: Vec<Backend>,
    /// What carries datagrams.
    pub mesh: Mesh,
    file: PathBuf,
    planners: Option<Planners>,
    proxies: Vec<Proxy>,
    over: Arc<AtomicBool>,
    asked: Arc<Mutex<Vec<Asked>>>,
    looks: Arc<Mutex<Vec<Look>>>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Drop for Stage {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        self.threads.drain(..).for_each(|t| drop(t.join()));
    }
}

impl Stage {
    /// Starts all processes, and waits until each hears all others and traffic is at all nodes.
    pub fn start(seed: u64, size: Size, settings: Settings) -> Self {
        let nodes: Vec<Backend> = (0..size.nodes).map(|i| Backend::start(&format!("n{i}"), WORK)).collect();
        let file = folder("stage").join("nodes.csv");
        let copy = file.with_file_name("copy.csv");
        [&file, &copy].iter().for_each(|file| replace(file, table(&nodes).as_bytes()));
        let key = file.with_file_name("fleet.key");
        replace(&key, SECRET);
        let mesh = Mesh::start(size.proxies + settings.empty, seed);
        let planners =
            (settings.planners > 0).then(|| Planners::start(settings.planners, size.proxies, &file));
        let proxies: Vec<Proxy> = (0..size.proxies)
            .map(|me| {
                let config = folder("config").join("dewpier.toml");
                let list = match &planners {
                    Some(planners) => {
                        planners.told(me) + &watched(if settings.blind { &copy } else { &file })
                    }
                    None => watched(&file),
                };
                let text = config_text(me, size, settings, &mesh, &list, [&key, &config]);
                replace(&config, text.as_bytes());
                let (places, lists) = (Places::default(), Mutex::default());
                Proxy { served: Mutex::new(None), places, config, lists }
            })
            .collect();
        let mut stage = Self {
            size,
            settings,
            start: Instant::now(),
            nodes,
            mesh,
            file,
            planners,
            proxies,
            over: Arc::default(),
            asked: Arc::default(),
            looks: Arc::default(),
            threads: Vec::new(),
        };
        (0..size.proxies).for_each(|p| stage.run(p));
        for number in 0..size.proxies {
            let places = stage.proxies[number].places.clone();
            let (over, asked, from) = (stage.over.clone(), stage.asked.clone(), stage.start);
            let (also, looks, known) = (stage.over.clone(), stage.looks.clone(), places.clone());
            stage.threads.push(std::thread::spawn(move || ask(number, &places, &over, &asked, from)));
            stage.threads.push(std::thread::spawn(move || look(number, &known, &also, &looks, from)));
        }
        wait_for("talk of all with all", || {
            (0..size.proxies).all(|p| stage.figure(p, "partners_answering") == Some(size.proxies as u64 - 1))
        });
        wait_for("traffic at all nodes", || stage.nodes.iter().all(|n| n.request_count() >= 10));
        wait_for("what is usual to be known", || {
            let asked = lock(&stage.asked);
            let of = |proxy: usize| asked.iter().filter(|a| a.proxy == proxy && a.status.is_some()).count();
            (0..size.proxies).all(|proxy| of(proxy) >= LEARNS as usize)
        });
        stage
    }

    /// The bounds that these settings promise.
    pub fn bounds(&self) -> Bounds {
        let Settings { every, stale, silent, .. } = self.settings;
        Bounds {
            stale,
            every,
            silent,
            enough: self.settings.quorum,
            forgives: WELL / (NEEDED / self.settings.quorum as f64),
            // Four times what an answer takes is slow.
            chance: 3 * WORK,
            // Eight orders, one in four requests.
            learns: PAUSE * 11,
            most_out: (0.3 * self.size.nodes as f64) as usize,
            answered: DEADLINE,
            grace: Duration::from_millis(500),
            slack: Duration::from_millis(1500),
        }
    }

    /// Starts a process by its configuration.
    fn run(&self, proxy: usize) {
        let known = &self.proxies[proxy];
        let command = if self.planners.is_some() { "forwarder" } else { "serve" };
        let served = Served::again(command, &known.config, &self.file);
        let line = served.logged(0, "operators call at").1;
        let operator = line.rsplit(' ').next().and_then(|at| at.parse().ok());
        *lock(&known.places) = operator.map(|operator| (served.address, operator));
        *lock(&known.served) = Some(served);
    }

    /// Kills a process and starts it anew, with nothing but what it kept.
    pub fn restart(&self, proxy: usize) {
        self.kill(proxy);
        self.run(proxy);
    }

    /// Kills all processes and starts them anew at once.
    pub fn restart_all(&self) {
        (0..self.size.proxies).for_each(|proxy| self.kill(proxy));
        self.run_all();
    }

    /// Kills a process and starts it anew with these bytes for what it kept.
    pub fn restart_with(&self, proxy: usize, kept: &[u8]) {
        self.kill(proxy);
        replace(&self.kept(proxy), kept);
        self.run(proxy);
    }

    /// The list says from now on that these drain, and all others serve; every proxy has read that.
    pub fn relist(&self, draining: &[usize]) {
        let before: Vec<usize> = (0..self.size.proxies).map(|p| self.lists(p).len()).collect();
        replace(&self.file, drained(&table(&self.nodes), draining).as_bytes());
        wait_for("all to read the list", || {
            before.iter().enumerate().all(|(proxy, before)| self.lists(proxy).len() > *before)
        });
    }

    fn run_all(&self) {
        std::thread::scope(|scope| {
            (0..self.size.proxies).for_each(|proxy| drop(scope.spawn(move || self.run(proxy))));
        });
    }

    /// Where a process keeps what it knows.
    pub fn kept(&self, proxy: usize) -> PathBuf {
        self.proxies[proxy].config.with_file_name("known")
    }

    /// Lines of the log of the process that runs now.
    pub fn logged(&self, proxy: usize, what: &str) -> Vec<String> {
        let served = lock(&self.proxies[proxy].served);
        served.as_ref().map(|s| s.lines_with(what)).unwrap_or_default()
    }

    /// Keeps what its log says of lists, before the log goes.
    fn keep_lists(&self, proxy: usize) {
        let known = &self.proxies[proxy];
        let lines = lock(&known.served).as_ref().map(|s| s.logged_at(self.reads())).unwrap_or_default();
        lock(&known.lists).extend(lines);
    }

    /// What a proxy answers to an operator's call. None where it does not, in time.
    pub fn call(&self, proxy: usize, what: &str) -> Option<String> {
        let (_, operator) = (*lock(&self.proxies[proxy].places))?;
        call(operator, what, ANSWERED)
    }

    /// What a proxy holds. None where it does not say.
    pub fn held(&self, proxy: usize) -> Option<Vec<Held>> {
        held(&self.call(proxy, "verdicts-json")?)
    }

    /// A figure of a proxy's fleet.
    pub fn figure(&self, proxy: usize, name: &str) -> Option<u64> {
        let vars = self.call(proxy, "vars")?;
        vars.lines().find_map(|l| l.strip_prefix(&format!("edge_relay.fleet.{name}=")))?.parse().ok()
    }

    /// Sends a process a signal.
    pub fn signal(&self, proxy: usize, name: &str) {
        lock(&self.proxies[proxy].served).iter().for_each(|s| s.signal(name));
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Plays a schedule and tells what was seen, with the steps as they were played. All is well again at its end.
    pub fn play(&self, schedule: &Schedule) -> (Record, Schedule) {
        let of = (self.settings.planners, self.settings.by_planners);
        assert_eq!((schedule.planners, schedule.by_planners), of, "a stage for other schedules");
        let watch = Watch::start();
        let (offset, since) = (self.now(), Instant::now());
        let mut play =
            Play { record: Record::default(), written: Vec::new(), offset, read_before: Vec::new() };
        let mut played = Schedule { steps: Vec::new(), ..schedule.clone() };
        let ms = |at: Duration| at.as_millis() as u64;
        // Each begins and each ends; ends first where both are due.
        let mut due: Vec<(u64, bool, usize)> = Vec::new();
        for (i, step) in schedule.steps.iter().enumerate() {
            due.extend([(step.at_ms, true, i), (step.until_ms(), false, i)]);
        }
        due.sort_unstable();
        let mut began = vec![Duration::ZERO; schedule.steps.len()];
        for (at, begins, i) in due {
            std::thread::sleep((Duration::from_millis(at)).saturating_sub(since.elapsed()));
            let fault = &schedule.steps[i].fault;
            if begins {
                // What it does is seen from before it, and until after it.
                began[i] = self.now() - offset;
                self.begin(fault, &mut play);
            } else {
                self.end(fault, &mut play);
                let for_ms = ms(self.now() - offset - began[i]) + 1;
                played.steps.push(Step { at_ms: ms(began[i]), for_ms, fault: fault.clone() });
            }
        }
        let rest = Duration::from_millis(schedule.size.length_ms).saturating_sub(since.elapsed());
        std::thread::sleep(rest);
        // Whatever was asked has an answer by then, or none in time.
        std::thread::sleep(PATIENCE);
        played.steps.sort_by_key(|step| step.at_ms);
        self.seen(&mut play);
        play.record.apart = self.planners.as_ref().and_then(Planners::apart);
        play.record.stall = watch.longest();
        (play.record, played)
    }

    fn begin(&self, fault: &Fault, play: &mut Play) {
        let now = self.now() - play.offset;
        let record = &mut play.record;
        let disturbed = |proxy, from| Disturbed { proxy, from, until: Duration::MAX, answers: false };
        match fault {
            Fault::Node { node, does } => match does {
                schedule::Node::Hangs => self.nodes[*node].set_response_time(NEVER),
                schedule::Node::Slow => self.nodes[*node].set_response_time(SLOW),
                schedule::Node::Fails => self.nodes[*node].set_failing(true),
                schedule::Node::OneInTen => self.nodes[*node].set_failure_interval(10),
                schedule::Node::Gone => self.nodes[*node].kill(),
            },
            Fault::Path { proxy, node, does } => {
                self.nodes[*node].set_path_fault(&format!("p{proxy}"), Some(way(*does)));
            }
            Fault::Talk { from, to, lost, doubled, delay_ms } => {
                let way = mesh::LinkFaults {
                    cut: *lost >= 1000,
                    lost_per_mille: *lost,
                    duplicated_per_mille: *doubled,
                    max_delay: Duration::from_millis(*delay_ms),
                };
                self.mesh.set_faults(way, |a, b| from.contains(&a) && to.contains(&b));
            }
            Fault::Still { proxy } => {
                record.disturbed.push(disturbed(*proxy, now));
                self.signal(*proxy, "-STOP");
            }
            Fault::Killed { proxy } => {
                record.disturbed.push(disturbed(*proxy, now));
                self.kill(*proxy);
            }
            Fault::AllKilled => {
                record.disturbed.extend((0..self.size.proxies).map(|proxy| disturbed(proxy, now)));
                (0..self.size.proxies).for_each(|proxy| self.kill(proxy));
            }
            Fault::Ended { proxy } => {
                let from = now.saturating_sub(ON_ITS_WAY);
                record.disturbed.push(Disturbed { answers: true, ..disturbed(*proxy, from) });
                *lock(&self.proxies[*proxy].places) = None;
                self.signal(*proxy, "-TERM");
            }
            Fault::Drain { node } => {
                let text = drained(&table(&self.nodes), &[*node]);
                for proxy in 0..self.size.proxies {
                    play.read_before.push(self.lists(proxy).len());
                    play.written.push(Instant::now());
                    let (told, until) = (Duration::MAX / 4, Duration::MAX);
                    record.drains.push(Drain { node: *node, proxy, told, until });
                }
                replace(&self.file, text.as_bytes());
            }
            Fault::Planner { planner, does } => {
                self.planners.iter().for_each(|p| p.begin(*planner, *does));
            }
            Fault::AllPlanners => self.planners.iter().for_each(Planners::kill_all),
            Fault::Streams { proxies, planners, to, answers } => {
                self.planners.iter().for_each(|p| p.cut(proxies, planners, to, !answers, true));
            }
        }
    }

    fn end(&self, fault: &Fault, play: &mut Play) {
        let (record, offset) = (&mut play.record, play.offset);
        match fault {
            Fault::Node { node, does } => match does {
                schedule::Node::Hangs | schedule::Node::Slow => self.nodes[*node].set_response_time(WORK),
                schedule::Node::Fails => self.nodes[*node].set_failing(false),
                schedule::Node::OneInTen => self.nodes[*node].set_failure_interval(0),
                schedule::Node::Gone => self.nodes[*node].restart(),
            },
            Fault::Path { proxy, node, .. } => self.nodes[*node].set_path_fault(&format!("p{proxy}"), None),
            Fault::Talk { from, to, .. } => {
                self.mesh
                    .set_faults(mesh::LinkFaults::default(), |a, b| from.contains(&a) && to.contains(&b));
            }
            Fault::Still { proxy } => self.signal(*proxy, "-CONT"),
            Fault::Killed { proxy } => self.run(*proxy),
            Fault::AllKilled => self.run_all(),
            Fault::Ended { proxy } => {
                self.keep_lists(*proxy);
                if let Some(served) = lock(&self.proxies[*proxy].served).take() {
                    served.stop();
                }
                self.run(*proxy);
            }
            Fault::Drain { .. } => {
                let now = self.now() - offset;
                record.drains.iter_mut().filter(|d| d.until == Duration::MAX).for_each(|d| d.until = now);
                replace(&self.file, table(&self.nodes).as_bytes());
            }
            Fault::Planner { planner, does } => self.planners.iter().for_each(|p| p.end(*planner, *does)),
            Fault::AllPlanners => self.planners.iter().for_each(Planners::run_all),
            Fault::Streams { proxies, planners, to, .. } => {
                self.planners.iter().for_each(|p| p.cut(proxies, planners, to, false, false));
            }
        }
        let now = self.now() - offset;
        let over = |d: &&mut Disturbed| match fault {
            Fault::Still { proxy } | Fault::Killed { proxy } | Fault::Ended { proxy } => d.proxy == *proxy,
            Fault::AllKilled => true,
            _ => false,
        };
        let open = record.disturbed.iter_mut().filter(|d| d.until == Duration::MAX);
        open.filter(over).for_each(|d| d.until = now);
    }

    fn kill(&self, proxy: usize) {
        *lock(&self.proxies[proxy].places) = None;
        self.keep_lists(proxy);
        drop(lock(&self.proxies[proxy].served).take());
    }

    /// When a proxy had read a list, in order.
    fn lists(&self, proxy: usize) -> Vec<Instant> {
        let known = &self.proxies[proxy];
        let mut lists = lock(&known.lists).clone();
        lists.extend(lock(&known.served).as_ref().map(|s| s.logged_at(self.reads())).unwrap_or_default());
        lists
    }

    /// What a log says where a proxy has read the list itself.
    fn reads(&self) -> &'static str {
        if self.planners.is_some() { "from its own watch" } else { "backends from" }
    }

    /// Adds what was seen since then, on its clock.
    fn seen(&self, play: &mut Play) {
        let (record, offset) = (&mut play.record, play.offset);
        let since = |at: Instant| at.saturating_duration_since(self.start).saturating_sub(offset);
        let drains = record.drains.iter_mut().zip(&play.read_before).zip(&play.written);
        for ((drain, before), written) in drains {
            let read = match &self.planners {
                // What any planner has read binds all, and so does what a proxy has read itself.
                Some(planners) => {
                    let own = self.lists(drain.proxy).into_iter().find(|at| at > written);
                    planners.first_read(*written).into_iter().chain(own).min()
                }
                None => self.lists(drain.proxy).get(*before).copied(),
            };
            drain.told = read.map_or(drain.told, since);
        }
        for (node, backend) in self.nodes.iter().enumerate() {
            for a in backend.arrivals() {
                let Some(order) = a.order_id else { continue };
                let proxy = order.strip_prefix('p').and_then(|o| o.split('-').next()?.parse().ok());
                let Some(proxy) = proxy else { continue };
                if a.received_at >= self.start + offset {
                    let (at, once) = (since(a.received_at), a.method == "POST");
                    record.arrivals.push(Arrival { node, at, proxy, order, once, bad: a.is_faulty });
                }
            }
        }
        record.arrivals.sort_by_key(|a| a.at);
        let later = |at: Duration| at.checked_sub(offset);
        let asked = lock(&self.asked).clone().into_iter();
        record
            .asked
            .extend(asked.filter_map(|a| Some(Asked { at: later(a.at)?, ended: later(a.ended)?, ..a })));
        let looks = lock(&self.looks).clone().into_iter();
        record
            .looks
            .extend(looks.filter_map(|l| Some(Look { at: later(l.at)?, answered: later(l.answered)?, ..l })));
    }
}

fn way(does: schedule::Path) -> PathFault {
    match does {
        schedule::Path::Held => PathFault::RequestsHeld,
        schedule::Path::Unanswered => PathFault::ResponsesHeld,
        schedule::Path::ResetBefore => PathFault::ResetBeforeRequest,
        schedule::Path::ResetAfter => PathFault::ResetAfterRequest,
        schedule::Path::Trickles => PathFault::SlowResponse(20),
    }
}

/// The configuration of a proxy that lies in the last of these files; the key is in the first one. `list` says where
/// its list comes from.
fn config_text(
    me: usize,
    size: Size,
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
    let by_planners = settings.by_planners;
    let peer = |to| match by_planners {
        true => format!("{{ name = \"proxy-{to}\" }}"),
        false => format!("{{ name = \"proxy-{to}\", address = \"{}\" }}", mesh.send_address(me, to)),
    };
    let carrier = match by_planners {
        true => "carrier = \"planners\"".into(),
        false => format!("listen = \"{}\"", mesh.listen_addresses[me]),
    };
    let peers: Vec<String> = (0..size.proxies + settings.empty).filter(|to| *to != me).map(peer).collect();
    let class = |name: &str, effect: &str, method: &str| {
        format!(
            "[[class]]\nname = \"{name}\"\neffect = \"{effect}\"\naim_ms = 600\ndeadline_ms = {}\nmatch = [{{ methods = [\"{method}\"] }}]\n",
            DEADLINE.as_millis()
        )
    };
    format!(
        "listen = \"127.0.0.1:0\"\noperator = \"127.0.0.1:0\"\n{list}[fleet]\nname = \"proxy-{me}\"\n{carrier}\nkey_file = \"{}\"\nevery_ms = {}\nstale_ms = {}\nquorum = {}\nsilent_after_ms = {}\n{kept}peers = [{}]\n[instances]\nnumber = {}\nme = {me}\n{}{}",
        key.display(),
        settings.every.as_millis(),
        settings.stale.as_millis(),
        settings.quorum,
        settings.silent.as_millis(),
        peers.join(", "),
        size.proxies,
        class("read", "safe", "GET"),
        class("order", "unsafe", "POST")
    )
}

/// Asks an operator's call. None where nobody answers in time.
fn call(at: SocketAddr, what: &str, within: Duration) -> Option<String> {
    let mut told = String::new();
    let mut stream = TcpStream::connect(at).ok()?;
    stream.set_read_timeout(Some(within)).ok()?;
    stream.write_all(format!("{what}\n").as_bytes()).ok()?;
    stream.read_to_string(&mut told).ok()?;
    Some(told)
}

/// A few requests at once at a proxy, again and again; each fourth is one that must not run twice.
fn ask(number: usize, places: &Places, over: &AtomicBool, asked: &Mutex<Vec<Asked>>, start: Instant) {
    let mut kept: Vec<Option<BufReader<TcpStream>>> = (0..AT_ONCE).map(|_| None).collect();
    std::thread::sleep(PAUSE / 12 * (number as u32 % 12));
    let (mut count, mut last) = (0u64, None);
    while !over.load(Ordering::SeqCst) {
        let next = Instant::now() + if count < LEARNS { LEARNS_PAUSE } else { PAUSE };
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
            let left = (at + PATIENCE).saturating_sub(start.elapsed()).max(Duration::from_millis(1));
            let _ = stream.get_ref().set_read_timeout(Some(left));
            let answer = read_message(&mut stream);
            let status = answer.as_ref().map(|a| a.status());
            let ended = start.elapsed();
            lock(asked).push(Asked { proxy: number, order, at, ended, status });
            let closing = answer.as_ref().is_none_or(|a| a.header("connection") == Some("close"));
            kept[i] = (!closing).then_some(stream);
        }
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

/// Looks at what a proxy holds, again and again.
fn look(number: usize, places: &Places, over: &AtomicBool, looks: &Mutex<Vec<Look>>, start: Instant) {
    while !over.load(Ordering::SeqCst) {
        let operator = *lock(places);
        let at = start.elapsed();
        let told = operator.and_then(|(_, at)| call(at, "verdicts-json", LOOKED));
        if let Some(held) = told.and_then(|text| held(&text)) {
            lock(looks).push(Look { proxy: number, at, answered: start.elapsed(), held });
        }
        std::thread::sleep(LOOK);
    }
}

fn held(text: &str) -> Option<Vec<Held>> {
    let all: serde_json::Value = serde_json::from_str(text).ok()?;
    let one = |v: &serde_json::Value| {
        Some(Held {
            node: v["node"].as_str()?.strip_prefix("pricing-")?.parse().ok()?,
            kind: v["kind"].as_str()?.into(),
            out: v["out"].as_bool()?,
            oldest: Duration::from_millis(v["oldest_ms"].as_u64()?),
        })
    };
    all.as_array()?.iter().map(one).collect()
}
