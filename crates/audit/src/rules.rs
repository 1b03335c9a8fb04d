//! Rules that records are checked against. The names in the stored JSON differ from those in the code and must not
//! change.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// Parameters of all rules.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Rules {
    /// Statement classes by name.
    pub classes: BTreeMap<String, ClassRules>,
    /// Grace period after the notification of a drain, in which a router may still send to the engine, in µs.
    pub drain_grace: u64,
    /// Maximum number of attempts per submission of a statement, including the first.
    pub max_attempts: u32,
    /// Time that a key stays blocked after an attempt that may still be running, in µs.
    #[serde(default)]
    pub order_pause: u64,
    /// Retry budget of each router; not checked if `None`.
    #[serde(rename = "budget")]
    pub retry_budget: Option<RetryBudget>,
    /// Guarantees on configuration versions and leases; not checked if `None`.
    #[serde(default, rename = "agreement")]
    pub versions: Option<VersionRules>,
}

/// Retry budget of a router: at most `spare + ratio × admitted` retries within each window of length `span`. Stored as
/// the sequence `[spare, ratio, span]`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64, u64)", into = "(f64, f64, u64)")]
pub struct RetryBudget {
    /// Retries allowed regardless of the number of admitted statements.
    pub spare: f64,
    /// Retries allowed per admitted statement.
    pub ratio: f64,
    /// Length of the window, in µs.
    pub span: u64,
}

impl From<(f64, f64, u64)> for RetryBudget {
    fn from((spare, ratio, span): (f64, f64, u64)) -> Self {
        Self { spare, ratio, span }
    }
}

impl From<RetryBudget> for (f64, f64, u64) {
    fn from(budget: RetryBudget) -> Self {
        (budget.spare, budget.ratio, budget.span)
    }
}

/// Guarantees on configuration versions and leases.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VersionRules {
    /// Maximum overlap, in µs, of attempts under contradicting versions, or of operations under an older and a newer
    /// lease.
    #[serde(rename = "overlap")]
    pub max_overlap: u64,
    /// Versions that do not contradict their predecessor.
    #[serde(default, rename = "neutral")]
    pub compatible: BTreeSet<u64>,
    /// Maximum time between two consecutive operations of lease holders on a task shard, in µs; not checked if `None`.
    #[serde(default, rename = "unheld")]
    pub max_unheld: Option<u64>,
}

/// The rules of a statement class.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ClassRules {
    /// Whether its statements must never take effect twice.
    #[serde(rename = "never_twice")]
    pub non_idempotent: bool,
    /// Whether statements of the same key run one at a time, in the order of admission.
    #[serde(rename = "in_order")]
    pub ordered: bool,
    /// Machine kinds on which its statements may run; if empty, all kinds.
    #[serde(rename = "kinds")]
    pub machine_kinds: BTreeSet<String>,
    /// Latency objective without the share that grows with the work, in µs.
    #[serde(rename = "aim")]
    pub latency_objective: u64,
    /// Factor of the share that grows with the work: the objective grows by `stretch × work / threads`.
    #[serde(default)]
    pub stretch: f64,
    /// Number of threads that run a statement; 0 counts as 1.
    #[serde(default)]
    pub threads: f64,
}

impl ClassRules {
    /// Returns the latency objective, in µs, of a statement with this work (run time summed over all threads, in µs).
    pub(crate) fn objective_for(&self, work: u64) -> u64 {
        let threads = if self.threads > 0.0 {
            self.threads
        } else {
            1.0
        };
        self.latency_objective + (self.stretch * work as f64 / threads) as u64
    }
}
