//! `hoptiller day`: runs a scenario of routers, engines and clients over sockets, and checks the recorded messages against
//! the rules of service.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use hoptiller_fault_harness::RouterScenario;
use hoptiller_fault_harness::router_scenario::RouterRunOptions;

use super::audit;
use crate::error::CommandError;
use crate::scenarios;

/// Arguments of `hoptiller day`.
#[derive(clap::Args)]
pub(crate) struct Args {
    /// The scenario, in Jsonnet, such as examples/bad-day.jsonnet
    file: PathBuf,
    /// The folder for settings, records and the verdict; it must be new or empty
    #[arg(long, value_name = "DIR")]
    report: PathBuf,
    /// The seed of the clients' random choices
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print the verdict as JSON
    #[arg(long)]
    json: bool,
}

/// Runs the scenario. The exit code is 1 if a rule was violated.
///
/// # Errors
///
/// Returns an error if the file has problems, the folder is not empty, or the scenario can't be run.
pub(crate) fn run(args: &Args) -> Result<ExitCode, CommandError> {
    crate::runtime::raise_descriptor_limit();
    let scenario = RouterScenario::load(&args.file).map_err(scenarios::failure)?;
    prepare_folder(&args.report)?;
    let program = scenarios::own_program()?;
    let options = RouterRunOptions {
        program: &program,
        report_dir: &args.report,
        seed: args.seed,
    };
    scenario
        .run(&options, |progress| eprintln!("{progress}"))
        .map_err(scenarios::failure)?;
    let verdict = audit::judge_folder(&args.report)?;
    let text = serde_json::to_string_pretty(&verdict).unwrap_or_default();
    std::fs::write(args.report.join("verdict.json"), text).map_err(folder_error(&args.report))?;
    audit::print_verdict(&verdict, args.json);
    Ok(ExitCode::from(u8::from(!verdict.violations.is_empty())))
}

/// Returns a one-line description of the scenario in a file.
///
/// # Errors
///
/// Returns an error if the file has problems.
pub(crate) fn check(file: &Path) -> Result<String, CommandError> {
    let scenario = RouterScenario::load(file).map_err(scenarios::failure)?;
    Ok(scenario.description())
}

/// Creates the folder. An empty folder may exist already.
fn prepare_folder(dir: &Path) -> Result<(), CommandError> {
    std::fs::create_dir_all(dir).map_err(folder_error(dir))?;
    let mut entries = std::fs::read_dir(dir).map_err(folder_error(dir))?;
    match entries.next() {
        None => Ok(()),
        Some(_) => Err(CommandError::Usage(format!(
            "{}: the report folder is not empty",
            dir.display()
        ))),
    }
}

fn folder_error(dir: &Path) -> impl FnOnce(std::io::Error) -> CommandError {
    CommandError::io(format!("the report folder {}", dir.display()))
}
