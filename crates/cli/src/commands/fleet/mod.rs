//! `hoptiller fleet`: shows and changes the state of a fleet, and runs a whole fleet on loopback with faults between its
//! processes.

mod leases;
mod replace;
mod run;
mod status;

use std::process::ExitCode;

use crate::error::CommandError;
use replace::ReplaceArgs;
use run::RunArgs;
use status::StatusArgs;

pub(crate) use run::check;
pub(crate) use status::format_blocking_holders;

/// The subcommands of `hoptiller fleet`.
#[derive(clap::Subcommand)]
pub(crate) enum Args {
    /// Shows replicas (keepers), versions, and the routers that hold config leases (permits)
    #[command(alias = "cluster-status")]
    Status(StatusArgs),
    /// Shows which router holds which shard of a fleet-wide task, and for how long at least
    Leases(StatusArgs),
    /// Replaces a replica that was lost with its disk, while the others run
    ReplaceKeeper(ReplaceArgs),
    /// Runs a scenario (day) with processes of this program on loopback and faults between them, and checks its records
    /// against the rules
    Run(RunArgs),
}

/// Runs the command.
///
/// # Errors
///
/// Returns an error if the arguments or a file are invalid, or if something outside of this program fails.
pub(crate) fn run(args: &Args) -> Result<ExitCode, CommandError> {
    match args {
        Args::Status(args) => status::run(args),
        Args::Leases(args) => leases::run(args),
        Args::ReplaceKeeper(args) => replace::run(args),
        Args::Run(args) => run::run(args),
    }
}
