//! The seeded random source of fleet scenarios.

/// Separates the streams of small seeds.
const SEED_MASK: u64 = 0x5dee_ce66_d1ce_4e5b;

/// A SplitMix64 generator: the same draws for the same seed, on every machine and with every version of the program.
///
/// Recorded runs name the seed they were drawn from, so its draws may never change.
#[derive(Clone, Debug)]
pub struct SeededRng {
    state: u64,
}

impl SeededRng {
    /// A generator that starts from `seed`.
    pub fn new(seed: u64) -> SeededRng {
        SeededRng {
            state: seed ^ SEED_MASK,
        }
    }

    /// Draws a number from 0 up to, not including, `bound`; 0 where `bound` is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound.max(1)
    }

    /// Draws an index of a collection with `length` elements.
    pub fn index(&mut self, length: usize) -> usize {
        self.below(length as u64) as usize
    }
}
