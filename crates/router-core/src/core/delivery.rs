//! Delivery of numbered responses to polling clients.

use hoptiller_policy::Micros;

use super::Core;
use crate::command::Command;
use crate::identity::StatementId;
use crate::response::{FinalResponse, PollOutcome, ResponseContent, ResultPage};
use crate::statement::ResponsePosition;
use crate::statement_state::Delivery;

impl Core {
    /// Polls for the response with the given number.
    pub fn poll(&mut self, now: Micros, id: StatementId, number: u64) -> PollOutcome {
        let Some(statement) = self.statements.get_mut(id) else {
            return if id < self.statements.next_id() {
                PollOutcome::Gone
            } else {
                PollOutcome::Unknown
            };
        };
        statement.record_poll(now);
        match statement.position_of(number) {
            ResponsePosition::Latest => PollOutcome::Response(statement.latest()),
            ResponsePosition::Superseded => PollOutcome::Gone,
            ResponsePosition::NeverOffered => PollOutcome::Unknown,
            ResponsePosition::Next if statement.state().has_pending_delivery() => {
                self.deliver(now, id)
            }
            ResponsePosition::Next => PollOutcome::Pending,
        }
    }

    /// Polls like [`Core::poll`], but if there is nothing new, creates a response without a change, with which the
    /// caller can end a long poll.
    pub fn poll_or_no_change(&mut self, now: Micros, id: StatementId, number: u64) -> PollOutcome {
        match self.poll(now, id, number) {
            PollOutcome::Pending => match self.statements.get_mut(id) {
                Some(statement) => {
                    PollOutcome::Response(statement.respond(now, ResponseContent::NoChange))
                }
                None => PollOutcome::Gone,
            },
            outcome => outcome,
        }
    }

    /// Registers a poll that waits for updates of a statement.
    pub fn add_waiter(&mut self, now: Micros, id: StatementId) {
        if let Some(statement) = self.statements.get_mut(id) {
            statement.add_waiter(now);
        }
    }

    /// Unregisters a poll that waited for updates of a statement.
    pub fn remove_waiter(&mut self, now: Micros, id: StatementId) {
        if let Some(statement) = self.statements.get_mut(id) {
            statement.remove_waiter(now);
        }
    }

    /// Delivers the next page or the final response, and moves the statement to its next state.
    fn deliver(&mut self, now: Micros, id: StatementId) -> PollOutcome {
        let Some(statement) = self.statements.get_mut(id) else {
            return PollOutcome::Gone;
        };
        match statement.take_delivery() {
            None => PollOutcome::Pending,
            Some(Delivery::Page {
                attempt,
                page,
                is_first,
            }) => self.deliver_page(now, id, attempt, page, is_first),
            Some(Delivery::Final(response)) => {
                statement.mark_delivered();
                let response = statement.respond(now, ResponseContent::Final(response));
                self.statements.mark_delivered(id);
                self.retain_if_delivered(now, id);
                PollOutcome::Response(response)
            }
        }
    }

    /// Delivers a page. The first page commits the statement: from then on, no other attempt can deliver its result.
    fn deliver_page(
        &mut self,
        now: Micros,
        id: StatementId,
        attempt: u32,
        page: ResultPage,
        is_first: bool,
    ) -> PollOutcome {
        self.buffered_bytes -= page.size_bytes();
        let is_last = page.is_last;
        let Some(statement) = self.statements.get_mut(id) else {
            return PollOutcome::Gone;
        };
        let response = statement.respond(now, ResponseContent::Rows(page));
        if is_first {
            self.report_success(now, id, attempt);
        }
        if is_last {
            self.settle_completed(now, id);
        } else {
            self.awaiting_fetch.push_back((id, attempt));
            self.request_pages_within_limit();
        }
        PollOutcome::Response(response)
    }

    /// Settles a statement whose last page was delivered.
    fn settle_completed(&mut self, now: Micros, id: StatementId) {
        if let Some(statement) = self.statements.get_mut(id) {
            statement.mark_delivered();
        }
        self.settle(now, id, FinalResponse::Completed);
    }

    /// Requests further pages while the buffers have space for them.
    pub(super) fn request_pages_within_limit(&mut self) {
        while self.buffered_bytes < self.limits.max_buffered_bytes {
            let Some((id, attempt)) = self.awaiting_fetch.pop_front() else {
                break;
            };
            let statement = self.statements.get(id);
            if statement.is_some_and(|statement| !statement.is_settled()) {
                self.commands.push_back(Command::Fetch { id, attempt });
            }
        }
    }
}
