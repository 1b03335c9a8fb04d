//! Owns the document: settings and lists that hold for the whole fleet. Its JSON has the shape of a router's settings
//! file, less what stays a router's own (its name, its addresses, its limits, its looks at discovery).

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::duration::ConfigDuration;
use crate::endpoint_list::EndpointList;
use crate::lease_table::{MAX_LEASES, Task};
use crate::merge::{Change, Difference, Merge, settings};

/// The form of the document that this program knows. Another one is refused, not read in part.
pub const FORMAT_VERSION: u32 = 1;

/// Bytes of a document at most, in JSON.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;
/// Classes at most.
pub const MAX_CLASSES: usize = 256;
/// Bytes of a name at most.
pub const MAX_NAME_BYTES: usize = 128;
/// Engines on a list at most.
pub const MAX_ENGINES: usize = 10_000;

/// What repeating a statement of a class does, from lax to strict.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// Nothing.
    #[serde(rename = "safe")]
    Idempotent,
    /// A second effect: it must never run twice.
    #[serde(rename = "never")]
    NonIdempotent,
}

/// What a router does with a class when its permit has ended and no keeper is reached, from lax to strict.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InDoubtPolicy {
    /// Goes on under the version that it knows: outside the promise.
    Serve,
    /// Refuses, and says that trying again is harmless.
    #[serde(rename = "refuse")]
    Reject,
}

settings! {
    /// One class of statements.
    pub struct StatementClass {
        /// An answer within this has the full worth.
        [Advisory] aim: ConfigDuration,
        /// The aim grows by this times the work over the threads.
        #[serde(default)]
        [Advisory] stretch: f64,
        /// How long a client may wait at most.
        [Minimum] patience: ConfigDuration,
        /// What repeating does.
        [Strictest] repeat: Idempotency,
        /// Same keys in order.
        #[serde(default)]
        [LogicalOr] in_order: bool,
        /// Worth of one.
        #[serde(default = "one")]
        [Advisory] worth: f64,
        /// Part of the worth after the aim.
        #[serde(default)]
        [Advisory] late_worth: f64,
        /// Threads that one runs on.
        #[serde(default = "one")]
        [Maximum] threads: f64,
        /// Whether it holds its tables while it runs.
        #[serde(default)]
        [LogicalOr] holds: bool,
        /// Machine kinds that it may run on; none given: all.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        [OptionalIntersection] kinds: Option<BTreeSet<String>>,
        /// Zones that it may run in; none given: all.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        [OptionalIntersection] zones: Option<BTreeSet<String>>,
        /// What is done in doubt; none given: see [`StatementClass::in_doubt`].
        #[serde(default, skip_serializing_if = "Option::is_none")]
        [InDoubtPolicyRule] in_doubt: Option<InDoubtPolicy>,
    }
}

/// The stricter word; a class that says nothing is no laxer than its repeat makes it.
struct InDoubtPolicyRule;

impl crate::merge::MergeRule<Option<InDoubtPolicy>> for InDoubtPolicyRule {
    fn merge(a: &Option<InDoubtPolicy>, b: &Option<InDoubtPolicy>) -> Option<InDoubtPolicy> {
        // `None` lies between: "serve" is laxer than silence, "refuse" stricter, whatever the class repeats.
        let rank = |d: &Option<InDoubtPolicy>| match d {
            Some(InDoubtPolicy::Serve) => 0,
            None => 1,
            Some(InDoubtPolicy::Reject) => 2,
        };
        if rank(a) >= rank(b) { *a } else { *b }
    }
}

impl StatementClass {
    /// What is done in doubt: what never may run twice is refused unless the settings say otherwise.
    pub fn in_doubt_policy(&self) -> InDoubtPolicy {
        self.in_doubt.unwrap_or(match self.repeat {
            Idempotency::Idempotent => InDoubtPolicy::Serve,
            Idempotency::NonIdempotent => InDoubtPolicy::Reject,
        })
    }
}

