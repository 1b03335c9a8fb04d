//! The pause and the end of one runaway: each is decided once.

use hoptiller_policy::Micros;

/// What was decided on the pause and the end of an attempt.
#[derive(Debug, Default)]
pub(crate) struct AttemptEnforcement {
    /// When it is due to be ended.
    end_at: Option<Micros>,
    /// Its end was decided; it is not decided again.
    is_end_decided: bool,
    /// When it is due to be resumed.
    resume_at: Option<Micros>,
    /// It was paused once; it is not paused again.
    was_paused: bool,
}

/// What is due for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DueEnforcement {
    /// It is to be resumed.
    pub(crate) resume: bool,
    /// It is to be ended.
    pub(crate) end: bool,
}

impl AttemptEnforcement {
    /// Has the attempt ended at this time.
    pub(crate) fn schedule_end(&mut self, at: Micros) {
        self.end_at = Some(at);
    }

    /// The attempt is not to be ended after all.
    pub(crate) fn cancel_end(&mut self) {
        self.end_at = None;
    }

    /// Pauses the attempt until this time. False if it was paused before.
    pub(crate) fn pause_until(&mut self, at: Micros) -> bool {
        if self.was_paused {
            return false;
        }
        self.was_paused = true;
        self.resume_at = Some(at);
        true
    }

    /// What is due now. A pause is over at once when the attempt does not execute any more; then it is not ended.
    pub(crate) fn take_due(&mut self, now: Micros, is_executing: bool) -> DueEnforcement {
        let resume = self
            .resume_at
            .take_if(|at| *at <= now || !is_executing)
            .is_some();
        let is_end_due = self.end_at.is_some_and(|at| at <= now);
        let end = is_executing && is_end_due && !self.is_end_decided;
        self.is_end_decided |= end;
        DueEnforcement { resume, end }
    }
}

#[cfg(test)]
mod tests;
