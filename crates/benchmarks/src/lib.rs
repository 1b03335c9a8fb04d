//! Measurements of the router, each beside a peer or a baseline in the same run. Loads end by themselves and go to
//! loopback only.

mod crowd;
mod keepers;
mod latency;
mod load;
mod polls;
mod runaways;
mod site;
mod tasks;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Measures the router. Run it in release, on a machine that is otherwise idle; read ratios, not single figures.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Polls a second of a router on one thread, beside a bare hyper server that sends the same bytes
    Polls(polls::Args),
    /// The bare hyper server itself
    #[command(hide = true)]
    Bare(polls::BareArgs),
    /// What the router adds over asking a stand-in engine directly
    Latency(latency::Args),
    /// Clients mid-poll on one router: memory, p99 of a poll, time of a round
    Crowd(crowd::Args),
    /// Keepers with many routers: cores, links, time until a change is heeded; their start with many versions
    Keepers(keepers::Args),
    /// What discovery and engines are asked by fleets of several sizes, with fleet-wide tasks and without
    Tasks(tasks::Args),
    /// The watch for runaways: cost of a kind, of a look, of its state; time to find planted ones over sockets
    Runaways(runaways::Args),
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Polls(args) => polls::run(&args),
        Command::Bare(args) => polls::bare(&args),
        Command::Latency(args) => latency::run(&args),
        Command::Runaways(args) => runaways::run(&args),
        Command::Keepers(args) => keepers::run(&args),
        Command::Tasks(args) => tasks::run(&args),
        Command::Crowd(args) => crowd::run(&args),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("hoptiller-measure: {e}");
            ExitCode::from(3)
        }
    }
}
