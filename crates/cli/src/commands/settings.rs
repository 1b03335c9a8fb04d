//! `hoptiller settings`: shows and changes the versions of the fleet's configuration.

mod proposal;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use hoptiller_coordination::{
    Difference, Document, ValidationError, Version, VersionMetadata, VersionNumber,
};
use hoptiller_coordination_client::wire;
use hoptiller_statement_router::SettingError;
use hoptiller_statement_router::settings::evaluate_file;

use super::print_json;
use crate::error::CommandError;
use crate::replicas::{ReplicaArgs, Replicas};
use proposal::{ProposalArgs, propose};

/// Time for which a replica holds a watch call open.
const WATCH_WAIT: Duration = Duration::from_secs(5);

/// Time that a watch call may take beyond its wait.
const WATCH_GRACE: Duration = Duration::from_secs(2);

/// The subcommands of `hoptiller settings`.
#[derive(clap::Subcommand)]
pub(crate) enum Args {
    /// Proposes a file as the next version, and waits until it is in force
    Put(PutArgs),
    /// Shows the last version, or the one with the given number
    Show(ShowArgs),
    /// Shows the differences between two versions
    Diff(DiffArgs),
    /// Lists the versions with author, time and reason
    History(HistoryArgs),
    /// Proposes the document of an earlier version as the next version
    Rollback(RollbackArgs),
    /// Reports versions as they are proposed and come into force, until it is stopped
    Watch(WatchArgs),
}

/// Arguments of `hoptiller settings put`.
#[derive(clap::Args)]
pub(crate) struct PutArgs {
    /// The document, in Jsonnet
    file: PathBuf,
    #[command(flatten)]
    proposal: ProposalArgs,
    /// Show the differences from the last version, and propose nothing
    #[arg(long)]
    dry_run: bool,
}

/// Arguments of `hoptiller settings show`.
#[derive(clap::Args)]
pub(crate) struct ShowArgs {
    /// The version's number
    number: Option<VersionNumber>,
    #[command(flatten)]
    replicas: ReplicaArgs,
}

/// Arguments of `hoptiller settings diff`.
#[derive(clap::Args)]
pub(crate) struct DiffArgs {
    /// The number of the first version
    from: VersionNumber,
    /// The number of the second version
    to: VersionNumber,
    #[command(flatten)]
    replicas: ReplicaArgs,
}

/// Arguments of `hoptiller settings history`.
#[derive(clap::Args)]
pub(crate) struct HistoryArgs {
    #[command(flatten)]
    replicas: ReplicaArgs,
    /// Print the list as JSON
    #[arg(long)]
    json: bool,
}

/// Arguments of `hoptiller settings rollback`.
#[derive(clap::Args)]
pub(crate) struct RollbackArgs {
    /// The version whose document is proposed again
    number: VersionNumber,
    #[command(flatten)]
    proposal: ProposalArgs,
}

/// Arguments of `hoptiller settings watch`.
#[derive(clap::Args)]
pub(crate) struct WatchArgs {
    #[command(flatten)]
    replicas: ReplicaArgs,
    /// Stop once this version is in force
    #[arg(long, value_name = "N")]
    until: Option<VersionNumber>,
}

pub(crate) fn run(args: &Args) -> Result<ExitCode, CommandError> {
    match args {
        Args::Put(args) => {
            let document = read_document(&args.file)?;
            let replicas = args.proposal.replicas.open()?;
            propose(&replicas, &args.proposal, document, args.dry_run)
        }
        Args::Rollback(args) => {
            let replicas = args.proposal.replicas.open()?;
            let version = fetch_version(&replicas, Some(args.number))?;
            propose(&replicas, &args.proposal, version.document, false)
        }
        Args::Show(args) => show(args),
        Args::Diff(args) => diff(args),
        Args::History(args) => history(args),
        Args::Watch(args) => watch(args),
    }
}

/// Reads a document from a Jsonnet file.
///
/// # Errors
///
/// Returns [`CommandError::Settings`] with all validation errors if the document is invalid.
pub(crate) fn read_document(file: &Path) -> Result<Document, CommandError> {
    let problem = |error: ValidationError| SettingError {
        place: format!("{}: {}", file.display(), error.path),
        reason: error.message,
    };
    let value = evaluate_file(file)?;
    let json = serde_json::to_vec(&value).unwrap_or_default();
    let document = Document::from_json(&json).map_err(problem)?;
    let errors = document.validation_errors();
    if errors.is_empty() {
        return Ok(document);
    }
    let problems: Vec<SettingError> = errors.into_iter().map(problem).collect();
    Err(problems.into())
}

fn show(args: &ShowArgs) -> Result<ExitCode, CommandError> {
    let version = fetch_version(&args.replicas.open()?, args.number)?;
    eprintln!("{}", format_metadata(&version.metadata));
    print_json(&version.document);
    Ok(ExitCode::SUCCESS)
}

fn diff(args: &DiffArgs) -> Result<ExitCode, CommandError> {
    let request = wire::DiffRequest {
        from: args.from,
        to: args.to,
    };
    let differences: Vec<Difference> = args.replicas.open()?.post(wire::DIFF, &request)?;
    for difference in &differences {
        println!("{}", format_difference(difference));
    }
    if differences.is_empty() {
        println!("no differences");
    }
    Ok(ExitCode::SUCCESS)
}

fn history(args: &HistoryArgs) -> Result<ExitCode, CommandError> {
    let versions: Vec<VersionMetadata> = args.replicas.open()?.get(wire::HISTORY)?;
    if args.json {
        print_json(&versions);
    } else {
        for version in &versions {
            println!("{}", format_metadata(version));
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn watch(args: &WatchArgs) -> Result<ExitCode, CommandError> {
    let replicas = args.replicas.open()?;
    let mut known = wire::VersionNumbers::default();
    loop {
        let current = watch_versions(&replicas, known, WATCH_WAIT)?;
        if (current.in_force, current.last) != (known.in_force, known.last) {
            println!("in force {}, last {}", current.in_force, current.last);
        }
        known = current;
        if args.until.is_some_and(|number| current.in_force >= number) {
            return Ok(ExitCode::SUCCESS);
        }
    }
}

/// Returns the version numbers as soon as they differ from the known ones, or after `wait`.
fn watch_versions(
    replicas: &Replicas,
    known: wire::VersionNumbers,
    wait: Duration,
) -> Result<wire::VersionNumbers, CommandError> {
    let request = wire::WatchRequest {
        known,
        wait_ms: wait.as_millis() as u64,
        watch_leases: false,
    };
    replicas.post_with_timeout(wire::WATCH, &request, wait + WATCH_GRACE)
}

fn fetch_version(
    replicas: &Replicas,
    number: Option<VersionNumber>,
) -> Result<Version, CommandError> {
    replicas.post(wire::SHOW, &wire::VersionRequest { number })
}

fn format_metadata(version: &VersionMetadata) -> String {
    let seconds = version.proposed_at_ms / 1000;
    format!(
        "{:>6}  {:.12}  {:<10} by {} at {seconds} ({}): {}",
        version.number,
        version.digest,
        version.kind.description(),
        version.author,
        version.change_name,
        version.reason
    )
}

fn format_difference(difference: &Difference) -> String {
    let change = difference.change.description();
    format!("{:<50} {change}", difference.path)
}
