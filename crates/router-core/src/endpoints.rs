//! The engine list for the runaway detector: which engines are up, and which classes may run on them.

use std::collections::BTreeMap;

use hoptiller_policy::{
    EndpointEntry, EngineId, Idempotency, ListScope, Micros, Readiness, Settings,
};
use hoptiller_runaway::EngineStatus;

/// The zones and kinds of engines that a class may run on; `None` allows all.
struct Placement {
    zones: Option<Vec<usize>>,
    kinds: Option<Vec<usize>>,
}

impl Placement {
    fn allows(&self, entry: &EndpointEntry) -> bool {
        is_allowed(&self.zones, entry.zone) && is_allowed(&self.kinds, entry.kind)
    }
}

fn is_allowed(allowed: &Option<Vec<usize>>, value: Option<usize>) -> bool {
    allowed
        .as_ref()
        .is_none_or(|set| value.is_some_and(|index| set.contains(&index)))
}

/// The engine list, whose entries are endpoints, and the settings that define which classes may run on which engines.
pub(crate) struct EndpointTable {
    entries: BTreeMap<EngineId, EndpointEntry>,
    /// Permitted engines, by class.
    class_placements: Vec<Placement>,
    /// Idempotency of statements, by class.
    class_idempotency: Vec<Idempotency>,
    /// Whether an engine stops the work of a cancelled attempt.
    cancel_stops_work: bool,
    /// Retry-After time for statements that a rule terminated: the maximum of the settings, or `None` if they disable
    /// Retry-After.
    retry_after: Option<Micros>,
}

impl EndpointTable {
    /// Creates a table without engines.
    pub(crate) fn new(settings: &Settings) -> EndpointTable {
        EndpointTable::with_entries(settings, BTreeMap::new())
    }

    /// Applies new settings to the same engines.
    pub(crate) fn update_settings(&mut self, settings: &Settings) {
        *self = EndpointTable::with_entries(settings, std::mem::take(&mut self.entries));
    }

    fn with_entries(
        settings: &Settings,
        entries: BTreeMap<EngineId, EndpointEntry>,
    ) -> EndpointTable {
        let limits = &settings.limits;
        EndpointTable {
            entries,
            class_placements: settings
                .classes
                .iter()
                .map(|class| Placement {
                    zones: class.zones.clone(),
                    kinds: class.kinds.clone(),
                })
                .collect(),
            class_idempotency: settings
                .classes
                .iter()
                .map(|class| class.idempotency)
                .collect(),
            cancel_stops_work: limits.cancel,
            retry_after: limits.retry_after.then_some(limits.max_retry_after),
        }
    }

    /// Applies an update of the engine list. Returns the engines that have restarted.
    pub(crate) fn update(&mut self, scope: ListScope, entries: &[EndpointEntry]) -> Vec<EngineId> {
        if matches!(scope, ListScope::All | ListScope::Cached) {
            self.entries
                .retain(|id, _| entries.iter().any(|entry| entry.engine == *id));
        }
        let mut restarted = Vec::new();
        for entry in entries {
            let previous = self.entries.insert(entry.engine, entry.clone());
            restarted.extend(
                previous
                    .filter(|previous| entry.ready_at > previous.ready_at)
                    .map(|previous| previous.engine),
            );
        }
        restarted
    }

    /// Returns the engines that are not removed, with the classes that may run on each.
    pub(crate) fn engine_statuses(&self) -> Vec<EngineStatus> {
        self.entries
            .values()
            .filter(|entry| entry.readiness != Readiness::Removed)
            .map(|entry| EngineStatus {
                engine: entry.engine,
                is_up: entry.readiness == Readiness::Up,
                classes: self
                    .class_placements
                    .iter()
                    .map(|placement| placement.allows(entry))
                    .collect(),
            })
            .collect()
    }

    /// Returns the idempotency of the statements of a class.
    pub(crate) fn idempotency(&self, class: usize) -> Idempotency {
        self.class_idempotency[class]
    }

    /// Returns whether an engine stops the work of a cancelled attempt.
    pub(crate) fn cancel_stops_work(&self) -> bool {
        self.cancel_stops_work
    }

    /// Returns the Retry-After time for statements that a rule terminated.
    pub(crate) fn retry_after(&self) -> Option<Micros> {
        self.retry_after
    }
}

#[cfg(test)]
mod tests;
