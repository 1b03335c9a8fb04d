//! Whether the client of a statement that was ended at its engine may retry it. A response must never invite a second
//! run of a statement that may have had its effect.

use hoptiller_policy::{DeduplicationScope, Idempotency, Micros};

/// What an engine reports on the effects of a statement that it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// They are rolled back.
    RolledBack,
    /// They are committed.
    Committed,
    /// It does not report it.
    Unknown,
}

/// Whether a retry is safe, as the response to the client shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// A retry is safe: the statement is answered as rejected.
    Safe,
    /// It may have run: it is answered as failed.
    MayHaveRun,
    /// It has run, and its effects are durable: it is answered as failed.
    HasRun,
}

/// Whether a retry is safe. `since` is when the first attempt that may have run was sent.
pub fn retry_safety_after_end(
    idempotency: Idempotency,
    proof: Proof,
    since: Micros,
    now: Micros,
) -> RetrySafety {
    match (idempotency, proof) {
        (Idempotency::Idempotent, _) | (_, Proof::RolledBack) => RetrySafety::Safe,
        // Repeats are discarded at any engine, but only within the window.
        (
            Idempotency::WithKey {
                scope: DeduplicationScope::All,
                window,
            },
            _,
        ) if now < since.saturating_add(window) => RetrySafety::Safe,
        (_, Proof::Committed) => RetrySafety::HasRun,
        (_, Proof::Unknown) => RetrySafety::MayHaveRun,
    }
}

#[cfg(test)]
mod tests;
