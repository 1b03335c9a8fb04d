//! How much may be in flight: a concurrency limit for each engine, and a congestion window over all of them.

use crate::interface::{AttemptStatus, EngineId, LoadReport, Micros, Outcome, Settings};
use crate::state::{Controller, Engine};

const THREADS_PER_CORE: f64 = 2.0; // That all gateways together run under pressure (DESIGN, ours).
const GROWTH: f64 = 0.3; // Part of its fair share by which a limit grows in a period; one thread at least.
const MAX_GROWTH: f64 = 3.0; // Limits grow to this multiple of the fair share (DESIGN, ours).
const LIMIT_BACKOFF: f64 = 0.8; // Factor on the limit of an engine that has slowed down.
const MIN_QUERIES: f64 = 2.0; // A limit never falls under this many queries' worth of threads (DESIGN, ours).
const FULL_SLOWDOWN: f64 = 2.5; // Run time over the work, or the undisturbed run, at which an engine is full.
const FULL_SLOWDOWN_BLIND: f64 = 1.2; // The same where only run times tell of load: they tell late.
/// Load level before the first answer. Loads are relative: 1 is two threads a core.
pub(crate) const INITIAL_LOAD_LEVEL: f64 = 0.5;
const MAX_LOAD: f64 = 1.6; // The most that one answer shows.
const LOAD_WEIGHT: f64 = 0.2; // Weight of a new answer in the load level.
const OTHERS_WEIGHT: f64 = 0.5; // Weight of a new report in the threads of other gateways.
const WINDOW_BACKOFF: f64 = 0.2; // Part of the congestion window that is given back at twice the full load.
const MIN_WINDOW_BLIND: f64 = 0.125; // Least window without load feedback, in widest queries; otherwise one.
const MAX_CPU_TOLD: f64 = 0.9; // Busy cores say nothing of the load beyond this part.
/// Report values from here on are ignored. One absurd value would spoil the averages for good.
pub(crate) const MAX_REPORTED: f64 = 1e6;

/// Whether the fair shares of an engine's capacity, of all gateways together, exceed it.
pub(crate) fn needs_window(settings: &Settings, widest_class: f64) -> bool {
    let cores = settings.cores.iter().copied().fold(1.0, f64::max);
    THREADS_PER_CORE * cores < widest_class * f64::from(settings.gateways)
}

impl Controller {
    /// Threads at which an engine counts as full.
    fn capacity(&self, engine: &Engine) -> f64 {
        THREADS_PER_CORE * self.cores(engine.entry.kind)
    }

    /// This gateway's threads on an engine of this kind, all gateways being equal.
    pub(crate) fn fair_share(&self, kind: Option<usize>) -> f64 {
        let equal_part = THREADS_PER_CORE * self.cores(kind) / f64::from(self.settings.gateways);
        equal_part.max(MIN_QUERIES * self.widest_class)
    }

    /// Threads that this gateway may run on an engine now.
    pub(crate) fn concurrency_limit(&self, engine: &Engine) -> f64 {
        let Some(others) = engine.other_threads else { return engine.concurrency_limit };
        // Equal parts leave a busy gateway short and, with many gateways, add up to too much. Where engines
        // report what they run, this gateway has what others leave, at least one query: that one brings the
        // next report. A report must not expire in silence, or a full engine would look idle.
        let share = engine.fair_share;
        (self.capacity(engine) - others).clamp(share / MIN_QUERIES, MAX_GROWTH * share)
    }

    /// Raises limits while requests wait and objectives are met; lowers those of engines that slow down.
    pub(crate) fn update_concurrency_limits(&mut self) {
        let may_grow = self.any_queued() && self.objective_balance >= 0.0;
        for engine in self.engines.values_mut() {
            if engine.run_time > FULL_SLOWDOWN * engine.work {
                engine.concurrency_limit *= LIMIT_BACKOFF;
            } else if engine.work > 0.0 && may_grow {
                engine.concurrency_limit += (GROWTH * engine.fair_share).max(1.0);
            }
            let max = MAX_GROWTH * engine.fair_share;
            engine.concurrency_limit = engine.concurrency_limit.clamp(engine.fair_share, max);
            (engine.run_time, engine.work) = (0.0, 0.0);
        }
        self.objective_balance = 0.0;
    }

    /// Opens the congestion window at the first endpoint list. Unlimited until the first answers of a full
    /// fleet, all gateways together would overload it.
    pub(crate) fn open_congestion_window(&mut self) {
        if self.congestion_window.is_infinite() && !self.engines.is_empty() {
            let capacity: f64 = self.engines.values().map(|engine| self.capacity(engine)).sum();
            let equal_part = capacity / f64::from(self.settings.gateways);
            self.congestion_window = MAX_GROWTH * equal_part.max(self.widest_class);
        }
    }

    pub(crate) fn on_health_check(&mut self, id: EngineId, report: Option<LoadReport>) {
        let Some(load) = self.reported_load(id, report.as_ref()) else { return };
        let Some(engine) = self.engines.get_mut(&id) else { return };
        (engine.load, engine.load_at) = (load.min(MAX_LOAD), self.now);
        if self.settings.reports_in_flight {
            self.load_level += (engine.load - self.load_level) * LOAD_WEIGHT;
        }
    }

