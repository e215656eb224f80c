//! Tests the intervals of discovery calls. Tests of whole sequences of calls are in discovery_calls.rs.

use dewpier_http::discovery::schedule::{CallFailure, CallTiming, STALENESS_BOUND, Schedule};
use std::time::Duration;

/// How a call failed, and how long it took.
type FailedCall = (CallFailure, Duration);
const REJECTED_AT_ONCE: FailedCall = (CallFailure::RejectedAtOnce, Duration::ZERO);
/// A call that the service rejected after it was queued for too long.
const TIMED_OUT_IN_QUEUE: FailedCall = (CallFailure::RejectedAfterWait, Duration::from_secs(2));

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
    assert!((0..100).all(|_| schedule.draw_wait() <= second));
    assert_eq!(CallTiming::SHARED_SERVICE.with_max_wait(9 * second), CallTiming::SHARED_SERVICE);
}

#[test]
fn failed_calls_are_retried_with_growing_delays() {
    let mut schedule = Schedule::new(CallTiming::SHARED_SERVICE, 3);
    let delays: Vec<f64> = (0..12)
        .map(|_| {
            schedule.record_failure(CallFailure::RejectedAtOnce);
            schedule.draw_retry_delay(Duration::ZERO).as_secs_f64()
        })
        .collect();
    assert!((0.07..=0.3).contains(&delays[0]), "{delays:?}");
    assert!(delays[2..].iter().all(|delay| (0.8..=1.2).contains(delay)), "{delays:?}");
    schedule.record_success();
    assert!(schedule.failures() == 0);
}

#[test]
fn time_that_a_failed_call_took_counts_toward_the_retry_interval() {
    let mut schedule = Schedule::new(CallTiming::SHARED_SERVICE.with_fleet_size(300), 5);
    (0..9).for_each(|_| schedule.record_failure(CallFailure::RejectedAtOnce));
    for duration in [0, 1, 2, 3].map(Duration::from_secs) {
        schedule.record_failure(CallFailure::NoResponse);
        let interval = (duration + schedule.draw_retry_delay(duration)).as_secs_f64();
        assert!((3.3..=4.8).contains(&interval), "{interval} after {duration:?}");
    }
    let duration = Duration::from_secs(9);
    schedule.record_failure(CallFailure::NoResponse);
    let pause = schedule.draw_retry_delay(duration).as_secs_f64();
    assert!((0.2..=0.3).contains(&pause), "{pause}");
}

/// Returns the mean time in seconds between the calls of one of `proxies` proxies that fail in these ways by turns.
fn mean_interval(proxies: usize, failures: &[FailedCall]) -> f64 {
    const CALLS: usize = 100;
    let mut schedule = Schedule::new(CallTiming::SHARED_SERVICE.with_fleet_size(proxies), 5);
    let mut next_interval = |(failure, duration): &FailedCall| {
        schedule.record_failure(*failure);
        (*duration + schedule.draw_retry_delay(*duration)).as_secs_f64()
    };
    // The interval has grown after ten failures.
    let intervals = failures.iter().cycle().map(&mut next_interval).skip(10).take(CALLS);
    intervals.sum::<f64>() / CALLS as f64
}

#[test]
fn service_that_is_down_is_called_as_often_as_the_staleness_bound_needs() {
    for (proxies, longest) in [(5, 1.2), (10, 1.2), (20, 2.4), (40, 4.8), (300, 4.8), (900, 4.8)] {
        for failure in [REJECTED_AT_ONCE, TIMED_OUT_IN_QUEUE] {
            let longest = f64::max(longest, failure.1.as_secs_f64() + 0.3);
            let interval = mean_interval(proxies, &[failure]);
            assert!(
                (0.7 * longest..longest).contains(&interval),
                "{proxies} proxies, {failure:?}: {interval}"
            );
        }
    }
}

#[test]
fn overloaded_service_is_called_as_rarely_as_the_staleness_bound_allows() {
    for (proxies, longest) in [(5, 4.8), (20, 5.0), (40, 5.0), (300, 5.0), (900, 5.0)] {
        let interval = mean_interval(proxies, &[REJECTED_AT_ONCE, TIMED_OUT_IN_QUEUE]);
        assert!((0.9 * longest..longest).contains(&interval), "{proxies} proxies: {interval}");
    }
}

/// Guards against an overload interval that a fleet's size took beyond the staleness bound.
#[test]
fn no_failures_of_any_kind_and_order_delay_a_call_beyond_the_staleness_bound() {
    const FAILURES: [CallFailure; 4] = [
        CallFailure::NoResponse,
        CallFailure::RejectedAtOnce,
        CallFailure::RejectedAfterWait,
        CallFailure::InvalidResponse,
    ];
    let response_timeout = CallTiming::SHARED_SERVICE.response_timeout;
    let longest = STALENESS_BOUND - RESERVE - response_timeout;
    for proxies in [1, 2, 13, 40, 64, 300, 900, usize::MAX] {
        let timing = CallTiming::SHARED_SERVICE.with_fleet_size(proxies);
        assert!(timing.max_staleness() + RESERVE <= STALENESS_BOUND, "{proxies} proxies: {timing:?}");
        let mut schedule = Schedule::new(timing, 7);
        // Each number below 4^6 gives another order of six failures.
        for order in 0..4usize.pow(6) {
            for step in 0..6 {
                schedule.record_failure(FAILURES[(order >> (2 * step)) % 4]);
                let interval = schedule.draw_retry_delay(Duration::ZERO);
                assert!(interval <= longest, "{proxies} proxies, order {order}: {interval:?}");
                assert!(schedule.unanswered_interval(1 + step % 2) <= longest, "{proxies} proxies, {order}");
            }
            if order % 64 == 0 {
                schedule.record_success();
            }
        }
    }
}

#[test]
fn retries_of_many_proxies_are_spread() {
    let first_retry_delay = |seed| {
        let mut schedule = Schedule::new(CallTiming::SHARED_SERVICE, seed);
        schedule.record_failure(CallFailure::RejectedAtOnce);
        schedule.draw_retry_delay(Duration::ZERO).as_millis()
    };
    let delays: std::collections::BTreeSet<u128> = (0..300).map(first_retry_delay).collect();
    assert!(delays.len() > 60, "{} distinct delays", delays.len());
}
