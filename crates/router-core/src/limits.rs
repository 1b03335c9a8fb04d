//! Limits of a core, and how much of them is used.

use hoptiller_policy::Micros;

/// Limits that the core enforces.
#[derive(Clone, Copy, Debug)]
pub struct CoreLimits {
    /// Greatest number of statements without a final response.
    pub max_open_statements: usize,
    /// Greatest number of answered statements retained for clients that poll again.
    pub max_retained_responses: usize,
    /// How long an answered statement is retained.
    pub retention: Micros,
    /// A client that has not polled for this long is taken to have gone.
    pub abandon_after: Micros,
    /// Bytes of buffered result pages from which on no further page is fetched.
    pub max_buffered_bytes: u64,
    /// Time reserved between the deadline of an attempt and that of its client, for the decision and the response. The
    /// controller uses 60 ms of it.
    pub response_margin: Micros,
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
