//! Validation of documents: the errors that prevent a document from becoming a version.

use crate::document::{
    Document, EngineSettings, Idempotency, InDoubtPolicy, RuleParameters, StatementClass,
    ValidationError,
};
use crate::duration::ConfigDuration;
use crate::endpoint_list::{EndpointList, MAX_ENGINES};
use crate::shard::{MAX_SHARDS, Task};

/// The version of the document format that this program supports.
const FORMAT_VERSION: u32 = 1;
/// Maximum number of classes.
const MAX_CLASSES: usize = 256;
/// Maximum size of a name, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Minimum timeout of a class. With a shorter one, no final response could be sent in time.
const MIN_CLASS_TIMEOUT: ConfigDuration = ConfigDuration::from_millis(500);

/// The errors of a document, in the order in which they are found.
#[derive(Default)]
struct Errors {
    found: Vec<ValidationError>,
}

impl Errors {
    fn push(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.found.push(ValidationError {
            path: path.into(),
            message: message.into(),
        });
    }
}

impl Document {
    /// Returns all errors that prevent the document from becoming a version.
    pub fn validation_errors(&self) -> Vec<ValidationError> {
        let mut errors = Errors::default();
        if self.form != FORMAT_VERSION {
            errors.push(
                "form",
                format!(
                    "must be {FORMAT_VERSION}, the only supported format version; found {}",
                    self.form
                ),
            );
        }
        if self.classes.len() > MAX_CLASSES {
            let count = self.classes.len();
            errors.push(
                "classes",
                format!("must contain at most {MAX_CLASSES} classes; found {count}"),
            );
        }
        check_names(self, &mut errors);
        check_resources(self, &mut errors);
        let default_class = self.default_class.as_ref();
        if default_class.is_some_and(|class| !self.classes.contains_key(class)) {
            errors.push("default_class", "must be a class of this document");
        }
        check_tasks(self, &mut errors);
        for (name, class) in &self.classes {
            check_class(self, name, class, &mut errors);
        }
        check_engines(&self.engines, &mut errors);
        check_rules(&self.rules, &mut errors);
        let engine_count = self.list.as_ref().map_or(0, EndpointList::len);
        if engine_count > MAX_ENGINES {
            errors.push(
                "list",
                format!("must name at most {MAX_ENGINES} engines; found {engine_count}"),
            );
        }
        for path in self.empty_placements() {
            errors.push(path, "must not be empty: nothing could be placed (rule 6)");
        }
        errors.found
    }
}

fn check_names(document: &Document, errors: &mut Errors) {
    let names = document
        .classes
        .keys()
        .chain(document.kinds.keys())
        .chain(&document.zones)
        .chain(document.tenants.keys());
    for name in names.filter(|name| name.is_empty() || name.len() > MAX_NAME_BYTES) {
        let size = name.len();
        errors.push(
            format!("{name:.40?}"),
            format!(
                "the name of a class, machine kind, zone or tenant must have 1 to {MAX_NAME_BYTES} bytes; found {size}"
            ),
        );
    }
}

fn check_resources(document: &Document, errors: &mut Errors) {
    let is_positive = |number: f64| number.is_finite() && number > 0.0;
    for (kind, cores) in &document.kinds {
        if !is_positive(*cores) {
            let message = format!("must be a number of cores greater than 0; found {cores}");
            errors.push(format!("kinds.{kind}"), message);
        }
    }
    for (tenant, quota) in &document.tenants {
        if !is_positive(*quota) {
            let message = format!("must be a quota greater than 0; found {quota}");
            errors.push(format!("tenants.{tenant}"), message);
        }
    }
}

fn check_tasks(document: &Document, errors: &mut Errors) {
    let tasks = &document.tasks;
    let total: u64 = tasks.values().map(|shards| u64::from(*shards)).sum();
    if total > MAX_SHARDS as u64 {
        errors.push(
            "tasks",
            format!("must have at most {MAX_SHARDS} shards in total; found {total}"),
        );
    }
    if tasks.get(&Task::Discovery).is_some_and(|n| *n != 1) || tasks.values().any(|n| *n == 0) {
        errors.push(
            "tasks",
            "must have 1 shard or more each, and `list` exactly 1, as service discovery is not divided",
        );
    }
}

