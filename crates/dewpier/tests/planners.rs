//! Three planners that agree, and forwarders that follow them, over real sockets: planners are killed one
//! by one and all at once while nodes drain, under load.

use dewpier_standins::backend::Backend;
use dewpier_standins::load::{LoadGenerator, ResponseCounts};
use dewpier_standins::relay::Relay;
use dewpier_standins::{reserve_addresses, wait_for};
use dewpier_trials::process::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// Where three planners are: for forwarders, and for each other.
struct Places {
    listen: Vec<SocketAddr>,
    talk: Vec<SocketAddr>,
}

impl Places {
    fn new() -> Self {
        let mut listen = reserve_addresses(6);
        let talk = listen.split_off(3);
        Self { listen, talk }
    }

    fn start(&self, number: usize, file: &Path) -> DewpierProcess {
        self.start_by(number, file, &self.talk, 3000)
    }

    /// One that reaches the others at these addresses, and expels who is silent for so many milliseconds.
    fn start_by(&self, number: usize, file: &Path, talk: &[SocketAddr], expel_after: u64) -> DewpierProcess {
        let talk: Vec<String> = talk.iter().map(|a| format!("\"{a}\"")).collect();
        let settings = format!(
            "number = {number}\n[cluster]\nplanners = [{}]\nexpel_after_ms = {expel_after}\n",
            talk.join(", ")
        );
        DewpierProcess::start_planner_with(&self.listen[number].to_string(), file, &settings)
    }
}

fn kill(planner: &mut DewpierProcess) {
    planner.child.kill().unwrap();
    planner.child.wait().unwrap();
}

fn load(address: SocketAddr, name: &'static str) -> LoadGenerator {
    start_order_load(address, name, 2, Duration::from_millis(2))
}

/// The plan that a planner logged last.
fn plan(planner: &DewpierProcess) -> Option<String> {
    planner.log_lines().iter().rev().find_map(|l| l.split("plan ").nth(1).map(str::to_string))
}

fn agree(planners: &[DewpierProcess], draining: usize) {
    let words = format!("{draining} of them draining");
    wait_for(&format!("agreement on {words}"), || {
        let plans: Vec<_> = planners.iter().map(plan).collect();
        plans.iter().all(|p| p.is_some() && *p == plans[0] && p.as_ref().unwrap().ends_with(&words))
    });
}

fn orders_ran_once(backends: &[Backend]) {
    let mut orders: HashMap<String, usize> = HashMap::new();
    for order in backends.iter().flat_map(|b| b.arrivals()).filter_map(|a| a.order_id) {
        *orders.entry(order).or_default() += 1;
    }
    assert!(orders.len() > 100 && orders.values().all(|n| *n == 1), "an order ran twice");
}

#[test]
fn planners_are_killed_one_by_one_while_nodes_drain() {
    let backends: Vec<Backend> =
        (0..8).map(|i| Backend::start(&format!("b{i}"), Duration::from_micros(200))).collect();
    let file = create_test_folder("one-by-one").join("nodes.csv");
    let good = inventory_csv(&backends);
    std::fs::write(&file, &good).unwrap();
    let places = Places::new();
    let mut planners: Vec<DewpierProcess> = (0..3).map(|n| places.start(n, &file)).collect();
    agree(&planners, 0);
    let forwarders: Vec<DewpierProcess> =
        ["f0", "f1"].map(|f| DewpierProcess::start_forwarder(f, &places.listen)).into();
    let loads: Vec<LoadGenerator> =
        forwarders.iter().zip(["f0", "f1"]).map(|(f, n)| load(f.address, n)).collect();
    wait_for("load on all", || backends.iter().all(|b| b.request_count() > 2));
    let mut told = Vec::new();
    for n in 0..3 {
        // Each is told of a drain and killed in that moment. The two others go on.
        let lines = planners[n].log_line_count();
        let now: Vec<usize> = (0..=n).collect();
        replace_file(&file, with_draining_nodes(&good, &now).as_bytes());
        let (at, _) = planners[n].wait_for_log(lines, "backends from");
        kill(&mut planners[n]);
        told.push(at);
        std::thread::sleep(Duration::from_millis(1000));
        for (i, at) in told.iter().enumerate() {
            assert_eq!(count_after_drain_grace(&backends[i], *at), 0, "of {i} after planner {n} was killed");
        }
        // It comes back empty, and catches up.
        planners[n] = places.start(n, &file);
        agree(&planners, n + 1);
    }
    // What drained comes back, once all three say so.
    replace_file(&file, good.as_bytes());
    agree(&planners, 0);
    let counts = |from: usize| backends.iter().take(from).map(Backend::request_count).sum::<usize>();
    let before = counts(3);
    wait_for("those that are back", || counts(3) > before + 5);
    let mut tally = ResponseCounts::default();
    loads.into_iter().for_each(|load| tally.add(load.stop()));
    assert_eq!((tally.failed, tally.unanswered), (0, 0), "of {}", tally.total());
    assert!(tally.served > 500 && tally.rejected <= 4, "{} of {} refused", tally.rejected, tally.total());
    orders_ran_once(&backends);
    forwarders.into_iter().chain(planners).for_each(DewpierProcess::terminate);
}

