//! `hoptiller audit`: judges the seven rules from a folder of records.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use hoptiller_audit::{MalformedLine, Rules, Verdict, judge, read_records};

use super::print_json;
use crate::error::CommandError;

/// The file with the rules in a folder of records.
const RULES_FILE: &str = "rules.json";

/// Arguments of `hoptiller audit`.
#[derive(clap::Args)]
pub(crate) struct Args {
    /// The folder: records in *.jsonl, the rules in rules.json
    dir: PathBuf,
    /// Print the verdict in JSON
    #[arg(long)]
    json: bool,
}

/// Why a folder can't be judged.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AuditError {
    /// Lines that are not records.
    #[error("{count} damaged lines, the first: {first}; no verdict")]
    MalformedRecords {
        /// How many there are.
        count: usize,
        /// The first one.
        #[source]
        first: MalformedLine,
    },
    /// There are no records.
    #[error("{}: no records in it; no verdict", dir.display())]
    NoRecords {
        /// The folder.
        dir: PathBuf,
    },
}

pub(crate) fn run(args: &Args) -> Result<ExitCode, CommandError> {
    let verdict = judge_folder(&args.dir)?;
    print_verdict(&verdict, args.json);
    Ok(ExitCode::from(u8::from(!verdict.violations.is_empty())))
}

/// Judges a folder of records.
///
/// # Errors
///
/// Where rules or records can't be read, are malformed, or there are no records.
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

/// Prints a verdict: in JSON, or as a table of classes and a list of violations.
pub(crate) fn print_verdict(verdict: &Verdict, json: bool) {
    if json {
        print_json(verdict);
        return;
    }
    print_classes(verdict);
    match verdict.violations.len() {
        0 => println!("all rules kept"),
        count => {
            println!("{count} breaks of the rules:");
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
