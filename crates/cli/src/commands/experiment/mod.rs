//! `hoptiller experiment`: runs studies in simulated time, with the code of the routers.

mod chart;
mod runaways;
mod summary;
mod table;

use std::process::ExitCode;

use crate::error::CommandError;

/// The study.
#[derive(clap::Subcommand)]
pub(crate) enum Args {
    /// Studies runaways on simulated servers: time to detection, false positives, and the effect of holds
    Runaways(runaways::Args),
}

pub(crate) fn run(args: &Args) -> Result<ExitCode, CommandError> {
    match args {
        Args::Runaways(args) => runaways::run(args),
    }
}
