//! The life of a process: in whichever order it is told things, it does not contradict itself.

use dewpier_operate::lifecycle::Lifecycle;
use proptest::prelude::*;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_drain_tells_then_closes_and_is_undone() {
    let mut life = Lifecycle::new(5.0);
    assert!(life.is_ready() && life.is_taking_clients() && !life.is_announcing_close(ms(0)));
    life.start_drain(ms(1000));
    life.start_drain(ms(2000)); // it goes on from where it was
    assert!(
        !life.is_ready()
            && !life.is_taking_clients()
            && life.is_accepting()
            && life.is_announcing_close(ms(1000))
    );
    assert_eq!(life.idle_close_threshold(ms(1100)), None, "the front has not seen it");
    assert_eq!(life.idle_close_threshold(ms(1500)), Some(ms(100)));
    assert_eq!(life.idle_close_threshold(ms(3000)), Some(ms(0)));
    life.cancel_drain();
    assert!(life.is_ready() && life.is_taking_clients() && !life.is_announcing_close(ms(3100)));
    assert_eq!(life.idle_close_threshold(ms(9000)), None);
}

#[test]
fn a_stop_ends_a_drain_and_is_not_undone() {
    let mut life = Lifecycle::new(5.0);
    life.start_drain(ms(0));
    let serves = life.begin_stop(ms(100));
    life.cancel_drain();
    assert!(!life.is_ready() && !life.is_taking_clients() && !life.is_announcing_close(ms(200)));
    assert_eq!(life.begin_stop(ms(5000)), serves, "told twice");
    assert!(
        life.is_announcing_close(ms(100) + serves.mul_f64(0.8)),
        "clients are told before idle ones are closed"
    );
    assert!(life.is_closing(ms(100) + serves) && life.is_announcing_close(ms(100) + serves));
    assert_eq!(life.idle_close_threshold(ms(100) + serves), Some(ms(0)));
    assert_eq!(life.request_time_left(ms(1100)), Some(ms(2500)));
    assert_eq!(life.time_until_exit(ms(1100)), Some(ms(2600)));
}

#[test]
fn what_is_handed_over_speaks_for_the_address() {
    let mut life = Lifecycle::new(5.0);
    life.hand_over(ms(0));
    assert!(
        life.is_ready()
            && !life.is_taking_clients()
            && !life.is_accepting()
            && life.is_announcing_close(ms(0))
    );
    life.begin_stop(ms(10));
    assert!(life.is_ready(), "the other one serves on");
    let mut life = Lifecycle::new(5.0);
    life.hand_over(ms(0));
    life.resume_accepting();
    assert!(life.is_taking_clients() && life.is_accepting() && !life.is_announcing_close(ms(1)));
}

proptest! {
    /// In whichever order things are told: who drains does not say yes, who takes clients says yes and tells
    /// nobody to go, and whoever is to stop closes everything in time.
    #[test]
    fn no_order_of_orders_contradicts_itself(steps in prop::collection::vec((0..5u8, 0..2000u64), 0..40)) {
        let (mut life, mut now, mut drains, mut stops) = (Lifecycle::new(5.0), 0, false, None);
        for (step, later) in steps {
            now += later;
            match step {
                0 => { life.start_drain(ms(now)); drains = true; }
                1 => { life.cancel_drain(); drains = false; }
                2 => life.hand_over(ms(now)),
                3 => life.resume_accepting(),
                _ => { life.begin_stop(ms(now)); stops = stops.or(Some(now)); }
            }
            prop_assert!(!(drains && life.is_ready()));
            prop_assert!(!life.is_taking_clients() || (life.is_ready() && life.is_accepting() && !life.is_announcing_close(ms(now))));
            prop_assert!(!life.is_taking_clients() || (!drains && stops.is_none()));
            if let Some(since) = stops {
                prop_assert_eq!(life.idle_close_threshold(ms(since + 3000)), Some(ms(0)));
            }
        }
    }
}
