//! Backends that are replaced by ever new ones: the module forgets what is gone, and no sooner than
//! nothing can name it any more.

mod common;

use common::{Bench, entry, refused, safe, sends};
use gannetproxy::*;

#[test]
fn the_module_forgets_backends_that_are_gone_and_keeps_count_of_those_with_calls() {
    let mut bench = Bench::new(safe(), &[entry(1)]);
    let first = sends(&bench.request(1));
    assert_eq!(first, [(1, 1)]);
    for new in 2..500 {
        bench.event(Event::List(ListUpdate::Full(&[entry(new), entry(1000 + new)])));
        // Calls go on meanwhile, and their places are not mixed up.
        bench.now += 0.01;
        let id = u64::from(new);
        let to = sends(&bench.request(id))[0].1;
        assert!(to == new || to == 1000 + new, "{to} at {new}");
        let over = bench.end(id, 0, to, Outcome::Served, 0.01);
        assert!(!refused(&over, id));
    }
    assert!(bench.balancer.known_backends() <= 5, "{}", bench.balancer.known_backends());
    // The first call's backend is known until its attempt has ended.
    assert!(bench.balancer.known_backends() > 2);
    bench.end(1, 0, 1, Outcome::Served, 1.0);
    bench.event(Event::List(ListUpdate::Changes(&[])));
    bench.event(Event::List(ListUpdate::Full(&[entry(499)])));
    assert_eq!(bench.balancer.known_backends(), 1);
}
