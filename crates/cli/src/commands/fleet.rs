//! `hoptiller fleet`: who is on which version; and a whole fleet on loopback, with faults between its processes.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use hoptiller_audit::{Rules, VersionRules, judge};
use hoptiller_coordination::ConfigDuration;
use hoptiller_coordination_client::wire::{self, ClusterStatus, LeaseStatus};
use hoptiller_fault_harness::stage::EnginePlan;
use hoptiller_fault_harness::{Day, Layout, Stage};

use crate::keepers::KeeperArgs;
use crate::run::Failure;

#[derive(clap::Subcommand)]
pub enum Args {
    /// Shows keepers, versions, and the routers that hold permits
    ClusterStatus(StatusArgs),
    /// Shows which router does which part of a fleet-wide task, and until when at least
    Leases(StatusArgs),
    /// Puts a new keeper in the place of one that is lost with its disk, while the others go on
    ReplaceKeeper(ReplaceArgs),
    /// Plays a day with processes of this program on loopback, and faults between them; then judges it
    Run(RunArgs),
}

#[derive(clap::Args)]
pub struct RunArgs {
    /// The day, in Jsonnet
    day: PathBuf,
    /// What is drawn is drawn from it
    #[arg(long, default_value_t = 1, value_name = "N")]
    seed: u64,
    /// The folder of records, logs and the verdict; it must not be there yet
    #[arg(long, value_name = "DIR")]
    report: PathBuf,
    /// The same day without versions: each router goes by its own file
    #[arg(long)]
    without: bool,
    /// Acts under contradicting versions may overlap for so long, in ms. Engines record what comes when they get to
    /// run: on a loaded machine that is later than it was sent
    #[arg(long, default_value_t = 20, value_name = "MS")]
    overlap: u64,
    /// Print the verdict in JSON
    #[arg(long)]
    json: bool,
    /// Have all processes of the fleet do this wrong, to see whether it is found: from-the-answer, never-ends, no-wait,
    /// forgets
    #[cfg(feature = "plant")]
    #[arg(long, value_name = "FAULT")]
    plant: Option<String>,
}

#[derive(clap::Args)]
pub struct ReplaceArgs {
    #[command(flatten)]
    keepers: KeeperArgs,
    /// The keeper that is lost
    #[arg(long, value_name = "N")]
    lost: u64,
    /// The new keeper's number: one that no keeper of this fleet had before
    #[arg(long, value_name = "N")]
    new: u64,
    /// Where the others reach the new keeper; best the address of the lost one, which routers know
    #[arg(long, value_name = "ADDR")]
    at: std::net::SocketAddr,
}

#[derive(clap::Args)]
pub struct StatusArgs {
    #[command(flatten)]
    keepers: KeeperArgs,
    /// What each keeper answers, in JSON
    #[arg(long)]
    json: bool,
}

pub fn run(args: &Args) -> Result<ExitCode, Failure> {
    match args {
        Args::ClusterStatus(args) => status(args),
        Args::Leases(args) => leases(args),
        Args::ReplaceKeeper(args) => replace_keeper(args),
        Args::Run(args) => play(args),
    }
}

/// What a file of a day holds beside the day itself.
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct Written {
    keepers: usize,
    routers: usize,
    permit: ConfigDuration,
    #[serde(default)]
    drift: Option<u64>,
    #[serde(default)]
    router_skews: Vec<i64>,
    #[serde(default)]
    keeper_skews: Vec<i64>,
    /// A router's own settings.
    settings: serde_json::Value,
    engines: Vec<WrittenEngine>,
    /// A part of a fleet-wide task may be done by nobody for so long.
    #[serde(default)]
    unheld: Option<ConfigDuration>,
    day: Day,
}

#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct WrittenEngine {
    kind: String,
    zone: String,
    #[serde(default)]
    speed: Option<f64>,
    #[serde(default)]
    fences: bool,
}

