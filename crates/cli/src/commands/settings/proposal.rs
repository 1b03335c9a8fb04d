//! Proposals of versions, and the wait until they are in force.

use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hoptiller_coordination::{Document, Proposal, VersionNumber};
use hoptiller_coordination_client::wire;

use super::{WATCH_WAIT, fetch_version, format_difference, watch_versions};
use crate::commands::fleet::format_blocking_holders;
use crate::error::CommandError;
use crate::random_id::random_id;
use crate::replicas::{ReplicaArgs, Replicas};

/// The command-line arguments of a proposal.
#[derive(clap::Args)]
pub(crate) struct ProposalArgs {
    #[command(flatten)]
    pub(super) replicas: ReplicaArgs,
    /// The reason for the change, which the history shows
    #[arg(long = "why", value_name = "TEXT")]
    reason: String,
    /// The author
    #[arg(
        long = "by",
        env = "USER",
        default_value = "unknown",
        value_name = "NAME"
    )]
    author: String,
    /// The last version that the author has seen; by default the last one when the command starts
    #[arg(long, value_name = "N")]
    base: Option<VersionNumber>,
    /// A name that makes the proposal idempotent: a repeat under the same name is the same change
    #[arg(long = "change", value_name = "NAME")]
    change_name: Option<String>,
    /// Maximum time to wait until the version is in force, in seconds
    #[arg(long, default_value_t = 60, value_name = "S")]
    wait: u64,
}

/// Proposes a document as the next version, and waits until it is in force. The exit code is 1 if it is not in time.
pub(super) fn propose(
    replicas: &Replicas,
    args: &ProposalArgs,
    document: Document,
    dry_run: bool,
) -> Result<ExitCode, CommandError> {
    let request = wire::WatchRequest {
        known: wire::VersionNumbers::default(),
        wait_ms: 0,
        watch_leases: false,
    };
    let current: wire::VersionNumbers = replicas.post(wire::WATCH, &request)?;
    if current.last > 0 {
        print_differences(replicas, current.last, &document)?;
    }
    if dry_run {
        let next = current.last + 1;
        println!("the next version would be {next}; nothing was proposed");
        return Ok(ExitCode::SUCCESS);
    }
    let proposal = args.proposal(current.last, document);
    let start = Instant::now();
    let number = match replicas.post(wire::PROPOSE, &proposal)? {
        wire::ProposalResponse::Accepted(number) => number,
        wire::ProposalResponse::Rejected(rejection) => return Err(rejection.into()),
    };
    println!("version {number} is accepted");
    wait_until_in_force(replicas, number, start, Duration::from_secs(args.wait))
}

impl ProposalArgs {
    fn proposal(&self, last: VersionNumber, document: Document) -> Proposal {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        // A proposal with a name given by the author may be a repeat, whose base is not the last version.
        let is_possible_repeat = self.change_name.is_some() && self.base.is_none();
        Proposal {
            // The name is the same for each replica that is tried, so that a proposal whose response was lost is not
            // accepted twice.
            change_name: self.change_name.clone().unwrap_or_else(random_id),
            base: (!is_possible_repeat).then(|| self.base.unwrap_or(last)),
            author: self.author.clone(),
            proposed_at_ms: now.map_or(0, |time| time.as_millis() as u64),
            reason: self.reason.clone(),
            document,
        }
    }
}

fn print_differences(
    replicas: &Replicas,
    number: VersionNumber,
    document: &Document,
) -> Result<(), CommandError> {
    let version = fetch_version(replicas, Some(number))?;
    let differences = version.document.differences(document);
    for difference in &differences {
        eprintln!("  {}", format_difference(difference));
    }
    if differences.is_empty() {
        eprintln!("  no differences from version {number}");
    }
    Ok(())
}

fn wait_until_in_force(
    replicas: &Replicas,
    number: VersionNumber,
    start: Instant,
    timeout: Duration,
) -> Result<ExitCode, CommandError> {
    let deadline = start + timeout;
    let mut known = wire::VersionNumbers::default();
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        known = watch_versions(replicas, known, remaining.min(WATCH_WAIT))?;
        if known.in_force >= number {
            println!(
                "version {} is in force, {} ms after the proposal",
                known.in_force,
                start.elapsed().as_millis()
            );
            return Ok(ExitCode::SUCCESS);
        }
        if remaining.is_zero() {
            println!(
                "version {number} is not in force yet; it will come into force without further action"
            );
            print!("{}", format_blocking_holders(&replicas.get(wire::STATUS)?));
            return Ok(ExitCode::FAILURE);
        }
    }
}
