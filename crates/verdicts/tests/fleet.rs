//! Simulated fleets in virtual time, with lossy networks and nodes of configured failure rates.

mod common;

use common::*;
use dewpier_peers::{ProxyId, TopicHandler};
use dewpier_verdicts::*;
use std::time::Duration;

fn seconds(s: u64) -> Duration {
    Duration::from_secs(s)
}

#[test]
fn pooled_evidence_ejects_a_bad_node_after_fewer_attempts() {
    for (behaviour, kind) in [
        (NodeBehaviour::Hanging, Kind::Silent),
        (NodeBehaviour::Failing(1.0), Kind::Failing),
        (NodeBehaviour::Gone, Kind::Gone),
        (NodeBehaviour::Slow, Kind::Slow),
    ] {
        let mut attempts = [0, 0];
        for (pooled, attempts) in [true, false].into_iter().zip(&mut attempts) {
            for seed in 0..5 {
                let mut simulation =
                    Simulation::new(SimulationConfig { pooled, seed, ..SimulationConfig::default() });
                simulation.run(seconds(30));
                simulation.behaviours[2] = behaviour;
                let turned_bad_at = simulation.now;
                let timeout = if pooled { seconds(12) } else { seconds(20) };
                let ejected_after = simulation.run_until(timeout, |s| s.count_ejecting(2) >= 23);
                assert_eq!(ejected_after.is_some(), pooled, "seed {seed}");
                if pooled {
                    assert_eq!(simulation.kinds(0), [kind], "seed {seed}");
                }
                simulation.run(turned_bad_at + seconds(40) - simulation.now);
                *attempts += simulation.count_attempts_since(2, turned_bad_at);
            }
        }
        assert!(
            attempts[0] * 2 < attempts[1],
            "{kind:?}: {attempts:?} attempts with and without pooled evidence"
        );
    }
}

/// Failures at one bad node count as normal when the other one is judged, until one of them has a verdict.
#[test]
fn two_nodes_that_turn_bad_at_once_are_both_ejected() {
    for behaviour in [NodeBehaviour::Hanging, NodeBehaviour::Failing(1.0), NodeBehaviour::Gone] {
        let mut seconds_taken = [Vec::new(), Vec::new()];
        for seed in 0..8 {
            for (bad_nodes, seconds_taken) in [&[2][..], &[2, 5]].into_iter().zip(&mut seconds_taken) {
                let mut simulation =
                    Simulation::new(SimulationConfig { seed, ..SimulationConfig::default() });
                simulation.run(seconds(30));
                bad_nodes.iter().for_each(|node| simulation.behaviours[*node] = behaviour);
                let all_ejected = |s: &Simulation| bad_nodes.iter().all(|node| s.count_ejecting(*node) >= 23);
                let ejected_after = simulation.run_until(seconds(14), all_ejected);
                seconds_taken.push(
                    ejected_after
                        .unwrap_or_else(|| panic!("seed {seed}: {bad_nodes:?} {behaviour:?}"))
                        .as_secs_f64(),
                );
                assert_eq!(simulation.false_avoidances, 0, "seed {seed}");
            }
        }
        println!("{behaviour:?}: one {:.1?}, two {:.1?}", seconds_taken[0], seconds_taken[1]);
    }
}

#[test]
fn recovered_node_returns_after_few_trials() {
    let mut simulation = Simulation::new(SimulationConfig::default());
    simulation.run(seconds(30));
    simulation.behaviours[2] = NodeBehaviour::Failing(1.0);
    simulation.run(seconds(60));
    let trials = simulation.count_attempts_since(2, simulation.now - seconds(30));
    // About two in each quarter of 30 s. Without pooled evidence every proxy would send its own.
    assert!((2..=20).contains(&trials), "{trials} attempts in 30 s");
    simulation.behaviours[2] = NodeBehaviour::Healthy;
    let returned_after = simulation.run_until(seconds(31), |s| s.count_ejecting(2) == 0);
    assert!(returned_after.is_some(), "the node did not return within the maximum evidence age");
    simulation.run(seconds(60));
    assert_eq!(simulation.count_ejecting(2), 0);
}

#[test]
fn false_reports_of_one_proxy_eject_no_node() {
    for proxies in [4, 12, 40] {
        let mut simulation =
            Simulation::new(SimulationConfig { proxies, nodes: 8, ..SimulationConfig::default() });
        simulation.proxies[1].sends_false_reports = true;
        simulation.run(seconds(60));
        assert_eq!(simulation.false_avoidances, 0, "{proxies} proxies");
    }
}

