//! The clients, which submit the statements of the plan and fetch each response as soon as it is ready.

use std::rc::Rc;

use hoptiller_router_core::{
    EngineStatement, FinalResponse, PollOutcome, ResponseContent, StatementId, Submission, group_of,
};

use super::Simulation;
use crate::plan::PlannedStatement;
use crate::run::{StatementEnd, StatementOutcome};

impl Simulation<'_> {
    /// Submits a statement of the plan to its router.
    pub(super) fn submit(&mut self, index: usize) {
        let statement = &self.plan.statements[index];
        let router = statement.router;
        let submitted = self.routers[router]
            .core
            .submit(self.now, submission(index, statement));
        match submitted {
            Ok(id) => {
                self.record.statements_by_id[router].insert(id, index);
                self.routers[router].next_pages.insert(id, 0);
                self.poll_responses(router, id);
            }
            Err(_) => self.record_end(index, StatementOutcome::Rejected),
        }
        self.process_router(router);
    }

    /// Polls a statement until no further response is ready.
    pub(super) fn poll_responses(&mut self, router: usize, id: StatementId) {
        loop {
            let now = self.now;
            let simulated = &mut self.routers[router];
            let Some(page) = simulated.next_pages.get(&id).copied() else {
                return;
            };
            let PollOutcome::Response(response) = simulated.core.poll(now, id, page) else {
                break;
            };
            simulated.next_pages.insert(id, page + 1);
            if !response.is_final() {
                continue;
            }
            simulated.next_pages.remove(&id);
            if let Some(index) = self.record.statements_by_id[router].get(&id).copied() {
                self.record_end(index, outcome(&response.content));
            }
            break;
        }
        self.process_router(router);
    }

    fn record_end(&mut self, index: usize, outcome: StatementOutcome) {
        let at = self.now;
        self.record.ends[index] = Some(StatementEnd { outcome, at });
    }
}

fn submission(index: usize, statement: &PlannedStatement) -> Submission {
    Submission {
        class: statement.class,
        tenant: None,
        ordering_key: None,
        group: statement.tables.as_deref().map(group_of),
        estimated_work: None,
        estimated_memory_mb: 0.0,
        fingerprint: statement.fingerprint,
        label: format!("kind {}", statement.fingerprint).into(),
        announced: statement.announced,
        is_retry: false,
        timeout: None,
        engine_statement: Rc::new(EngineStatement {
            text: index.to_string(),
            fields: Vec::new(),
        }),
    }
}

/// Returns the outcome that the final response of a statement reports.
fn outcome(content: &ResponseContent) -> StatementOutcome {
    match content {
        ResponseContent::Rows(_) | ResponseContent::Final(FinalResponse::Completed) => {
            StatementOutcome::Served
        }
        ResponseContent::Final(
            FinalResponse::Rejected { .. } | FinalResponse::TerminatedByRule { .. },
        ) => StatementOutcome::Rejected,
        _ => StatementOutcome::Failed,
    }
}
