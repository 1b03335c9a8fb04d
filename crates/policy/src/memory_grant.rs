//! Memory grants: how much memory a query is granted, and when one that spills is cancelled to be granted more.

use crate::attempt_progress::{AttemptProgress, ProgressDecision};
use crate::interface::{Micros, Settings};
use crate::intervals::HOUSEKEEPING_INTERVAL;
use crate::reported_value::{MAX_REPORTED_VALUE, is_plausible};

/// A spill adds so much of the estimate to later grants of the class ...
const MARGIN_INCREASE: f64 = 0.2;
/// ... and an answer without one takes this off.
const MARGIN_DECREASE: f64 = 0.02;
/// A query that spills so soon after its start has done little: starting it again costs little.
const EARLY_SPILL_TIME: Micros = 5 * HOUSEKEEPING_INTERVAL;

/// Memory that queries of a class are granted beyond their estimate, as a part of it: estimates are off, and a query short
/// of memory does its work several times over.
pub(crate) struct GrantMargin(f64);

impl GrantMargin {
    pub(crate) fn new() -> Self {
        GrantMargin(MARGIN_INCREASE)
    }

    /// Counts a served query, and whether it has spilled.
    pub(crate) fn record_success(&mut self, spilled: bool) {
        let decrease = if spilled { 0.0 } else { MARGIN_DECREASE };
        self.0 = (self.0 - decrease).max(0.0);
    }

    fn record_spill(&mut self) {
        self.0 += MARGIN_INCREASE;
    }
}

/// A report that an attempt lacks memory and spills.
pub(crate) struct SpillReport {
    pub(crate) missing_mb: f64,
    /// Since the attempt was sent.
    pub(crate) running_for: Micros,
    /// Its request may be sent again.
    pub(crate) may_retry: bool,
}

/// The memory that a request is granted.
#[derive(Default)]
pub(crate) struct MemoryGrant {
    /// 0 leaves it to the engine.
    granted_mb: f64,
    /// An attempt was cancelled for want of memory.
    has_cancelled: bool,
}

impl MemoryGrant {
    /// The first grant. Where memory is overcommitted, a grant beyond the need takes nothing: as much as is permitted.
    pub(crate) fn new(estimated_mb: f64, margin: &GrantMargin, settings: &Settings) -> Self {
        let estimate = estimated_mb.clamp(0.0, MAX_REPORTED_VALUE);
        let usual = estimate * (1.0 + margin.0);
        let wanted = if settings.memory_overcommit {
            MAX_REPORTED_VALUE
        } else {
            usual
        };
        MemoryGrant {
            granted_mb: wanted.min(settings.max_grant_mb),
            has_cancelled: false,
        }
    }

    pub(crate) fn megabytes(&self) -> f64 {
        self.granted_mb
    }

    /// Follows a report that an attempt lacks memory and spills. The attempt is cancelled, once for a request, where it has only
    /// begun and the next grant can be larger.
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
        if !report.may_retry || self.has_cancelled || !is_worth_a_retry {
            return ProgressDecision::Continue;
        }
        self.has_cancelled = true;
        self.granted_mb = (self.granted_mb + report.missing_mb).min(max_grant_mb);
        ProgressDecision::CancelAndRetry
    }
}
