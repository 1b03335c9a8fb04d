//! What a client submits.

use std::rc::Rc;

use hoptiller_policy::Micros;
use hoptiller_runaway::Announced;

/// A statement that a client submits.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: Option<usize>,
    /// Ordering key: statements with the same key run in order.
    pub ordering_key: Option<String>,
    /// Number of the group of tables that it reads or writes; see [`group_of`](crate::group_of).
    pub group: Option<u64>,
    /// Estimated work, summed over all its threads.
    pub estimated_work: Option<Micros>,
    /// Estimated memory in MB; 0 if not given.
    pub estimated_memory_mb: f64,
    /// Fingerprint of its text.
    pub fingerprint: u64,
    /// Its text without literal values, for display.
    pub label: Rc<str>,
    /// What the client announces of its size.
    pub announced: Announced,
    /// Whether the client marks it as a retry.
    pub is_retry: bool,
    /// How long the client waits, if it says so; limited by the deadline of the class.
    pub timeout: Option<Micros>,
    /// What is sent to engines.
    pub work: Rc<EngineStatement>,
}

/// What is sent to engines: the text, and the session fields that go with it.
#[derive(Clone, Debug, Default)]
pub struct EngineStatement {
    /// Text of the statement.
    pub text: String,
    /// Names and values of session fields to forward.
    pub fields: Vec<(String, String)>,
}

/// Why a statement was not accepted. Nothing is owed for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SubmitError {
    /// The greatest number of open statements is reached.
    #[error("too many statements are open")]
    TableFull,
    /// The router is shutting down.
    #[error("the router is shutting down")]
    ShuttingDown,
}
