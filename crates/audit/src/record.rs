//! The records of a run. Clients, engines, discovery and the harness that stops routers each write what they observe.
//! The names in the stored JSON differ from those in the code and must not change.

use serde::{Deserialize, Serialize};

/// Outcome of a statement, as reported to its client in the final response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// All rows were delivered.
    Served,
    /// The statement was refused after admission without having taken effect, so a retry is safe.
    Refused,
    /// The statement failed, and it is unknown whether it took effect.
    Failed,
}

/// Configuration versions under which a router sent an attempt. Stored as the sequence
/// `[in_force, enforced, in_doubt]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64, bool)", into = "(u64, u64, bool)")]
pub struct SentVersions {
    /// Version in force at the router.
    pub in_force: u64,
    /// Newest version that the router enforced.
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

/// An observation. Fields shared by several variants:
///
/// - `at`: time of the observation, in µs since the Unix epoch;
/// - `request`: number of the submission, assigned by the client;
/// - `trace`: identifies a submission. Clients that resubmit statements use `name.N`, where N counts the submissions of
///   the statement `name` from 0; other traces are names of statements;
/// - `router`, `engine`, `class`, `kind`: names of the router, the engine, the statement class and the machine kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
#[allow(
    missing_docs,
    reason = "the documentation of the type describes the shared fields"
)]
pub enum Record {
    /// A client submitted a statement, with or without an ordering key, and waits for its response until `deadline`.
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
    /// The router admitted the statement.
    #[serde(rename = "taken")]
    Admitted { at: u64, request: u64 },
    /// The statement was not admitted. `status` is the HTTP status, or 0 if no connection to the router could be
    /// opened.
    #[serde(rename = "turned_away")]
    Rejected { at: u64, request: u64, status: u16 },
    /// The connection broke, so the client does not know whether the statement was admitted.
    #[serde(rename = "unknown")]
    AdmissionUnknown { at: u64, request: u64 },
    /// The client received rows.
    #[serde(rename = "rows")]
    RowsReceived { at: u64, request: u64, rows: u64 },
    /// The client received the final response, also called the answer.
    Answered {
        at: u64,
        request: u64,
        #[serde(rename = "how")]
        outcome: Outcome,
        error: Option<String>,
    },
    /// The client requested the final response again and received a different one.
    #[serde(rename = "changed")]
    FinalAnswerChanged { at: u64, request: u64 },
    /// The client stopped waiting at its deadline, without a final response.
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
        /// Configuration versions under which the attempt was sent; absent if the routers do not use versions.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        versions: Option<SentVersions>,
    },
    /// The engine finished an attempt, whatever the result.
    Done {
        at: u64,
        engine: String,
        trace: String,
        /// Run time summed over all threads, in µs; 0 if the attempt did not complete.
        #[serde(default)]
        work: u64,
    },
    /// An engine rejected an attempt before running it because it was sent under an outdated configuration version.
    Fenced {
        at: u64,
        engine: String,
        router: String,
        /// Version that the router of the attempt enforced.
        #[serde(rename = "heeds")]
        enforced: u64,
    },
    /// Discovery or an engine (`resource`) received a request under a lease, and served it or refused it because of its
    /// outdated fencing token.
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
    /// An engine process started, with a cold or a warm cache.
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

    /// A router process was killed. No response is required for the statements that it held.
    #[serde(rename = "killed")]
    RouterKilled { at: u64, router: String },
    /// A router process was paused from `at` to `until`. Responses to statements that it received or held during the
    /// pause may be late.
    #[serde(rename = "stood_still")]
    RouterPaused { at: u64, router: String, until: u64 },
}

impl Record {
    /// Returns the time of the observation, in µs since the Unix epoch.
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
