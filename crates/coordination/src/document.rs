//! Owns the document: settings and lists that hold for the whole fleet. Its JSON has the shape of a router's settings
//! file, less what stays a router's own (its name, its addresses, its limits, its looks at discovery).

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::lease::{MOST_LEASES, Task};
use crate::lists::Roster;
use crate::meet::{Change, Difference, Meet, settings};
use crate::span::Span;

/// The form of the document that this program knows. Another one is refused, not read in part.
pub const FORM: u32 = 1;

/// Bytes of a document at most, in JSON.
pub const MOST_BYTES: usize = 1 << 20;
/// Classes at most.
pub const MOST_CLASSES: usize = 256;
/// Bytes of a name at most.
pub const MOST_NAME: usize = 128;
/// Engines on a list at most.
pub const MOST_ENGINES: usize = 10_000;

/// What repeating a statement of a class does, from lax to strict.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Nothing.
    Safe,
    /// A second effect: it must never run twice.
    Never,
}

/// What a router does with a class when its permit has ended and no keeper is reached, from lax to strict.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InDoubt {
    /// Goes on under the version that it knows: outside the promise.
    Serve,
    /// Refuses, and says that trying again is harmless.
    Refuse,
}

settings! {
    /// One class of statements.
    pub struct Class {
        /// An answer within this has the full worth.
        [Tuning] aim: Span,
        /// The aim grows by this times the work over the threads.
        #[serde(default)]
        [Tuning] stretch: f64,
        /// How long a client may wait at most.
        [Smaller] patience: Span,
        /// What repeating does.
        [Stricter] repeat: Repeat,
        /// Same keys in order.
        #[serde(default)]
        [Either] in_order: bool,
        /// Worth of one.
        #[serde(default = "one")]
        [Tuning] worth: f64,
        /// Part of the worth after the aim.
        #[serde(default)]
        [Tuning] late_worth: f64,
        /// Threads that one runs on.
        #[serde(default = "one")]
        [Larger] threads: f64,
        /// Whether it holds its tables while it runs.
        #[serde(default)]
        [Either] holds: bool,
        /// Machine kinds that it may run on; none given: all.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        [Places] kinds: Option<BTreeSet<String>>,
        /// Zones that it may run in; none given: all.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        [Places] zones: Option<BTreeSet<String>>,
        /// What is done in doubt; none given: see [`Class::in_doubt`].
        #[serde(default, skip_serializing_if = "Option::is_none")]
        [InDoubtRule] in_doubt: Option<InDoubt>,
    }
}

/// The stricter word; a class that says nothing is no laxer than its repeat makes it.
struct InDoubtRule;

impl crate::meet::Rule<Option<InDoubt>> for InDoubtRule {
    fn meet(a: &Option<InDoubt>, b: &Option<InDoubt>) -> Option<InDoubt> {
        // `None` lies between: "serve" is laxer than silence, "refuse" stricter, whatever the class repeats.
        let rank = |d: &Option<InDoubt>| match d {
            Some(InDoubt::Serve) => 0,
            None => 1,
            Some(InDoubt::Refuse) => 2,
        };
        if rank(a) >= rank(b) { *a } else { *b }
    }
}

impl Class {
    /// What is done in doubt: what never may run twice is refused unless the settings say otherwise.
    pub fn in_doubt(&self) -> InDoubt {
        self.in_doubt.unwrap_or(match self.repeat {
            Repeat::Safe => InDoubt::Serve,
            Repeat::Never => InDoubt::Refuse,
        })
    }
}

settings! {
    /// Further attempts that one router may make.
    pub struct Budget {
        /// However light the traffic.
        [Smaller] spare: f64,
        /// Per statement taken.
        [Smaller] ratio: f64,
        /// The span of both counts.
        [Larger] within: Span,
    }
}

settings! {
    /// What engines permit.
    pub struct Engines {
        /// Attempts at a statement at most.
        #[serde(default = "three")]
        [Smaller] max_attempts: u32,
        /// Further attempts of all statements; none given: no bound.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        [Bounded] budget: Option<Budget>,
        /// They may be asked for their status.
        #[serde(default = "yes")]
        [Both] probes: bool,
        /// Ending a statement stops its work.
        #[serde(default)]
        [Both] cancel: bool,
        /// They heed priorities.
        #[serde(default)]
        [Both] priorities: bool,
        /// They end a statement that they are told to end.
        #[serde(default)]
        [Both] ends: bool,
        /// They let a statement stand still.
        #[serde(default)]
        [Both] pauses: bool,
    }
}

settings! {
    /// Figures of the rules.
    pub struct Rules {
        /// Part of its capacity that a cold engine has at least.
        [Smaller] start_capacity: f64,
        /// When it is warm.
        [Larger] ramp: Span,
        /// Times its present capacity that it bears...
        [Smaller] overload: f64,
        /// ...for this long.
        [Smaller] fall: Span,
        /// Rest of a key after an attempt that may still run.
        #[serde(default)]
        [Larger] order_pause: Span,
        /// Nothing new later than this after a drain was told.
        #[serde(default = "one_second")]
        [Smaller] drain_grace: Span,
    }
}

