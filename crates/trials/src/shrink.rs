//! Reduces a schedule to a small one that still violates an invariant, by delta debugging over its steps (Zeller and
//! Hildebrandt, "Simplifying and isolating failure-inducing input", 2002).

use crate::schedule::{Schedule, Step};

/// Removes steps while `is_failing` returns true for the remaining schedule, in at most `max_runs` calls. Returns the
/// last schedule for which it did, or the given one. If failures are random, the result has failed at least once.
pub fn shrink_schedule(
    schedule: &Schedule,
    max_runs: usize,
    mut is_failing: impl FnMut(&Schedule) -> bool,
) -> Schedule {
    let schedule_with = |steps: &[Step]| Schedule { steps: steps.to_vec(), ..schedule.clone() };
    let mut steps = schedule.steps.clone();
    let (mut part_count, mut runs) = (2, 0);
    while !steps.is_empty() && runs < max_runs {
        let part_size = steps.len().div_ceil(part_count);
        let mut smaller = None;
        for from in (0..steps.len()).step_by(part_size) {
            if runs == max_runs {
                break;
            }
            let mut remaining = steps.clone();
            remaining.drain(from..(from + part_size).min(steps.len()));
            runs += 1;
            if is_failing(&schedule_with(&remaining)) {
                smaller = Some(remaining);
                break;
            }
        }
        match smaller {
            Some(remaining) => {
                steps = remaining;
                part_count = (part_count - 1).max(2);
            }
            None if part_size == 1 => break,
            None => part_count = (2 * part_count).min(steps.len()),
        }
    }
    schedule_with(&steps)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::schedule::{Fault, RunSize};

    fn schedule_of(count: usize) -> Schedule {
        let step = |i: usize| Step { at_ms: i as u64, duration_ms: 1, fault: Fault::Drain { node: i } };
        let size = RunSize { proxies: 1, nodes: count, duration_ms: 100, node_fault_spacing_ms: 10 };
        Schedule {
            seed: 1,
            size,
            planners: 0,
            relay_by_planners: false,
            steps: (0..count).map(step).collect(),
        }
    }

    fn start_times(schedule: &Schedule) -> Vec<u64> {
        schedule.steps.iter().map(|s| s.at_ms).collect()
    }

    #[test]
    fn two_steps_that_fail_together_are_the_result() {
        for (a, b) in [(0, 19), (3, 4), (11, 17)] {
            let mut runs = 0;
            let result = shrink_schedule(&schedule_of(20), 1000, |s| {
                runs += 1;
                start_times(s).contains(&a) && start_times(s).contains(&b)
            });
            assert_eq!(start_times(&result), [a, b]);
            assert!(runs < 100, "{runs} runs");
        }
    }

    #[test]
    fn result_is_empty_if_all_schedules_fail_and_unchanged_if_none_does() {
        assert!(shrink_schedule(&schedule_of(9), 100, |_| true).steps.is_empty());
        assert_eq!(shrink_schedule(&schedule_of(9), 100, |_| false), schedule_of(9));
    }

    #[test]
    fn number_of_runs_is_bounded() {
        let mut runs = 0;
        shrink_schedule(&schedule_of(40), 7, |_| {
            runs += 1;
            false
        });
        assert_eq!(runs, 7);
    }
}
