//! Several proxies on a network that loses, duplicates, reorders and delays datagrams, cuts links in one direction, and
//! suspends processes: no payload is ever accepted with too low an age.

use dewpier_peers::*;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

const MAX_ECHO_AGE: Duration = Duration::from_secs(5);
const SEND_INTERVAL: Duration = Duration::from_millis(250);

/// Sends the true time, on the simulation's clock that `Peers` never reads.
#[derive(Default)]
struct TrueTimeHandler {
    true_time: Duration,
    /// The true age of each received payload, and the age that it was accepted with.
    received_ages: Vec<(Duration, Duration)>,
}

impl TopicHandler for TrueTimeHandler {
    fn topic(&self) -> Topic {
        Topic(7)
    }

    fn write_payload(&mut self, _: ProxyId, capacity: usize, _: MonotonicTime) -> Vec<u8> {
        assert!(capacity >= 8);
        (self.true_time.as_micros() as u64).to_be_bytes().to_vec()
    }

    fn receive(&mut self, _: Process, age: Duration, bytes: &[u8], _: MonotonicTime) -> bool {
        let Ok(bytes) = bytes.try_into() else { return false };
        let written_at = Duration::from_micros(u64::from_be_bytes(bytes));
        self.received_ages.push((self.true_time - written_at, age));
        true
    }
}

fn settings(number: usize, count: usize, incarnation: u32) -> Settings {
    let proxy_id = |i: usize| ProxyId::from_name(&format!("proxy-{i}"));
    Settings {
        own_process: Process { proxy: proxy_id(number), incarnation },
        fleet: (0..count).map(proxy_id).collect(),
        send_interval: SEND_INTERVAL,
        max_echo_age: MAX_ECHO_AGE,
        max_datagrams_per_second: 1000,
        key: Key::from_secret(b"of the fleet"),
    }
}

struct TestProxy {
    peers: Peers,
    handler: TrueTimeHandler,
    /// What this proxy's clock shows when the simulation starts.
    clock_offset: Duration,
    suspended_until: Duration,
}

impl TestProxy {
    fn new(number: usize, count: usize, incarnation: u32, clock_offset: Duration) -> Self {
        let peers = Peers::new(settings(number, count, incarnation), clock_offset);
        Self { peers, handler: TrueTimeHandler::default(), clock_offset, suspended_until: Duration::ZERO }
    }
}

/// Simulates a minute. Returns the number of accepted datagrams, and the number of those rejected without a recent echo
/// that were older than the limit: without the echo they would have been accepted.
fn run_network(seed: u64, count: usize, loss: f64) -> (usize, usize) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let random_offset =
        |rng: &mut SmallRng| Duration::from_millis(rng.random_range(0..u64::from(u32::MAX) * 2));
    let mut proxies: Vec<TestProxy> =
        (0..count).map(|i| TestProxy::new(i, count, i as u32 + 1, random_offset(&mut rng))).collect();
    let mut incarnation = 1000;
    // Arrival time, receiver, sending time and bytes. Kept while the receiver is suspended, as in a socket's buffer.
    let mut in_flight: Vec<(Duration, usize, Duration, Vec<u8>)> = Vec::new();
    let mut cut_until = vec![vec![Duration::ZERO; count]; count];
    let mut now = Duration::ZERO;
    let (mut accepted, mut outdated) = (0, 0);
    while now < Duration::from_secs(60) {
        now += Duration::from_millis(50);
        match rng.random_range(0..200) {
            0 => {
                proxies[rng.random_range(0..count)].suspended_until =
                    now + Duration::from_secs(rng.random_range(1..12))
            }
            1 => {
                incarnation += 1;
                let index = rng.random_range(0..count);
                proxies[index] = TestProxy::new(index, count, incarnation, random_offset(&mut rng) + now);
                proxies[index].clock_offset -= now;
            }
            // Cuts a link in one direction.
            2..6 => {
                cut_until[rng.random_range(0..count)][rng.random_range(0..count)] =
                    now + Duration::from_secs(8)
            }
            _ => {}
        }
        for index in 0..count {
            let proxy = &mut proxies[index];
            proxy.handler.true_time = now;
            if now < proxy.suspended_until {
                continue;
            }
            let own_time = proxy.clock_offset + now;
            let (mut due, later) = in_flight.into_iter().partition(|(at, to, ..)| *to == index && *at <= now);
            in_flight = later;
            let _: &Vec<_> = &due;
            if rng.random_bool(0.3) {
                due.reverse();
            }
            for (_, _, sent_at, bytes) in due {
                let result = proxy.peers.receive(&bytes, own_time, &mut [&mut proxy.handler]);
                outdated +=
                    usize::from(result == Err(DatagramRejection::Unasked) && now - sent_at > MAX_ECHO_AGE);
            }
            accepted += proxy.handler.received_ages.len();
            for (true_age, bound) in proxy.handler.received_ages.drain(..) {
                assert!(
                    true_age <= bound && bound <= MAX_ECHO_AGE,
                    "seed {seed}: {true_age:?} old, accepted as at most {bound:?} old"
                );
            }
            if !now.as_millis().is_multiple_of(SEND_INTERVAL.as_millis()) {
                continue;
            }
            for datagram in proxy.peers.write_round(own_time, &mut [&mut proxy.handler]) {
                let to =
                    (0..count).find(|i| ProxyId::from_name(&format!("proxy-{i}")) == datagram.to).unwrap();
                for _ in 0..if rng.random_bool(0.1) { 2 } else { 1 } {
                    // A few datagrams arrive long after they were sent.
                    let delay_ms = if rng.random_bool(0.02) { 20_000 } else { rng.random_range(0..400) };
                    if !rng.random_bool(loss) && now >= cut_until[index][to] {
                        in_flight.push((
                            now + Duration::from_millis(delay_ms),
                            to,
                            now,
                            datagram.bytes.clone(),
                        ));
                    }
                }
            }
        }
    }
    (accepted, outdated)
}

