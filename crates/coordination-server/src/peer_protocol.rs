//! The messages between replicas besides the log's own: batches of log messages with their origin, their order and how
//! much their sender's disk holds; and the transfer of the replicated state. A replica whose disk was created anew, or
//! restored from a copy, may have promised what it no longer knows: its peers reject it, and it stops.

use std::collections::{BTreeMap, BTreeSet};

use hoptiller_coordination::LeaseTiming;
use serde::{Deserialize, Serialize};

use crate::replica::ReplicatedState;
use crate::replicated_log::Message;
use crate::storage::PeerDisk;

/// Log messages to one replica.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct MessageBatch {
    pub(crate) fleet: String,
    pub(crate) from: u64,
    pub(crate) to: u64,
    /// The replicas, as the sender knows them.
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
    /// The sender's limit of clock drift, in millionths.
    pub(crate) drift: u64,
    #[serde(rename = "life")]
    pub(crate) incarnation: u64,
    /// The number of this batch in the sender's incarnation.
    #[serde(rename = "number")]
    pub(crate) sequence: u64,
    #[serde(rename = "disk")]
    pub(crate) disk_id: String,
    /// The number of durable transactions on the sender's disk.
    #[serde(rename = "step")]
    pub(crate) write_sequence: u64,
    pub(crate) messages: Vec<Message>,
}

/// Programs that know no numbered memberships know the initial one.
fn initial_membership() -> u32 {
    1
}

fn is_initial_membership(membership: &u32) -> bool {
    *membership == initial_membership()
}

/// A new replica requests the replicated state.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct JoinRequest {
    pub(crate) fleet: String,
    #[serde(rename = "keeper")]
    pub(crate) replica: u64,
    #[serde(rename = "disk")]
    pub(crate) disk_id: String,
}

/// The replicated state for a replica with an outdated membership.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct InstallRequest {
    pub(crate) fleet: String,
    pub(crate) to: u64,
    pub(crate) state: ReplicatedState,
}

/// Why a peer rejects a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum PeerError {
    /// The two replicas are configured differently, as this text for people says.
    #[error("{0}")]
    #[serde(rename = "unlike")]
    ConfigMismatch(String),
    /// The sender has another disk than it had before.
    #[error(
        "this keeper had disk {known} before; what it promised then is lost with it. Start a keeper with a new number \
         in its place"
    )]
    OtherDisk {
        /// The id of the disk that it had.
        known: String,
    },
    /// The sender's disk has fewer transactions than it had before.
    #[error(
        "this keeper's disk has {write_sequence} steps, and had {known}: it was put back from a copy. Start a keeper \
         with a new number in its place"
    )]
    #[serde(rename = "went_back")]
    DiskRolledBack {
        /// The number of transactions that it has.
        #[serde(rename = "step")]
        write_sequence: u64,
        /// The number of transactions that it had.
        known: u64,
    },
    /// Another replica has replaced the sender.
    #[error("another keeper has taken this one's place; it is no longer needed")]
    Replaced,
    /// The two replicas know different memberships. The one with the later membership sends it to the other.
    #[error(
        "the keepers are known there by list {receiver}, here by list {sender}. A new keeper is started with --join"
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
    /// Whether the sender must stop.
    pub(crate) fn is_final(&self) -> bool {
        match self {
            PeerError::OtherDisk { .. }
            | PeerError::DiskRolledBack { .. }
            | PeerError::Replaced => true,
            PeerError::ConfigMismatch(_) | PeerError::MembershipMismatch { .. } => false,
        }
    }
}

/// How a batch follows the ones received before.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// It is a duplicate, or was overtaken: its messages must be ignored.
    Stale,
    /// It is the next one.
    InOrder,
    /// Some before it are missing.
    AfterGap,
}

/// What a replica compares its peers with.
pub(crate) struct LocalView {
    pub(crate) fleet: String,
    pub(crate) replica: u64,
    /// The replicas of the membership in effect.
    pub(crate) replicas: Vec<u64>,
    /// The number of that membership.
    pub(crate) membership: u32,
    /// Replicas that were removed.
    pub(crate) removed: BTreeSet<u64>,
    pub(crate) bounds: LeaseTiming,
}

impl LocalView {
    /// Whether a batch is for this replica, from a peer that is configured alike.
    fn check_origin(&self, batch: &MessageBatch) -> Result<(), PeerError> {
        let mismatch = |reason: String| Err(PeerError::ConfigMismatch(reason));
        if batch.fleet != self.fleet {
            return mismatch(format!("this is fleet {:?}", self.fleet));
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
            return mismatch(format!("the keepers here are {:?}", self.replicas));
        }
        if batch.to != self.replica
            || batch.from == self.replica
            || !self.replicas.contains(&batch.from)
        {
            return mismatch(format!("this is keeper {}", self.replica));
        }
        let LeaseTiming { term, drift, .. } = self.bounds;
        if (batch.term, batch.drift) != (term, drift) {
            return mismatch(format!("permits here last {term} us, drift {drift}"));
        }
        let foreign =
            |message: &Message| message.sender() != batch.from || message.receiver() != batch.to;
        if batch.messages.iter().any(foreign) {
            return mismatch("its messages are others'".into());
        }
        Ok(())
    }
}

/// The last batch received of a peer.
#[derive(Clone, Copy)]
struct Received {
    incarnation: u64,
    sequence: u64,
}

/// Checks the batches of all peers as they are received.
#[derive(Default)]
pub(crate) struct BatchReceiver {
    last: BTreeMap<u64, Received>,
}

impl BatchReceiver {
    /// Checks a batch, and records what it reports of its sender's disk.
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
        let last = self.last.get(&batch.from).copied();
        if let Some(last) = last
            && (batch.incarnation, batch.sequence) <= (last.incarnation, last.sequence)
        {
            // An incarnation that has ended may still have batches under way, but not its first one: that begins an
            // incarnation on a disk that was restored from a copy.
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
        let received = Received {
            incarnation: batch.incarnation,
            sequence: batch.sequence,
        };
        self.last.insert(batch.from, received);
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
