//! Congestion window: a limit on this gateway's threads on all engines together.
//!
//! With many gateways the least concurrency limits add up to many times an engine's cores, so that nothing binds and full
//! engines never recover. There the window bounds the load: additive increase by a query for each answer that shows
//! capacity, multiplicative decrease under load.

use crate::capacity::{engine_capacity, max_class_threads, one_query_each_exceeds_capacity};
use crate::class_statistics::Classes;
use crate::concurrency_limit::MAX_FAIR_SHARES;
use crate::interface::{EndpointEntry, Micros, Settings};
use crate::load::{LoadLevel, has_load_feedback};
use crate::units::Threads;

/// Part of the used window that is given back per unit of load level above 1.
const BACKOFF_RATIO: f64 = 0.2;
/// Least window where only run times tell of load, in queries of the widest class; otherwise it is one.
const MIN_QUERIES_WITHOUT_FEEDBACK: f64 = 0.125;
/// Part of the window that late requests may fill.
const LATE_RATIO: f64 = 0.5;
/// The window grows only while less than this many further queries of the class would fit.
const GROWTH_HEADROOM_QUERIES: f64 = 2.0;

/// The window, and what counts against it.
pub(crate) struct CongestionWindow {
    enforced: bool,
    size: Threads,
    /// Own threads in flight, by class.
    in_flight: Vec<Threads>,
    /// Pause of each class, where the window is narrower than one query.
    paused_until: Vec<Micros>,
}

impl CongestionWindow {
    /// A window that is unlimited until its initial size is set.
    pub(crate) fn new(settings: &Settings) -> Self {
        let mut window = CongestionWindow {
            enforced: false,
            size: Threads(f64::INFINITY),
            in_flight: Vec::new(),
            paused_until: Vec::new(),
        };
        window.apply_settings(settings);
        window
    }

    /// Follows changed settings; further classes are appended.
    pub(crate) fn apply_settings(&mut self, settings: &Settings) {
        self.enforced = one_query_each_exceeds_capacity(settings);
        self.in_flight.resize(settings.classes.len(), Threads::ZERO);
        self.paused_until.resize(settings.classes.len(), 0);
    }

    /// Whether the window binds. It is updated in any case.
    pub(crate) fn is_enforced(&self) -> bool {
        self.enforced
    }

    /// Sets the initial size at the first endpoint list that is not empty; later calls change nothing. If the window stayed
    /// unlimited until the first answers, all gateways together would overload a full fleet.
    pub(crate) fn set_initial_size<'a>(
        &mut self,
        settings: &Settings,
        entries: impl Iterator<Item = &'a EndpointEntry>,
    ) {
        let mut entries = entries.peekable();
        if self.size.0.is_infinite() && entries.peek().is_some() {
            let capacity: Threads = entries
                .map(|entry| engine_capacity(settings, entry.kind))
                .sum();
            let equal_share = Threads(capacity.0 / f64::from(settings.gateways));
            self.size = equal_share.max(max_class_threads(&settings.classes)) * MAX_FAIR_SHARES;
        }
    }

    pub(crate) fn add_in_flight(&mut self, class: usize, threads: Threads) {
        self.in_flight[class] += threads;
    }

    pub(crate) fn remove_in_flight(&mut self, class: usize, threads: Threads) {
        self.in_flight[class] -= threads;
    }

    /// Counts the threads in flight anew, from the class and threads of each attempt.
    pub(crate) fn recount_in_flight(&mut self, attempts: impl Iterator<Item = (usize, Threads)>) {
        self.in_flight.fill(Threads::ZERO);
        for (class, threads) in attempts {
            self.in_flight[class] += threads;
        }
    }

    /// Whether a query of a class fits. While nothing of equal or higher value is in flight, a query that is not late always
    /// does. Late ones fill only [`LATE_RATIO`] of the window. Nothing fits during the pause of its class.
    pub(crate) fn fits(&self, classes: Classes, class: usize, late: bool, now: Micros) -> bool {
        let ahead = self.competing_threads(classes, class);
        let limit = self.size * if late { LATE_RATIO } else { 1.0 };
        let fits =
            (ahead == Threads::ZERO && !late) || ahead + classes.config(class).threads() <= limit;
        fits && now >= self.paused_until[class]
    }

    /// Follows an answer of a class that tells of the load of all engines.
    pub(crate) fn update(
        &mut self,
        classes: Classes,
        class: usize,
        load_level: &LoadLevel,
        settings: &Settings,
        now: Micros,
    ) {
        let threads = classes.config(class).threads();
        if load_level.is_overloaded() {
            self.decrease(threads, load_level, settings);
        } else if self.competing_threads(classes, class) + threads * GROWTH_HEADROOM_QUERIES
            > self.size
        {
            self.size += threads;
        }
        self.pause_class(classes, class, now);
    }

    /// Gives back a part of what is in use, by how far the load is over capacity.
    fn decrease(&mut self, threads: Threads, load_level: &LoadLevel, settings: &Settings) {
        let in_flight: Threads = self.in_flight.iter().copied().sum();
        let min_queries = if has_load_feedback(settings) {
            1.0
        } else {
            MIN_QUERIES_WITHOUT_FEEDBACK
        };
        let min = max_class_threads(&settings.classes) * min_queries;
        let used = self.size.min(in_flight + threads);
        self.size = (used * (1.0 - BACKOFF_RATIO * (load_level.get().0 - 1.0))).max(min);
    }

    /// Where the window is less than one query, a query from each of many gateways is too much: the class pauses after
    /// each until the mean is kept.
    fn pause_class(&mut self, classes: Classes, class: usize, now: Micros) {
        let queries_over_window = classes.config(class).threads() / self.size - 1.0;
        let pause = classes.statistics(class).mean_run_time() * queries_over_window.max(0.0);
        self.paused_until[class] = self.paused_until[class].max(now + pause.0 as Micros);
    }

    /// Own threads in flight of classes with at least as much priority weight for their work: lower ones don't keep a
    /// class out.
    fn competing_threads(&self, classes: Classes, class: usize) -> Threads {
        let value = classes.weight_per_work(class);
        let counted = (0..classes.count()).filter(|other| classes.weight_per_work(*other) >= value);
        counted.map(|other| self.in_flight[other]).sum()
    }
}
