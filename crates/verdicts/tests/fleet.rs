//! Fleets of cores in virtual time: the observers, judgements, datagrams and partners of every proxy, over a network
//! that loses datagrams; nodes are probabilities.

mod common;

use common::*;
use dewpier_peers::{ProxyId, TopicHandler};
use dewpier_verdicts::*;
use std::time::Duration;

fn seconds(s: u64) -> Duration {
    Duration::from_secs(s)
}

#[test]
fn a_node_that_turns_bad_is_avoided_by_all_at_the_cost_of_few_attempts() {
    for (does, kind) in [
        (Does::Hangs, Kind::Silent),
        (Does::Fails(1.0), Kind::Failing),
        (Does::IsGone, Kind::Gone),
        (Does::IsSlow, Kind::Slow),
    ] {
        let mut wasted = [0, 0];
        for (pooled, wasted) in [true, false].into_iter().zip(&mut wasted) {
            for seed in 0..5 {
                let mut played = Played::new(World { pooled, seed, ..World::default() });
                played.run(seconds(30));
                played.does[2] = does;
                let turned = played.now;
                let most = if pooled { seconds(12) } else { seconds(20) };
                let avoided = played.run_until(most, |p| p.out_at(2) >= 23);
                assert_eq!(avoided.is_some(), pooled, "seed {seed}");
                if pooled {
                    assert_eq!(played.kinds(0), [kind], "seed {seed}");
                }
                played.run(turned + seconds(40) - played.now);
                *wasted += played.since(2, turned);
            }
        }
        assert!(wasted[0] * 2 < wasted[1], "{kind:?}: {wasted:?} attempts with and without the others");
    }
}

/// What goes wrong at the one counts as usual for the other until a verdict stands on one of them.
#[test]
fn two_nodes_that_turn_bad_at_once_are_both_avoided() {
    for does in [Does::Hangs, Does::Fails(1.0), Does::IsGone] {
        let mut took = [Vec::new(), Vec::new()];
        for seed in 0..8 {
            for (bad, took) in [&[2][..], &[2, 5]].into_iter().zip(&mut took) {
                let mut played = Played::new(World { seed, ..World::default() });
                played.run(seconds(30));
                bad.iter().for_each(|node| played.does[*node] = does);
                let all = |p: &Played| bad.iter().all(|node| p.out_at(*node) >= 23);
                let found = played.run_until(seconds(14), all);
                took.push(found.unwrap_or_else(|| panic!("seed {seed}: {bad:?} {does:?}")).as_secs_f64());
                assert_eq!(played.false_avoids, 0, "seed {seed}");
            }
        }
        println!("{does:?}: one {:.1?}, two {:.1?}", took[0], took[1]);
    }
}

#[test]
fn it_comes_back_by_the_trials_of_a_few() {
    let mut played = Played::new(World::default());
    played.run(seconds(30));
    played.does[2] = Does::Fails(1.0);
    played.run(seconds(60));
    let trials = played.since(2, played.now - seconds(30));
    // Two in each quarter of 30 s; alone each proxy would find out for itself.
    assert!((2..=20).contains(&trials), "{trials} attempts in 30 s");
    played.does[2] = Does::Well;
    let back = played.run_until(seconds(31), |p| p.out_at(2) == 0);
    assert!(back.is_some(), "it is back within the bound on staleness");
    played.run(seconds(60));
    assert_eq!(played.out_at(2), 0);
}

#[test]
fn one_that_lies_condemns_nobody_in_a_small_fleet_or_a_large_one() {
    for proxies in [4, 12, 40] {
        let mut played = Played::new(World { proxies, nodes: 8, ..World::default() });
        played.proxies[1].lies = true;
        played.run(seconds(60));
        assert_eq!(played.false_avoids, 0, "{proxies} proxies");
    }
}

#[test]
fn one_that_stood_still_goes_by_nothing_old_and_reports_nothing_of_it() {
    let mut played = Played::new(World::default());
    played.run(seconds(30));
    played.does[2] = Does::Hangs;
    played.run(seconds(12));
    assert!(played.avoids(5, 2));
    played.proxies[5].stands_until = played.now + seconds(35);
    played.does[2] = Does::Well;
    played.run(seconds(34));
    // What waits in its socket says that the node hangs; the first step after it has read all of that.
    played.run(STEP * 6);
    assert!(!played.avoids(5, 2), "{:?}", played.proxies[5].verdicts.summaries(played.now));
    assert_eq!(played.proxies.iter().filter(|p| !p.verdicts.summaries(played.now).is_empty()).count(), 0);
}

