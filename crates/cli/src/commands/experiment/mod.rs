//! `hoptiller experiment`: studies in simulated time, with the routers' own code.

mod chart;
mod runaways;
mod summary;
mod table;

use std::process::ExitCode;

use crate::error::CommandError;
pub(crate) use runaways::MissingClassError;

/// The study.
#[derive(clap::Subcommand)]
pub(crate) enum Args {
    /// Runaways: how soon they are found, false positives, and the effect of holds. Simulated servers.
    Runaways(runaways::Args),
}

pub(crate) fn run(args: &Args) -> Result<ExitCode, CommandError> {
    match args {
        Args::Runaways(args) => runaways::run(args),
    }
}
