//! Planners of a stage: processes of the program that watch the list and agree on one plan, with every stream to them
//! led over a way that can be cut.

use crate::process::{DewpierProcess, create_test_folder, inventory_settings, replace_file};
use crate::schedule::ProcessFault;
use dewpier_standins::relay::Relay;
use dewpier_standins::reserve_addresses;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Agreement after all is well again is waited for so long, and looked for so often.
const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// After which what a silent planner has seen no longer counts.
const EXPEL_AFTER_MS: u64 = 3000;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Planner {
    process: Mutex<Option<DewpierProcess>>,
    config_file: PathBuf,
    /// When it had read a list: each line that says so, of each of its processes.
    list_read_times: Mutex<Vec<Instant>>,
}

/// All of them, and the ways to them.
pub(crate) struct Planners {
    inventory_file: PathBuf,
    planners: Vec<Planner>,
    /// From each proxy to each planner.
    proxy_relays: Vec<Vec<Relay>>,
    /// From each planner to each other.
    planner_relays: Vec<Vec<Relay>>,
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
                "listen = \"{}\"\nplaintext = true\nnumber = {me}\n[cluster]\nplanners = [{}]\nexpel_after_ms = {EXPEL_AFTER_MS}\n{}",
                listen[me],
                quoted(reached),
                inventory_settings(file)
            );
            let config = create_test_folder("planner").join("dewpier.toml");
            replace_file(&config, text.as_bytes());
            Planner { process: Mutex::new(None), config_file: config, list_read_times: Mutex::default() }
        });
        let all = all.collect();
        let from_proxies = (0..proxies).map(|_| ways(&listen)).collect();
        let planners = Self {
            inventory_file: file.into(),
            planners: all,
            proxy_relays: from_proxies,
            planner_relays: between,
        };
        (0..count).for_each(|n| planners.start_planner(n));
        if let Some(apart) = planners.wait_for_agreement() {
            panic!("{apart}");
        }
        planners
    }

    /// What the configuration of a proxy says of them.
    pub fn proxy_settings(&self, proxy: usize) -> String {
        let addresses = quoted(self.proxy_relays[proxy].iter().map(|way| way.address));
        format!(
            "[planners]\nname = \"proxy-{proxy}\"\naddresses = [{addresses}]\nbeat_ms = 50\nplaintext = true\n"
        )
    }

    fn start_planner(&self, planner: usize) {
        let known = &self.planners[planner];
        *lock(&known.process) =
            Some(DewpierProcess::start_from_config("planner", &known.config_file, &self.inventory_file));
    }

    fn list_read_times(&self, planner: usize) -> Vec<Instant> {
        lock(&self.planners[planner].process)
            .as_ref()
            .map(|s| s.log_times("backends from"))
            .unwrap_or_default()
    }

    /// Keeps what a log says of lists, and takes the process away.
    fn remove_process(&self, planner: usize) -> Option<DewpierProcess> {
        let lists = self.list_read_times(planner);
        lock(&self.planners[planner].list_read_times).extend(lists);
        lock(&self.planners[planner].process).take()
    }

    /// One suffers.
    pub fn begin_fault(&self, planner: usize, does: ProcessFault) {
        match does {
            ProcessFault::Killed => drop(self.remove_process(planner)),
            ProcessFault::Terminated => {
                if let Some(served) = self.remove_process(planner) {
                    served.terminate();
                }
            }
            ProcessFault::Suspended => {
                lock(&self.planners[planner].process).iter().for_each(|s| s.send_signal("-STOP"))
            }
        }
    }

    /// It is well again.
    pub fn end_fault(&self, planner: usize, does: ProcessFault) {
        match does {
            ProcessFault::Killed | ProcessFault::Terminated => self.start_planner(planner),
            ProcessFault::Suspended => {
                lock(&self.planners[planner].process).iter().for_each(|s| s.send_signal("-CONT"))
            }
        }
    }

    /// All are killed.
    pub fn kill_all(&self) {
        (0..self.planners.len()).for_each(|n| drop(self.remove_process(n)));
    }

    /// All begin anew.
    pub fn start_all(&self) {
        std::thread::scope(|scope| {
            (0..self.planners.len()).for_each(|n| drop(scope.spawn(move || self.start_planner(n))));
        });
    }

    /// Ways from these to those planners hold back what is said, or what is answered alone, or nothing again.
    pub fn set_blocked(&self, proxies: &[usize], planners: &[usize], to: &[usize], said: bool, told: bool) {
        let of_proxies = proxies.iter().filter_map(|p| self.proxy_relays.get(*p));
        let of_planners = planners.iter().filter_map(|p| self.planner_relays.get(*p));
        for ways in of_proxies.chain(of_planners) {
            to.iter().filter_map(|to| ways.get(*to)).for_each(|way| way.set_blocked(said, told));
        }
    }

    /// When the first of them had read a list after that moment.
    pub fn first_list_read(&self, after: Instant) -> Option<Instant> {
        let of = |n: usize| {
            let mut lists = lock(&self.planners[n].list_read_times).clone();
            lists.extend(self.list_read_times(n));
            lists.into_iter().filter(|at| *at > after).min()
        };
        (0..self.planners.len()).filter_map(of).min()
    }

    /// What they go by where they do not agree in time; None where they do.
    pub fn wait_for_agreement(&self) -> Option<String> {
        let start = Instant::now();
        loop {
            let plan = |served: &DewpierProcess| {
                served.log_lines().iter().rev().find_map(|l| Some(l.split_once("plan ")?.1.to_string()))
            };
            let plans: Vec<Option<String>> =
                self.planners.iter().map(|p| lock(&p.process).as_ref().and_then(plan)).collect();
            if plans.iter().all(|p| p.is_some() && *p == plans[0]) {
                return None;
            }
            if start.elapsed() > AGREEMENT_TIMEOUT {
                return Some(format!(
                    "planners do not agree {AGREEMENT_TIMEOUT:?} after all is well again: {plans:?}"
                ));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}
