//! Outlier detection: engines whose failures or silence take them out of selection for a time.

use crate::capacity::max_class_threads;
use crate::class_statistics::ClassStatistics;
use crate::engine::{Engine, Engines};
use crate::engine_health::EngineHealth;
use crate::interface::{AttemptStatus, EngineId, Micros, Outcome, Settings};
use crate::intervals::HOUSEKEEPING_INTERVAL;
use crate::units::RunTime;

/// An engine is silent when an attempt has been in flight for this multiple of its class's mean run time ...
const SILENCE_MEAN_RUN_TIMES: f64 = 4.0;
/// ... and no success, rejection or progress event has come from it for this long (error responses and health checks do
/// not count).
const MIN_SILENCE: Micros = 1_000_000;
/// At most this part of the engines that are up is ejected, but always one: a fault of more is shared by all, and ejection
/// would not help.
const MAX_EJECTED_RATIO: f64 = 0.5;
/// A timer that is later than this tells that the own event loop stalled.
const MIN_EVENT_LOOP_STALL: Micros = 10 * HOUSEKEEPING_INTERVAL;

/// The engines charged with an error response to one request.
#[derive(Default)]
pub(crate) struct RequestFailures {
    charged_engines: Vec<EngineId>,
    /// More than one engine has answered with an error: the fault is the request's.
    failed_on_several_engines: bool,
}

impl RequestFailures {
    /// Records an error response. Returns the engines whose failures are to be revoked where the fault is the request's
    /// own, as another engine has answered it with an error too: such a request would have all engines ejected, one by
    /// one.
    fn record_error(&mut self, engine: EngineId) -> Option<Vec<EngineId>> {
        self.failed_on_several_engines |= self.charged_engines.iter().any(|other| *other != engine);
        if self.failed_on_several_engines {
            return Some(std::mem::take(&mut self.charged_engines));
        }
        self.charged_engines.push(engine);
        None
    }
}

/// Updates an engine's health after an outcome. `failures` are those of its request, where that is still open. A time-out
/// alone is no fault of the engine.
pub(crate) fn record_outcome(
    engines: &mut Engines,
    failures: Option<&mut RequestFailures>,
    outcome: &Outcome,
    settings: &Settings,
    now: Micros,
) {
    if outcome.status == AttemptStatus::ErrorResponse
        && let Some(revoked) = failures.and_then(|failures| failures.record_error(outcome.engine))
    {
        revoke_failures(engines, &revoked);
        return;
    }
    let Some(engine) = engines.get_mut(&outcome.engine) else {
        return;
    };
    match outcome.status {
        AttemptStatus::Succeeded => engine.health.record_success(now),
        AttemptStatus::Rejected => record_rejection(engine, settings, now),
        AttemptStatus::ErrorResponse
        | AttemptStatus::ConnectionReset
        | AttemptStatus::ConnectFailed => {
            if engine.health.record_failure() {
                eject(engines, outcome.engine, now);
            }
        }
        AttemptStatus::TimedOut | AttemptStatus::Cancelled | AttemptStatus::NotSent => {}
    }
}

fn revoke_failures(engines: &mut Engines, revoked: &[EngineId]) {
    for id in revoked {
        if let Some(engine) = engines.get_mut(id) {
            engine.health.revoke_failure();
        }
    }
}

/// The engine has rejected an attempt as full. Its limit is lowered: rejections leave it with few own queries, so that
/// selection would prefer it.
fn record_rejection(engine: &mut Engine, settings: &Settings, now: Micros) {
    engine.health.record_response(now);
    let own_threads = engine.own_threads(&settings.classes);
    engine
        .limit
        .reduce_to(own_threads, max_class_threads(&settings.classes));
}

/// Ejects an engine, unless too many are ejected already.
fn eject(engines: &mut Engines, id: EngineId, now: Micros) {
    let listed = engines.values().filter(|engine| engine.is_up()).count() as f64;
    let is_other_ejected =
        |(other, engine): &(&EngineId, &Engine)| **other != id && engine.health.is_ejected();
    let ejected = engines.iter().filter(is_other_ejected).count() as f64;
    if let Some(engine) = engines.get_mut(&id)
        && ejected + 1.0 <= (MAX_EJECTED_RATIO * listed).max(1.0)
    {
        engine.health.eject(now);
    }
}

/// Ejects engines with an overdue attempt that have sent no success, rejection or progress event for [`MIN_SILENCE`].
pub(crate) fn eject_silent_engines(
    engines: &mut Engines,
    statistics: &[ClassStatistics],
    now: Micros,
) {
    let is_overdue = |sent_at: Micros, class: usize| {
        RunTime((now - sent_at) as f64) > statistics[class].mean_run_time() * SILENCE_MEAN_RUN_TIMES
    };
    let is_silent = |engine: &Engine| {
        let health: &EngineHealth = &engine.health;
        !health.is_ejected()
            && now - health.last_response_at() > MIN_SILENCE
            && engine
                .in_flight()
                .iter()
                .any(|attempt| is_overdue(attempt.sent_at, attempt.class))
    };
    let silent: Vec<EngineId> = engines
        .iter()
        .filter(|(_, engine)| is_silent(engine))
        .map(|(id, _)| *id)
        .collect();
    for id in silent {
        eject(engines, id, now);
    }
}

/// A gateway whose event loop stalled finds every engine silent when it goes on: the time by which its own timer,
/// `due_at`, is late counts against no engine. 0 means that no timer is set yet.
pub(crate) fn exclude_event_loop_stall(engines: &mut Engines, due_at: Micros, now: Micros) {
    let late = now.saturating_sub(due_at);
    if due_at > 0 && late > MIN_EVENT_LOOP_STALL {
        for engine in engines.values_mut() {
            engine.health.exclude_from_silence(late, now);
        }
    }
}
