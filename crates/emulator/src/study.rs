//! The study of runaway detection: seeded runs with planted runaways and large statements. It measures how soon each
//! runaway is found, whether any other statement is flagged, and how holds affect the other statements. It compares the
//! detector with fixed limits of run time in the same runs.
//!
//! - `condition`: the reports of engines and the enforcement by routers in a run;
//! - `workload`: the seeded drawing of the statements of a run;
//! - `figures`: the figures of one run.

mod condition;
mod figures;
mod workload;

use hoptiller_statement_router::Settings;

use crate::simulation::simulate;

pub use condition::Condition;
pub use figures::{Detection, FIXED_LIMITS_SECONDS, Figures, LimitFigures};
pub use workload::draw_plan;

/// Draws and runs a plan, and returns the figures of the run.
///
/// # Panics
///
/// Panics if the settings are invalid or have fewer than three classes.
pub fn run(settings: &Settings, condition: Condition, seed: u64, engines: usize) -> Figures {
    let plan = draw_plan(settings, condition, seed, engines);
    let record = simulate(&plan, seed);
    Figures::new(&plan, &record, condition, seed)
}

#[cfg(test)]
mod tests;
