//! Owns the bodies of calls to keepers, in JSON. Unknown fields are refused, so that programs of two versions never
//! half understand each other.

use hoptiller_coordination::{
    ConfigLeaseGrant, Holder, Proposal, Rejection, Version, VersionMetadata, VersionNumber,
};
use hoptiller_coordination::{Difference, Micros};
use hoptiller_coordination::{LeaseOffer, NoteError, Shard};
use serde::{Deserialize, Serialize};

/// A router asks for its permit: POST, [`Ask`] to [`Asked`].
pub const ASK: &str = "/v1/fleet/ask";
/// A router gives its permit back: POST, [`Holder`].
pub const GIVE_BACK: &str = "/v1/fleet/give-back";
/// Waits until there is another version than the caller knows: POST, [`Watch`] to [`Numbers`].
pub const WATCH: &str = "/v1/fleet/watch";
/// The holder of a lease notes how far it has come: POST, [`Note`] to [`Noted`].
pub const NOTE: &str = "/v1/fleet/note";
/// Who does what for all: GET, `Vec<`[`LeaseStatus`]`>`.
pub const LEASES: &str = "/v1/fleet/leases";
/// Who is on which version: GET, [`Status`].
pub const STATUS: &str = "/v1/fleet/status";
/// A change is wanted: POST, [`Proposal`] to [`PutAnswer`].
pub const PUT: &str = "/v1/settings/put";
/// A version: POST, [`Which`] to [`Version`].
pub const SHOW: &str = "/v1/settings/show";
/// Heads of the versions kept: GET, `Vec<Head>`.
pub const HISTORY: &str = "/v1/settings/history";
/// How two versions differ: POST, [`Between`] to `Vec<Difference>`.
pub const DIFF: &str = "/v1/settings/diff";
/// Messages among keepers.
pub const MESSAGES: &str = "/v1/keeper/messages";
/// A new keeper asks another for the state.
pub const STATE: &str = "/v1/keeper/state";
/// A keeper that is behind by a list of keepers is given the state.
pub const INSTALL: &str = "/v1/keeper/install";
/// One keeper is to take another's place: POST, to [`Replaced`].
pub const REPLACE: &str = "/v1/keeper/replace";

/// Bytes of a body at most.
pub const MOST_BODY: u64 = 32 << 20;

/// See [`ASK`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ask {
    /// Who.
    pub holder: Holder,
    /// The last version whose rules it heeds.
    pub heeds: VersionNumber,
    /// The version that it holds to be in force.
    pub in_force: VersionNumber,
    /// The term that it counts with, in µs, and the drift, in millionths: both sides must count alike.
    pub term: Micros,
    /// See `term`.
    pub drift: u64,
    /// What it says of leases, where it takes part in them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub offer: Option<LeaseOffer>,
}

/// See [`NOTE`]. It is answered with whether the note was taken, or why not.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Note {
    /// Who.
    pub holder: Holder,
    /// For what.
    pub part: Shard,
    /// Under which number.
    pub number: u64,
    /// The note.
    pub text: String,
}

/// The answer to [`NOTE`].
pub type Noted = Result<(), NoteError>;

/// A part of a task, as a keeper knows it: [`LEASES`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// Which part.
    pub part: Shard,
    /// Who holds it, and under which number.
    pub holder: Option<(Holder, u64)>,
    /// Until it has run out by this keeper's clock, in ms.
    pub left_ms: Option<u64>,
    /// How long the note of its holder is.
    pub note_bytes: u64,
}

/// The answer to [`ASK`], where there is one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Asked {
    /// Prolonged.
    Granted(ConfigLeaseGrant),
    /// The router knows of a version that this fleet never had.
    Ahead,
    /// There is no version yet.
    Empty,
    /// There are too many routers.
    Crowded,
}

/// See [`WATCH`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Watch {
    /// What the caller knows.
    pub known: Numbers,
    /// How long it waits at most, in ms.
    pub wait_ms: u64,
    /// Whether changes of who does what for all are news too.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub board: bool,
}

/// Where a fleet stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Numbers {
    /// The version in force.
    pub in_force: VersionNumber,
    /// The last one, in force or on its way.
    pub last: VersionNumber,
    /// Counts changes of who does what for all.
    #[serde(default, skip_serializing_if = "is_none")]
    pub board: u64,
}

/// Programs from before there were tasks know nothing of a board.
fn is_none(count: &u64) -> bool {
    *count == 0
}

/// See [`PUT`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PutAnswer {
    /// Taken, under this number.
    Taken(VersionNumber),
    /// Refused.
    Refused(Rejection),
}

/// See [`SHOW`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Which {
    /// Its number; `None`: the last.
    pub number: Option<VersionNumber>,
}

/// See [`DIFF`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Between {
    /// From.
    pub from: VersionNumber,
    /// To.
    pub to: VersionNumber,
}

/// The answer to [`DIFF`].
pub type Differences = Vec<Difference>;

/// A holder of a permit, as a keeper knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderStatus {
    /// Who.
    pub holder: Holder,
    /// The last version whose rules it heeds.
    pub heeds: VersionNumber,
    /// Until its permit has run out by this keeper's clock, in ms.
    pub left_ms: u64,
    /// Whether the next change waits for it.
    pub holds_up: bool,
}

/// The answer to [`STATUS`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The keeper that says so.
    pub keeper: u64,
    /// The one that leads, as it knows.
    pub leader: Option<u64>,
    /// Where the fleet stands.
    pub numbers: Numbers,
    /// Changes on their way.
    pub pending: Vec<VersionMetadata>,
    /// Who holds a permit.
    pub holders: Vec<HolderStatus>,
    /// The number of the list of keepers that it goes by, and who is on it.
    #[serde(default)]
    pub list: u32,
    /// See `list`.
    #[serde(default)]
    pub keepers: Vec<u64>,
    /// Other keepers, and how long ago each was heard, in ms; `None`: never.
    pub heard_ms_ago: Vec<(u64, Option<u64>)>,
    /// Steps of the log: decided, and how many of these are kept one by one.
    pub log: (u64, u64),
}

/// The answer to [`REPLACE`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replaced {
    /// The number of the list of keepers that holds now.
    pub list: u32,
}

/// Why a call is refused, in words.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The words.
    pub problem: String,
}

/// What versions a [`SHOW`] gives.
pub type Shown = Version;
/// What a [`PUT`] takes.
pub type Wanted = Proposal;
