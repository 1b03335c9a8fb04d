//! Benchmarks of the runaway detector: its cost, and the time in which it finds runaways over sockets.

mod detector;
mod end_to_end;

use hoptiller_statement_router::Settings;

use crate::error::BenchmarkError;
use crate::test_site::SiteArgs;

/// Arguments of `runaways`.
#[derive(clap::Args)]
pub(crate) struct Args {
    #[command(flatten)]
    site: SiteArgs,
    /// Number of runaways that are run over sockets, one after the other
    #[arg(long, default_value_t = 6)]
    planted: u32,
}

pub(crate) fn run(args: &Args) -> Result<(), BenchmarkError> {
    detector::measure_fingerprints();
    let settings = Settings::load(args.site.settings_file()).map_err(|problems| {
        let problems: Vec<String> = problems.iter().map(ToString::to_string).collect();
        let file = args.site.settings_file().display();
        BenchmarkError::Settings(format!("{file}: invalid settings: {}", problems.join("; ")))
    })?;
    for attempts in detector::ATTEMPT_COUNTS {
        detector::measure_detection(&settings, attempts);
    }
    end_to_end::run(&args.site, args.planted)
}
