//! Three planners and the forwarders that follow them, over real sockets and under load: planners are killed one by one
//! and all at once, and partitioned, while nodes drain.

use dewpier_standins::backend::Backend;
use dewpier_standins::load::{LoadGenerator, ResponseCounts};
use dewpier_standins::relay::Relay;
use dewpier_standins::{reserve_addresses, wait_for};
use dewpier_trials::process::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// The addresses of three planners.
struct PlannerAddresses {
    /// For forwarders.
    listen: Vec<SocketAddr>,
    /// For the other planners.
    cluster: Vec<SocketAddr>,
}

impl PlannerAddresses {
    fn new() -> Self {
        let mut listen = reserve_addresses(6);
        let cluster = listen.split_off(3);
        Self { listen, cluster }
    }

    fn start(&self, number: usize, file: &Path) -> DewpierProcess {
        self.start_with(number, file, &self.cluster, 3000)
    }

    /// Starts a planner that reaches the others at these addresses and expels planners that are silent for
    /// `expel_after_ms`.
    fn start_with(
        &self,
        number: usize,
        file: &Path,
        cluster: &[SocketAddr],
        expel_after_ms: u64,
    ) -> DewpierProcess {
        let cluster: Vec<String> = cluster.iter().map(|a| format!("\"{a}\"")).collect();
        let settings = format!(
            "number = {number}\n[cluster]\nplanners = [{}]\nexpel_after_ms = {expel_after_ms}\n",
            cluster.join(", ")
        );
        DewpierProcess::start_planner_with(&self.listen[number].to_string(), file, &settings)
    }
}

fn kill(planner: &mut DewpierProcess) {
    planner.child.kill().unwrap();
    planner.child.wait().unwrap();
}

fn start_load(address: SocketAddr, name: &'static str) -> LoadGenerator {
    start_order_load(address, name, 2, Duration::from_millis(2))
}

/// The plan that a planner logged last.
fn last_plan(planner: &DewpierProcess) -> Option<String> {
    planner.log_lines().iter().rev().find_map(|l| l.split("plan ").nth(1).map(str::to_string))
}

/// Waits until all planners have the same plan with that number of draining nodes.
fn wait_for_agreement(planners: &[DewpierProcess], draining: usize) {
    let plan_end = format!("{draining} of them draining");
    wait_for(&format!("agreement on {plan_end}"), || {
        let plans: Vec<_> = planners.iter().map(last_plan).collect();
        plans.iter().all(|p| p.is_some() && *p == plans[0] && p.as_ref().unwrap().ends_with(&plan_end))
    });
}

fn assert_orders_ran_once(backends: &[Backend]) {
    let mut orders: HashMap<String, usize> = HashMap::new();
    for order in backends.iter().flat_map(|b| b.arrivals()).filter_map(|a| a.order_id) {
        *orders.entry(order).or_default() += 1;
    }
    assert!(orders.len() > 100 && orders.values().all(|n| *n == 1), "an order ran more than once");
}

#[test]
fn drains_hold_when_planners_are_killed_one_by_one() {
    let backends: Vec<Backend> =
        (0..8).map(|i| Backend::start(&format!("b{i}"), Duration::from_micros(200))).collect();
    let file = create_test_folder("one-by-one").join("nodes.csv");
    let good = inventory_csv(&backends);
    std::fs::write(&file, &good).unwrap();
    let addresses = PlannerAddresses::new();
    let mut planners: Vec<DewpierProcess> = (0..3).map(|n| addresses.start(n, &file)).collect();
    wait_for_agreement(&planners, 0);
    let forwarders: Vec<DewpierProcess> =
        ["f0", "f1"].map(|f| DewpierProcess::start_forwarder(f, &addresses.listen)).into();
    let loads: Vec<LoadGenerator> =
        forwarders.iter().zip(["f0", "f1"]).map(|(f, n)| start_load(f.address, n)).collect();
    wait_for("load on all", || backends.iter().all(|b| b.request_count() > 2));
    let mut drained_at = Vec::new();
    for n in 0..3 {
        // Each planner is killed as soon as it has read a drain. The two others go on.
        let lines = planners[n].log_line_count();
        let draining: Vec<usize> = (0..=n).collect();
        replace_file(&file, with_draining_nodes(&good, &draining).as_bytes());
        let (at, _) = planners[n].wait_for_log(lines, "backends from");
        kill(&mut planners[n]);
        drained_at.push(at);
        std::thread::sleep(Duration::from_millis(1000));
        for (i, at) in drained_at.iter().enumerate() {
            assert_eq!(
                count_after_drain_grace(&backends[i], *at),
                0,
                "late sends to node {i} after planner {n} was killed"
            );
        }
        // It restarts without state and catches up.
        planners[n] = addresses.start(n, &file);
        wait_for_agreement(&planners, n + 1);
    }
    // The drained nodes return once all three planners list them.
    replace_file(&file, good.as_bytes());
    wait_for_agreement(&planners, 0);
    let counts = |from: usize| backends.iter().take(from).map(Backend::request_count).sum::<usize>();
    let before = counts(3);
    wait_for("load on the returned nodes", || counts(3) > before + 5);
    let mut tally = ResponseCounts::default();
    loads.into_iter().for_each(|load| tally.add(load.stop()));
    assert_eq!((tally.failed, tally.unanswered), (0, 0), "of {}", tally.total());
    assert!(tally.served > 500 && tally.rejected <= 4, "{} of {} refused", tally.rejected, tally.total());
    assert_orders_ran_once(&backends);
    forwarders.into_iter().chain(planners).for_each(DewpierProcess::terminate);
}

