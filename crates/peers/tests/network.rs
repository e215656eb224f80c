//! Several proxies on a network that loses, doubles, reorders and delays datagrams, cuts ways, and lets processes
//! stand still: no statement is ever taken for younger than it is.

use dewpier_peers::*;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const STALE: Duration = Duration::from_secs(5);
const EVERY: Duration = Duration::from_millis(250);

/// Says what time it is, on the clock that all stand on and no core sees.
#[derive(Default)]
struct Said {
    truth: Duration,
    /// How long ago a statement was made, and how old it was taken to be at most.
    heard: Vec<(Duration, Duration)>,
}

impl TopicHandler for Said {
    fn topic(&self) -> Topic {
        Topic(7)
    }

    fn write_payload(&mut self, _: ProxyId, room: usize, _: MonotonicTime) -> Vec<u8> {
        assert!(room >= 8);
        (self.truth.as_micros() as u64).to_be_bytes().to_vec()
    }

    fn receive(&mut self, _: Process, age: Duration, bytes: &[u8], _: MonotonicTime) -> bool {
        let Ok(bytes) = bytes.try_into() else { return false };
        let made = Duration::from_micros(u64::from_be_bytes(bytes));
        self.heard.push((self.truth - made, age));
        true
    }
}

fn settings(number: usize, count: usize, incarnation: u32) -> Settings {
    let name = |i: usize| ProxyId::from_name(&format!("proxy-{i}"));
    Settings {
        own_process: Process { proxy: name(number), incarnation },
        fleet: (0..count).map(name).collect(),
        send_interval: EVERY,
        max_echo_age: STALE,
        max_datagrams_per_second: 1000,
        key: Key::from_secret(b"of the fleet"),
    }
}

struct One {
    peers: Peers,
    said: Said,
    /// Its clock began so much earlier than all others'.
    start: Duration,
    stands_until: Duration,
}

impl One {
    fn new(number: usize, count: usize, incarnation: u32, ahead: Duration) -> Self {
        let peers = Peers::new(settings(number, count, incarnation), ahead);
        Self { peers, said: Said::default(), start: ahead, stands_until: Duration::ZERO }
    }
}

/// Plays a minute of it. Returns how many statements counted, and how many of those refused because they answer no
/// question of late were older than the bound: they would have counted without that.
fn play(seed: u64, count: usize, loss: f64) -> (usize, usize) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let ahead = |rng: &mut SmallRng| Duration::from_millis(rng.random_range(0..u64::from(u32::MAX) * 2));
    let mut all: Vec<One> = (0..count).map(|i| One::new(i, count, i as u32 + 1, ahead(&mut rng))).collect();
    let mut incarnation = 1000;
    // When they come, to whom, when they were said, what. Kept for long, as those are that wait in the socket of one that stands.
    let mut under_way: Vec<(Duration, usize, Duration, Vec<u8>)> = Vec::new();
    let mut cut = vec![vec![Duration::ZERO; count]; count];
    let mut now = Duration::ZERO;
    let (mut taken, mut old) = (0, 0);
    while now < Duration::from_secs(60) {
        now += Duration::from_millis(50);
        match rng.random_range(0..200) {
            0 => {
                all[rng.random_range(0..count)].stands_until =
                    now + Duration::from_secs(rng.random_range(1..12))
            }
            1 => {
                incarnation += 1;
                let who = rng.random_range(0..count);
                all[who] = One::new(who, count, incarnation, ahead(&mut rng) + now);
                all[who].start -= now;
            }
            // One way alone.
            2..6 => {
                cut[rng.random_range(0..count)][rng.random_range(0..count)] = now + Duration::from_secs(8)
            }
            _ => {}
        }
        for who in 0..count {
            let one = &mut all[who];
            one.said.truth = now;
            if now < one.stands_until {
                continue;
            }
            let own = one.start + now;
            let (mut due, later) = under_way.into_iter().partition(|(at, to, ..)| *to == who && *at <= now);
            under_way = later;
            let _: &Vec<_> = &due;
            if rng.random_bool(0.3) {
                due.reverse();
            }
            for (_, _, said, bytes) in due {
                let heard = one.peers.receive(&bytes, own, &mut [&mut one.said]);
                old += usize::from(heard == Err(DatagramRejection::Unasked) && now - said > STALE);
            }
            taken += one.said.heard.len();
            for (true_age, bound) in one.said.heard.drain(..) {
                assert!(
                    true_age <= bound && bound <= STALE,
                    "seed {seed}: {true_age:?} old, taken for {bound:?}"
                );
            }
            if !now.as_millis().is_multiple_of(EVERY.as_millis()) {
                continue;
            }
            for out in one.peers.write_round(own, &mut [&mut one.said]) {
                let to = (0..count).find(|i| ProxyId::from_name(&format!("proxy-{i}")) == out.to).unwrap();
                for _ in 0..if rng.random_bool(0.1) { 2 } else { 1 } {
                    // Now and then one comes again long after.
                    let wait = if rng.random_bool(0.02) { 20_000 } else { rng.random_range(0..400) };
                    if !rng.random_bool(loss) && now >= cut[who][to] {
                        under_way.push((now + Duration::from_millis(wait), to, now, out.bytes.clone()));
                    }
                }
            }
        }
    }
    (taken, old)
}

