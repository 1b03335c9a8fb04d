//! Settings of the detector and of each class.

use hoptiller_policy::{Idempotency, Micros};
use serde::Serialize;

/// The actions permitted against runaways of a class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EnforcementOptions {
    /// Whether the router reports findings on the class; the detector returns them in any case.
    #[serde(rename = "name")]
    pub report: bool,
    /// Whether the number of statements of a runaway's fingerprint that run at once, and their engines, are limited,
    /// and whether the table group that a runaway locks is excluded from its engine.
    pub hold: bool,
    /// Whether the statements of a held fingerprint run at low priority inside engines.
    #[serde(rename = "lower")]
    pub low_priority: bool,
    /// Whether a runaway is paused once, for a limited time.
    pub pause: bool,
    /// Whether runaways are killed.
    #[serde(rename = "end")]
    pub kill: bool,
}

/// The settings of a class.
#[derive(Clone, Debug)]
pub struct Class {
    /// The class name.
    pub name: String,
    /// The latency objective, including queueing time.
    pub latency_objective: Micros,
    /// The time for which clients wait for a response.
    pub client_timeout: Micros,
    /// Number of threads that a statement runs on.
    pub threads: f64,
    /// Whether statements of the class may run more than once.
    pub idempotency: Idempotency,
    /// Whether statements of the class lock their table group while they run. Such statements are called loads.
    pub locks_group: bool,
    /// The actions permitted against runaways of the class.
    pub enforcement: EnforcementOptions,
}

/// The settings of a detector.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The classes; events refer to them by index.
    pub classes: Vec<Class>,
    /// Maximum number of fingerprints with statistics.
    pub max_fingerprints: usize,
    /// The duration of a pause.
    pub pause_for: Micros,
    /// The delay from the detection of a runaway until it is killed.
    pub kill_after: Micros,
}
