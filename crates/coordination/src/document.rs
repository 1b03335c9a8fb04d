//! The configuration document: the settings and lists that apply to a whole fleet. Its JSON has the form of a router's
//! settings file without the settings of a single router: its name, addresses, limits and access to service discovery.

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

/// The idempotency of the statements of a class. Variants are declared from lax to strict.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// Statements may run more than once.
    #[serde(rename = "safe")]
    Idempotent,
    /// Statements must never run twice.
    #[serde(rename = "never")]
    NonIdempotent,
}

/// The handling of the statements of a class by a router whose configuration lease has expired. Variants are declared
/// from lax to strict.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InDoubtPolicy {
    /// The router processes statements under the last known versions, without the guarantee that no other router
    /// enforces a version that contradicts them.
    Serve,
    /// The router rejects statements as safe to retry.
    #[serde(rename = "refuse")]
    Reject,
}

settings! {
    /// The settings of a class of statements.
    pub struct StatementClass {
        /// The latency objective. A response within it has the full weight.
        [Advisory] aim: ConfigDuration,
        /// The latency objective grows by this factor times the work of a statement divided by its threads.
        #[serde(default)]
        [Advisory] stretch: f64,
        /// The timeout of a statement.
        [Minimum] patience: ConfigDuration,
        /// Whether statements may run more than once.
        [Strictest] repeat: Idempotency,
        /// Whether statements with the same ordering key run in order.
        #[serde(default)]
        [LogicalOr] in_order: bool,
        /// The priority weight of a statement.
        #[serde(default = "default_worth")]
        [Advisory] worth: f64,
        /// The weight of a response after the latency objective, as a fraction of the full weight.
        #[serde(default)]
        [Advisory] late_worth: f64,
        /// The number of threads that a statement uses.
        #[serde(default = "default_threads")]
        [Maximum] threads: f64,
        /// Whether a statement locks its tables while it runs.
        #[serde(default)]
        [LogicalOr] holds: bool,
        /// The machine kinds on which statements may run; `None` means all.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        [OptionalIntersection] kinds: Option<BTreeSet<String>>,
        /// The zones in which statements may run; `None` means all.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        [OptionalIntersection] zones: Option<BTreeSet<String>>,
        /// The policy of a router without a valid lease; `None` means the default of
        /// [`StatementClass::in_doubt_policy`].
        #[serde(default, skip_serializing_if = "Option::is_none")]
        [InDoubtPolicyRule] in_doubt: Option<InDoubtPolicy>,
    }
}

/// Merges to the stricter policy. `None` ranks in the middle: no class has a default that is laxer than "serve" or
/// stricter than "refuse".
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
    /// Returns the policy of a router without a valid lease. By default, statements that must never run twice are
    /// rejected and all others are served.
    pub fn in_doubt_policy(&self) -> InDoubtPolicy {
        self.in_doubt.unwrap_or(match self.repeat {
            Idempotency::Idempotent => InDoubtPolicy::Serve,
            Idempotency::NonIdempotent => InDoubtPolicy::Reject,
        })
    }
}

settings! {
    /// The limit on one router's retries of all statements.
    pub struct RetryBudget {
        /// The number of retries that are allowed at any load.
        [Minimum] spare: f64,
        /// The number of retries that are allowed per admitted statement.
        [Minimum] ratio: f64,
        /// The time window in which retries and admitted statements are counted.
        [Maximum] within: ConfigDuration,
    }
}

settings! {
    /// The capabilities of the engines, and the limits on attempts at them.
    pub struct EngineSettings {
        /// The maximum number of attempts at a statement.
        #[serde(default = "default_max_attempts")]
        [Minimum] max_attempts: u32,
        /// The limit on retries of all statements; `None` means unlimited.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        [MergeOptional] budget: Option<RetryBudget>,
        /// Whether health checks may be sent to engines.
        #[serde(default = "default_probes")]
        [LogicalAnd] probes: bool,
        /// Whether an engine stops the work of a statement when its request is cancelled.
        #[serde(default)]
        [LogicalAnd] cancel: bool,
        /// Whether engines support priorities.
        #[serde(default)]
        [LogicalAnd] priorities: bool,
        /// Whether engines can kill a running statement on request.
        #[serde(default)]
        [LogicalAnd] ends: bool,
        /// Whether engines can pause a running statement on request.
        #[serde(default)]
        [LogicalAnd] pauses: bool,
    }
}

