//! Settings of the detector and of each class.

use hoptiller_policy::{Idempotency, Micros};
use serde::Serialize;

/// What may be done about runaways of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EnforcementOptions {
    /// Report them.
    pub name: bool,
    /// Limit how many of the fingerprint run at once, and on which engines.
    pub hold: bool,
    /// Run the fingerprint at low priority inside engines.
    pub lower: bool,
    /// Pause them for a while.
    pub pause: bool,
    /// End them.
    pub end: bool,
}

/// The settings of a class.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// The latency objective, queueing included.
    pub latency_objective: Micros,
    /// How long its clients wait.
    pub client_timeout: Micros,
    /// Threads that a statement runs on.
    pub threads: f64,
    /// Whether its statements may run more than once.
    pub idempotency: Idempotency,
    /// Whether its statements lock their table group while they run, as loads do.
    pub holds_tables: bool,
    /// What may be done about its runaways.
    pub enforcement: EnforcementOptions,
}

/// The settings of a detector.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Classes; events refer to them by index.
    pub classes: Vec<Class>,
    /// Fingerprints with statistics that are kept at most.
    pub max_fingerprints: usize,
    /// How long a statement is paused.
    pub pause_for: Micros,
    /// Time between the finding on a runaway and its end.
    pub end_after: Micros,
}
