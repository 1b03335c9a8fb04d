//! An attempt in flight: one sending of a request to an engine, until its outcome.

use crate::attempt_progress::AttemptProgress;
use crate::interface::{Action, Micros, RequestId};

/// An attempt without an outcome. It holds its slot until the outcome comes, cancelled or not.
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

    /// Asks the host to cancel it, once.
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
