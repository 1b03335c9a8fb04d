//! Concurrency limit of an engine: the number of threads that this gateway may use there at once.
//!
//! The limit grows in steps while requests wait and objectives are met, and shrinks by a factor when the engine slows
//! down. It stays between one and three fair shares; only a rejection lowers it further, until the end of the control
//! period. If load reports tell how many threads other gateways use, the limit is the remaining capacity instead.

use crate::capacity::MIN_FAIR_SHARE_QUERIES;
use crate::interface::{Class, Micros};
use crate::load::FULL_SLOWDOWN;
use crate::units::{RunTime, Threads, Work};

/// Fraction of the fair share by which a limit grows in a control period, at least by one thread.
const GROWTH_RATIO: f64 = 0.3;
/// Maximum limit, in fair shares.
pub(crate) const MAX_FAIR_SHARES: f64 = 3.0;
/// Factor by which the limit of a slowed-down engine shrinks.
const BACKOFF_FACTOR: f64 = 0.8;
/// Weight of both the new report and the previous value in the average of the threads used by other gateways. Must be
/// 0.5.
const REPORT_WEIGHT: f64 = 0.5;
/// Fraction of the responses that must meet their objective for limits to grow.
const MIN_ON_TIME_RATIO: f64 = 0.8;

/// The concurrency limit of one engine.
pub(crate) struct ConcurrencyLimit {
    fair_share: Threads,
    /// Limit that applies while `other_threads` is unknown.
    limit: Threads,
    /// Sum of run time times threads in this control period. Divided by `work`, it is the slowdown.
    thread_time: Work,
    work: Work,
    /// Threads used by other gateways, according to load reports.
    other_threads: Option<Threads>,
}

impl ConcurrencyLimit {
    /// Creates a limit of one fair share.
    pub(crate) fn new(fair_share: Threads) -> Self {
        ConcurrencyLimit {
            fair_share,
            limit: fair_share,
            thread_time: Work::ZERO,
            work: Work::ZERO,
            other_threads: None,
        }
    }

    /// Sets a changed fair share. The limit is adjusted at the end of the control period.
    pub(crate) fn set_fair_share(&mut self, fair_share: Threads) {
        self.fair_share = fair_share;
    }

    /// Returns the number of threads that this gateway may use at an engine of this capacity.
    ///
    /// Fair shares are too small for a busy gateway. With many gateways they add up to more than the capacity, because
    /// each has space for at least [`MIN_FAIR_SHARE_QUERIES`]. If engines report their queries in flight, this gateway
    /// may use the capacity that others leave, but at least half its fair share. That is enough for one query, whose
    /// response brings the next report. A report stays valid until the next one, since a full engine without a report
    /// would look idle.
    pub(crate) fn threads(&self, capacity: Threads) -> Threads {
        let Some(other_threads) = self.other_threads else {
            return self.limit;
        };
        let min = Threads(self.fair_share.0 / MIN_FAIR_SHARE_QUERIES);
        (capacity - other_threads).clamp(min, self.fair_share * MAX_FAIR_SHARES)
    }

    /// Adds the run time times threads and the work of a successful query.
    pub(crate) fn record_run(&mut self, thread_time: Work, work: Work) {
        self.thread_time += thread_time;
        self.work += work;
    }

    /// Updates the threads used by other gateways from a report.
    pub(crate) fn record_other_threads(&mut self, reported: Threads) {
        let reported = reported.max(Threads::ZERO);
        let previous = self.other_threads.unwrap_or(reported);
        self.other_threads = Some((previous + reported) * REPORT_WEIGHT);
    }

    /// Lowers the limit to the threads in flight, but at least to one query of any class, after the engine has rejected
    /// an attempt as full. It applies until the end of the control period. It has no effect if load reports tell how
    /// many threads other gateways use, since [`threads`](Self::threads) does not use the limit then.
    pub(crate) fn reduce_to(&mut self, own_threads: Threads, max_class_threads: Threads) {
        self.limit = own_threads.max(max_class_threads);
    }

    /// Updates the limit at the end of a control period.
    pub(crate) fn end_period(&mut self, may_grow: bool) {
        if self.thread_time > self.work * FULL_SLOWDOWN {
            self.limit = self.limit * BACKOFF_FACTOR;
        } else if self.work > Work::ZERO && may_grow {
            self.limit += (self.fair_share * GROWTH_RATIO).max(Threads(1.0));
        }
        self.limit = self
            .limit
            .clamp(self.fair_share, self.fair_share * MAX_FAIR_SHARES);
        self.thread_time = Work::ZERO;
        self.work = Work::ZERO;
    }
}

/// Number of responses of a control period that met their objective, minus the number required for limits to grow.
#[derive(Default)]
pub(crate) struct ObjectiveBalance {
    balance: f64,
}

impl ObjectiveBalance {
    /// Counts a success. The objective includes an allowance for the work of the query.
    pub(crate) fn record_success(&mut self, class: &Class, response_time: Micros, work: Work) {
        let stretch_allowance = RunTime(class.objective_stretch * work.0 / class.threads);
        let objective = class.latency_objective as f64 + stretch_allowance.0;
        let is_on_time = response_time as f64 <= objective;
        self.balance += f64::from(is_on_time) - MIN_ON_TIME_RATIO;
    }

    /// Resets the count at the end of a control period. Returns whether enough responses met their objective.
    pub(crate) fn end_period(&mut self) -> bool {
        std::mem::take(&mut self.balance) >= 0.0
    }
}
