//! `hoptiller experiment runaways`: plays the study's runs in parallel, and tells its figures.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use hoptiller_emulator::study::{self, Condition, Figures, LIMITS};
use hoptiller_statement_router::Settings;
use serde_json::{Value, json};

use super::chart;
use crate::run::Failure;

/// The settings that are used without a file.
const EXAMPLE: &str = include_str!("../../../../../examples/runaways.jsonnet");
const DERBY: &str = include_str!("../../../../../examples/derby.jsonnet");

#[derive(clap::Args)]
pub struct Args {
    /// Runs of each condition, each with another seed
    #[arg(long, default_value_t = 24, value_name = "N", value_parser = clap::value_parser!(u64).range(1..=1000))]
    seeds: u64,
    /// The first seed
    #[arg(long, default_value_t = 1, value_name = "SEED")]
    first: u64,
    /// Engines of eight cores; the traffic takes some 32 cores
    #[arg(long, default_value_t = 8, value_name = "N", value_parser = clap::value_parser!(u16).range(2..=64))]
    engines: u16,
    /// Settings, in Jsonnet, with classes lookup, report and rent-load; without: examples/runaways.jsonnet
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// Folder for the plot (runaways.svg) and each run's figures (runs.jsonl); made if need be
    #[arg(long, value_name = "DIR")]
    report: Option<PathBuf>,
    /// Print the figures in JSON
    #[arg(long)]
    json: bool,
}

pub fn run(args: &Args) -> Result<ExitCode, Failure> {
    let settings = match &args.settings {
        Some(file) => Settings::load(file).map_err(Failure::Settings)?,
        None => {
            // The example imports its neighbour: both are in this program.
            let text = EXAMPLE.replace("import 'derby.jsonnet'", DERBY);
            Settings::from_text("runaways.jsonnet", &text).map_err(Failure::Settings)?
        }
    };
    for name in ["lookup", "report", "rent-load"] {
        if settings.class_index(name).is_none() {
            return Err(Failure::Usage(format!(
                "the settings have no class {name:?}: the study needs it"
            )));
        }
    }
    let seeds: Vec<u64> = (args.first..).take(args.seeds as usize).collect();
    let jobs: Vec<(Condition, u64)> = Condition::ALL
        .iter()
        .flat_map(|c| seeds.iter().map(move |s| (*c, *s)))
        .collect();
    let all = play(&settings, &jobs, args.engines);
    let told: Vec<Told> = Condition::ALL.iter().map(|c| Told::of(*c, &all)).collect();
    if let Some(dir) = &args.report {
        let outside = |e: io::Error| Failure::Outside(dir.display().to_string(), e);
        fs::create_dir_all(dir).map_err(outside)?;
        let mut lines = io::BufWriter::new(File::create(dir.join("runs.jsonl")).map_err(outside)?);
        for figures in &all {
            let line = serde_json::to_string(figures).unwrap_or_default();
            writeln!(lines, "{line}").map_err(outside)?;
        }
        lines.flush().map_err(outside)?;
        let curves: Vec<(String, Vec<f64>, usize)> = told
            .iter()
            .map(|t| (t.condition.description(), t.found.clone(), t.planted))
            .collect();
        let svg = chart::found_by_time(&curves, &LIMITS);
        fs::write(dir.join("runaways.svg"), svg).map_err(outside)?;
        eprintln!(
            "written: {} and runs.jsonl beside it",
            dir.join("runaways.svg").display()
        );
    }
    if args.json {
        let all: Vec<Value> = told.iter().map(Told::json).collect();
        let value = json!({ "seeds": seeds, "engines": args.engines, "simulated": true, "conditions": all });
        println!(
            "{}",
            serde_json::to_string_pretty(&value).unwrap_or_default()
        );
    } else {
        print(&told, seeds.len());
    }
    Ok(ExitCode::SUCCESS)
}

/// Plays all runs on all cores, and says how far it is.
fn play(settings: &Settings, jobs: &[(Condition, u64)], engines: u16) -> Vec<Figures> {
    let threads = std::thread::available_parallelism()
        .map_or(1, |n| n.get())
        .min(jobs.len());
    let (next, done) = (AtomicUsize::new(0), Mutex::new(BTreeMap::new()));
    let began = Instant::now();
    std::thread::scope(|s| {
        for _ in 0..threads {
            s.spawn(|| {
                loop {
                    let at = next.fetch_add(1, Ordering::Relaxed);
                    let Some((condition, seed)) = jobs.get(at) else {
                        return;
                    };
                    let figures = study::run(settings, *condition, *seed, usize::from(engines));
                    if let Ok(mut done) = done.lock() {
                        done.insert(at, figures);
                        let (n, all) = (done.len(), jobs.len());
                        if n % 8 == 0 || n == all {
                            eprintln!("{n} of {all} runs, {:.0} s", began.elapsed().as_secs_f64());
                        }
                    }
                }
            });
        }
    });
    done.into_inner()
        .map(|done| done.into_values().collect())
        .unwrap_or_default()
}

/// The figures of a condition, over its runs.
struct Told {
    condition: Condition,
    /// Times to detection of those found, in s, by time; and how many were planted.
    found: Vec<f64>,
    planted: usize,
    by_cause: BTreeMap<&'static str, (usize, Vec<f64>)>,
    large: (usize, usize),
    others: (usize, usize),
    notices: usize,
    limits: Vec<(u64, usize, usize, usize)>,
    worth: f64,
    behind: (usize, usize),
    fallen: usize,
}

