//! Reports on attempts, and the settling of statements.

use hoptiller_policy::{Event, Micros, Progress, RequestId};
use hoptiller_runaway::{ExecutionOutcome, Proof, RetrySafety, retry_safety_after_kill};

use super::Core;
use crate::command::{AttemptOutcome, Command};
use crate::identity::StatementId;
use crate::response::{EngineError, FinalResponse, ResultPage};
use crate::statement_state::StatementState;

impl Core {
    /// Reports the progress of a running attempt to the controller.
    pub fn report_progress(&mut self, id: StatementId, attempt: u32, progress: Progress) {
        let statement = self.statements.get(id);
        let engine = statement.and_then(|statement| statement.attempts().engine_of(attempt));
        let Some(engine) = engine else {
            return;
        };
        self.events.push(Event::Progress {
            request: RequestId(id),
            attempt,
            engine,
            progress,
        });
    }

    /// Accepts a page of an attempt's result, or releases the attempt if the page is not needed.
    pub fn accept_page(&mut self, now: Micros, id: StatementId, attempt: u32, page: ResultPage) {
        let size_bytes = page.size_bytes();
        self.report_page_to_runaway_detector(now, id, attempt, &page);
        let Some(statement) = self.statements.get_mut(id) else {
            self.commands.push_back(Command::Release { id, attempt });
            return;
        };
        if statement.accept_page(now, attempt, page) {
            self.buffered_bytes += size_bytes;
            self.commands.push_back(Command::NotifyWaiters(id));
        } else {
            self.commands.push_back(Command::Release { id, attempt });
            // The engine has done its work, even though the result is not needed.
            self.report_success(now, id, attempt);
        }
    }

    /// Reports an error that the engine found in the statement. The error becomes the final response.
    pub fn fail_with_engine_error(
        &mut self,
        now: Micros,
        id: StatementId,
        attempt: u32,
        error: EngineError,
    ) {
        self.report_end_to_runaway_detector(now, id, attempt, ExecutionOutcome::Failed, None);
        // To the controller the attempt succeeded: the engine answered, and the fault is in the statement.
        self.report_success(now, id, attempt);
        self.settle(now, id, FinalResponse::EngineError(error));
    }

    /// Reports that an attempt ended without its complete result.
    pub fn finish_attempt(
        &mut self,
        now: Micros,
        id: StatementId,
        attempt: u32,
        outcome: AttemptOutcome,
    ) {
        self.report_status_to_runaway_detector(now, id, attempt, outcome.status);
        let Some(statement) = self.statements.get_mut(id) else {
            return;
        };
        let event = statement.record_outcome(attempt, now, &outcome, false);
        if statement.state().is_streaming_from(attempt) {
            // Rows were delivered, and another attempt could repeat them, so none follows.
            self.settle(now, id, FinalResponse::Truncated(outcome.reason));
        } else {
            self.buffered_bytes -= statement.discard_first_page(attempt);
            self.events.extend(event);
        }
        self.statements.remove_if_finished(id);
    }

    /// Reports that the engine killed an attempt on request of this router or an administrator. This settles the
    /// statement, unless it is already settled, another attempt delivers its result, or the outcome of the attempt was
    /// already reported.
    pub fn finish_killed_attempt(
        &mut self,
        now: Micros,
        id: StatementId,
        attempt: u32,
        proof: Proof,
        reason: String,
    ) {
        self.report_end_to_runaway_detector(now, id, attempt, ExecutionOutcome::Failed, None);
        let Some(statement) = self.statements.get_mut(id) else {
            return;
        };
        match statement.state() {
            // Rows were delivered; the rest of the result is lost.
            StatementState::Streaming { .. } if statement.state().is_streaming_from(attempt) => {
                self.settle(now, id, FinalResponse::Truncated(reason));
                return;
            }
            StatementState::Streaming { .. } | StatementState::Settled(_) => {
                self.finish_attempt(now, id, attempt, AttemptOutcome::cancelled(reason));
                return;
            }
            StatementState::Pending | StatementState::FirstPageReady { .. } => {}
        }
        if !statement.attempts().is_in_flight(attempt) {
            return; // The outcome was already reported.
        }
        // The controller has no status of its own for killed attempts: like cancelled ones, they may have run.
        let outcome = AttemptOutcome::cancelled(reason.clone());
        let event = statement.record_outcome(attempt, now, &outcome, true);
        self.events.extend(event);
        let first_sent_at = statement.attempts().first_sent_at().unwrap_or(now);
        let idempotency = self.endpoints.idempotency(statement.class());
        let safety = retry_safety_after_kill(idempotency, proof, first_sent_at, now);
        let response = self.response_after_kill(safety, reason);
        self.settle(now, id, response);
        self.statements.remove_if_finished(id);
    }

    fn response_after_kill(&self, safety: RetrySafety, reason: String) -> FinalResponse {
        match safety {
            RetrySafety::Safe => FinalResponse::TerminatedByRule {
                retry_after: self.endpoints.retry_after(),
                reason,
            },
            RetrySafety::MayHaveRun => FinalResponse::MayHaveRun(format!(
                "the engine killed the statement and does not report whether its effects remain ({reason})"
            )),
            RetrySafety::HasRun => FinalResponse::MayHaveRun(format!(
                "the engine killed the statement, but its effects were committed ({reason})"
            )),
        }
    }

    /// Reports to the controller that an attempt succeeded, unless its outcome was already reported.
    pub(super) fn report_success(&mut self, now: Micros, id: StatementId, attempt: u32) {
        let event = self
            .statements
            .get_mut(id)
            .and_then(|statement| statement.record_success(attempt, now));
        self.events.extend(event);
    }

    /// Settles the final response; later calls have no effect.
    pub(super) fn settle(&mut self, now: Micros, id: StatementId, response: FinalResponse) {
        let Some(statement) = self.statements.get_mut(id) else {
            return;
        };
        if statement.is_settled() {
            return;
        }
        let settled = Command::Settled {
            id,
            class: statement.class(),
            response: response.clone(),
            elapsed: statement.elapsed(now),
            attempts: statement.attempts().count(),
        };
        self.statement_bytes -= statement.counted_bytes();
        self.buffered_bytes -= statement.settle(now, response);
        self.statements.mark_settled();
        self.commands.push_back(settled);
        self.commands.push_back(Command::NotifyWaiters(id));
        self.retain_if_delivered(now, id);
    }
}
