//! Tests that the intervals of discovery calls keep changes within the staleness bound, however calls fail.

use dewpier_http::discovery::schedule::{Call, CallTiming, FailedCall, Rejection, STALENESS_BOUND, Schedule};
use proptest::prelude::*;
use std::time::Duration;

/// A call that is rejected at once.
const REJECTED_AT_ONCE: FailedCall =
    FailedCall { duration: Duration::ZERO, rejection: Some(Rejection::AtOnce) };
/// A call that the service rejected after it was queued for too long.
const TIMED_OUT_IN_QUEUE: FailedCall =
    FailedCall { duration: Duration::from_secs(2), rejection: Some(Rejection::AfterWait) };

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
            schedule.record_failure(REJECTED_AT_ONCE);
            let call = schedule.next_watch();
            assert_eq!(call.wait, Duration::ZERO);
            call.delay.as_secs_f64()
        })
        .collect();
    assert!((0.07..=0.3).contains(&delays[0]), "{delays:?}");
    assert!(delays[2..].iter().all(|delay| (0.8..=1.2).contains(delay)), "{delays:?}");
    schedule.record_success();
    assert!(schedule.next_watch().wait > Duration::ZERO);
}

#[test]
fn time_that_a_failed_call_took_counts_toward_the_retry_interval() {
    let mut schedule = Schedule::new(CallTiming::SHARED_SERVICE.with_fleet_size(300), 5);
    (0..9).for_each(|_| schedule.record_failure(REJECTED_AT_ONCE));
    for duration in [0, 1, 2, 3].map(Duration::from_secs) {
        schedule.record_failure(FailedCall { duration, rejection: None });
        let interval = (duration + schedule.next_fetch().delay).as_secs_f64();
        assert!((3.3..=4.8).contains(&interval), "{interval} after {duration:?}");
    }
    schedule.record_failure(FailedCall { duration: Duration::from_secs(9), rejection: None });
    let pause = schedule.next_fetch().delay.as_secs_f64();
    assert!((0.2..=0.3).contains(&pause), "{pause}");
}

/// Returns the mean time in seconds between the calls of one of `proxies` proxies that fail in these ways by turns.
fn mean_interval(proxies: usize, failures: &[FailedCall]) -> f64 {
    const CALLS: usize = 100;
    let mut schedule = Schedule::new(CallTiming::SHARED_SERVICE.with_fleet_size(proxies), 5);
    let mut next_interval = |failed: &FailedCall| {
        schedule.record_failure(*failed);
        (failed.duration + schedule.next_fetch().delay).as_secs_f64()
    };
    // The interval has grown after ten failures.
    let intervals = failures.iter().cycle().map(&mut next_interval).skip(10).take(CALLS);
    intervals.sum::<f64>() / CALLS as f64
}

#[test]
fn service_that_is_down_is_called_as_often_as_the_staleness_bound_needs() {
    for (proxies, longest) in [(5, 1.2), (10, 1.2), (20, 2.4), (40, 4.8), (300, 4.8), (900, 4.8)] {
        for failure in [REJECTED_AT_ONCE, TIMED_OUT_IN_QUEUE] {
            let longest = f64::max(longest, failure.duration.as_secs_f64() + 0.3);
            let interval = mean_interval(proxies, &[failure]);
            assert!(
                (0.7 * longest..longest).contains(&interval),
                "{proxies} proxies, {failure:?}: {interval}"
            );
        }
    }
}

#[test]
fn overloaded_service_is_called_more_rarely_by_a_large_fleet() {
    for (proxies, longest) in [(5, 4.8), (20, 10.0), (40, 20.0), (300, 20.0), (900, 20.0)] {
        let interval = mean_interval(proxies, &[REJECTED_AT_ONCE, TIMED_OUT_IN_QUEUE]);
        assert!((0.7 * longest..longest).contains(&interval), "{proxies} proxies: {interval}");
    }
}

#[test]
fn retries_of_many_proxies_are_spread() {
    let first_retry_delay = |seed| {
        let mut schedule = Schedule::new(CallTiming::SHARED_SERVICE, seed);
        schedule.record_failure(REJECTED_AT_ONCE);
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
    /// Rejected at once, because the queue is full or the service is down.
    RejectedAtOnce,
    /// Rejected after this fraction of its timeout, because it was queued for too long.
    RejectedAfterWait(f64),
    /// Not answered until its timeout.
    NoResponse,
}

/// Makes the next call of a watch, records its result and returns when it ends.
fn run_call(schedule: &mut Schedule, call_result: CallResult, now: Duration) -> Duration {
    let call: Call = schedule.next_watch();
    let (fraction, rejection) = match call_result {
        CallResult::Answered(fraction) | CallResult::Failed(fraction) => (fraction, None),
        CallResult::RejectedAtOnce => (0.0, Some(Rejection::AtOnce)),
        CallResult::RejectedAfterWait(fraction) => (fraction, Some(Rejection::AfterWait)),
        CallResult::NoResponse => (1.0, None),
    };
    let duration = call.timeout.mul_f64(fraction);
    match call_result {
        CallResult::Answered(_) => schedule.record_success(),
        _ => schedule.record_failure(FailedCall { duration, rejection }),
    }
    now + call.delay + duration
}

fn call_result() -> impl Strategy<Value = CallResult> {
    prop_oneof![
        (0.0..1.0f64).prop_map(CallResult::Answered),
        (0.0..1.0f64).prop_map(CallResult::Failed),
        Just(CallResult::RejectedAtOnce),
        (0.0..1.0f64).prop_map(CallResult::RejectedAfterWait),
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
            now = run_call(&mut schedule, call_result, now);
        }
        // The change happens, or the service becomes reachable, during this call, which gets no response. If
        // the call is a watch that worked before, the next call may get no response either.
        let healthy = schedule.failures() == 0;
        let mut peeked = schedule.clone();
        let call = peeked.next_watch();
        let reachable = now + call.delay + call.timeout.mul_f64(at);
        now = run_call(&mut schedule, CallResult::NoResponse, now);
        for _ in 0..if healthy { unanswered_calls } else { 0 } {
            now = run_call(&mut schedule, CallResult::NoResponse, now);
        }
        now += schedule.next_watch().delay + timing.response_timeout;
        prop_assert!(now - reachable <= timing.max_staleness(), "{:?} of {:?}", now - reachable, timing.max_staleness());
    }
}