/// A file of a day, checked as far as can be without playing it.
fn written(file: &std::path::Path) -> Result<Written, Failure> {
    let value = hoptiller_statement_router::settings::evaluate_file(file)
        .map_err(|p| Failure::Settings(vec![p]))?;
    let day: Written = serde_json::from_value(value)
        .map_err(|e| Failure::Usage(format!("{}: {e}", file.display())))?;
    let problem = |path: &str, what: String| hoptiller_statement_router::SettingError {
        place: format!("{}: {path}", file.display()),
        reason: what,
    };
    let mut problems = Vec::new();
    if !matches!(day.keepers, 3 | 5)
        || day.routers == 0
        || day.routers > 64
        || day.engines.is_empty()
    {
        problems.push(problem(
            "keepers",
            "3 or 5 keepers, 1 to 64 routers and some engines are wanted".into(),
        ));
    }
    if !day.day.documents.contains_key("first") {
        problems.push(problem(
            "day.documents",
            "one of them is to be named `first`".into(),
        ));
    }
    for (name, document) in &day.day.documents {
        for flaw in document.validation_errors() {
            problems.push(problem(
                &format!("day.documents.{name}.{}", flaw.path),
                flaw.message,
            ));
        }
    }
    if problems.is_empty() {
        Ok(day)
    } else {
        Err(Failure::Settings(problems))
    }
}

/// What a day is, in words, where nothing is wrong with it.
pub fn check(file: &std::path::Path) -> Result<String, Failure> {
    let w = written(file)?;
    let mut settings = w.settings;
    settings["router"] =
        serde_json::json!({ "name": "r1", "of": w.routers, "listen": "127.0.0.1:0" });
    let name = format!("{}: settings", file.display());
    hoptiller_statement_router::Settings::from_value(&name, &settings)
        .map_err(Failure::Settings)?;
    let (seconds, documents) = (w.day.lasts.as_micros() / 1_000_000, w.day.documents.len());
    Ok(format!(
        "a fleet's day of {seconds} s, {} keepers, {} routers, {documents} documents",
        w.keepers, w.routers
    ))
}

