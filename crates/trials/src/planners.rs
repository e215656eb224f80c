//! Planners of a stage: processes of the program that watch the list and agree on one plan, with every stream to them
//! led over a way that can be cut.

use crate::schedule::Ends;
use crate::served::{Served, folder, replace, watched};
use dewpier_standins::relay::Relay;
use dewpier_standins::reserve_addresses;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Agreement after all is well again is waited for so long, and looked for so often.
const AGREES: Duration = Duration::from_secs(20);
const LOOK: Duration = Duration::from_millis(50);
/// After which what a silent planner has seen no longer counts.
const EXPEL_MS: u64 = 3000;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Planner {
    served: Mutex<Option<Served>>,
    config: PathBuf,
    /// When it had read a list: each line that says so, of each of its processes.
    lists: Mutex<Vec<Instant>>,
}

/// All of them, and the ways to them.
pub(crate) struct Planners {
    file: PathBuf,
    all: Vec<Planner>,
    /// From each proxy to each planner.
    from_proxies: Vec<Vec<Relay>>,
    /// From each planner to each other.
    between: Vec<Vec<Relay>>,
}

fn quoted(addresses: impl Iterator<Item = SocketAddr>) -> String {
    addresses.map(|a| format!("\"{a}\"")).collect::<Vec<_>>().join(", ")
}

impl Planners {
    /// Starts so many for these proxies, and waits until they agree.
    pub fn start(count: usize, proxies: usize, file: &Path) -> Self {
        let mut listen = reserve_addresses(2 * count as u16);
        let talk = listen.split_off(count);
        let ways = |to: &[SocketAddr]| -> Vec<Relay> { to.iter().map(|to| Relay::start(*to)).collect() };
        let between: Vec<Vec<Relay>> = (0..count).map(|_| ways(&talk)).collect();
        let all = (0..count).map(|me| {
            let reached = (0..count).map(|to| if to == me { talk[me] } else { between[me][to].address });
            let text = format!(
                "listen = \"{}\"\nplaintext = true\nnumber = {me}\n[cluster]\nplanners = [{}]\nexpel_after_ms = {EXPEL_MS}\n{}",
                listen[me],
                quoted(reached),
                watched(file)
            );
            let config = folder("planner").join("dewpier.toml");
            replace(&config, text.as_bytes());
            Planner { served: Mutex::new(None), config, lists: Mutex::default() }
        });
        let all = all.collect();
        let from_proxies = (0..proxies).map(|_| ways(&listen)).collect();
        let planners = Self { file: file.into(), all, from_proxies, between };
        (0..count).for_each(|n| planners.run(n));
        if let Some(apart) = planners.apart() {
            panic!("{apart}");
        }
        planners
    }

    /// What the configuration of a proxy says of them.
    pub fn told(&self, proxy: usize) -> String {
        let addresses = quoted(self.from_proxies[proxy].iter().map(|way| way.address));
        format!(
            "[planners]\nname = \"proxy-{proxy}\"\naddresses = [{addresses}]\nbeat_ms = 50\nplaintext = true\n"
        )
    }

    fn run(&self, planner: usize) {
        let known = &self.all[planner];
        *lock(&known.served) = Some(Served::again("planner", &known.config, &self.file));
    }

    fn read(&self, planner: usize) -> Vec<Instant> {
        lock(&self.all[planner].served).as_ref().map(|s| s.logged_at("backends from")).unwrap_or_default()
    }

    /// Keeps what a log says of lists, and takes the process away.
    fn take(&self, planner: usize) -> Option<Served> {
        let lists = self.read(planner);
        lock(&self.all[planner].lists).extend(lists);
        lock(&self.all[planner].served).take()
    }

    /// One suffers.
    pub fn begin(&self, planner: usize, does: Ends) {
        match does {
            Ends::Killed => drop(self.take(planner)),
            Ends::Ended => {
                if let Some(served) = self.take(planner) {
                    served.stop();
                }
            }
            Ends::Still => lock(&self.all[planner].served).iter().for_each(|s| s.signal("-STOP")),
        }
    }

    /// It is well again.
    pub fn end(&self, planner: usize, does: Ends) {
        match does {
            Ends::Killed | Ends::Ended => self.run(planner),
            Ends::Still => lock(&self.all[planner].served).iter().for_each(|s| s.signal("-CONT")),
        }
    }

    /// All are killed.
    pub fn kill_all(&self) {
        (0..self.all.len()).for_each(|n| drop(self.take(n)));
    }

    /// All begin anew.
    pub fn run_all(&self) {
        std::thread::scope(|scope| {
            (0..self.all.len()).for_each(|n| drop(scope.spawn(move || self.run(n))));
        });
    }

    /// Ways from these to those planners hold back what is said, or what is answered alone, or nothing again.
    pub fn cut(&self, proxies: &[usize], planners: &[usize], to: &[usize], said: bool, told: bool) {
        let of_proxies = proxies.iter().filter_map(|p| self.from_proxies.get(*p));
        let of_planners = planners.iter().filter_map(|p| self.between.get(*p));
        for ways in of_proxies.chain(of_planners) {
            to.iter().filter_map(|to| ways.get(*to)).for_each(|way| way.set_blocked(said, told));
        }
    }

    /// When the first of them had read a list after that moment.
    pub fn first_read(&self, after: Instant) -> Option<Instant> {
        let of = |n: usize| {
            let mut lists = lock(&self.all[n].lists).clone();
            lists.extend(self.read(n));
            lists.into_iter().filter(|at| *at > after).min()
        };
        (0..self.all.len()).filter_map(of).min()
    }

    /// What they go by where they do not agree in time; None where they do.
    pub fn apart(&self) -> Option<String> {
        let start = Instant::now();
        loop {
            let plan = |served: &Served| {
                served.log().iter().rev().find_map(|l| Some(l.split_once("plan ")?.1.to_string()))
            };
            let plans: Vec<Option<String>> =
                self.all.iter().map(|p| lock(&p.served).as_ref().and_then(plan)).collect();
            if plans.iter().all(|p| p.is_some() && *p == plans[0]) {
                return None;
            }
            if start.elapsed() > AGREES {
                return Some(format!("planners do not agree {AGREES:?} after all is well again: {plans:?}"));
            }
            std::thread::sleep(LOOK);
        }
    }
}
