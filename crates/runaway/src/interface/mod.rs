//! The detector's settings, events, findings and decisions, as plain data.

mod decisions;
mod events;
mod findings;
mod ids;
mod settings;

pub use decisions::Decision;
pub use events::{
    Announced, AttemptStart, BlockedState, BlockingStatement, EngineStatus, ExecutionOutcome,
    ProgressReport,
};
pub use findings::{Basis, Cause, Evidence, Finding, MAX_BLOCKED_NAMES, Measure, Subject, Verdict};
pub use ids::{AttemptId, FingerprintId};
pub use settings::{Class, EnforcementOptions, Settings};
