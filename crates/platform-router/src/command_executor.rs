//! Execution of the core's commands: attempts and their cancellation, health checks, and notifications.

use std::rc::Rc;

use hoptiller_platform_protocol::StatementCommand;
use hoptiller_policy::EngineId;
use hoptiller_router_core::event_loop::CommandExecutor;
use hoptiller_router_core::{Attempt, AttemptOutcome, Command, ResultPage, StatementId};
use serde_json::value::RawValue;

use crate::attempt::{AttemptError, AttemptRequest, CompleteResponse};
use crate::cancel::CancelToken;
use crate::endpoint::EndpointState;
use crate::router::Router;
use crate::statement_fields::{idempotency_key, request_id};
use crate::trace::TRACE_TARGET;

impl CommandExecutor for Router {
    fn execute(&self, command: Command) {
        let Some(router) = self.this.upgrade() else {
            return;
        };
        match command {
            Command::Send(attempt) => router.start_attempt(attempt),
            Command::Cancel { id, attempt } => router.cancel_attempt(id, attempt),
            Command::HealthCheck(engine) => router.start_health_check(engine),
            Command::NotifyWaiters(id) => router.event_loop.notify_waiters(id),
            Command::Settled {
                id,
                class,
                response,
                elapsed,
                attempts,
            } => {
                tracing::debug!(
                    target: TRACE_TARGET,
                    id,
                    class,
                    how = response.label(),
                    why = response.reason(),
                    after = elapsed,
                    attempts,
                    "settled"
                );
                router.mark_request_ended(id);
            }
            // The connection pool fetches all pages before it returns a result, so the core has none to fetch or
            // release. The watch client receives endpoint updates as they occur, so there is nothing to refresh. This
            // router does not detect runaways.
            Command::Fetch { .. }
            | Command::Release { .. }
            | Command::RefreshDiscovery
            | Command::Kill { .. }
            | Command::SetPaused { .. }
            | Command::ReportFinding(_) => {}
        }
    }
}

impl Router {
    fn start_attempt(self: &Rc<Self>, attempt: Attempt) {
        // The trace analysis relies on this: when a round's commands are executed, the core already counts all sends of
        // the round as in flight.
        tracing::debug!(
            target: TRACE_TARGET,
            id = request_id(&attempt.engine_statement),
            hop = attempt.number,
            engine = attempt.engine.0,
            round = self.event_loop.batch_stats().batches,
            believed = self.event_loop.core().in_flight_at(attempt.engine),
            class = attempt.class,
            priority = attempt.priority,
            until = attempt.deadline,
            "send"
        );
        // The token and the endpoint's state are taken at the decision, not when the spawned task first runs.
        let Some(endpoint) = self.pool.endpoint(attempt.engine) else {
            let outcome = failed_outcome(&AttemptError::UnknownEngine);
            let now = self.event_loop.now();
            self.event_loop.core().finish_attempt(
                now,
                attempt.statement_id,
                attempt.number,
                outcome,
            );
            return;
        };
        let token = Rc::<CancelToken>::default();
        self.in_flight
            .borrow_mut()
            .insert((attempt.statement_id, attempt.number), token.clone());
        self.spawner
            .spawn(self.clone().run_attempt(attempt, endpoint, token));
    }

    async fn run_attempt(
        self: Rc<Self>,
        attempt: Attempt,
        endpoint: EndpointState,
        token: Rc<CancelToken>,
    ) {
        let request = AttemptRequest {
            command: StatementCommand {
                id: request_id(&attempt.engine_statement),
                class: &self.catalog.classes[attempt.class].name,
                idempotency_key: idempotency_key(&attempt.engine_statement),
                priority: attempt.priority,
                statement: &attempt.engine_statement.text,
            },
            deadline: self.event_loop.instant(attempt.deadline),
            send_by: attempt.send_by.map(|at| self.event_loop.instant(at)),
            is_retry: attempt.number > 0,
            token: &token,
            endpoint,
        };
        let result = self.pool.attempt(attempt.engine, &request).await;
        self.in_flight
            .borrow_mut()
            .remove(&(attempt.statement_id, attempt.number));
        match result {
            Ok(response) => self.report_served(&attempt, response),
            Err(error) => self.report_failed(&attempt, &error),
        }
    }

    fn report_served(&self, attempt: &Attempt, response: CompleteResponse) {
        tracing::debug!(
            target: TRACE_TARGET,
            id = request_id(&attempt.engine_statement),
            hop = attempt.number,
            engine = attempt.engine.0,
            work = response.work,
            "served"
        );
        let page = ResultPage {
            rows: RawValue::from_string(response.rows).ok().map(Rc::from),
            is_last: true,
            work: response.work,
            load_report: response.load_report,
            ..ResultPage::default()
        };
        self.with_core(|core, now| {
            core.accept_page(now, attempt.statement_id, attempt.number, page);
        });
    }

    fn report_failed(&self, attempt: &Attempt, error: &AttemptError) {
        tracing::debug!(
            target: TRACE_TARGET,
            id = request_id(&attempt.engine_statement),
            hop = attempt.number,
            engine = attempt.engine.0,
            why = %error,
            "ended"
        );
        let outcome = failed_outcome(error);
        self.with_core(|core, now| {
            core.finish_attempt(now, attempt.statement_id, attempt.number, outcome);
        });
    }

    fn cancel_attempt(&self, id: StatementId, number: u32) {
        if let Some(token) = self.in_flight.borrow().get(&(id, number)) {
            token.cancel();
        }
    }

    /// Tells the attempts of a request that its client has a response or disconnected, so that none of them starts.
    fn mark_request_ended(&self, id: StatementId) {
        self.in_flight
            .borrow()
            .range((id, 0)..=(id, u32::MAX))
            .for_each(|(_, token)| token.mark_request_ended());
    }

    fn start_health_check(self: &Rc<Self>, engine: EngineId) {
        let router = self.clone();
        self.spawner.spawn(async move {
            let report = router.pool.check_health(engine).await;
            tracing::debug!(engine = engine.0, ?report, "health check completed");
            router.with_core(|core, _| core.report_health_check(engine, report));
        });
    }
}

fn failed_outcome(error: &AttemptError) -> AttemptOutcome {
    AttemptOutcome {
        status: error.status(),
        reason: error.to_string(),
        load_report: None,
    }
}