#[test]
fn drains_hold_when_all_planners_are_killed_and_restarted() {
    let backends: Vec<Backend> =
        (0..8).map(|i| Backend::start(&format!("b{i}"), Duration::from_micros(200))).collect();
    let file = create_test_folder("all-at-once").join("nodes.csv");
    let good = inventory_csv(&backends);
    std::fs::write(&file, &good).unwrap();
    let addresses = PlannerAddresses::new();
    let mut planners: Vec<DewpierProcess> = (0..3).map(|n| addresses.start(n, &file)).collect();
    wait_for_agreement(&planners, 0);
    let own_inventory = inventory_settings(&file);
    let forwarders: Vec<DewpierProcess> = ["f0", "f1"]
        .map(|f| DewpierProcess::start_forwarder_with(f, &addresses.listen, &own_inventory))
        .into();
    let loads: Vec<LoadGenerator> =
        forwarders.iter().zip(["f0", "f1"]).map(|(f, n)| start_load(f.address, n)).collect();
    wait_for("load on all", || backends.iter().all(|b| b.request_count() > 2));
    let lines: Vec<usize> = planners.iter().map(DewpierProcess::log_line_count).collect();
    replace_file(&file, with_draining_nodes(&good, &[0]).as_bytes());
    let drained_at =
        planners.iter().zip(&lines).map(|(p, from)| p.wait_for_log(*from, "backends from").0).min().unwrap();
    planners.iter_mut().for_each(kill);
    for forwarder in &forwarders {
        forwarder.wait_for_log(0, "from its own watch");
    }
    // Another node drains while no planner runs.
    let lines: Vec<usize> = forwarders.iter().map(DewpierProcess::log_line_count).collect();
    replace_file(&file, with_draining_nodes(&good, &[0, 1]).as_bytes());
    for (forwarder, from) in forwarders.iter().zip(&lines) {
        forwarder.wait_for_log(*from, "from its own watch");
    }
    let second_drained_at = Instant::now();
    std::thread::sleep(Duration::from_millis(1000));
    assert_eq!(
        (
            count_after_drain_grace(&backends[0], drained_at),
            count_after_drain_grace(&backends[1], second_drained_at)
        ),
        (0, 0)
    );
    // The planners found a new group, whose plans are newer than the previous ones.
    let planners: Vec<DewpierProcess> = (0..3).map(|n| addresses.start(n, &file)).collect();
    for forwarder in &forwarders {
        forwarder.wait_for_log(0, "planners are back");
    }
    wait_for_agreement(&planners, 2);
    std::thread::sleep(Duration::from_millis(1000));
    assert_eq!(
        (
            count_after_drain_grace(&backends[0], drained_at),
            count_after_drain_grace(&backends[1], second_drained_at)
        ),
        (0, 0)
    );
    let lines = planners[1].log_line_count();
    replace_file(&file, with_draining_nodes(&good, &[0, 1, 2]).as_bytes());
    let (third_drained_at, _) = planners[1].wait_for_log(lines, "backends from");
    std::thread::sleep(Duration::from_millis(1000));
    assert_eq!(count_after_drain_grace(&backends[2], third_drained_at), 0);
    let mut tally = ResponseCounts::default();
    loads.into_iter().for_each(|load| tally.add(load.stop()));
    assert_eq!((tally.failed, tally.unanswered), (0, 0), "of {}", tally.total());
    assert!(tally.served > 500 && tally.rejected <= 8, "{} of {} refused", tally.rejected, tally.total());
    assert_orders_ran_once(&backends);
    forwarders.into_iter().chain(planners).for_each(DewpierProcess::terminate);
}

