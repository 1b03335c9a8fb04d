//! `hoptiller fleet run`: runs a scenario of a whole fleet, and prints the verdict.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use hoptiller_audit::LeaseReport;
use hoptiller_fault_harness::FleetScenario;
use hoptiller_fault_harness::fleet_scenario::{FleetReport, Outcome, RunOptions, percentile};

use crate::error::CommandError;
use crate::scenarios;

#[derive(clap::Args)]
pub(crate) struct RunArgs {
    /// The scenario, in Jsonnet
    day: PathBuf,
    /// The seed of the random events
    #[arg(long, default_value_t = 1, value_name = "N")]
    seed: u64,
    /// The folder for records, logs and the verdict; it must not exist
    #[arg(long, value_name = "DIR")]
    report: PathBuf,
    /// The same scenario without configuration versions: each router uses its own file
    #[arg(long)]
    without: bool,
    /// Attempts under contradicting versions may overlap for so long, in ms. Engines record an attempt when they get to
    /// run: on a loaded machine that is later than it was sent
    #[arg(long, default_value_t = 20, value_name = "MS")]
    overlap: u64,
    /// Print the verdict in JSON
    #[arg(long)]
    json: bool,
    /// The fault to inject into all processes of the fleet, to see whether it is found: from-the-answer, never-ends, no-wait,
    /// forgets
    #[cfg(feature = "plant")]
    #[arg(long, value_name = "FAULT")]
    plant: Option<String>,
}

/// Runs the scenario; the exit code is 1 where a rule was violated, a version lost, or a process ended by itself.
///
/// # Errors
///
/// When the file has problems, the folder is there already, or the scenario can't be run.
pub(super) fn run(args: &RunArgs) -> Result<ExitCode, CommandError> {
    let scenario = FleetScenario::load(&args.day).map_err(scenarios::failure)?;
    if args.report.exists() {
        return Err(CommandError::Usage(format!(
            "{} is there already",
            args.report.display()
        )));
    }
    crate::runtime::raise_descriptor_limit();
    kill_fleet_on_signal();
    let program = scenarios::own_program("this program")?;
    let options = RunOptions {
        program: &program,
        report_dir: &args.report,
        seed: args.seed,
        coordinated: !args.without,
        max_overlap: Duration::from_millis(args.overlap),
        env: planted_fault(args)?,
    };
    let report = scenario.run(&options).map_err(scenarios::failure)?;
    if args.json {
        print_json(&report);
    } else {
        print_text(&report);
    }
    Ok(ExitCode::from(u8::from(!report.is_success())))
}

/// Describes the scenario of a file in a line.
///
/// # Errors
///
/// When the file or the settings in it have problems.
pub(crate) fn check(file: &Path) -> Result<String, CommandError> {
    FleetScenario::check(file).map_err(scenarios::failure)
}

/// The environment variable that has all processes of the fleet do something wrong.
#[cfg(feature = "plant")]
fn planted_fault(args: &RunArgs) -> Result<Vec<(String, String)>, CommandError> {
    let Some(name) = &args.plant else {
        return Ok(Vec::new());
    };
    match hoptiller_coordination::fault_injection::Fault::from_name(name) {
        Some(_) => Ok(vec![(crate::FAULT_VARIABLE.to_owned(), name.clone())]),
        None => Err(CommandError::Usage(format!(
            "--plant: {name:?} is no fault that is known"
        ))),
    }
}

#[cfg(not(feature = "plant"))]
fn planted_fault(_: &RunArgs) -> Result<Vec<(String, String)>, CommandError> {
    Ok(Vec::new())
}

/// The fleet's processes end with this one, also where it is told to end.
fn kill_fleet_on_signal() {
    std::thread::spawn(|| {
        if async_io::block_on(crate::runtime::wait_for_termination()).is_ok() {
            hoptiller_fault_harness::process::kill_all();
            std::process::exit(130);
        }
    });
}

fn print_json(report: &FleetReport) {
    // By way of a value, whose keys are sorted.
    let value = serde_json::to_value(report).unwrap_or_default();
    println!(
        "{}",
        serde_json::to_string_pretty(&value).unwrap_or_default()
    );
}

fn print_text(report: &FleetReport) {
    let verdict = &report.verdict;
    crate::commands::audit::print_verdict(verdict, false);
    let overlap = verdict.overlap.unwrap_or_default();
    println!(
        "acts under contradicting versions: {}, the longest overlap {} ms",
        overlap.acts,
        overlap.longest / 1000
    );
    if let Some(leases) = &verdict.leases {
        print_leases(leases);
    }
    print_outcome(&report.outcome);
}

fn print_leases(leases: &LeaseReport) {
    let takeover_ms =
        |fraction: f64| percentile(&leases.takeovers, fraction).map_or(0, |us| us / 1000);
    println!(
        "acts under leases: {} of {} parts under {} numbers, {} refused as outdated; after a newer one: {}, the \
         longest {} ms",
        leases.acts,
        leases.shards,
        leases.fencing_tokens,
        leases.refused,
        leases.overlaps,
        leases.longest_overlap / 1000
    );
    println!(
        "a part done by nobody: at a takeover {} ms in the middle, {} ms in 99 of 100, {} ms at most",
        takeover_ms(0.5),
        takeover_ms(0.99),
        leases.longest_gap / 1000
    );
}

fn print_outcome(outcome: &Outcome) {
    println!(
        "changes: {} taken, {} refused, {} without an answer; in force after {} ms in the middle, {} ms at most",
        outcome.accepted,
        outcome.rejected,
        outcome.unknown,
        percentile(&outcome.in_force_ms, 0.5).unwrap_or(0),
        outcome.in_force_ms.last().copied().unwrap_or(0)
    );
    println!(
        "in force in the end: {}, last {}",
        outcome.numbers.in_force, outcome.numbers.last
    );
    for version in &outcome.lost {
        println!("version {version} was taken, and is lost");
    }
    for process in &outcome.exited_processes {
        println!("ended by itself: {process}");
    }
}
