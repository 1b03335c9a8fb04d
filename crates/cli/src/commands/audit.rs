//! `hoptiller audit`: the seven rules, judged from a folder of records.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use hoptiller_audit::{Rules, Verdict, judge, read_records};

use crate::run::Failure;

#[derive(clap::Args)]
pub struct Args {
    /// The folder: records in *.jsonl, the rules in rules.json
    dir: PathBuf,
    /// Print the verdict in JSON
    #[arg(long)]
    json: bool,
}

pub fn run(args: &Args) -> Result<ExitCode, Failure> {
    let verdict = of_dir(&args.dir)?;
    print(&verdict, args.json);
    Ok(ExitCode::from(u8::from(!verdict.violations.is_empty())))
}

/// Judges a folder. Records that can't be read make it no verdict at all.
pub fn of_dir(dir: &Path) -> Result<Verdict, Failure> {
    let place = dir.join("rules.json");
    let text = std::fs::read_to_string(&place)
        .map_err(|e| Failure::Outside(format!("{} can't be read", place.display()), e))?;
    let rules: Rules = serde_json::from_str(&text)
        .map_err(|e| Failure::Usage(format!("{}: {e}", place.display())))?;
    let files = read_records(dir)
        .map_err(|e| Failure::Outside(format!("{} can't be read", dir.display()), e))?;
    if let Some(first) = files.malformed.first() {
        let n = files.malformed.len();
        let what = format!("{n} damaged lines, the first: {first}; no verdict");
        return Err(Failure::Usage(what));
    }
    if files.records.is_empty() {
        return Err(Failure::Usage(format!(
            "{}: no records in it; no verdict",
            dir.display()
        )));
    }
    Ok(judge(&files.records, &rules))
}

/// Prints a verdict.
pub fn print(verdict: &Verdict, json: bool) {
    if json {
        println!(
            "{}",
            serde_json::to_string_pretty(verdict).unwrap_or_default()
        );
        return;
    }
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
    for (class, t) in &verdict.classes {
        println!(
            "{class:<12} {:>9} {:>7} {:>7} {:>7} {:>6} {:>8} {:>7} {:>6} {:>6} {:>9} {:>9}",
            t.submitted,
            t.admitted,
            t.rejected,
            t.served,
            t.late,
            t.refused,
            t.failed,
            t.cancelled,
            t.lost,
            t.attempts,
            t.effects
        );
    }
    match verdict.violations.len() {
        0 => println!("all rules kept"),
        n => {
            println!("{n} breaks of the rules:");
            verdict
                .violations
                .iter()
                .for_each(|b| println!("  rule {}: {}", b.rule, b.description));
        }
    }
}
