//! The configuration document: the settings and lists that apply to a whole fleet. Its JSON has the shape of a router's
//! settings file, without what is the router's own (its name, its addresses, its limits, its access to discovery).

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::duration::ConfigDuration;
use crate::endpoint_list::EndpointList;
use crate::merge::{Change, Difference, Merge, MergeRule};
use crate::merge_rules::{
    Advisory, AdvisoryPerKey, EqualOrNone, Intersection, LogicalAnd, LogicalOr, Maximum,
    MergeOptional, MergePerKey, Minimum, MinimumPerKey, Nested, OptionalIntersection, Strictest,
    settings,
};
use crate::shard::Task;

/// Maximum size of a document's JSON, in bytes.
const MAX_DOCUMENT_BYTES: usize = 1 << 20;

/// Whether statements of a class may run more than once, from lax to strict.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// They may be repeated.
    #[serde(rename = "safe")]
    Idempotent,
    /// They must never run twice.
    #[serde(rename = "never")]
    NonIdempotent,
}

/// What a router does with statements of a class when its lease has expired, from lax to strict.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InDoubtPolicy {
    /// Processes them by the last known versions, without the guarantee.
    Serve,
    /// Rejects them as safe to retry.
    #[serde(rename = "refuse")]
    Reject,
}

settings! {
    /// A class of statements.
    pub struct StatementClass {
        /// The latency objective: a response within it has the full weight.
        [Advisory] aim: ConfigDuration,
        /// The latency objective grows by this factor times the work over the threads.
        #[serde(default)]
        [Advisory] stretch: f64,
        /// The timeout of a statement.
        [Minimum] patience: ConfigDuration,
        /// Whether statements may run more than once.
        [Strictest] repeat: Idempotency,
        /// Whether statements with the same key run in order.
        #[serde(default)]
        [LogicalOr] in_order: bool,
        /// The priority weight of a statement.
        #[serde(default = "default_factor")]
        [Advisory] worth: f64,
        /// The fraction of the weight of a response after the objective.
        #[serde(default)]
        [Advisory] late_worth: f64,
        /// The number of threads on which a statement runs.
        #[serde(default = "default_factor")]
        [Maximum] threads: f64,
        /// Whether a statement locks its tables while it runs.
        #[serde(default)]
        [LogicalOr] holds: bool,
        /// The machine kinds on which it may run; `None`: all.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        [OptionalIntersection] kinds: Option<BTreeSet<String>>,
        /// The zones in which it may run; `None`: all.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        [OptionalIntersection] zones: Option<BTreeSet<String>>,
        /// What a router does without a lease; `None`: see [`StatementClass::in_doubt_policy`].
        #[serde(default, skip_serializing_if = "Option::is_none")]
        [InDoubtPolicyRule] in_doubt: Option<InDoubtPolicy>,
    }
}

/// The stricter policy, where none lies between: "serve" is laxer than the default of any class, "refuse" stricter.
struct InDoubtPolicyRule;

impl MergeRule<Option<InDoubtPolicy>> for InDoubtPolicyRule {
    fn merge(a: &Option<InDoubtPolicy>, b: &Option<InDoubtPolicy>) -> Option<InDoubtPolicy> {
        let strictness = |policy: &Option<InDoubtPolicy>| match policy {
            Some(InDoubtPolicy::Serve) => 0,
            None => 1,
            Some(InDoubtPolicy::Reject) => 2,
        };
        if strictness(a) >= strictness(b) {
            *a
        } else {
            *b
        }
    }
}

impl StatementClass {
    /// What a router does without a lease. By default, statements that must never run twice are rejected.
    pub fn in_doubt_policy(&self) -> InDoubtPolicy {
        self.in_doubt.unwrap_or(match self.repeat {
            Idempotency::Idempotent => InDoubtPolicy::Serve,
            Idempotency::NonIdempotent => InDoubtPolicy::Reject,
        })
    }
}

settings! {
    /// The limit of one router's retries of all statements.
    pub struct RetryBudget {
        /// Retries that are allowed at any load.
        [Minimum] spare: f64,
        /// Retries per admitted statement.
        [Minimum] ratio: f64,
        /// The window in which both are counted.
        [Maximum] within: ConfigDuration,
    }
}

settings! {
    /// What engines support.
    pub struct EngineSettings {
        /// Maximum number of attempts at a statement.
        #[serde(default = "default_max_attempts")]
        [Minimum] max_attempts: u32,
        /// The limit of retries of all statements; `None`: unlimited.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        [MergeOptional] budget: Option<RetryBudget>,
        /// Whether health checks may be sent to them.
        #[serde(default = "enabled")]
        [LogicalAnd] probes: bool,
        /// Whether cancelling a statement stops its work.
        #[serde(default)]
        [LogicalAnd] cancel: bool,
        /// Whether they support priorities.
        #[serde(default)]
        [LogicalAnd] priorities: bool,
        /// Whether they can terminate a statement.
        #[serde(default)]
        [LogicalAnd] ends: bool,
        /// Whether they can pause a statement.
        #[serde(default)]
        [LogicalAnd] pauses: bool,
    }
}

