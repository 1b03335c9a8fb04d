//! Plans of runs. All inputs are drawn before a run, so that two runs of a plan differ only by the decisions of the routers.

use hoptiller_mock_servers::work_model::{Job, WorkModelParameters};
use hoptiller_policy::Micros;
use hoptiller_runaway::Announced;
use hoptiller_statement_router::Settings;

/// An engine of a plan.
#[derive(Clone, Debug)]
pub struct PlannedEngine {
    /// Its machine kind, by its index in the settings.
    pub kind: usize,
    /// Its zone, by its index in the settings.
    pub zone: usize,
    /// Its size, speed and limits.
    pub parameters: WorkModelParameters,
}

/// The case for which a statement is planted among the usual ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlantedCase {
    /// A runaway with far more work than others of its fingerprint.
    Heavy,
    /// A runaway with far more work than the rows that it reads account for.
    BadPlan,
    /// A runaway load that locks tables for which other statements wait.
    BlockingLoad,
    /// Not a runaway: a statement with ten times the mean work of its fingerprint.
    Large,
    /// Not a runaway: a large statement that its client announces.
    Announced,
}

impl PlantedCase {
    /// Returns whether the detector should flag the statement as a runaway.
    pub fn is_runaway(self) -> bool {
        matches!(
            self,
            PlantedCase::Heavy | PlantedCase::BadPlan | PlantedCase::BlockingLoad
        )
    }

    /// Returns the name that tables and stored figures use.
    pub fn name(self) -> &'static str {
        match self {
            PlantedCase::Heavy => "heavy",
            PlantedCase::BadPlan => "bad plan",
            PlantedCase::BlockingLoad => "blocking load",
            PlantedCase::Large => "large",
            PlantedCase::Announced => "large, announced",
        }
    }
}

/// A statement of a plan.
#[derive(Clone, Debug)]
pub struct PlannedStatement {
    /// Submission time, in µs after the start of the run.
    pub submitted_at: Micros,
    /// The router to which it is submitted.
    pub router: usize,
    /// Its class, by its index in the settings.
    pub class: usize,
    /// Its fingerprint.
    pub fingerprint: u64,
    /// The resources that it needs on an engine.
    pub job: Job,
    /// Number of rows that it reads.
    pub rows_read: u64,
    /// The table group that it uses.
    pub tables: Option<String>,
    /// The size and estimate that its client announces.
    pub announced: Announced,
    /// The case for which it is planted; `None` for usual statements.
    pub planted: Option<PlantedCase>,
}

/// The inputs of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The settings of the routers, which include the number of routers.
    pub settings: Settings,
    /// The engines.
    pub engines: Vec<PlannedEngine>,
    /// The statements, in the order of their submission.
    pub statements: Vec<PlannedStatement>,
    /// Length of the run in µs.
    pub duration: Micros,
    /// Whether engines report the progress and work of their statements, and what blocks them.
    pub reports_progress: bool,
    /// Whether engines report their load.
    pub reports_load: bool,
    /// Maximum relative error of the reported progress, in either direction.
    pub progress_noise: f64,
}
