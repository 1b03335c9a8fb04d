//! Submission of statements, and their cancellation or abandonment by clients.

use hoptiller_policy::{Arrival, Event, KeyId, Micros, RequestId};
use hoptiller_runaway::ExecutionOutcome;

use super::Core;
use crate::command::Command;
use crate::hash::hash_name;
use crate::history::StatementHistory;
use crate::identity::StatementId;
use crate::response::FinalResponse;
use crate::runaway_profile::RunawayProfile;
use crate::statement::Statement;
use crate::statement_state::StatementState;
use crate::submission::{Submission, SubmitError};

impl Core {
    /// Accepts a statement. Exactly one final response follows.
    ///
    /// # Errors
    ///
    /// Returns an error if the router is shutting down, too many statements are open, or they use too much memory. No
    /// response follows then.
    ///
    /// # Panics
    ///
    /// Panics if no class has the index of the submission.
    pub fn submit(
        &mut self,
        now: Micros,
        submission: Submission,
    ) -> Result<StatementId, SubmitError> {
        if self.is_shutting_down {
            return Err(SubmitError::ShuttingDown);
        }
        if self.statements.open_count() >= self.limits.max_open_statements {
            return Err(SubmitError::TooManyOpenStatements);
        }
        let statement_bytes = submission.engine_statement.counted_bytes();
        let held_bytes = self.statement_bytes + statement_bytes;
        if statement_bytes > 0 && held_bytes > self.limits.max_statement_bytes {
            return Err(SubmitError::StatementMemory);
        }
        self.statement_bytes = held_bytes;
        let class_timeout = self.class_timeouts[submission.class];
        let timeout = submission
            .timeout
            .unwrap_or(class_timeout)
            .min(class_timeout);
        let valid_until = now.saturating_add(timeout);
        let profile = self.register_arrival(now, &submission);
        let held_as = profile.as_ref().map(|profile| profile.held_as.0);
        let id = self
            .statements
            .insert(|id| Statement::new(id, &submission, profile, now, valid_until));
        self.statements
            .set_timer(now + self.limits.abandon_after, id);
        let key = submission.ordering_key.as_deref();
        self.events.push(Event::Arrival(Arrival {
            request: RequestId(id),
            class: submission.class,
            tenant: submission.tenant,
            key: key.map(|key| KeyId(hash_name(key))),
            valid_until,
            estimated_work: submission.estimated_work,
            estimated_memory_mb: submission.estimated_memory_mb,
            group: submission.group,
            is_retry: submission.is_retry,
            kind: held_as,
        }));
        Ok(id)
    }

    /// Registers an arrival with the runaway detector, if there is one.
    fn register_arrival(&mut self, now: Micros, submission: &Submission) -> Option<RunawayProfile> {
        let detector = self.runaway_detector.as_mut()?;
        let class = submission.class;
        let fingerprint = detector.fingerprint_id(class, submission.fingerprint);
        let held_as = detector.observe_arrival(now, fingerprint, class, &submission.label);
        Some(RunawayProfile {
            fingerprint,
            held_as,
            label: submission.label.clone(),
            announced: submission.announced,
            group: submission.group,
        })
    }

    /// Cancels a statement on request of its client.
    pub fn cancel(&mut self, now: Micros, id: StatementId) {
        self.settle_without_recipient(now, id, FinalResponse::Canceled);
    }

    /// Settles a statement that its client cancelled or abandoned, and releases its result.
    pub(super) fn settle_without_recipient(
        &mut self,
        now: Micros,
        id: StatementId,
        response: FinalResponse,
    ) {
        let Some(statement) = self.statements.get(id) else {
            return;
        };
        match *statement.state() {
            StatementState::Settled(_) => return,
            StatementState::Pending => self.events.push(Event::ClientDisconnected(RequestId(id))),
            // The engine has produced a first page, so the attempt succeeded; only the rest of the result is discarded.
            StatementState::FirstPageReady { attempt, .. } => {
                self.release_attempt(now, id, attempt);
                self.report_success(now, id, attempt);
            }
            // The success was already reported with the first page.
            StatementState::Streaming { attempt, .. } => self.release_attempt(now, id, attempt),
        }
        self.settle(now, id, response);
    }

    fn release_attempt(&mut self, now: Micros, id: StatementId, attempt: u32) {
        self.commands.push_back(Command::Release { id, attempt });
        self.report_end_to_runaway_detector(now, id, attempt, ExecutionOutcome::Succeeded, None);
    }

    /// Returns whether an attempt at a statement was decided on.
    pub fn has_attempts(&self, id: StatementId) -> bool {
        let statement = self.statements.get(id);
        statement.is_some_and(|statement| !statement.attempts().is_empty())
    }

    /// Returns the history of a statement so far, or `None` if the statement is unknown or was removed.
    pub fn history(&self, now: Micros, id: StatementId) -> Option<StatementHistory> {
        self.statements
            .get(id)
            .map(|statement| statement.history(now))
    }

    /// Stops accepting statements.
    pub fn begin_shutdown(&mut self) {
        self.is_shutting_down = true;
    }

    /// Has the controller give up a statement: it is rejected if a retry is safe, and has failed otherwise.
    pub fn give_up(&mut self, id: StatementId) {
        self.events.push(Event::Abandoned(RequestId(id)));
    }

    /// Has the controller give up all open statements because the router stops before they can be completed.
    pub fn give_up_all(&mut self) {
        let mut open: Vec<StatementId> = self.statements.open_ids().collect();
        open.sort_unstable();
        let abandoned = open.into_iter().map(|id| Event::Abandoned(RequestId(id)));
        self.events.extend(abandoned);
    }
}
