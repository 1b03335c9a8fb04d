//! Whether the client of a killed statement may retry it. A response must never invite a second run of a statement that
//! may have taken effect.

use hoptiller_policy::{DeduplicationScope, Idempotency, Micros};

/// An engine's report on the effects of a statement that it has killed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// The effects are rolled back.
    RolledBack,
    /// The effects are committed.
    Committed,
    /// The engine does not report on the effects.
    Unknown,
}

/// The safety of a retry, as indicated by the response to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// A retry is safe; the response rejects the statement.
    Safe,
    /// The statement may have run; the response reports a failure.
    MayHaveRun,
    /// The statement has run, and its effects are durable; the response reports a failure.
    HasRun,
}

/// Returns whether a retry of a killed statement is safe. `since` is the time at which the first attempt that may have
/// run was sent.
pub fn retry_safety_after_kill(
    idempotency: Idempotency,
    proof: Proof,
    since: Micros,
    now: Micros,
) -> RetrySafety {
    match (idempotency, proof) {
        (Idempotency::Idempotent, _) | (_, Proof::RolledBack) => RetrySafety::Safe,
        // All engines discard repeats of the key, but only within the window.
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
