//! Benchmarks of the router, each compared with a peer or a baseline in the same run. All loads are bounded in time and use
//! only loopback.

mod bare_server;
mod closed_loop;
mod error;
mod fleet_tasks;
mod latency;
mod polls;
mod process;
mod replicas;
mod requests;
mod runaways;
mod statistics;
mod test_fleet;
mod test_site;
mod waiting_clients;

use std::path::Path;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use error::BenchmarkError;

/// Exit code of a benchmark that failed.
const EXIT_FAILED: u8 = 3;

/// Benchmarks of the router. Run them in release mode on an otherwise idle machine, and compare ratios, not single figures.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Polls per second of a router on one thread, compared with a bare hyper server that sends the same bytes
    Polls(polls::Args),
    /// The bare hyper server
    #[command(hide = true)]
    Bare(bare_server::Args),
    /// Latency that the router adds to requests sent to a mock engine directly
    Latency(latency::Args),
    /// Many clients that poll one router: memory of the router, p99 of a poll, duration of a round of decisions
    Crowd(waiting_clients::Args),
    /// Replicas of the coordination server (keepers) with many routers: processor time, bytes on links, duration of a
    /// rollout; start of a replica with many versions
    Keepers(replicas::Args),
    /// Request rates at discovery and engines for fleets of several sizes, with and without fleet-wide tasks
    Tasks(fleet_tasks::Args),
    /// The runaway detector: cost of a fingerprint, of a detection run and of the saved state; time to find runaways over
    /// sockets
    Runaways(runaways::Args),
}

/// Runs the benchmark that the command line names.
pub fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error}", program_name());
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn run(command: Command) -> Result<(), BenchmarkError> {
    match command {
        Command::Polls(args) => polls::run(&args),
        Command::Bare(args) => bare_server::run(&args),
        Command::Latency(args) => latency::run(&args),
        Command::Crowd(args) => waiting_clients::run(&args),
        Command::Keepers(args) => replicas::run(&args),
        Command::Tasks(args) => fleet_tasks::run(&args),
        Command::Runaways(args) => runaways::run(&args),
    }
}

/// Returns the file name under which the program was started.
fn program_name() -> String {
    let path = std::env::args_os().next().unwrap_or_default();
    let name = Path::new(&path).file_name().unwrap_or(&path);
    name.to_string_lossy().into_owned()
}
