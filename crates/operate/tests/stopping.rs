//! A stopping proxy serves clients for as long as recent response times leave time to answer before SIGKILL.

use dewpier_operate::stopping::StopTiming;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A timing with recorded responses: when each group was served, its response time and its size, in milliseconds.
fn timing_after(responses: &[(u64, u64, usize)]) -> StopTiming {
    let mut timing = StopTiming::new(5.0);
    for (at, response_time, count) in responses {
        (0..*count).for_each(|_| timing.record_served(ms(*at), ms(*response_time)));
    }
    timing
}

#[test]
fn serving_duration_leaves_time_for_typical_responses() {
    assert_eq!(timing_after(&[]).serving_duration(), ms(1850), "no response is recorded");
    assert_eq!(timing_after(&[(0, 10, 19)]).serving_duration(), ms(1850), "too few are recorded");
    assert_eq!(timing_after(&[(0, 10, 20)]).serving_duration(), ms(2960));
    let serving = timing_after(&[(0, 100, 90), (0, 1000, 10)]).serving_duration();
    assert!((ms(2480)..=ms(2500)).contains(&serving), "{serving:?}");
    assert_eq!(timing_after(&[(0, 100, 90), (0, 2500, 10)]).serving_duration(), ms(1850));
    assert_eq!(timing_after(&[(0, 100, 96), (0, 2500, 4)]).serving_duration(), ms(2960), "few are slow");
    assert_eq!(timing_after(&[(0, u64::MAX, 100)]).serving_duration(), ms(1850));
}

#[test]
fn old_responses_are_forgotten_after_two_periods() {
    assert_eq!(
        timing_after(&[(0, 3000, 100), (30_000, 10, 50)]).serving_duration(),
        ms(1850),
        "the previous period still counts"
    );
    assert_eq!(
        timing_after(&[(0, 3000, 100), (30_000, 10, 50), (60_000, 10, 50)]).serving_duration(),
        ms(2960)
    );
}

#[test]
fn request_time_left_ends_before_the_kill() {
    let timing = StopTiming::new(1.0);
    assert_eq!(
        [0, 1000, 1500, 9000].map(|since_stop| timing.request_time_left(ms(since_stop))),
        [ms(1500), ms(500), ms(0), ms(0)]
    );
    assert!(
        StopTiming::new(f64::NAN).request_time_left(ms(0)) == ms(3500)
            && StopTiming::new(99.0).request_time_left(ms(0)) == ms(3500)
    );
}
