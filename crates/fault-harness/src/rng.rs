//! The seeded random number generator of fleet scenarios.

/// Mask XORed with each seed, to separate the streams of small seeds. Changing it would change the draws of recorded
/// seeds.
const SEED_MASK: u64 = 0x5dee_ce66_d1ce_4e5b;

/// A SplitMix64 generator. A seed gives the same draws on every machine and with every version of the program: recorded
/// runs name their seed, so its draws must not change.
#[derive(Clone, Debug)]
pub struct SeededRng {
    state: u64,
}

impl SeededRng {
    /// Creates a generator from `seed`.
    pub fn new(seed: u64) -> SeededRng {
        SeededRng {
            state: seed ^ SEED_MASK,
        }
    }

    /// Draws a number below `bound`; returns 0 if `bound` is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound.max(1)
    }

    /// Draws an index into a collection of `length` elements.
    pub fn index(&mut self, length: usize) -> usize {
        self.below(length as u64) as usize
    }
}
