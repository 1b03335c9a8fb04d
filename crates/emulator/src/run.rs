//! What a run records: the outcomes of the statements, the attempts at engines, and the findings of the routers.

use std::collections::BTreeMap;

use hoptiller_policy::Micros;
use hoptiller_router_core::StatementId;
use hoptiller_runaway::Finding;

/// The outcome of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatementOutcome {
    /// All rows were delivered.
    Served,
    /// It was rejected, at submission or after admission.
    Rejected,
    /// It failed: it may have run, or its result was cut.
    Failed,
}

/// How and when a statement ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatementEnd {
    /// The outcome.
    pub outcome: StatementOutcome,
    /// When, by the clock of the run.
    pub at: Micros,
}

/// An attempt as its engine saw it. Times are by the clock of the run.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    /// The statement, by its index in the plan.
    pub statement: usize,
    /// The engine, by its index in the plan.
    pub engine: usize,
    /// When the engine admitted it.
    pub started_at: Micros,
    /// When it ended there, if it did.
    pub ended_at: Option<Micros>,
    /// The polls at which it was blocked; each stands for one poll interval.
    pub observed_stalls: Vec<Micros>,
}

/// A finding of a router.
#[derive(Clone, Debug)]
pub struct ReportedFinding {
    /// The router.
    pub router: usize,
    /// When it was reported, by the clock of the run.
    pub at: Micros,
    /// The finding.
    pub finding: Finding,
}

/// What a run records.
#[derive(Clone, Debug, Default)]
pub struct RunRecord {
    /// By statement of the plan: its end; `None` where the run ended before.
    pub ends: Vec<Option<StatementEnd>>,
    /// The attempts that engines admitted, in that order.
    pub attempts: Vec<AttemptRecord>,
    /// The findings, in the order in which they were reported.
    pub findings: Vec<ReportedFinding>,
    /// By router: the statements of the plan, by the router's ids.
    pub statements_by_id: Vec<BTreeMap<StatementId, usize>>,
    /// Number of engine crashes.
    pub engine_crashes: usize,
}

impl RunRecord {
    /// The statement of the plan that engines know by this name, `r0/00017_emulated`.
    pub fn statement_by_name(&self, name: &str) -> Option<usize> {
        let (router, rest) = name.strip_prefix('r')?.split_once('/')?;
        let (number, _) = rest.split_once('_')?;
        let statements = self.statements_by_id.get(router.parse::<usize>().ok()?)?;
        statements.get(&number.parse().ok()?).copied()
    }
}
