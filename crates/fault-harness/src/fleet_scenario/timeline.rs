//! The timeline of a fleet scenario, and the rules that follow from its documents.

use std::collections::{BTreeMap, BTreeSet};

use hoptiller_audit::{ClassRules, Rules};
use hoptiller_coordination::{ConfigDuration, Document, Idempotency, StatementClass};
use serde::Deserialize;

use super::event::ScheduledEvent;
use crate::client_load::ClientLoadConfig;

/// Name of the document that is in force when routers start.
pub(super) const FIRST_DOCUMENT: &str = "first";

/// Timeline of a scenario: its documents, client load and events.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Timeline {
    /// Duration of the client load; later events extend it.
    #[serde(rename = "lasts")]
    pub duration: ConfigDuration,
    /// Documents that events can propose, by name. `first` is in force when routers start.
    pub documents: BTreeMap<String, Document>,
    /// Configuration of the client load.
    pub clients: ClientLoadConfig,
    /// Scheduled events, in any order.
    #[serde(rename = "acts", default)]
    pub events: Vec<ScheduledEvent>,
    /// Interval of random faults; there are none if absent.
    #[serde(rename = "random_every", default)]
    pub random_event_interval: Option<ConfigDuration>,
}

impl Timeline {
    /// Adds the limits of all documents to `rules`. Each rule gets the most permissive value, because any of the
    /// documents may be in force.
    pub fn add_rules(&self, rules: &mut Rules) {
        for document in self.documents.values() {
            for (name, class) in &document.classes {
                add_class_rules(rules, name, class);
            }
            let current = match rules.max_attempts {
                u32::MAX => 0,
                current => current,
            };
            rules.max_attempts = current.max(document.engines.max_attempts);
        }
    }
}

fn add_class_rules(rules: &mut Rules, name: &str, class: &StatementClass) {
    let kinds: BTreeSet<String> = class.kinds.clone().unwrap_or_default();
    let non_idempotent = class.repeat == Idempotency::NonIdempotent;
    let class_rules = rules
        .classes
        .entry(name.to_owned())
        .or_insert_with(|| ClassRules {
            non_idempotent,
            ordered: false,
            machine_kinds: kinds.clone(),
            latency_objective: class.aim.as_micros(),
            stretch: class.stretch,
            threads: class.threads,
        });
    class_rules.non_idempotent &= non_idempotent;
    // An empty set permits all kinds.
    class_rules.machine_kinds = if class_rules.machine_kinds.is_empty() || kinds.is_empty() {
        BTreeSet::new()
    } else {
        &class_rules.machine_kinds | &kinds
    };
}
