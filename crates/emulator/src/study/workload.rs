//! The seeded drawing of the statements of a run: usual statements of three classes, and planted ones among them.

use std::time::Duration;

use hoptiller_mock_servers::work_model::{Job, WorkModelParameters};
use hoptiller_policy::Micros;
use hoptiller_runaway::Announced;
use hoptiller_statement_router::Settings;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

use super::condition::Condition;
use crate::plan::{Plan, PlannedEngine, PlannedStatement, PlantedCase};

/// Microseconds in a second.
pub(super) const SECOND: Micros = 1_000_000;
/// Time before which no statement is planted, so that the detector has statistics of each fingerprint.
pub(super) const PLANT_FROM: Micros = 240 * SECOND;
/// Time from which no statement is planted.
const PLANT_UNTIL: Micros = 420 * SECOND;
/// Length of a run.
const RUN_DURATION: Micros = 600 * SECOND;
/// Time from the detection of a runaway until it is killed, under conditions that kill runaways.
const KILL_AFTER: Duration = Duration::from_secs(5);
/// Maximum relative error of the reported progress.
const PROGRESS_NOISE: f64 = 0.15;
/// Number of table groups.
const TABLE_GROUPS: u64 = 24;
/// Work in µs to read a row.
const WORK_PER_ROW: f64 = 10.0;
/// The size that the client of an announced statement states, such as a number of inserted rows.
const ANNOUNCED_SIZE: u64 = 12;
/// Distance between the first fingerprint ids of consecutive classes; above the number of fingerprints of any class.
const FINGERPRINT_ID_STRIDE: u64 = 100;

/// Indices of the classes in the settings.
pub(super) const LOOKUP: usize = 0;
const REPORT: usize = 1;
const LOAD: usize = 2;

/// The usual statements of a class.
struct ClassTraffic {
    /// Statements per second.
    rate: f64,
    /// Number of fingerprints. Their mean work rises linearly from the minimum to the maximum.
    fingerprints: u64,
    /// Mean work of the lightest fingerprint in ms.
    min_work_ms: f64,
    /// Mean work of the heaviest fingerprint in ms.
    max_work_ms: f64,
    io_fraction: f64,
    memory_mb: f64,
}

impl ClassTraffic {
    /// Returns the mean work of a fingerprint in µs, which is the same in all runs.
    fn mean_work(&self, fingerprint: u64) -> f64 {
        let (min, max) = (self.min_work_ms, self.max_work_ms);
        1000.0 * (min + (max - min) * fingerprint as f64 / (self.fingerprints - 1) as f64)
    }
}

/// The usual statements of each class, by the index of the class.
const TRAFFIC: [ClassTraffic; 3] = [
    ClassTraffic {
        rate: 70.0,
        fingerprints: 6,
        min_work_ms: 150.0,
        max_work_ms: 400.0,
        io_fraction: 0.3,
        memory_mb: 20.0,
    },
    ClassTraffic {
        rate: 2.4,
        fingerprints: 4,
        min_work_ms: 2_000.0,
        max_work_ms: 6_000.0,
        io_fraction: 0.45,
        memory_mb: 200.0,
    },
    ClassTraffic {
        rate: 1.0,
        fingerprints: 3,
        min_work_ms: 2_500.0,
        max_work_ms: 4_500.0,
        io_fraction: 0.55,
        memory_mb: 150.0,
    },
];

/// A statement to be planted.
#[derive(Clone, Copy)]
struct Planting {
    case: PlantedCase,
    class: usize,
}

/// The statements that are planted in each run.
const PLANTINGS: [Planting; 10] = [
    planting(PlantedCase::Heavy, REPORT),
    planting(PlantedCase::Heavy, REPORT),
    planting(PlantedCase::Heavy, LOOKUP),
    planting(PlantedCase::BadPlan, REPORT),
    planting(PlantedCase::BlockingLoad, LOAD),
    planting(PlantedCase::BlockingLoad, LOAD),
    planting(PlantedCase::Large, REPORT),
    planting(PlantedCase::Large, REPORT),
    planting(PlantedCase::Announced, REPORT),
    planting(PlantedCase::Announced, REPORT),
];

const fn planting(case: PlantedCase, class: usize) -> Planting {
    Planting { case, class }
}

/// Draws a plan. The same seed gives the same statements under all conditions.
///
/// # Panics
///
/// Panics if the settings have fewer than three classes.
pub fn draw_plan(settings: &Settings, condition: Condition, seed: u64, engines: usize) -> Plan {
    let settings = conditioned_settings(settings, condition);
    let mut draw = StatementDraw {
        rng: StdRng::seed_from_u64(seed),
        settings: &settings,
    };
    let mut statements = draw.usual_statements();
    draw.plant(&mut statements);
    statements.sort_by_key(|statement| statement.submitted_at);
    let engines = (0..engines)
        .map(|index| PlannedEngine {
            kind: index % 2,
            zone: index % 3,
            parameters: WorkModelParameters::default(),
        })
        .collect();
    Plan {
        engines,
        statements,
        duration: RUN_DURATION,
        reports_progress: condition.reports_progress,
        reports_load: condition.reports_load,
        progress_noise: PROGRESS_NOISE,
        settings,
    }
}

