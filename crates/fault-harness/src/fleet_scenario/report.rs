//! The report on a run of a fleet scenario.

use std::collections::BTreeSet;

use hoptiller_audit::Verdict;
use hoptiller_coordination_client::wire::VersionNumbers;
use serde::Serialize;

/// Outcome of a run, apart from the records.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    /// Number of accepted proposals.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Number of rejected proposals.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Number of proposals without a response, for which it is unknown whether they were accepted.
    pub unknown: u64,
    /// Times from the proposal of a version until it was seen in force, in ms, in ascending order. Versions that were
    /// never seen in force have none.
    pub in_force_ms: Vec<u64>,
    /// Accepted versions that at the end are missing, have a different document, or are not in force.
    pub lost: Vec<u64>,
    /// Processes that ended on their own, with their exit status.
    #[serde(rename = "fallen")]
    pub exited_processes: Vec<String>,
    /// Version numbers at the end.
    pub numbers: VersionNumbers,
    /// Events of the run, in order.
    #[serde(rename = "course")]
    pub logged_events: Vec<LoggedEvent>,
    /// Versions that do not contradict their predecessor.
    #[serde(skip)]
    pub compatible: BTreeSet<u64>,
}

/// An event in the report. Serialized as the sequence `[elapsed_ms, description]`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(into = "(u64, String)")]
pub struct LoggedEvent {
    /// Time of the event since the start of the client load, in ms. For the last entry, "the end", the time since the
    /// start of the run.
    pub elapsed_ms: u64,
    /// Description of the event.
    pub description: String,
}

impl From<LoggedEvent> for (u64, String) {
    fn from(entry: LoggedEvent) -> Self {
        (entry.elapsed_ms, entry.description)
    }
}

/// Verdict on a run, with its outcome.
#[derive(Clone, Debug, Serialize)]
pub struct FleetReport {
    /// Verdict that the audit derived from the records.
    pub verdict: Verdict,
    /// Outcome apart from the records.
    #[serde(flatten)]
    pub outcome: Outcome,
}

impl FleetReport {
    /// Returns whether no rule was violated, no version was lost, and no process ended on its own.
    pub fn is_success(&self) -> bool {
        self.verdict.violations.is_empty()
            && self.outcome.lost.is_empty()
            && self.outcome.exited_processes.is_empty()
    }
}

/// Returns the value at the rank `fraction`, from 0 to 1, of ascending values; `None` if there are none.
pub fn percentile(ascending: &[u64], fraction: f64) -> Option<u64> {
    let last = ascending.len().checked_sub(1)?;
    let rank = (ascending.len() as f64 * fraction) as usize;
    ascending.get(rank.min(last)).copied()
}
