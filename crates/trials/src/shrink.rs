//! The least of what still breaks: delta debugging (Zeller and Hildebrandt, "Simplifying and isolating
//! failure-inducing input", 2002) over the steps of a schedule.

use crate::schedule::{Schedule, Step};

/// Takes steps away as long as `breaks` says that what is left breaks something, in at most `most` plays of it.
/// What comes back broke at its last play, or is the schedule itself. Where breaking is a matter of chance the result is
/// one that broke once, no more.
pub fn shrink_schedule(
    schedule: &Schedule,
    most: usize,
    mut breaks: impl FnMut(&Schedule) -> bool,
) -> Schedule {
    let with = |steps: &[Step]| Schedule { steps: steps.to_vec(), ..schedule.clone() };
    let mut steps = schedule.steps.clone();
    let (mut parts, mut plays) = (2, 0);
    while !steps.is_empty() && plays < most {
        let size = steps.len().div_ceil(parts);
        let mut smaller = None;
        for from in (0..steps.len()).step_by(size) {
            if plays == most {
                break;
            }
            let mut left = steps.clone();
            left.drain(from..(from + size).min(steps.len()));
            plays += 1;
            if breaks(&with(&left)) {
                smaller = Some(left);
                break;
            }
        }
        match smaller {
            Some(left) => {
                steps = left;
                parts = (parts - 1).max(2);
            }
            None if size == 1 => break,
            None => parts = (2 * parts).min(steps.len()),
        }
    }
    with(&steps)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::schedule::{Fault, RunSize};

    fn of(count: usize) -> Schedule {
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

    fn nodes(schedule: &Schedule) -> Vec<u64> {
        schedule.steps.iter().map(|s| s.at_ms).collect()
    }

    #[test]
    fn two_steps_that_break_together_are_all_that_is_left() {
        for (a, b) in [(0, 19), (3, 4), (11, 17)] {
            let mut plays = 0;
            let found = shrink_schedule(&of(20), 1000, |s| {
                plays += 1;
                nodes(s).contains(&a) && nodes(s).contains(&b)
            });
            assert_eq!(nodes(&found), [a, b]);
            assert!(plays < 100, "{plays} plays");
        }
    }

    #[test]
    fn what_breaks_with_nothing_is_empty_and_what_never_breaks_again_is_whole() {
        assert!(shrink_schedule(&of(9), 100, |_| true).steps.is_empty());
        assert_eq!(shrink_schedule(&of(9), 100, |_| false), of(9));
    }

    #[test]
    fn plays_are_bounded() {
        let mut plays = 0;
        shrink_schedule(&of(40), 7, |_| {
            plays += 1;
            false
        });
        assert_eq!(plays, 7);
    }
}
