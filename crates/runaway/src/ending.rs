//! What a client is told of a statement that was ended at its engine. It must never invite a second run of a
//! statement that may have had its effect.

use hoptiller_policy::{DeduplicationScope, Idempotency, Micros};

/// What the engine says of the effects of a statement that it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// They are undone.
    RolledBack,
    /// They are durable.
    Committed,
    /// It does not say.
    Unknown,
}

/// What its client is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Rejected: a retry is safe.
    Harmless,
    /// Failed: it may have run.
    MayHaveRun,
    /// Failed: it has run, and its effects are durable.
    HasRun,
}

/// What a client is told. `since` is when the first attempt that may have run was sent.
pub fn answer_after_end(effect: Idempotency, proof: Proof, since: Micros, now: Micros) -> Verdict {
    match (effect, proof) {
        (Idempotency::Idempotent, _) | (_, Proof::RolledBack) => Verdict::Harmless,
        // Repeats are discarded at any engine, but only within the window.
        (
            Idempotency::WithKey {
                scope: DeduplicationScope::All,
                window,
            },
            _,
        ) if now < since.saturating_add(window) => Verdict::Harmless,
        (_, Proof::Committed) => Verdict::HasRun,
        (_, Proof::Unknown) => Verdict::MayHaveRun,
    }
}

#[cfg(test)]
mod tests;
