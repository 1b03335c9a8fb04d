//! What goes into and comes out of the core. Plain data.

use std::rc::Rc;

use hoptiller_policy::{EngineId, Micros};
use hoptiller_runaway::{Announced, Finding};

use super::page::{FinalResponse, StatementResponse};

/// A statement in a router's table: its number in that router's life.
pub type StatementId = u64;

/// Limits that the core enforces.
#[derive(Clone, Copy, Debug)]
pub struct CoreLimits {
    /// Statements at once that are not answered.
    pub max_open_statements: usize,
    /// Answered ones kept for clients that ask again.
    pub max_retained_responses: usize,
    /// How long those are kept.
    pub retention: Micros,
    /// A client that has not asked for so long has gone.
    pub abandon_after: Micros,
    /// Bytes of all pages held.
    pub max_buffered_bytes: u64,
    /// Between the end of an attempt and the moment when the client gives up, the decision and the answer need so
    /// much time. The decision module keeps 60 ms of it for itself.
    pub response_margin: Micros,
}

/// What a client wants done.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Its class, by number.
    pub class: usize,
    /// Its tenant, by number.
    pub tenant: Option<usize>,
    /// Its ordering key.
    pub ordering_key: Option<String>,
    /// The group of tables that it reads or writes, by number; see [`crate::group_of`].
    pub group: Option<u64>,
    /// Estimated work of all its threads.
    pub estimated_work: Option<Micros>,
    /// Estimated memory, in MB; 0: none given.
    pub estimated_memory_mb: f64,
    /// Its kind: the fingerprint of its text, and the text without values, for people.
    pub fingerprint: u64,
    /// See there.
    pub label: Rc<str>,
    /// What it says of its size.
    pub announced: Announced,
    /// The client says that it tries again.
    pub is_retry: bool,
    /// How long the client waits, where it says so; never longer than its class's patience.
    pub timeout: Option<Micros>,
    /// What engines are sent.
    pub work: Rc<EngineStatement>,
}

/// What engines are sent: text, and the session fields that go with it.
#[derive(Clone, Debug, Default)]
pub struct EngineStatement {
    /// The statement.
    pub text: String,
    /// Fields to pass on.
    pub fields: Vec<(String, String)>,
}

/// What the core holds at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CoreUsage {
    /// Statements without a final response.
    pub open_statements: usize,
    /// Answered statements that are retained for clients that poll again.
    pub retained_statements: usize,
    /// Bytes of buffered result pages.
    pub buffered_bytes: u64,
}

/// Why a statement is not taken. Nothing is owed for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitError {
    /// The table is full.
    TableFull,
    /// The router is ending.
    ShuttingDown,
}

/// What the shell is to do.
#[derive(Clone, Debug)]
pub enum Command {
    /// Send an attempt.
    Send(Attempt),
    /// An attempt's next page may be fetched.
    Fetch {
        /// The statement.
        id: StatementId,
        /// Which attempt.
        attempt: u32,
    },
    /// Withdraw an attempt and tell how it ended.
    Cancel {
        /// The statement.
        id: StatementId,
        /// Which attempt.
        attempt: u32,
    },
    /// The rest of an attempt's result is not wanted; nothing need be told.
    Release {
        /// The statement.
        id: StatementId,
        /// Which attempt.
        attempt: u32,
    },
    /// Have an attempt ended at its engine; how it ended still comes from there.
    Kill {
        /// The statement.
        id: StatementId,
        /// Which attempt.
        attempt: u32,
    },
    /// Have an attempt stand still at its engine, or go on.
    Pause {
        /// The statement.
        id: StatementId,
        /// Which attempt.
        attempt: u32,
        /// Stand still.
        paused: bool,
    },
    /// A verdict on a statement, a kind or an engine.
    ReportFinding(Box<Finding>),
    /// Ask an engine for its load.
    HealthCheck(EngineId),
    /// Ask discovery now.
    RefreshDiscovery,
    /// There is news for those who wait for this statement.
    NotifyWaiters(StatementId),
    /// A statement's final answer is settled.
    Settled {
        /// The statement.
        id: StatementId,
        /// Its class.
        class: usize,
        /// How.
        response: FinalResponse,
        /// Time since it came.
        elapsed: Micros,
        /// Attempts made.
        attempts: u32,
    },
}

/// An attempt to be sent.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The statement.
    pub id: StatementId,
    /// Which attempt, from 0.
    pub number: u32,
    /// Where to.
    pub engine: EngineId,
    /// Its class.
    pub class: usize,
    /// Priority, 0 to 3, where one was set.
    pub priority: Option<u8>,
    /// Memory to grant, in MB; 0 leaves it to the engine.
    pub memory_grant_mb: f64,
    /// When to give it up.
    pub deadline: Micros,
    /// Its first byte must be written before that, or not at all.
    pub send_by: Option<Micros>,
    /// What to send.
    pub work: Rc<EngineStatement>,
}

/// How an attempt ended without its result.
#[derive(Clone, Debug)]
pub struct AttemptOutcome {
    /// How.
    pub status: hoptiller_policy::AttemptStatus,
    /// What was seen, for people.
    pub reason: String,
    /// The engine's load, where told.
    pub load_report: Option<hoptiller_policy::LoadReport>,
}

/// What a poll finds.
#[derive(Clone, Debug)]
pub enum PollOutcome {
    /// An answer.
    Response(Rc<StatementResponse>),
    /// Nothing new yet: wait for [`Command::Wake`].
    Pending,
    /// That answer was given and its successor asked for, or the statement is long over.
    Gone,
    /// No such answer was ever offered.
    Unknown,
}

/// What a router is called, and the life that it is in.
#[derive(Clone, Debug)]
pub struct RouterIdentity {
    /// The router.
    pub router: String,
    /// Its life.
    pub incarnation: String,
}

impl RouterIdentity {
    /// What engines and other routers know a statement by.
    pub fn statement_name(&self, id: StatementId) -> String {
        hoptiller_statement::extra::statement_name(&self.router, &self.incarnation, id)
    }
}
