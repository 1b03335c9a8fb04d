//! The study of runaway detection: seeded runs with planted runaways and large statements. It shows how soon each runaway
//! is found and whether anything else is flagged, beside fixed limits of run time in the same runs; and what holds change
//! for the other statements.
//!
//! - `condition`: what engines report and what routers enforce in a run;
//! - `workload`: the statements of a run, drawn by seed;
//! - `figures`: what one run showed.

mod condition;
mod figures;
mod workload;

use hoptiller_statement_router::Settings;

use crate::simulation::simulate;

pub use condition::Condition;
pub use figures::{Detection, FIXED_LIMITS_SECONDS, Figures, LimitFigures};
pub use workload::draw_plan;

/// Draws and runs a plan; its figures.
///
/// # Panics
///
/// If the settings were not checked, or have fewer than three classes.
pub fn run(settings: &Settings, condition: Condition, seed: u64, engines: usize) -> Figures {
    let plan = draw_plan(settings, condition, seed, engines);
    let record = simulate(&plan, seed);
    Figures::new(&plan, &record, condition, seed)
}

#[cfg(test)]
mod tests;