settings! {
    /// Parameters of the rules by which statements are routed.
    pub struct RuleParameters {
        /// The fraction of its capacity that an engine has at least while it is warming up.
        [Minimum] start_capacity: f64,
        /// The duration of warming up.
        [Maximum] ramp: ConfigDuration,
        /// The multiple of its capacity by which an engine may be overloaded...
        [Minimum] overload: f64,
        /// ...for at most this duration.
        [Minimum] fall: ConfigDuration,
        /// The pause of an ordering key after an attempt that may still run.
        #[serde(default)]
        [Maximum] order_pause: ConfigDuration,
        /// The grace period after a drain was reported, in which statements may still be sent.
        #[serde(default = "default_drain_grace")]
        [Minimum] drain_grace: ConfigDuration,
    }
}

settings! {
    /// The settings and lists of a whole fleet.
    pub struct Document {
        /// The version of the document's format.
        [Maximum] form: u32,
        /// The machine kinds and their numbers of cores.
        [MinimumPerKey] kinds: BTreeMap<String, f64>,
        /// The zones.
        #[serde(default)]
        [Intersection] zones: BTreeSet<String>,
        /// The tenants and their quotas.
        #[serde(default)]
        [AdvisoryPerKey] tenants: BTreeMap<String, f64>,
        /// The classes by name.
        [MergePerKey] classes: BTreeMap<String, StatementClass>,
        /// The class of a statement that names none; `None`: such a statement is rejected.
        #[serde(default)]
        [EqualOrNone] default_class: Option<String>,
        /// What engines support.
        [Nested] engines: EngineSettings,
        /// Parameters of the rules.
        [Nested] rules: RuleParameters,
        /// The engines that may be used; `None`: those that each router discovers.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        [MergeOptional] list: Option<EndpointList>,
        /// The tasks that one router performs for all, each with its number of shards.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        [TaskCounts] tasks: BTreeMap<Task, u32>,
    }
}

/// The smaller number of shards. Restricts nothing: the version in force decides which tasks exist.
struct TaskCounts;

impl MergeRule<BTreeMap<Task, u32>> for TaskCounts {
    const RESTRICTS: bool = false;

    fn merge(a: &BTreeMap<Task, u32>, b: &BTreeMap<Task, u32>) -> BTreeMap<Task, u32> {
        a.iter()
            .filter_map(|(task, shards)| Some((*task, *shards.min(b.get(task)?))))
            .collect()
    }
}

fn default_factor() -> f64 {
    1.0
}

fn default_max_attempts() -> u32 {
    3
}

fn enabled() -> bool {
    true
}

fn default_drain_grace() -> ConfigDuration {
    ConfigDuration::from_millis(1000)
}

/// An error that makes a document or a proposal invalid.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{path}: {message}")]
pub struct ValidationError {
    /// The path of the setting, such as `classes.report.kinds`.
    pub path: String,
    /// What is wrong, with the rule that it would break where it is one of the seven.
    #[serde(rename = "what")]
    pub message: String,
}

impl Document {
    /// Reads a document from JSON. Unknown settings are errors.
    ///
    /// # Errors
    ///
    /// Where the JSON is too long, or is not that of a document.
    pub fn from_json(bytes: &[u8]) -> Result<Document, ValidationError> {
        let error = |message: String| ValidationError {
            path: "(whole document)".to_owned(),
            message,
        };
        if bytes.len() > MAX_DOCUMENT_BYTES {
            let size = bytes.len();
            return Err(error(format!(
                "is {size} bytes, {MAX_DOCUMENT_BYTES} at most"
            )));
        }
        serde_json::from_slice(bytes).map_err(|e| error(e.to_string()))
    }

    /// The document's JSON: always the same bytes for the same document.
    pub fn to_json(&self) -> Vec<u8> {
        // Maps with text keys and finite numbers always have a JSON form.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// The BLAKE3 digest of the document's JSON, in hexadecimal.
    pub fn digest(&self) -> String {
        blake3::hash(&self.to_json()).to_hex().to_string()
    }

    /// The greatest lower bound of both documents. A machine kind or zone that one side does not declare is no place; a
    /// class may be left without any.
    pub fn merge(&self, other: &Document) -> Document {
        let mut merged = Merge::merge(self, other);
        for class in merged.classes.values_mut() {
            if let Some(kinds) = &mut class.kinds {
                kinds.retain(|kind| merged.kinds.contains_key(kind));
            }
            if let Some(zones) = &mut class.zones {
                zones.retain(|zone| merged.zones.contains(zone));
            }
        }
        merged.default_class = merged
            .default_class
            .filter(|class| merged.classes.contains_key(class));
        merged
    }

    /// Each setting in which `new` differs.
    pub fn differences(&self, new: &Document) -> Vec<Difference> {
        let mut differences = Vec::new();
        Merge::differences(self, new, "", &mut differences);
        differences
    }

    /// How `new` as a whole relates to this document.
    pub fn change_to(&self, new: &Document) -> Change {
        self.differences(new)
            .iter()
            .fold(Change::Neutral, |all, d| all.combine(d.change))
    }

    /// Paths of the settings that leave a class no machine kind or no zone.
    pub(crate) fn empty_placements(&self) -> Vec<String> {
        let mut paths = Vec::new();
        if self.classes.is_empty() {
            paths.push("classes".to_owned());
        }
        if self.kinds.is_empty() {
            paths.push("kinds".to_owned());
        }
        for (name, class) in &self.classes {
            for (key, places) in [("kinds", &class.kinds), ("zones", &class.zones)] {
                if places.as_ref().is_some_and(BTreeSet::is_empty) {
                    paths.push(format!("classes.{name}.{key}"));
                }
            }
        }
        paths
    }
}