#[test]
fn nothing_is_taken_for_younger_than_it_is() {
    let seeds = std::env::var("DEWPIER_SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(40);
    let mut without = 0;
    for seed in 0..seeds {
        let ((whole, old), (half, _)) = (play(seed, 5, 0.0), play(seed, 5, 0.5));
        assert!(whole > 2000 && half > 500, "seed {seed}: {whole} and {half} counted");
        without += old;
    }
    assert!(
        without > 100,
        "{without} statements beyond the bound would count if no question had to be answered"
    );
}

#[test]
fn what_waited_in_the_socket_of_one_that_stood_still_is_as_old_as_it_is() {
    let (mut a, mut b) = (One::new(0, 2, 1, Duration::ZERO), One::new(1, 2, 2, Duration::ZERO));
    let mut waits = Vec::new();
    for round in 0..40 {
        let now = EVERY * round;
        (a.said.truth, b.said.truth) = (now, now);
        for out in b.peers.write_round(now, &mut [&mut b.said]) {
            waits.push(out.bytes.clone());
            if round < 10 {
                let _ = a.peers.receive(&out.bytes, now, &mut [&mut a.said]);
            }
        }
        if round < 10 {
            for out in a.peers.write_round(now, &mut [&mut a.said]) {
                let _ = b.peers.receive(&out.bytes, now, &mut [&mut b.said]);
            }
        }
    }
    assert_eq!(a.peers.count_answering_partners(EVERY * 10), 1);
    a.said.heard.clear();
    // It goes on after half a minute, and reads what is there.
    let now = Duration::from_secs(32);
    a.said.truth = now;
    for bytes in &waits {
        assert!(a.peers.receive(bytes, now, &mut [&mut a.said]).is_err());
    }
    assert!(a.said.heard.is_empty(), "{:?}", a.said.heard);
    assert_eq!(a.peers.count_answering_partners(now), 0);
}

#[test]
fn the_same_bytes_count_once_and_for_one_receiver() {
    let mut all: Vec<One> = (0..3).map(|i| One::new(i, 3, i as u32 + 1, Duration::ZERO)).collect();
    let mut last = Vec::new();
    for round in 1..4 {
        let now = EVERY * round;
        for who in 0..3 {
            let one = &mut all[who];
            one.said.truth = now;
            last = one.peers.write_round(now, &mut [&mut one.said]);
            for out in &last {
                let to = (0..3).find(|i| ProxyId::from_name(&format!("proxy-{i}")) == out.to).unwrap();
                let to = &mut all[to];
                to.said.truth = now;
                let _ = to.peers.receive(&out.bytes, now, &mut [&mut to.said]);
            }
        }
    }
    let now = EVERY * 4;
    let to = (0..3).find(|i| ProxyId::from_name(&format!("proxy-{i}")) == last[0].to).unwrap();
    let one = &mut all[to];
    assert_eq!(one.peers.receive(&last[0].bytes, now, &mut [&mut one.said]), Err(DatagramRejection::Doubled));
    let other = &mut all[(0..2).find(|i| *i != to).unwrap()];
    assert_eq!(
        other.peers.receive(&last[0].bytes, now, &mut [&mut other.said]),
        Err(DatagramRejection::Forged)
    );
}

#[test]
fn a_hundred_thousand_hostile_datagrams_change_nothing() {
    let seed = 11;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut one = One::new(0, 4, 1, Duration::ZERO);
    let mut other = One::new(1, 4, 2, Duration::ZERO);
    let good: Vec<Vec<u8>> = (0..8)
        .flat_map(|i| other.peers.write_round(EVERY * i, &mut [&mut other.said]))
        .map(|out| out.bytes)
        .collect();
    for i in 0..200_000u32 {
        let mut bytes = good[rng.random_range(0..good.len())].clone();
        match rng.random_range(0..4) {
            0 => bytes = (0..rng.random_range(0..300)).map(|_| rng.random()).collect(),
            1 => bytes.truncate(rng.random_range(0..bytes.len())),
            2 => bytes.extend((0..rng.random_range(1..40)).map(|_| rng.random::<u8>())),
            _ => {
                let at = rng.random_range(0..bytes.len());
                bytes[at] ^= 1 << rng.random_range(0..8);
            }
        }
        let now = Duration::from_millis(u64::from(i));
        let refused = one.peers.receive(&bytes, now, &mut [&mut one.said]).unwrap_err();
        assert!(
            matches!(refused, DatagramRejection::Unreadable | DatagramRejection::Forged),
            "seed {seed}, {i}: {refused:?}"
        );
    }
    assert!(one.said.heard.is_empty());
    assert_eq!(one.peers.count_answering_partners(Duration::from_secs(200)), 0);
    assert_eq!(one.peers.counts.accepted, 0);
}

#[test]
fn a_flood_costs_no_more_than_the_bound_a_second() {
    let mut one = One::new(0, 4, 1, Duration::ZERO);
    let refused = (0..5000).filter(|_| {
        one.peers.receive(&[0xd7; 200], Duration::from_secs(1), &mut [&mut one.said])
            == Err(DatagramRejection::TooMany)
    });
    assert_eq!(refused.count(), 4000);
}

#[test]
fn an_old_and_a_new_process_of_one_name_both_count_and_strangers_do_not() {
    let mut one = One::new(0, 3, 1, Duration::ZERO);
    let mut lives: Vec<One> =
        (10..13).map(|incarnation| One::new(1, 3, incarnation, Duration::ZERO)).collect();
    for round in 1..12 {
        let now = EVERY * round;
        one.said.truth = now;
        for incarnation in &mut lives[..2] {
            incarnation.said.truth = now;
            for out in incarnation
                .peers
                .write_round(now, &mut [&mut incarnation.said])
                .iter()
                .filter(|o| o.to == ProxyId::from_name("proxy-0"))
            {
                let _ = one.peers.receive(&out.bytes, now, &mut [&mut one.said]);
            }
        }
        for out in one
            .peers
            .write_round(now, &mut [&mut one.said])
            .iter()
            .filter(|o| o.to == ProxyId::from_name("proxy-1"))
        {
            for incarnation in &mut lives[..2] {
                let _ = incarnation.peers.receive(&out.bytes, now, &mut [&mut incarnation.said]);
            }
        }
    }
    assert!(one.said.heard.len() >= 8, "{}", one.said.heard.len());
    let mut stranger = Peers::new(
        Settings {
            own_process: Process { proxy: ProxyId::from_name("nobody"), incarnation: 5 },
            ..settings(1, 3, 5)
        },
        Duration::ZERO,
    );
    let mut nothing = Said::default();
    let out = stranger.write_round(EVERY, &mut [&mut nothing]);
    let to_one = out.iter().find(|o| o.to == ProxyId::from_name("proxy-0")).unwrap();
    let heard = one.peers.receive(&to_one.bytes, EVERY * 12, &mut [&mut one.said]);
    assert_eq!(heard, Err(DatagramRejection::Stranger));
}

proptest! {
    /// Whatever bytes come, they are refused whole.
    #[test]
    fn any_bytes_are_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut one = One::new(0, 3, 1, Duration::ZERO);
        prop_assert!(one.peers.receive(&bytes, EVERY, &mut [&mut one.said]).is_err());
    }
}

