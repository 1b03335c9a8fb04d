//! An attempt in flight: a request that was sent to an engine and has no outcome yet.

use crate::attempt_progress::AttemptProgress;
use crate::interface::{Action, Micros, RequestId};

/// An attempt without an outcome. It occupies its slot until the outcome, even if it is cancelled.
pub(crate) struct InFlightAttempt {
    pub(crate) request: RequestId,
    /// Attempt number, from 0.
    pub(crate) number: u32,
    pub(crate) class: usize,
    pub(crate) sent_at: Micros,
    pub(crate) progress: AttemptProgress,
    cancelled: bool,
}

impl InFlightAttempt {
    pub(crate) fn new(request: RequestId, number: u32, class: usize, now: Micros) -> Self {
        InFlightAttempt {
            request,
            number,
            class,
            sent_at: now,
            progress: AttemptProgress::new(now),
            cancelled: false,
        }
    }

    pub(crate) fn is_cancelled(&self) -> bool {
        self.cancelled
    }

    /// Requests cancellation from the host, unless it was requested before.
    pub(crate) fn cancel(&mut self, out: &mut Vec<Action>) {
        if !self.cancelled {
            self.cancelled = true;
            out.push(Action::Cancel {
                request: self.request,
                attempt: self.number,
            });
        }
    }
}
