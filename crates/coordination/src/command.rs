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
    /// Renews a router's configuration lease, and its task leases.
    #[serde(rename = "Ask")]
    RenewLease {
        /// The router.
        holder: Holder,
        /// The latest version that the router enforces, alone or merged with others; 0: none yet.
        #[serde(rename = "heeds")]
        enforced: VersionNumber,
        /// The version that the router believes to be in force; 0: none.
        in_force: VersionNumber,
        /// Its side of task leases, where the router takes part in them.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        offer: Option<LeaseOffer>,
    },
    /// Releases a router's leases: it acts no more.
    #[serde(rename = "GiveBack")]
    ReleaseLease(Holder),
    /// Brings versions in force that all holders enforce.
    #[serde(rename = "Settle")]
    CompleteRollout {
        /// The latest version to bring in force.
        upto: VersionNumber,
        /// The configuration leases that have expired by the clock of the replica that issues the command, each with the
        /// serial of its last renewal.
        #[serde(rename = "lapsed")]
        expired: Vec<(Holder, u64)>,
    },
    /// Removes task leases that have expired by the clock of the replica that issues the command, each with the serial of
    /// its last renewal.
    #[serde(rename = "Free")]
    ExpireTaskLeases(Vec<(Shard, u64)>),
    /// Records the progress of a lease's holder.
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
        /// The note.
        text: String,
    },
}

/// The response to a [`Command`].
#[derive(Clone, Debug, PartialEq)]
pub enum CommandResponse {
    /// The number of the proposed version, also where the same change was proposed before.
    Proposed(Result<VersionNumber, Rejection>),
    /// The lease is renewed.
    LeaseGranted(ConfigLeaseGrant),
    /// No lease: the router knows a version that this state never had, so that some state has been rolled back.
    UnknownVersion,
    /// No lease: there is no version yet.
    NoVersion,
    /// No lease: there are too many holders.
    TooManyHolders,
    /// The leases are released.
    LeaseReleased,
    /// The version that is in force.
    InForce(VersionNumber),
    /// The note is recorded, or not.
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
    /// All versions from the one in force to the latest, in order; empty where the router has reported that it has them.
    pub versions: Vec<Version>,
    /// The serial of this renewal.
    #[serde(default)]
    pub serial: u64,
    /// The router's task leases; `None` where none is renewed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leases: Option<Vec<TaskLeaseGrant>>,
    /// Changes of the lease table.
    #[serde(rename = "board", default, skip_serializing_if = "Option::is_none")]
    pub lease_table: Option<LeaseTableUpdate>,
}
