//! Rendezvous hashing: pseudo-random numbers that are the same on all gateways.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::interface::EngineId;

/// Returns the hash of a seed and an engine. Each seed orders the engines independently of any other seed.
#[inline]
pub(crate) fn salted_hash(salt: u64, engine: EngineId) -> u64 {
    Pcg64Mcg::seed_from_u64(salt << 32 ^ u64::from(engine.0)).next_u64()
}