settings! {
    /// Further attempts that one router may make.
    pub struct RetryBudget {
        /// However light the traffic.
        [Minimum] spare: f64,
        /// Per statement taken.
        [Minimum] ratio: f64,
        /// The span of both counts.
        [Maximum] within: ConfigDuration,
    }
}

settings! {
    /// What engines permit.
    pub struct EngineSettings {
        /// Attempts at a statement at most.
        #[serde(default = "three")]
        [Minimum] max_attempts: u32,
        /// Further attempts of all statements; none given: no bound.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        [MergeOptional] budget: Option<RetryBudget>,
        /// They may be asked for their status.
        #[serde(default = "yes")]
        [LogicalAnd] probes: bool,
        /// Ending a statement stops its work.
        #[serde(default)]
        [LogicalAnd] cancel: bool,
        /// They heed priorities.
        #[serde(default)]
        [LogicalAnd] priorities: bool,
        /// They end a statement that they are told to end.
        #[serde(default)]
        [LogicalAnd] ends: bool,
        /// They let a statement stand still.
        #[serde(default)]
        [LogicalAnd] pauses: bool,
    }
}

settings! {
    /// Figures of the rules.
    pub struct RuleParameters {
        /// Part of its capacity that a cold engine has at least.
        [Minimum] start_capacity: f64,
        /// When it is warm.
        [Maximum] ramp: ConfigDuration,
        /// Times its present capacity that it bears...
        [Minimum] overload: f64,
        /// ...for this long.
        [Minimum] fall: ConfigDuration,
        /// Rest of a key after an attempt that may still run.
        #[serde(default)]
        [Maximum] order_pause: ConfigDuration,
        /// Nothing new later than this after a drain was told.
        #[serde(default = "one_second")]
        [Minimum] drain_grace: ConfigDuration,
    }
}

settings! {
    /// Settings and lists of the whole fleet.
    pub struct Document {
        /// The form: [`FORMAT_VERSION`].
        [Maximum] form: u32,
        /// Machine kinds and their cores.
        [MinimumPerKey] kinds: BTreeMap<String, f64>,
        /// Zones.
        #[serde(default)]
        [Intersection] zones: BTreeSet<String>,
        /// Tenants and their shares.
        #[serde(default)]
        [AdvisoryPerKey] tenants: BTreeMap<String, f64>,
        /// Classes by name.
        [MergePerKey] classes: BTreeMap<String, StatementClass>,
        /// The class of a statement that names none; none given: such a statement is refused.
        #[serde(default)]
        [EqualOrNone] default_class: Option<String>,
        /// What engines permit.
        [Nested] engines: EngineSettings,
        /// Figures of the rules.
        [Nested] rules: RuleParameters,
        /// Engines that may be used; none given: what each router finds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        [MergeOptional] list: Option<EndpointList>,
        /// Tasks that one router does for all, each with the number of parts that are given out one by one.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        [TaskCounts] tasks: BTreeMap<Task, u32>,
    }
}

/// Who does a task binds no act on a statement; the one in force says which there are.
struct TaskCounts;

impl crate::merge::MergeRule<BTreeMap<Task, u32>> for TaskCounts {
    const BINDS: bool = false;
    fn merge(a: &BTreeMap<Task, u32>, b: &BTreeMap<Task, u32>) -> BTreeMap<Task, u32> {
        a.iter()
            .filter_map(|(task, n)| b.get(task).map(|m| (*task, *n.min(m))))
            .collect()
    }
}

fn one() -> f64 {
    1.0
}

fn three() -> u32 {
    3
}

fn yes() -> bool {
    true
}

fn one_second() -> ConfigDuration {
    ConfigDuration::from_millis(1000)
}

/// Something that makes a document unusable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ValidationError {
    /// Where: `classes.report.kinds`.
    pub path: String,
    /// What is wrong, with the rule that it would break where it is one of the seven.
    #[serde(rename = "what")]
    pub message: String,
}

impl std::fmt::Display for ValidationError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

