//! What one run showed.

use std::collections::BTreeMap;
use std::ops::Range;

use hoptiller_policy::Micros;
use hoptiller_runaway::{Subject, Verdict};
use serde::Serialize;

use super::condition::Condition;
use super::workload::{LOOKUP, PLANT_FROM, SECOND};
use crate::plan::{Plan, PlannedStatement, PlantedCase};
use crate::run::{AttemptRecord, RunRecord, StatementOutcome};
use crate::simulation::CLOCK_START;

/// The fixed limits of run time that are compared, in s.
pub const FIXED_LIMITS_SECONDS: [u64; 3] = [5, 15, 60];
/// Statements that are submitted later than this before the end may not be answered within the run, and don't count.
const RESPONSE_ALLOWANCE: Micros = 30 * SECOND;

/// A planted runaway, and how soon it was found. Serialized as `[case, seconds]`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "(&'static str, Option<f64>)")]
pub struct Detection {
    /// What was planted.
    pub case: PlantedCase,
    /// Run time in s until it was found, without the time in which it was blocked; `None` if it was not.
    pub found_after: Option<f64>,
}

impl From<Detection> for (&'static str, Option<f64>) {
    fn from(detection: Detection) -> Self {
        (detection.case.name(), detection.found_after)
    }
}

/// What a fixed limit of run time would have flagged. Serialized as `[limit, runaways, large, others]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(into = "(u64, usize, usize, usize)")]
pub struct LimitFigures {
    /// The limit in s.
    pub limit_seconds: u64,
    /// Number of planted runaways that ran longer.
    pub runaways: usize,
    /// Number of large statements that ran longer.
    pub large: usize,
    /// Number of other statements that ran longer.
    pub others: usize,
}

impl From<LimitFigures> for (u64, usize, usize, usize) {
    fn from(figures: LimitFigures) -> Self {
        let LimitFigures {
            limit_seconds,
            runaways,
            large,
            others,
        } = figures;
        (limit_seconds, runaways, large, others)
    }
}

/// The figures of one run. The serialized names are those of stored figures.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// The seed.
    pub seed: u64,
    /// The condition.
    pub condition: Condition,
    /// The planted runaways that ran.
    #[serde(rename = "found")]
    pub detections: Vec<Detection>,
    /// Number of planted large statements that ran.
    pub large: usize,
    /// Number of them that were flagged as runaways.
    pub large_flagged: usize,
    /// Number of other statements that ran.
    pub others: usize,
    /// Number of them that were flagged as runaways.
    pub others_flagged: usize,
    /// Number of notices, of engines and fingerprints.
    pub notices: usize,
    /// What fixed limits would have flagged, in the order of [`FIXED_LIMITS_SECONDS`].
    pub limits: Vec<LimitFigures>,
    /// Value of what was answered in time, as a fraction of all; planted runaways don't count.
    #[serde(rename = "worth")]
    pub value_in_time: f64,
    /// Number of lookups that were submitted while a planted load had their tables locked.
    #[serde(rename = "behind")]
    pub behind_load: usize,
    /// Number of them that were served in time.
    #[serde(rename = "behind_on_time")]
    pub behind_load_in_time: usize,
    /// Number of engine crashes.
    #[serde(rename = "fallen")]
    pub engine_crashes: usize,
}

impl Figures {
    /// The figures of a run of a plan.
    pub(super) fn new(plan: &Plan, record: &RunRecord, condition: Condition, seed: u64) -> Self {
        let analysis = RunAnalysis::new(plan, record);
        let timeliness = analysis.timeliness();
        Self {
            seed,
            condition,
            detections: analysis.detections(),
            large: analysis.count_started(Group::Large),
            large_flagged: analysis.count_flagged(Group::Large),
            others: analysis.count_started(Group::Other),
            others_flagged: analysis.count_flagged(Group::Other),
            notices: analysis.count_notices(),
            limits: FIXED_LIMITS_SECONDS
                .map(|limit| analysis.limit_figures(limit))
                .to_vec(),
            value_in_time: timeliness.value_in_time / timeliness.total_value,
            behind_load: timeliness.behind_load,
            behind_load_in_time: timeliness.behind_load_in_time,
            engine_crashes: record.engine_crashes,
        }
    }
}