#[test]
fn halves_go_by_what_they_see_and_are_one_again() {
    let world = World { zones: 2, proxies: 16, rate: 80.0, ..World::default() };
    let mut played = Played::new(world);
    // The halves can't talk, and node 3 is bad for one of them.
    played.cut = Box::new(|now, a, b| now > seconds(30) && now < seconds(90) && a % 2 != b % 2);
    played.run(seconds(40));
    played.does[3] = Does::FailsIn(1);
    played.run(seconds(40));
    let out = |p: &Played, zone: usize| {
        let keeps = |i: &usize| p.proxies[*i].verdicts.summaries(p.now).iter().any(|r| r.ejected);
        (zone..16).step_by(2).filter(keeps).count()
    };
    assert_eq!((out(&played, 0), out(&played, 1)), (0, 8));
    assert_eq!(played.kinds(1), [Kind::Gone], "nobody says otherwise");
    // They meet again: it is the way there. A verdict on it may lapse and come back between two trials.
    played.run(seconds(30));
    let mut kept = 0;
    for _ in 0..10 {
        played.run(seconds(5));
        assert_eq!(out(&played, 0), 0);
        kept += out(&played, 1);
        assert!((1..16).step_by(2).all(|p| played.kinds(p).iter().all(|kind| *kind == Kind::Link)));
    }
    assert!(kept >= 60, "{kept} of 80");
}

#[test]
fn one_cut_off_from_all_others_condemns_nothing_by_itself() {
    for one_way in [true, false] {
        let mut played = Played::new(World::default());
        played.run(seconds(20));
        played.cut = Box::new(move |_, from, to| to == 4 || (!one_way && from == 4));
        // Its own way to a node is broken as well.
        played.run(seconds(20));
        played.does[2] = Does::Fails(1.0);
        played.run(seconds(31));
        assert_eq!(played.out_at(2), 23);
        assert!(!played.avoids(4, 2), "the module's own view is what it has");
    }
}

#[test]
fn half_of_all_datagrams_lost_costs_time_and_nothing_else() {
    let mut played = Played::new(World { loss: 0.5, ..World::default() });
    played.run(seconds(30));
    played.does[2] = Does::Fails(1.0);
    assert!(played.run_until(seconds(14), |p| p.out_at(2) == 24).is_some());
    assert_eq!(played.false_avoids, 0);
}

#[test]
fn what_slows_all_alike_condemns_none() {
    let mut played = Played::new(World { rate: 60.0, ..World::default() });
    played.run(seconds(20));
    played.does = vec![Does::Fails(0.5); 8];
    played.run(seconds(60));
    assert!((0..8).all(|n| played.out_at(n) == 0));
}

#[test]
fn at_most_the_stated_part_is_out_and_never_the_last_of_a_cell() {
    let mut played = Played::new(World { rate: 60.0, ..World::default() });
    played.run(seconds(20));
    (0..4).for_each(|n| played.does[n] = Does::Fails(1.0));
    played.run(seconds(20));
    let out: Vec<usize> = (0..8).map(|n| played.out_at(n)).collect();
    assert!(out.iter().sum::<usize>() <= 2 * 24, "{out:?}");
    for proxy in &mut played.proxies {
        let listed = (0..8).map(|n| ListedNode { node: node(n), cell: u32::from(n < 1) }).collect();
        proxy.verdicts.set_nodes(listed, played.now);
    }
    played.does = vec![Does::Well; 8];
    played.does[0] = Does::Fails(1.0);
    played.run(seconds(60));
    assert_eq!(played.out_at(0), 0, "it is all that its cell has");
}