/// Each planner in turn is partitioned from the two others; in one round only its incoming messages are held back. A
/// drain that only it has read holds, and so does a drain that only the others have read.
#[test]
fn partitioned_planners_keep_drains_and_agree_after_the_partition() {
    let backends: Vec<Backend> =
        (0..8).map(|i| Backend::start(&format!("b{i}"), Duration::from_micros(200))).collect();
    let good = inventory_csv(&backends);
    let files: Vec<_> = (0..3).map(|n| create_test_folder(&format!("cut-{n}")).join("nodes.csv")).collect();
    files.iter().for_each(|file| std::fs::write(file, &good).unwrap());
    let addresses = PlannerAddresses::new();
    // A relay for each direction between two planners.
    let relays: Vec<Vec<Relay>> =
        (0..3).map(|_| (0..3).map(|to| Relay::start(addresses.cluster[to])).collect()).collect();
    let planners: Vec<DewpierProcess> = (0..3)
        .map(|n| {
            let address = |to: usize| if to == n { addresses.cluster[n] } else { relays[n][to].address };
            addresses.start_with(n, &files[n], &(0..3).map(address).collect::<Vec<_>>(), 60_000)
        })
        .collect();
    wait_for_agreement(&planners, 0);
    let forwarders: Vec<DewpierProcess> =
        ["f0", "f1"].map(|f| DewpierProcess::start_forwarder(f, &addresses.listen)).into();
    let loads: Vec<LoadGenerator> =
        forwarders.iter().zip(["f0", "f1"]).map(|(f, n)| start_load(f.address, n)).collect();
    wait_for("load on all", || backends.iter().all(|b| b.request_count() > 2));
    let mut drained_nodes: Vec<(usize, Instant)> = Vec::new();
    let write = |planner_numbers: &[usize], drains: &[usize]| {
        let lines: Vec<usize> = planner_numbers.iter().map(|n| planners[*n].log_line_count()).collect();
        planner_numbers
            .iter()
            .for_each(|n| replace_file(&files[*n], with_draining_nodes(&good, drains).as_bytes()));
        let read_at = planner_numbers
            .iter()
            .zip(&lines)
            .map(|(n, from)| planners[*n].wait_for_log(*from, "backends from").0);
        read_at.min().unwrap()
    };
    for (isolated, own_relays) in relays.iter().enumerate() {
        let others: Vec<usize> = (0..3).filter(|n| *n != isolated).collect();
        let set_partition = |on: bool| {
            for other in &others {
                own_relays[*other].set_blocked(on && isolated != 1, on);
                relays[*other][isolated].set_blocked(on && isolated != 1, on);
            }
        };
        let before: Vec<usize> = drained_nodes.iter().map(|(node, _)| *node).collect();
        let with = |node: usize| [&before[..], &[node]].concat();
        set_partition(true);
        std::thread::sleep(Duration::from_millis(400));
        drained_nodes.push((2 * isolated, write(&[isolated], &with(2 * isolated))));
        drained_nodes.push((2 * isolated + 1, write(&others, &with(2 * isolated + 1))));
        let plan_end = format!("{} of them draining", before.len() + 1);
        let plan_of = |n: usize| last_plan(&planners[n]);
        wait_for("agreement of the others", || {
            let [one, other] = [plan_of(others[0]), plan_of(others[1])];
            one == other && one.is_some_and(|p| p.ends_with(&plan_end))
        });
        std::thread::sleep(Duration::from_millis(1000));
        assert_ne!(plan_of(isolated), plan_of(others[0]), "planner {isolated} is partitioned");
        for (node, at) in &drained_nodes {
            assert_eq!(
                count_after_drain_grace(&backends[*node], *at),
                0,
                "late sends to node {node} while planner {isolated} is partitioned"
            );
        }
        set_partition(false);
        let all: Vec<usize> = drained_nodes.iter().map(|(node, _)| *node).collect();
        write(&[0, 1, 2], &all);
        wait_for_agreement(&planners, all.len());
        for (node, at) in &drained_nodes {
            assert_eq!(
                count_after_drain_grace(&backends[*node], *at),
                0,
                "late sends to node {node} after the partition of planner {isolated}"
            );
        }
    }
    write(&[0, 1, 2], &[]);
    wait_for_agreement(&planners, 0);
    let before = backends[0].request_count();
    wait_for("load on the returned nodes", || backends[0].request_count() > before + 2);
    let mut tally = ResponseCounts::default();
    loads.into_iter().for_each(|load| tally.add(load.stop()));
    assert_eq!((tally.failed, tally.unanswered), (0, 0), "of {}", tally.total());
    assert!(tally.served > 500 && tally.rejected <= 8, "{} of {} refused", tally.rejected, tally.total());
    assert_orders_ran_once(&backends);
    forwarders.into_iter().chain(planners).for_each(DewpierProcess::terminate);
}

