//! `hoptiller fleet`: who is on which version; and a whole fleet on loopback, with faults between its processes.

mod leases;
mod replace;
mod run;
mod status;

use std::process::ExitCode;

use crate::run::Failure;
use replace::ReplaceArgs;
use run::RunArgs;
use status::StatusArgs;

pub(crate) use run::check;
pub(crate) use status::waiting_for;

#[derive(clap::Subcommand)]
pub(crate) enum Args {
    /// Shows keepers, versions, and the routers that hold permits
    ClusterStatus(StatusArgs),
    /// Shows which router does which part of a fleet-wide task, and until when at least
    Leases(StatusArgs),
    /// Puts a new keeper in the place of one that is lost with its disk, while the others go on
    ReplaceKeeper(ReplaceArgs),
    /// Plays a day with processes of this program on loopback, and faults between them; then judges it
    Run(RunArgs),
}

/// Runs the command.
///
/// # Errors
///
/// When its arguments or a file are wrong, or something outside of this program fails.
pub(crate) fn run(args: &Args) -> Result<ExitCode, Failure> {
    match args {
        Args::ClusterStatus(args) => status::run(args),
        Args::Leases(args) => leases::run(args),
        Args::ReplaceKeeper(args) => replace::run(args),
        Args::Run(args) => run::run(args),
    }
}
