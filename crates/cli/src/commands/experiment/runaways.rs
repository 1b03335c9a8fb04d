//! `hoptiller experiment runaways`: runs the simulations of the study in parallel, and reports their figures.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Write};
use std::num::NonZero;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Instant;

use hoptiller_emulator::study::{self, Condition, FIXED_LIMITS_SECONDS, Figures};
use hoptiller_statement_router::Settings;
use serde_json::{Value, json};

use super::chart;
use super::summary::ConditionSummary;
use super::table::print_tables;
use crate::commands::print_json;
use crate::error::CommandError;

/// The settings that the study uses by default, and the file that they import.
const EXAMPLE_SETTINGS: &str = include_str!("../../../../../examples/runaways.jsonnet");
const IMPORTED_SETTINGS: &str = include_str!("../../../../../examples/derby.jsonnet");

/// Classes that the study's traffic uses.
const CLASSES: [&str; 3] = ["lookup", "report", "rent-load"];

/// Number of runs between two progress reports.
const PROGRESS_INTERVAL: usize = 8;

/// Arguments of `hoptiller experiment runaways`.
#[derive(clap::Args)]
pub(crate) struct Args {
    /// Number of runs of each condition, with consecutive seeds
    #[arg(long, default_value_t = 24, value_name = "N", value_parser = clap::value_parser!(u64).range(1..=1000))]
    seeds: u64,
    /// The first seed
    #[arg(long = "first", default_value_t = 1, value_name = "SEED")]
    first_seed: u64,
    /// Number of engines with eight cores; the traffic uses about 32 cores
    #[arg(long, default_value_t = 8, value_name = "N", value_parser = clap::value_parser!(u16).range(2..=64))]
    engines: u16,
    /// Settings, in Jsonnet, with classes lookup, report and rent-load; by default examples/runaways.jsonnet
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// Folder for the plot (runaways.svg) and the figures of each run (runs.jsonl); created if needed
    #[arg(long, value_name = "DIR")]
    report: Option<PathBuf>,
    /// Print the figures as JSON
    #[arg(long)]
    json: bool,
}

/// The error that the settings lack a class that the study's traffic uses.
#[derive(Debug, thiserror::Error)]
#[error("the settings lack class {class:?}, which the study needs")]
pub(crate) struct MissingClassError {
    class: &'static str,
}

impl From<MissingClassError> for CommandError {
    fn from(error: MissingClassError) -> CommandError {
        CommandError::command(error)
    }
}

pub(crate) fn run(args: &Args) -> Result<ExitCode, CommandError> {
    let settings = load_settings(args.settings.as_deref())?;
    let seeds: Vec<u64> = (args.first_seed..).take(args.seeds as usize).collect();
    let runs: Vec<(Condition, u64)> = Condition::ALL
        .iter()
        .flat_map(|condition| seeds.iter().map(move |seed| (*condition, *seed)))
        .collect();
    let figures = run_all(&settings, &runs, usize::from(args.engines));
    let summaries: Vec<ConditionSummary> = Condition::ALL
        .iter()
        .map(|condition| ConditionSummary::new(*condition, &figures))
        .collect();
    if let Some(dir) = &args.report {
        write_report(dir, &figures, &summaries)
            .map_err(CommandError::io(dir.display().to_string()))?;
    }
    if args.json {
        let conditions: Vec<Value> = summaries.iter().map(ConditionSummary::to_json).collect();
        print_json(&json!({
            "seeds": seeds, "engines": args.engines, "simulated": true, "conditions": conditions,
        }));
    } else {
        print_tables(&summaries, seeds.len());
    }
    Ok(ExitCode::SUCCESS)
}

fn load_settings(file: Option<&Path>) -> Result<Settings, CommandError> {
    let settings = match file {
        Some(file) => Settings::load(file)?,
        None => {
            // The program contains both the example and the file that it imports.
            let text = EXAMPLE_SETTINGS.replace("import 'derby.jsonnet'", IMPORTED_SETTINGS);
            Settings::from_text("runaways.jsonnet", &text)?
        }
    };
    match CLASSES
        .iter()
        .find(|name| settings.class_index(name).is_none())
    {
        Some(class) => Err(MissingClassError { class }.into()),
        None => Ok(settings),
    }
}

/// Runs all simulations on all cores, and reports the progress. Returns the figures in the order of the runs.
fn run_all(settings: &Settings, runs: &[(Condition, u64)], engines: usize) -> Vec<Figures> {
    let threads = thread::available_parallelism()
        .map_or(1, NonZero::get)
        .min(runs.len());
    let (next, completed) = (AtomicUsize::new(0), Mutex::new(BTreeMap::new()));
    let start = Instant::now();
    let work = || {
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            let Some((condition, seed)) = runs.get(index) else {
                return;
            };
            let figures = study::run(settings, *condition, *seed, engines);
            let Ok(mut completed) = completed.lock() else {
                return;
            };
            completed.insert(index, figures);
            report_progress(completed.len(), runs.len(), start);
        }
    };
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(work);
        }
    });
    completed
        .into_inner()
        .map(|figures| figures.into_values().collect())
        .unwrap_or_default()
}

fn report_progress(completed: usize, runs: usize, start: Instant) {
    if completed.is_multiple_of(PROGRESS_INTERVAL) || completed == runs {
        let seconds = start.elapsed().as_secs_f64();
        eprintln!("{completed} of {runs} runs, {seconds:.0} s");
    }
}

fn write_report(dir: &Path, figures: &[Figures], summaries: &[ConditionSummary]) -> io::Result<()> {
    fs::create_dir_all(dir)?;
    let mut lines = io::BufWriter::new(File::create(dir.join("runs.jsonl"))?);
    for run in figures {
        let line = serde_json::to_string(run).unwrap_or_default();
        writeln!(lines, "{line}")?;
    }
    lines.flush()?;
    let curves: Vec<chart::Curve> = summaries.iter().map(ConditionSummary::curve).collect();
    let plot = dir.join("runaways.svg");
    fs::write(
        &plot,
        chart::draw_detections_over_time(&curves, &FIXED_LIMITS_SECONDS),
    )?;
    eprintln!("wrote {} and runs.jsonl in the same folder", plot.display());
    Ok(())
}
