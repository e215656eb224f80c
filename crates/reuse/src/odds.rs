//! The odds that a kept connection is spoilt, by how long it has stood idle.

use crate::limit::Limit;
use crate::tally::Tally;
use crate::{Price, Stake, Time};

/// Idle times are told apart by these upper bounds, in seconds, and what lies beyond the last one.
pub const AGES: [Time; 9] = [0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];
const BINS: usize = AGES.len() + 1;

/// What is believed of connections of which nothing is known: one in 200 is spoilt,
const PRIOR: f64 = 0.005;
/// as if that had been seen so many times. Few, so that the first one that is lost tells: each proxy learns by
/// losing what it must not lose, and where many learn beside each other a stubborn belief is paid for by each.
const PRIOR_USES: f64 = 5.0;
/// What all backends show counts for each one as so many uses of its own.
const SHARED_USES: f64 = 10.0;
/// From this part of the time on at which a backend closes, what is written may cross that.
const NEAR_LIMIT: f64 = 0.8;
/// The odds that it does.
const CROSSES: f64 = 0.5;

fn bin(idle: Time) -> usize {
    AGES.partition_point(|age| *age < idle)
}

/// What all backends together have shown, of kept connections by age and of new ones.
#[derive(Clone, Debug, Default)]
pub struct Shared {
    kept: [Tally; BINS],
    new: Tally,
}

impl Shared {
    /// The odds by age. A connection that has stood longer is no safer, so that neighbours which say
    /// otherwise are few and are pooled (isotonic regression by pooling adjacent violators; Ayer,
    /// Brunk, Ewing, Reid and Silverman 1955).
    fn by_age(&self, now: Time) -> [f64; BINS] {
        // Pools of neighbouring ages: uses, spoilt, and how many ages.
        let mut pools: Vec<(f64, f64, usize)> = Vec::with_capacity(BINS);
        for tally in &self.kept {
            let (used, spoilt) = tally.seen(now);
            let mut pool = (used + PRIOR_USES, spoilt + PRIOR * PRIOR_USES, 1);
            while let Some(before) = pools.pop_if(|b| b.1 / b.0 > pool.1 / pool.0) {
                pool = (pool.0 + before.0, pool.1 + before.1, pool.2 + before.2);
            }
            pools.push(pool);
        }
        let mut odds = [PRIOR; BINS];
        let each = pools.iter().flat_map(|pool| std::iter::repeat_n(pool.1 / pool.0, pool.2));
        odds.iter_mut().zip(each).for_each(|(place, odds)| *place = odds);
        odds
    }

    fn new_ones(&self, now: Time) -> f64 {
        let (used, spoilt) = self.new.seen(now);
        (spoilt + PRIOR * PRIOR_USES) / (used + PRIOR_USES)
    }
}

/// What one backend has shown. Its size is fixed.
#[derive(Clone, Debug, Default)]
pub struct Odds {
    kept: [Tally; BINS],
    limit: Limit,
}

impl Odds {
    /// A request went out on a connection that had stood idle for so long (none: a new one), and
    /// was spoilt or not: swallowed, or broken before its last byte. The latter costs nothing, and tells that
    /// the other side gives up connections of that age.
    pub fn used(&mut self, shared: &mut Shared, now: Time, idle: Option<Time>, spoilt: bool) {
        let Some(idle) = idle else {
            return shared.new.add(now, spoilt);
        };
        shared.kept[bin(idle)].add(now, spoilt);
        self.kept[bin(idle)].add(now, spoilt);
    }

    /// The backend has closed a connection that had stood idle for so long.
    pub fn closed(&mut self, now: Time, idle: Time) {
        self.limit.closed(now, idle);
    }

    /// The odds that a connection which has stood idle for so long swallows what is written to it.
    pub fn spoilt(&self, shared: &Shared, now: Time, idle: Time) -> f64 {
        let common = shared.by_age(now)[bin(idle)];
        let (used, spoilt) = self.kept[bin(idle)].seen(now);
        let own = (spoilt + common * SHARED_USES) / (used + SHARED_USES);
        let near = self.limit.known(now).is_some_and(|limit| idle >= NEAR_LIMIT * limit);
        if near { own.max(CROSSES) } else { own }
    }

    /// Whether a kept connection is the better choice than a new one at that price.
    pub fn worth_using(&self, shared: &Shared, now: Time, idle: Time, stake: Stake, price: Price) -> bool {
        let more = self.spoilt(shared, now, idle) - shared.new_ones(now);
        more * stake.part() <= price.part()
    }
}
