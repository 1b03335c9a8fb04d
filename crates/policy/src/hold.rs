//! Holds: limits on the requests of a statement kind or a table group, and the requests held back by them.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{EngineId, Hold, HoldTarget, RequestId};

/// Maximum number of requests that housekeeping releases at once per hold in effect. It bounds the requests that a hold
/// in effect adds to one batch.
const MAX_RELEASED_PER_HOLD: u32 = 64;

/// Properties of a request's statement, which holds can target.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StatementProperties {
    pub(crate) kind: Option<u64>,
    pub(crate) group: Option<u64>,
}

impl StatementProperties {
    fn iter(self) -> impl Iterator<Item = HoldTarget> {
        [
            self.kind.map(HoldTarget::Kind),
            self.group.map(HoldTarget::Group),
        ]
        .into_iter()
        .flatten()
    }

    pub(crate) fn contains(self, target: HoldTarget) -> bool {
        self.iter().any(|own| own == target)
    }
}

/// A hold and the number of attempts in flight that it covers.
struct HoldState {
    hold: Hold,
    in_flight: u32,
}

/// The holds in effect, and the requests that they hold back. Held requests are kept apart from the class queues so
/// that no other request waits behind them.
#[derive(Default)]
pub(crate) struct Holds {
    holds: BTreeMap<HoldTarget, HoldState>,
    held: BTreeSet<RequestId>,
}

impl Holds {
    /// Replaces the hold on the same target. `in_flight` is the number of attempts in flight that it covers.
    pub(crate) fn replace(&mut self, hold: &Hold, in_flight: u32) {
        self.holds.insert(
            hold.target,
            HoldState {
                hold: hold.clone(),
                in_flight,
            },
        );
        self.holds.retain(|_, state| state.hold.is_effective());
    }

    /// Returns the holds that cover a request.
    fn covering(&self, properties: StatementProperties) -> impl Iterator<Item = &HoldState> {
        properties
            .iter()
            .filter_map(|target| self.holds.get(&target))
    }

    pub(crate) fn covers(&self, properties: StatementProperties) -> bool {
        self.covering(properties).next().is_some()
    }

    pub(crate) fn is_low_priority(&self, properties: StatementProperties) -> bool {
        self.covering(properties)
            .any(|state| state.hold.low_priority)
    }

    /// Returns whether all holds that cover a request permit another attempt at an engine.
    pub(crate) fn has_slot(&self, properties: StatementProperties, engine: EngineId) -> bool {
        self.covering(properties).all(|state| {
            state.in_flight < state.hold.max_in_flight
                && !state.hold.excluded_engines.contains(&engine)
        })
    }

    /// Counts a sent attempt.
    pub(crate) fn record_send(&mut self, properties: StatementProperties) {
        for target in properties.iter() {
            if let Some(state) = self.holds.get_mut(&target) {
                state.in_flight += 1;
            }
        }
    }

    /// Counts the outcome of an attempt.
    pub(crate) fn record_outcome(&mut self, properties: StatementProperties) {
        for target in properties.iter() {
            if let Some(state) = self.holds.get_mut(&target) {
                state.in_flight = state.in_flight.saturating_sub(1);
            }
        }
    }

    pub(crate) fn add_held(&mut self, request: RequestId) {
        self.held.insert(request);
    }

    pub(crate) fn remove_held(&mut self, request: RequestId) {
        self.held.remove(&request);
    }

    /// Removes and returns the held requests that can be queued again: for each hold in effect, as many as it has free
    /// slots but at most [`MAX_RELEASED_PER_HOLD`], and all requests that no hold covers any more.
    pub(crate) fn take_releasable(
        &mut self,
        properties_of: impl Fn(RequestId) -> Option<StatementProperties>,
    ) -> Vec<RequestId> {
        let free_slots = |state: &HoldState| {
            state
                .hold
                .max_in_flight
                .saturating_sub(state.in_flight)
                .min(MAX_RELEASED_PER_HOLD)
        };
        let mut slots: BTreeMap<HoldTarget, u32> = self
            .holds
            .iter()
            .map(|(target, state)| (*target, free_slots(state)))
            .collect();
        let mut released = Vec::new();
        for id in &self.held {
            let Some(properties) = properties_of(*id) else {
                continue;
            };
            let has_slot = |target: HoldTarget| slots.get(&target).is_none_or(|free| *free > 0);
            if properties.iter().all(has_slot) {
                for target in properties.iter() {
                    if let Some(free) = slots.get_mut(&target) {
                        *free -= 1;
                    }
                }
                released.push(*id);
            }
        }
        for id in &released {
            self.held.remove(id);
        }
        released
    }
}