#[test]
fn suspended_proxy_resumes_without_old_evidence() {
    let mut simulation = Simulation::new(SimulationConfig::default());
    simulation.run(seconds(30));
    simulation.behaviours[2] = NodeBehaviour::Hanging;
    simulation.run(seconds(12));
    assert!(simulation.avoids(5, 2));
    simulation.proxies[5].suspended_until = simulation.now + seconds(35);
    simulation.behaviours[2] = NodeBehaviour::Healthy;
    simulation.run(seconds(34));
    // The datagrams in its socket report a hanging node; the first step after the suspension reads all of them.
    simulation.run(STEP * 6);
    assert!(!simulation.avoids(5, 2), "{:?}", simulation.proxies[5].verdicts.summaries(simulation.now));
    assert_eq!(
        simulation
            .proxies
            .iter()
            .filter(|proxy| !proxy.verdicts.summaries(simulation.now).is_empty())
            .count(),
        0
    );
}

#[test]
fn partitioned_halves_judge_separately_and_agree_after_the_partition() {
    let config =
        SimulationConfig { zones: 2, proxies: 16, request_rate: 80.0, ..SimulationConfig::default() };
    let mut simulation = Simulation::new(config);
    // The halves can't exchange datagrams, and one of them can't reach node 3.
    simulation.is_link_cut = Box::new(|now, a, b| now > seconds(30) && now < seconds(90) && a % 2 != b % 2);
    simulation.run(seconds(40));
    simulation.behaviours[3] = NodeBehaviour::UnreachableFromZone(1);
    simulation.run(seconds(40));
    let count_ejecting = |s: &Simulation, zone: usize| {
        let ejects = |i: &usize| s.proxies[*i].verdicts.summaries(s.now).iter().any(|r| r.ejected);
        (zone..16).step_by(2).filter(ejects).count()
    };
    assert_eq!((count_ejecting(&simulation, 0), count_ejecting(&simulation, 1)), (0, 8));
    assert_eq!(simulation.kinds(1), [Kind::Gone], "no evidence of the other half contradicts it");
    // After the partition the link of the zone is judged bad. The verdict may lapse between two trials.
    simulation.run(seconds(30));
    let mut ejecting = 0;
    for _ in 0..10 {
        simulation.run(seconds(5));
        assert_eq!(count_ejecting(&simulation, 0), 0);
        ejecting += count_ejecting(&simulation, 1);
        assert!((1..16).step_by(2).all(|p| simulation.kinds(p).iter().all(|kind| *kind == Kind::Link)));
    }
    assert!(ejecting >= 60, "{ejecting} of 80");
}

#[test]
fn isolated_proxy_ejects_nothing_by_itself() {
    for one_way in [true, false] {
        let mut simulation = Simulation::new(SimulationConfig::default());
        simulation.run(seconds(20));
        simulation.is_link_cut = Box::new(move |_, from, to| to == 4 || (!one_way && from == 4));
        simulation.run(seconds(20));
        simulation.behaviours[2] = NodeBehaviour::Failing(1.0);
        simulation.run(seconds(31));
        assert_eq!(simulation.count_ejecting(2), 23);
        assert!(!simulation.avoids(4, 2), "the isolated proxy has only its own evidence");
    }
}

#[test]
fn loss_of_half_the_datagrams_only_delays_verdicts() {
    let mut simulation = Simulation::new(SimulationConfig { loss: 0.5, ..SimulationConfig::default() });
    simulation.run(seconds(30));
    simulation.behaviours[2] = NodeBehaviour::Failing(1.0);
    assert!(simulation.run_until(seconds(14), |s| s.count_ejecting(2) == 24).is_some());
    assert_eq!(simulation.false_avoidances, 0);
}

#[test]
fn failures_at_all_nodes_eject_no_node() {
    let mut simulation =
        Simulation::new(SimulationConfig { request_rate: 60.0, ..SimulationConfig::default() });
    simulation.run(seconds(20));
    simulation.behaviours = vec![NodeBehaviour::Failing(0.5); 8];
    simulation.run(seconds(60));
    assert!((0..8).all(|n| simulation.count_ejecting(n) == 0));
}

#[test]
fn ejections_stay_within_the_limit_and_spare_the_last_node_of_a_cell() {
    let mut simulation =
        Simulation::new(SimulationConfig { request_rate: 60.0, ..SimulationConfig::default() });
    simulation.run(seconds(20));
    (0..4).for_each(|n| simulation.behaviours[n] = NodeBehaviour::Failing(1.0));
    simulation.run(seconds(20));
    let ejecting: Vec<usize> = (0..8).map(|n| simulation.count_ejecting(n)).collect();
    assert!(ejecting.iter().sum::<usize>() <= 2 * 24, "{ejecting:?}");
    for proxy in &mut simulation.proxies {
        let listed = (0..8).map(|n| ListedNode { node: node_id(n), cell: u32::from(n < 1) }).collect();
        proxy.verdicts.set_nodes(listed, simulation.now);
    }
    simulation.behaviours = vec![NodeBehaviour::Healthy; 8];
    simulation.behaviours[0] = NodeBehaviour::Failing(1.0);
    simulation.run(seconds(60));
    assert_eq!(simulation.count_ejecting(0), 0, "the only node of its cell was ejected");
}

