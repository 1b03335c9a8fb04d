//! `hoptiller settings`: the fleet's settings and lists, in versions.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use hoptiller_coordination::{Difference, Document, Proposal, VersionNumber};
use hoptiller_coordination::{Version, VersionMetadata};
use hoptiller_coordination_client::wire;

use crate::commands::fleet::waiting_for;
use crate::keepers::{Fleet, KeeperArgs};
use crate::run::Failure;
use crate::secret;

#[derive(clap::Subcommand)]
pub enum Args {
    /// Puts a file as the next version, and waits until it is in force
    Put(PutArgs),
    /// Shows a version: the last, or the one of that number
    Show(ShowArgs),
    /// Shows how two versions differ, and which way
    Diff(DiffArgs),
    /// Lists the versions: who, when, why
    History(HistoryArgs),
    /// Puts an earlier version's text as the next version
    Rollback(RollbackArgs),
    /// Tells of each version as it comes and as it is in force, until ended
    Watch(WatchArgs),
}

#[derive(clap::Args)]
pub struct Course {
    #[command(flatten)]
    keepers: KeeperArgs,
    /// Why, for all who look at it later
    #[arg(long, value_name = "TEXT")]
    why: String,
    /// Who
    #[arg(long, env = "USER", default_value = "unknown", value_name = "NAME")]
    by: String,
    /// The last version that you have seen; without it, the last there is when the command starts
    #[arg(long, value_name = "N")]
    base: Option<VersionNumber>,
    /// A name of your own for the change: put again under the same name, it is the same change
    #[arg(long, value_name = "NAME")]
    change: Option<String>,
    /// How long to wait until it is in force, in seconds
    #[arg(long, default_value_t = 60, value_name = "S")]
    wait: u64,
}

#[derive(clap::Args)]
pub struct PutArgs {
    /// The document, in Jsonnet
    file: PathBuf,
    #[command(flatten)]
    course: Course,
    /// Say what it would change, and change nothing
    #[arg(long)]
    dry_run: bool,
}

#[derive(clap::Args)]
pub struct ShowArgs {
    /// Its number
    number: Option<VersionNumber>,
    #[command(flatten)]
    keepers: KeeperArgs,
}

#[derive(clap::Args)]
pub struct DiffArgs {
    /// From
    from: VersionNumber,
    /// To
    to: VersionNumber,
    #[command(flatten)]
    keepers: KeeperArgs,
}

#[derive(clap::Args)]
pub struct HistoryArgs {
    #[command(flatten)]
    keepers: KeeperArgs,
    /// In JSON
    #[arg(long)]
    json: bool,
}

#[derive(clap::Args)]
pub struct RollbackArgs {
    /// The version whose text is to hold again
    number: VersionNumber,
    #[command(flatten)]
    course: Course,
}

#[derive(clap::Args)]
pub struct WatchArgs {
    #[command(flatten)]
    keepers: KeeperArgs,
    /// End once this version is in force
    #[arg(long, value_name = "N")]
    until: Option<VersionNumber>,
}

/// How long one call to watch waits.
const WATCH: Duration = Duration::from_secs(5);
/// A call may take so much longer than it was told to wait.
const MORE: Duration = Duration::from_secs(2);

pub fn run(args: &Args) -> Result<ExitCode, Failure> {
    match args {
        Args::Put(a) => {
            let document = read(&a.file)?;
            let fleet = a.course.keepers.open()?;
            put(&fleet, &a.course, document, a.dry_run)
        }
        Args::Rollback(a) => {
            let fleet = a.course.keepers.open()?;
            let version = show(&fleet, Some(a.number))?;
            put(&fleet, &a.course, version.document, false)
        }
        Args::Show(a) => {
            let version = show(&a.keepers.open()?, a.number)?;
            eprintln!("{}", line(&version.metadata));
            println!(
                "{}",
                serde_json::to_string_pretty(&version.document).unwrap_or_default()
            );
            Ok(ExitCode::SUCCESS)
        }
        Args::Diff(a) => {
            let between = wire::DiffRequest {
                from: a.from,
                to: a.to,
            };
            let all: Vec<Difference> = a.keepers.open()?.post(wire::DIFF, &between)?;
            for d in &all {
                println!("{:<50} {}", d.path, d.change.description());
            }
            if all.is_empty() {
                println!("the same text");
            }
            Ok(ExitCode::SUCCESS)
        }
        Args::History(a) => {
            let heads: Vec<VersionMetadata> = a.keepers.open()?.get(wire::HISTORY)?;
            if a.json {
                println!(
                    "{}",
                    serde_json::to_string_pretty(&heads).unwrap_or_default()
                );
            } else {
                heads.iter().for_each(|h| println!("{}", line(h)));
            }
            Ok(ExitCode::SUCCESS)
        }
        Args::Watch(a) => watch(&a.keepers.open()?, a.until),
    }
}

