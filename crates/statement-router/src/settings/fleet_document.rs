//! The application of a fleet configuration document to a router's settings.
//!
//! Known classes, kinds and zones keep their indices, since statements in flight refer to them; new ones are
//! appended. Classes, kinds and zones that a document no longer names keep their indices; the config lease rejects
//! statements of such classes.

use std::time::Duration;

use hoptiller_coordination::{ConfigDuration, Document, StatementClass};

use super::validate::validate;
use super::{
    ClassSettings, EngineSettings, Idempotency, MachineKind, RetryBudgetSettings, RuleSettings,
    SettingError, Settings, Tenant,
};

/// Name that stands for a file name in errors.
const DOCUMENT_NAME: &str = "(fleet configuration document)";

impl Settings {
    /// Returns these settings, from the router's own file, with a fleet document applied. `current` has the settings
    /// in effect, whose indices are kept.
    ///
    /// # Errors
    ///
    /// Returns all errors of the merged settings if they are invalid.
    pub fn with_document(
        &self,
        current: &Settings,
        document: &Document,
    ) -> Result<Settings, Vec<SettingError>> {
        let mut settings = current.clone();
        settings.merge_names(document);
        settings.merge_classes(document);
        settings.engines = self.engines.with_document(&document.engines);
        settings.limit_enforcement();
        settings.rules.apply(&document.rules);
        let errors = validate(DOCUMENT_NAME, &settings);
        if errors.is_empty() {
            Ok(settings)
        } else {
            Err(errors)
        }
    }

    fn merge_names(&mut self, document: &Document) {
        for (name, &cores) in &document.kinds {
            let index = index_or_insert(
                &mut self.kinds,
                |kind| kind.name == *name,
                || MachineKind {
                    name: name.clone(),
                    cores,
                },
            );
            self.kinds[index].cores = cores;
        }
        for name in &document.zones {
            index_or_insert(&mut self.zones, |zone| zone == name, || name.clone());
        }
        for (name, &share) in &document.tenants {
            let index = index_or_insert(
                &mut self.tenants,
                |tenant| tenant.name == *name,
                || Tenant {
                    name: name.clone(),
                    share,
                },
            );
            self.tenants[index].share = share;
        }
    }

    fn merge_classes(&mut self, document: &Document) {
        for (name, class) in &document.classes {
            let class = class_settings(self, document, name, class);
            let index = index_or_insert(
                &mut self.classes,
                |known| known.name == *name,
                || class.clone(),
            );
            self.classes[index] = class;
        }
        let default = document.default_class.as_deref();
        if let Some(index) = default.and_then(|name| self.class_index(name)) {
            self.default_class = index;
        }
        let enforcement = self
            .runaways
            .enforcement
            .last()
            .copied()
            .unwrap_or_default();
        self.runaways
            .enforcement
            .resize(self.classes.len(), enforcement);
    }

    /// Disables enforcement options that the engines don't support.
    fn limit_enforcement(&mut self) {
        for enforcement in &mut self.runaways.enforcement {
            enforcement.kill &= self.engines.supports_kill;
            enforcement.pause &= self.engines.supports_pause;
            enforcement.low_priority &= self.engines.supports_priorities;
        }
    }
}

impl EngineSettings {
    /// Returns these settings with a document applied, which can disable capabilities of the engines but not enable
    /// unsupported ones.
    fn with_document(&self, document: &hoptiller_coordination::EngineSettings) -> EngineSettings {
        let supports_cancel = document.cancel && self.supports_cancel;
        EngineSettings {
            max_attempts: document.max_attempts,
            retry_budget: document.budget.as_ref().map(|budget| RetryBudgetSettings {
                min_retries: budget.spare,
                ratio: budget.ratio,
                window: duration(budget.within),
            }),
            health_checks: document.probes && self.health_checks,
            supports_cancel,
            supports_priorities: document.priorities && self.supports_priorities,
            supports_kill: document.ends && self.supports_kill,
            supports_pause: document.pauses && self.supports_pause,
            progress_interval: if supports_cancel {
                self.progress_interval
            } else {
                Duration::ZERO
            },
            ..self.clone()
        }
    }
}

impl RuleSettings {
    fn apply(&mut self, document: &hoptiller_coordination::RuleParameters) {
        *self = RuleSettings {
            start_capacity: document.start_capacity,
            slow_start_window: duration(document.ramp),
            overload_factor: document.overload,
            overload_window: duration(document.fall),
            key_pause: duration(document.order_pause),
            drain_grace: duration(document.drain_grace),
        };
    }
}

fn duration(value: ConfigDuration) -> Duration {
    Duration::from_micros(value.as_micros())
}

/// Returns the index of an item. Appends the item if it is new.
fn index_or_insert<T>(
    items: &mut Vec<T>,
    is_item: impl Fn(&T) -> bool,
    new_item: impl FnOnce() -> T,
) -> usize {
    items.iter().position(is_item).unwrap_or_else(|| {
        items.push(new_item());
        items.len() - 1
    })
}

fn class_settings(
    settings: &Settings,
    document: &Document,
    name: &str,
    class: &StatementClass,
) -> ClassSettings {
    // A class without a restriction may run on the kinds and zones of the document, not on those that only this
    // router's file has.
    let allows_kind = |kind: &str| match &class.kinds {
        Some(allowed) => allowed.contains(kind),
        None => document.kinds.contains_key(kind),
    };
    let allows_zone = |zone: &str| match &class.zones {
        Some(allowed) => allowed.contains(zone),
        None => document.zones.contains(zone),
    };
    let kinds = settings.kinds.iter().map(|kind| allows_kind(&kind.name));
    let zones = settings.zones.iter().map(|zone| allows_zone(zone));
    ClassSettings {
        name: name.to_owned(),
        latency_objective: duration(class.aim),
        objective_stretch: class.stretch,
        client_timeout: duration(class.patience),
        idempotency: match class.repeat {
            hoptiller_coordination::Idempotency::Idempotent => Idempotency::Idempotent,
            hoptiller_coordination::Idempotency::NonIdempotent => Idempotency::NotIdempotent,
        },
        ordered_by_key: class.in_order,
        priority_weight: class.worth,
        late_weight_ratio: class.late_worth,
        threads: class.threads,
        holds_tables: class.holds,
        kinds: restriction(kinds, class.kinds.is_some()),
        zones: restriction(zones, class.zones.is_some()),
    }
}

/// Returns the indices of the allowed items, or `None` if all are allowed and the document has no explicit
/// restriction.
fn restriction(
    is_allowed: impl ExactSizeIterator<Item = bool>,
    is_restricted: bool,
) -> Option<Vec<usize>> {
    let count = is_allowed.len();
    let allowed: Vec<usize> = is_allowed
        .enumerate()
        .filter_map(|(index, is_allowed)| is_allowed.then_some(index))
        .collect();
    (allowed.len() < count || is_restricted).then_some(allowed)
}