fn conditioned_settings(settings: &Settings, condition: Condition) -> Settings {
    let mut settings = settings.clone();
    settings.engines.load_reports = condition.reports_load;
    settings.engines.health_checks &= condition.reports_load;
    for acts in &mut settings.runaways.enforcement {
        acts.hold &= condition.holds_runaways;
        acts.kill |= condition.kills_runaways;
    }
    settings.runaways.kill_after = KILL_AFTER;
    settings
}

/// Draws statements. A change in the order of the draws changes the statements of every seed.
struct StatementDraw<'s> {
    rng: StdRng,
    settings: &'s Settings,
}

impl StatementDraw<'_> {
    /// Draws the usual statements of all classes, as Poisson arrivals.
    fn usual_statements(&mut self) -> Vec<PlannedStatement> {
        let mut statements = Vec::new();
        for (class, traffic) in TRAFFIC.iter().enumerate() {
            let mut arrival_seconds = 0.0;
            loop {
                arrival_seconds += self.draw_interval(traffic.rate);
                let submitted_at = (arrival_seconds * 1e6) as Micros;
                if submitted_at >= RUN_DURATION {
                    break;
                }
                let fingerprint = self.rng.random_range(0..traffic.fingerprints);
                let work = traffic.mean_work(fingerprint) * self.rng.random_range(0.5..1.5);
                statements.push(self.statement(submitted_at, class, fingerprint, work));
            }
        }
        statements
    }

    /// Draws the time in s to the next arrival, at a rate per s.
    fn draw_interval(&mut self, rate: f64) -> f64 {
        -(1.0 - self.rng.random_range(0.0..1.0f64)).ln() / rate
    }

    /// Divides the planting time into equal parts, and plants one statement in each, in random order.
    fn plant(&mut self, statements: &mut Vec<PlannedStatement>) {
        let part = (PLANT_UNTIL - PLANT_FROM) / PLANTINGS.len() as u64;
        let mut parts: Vec<u64> = (0..PLANTINGS.len() as u64).collect();
        parts.shuffle(&mut self.rng);
        for (planting, index) in PLANTINGS.into_iter().zip(parts) {
            let submitted_at = PLANT_FROM + index * part + self.rng.random_range(0..part);
            statements.push(self.planted_statement(planting, submitted_at));
        }
    }

    fn planted_statement(&mut self, planting: Planting, submitted_at: Micros) -> PlannedStatement {
        let Planting { case, class } = planting;
        let fingerprint = self.rng.random_range(0..TRAFFIC[class].fingerprints);
        let usual_work = TRAFFIC[class].mean_work(fingerprint);
        let work = usual_work * self.draw_work_factor(planting);
        let mut statement = self.statement(submitted_at, class, fingerprint, work);
        statement.planted = Some(case);
        if case == PlantedCase::BadPlan {
            statement.rows_read = (usual_work / WORK_PER_ROW) as u64;
        }
        if case == PlantedCase::Announced {
            statement.announced = Announced {
                size: ANNOUNCED_SIZE,
                estimate: None,
            };
        }
        statement
    }

    /// Draws the work of a planted statement, as a multiple of the mean work of its fingerprint.
    fn draw_work_factor(&mut self, planting: Planting) -> f64 {
        match planting.case {
            PlantedCase::Heavy if planting.class == LOOKUP => self.rng.random_range(150.0..400.0),
            PlantedCase::Heavy | PlantedCase::BadPlan => self.rng.random_range(40.0..120.0),
            PlantedCase::BlockingLoad => self.rng.random_range(30.0..80.0),
            PlantedCase::Large | PlantedCase::Announced => 10.0,
        }
    }

    fn statement(
        &mut self,
        submitted_at: Micros,
        class: usize,
        fingerprint: u64,
        work: f64,
    ) -> PlannedStatement {
        let traffic = &TRAFFIC[class];
        let class_settings = &self.settings.classes[class];
        let table_group = self.rng.random_range(0..TABLE_GROUPS);
        let router = self
            .rng
            .random_range(0..self.settings.router.fleet_size as usize);
        PlannedStatement {
            submitted_at,
            router,
            class,
            fingerprint: class as u64 * FINGERPRINT_ID_STRIDE + fingerprint,
            job: Job {
                io_fraction: traffic.io_fraction,
                memory_mb: traffic.memory_mb,
                data_set: Some(table_group),
                locks_data_sets: class_settings.holds_tables,
                ..Job::new(work, class_settings.threads)
            },
            rows_read: (work / WORK_PER_ROW) as u64,
            tables: Some(format!("g{table_group}")),
            announced: Announced::default(),
            planted: None,
        }
    }
}
