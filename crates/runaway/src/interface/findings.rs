//! Findings: a verdict on a statement, a fingerprint or an engine, with its evidence.

use std::fmt;

use hoptiller_policy::{EngineId, Micros};
use serde::Serialize;

use super::ids::FingerprintId;

const MICROS_PER_SECOND: f64 = 1e6;

/// How certain a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Over its bound, but not for long enough.
    Suspect,
    /// At fault.
    Runaway,
    /// An observation that is no statement's fault.
    Notice,
    /// The finding no longer holds.
    Cleared,
}

/// The cause of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It does far more work than is usual for its fingerprint.
    Heavy,
    /// It does far more work per row than is usual for its fingerprint.
    BadPlan,
    /// Others wait for it, and it takes longer than is usual.
    Blocks,
    /// It and others wait for each other.
    Deadlock,
    /// It uses far more memory than is usual while others wait for memory.
    Memory,
    /// All statements of the fingerprint run long: it has changed.
    #[serde(rename = "kind_changed")]
    FingerprintChanged,
    /// Everything on the engine runs long.
    SlowEngine,
    /// The engine is done, and the client receives the rows slowly.
    SlowReader,
}

impl Cause {
    /// The description on pages and in metrics.
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

/// Which figure a finding rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    /// Work so far, in µs.
    Work,
    /// Total work projected from the share done, in µs.
    WorkToCome,
    /// Run time without blocked time, divided by the slowness of the engine, in µs.
    Run,
    /// Total run time projected from the share done, in µs.
    RunToCome,
    /// Memory, in MB.
    Memory,
    /// Time for which it was blocked, or its client has received rows, in µs.
    Time,
    /// Ratio to the usual run time.
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

    /// A value in this measure, with its unit.
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

/// What an expectation rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "on", content = "runs")]
pub enum Basis {
    /// This many runs of the fingerprint.
    #[serde(rename = "kind")]
    Fingerprint(u64),
    /// This many runs of the class; the fingerprint is unknown.
    Class(u64),
    /// The settings; there are no runs yet.
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

/// A figure and what was expected of it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Evidence {
    /// Which figure it is.
    pub measure: Measure,
    /// Its value.
    pub figure: f64,
    /// What is usual.
    pub usual: f64,
    /// The bound that it exceeds.
    #[serde(rename = "bar")]
    pub bound: f64,
    /// What `usual` and `bound` rest on.
    pub basis: Basis,
}

impl fmt::Display for Evidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = self.measure.description();
        let [figure, usual, bound] =
            [self.figure, self.usual, self.bound].map(|value| self.measure.format(value));
        let basis = self.basis;
        write!(
            f,
            "{name} {figure}, usual {usual}, bound {bound} by {basis}"
        )
    }
}

/// What a finding is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// A statement of this router or, as engines report it, of another; by name.
    Statement(String),
    /// A fingerprint.
    Fingerprint(FingerprintId),
    /// An engine.
    Engine(EngineId),
}

/// A verdict on a subject, with its evidence.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Its number; it stays while the finding on the subject is open.
    pub id: u64,
    /// What it is about.
    pub subject: Subject,
    /// How certain it is.
    pub verdict: Verdict,
    /// The cause.
    pub cause: Cause,
    /// The class of the statement or fingerprint, if known.
    pub class: Option<usize>,
    /// Its fingerprint, if known.
    pub fingerprint: Option<FingerprintId>,
    /// The text of the fingerprint, for display.
    pub label: String,
    /// The engine where it runs.
    pub engine: Option<EngineId>,
    /// When it started, as far as known.
    pub started: Micros,
    /// Since when the figure is over the bound.
    pub since: Micros,
    /// When this verdict was reached.
    pub at: Micros,
    /// The figure that shows it.
    pub evidence: Evidence,
    /// Names of the statements that it blocks; the first [`MAX_BLOCKED_NAMES`] of them.
    pub blocks: Vec<String>,
    /// How many statements it blocks.
    pub blocked: usize,
    /// Why it was cleared, or a remark.
    pub note: &'static str,
}

impl Finding {
    /// A finding of which no more is known; it blocks nobody. Its number is given when it is recorded.
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
            blocks: Vec::new(),
            blocked: 0,
            note: "",
        }
    }
}

/// Names of blocked statements that a finding keeps at most.
pub const MAX_BLOCKED_NAMES: usize = 64;
