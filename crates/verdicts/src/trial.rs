//! Selects the proxies that send trial attempts to an ejected node: a few in each turn, without coordination.

use crate::{NodeId, ProcessId, Settings};
use std::time::Duration;

/// The number of turns in the maximum evidence age. An observation counts for two turns, so that a verdict which
/// trials confirm does not lapse between them.
const TURNS: u32 = 4;

/// Whether this process is selected to send requests to an ejected node now. `fleet_rate` is the number of attempts a
/// second that all proxies together would make at the node if it were healthy. The selection uses a hash that changes
/// each turn, so that a proxy which cannot reach the node is replaced soon; turns of different proxies need not start
/// together.
pub fn is_selected_for_trials(
    settings: &Settings,
    own_id: ProcessId,
    node: NodeId,
    ejected_for: Duration,
    fleet_rate: f64,
) -> bool {
    let turn_length = settings.max_evidence_age / TURNS;
    let turn = ejected_for.as_millis() / turn_length.as_millis().max(1);
    if turn == 0 {
        return false; // the evidence for the verdict is no older than a turn
    }
    let drawn_fraction =
        (settings.trials_per_turn / (fleet_rate * turn_length.as_secs_f64()).max(f64::MIN_POSITIVE)).min(1.0);
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    hasher.update(&node.0.to_be_bytes());
    hasher.update(&own_id.0.to_be_bytes());
    hasher.update(&turn.to_be_bytes());
    (hasher.digest() as f64) < drawn_fraction * u64::MAX as f64
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn fleets_of_any_size_make_about_the_configured_number_of_trials() {
        for proxies in [10usize, 100, 1000] {
            let settings = Settings::default();
            // 40 attempts a second in all, at 8 nodes.
            let rate_per_proxy = 5.0 / proxies as f64;
            let turn_seconds = settings.max_evidence_age.as_secs_f64() / 4.0;
            let turns = 200;
            let drawn: usize = (1..=turns)
                .map(|turn| {
                    let ejected_for = settings.max_evidence_age / 4 * turn;
                    (0..proxies)
                        .filter(|id| {
                            is_selected_for_trials(
                                &settings,
                                ProcessId(*id as u32),
                                NodeId(5),
                                ejected_for,
                                5.0,
                            )
                        })
                        .count()
                })
                .sum();
            let attempts = drawn as f64 * rate_per_proxy * turn_seconds / f64::from(turns);
            assert!((2.3..3.7).contains(&attempts), "{proxies}: {attempts} a turn");
            assert!(!is_selected_for_trials(
                &settings,
                ProcessId(0),
                NodeId(5),
                settings.max_evidence_age / 5,
                5.0
            ));
        }
    }

    #[test]
    fn all_proxies_send_trials_where_traffic_is_low() {
        let settings = Settings::default();
        assert!((0..3).all(|id| is_selected_for_trials(
            &settings,
            ProcessId(id),
            NodeId(1),
            Duration::from_secs(8),
            0.03
        )));
    }
}
