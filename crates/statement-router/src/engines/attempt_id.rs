//! The identifier of an attempt at a statement.

use hoptiller_router_core::StatementId;

/// An attempt at a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The statement.
    pub statement: StatementId,
    /// Number of the attempt, from 0.
    pub number: u32,
}