fn check_engines(engines: &EngineSettings, errors: &mut Errors) {
    if engines.max_attempts == 0 {
        errors.push(
            "engines.max_attempts",
            "must be 1 or more: no statement could be sent (rule 7)",
        );
    }
    if let Some(budget) = &engines.budget {
        let limits = [budget.spare, budget.ratio];
        let are_valid = limits.iter().all(|n| n.is_finite() && *n >= 0.0);
        if !are_valid || budget.within == ConfigDuration::ZERO {
            errors.push(
                "engines.budget",
                "must have spare and ratio of 0 or more, and within greater than 0 (rule 7)",
            );
        }
    }
}

fn check_rules(rules: &RuleParameters, errors: &mut Errors) {
    if !(rules.start_capacity > 0.0 && rules.start_capacity <= 1.0) {
        errors.push(
            "rules.start_capacity",
            format!(
                "must be a fraction of the capacity, greater than 0 and at most 1; found {} (rule 4)",
                rules.start_capacity
            ),
        );
    }
    let is_valid_overload = rules.overload.is_finite() && rules.overload >= 1.0;
    if !is_valid_overload || rules.fall == ConfigDuration::ZERO {
        errors.push(
            "rules.overload",
            format!(
                "must be 1 or more, and rules.fall greater than 0; found {} and {} (rule 4)",
                rules.overload, rules.fall
            ),
        );
    }
}

fn check_class(document: &Document, name: &str, class: &StatementClass, errors: &mut Errors) {
    let path = |key: &str| format!("classes.{name}.{key}");
    let is_tag_byte = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    if !name.bytes().all(is_tag_byte) {
        errors.push(
            path("name"),
            "must have only letters, digits, '-', '_' and '.', the characters of a client tag",
        );
    }
    let numbers = [class.stretch, class.worth, class.late_worth, class.threads];
    if !numbers.iter().all(|n| n.is_finite() && *n >= 0.0) || class.threads == 0.0 {
        errors.push(
            path("threads"),
            format!(
                "stretch, worth and late_worth must be 0 or more, and threads greater than 0; found {numbers:?}"
            ),
        );
    }
    if class.late_worth > 1.0 {
        errors.push(
            path("late_worth"),
            format!(
                "must be a fraction of the worth, from 0 to 1; found {}",
                class.late_worth
            ),
        );
    }
    check_class_times(class, path, errors);
    check_class_idempotency(class, path, errors);
    for kind in class.kinds.iter().flatten() {
        if !document.kinds.contains_key(kind) {
            let message = format!("{kind:?} is not a machine kind of this document (rule 6)");
            errors.push(path("kinds"), message);
        }
    }
    for zone in class.zones.iter().flatten() {
        if !document.zones.contains(zone) {
            let message = format!("{zone:?} is not a zone of this document (rule 6)");
            errors.push(path("zones"), message);
        }
    }
}

fn check_class_times(class: &StatementClass, path: impl Fn(&str) -> String, errors: &mut Errors) {
    if class.aim == ConfigDuration::ZERO || class.patience < class.aim {
        errors.push(
            path("patience"),
            format!(
                "must be at least the aim, and the aim greater than 0; found {} and {}",
                class.patience, class.aim
            ),
        );
    }
    if class.patience < MIN_CLASS_TIMEOUT {
        errors.push(
            path("patience"),
            format!(
                "must be {MIN_CLASS_TIMEOUT} or more, or no final response could be sent in time; found {} (rule 1)",
                class.patience
            ),
        );
    }
}

fn check_class_idempotency(
    class: &StatementClass,
    path: impl Fn(&str) -> String,
    errors: &mut Errors,
) {
    if class.holds && class.repeat == Idempotency::Idempotent {
        errors.push(
            path("repeat"),
            "must be 'never' if holds is true: a statement that locks its tables can't be repeated safely (rule 2)",
        );
    }
    if class.repeat == Idempotency::NonIdempotent && class.in_doubt == Some(InDoubtPolicy::Serve) {
        errors.push(
            path("in_doubt"),
            "must not be 'serve' for statements that must never run twice (rule 2)",
        );
    }
}
