//! Paths and JSON bodies of the coordination server's HTTP interface. Bodies with `deny_unknown_fields`, which are most
//! requests, reject unknown fields, so that a program of another version fails instead of misreading a message.
//! `serde(rename)` sets the JSON names that differ from the names of the fields, and `tests/wire_form.rs` compares all
//! of them with stored bytes.

use hoptiller_coordination::{
    ConfigLeaseGrant, Holder, LeaseOffer, Micros, NoteError, Rejection, Shard, VersionMetadata,
    VersionNumber,
};
use serde::{Deserialize, Serialize};

/// The path to renew a router's configuration lease: POST, [`LeaseRenewalRequest`] to [`LeaseRenewalResponse`].
pub const RENEW_LEASE: &str = "/v1/fleet/ask";
/// The path to release all leases of a router: POST, [`Holder`].
pub const RELEASE_LEASE: &str = "/v1/fleet/give-back";
/// The path to wait until the numbers of versions, and of the lease table on request, differ from those that the caller
/// knows: POST, [`WatchRequest`] to [`VersionNumbers`].
pub const WATCH: &str = "/v1/fleet/watch";
/// The path to record a note on the progress of a shard by the holder of its lease: POST, [`RecordNoteRequest`] to
/// [`RecordNoteResult`].
pub const RECORD_NOTE: &str = "/v1/fleet/note";
/// The path to list the leases of shards: GET, `Vec<`[`LeaseStatus`]`>`.
pub const LEASES: &str = "/v1/fleet/leases";
/// The path to read the state of the cluster as one replica knows it: GET, [`ClusterStatus`].
pub const STATUS: &str = "/v1/fleet/status";
/// The path to propose a version of the configuration: POST, [`Proposal`](hoptiller_coordination::Proposal) to
/// [`ProposalResponse`].
pub const PROPOSE: &str = "/v1/settings/put";
/// The path to read a version: POST, [`VersionRequest`] to [`Version`](hoptiller_coordination::Version).
pub const SHOW: &str = "/v1/settings/show";
/// The path to list the metadata of all versions that are kept: GET, `Vec<`[`VersionMetadata`]`>`.
pub const HISTORY: &str = "/v1/settings/history";
/// The path to compare two versions: POST, [`DiffRequest`] to
/// `Vec<`[`Difference`](hoptiller_coordination::Difference)`>`.
pub const DIFF: &str = "/v1/settings/diff";
/// The path for messages of the log replication protocol between replicas: POST, with bodies that the server defines.
pub const MESSAGES: &str = "/v1/keeper/messages";
/// The path to request the replicated state, for a replica that joins the cluster: POST, with bodies that the server
/// defines.
pub const STATE: &str = "/v1/keeper/state";
/// The path to send the replicated state to a replica with an outdated membership: POST, with bodies that the server
/// defines.
pub const INSTALL: &str = "/v1/keeper/install";
/// The path to replace one replica by another: POST, with [`ReplaceResponse`] as the response.
pub const REPLACE: &str = "/v1/keeper/replace";

/// Maximum size of a body, in bytes.
pub const MAX_BODY_BYTES: u64 = 32 << 20;

/// The request of [`RENEW_LEASE`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRenewalRequest {
    /// The router.
    pub holder: Holder,
    /// The latest version that the router enforces.
    #[serde(rename = "heeds")]
    pub enforced_version: VersionNumber,
    /// The version that the router believes to be in force.
    pub in_force: VersionNumber,
    /// The duration of a lease by the router's settings, in µs. Both sides must agree on it.
    pub term: Micros,
    /// The maximum difference between the rates of two clocks by the router's settings, in millionths. Both sides must
    /// agree on it.
    pub drift: u64,
    /// The part of the renewal that concerns task leases, if the router takes part in them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub offer: Option<LeaseOffer>,
}

/// The request of [`RECORD_NOTE`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RecordNoteRequest {
    /// The holder of the lease.
    pub holder: Holder,
    /// The shard.
    #[serde(rename = "part")]
    pub shard: Shard,
    /// The fencing token of the lease.
    #[serde(rename = "number")]
    pub fencing_token: u64,
    /// The text of the note.
    pub text: String,
}

/// The response of [`RECORD_NOTE`]: the note is recorded, or the reason why not.
pub type RecordNoteResult = Result<(), NoteError>;

/// The lease of a shard, as one replica knows it: [`LEASES`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// The shard.
    #[serde(rename = "part")]
    pub shard: Shard,
    /// The holder and the fencing token; `None` if nobody holds the lease.
    pub holder: Option<(Holder, u64)>,
    /// The time until the lease expires by this replica's clock, in ms; `None` if nobody holds it.
    pub left_ms: Option<u64>,
    /// The size of the recorded note, in bytes.
    pub note_bytes: u64,
}

