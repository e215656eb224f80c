//! Tests for the stale probability of idle connections and the choice between reuse and a new connection.

use dewpier_reuse::{HandshakePrice, IdleTimeoutEstimate, LossCost, ReuseHistory, SharedHistory};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Records `uses` uses of one backend, each on a connection with a random idle time of up to `max_idle`
/// seconds.
fn record_uses(
    history: &mut ReuseHistory,
    shared: &mut SharedHistory,
    uses: usize,
    max_idle: f64,
    stale_probability: impl Fn(f64) -> f64,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for _ in 0..uses {
        let idle = rng.random::<f64>() * max_idle;
        let stale = rng.random::<f64>() < stale_probability(idle);
        history.record_use(shared, 0.0, Some(idle), stale);
    }
}

#[test]
fn reliable_connections_are_reused() {
    let (mut history, mut shared) = (ReuseHistory::default(), SharedHistory::default());
    let is_worth_reusing = |history: &ReuseHistory, shared: &SharedHistory| {
        history.is_worth_reusing(shared, 0.0, 5.0, LossCost::NotRetryable, HandshakePrice::default())
    };
    assert!(is_worth_reusing(&history, &shared), "without observations");
    record_uses(&mut history, &mut shared, 500, 8.0, |_| 0.001);
    assert!(is_worth_reusing(&history, &shared));
}

#[test]
fn non_retryable_request_avoids_connections_of_a_stale_age() {
    let (mut history, mut shared) = (ReuseHistory::default(), SharedHistory::default());
    record_uses(&mut history, &mut shared, 400, 0.8, |idle| if idle > 0.2 { 0.08 } else { 0.0 });
    let is_worth_reusing = |idle, loss_cost, price| {
        history.is_worth_reusing(&shared, 0.0, idle, loss_cost, HandshakePrice::new(price))
    };
    assert!(
        !is_worth_reusing(0.5, LossCost::NotRetryable, 0.0)
            && !is_worth_reusing(0.5, LossCost::NotRetryable, 0.03)
    );
    assert!(
        is_worth_reusing(0.03, LossCost::NotRetryable, 0.0),
        "connections with a short idle time are reliable"
    );
    assert!(is_worth_reusing(0.5, LossCost::Retryable, 0.03), "a retryable request risks only a delay");
    assert!(
        is_worth_reusing(0.5, LossCost::NotRetryable, 0.2),
        "a new connection costs more than the expected loss"
    );
    assert!(
        !is_worth_reusing(30.0, LossCost::NotRetryable, 0.0),
        "longer idle times are no safer, even if never observed"
    );
}

#[test]
fn own_history_outweighs_shared_history() {
    let mut shared = SharedHistory::default();
    let (mut bad, mut good) = (ReuseHistory::default(), ReuseHistory::default());
    record_uses(&mut good, &mut shared, 600, 0.8, |_| 0.0);
    record_uses(&mut bad, &mut shared, 60, 0.8, |_| 0.3);
    let stale = |history: &ReuseHistory| history.stale_probability(&shared, 0.0, 0.3);
    assert!(stale(&bad) > 0.1 && stale(&good) < 0.03, "{} {}", stale(&bad), stale(&good));
}

#[test]
fn connections_are_reused_where_new_ones_fail_as_often() {
    let (mut history, mut shared) = (ReuseHistory::default(), SharedHistory::default());
    record_uses(&mut history, &mut shared, 400, 0.8, |_| 0.1);
    assert!(!history.is_worth_reusing(&shared, 0.0, 0.5, LossCost::NotRetryable, HandshakePrice::default()));
    for n in 0..200 {
        history.record_use(&mut shared, 0.0, None, n % 8 == 0);
    }
    assert!(history.is_worth_reusing(&shared, 0.0, 0.5, LossCost::NotRetryable, HandshakePrice::default()));
}

#[test]
fn old_observations_lose_their_weight() {
    let (mut history, mut shared) = (ReuseHistory::default(), SharedHistory::default());
    record_uses(&mut history, &mut shared, 100, 0.8, |_| 0.1);
    let is_worth_reusing =
        |now| history.is_worth_reusing(&shared, now, 0.5, LossCost::NotRetryable, HandshakePrice::default());
    assert!(!is_worth_reusing(0.0) && !is_worth_reusing(60.0) && is_worth_reusing(600.0));
}

#[test]
fn idle_timeout_is_estimated_only_from_consistent_closings() {
    let mut estimate = IdleTimeoutEstimate::default();
    estimate.record_close(0.0, 0.004); // closed along with the response
    [4.9, 5.0].into_iter().for_each(|idle| estimate.record_close(1.0, idle));
    assert_eq!(estimate.estimate(2.0), None, "two closings are too few");
    estimate.record_close(2.0, 5.1);
    assert_eq!(estimate.estimate(3.0), Some(4.9));
    assert_eq!(estimate.estimate(1000.0), None, "old closings are ignored");
    estimate.record_close(3.0, 0.7);
    assert_eq!(estimate.estimate(3.0), None, "inconsistent closings give no estimate");

    let (mut history, shared) = (ReuseHistory::default(), SharedHistory::default());
    [1.0, 1.0, 1.1].into_iter().for_each(|idle| history.record_close(0.0, idle));
    let is_worth_reusing =
        |idle, loss_cost| history.is_worth_reusing(&shared, 1.0, idle, loss_cost, HandshakePrice::default());
    assert!(
        is_worth_reusing(0.5, LossCost::NotRetryable)
            && !is_worth_reusing(0.9, LossCost::NotRetryable)
            && !is_worth_reusing(0.9, LossCost::Retryable)
    );
}

#[test]
fn probabilities_stay_between_zero_and_one_for_any_input() {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let (mut history, mut shared) = (ReuseHistory::default(), SharedHistory::default());
    let unusual_times = [0.0, -1.0, 1e300, f64::INFINITY, f64::NAN, 0.3];
    for _ in 0..2000 {
        let [now, idle] = [(); 2].map(|()| unusual_times[rng.random_range(0..unusual_times.len())]);
        history.record_use(&mut shared, now, Some(idle).filter(|_| rng.random()), rng.random());
        history.record_close(now, idle);
        let stale = history.stale_probability(&shared, 1.0, idle);
        assert!((0.0..=1.0).contains(&stale), "{stale}");
    }
}
