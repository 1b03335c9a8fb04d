//! Load of an engine and of all engines together, as observed from outcomes, load reports and health checks.

use crate::capacity::THREADS_PER_CORE;
use crate::class_statistics::ClassStatistics;
use crate::interface::{AttemptStatus, Class, LoadReport, Micros, Outcome, Settings};
use crate::reported_value::is_plausible;
use crate::units::{Load, RunTime, Threads, Work};

/// Slowdown at which an engine is full. Slowdown is the run time times threads, divided by the work, or the run time
/// divided by the unloaded run time.
pub(crate) const FULL_SLOWDOWN: f64 = 2.5;
/// Slowdown at which an engine is full if only run times reflect the load, since they reflect it late.
const FULL_SLOWDOWN_WITHOUT_FEEDBACK: f64 = 1.2;
/// Load level before the first response.
const INITIAL_LOAD_LEVEL: Load = Load(0.5);
/// Maximum load observed from one outcome or health check, and the load observed from a failure.
const MAX_OBSERVED_LOAD: Load = Load(1.6);
/// Weight of one observation in the load level.
const LOAD_LEVEL_WEIGHT: f64 = 0.2;
/// Fraction of busy cores from which a CPU report is ignored, because it does not tell how much more work is waiting.
const MAX_INFORMATIVE_CPU: f64 = 0.9;
/// Time constant of the decay of an engine's observed load. With too fast a decay, single queries from many gateways
/// keep an engine that is short of memory from recovering.
const DECAY_TIME_CONSTANT: Micros = 10_000_000;

/// Returns whether engines report their load or the work of queries. Otherwise only run times reflect the load.
pub(crate) fn has_load_feedback(settings: &Settings) -> bool {
    settings.reports_work || settings.load_reports
}

/// Moving average of the observed load over all engines.
pub(crate) struct LoadLevel {
    level: Load,
}

impl LoadLevel {
    pub(crate) fn new() -> Self {
        LoadLevel {
            level: INITIAL_LOAD_LEVEL,
        }
    }

    pub(crate) fn get(&self) -> Load {
        self.level
    }

    pub(crate) fn observe(&mut self, load: Load) {
        self.level += (load - self.level) * LOAD_LEVEL_WEIGHT;
    }

    /// Returns whether the load of all engines together exceeds their capacity.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.level > Load(1.0)
    }
}

/// Latest observed load of an engine.
#[derive(Default)]
pub(crate) struct EngineLoad {
    observed: Load,
    observed_at: Micros,
}

impl EngineLoad {
    /// Records an observed load.
    pub(crate) fn record(&mut self, load: Load, now: Micros) {
        self.observed = load;
        self.observed_at = now;
    }

    /// Returns the latest observed load, decayed towards `baseline`.
    pub(crate) fn decayed(&self, baseline: Load, now: Micros) -> Load {
        let age = now.saturating_sub(self.observed_at) as f64 / DECAY_TIME_CONSTANT as f64;
        baseline + (self.observed - baseline) * (-age).exp()
    }
}

/// Limits a load observed from one response to [`MAX_OBSERVED_LOAD`].
pub(crate) fn cap_observed_load(load: Load) -> Load {
    load.min(MAX_OBSERVED_LOAD)
}

/// Returns the load according to a report: the larger of threads and memory or, if the queries in flight are not
/// reported, the busy cores unless nearly all are busy. `mean_threads` is the mean number of threads of a query in
/// flight.
pub(crate) fn reported_load(
    report: &LoadReport,
    capacity: Threads,
    mean_threads: Threads,
) -> Option<Load> {
    let usable = |value: Option<f64>| value.filter(|value| is_plausible(*value));
    // An engine that is short of memory is slow while its cores are idle, so full memory counts as a full engine.
    let memory = Load(usable(report.memory).unwrap_or(0.0));
    let threads = usable(report.in_flight).map(|queries| mean_threads * queries);
    let by_threads = threads.map(|threads| Load(threads / capacity).max(memory));
    // Busy cores mean at least one thread per core.
    let cpu = usable(report.cpu).filter(|cpu| *cpu < MAX_INFORMATIVE_CPU);
    by_threads.or(cpu.map(|cpu| Load(cpu / THREADS_PER_CORE)))
}

/// Returns the load observed from an outcome, or `None` if the outcome says nothing about the engine. `reported` is the
/// load according to the outcome's report.
pub(crate) fn observed_load(
    outcome: &Outcome,
    reported: Option<Load>,
    class: &Class,
    statistics: &ClassStatistics,
    settings: &Settings,
) -> Option<Load> {
    let had_short_time_limit =
        settings.progress_interval > 0 && outcome.elapsed < class.deadline / 2;
    match outcome.status {
        AttemptStatus::Succeeded => reported
            .or_else(|| {
                let full_slowdown = if has_load_feedback(settings) {
                    FULL_SLOWDOWN
                } else {
                    FULL_SLOWDOWN_WITHOUT_FEEDBACK
                };
                Some(Load(slowdown(outcome, class, statistics) / full_slowdown))
            })
            .map(cap_observed_load),
        // The client had little time left: the engine did not cause the time-out.
        AttemptStatus::TimedOut if had_short_time_limit => None,
        AttemptStatus::NotSent => None,
        // A failing engine looks idle: its report must not attract more requests.
        AttemptStatus::ErrorResponse
        | AttemptStatus::Rejected
        | AttemptStatus::TimedOut
        | AttemptStatus::ConnectFailed
        | AttemptStatus::ConnectionReset
        | AttemptStatus::Cancelled => Some(MAX_OBSERVED_LOAD),
    }
}

/// Returns the slowdown of a successful query: its run time times threads divided by its work or, without reported
/// work, its run time divided by the unloaded run time.
fn slowdown(outcome: &Outcome, class: &Class, statistics: &ClassStatistics) -> f64 {
    let run_time = RunTime(outcome.elapsed as f64);
    match outcome.work {
        Some(work) => run_time * class.threads() / Work(work as f64).max(Work(1.0)),
        None => run_time / statistics.unloaded_run_time(),
    }
}

/// Returns whether an outcome reflects the load of all engines. When all engines are overloaded, requests time out.
/// With progress events, which distinguish lost responses, a time-out therefore counts as load. Without them, a
/// time-out only concerns its engine, and so do other failures.
pub(crate) fn reflects_load_level(status: AttemptStatus, settings: &Settings) -> bool {
    match status {
        AttemptStatus::Succeeded | AttemptStatus::Rejected => true,
        AttemptStatus::TimedOut => settings.progress_interval > 0,
        _ => false,
    }
}
