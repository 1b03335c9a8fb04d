//! What happens in a fleet scenario, and which rules follow from its documents.

use std::collections::{BTreeMap, BTreeSet};

use hoptiller_audit::{ClassRules, Rules};
use hoptiller_coordination::{ConfigDuration, Document, Idempotency, StatementClass};
use serde::Deserialize;

use super::event::ScheduledEvent;
use crate::client_load::ClientLoadConfig;

/// The document of a scenario that is in force when routers start.
pub(super) const FIRST_DOCUMENT: &str = "first";

/// What happens in a scenario, and when.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Timeline {
    /// How long it lasts.
    #[serde(rename = "lasts")]
    pub duration: ConfigDuration,
    /// The documents that may be proposed, by name. `first` is in force when routers start.
    pub documents: BTreeMap<String, Document>,
    /// What clients do.
    pub clients: ClientLoadConfig,
    /// The events that are written down, in any order.
    #[serde(rename = "acts", default)]
    pub events: Vec<ScheduledEvent>,
    /// Interval between random faults; without it there are none.
    #[serde(rename = "random_every", default)]
    pub random_event_interval: Option<ConfigDuration>,
}

impl Timeline {
    /// Adds to `rules` what all documents together allow: the laxest value of each, as versions come and go.
    pub fn add_rules(&self, rules: &mut Rules) {
        for document in self.documents.values() {
            for (name, class) in &document.classes {
                add_class_rules(rules, name, class);
            }
            let known = match rules.max_attempts {
                u32::MAX => 0,
                known => known,
            };
            rules.max_attempts = known.max(document.engines.max_attempts);
        }
    }
}

fn add_class_rules(rules: &mut Rules, name: &str, class: &StatementClass) {
    let kinds: BTreeSet<String> = class.kinds.clone().unwrap_or_default();
    let non_idempotent = class.repeat == Idempotency::NonIdempotent;
    let known = rules
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
    known.non_idempotent &= non_idempotent;
    // No kinds at all allow every kind.
    known.machine_kinds = if known.machine_kinds.is_empty() || kinds.is_empty() {
        BTreeSet::new()
    } else {
        &known.machine_kinds | &kinds
    };
}
