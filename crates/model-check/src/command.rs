//! The command line of the program, which explores all executions of task leases within bounds and reports violations.

use std::path::Path;
use std::process::ExitCode;
use std::time::Instant;

use crate::{
    FREE_SHARD_TAKEN, HOLDER_ACTS_UNTIL_EXPIRY, LeaseModel, Limits, NEVER_TWO_HOLDERS_ACT,
    NO_TOKEN_REUSED,
};
use clap::Parser;
use stateright::{Checker, HasDiscoveries, Model};

/// Exit code for invalid arguments.
const EXIT_USAGE: u8 = 2;

/// Explores all executions of task leases within bounds: replicas (keepers) and candidates, with messages that are lost,
/// duplicated and reordered, clocks at their bounds, and crashes at any step
#[derive(Parser)]
#[command(version)]
struct Args {
    /// Duration of an execution, in ticks
    #[arg(long, default_value_t = 5)]
    ticks: u32,
    /// Length of a lease term, in ticks
    #[arg(long, default_value_t = 4)]
    term: u32,
    /// Maximum number of renewal requests of each process
    #[arg(long, default_value_t = 1)]
    asks: u32,
    /// Maximum number of crashes of replicas, in total
    #[arg(long, default_value_t = 1)]
    crashes: u32,
    /// Maximum number of renewal requests that are duplicated, in total
    #[arg(long, default_value_t = 0)]
    doubles: u32,
    /// Maximum number of ticks for which an operation is in flight
    #[arg(long, default_value_t = 2)]
    way: u32,
    /// Start the second process only when the check begins
    #[arg(long)]
    late_twin: bool,
    /// Number of processes that request the shard; the first two are incarnations of one router
    #[arg(long, default_value_t = 2)]
    processes: usize,
    /// Maximum number of states to explore; 0 for all
    #[arg(long, default_value_t = 0)]
    states: usize,
    /// Fault to inject into the state machines, to verify that the check finds it
    #[cfg(feature = "plant")]
    #[arg(long, value_name = "FAULT")]
    plant: Option<String>,
}

impl Args {
    fn limits(&self) -> Limits {
        Limits {
            ticks: self.ticks,
            term: self.term,
            max_renewals: self.asks,
            max_crashes: self.crashes,
            max_duplicates: self.doubles,
            max_operation_ticks: self.way,
            second_starts_late: self.late_twin,
            processes: self.processes,
        }
    }
}

/// Runs the model check that the command line describes. The exit code is 1 if a property is violated and 2 if an argument
/// is invalid.
pub fn main() -> ExitCode {
    let args = Args::parse();
    #[cfg(feature = "plant")]
    if let Some(name) = &args.plant {
        use hoptiller_coordination::fault_injection::{Fault, inject};
        let Some(fault) = Fault::from_name(name) else {
            let known = Fault::ALL.map(|(known, _)| known).join(", ");
            eprintln!(
                "{}: unknown fault {name:?}; expected one of {known}",
                program_name()
            );
            return ExitCode::from(EXIT_USAGE);
        };
        inject(fault);
    }
    if args.processes < 2 || args.term < 2 {
        eprintln!(
            "{}: --processes is {} and --term is {}; both must be at least 2",
            program_name(),
            args.processes,
            args.term
        );
        return ExitCode::from(EXIT_USAGE);
    }
    let started_at = Instant::now();
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let mut checker = LeaseModel::new(args.limits())
        .checker()
        .threads(threads)
        .finish_when(HasDiscoveries::AnyFailures);
    if args.states > 0 {
        checker = checker.target_state_count(args.states);
    }
    let checked = checker.spawn_bfs().join();
    println!(
        "{} states, {} unique, {} steps deep, {:.1} s",
        checked.state_count(),
        checked.unique_state_count(),
        checked.max_depth(),
        started_at.elapsed().as_secs_f64()
    );
    match report_properties(&checked) {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Returns the file name under which the program was started.
fn program_name() -> String {
    let path = std::env::args_os().next().unwrap_or_default();
    let name = Path::new(&path).file_name().unwrap_or(&path);
    name.to_string_lossy().into_owned()
}

/// Prints whether each property holds, with the steps that lead to a violation. Returns whether all safety properties
/// hold.
fn report_properties(checked: &impl Checker<LeaseModel>) -> bool {
    let discoveries = checked.discoveries();
    let mut all_hold = true;
    for property in [NEVER_TWO_HOLDERS_ACT, NO_TOKEN_REUSED] {
        let Some(path) = discoveries.get(property) else {
            println!("{property}: holds");
            continue;
        };
        all_hold = false;
        println!("{property}: VIOLATED by");
        for step in path.clone().into_actions() {
            println!("  {step:?}");
        }
    }
    for property in [FREE_SHARD_TAKEN, HOLDER_ACTS_UNTIL_EXPIRY] {
        let reached = match discoveries.contains_key(property) {
            true => "seen",
            false => "not seen",
        };
        println!("{property}: {reached}");
    }
    all_hold
}