/// The response of [`RENEW_LEASE`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseRenewalResponse {
    /// The lease is renewed.
    Granted(ConfigLeaseGrant),
    /// The router knows a version that the cluster never had.
    #[serde(rename = "ahead")]
    UnknownVersion,
    /// There is no version yet.
    #[serde(rename = "empty")]
    NoVersion,
    /// There are too many holders.
    #[serde(rename = "crowded")]
    TooManyHolders,
}

/// The request of [`WATCH`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WatchRequest {
    /// The numbers that the caller knows.
    pub known: VersionNumbers,
    /// The maximum time to wait, in ms.
    pub wait_ms: u64,
    /// Whether to respond to changes of the lease table too.
    #[serde(rename = "board", default, skip_serializing_if = "std::ops::Not::not")]
    pub watch_leases: bool,
}

/// The numbers of the current versions, and the revision of the lease table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionNumbers {
    /// The version in force.
    pub in_force: VersionNumber,
    /// The latest version, in force or pending.
    pub last: VersionNumber,
    /// The revision of the lease table.
    #[serde(rename = "board", default, skip_serializing_if = "is_zero")]
    pub table_revision: u64,
}

/// Returns whether a revision is 0 and thus left out, as programs that know no lease table reject the field.
fn is_zero(revision: &u64) -> bool {
    *revision == 0
}

/// The response of [`PROPOSE`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ProposalResponse {
    /// The proposal is accepted as the version of this number.
    #[serde(rename = "taken")]
    Accepted(VersionNumber),
    /// The proposal is rejected.
    #[serde(rename = "refused")]
    Rejected(Rejection),
}

/// The request of [`SHOW`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionRequest {
    /// The version's number; `None` means the latest version.
    pub number: Option<VersionNumber>,
}

/// The request of [`DIFF`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DiffRequest {
    /// The older version.
    pub from: VersionNumber,
    /// The newer version.
    pub to: VersionNumber,
}

/// A router's configuration lease, as one replica knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderStatus {
    /// The router.
    pub holder: Holder,
    /// The latest version that the router enforces.
    #[serde(rename = "heeds")]
    pub enforced_version: VersionNumber,
    /// The time until the lease expires by this replica's clock, in ms.
    pub left_ms: u64,
    /// Whether the rollout of the next version waits for this router.
    #[serde(rename = "holds_up")]
    pub blocks_rollout: bool,
}

/// The response of [`STATUS`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClusterStatus {
    /// The replica that answers.
    #[serde(rename = "keeper")]
    pub replica: u64,
    /// The leader, as far as this replica knows.
    pub leader: Option<u64>,
    /// The numbers of the current versions, and the revision of the lease table.
    #[serde(rename = "numbers")]
    pub versions: VersionNumbers,
    /// The versions that are not in force yet.
    pub pending: Vec<VersionMetadata>,
    /// The routers that hold a configuration lease.
    pub holders: Vec<HolderStatus>,
    /// The sequence number of the cluster's membership that this replica knows. Each replacement of a replica
    /// increments it.
    #[serde(rename = "list", default)]
    pub membership: u32,
    /// The replicas of that membership.
    #[serde(rename = "keepers", default)]
    pub replicas: Vec<u64>,
    /// The times since the other replicas last answered this one.
    #[serde(rename = "heard_ms_ago")]
    pub peers: Vec<PeerStatus>,
    /// The size of the log.
    pub log: LogStatus,
}

/// The time since another replica last answered this one, written as a pair in JSON.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, Option<u64>)", into = "(u64, Option<u64>)")]
pub struct PeerStatus {
    /// The other replica.
    pub replica: u64,
    /// The time since its last response, in ms; `None` if it has not answered yet.
    pub heard_ms_ago: Option<u64>,
}

impl From<(u64, Option<u64>)> for PeerStatus {
    fn from((replica, heard_ms_ago): (u64, Option<u64>)) -> Self {
        PeerStatus {
            replica,
            heard_ms_ago,
        }
    }
}

impl From<PeerStatus> for (u64, Option<u64>) {
    fn from(peer: PeerStatus) -> Self {
        (peer.replica, peer.heard_ms_ago)
    }
}

/// The size of a replica's log in entries, written as a pair in JSON.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct LogStatus {
    /// The number of entries decided since the cluster began.
    pub decided: u64,
    /// The number of entries that are not compacted.
    pub retained: u64,
}

impl From<(u64, u64)> for LogStatus {
    fn from((decided, retained): (u64, u64)) -> Self {
        LogStatus { decided, retained }
    }
}

impl From<LogStatus> for (u64, u64) {
    fn from(log: LogStatus) -> Self {
        (log.decided, log.retained)
    }
}

/// The response of [`REPLACE`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplaceResponse {
    /// The sequence number of the membership that is now in effect.
    #[serde(rename = "list")]
    pub membership: u32,
}

/// The body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The description of the error.
    #[serde(rename = "problem")]
    pub message: String,
}
