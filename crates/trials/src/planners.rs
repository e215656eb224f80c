//! Runs the planners of a fleet, which watch the list and agree on one plan. Every stream to them leads through a
//! relay that can block it.

use crate::process::{DewpierProcess, create_test_folder, inventory_settings, replace_file};
use crate::schedule::ProcessFault;
use dewpier_standins::relay::Relay;
use dewpier_standins::reserve_addresses;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time that planners have to agree after all faults have ended.
const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which the agreement is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a silent planner is expelled, in milliseconds.
const EXPEL_AFTER_MS: u64 = 3000;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Planner {
    process: Mutex<Option<DewpierProcess>>,
    config_file: PathBuf,
    /// When the planner had read a list, from the logs of all its processes.
    list_read_times: Mutex<Vec<Instant>>,
}

/// All planners of a fleet and the relays to them.
pub(crate) struct Planners {
    inventory_file: PathBuf,
    planners: Vec<Planner>,
    /// Relays from each proxy to each planner.
    proxy_relays: Vec<Vec<Relay>>,
    /// Relays from each planner to each other planner.
    planner_relays: Vec<Vec<Relay>>,
}

fn format_addresses(addresses: impl Iterator<Item = SocketAddr>) -> String {
    addresses.map(|a| format!("\"{a}\"")).collect::<Vec<_>>().join(", ")
}

impl Planners {
    /// Starts the planners of a fleet and waits until they agree.
    pub fn start(count: usize, proxies: usize, file: &Path) -> Self {
        let mut listen_addresses = reserve_addresses(2 * count as u16);
        let cluster_addresses = listen_addresses.split_off(count);
        let start_relays =
            |to: &[SocketAddr]| -> Vec<Relay> { to.iter().map(|to| Relay::start(*to)).collect() };
        let planner_relays: Vec<Vec<Relay>> = (0..count).map(|_| start_relays(&cluster_addresses)).collect();
        let planners = (0..count).map(|planner| {
            let addresses = (0..count).map(|to| if to == planner { cluster_addresses[planner] } else { planner_relays[planner][to].address });
            let text = format!(
                "listen = \"{}\"\nplaintext = true\nnumber = {planner}\n[cluster]\nplanners = [{}]\nexpel_after_ms = {EXPEL_AFTER_MS}\n{}",
                listen_addresses[planner],
                format_addresses(addresses),
                inventory_settings(file)
            );
            let config = create_test_folder("planner").join("dewpier.toml");
            replace_file(&config, text.as_bytes());
            Planner { process: Mutex::new(None), config_file: config, list_read_times: Mutex::default() }
        });
        let planners = planners.collect();
        let proxy_relays = (0..proxies).map(|_| start_relays(&listen_addresses)).collect();
        let fleet_planners = Self { inventory_file: file.into(), planners, proxy_relays, planner_relays };
        (0..count).for_each(|n| fleet_planners.start_planner(n));
        if let Some(disagreement) = fleet_planners.wait_for_agreement() {
            panic!("{disagreement}");
        }
        fleet_planners
    }

    /// Formats the planners' settings in the configuration of a proxy.
    pub fn proxy_settings(&self, proxy: usize) -> String {
        let addresses = format_addresses(self.proxy_relays[proxy].iter().map(|relay| relay.address));
        format!(
            "[planners]\nname = \"proxy-{proxy}\"\naddresses = [{addresses}]\nbeat_ms = 50\nplaintext = true\n"
        )
    }

    fn start_planner(&self, planner: usize) {
        let state = &self.planners[planner];
        *lock(&state.process) =
            Some(DewpierProcess::start_from_config("planner", &state.config_file, &self.inventory_file));
    }

    fn list_read_times(&self, planner: usize) -> Vec<Instant> {
        lock(&self.planners[planner].process)
            .as_ref()
            .map(|s| s.log_times("backends from"))
            .unwrap_or_default()
    }

    /// Saves the times at which lists were read, and removes the process.
    fn remove_process(&self, planner: usize) -> Option<DewpierProcess> {
        let read_times = self.list_read_times(planner);
        lock(&self.planners[planner].list_read_times).extend(read_times);
        lock(&self.planners[planner].process).take()
    }

    /// Begins a fault of one planner.
    pub fn begin_fault(&self, planner: usize, fault: ProcessFault) {
        match fault {
            ProcessFault::Killed => drop(self.remove_process(planner)),
            ProcessFault::Terminated => {
                if let Some(process) = self.remove_process(planner) {
                    process.terminate();
                }
            }
            ProcessFault::Suspended => {
                lock(&self.planners[planner].process).iter().for_each(|s| s.send_signal("-STOP"))
            }
        }
    }

    /// Ends a fault of one planner.
    pub fn end_fault(&self, planner: usize, fault: ProcessFault) {
        match fault {
            ProcessFault::Killed | ProcessFault::Terminated => self.start_planner(planner),
            ProcessFault::Suspended => {
                lock(&self.planners[planner].process).iter().for_each(|s| s.send_signal("-CONT"))
            }
        }
    }

    /// Kills all planners.
    pub fn kill_all(&self) {
        (0..self.planners.len()).for_each(|n| drop(self.remove_process(n)));
    }

    /// Restarts all planners.
    pub fn start_all(&self) {
        std::thread::scope(|scope| {
            (0..self.planners.len()).for_each(|n| drop(scope.spawn(move || self.start_planner(n))));
        });
    }

    /// Blocks requests, responses or neither on the streams from proxies and planners to the planners in `to`.
    pub fn set_blocked(
        &self,
        proxies: &[usize],
        planners: &[usize],
        to: &[usize],
        requests: bool,
        responses: bool,
    ) {
        let from_proxies = proxies.iter().filter_map(|p| self.proxy_relays.get(*p));
        let from_planners = planners.iter().filter_map(|p| self.planner_relays.get(*p));
        for relays in from_proxies.chain(from_planners) {
            to.iter()
                .filter_map(|to| relays.get(*to))
                .for_each(|relay| relay.set_blocked(requests, responses));
        }
    }

    /// Returns when the first planner had read a list after a moment.
    pub fn first_list_read(&self, after: Instant) -> Option<Instant> {
        let first_read = |n: usize| {
            let mut read_times = lock(&self.planners[n].list_read_times).clone();
            read_times.extend(self.list_read_times(n));
            read_times.into_iter().filter(|at| *at > after).min()
        };
        (0..self.planners.len()).filter_map(first_read).min()
    }

    /// Waits until all planners use the same plan. Returns their plans if they do not agree in time.
    pub fn wait_for_agreement(&self) -> Option<String> {
        let start = Instant::now();
        loop {
            let current_plan = |process: &DewpierProcess| {
                process.log_lines().iter().rev().find_map(|l| Some(l.split_once("plan ")?.1.to_string()))
            };
            let plans: Vec<Option<String>> =
                self.planners.iter().map(|p| lock(&p.process).as_ref().and_then(current_plan)).collect();
            if plans.iter().all(|p| p.is_some() && *p == plans[0]) {
                return None;
            }
            if start.elapsed() > AGREEMENT_TIMEOUT {
                return Some(format!(
                    "planners do not agree {AGREEMENT_TIMEOUT:?} after all faults have ended: {plans:?}"
                ));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}
