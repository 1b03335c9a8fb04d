//! Owns what may be said of a statement that was ended at its engine. The one mistake that must not happen: to
//! invite a second run of what may have had its effect.

use hoptiller_policy::{DeduplicationScope, Idempotency, Micros};

/// What the engine says of the effects of a statement that it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// All are undone.
    RolledBack,
    /// They stand.
    Committed,
    /// It does not say.
    Unknown,
}

/// What its client is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Refused: trying again is harmless.
    Harmless,
    /// Failed: it may have run.
    MayHaveRun,
    /// Failed: it has run, and its effects stand.
    HasRun,
}

/// What may be said. `since` is when its first attempt that may have run was sent.
pub fn answer_after_end(effect: Idempotency, proof: Proof, since: Micros, now: Micros) -> Verdict {
    match (effect, proof) {
        (Idempotency::Idempotent, _) | (_, Proof::RolledBack) => Verdict::Harmless,
        // Repeats are dropped wherever the client's next try goes, but only inside the window.
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
