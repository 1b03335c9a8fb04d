//! The membership of the cluster: a numbered set of replicas, changed by replacing one replica at a time.
//!
//! A membership takes effect at the log entry that makes it. Entries that the previous membership decided behind that
//! entry are void and are proposed again under the new one. So a replica that is lost with its disk never has to return.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use serde::{Deserialize, Serialize};

/// The ids that a replica may have.
pub const REPLICA_IDS: RangeInclusive<u64> = 1..=99;

/// The replicas of the cluster, from one replacement to the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Membership {
    /// The number of the membership; the initial one has number 1.
    pub number: u32,
    /// The address of each replica, unless the configuration of the one that connects gives another.
    #[serde(rename = "at")]
    pub addresses: BTreeMap<u64, SocketAddr>,
    /// Replicas that were removed. Their ids are not used again.
    #[serde(rename = "gone")]
    pub removed: BTreeSet<u64>,
}

/// A request to replace one replica by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replacement {
    /// The replica to remove.
    pub lost: u64,
    /// The id of the new replica, which no replica had before.
    pub new: u64,
    /// The address of the new replica.
    #[serde(rename = "at")]
    pub address: SocketAddr,
}

/// Why a replica can't be replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReplaceError {
    /// No replica has the id of the one to remove.
    #[error("there is no keeper {0}")]
    UnknownReplica(u64),
    /// A replica has, or had, the id of the new one.
    #[error("a keeper has or had the number {0}; give the new one another")]
    IdInUse(u64),
    /// The id of the new replica is not in [`REPLICA_IDS`].
    #[error("{0}: numbers from {min} to {max} are wanted", min = REPLICA_IDS.start(), max = REPLICA_IDS.end())]
    IdOutOfRange(u64),
}

impl Membership {
    /// The membership that a cluster begins with.
    pub fn initial(addresses: BTreeMap<u64, SocketAddr>) -> Membership {
        Membership {
            number: 1,
            addresses,
            removed: BTreeSet::new(),
        }
    }

    /// Whether a replica is a member.
    pub fn contains(&self, replica: u64) -> bool {
        self.addresses.contains_key(&replica)
    }

    /// The ids of the members, in ascending order.
    pub fn replica_ids(&self) -> Vec<u64> {
        self.addresses.keys().copied().collect()
    }

    /// The membership after a replacement; this one if that replacement was made before. The result depends on ids
    /// alone, as replicas may know each other at different addresses.
    ///
    /// # Errors
    ///
    /// When the replica to remove is unknown, or the new id can't be used.
    pub fn with_replacement(&self, replacement: &Replacement) -> Result<Membership, ReplaceError> {
        let Replacement { lost, new, address } = *replacement;
        if self.removed.contains(&lost) && self.contains(new) {
            return Ok(self.clone());
        }
        if !self.contains(lost) {
            return Err(ReplaceError::UnknownReplica(lost));
        }
        if !REPLICA_IDS.contains(&new) {
            return Err(ReplaceError::IdOutOfRange(new));
        }
        if self.contains(new) || self.removed.contains(&new) {
            return Err(ReplaceError::IdInUse(new));
        }
        let mut next = self.clone();
        next.number += 1;
        next.addresses.remove(&lost);
        next.addresses.insert(new, address);
        next.removed.insert(lost);
        Ok(next)
    }
}

#[cfg(test)]
mod tests;
