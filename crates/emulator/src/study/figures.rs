//! The figures of one run.

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

/// The fixed limits of run time with which the detector is compared, in s.
pub const FIXED_LIMITS_SECONDS: [u64; 3] = [5, 15, 60];
/// Time before the end of a run in which submitted statements don't count, as they may not get their response within the
/// run.
const RESPONSE_ALLOWANCE: Micros = 30 * SECOND;

/// A planted runaway, and how soon it was found. Serialized as `[case, seconds]`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(into = "(&'static str, Option<f64>)")]
pub struct Detection {
    /// The planted case.
    pub case: PlantedCase,
    /// Run time in s until it was found, excluding the time in which it was blocked; `None` if it was not found.
    pub found_after: Option<f64>,
}

impl From<Detection> for (&'static str, Option<f64>) {
    fn from(detection: Detection) -> Self {
        (detection.case.name(), detection.found_after)
    }
}

/// The numbers of statements that a fixed limit of run time would have flagged. Serialized as `[limit, runaways,
/// large, others]`.
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
    /// The planted runaways that started at an engine.
    #[serde(rename = "found")]
    pub detections: Vec<Detection>,
    /// Number of planted large statements that started at an engine.
    pub large: usize,
    /// Number of them that were flagged as runaways.
    pub large_flagged: usize,
    /// Number of other statements that started at an engine.
    pub others: usize,
    /// Number of them that were flagged as runaways.
    pub others_flagged: usize,
    /// Number of findings with the verdict notice, which concern engines and fingerprints.
    pub notices: usize,
    /// The figures of fixed limits, in the order of [`FIXED_LIMITS_SECONDS`].
    pub limits: Vec<LimitFigures>,
    /// Value of the served statements, with late ones at their reduced weight, as a fraction of the value of all statements
    /// that count.
    #[serde(rename = "worth")]
    pub served_value: f64,
    /// Number of lookups that were submitted while a planted load had locked their tables.
    #[serde(rename = "behind")]
    pub lookups_behind_load: usize,
    /// Number of them that were served in time.
    #[serde(rename = "behind_on_time")]
    pub lookups_behind_load_in_time: usize,
    /// Number of engine crashes.
    #[serde(rename = "fallen")]
    pub engine_crashes: usize,
}

impl Figures {
    /// Computes the figures of a run of a plan.
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
            served_value: timeliness.served_value / timeliness.total_value,
            lookups_behind_load: timeliness.lookups_behind_load,
            lookups_behind_load_in_time: timeliness.lookups_behind_load_in_time,
            engine_crashes: record.engine_crashes,
        }
    }
}

/// The groups into which the study divides statements.
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

/// The tables that a planted load locked, and the time for which it did.
struct LockedTables<'a> {
    tables: Option<&'a String>,
    while_locked: Range<Micros>,
}

/// Sums over the statements that count for timeliness: usual and large ones that are submitted after the detector has
/// statistics ([`PLANT_FROM`]), and early enough to get a response within the run.
#[derive(Default)]
struct Timeliness {
    served_value: f64,
    total_value: f64,
    lookups_behind_load: usize,
    lookups_behind_load_in_time: usize,
}

/// The attempts and findings of a run, indexed by statement of the plan.
struct RunAnalysis<'a> {
    plan: &'a Plan,
    record: &'a RunRecord,
    /// Time at which an engine first admitted each statement.
    started: BTreeMap<usize, Micros>,
    /// The longest time for which an attempt of each statement was at an engine.
    longest: BTreeMap<usize, Micros>,
    /// Time at which each statement was first found to be a runaway.
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

    /// Returns the time at which an attempt ended, which is at most the end of the run.
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

    /// Returns the planted runaways that started, with their times to detection.
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

    /// Returns the run time in s until a statement was found. The time in which it was blocked does not count.
    fn found_after(&self, statement: usize, started: Micros) -> Option<f64> {
        let flagged = *self.flagged.get(&statement)?;
        let blocked_seconds = self.observed_stalls(statement, flagged) as f64;
        Some(((flagged - started) as f64 / 1e6 - blocked_seconds).max(0.0))
    }

    /// Counts the polls up to a time at which a statement was blocked. Each stands for one second, the poll interval.
    fn observed_stalls(&self, statement: usize, until: Micros) -> usize {
        let attempts = self.record.attempts.iter();
        attempts
            .filter(|attempt| attempt.statement == statement)
            .flat_map(|attempt| &attempt.observed_stalls)
            .filter(|at| **at <= until)
            .count()
    }

    /// Returns the tables that planted loads locked.
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

    /// Returns the fraction of its value that a statement had when it was served; zero if it was not served.
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
            sums.served_value += fraction * value;
            sums.total_value += value;
            if statement.class == LOOKUP && is_behind_load(statement, &locked_tables) {
                sums.lookups_behind_load += 1;
                sums.lookups_behind_load_in_time += usize::from(fraction == 1.0);
            }
        }
        sums
    }

    /// Returns whether a statement counts for timeliness. Runaways don't, nor statements from before the detector has
    /// statistics, nor those that may not get a response within the run.
    fn counts_for_timeliness(&self, statement: &PlannedStatement) -> bool {
        let submitted_at = statement.submitted_at;
        Group::new(statement) != Group::Runaway
            && submitted_at >= PLANT_FROM
            && submitted_at + RESPONSE_ALLOWANCE <= self.plan.duration
    }
}

/// Returns whether a planted load had locked the tables of a statement when the statement was submitted.
fn is_behind_load(statement: &PlannedStatement, locked_tables: &[LockedTables]) -> bool {
    let submitted_at = CLOCK_START + statement.submitted_at;
    locked_tables.iter().any(|locked| {
        locked.tables == statement.tables.as_ref() && locked.while_locked.contains(&submitted_at)
    })
}
