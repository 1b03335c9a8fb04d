//! Outlier detection: temporarily excludes failing and silent engines from endpoint selection.

use crate::capacity::max_class_threads;
use crate::class_statistics::ClassStatistics;
use crate::engine::{Engine, Engines};
use crate::engine_health::EngineHealth;
use crate::interface::{AttemptStatus, EngineId, Micros, Outcome, Settings};
use crate::intervals::HOUSEKEEPING_INTERVAL;
use crate::units::RunTime;

/// Time in flight, in mean run times of the class, after which an attempt is overdue. An engine is silent if it has an
/// overdue attempt and has sent nothing for [`MIN_SILENCE`].
const SILENCE_MEAN_RUN_TIMES: f64 = 4.0;
/// Time without a success, rejection or progress event after which an engine with an overdue attempt is silent. Error
/// responses and health checks don't count.
const MIN_SILENCE: Micros = 1_000_000;
/// At most this fraction of the engines that are up is ejected at once, but always at least one. A fault of more
/// engines has a common cause, against which ejection does not help.
const MAX_EJECTED_RATIO: f64 = 0.5;
/// Delay of this gateway's timer above which its event loop counts as stalled.
const MIN_EVENT_LOOP_STALL: Micros = 10 * HOUSEKEEPING_INTERVAL;

/// Error responses to one request.
#[derive(Default)]
pub(crate) struct RequestFailures {
    /// Engines whose failure rate includes an error response to this request.
    charged_engines: Vec<EngineId>,
    /// Whether more than one engine returned an error, so that the request itself is at fault.
    failed_on_several_engines: bool,
}

impl RequestFailures {
    /// Records an error response. Returns the engines whose failures must be revoked if another engine returned an
    /// error too, since the request itself is at fault then. Without this, such a request would get all engines
    /// ejected, one after the other.
    fn record_error(&mut self, engine: EngineId) -> Option<Vec<EngineId>> {
        self.failed_on_several_engines |= self.charged_engines.iter().any(|other| *other != engine);
        if self.failed_on_several_engines {
            return Some(std::mem::take(&mut self.charged_engines));
        }
        self.charged_engines.push(engine);
        None
    }
}

/// Updates an engine's health after an outcome. `failures` are those of the request, if it is still open. Time-outs
/// don't count as failures of the engine.
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

/// Lowers the concurrency limit of an engine that has rejected an attempt as full. Otherwise endpoint selection would
/// prefer the engine, because rejections leave it with few queries of this gateway.
fn record_rejection(engine: &mut Engine, settings: &Settings, now: Micros) {
    engine.health.record_activity(now);
    let own_threads = engine.own_threads(&settings.classes);
    engine
        .limit
        .reduce_to(own_threads, max_class_threads(&settings.classes));
}

/// Ejects an engine unless too many engines are ejected already.
fn eject(engines: &mut Engines, id: EngineId, now: Micros) {
    let up = engines.values().filter(|engine| engine.is_up()).count() as f64;
    let is_other_ejected =
        |(other, engine): &(&EngineId, &Engine)| **other != id && engine.health.is_ejected();
    let ejected = engines.iter().filter(is_other_ejected).count() as f64;
    if let Some(engine) = engines.get_mut(&id)
        && ejected + 1.0 <= (MAX_EJECTED_RATIO * up).max(1.0)
    {
        engine.health.eject(now);
    }
}

/// Ejects engines that have an overdue attempt and have sent no success, rejection or progress event for
/// [`MIN_SILENCE`].
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
            && now - health.last_active_at() > MIN_SILENCE
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

/// Excludes a stall of this gateway's event loop from the silence of all engines, which would all look silent after it.
/// The stall is the delay of the timer that was due at `due_at`; 0 means that no timer was set yet.
pub(crate) fn exclude_event_loop_stall(engines: &mut Engines, due_at: Micros, now: Micros) {
    let delay = now.saturating_sub(due_at);
    if due_at > 0 && delay > MIN_EVENT_LOOP_STALL {
        for engine in engines.values_mut() {
            engine.health.exclude_from_silence(delay, now);
        }
    }
}
