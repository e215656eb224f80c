//! The balancer's memory stays bounded while the backends in its list are replaced repeatedly.

mod common;

use common::{Harness, entry, is_rejected, safe_settings, sends};
use gannetproxy::*;

#[test]
fn gone_backends_are_removed_once_their_attempts_have_ended() {
    let mut harness = Harness::new(safe_settings(), &[entry(1)]);
    let first = sends(&harness.request(1));
    assert_eq!(first, [(1, 1)]);
    for new in 2..500 {
        harness.handle(Event::List(ListUpdate::Full(&[entry(new), entry(1000 + new)])));
        // Calls go to listed backends although indices of removed ones are reused.
        harness.now += 0.01;
        let id = u64::from(new);
        let to = sends(&harness.request(id))[0].1;
        assert!(to == new || to == 1000 + new, "{to} at {new}");
        let actions = harness.end_attempt(id, 0, to, Outcome::Served, 0.01);
        assert!(!is_rejected(&actions, id));
    }
    assert!(harness.balancer.known_backends() <= 5, "{}", harness.balancer.known_backends());
    // The backend of the first call is known until its attempt has ended.
    assert!(harness.balancer.known_backends() > 2);
    harness.end_attempt(1, 0, 1, Outcome::Served, 1.0);
    harness.handle(Event::List(ListUpdate::Changes(&[])));
    harness.handle(Event::List(ListUpdate::Full(&[entry(499)])));
    assert_eq!(harness.balancer.known_backends(), 1);
}
