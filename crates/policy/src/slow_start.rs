//! Slow start: an engine that warms up gets no more from all gateways together than it is sure to bear.
//!
//! An engine fails when it is sent more than a multiple of its present capacity within an overload window. No gateway
//! sees what the others send, so each keeps to its equal part, from the start of the engine until it is surely warm.

use std::collections::VecDeque;

use crate::capacity::cores;
use crate::interface::{EndpointEntry, EngineId, Micros, Rules, Settings};
use crate::rendezvous::rendezvous_hash;
use crate::units::Work;

/// Used part of what a warming engine is sure to bear; the rest covers chance and slow cores.
const SAFETY_RATIO: f64 = 0.5;

/// A send within the overload window.
struct RecentSend {
    at: Micros,
    /// Mean work of its class when it was sent.
    work: Work,
}

/// Sends to an engine within the overload window, oldest first.
#[derive(Default)]
pub(crate) struct RecentSends {
    sends: VecDeque<RecentSend>,
}

impl RecentSends {
    pub(crate) fn record(&mut self, at: Micros, work: Work) {
        self.sends.push_back(RecentSend { at, work });
    }

    /// Work sent at `since` or later.
    fn work_since(&self, since: Micros) -> Work {
        self.sends
            .iter()
            .filter(|send| send.at >= since)
            .map(|send| send.work)
            .sum()
    }

    /// Removes what is older than the overload window.
    pub(crate) fn prune(&mut self, now: Micros, overload_window: Micros) {
        let is_old = |send: &RecentSend| send.at.saturating_add(overload_window) < now;
        while self.sends.front().is_some_and(is_old) {
            self.sends.pop_front();
        }
    }
}

/// Whether an engine has started so recently that it may not bear its usual load yet.
pub(crate) fn is_warming_up(entry: &EndpointEntry, rules: &Rules, now: Micros) -> bool {
    entry.ready_at > 0 && now < entry.ready_at.saturating_add(rules.slow_start_window)
}

/// Whether a query of `work` may be sent to an engine now as far as slow start is concerned. `heaviest` is the mean work
/// of the heaviest class.
///
/// Where this gateway's equal part is less than the heaviest class's mean work, that class would have to wait for warm
/// engines. Gateways then take turns by their index, one overload window each and in another order at each engine, and
/// each uses the parts of those that don't have the turn.
pub(crate) fn is_within_slow_start_budget(
    id: EngineId,
    entry: &EndpointEntry,
    recent_sends: &RecentSends,
    work: Work,
    heaviest: Work,
    settings: &Settings,
    now: Micros,
) -> bool {
    let rules = &settings.rules;
    if !is_warming_up(entry, rules, now) {
        return true;
    }
    let gateways = f64::from(settings.gateways);
    let start_cores = rules.start_capacity * cores(settings, entry.kind);
    let tolerated_work = rules.overload_factor * start_cores * rules.overload_window as f64;
    let equal_share = Work(SAFETY_RATIO * tolerated_work / gateways);
    let turns = (heaviest / equal_share).ceil().clamp(1.0, gateways);
    let window_number = (now.saturating_sub(entry.ready_at) / rules.overload_window.max(1))
        .wrapping_add(settings.index.into())
        .wrapping_add(rendezvous_hash(0, id));
    let has_turn = window_number.is_multiple_of(turns as u64);
    let sent = recent_sends.work_since(now.saturating_sub(rules.overload_window));
    has_turn && sent + work <= equal_share * turns
}
