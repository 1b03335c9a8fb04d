//! Commands of the replicated log, and their responses.

use serde::{Deserialize, Serialize};

use crate::lease_messages::{LeaseOffer, LeaseTableUpdate, NoteError, TaskLeaseGrant};
use crate::proposal::{Proposal, Rejection};
use crate::shard::Shard;
use crate::version::{Holder, Version, VersionNumber};

/// A command of the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Proposes a version.
    #[serde(rename = "Put")]
    Propose(Box<Proposal>),
    /// Renews a router's configuration lease and its task leases.
    #[serde(rename = "Ask")]
    RenewLease {
        /// The router.
        holder: Holder,
        /// The latest version that the router enforces, alone or merged with others, or 0 for none.
        #[serde(rename = "heeds")]
        enforced: VersionNumber,
        /// The version that the router believes to be in force, or 0 for none.
        in_force: VersionNumber,
        /// The part of the renewal that concerns task leases, if the router takes part in them.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        offer: Option<LeaseOffer>,
    },
    /// Releases all leases of a router that has ended all operations under them.
    #[serde(rename = "GiveBack")]
    ReleaseLease(Holder),
    /// Brings the versions in force that all holders enforce.
    #[serde(rename = "Settle")]
    CompleteRollout {
        /// The latest version to bring in force.
        upto: VersionNumber,
        /// The configuration leases that have expired by the clock of the replica that issues the command, each with
        /// the serial of its last renewal.
        #[serde(rename = "lapsed")]
        expired: Vec<(Holder, u64)>,
    },
    /// Removes task leases that have expired by the clock of the replica that issues the command, each with the serial
    /// of its last renewal.
    #[serde(rename = "Free")]
    ExpireTaskLeases(Vec<(Shard, u64)>),
    /// Records a note on the progress of a task by the holder of its lease.
    #[serde(rename = "Note")]
    RecordNote {
        /// The router.
        holder: Holder,
        /// The shard whose lease it holds.
        #[serde(rename = "part")]
        shard: Shard,
        /// The lease's fencing token.
        #[serde(rename = "number")]
        fencing_token: u64,
        /// The text of the note.
        text: String,
    },
}

/// The response to a [`Command`].
#[derive(Clone, Debug, PartialEq)]
pub enum CommandResponse {
    /// The number of the proposed version, or why it is rejected. A change that was proposed before keeps its number.
    Proposed(Result<VersionNumber, Rejection>),
    /// The lease is renewed.
    LeaseGranted(ConfigLeaseGrant),
    /// No lease is granted: the router knows a version that this state never had, so some state has been rolled back.
    UnknownVersion,
    /// No lease is granted: there is no version yet.
    NoVersion,
    /// No lease is granted: there are too many holders.
    TooManyHolders,
    /// All leases of the router are released.
    LeaseReleased,
    /// The version that is in force: the response to [`Command::CompleteRollout`] and [`Command::ExpireTaskLeases`].
    InForce(VersionNumber),
    /// The note is recorded, or the reason why not.
    NoteRecorded(Result<(), NoteError>),
}

/// A renewed configuration lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigLeaseGrant {
    /// The version in force.
    pub in_force: VersionNumber,
    /// The latest version to enforce.
    #[serde(rename = "heed")]
    pub enforce: VersionNumber,
    /// All versions from the one in force to the latest, in order; empty if the router has reported that it has them.
    pub versions: Vec<Version>,
    /// The serial of this renewal.
    #[serde(default)]
    pub serial: u64,
    /// The router's task leases; `None` if they are not renewed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leases: Option<Vec<TaskLeaseGrant>>,
    /// The changes of the lease table that the router does not know yet.
    #[serde(rename = "board", default, skip_serializing_if = "Option::is_none")]
    pub lease_table: Option<LeaseTableUpdate>,
}
