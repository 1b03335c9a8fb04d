//! `hoptiller beliefs`: what routers' traces tell of their attempts, against what their decisions believed.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use hoptiller_platform_router::trace::{EngineObservations, Trace};

use crate::run::Failure;

/// More than a day's trace has.
const MOST: u64 = 1 << 30;

#[derive(clap::Args)]
pub struct Args {
    /// Traces (HOPTILLER_LOG=hoptiller_platform_router=debug), one file a router, or folders of them (*.log)
    #[arg(required = true)]
    traces: Vec<PathBuf>,
    /// Engines to show, those that turned most attempts away first
    #[arg(long, default_value_t = 12)]
    most: usize,
}

pub fn run(args: &Args) -> Result<ExitCode, Failure> {
    let mut files = Vec::new();
    for path in &args.traces {
        files.extend(
            files_of(path).map_err(|e| Failure::Outside(format!("{}", path.display()), e))?,
        );
    }
    let (mut engines, mut wrong, mut compared, mut unread) =
        (BTreeMap::<u32, EngineObservations>::new(), 0, 0, 0);
    for file in &files {
        let trace = read(file).map_err(|e| Failure::Outside(format!("{}", file.display()), e))?;
        for mismatch in &trace.mismatches {
            println!(
                "{}:{}: engine {}: {} attempts are out, and {} are believed to be",
                file.display(),
                mismatch.line,
                mismatch.engine,
                mismatch.counted,
                mismatch.believed
            );
        }
        (wrong, compared, unread) = (
            wrong + trace.mismatch_count,
            compared + trace.comparisons,
            unread + trace.unparsed_lines,
        );
        for (id, s) in trace.engines {
            let all = engines.entry(id).or_default();
            all.sent += s.sent;
            all.served += s.served;
            all.rejected += s.rejected;
            all.unreached += s.unreached;
            all.resent_early += s.resent_early;
            all.max_in_flight = all.max_in_flight.max(s.max_in_flight);
        }
    }
    if compared == 0 {
        let what = "no attempt in them; no verdict (routers write them with HOPTILLER_LOG=hoptiller_platform_router=debug)";
        return Err(Failure::Usage(what.to_owned()));
    }
    let mut worst: Vec<(u32, EngineObservations)> = engines.into_iter().collect();
    worst.sort_by_key(|(id, s)| (std::cmp::Reverse(s.rejected + s.unreached), *id));
    println!(
        "{:>10} {:>7} {:>7} {:>6} {:>9} {:>12} {:>8}",
        "engine", "sent", "served", "full", "unreached", "asked again", "most out"
    );
    let row = |name: &str, s: &EngineObservations| {
        println!(
            "{name:>10} {:>7} {:>7} {:>6} {:>9} {:>12} {:>8}",
            s.sent, s.served, s.rejected, s.unreached, s.resent_early, s.max_in_flight
        );
    };
    worst
        .iter()
        .take(args.most)
        .for_each(|(id, s)| row(&id.to_string(), s));
    let sum = |of: fn(&EngineObservations) -> u64| worst.iter().map(|(_, s)| of(s)).sum::<u64>();
    let all = EngineObservations {
        sent: sum(|s| s.sent),
        served: sum(|s| s.served),
        rejected: sum(|s| s.rejected),
        unreached: sum(|s| s.unreached),
        resent_early: sum(|s| s.resent_early),
        max_in_flight: worst
            .iter()
            .map(|(_, s)| s.max_in_flight)
            .max()
            .unwrap_or(0),
    };
    row("all", &all);
    println!(
        "{} routers, {} engines; {compared} beliefs held against the count, {wrong} wrong; {unread} lines unread",
        files.len(),
        worst.len()
    );
    Ok(ExitCode::from(u8::from(wrong > 0)))
}

fn files_of(path: &Path) -> std::io::Result<Vec<PathBuf>> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let mut files = Vec::new();
    for entry in std::fs::read_dir(path)? {
        let file = entry?.path();
        if file.extension().is_some_and(|e| e == "log") {
            files.push(file);
        }
    }
    files.sort();
    Ok(files)
}

fn read(file: &Path) -> std::io::Result<Trace> {
    let size = std::fs::metadata(file)?.len();
    if size > MOST {
        let what = format!("{size} bytes are more than a day's trace has");
        return Err(std::io::Error::new(std::io::ErrorKind::InvalidData, what));
    }
    let bytes = std::fs::read(file)?;
    Ok(Trace::parse(String::from_utf8_lossy(&bytes).lines()))
}
