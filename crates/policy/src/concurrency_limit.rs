//! Concurrency limit of an engine: how many threads this gateway may use there at once.
//!
//! It grows by steps while requests wait and objectives are met, and falls by a factor when the engine slows down. It stays
//! between one and three fair shares; only a rejection lowers it further, until the end of the control period. Where load
//! reports tell what other gateways use, it is what they leave.

use crate::capacity::MIN_FAIR_SHARE_QUERIES;
use crate::interface::{Class, Micros};
use crate::load::FULL_SLOWDOWN;
use crate::units::{RunTime, Threads, Work};

/// Part of its fair share by which a limit grows in a control period; one thread at least.
const GROWTH_RATIO: f64 = 0.3;
/// Limits grow to this multiple of the fair share.
pub(crate) const MAX_FAIR_SHARES: f64 = 3.0;
/// Factor on the limit of an engine that has slowed down.
const BACKOFF_FACTOR: f64 = 0.8;
/// Weight of a new report in the threads that other gateways use.
const REPORT_WEIGHT: f64 = 0.5;
/// Part of the answers that must be within their objective for limits to grow.
const MIN_ON_TIME_RATIO: f64 = 0.8;

/// The concurrency limit of one engine.
pub(crate) struct ConcurrencyLimit {
    fair_share: Threads,
    /// Limit while nothing is known of the other gateways.
    limit: Threads,
    /// This period's sums of run time on all threads and of work. Their quotient is the slowdown.
    run_time: Work,
    work: Work,
    /// Threads that other gateways use, by the load reports.
    other_threads: Option<Threads>,
}

impl ConcurrencyLimit {
    /// A limit that starts at the fair share.
    pub(crate) fn new(fair_share: Threads) -> Self {
        ConcurrencyLimit {
            fair_share,
            limit: fair_share,
            run_time: Work::ZERO,
            work: Work::ZERO,
            other_threads: None,
        }
    }

    /// A changed fair share; the limit follows at the end of the period.
    pub(crate) fn set_fair_share(&mut self, fair_share: Threads) {
        self.fair_share = fair_share;
    }

    /// Threads that this gateway may use at an engine of this capacity.
    ///
    /// Equal parts leave a busy gateway short and, with many gateways, add up to too much. Where engines report what they
    /// run, this gateway has what others leave, but at least half its fair share, which holds one query: its answer brings the next report. The last
    /// report stays valid until the next one, since a full engine without a report would look idle.
    pub(crate) fn threads(&self, capacity: Threads) -> Threads {
        let Some(other_threads) = self.other_threads else {
            return self.limit;
        };
        let min = Threads(self.fair_share.0 / MIN_FAIR_SHARE_QUERIES);
        (capacity - other_threads).clamp(min, self.fair_share * MAX_FAIR_SHARES)
    }

    /// Adds a served query: its run time on all threads, and its work.
    pub(crate) fn record_run(&mut self, run_time: Work, work: Work) {
        self.run_time += run_time;
        self.work += work;
    }

    /// Updates the threads that other gateways use from a report.
    pub(crate) fn record_other_threads(&mut self, reported: Threads) {
        let reported = reported.max(Threads::ZERO);
        let previous = self.other_threads.unwrap_or(reported);
        self.other_threads = Some((previous + reported) * REPORT_WEIGHT);
    }

    /// Lowers the limit to what is in flight, until the end of the control period, after the engine has rejected an attempt
    /// as full; at least one query of the widest class. Without effect where load reports tell what other gateways use:
    /// [`threads`](Self::threads) does not read the limit then.
    pub(crate) fn reduce_to(&mut self, own_threads: Threads, max_class_threads: Threads) {
        self.limit = own_threads.max(max_class_threads);
    }

    /// Ends a control period.
    pub(crate) fn end_period(&mut self, may_grow: bool) {
        if self.run_time > self.work * FULL_SLOWDOWN {
            self.limit = self.limit * BACKOFF_FACTOR;
        } else if self.work > Work::ZERO && may_grow {
            self.limit += (self.fair_share * GROWTH_RATIO).max(Threads(1.0));
        }
        self.limit = self
            .limit
            .clamp(self.fair_share, self.fair_share * MAX_FAIR_SHARES);
        self.run_time = Work::ZERO;
        self.work = Work::ZERO;
    }
}

/// Answers of a control period within their objective, less the number that must be for limits to grow.
#[derive(Default)]
pub(crate) struct ObjectiveBalance {
    balance: f64,
}

impl ObjectiveBalance {
    /// Counts a served request. The objective allows for the work that the query needed.
    pub(crate) fn record_success(&mut self, class: &Class, took: Micros, work: Work) {
        let stretch_allowance = RunTime(class.objective_stretch * work.0 / class.threads);
        let objective = class.latency_objective as f64 + stretch_allowance.0;
        let is_on_time = took as f64 <= objective;
        self.balance += f64::from(is_on_time) - MIN_ON_TIME_RATIO;
    }

    /// Ends a control period. Returns whether enough answers were within their objective.
    pub(crate) fn end_period(&mut self) -> bool {
        std::mem::take(&mut self.balance) >= 0.0
    }
}
