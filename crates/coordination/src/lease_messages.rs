//! Messages about task leases between routers and replicas.

use serde::{Deserialize, Serialize};

use crate::shard::Shard;
use crate::version::Holder;

/// The part of a lease renewal that concerns task leases, sent by routers that take part in them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseOffer {
    /// The serial of the last renewal whose response the router received.
    #[serde(rename = "heard")]
    pub acknowledged_serial: u64,
    /// Whether the router accepts leases. A router that shuts down does not.
    #[serde(rename = "willing")]
    pub accepts_leases: bool,
    /// The leases that the router has released, each with its fencing token. It performs no operation under them any
    /// more.
    pub released: Vec<(Shard, u64)>,
    /// The revision of the lease table that the router knows.
    #[serde(rename = "board")]
    pub table_revision: u64,
}

/// The lease of a shard, as reported to its holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskLeaseGrant {
    /// The shard.
    #[serde(rename = "part")]
    pub shard: Shard,
    /// The lease's fencing token.
    #[serde(rename = "number")]
    pub fencing_token: u64,
    /// Whether the holder must release the lease as soon as the operations under it have ended.
    #[serde(rename = "leaving")]
    pub release_requested: bool,
}

/// The state of a shard, as reported to all routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseTableEntry {
    /// The shard.
    #[serde(rename = "part")]
    pub shard: Shard,
    /// The holder of its lease and the fencing token; `None` if nobody holds it.
    pub holder: Option<(Holder, u64)>,
    /// The last note that this or an earlier holder recorded.
    pub note: Option<String>,
}

/// The changes of the lease table since a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseTableUpdate {
    /// The revision of the table that includes these changes.
    #[serde(rename = "upto")]
    pub revision: u64,
    /// All shards of the table. Shards that are missing here have been removed.
    #[serde(rename = "parts")]
    pub shards: Vec<Shard>,
    /// The entries that have changed.
    #[serde(rename = "posted")]
    pub entries: Vec<LeaseTableEntry>,
}

/// The reason why a note is not recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum NoteError {
    /// The router does not hold the lease under that fencing token, or there is no such shard.
    #[error("this router does not hold the lease under this fencing token")]
    #[serde(rename = "outdated")]
    StaleToken,
    /// The note exceeds [`MAX_NOTE_BYTES`](crate::MAX_NOTE_BYTES).
    #[error("the note exceeds {} bytes", crate::MAX_NOTE_BYTES)]
    TooLong,
}