#[test]
fn accepted_age_is_never_below_the_true_age() {
    let seeds = std::env::var("DEWPIER_SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(40);
    let mut total_outdated = 0;
    for seed in 0..seeds {
        let ((lossless, outdated), (half_lost, _)) = (run_network(seed, 5, 0.0), run_network(seed, 5, 0.5));
        assert!(
            lossless > 2000 && half_lost > 500,
            "seed {seed}: {lossless} and {half_lost} datagrams accepted"
        );
        total_outdated += outdated;
    }
    assert!(
        total_outdated > 100,
        "{total_outdated} outdated datagrams would be accepted if no echo were required"
    );
}

#[test]
fn datagrams_that_waited_while_the_process_was_suspended_are_rejected() {
    let (mut a, mut b) = (TestProxy::new(0, 2, 1, Duration::ZERO), TestProxy::new(1, 2, 2, Duration::ZERO));
    let mut waiting = Vec::new();
    for round in 0..40 {
        let now = SEND_INTERVAL * round;
        (a.handler.true_time, b.handler.true_time) = (now, now);
        for datagram in b.peers.write_round(now, &mut [&mut b.handler]) {
            waiting.push(datagram.bytes.clone());
            if round < 10 {
                let _ = a.peers.receive(&datagram.bytes, now, &mut [&mut a.handler]);
            }
        }
        if round < 10 {
            for datagram in a.peers.write_round(now, &mut [&mut a.handler]) {
                let _ = b.peers.receive(&datagram.bytes, now, &mut [&mut b.handler]);
            }
        }
    }
    assert_eq!(a.peers.count_answering_partners(SEND_INTERVAL * 10), 1);
    a.handler.received_ages.clear();
    // Resumes after half a minute and reads everything in its socket.
    let now = Duration::from_secs(32);
    a.handler.true_time = now;
    for bytes in &waiting {
        assert!(a.peers.receive(bytes, now, &mut [&mut a.handler]).is_err());
    }
    assert!(a.handler.received_ages.is_empty(), "{:?}", a.handler.received_ages);
    assert_eq!(a.peers.count_answering_partners(now), 0);
}

#[test]
fn datagram_is_accepted_once_and_by_its_receiver_only() {
    let mut proxies: Vec<TestProxy> =
        (0..3).map(|i| TestProxy::new(i, 3, i as u32 + 1, Duration::ZERO)).collect();
    let mut last_round = Vec::new();
    for round in 1..4 {
        let now = SEND_INTERVAL * round;
        for index in 0..3 {
            let proxy = &mut proxies[index];
            proxy.handler.true_time = now;
            last_round = proxy.peers.write_round(now, &mut [&mut proxy.handler]);
            for datagram in &last_round {
                let to = (0..3).find(|i| ProxyId::from_name(&format!("proxy-{i}")) == datagram.to).unwrap();
                let to = &mut proxies[to];
                to.handler.true_time = now;
                let _ = to.peers.receive(&datagram.bytes, now, &mut [&mut to.handler]);
            }
        }
    }
    let now = SEND_INTERVAL * 4;
    let to = (0..3).find(|i| ProxyId::from_name(&format!("proxy-{i}")) == last_round[0].to).unwrap();
    let receiver = &mut proxies[to];
    assert_eq!(
        receiver.peers.receive(&last_round[0].bytes, now, &mut [&mut receiver.handler]),
        Err(DatagramRejection::Doubled)
    );
    let other = &mut proxies[(0..2).find(|i| *i != to).unwrap()];
    assert_eq!(
        other.peers.receive(&last_round[0].bytes, now, &mut [&mut other.handler]),
        Err(DatagramRejection::Forged)
    );
}

#[test]
fn corrupted_datagrams_are_rejected_without_effect() {
    let seed = 11;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut receiver = TestProxy::new(0, 4, 1, Duration::ZERO);
    let mut sender = TestProxy::new(1, 4, 2, Duration::ZERO);
    let valid: Vec<Vec<u8>> = (0..8)
        .flat_map(|i| sender.peers.write_round(SEND_INTERVAL * i, &mut [&mut sender.handler]))
        .map(|datagram| datagram.bytes)
        .collect();
    for i in 0..200_000u32 {
        let mut bytes = valid[rng.random_range(0..valid.len())].clone();
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
        let rejection = receiver.peers.receive(&bytes, now, &mut [&mut receiver.handler]).unwrap_err();
        assert!(
            matches!(rejection, DatagramRejection::Unreadable | DatagramRejection::Forged),
            "seed {seed}, {i}: {rejection:?}"
        );
    }
    assert!(receiver.handler.received_ages.is_empty());
    assert_eq!(receiver.peers.count_answering_partners(Duration::from_secs(200)), 0);
    assert_eq!(receiver.peers.counts.accepted, 0);
}

#[test]
fn datagrams_above_the_rate_limit_are_rejected_unread() {
    let mut proxy = TestProxy::new(0, 4, 1, Duration::ZERO);
    let rejected = (0..5000).filter(|_| {
        proxy.peers.receive(&[0xd7; 200], Duration::from_secs(1), &mut [&mut proxy.handler])
            == Err(DatagramRejection::TooMany)
    });
    assert_eq!(rejected.count(), 4000);
}

#[test]
fn two_processes_of_a_proxy_are_accepted_and_unknown_proxies_are_not() {
    let mut proxy = TestProxy::new(0, 3, 1, Duration::ZERO);
    let mut processes: Vec<TestProxy> =
        (10..13).map(|incarnation| TestProxy::new(1, 3, incarnation, Duration::ZERO)).collect();
    for round in 1..12 {
        let now = SEND_INTERVAL * round;
        proxy.handler.true_time = now;
        for process in &mut processes[..2] {
            process.handler.true_time = now;
            for datagram in process
                .peers
                .write_round(now, &mut [&mut process.handler])
                .iter()
                .filter(|datagram| datagram.to == ProxyId::from_name("proxy-0"))
            {
                let _ = proxy.peers.receive(&datagram.bytes, now, &mut [&mut proxy.handler]);
            }
        }
        for datagram in proxy
            .peers
            .write_round(now, &mut [&mut proxy.handler])
            .iter()
            .filter(|datagram| datagram.to == ProxyId::from_name("proxy-1"))
        {
            for process in &mut processes[..2] {
                let _ = process.peers.receive(&datagram.bytes, now, &mut [&mut process.handler]);
            }
        }
    }
    assert!(proxy.handler.received_ages.len() >= 8, "{}", proxy.handler.received_ages.len());
    let mut stranger = Peers::new(
        Settings {
            own_process: Process { proxy: ProxyId::from_name("nobody"), incarnation: 5 },
            ..settings(1, 3, 5)
        },
        Duration::ZERO,
    );
    let mut stranger_handler = TrueTimeHandler::default();
    let datagrams = stranger.write_round(SEND_INTERVAL, &mut [&mut stranger_handler]);
    let to_proxy = datagrams.iter().find(|datagram| datagram.to == ProxyId::from_name("proxy-0")).unwrap();
    let result = proxy.peers.receive(&to_proxy.bytes, SEND_INTERVAL * 12, &mut [&mut proxy.handler]);
    assert_eq!(result, Err(DatagramRejection::Stranger));
}

proptest! {
    #[test]
    fn arbitrary_bytes_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut proxy = TestProxy::new(0, 3, 1, Duration::ZERO);
        prop_assert!(proxy.peers.receive(&bytes, SEND_INTERVAL, &mut [&mut proxy.handler]).is_err());
    }
}

/// Sends payloads under a topic that only a newer version knows.
struct NewerVersionHandler;

impl TopicHandler for NewerVersionHandler {
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
fn unknown_topics_are_skipped_and_known_ones_accepted() {
    let [mut a, mut b] = [0, 1].map(|i| TestProxy::new(i, 2, 1, Duration::ZERO));
    for round in 1..4 {
        let now = SEND_INTERVAL * round;
        (a.handler.true_time, b.handler.true_time) = (now, now);
        for datagram in a.peers.write_round(now, &mut [&mut NewerVersionHandler, &mut a.handler]) {
            let _ = b.peers.receive(&datagram.bytes, now, &mut [&mut b.handler]);
        }
        for datagram in b.peers.write_round(now, &mut [&mut b.handler]) {
            let _ = a.peers.receive(&datagram.bytes, now, &mut [&mut NewerVersionHandler, &mut a.handler]);
        }
    }
    assert!(a.handler.received_ages.len() >= 2 && b.handler.received_ages.len() >= 2, "{:?}", b.peers.counts);
    assert_eq!(b.peers.counts.rejected.iter().sum::<u64>(), 1, "the first datagram echoes no timestamp");
}
