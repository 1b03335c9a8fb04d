//! Hashes of engines, for pseudo-random choices that are the same on all gateways (rendezvous hashing).

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::interface::EngineId;

/// Returns the hash of a number and an engine. Each `salt` orders the engines independently of other salts. Only its
/// lower 32 bits are used.
#[inline]
pub(crate) fn salted_hash(salt: u64, engine: EngineId) -> u64 {
    Pcg64Mcg::seed_from_u64(salt << 32 ^ u64::from(engine.0)).next_u64()
}