#[test]
fn node_restarted_at_another_address_has_no_evidence() {
    let mut simulation = Simulation::new(SimulationConfig::default());
    simulation.run(seconds(20));
    simulation.behaviours[2] = NodeBehaviour::Failing(1.0);
    simulation.run(seconds(10));
    assert_eq!(simulation.count_ejecting(2), 24);
    // Half of the proxies have the new list; the others still report on the old process.
    let list = |restarted: bool| -> Vec<ListedNode> {
        let id = |n: usize| if restarted && n == 2 { NodeId::new("node-2", "elsewhere") } else { node_id(n) };
        (0..8).map(|n| ListedNode { node: id(n), cell: 0 }).collect()
    };
    let now = simulation.now;
    (0..12).for_each(|p| simulation.proxies[p].verdicts.set_nodes(list(true), now));
    simulation.run(seconds(3));
    assert!((0..12).all(|p| simulation.proxies[p].verdicts.summaries(simulation.now).is_empty()));
}

/// Some proxies learn of the restart later than others and still report on the old process.
#[test]
fn node_restarted_at_the_same_address_has_no_evidence() {
    let mut simulation =
        Simulation::new(SimulationConfig { request_rate: 24.0, ..SimulationConfig::default() });
    simulation.run(seconds(20));
    simulation.behaviours[2] = NodeBehaviour::Failing(1.0);
    assert!(simulation.run_until(seconds(10), |s| s.count_ejecting(2) == 24).is_some());
    let list = |simulation: &mut Simulation, proxies: std::ops::Range<usize>, without: Option<usize>| {
        let now = simulation.now;
        let listed: Vec<ListedNode> = (0..8)
            .filter(|n| Some(*n) != without)
            .map(|n| ListedNode { node: node_id(n), cell: 0 })
            .collect();
        proxies.for_each(|p| simulation.proxies[p].verdicts.set_nodes(listed.clone(), now));
    };
    list(&mut simulation, 0..12, Some(2));
    simulation.run(seconds(1));
    simulation.behaviours[2] = NodeBehaviour::Healthy;
    list(&mut simulation, 0..12, None);
    // The other proxies have the old list and a verdict on the old process.
    for _ in 0..20 {
        simulation.step();
        let ejects =
            |p: &usize| simulation.proxies[*p].verdicts.summaries(simulation.now).iter().any(|r| r.ejected);
        assert_eq!((0..12).filter(ejects).collect::<Vec<_>>(), [0; 0]);
    }
    // The new process fails too: proxies with new evidence reach a verdict, and the others once claims count again.
    list(&mut simulation, 12..24, Some(2));
    list(&mut simulation, 12..24, None);
    simulation.behaviours[2] = NodeBehaviour::Failing(1.0);
    assert!(simulation.run_until(seconds(25), |s| s.count_ejecting(2) >= 23).is_some());
}

/// 100 proxies and 30 healthy nodes; `DEWPIER_SEEDS` sets the number of seeds.
#[test]
fn false_verdicts_stay_below_the_configured_rate() {
    let seeds = std::env::var("DEWPIER_SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(2);
    let (mut false_avoidances, mut checks) = (0, 0);
    for seed in 0..seeds {
        let config = SimulationConfig {
            proxies: 100,
            nodes: 30,
            request_rate: 200.0,
            loss: 0.1,
            seed,
            ..SimulationConfig::default()
        };
        let false_rate = config.settings.false_rate;
        let mut simulation = Simulation::new(config);
        simulation.run(seconds(30));
        (false_avoidances, checks) =
            (false_avoidances + simulation.false_avoidances, checks + simulation.checks);
        assert!(
            (false_avoidances as f64) <= false_rate * checks as f64,
            "seed {seed}: {false_avoidances} of {checks}"
        );
    }
    println!("{false_avoidances} of {checks} checks of healthy nodes found one avoided");
}

/// With eight suspect nodes and space for three entries, three datagrams cover all nodes for each of eight partners.
#[test]
fn each_partner_receives_evidence_on_all_nodes_in_turn() {
    let mut simulation = Simulation::new(SimulationConfig { proxies: 9, ..SimulationConfig::default() });
    let now = seconds(20);
    let verdicts = &mut simulation.proxies[0].verdicts;
    verdicts.tick(now);
    for n in 0..8 {
        verdicts.record_start((n, 0), node_id(n as usize), 0, now);
        verdicts.record_end((n, 0), AttemptEnd::Failed, now);
    }
    verdicts.tick(now);
    let mut received: Vec<std::collections::HashSet<NodeId>> = vec![Default::default(); 8];
    for _ in 0..3 {
        for (partner, received) in received.iter_mut().enumerate() {
            let bytes = TopicHandler::write_payload(verdicts, ProxyId(partner as u64), 3 * ENTRY_BYTES, now);
            received.extend(EvidenceEntry::read_all(&bytes).unwrap().iter().map(|entry| entry.node));
        }
    }
    assert!(
        received.iter().all(|received| received.len() == 8),
        "{:?}",
        received.iter().map(|r| r.len()).collect::<Vec<_>>()
    );
}
