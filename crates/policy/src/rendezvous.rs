//! Rendezvous hashing: pseudo-random numbers that are the same at all gateways.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::interface::EngineId;

/// A pseudo-random number for a number and an engine. Engines that are ordered by it for one number stand in an
/// unrelated order for another.
#[inline]
pub(crate) fn rendezvous_hash(number: u64, engine: EngineId) -> u64 {
    Pcg64Mcg::seed_from_u64(number << 32 ^ u64::from(engine.0)).next_u64()
}