#[test]
fn all_planners_are_killed_at_once_while_nodes_drain_and_come_back() {
    let backends: Vec<Backend> =
        (0..8).map(|i| Backend::start(&format!("b{i}"), Duration::from_micros(200))).collect();
    let file = create_test_folder("all-at-once").join("nodes.csv");
    let good = inventory_csv(&backends);
    std::fs::write(&file, &good).unwrap();
    let places = Places::new();
    let mut planners: Vec<DewpierProcess> = (0..3).map(|n| places.start(n, &file)).collect();
    agree(&planners, 0);
    let own = inventory_settings(&file);
    let forwarders: Vec<DewpierProcess> =
        ["f0", "f1"].map(|f| DewpierProcess::start_forwarder_with(f, &places.listen, &own)).into();
    let loads: Vec<LoadGenerator> =
        forwarders.iter().zip(["f0", "f1"]).map(|(f, n)| load(f.address, n)).collect();
    wait_for("load on all", || backends.iter().all(|b| b.request_count() > 2));
    let lines: Vec<usize> = planners.iter().map(DewpierProcess::log_line_count).collect();
    replace_file(&file, with_draining_nodes(&good, &[0]).as_bytes());
    let told =
        planners.iter().zip(&lines).map(|(p, from)| p.wait_for_log(*from, "backends from").0).min().unwrap();
    planners.iter_mut().for_each(kill);
    for forwarder in &forwarders {
        forwarder.wait_for_log(0, "from its own watch");
    }
    // One more drains while there is no planner at all.
    let lines: Vec<usize> = forwarders.iter().map(DewpierProcess::log_line_count).collect();
    replace_file(&file, with_draining_nodes(&good, &[0, 1]).as_bytes());
    for (forwarder, from) in forwarders.iter().zip(&lines) {
        forwarder.wait_for_log(*from, "from its own watch");
    }
    let told_two = Instant::now();
    std::thread::sleep(Duration::from_millis(1000));
    assert_eq!(
        (count_after_drain_grace(&backends[0], told), count_after_drain_grace(&backends[1], told_two)),
        (0, 0)
    );
    // They begin a group anew, whose plans are newer than those before.
    let planners: Vec<DewpierProcess> = (0..3).map(|n| places.start(n, &file)).collect();
    for forwarder in &forwarders {
        forwarder.wait_for_log(0, "planners are back");
    }
    agree(&planners, 2);
    std::thread::sleep(Duration::from_millis(1000));
    assert_eq!(
        (count_after_drain_grace(&backends[0], told), count_after_drain_grace(&backends[1], told_two)),
        (0, 0)
    );
    let lines = planners[1].log_line_count();
    replace_file(&file, with_draining_nodes(&good, &[0, 1, 2]).as_bytes());
    let (told_three, _) = planners[1].wait_for_log(lines, "backends from");
    std::thread::sleep(Duration::from_millis(1000));
    assert_eq!(count_after_drain_grace(&backends[2], told_three), 0);
    let mut tally = ResponseCounts::default();
    loads.into_iter().for_each(|load| tally.add(load.stop()));
    assert_eq!((tally.failed, tally.unanswered), (0, 0), "of {}", tally.total());
    assert!(tally.served > 500 && tally.rejected <= 8, "{} of {} refused", tally.rejected, tally.total());
    orders_ran_once(&backends);
    forwarders.into_iter().chain(planners).for_each(DewpierProcess::terminate);
}

