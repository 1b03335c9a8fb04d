//! What is drawn before a run, so that two runs of a plan differ only by what the routers decide.

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

/// Why a statement stands in a plan beside the usual ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlantedCase {
    /// A runaway: far more work than others of its fingerprint.
    Heavy,
    /// A runaway: far more work for the rows that it reads.
    BadPlan,
    /// A runaway: a load that locks what others wait for.
    BlockingLoad,
    /// Not a runaway: ten times the median work of its fingerprint.
    Large,
    /// Not a runaway: large, and announced by its client.
    Announced,
}

impl PlantedCase {
    /// Whether the statement should be found.
    pub fn is_runaway(self) -> bool {
        matches!(
            self,
            PlantedCase::Heavy | PlantedCase::BadPlan | PlantedCase::BlockingLoad
        )
    }

    /// The name in tables and stored figures.
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
    /// When it is submitted, in µs after the start of the run.
    pub submitted_at: Micros,
    /// The router to which it is submitted.
    pub router: usize,
    /// Its class, by its index in the settings.
    pub class: usize,
    /// Its fingerprint.
    pub fingerprint: u64,
    /// Its demand on an engine.
    pub job: Job,
    /// Number of rows that it reads.
    pub rows_read: u64,
    /// The group of tables that it names.
    pub tables: Option<String>,
    /// What its client announces of it.
    pub announced: Announced,
    /// Why it is planted; `None` for the usual ones.
    pub planted: Option<PlantedCase>,
}

/// A run, drawn before it begins.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The settings of the routers; they also say how many there are.
    pub settings: Settings,
    /// The engines.
    pub engines: Vec<PlannedEngine>,
    /// The statements, in the order of their submission.
    pub statements: Vec<PlannedStatement>,
    /// Length of the run in µs.
    pub duration: Micros,
    /// Whether engines report progress, work done and what blocks a statement.
    pub reports_progress: bool,
    /// Whether engines report their load.
    pub reports_load: bool,
    /// Noise of the reported progress: up to this fraction more or less.
    pub progress_noise: f64,
}
