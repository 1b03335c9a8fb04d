//! `hoptiller check`: validates a file, which contains a router's settings, a replica's configuration, a fleet's document or
//! a scenario.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use hoptiller_statement_router::settings::evaluate_file;
use hoptiller_statement_router::{SettingError, Settings};
use serde_json::{Value, json};

use super::print_json;
use crate::commands::{day, fleet, settings};
use crate::error::CommandError;

/// Exit code for an invalid file whose problems are printed as JSON.
const EXIT_INVALID: u8 = 2;

/// Arguments of `hoptiller check`.
#[derive(clap::Args)]
pub(crate) struct Args {
    /// The file, in Jsonnet: settings, a replica's configuration, a fleet's document or a scenario
    file: PathBuf,
    /// Print the settings with all defaults, or the problems, as JSON
    #[arg(long)]
    json: bool,
}

/// The kind of a file's content.
enum FileKind {
    RouterSettings,
    ReplicaConfig,
    FleetDocument,
    FleetScenario,
    RouterScenario,
}

impl FileKind {
    /// Determines the kind of a file by keys that no other kind has.
    fn of_value(value: &Value) -> FileKind {
        let keys = [
            ("form", FileKind::FleetDocument),
            ("keeper", FileKind::ReplicaConfig),
            ("day", FileKind::FleetScenario),
            ("lasts", FileKind::RouterScenario),
        ];
        keys.into_iter()
            .find(|(key, _)| value.get(key).is_some())
            .map_or(FileKind::RouterSettings, |(_, kind)| kind)
    }
}

/// A valid file.
struct ValidFile {
    /// The content of the file; settings include all defaults.
    value: Value,
    /// A description of the file for people.
    description: String,
}

pub(crate) fn run(args: &Args) -> Result<ExitCode, CommandError> {
    match validate(&args.file) {
        Ok(file) if args.json => {
            print_json(&file.value);
            Ok(ExitCode::SUCCESS)
        }
        Ok(file) => {
            println!("{}: valid; {}", args.file.display(), file.description);
            Ok(ExitCode::SUCCESS)
        }
        Err(CommandError::Settings(problems)) if args.json => {
            print_json(&json!({ "problems": problems }));
            Ok(ExitCode::from(EXIT_INVALID))
        }
        Err(error) => Err(error),
    }
}

fn validate(file: &Path) -> Result<ValidFile, CommandError> {
    let value = evaluate_file(file)?;
    let description = match FileKind::of_value(&value) {
        FileKind::RouterSettings => return validate_settings(file, &value),
        FileKind::ReplicaConfig => describe_replica(file, value.clone())?,
        FileKind::FleetDocument => describe_document(file)?,
        FileKind::FleetScenario => fleet::check(file)?,
        FileKind::RouterScenario => day::check(file)?,
    };
    Ok(ValidFile { value, description })
}

fn validate_settings(file: &Path, value: &Value) -> Result<ValidFile, CommandError> {
    let settings = Settings::from_value(&file.display().to_string(), value)?;
    let router = &settings.router;
    let description = format!(
        "settings of router {} of {}, {} classes",
        router.name,
        router.fleet_size,
        settings.classes.len()
    );
    Ok(ValidFile {
        value: serde_json::to_value(&settings).unwrap_or_default(),
        description,
    })
}

fn describe_replica(file: &Path, value: Value) -> Result<String, CommandError> {
    let config =
        hoptiller_coordination_server::Config::read(value).map_err(|error| SettingError {
            place: file.display().to_string(),
            reason: error.to_string(),
        })?;
    Ok(format!(
        "keeper {} of {} in fleet {}",
        config.replica,
        config.replicas.len(),
        config.fleet
    ))
}

fn describe_document(file: &Path) -> Result<String, CommandError> {
    let document = settings::read_document(file)?;
    Ok(format!(
        "a fleet's document, {} classes, digest {:.12}",
        document.classes.len(),
        document.digest()
    ))
}