fn play(args: &RunArgs) -> Result<ExitCode, Failure> {
    let file = written(&args.day)?;
    let outside = |what: &str| {
        let what = what.to_owned();
        move |e: std::io::Error| Failure::Outside(what, e)
    };
    if args.report.exists() {
        return Err(Failure::Usage(format!(
            "{} is there already",
            args.report.display()
        )));
    }
    crate::run::raise_descriptors();
    end_with_signals();
    let program = std::env::current_exe().map_err(outside("this program"))?;
    let layout = Layout {
        keepers: file.keepers,
        routers: file.routers,
        engines: file
            .engines
            .into_iter()
            .map(|e| EnginePlan {
                kind: e.kind,
                zone: e.zone,
                speed: e.speed.unwrap_or(1.0),
                fences: e.fences,
            })
            .collect(),
        settings: file.settings,
        permit: Duration::from_micros(file.permit.as_micros()),
        drift: file.drift.unwrap_or(1000),
        router_skews: file.router_skews,
        keeper_skews: file.keeper_skews,
        most_bytes: None,
        agreement: !args.without,
    };
    let (keepers, routers) = (layout.keepers, layout.routers);
    let mut stage = Stage::new(layout, &program, &args.report).map_err(outside("the stage"))?;
    #[cfg(feature = "plant")]
    if let Some(name) = &args.plant {
        if hoptiller_coordination::fault_injection::Fault::from_name(name).is_none() {
            return Err(Failure::Usage(format!(
                "--plant: {name:?} is no fault that is known"
            )));
        }
        stage.with_env(crate::PLANT, name);
    }
    let outcome = file
        .day
        .play(&mut stage, routers, keepers, args.seed)
        .map_err(outside("the day"))?;
    let records = stage.recorder.records().map_err(outside("the records"))?;
    let rules = Rules {
        classes: Default::default(),
        drain_grace: u64::MAX,
        max_attempts: u32::MAX,
        order_pause: 0,
        retry_budget: None,
        versions: Some(VersionRules {
            max_overlap: args.overlap * 1000,
            compatible: outcome.neutral.clone(),
            max_unheld: file.unheld.map(ConfigDuration::as_micros),
        }),
    };
    let rules = file.day.rules(rules);
    drop(stage);
    let text = serde_json::to_string_pretty(&rules).unwrap_or_default();
    std::fs::write(args.report.join("rules.json"), text).map_err(outside("rules.json"))?;
    let verdict = judge(&records, &rules);
    let mut times = outcome.in_force_ms.clone();
    times.sort_unstable();
    let at = |part: f64| {
        times
            .get(((times.len() as f64 * part) as usize).min(times.len().saturating_sub(1)))
            .copied()
    };
    if args.json {
        let told = serde_json::json!({
            "verdict": verdict, "taken": outcome.taken, "refused": outcome.refused, "unknown": outcome.unknown,
            "in_force_ms": times, "lost": outcome.lost, "fallen": outcome.fallen,
            "numbers": outcome.numbers, "course": outcome.course,
        });
        println!(
            "{}",
            serde_json::to_string_pretty(&told).unwrap_or_default()
        );
    } else {
        crate::commands::audit::print(&verdict, false);
        let overlap = verdict.overlap.unwrap_or_default();
        println!(
            "acts under contradicting versions: {}, the longest overlap {} ms",
            overlap.acts,
            overlap.longest / 1000
        );
        if let Some(leases) = &verdict.leases {
            let takeover = |part: f64| {
                let at = (leases.takeovers.len() as f64 * part) as usize;
                leases
                    .takeovers
                    .get(at.min(leases.takeovers.len().saturating_sub(1)))
                    .map_or(0, |us| us / 1000)
            };
            println!(
                "acts under leases: {} of {} parts under {} numbers, {} refused as outdated; after a newer one: {}, the \
                 longest {} ms",
                leases.acts,
                leases.shards,
                leases.fencing_tokens,
                leases.refused,
                leases.overlaps,
                leases.longest_overlap / 1000
            );
            println!(
                "a part done by nobody: at a takeover {} ms in the middle, {} ms in 99 of 100, {} ms at most",
                takeover(0.5),
                takeover(0.99),
                leases.longest_gap / 1000
            );
        }
        println!(
            "changes: {} taken, {} refused, {} without an answer; in force after {} ms in the middle, {} ms at most",
            outcome.taken,
            outcome.refused,
            outcome.unknown,
            at(0.5).unwrap_or(0),
            times.last().copied().unwrap_or(0)
        );
        println!(
            "in force in the end: {}, last {}",
            outcome.numbers.in_force, outcome.numbers.last
        );
        outcome
            .lost
            .iter()
            .for_each(|n| println!("version {n} was taken, and is lost"));
        outcome
            .fallen
            .iter()
            .for_each(|p| println!("ended by itself: {p}"));
    }
    let kept =
        verdict.violations.is_empty() && outcome.lost.is_empty() && outcome.fallen.is_empty();
    Ok(if kept {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// The fleet's processes end with this one, also where it is told to end.
fn end_with_signals() {
    std::thread::spawn(|| {
        if async_io::block_on(crate::run::told_to_end()).is_ok() {
            hoptiller_fault_harness::process::end_all();
            std::process::exit(130);
        }
    });
}

fn replace_keeper(args: &ReplaceArgs) -> Result<ExitCode, Failure> {
    let ask = serde_json::json!({ "lost": args.lost, "new": args.new, "at": args.at });
    let done: wire::ReplaceResponse = args.keepers.open()?.post(wire::REPLACE, &ask)?;
    println!(
        "keeper {} has the place of keeper {}: list {} of the keepers holds",
        args.new, args.lost, done.membership
    );
    println!("start it on an empty folder with `hoptiller keep --join --config FILE`");
    Ok(ExitCode::SUCCESS)
}

fn leases(args: &StatusArgs) -> Result<ExitCode, Failure> {
    let all: Vec<LeaseStatus> = args.keepers.open()?.get(wire::LEASES)?;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&all).unwrap_or_default());
    } else {
        print!("{}", show_leases(&all));
    }
    Ok(ExitCode::SUCCESS)
}

