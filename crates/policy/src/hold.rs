//! Holds: limits on the requests of a statement kind or a table group, and the requests that they block.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{EngineId, Hold, HoldTarget, RequestId};

/// At most this many requests per hold go back to their queues at each housekeeping: it bounds the work of one batch.
const MAX_UNBLOCKED_PER_HOLD: u32 = 64;

/// What of a request a hold may name.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HoldTargets {
    pub(crate) kind: Option<u64>,
    pub(crate) group: Option<u64>,
}

impl HoldTargets {
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

/// A hold with the number of attempts in flight that it covers.
struct HoldState {
    hold: Hold,
    in_flight: u32,
}

/// The holds in effect, and the requests that wait for one of their slots. Those stand apart from their class queues, so
/// that nobody waits behind them.
#[derive(Default)]
pub(crate) struct Holds {
    holds: BTreeMap<HoldTarget, HoldState>,
    blocked: BTreeSet<RequestId>,
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

    /// The holds that cover a request.
    fn covering(&self, targets: HoldTargets) -> impl Iterator<Item = &HoldState> {
        targets.iter().filter_map(|target| self.holds.get(&target))
    }

    pub(crate) fn covers(&self, targets: HoldTargets) -> bool {
        self.covering(targets).next().is_some()
    }

    pub(crate) fn is_low_priority(&self, targets: HoldTargets) -> bool {
        self.covering(targets).any(|state| state.hold.low_priority)
    }

    /// Whether all holds on a request have a slot for it at an engine.
    pub(crate) fn has_slot(&self, targets: HoldTargets, engine: EngineId) -> bool {
        self.covering(targets).all(|state| {
            state.in_flight < state.hold.max_in_flight
                && !state.hold.excluded_engines.contains(&engine)
        })
    }

    /// Counts an attempt that is sent.
    pub(crate) fn record_send(&mut self, targets: HoldTargets) {
        for target in targets.iter() {
            if let Some(state) = self.holds.get_mut(&target) {
                state.in_flight += 1;
            }
        }
    }

    /// Counts an attempt whose outcome has come.
    pub(crate) fn record_outcome(&mut self, targets: HoldTargets) {
        for target in targets.iter() {
            if let Some(state) = self.holds.get_mut(&target) {
                state.in_flight = state.in_flight.saturating_sub(1);
            }
        }
    }

    pub(crate) fn block(&mut self, request: RequestId) {
        self.blocked.insert(request);
    }

    pub(crate) fn unblock(&mut self, request: RequestId) {
        self.blocked.remove(&request);
    }

    /// Takes out blocked requests to be queued again: as many as their holds have slots, and no more than can be tried at
    /// once.
    pub(crate) fn take_unblocked(
        &mut self,
        targets_of: impl Fn(RequestId) -> Option<HoldTargets>,
    ) -> Vec<RequestId> {
        let free_slots = |state: &HoldState| {
            state
                .hold
                .max_in_flight
                .saturating_sub(state.in_flight)
                .min(MAX_UNBLOCKED_PER_HOLD)
        };
        let mut slots: BTreeMap<HoldTarget, u32> = self
            .holds
            .iter()
            .map(|(target, state)| (*target, free_slots(state)))
            .collect();
        let mut unblocked = Vec::new();
        for id in &self.blocked {
            let Some(targets) = targets_of(*id) else {
                continue;
            };
            let has_slot = |target: HoldTarget| slots.get(&target).is_none_or(|free| *free > 0);
            if targets.iter().all(has_slot) {
                for target in targets.iter() {
                    if let Some(free) = slots.get_mut(&target) {
                        *free -= 1;
                    }
                }
                unblocked.push(*id);
            }
        }
        for id in &unblocked {
            self.blocked.remove(id);
        }
        unblocked
    }
}