/// A document from a file, with all its flaws told at once.
pub fn read(file: &std::path::Path) -> Result<Document, Failure> {
    let problem = |path: &str, what: String| hoptiller_statement_router::SettingError {
        place: format!("{}: {path}", file.display()),
        reason: what,
    };
    let value = hoptiller_statement_router::settings::evaluate_file(file)
        .map_err(|p| Failure::Settings(vec![p]))?;
    let bytes = serde_json::to_vec(&value).unwrap_or_default();
    let document = Document::from_json(&bytes)
        .map_err(|f| Failure::Settings(vec![problem(&f.path, f.message)]))?;
    let flaws: Vec<_> = document
        .validation_errors()
        .into_iter()
        .map(|f| problem(&f.path, f.message))
        .collect();
    if flaws.is_empty() {
        Ok(document)
    } else {
        Err(Failure::Settings(flaws))
    }
}

fn show(fleet: &Fleet, number: Option<VersionNumber>) -> Result<Version, Failure> {
    fleet.post(wire::SHOW, &wire::VersionRequest { number })
}

fn line(h: &VersionMetadata) -> String {
    let seconds = h.proposed_at_ms / 1000;
    format!(
        "{:>6}  {:.12}  {:<10} by {} at {seconds} ({}): {}",
        h.number,
        h.digest,
        h.kind.description(),
        h.author,
        h.change_name,
        h.reason
    )
}

fn put(
    fleet: &Fleet,
    course: &Course,
    document: Document,
    dry_run: bool,
) -> Result<ExitCode, Failure> {
    let numbers: wire::VersionNumbers = fleet.post(
        wire::WATCH,
        &wire::WatchRequest {
            known: wire::VersionNumbers::default(),
            wait_ms: 0,
            watch_leases: false,
        },
    )?;
    if numbers.last > 0 {
        let last = show(fleet, Some(numbers.last))?;
        let differences = last.document.differences(&document);
        for d in &differences {
            eprintln!("  {:<50} {}", d.path, d.change.description());
        }
        if differences.is_empty() {
            eprintln!("  the same text as version {}", numbers.last);
        }
    }
    if dry_run {
        println!("version {} would come; nothing was put", numbers.last + 1);
        return Ok(ExitCode::SUCCESS);
    }
    let at = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64);
    // The same name at each keeper that is tried: a change whose answer was lost is not put twice.
    let change = course.change.clone().unwrap_or_else(secret::life);
    let base = Some(course.base.unwrap_or(numbers.last))
        .filter(|_| course.change.is_none() || course.base.is_some());
    let wanted = Proposal {
        change_name: change,
        base,
        author: course.by.clone(),
        proposed_at_ms: at,
        reason: course.why.clone(),
        document,
    };
    let began = Instant::now();
    let number = match fleet.post(wire::PROPOSE, &wanted)? {
        wire::ProposalResponse::Accepted(number) => number,
        wire::ProposalResponse::Rejected(why) => return Err(Failure::Usage(why.to_string())),
    };
    println!("version {number} is taken");
    let until = began + Duration::from_secs(course.wait);
    let mut known = wire::VersionNumbers::default();
    loop {
        let left = until.saturating_duration_since(Instant::now());
        let wait = left.min(WATCH);
        let ask = wire::WatchRequest {
            known,
            wait_ms: wait.as_millis() as u64,
            watch_leases: false,
        };
        known = fleet.within(wire::WATCH, &ask, wait + MORE)?;
        if known.in_force >= number {
            println!(
                "version {} is in force, {} ms after it was put",
                known.in_force,
                began.elapsed().as_millis()
            );
            return Ok(ExitCode::SUCCESS);
        }
        if left.is_zero() {
            println!("version {number} is not in force yet; it comes in force by itself");
            print!("{}", waiting_for(&fleet.get(wire::STATUS)?));
            return Ok(ExitCode::FAILURE);
        }
    }
}

fn watch(fleet: &Fleet, until: Option<VersionNumber>) -> Result<ExitCode, Failure> {
    let mut known = wire::VersionNumbers::default();
    loop {
        let ask = wire::WatchRequest {
            known,
            wait_ms: WATCH.as_millis() as u64,
            watch_leases: false,
        };
        let now: wire::VersionNumbers = fleet.within(wire::WATCH, &ask, WATCH + MORE)?;
        if (now.in_force, now.last) != (known.in_force, known.last) {
            println!("in force {}, last {}", now.in_force, now.last);
        }
        known = now;
        if until.is_some_and(|n| now.in_force >= n) {
            return Ok(ExitCode::SUCCESS);
        }
    }
}
