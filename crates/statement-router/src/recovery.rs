//! The final response for a statement of an earlier incarnation of this router.
//!
//! All that remains of such a statement is its URI, which carries the state at the time when the URI was issued. The
//! response depends on the URI alone, so it is the same for every poll.

use hoptiller_statement::{ErrorName, Idempotency, Phase, RecoveryState};

/// An error for a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoveryError {
    /// The error's name.
    pub name: ErrorName,
    /// The human-readable message.
    pub message: &'static str,
}

/// Returns the error of a statement whose URI carries this state.
pub fn recovery_error(state: RecoveryState) -> RecoveryError {
    match (state.idempotency, state.phase) {
        (Idempotency::NotIdempotent, _) => RecoveryError {
            name: ErrorName::MayHaveRun,
            message: "the router was restarted while this statement was open; the statement may have run: check its \
                      effects before a retry",
        },
        (Idempotency::Idempotent, Phase::RowsDelivered) => RecoveryError {
            name: ErrorName::ResultTruncated,
            message: "the router was restarted after it had delivered rows of this result, and the rest is lost; \
                      a retry is safe",
        },
        (Idempotency::Idempotent, Phase::Waiting) => RecoveryError {
            name: ErrorName::RouterRestarted,
            message: "the router was restarted while this statement was open; a retry is safe",
        },
    }
}

#[cfg(test)]
mod tests;
