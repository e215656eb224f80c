//! The lifecycle of a process stays consistent in any order of drains, handovers and stops.

use dewpier_operate::lifecycle::Lifecycle;
use proptest::prelude::*;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn drain_announces_close_then_closes_idle_connections_and_can_be_cancelled() {
    let mut lifecycle = Lifecycle::new(5.0);
    assert!(lifecycle.is_ready() && lifecycle.is_taking_clients() && !lifecycle.is_announcing_close(ms(0)));
    lifecycle.start_drain(ms(1000));
    lifecycle.start_drain(ms(2000)); // does not restart the drain
    assert!(
        !lifecycle.is_ready()
            && !lifecycle.is_taking_clients()
            && lifecycle.is_accepting()
            && lifecycle.is_announcing_close(ms(1000))
    );
    assert_eq!(
        lifecycle.idle_close_threshold(ms(1100)),
        None,
        "the load balancer may still assign connections"
    );
    assert_eq!(lifecycle.idle_close_threshold(ms(1500)), Some(ms(100)));
    assert_eq!(lifecycle.idle_close_threshold(ms(3000)), Some(ms(0)));
    lifecycle.cancel_drain();
    assert!(
        lifecycle.is_ready() && lifecycle.is_taking_clients() && !lifecycle.is_announcing_close(ms(3100))
    );
    assert_eq!(lifecycle.idle_close_threshold(ms(9000)), None);
}

#[test]
fn stop_continues_after_the_drain_is_cancelled() {
    let mut lifecycle = Lifecycle::new(5.0);
    lifecycle.start_drain(ms(0));
    let serving = lifecycle.begin_stop(ms(100));
    lifecycle.cancel_drain();
    assert!(
        !lifecycle.is_ready() && !lifecycle.is_taking_clients() && !lifecycle.is_announcing_close(ms(200))
    );
    assert_eq!(lifecycle.begin_stop(ms(5000)), serving, "a repeated stop changes nothing");
    assert!(
        lifecycle.is_announcing_close(ms(100) + serving.mul_f64(0.8)),
        "the close is announced before idle connections are closed"
    );
    assert!(lifecycle.is_closing(ms(100) + serving) && lifecycle.is_announcing_close(ms(100) + serving));
    assert_eq!(lifecycle.idle_close_threshold(ms(100) + serving), Some(ms(0)));
    assert_eq!(lifecycle.request_time_left(ms(1100)), Some(ms(2500)));
    assert_eq!(lifecycle.time_until_exit(ms(1100)), Some(ms(2600)));
}

#[test]
fn process_that_handed_over_stays_ready_and_can_resume() {
    let mut lifecycle = Lifecycle::new(5.0);
    lifecycle.hand_over(ms(0));
    assert!(
        lifecycle.is_ready()
            && !lifecycle.is_taking_clients()
            && !lifecycle.is_accepting()
            && lifecycle.is_announcing_close(ms(0))
    );
    lifecycle.begin_stop(ms(10));
    assert!(lifecycle.is_ready(), "the successor serves the address");
    let mut lifecycle = Lifecycle::new(5.0);
    lifecycle.hand_over(ms(0));
    lifecycle.resume_accepting();
    assert!(
        lifecycle.is_taking_clients() && lifecycle.is_accepting() && !lifecycle.is_announcing_close(ms(1))
    );
}

proptest! {
    /// In any order of events: a draining process is not ready, a process that takes clients is ready and announces
    /// no close, and a stopping process closes every idle connection in time.
    #[test]
    fn state_is_consistent_in_any_order_of_events(steps in prop::collection::vec((0..5u8, 0..2000u64), 0..40)) {
        let (mut lifecycle, mut now, mut draining, mut stopping_since) = (Lifecycle::new(5.0), 0, false, None);
        for (step, later) in steps {
            now += later;
            match step {
                0 => { lifecycle.start_drain(ms(now)); draining = true; }
                1 => { lifecycle.cancel_drain(); draining = false; }
                2 => lifecycle.hand_over(ms(now)),
                3 => lifecycle.resume_accepting(),
                _ => { lifecycle.begin_stop(ms(now)); stopping_since = stopping_since.or(Some(now)); }
            }
            prop_assert!(!(draining && lifecycle.is_ready()));
            prop_assert!(
                !lifecycle.is_taking_clients()
                    || (lifecycle.is_ready() && lifecycle.is_accepting() && !lifecycle.is_announcing_close(ms(now)))
            );
            prop_assert!(!lifecycle.is_taking_clients() || (!draining && stopping_since.is_none()));
            if let Some(since) = stopping_since {
                prop_assert_eq!(lifecycle.idle_close_threshold(ms(since + 3000)), Some(ms(0)));
            }
        }
    }
}
