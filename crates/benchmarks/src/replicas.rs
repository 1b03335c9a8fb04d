//! Benchmarks of the replicas of the coordination server: resource usage with many routers while nothing changes, duration
//! of a rollout, and time to start a replica on a disk with many versions.

mod polling_router;
mod restart;
mod rollout;

use std::time::Duration;

use hoptiller_coordination::{Document, ValidationError};
use serde_json::json;

use crate::error::BenchmarkError;
use crate::test_fleet::{self, FleetArgs};
use rollout::RouterMode;

/// Term of config leases.
const LEASE_TERM: Duration = Duration::from_secs(10);

/// Arguments of `keepers`.
#[derive(clap::Args)]
pub(crate) struct Args {
    #[command(flatten)]
    fleet: FleetArgs,
    /// Duration of the measurement without changes for each size, in seconds
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Number of versions proposed for each size
    #[arg(long, default_value_t = 20)]
    changes: u32,
    /// Numbers of versions on the disk from which a replica starts
    #[arg(long, value_delimiter = ',', default_value = "10,1000,100000")]
    versions: Vec<u64>,
}

pub(crate) fn run(args: &Args) -> Result<(), BenchmarkError> {
    println!(
        "{:>8} {:>10} {:>16} {:>12} {:>12} {:>14} {:>14}",
        "routers", "manner", "a keeper's core", "KB/s", "steps/s", "heeded p50, ms", "at most, ms"
    );
    for size in &args.fleet.sizes {
        for mode in [RouterMode::Polling, RouterMode::Watching] {
            rollout::run(args, *size, mode)?;
        }
    }
    println!("\n{:>9} {:>10} {:>12}", "versions", "disk, KB", "start, ms");
    for versions in &args.versions {
        restart::run(*versions)?;
    }
    Ok(())
}

/// Returns a document with the given weight of its class and maximum number of attempts.
fn document(weight: f64, max_attempts: u32) -> Result<Document, ValidationError> {
    test_fleet::document(|value| {
        value["engines"]["max_attempts"] = json!(max_attempts);
        value["classes"]["lookup"]["worth"] = json!(weight);
    })
}
