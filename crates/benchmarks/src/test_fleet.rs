//! A fleet for benchmarks whose routers run in this process: its replicas are processes, with a first version in force.

use std::path::{Path, PathBuf};
use std::time::Duration;

use hoptiller_coordination::{Document, ValidationError};
use hoptiller_fault_harness::{TestFleet, Topology};
use serde_json::{Value, json};

use crate::error::BenchmarkError;

/// Number of replicas of the coordination server.
pub(crate) const REPLICAS: usize = 3;

/// Bound of the drift that leases allow for, the maximum difference between the rates of two clocks, in millionths.
pub(crate) const DRIFT_MILLIONTHS: u64 = 1000;

/// The command-line arguments that select the measured fleets.
#[derive(clap::Args)]
pub(crate) struct FleetArgs {
    /// The program that runs the replicas
    #[arg(long, default_value = "target/release/hoptiller", value_name = "FILE")]
    pub(crate) program: PathBuf,
    /// Numbers of routers
    #[arg(long, value_delimiter = ',', default_value = "3,30,300")]
    pub(crate) sizes: Vec<usize>,
}

/// Returns a path for a benchmark's files, at which nothing exists.
pub(crate) fn temporary_dir(name: &str) -> PathBuf {
    let name = format!("hoptiller-benchmarks-{name}-{}", std::process::id());
    let dir = std::env::temp_dir().join(name);
    let _ = std::fs::remove_dir_all(&dir);
    dir
}

/// Returns a document with one class, after changes by the caller.
pub(crate) fn document(change: impl FnOnce(&mut Value)) -> Result<Document, ValidationError> {
    let mut value = json!({
        "form": 1, "kinds": { "a": 8 }, "engines": {},
        "classes": { "lookup": { "aim": "1s", "patience": "7s", "repeat": "safe" } },
        "rules": { "start_capacity": 0.3, "ramp": "14s", "overload": 3, "fall": "2s" },
    });
    change(&mut value);
    Document::from_json(value.to_string().as_bytes())
}

/// Starts replicas, and proposes the first version until they accept it. The fleet has links for the given number of
/// routers, and no engines.
pub(crate) fn start_fleet(
    program: &Path,
    dir: &Path,
    routers: usize,
    lease_term: Duration,
    first: &Document,
    timeout: Duration,
) -> Result<TestFleet, BenchmarkError> {
    let topology = Topology {
        lease_term,
        drift_millionths: DRIFT_MILLIONTHS,
        ..Topology::new(REPLICAS, routers)
    };
    let mut fleet = TestFleet::new(topology, program, dir)?;
    fleet.start_with_first_version(first, timeout)?;
    Ok(fleet)
}
