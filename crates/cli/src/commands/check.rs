//! `hoptiller check`: all that is wrong with a file: a router's settings, a keeper's configuration, a fleet's document, or
//! a scripted day.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use hoptiller_statement_router::{SettingError, Settings};
use serde_json::Value;

use crate::commands::{day, fleet, settings};
use crate::run::Failure;

#[derive(clap::Args)]
pub struct Args {
    /// The file, in Jsonnet
    file: PathBuf,
    /// Print the settings as they are understood, or the problems, in JSON
    #[arg(long)]
    json: bool,
}

/// What a file is, by the keys that only such a one has.
enum Kind {
    Settings,
    Keeper,
    Document,
    FleetDay,
    Day,
}

fn kind_of(value: &Value) -> Kind {
    let has = |key: &str| value.get(key).is_some();
    match () {
        _ if has("form") => Kind::Document,
        _ if has("keeper") => Kind::Keeper,
        _ if has("day") => Kind::FleetDay,
        _ if has("lasts") => Kind::Day,
        _ => Kind::Settings,
    }
}

pub fn run(args: &Args) -> Result<ExitCode, Failure> {
    match checked(&args.file) {
        Ok((value, _)) if args.json => {
            println!(
                "{}",
                serde_json::to_string_pretty(&value).unwrap_or_default()
            );
            Ok(ExitCode::SUCCESS)
        }
        Ok((_, what)) => {
            println!("{}: good; {what}", args.file.display());
            Ok(ExitCode::SUCCESS)
        }
        Err(Failure::Settings(problems)) if args.json => {
            let told = serde_json::json!({ "problems": problems });
            println!(
                "{}",
                serde_json::to_string_pretty(&told).unwrap_or_default()
            );
            Ok(ExitCode::from(2))
        }
        Err(e) => Err(e),
    }
}

/// A good file as it is understood, and what it is in words.
fn checked(file: &Path) -> Result<(Value, String), Failure> {
    let value = hoptiller_statement_router::settings::evaluate_file(file)
        .map_err(|p| Failure::Settings(vec![p]))?;
    let one = |what: String| {
        Failure::Settings(vec![SettingError {
            place: file.display().to_string(),
            reason: what,
        }])
    };
    match kind_of(&value) {
        Kind::Settings => {
            let s = Settings::from_value(&file.display().to_string(), &value)
                .map_err(Failure::Settings)?;
            let r = &s.router;
            let what = format!(
                "settings of router {} of {}, {} classes",
                r.name,
                r.fleet_size,
                s.classes.len()
            );
            Ok((serde_json::to_value(&s).unwrap_or_default(), what))
        }
        Kind::Keeper => {
            let k = hoptiller_coordination_server::Config::read(value.clone())
                .map_err(|e| one(e.to_string()))?;
            Ok((
                value,
                format!(
                    "keeper {} of {} in fleet {}",
                    k.replica,
                    k.replicas.len(),
                    k.fleet
                ),
            ))
        }
        Kind::Document => {
            let d = settings::read(file)?;
            let what = format!(
                "a fleet's document, {} classes, digest {:.12}",
                d.classes.len(),
                d.digest()
            );
            Ok((value, what))
        }
        Kind::FleetDay => fleet::check(file).map(|what| (value, what)),
        Kind::Day => day::check(file).map(|what| (value, what)),
    }
}