settings! {
    /// Settings and lists of the whole fleet.
    pub struct Document {
        /// The form: [`FORM`].
        [Larger] form: u32,
        /// Machine kinds and their cores.
        [EachSmaller] kinds: BTreeMap<String, f64>,
        /// Zones.
        #[serde(default)]
        [Known] zones: BTreeSet<String>,
        /// Tenants and their shares.
        #[serde(default)]
        [EachTuning] tenants: BTreeMap<String, f64>,
        /// Classes by name.
        [Each] classes: BTreeMap<String, Class>,
        /// The class of a statement that names none; none given: such a statement is refused.
        #[serde(default)]
        [Agreed] default_class: Option<String>,
        /// What engines permit.
        [Group] engines: Engines,
        /// Figures of the rules.
        [Group] rules: Rules,
        /// Engines that may be used; none given: what each router finds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        [Bounded] list: Option<Roster>,
        /// Tasks that one router does for all, each with the number of parts that are given out one by one.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        [Done] tasks: BTreeMap<Task, u32>,
    }
}

/// Who does a task binds no act on a statement; the one in force says which there are.
struct Done;

impl crate::meet::Rule<BTreeMap<Task, u32>> for Done {
    const BINDS: bool = false;
    fn meet(a: &BTreeMap<Task, u32>, b: &BTreeMap<Task, u32>) -> BTreeMap<Task, u32> {
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

fn one_second() -> Span {
    Span::millis(1000)
}

/// Something that makes a document unusable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Flaw {
    /// Where: `classes.report.kinds`.
    pub path: String,
    /// What is wrong, with the rule that it would break where it is one of the seven.
    pub what: String,
}

impl std::fmt::Display for Flaw {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.path, self.what)
    }
}

impl Document {
    /// Reads JSON. What it does not know is refused, not dropped.
    pub fn read(bytes: &[u8]) -> Result<Document, Flaw> {
        let whole = |what: String| Flaw {
            path: "(whole document)".into(),
            what,
        };
        if bytes.len() > MOST_BYTES {
            return Err(whole(format!(
                "is {} bytes, {MOST_BYTES} at most",
                bytes.len()
            )));
        }
        serde_json::from_slice(bytes).map_err(|e| whole(e.to_string()))
    }

    /// Its JSON: the same bytes for the same document, always.
    pub fn bytes(&self) -> Vec<u8> {
        // Maps with text keys and finite numbers always have a JSON form.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// The BLAKE3 digest of its JSON, in hexadecimal.
    pub fn digest(&self) -> String {
        blake3::hash(&self.bytes()).to_hex().to_string()
    }

    /// What contradicts neither. A place that one side does not know is no place; a class may be left without any.
    pub fn meet(&self, other: &Document) -> Document {
        let mut both = Meet::meet(self, other);
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
        Meet::differences(self, new, "", &mut all);
        all
    }

    /// How `new` relates to this one, all together.
    pub fn change(&self, new: &Document) -> Change {
        self.differences(new)
            .iter()
            .fold(Change::Neutral, |all, d| all.and(d.change))
    }

    /// Classes of a meet that no place is left for: path of the setting.
    pub fn nowhere(&self) -> Vec<String> {
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
    pub fn flaws(&self) -> Vec<Flaw> {
        let mut all = Vec::new();
        let mut note = |path: String, what: &str| {
            all.push(Flaw {
                path,
                what: what.to_owned(),
            })
        };
        if self.form != FORM {
            note(
                "form".into(),
                "is another form of the document than this program knows",
            );
        }
        if self.classes.len() > MOST_CLASSES {
            note("classes".into(), "are more than 256");
        }
        let names = self
            .classes
            .keys()
            .chain(self.kinds.keys())
            .chain(&self.zones)
            .chain(self.tenants.keys());
        for name in names.filter(|n| n.is_empty() || n.len() > MOST_NAME) {
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
        if self.tasks.values().map(|n| u64::from(*n)).sum::<u64>() > MOST_LEASES as u64 {
            note("tasks".into(), "have more than 4096 parts");
        }
        if self.tasks.get(&Task::List).is_some_and(|n| *n != 1)
            || self.tasks.values().any(|n| *n == 0)
        {
            note(
                "tasks".into(),
                "want 1 part or more each, and `list` just one: there is one discovery",
            );
        }
        for (name, class) in &self.classes {
            self.class_flaws(name, class, &mut note);
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
            if !sound || b.within == Span(0) {
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
        if !(r.overload.is_finite() && r.overload >= 1.0) || r.fall == Span(0) {
            note(
                "rules.overload".into(),
                "must be 1 or more, for a rules.fall over 0 (rule 4)",
            );
        }
        if self.list.as_ref().is_some_and(|l| l.0.len() > MOST_ENGINES) {
            note("list".into(), "names more than 10000 engines");
        }
        for path in self.nowhere() {
            note(path, "leaves no place at all (rule 6)");
        }
        all
    }

    fn class_flaws(&self, name: &str, class: &Class, note: &mut impl FnMut(String, &str)) {
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
        if class.aim == Span(0) || class.patience < class.aim {
            note(
                path("patience"),
                "must be the aim or more, and the aim over 0",
            );
        }
        if class.patience < Span::millis(500) {
            note(
                path("patience"),
                "is under 500ms: no final answer could come in time (rule 1)",
            );
        }
        if class.holds && class.repeat == Repeat::Safe {
            note(
                path("repeat"),
                "a class that holds tables while it loads them can't be safe to repeat (rule 2)",
            );
        }
        if class.repeat == Repeat::Never && class.in_doubt == Some(InDoubt::Serve) {
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
