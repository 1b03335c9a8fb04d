//! The result of a check: violations with their evidence, and counts. The names in the printed JSON differ from those here
//! and must stay.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Serialize;

/// What is checked. Shown and serialized as its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(into = "u8")]
pub enum Rule {
    /// Each admitted statement gets exactly one final answer, in time.
    SingleFinalAnswer = 1,
    /// A statement takes effect once at most, and as its answer says.
    NoDuplicateEffect = 2,
    /// No attempt is sent to a draining engine after the grace period.
    DrainRespected = 3,
    /// No engine crashes under overload.
    NoEngineCrash = 4,
    /// Statements of the same key run one at a time, in order.
    KeyOrder = 5,
    /// Statements run on the machine kinds of their class only.
    Placement = 6,
    /// Attempts at a statement, and retries of a router, are bounded.
    BoundedRetries = 7,
    /// Routers do not act on configuration versions that contradict each other.
    ConsistentVersions = 8,
    /// A task's shard has one lease holder at a time, and is not left without one.
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
    /// The rule.
    pub rule: Rule,
    /// What was observed.
    #[serde(rename = "what")]
    pub description: String,
}

/// Counts of a statement class.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ClassTally {
    /// Submissions.
    pub submitted: u64,
    /// Submissions admitted.
    #[serde(rename = "taken")]
    pub admitted: u64,
    /// Submissions rejected.
    #[serde(rename = "turned_away")]
    pub rejected: u64,
    /// Statements served.
    pub served: u64,
    /// Statements served after their latency objective.
    pub late: u64,
    /// Statements refused after admission, as harmless to retry.
    pub refused: u64,
    /// Statements that failed.
    pub failed: u64,
    /// Statements cancelled by their clients.
    #[serde(rename = "left")]
    pub cancelled: u64,
    /// Statements held by a router that was killed or paused, and not answered since.
    pub lost: u64,
    /// Attempts at engines.
    pub attempts: u64,
    /// Effects in the ledger.
    #[serde(rename = "postings")]
    pub effects: u64,
}

/// Overlap of attempts under contradicting versions. Serialized as the sequence `[longest, acts]`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(into = "(u64, u64)")]
pub struct VersionOverlap {
    /// The longest overlap, in µs.
    pub longest: u64,
    /// Attempts that overlapped.
    pub acts: u64,
}

impl From<VersionOverlap> for (u64, u64) {
    fn from(overlap: VersionOverlap) -> Self {
        (overlap.longest, overlap.acts)
    }
}

/// What was observed of leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct LeaseReport {
    /// Acts under leases that took effect.
    pub acts: u64,
    /// Acts that were refused, as a newer fencing token had been seen there.
    pub refused: u64,
    /// Shards that were acted on.
    #[serde(rename = "parts")]
    pub shards: u64,
    /// Fencing tokens that were acted under, over all shards.
    #[serde(rename = "numbers")]
    pub fencing_tokens: u64,
    /// Acts under an older fencing token after one under a newer token.
    pub overlaps: u64,
    /// The longest time from the first act under a newer token to an act under an older one, in µs.
    pub longest_overlap: u64,
    /// The longest time without an act on a shard, in µs.
    pub longest_gap: u64,
    /// For each change of token: the time without an act on the shard, in µs, in ascending order.
    pub takeovers: Vec<u64>,
}

/// The result of a check.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// The violations, by rule and then in the order of the evidence.
    #[serde(rename = "breaks")]
    pub violations: Vec<Violation>,
    /// Counts by statement class.
    pub classes: BTreeMap<String, ClassTally>,
    /// Overlap of attempts under contradicting versions; `None` where no attempt carried versions.
    pub overlap: Option<VersionOverlap>,
    /// What was observed of leases; `None` where nothing was done under one.
    pub leases: Option<LeaseReport>,
}

impl Verdict {
    /// The rules that were violated.
    pub fn violated_rules(&self) -> BTreeSet<Rule> {
        self.violations
            .iter()
            .map(|violation| violation.rule)
            .collect()
    }

    pub(crate) fn add(&mut self, rule: Rule, description: String) {
        self.violations.push(Violation { rule, description });
    }

    pub(crate) fn tally(&mut self, class: &str) -> &mut ClassTally {
        self.classes.entry(class.to_owned()).or_default()
    }
}
