//! `hoptiller beliefs`: compares the attempts in routers' traces with the number that their policy believed to be in flight.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use hoptiller_platform_router::trace::{EngineObservations, Trace};

use crate::error::CommandError;

/// Maximum size of a trace; more than a router writes in a day.
const MAX_TRACE_BYTES: u64 = 1 << 30;

/// File name extension of the traces in a folder.
const TRACE_EXTENSION: &str = "log";

/// Arguments of `hoptiller beliefs`.
#[derive(clap::Args)]
pub(crate) struct Args {
    /// Traces (HOPTILLER_LOG=hoptiller_platform_router=debug), one file per router, or folders of them (*.log)
    #[arg(required = true)]
    traces: Vec<PathBuf>,
    /// Maximum number of engines to show, those with the most rejected and unreached attempts first
    #[arg(long = "most", value_name = "N", default_value_t = 12)]
    max_engines: usize,
}

/// The error that the traces contain no attempt.
#[derive(Debug, thiserror::Error)]
#[error(
    "the traces contain no attempt, so nothing was compared \
     (routers trace attempts with HOPTILLER_LOG=hoptiller_platform_router=debug)"
)]
pub(crate) struct EmptyTraceError;

impl From<EmptyTraceError> for CommandError {
    fn from(error: EmptyTraceError) -> CommandError {
        CommandError::command(error)
    }
}

/// The totals of all traces.
#[derive(Default)]
struct Summary {
    files: usize,
    engines: BTreeMap<u32, EngineObservations>,
    comparisons: usize,
    mismatches: usize,
    unparsed_lines: usize,
}

pub(crate) fn run(args: &Args) -> Result<ExitCode, CommandError> {
    let mut files = Vec::new();
    for path in &args.traces {
        let found = trace_files(path).map_err(CommandError::io(path.display().to_string()))?;
        files.extend(found);
    }
    let mut summary = Summary::default();
    for file in &files {
        let trace = read_trace(file).map_err(CommandError::io(file.display().to_string()))?;
        print_mismatches(file, &trace);
        summary.add(trace);
    }
    if summary.comparisons == 0 {
        return Err(EmptyTraceError.into());
    }
    summary.print(args.max_engines);
    Ok(ExitCode::from(u8::from(summary.mismatches > 0)))
}

impl Summary {
    fn add(&mut self, trace: Trace) {
        self.files += 1;
        self.comparisons += trace.comparisons;
        self.mismatches += trace.mismatch_count;
        self.unparsed_lines += trace.unparsed_lines;
        for (id, observations) in &trace.engines {
            add_observations(self.engines.entry(*id).or_default(), observations);
        }
    }

    /// Prints a row for each engine, those with the most rejected and unreached attempts first, and a row of totals.
    fn print(&self, max_engines: usize) {
        let mut rows: Vec<(u32, &EngineObservations)> =
            self.engines.iter().map(|(id, row)| (*id, row)).collect();
        rows.sort_by_key(|(id, row)| (Reverse(row.rejected + row.unreached), *id));
        println!(
            "{:>10} {:>7} {:>7} {:>6} {:>9} {:>12} {:>8}",
            "engine", "sent", "served", "full", "unreached", "asked again", "most out"
        );
        for (id, row) in rows.iter().take(max_engines) {
            print_row(&id.to_string(), row);
        }
        let mut total = EngineObservations::default();
        for row in self.engines.values() {
            add_observations(&mut total, row);
        }
        print_row("all", &total);
        println!(
            "{} routers, {} engines; {} beliefs held against the count, {} wrong; {} lines unread",
            self.files,
            self.engines.len(),
            self.comparisons,
            self.mismatches,
            self.unparsed_lines
        );
    }
}

fn add_observations(total: &mut EngineObservations, row: &EngineObservations) {
    total.sent += row.sent;
    total.served += row.served;
    total.rejected += row.rejected;
    total.unreached += row.unreached;
    total.resent_early += row.resent_early;
    total.max_in_flight = total.max_in_flight.max(row.max_in_flight);
}

fn print_row(name: &str, row: &EngineObservations) {
    println!(
        "{name:>10} {:>7} {:>7} {:>6} {:>9} {:>12} {:>8}",
        row.sent, row.served, row.rejected, row.unreached, row.resent_early, row.max_in_flight
    );
}

fn print_mismatches(file: &Path, trace: &Trace) {
    for mismatch in &trace.mismatches {
        println!(
            "{}:{}: engine {}: {} attempts are in flight, and {} are believed to be",
            file.display(),
            mismatch.line,
            mismatch.engine,
            mismatch.counted,
            mismatch.believed
        );
    }
}

/// Returns the path itself if it is a file, or the traces in it if it is a folder.
fn trace_files(path: &Path) -> io::Result<Vec<PathBuf>> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let mut files = Vec::new();
    for entry in std::fs::read_dir(path)? {
        let file = entry?.path();
        if file
            .extension()
            .is_some_and(|extension| extension == TRACE_EXTENSION)
        {
            files.push(file);
        }
    }
    files.sort();
    Ok(files)
}

fn read_trace(file: &Path) -> io::Result<Trace> {
    let size = std::fs::metadata(file)?.len();
    if size > MAX_TRACE_BYTES {
        let message = format!("the trace has {size} bytes, and the limit is {MAX_TRACE_BYTES}");
        return Err(io::Error::new(io::ErrorKind::InvalidData, message));
    }
    let bytes = std::fs::read(file)?;
    Ok(Trace::parse(String::from_utf8_lossy(&bytes).lines()))
}