    /// Load of an engine by its report: threads or memory, else busy cores while they are not all busy.
    fn reported_load(&self, id: EngineId, report: Option<&LoadReport>) -> Option<f64> {
        let usable = |value: Option<f64>| value.filter(|v| (0.0..MAX_REPORTED).contains(v));
        let (engine, report) = (self.engines.get(&id)?, report?);
        // An engine short of memory crawls while its cores are idle: full memory counts as full cores.
        let memory = usable(report.memory).unwrap_or(0.0);
        let threads = usable(report.in_flight)
            .map(|queries| (queries * self.mean_threads_in_flight() / self.capacity(engine)).max(memory));
        let cpu = usable(report.cpu).filter(|cpu| *cpu < MAX_CPU_TOLD);
        threads.or(cpu.map(|cpu| cpu / THREADS_PER_CORE))
    }

    /// Updates the load of the engine and, where the outcome tells of the load of all, the congestion window.
    /// With many gateways the least limits add up to many times an engine's cores, so that nothing binds and
    /// full engines never recover: there the window bounds the own threads on all engines together.
    pub(crate) fn update_load(&mut self, class: usize, outcome: &Outcome) {
        let reported = self.reported_load(outcome.engine, outcome.report.as_ref());
        let Some(load) = self.observed_load(class, outcome, reported) else { return };
        let load = load.min(MAX_LOAD);
        self.record_engine_load(class, outcome.engine, load, reported);
        // When all engines crawl nothing is answered. Where progress events tell lost answers apart, a
        // time-out is load; elsewhere, and for other failures, it tells of that engine alone.
        let tells_load = match outcome.status {
            AttemptStatus::Succeeded | AttemptStatus::Rejected => true,
            AttemptStatus::TimedOut => self.settings.progress_interval > 0,
            _ => false,
        };
        if tells_load {
            self.load_level += (load - self.load_level) * LOAD_WEIGHT;
            self.update_congestion_window(class);
            self.pause_class(class);
        }
    }

    /// The load that an outcome shows; `None` where it tells nothing of the engine.
    fn observed_load(&self, class: usize, outcome: &Outcome, reported: Option<f64>) -> Option<f64> {
        let (config, elapsed) = (&self.settings.classes[class], outcome.elapsed as f64);
        let slowdown = || match outcome.work {
            Some(work) => elapsed * config.threads / (work as f64).max(1.0),
            None => elapsed / self.classes[class].base_run,
        };
        let full_slowdown = if self.no_load_feedback { FULL_SLOWDOWN_BLIND } else { FULL_SLOWDOWN };
        let short = self.settings.progress_interval > 0 && outcome.elapsed < config.deadline / 2;
        match outcome.status {
            AttemptStatus::Succeeded => reported.or_else(|| Some(slowdown() / full_slowdown)),
            // The client came with little time left: the time-out is not the engine's.
            AttemptStatus::TimedOut if short => None,
            AttemptStatus::NotSent => None,
            // An engine that fails looks idle: its report must not attract more requests.
            _ => Some(MAX_LOAD),
        }
    }

    fn record_engine_load(&mut self, class: usize, id: EngineId, load: f64, reported: Option<f64>) {
        let classes = &self.settings.classes;
        let Some(engine) = self.engines.get(&id) else { return };
        let (own_threads, capacity) = (engine.own_threads(classes), self.capacity(engine));
        let Some(engine) = self.engines.get_mut(&id) else { return };
        (engine.load, engine.load_at) = (load, self.now);
        if let Some(reported) = reported.filter(|_| self.settings.reports_in_flight) {
            let others = (reported * capacity - own_threads - classes[class].threads).max(0.0);
            engine.other_threads = Some((engine.other_threads.unwrap_or(others) + others) * OTHERS_WEIGHT);
        }
    }

    /// Additive increase by a query for an answer that shows capacity, multiplicative decrease under load.
    fn update_congestion_window(&mut self, class: usize) {
        let threads = self.settings.classes[class].threads;
        if self.load_level > 1.0 {
            let in_flight = self.classes.iter().map(|c| c.threads_in_flight).sum::<f64>();
            let window = self.congestion_window.min(in_flight + threads);
            let min = self.widest_class * if self.no_load_feedback { MIN_WINDOW_BLIND } else { 1.0 };
            self.congestion_window = (window * (1.0 - WINDOW_BACKOFF * (self.load_level - 1.0))).max(min);
        } else if self.threads_of_equal_or_higher_value(class) + 2.0 * threads > self.congestion_window {
            self.congestion_window += threads;
        }
    }

    /// Where the window is less than one query, a query from each of many gateways is too much: the class
    /// pauses after each until the mean is kept.
    fn pause_class(&mut self, class: usize) {
        let threads = self.settings.classes[class].threads;
        let state = &mut self.classes[class];
        let pause = state.mean_run * (threads / self.congestion_window - 1.0).max(0.0);
        state.paused_until = state.paused_until.max(self.now + pause as Micros);
    }

    /// Own threads in flight of classes with at least as much priority weight for their work.
    pub(crate) fn threads_of_equal_or_higher_value(&self, class: usize) -> f64 {
        let value = self.weight_per_work(class);
        let ahead = (0..self.classes.len()).filter(|other| self.weight_per_work(*other) >= value);
        ahead.map(|other| self.classes[other].threads_in_flight).sum()
    }
}
