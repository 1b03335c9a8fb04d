//! `hoptiller experiment`: studies in simulated time, with the routers' own code.

mod chart;
mod runaways;

use std::process::ExitCode;

use crate::run::Failure;

#[derive(clap::Subcommand)]
pub enum Args {
    /// Runaways: how soon they are found, whether anything else is, and what holding changes. Simulated servers.
    Runaways(runaways::Args),
}

pub fn run(args: &Args) -> Result<ExitCode, Failure> {
    match args {
        Args::Runaways(args) => runaways::run(args),
    }
}
