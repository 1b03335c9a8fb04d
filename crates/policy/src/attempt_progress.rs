//! Progress of attempts: which are too slow or lost, and whether to cancel them or to abandon their requests.
//!
//! Each attempt draws its query plan anew, and a bad plan holds threads and memory for many runs. An attempt with a slow
//! pace is therefore cancelled once, where its request can be retried in time. A slow attempt after that is taken for slow by
//! itself: it runs on, unless all engines together are overloaded and its slot would serve several others. An attempt that
//! would not end before the client's deadline and can't be retried is abandoned, also the first one and also one that is not
//! idempotent.

#[cfg(doc)]
use crate::interface::Progress;
use crate::interface::{Micros, Settings};
use crate::units::RunTime;

/// An attempt is slow whose pace leaves it so many mean runs to go.
const SLOW_MEAN_RUN_TIMES: f64 = 3.0;
/// The least share done that is believed.
const MIN_COMPLETED_SHARE: f64 = 0.002;
/// Without a progress event for so many intervals an attempt is lost.
const LOST_AFTER_INTERVALS: f64 = 1.6;

/// What progress events have told of an attempt.
pub(crate) struct AttemptProgress {
    /// Its last event, or its sending.
    last_event_at: Micros,
    /// From when its pace is measured: the last event of a share of exactly 0, or its sending. [`Progress::Blocked`] does
    /// not move it.
    pace_since: Micros,
    spilled: bool,
}

/// What becomes of an attempt after a progress event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProgressDecision {
    /// It runs on.
    Continue,
    /// It is cancelled, and its request tried again.
    CancelAndRetry,
    /// Its request is abandoned.
    Abandon,
}

/// What the pace of an attempt is judged by.
pub(crate) struct PaceLimits {
    /// Mean run time of its class.
    pub(crate) mean_run_time: RunTime,
    /// Until its client gives up.
    pub(crate) time_left: Micros,
    /// Its request may be sent again.
    pub(crate) may_retry: bool,
    /// An earlier attempt of its request was cancelled for its pace.
    pub(crate) has_cancelled: bool,
    /// All engines together are over their capacity.
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

    /// Records that it spills. Returns whether that is new.
    pub(crate) fn record_spill(&mut self) -> bool {
        !std::mem::replace(&mut self.spilled, true)
    }

    pub(crate) fn has_spilled(&self) -> bool {
        self.spilled
    }

    /// Judges the pace of an attempt of which a share from 0 to 1 is done.
    pub(crate) fn check_pace(
        &mut self,
        completed_share: f64,
        limits: &PaceLimits,
        now: Micros,
    ) -> ProgressDecision {
        let ran = RunTime((now - self.pace_since) as f64);
        let left = RunTime(ran.0 / completed_share.max(MIN_COMPLETED_SHARE)) - ran;
        let time_left = RunTime(limits.time_left as f64);
        let is_slow = left > limits.mean_run_time * SLOW_MEAN_RUN_TIMES;
        let retry_in_time = limits.may_retry && limits.mean_run_time < time_left;
        if is_slow && retry_in_time && !limits.has_cancelled {
            ProgressDecision::CancelAndRetry
        } else if completed_share == 0.0 {
            // Nothing is done yet: it waits for memory or behind a load statement. It was retried once if it could be; beyond
            // that its waiting does not count as a slow pace.
            self.pace_since = now;
            ProgressDecision::Continue
        } else if left > time_left || (is_slow && limits.has_cancelled && limits.is_overloaded) {
            ProgressDecision::Abandon
        } else {
            ProgressDecision::Continue
        }
    }

    /// Whether events are overdue by so much that the attempt is taken for lost.
    pub(crate) fn is_lost(&self, lost_after: Micros, now: Micros) -> bool {
        now - self.last_event_at > lost_after
    }
}

/// Time without a progress event after which an attempt is lost; `None` where no events come, or where attempts can't be
/// cancelled. A lost answer, or an engine that died unnoticed, would keep the client waiting until it leaves.
pub(crate) fn lost_after(settings: &Settings) -> Option<Micros> {
    let lost_after = (settings.progress_interval as f64 * LOST_AFTER_INTERVALS) as Micros;
    (lost_after > 0 && settings.limits.cancel).then_some(lost_after)
}