/// Says something of another version: nobody here knows its topic.
struct Newer;

impl TopicHandler for Newer {
    fn topic(&self) -> Topic {
        Topic(200)
    }

    fn write_payload(&mut self, _: ProxyId, _: usize, _: MonotonicTime) -> Vec<u8> {
        vec![1, 2, 3]
    }

    fn receive(&mut self, _: Process, _: Duration, _: &[u8], _: MonotonicTime) -> bool {
        true
    }
}

#[test]
fn what_another_version_says_is_passed_over_and_the_rest_counts() {
    let [mut a, mut b] = [0, 1].map(|i| One::new(i, 2, 1, Duration::ZERO));
    for round in 1..4 {
        let now = EVERY * round;
        (a.said.truth, b.said.truth) = (now, now);
        for out in a.peers.write_round(now, &mut [&mut Newer, &mut a.said]) {
            let _ = b.peers.receive(&out.bytes, now, &mut [&mut b.said]);
        }
        for out in b.peers.write_round(now, &mut [&mut b.said]) {
            let _ = a.peers.receive(&out.bytes, now, &mut [&mut Newer, &mut a.said]);
        }
    }
    assert!(a.said.heard.len() >= 2 && b.said.heard.len() >= 2, "{:?}", b.peers.counts);
    assert_eq!(b.peers.counts.rejected.iter().sum::<u64>(), 1, "the first, which answers nothing");
}
