//! The protocol between replicas: batches of log messages, and transfer of the replicated state. A batch identifies its
//! sender, its position in the sender's sequence and the state of the sender's disk. A replica whose disk was recreated
//! or restored from a copy may have made promises that it no longer knows: its peers reject it, and it stops.

use std::collections::{BTreeMap, BTreeSet};

use hoptiller_coordination::LeaseTiming;
use serde::{Deserialize, Serialize};

use crate::replica::ReplicatedState;
use crate::replicated_log::Message;
use crate::storage::PeerDisk;

/// A batch of log messages to one replica.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct MessageBatch {
    pub(crate) fleet: String,
    pub(crate) from: u64,
    pub(crate) to: u64,
    /// The members as known to the sender.
    #[serde(rename = "members")]
    pub(crate) replicas: Vec<u64>,
    /// The number of the sender's membership.
    #[serde(
        rename = "list",
        default = "initial_membership",
        skip_serializing_if = "is_initial_membership"
    )]
    pub(crate) membership: u32,
    /// The sender's lease term, in µs.
    pub(crate) term: u64,
    /// The sender's maximum clock drift, in millionths.
    pub(crate) drift: u64,
    #[serde(rename = "life")]
    pub(crate) incarnation: u64,
    /// The sequence number of this batch in the sender's incarnation.
    #[serde(rename = "number")]
    pub(crate) sequence: u64,
    #[serde(rename = "disk")]
    pub(crate) disk_id: String,
    /// The number of durable transactions on the sender's disk.
    #[serde(rename = "step")]
    pub(crate) write_sequence: u64,
    pub(crate) messages: Vec<Message>,
}

/// Returns the number of the initial membership, the only one known to programs that predate numbered memberships.
fn initial_membership() -> u32 {
    1
}

fn is_initial_membership(membership: &u32) -> bool {
    *membership == initial_membership()
}

/// A new replica's request for the replicated state.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct JoinRequest {
    pub(crate) fleet: String,
    #[serde(rename = "keeper")]
    pub(crate) replica: u64,
    #[serde(rename = "disk")]
    pub(crate) disk_id: String,
}

/// A request to install the replicated state on a replica with an outdated membership.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct InstallRequest {
    pub(crate) fleet: String,
    pub(crate) to: u64,
    pub(crate) state: ReplicatedState,
}

/// A peer's reason to reject a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum PeerError {
    /// The two replicas are configured differently, as the text describes for operators.
    #[error("{0}")]
    #[serde(rename = "unlike")]
    ConfigMismatch(String),
    /// The sender does not have the disk that it had before.
    #[error(
        "the sender had disk {known} before, and its promises were lost with that disk. Replace the sender with a \
         replica that has a new id"
    )]
    OtherDisk {
        /// The id of the disk that the sender had before.
        known: String,
    },
    /// The sender's disk has fewer durable transactions than it had before.
    #[error(
        "the sender's disk has {write_sequence} transactions and had {known} before: it was restored from a copy. \
         Replace the sender with a replica that has a new id"
    )]
    #[serde(rename = "went_back")]
    DiskRolledBack {
        /// The number of durable transactions on the disk.
        #[serde(rename = "step")]
        write_sequence: u64,
        /// The number of durable transactions that the disk had before.
        known: u64,
    },
    /// Another replica has replaced the sender.
    #[error("another replica has replaced the sender, which is no longer a member")]
    Replaced,
    /// The two replicas have different memberships. The replica with the later one sends it to the other.
    #[error(
        "the sender has membership {sender}, the receiver has membership {receiver}. If the replica with the earlier \
         one is new, start it with --join"
    )]
    #[serde(rename = "lists")]
    MembershipMismatch {
        /// The number of the sender's membership.
        #[serde(rename = "yours")]
        sender: u32,
        /// The number of the receiver's membership.
        #[serde(rename = "mine")]
        receiver: u32,
    },
}

impl PeerError {
    /// Returns whether the sender must stop.
    pub(crate) fn is_final(&self) -> bool {
        match self {
            PeerError::OtherDisk { .. }
            | PeerError::DiskRolledBack { .. }
            | PeerError::Replaced => true,
            PeerError::ConfigMismatch(_) | PeerError::MembershipMismatch { .. } => false,
        }
    }
}

/// The position of a batch relative to those received before.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// A duplicate, or a batch that a later one has overtaken: its messages must be ignored.
    Stale,
    /// The next batch in sequence.
    InOrder,
    /// A batch before which others are missing, or the first one received from the sender's incarnation.
    AfterGap,
}