settings! {
    /// The parameters of the routing rules.
    pub struct RuleParameters {
        /// The minimum fraction of its capacity that an engine has while it warms up.
        [Minimum] start_capacity: f64,
        /// The duration of an engine's warm-up.
        [Maximum] ramp: ConfigDuration,
        /// The load under which an engine is assumed to fail, as a multiple of its present capacity.
        [Minimum] overload: f64,
        /// The time window in which the work that is sent to an engine counts towards its load for `overload`.
        [Minimum] fall: ConfigDuration,
        /// The pause of an ordering key after an attempt that may still be running.
        #[serde(default)]
        [Maximum] order_pause: ConfigDuration,
        /// The grace period after a drain is reported, in which statements may still be sent.
        #[serde(default = "default_drain_grace")]
        [Minimum] drain_grace: ConfigDuration,
    }
}

settings! {
    /// The settings and lists of a whole fleet.
    pub struct Document {
        /// The version of the document format.
        [Maximum] form: u32,
        /// The number of cores of each machine kind.
        [MinimumPerKey] kinds: BTreeMap<String, f64>,
        /// The names of the zones.
        #[serde(default)]
        [Intersection] zones: BTreeSet<String>,
        /// The quota of each tenant.
        #[serde(default)]
        [AdvisoryPerKey] tenants: BTreeMap<String, f64>,
        /// The statement classes by name.
        [MergePerKey] classes: BTreeMap<String, StatementClass>,
        /// The class of statements that name none; `None` means that such statements are rejected.
        #[serde(default)]
        [EqualOrNone] default_class: Option<String>,
        /// The capabilities of the engines, and the limits on attempts at them.
        [Nested] engines: EngineSettings,
        /// The parameters of the routing rules.
        [Nested] rules: RuleParameters,
        /// The engines that may be used; `None` means those that each router discovers.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        [MergeOptional] list: Option<EndpointList>,
        /// The number of shards of each task that one router performs for the whole fleet.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        [ShardCounts] tasks: BTreeMap<Task, u32>,
    }
}

/// Merges to the smaller number of shards of each task on both sides. A change restricts nothing, as only the version
/// in force decides which tasks exist.
struct ShardCounts;

impl MergeRule<BTreeMap<Task, u32>> for ShardCounts {
    const RESTRICTS: bool = false;

    fn merge(a: &BTreeMap<Task, u32>, b: &BTreeMap<Task, u32>) -> BTreeMap<Task, u32> {
        a.iter()
            .filter_map(|(task, shards)| Some((*task, *shards.min(b.get(task)?))))
            .collect()
    }
}

fn default_worth() -> f64 {
    1.0
}

fn default_threads() -> f64 {
    1.0
}

fn default_max_attempts() -> u32 {
    3
}

fn default_probes() -> bool {
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
    /// The description of the error. It names the rule that the setting would break, if it is one of the seven rules
    /// for statements, which the `audit` crate lists and checks.
    #[serde(rename = "what")]
    pub message: String,
}

impl Document {
    /// Parses a document from JSON. Unknown settings are errors.
    ///
    /// # Errors
    ///
    /// Returns an error if the JSON is too long or does not describe a document.
    pub fn from_json(bytes: &[u8]) -> Result<Document, ValidationError> {
        let error = |message: String| ValidationError {
            path: "(whole document)".to_owned(),
            message,
        };
        if bytes.len() > MAX_DOCUMENT_BYTES {
            let size = bytes.len();
            return Err(error(format!(
                "is {size} bytes long, the maximum is {MAX_DOCUMENT_BYTES}"
            )));
        }
        serde_json::from_slice(bytes).map_err(|e| error(e.to_string()))
    }

    /// Returns the document's JSON, which has the same bytes for equal documents.
    pub fn to_json(&self) -> Vec<u8> {
        // Maps with string keys and finite numbers can always be serialized.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Returns the BLAKE3 digest of the document's JSON, in hexadecimal.
    pub fn digest(&self) -> String {
        blake3::hash(&self.to_json()).to_hex().to_string()
    }

    /// Returns the greatest lower bound of both documents. A class keeps only the machine kinds and zones that both
    /// documents declare, so it may be left without any. The default class is kept only if both documents name it and
    /// have the class.
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

    /// Returns the settings in which `new` differs from this document.
    pub fn differences(&self, new: &Document) -> Vec<Difference> {
        let mut differences = Vec::new();
        Merge::differences(self, new, "", &mut differences);
        differences
    }

    /// Returns how `new` as a whole relates to this document.
    pub fn change_to(&self, new: &Document) -> Change {
        self.differences(new)
            .iter()
            .fold(Change::Neutral, |combined, difference| {
                combined.combine(difference.change)
            })
    }

    /// Returns the paths of the settings without which nothing can be placed: no classes, no machine kinds, or a class
    /// without machine kinds or zones.
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
