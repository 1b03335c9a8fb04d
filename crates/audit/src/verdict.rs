//! The result of a check: violations with their evidence, and counts. The names in the printed JSON differ from those
//! in the code and must not change.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Serialize;

/// A rule. Displayed and serialized as its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(into = "u8")]
pub enum Rule {
    /// Each admitted statement gets exactly one final response (answer), and rows or that response in time.
    SingleFinalAnswer = 1,
    /// A statement takes effect at most once, in agreement with its final response.
    NoDuplicateEffect = 2,
    /// No attempt is sent to a draining engine after the grace period.
    DrainRespected = 3,
    /// No engine crashes under overload.
    NoEngineCrash = 4,
    /// Statements with the same key run one at a time, in order.
    KeyOrder = 5,
    /// Statements run only on the machine kinds of their class.
    Placement = 6,
    /// The number of attempts per submission and the retries of a router are bounded.
    BoundedRetries = 7,
    /// Routers do not act under configuration versions that contradict each other.
    ConsistentVersions = 8,
    /// Each task shard has one lease holder at a time, and the time between two consecutive operations on it is
    /// limited.
    SingleLeaseHolder = 9,
}

impl From<Rule> for u8 {
    fn from(rule: Rule) -> Self {
        rule as u8
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        u8::from(*self).fmt(formatter)
    }
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Violated rule.
    pub rule: Rule,
    /// Description of the observation.
    #[serde(rename = "what")]
    pub description: String,
}

/// Counts for a statement class.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClassTally {
    /// Number of submissions.
    pub submitted: u64,
    /// Admitted submissions.
    #[serde(rename = "taken")]
    pub admitted: u64,
    /// Rejected submissions.
    #[serde(rename = "turned_away")]
    pub rejected: u64,
    /// Served submissions.
    pub served: u64,
    /// Served submissions that missed their latency objective.
    pub late: u64,
    /// Submissions refused after admission, which are safe to retry.
    pub refused: u64,
    /// Failed submissions.
    pub failed: u64,
    /// Submissions cancelled by their clients.
    #[serde(rename = "left")]
    pub cancelled: u64,
    /// Submissions without a final response whose router was killed or paused while it held them.
    pub lost: u64,
    /// Attempts that reached engines.
    pub attempts: u64,
    /// Effects in the ledger, counted for non-idempotent classes only.
    #[serde(rename = "postings")]
    pub effects: u64,
}

/// Overlap of attempts under contradicting versions. Serialized as the sequence `[longest, acts]`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(into = "(u64, u64)")]
pub struct VersionOverlap {
    /// Longest overlap, in µs.
    pub longest: u64,
    /// Number of overlapping attempts.
    pub acts: u64,
}

impl From<VersionOverlap> for (u64, u64) {
    fn from(overlap: VersionOverlap) -> Self {
        (overlap.longest, overlap.acts)
    }
}

/// Observations on leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LeaseReport {
    /// Operations under leases that took effect.
    pub acts: u64,
    /// Operations that were refused because the resource had seen a newer fencing token.
    pub refused: u64,
    /// Number of shards with operations.
    #[serde(rename = "parts")]
    pub shards: u64,
    /// Number of fencing tokens used, summed over all shards.
    #[serde(rename = "numbers")]
    pub fencing_tokens: u64,
    /// Operations under an older fencing token after an operation under a newer one.
    pub overlaps: u64,
    /// Longest time from the first operation under a newer token to an operation under an older one, in µs.
    pub longest_overlap: u64,
    /// Longest time without an operation on a shard, in µs.
    pub longest_gap: u64,
    /// Time without an operation on the shard at each change of token, in µs, in ascending order.
    pub takeovers: Vec<u64>,
}

/// Result of a check.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// Violations, by rule and then in the order in which the check of the rule found them.
    #[serde(rename = "breaks")]
    pub violations: Vec<Violation>,
    /// Counts by name of the statement class.
    pub classes: BTreeMap<String, ClassTally>,
    /// Overlap of attempts under contradicting versions; `None` if no attempt carried versions.
    pub overlap: Option<VersionOverlap>,
    /// Observations on leases; `None` if there was no request under a lease.
    pub leases: Option<LeaseReport>,
}

impl Verdict {
    /// Returns the violated rules.
    pub fn violated_rules(&self) -> BTreeSet<Rule> {
        self.violations
            .iter()
            .map(|violation| violation.rule)
            .collect()
    }

    pub(crate) fn add_violation(&mut self, rule: Rule, description: String) {
        self.violations.push(Violation { rule, description });
    }

    pub(crate) fn tally(&mut self, class: &str) -> &mut ClassTally {
        self.classes.entry(class.to_owned()).or_default()
    }
}
