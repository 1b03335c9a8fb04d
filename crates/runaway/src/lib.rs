//! Detection of runaway statements: statements that run far longer or use far more resources than is usual for their
//! fingerprint. The detector returns findings on them. It also limits the concurrency of their fingerprint, pauses them
//! and kills them, as far as the enforcement options of their class allow.
//!
//! [`RunawayDetector`] receives the starts, progress reports and ends of attempts and returns [`Decision`]s. It does no
//! I/O and reads no clock, so the same events always lead to the same decisions. Holds take effect through routing
//! decisions (`hoptiller_policy::Event::Hold`).
//!
//! The detector runs the steps in order. Rules are modules that own their state and use only modules listed before
//! them:
//!
//! - `interface`, `units`: settings, events, findings, decisions, and types for quantities.
//! - `sketch`, `distributions`, `expectation`, `fingerprint_statistics`, `statistics`: the usual values of a
//!   fingerprint, of a class and of an announced size, and the bounds derived from them.
//! - `enforcement`, `attempt`, `attempts`, `remote_statements`: the statements that run, sent by this router and by
//!   others.
//! - `findings`: the open findings and the most recently cleared ones.
//! - `measures`, `engine_slowness`, `slow_engine`, `fingerprint_change`: which attempts run long, and whether the cause
//!   is their engine or a change of their fingerprint.
//! - `wait_graph`, `wait_inference`: which statement waits for which.
//! - `assessment`, `blocker`, `completion`: whether a statement is a runaway, judging by its progress, by the
//!   statements that it blocks, and by its completion.
//! - `unknown_runaways`, `group_exclusion`, `holds`: how many statements of a fingerprint may run at once and on which
//!   engines, and from which engines table groups are excluded.
//! - `snapshot`: the state that survives a restart.
//! - `retry_safety`: whether the client of a killed statement may retry it.

#![warn(missing_docs)]

mod assessment;
mod attempt;
mod attempts;
mod blocker;
mod completion;
mod detector;
mod distributions;
mod enforcement;
mod engine_slowness;
mod expectation;
mod findings;
mod fingerprint_change;
mod fingerprint_statistics;
mod group_exclusion;
mod holds;
mod interface;
mod measures;
mod remote_statements;
mod retry_safety;
mod sketch;
mod slow_engine;
mod snapshot;
mod statistics;
mod units;
mod unknown_runaways;
mod wait_graph;
mod wait_inference;

pub use detector::{RunawayDetector, TrackedCounts};
pub use holds::FingerprintHold;
pub use interface::{
    Announced, AttemptId, AttemptStart, Basis, BlockedState, BlockingStatement, Cause, Class,
    Decision, EnforcementOptions, EngineStatus, Evidence, ExecutionOutcome, Finding, FingerprintId,
    MAX_BLOCKED_NAMES, Measure, ProgressReport, Settings, Subject, Verdict,
};
pub use retry_safety::{Proof, RetrySafety, retry_safety_after_kill};
pub use snapshot::{RestoredCounts, SnapshotError};
