//! Owns the log: on stderr, readable or JSON, at a level that `--log` or `HOPTILLER_LOG` sets.

use std::io::IsTerminal;

use clap::{Args, ValueEnum};
use tracing_subscriber::EnvFilter;

/// How lines look.
#[derive(Clone, Copy, Debug, Default, ValueEnum)]
pub enum Format {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

#[derive(Args)]
pub struct LogArgs {
    /// What is logged on stderr: error, warn, info (each statement's end), debug (each attempt), or a filter
    #[arg(
        long,
        global = true,
        default_value = "warn",
        env = "HOPTILLER_LOG",
        value_name = "LEVEL"
    )]
    log: String,
    /// How log lines look
    #[arg(long, global = true, default_value = "text", value_name = "FORMAT")]
    log_format: Format,
}

/// Starts logging; a filter that can't be read falls back to warnings, and says so.
pub fn start(args: &LogArgs) {
    let filter = EnvFilter::try_new(&args.log);
    let bad = filter.as_ref().err().map(ToString::to_string);
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter.unwrap_or_else(|_| EnvFilter::new("warn")))
        .with_ansi(std::io::stderr().is_terminal())
        .with_writer(std::io::stderr);
    match args.log_format {
        Format::Text => builder.init(),
        Format::Json => builder.json().init(),
    }
    if let Some(why) = bad {
        tracing::warn!(%why, "--log can't be read; warnings are logged");
    }
}
