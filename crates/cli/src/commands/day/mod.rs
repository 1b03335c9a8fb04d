//! `hoptiller day`: a scripted day over sockets, judged from what passed on them.
//!
//! Engines and discovery are stand-ins on threads of this process, routers are processes of their own, clients
//! are scripted. All write what they see into the report's folder; the verdict is read from there.

mod crowd;
mod plan;
mod stage;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use hoptiller_audit::{Record, unix_micros};

use super::audit;
use crate::error::CommandError;
use crowd::Crowd;
use plan::{Act, Plan};
use stage::Stage;

#[derive(clap::Args)]
pub struct Args {
    /// The script, in Jsonnet; see examples/bad-day.jsonnet
    file: PathBuf,
    /// Folder for settings, records and the verdict; must be new or empty
    #[arg(long, value_name = "DIR")]
    report: PathBuf,
    /// Seed of the clients' draws
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print the verdict in JSON
    #[arg(long)]
    json: bool,
}

pub fn run(args: &Args) -> Result<ExitCode, CommandError> {
    crate::runtime::raise_descriptor_limit();
    let plan = Plan::load(&args.file)?;
    let outside = |e| CommandError::io(format!("the report folder {}", args.report.display()))(e);
    std::fs::create_dir_all(&args.report).map_err(outside)?;
    if std::fs::read_dir(&args.report)
        .map_err(outside)?
        .next()
        .is_some()
    {
        return Err(CommandError::Usage(format!(
            "{}: not empty; give a new folder",
            args.report.display()
        )));
    }
    let mut stage = Stage::start(&plan, &args.report)?;
    eprintln!(
        "{} routers, {} engines, {} clients; {} s",
        plan.routers,
        plan.engines.len(),
        plan.clients.count,
        plan.lasts.as_secs_f64()
    );
    let crowd = Crowd::start(&plan, &stage, args.seed)?;
    let began = Instant::now();
    let mut acts = plan.acts.iter().peekable();
    while began.elapsed() < plan.lasts {
        while let Some(act) = acts.next_if(|a| a.at <= began.elapsed()) {
            eprintln!("{:5.1} s  {}", began.elapsed().as_secs_f64(), act.act);
            match &act.act {
                Act::Rush(factor) => crowd.rush(*factor),
                other => stage.act(other)?,
            }
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    eprintln!(
        "{:5.1} s  clients submit nothing more",
        began.elapsed().as_secs_f64()
    );
    crowd.finish();
    eprintln!(
        "{:5.1} s  all clients have ended",
        began.elapsed().as_secs_f64()
    );
    stage.end()?;
    let verdict = audit::judge_folder(&args.report)?;
    let text = serde_json::to_string_pretty(&verdict).unwrap_or_default();
    std::fs::write(args.report.join("verdict.json"), text).map_err(outside)?;
    audit::print_verdict(&verdict, args.json);
    Ok(ExitCode::from(u8::from(!verdict.violations.is_empty())))
}

/// What a script is, in words, where nothing is wrong with it.
pub fn check(file: &std::path::Path) -> Result<String, CommandError> {
    let plan = Plan::load(file)?;
    let (routers, engines, clients) = (plan.routers, plan.engines.len(), plan.clients.count);
    Ok(format!(
        "a day of {} s, {routers} routers, {engines} engines, {clients} clients",
        plan.lasts.as_secs_f64()
    ))
}

/// A record of a router's sudden end.
fn killed(router: &str) -> Record {
    Record::RouterKilled {
        at: unix_micros(),
        router: router.to_owned(),
    }
}