/// The local values that batches of peers are checked against.
pub(crate) struct LocalView {
    pub(crate) fleet: String,
    pub(crate) replica: u64,
    /// The members under the membership in effect.
    pub(crate) replicas: Vec<u64>,
    /// The number of that membership.
    pub(crate) membership: u32,
    /// The ids of removed replicas.
    pub(crate) removed: BTreeSet<u64>,
    pub(crate) lease_timing: LeaseTiming,
}

impl LocalView {
    /// Checks that a batch is addressed to this replica and comes from a peer with the same configuration.
    fn check_origin(&self, batch: &MessageBatch) -> Result<(), PeerError> {
        let mismatch = |reason: String| Err(PeerError::ConfigMismatch(reason));
        if batch.fleet != self.fleet {
            return mismatch(format!(
                "the sender belongs to fleet {:?}, the receiver to fleet {:?}",
                batch.fleet, self.fleet
            ));
        }
        if self.removed.contains(&batch.from) {
            return Err(PeerError::Replaced);
        }
        if batch.membership != self.membership {
            return Err(PeerError::MembershipMismatch {
                sender: batch.membership,
                receiver: self.membership,
            });
        }
        if batch.replicas != self.replicas {
            return mismatch(format!(
                "the sender's members are {:?}, the receiver's {:?}",
                batch.replicas, self.replicas
            ));
        }
        if batch.to != self.replica
            || batch.from == self.replica
            || !self.replicas.contains(&batch.from)
        {
            return mismatch(format!(
                "the batch is from replica {} to replica {}, the receiver is replica {} of {:?}",
                batch.from, batch.to, self.replica, self.replicas
            ));
        }
        let LeaseTiming { term, drift, .. } = self.lease_timing;
        if (batch.term, batch.drift) != (term, drift) {
            return mismatch(format!(
                "the sender has a lease term (permit) of {} us and a drift of {} millionths, the receiver has {term} \
                 us and {drift} millionths",
                batch.term, batch.drift
            ));
        }
        let is_foreign =
            |message: &Message| message.sender() != batch.from || message.receiver() != batch.to;
        if batch.messages.iter().any(is_foreign) {
            return mismatch("the batch contains messages of another sender or receiver".into());
        }
        Ok(())
    }
}

/// The last batch received from a peer.
#[derive(Clone, Copy)]
struct LastBatch {
    incarnation: u64,
    sequence: u64,
}

/// Checks the order and origin of batches from all peers.
#[derive(Default)]
pub(crate) struct BatchReceiver {
    last_batches: BTreeMap<u64, LastBatch>,
}

impl BatchReceiver {
    /// Checks a batch and records the state of the sender's disk that it reports.
    pub(crate) fn receive(
        &mut self,
        local: &LocalView,
        disks: &mut BTreeMap<u64, PeerDisk>,
        batch: &MessageBatch,
    ) -> Result<Delivery, PeerError> {
        local.check_origin(batch)?;
        if let Some(known) = disks.get(&batch.from)
            && known.disk_id != batch.disk_id
        {
            return Err(PeerError::OtherDisk {
                known: known.disk_id.clone(),
            });
        }
        let known_sequence = disks.get(&batch.from).map_or(0, |disk| disk.write_sequence);
        let rolled_back = PeerError::DiskRolledBack {
            write_sequence: batch.write_sequence,
            known: known_sequence,
        };
        let last = self.last_batches.get(&batch.from).copied();
        if let Some(last) = last
            && (batch.incarnation, batch.sequence) <= (last.incarnation, last.sequence)
        {
            // Delayed batches of an ended incarnation are ignored. A first batch is not taken for a delayed one: it
            // begins an incarnation on a disk that was restored from a copy.
            if batch.incarnation < last.incarnation && batch.sequence == 0 {
                return Err(rolled_back);
            }
            return Ok(Delivery::Stale);
        }
        let disk = disks.entry(batch.from).or_insert(PeerDisk {
            disk_id: batch.disk_id.clone(),
            write_sequence: 0,
        });
        if batch.write_sequence < known_sequence {
            return Err(rolled_back);
        }
        disk.write_sequence = batch.write_sequence;
        let received = LastBatch {
            incarnation: batch.incarnation,
            sequence: batch.sequence,
        };
        self.last_batches.insert(batch.from, received);
        match last {
            Some(last)
                if last.incarnation == batch.incarnation && last.sequence + 1 == batch.sequence =>
            {
                Ok(Delivery::InOrder)
            }
            _ => Ok(Delivery::AfterGap),
        }
    }
}

#[cfg(test)]
mod tests;
