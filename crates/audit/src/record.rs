//! The records of a run: what clients, engines, discovery and whoever stops routers saw, each written by the party that
//! saw it. The names in the stored JSON differ from those here and must stay.

use serde::{Deserialize, Serialize};

/// Outcome of a statement, as its client was told in the final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// All rows were delivered.
    Served,
    /// Rejected after admission; a retry is harmless.
    Refused,
    /// Failed; whether it took effect is not known.
    Failed,
}

/// The configuration versions that an attempt was sent under. Stored as the sequence `[in_force, enforced, in_doubt]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64, bool)", into = "(u64, u64, bool)")]
pub struct SentVersions {
    /// The version in force at the router.
    pub in_force: u64,
    /// The newest version that the router enforced.
    pub enforced: u64,
    /// Whether the router could not be sure that its versions were current.
    pub in_doubt: bool,
}

impl From<(u64, u64, bool)> for SentVersions {
    fn from((in_force, enforced, in_doubt): (u64, u64, bool)) -> Self {
        Self {
            in_force,
            enforced,
            in_doubt,
        }
    }
}

impl From<SentVersions> for (u64, u64, bool) {
    fn from(versions: SentVersions) -> Self {
        (versions.in_force, versions.enforced, versions.in_doubt)
    }
}

/// One observation. The fields that variants share:
///
/// - `at`: when it was made, in µs since 1970;
/// - `request`: the client's own number of one submission;
/// - `trace`: names what is to be done, as `name.N`, where N counts the submissions of `name`;
/// - `router`, `engine`, `class`, `kind`: names of the router, the engine, the statement class and the machine kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
#[allow(
    missing_docs,
    reason = "the type describes the fields that variants share"
)]
pub enum Record {
    /// A client submitted a statement, with an ordering key or none, and waits for its answer until `deadline`.
    Submitted {
        at: u64,
        request: u64,
        trace: String,
        router: String,
        class: String,
        key: Option<String>,
        #[serde(rename = "gives_up")]
        deadline: u64,
    },
    /// The router admitted it.
    #[serde(rename = "taken")]
    Admitted { at: u64, request: u64 },
    /// The router rejected it, with this HTTP status.
    #[serde(rename = "turned_away")]
    Rejected { at: u64, request: u64, status: u16 },
    /// The connection broke, so that the client does not know whether it was admitted.
    #[serde(rename = "unknown")]
    AdmissionUnknown { at: u64, request: u64 },
    /// The client received rows.
    #[serde(rename = "rows")]
    RowsReceived { at: u64, request: u64, rows: u64 },
    /// The client received the final answer.
    Answered {
        at: u64,
        request: u64,
        #[serde(rename = "how")]
        outcome: Outcome,
        error: Option<String>,
    },
    /// The client asked again for the final answer and received another one.
    #[serde(rename = "changed")]
    FinalAnswerChanged { at: u64, request: u64 },
    /// The client stopped waiting at its deadline, without a final answer.
    #[serde(rename = "gave_up")]
    TimedOut { at: u64, request: u64 },
    /// The client cancelled the statement or disconnected on purpose.
    #[serde(rename = "left")]
    Cancelled { at: u64, request: u64 },

    /// An attempt reached an engine.
    Sent {
        at: u64,
        engine: String,
        kind: String,
        router: String,
        trace: String,
        class: String,
        #[serde(rename = "hop")]
        attempt: u32,
        /// The configuration versions that it was sent under; absent where routers do not use versions.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        versions: Option<SentVersions>,
    },
    /// The engine is done with an attempt, however it ended.
    Done {
        at: u64,
        engine: String,
        trace: String,
        /// Run time summed over all threads, in µs; 0 where the attempt did not complete.
        #[serde(default)]
        work: u64,
    },
    /// An engine rejected an attempt before running it, as it was sent under an outdated configuration version.
    Fenced {
        at: u64,
        engine: String,
        router: String,
        #[serde(rename = "heeds")]
        enforced: u64,
    },
    /// Discovery or an engine (`resource`) received a request under a lease, and served it or refused it as its fencing
    /// token is outdated.
    #[serde(rename = "leased")]
    LeasedRequest {
        at: u64,
        resource: String,
        router: String,
        #[serde(rename = "part")]
        shard: String,
        #[serde(rename = "number")]
        fencing_token: u64,
        refused: bool,
    },
    /// An effect was written to the ledger.
    #[serde(rename = "posted")]
    EffectWritten {
        at: u64,
        engine: String,
        trace: String,
    },
    /// An engine's process started, with a cold cache or a warm one.
    #[serde(rename = "started")]
    EngineStarted { at: u64, engine: String, cold: bool },
    /// An engine crashed under overload.
    #[serde(rename = "fell")]
    EngineCrashed { at: u64, engine: String },
    /// A router was notified that an engine is draining or gone.
    #[serde(rename = "told_drain")]
    DrainNotified {
        at: u64,
        engine: String,
        router: String,
    },
    /// A router was notified that an engine is up.
    #[serde(rename = "told_up")]
    UpNotified {
        at: u64,
        engine: String,
        router: String,
    },

    /// A router's process was killed; no answer is owed for what it held.
    #[serde(rename = "killed")]
    RouterKilled { at: u64, router: String },
    /// A router's process was paused from `at` to `until`; what it received or held meanwhile may be answered late.
    #[serde(rename = "stood_still")]
    RouterPaused { at: u64, router: String, until: u64 },
}

impl Record {
    /// When the observation was made, in µs since 1970.
    pub fn at(&self) -> u64 {
        match self {
            Record::Submitted { at, .. }
            | Record::Admitted { at, .. }
            | Record::Rejected { at, .. }
            | Record::AdmissionUnknown { at, .. }
            | Record::RowsReceived { at, .. }
            | Record::Answered { at, .. }
            | Record::FinalAnswerChanged { at, .. }
            | Record::TimedOut { at, .. }
            | Record::Cancelled { at, .. }
            | Record::Sent { at, .. }
            | Record::Done { at, .. }
            | Record::Fenced { at, .. }
            | Record::LeasedRequest { at, .. }
            | Record::EffectWritten { at, .. }
            | Record::EngineStarted { at, .. }
            | Record::EngineCrashed { at, .. }
            | Record::DrainNotified { at, .. }
            | Record::UpNotified { at, .. }
            | Record::RouterKilled { at, .. }
            | Record::RouterPaused { at, .. } => *at,
        }
    }
}
