//! Pausing and killing one runaway: each is decided once.

use hoptiller_policy::Micros;

/// The state of the pause and the kill of an attempt.
#[derive(Debug, Default)]
pub(crate) struct AttemptEnforcement {
    /// The time at which the attempt is due to be killed.
    kill_at: Option<Micros>,
    /// Whether the kill has been decided; it is not decided again.
    is_kill_decided: bool,
    /// The time at which the attempt is due to be resumed.
    resume_at: Option<Micros>,
    /// Whether the attempt has been paused; it is not paused again.
    was_paused: bool,
}

/// The actions due for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DueEnforcement {
    /// Whether the attempt is to be resumed.
    pub(crate) resume: bool,
    /// Whether the attempt is to be killed.
    pub(crate) kill: bool,
}

impl AttemptEnforcement {
    /// Schedules the kill of the attempt.
    pub(crate) fn schedule_kill(&mut self, at: Micros) {
        self.kill_at = Some(at);
    }

    /// Cancels the scheduled kill of the attempt.
    pub(crate) fn cancel_kill(&mut self) {
        self.kill_at = None;
    }

    /// Pauses the attempt until this time. Returns `false` if it was paused before.
    pub(crate) fn pause_until(&mut self, at: Micros) -> bool {
        if self.was_paused {
            return false;
        }
        self.was_paused = true;
        self.resume_at = Some(at);
        true
    }

    /// Takes the actions that are due now. When the attempt stops executing, its pause ends at once and it is no longer
    /// killed.
    pub(crate) fn take_due(&mut self, now: Micros, is_executing: bool) -> DueEnforcement {
        let resume = self
            .resume_at
            .take_if(|at| *at <= now || !is_executing)
            .is_some();
        let is_kill_due = self.kill_at.is_some_and(|at| at <= now);
        let kill = is_executing && is_kill_due && !self.is_kill_decided;
        self.is_kill_decided |= kill;
        DueEnforcement { resume, kill }
    }
}

#[cfg(test)]
mod tests;
