//! Congestion window: a limit on the threads that this gateway uses on all engines together.
//!
//! With many gateways, the minimum concurrency limits add up to many times an engine's cores, so they don't bound the
//! load and overloaded engines never recover. The window bounds it instead: it grows by one query for each response
//! that shows free capacity (additive increase), and shrinks in proportion under overload (multiplicative decrease).

use crate::capacity::{engine_capacity, max_class_threads, one_query_each_exceeds_capacity};
use crate::class_statistics::Classes;
use crate::concurrency_limit::MAX_FAIR_SHARES;
use crate::interface::{EndpointEntry, Micros, Settings};
use crate::load::{LoadLevel, has_load_feedback};
use crate::units::Threads;

/// Fraction of the used window by which the window shrinks per unit of load level above 1.
const BACKOFF_RATIO: f64 = 0.2;
/// Minimum window if only run times reflect the load, in queries of the class with the most threads; otherwise it is
/// one query. Below one query, a class pauses between its queries.
const MIN_QUERIES_WITHOUT_FEEDBACK: f64 = 0.125;
/// Fraction of the window that late requests may fill.
const LATE_RATIO: f64 = 0.5;
/// The window grows only if fewer than this many further queries of the class fit into it.
const GROWTH_HEADROOM_QUERIES: f64 = 2.0;

/// The congestion window and its usage.
pub(crate) struct CongestionWindow {
    enforced: bool,
    size: Threads,
    /// This gateway's threads in flight, by class.
    in_flight: Vec<Threads>,
    /// End of the pause of each class whose queries use more threads than the window.
    paused_until: Vec<Micros>,
}

impl CongestionWindow {
    /// Creates a window that is unlimited until its initial size is set.
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

    /// Applies changed settings. New classes are appended.
    pub(crate) fn apply_settings(&mut self, settings: &Settings) {
        self.enforced = one_query_each_exceeds_capacity(settings);
        self.in_flight.resize(settings.classes.len(), Threads::ZERO);
        self.paused_until.resize(settings.classes.len(), 0);
    }

    /// Returns whether the window is enforced. It is updated in any case.
    pub(crate) fn is_enforced(&self) -> bool {
        self.enforced
    }

    /// Sets the initial size for the first endpoint list that is not empty. Later calls have no effect. If the window
    /// were unlimited until the first responses, all gateways together would overload a busy fleet.
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

    /// Recomputes the threads in flight from the class and threads of each attempt.
    pub(crate) fn recount_in_flight(&mut self, attempts: impl Iterator<Item = (usize, Threads)>) {
        self.in_flight.fill(Threads::ZERO);
        for (class, threads) in attempts {
            self.in_flight[class] += threads;
        }
    }

    /// Returns whether a query of a class fits into the window. During the pause of its class, no query fits.
    /// Otherwise, a query that is not late fits while no query of a class with equal or higher weight per work is in
    /// flight, and late queries use at most [`LATE_RATIO`] of the window.
    pub(crate) fn fits(&self, classes: Classes, class: usize, late: bool, now: Micros) -> bool {
        let competing = self.competing_threads(classes, class);
        let limit = self.size * if late { LATE_RATIO } else { 1.0 };
        let fits = (competing == Threads::ZERO && !late)
            || competing + classes.config(class).threads() <= limit;
        fits && now >= self.paused_until[class]
    }

    /// Updates the window after an outcome that reflects the load of all engines. `class` is the class of its request.
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

    /// Shrinks the window by a part of the used window, in proportion to the load above capacity.
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

    /// Pauses a class whose queries use more threads than the window, because one query from each of many gateways is
    /// too much then. The pause keeps the mean usage within the window.
    fn pause_class(&mut self, classes: Classes, class: usize, now: Micros) {
        let queries_over_window = classes.config(class).threads() / self.size - 1.0;
        let pause = classes.statistics(class).mean_run_time() * queries_over_window.max(0.0);
        self.paused_until[class] = self.paused_until[class].max(now + pause.0 as Micros);
    }

    /// Returns this gateway's threads in flight of classes with equal or higher weight per work. Queries of other
    /// classes don't count against a class.
    fn competing_threads(&self, classes: Classes, class: usize) -> Threads {
        let weight = classes.weight_per_work(class);
        let competing =
            (0..classes.count()).filter(|other| classes.weight_per_work(*other) >= weight);
        competing.map(|other| self.in_flight[other]).sum()
    }
}
