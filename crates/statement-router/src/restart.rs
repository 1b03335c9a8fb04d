//! Owns the answer to a client whose statement an earlier life of this router had taken. All that is left is
//! its URI: what was known when that was given out. So the answer follows from the URI alone, and is the same
//! however often it is asked for.

use hoptiller_statement::{ErrorName, Idempotency, Phase, RecoveryState};

/// The final answer for what is known, and its text.
pub fn answer(known: RecoveryState) -> (ErrorName, &'static str) {
    match (known.idempotency, known.phase) {
        (Idempotency::NotIdempotent, _) => (
            ErrorName::MayHaveRun,
            "the router was restarted while it had this statement; it may have run: look it up before it is \
             sent again",
        ),
        (Idempotency::Idempotent, Phase::RowsDelivered) => (
            ErrorName::ResultTruncated,
            "the router was restarted after it had given out rows of this result, and the rest is lost; \
             running the statement again is harmless",
        ),
        (Idempotency::Idempotent, Phase::Waiting) => (
            ErrorName::RouterRestarted,
            "the router was restarted while it had this statement; running it again is harmless",
        ),
    }
}

#[cfg(test)]
mod tests;
