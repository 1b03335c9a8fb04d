//! The endpoint list: updates of the known engines, and the subscription to changes.

use crate::capacity::fair_share;
use crate::engine::{Engine, Engines};
use crate::interface::{Discovery, EndpointEntry, ListScope, Micros, Readiness, Settings};

/// Backoff before subscribing again after a failed call to discovery.
const SUBSCRIBE_BACKOFF: Micros = 500_000;

/// Applies an update of the endpoint list.
pub(crate) fn apply_update(
    engines: &mut Engines,
    scope: ListScope,
    entries: &[EndpointEntry],
    settings: &Settings,
    now: Micros,
) {
    if scope != ListScope::Changes {
        // An engine that is missing from a complete list is removed: sending to it would break the service rule on
        // draining and removed engines.
        for engine in engines.values_mut() {
            engine.entry.readiness = Readiness::Removed;
        }
    }
    for entry in entries {
        update_endpoint(engines, entry, settings, now);
    }
    let is_needed = |engine: &Engine| {
        engine.entry.readiness != Readiness::Removed || !engine.in_flight().is_empty()
    };
    engines.retain(|_, engine| is_needed(engine));
}

fn update_endpoint(engines: &mut Engines, entry: &EndpointEntry, settings: &Settings, now: Micros) {
    let share = fair_share(settings, entry.kind);
    let engine = engines
        .entry(entry.engine)
        .or_insert_with(|| Engine::new(entry, share, now));
    if entry.ready_at > engine.entry.ready_at {
        engine.reset_for_new_process(entry, share, now);
    }
    engine.entry = entry.clone();
}

/// Recomputes the fair shares after a change of settings.
pub(crate) fn update_fair_shares(engines: &mut Engines, settings: &Settings) {
    for engine in engines.values_mut() {
        engine
            .limit
            .set_fair_share(fair_share(settings, engine.entry.kind));
    }
}

/// Subscription to changes of the endpoint list, if discovery requires one.
pub(crate) struct Subscription {
    /// Time at which to subscribe; `None`: subscribed, or no subscription is required.
    next_at: Option<Micros>,
}

impl Subscription {
    pub(crate) fn new(discovery: Discovery) -> Self {
        Subscription {
            next_at: (discovery == Discovery::Subscribe).then_some(0),
        }
    }

    /// Schedules another subscription after a failed call to discovery. The backoff is at most half of the interval at
    /// which a gateway without a subscription must poll.
    pub(crate) fn record_failure(&mut self, max_poll_interval: Micros, now: Micros) {
        self.next_at = Some(now + SUBSCRIBE_BACKOFF.min(max_poll_interval / 2));
    }

    /// Returns whether to subscribe now. Returns `true` only once per scheduled subscription.
    pub(crate) fn take_due(&mut self, now: Micros) -> bool {
        self.next_at.take_if(|at| *at <= now).is_some()
    }
}
