//! Findings: verdicts on statements, fingerprints and engines, with their evidence.

use std::fmt;

use hoptiller_policy::{EngineId, Micros};
use serde::Serialize;

use super::ids::FingerprintId;

const MICROS_PER_SECOND: f64 = 1e6;

/// The verdict of a finding. The order of the variants matters: a finding is reported again if its verdict rises, and
/// findings with lower verdicts are evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The subject exceeds a bound, but the excess is not confirmed yet, or the fingerprint may have changed.
    Suspect,
    /// The subject is a runaway.
    Runaway,
    /// An observation for which no statement is responsible.
    Notice,
    /// The finding no longer applies.
    Cleared,
}

/// The cause of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The statement does far more work, or runs far longer, than is usual for its fingerprint.
    Heavy,
    /// The statement does far more work per row than is usual for its fingerprint.
    BadPlan,
    /// Other statements wait for this one, and it runs longer than is usual.
    Blocks,
    /// The statement and others wait for each other.
    Deadlock,
    /// The statement uses far more memory than is usual while others wait for memory.
    Memory,
    /// Most statements of the fingerprint run long, so the fingerprint has changed.
    #[serde(rename = "kind_changed")]
    FingerprintChanged,
    /// Everything on the engine runs long.
    SlowEngine,
    /// The engine has finished the statement, and the client receives the rows slowly.
    SlowReader,
}

impl Cause {
    /// Returns the text shown in the admin API and the log and used as a metric label. It must not change.
    pub fn description(self) -> &'static str {
        match self {
            Cause::Heavy => "heavy by itself",
            Cause::BadPlan => "bad plan",
            Cause::Blocks => "blocks others",
            Cause::Deadlock => "waits in a circle",
            Cause::Memory => "takes memory that others wait for",
            Cause::FingerprintChanged => "its kind has changed",
            Cause::SlowEngine => "slow engine",
            Cause::SlowReader => "its client reads slowly",
        }
    }
}

/// The measured quantity that a finding is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    /// Work so far, in µs.
    Work,
    /// Total work projected from the completed fraction, in µs.
    WorkToCome,
    /// Run time without blocked time, divided by the slowness of the engine, in µs; for an abandoned attempt or a
    /// statement of another router, not divided.
    Run,
    /// Total run time projected from the completed fraction, in µs.
    RunToCome,
    /// Memory, in MB.
    Memory,
    /// Time for which the statement was blocked, or its client has been receiving rows, in µs.
    Time,
    /// Ratio of the run time to the usual run time.
    Times,
}

impl Measure {
    fn description(self) -> &'static str {
        match self {
            Measure::Work => "work so far",
            Measure::WorkToCome => "work by the share done",
            Measure::Run => "run",
            Measure::RunToCome => "run by the share done",
            Measure::Memory => "memory",
            Measure::Time => "time",
            Measure::Times => "run against usual",
        }
    }

    /// Formats a value of this measure with its unit.
    fn format(self, value: f64) -> String {
        match self {
            Measure::Memory => format!("{value:.0} MB"),
            Measure::Times => format!("{value:.1} times"),
            Measure::Work
            | Measure::WorkToCome
            | Measure::Run
            | Measure::RunToCome
            | Measure::Time => format!("{:.1} s", value / MICROS_PER_SECOND),
        }
    }
}

/// The data that an expectation is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "on", content = "runs")]
pub enum Basis {
    /// The given number of runs of the fingerprint.
    #[serde(rename = "kind")]
    Fingerprint(u64),
    /// The given number of runs of the class, as the fingerprint is unknown; for a slow engine, the given number of
    /// samples.
    Class(u64),
    /// No runs: the settings of the class or a fixed limit.
    Settings,
}

impl fmt::Display for Basis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Basis::Fingerprint(runs) => write!(f, "{runs} runs of its kind"),
            Basis::Class(runs) => write!(f, "{runs} runs of its class"),
            Basis::Settings => f.write_str("the settings alone"),
        }
    }
}

/// A measured value, with the usual value and the bound that it exceeds. The displayed text is part of the recorded
/// decision digests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Evidence {
    /// The measured quantity.
    pub measure: Measure,
    /// The measured value.
    #[serde(rename = "figure")]
    pub value: f64,
    /// The usual value.
    pub usual: f64,
    /// The bound that the measured value exceeds.
    #[serde(rename = "bar")]
    pub bound: f64,
    /// The data that `usual` and `bound` are based on.
    pub basis: Basis,
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = self.measure.description();
        let [value, usual, bound] =
            [self.value, self.usual, self.bound].map(|value| self.measure.format(value));
        let basis = self.basis;
        write!(f, "{name} {value}, usual {usual}, bound {bound} by {basis}")
    }
}

/// The subject of a finding.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// A statement of this router or, as reported by engines, of another one; by name.
    Statement(String),
    /// A fingerprint.
    Fingerprint(FingerprintId),
    /// An engine.
    Engine(EngineId),
}

/// A verdict on a subject, with its evidence.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// The number of the finding, which does not change while the finding on the subject is open.
    pub id: u64,
    /// The subject of the finding.
    pub subject: Subject,
    /// The verdict.
    pub verdict: Verdict,
    /// The cause of the finding.
    pub cause: Cause,
    /// The class of the statement or fingerprint, if known.
    pub class: Option<usize>,
    /// The fingerprint of the statement, if known.
    pub fingerprint: Option<FingerprintId>,
    /// The display text of the fingerprint.
    pub label: String,
    /// The engine that the finding concerns.
    pub engine: Option<EngineId>,
    /// The time at which the statement started, as far as known; for an engine, the time of the finding.
    pub started: Micros,
    /// The time since which the measured value has exceeded the bound.
    pub since: Micros,
    /// The time at which this verdict was reached.
    pub at: Micros,
    /// The measured value that the verdict is based on.
    pub evidence: Evidence,
    /// The names of the blocked statements, at most [`MAX_BLOCKED_NAMES`] of them.
    pub blocked_names: Vec<String>,
    /// The number of blocked statements.
    pub blocked_count: usize,
    /// The reason why the finding was cleared, or a remark. The text is part of the recorded decision digests.
    pub note: &'static str,
}

impl Finding {
    /// Creates a finding without details, on a subject that blocks no statement.
    /// [`Findings::report`](crate::findings::Findings::report) assigns its number.
    pub(crate) fn new(
        subject: Subject,
        verdict: Verdict,
        cause: Cause,
        now: Micros,
        evidence: Evidence,
    ) -> Finding {
        Finding {
            id: 0,
            subject,
            verdict,
            cause,
            class: None,
            fingerprint: None,
            label: String::new(),
            engine: None,
            started: now,
            since: now,
            at: now,
            evidence,
            blocked_names: Vec::new(),
            blocked_count: 0,
            note: "",
        }
    }
}

/// Maximum number of blocked statements named in a finding.
pub const MAX_BLOCKED_NAMES: usize = 64;
