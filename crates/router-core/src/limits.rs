//! Limits of a core and their current usage.

use hoptiller_policy::Micros;

/// Memory of the text and fields of a statement that does not count against
/// [`CoreLimits::max_statement_bytes`], so that usual statements are accepted while long ones use all of it.
pub const STATEMENT_ALLOWANCE_BYTES: u64 = 4 << 10;

/// Limits that the core enforces.
#[derive(Clone, Copy, Debug)]
pub struct CoreLimits {
    /// Maximum number of statements without a final response.
    pub max_open_statements: usize,
    /// Maximum memory in bytes of the texts and fields of all statements without a final response, beyond an allowance of
    /// [`STATEMENT_ALLOWANCE_BYTES`] for each of them.
    pub max_statement_bytes: u64,
    /// Maximum number of delivered statements retained for clients that poll again.
    pub max_retained_responses: usize,
    /// Time for which a settled statement is retained, delivered or not, counted from the later of its settlement and
    /// its last poll.
    pub retention: Micros,
    /// Time without a poll after which an open statement is abandoned.
    pub abandon_after: Micros,
    /// Total size of buffered result pages, in bytes, at which the core stops fetching further pages.
    pub max_buffered_bytes: u64,
    /// Time reserved between the deadline of an attempt and the timeout of its statement, for the decision and the
    /// response. The controller uses 60 ms of it: it gives up queued statements that long before their timeout.
    pub response_margin: Micros,
}

/// Current resource usage of a core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CoreUsage {
    /// Number of statements without a final response.
    pub open_statements: usize,
    /// Memory in bytes that counts against [`CoreLimits::max_statement_bytes`].
    pub statement_bytes: u64,
    /// Number of delivered statements retained for clients that poll again.
    pub retained_statements: usize,
    /// Number of timers of statements, at most one for each statement.
    pub statement_timers: usize,
    /// Total size of buffered result pages in bytes.
    pub buffered_bytes: u64,
}
