//! Application of the controller's actions.

use hoptiller_policy::{Action, EngineId, Micros};

use super::Core;
use crate::command::Command;
use crate::identity::StatementId;
use crate::response::FinalResponse;
use crate::statement::SendOptions;

impl Core {
    /// Applies one action of the controller.
    pub(super) fn apply_action(&mut self, now: Micros, action: Action) {
        match action {
            Action::SetOptions {
                request,
                priority,
                memory_grant_mb,
            } => {
                if let Some(statement) = self.statements.get_mut(request.0) {
                    statement.set_send_options(SendOptions {
                        priority: Some(priority),
                        memory_grant_mb,
                    });
                }
            }
            Action::Send {
                request,
                engine,
                send_by,
            } => self.send_attempt(now, request.0, engine, send_by),
            Action::Cancel { request, attempt } => self.commands.push_back(Command::Cancel {
                id: request.0,
                attempt,
            }),
            Action::Reject {
                request,
                retry_after,
            } => self.settle_if_pending(now, request.0, |reason| FinalResponse::Rejected {
                retry_after,
                reason,
            }),
            Action::Fail(request) => {
                self.settle_if_pending(now, request.0, FinalResponse::MayHaveRun);
            }
            Action::HealthCheck(engine) => self.commands.push_back(Command::HealthCheck(engine)),
            Action::Timer(after) => {
                let at = now.saturating_add(after);
                self.wake_at = Some(self.wake_at.map_or(at, |wake_at| wake_at.min(at)));
            }
            // Callers refresh the engine list now instead of subscribing to its changes.
            Action::Subscribe => self.commands.push_back(Command::RefreshDiscovery),
        }
    }

    fn send_attempt(
        &mut self,
        now: Micros,
        id: StatementId,
        engine: EngineId,
        send_by: Option<Micros>,
    ) {
        let Some(statement) = self.statements.get_mut(id) else {
            return;
        };
        let deadline = statement
            .valid_until()
            .saturating_sub(self.limits.response_margin)
            .max(now);
        let attempt = statement.start_attempt(now, engine, deadline, send_by);
        let number = attempt.number;
        self.commands.push_back(Command::Send(attempt));
        self.report_start_to_runaway_detector(now, id, number, engine);
    }

    /// Settles a statement that the controller gave up. A result that was received in the meantime takes precedence.
    fn settle_if_pending(
        &mut self,
        now: Micros,
        id: StatementId,
        make_response: impl FnOnce(String) -> FinalResponse,
    ) {
        let Some(statement) = self.statements.get(id) else {
            return;
        };
        if statement.is_pending() {
            let response = make_response(statement.failure_reason(now));
            self.settle(now, id, response);
        }
    }
}
