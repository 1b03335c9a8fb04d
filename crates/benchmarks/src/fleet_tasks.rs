//! The load that fleets of several sizes put on discovery and engines, with each router polling for itself and with the
//! holders of task leases polling for all. The routers are reduced to the discovery client and leases of a router, and run
//! in this process; the replicas are processes of their own.

mod routers;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use hoptiller_coordination::{Document, ValidationError};
use hoptiller_http::{Method, Request};
use hoptiller_mock_servers::ServerThread;
use hoptiller_mock_servers::discovery::DiscoveryConfig;
use hoptiller_mock_servers::engine::EngineConfig;
use serde_json::json;

use crate::error::BenchmarkError;
use crate::requests::exchange_once;
use crate::statistics::median;
use crate::test_fleet::{self, FleetArgs, start_fleet, temporary_dir};
use routers::{Observations, RouterConfig, start_routers};

/// Term of config leases.
const LEASE_TERM: Duration = Duration::from_secs(4);

/// Timeout of each wait; far above the usual duration.
const TIMEOUT: Duration = Duration::from_secs(90);

/// Arguments of `tasks`.
#[derive(clap::Args)]
pub(crate) struct Args {
    #[command(flatten)]
    fleet: FleetArgs,
    /// Number of engines
    #[arg(long, default_value_t = 8)]
    engines: usize,
    /// Duration of the count of requests, in seconds
    #[arg(long, default_value_t = 8)]
    seconds: u64,
}

/// Discovery and engines that count the requests that they receive.
struct CountedServers {
    engines: Vec<ServerThread>,
    discovery: ServerThread,
    list_reads: Arc<AtomicU64>,
    engine_polls: Arc<AtomicU64>,
}

impl CountedServers {
    fn start(engines: usize) -> Result<CountedServers, BenchmarkError> {
        let config = DiscoveryConfig::default();
        let list_reads = config.list_requests.clone();
        let discovery = config.start()?;
        let engine_polls: Arc<AtomicU64> = Arc::default();
        let mut running = Vec::new();
        for n in 0..engines {
            let mut engine = EngineConfig::new(&format!("engine-{n}"), "a", "x");
            engine.discovery = Some(discovery.addr);
            engine.info_requests = engine_polls.clone();
            running.push(engine.start()?);
        }
        Ok(CountedServers {
            engines: running,
            discovery,
            list_reads,
            engine_polls,
        })
    }

    /// Measures the rates of requests to discovery and to the engines, per second.
    fn request_rates(&self, duration: Duration) -> (f64, f64) {
        let counts = || {
            (
                self.list_reads.load(Ordering::Relaxed),
                self.engine_polls.load(Ordering::Relaxed),
            )
        };
        let (earlier, start) = (counts(), Instant::now());
        thread::sleep(duration);
        let seconds = start.elapsed().as_secs_f64();
        let later = counts();
        (
            (later.0 - earlier.0) as f64 / seconds,
            (later.1 - earlier.1) as f64 / seconds,
        )
    }
}

pub(crate) fn run(args: &Args) -> Result<(), BenchmarkError> {
    println!(
        "{:>8} {:>8} {:>14} {:>16} {:>18} {:>18}",
        "routers", "tasks", "list reads/s", "questions/s", "drain known p50, ms", "by all, ms"
    );
    for size in &args.fleet.sizes {
        for with_tasks in [false, true] {
            run_size(args, *size, with_tasks)?;
        }
    }
    Ok(())
}

fn run_size(args: &Args, size: usize, with_tasks: bool) -> Result<(), BenchmarkError> {
    let dir = temporary_dir("tasks");
    let first = document(with_tasks)?;
    let mut fleet = start_fleet(&args.fleet.program, &dir, 0, LEASE_TERM, &first, TIMEOUT)?;
    let servers = CountedServers::start(args.engines)?;
    let observations = Arc::new(Observations::default());
    let config = RouterConfig {
        replicas: fleet.client().endpoints().to_vec(),
        secret_file: dir.join("secret"),
        discovery: servers.discovery.addr,
        engines: args.engines,
    };
    let routers = start_routers(size, config, observations.clone())?;
    if !fleet.wait_until(TIMEOUT, |_| observations.complete_lists() == size) {
        return Err(BenchmarkError::EnginesNotKnown {
            informed: observations.complete_lists(),
            routers: size,
            timeout: TIMEOUT,
        });
    }
    // Replicas grant task leases to a router after a term of its renewals, and balance them afterwards.
    thread::sleep(LEASE_TERM * 3);
    let (list_reads, engine_polls) = servers.request_rates(Duration::from_secs(args.seconds));
    let start = Instant::now();
    drain(servers.engines[0].addr)?;
    if !fleet.wait_until(TIMEOUT, |_| observations.drains().len() == size) {
        return Err(BenchmarkError::DrainNotKnown {
            informed: observations.drains().len(),
            routers: size,
            timeout: TIMEOUT,
        });
    }
    let times: Vec<u128> = observations
        .drains()
        .iter()
        .map(|time| (*time - start).as_millis())
        .collect();
    println!(
        "{size:>8} {:>8} {list_reads:>14.1} {engine_polls:>16.1} {:>18} {:>18}",
        if with_tasks { "with" } else { "without" },
        median(times.iter().copied(), u128::cmp).unwrap_or(0),
        times.iter().max().copied().unwrap_or(0)
    );
    drop((routers, servers, fleet));
    std::fs::remove_dir_all(&dir)?;
    Ok(())
}

fn document(with_tasks: bool) -> Result<Document, ValidationError> {
    test_fleet::document(|value| {
        if with_tasks {
            value["tasks"] = json!({ "list": 1, "probe": 8 });
        }
    })
}

/// Starts the drain of an engine.
fn drain(engine: SocketAddr) -> Result<(), BenchmarkError> {
    let mut request = Request::new(Method::Put, "/v1/info/state");
    request.body = b"\"SHUTTING_DOWN\"".to_vec();
    exchange_once(engine, &request)?;
    Ok(())
}
