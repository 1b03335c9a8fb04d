//! What came of a fleet scenario.

use std::collections::BTreeSet;

use hoptiller_audit::Verdict;
use hoptiller_coordination_client::wire::VersionNumbers;
use serde::Serialize;

/// What came of a scenario, beside the records.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    /// Proposals that were accepted.
    #[serde(rename = "taken")]
    pub accepted: u64,
    /// Proposals that were rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Proposals without a response: whether they were accepted is not known.
    pub unknown: u64,
    /// Times from proposal to in force, in ms and ascending, of the versions that were followed to their end.
    pub in_force_ms: Vec<u64>,
    /// Versions that were accepted, and at the end are missing, hold another document, or are not in force.
    pub lost: Vec<u64>,
    /// Processes that ended by themselves, with how.
    #[serde(rename = "fallen")]
    pub exited_processes: Vec<String>,
    /// The version numbers at the end.
    pub numbers: VersionNumbers,
    /// What happened, in order.
    #[serde(rename = "course")]
    pub entries: Vec<OutcomeEntry>,
    /// Versions that contradict nothing in the version before them.
    #[serde(skip)]
    pub compatible: BTreeSet<u64>,
}

/// Something that happened. Written as the sequence `[elapsed_ms, description]`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(into = "(u64, String)")]
pub struct OutcomeEntry {
    /// Time in ms: of an event since the start of the client load; of the last entry, "the end", since the start of the run.
    pub elapsed_ms: u64,
    /// What happened.
    pub description: String,
}

impl From<OutcomeEntry> for (u64, String) {
    fn from(entry: OutcomeEntry) -> Self {
        (entry.elapsed_ms, entry.description)
    }
}

/// The verdict on a scenario, with its outcome.
#[derive(Clone, Debug, Serialize)]
pub struct FleetReport {
    /// What the records were judged to show.
    pub verdict: Verdict,
    /// What came of it beside.
    #[serde(flatten)]
    pub outcome: Outcome,
}

impl FleetReport {
    /// Whether no rule was violated, no version lost, and no process ended by itself.
    pub fn is_success(&self) -> bool {
        self.verdict.violations.is_empty()
            && self.outcome.lost.is_empty()
            && self.outcome.exited_processes.is_empty()
    }
}

/// The value below which the part `fraction` of ascending values lies; `None` where there are none.
pub fn percentile(ascending: &[u64], fraction: f64) -> Option<u64> {
    let last = ascending.len().checked_sub(1)?;
    let rank = (ascending.len() as f64 * fraction) as usize;
    ascending.get(rank.min(last)).copied()
}