/// What a statement is to the study.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Group {
    /// A planted runaway.
    Runaway,
    /// Planted, and not a runaway.
    Large,
    /// Not planted.
    Other,
}

impl Group {
    fn new(statement: &PlannedStatement) -> Self {
        match statement.planted {
            None => Group::Other,
            Some(case) if case.is_runaway() => Group::Runaway,
            Some(_) => Group::Large,
        }
    }
}

/// The tables that a planted load had locked, and when.
struct LockedTables<'a> {
    tables: Option<&'a String>,
    while_locked: Range<Micros>,
}

/// Sums over the statements that were submitted after the statistics were known.
#[derive(Default)]
struct Timeliness {
    value_in_time: f64,
    total_value: f64,
    behind_load: usize,
    behind_load_in_time: usize,
}

/// A run by statement of its plan.
struct RunAnalysis<'a> {
    plan: &'a Plan,
    record: &'a RunRecord,
    /// When an engine first admitted it.
    started: BTreeMap<usize, Micros>,
    /// The longest time that one of its attempts was at an engine.
    longest: BTreeMap<usize, Micros>,
    /// When it was first found to be a runaway.
    flagged: BTreeMap<usize, Micros>,
}

impl<'a> RunAnalysis<'a> {
    fn new(plan: &'a Plan, record: &'a RunRecord) -> Self {
        let mut analysis = Self {
            plan,
            record,
            started: BTreeMap::new(),
            longest: BTreeMap::new(),
            flagged: BTreeMap::new(),
        };
        analysis.index_attempts();
        analysis.index_findings();
        analysis
    }

    fn index_attempts(&mut self) {
        for attempt in &self.record.attempts {
            let statement = attempt.statement;
            self.started.entry(statement).or_insert(attempt.started_at);
            let run_time = self.end_of(attempt) - attempt.started_at;
            let longest = self.longest.entry(statement).or_default();
            *longest = (*longest).max(run_time);
        }
    }

    fn index_findings(&mut self) {
        for reported in &self.record.findings {
            let finding = &reported.finding;
            if let (Verdict::Runaway, Subject::Statement(name)) =
                (finding.verdict, &finding.subject)
                && let Some(statement) = self.record.statement_by_name(name)
            {
                self.flagged.entry(statement).or_insert(reported.at);
            }
        }
    }

    /// When an attempt ended, at the latest with the run.
    fn end_of(&self, attempt: &AttemptRecord) -> Micros {
        let end_of_run = CLOCK_START + self.plan.duration;
        attempt.ended_at.unwrap_or(end_of_run)
    }

    fn group(&self, statement: usize) -> Group {
        Group::new(&self.plan.statements[statement])
    }

    fn count_started(&self, group: Group) -> usize {
        let started = self.started.keys();
        started
            .filter(|statement| self.group(**statement) == group)
            .count()
    }

    fn count_flagged(&self, group: Group) -> usize {
        let flagged = self.flagged.keys();
        flagged
            .filter(|statement| self.group(**statement) == group)
            .count()
    }

    fn count_longer(&self, limit_seconds: u64, group: Group) -> usize {
        self.longest
            .iter()
            .filter(|(statement, run_time)| {
                self.group(**statement) == group && **run_time > limit_seconds * SECOND
            })
            .count()
    }

    fn count_notices(&self) -> usize {
        let findings = self.record.findings.iter();
        findings
            .filter(|reported| reported.finding.verdict == Verdict::Notice)
            .count()
    }

    fn limit_figures(&self, limit_seconds: u64) -> LimitFigures {
        LimitFigures {
            limit_seconds,
            runaways: self.count_longer(limit_seconds, Group::Runaway),
            large: self.count_longer(limit_seconds, Group::Large),
            others: self.count_longer(limit_seconds, Group::Other),
        }
    }

