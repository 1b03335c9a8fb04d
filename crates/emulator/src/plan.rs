//! Owns what is drawn ahead of a run, so that two runs of a plan differ only by what the routers decide.

use hoptiller_mock_servers::work_model::{Job, WorkModelParameters};
use hoptiller_policy::Micros;
use hoptiller_runaway::Announced;
use hoptiller_statement_router::Settings;

/// An engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Its machine kind, by number.
    pub kind: usize,
    /// Its zone, by number.
    pub zone: usize,
    /// How it works.
    pub parameters: WorkModelParameters,
}

/// Why a statement is in the plan beside the usual ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Planted {
    /// A runaway: far more work than its kind.
    Heavy,
    /// A runaway: far more work for the rows it reads.
    BadPlan,
    /// A runaway: a load that holds what others wait for.
    BlockingLoad,
    /// Large, and honest: ten times its kind's median.
    Large,
    /// Large, honest and announced.
    Announced,
}

impl Planted {
    /// Whether it should be found.
    pub fn is_runaway(self) -> bool {
        matches!(
            self,
            Planted::Heavy | Planted::BadPlan | Planted::BlockingLoad
        )
    }

    /// A word for tables.
    pub fn word(self) -> &'static str {
        match self {
            Planted::Heavy => "heavy",
            Planted::BadPlan => "bad plan",
            Planted::BlockingLoad => "blocking load",
            Planted::Large => "large",
            Planted::Announced => "large, announced",
        }
    }
}

/// A statement that will come.
#[derive(Clone, Debug)]
pub struct Statement {
    /// When.
    pub at: Micros,
    /// To which router.
    pub router: usize,
    /// Its class, by number.
    pub class: usize,
    /// Its kind.
    pub fingerprint: u64,
    /// What it is to engines.
    pub job: Job,
    /// Rows that it reads.
    pub reads: u64,
    /// The group of tables that it names.
    pub tables: Option<String>,
    /// What it announces.
    pub announced: Announced,
    /// Why it is planted, if it is.
    pub planted: Option<Planted>,
}

/// A run, drawn ahead.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The settings of the routers; their number is `router.of`.
    pub settings: Settings,
    /// The engines.
    pub engines: Vec<Engine>,
    /// What comes, by time.
    pub statements: Vec<Statement>,
    /// When it ends.
    pub lasts: Micros,
    /// Engines tell progress, work and who stands behind whom.
    pub notes: bool,
    /// Engines tell their load.
    pub reports: bool,
    /// Noise of the share done that engines tell: up to this part more or less.
    pub rough: f64,
}
