//! Executes the commands of the core.

use std::rc::Rc;

use hoptiller_policy::{EngineId, Micros};
use hoptiller_router_core::event_loop::CommandExecutor;
use hoptiller_router_core::{Attempt, Command, FinalResponse, StatementId};
use tracing::Instrument;

use super::Service;
use crate::engines::{AttemptControl, AttemptId, StatementControl};

/// The reason of a kill, which is part of the error that the client receives.
const KILL_REASON: &str = "the statement was killed as a runaway by a rule of this installation";

impl CommandExecutor for Service {
    fn execute(&self, command: Command) {
        match command {
            Command::Send(attempt) => self.send(attempt),
            Command::Fetch { id, attempt } => {
                self.control_attempt(id, attempt, AttemptControl::Fetch);
            }
            Command::Cancel { id, attempt } => {
                self.control_attempt(id, attempt, AttemptControl::Cancel);
            }
            Command::Release { id, attempt } => {
                self.control_attempt(id, attempt, AttemptControl::Release);
            }
            Command::Kill { id, attempt } => {
                let reason = KILL_REASON.to_owned();
                self.control_statement(id, attempt, StatementControl::Kill { reason });
            }
            Command::SetPaused {
                id,
                attempt,
                paused,
            } => {
                let control = match paused {
                    true => StatementControl::Pause,
                    false => StatementControl::Resume,
                };
                self.control_statement(id, attempt, control);
            }
            Command::ReportFinding(finding) => self.log_finding(&finding),
            Command::HealthCheck(engine) => self.check_health(engine),
            Command::RefreshDiscovery => self.discovery.refresh(),
            Command::NotifyWaiters(id) => self.context.event_loop().notify_waiters(id),
            Command::Settled {
                id,
                class,
                response,
                elapsed,
                attempts,
            } => self.record_settled(id, class, &response, elapsed, attempts),
        }
    }
}

impl Service {
    fn send(&self, attempt: Attempt) {
        let Some(service) = self.weak_self.upgrade() else {
            return;
        };
        metrics::counter!("hoptiller_attempts_total").increment(1);
        let engine = self.context.engine_name(attempt.engine);
        let settings = self.settings();
        let class = settings.classes[attempt.class].name.as_str();
        let statement = self.statement_id_suffix(attempt.statement_id);
        let span =
            tracing::debug_span!("attempt", %statement, class, hop = attempt.number, %engine);
        span.in_scope(|| tracing::debug!("attempt sent"));
        let engines = self.context.engines().clone();
        let run = engines.run_attempt(attempt, service).instrument(span);
        self.context.spawner().spawn(run);
    }

    fn control_attempt(&self, statement: StatementId, number: u32, control: AttemptControl) {
        let id = AttemptId { statement, number };
        self.context.engines().control_attempt(id, control);
    }

    /// Sends a control request for a statement to its engine and logs the result.
    fn control_statement(&self, statement: StatementId, number: u32, control: StatementControl) {
        let id = AttemptId { statement, number };
        let label = self.statement_id_suffix(statement);
        let engines = Rc::clone(self.context.engines());
        self.context.spawner().spawn(async move {
            let request = control.clone();
            match engines.control_statement(id, request).await {
                Ok(()) => {
                    tracing::warn!(statement = %label, hop = number, ?control, "statement control accepted");
                }
                Err(error) => {
                    tracing::warn!(statement = %label, hop = number, ?control, %error, "statement control failed");
                }
            }
        });
    }

    fn check_health(&self, engine: EngineId) {
        if let Some(service) = self.weak_self.upgrade() {
            let engines = self.context.engines().clone();
            let check = engines.check_health(engine, service);
            self.context.spawner().spawn(check);
        }
    }

    fn record_settled(
        &self,
        id: StatementId,
        class: usize,
        response: &FinalResponse,
        elapsed: Micros,
        attempts: u32,
    ) {
        let class = &self.settings().classes[class].name;
        let outcome = response.label();
        metrics::counter!("hoptiller_statements_total", "class" => class.clone(), "outcome" => outcome)
            .increment(1);
        metrics::histogram!("hoptiller_answer_seconds", "class" => class.clone())
            .record(elapsed as f64 / 1e6);
        let statement = self.statement_id_suffix(id);
        let (ms, reason) = (elapsed / 1000, response.reason());
        tracing::info!(%statement, %class, outcome, ms, attempts, reason, "statement settled");
    }
}
