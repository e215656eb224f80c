//! How a proxy that is told to stop divides the time that it has left.

use dewpier_operate::stopping::StopTiming;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn after(answers: &[(u64, u64, usize)]) -> StopTiming {
    let mut stopping = StopTiming::new(5.0);
    for (at, took, times) in answers {
        (0..*times).for_each(|_| stopping.record_served(ms(*at), ms(*took)));
    }
    stopping
}

#[test]
fn it_serves_for_as_long_as_what_comes_can_be_answered() {
    assert_eq!(after(&[]).serving_duration(), ms(1850), "nothing is known");
    assert_eq!(after(&[(0, 10, 19)]).serving_duration(), ms(1850), "hardly anything is");
    assert_eq!(after(&[(0, 10, 20)]).serving_duration(), ms(2960));
    let serves = after(&[(0, 100, 90), (0, 1000, 10)]).serving_duration();
    assert!((ms(2480)..=ms(2500)).contains(&serves), "{serves:?}");
    assert_eq!(after(&[(0, 100, 90), (0, 2500, 10)]).serving_duration(), ms(1850));
    assert_eq!(after(&[(0, 100, 96), (0, 2500, 4)]).serving_duration(), ms(2960), "few are slow");
    assert_eq!(after(&[(0, u64::MAX, 100)]).serving_duration(), ms(1850));
}

#[test]
fn what_was_long_ago_says_nothing() {
    assert_eq!(
        after(&[(0, 3000, 100), (30_000, 10, 50)]).serving_duration(),
        ms(1850),
        "it is kept for a while"
    );
    assert_eq!(after(&[(0, 3000, 100), (30_000, 10, 50), (60_000, 10, 50)]).serving_duration(), ms(2960));
}

#[test]
fn what_is_taken_late_is_answered_before_the_end() {
    let stopping = StopTiming::new(1.0);
    assert_eq!(
        [0, 1000, 1500, 9000].map(|since| stopping.request_time_left(ms(since))),
        [ms(1500), ms(500), ms(0), ms(0)]
    );
    assert!(
        StopTiming::new(f64::NAN).request_time_left(ms(0)) == ms(3500)
            && StopTiming::new(99.0).request_time_left(ms(0)) == ms(3500)
    );
}
