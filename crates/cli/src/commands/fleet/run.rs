//! `hoptiller fleet run`: runs a scenario of a whole fleet, and prints the verdict.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use hoptiller_audit::LeaseReport;
use hoptiller_fault_harness::FleetScenario;
use hoptiller_fault_harness::fleet_scenario::{FleetReport, Outcome, RunOptions, percentile};

use crate::error::CommandError;
use crate::scenarios;

/// Arguments of `hoptiller fleet run`.
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
    /// Run the scenario without configuration versions: each router uses its own file
    #[arg(long)]
    without: bool,
    /// Maximum overlap of attempts under contradicting versions, in ms. Engines record an attempt when they get to run,
    /// which on a loaded machine is later than it was sent
    #[arg(long, default_value_t = 20, value_name = "MS")]
    overlap: u64,
    /// Print the verdict as JSON
    #[arg(long)]
    json: bool,
    /// The fault to inject into all processes of the fleet, to verify that it is found: from-the-answer, never-ends,
    /// no-wait, forgets
    #[cfg(feature = "plant")]
    #[arg(long, value_name = "FAULT")]
    plant: Option<String>,
}

/// Runs the scenario. The exit code is 1 if a rule was violated, a version was lost, or a process exited unexpectedly.
///
/// # Errors
///
/// Returns an error if the file has problems, the folder exists, or the scenario can't be run.
pub(super) fn run(args: &RunArgs) -> Result<ExitCode, CommandError> {
    let scenario = FleetScenario::load(&args.day).map_err(scenarios::failure)?;
    if args.report.exists() {
        return Err(CommandError::Usage(format!(
            "{} already exists",
            args.report.display()
        )));
    }
    crate::runtime::raise_descriptor_limit();
    kill_fleet_on_signal();
    let program = scenarios::own_program()?;
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

/// Returns a one-line description of the scenario in a file.
///
/// # Errors
///
/// Returns an error if the file or the settings in it have problems.
pub(crate) fn check(file: &Path) -> Result<String, CommandError> {
    FleetScenario::check(file).map_err(scenarios::failure)
}

/// Returns the environment variable that injects the fault into all processes of the fleet.
#[cfg(feature = "plant")]
fn planted_fault(args: &RunArgs) -> Result<Vec<(String, String)>, CommandError> {
    use hoptiller_coordination::fault_injection::Fault;
    let Some(name) = &args.plant else {
        return Ok(Vec::new());
    };
    match Fault::from_name(name) {
        Some(_) => Ok(vec![(crate::FAULT_VARIABLE.to_owned(), name.clone())]),
        None => {
            let known = Fault::ALL.map(|(known, _)| known).join(", ");
            Err(CommandError::Usage(format!(
                "--plant: unknown fault {name:?}; expected one of {known}"
            )))
        }
    }
}

#[cfg(not(feature = "plant"))]
fn planted_fault(_: &RunArgs) -> Result<Vec<(String, String)>, CommandError> {
    Ok(Vec::new())
}

/// Kills the processes of the fleet when a signal terminates this process.
fn kill_fleet_on_signal() {
    std::thread::spawn(|| {
        if async_io::block_on(crate::runtime::wait_for_termination()).is_ok() {
            hoptiller_fault_harness::process::kill_all();
            std::process::exit(130);
        }
    });
}

fn print_json(report: &FleetReport) {
    // Convert to a value first, because its keys are sorted.
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
        "attempts under contradicting versions: {}, longest overlap {} ms",
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
        "requests under leases: {} on {} shards with {} fencing tokens, {} rejected as outdated; {} after a newer token, \
         longest overlap {} ms",
        leases.acts,
        leases.shards,
        leases.fencing_tokens,
        leases.refused,
        leases.overlaps,
        leases.longest_overlap / 1000
    );
    println!(
        "time without a request on a shard: at a takeover p50 {} ms, p99 {} ms; longest {} ms",
        takeover_ms(0.5),
        takeover_ms(0.99),
        leases.longest_gap / 1000
    );
}

fn print_outcome(outcome: &Outcome) {
    println!(
        "proposals: {} accepted, {} rejected, {} without a response; time until in force: p50 {} ms, at most {} ms",
        outcome.accepted,
        outcome.rejected,
        outcome.unknown,
        percentile(&outcome.in_force_ms, 0.5).unwrap_or(0),
        outcome.in_force_ms.last().copied().unwrap_or(0)
    );
    println!(
        "in force at the end: {}, last {}",
        outcome.numbers.in_force, outcome.numbers.last
    );
    for version in &outcome.lost {
        println!("version {version} was accepted, and is lost");
    }
    for process in &outcome.exited_processes {
        println!("exited unexpectedly: {process}");
    }
}
