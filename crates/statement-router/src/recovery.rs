//! The final response for a statement of an earlier incarnation of this router.
//!
//! All that is left of such a statement is its URI, which contains what was known when it was given out. The response
//! follows from the URI alone, and so is the same however often it is polled.

use hoptiller_statement::{ErrorName, Idempotency, Phase, RecoveryState};

/// An error for a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoveryError {
    /// Its name.
    pub name: ErrorName,
    /// Its text for people.
    pub message: &'static str,
}

/// The final response of a statement whose URI contains this state.
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
