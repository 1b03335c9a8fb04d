//! `hoptiller audit`: checks a folder of records against the seven rules of service.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use hoptiller_audit::{MalformedLine, Rules, Verdict, judge, read_records};

use super::print_json;
use crate::error::CommandError;

/// Name of the file with the rules in a folder of records.
const RULES_FILE: &str = "rules.json";

/// Arguments of `hoptiller audit`.
#[derive(clap::Args)]
pub(crate) struct Args {
    /// The folder, with records in *.jsonl and the rules in rules.json
    dir: PathBuf,
    /// Print the verdict in JSON
    #[arg(long)]
    json: bool,
}

/// Errors that prevent a verdict on a folder of records.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AuditError {
    /// The records contain malformed lines.
    #[error("{count} malformed lines, no verdict; the first: {first}")]
    MalformedRecords {
        /// Number of malformed lines.
        count: usize,
        /// The first malformed line.
        #[source]
        first: MalformedLine,
    },
    /// The folder contains no records.
    #[error("{}: contains no records, no verdict", dir.display())]
    NoRecords {
        /// The folder.
        dir: PathBuf,
    },
}

impl From<AuditError> for CommandError {
    fn from(error: AuditError) -> CommandError {
        CommandError::command(error)
    }
}

pub(crate) fn run(args: &Args) -> Result<ExitCode, CommandError> {
    let verdict = judge_folder(&args.dir)?;
    print_verdict(&verdict, args.json);
    Ok(ExitCode::from(u8::from(!verdict.violations.is_empty())))
}

/// Checks a folder of records against its rules.
///
/// # Errors
///
/// Returns an error if rules or records can't be read or are malformed, or if there are no records.
pub(crate) fn judge_folder(dir: &Path) -> Result<Verdict, CommandError> {
    let rules_file = dir.join(RULES_FILE);
    let unreadable = |path: &Path| {
        CommandError::io::<std::io::Error>(format!("{} can't be read", path.display()))
    };
    let text = std::fs::read_to_string(&rules_file).map_err(unreadable(&rules_file))?;
    let rules: Rules =
        serde_json::from_str(&text).map_err(CommandError::invalid_file(&rules_file))?;
    let files = read_records(dir).map_err(unreadable(dir))?;
    let count = files.malformed.len();
    if let Some(first) = files.malformed.into_iter().next() {
        return Err(AuditError::MalformedRecords { count, first }.into());
    }
    if files.records.is_empty() {
        let dir = dir.to_owned();
        return Err(AuditError::NoRecords { dir }.into());
    }
    Ok(judge(&files.records, &rules))
}

/// Prints a verdict, as JSON or as a table of classes and a list of violations.
pub(crate) fn print_verdict(verdict: &Verdict, json: bool) {
    if json {
        print_json(verdict);
        return;
    }
    print_classes(verdict);
    match verdict.violations.len() {
        0 => println!("no rule violated"),
        count => {
            println!("{count} violations of the rules:");
            for violation in &verdict.violations {
                println!("  rule {}: {}", violation.rule, violation.description);
            }
        }
    }
}

fn print_classes(verdict: &Verdict) {
    println!(
        "{:<12} {:>9} {:>7} {:>7} {:>7} {:>6} {:>8} {:>7} {:>6} {:>6} {:>9} {:>9}",
        "class",
        "submitted",
        "taken",
        "away",
        "served",
        "late",
        "refused",
        "failed",
        "left",
        "lost",
        "attempts",
        "postings"
    );
    for (class, totals) in &verdict.classes {
        println!(
            "{class:<12} {:>9} {:>7} {:>7} {:>7} {:>6} {:>8} {:>7} {:>6} {:>6} {:>9} {:>9}",
            totals.submitted,
            totals.admitted,
            totals.rejected,
            totals.served,
            totals.late,
            totals.refused,
            totals.failed,
            totals.cancelled,
            totals.lost,
            totals.attempts,
            totals.effects
        );
    }
}
