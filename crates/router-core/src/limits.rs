//! Limits of a core and their current usage.

use hoptiller_policy::Micros;

/// Limits that the core enforces.
#[derive(Clone, Copy, Debug)]
pub struct CoreLimits {
    /// Maximum number of statements without a final response.
    pub max_open_statements: usize,
    /// Maximum number of delivered final responses retained for clients that poll again.
    pub max_retained_responses: usize,
    /// Time for which a delivered final response is retained.
    pub retention: Micros,
    /// Time without a poll after which a client is considered disconnected.
    pub abandon_after: Micros,
    /// Total size of buffered result pages, in bytes, at which the core stops fetching further pages.
    pub max_buffered_bytes: u64,
    /// Time reserved between the deadline of an attempt and the deadline of its client, for the decision and the
    /// response. The controller uses 60 ms of it.
    pub response_margin: Micros,
}

/// Current resource usage of a core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CoreUsage {
    /// Number of statements without a final response.
    pub open_statements: usize,
    /// Number of statements retained for clients that poll again.
    pub retained_statements: usize,
    /// Total size of buffered result pages in bytes.
    pub buffered_bytes: u64,
}