#[test]
fn drain_read_by_one_planner_holds_until_that_planner_is_expelled() {
    let backends: Vec<Backend> =
        (0..4).map(|i| Backend::start(&format!("b{i}"), Duration::from_micros(200))).collect();
    let good = inventory_csv(&backends);
    // Each planner has its own copy of the inventory.
    let files: Vec<_> = (0..3).map(|n| create_test_folder(&format!("copy-{n}")).join("nodes.csv")).collect();
    files.iter().for_each(|file| std::fs::write(file, &good).unwrap());
    let addresses = PlannerAddresses::new();
    let mut planners: Vec<DewpierProcess> = (0..3).map(|n| addresses.start(n, &files[n])).collect();
    wait_for_agreement(&planners, 0);
    let forwarder = DewpierProcess::start_forwarder("f0", &addresses.listen);
    let load = start_load(forwarder.address, "f0");
    wait_for("load on all", || backends.iter().all(|b| b.request_count() > 2));
    let lines = planners[2].log_line_count();
    replace_file(&files[2], with_draining_nodes(&good, &[0]).as_bytes());
    let (drained_at, _) = planners[2].wait_for_log(lines, "backends from");
    wait_for_agreement(&planners, 1);
    // The other planners read another change without this drain, which must not cancel it.
    replace_file(&files[0], with_draining_nodes(&good, &[1]).as_bytes());
    wait_for_agreement(&planners, 2);
    std::thread::sleep(Duration::from_millis(700));
    assert_eq!(count_after_drain_grace(&backends[0], drained_at), 0);
    let killed = planners.pop().unwrap();
    let killed_at = Instant::now();
    drop(killed);
    wait_for_agreement(&planners, 1);
    assert!(
        killed_at.elapsed() > Duration::from_millis(2500),
        "the planner was expelled after {:?}",
        killed_at.elapsed()
    );
    let before = backends[0].request_count();
    wait_for("load on the node that only the expelled planner had drained", || {
        backends[0].request_count() > before + 2
    });
    let tally = load.stop();
    assert_eq!((tally.failed, tally.unanswered, tally.rejected), (0, 0, 0), "of {}", tally.total());
    planners.push(forwarder);
    planners.into_iter().for_each(DewpierProcess::terminate);
}

