//! Random numbers that depend only on the seed, on every platform and in every version.

/// SplitMix64 (Steele, Lea and Flood, "Fast splittable pseudorandom number generators", 2014).
#[derive(Clone, Debug)]
pub struct Rng(u64);

impl Rng {
    /// Creates a generator with a seed.
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Creates a generator with the seed in an environment variable, or with `default`. Prints the seed, so that a
    /// failure can be reproduced.
    pub fn from_env(variable: &str, default: u64) -> Self {
        let seed = std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default);
        println!("{variable}={seed}");
        Self::new(seed)
    }

    /// Returns the next number.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a number below `end`, which must not be 0.
    pub fn below(&mut self, end: usize) -> usize {
        (self.next_u64() % end.max(1) as u64) as usize
    }

    /// Returns a random element.
    pub fn pick<'a, T>(&mut self, elements: &'a [T]) -> &'a T {
        &elements[self.below(elements.len())]
    }
}
