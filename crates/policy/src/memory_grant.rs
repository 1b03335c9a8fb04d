//! Memory grants: the memory granted to a query, and the cancellation of spilling queries to retry them with more
//! memory.

use crate::attempt_progress::{AttemptProgress, ProgressDecision};
use crate::interface::{Micros, Settings};
use crate::intervals::HOUSEKEEPING_INTERVAL;
use crate::reported_value::{MAX_REPORTED_VALUE, is_plausible};

/// Fraction of the estimate that a spill adds to later grants of the class. Also the initial margin.
const MARGIN_INCREASE: f64 = 0.2;
/// Fraction of the estimate that a success without a spill subtracts from later grants of the class.
const MARGIN_DECREASE: f64 = 0.02;
/// Run time before which a spilling query has done little work, so that restarting it is cheap.
const EARLY_SPILL_TIME: Micros = 5 * HOUSEKEEPING_INTERVAL;

/// Memory that queries of a class are granted beyond their estimate, as a fraction of the estimate. Estimates are
/// inexact, and a query without enough memory does its work several times over.
pub(crate) struct GrantMargin(f64);

impl GrantMargin {
    pub(crate) fn new() -> Self {
        GrantMargin(MARGIN_INCREASE)
    }

    /// Counts a success. `spilled` tells whether the query spilled.
    pub(crate) fn record_success(&mut self, spilled: bool) {
        let decrease = if spilled { 0.0 } else { MARGIN_DECREASE };
        self.0 = (self.0 - decrease).max(0.0);
    }

    fn record_spill(&mut self) {
        self.0 += MARGIN_INCREASE;
    }
}

/// A report that an attempt spills for lack of memory.
pub(crate) struct SpillReport {
    pub(crate) missing_mb: f64,
    /// Time since the attempt was sent.
    pub(crate) running_for: Micros,
    /// Whether the attempt may be cancelled to retry the request: only idempotent requests with attempts left. The
    /// retry budget is checked after the outcome.
    pub(crate) may_cancel_for_retry: bool,
}

/// Memory grant of a request.
#[derive(Default)]
pub(crate) struct MemoryGrant {
    /// 0: the engine decides.
    granted_mb: f64,
    /// Whether an attempt was cancelled for lack of memory.
    has_cancelled: bool,
}

impl MemoryGrant {
    /// Computes the first grant: the estimate with its margin. If memory is overcommitted, the grant is the permitted
    /// maximum, since the unused part of a grant takes no memory.
    pub(crate) fn new(estimated_mb: f64, margin: &GrantMargin, settings: &Settings) -> Self {
        let estimate = estimated_mb.clamp(0.0, MAX_REPORTED_VALUE);
        let wanted = if settings.memory_overcommit {
            MAX_REPORTED_VALUE
        } else {
            estimate * (1.0 + margin.0)
        };
        MemoryGrant {
            granted_mb: wanted.min(settings.max_grant_mb),
            has_cancelled: false,
        }
    }

    pub(crate) fn megabytes(&self) -> f64 {
        self.granted_mb
    }

    /// Processes a report that an attempt spills. The attempt is cancelled, once per request, if it spills early and
    /// the next grant can be larger.
    pub(crate) fn record_spill(
        &mut self,
        report: &SpillReport,
        attempt: &mut AttemptProgress,
        margin: &mut GrantMargin,
        max_grant_mb: f64,
    ) -> ProgressDecision {
        let is_first = attempt.record_spill();
        if is_first && !self.has_cancelled {
            margin.record_spill();
        }
        let can_grow = self.granted_mb > 0.0 && self.granted_mb < max_grant_mb;
        let is_early = report.running_for < EARLY_SPILL_TIME;
        let is_worth_a_retry = can_grow && is_early && is_plausible(report.missing_mb);
        if !report.may_cancel_for_retry || self.has_cancelled || !is_worth_a_retry {
            return ProgressDecision::Continue;
        }
        self.has_cancelled = true;
        self.granted_mb = (self.granted_mb + report.missing_mb).min(max_grant_mb);
        ProgressDecision::CancelAndRetry
    }
}
