//! Detects runaway statements: those that run far longer or use far more than is usual for their fingerprint. It
//! reports them, limits the concurrency of their fingerprint and ends them, as the options of their class allow.
//!
//! [`RunawayDetector`] receives starts, progress reports and ends of attempts and returns [`Decision`]s. It does no
//! I/O and reads no clock: the same events lead to the same decisions. Holds take effect through the routing
//! decisions (`hoptiller_policy::Event::Hold`).
//!
//! The detector only orders the steps. Each rule is a module that owns its state and uses only earlier ones of:
//!
//! - `interface`, `units`: settings, events, findings and decisions; quantities.
//! - `sketch`, `distributions`, `expectation`, `fingerprint_statistics`, `statistics`: what is usual for a fingerprint,
//!   a class and an announced size.
//! - `enforcement`, `attempt`, `attempts`, `remote_statements`: what runs, here and at other routers.
//! - `findings`: the open findings and the latest cleared ones.
//! - `measures`, `engine_speed`, `slow_engine`, `fingerprint_change`: what is long, and whether the engine or the
//!   fingerprint is the reason.
//! - `wait_graph`, `wait_inference`: who waits for whom.
//! - `judgement`, `blocker`, `completion`: whether a statement is at fault, by its progress, by those that it blocks, by
//!   its end.
//! - `unknown_runaways`, `group_exclusion`, `holds`: what may run meanwhile, and where.
//! - `snapshot`: what survives a restart.
//! - `ending`: whether the client of a statement that was ended may retry it.

#![warn(missing_docs)]

mod attempt;
mod attempts;
mod blocker;
mod completion;
mod detector;
mod distributions;
mod ending;
mod enforcement;
mod engine_speed;
mod expectation;
mod findings;
mod fingerprint_change;
mod fingerprint_statistics;
mod group_exclusion;
mod holds;
mod interface;
mod judgement;
mod measures;
mod remote_statements;
mod sketch;
mod slow_engine;
mod snapshot;
mod statistics;
mod units;
mod unknown_runaways;
mod wait_graph;
mod wait_inference;

pub use detector::{RunawayDetector, TrackedCounts};
pub use ending::{Proof, RetrySafety, retry_safety_after_end};
pub use holds::FingerprintHold;
pub use interface::{
    Announced, AttemptId, AttemptStart, Basis, BlockedState, Cause, Class, Decision,
    EnforcementOptions, EngineStatus, Evidence, ExecutionOutcome, Finding, FingerprintId, Holder,
    MAX_BLOCKED_NAMES, Measure, ProgressReport, Settings, Subject, Verdict,
};
pub use snapshot::{RestoredCounts, SnapshotError};
