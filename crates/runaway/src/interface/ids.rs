//! Identifiers of fingerprints and attempts.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Input of the hash that stands for unknown fingerprints. Other routers and stored snapshots use the same input, so it
/// must not change.
const UNKNOWN_DOMAIN: &[u8] = b"hardly known kinds of ";

/// The id of a fingerprint within a class: a hash of both.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FingerprintId(pub u64);

impl FingerprintId {
    /// Returns the id of a fingerprint within a class. The class is identified by its name, because its index may
    /// change.
    pub fn new(class: &str, fingerprint: u64) -> FingerprintId {
        let mut hash = blake3::Hasher::new();
        hash.update(&fingerprint.to_le_bytes())
            .update(class.as_bytes());
        FingerprintId(first_eight_bytes(&hash))
    }

    /// Returns the id that stands for all unknown fingerprints of a class.
    pub fn unknown(class: &str) -> FingerprintId {
        let mut hash = blake3::Hasher::new();
        hash.update(UNKNOWN_DOMAIN).update(class.as_bytes());
        FingerprintId(first_eight_bytes(&hash))
    }
}

impl fmt::Display for FingerprintId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for FingerprintId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<FingerprintId, Self::Err> {
        u64::from_str_radix(text, 16).map(FingerprintId)
    }
}

fn first_eight_bytes(hash: &blake3::Hasher) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&hash.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// The id of an attempt of a statement of this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The statement's number, unique within one incarnation of this router.
    pub statement: u64,
    /// The attempt's number, starting from 0.
    pub number: u32,
}