    /// The planted runaways that ran, and how soon they were found.
    fn detections(&self) -> Vec<Detection> {
        let runaways = self.started.iter().filter_map(|(statement, started)| {
            let case = self.plan.statements[*statement].planted?;
            case.is_runaway().then_some((*statement, *started, case))
        });
        runaways
            .map(|(statement, started, case)| Detection {
                case,
                found_after: self.found_after(statement, started),
            })
            .collect()
    }

    /// Run time in s until a statement was found. One that is blocked does not run.
    fn found_after(&self, statement: usize, started: Micros) -> Option<f64> {
        let flagged = *self.flagged.get(&statement)?;
        let blocked_seconds = self.observed_stalls(statement, flagged) as f64;
        Some(((flagged - started) as f64 / 1e6 - blocked_seconds).max(0.0))
    }

    /// Number of polls until then at which a statement was blocked; each counts for one second, the poll interval.
    fn observed_stalls(&self, statement: usize, until: Micros) -> usize {
        let attempts = self.record.attempts.iter();
        attempts
            .filter(|attempt| attempt.statement == statement)
            .flat_map(|attempt| &attempt.observed_stalls)
            .filter(|at| **at <= until)
            .count()
    }

    /// The tables that planted loads had locked.
    fn locked_tables(&self) -> Vec<LockedTables<'a>> {
        self.record
            .attempts
            .iter()
            .map(|attempt| (attempt, &self.plan.statements[attempt.statement]))
            .filter(|(_, statement)| statement.planted == Some(PlantedCase::BlockingLoad))
            .map(|(attempt, statement)| LockedTables {
                tables: statement.tables.as_ref(),
                while_locked: attempt.started_at..self.end_of(attempt),
            })
            .collect()
    }

    /// The fraction of its value that a statement had when it was answered.
    fn value_fraction(&self, index: usize) -> f64 {
        let statement = &self.plan.statements[index];
        let class = &self.plan.settings.classes[statement.class];
        let objective = class.latency_objective.as_secs_f64() * 1e6
            + class.objective_stretch * statement.job.work / class.threads;
        match &self.record.ends[index] {
            Some(end) if end.outcome == StatementOutcome::Served => {
                let response_time = (end.at - CLOCK_START - statement.submitted_at) as f64;
                if response_time <= objective {
                    1.0
                } else {
                    class.late_weight_ratio
                }
            }
            _ => 0.0,
        }
    }

    fn timeliness(&self) -> Timeliness {
        let locked_tables = self.locked_tables();
        let mut sums = Timeliness::default();
        for (index, statement) in self.plan.statements.iter().enumerate() {
            if !self.counts_for_timeliness(statement) {
                continue;
            }
            let fraction = self.value_fraction(index);
            let value = self.plan.settings.classes[statement.class].priority_weight;
            sums.value_in_time += fraction * value;
            sums.total_value += value;
            if statement.class == LOOKUP && is_behind_load(statement, &locked_tables) {
                sums.behind_load += 1;
                sums.behind_load_in_time += usize::from(fraction == 1.0);
            }
        }
        sums
    }

    fn counts_for_timeliness(&self, statement: &PlannedStatement) -> bool {
        let submitted_at = statement.submitted_at;
        Group::new(statement) != Group::Runaway
            && submitted_at >= PLANT_FROM
            && submitted_at + RESPONSE_ALLOWANCE <= self.plan.duration
    }
}

/// Whether a planted load had the tables of a statement locked when it was submitted.
fn is_behind_load(statement: &PlannedStatement, locked_tables: &[LockedTables]) -> bool {
    let submitted_at = CLOCK_START + statement.submitted_at;
    locked_tables.iter().any(|locked| {
        locked.tables == statement.tables.as_ref() && locked.while_locked.contains(&submitted_at)
    })
}
