//! What the records are checked against. The names in the stored JSON differ from those here and must stay.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// The figures of the rules.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Rules {
    /// Statement classes by name.
    pub classes: BTreeMap<String, ClassRules>,
    /// How long after the notification of a drain a router may still send to the engine, in µs.
    pub drain_grace: u64,
    /// Attempts at a statement at most, the first included.
    pub max_attempts: u32,
    /// How long a key is blocked after an attempt that may still run, in µs.
    #[serde(default)]
    pub order_pause: u64,
    /// The retry budget of each router; `None`: not checked.
    #[serde(rename = "budget")]
    pub retry_budget: Option<RetryBudget>,
    /// What is promised of configuration versions and leases; `None`: not checked.
    #[serde(default, rename = "agreement")]
    pub versions: Option<VersionRules>,
}

/// The retry budget of a router: within each `span`, at most `spare + ratio × admitted` retries. Stored as the sequence
/// `[spare, ratio, span]`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64, u64)", into = "(f64, f64, u64)")]
pub struct RetryBudget {
    /// Retries allowed whatever was admitted.
    pub spare: f64,
    /// Retries allowed per statement admitted.
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

/// What is promised of configuration versions and leases.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VersionRules {
    /// How long acts under contradicting versions, or under an older and a newer lease, may overlap, in µs.
    #[serde(rename = "overlap")]
    pub max_overlap: u64,
    /// Versions that contradict nothing in the version before them.
    #[serde(default, rename = "neutral")]
    pub compatible: BTreeSet<u64>,
    /// How long a shard of a task may go without an act of a lease holder, in µs; `None`: not checked.
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
    /// Machine kinds that it may run on; all where empty.
    #[serde(rename = "kinds")]
    pub machine_kinds: BTreeSet<String>,
    /// Latency objective without the part that grows with the work, in µs.
    #[serde(rename = "aim")]
    pub latency_objective: u64,
    /// The objective grows by this times the statement's work over its threads.
    #[serde(default)]
    pub stretch: f64,
    /// Threads that its statements run on; 0 counts as 1.
    #[serde(default)]
    pub threads: f64,
}

impl ClassRules {
    /// Latency objective of a statement with this work (run time over all threads, in µs), in µs.
    pub(crate) fn objective_for(&self, work: u64) -> u64 {
        let threads = if self.threads > 0.0 {
            self.threads
        } else {
            1.0
        };
        self.latency_objective + (self.stretch * work as f64 / threads) as u64
    }
}