/// Each planner is cut off from the two others in turn, so that one of them leads; in one round just what
/// it is answered is held back. A drain that only it is told of meanwhile holds, and so does one that only
/// the others are told of.
#[test]
fn planners_that_the_network_cuts_apart_keep_drains_and_agree_once_it_is_mended() {
    let backends: Vec<Backend> =
        (0..8).map(|i| Backend::start(&format!("b{i}"), Duration::from_micros(200))).collect();
    let good = inventory_csv(&backends);
    let files: Vec<_> = (0..3).map(|n| create_test_folder(&format!("cut-{n}")).join("nodes.csv")).collect();
    files.iter().for_each(|file| std::fs::write(file, &good).unwrap());
    let places = Places::new();
    // The way from each to each other is one of its own.
    let ways: Vec<Vec<Relay>> =
        (0..3).map(|_| (0..3).map(|to| Relay::start(places.talk[to])).collect()).collect();
    let planners: Vec<DewpierProcess> = (0..3)
        .map(|n| {
            let reached = |to: usize| if to == n { places.talk[n] } else { ways[n][to].address };
            places.start_by(n, &files[n], &(0..3).map(reached).collect::<Vec<_>>(), 60_000)
        })
        .collect();
    agree(&planners, 0);
    let forwarders: Vec<DewpierProcess> =
        ["f0", "f1"].map(|f| DewpierProcess::start_forwarder(f, &places.listen)).into();
    let loads: Vec<LoadGenerator> =
        forwarders.iter().zip(["f0", "f1"]).map(|(f, n)| load(f.address, n)).collect();
    wait_for("load on all", || backends.iter().all(|b| b.request_count() > 2));
    let mut drained_nodes: Vec<(usize, Instant)> = Vec::new();
    let write = |at: &[usize], drains: &[usize]| {
        let lines: Vec<usize> = at.iter().map(|n| planners[*n].log_line_count()).collect();
        at.iter().for_each(|n| replace_file(&files[*n], with_draining_nodes(&good, drains).as_bytes()));
        let read = at.iter().zip(&lines).map(|(n, from)| planners[*n].wait_for_log(*from, "backends from").0);
        read.min().unwrap()
    };
    for (alone, own_ways) in ways.iter().enumerate() {
        let others: Vec<usize> = (0..3).filter(|n| *n != alone).collect();
        let cut = |on: bool| {
            for other in &others {
                own_ways[*other].set_blocked(on && alone != 1, on);
                ways[*other][alone].set_blocked(on && alone != 1, on);
            }
        };
        let before: Vec<usize> = drained_nodes.iter().map(|(node, _)| *node).collect();
        let with = |node: usize| [&before[..], &[node]].concat();
        cut(true);
        std::thread::sleep(Duration::from_millis(400));
        drained_nodes.push((2 * alone, write(&[alone], &with(2 * alone))));
        drained_nodes.push((2 * alone + 1, write(&others, &with(2 * alone + 1))));
        let words = format!("{} of them draining", before.len() + 1);
        let of = |n: usize| plan(&planners[n]);
        wait_for("agreement of the others", || {
            let [one, other] = [of(others[0]), of(others[1])];
            one == other && one.is_some_and(|p| p.ends_with(&words))
        });
        std::thread::sleep(Duration::from_millis(1000));
        assert_ne!(of(alone), of(others[0]), "{alone} is cut off");
        for (node, at) in &drained_nodes {
            assert_eq!(
                count_after_drain_grace(&backends[*node], *at),
                0,
                "of {node} while {alone} is cut off"
            );
        }
        cut(false);
        let all: Vec<usize> = drained_nodes.iter().map(|(node, _)| *node).collect();
        write(&[0, 1, 2], &all);
        agree(&planners, all.len());
        for (node, at) in &drained_nodes {
            assert_eq!(count_after_drain_grace(&backends[*node], *at), 0, "of {node} after {alone} is back");
        }
    }
    write(&[0, 1, 2], &[]);
    agree(&planners, 0);
    let before = backends[0].request_count();
    wait_for("those that are back", || backends[0].request_count() > before + 2);
    let mut tally = ResponseCounts::default();
    loads.into_iter().for_each(|load| tally.add(load.stop()));
    assert_eq!((tally.failed, tally.unanswered), (0, 0), "of {}", tally.total());
    assert!(tally.served > 500 && tally.rejected <= 8, "{} of {} refused", tally.rejected, tally.total());
    orders_ran_once(&backends);
    forwarders.into_iter().chain(planners).for_each(DewpierProcess::terminate);
}