impl Document {
    /// Reads JSON. What it does not know is refused, not dropped.
    pub fn from_json(bytes: &[u8]) -> Result<Document, ValidationError> {
        let whole = |what: String| ValidationError {
            path: "(whole document)".into(),
            message: what,
        };
        if bytes.len() > MAX_DOCUMENT_BYTES {
            return Err(whole(format!(
                "is {} bytes, {MAX_DOCUMENT_BYTES} at most",
                bytes.len()
            )));
        }
        serde_json::from_slice(bytes).map_err(|e| whole(e.to_string()))
    }

    /// Its JSON: the same bytes for the same document, always.
    pub fn to_json(&self) -> Vec<u8> {
        // Maps with text keys and finite numbers always have a JSON form.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// The BLAKE3 digest of its JSON, in hexadecimal.
    pub fn digest(&self) -> String {
        blake3::hash(&self.to_json()).to_hex().to_string()
    }

    /// What contradicts neither. A place that one side does not know is no place; a class may be left without any.
    pub fn merge(&self, other: &Document) -> Document {
        let mut both = Merge::merge(self, other);
        for class in both.classes.values_mut() {
            if let Some(kinds) = &mut class.kinds {
                kinds.retain(|k| both.kinds.contains_key(k));
            }
            if let Some(zones) = &mut class.zones {
                zones.retain(|z| both.zones.contains(z));
            }
        }
        both.default_class = both.default_class.filter(|c| both.classes.contains_key(c));
        both
    }

    /// Each setting in which `new` differs.
    pub fn differences(&self, new: &Document) -> Vec<Difference> {
        let mut all = Vec::new();
        Merge::differences(self, new, "", &mut all);
        all
    }

    /// How `new` relates to this one, all together.
    pub fn change_to(&self, new: &Document) -> Change {
        self.differences(new)
            .iter()
            .fold(Change::Neutral, |all, d| all.combine(d.change))
    }

    /// Classes of a meet that no place is left for: path of the setting.
    pub fn empty_placements(&self) -> Vec<String> {
        let mut all = Vec::new();
        if self.classes.is_empty() {
            all.push("classes".to_owned());
        }
        if self.kinds.is_empty() {
            all.push("kinds".to_owned());
        }
        for (name, class) in &self.classes {
            let empty =
                |places: &Option<BTreeSet<String>>| places.as_ref().is_some_and(BTreeSet::is_empty);
            if empty(&class.kinds) {
                all.push(format!("classes.{name}.kinds"));
            }
            if empty(&class.zones) {
                all.push(format!("classes.{name}.zones"));
            }
        }
        all
    }

    /// All that makes it unusable as a version.
    pub fn validation_errors(&self) -> Vec<ValidationError> {
        let mut all = Vec::new();
        let mut note = |path: String, what: &str| {
            all.push(ValidationError {
                path,
                message: what.to_owned(),
            })
        };
        if self.form != FORMAT_VERSION {
            note(
                "form".into(),
                "is another form of the document than this program knows",
            );
        }
        if self.classes.len() > MAX_CLASSES {
            note("classes".into(), "are more than 256");
        }
        let names = self
            .classes
            .keys()
            .chain(self.kinds.keys())
            .chain(&self.zones)
            .chain(self.tenants.keys());
        for name in names.filter(|n| n.is_empty() || n.len() > MAX_NAME_BYTES) {
            note(format!("{name:.40?}"), "a name of 1 to 128 bytes is wanted");
        }
        for (kind, cores) in &self.kinds {
            if !(cores.is_finite() && *cores > 0.0) {
                note(format!("kinds.{kind}"), "cores over 0 are wanted");
            }
        }
        for (tenant, share) in &self.tenants {
            if !(share.is_finite() && *share > 0.0) {
                note(format!("tenants.{tenant}"), "a share over 0 is wanted");
            }
        }
        if self
            .default_class
            .as_ref()
            .is_some_and(|c| !self.classes.contains_key(c))
        {
            note("default_class".into(), "is no class of this document");
        }
        if self.tasks.values().map(|n| u64::from(*n)).sum::<u64>() > MAX_LEASES as u64 {
            note("tasks".into(), "have more than 4096 parts");
        }
        if self.tasks.get(&Task::Discovery).is_some_and(|n| *n != 1)
            || self.tasks.values().any(|n| *n == 0)
        {
            note(
                "tasks".into(),
                "want 1 part or more each, and `list` just one: there is one discovery",
            );
        }
        for (name, class) in &self.classes {
            self.class_errors(name, class, &mut note);
        }
        let (e, r) = (&self.engines, &self.rules);
        if e.max_attempts == 0 {
            note(
                "engines.max_attempts".into(),
                "must be 1 or more: no statement could be sent (rule 7)",
            );
        }
        if let Some(b) = &e.budget {
            let sound = [b.spare, b.ratio]
                .iter()
                .all(|n| n.is_finite() && *n >= 0.0);
            if !sound || b.within == ConfigDuration(0) {
                note(
                    "engines.budget".into(),
                    "wants numbers of 0 or more, within a span over 0 (rule 7)",
                );
            }
        }
        if !(r.start_capacity > 0.0 && r.start_capacity <= 1.0) {
            note(
                "rules.start_capacity".into(),
                "is a part of the capacity, over 0 and up to 1 (rule 4)",
            );
        }
        if !(r.overload.is_finite() && r.overload >= 1.0) || r.fall == ConfigDuration(0) {
            note(
                "rules.overload".into(),
                "must be 1 or more, for a rules.fall over 0 (rule 4)",
            );
        }
        if self.list.as_ref().is_some_and(|l| l.0.len() > MAX_ENGINES) {
            note("list".into(), "names more than 10000 engines");
        }
        for path in self.empty_placements() {
            note(path, "leaves no place at all (rule 6)");
        }
        all
    }

    fn class_errors(
        &self,
        name: &str,
        class: &StatementClass,
        note: &mut impl FnMut(String, &str),
    ) {
        let path = |key: &str| format!("classes.{name}.{key}");
        if !name
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
        {
            note(
                path("name"),
                "only letters, digits, '-', '_' and '.' can stand in a client tag",
            );
        }
        let figures = [class.stretch, class.worth, class.late_worth, class.threads];
        if !figures.iter().all(|n| n.is_finite() && *n >= 0.0) || class.threads == 0.0 {
            note(
                path("threads"),
                "stretch, worth, late_worth and threads are numbers of 0 or more, threads over 0",
            );
        }
        if class.late_worth > 1.0 {
            note(path("late_worth"), "is a part of the worth, 0 to 1");
        }
        if class.aim == ConfigDuration(0) || class.patience < class.aim {
            note(
                path("patience"),
                "must be the aim or more, and the aim over 0",
            );
        }
        if class.patience < ConfigDuration::from_millis(500) {
            note(
                path("patience"),
                "is under 500ms: no final answer could come in time (rule 1)",
            );
        }
        if class.holds && class.repeat == Idempotency::Idempotent {
            note(
                path("repeat"),
                "a class that holds tables while it loads them can't be safe to repeat (rule 2)",
            );
        }
        if class.repeat == Idempotency::NonIdempotent
            && class.in_doubt == Some(InDoubtPolicy::Serve)
        {
            note(
                path("in_doubt"),
                "what must never run twice can't be served in doubt (rule 2)",
            );
        }
        for kind in class
            .kinds
            .iter()
            .flatten()
            .filter(|k| !self.kinds.contains_key(*k))
        {
            note(
                path("kinds"),
                &format!("{kind:?} is no kind of this document (rule 6)"),
            );
        }
        for zone in class
            .zones
            .iter()
            .flatten()
            .filter(|z| !self.zones.contains(*z))
        {
            note(
                path("zones"),
                &format!("{zone:?} is no zone of this document (rule 6)"),
            );
        }
    }
}
