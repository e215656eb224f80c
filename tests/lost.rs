//! Calls that a backend has dropped while it answers later ones are repeated if that is safe, and don't
//! reduce the repeat probability of other calls.

mod common;
use common::*;
use gannetproxy::*;

const ANSWER_TIME: Time = 0.01;

/// A balancer with a safe and an unsafe class, which has learned the answer time of its two backends.
fn trained_harness(seed: u64) -> Harness {
    let mut settings = safe_settings();
    settings.classes.push(class(Effect::Unsafe));
    let mut harness = Harness::with_seed(seed, settings, &[entry(1), entry(2)]);
    // Answer times vary, so that T1 lies well above their mean.
    for id in 0..120 {
        harness.serve_request(id, ANSWER_TIME * (0.5 + 0.5 * (id % 3) as f64));
    }
    harness
}

fn send_request(harness: &mut Harness, id: u64, class: usize) -> u32 {
    let request = Request { id: RequestId(id), class, budget: 2.0, ..Request::default() };
    let actions = harness.handle(Event::Request(request));
    sends(&actions)[0].1
}

/// Sends four calls at a time, so that both backends get some, and answers them in the usual time.
fn run_traffic(harness: &mut Harness, first_id: u64, duration: Time) {
    let (end, mut id) = (harness.now + duration, first_id);
    while harness.now < end {
        let sent: Vec<(u64, u32)> = (id..id + 4).map(|id| (id, send_request(harness, id, 0))).collect();
        id += 4;
        harness.advance_to(harness.now + ANSWER_TIME);
        for (id, backend) in sent {
            let actions = harness.end_attempt(id, 0, backend, Outcome::Served, ANSWER_TIME);
            harness.deliver_cancellations(&actions);
        }
    }
}

#[test]
fn lost_safe_call_is_repeated() {
    for seed in 0..20 {
        let mut harness = trained_harness(seed);
        send_request(&mut harness, 1000, 0);
        run_traffic(&mut harness, 2000, 0.9);
        assert!(
            harness.backends_by_request[&1000].len() > 1,
            "seed {seed}: not repeated after 90 answer times"
        );
    }
}

#[test]
fn lost_unsafe_call_is_not_repeated() {
    let mut harness = trained_harness(1);
    send_request(&mut harness, 1000, 1);
    run_traffic(&mut harness, 2000, 0.9);
    assert_eq!(harness.backends_by_request[&1000].len(), 1);
}

/// Number of balancers, out of 40 with six open unsafe calls, that repeat a failed safe call at one of its
/// first two timers. With `lost`, the backends answer later calls, so that the unsafe ones count as lost.
fn count_repeats(lost: bool) -> usize {
    let is_repeated = |seed| {
        let mut harness = trained_harness(seed);
        for id in 1000..1006 {
            send_request(&mut harness, id, 1);
        }
        if lost {
            run_traffic(&mut harness, 2000, 0.5);
        } else {
            harness.advance_to(harness.now + 0.5);
        }
        let backend = send_request(&mut harness, 9000, 0);
        harness.end_attempt(9000, 0, backend, Outcome::Error, 0.001);
        // T1 is the mean answer time plus four deviations, 0.023 s; the second timer fires at three times T1.
        harness.advance_to(harness.now + 0.09);
        usize::from(harness.backends_by_request[&9000].len() > 1)
    };
    (0..40).map(is_repeated).sum()
}

#[test]
fn lost_calls_do_not_reduce_repeat_probability() {
    assert!(count_repeats(true) >= 38, "{}", count_repeats(true));
}

#[test]
fn calls_of_silent_backends_reduce_repeat_probability() {
    // p is at its minimum.
    assert!(count_repeats(false) <= 16, "{}", count_repeats(false));
}

#[test]
fn call_rejected_at_its_deadline_has_a_retry_delay() {
    let mut settings = safe_settings();
    settings.max_retry_after = 1.0;
    let mut harness = Harness::new(settings, &[entry(1)]);
    let (_, backend) = sends(&harness.request(1))[0];
    let mut actions = harness.end_attempt(1, 0, backend, Outcome::Error, 0.01);
    actions.extend(without_times(harness.advance_to(3.0)));
    let has_delay =
        actions.iter().any(|a| matches!(a, Action::Reject { retry_after: Some(delay), .. } if *delay > 0.0));
    assert!(has_delay, "{actions:?}");
}
