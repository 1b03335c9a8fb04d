//! The `hoptiller` program: routers, replicas, administration, mock servers and studies, as subcommands.

mod commands;
mod error;
mod logging;
mod metrics_endpoint;
mod random_id;
mod replicas;
mod runtime;
mod scenarios;
mod secret;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

use crate::error::CommandError;

/// A workload manager for shared SQL engines.
///
/// Clients submit statements over HTTP and poll for the rows (Trino's client protocol); each statement waits in the
/// queue of its class until an engine has a free slot, and gets exactly one final response.
///
/// Exit codes: 0 success; 1 the result is negative, such as a violated rule, or a version that was lost or is not in force
/// in time; 2 the command line or the settings are invalid; 3 something outside of the program failed.
#[derive(Parser)]
#[command(version, propagate_version = true)]
struct Cli {
    #[command(flatten)]
    logging: logging::LogArgs,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs mock engines, discovery and a router in one process on loopback, as a demonstration.
    Demo(commands::demo::Args),
    /// Runs a router on the statement API.
    Route(commands::route::Args),
    /// Runs a router on the platform's protocol with a configuration file (SIGHUP: reload; SIGTERM: shut down).
    Node(commands::node::Args),
    /// Validates a file (settings, replica configuration, fleet document or scenario), and reports all of its problems.
    Check(commands::check::Args),
    /// Runs a mock server (stand-in) for a service to which a router connects.
    #[command(subcommand)]
    Standin(commands::standin::Args),
    /// Runs a scenario of routers, engines and clients with faults over sockets, and checks it against the rules of service.
    Day(commands::day::Args),
    /// Runs a replica of the coordination server (a keeper), which stores the fleet's configuration versions and leases.
    Keep(commands::keep::Args),
    /// Proposes, shows and compares versions of the fleet's configuration.
    #[command(subcommand)]
    Settings(commands::settings::Args),
    /// Shows the state of the fleet and the routers that block a rollout, replaces replicas, and runs fleet scenarios.
    #[command(subcommand)]
    Fleet(commands::fleet::Args),
    /// Shows the runaways and holds of a running router, and releases holds.
    Runaways(commands::runaways::Args),
    /// Runs studies in simulated time, with the code of the routers.
    #[command(subcommand)]
    Experiment(commands::experiment::Args),
    /// Checks a folder of records against the rules of service (docs/architecture.md).
    Audit(commands::audit::Args),
    /// Compares the attempts in routers' traces with the number that their policy believed to be in flight.
    Beliefs(commands::beliefs::Args),
}

/// Environment variable that names the fault to inject into this process, in programs with the feature `plant`.
#[cfg(feature = "plant")]
const FAULT_VARIABLE: &str = "HOPTILLER_PLANT";

fn main() -> ExitCode {
    let cli = Cli::parse();
    logging::start(&cli.logging);
    #[cfg(feature = "plant")]
    inject_fault();
    match run(cli.command) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("hoptiller: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

#[cfg(feature = "plant")]
fn inject_fault() {
    use hoptiller_coordination::fault_injection::{self, Fault};
    let name = std::env::var(FAULT_VARIABLE).ok();
    if let Some(fault) = name.and_then(|name| Fault::from_name(&name)) {
        fault_injection::inject(fault);
    }
}

fn run(command: Command) -> Result<ExitCode, CommandError> {
    match command {
        Command::Demo(args) => commands::demo::run(&args),
        Command::Route(args) => commands::route::run(&args),
        Command::Node(args) => commands::node::run(&args),
        Command::Check(args) => commands::check::run(&args),
        Command::Standin(args) => commands::standin::run(&args),
        Command::Day(args) => commands::day::run(&args),
        Command::Keep(args) => commands::keep::run(&args),
        Command::Settings(args) => commands::settings::run(&args),
        Command::Fleet(args) => commands::fleet::run(&args),
        Command::Runaways(args) => commands::runaways::run(&args),
        Command::Experiment(args) => commands::experiment::run(&args),
        Command::Audit(args) => commands::audit::run(&args),
        Command::Beliefs(args) => commands::beliefs::run(&args),
    }
}
