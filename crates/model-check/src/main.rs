//! `hoptiller-check`: explores all executions of task leases within bounds, and reports violations.

#![warn(missing_docs)]

use std::process::ExitCode;
use std::time::Instant;

use clap::Parser;
use hoptiller_model_check::{
    FREE_SHARD_TAKEN, HOLDER_ACTS_UNTIL_EXPIRY, LeaseModel, Limits, NEVER_TWO_HOLDERS_ACT,
    NO_TOKEN_REUSED,
};
use stateright::{Checker, HasDiscoveries, Model};

/// The exit code of wrong arguments.
const USAGE_ERROR: u8 = 2;

/// Goes through all courses of leases within bounds: keepers, would-be holders, messages lost, doubled and overtaken, clocks
/// at their bounds, crashes at any step
#[derive(Parser)]
#[command(version)]
struct Args {
    /// Steps of the time
    #[arg(long, default_value_t = 5)]
    ticks: u32,
    /// Length of a term, in steps
    #[arg(long, default_value_t = 4)]
    term: u32,
    /// Questions that each process asks
    #[arg(long, default_value_t = 1)]
    asks: u32,
    /// Crashes of keepers, in all
    #[arg(long, default_value_t = 1)]
    crashes: u32,
    /// Questions that arrive twice, in all
    #[arg(long, default_value_t = 0)]
    doubles: u32,
    /// Steps for which an act may be on its way
    #[arg(long, default_value_t = 2)]
    way: u32,
    /// The second process starts only when the check begins
    #[arg(long)]
    late_twin: bool,
    /// Processes that want the part; the first two are lives of one router
    #[arg(long, default_value_t = 2)]
    processes: usize,
    /// States at most; 0: all there are
    #[arg(long, default_value_t = 0)]
    states: usize,
    /// Have the state machines do this wrong, to see whether it is found
    #[cfg(feature = "plant")]
    #[arg(long, value_name = "FAULT")]
    plant: Option<String>,
}

impl Args {
    fn limits(&self) -> Limits {
        Limits {
            ticks: self.ticks,
            term: self.term,
            asks: self.asks,
            crashes: self.crashes,
            doubles: self.doubles,
            way: self.way,
            late_twin: self.late_twin,
            processes: self.processes,
        }
    }
}

fn main() -> ExitCode {
    let args = Args::parse();
    #[cfg(feature = "plant")]
    if let Some(name) = &args.plant {
        use hoptiller_coordination::fault_injection::{Fault, inject};
        let Some(fault) = Fault::from_name(name) else {
            eprintln!("hoptiller-check: {name:?} is no fault that is known");
            return ExitCode::from(USAGE_ERROR);
        };
        inject(fault);
    }
    if args.processes < 2 || args.term < 2 {
        eprintln!(
            "hoptiller-check: two processes or more and a term of two steps or more are wanted"
        );
        return ExitCode::from(USAGE_ERROR);
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
        "{} states, {} different, {} steps deep, {:.1} s",
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

/// Prints whether each property holds, with the steps to a violation. Returns whether all hold.
fn report_properties(checked: &impl Checker<LeaseModel>) -> bool {
    let discoveries = checked.discoveries();
    let mut all_hold = true;
    for property in [NEVER_TWO_HOLDERS_ACT, NO_TOKEN_REUSED] {
        let Some(path) = discoveries.get(property) else {
            println!("{property}: kept");
            continue;
        };
        all_hold = false;
        println!("{property}: BROKEN by");
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
