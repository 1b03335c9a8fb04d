//! Paths and JSON bodies of the coordination server's HTTP interface. Unknown fields are rejected, so that a program of
//! another version fails instead of half understanding a message. JSON names that differ from the fields' are pinned by
//! `serde(rename)`: `tests/wire_form.rs` compares all of them with stored bytes.

use hoptiller_coordination::{
    ConfigLeaseGrant, Holder, LeaseOffer, Micros, NoteError, Rejection, Shard, VersionMetadata,
    VersionNumber,
};
use serde::{Deserialize, Serialize};

/// A router renews its lease of the configuration: POST, [`LeaseRenewalRequest`] to [`LeaseRenewalResponse`].
pub const RENEW_LEASE: &str = "/v1/fleet/ask";
/// A router releases its lease of the configuration: POST, [`Holder`].
pub const RELEASE_LEASE: &str = "/v1/fleet/give-back";
/// Waits until the versions differ from those that the caller knows: POST, [`WatchRequest`] to [`VersionNumbers`].
pub const WATCH: &str = "/v1/fleet/watch";
/// The holder of a shard's lease stores a note of its progress: POST, [`RecordNoteRequest`] to [`RecordNoteResult`].
pub const RECORD_NOTE: &str = "/v1/fleet/note";
/// The leases of shards: GET, `Vec<`[`LeaseStatus`]`>`.
pub const LEASES: &str = "/v1/fleet/leases";
/// The state of the cluster as one replica sees it: GET, [`ClusterStatus`].
pub const STATUS: &str = "/v1/fleet/status";
/// Proposes a version of the configuration: POST, [`Proposal`](hoptiller_coordination::Proposal) to [`ProposalResponse`].
pub const PROPOSE: &str = "/v1/settings/put";
/// Reads a version: POST, [`VersionRequest`] to [`Version`](hoptiller_coordination::Version).
pub const SHOW: &str = "/v1/settings/show";
/// Lists the metadata of the versions kept: GET, `Vec<`[`VersionMetadata`]`>`.
pub const HISTORY: &str = "/v1/settings/history";
/// Compares two versions: POST, [`DiffRequest`] to `Vec<`[`Difference`](hoptiller_coordination::Difference)`>`.
pub const DIFF: &str = "/v1/settings/diff";
/// Log messages between replicas.
pub const MESSAGES: &str = "/v1/keeper/messages";
/// A replica that joins the cluster requests the replicated state.
pub const STATE: &str = "/v1/keeper/state";
/// A replica with an outdated membership receives the replicated state.
pub const INSTALL: &str = "/v1/keeper/install";
/// Replaces one replica by another: POST, to [`ReplaceResponse`].
pub const REPLACE: &str = "/v1/keeper/replace";

/// Limit of the size of a body, in bytes.
pub const MAX_BODY_BYTES: u64 = 32 << 20;

/// The request of [`RENEW_LEASE`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRenewalRequest {
    /// The router.
    pub holder: Holder,
    /// The last version that the router enforces.
    #[serde(rename = "heeds")]
    pub enforced_version: VersionNumber,
    /// The version that the router believes to be in force.
    pub in_force: VersionNumber,
    /// How long a lease lasts by the router's settings, in µs. Both sides must agree.
    pub term: Micros,
    /// Limit of the difference of two clocks' rates by the router's settings, in millionths. Both sides must agree.
    pub drift: u64,
    /// The router's offer to run shards of tasks, if it takes part in them.
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
    /// The note to be stored.
    pub text: String,
}

/// The response of [`RECORD_NOTE`]: whether the note was stored, or why not.
pub type RecordNoteResult = Result<(), NoteError>;

/// The lease of a shard, as one replica knows it: [`LEASES`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// The shard.
    #[serde(rename = "part")]
    pub shard: Shard,
    /// The holder and its fencing token.
    pub holder: Option<(Holder, u64)>,
    /// Time until the lease expires by this replica's clock, in ms.
    pub left_ms: Option<u64>,
    /// The length of the note stored, in bytes.
    pub note_bytes: u64,
}

/// The response of [`RENEW_LEASE`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseRenewalResponse {
    /// The lease is renewed.
    Granted(ConfigLeaseGrant),
    /// The router knows of a version that the cluster never had.
    #[serde(rename = "ahead")]
    UnknownVersion,
    /// There is no version yet.
    #[serde(rename = "empty")]
    NoVersion,
    /// The limit of routers is reached.
    #[serde(rename = "crowded")]
    TooManyHolders,
}

/// The request of [`WATCH`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WatchRequest {
    /// What the caller knows.
    pub known: VersionNumbers,
    /// Limit of the time to wait, in ms.
    pub wait_ms: u64,
    /// Whether to return on changes of the lease table too.
    #[serde(rename = "board", default, skip_serializing_if = "std::ops::Not::not")]
    pub watch_leases: bool,
}

/// The current version numbers.
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
    /// Accepted as the version of this number.
    #[serde(rename = "taken")]
    Accepted(VersionNumber),
    /// Rejected.
    #[serde(rename = "refused")]
    Rejected(Rejection),
}

/// The request of [`SHOW`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionRequest {
    /// The version's number; `None` for the last one.
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

/// A router's lease of the configuration, as one replica knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderStatus {
    /// The router.
    pub holder: Holder,
    /// The last version that the router enforces.
    #[serde(rename = "heeds")]
    pub enforced_version: VersionNumber,
    /// Time until the lease expires by this replica's clock, in ms.
    pub left_ms: u64,
    /// Whether the next version waits for this router.
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
    /// The current version numbers.
    #[serde(rename = "numbers")]
    pub versions: VersionNumbers,
    /// Versions not yet in force.
    pub pending: Vec<VersionMetadata>,
    /// Routers that hold a lease of the configuration.
    pub holders: Vec<HolderStatus>,
    /// The number of the membership that this replica knows.
    #[serde(rename = "list", default)]
    pub membership: u32,
    /// The replicas of that membership.
    #[serde(rename = "keepers", default)]
    pub replicas: Vec<u64>,
    /// The other replicas.
    #[serde(rename = "heard_ms_ago")]
    pub peers: Vec<PeerStatus>,
    /// The size of the log.
    pub log: LogStatus,
}

/// When a replica last answered another one. In JSON a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, Option<u64>)", into = "(u64, Option<u64>)")]
pub struct PeerStatus {
    /// The other replica.
    pub replica: u64,
    /// Time since its last answer, in ms; `None` if it has not answered yet.
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

/// The size of a replica's log, in entries. In JSON a pair.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct LogStatus {
    /// Entries decided since the cluster began.
    pub decided: u64,
    /// Entries that are not compacted.
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
    /// The number of the membership that is now in effect.
    #[serde(rename = "list")]
    pub membership: u32,
}

/// The body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What is wrong.
    #[serde(rename = "problem")]
    pub message: String,
}