#[test]
fn what_one_planner_alone_was_told_of_holds_until_it_is_expelled() {
    let backends: Vec<Backend> =
        (0..4).map(|i| Backend::start(&format!("b{i}"), Duration::from_micros(200))).collect();
    let good = inventory_csv(&backends);
    // Each has a copy of the inventory of its own.
    let files: Vec<_> = (0..3).map(|n| create_test_folder(&format!("copy-{n}")).join("nodes.csv")).collect();
    files.iter().for_each(|file| std::fs::write(file, &good).unwrap());
    let places = Places::new();
    let mut planners: Vec<DewpierProcess> = (0..3).map(|n| places.start(n, &files[n])).collect();
    agree(&planners, 0);
    let forwarder = DewpierProcess::start_forwarder("f0", &places.listen);
    let load = load(forwarder.address, "f0");
    wait_for("load on all", || backends.iter().all(|b| b.request_count() > 2));
    let lines = planners[2].log_line_count();
    replace_file(&files[2], with_draining_nodes(&good, &[0]).as_bytes());
    let (told, _) = planners[2].wait_for_log(lines, "backends from");
    agree(&planners, 1);
    // The others see something new, and not that; and their word does not bring it back.
    replace_file(&files[0], with_draining_nodes(&good, &[1]).as_bytes());
    agree(&planners, 2);
    std::thread::sleep(Duration::from_millis(700));
    assert_eq!(count_after_drain_grace(&backends[0], told), 0);
    let gone = planners.pop().unwrap();
    let at = Instant::now();
    drop(gone);
    agree(&planners, 1);
    assert!(at.elapsed() > Duration::from_millis(2500), "it was expelled after {:?}", at.elapsed());
    let before = backends[0].request_count();
    wait_for("the one that only the dead one had drained", || backends[0].request_count() > before + 2);
    let tally = load.stop();
    assert_eq!((tally.failed, tally.unanswered, tally.rejected), (0, 0, 0), "of {}", tally.total());
    planners.push(forwarder);
    planners.into_iter().for_each(DewpierProcess::terminate);
}