#[test]
fn one_that_began_anew_begins_with_no_evidence() {
    let mut played = Played::new(World::default());
    played.run(seconds(20));
    played.does[2] = Does::Fails(1.0);
    played.run(seconds(10));
    assert_eq!(played.out_at(2), 24);
    // Half of the proxies have heard that it is another process now; the others still speak of the old one.
    let list = |anew: bool| -> Vec<ListedNode> {
        let id = |n: usize| if anew && n == 2 { NodeId::new("node-2", "elsewhere") } else { node(n) };
        (0..8).map(|n| ListedNode { node: id(n), cell: 0 }).collect()
    };
    let now = played.now;
    (0..12).for_each(|p| played.proxies[p].verdicts.set_nodes(list(true), now));
    played.run(seconds(3));
    assert!((0..12).all(|p| played.proxies[p].verdicts.summaries(played.now).is_empty()));
}

/// It is replaced at the same address: some proxies hear of that later than others, and those go on speaking of the old one.
#[test]
fn one_that_began_anew_at_the_same_address_begins_with_no_evidence() {
    let mut played = Played::new(World { rate: 24.0, ..World::default() });
    played.run(seconds(20));
    played.does[2] = Does::Fails(1.0);
    assert!(played.run_until(seconds(10), |p| p.out_at(2) == 24).is_some());
    let list = |played: &mut Played, who: std::ops::Range<usize>, without: Option<usize>| {
        let now = played.now;
        let listed: Vec<ListedNode> =
            (0..8).filter(|n| Some(*n) != without).map(|n| ListedNode { node: node(n), cell: 0 }).collect();
        who.for_each(|p| played.proxies[p].verdicts.set_nodes(listed.clone(), now));
    };
    list(&mut played, 0..12, Some(2));
    played.run(seconds(1));
    played.does[2] = Does::Well;
    list(&mut played, 0..12, None);
    // The others have the old list, with a verdict on what is there no more.
    for _ in 0..20 {
        played.step();
        let holds = |p: &usize| played.proxies[*p].verdicts.summaries(played.now).iter().any(|r| r.ejected);
        assert_eq!((0..12).filter(holds).collect::<Vec<_>>(), [0; 0]);
    }
    // It fails again: those who have seen it since come to a verdict, and all others once claims count again.
    list(&mut played, 12..24, Some(2));
    list(&mut played, 12..24, None);
    played.does[2] = Does::Fails(1.0);
    assert!(played.run_until(seconds(25), |p| p.out_at(2) >= 23).is_some());
}

/// 100 proxies before 30 nodes, of which all are sound: in how many looks a proxy avoids one.
#[test]
fn false_verdicts_are_rare() {
    let seeds = std::env::var("DEWPIER_SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(2);
    let (mut falsely, mut looks) = (0, 0);
    for seed in 0..seeds {
        let world = World { proxies: 100, nodes: 30, rate: 200.0, loss: 0.1, seed, ..World::default() };
        let stated = world.settings.false_rate;
        let mut played = Played::new(world);
        played.run(seconds(30));
        (falsely, looks) = (falsely + played.false_avoids, looks + played.looks);
        assert!((falsely as f64) <= stated * looks as f64, "seed {seed}: {falsely} of {looks}");
    }
    println!("{falsely} of {looks} looks at sound nodes found one avoided");
}

/// Eight nodes in question and room for three of them, eight partners: each partner is told of all in three datagrams.
#[test]
fn each_partner_is_told_of_all_nodes_in_turn() {
    let mut played = Played::new(World { proxies: 9, ..World::default() });
    let now = seconds(20);
    let verdicts = &mut played.proxies[0].verdicts;
    verdicts.tick(now);
    for n in 0..8 {
        verdicts.record_start((n, 0), node(n as usize), 0, now);
        verdicts.record_end((n, 0), AttemptEnd::Failed, now);
    }
    verdicts.tick(now);
    let mut told: Vec<std::collections::HashSet<NodeId>> = vec![Default::default(); 8];
    for _ in 0..3 {
        for (partner, told) in told.iter_mut().enumerate() {
            let bytes = TopicHandler::write_payload(verdicts, ProxyId(partner as u64), 3 * ENTRY_BYTES, now);
            told.extend(EvidenceEntry::read_all(&bytes).unwrap().iter().map(|entry| entry.node));
        }
    }
    assert!(
        told.iter().all(|told| told.len() == 8),
        "{:?}",
        told.iter().map(|t| t.len()).collect::<Vec<_>>()
    );
}
