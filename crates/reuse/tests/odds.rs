//! What is learnt of connections that spoil, and when a new one is taken instead.

use dewpier_reuse::{Limit, Odds, Price, Shared, Stake};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// So many uses of a backend, each by a connection of a random age up to `most` seconds.
fn used(odds: &mut Odds, shared: &mut Shared, uses: usize, most: f64, spoils: impl Fn(f64) -> f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for _ in 0..uses {
        let idle = rng.random::<f64>() * most;
        let spoilt = rng.random::<f64>() < spoils(idle);
        odds.used(shared, 0.0, Some(idle), spoilt);
    }
}

#[test]
fn a_backend_whose_connections_hold_is_asked_on_them() {
    let (mut odds, mut shared) = (Odds::default(), Shared::default());
    let worth =
        |odds: &Odds, shared: &Shared| odds.worth_using(shared, 0.0, 5.0, Stake::Whole, Price::default());
    assert!(worth(&odds, &shared), "as long as nothing is known");
    used(&mut odds, &mut shared, 500, 8.0, |_| 0.001);
    assert!(worth(&odds, &shared));
}

#[test]
fn what_must_not_run_twice_takes_a_new_connection_where_old_ones_spoil() {
    let (mut odds, mut shared) = (Odds::default(), Shared::default());
    used(&mut odds, &mut shared, 400, 0.8, |idle| if idle > 0.2 { 0.08 } else { 0.0 });
    let worth = |idle, stake, price| odds.worth_using(&shared, 0.0, idle, stake, Price::new(price));
    assert!(!worth(0.5, Stake::Whole, 0.0) && !worth(0.5, Stake::Whole, 0.03));
    assert!(worth(0.03, Stake::Whole, 0.0), "young ones hold");
    assert!(worth(0.5, Stake::Wait, 0.03), "what can be sent again risks a wait alone");
    assert!(worth(0.5, Stake::Whole, 0.2), "where new ones cost more than what is lost");
    assert!(!worth(30.0, Stake::Whole, 0.0), "what is older is no safer, though it was never tried");
}

#[test]
fn one_backend_says_more_of_itself_than_of_others() {
    let mut shared = Shared::default();
    let (mut bad, mut good) = (Odds::default(), Odds::default());
    used(&mut good, &mut shared, 600, 0.8, |_| 0.0);
    used(&mut bad, &mut shared, 60, 0.8, |_| 0.3);
    let spoilt = |odds: &Odds| odds.spoilt(&shared, 0.0, 0.3);
    assert!(spoilt(&bad) > 0.1 && spoilt(&good) < 0.03, "{} {}", spoilt(&bad), spoilt(&good));
}

#[test]
fn new_connections_that_spoil_as_often_are_no_way_out() {
    let (mut odds, mut shared) = (Odds::default(), Shared::default());
    used(&mut odds, &mut shared, 400, 0.8, |_| 0.1);
    assert!(!odds.worth_using(&shared, 0.0, 0.5, Stake::Whole, Price::default()));
    for n in 0..200 {
        odds.used(&mut shared, 0.0, None, n % 8 == 0);
    }
    assert!(odds.worth_using(&shared, 0.0, 0.5, Stake::Whole, Price::default()));
}

#[test]
fn what_was_seen_is_forgotten() {
    let (mut odds, mut shared) = (Odds::default(), Shared::default());
    used(&mut odds, &mut shared, 100, 0.8, |_| 0.1);
    let worth = |now| odds.worth_using(&shared, now, 0.5, Stake::Whole, Price::default());
    assert!(!worth(0.0) && !worth(60.0) && worth(600.0));
}

#[test]
fn a_timer_is_told_from_closings_at_any_time() {
    let mut limit = Limit::default();
    limit.closed(0.0, 0.004); // right behind an answer
    [4.9, 5.0].into_iter().for_each(|idle| limit.closed(1.0, idle));
    assert_eq!(limit.known(2.0), None, "two are too few");
    limit.closed(2.0, 5.1);
    assert_eq!(limit.known(3.0), Some(4.9));
    assert_eq!(limit.known(1000.0), None, "it is long past");
    limit.closed(3.0, 0.7);
    assert_eq!(limit.known(3.0), None, "one that closes at any time has no such time");

    let (mut odds, shared) = (Odds::default(), Shared::default());
    [1.0, 1.0, 1.1].into_iter().for_each(|idle| odds.closed(0.0, idle));
    let worth = |idle, stake| odds.worth_using(&shared, 1.0, idle, stake, Price::default());
    assert!(worth(0.5, Stake::Whole) && !worth(0.9, Stake::Whole) && !worth(0.9, Stake::Wait));
}

#[test]
fn nothing_that_comes_in_makes_odds_that_are_none() {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let (mut odds, mut shared) = (Odds::default(), Shared::default());
    let odd = [0.0, -1.0, 1e300, f64::INFINITY, f64::NAN, 0.3];
    for _ in 0..2000 {
        let [now, idle] = [(); 2].map(|()| odd[rng.random_range(0..odd.len())]);
        odds.used(&mut shared, now, Some(idle).filter(|_| rng.random()), rng.random());
        odds.closed(now, idle);
        let spoilt = odds.spoilt(&shared, 1.0, idle);
        assert!((0.0..=1.0).contains(&spoilt), "{spoilt}");
    }
}
