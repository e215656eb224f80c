//! Who tries a node that is out: a few of the fleet in each turn, each coming to that by itself.

use crate::{NodeId, ProcessId, Settings};
use std::time::Duration;

/// Turns in the bound on staleness. What was seen in one counts over two of them, so that a verdict which the
/// trials bear out does not lapse in between.
const TURNS: u32 = 4;

/// This proxy may send to it now. `fleet` is the rate at which all proxies would send there, in attempts a second,
/// were the node sound. Drawn by hash anew in each turn, so that a proxy that can't tell takes none of the fleet's chances
/// for long; the turns of all proxies need not begin together.
pub fn tries(settings: &Settings, me: ProcessId, node: NodeId, out_for: Duration, fleet: f64) -> bool {
    let turn = settings.max_evidence_age / TURNS;
    let number = out_for.as_millis() / turn.as_millis().max(1);
    if number == 0 {
        return false; // what condemned it is as fresh
    }
    let part = (settings.trials_per_turn / (fleet * turn.as_secs_f64()).max(f64::MIN_POSITIVE)).min(1.0);
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    hasher.update(&node.0.to_be_bytes());
    hasher.update(&me.0.to_be_bytes());
    hasher.update(&number.to_be_bytes());
    (hasher.digest() as f64) < part * u64::MAX as f64
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_fleet_tries_about_as_often_as_it_is_set_whatever_its_size() {
        for proxies in [10usize, 100, 1000] {
            let settings = Settings::default();
            // 40 attempts a second in all, at 8 nodes.
            let each = 5.0 / proxies as f64;
            let turn = settings.max_evidence_age.as_secs_f64() / 4.0;
            let turns = 200;
            let tried: usize = (1..=turns)
                .map(|n| {
                    let out_for = settings.max_evidence_age / 4 * n;
                    (0..proxies)
                        .filter(|me| tries(&settings, ProcessId(*me as u32), NodeId(5), out_for, 5.0))
                        .count()
                })
                .sum();
            let attempts = tried as f64 * each * turn / f64::from(turns);
            assert!((2.3..3.7).contains(&attempts), "{proxies}: {attempts} a turn");
            assert!(!tries(&settings, ProcessId(0), NodeId(5), settings.max_evidence_age / 5, 5.0));
        }
    }

    #[test]
    fn where_little_is_sent_all_try() {
        let settings = Settings::default();
        assert!((0..3).all(|me| tries(&settings, ProcessId(me), NodeId(1), Duration::from_secs(8), 0.03)));
    }
}
