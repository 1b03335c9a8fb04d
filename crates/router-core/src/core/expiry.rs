//! Timers of statements, for clients that stop polling and for the end of retention.

use hoptiller_policy::Micros;

use super::Core;
use crate::identity::StatementId;
use crate::response::FinalResponse;
use crate::statement::Statement;

impl Core {
    /// Handles all statement timers that are due.
    pub(super) fn handle_due_timers(&mut self, now: Micros) {
        while let Some(id) = self.statements.pop_due_timer(now) {
            self.handle_timer(now, id);
        }
    }

    /// Removes a statement after its retention, abandons it if its client has stopped polling, or sets the next timer.
    fn handle_timer(&mut self, now: Micros, id: StatementId) {
        let Some(statement) = self.statements.get(id) else {
            return;
        };
        if let Some(settled_at) = statement.settled_at() {
            let last_use = statement.last_polled_at().max(settled_at);
            let expires_at = last_use.saturating_add(self.limits.retention);
            if expires_at > now {
                self.statements.set_timer(expires_at, id);
            } else {
                self.statements.retire(id);
            }
            return;
        }
        let abandon_after = self.limits.abandon_after;
        let abandoned_at = statement.last_polled_at().saturating_add(abandon_after);
        if statement.has_waiters() {
            self.statements.set_timer(now + abandon_after, id);
        } else if abandoned_at > now {
            self.statements.set_timer(abandoned_at, id);
        } else {
            self.settle_without_recipient(now, id, FinalResponse::Abandoned);
        }
    }

    /// Retains a statement whose final response was delivered, within the limits on time and number.
    pub(super) fn retain_if_delivered(&mut self, now: Micros, id: StatementId) {
        let statement = self.statements.get(id);
        if statement.is_some_and(Statement::is_settled_and_delivered) {
            self.statements.mark_delivered(id);
            self.statements.set_timer(now + self.limits.retention, id);
            self.statements
                .trim_retained(self.limits.max_retained_responses);
        }
    }
}
