//! Tests that the intervals of discovery calls keep changes within the staleness bound, however calls fail.

use dewpier_http::discovery::schedule::{Call, CallTiming, STALENESS_BOUND, Schedule};
use proptest::prelude::*;
use std::time::Duration;

/// Time for the response itself, for applying the change, and for a busy host.
const RESERVE: Duration = Duration::from_millis(400);

#[test]
fn max_staleness_leaves_a_reserve_to_the_bound() {
    for timing in [CallTiming::SHARED_SERVICE, CallTiming::LOCAL_AGENT] {
        assert!(
            timing.max_staleness() + RESERVE <= STALENESS_BOUND,
            "{timing:?}: {:?}",
            timing.max_staleness()
        );
    }
}

#[test]
fn wait_is_limited_by_the_settings() {
    let second = Duration::from_secs(1);
    let mut schedule = Schedule::new(CallTiming::SHARED_SERVICE.with_max_wait(second), 1);
    assert!((0..100).all(|_| schedule.next_watch().wait <= second));
    assert_eq!(CallTiming::SHARED_SERVICE.with_max_wait(9 * second), CallTiming::SHARED_SERVICE);
}

#[test]
fn failed_calls_are_retried_without_wait_and_with_growing_delays() {
    let mut schedule = Schedule::new(CallTiming::SHARED_SERVICE, 3);
    assert_eq!(schedule.next_watch().delay, Duration::ZERO);
    let delays: Vec<f64> = (0..12)
        .map(|_| {
            schedule.record_failure();
            let call = schedule.next_watch();
            assert_eq!(call.wait, Duration::ZERO);
            call.delay.as_secs_f64()
        })
        .collect();
    assert!((0.1..=0.3).contains(&delays[0]), "{delays:?}");
    assert!(delays[3..].iter().all(|delay| (0.5..=1.5).contains(delay)), "{delays:?}");
    schedule.record_success();
    assert!(schedule.next_watch().wait > Duration::ZERO);
}

#[test]
fn retries_of_many_proxies_are_spread() {
    let first_retry_delay = |seed| {
        let mut schedule = Schedule::new(CallTiming::SHARED_SERVICE, seed);
        schedule.record_failure();
        schedule.next_watch().delay.as_millis()
    };
    let delays: std::collections::BTreeSet<u128> = (0..300).map(first_retry_delay).collect();
    assert!(delays.len() > 60, "{} distinct delays", delays.len());
}

/// How a call ends.
#[derive(Clone, Copy, Debug)]
enum CallResult {
    /// Answered after this fraction of its timeout.
    Answered(f64),
    /// Rejected or reset after this fraction of its timeout.
    Failed(f64),
    /// Not answered until its timeout.
    NoResponse,
}

/// Runs a call and returns when it ends and whether it succeeded.
fn run_call(call: Call, call_result: CallResult, now: Duration) -> (Duration, bool) {
    let started = now + call.delay;
    match call_result {
        CallResult::Answered(fraction) => (started + call.timeout.mul_f64(fraction), true),
        CallResult::Failed(fraction) => (started + call.timeout.mul_f64(fraction), false),
        CallResult::NoResponse => (started + call.timeout, false),
    }
}

fn call_result() -> impl Strategy<Value = CallResult> {
    prop_oneof![
        (0.0..1.0f64).prop_map(CallResult::Answered),
        (0.0..1.0f64).prop_map(CallResult::Failed),
        Just(CallResult::NoResponse),
    ]
}

proptest! {
    /// After any earlier results, a call made once the service is reachable brings the change in time, even
    /// if the current watch and the call after it get no response.
    #[test]
    fn change_arrives_within_the_bound_after_any_failures(
        seed in any::<u64>(),
        earlier_results in prop::collection::vec(call_result(), 0..20),
        at in 0.0..1.0f64,
        unanswered_calls in 0..2usize,
        is_local_agent in any::<bool>(),
    ) {
        let timing = if is_local_agent { CallTiming::LOCAL_AGENT } else { CallTiming::SHARED_SERVICE };
        let mut schedule = Schedule::new(timing, seed);
        let mut now = Duration::ZERO;
        for call_result in earlier_results {
            let (ended, succeeded) = run_call(schedule.next_watch(), call_result, now);
            now = ended;
            if succeeded { schedule.record_success() } else { schedule.record_failure() }
        }
        // The change happens, or the service becomes reachable, during this call, which gets no response. If
        // the call is a watch that worked before, the next call may get no response either.
        let call = schedule.next_watch();
        let healthy = schedule.failures() == 0;
        let reachable = now + call.delay + call.timeout.mul_f64(at);
        now = run_call(call, CallResult::NoResponse, now).0;
        schedule.record_failure();
        for _ in 0..if healthy { unanswered_calls } else { 0 } {
            now = run_call(schedule.next_watch(), CallResult::NoResponse, now).0;
            schedule.record_failure();
        }
        now += schedule.next_watch().delay + timing.response_timeout;
        prop_assert!(now - reachable <= timing.max_staleness(), "{:?} of {:?}", now - reachable, timing.max_staleness());
    }
}
