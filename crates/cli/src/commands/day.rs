//! `hoptiller day`: runs a scenario of routers, engines and clients over sockets, and judges what passed on them.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use hoptiller_fault_harness::RouterScenario;
use hoptiller_fault_harness::router_scenario::RouterRunOptions;

use super::audit;
use crate::error::CommandError;
use crate::scenarios;

#[derive(clap::Args)]
pub(crate) struct Args {
    /// The scenario, in Jsonnet; see examples/bad-day.jsonnet
    file: PathBuf,
    /// Folder for settings, records and the verdict; must be new or empty
    #[arg(long, value_name = "DIR")]
    report: PathBuf,
    /// Seed of the clients' random choices
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print the verdict in JSON
    #[arg(long)]
    json: bool,
}

/// Runs the scenario; the exit code is 1 where a rule was violated.
///
/// # Errors
///
/// When the file has problems, the folder is not empty, or the scenario can't be run.
pub(crate) fn run(args: &Args) -> Result<ExitCode, CommandError> {
    crate::runtime::raise_descriptor_limit();
    let scenario = RouterScenario::load(&args.file).map_err(scenarios::failure)?;
    prepare_folder(&args.report)?;
    let program = scenarios::own_program("this program's own file")?;
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

/// Describes the scenario of a file in a line.
///
/// # Errors
///
/// When the file has problems.
pub(crate) fn check(file: &Path) -> Result<String, CommandError> {
    let scenario = RouterScenario::load(file).map_err(scenarios::failure)?;
    Ok(scenario.description())
}

/// Creates the folder; it may be there already where it is empty.
fn prepare_folder(dir: &Path) -> Result<(), CommandError> {
    std::fs::create_dir_all(dir).map_err(folder_error(dir))?;
    let mut entries = std::fs::read_dir(dir).map_err(folder_error(dir))?;
    match entries.next() {
        None => Ok(()),
        Some(_) => Err(CommandError::Usage(format!(
            "{}: not empty; give a new folder",
            dir.display()
        ))),
    }
}

fn folder_error(dir: &Path) -> impl FnOnce(std::io::Error) -> CommandError {
    CommandError::io(format!("the report folder {}", dir.display()))
}
