//! Slow start: a limit on the work that all gateways together send to an engine that is warming up.
//!
//! An engine fails when it is sent more than a multiple of its present capacity within an overload window. No gateway
//! sees what the others send, so each keeps to an equal share until the engine is certain to be warm.

use std::collections::VecDeque;

use crate::capacity::cores;
use crate::interface::{EndpointEntry, EngineId, Micros, Rules, Settings};
use crate::rendezvous::salted_hash;
use crate::units::Work;

/// Used fraction of the work that an engine tolerates while it warms up. The rest is a margin for random bursts and
/// slow cores.
const SAFETY_RATIO: f64 = 0.5;

/// An attempt sent within the overload window.
struct RecentSend {
    sent_at: Micros,
    /// Mean work of its class at the time.
    work: Work,
}

/// Attempts sent to an engine within the overload window, oldest first.
#[derive(Default)]
pub(crate) struct RecentSends {
    sends: VecDeque<RecentSend>,
}

impl RecentSends {
    pub(crate) fn record(&mut self, sent_at: Micros, work: Work) {
        self.sends.push_back(RecentSend { sent_at, work });
    }

    /// Returns the work sent at `since` or later.
    fn work_since(&self, since: Micros) -> Work {
        self.sends
            .iter()
            .filter(|send| send.sent_at >= since)
            .map(|send| send.work)
            .sum()
    }

    /// Removes sends that are older than the overload window.
    pub(crate) fn prune(&mut self, now: Micros, overload_window: Micros) {
        let is_old = |send: &RecentSend| send.sent_at.saturating_add(overload_window) < now;
        while self.sends.front().is_some_and(is_old) {
            self.sends.pop_front();
        }
    }
}

/// Returns whether an engine started so recently that it may not have its full capacity yet.
pub(crate) fn is_warming_up(entry: &EndpointEntry, rules: &Rules, now: Micros) -> bool {
    entry.ready_at > 0 && now < entry.ready_at.saturating_add(rules.slow_start_window)
}

/// Returns whether slow start permits sending a query of `work` to an engine now. `heaviest` is the mean work of the
/// heaviest class.
///
/// If this gateway's equal share is less than `heaviest`, the heaviest class would have to wait for warm engines.
/// Gateways then take turns by their index, in a different order at each engine. A turn lasts one overload window, and
/// the gateway that has it uses the shares of those that don't.
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
    // Number of the overload window since the start, shifted by the gateway and the engine.
    let turn_number = (now.saturating_sub(entry.ready_at) / rules.overload_window.max(1))
        .wrapping_add(settings.index.into())
        .wrapping_add(salted_hash(0, id));
    let has_turn = turn_number.is_multiple_of(turns as u64);
    let sent = recent_sends.work_since(now.saturating_sub(rules.overload_window));
    has_turn && sent + work <= equal_share * turns
}