impl Told {
    fn of(condition: Condition, all: &[Figures]) -> Told {
        let runs: Vec<&Figures> = all.iter().filter(|f| f.condition == condition).collect();
        let sum = |of: &dyn Fn(&Figures) -> usize| runs.iter().map(|f| of(f)).sum::<usize>();
        let mut found: Vec<f64> = runs
            .iter()
            .flat_map(|f| f.detections.iter().filter_map(|d| d.found_after))
            .collect();
        found.sort_by(f64::total_cmp);
        let mut by_cause: BTreeMap<&'static str, (usize, Vec<f64>)> = BTreeMap::new();
        for detection in runs.iter().flat_map(|f| &f.detections) {
            let of = by_cause.entry(detection.case.name()).or_default();
            of.0 += 1;
            of.1.extend(detection.found_after);
        }
        by_cause
            .values_mut()
            .for_each(|of| of.1.sort_by(f64::total_cmp));
        let limit = |(at, l): (usize, &u64)| {
            (
                *l,
                sum(&|f| f.limits[at].runaways),
                sum(&|f| f.limits[at].large),
                sum(&|f| f.limits[at].others),
            )
        };
        Told {
            condition,
            planted: sum(&|f| f.detections.len()),
            found,
            by_cause,
            large: (sum(&|f| f.large), sum(&|f| f.large_flagged)),
            others: (sum(&|f| f.others), sum(&|f| f.others_flagged)),
            notices: sum(&|f| f.notices),
            limits: LIMITS.iter().enumerate().map(limit).collect(),
            worth: runs.iter().map(|f| f.value_in_time).sum::<f64>() / runs.len().max(1) as f64,
            behind: (sum(&|f| f.behind_load), sum(&|f| f.behind_load_in_time)),
            fallen: sum(&|f| f.engine_crashes),
        }
    }

    fn json(&self) -> Value {
        let causes: BTreeMap<&str, Value> = self
            .by_cause
            .iter()
            .map(|(cause, (n, found))| {
                let of = json!({ "planted": n, "found": found.len(), "p50": at(found, 0.5), "p95": at(found, 0.95) });
                (*cause, of)
            })
            .collect();
        let limits: Vec<Value> = self
            .limits
            .iter()
            .map(|l| json!({ "seconds": l.0, "found": l.1, "largeFlagged": l.2, "othersFlagged": l.3 }))
            .collect();
        json!({
            "condition": self.condition,
            "planted": self.planted,
            "found": self.found.len(),
            "p50": at(&self.found, 0.5),
            "p95": at(&self.found, 0.95),
            "latest": at(&self.found, 1.0),
            "byCause": causes,
            "large": self.large.0,
            "largeFlagged": self.large.1,
            "others": self.others.0,
            "othersFlagged": self.others.1,
            "notices": self.notices,
            "fixedLimits": limits,
            "worthOnTime": self.worth,
            "lookupsBehind": self.behind.0,
            "lookupsBehindOnTime": self.behind.1,
            "enginesFallen": self.fallen,
        })
    }
}

/// A quantile of sorted figures.
fn at(sorted: &[f64], q: f64) -> Option<f64> {
    let last = sorted.len().checked_sub(1)?;
    sorted.get((q * last as f64).ceil() as usize).copied()
}

fn seconds(v: Option<f64>) -> String {
    v.map_or("-".into(), |v| format!("{v:.1} s"))
}

fn print(told: &[Told], runs: usize) {
    println!("{runs} runs of each condition (simulated servers)\n");
    let head = [
        "condition",
        "found",
        "p50",
        "p95",
        "latest",
        "large",
        "others",
        "notices",
        "worth",
        "behind a load",
    ];
    println!(
        "{:<18} {:>9} {:>7} {:>7} {:>7}  {:>7} {:>9} {:>8} {:>6}  {:>13}",
        head[0], head[1], head[2], head[3], head[4], head[5], head[6], head[7], head[8], head[9]
    );
    for t in told {
        let behind = t.behind.1 as f64 / (t.behind.0 as f64).max(1.0);
        println!(
            "{:<18} {:>9} {:>7} {:>7} {:>7}  {:>7} {:>9} {:>8} {:>6.3}  {:>5.3} of {}",
            t.condition.description(),
            format!("{} of {}", t.found.len(), t.planted),
            seconds(at(&t.found, 0.5)),
            seconds(at(&t.found, 0.95)),
            seconds(at(&t.found, 1.0)),
            format!("{} of {}", t.large.1, t.large.0),
            format!("{} of {}", t.others.1, t.others.0),
            t.notices,
            t.worth,
            behind,
            t.behind.0,
        );
    }
    println!(
        "\nfound: runaways named, after the engine took them. large, others: flagged, of all that ran; none should be."
    );
    println!(
        "worth: answered on time, of all. behind a load: lookups whose tables a planted load held, on time.\n"
    );
    for t in told {
        println!("{}, by what was planted", t.condition.description());
        for (cause, (n, found)) in &t.by_cause {
            println!(
                "  {cause:<16} {} of {n}, p50 {}, p95 {}, latest {}",
                found.len(),
                seconds(at(found, 0.5)),
                seconds(at(found, 0.95)),
                seconds(at(found, 1.0))
            );
        }
    }
    if let Some(t) = told.first() {
        println!(
            "\nfixed limits in the same runs ({})",
            t.condition.description()
        );
        for (limit, found, large, others) in &t.limits {
            println!(
                "  {limit:>3} s: finds {found} of {} runaways, flags {large} of {} large reports and {others} others",
                t.planted, t.large.0
            );
        }
    }
}
