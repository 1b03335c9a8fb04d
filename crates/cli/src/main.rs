//! The `hoptiller` program: routes statements, plays stand-ins, checks settings, judges records.

mod commands;
mod keepers;
mod logging;
mod run;
mod scenarios;
mod secret;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// A workload manager for shared SQL engines.
///
/// Clients submit statements over HTTP and poll for the rest (Trino's client protocol); each waits in the queue of
/// its class until an engine has a place for it, and gets exactly one final answer.
///
/// Exit codes: 0 done; 1 a rule was broken; 2 the command line or the settings are wrong, and nothing was started;
/// 3 something outside failed.
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
    /// Runs everything in one process on loopback: engines, discovery and a router, to try it out.
    Demo(commands::demo::Args),
    /// Runs a router.
    Route(commands::route::Args),
    /// Runs a router on our platform, as its configuration file says (SIGHUP: read it again; SIGTERM: end).
    Node(commands::node::Args),
    /// Checks a file of settings, and tells all that is wrong with it.
    Check(commands::check::Args),
    /// Runs a stand-in of what a router talks to.
    #[command(subcommand)]
    Standin(commands::standin::Args),
    /// Plays a scripted day over sockets: routers, engines, clients and what goes wrong; then judges it.
    Day(commands::day::Args),
    /// Runs one of the keepers that hold a fleet's settings and lists, in versions.
    Keep(commands::keep::Args),
    /// The fleet's settings and lists: puts, shows and compares versions.
    #[command(subcommand)]
    Settings(commands::settings::Args),
    /// The fleet: who is on which version, and whom a change waits for.
    #[command(subcommand)]
    Fleet(commands::fleet::Args),
    /// Shows what a running router found to run away and what it holds, and frees held kinds.
    Runaways(commands::runaways::Args),
    /// Studies in simulated time, with the routers' own code.
    #[command(subcommand)]
    Experiment(commands::experiment::Args),
    /// Judges the seven rules from a folder of records.
    Audit(commands::audit::Args),
    /// Holds what routers' traces tell of their attempts against what their decisions believed.
    Beliefs(commands::beliefs::Args),
}

/// The fault that a process of a program with the feature `plant` is to have.
#[cfg(feature = "plant")]
const PLANT: &str = "HOPTILLER_PLANT";

fn main() -> ExitCode {
    let cli = Cli::parse();
    logging::start(&cli.logging);
    #[cfg(feature = "plant")]
    if let Some(plant) = std::env::var(PLANT)
        .ok()
        .and_then(|name| hoptiller_coordination::fault_injection::Fault::from_name(&name))
    {
        hoptiller_coordination::fault_injection::inject(plant);
    }
    let done = match cli.command {
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
    };
    match done {
        Ok(code) => code,
        Err(e) => {
            eprintln!("hoptiller: {e}");
            ExitCode::from(e.code())
        }
    }
}
