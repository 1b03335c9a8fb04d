//! Detects runaway statements: those that run far longer or use far more than is usual for their fingerprint. It
//! reports them, limits the concurrency of their fingerprint and ends them, as the options of their class allow.
//!
//! [`RunawayDetector`] receives starts, progress reports and ends of attempts and returns [`Decision`]s. It does no
//! I/O and reads no clock: the same events lead to the same decisions. Holds take effect through the routing
//! decisions (`hoptiller_policy::Event::Hold`).
//!
//! Modules, each of which uses only earlier ones:
//!
//! - `interface`: settings, events, findings and decisions.
//! - `sketch`, `statistics`: what is usual for a fingerprint, a class and an announced size.
//! - `wait_graph`, `fingerprint_change`, `engine_speed`, `findings`, `holds`: state of one concern each.
//! - `attempt`, `detector`: running attempts and the state of the detector.
//! - `measures`, `wait_inference`, `enforcement`: figures against bounds, waits, consequences.
//! - `engine_detection`, `fingerprint_detection`, `attempt_detection`, `remote`: the findings.
//! - `lifecycle`, `detection`: events and the periodic detection run.
//! - `ending`: what a client is told of a statement that was ended.
//! - [`snapshot`]: what survives a restart.

#![warn(missing_docs)]

mod attempt;
mod attempt_detection;
mod detection;
mod detector;
mod ending;
mod enforcement;
mod engine_detection;
mod engine_speed;
mod findings;
mod fingerprint_change;
mod fingerprint_detection;
mod holds;
mod interface;
mod lifecycle;
mod measures;
mod remote;
mod sketch;
pub mod snapshot;
mod statistics;
mod wait_graph;
mod wait_inference;

pub use detector::{RunawayDetector, TrackedCounts};
pub use ending::{Proof, Verdict as EndingVerdict, answer_after_end};
pub use holds::FingerprintHold;
pub use interface::{
    Announced, AttemptId, AttemptStart, Basis, BlockedState, Cause, Class, Decision,
    EnforcementOptions, EngineStatus, Evidence, ExecutionOutcome, Finding, FingerprintId, Holder,
    MAX_BLOCKED_NAMES, Measure, ProgressReport, Settings, Subject, Verdict,
};
pub use snapshot::SnapshotError;
