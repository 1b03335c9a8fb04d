//! Forwards reports of engines to the core, and authorizes attempts right before they are sent.

use hoptiller_policy::{EndpointEntry, EngineId, LoadReport, Micros, Progress};
use hoptiller_router_core::{AttemptOutcome, EngineError, ResultPage, status_description};
use hoptiller_runaway::{BlockedState, Proof};
use hoptiller_statement::extra::ConfigVersions;

use super::Service;
use crate::engines::{AttemptId, AttemptReport, EngineObserver, SendRejected};
use crate::settings::ClassSettings;

impl EngineObserver for Service {
    fn now(&self) -> Micros {
        self.context.event_loop().now()
    }

    fn page_received(&self, id: AttemptId, page: ResultPage) {
        self.context
            .with_core(|core, now| core.accept_page(now, id.statement, id.number, page));
    }

    fn statement_failed(&self, id: AttemptId, error: EngineError) {
        self.context.with_core(|core, now| {
            core.fail_with_engine_error(now, id.statement, id.number, error);
        });
    }

    fn attempt_ended(&self, id: AttemptId, outcome: AttemptOutcome) {
        let status = status_description(outcome.status);
        metrics::counter!("hoptiller_attempts_failed_total", "ending" => status).increment(1);
        // The span of the attempt names the statement and the engine.
        tracing::debug!(status, reason = %outcome.reason, "attempt ended");
        self.context
            .with_core(|core, now| core.finish_attempt(now, id.statement, id.number, outcome));
    }

    fn attempt_killed(&self, id: AttemptId, proof: Proof, reason: String) {
        tracing::warn!(?proof, reason, "attempt killed at its engine");
        self.context.with_core(|core, now| {
            core.finish_killed_attempt(now, id.statement, id.number, proof, reason);
        });
    }

    fn status_reported(&self, id: AttemptId, report: AttemptReport) {
        let mut status = report.status;
        if let Some(BlockedState::Statement(Some(holder))) = &mut status.blocked_state {
            let class = report.blocking_class.as_deref();
            holder.class = class.and_then(|name| self.settings().class_index(name));
        }
        self.context.with_core(|core, now| {
            core.report_progress_to_runaway_detector(now, id.statement, id.number, status);
        });
    }

    fn progress_reported(&self, id: AttemptId, progress: Progress) {
        self.context
            .with_core(|core, _| core.report_progress(id.statement, id.number, progress));
    }

    fn health_check_completed(&self, engine: EngineId, report: Option<LoadReport>) {
        self.context
            .with_core(|core, _| core.report_health_check(engine, report));
    }

    fn authorize_send(
        &self,
        engine: EngineId,
        class: usize,
    ) -> Result<Option<ConfigVersions>, SendRejected> {
        let Some(member) = self.context.fleet_member() else {
            return Ok(None);
        };
        let settings = self.settings();
        let class = &settings.classes[class];
        let versions = member
            .authorize(&class.name)
            .ok_or(SendRejected::ClassNotAllowed)?;
        let listed = self.listed_engines.borrow();
        let entry = listed.get(&engine).ok_or(SendRejected::NotListed)?;
        if !allows_endpoint(class, entry) {
            return Err(SendRejected::ClassRestricted);
        }
        let name = self.context.engine_name(engine);
        if !member.accepts_work(&name, self.started_at_ms(entry)) {
            return Err(SendRejected::Draining);
        }
        Ok(Some(versions))
    }
}

/// Returns whether a class may run on an engine. The restrictions may have changed since the policy selected the
/// engine.
fn allows_endpoint(class: &ClassSettings, entry: &EndpointEntry) -> bool {
    let allows = |allowed: &Option<Vec<usize>>, index: Option<usize>| {
        allowed
            .as_ref()
            .is_none_or(|allowed| index.is_some_and(|index| allowed.contains(&index)))
    };
    allows(&class.kinds, entry.kind) && allows(&class.zones, entry.zone)
}
