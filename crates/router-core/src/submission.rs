//! Statements that clients submit.

use std::rc::Rc;

use hoptiller_policy::Micros;
use hoptiller_runaway::Announced;

use crate::limits::STATEMENT_ALLOWANCE_BYTES;

/// A statement submitted by a client.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Index of the statement's class.
    pub class: usize,
    /// Index of the client's tenant.
    pub tenant: Option<usize>,
    /// Ordering key; statements with the same key run in order if their class requires it.
    pub ordering_key: Option<String>,
    /// Number of the table group that the statement reads or writes; see [`group_of`](crate::group_of).
    pub group: Option<u64>,
    /// Estimated work, summed over all threads.
    pub estimated_work: Option<Micros>,
    /// Estimated memory in MB; 0 if there is no estimate.
    pub estimated_memory_mb: f64,
    /// Fingerprint of the statement's text.
    pub fingerprint: u64,
    /// Start of the normalized text, without literal values, for display.
    pub label: Rc<str>,
    /// Size and estimated work, as announced by the client; the caller may derive the size from the text.
    pub announced: Announced,
    /// Whether the client marked the statement as a retry.
    pub is_retry: bool,
    /// Timeout requested by the client. The deadline of the class limits it, and applies if it is `None`.
    pub timeout: Option<Micros>,
    /// Statement text and session fields to send to engines.
    pub engine_statement: Rc<EngineStatement>,
}

/// The part of a submission that is sent to engines.
#[derive(Clone, Debug, Default)]
pub struct EngineStatement {
    /// Text of the statement.
    pub text: String,
    /// Names and values of the session fields to forward, such as headers of the client protocol.
    pub fields: Vec<(String, String)>,
}

impl EngineStatement {
    /// Returns the memory in bytes that counts against the limit on statements.
    pub(crate) fn counted_bytes(&self) -> u64 {
        let fields = self.fields.iter();
        let field_bytes: usize = fields.map(|(name, value)| name.len() + value.len()).sum();
        let bytes = (self.text.capacity() + field_bytes) as u64;
        bytes.saturating_sub(STATEMENT_ALLOWANCE_BYTES)
    }
}

/// The reason why a statement was not accepted. The core produces no response to such a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SubmitError {
    /// The maximum number of open statements was reached.
    #[error("too many open statements")]
    TooManyOpenStatements,
    /// The statements without a final response use too much memory.
    #[error("the open statements use too much memory")]
    StatementMemory,
    /// The router is shutting down.
    #[error("the router is shutting down")]
    ShuttingDown,
}
