//! Logging to stderr, as text or JSON, at the level that `--log` or `HOPTILLER_LOG` sets.

use std::io::IsTerminal;

use clap::{Args, ValueEnum};
use tracing_subscriber::EnvFilter;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, ValueEnum)]
pub(crate) enum Format {
    /// Text for people
    #[default]
    Text,
    /// One JSON object per line
    Json,
}

/// The command-line arguments of the log.
#[derive(Args)]
pub(crate) struct LogArgs {
    /// The level of the log on stderr: error, warn, info (the end of each statement), debug (each attempt), or a filter
    #[arg(
        long,
        global = true,
        default_value = "warn",
        env = "HOPTILLER_LOG",
        value_name = "LEVEL"
    )]
    log: String,
    /// The format of log lines
    #[arg(long, global = true, default_value = "text", value_name = "FORMAT")]
    log_format: Format,
}

/// Log targets from before packages were renamed, with the packages that have their events now. Filters with the former
/// targets continue to work.
const RENAMED_TARGETS: [(&str, &str); 6] = [
    ("hoptiller_agent", "hoptiller_coordination_client"),
    ("hoptiller_agreement", "hoptiller_coordination"),
    ("hoptiller_keeper", "hoptiller_coordination_server"),
    ("hoptiller_node", "hoptiller_platform_router"),
    ("hoptiller_router", "hoptiller_statement_router"),
    ("hoptiller_standin", "hoptiller_mock_servers"),
];

/// Replaces former targets in a filter by current ones.
fn with_current_targets(filter: &str) -> String {
    let directives = filter.split(',').map(|directive| {
        let directive = directive.trim();
        let length = directive.find(|c: char| !c.is_ascii_alphanumeric() && c != '_');
        let (target, rest) = directive.split_at(length.unwrap_or(directive.len()));
        let renamed = RENAMED_TARGETS.iter().find(|(former, _)| *former == target);
        format!("{}{rest}", renamed.map_or(target, |(_, current)| current))
    });
    directives.collect::<Vec<String>>().join(",")
}

/// Starts logging. If the filter is invalid, the log has warnings only, and the first one reports the filter.
pub(crate) fn start(args: &LogArgs) {
    let filter = EnvFilter::try_new(with_current_targets(&args.log));
    let invalid = filter.as_ref().err().map(ToString::to_string);
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter.unwrap_or_else(|_| EnvFilter::new("warn")))
        .with_ansi(std::io::stderr().is_terminal())
        .with_writer(std::io::stderr);
    match args.log_format {
        Format::Text => builder.init(),
        Format::Json => builder.json().init(),
    }
    if let Some(error) = invalid {
        tracing::warn!(%error, "log filter invalid, warnings are logged");
    }
}

#[cfg(test)]
mod tests;
