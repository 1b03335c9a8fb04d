//! Messages about task leases between routers and replicas.

use serde::{Deserialize, Serialize};

use crate::shard::Shard;
use crate::version::Holder;

/// The part of a lease renewal in which a router takes part in task leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseOffer {
    /// The serial of the last renewal whose response the router received.
    #[serde(rename = "heard")]
    pub acknowledged_serial: u64,
    /// Whether the router accepts leases; one that shuts down does not.
    #[serde(rename = "willing")]
    pub accepts_leases: bool,
    /// Leases that the router has released, each with its fencing token: it performs nothing under them any more.
    pub released: Vec<(Shard, u64)>,
    /// The revision of the lease table that the router knows.
    #[serde(rename = "board")]
    pub table_revision: u64,
}

/// A lease of a shard, as it is reported to its holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskLeaseGrant {
    /// The shard.
    #[serde(rename = "part")]
    pub shard: Shard,
    /// The lease's fencing token.
    #[serde(rename = "number")]
    pub fencing_token: u64,
    /// The holder is to release the lease as soon as the operations under it have ended.
    #[serde(rename = "leaving")]
    pub release_requested: bool,
}

/// A shard's state, as it is reported to all routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseTableEntry {
    /// The shard.
    #[serde(rename = "part")]
    pub shard: Shard,
    /// The holder of its lease, with the fencing token.
    pub holder: Option<(Holder, u64)>,
    /// The note that this or an earlier holder recorded last.
    pub note: Option<String>,
}

/// Changes of the lease table since a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseTableUpdate {
    /// The revision of the table with these changes.
    #[serde(rename = "upto")]
    pub revision: u64,
    /// All shards that exist; others are removed.
    #[serde(rename = "parts")]
    pub shards: Vec<Shard>,
    /// The entries that have changed.
    #[serde(rename = "posted")]
    pub entries: Vec<LeaseTableEntry>,
}

/// Why a note is not recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum NoteError {
    /// The lease is no longer held under that fencing token.
    #[error("the lease is no longer held under this fencing token")]
    #[serde(rename = "outdated")]
    StaleToken,
    /// The note exceeds [`MAX_NOTE_BYTES`](crate::MAX_NOTE_BYTES).
    #[error("the note is too long")]
    TooLong,
}
