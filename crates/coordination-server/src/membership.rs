//! The membership of the cluster: a numbered set of replicas in which one replica at a time can be replaced.
//!
//! A membership takes effect at the log entry that creates it. Entries that the previous membership decided after that
//! entry are void and are proposed again under the new membership. A replica that is lost with its disk never has to
//! return.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use serde::{Deserialize, Serialize};

/// The valid ids of replicas.
pub const REPLICA_IDS: RangeInclusive<u64> = 1..=99;

/// The set of replicas between two replacements.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Membership {
    /// The number of the membership; the initial membership has number 1.
    pub number: u32,
    /// The address of each replica. The configuration of a connecting replica takes precedence.
    #[serde(rename = "at")]
    pub addresses: BTreeMap<u64, SocketAddr>,
    /// The ids of removed replicas, which are not reused.
    #[serde(rename = "gone")]
    pub removed: BTreeSet<u64>,
}

/// A request to replace one replica by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replacement {
    /// The id of the replica to remove.
    pub lost: u64,
    /// The id of the new replica, which no replica has had before.
    pub new: u64,
    /// The address of the new replica.
    #[serde(rename = "at")]
    pub address: SocketAddr,
}

/// An error that prevents a replacement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReplaceError {
    /// The replica to remove is not a member.
    #[error("there is no replica {0}")]
    UnknownReplica(u64),
    /// The id of the new replica is or was in use.
    #[error("replica id {0} is or was in use; choose another id for the new replica")]
    IdInUse(u64),
    /// The id of the new replica is not in [`REPLICA_IDS`].
    #[error(
        "replica id {0} is out of range: it must be from {min} to {max}",
        min = REPLICA_IDS.start(),
        max = REPLICA_IDS.end()
    )]
    IdOutOfRange(u64),
}

impl Membership {
    /// Returns the membership with which a cluster starts.
    pub fn initial(addresses: BTreeMap<u64, SocketAddr>) -> Membership {
        Membership {
            number: 1,
            addresses,
            removed: BTreeSet::new(),
        }
    }

    /// Returns whether a replica is a member.
    pub fn contains(&self, replica: u64) -> bool {
        self.addresses.contains_key(&replica)
    }

    /// Returns the ids of the members in ascending order.
    pub fn replica_ids(&self) -> Vec<u64> {
        self.addresses.keys().copied().collect()
    }

    /// Returns the membership after a replacement, or this membership if `lost` is already removed and `new` is already
    /// a member, as after a repeated request. Whether the replacement is valid depends on ids alone, because replicas
    /// may know each other by different addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if the replica to remove is unknown or the new id can't be used.
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