/// A line a part, and how many each router has.
fn show_leases(all: &[LeaseStatus]) -> String {
    let mut out = String::new();
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for l in all {
        let line = match &l.holder {
            None => "nobody; each router does it for itself".to_owned(),
            Some((holder, number)) => {
                *counts.entry(holder.to_string()).or_default() += 1;
                let left = l.left_ms.map_or("?".to_owned(), |ms| ms.to_string());
                format!(
                    "{holder} under number {number}, for {left} ms more, note of {} bytes",
                    l.note_bytes
                )
            }
        };
        out.push_str(&format!("{:<12} {line}\n", l.shard.to_string()));
    }
    for (holder, n) in counts {
        out.push_str(&format!("{holder}: {n} of {}\n", all.len()));
    }
    if all.is_empty() {
        out.push_str("the version in force names no tasks\n");
    }
    out
}

fn status(args: &StatusArgs) -> Result<ExitCode, Failure> {
    let all = args.keepers.open()?.each::<ClusterStatus>(wire::STATUS);
    if args.json {
        let shown: Vec<_> = all
            .iter()
            .map(|(at, s)| match s {
                Ok(status) => serde_json::json!({ "at": at, "status": status }),
                Err(e) => serde_json::json!({ "at": at, "problem": e.to_string() }),
            })
            .collect();
        println!(
            "{}",
            serde_json::to_string_pretty(&shown).unwrap_or_default()
        );
    } else {
        for (at, status) in &all {
            match status {
                Err(e) => println!("keeper at {at}: {e}"),
                Ok(s) => print!("{}", show_keeper(&at.to_string(), s)),
            }
        }
        // The one that knows most tells of the fleet.
        let best = all
            .iter()
            .filter_map(|(_, s)| s.as_ref().ok())
            .max_by_key(|s| s.log.decided);
        if let Some(best) = best {
            print!("{}", show_fleet(best));
        }
    }
    let any = all.iter().any(|(_, s)| s.is_ok());
    Ok(if any {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(3)
    })
}

fn show_keeper(at: &str, s: &ClusterStatus) -> String {
    let leader = s.leader.map_or("nobody".to_owned(), |l| l.to_string());
    let heard: Vec<String> = s
        .peers
        .iter()
        .map(|peer| match peer.heard_ms_ago {
            Some(ms) => format!("{} {ms} ms ago", peer.replica),
            None => format!("{} never", peer.replica),
        })
        .collect();
    let all: Vec<String> = s.replicas.iter().map(u64::to_string).collect();
    format!(
        "keeper {} at {at}: list {} ({}), leads {leader}, {} steps decided, {} kept, reached {}\n",
        s.replica,
        s.membership,
        all.join(" "),
        s.log.decided,
        s.log.retained,
        heard.join(", ")
    )
}

fn show_fleet(s: &ClusterStatus) -> String {
    let mut out = format!(
        "in force {}, last {}\n",
        s.versions.in_force, s.versions.last
    );
    for h in &s.pending {
        out.push_str(&format!(
            "  on its way: {} ({}) by {}: {}\n",
            h.number,
            h.kind.description(),
            h.author,
            h.reason
        ));
    }
    for h in &s.holders {
        let held = if h.blocks_rollout {
            "  HOLDS UP the next version"
        } else {
            ""
        };
        out.push_str(&format!(
            "  {:<30} heeds {:>5}, permit {:>6} ms{held}\n",
            h.holder.to_string(),
            h.enforced_version,
            h.left_ms
        ));
    }
    out
}

/// Who holds up the next version, and until when at most.
pub fn waiting_for(s: &ClusterStatus) -> String {
    let held = s.holders.iter().filter(|h| h.blocks_rollout);
    held.map(|h| format!("  waits for {}, {} ms at most\n", h.holder, h.left_ms))
        .collect()
}

#[cfg(test)]
mod tests;
