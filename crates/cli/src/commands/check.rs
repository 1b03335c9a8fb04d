//! `hoptiller check`: all that is wrong with a file of settings.

use std::path::PathBuf;
use std::process::ExitCode;

use hoptiller_router::Settings;

use crate::run::Failure;

#[derive(clap::Args)]
pub struct Args {
    /// The file, in Jsonnet
    file: PathBuf,
    /// Print the settings as they are understood, or the problems, in JSON
    #[arg(long)]
    json: bool,
}

pub fn run(args: &Args) -> Result<ExitCode, Failure> {
    match Settings::load(&args.file) {
        Ok(settings) if args.json => {
            println!("{}", serde_json::to_string_pretty(&settings).unwrap_or_default());
            Ok(ExitCode::SUCCESS)
        }
        Ok(s) => {
            println!(
                "{}: good; router {} of {}, {} classes",
                args.file.display(),
                s.router.name,
                s.router.of,
                s.classes.len()
            );
            Ok(ExitCode::SUCCESS)
        }
        Err(problems) if args.json => {
            println!(
                "{}",
                serde_json::to_string_pretty(&serde_json::json!({ "problems": problems }))
                    .unwrap_or_default()
            );
            Ok(ExitCode::from(2))
        }
        Err(problems) => Err(Failure::Settings(problems)),
    }
}