/// Forwarders with a slice connect only to the nodes of that slice with either list source, and replace a drained node.
#[test]
fn forwarder_keeps_its_slice_over_drains_and_the_loss_of_all_planners() {
    const SLICE_SIZE: usize = 6;
    let backends: Vec<Backend> =
        (0..24).map(|i| Backend::start(&format!("b{i}"), Duration::from_micros(200))).collect();
    let file = create_test_folder("part").join("nodes.csv");
    let good = inventory_csv(&backends);
    std::fs::write(&file, &good).unwrap();
    let addresses = PlannerAddresses::new();
    let mut planners: Vec<DewpierProcess> = (0..3).map(|n| addresses.start(n, &file)).collect();
    wait_for_agreement(&planners, 0);
    let settings = format!("nodes = {SLICE_SIZE}\n{}", inventory_settings(&file));
    let forwarder = DewpierProcess::start_forwarder_with("f0", &addresses.listen, &settings);
    let load = start_load(forwarder.address, "f0");
    let used_nodes = || -> Vec<usize> { (0..24).filter(|i| backends[*i].request_count() > 0).collect() };
    wait_for("load", || backends.iter().map(Backend::request_count).sum::<usize>() > 500);
    let first_used = used_nodes();
    assert!((2..=SLICE_SIZE).contains(&first_used.len()), "{first_used:?}");
    // A used node drains: the next node replaces it.
    let drained_node = first_used[0];
    let lines: Vec<usize> = planners.iter().map(DewpierProcess::log_line_count).collect();
    replace_file(&file, with_draining_nodes(&good, &[drained_node]).as_bytes());
    let drained_at =
        planners.iter().zip(&lines).map(|(p, from)| p.wait_for_log(*from, "backends from").0).min().unwrap();
    wait_for_agreement(&planners, 1);
    std::thread::sleep(Duration::from_millis(1000));
    assert_eq!(count_after_drain_grace(&backends[drained_node], drained_at), 0);
    planners.iter_mut().for_each(kill);
    forwarder.wait_for_log(0, "from its own watch");
    let before: Vec<usize> = backends.iter().map(Backend::request_count).collect();
    wait_for("load with its own list", || {
        backends.iter().zip(&before).map(|(b, n)| b.request_count() - n).sum::<usize>() > 500
    });
    assert_eq!(count_after_drain_grace(&backends[drained_node], drained_at), 0);
    let last_used = used_nodes();
    assert!(
        last_used.len() <= SLICE_SIZE + 1,
        "{first_used:?}, then {last_used:?}: expected the same slice from its own watch"
    );
    let descriptors = std::fs::read_dir(format!("/proc/{}/fd", forwarder.child.id())).map(|d| d.count());
    let descriptors = descriptors.unwrap_or(0); // 0 without /proc
    assert!(descriptors < 64, "{descriptors} descriptors for {SLICE_SIZE} nodes");
    let tally = load.stop();
    assert_eq!((tally.failed, tally.unanswered), (0, 0), "of {}", tally.total());
    assert!(tally.rejected <= 4, "{} of {} refused", tally.rejected, tally.total());
    assert_orders_ran_once(&backends);
    forwarder.terminate();
}

#[test]
fn forwarders_together_limit_the_load_on_a_cold_node() {
    let backends: Vec<Backend> =
        (0..7).map(|i| Backend::start(&format!("b{i}"), Duration::from_micros(200))).collect();
    let file = create_test_folder("cold").join("nodes.csv");
    std::fs::write(&file, inventory_csv(&backends[..6])).unwrap();
    let addresses = PlannerAddresses::new();
    let planners: Vec<DewpierProcess> = (0..3).map(|n| addresses.start(n, &file)).collect();
    wait_for_agreement(&planners, 0);
    // Short enough to end within this test.
    let forwarders: Vec<DewpierProcess> = ["f0", "f1", "f2"]
        .map(|f| DewpierProcess::start_forwarder_with(f, &addresses.listen, "[backends]\ncold_ms = 4000\n"))
        .into();
    let loads: Vec<LoadGenerator> =
        forwarders.iter().zip(["f0", "f1", "f2"]).map(|(f, n)| start_load(f.address, n)).collect();
    wait_for("load on all", || backends.iter().take(6).all(|b| b.request_count() > 200));
    replace_file(&file, inventory_csv(&backends).as_bytes());
    wait_for("load on the new node", || backends[6].request_count() > 0);
    let (from, to) = (Instant::now(), Duration::from_secs(2));
    std::thread::sleep(to);
    let count_arrivals = |b: &Backend| {
        b.arrivals().iter().filter(|a| a.received_at >= from && a.received_at < from + to).count()
    };
    let cold = count_arrivals(&backends[6]);
    let warm_average = backends.iter().take(6).map(count_arrivals).sum::<usize>() / 6;
    // The cold node has 1/5 of its capacity at first and 3/5 after 2 s of 4 s; 3 times its capacity overloads it.
    assert!(cold <= 3 * 2 * warm_average / 5, "{cold} against {warm_average}");
    assert!(cold > 0 && warm_average > 50, "{cold} against {warm_average}");
    let mut tally = ResponseCounts::default();
    loads.into_iter().for_each(|load| tally.add(load.stop()));
    assert_eq!((tally.failed, tally.unanswered), (0, 0), "of {}", tally.total());
    forwarders.into_iter().chain(planners).for_each(DewpierProcess::terminate);
}
