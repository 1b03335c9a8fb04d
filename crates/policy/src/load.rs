//! Load: what answers, reports and health checks show of an engine, and of all engines together.

use crate::capacity::THREADS_PER_CORE;
use crate::class_statistics::ClassStatistics;
use crate::interface::{AttemptStatus, Class, LoadReport, Micros, Outcome, Settings};
use crate::reported_value::is_plausible;
use crate::units::{Load, RunTime, Threads, Work};

/// Slowdown (run time by work, or by the run time without load) at which an engine is full.
pub(crate) const FULL_SLOWDOWN: f64 = 2.5;
/// The same where only run times tell of load: they tell late.
const FULL_SLOWDOWN_WITHOUT_FEEDBACK: f64 = 1.2;
/// Load of all engines before the first answer.
const INITIAL_LOAD_LEVEL: Load = Load(0.5);
/// The most that one answer shows; also what a failure shows.
const MAX_OBSERVED_LOAD: Load = Load(1.6);
/// Weight of a new answer in the load level.
const LOAD_LEVEL_WEIGHT: f64 = 0.2;
/// From this part of busy cores on, a report of busy cores does not tell how much more is waiting.
const MAX_INFORMATIVE_CPU: f64 = 0.9;
/// Time constant with which the load that an engine showed decays. If it decays too fast, a query from each of many
/// gateways keeps an engine short of memory crawling.
const DECAY_TIME_CONSTANT: Micros = 10_000_000;

/// Whether engines tell of their load by reports, or of the work that queries needed; otherwise only run times tell.
pub(crate) fn has_load_feedback(settings: &Settings) -> bool {
    settings.reports_work || settings.load_reports
}

/// Moving average of the load that answers showed, over all engines.
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

    /// Whether all engines together are over their capacity.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.level > Load(1.0)
    }
}

/// The load that an engine showed last.
#[derive(Default)]
pub(crate) struct EngineLoad {
    shown: Load,
    observed_at: Micros,
}

impl EngineLoad {
    /// Records a load that the engine has shown.
    pub(crate) fn record(&mut self, load: Load, now: Micros) {
        self.shown = load;
        self.observed_at = now;
    }

    /// The load that it showed, decaying towards what is `usual` for all engines.
    pub(crate) fn decayed(&self, usual: Load, now: Micros) -> Load {
        let age = now.saturating_sub(self.observed_at) as f64 / DECAY_TIME_CONSTANT as f64;
        usual + (self.shown - usual) * (-age).exp()
    }
}

/// What counts of a load that one answer shows.
pub(crate) fn cap_observed_load(load: Load) -> Load {
    load.min(MAX_OBSERVED_LOAD)
}

/// Load by a report: threads or memory, else busy cores while they are not all busy. `mean_threads` is the usual number
/// of threads of a query in flight.
pub(crate) fn reported_load(
    report: &LoadReport,
    capacity: Threads,
    mean_threads: Threads,
) -> Option<Load> {
    let usable = |value: Option<f64>| value.filter(|value| is_plausible(*value));
    // An engine short of memory crawls while its cores are idle: full memory counts as full cores.
    let memory = Load(usable(report.memory).unwrap_or(0.0));
    let threads = usable(report.in_flight).map(|queries| mean_threads * queries);
    let by_threads = threads.map(|threads| Load(threads / capacity).max(memory));
    let cpu = usable(report.cpu).filter(|cpu| *cpu < MAX_INFORMATIVE_CPU);
    by_threads.or(cpu.map(|cpu| Load(cpu / THREADS_PER_CORE)))
}

/// The load that an outcome shows; `None` where it tells nothing of the engine. `reported` is the load by its report.
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
        // The client came with little time left: the time-out is not the engine's.
        AttemptStatus::TimedOut if had_short_time_limit => None,
        AttemptStatus::NotSent => None,
        // An engine that fails looks idle: its report must not attract more requests.
        _ => Some(MAX_OBSERVED_LOAD),
    }
}

/// Run time of a served query by its work on all threads, or by the run time without load where no work is reported.
fn slowdown(outcome: &Outcome, class: &Class, statistics: &ClassStatistics) -> f64 {
    let run = RunTime(outcome.elapsed as f64);
    match outcome.work {
        Some(work) => run * class.threads() / Work(work as f64).max(Work(1.0)),
        None => run / statistics.unloaded_run_time(),
    }
}

/// Whether an outcome tells of the load of all engines. When all crawl nothing is answered. Where progress events tell
/// lost answers apart, a time-out is load; elsewhere, and for other failures, it tells of that engine alone.
pub(crate) fn reflects_load_level(status: AttemptStatus, settings: &Settings) -> bool {
    match status {
        AttemptStatus::Succeeded | AttemptStatus::Rejected => true,
        AttemptStatus::TimedOut => settings.progress_interval > 0,
        _ => false,
    }
}
