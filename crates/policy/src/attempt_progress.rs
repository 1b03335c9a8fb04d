//! Progress of attempts: detects slow and lost attempts, and decides whether to cancel them or to abandon their
//! requests.
//!
//! Each attempt gets a new query plan, and a bad plan occupies threads and memory for the time of many runs. A slow
//! attempt is therefore cancelled once per request if the request can be retried in time. If a later attempt is slow
//! too, the query itself is considered slow: the attempt continues unless all engines together are overloaded. Under
//! overload the request is abandoned, since its slot can serve several other queries. Unless the attempt is cancelled
//! for a retry, its request is also abandoned if it would not end before the client's deadline, even on its first
//! attempt and even if it is not idempotent.

#[cfg(doc)]
use crate::interface::Progress;
use crate::interface::{Micros, Settings};
use crate::units::RunTime;

/// Projected remaining time, in mean run times of the class, above which an attempt is slow.
const SLOW_MEAN_RUN_TIMES: f64 = 3.0;
/// Smallest completed share used for projections; smaller reports count as this.
const MIN_COMPLETED_SHARE: f64 = 0.002;
/// Number of progress intervals without an event after which an attempt counts as lost.
const LOST_AFTER_INTERVALS: f64 = 1.6;

/// Progress of an attempt, as reported by its events.
pub(crate) struct AttemptProgress {
    /// Time of the last event, or of sending the attempt.
    last_event_at: Micros,
    /// Start of the pace measurement: the time of the last event with a share of exactly 0, or of sending the attempt.
    /// [`Progress::Blocked`] does not change it.
    pace_since: Micros,
    spilled: bool,
}

/// Decision after a progress event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProgressDecision {
    /// The attempt continues.
    Continue,
    /// The attempt is cancelled and the request retried.
    CancelAndRetry,
    /// The request is abandoned.
    Abandon,
}

/// Conditions by which the pace of an attempt is judged.
pub(crate) struct PaceLimits {
    /// Mean run time of the class.
    pub(crate) mean_run_time: RunTime,
    /// Time until the client gives up.
    pub(crate) time_left: Micros,
    /// Whether the attempt may be cancelled to retry the request: only idempotent requests with attempts left. The
    /// retry budget is checked after the outcome.
    pub(crate) may_cancel_for_retry: bool,
    /// Whether an earlier attempt of the request was cancelled for its pace.
    pub(crate) has_cancelled: bool,
    /// Whether the load of all engines together exceeds their capacity.
    pub(crate) is_overloaded: bool,
}

impl AttemptProgress {
    pub(crate) fn new(sent_at: Micros) -> Self {
        AttemptProgress {
            last_event_at: sent_at,
            pace_since: sent_at,
            spilled: false,
        }
    }

    pub(crate) fn record_event(&mut self, now: Micros) {
        self.last_event_at = now;
    }

    /// Records that the attempt spills. Returns whether this is its first spill.
    pub(crate) fn record_spill(&mut self) -> bool {
        !std::mem::replace(&mut self.spilled, true)
    }

    pub(crate) fn has_spilled(&self) -> bool {
        self.spilled
    }

    /// Judges the pace of an attempt with a completed share from 0 to 1.
    pub(crate) fn check_pace(
        &mut self,
        completed_share: f64,
        limits: &PaceLimits,
        now: Micros,
    ) -> ProgressDecision {
        let elapsed = RunTime((now - self.pace_since) as f64);
        let remaining = RunTime(elapsed.0 / completed_share.max(MIN_COMPLETED_SHARE)) - elapsed;
        let time_left = RunTime(limits.time_left as f64);
        let is_slow = remaining > limits.mean_run_time * SLOW_MEAN_RUN_TIMES;
        let can_retry_in_time = limits.may_cancel_for_retry && limits.mean_run_time < time_left;
        if is_slow && can_retry_in_time && !limits.has_cancelled {
            ProgressDecision::CancelAndRetry
        } else if completed_share == 0.0 {
            // The attempt is waiting for memory or for a load statement. If possible, it was retried once; further
            // waiting does not count as a slow pace.
            self.pace_since = now;
            ProgressDecision::Continue
        } else if remaining > time_left || (is_slow && limits.has_cancelled && limits.is_overloaded)
        {
            ProgressDecision::Abandon
        } else {
            ProgressDecision::Continue
        }
    }

    /// Returns whether progress events are so long overdue that the attempt counts as lost.
    pub(crate) fn is_lost(&self, lost_after: Micros, now: Micros) -> bool {
        now - self.last_event_at > lost_after
    }
}

/// Returns the time without a progress event after which an attempt counts as lost; `None` if engines send no progress
/// events or attempts can't be cancelled. Cancelling lost attempts saves the client from waiting until its deadline
/// after a lost response or an undetected crash of the engine.
pub(crate) fn lost_after(settings: &Settings) -> Option<Micros> {
    let lost_after = (settings.progress_interval as f64 * LOST_AFTER_INTERVALS) as Micros;
    (lost_after > 0 && settings.limits.cancel).then_some(lost_after)
}