/// Forwarders that use a part of the fleet: no more nodes than that hear of them, whichever source tells
/// them, and a drained member's place is taken.
#[test]
fn forwarders_of_a_part_keep_to_it_over_drains_and_the_loss_of_all_planners() {
    const PART: usize = 6;
    let backends: Vec<Backend> =
        (0..24).map(|i| Backend::start(&format!("b{i}"), Duration::from_micros(200))).collect();
    let file = create_test_folder("part").join("nodes.csv");
    let good = inventory_csv(&backends);
    std::fs::write(&file, &good).unwrap();
    let places = Places::new();
    let mut planners: Vec<DewpierProcess> = (0..3).map(|n| places.start(n, &file)).collect();
    agree(&planners, 0);
    let settings = format!("nodes = {PART}\n{}", inventory_settings(&file));
    let forwarder = DewpierProcess::start_forwarder_with("f0", &places.listen, &settings);
    let load = load(forwarder.address, "f0");
    let used = || -> Vec<usize> { (0..24).filter(|i| backends[*i].request_count() > 0).collect() };
    wait_for("load", || backends.iter().map(Backend::request_count).sum::<usize>() > 500);
    let first = used();
    assert!((2..=PART).contains(&first.len()), "{first:?}");
    // One that it uses drains: the next one takes its place.
    let drains = first[0];
    let lines: Vec<usize> = planners.iter().map(DewpierProcess::log_line_count).collect();
    replace_file(&file, with_draining_nodes(&good, &[drains]).as_bytes());
    let told =
        planners.iter().zip(&lines).map(|(p, from)| p.wait_for_log(*from, "backends from").0).min().unwrap();
    agree(&planners, 1);
    std::thread::sleep(Duration::from_millis(1000));
    assert_eq!(count_after_drain_grace(&backends[drains], told), 0);
    planners.iter_mut().for_each(kill);
    forwarder.wait_for_log(0, "from its own watch");
    let before: Vec<usize> = backends.iter().map(Backend::request_count).collect();
    wait_for("load by its own watch", || {
        backends.iter().zip(&before).map(|(b, n)| b.request_count() - n).sum::<usize>() > 500
    });
    assert_eq!(count_after_drain_grace(&backends[drains], told), 0);
    let last = used();
    assert!(last.len() <= PART + 1, "{first:?}, then {last:?}: its own watch has the same part");
    let descriptors = std::fs::read_dir(format!("/proc/{}/fd", forwarder.child.id())).map(|d| d.count());
    let descriptors = descriptors.unwrap_or(0); // told where the system tells it
    assert!(descriptors < 64, "{descriptors} descriptors for {PART} nodes");
    let tally = load.stop();
    assert_eq!((tally.failed, tally.unanswered), (0, 0), "of {}", tally.total());
    assert!(tally.rejected <= 4, "{} of {} refused", tally.rejected, tally.total());
    orders_ran_once(&backends);
    forwarder.terminate();
}

#[test]
fn all_forwarders_together_spare_a_node_that_has_just_started() {
    let backends: Vec<Backend> =
        (0..7).map(|i| Backend::start(&format!("b{i}"), Duration::from_micros(200))).collect();
    let file = create_test_folder("cold").join("nodes.csv");
    std::fs::write(&file, inventory_csv(&backends[..6])).unwrap();
    let places = Places::new();
    let planners: Vec<DewpierProcess> = (0..3).map(|n| places.start(n, &file)).collect();
    agree(&planners, 0);
    // Short enough to see it end.
    let forwarders: Vec<DewpierProcess> = ["f0", "f1", "f2"]
        .map(|f| DewpierProcess::start_forwarder_with(f, &places.listen, "[backends]\ncold_ms = 4000\n"))
        .into();
    let loads: Vec<LoadGenerator> =
        forwarders.iter().zip(["f0", "f1", "f2"]).map(|(f, n)| load(f.address, n)).collect();
    wait_for("load on all", || backends.iter().take(6).all(|b| b.request_count() > 200));
    replace_file(&file, inventory_csv(&backends).as_bytes());
    wait_for("the new one", || backends[6].request_count() > 0);
    let (from, to) = (Instant::now(), Duration::from_secs(2));
    std::thread::sleep(to);
    let within = |b: &Backend| {
        b.arrivals().iter().filter(|a| a.received_at >= from && a.received_at < from + to).count()
    };
    let cold = within(&backends[6]);
    let usual = backends.iter().take(6).map(within).sum::<usize>() / 6;
    // A fifth at first and three fifths after two seconds of four, times 3, is what tips it over.
    assert!(cold <= 3 * 2 * usual / 5, "{cold} against {usual}");
    assert!(cold > 0 && usual > 50, "{cold} against {usual}");
    let mut tally = ResponseCounts::default();
    loads.into_iter().for_each(|load| tally.add(load.stop()));
    assert_eq!((tally.failed, tally.unanswered), (0, 0), "of {}", tally.total());
    forwarders.into_iter().chain(planners).for_each(DewpierProcess::terminate);
}
