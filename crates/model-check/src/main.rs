//! `hoptiller-check`: goes through all courses of leases within bounds, and says what it found.

use std::process::ExitCode;
use std::time::Instant;

use clap::Parser;
use hoptiller_model_check::{Leasing, Limits};
use stateright::{Checker, HasDiscoveries, Model};

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

fn main() -> ExitCode {
    let args = Args::parse();
    #[cfg(feature = "plant")]
    if let Some(name) = &args.plant {
        match hoptiller_coordination::fault_injection::Fault::from_name(name) {
            Some(plant) => hoptiller_coordination::fault_injection::inject(plant),
            None => {
                eprintln!("hoptiller-check: {name:?} is no fault that is known");
                return ExitCode::from(2);
            }
        }
    }
    let Args {
        ticks,
        term,
        asks,
        crashes,
        doubles,
        way,
        late_twin,
        processes,
        ..
    } = args;
    if processes < 2 || term < 2 {
        eprintln!(
            "hoptiller-check: two processes or more and a term of two steps or more are wanted"
        );
        return ExitCode::from(2);
    }
    let began = Instant::now();
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let model = Leasing::new(Limits {
        ticks,
        term,
        asks,
        crashes,
        doubles,
        way,
        late_twin,
        processes,
    });
    let mut checker = model
        .checker()
        .threads(threads)
        .finish_when(HasDiscoveries::AnyFailures);
    if args.states > 0 {
        checker = checker.target_state_count(args.states);
    }
    let done = checker.spawn_bfs().join();
    println!(
        "{} states, {} different, {} steps deep, {:.1} s",
        done.state_count(),
        done.unique_state_count(),
        done.max_depth(),
        began.elapsed().as_secs_f64()
    );
    let mut wrong = false;
    let found = done.discoveries();
    for property in ["never two acting", "no number is given twice"] {
        match found.get(property) {
            None => println!("{property}: kept"),
            Some(path) => {
                wrong = true;
                println!("{property}: BROKEN by");
                path.clone()
                    .into_actions()
                    .iter()
                    .for_each(|step| println!("  {step:?}"));
            }
        }
    }
    for property in ["a free part is taken", "a holder acts to its last moment"] {
        println!(
            "{property}: {}",
            if found.contains_key(property) {
                "seen"
            } else {
                "not seen"
            }
        );
    }
    if wrong {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}
