//! The record of a run: the outcomes of the statements, the attempts at engines, and the findings of the routers.

use std::collections::BTreeMap;

use hoptiller_policy::Micros;
use hoptiller_router_core::StatementId;
use hoptiller_runaway::Finding;

/// The outcome of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementOutcome {
    /// All rows were delivered.
    Served,
    /// The router rejected it, at submission or later.
    Rejected,
    /// It failed: it may have run, or its result was truncated.
    Failed,
}

/// The end of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatementEnd {
    /// The outcome.
    pub outcome: StatementOutcome,
    /// The time, by the clock of the run.
    pub at: Micros,
}

/// An attempt as its engine saw it. Times are by the clock of the run.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// The statement, by its index in the plan.
    pub statement: usize,
    /// The engine, by its index in the plan.
    pub engine: usize,
    /// Time at which the engine admitted it.
    pub started_at: Micros,
    /// Time at which it ended at the engine; `None` if it did not.
    pub ended_at: Option<Micros>,
    /// Times of the polls at which it was blocked; each stands for one poll interval.
    pub observed_stalls: Vec<Micros>,
}

/// A finding of a router.
#[derive(Clone, Debug)]
pub struct ReportedFinding {
    /// The router.
    pub router: usize,
    /// Time of the report, by the clock of the run.
    pub at: Micros,
    /// The finding.
    pub finding: Finding,
}

/// The record of a run.
#[derive(Clone, Debug, Default)]
pub struct RunRecord {
    /// The end of each statement of the plan; `None` for a statement that was open when the run ended.
    pub ends: Vec<Option<StatementEnd>>,
    /// The attempts that engines admitted, in the order of admission.
    pub attempts: Vec<AttemptRecord>,
    /// The findings, in the order of their reports.
    pub findings: Vec<ReportedFinding>,
    /// For each router, the indices of the plan's statements by the router's statement ids.
    pub statements_by_id: Vec<BTreeMap<StatementId, usize>>,
    /// Number of engine crashes.
    pub engine_crashes: usize,
}

impl RunRecord {
    /// Returns the index in the plan of the statement with this name at engines, such as `r0/00017_emulated`.
    pub fn statement_by_name(&self, name: &str) -> Option<usize> {
        let (router, rest) = name.strip_prefix('r')?.split_once('/')?;
        let (number, _) = rest.split_once('_')?;
        let statements = self.statements_by_id.get(router.parse::<usize>().ok()?)?;
        statements.get(&number.parse().ok()?).copied()
    }
}
