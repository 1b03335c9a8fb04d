//! The resource usage of replicas with many routers while nothing changes, and the time until all routers enforce a new
//! version.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use hoptiller_coordination_client::{Clock, Secret, wire};
use hoptiller_fault_harness::{LinkId, TestFleet};
use hoptiller_mock_servers::ServerThread;
use hoptiller_statement_router::fleet_member::FleetMember;
use hoptiller_statement_router::settings::CoordinationSettings;

use super::polling_router::renew_forever;
use super::{Args, LEASE_TERM, document};
use crate::error::BenchmarkError;
use crate::process::cpu_seconds;
use crate::statistics::median;
use crate::test_fleet::{DRIFT_MILLIONTHS, REPLICAS, start_fleet, temporary_dir};

/// Timeout of each wait; far above the usual duration.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Interval at which polling routers renew their leases.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Time after the start that the measurement excludes.
const WARM_UP: Duration = Duration::from_secs(2);

/// The way in which routers learn of a version.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum RouterMode {
    /// Routers renew their leases frequently.
    Polling,
    /// Routers have a call open that returns when there is a new version.
    Watching,
}

impl RouterMode {
    fn renewal_interval(self) -> Duration {
        match self {
            RouterMode::Polling => POLL_INTERVAL,
            RouterMode::Watching => LEASE_TERM / 5,
        }
    }
}

impl fmt::Display for RouterMode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            RouterMode::Polling => "asking",
            RouterMode::Watching => "watching",
        })
    }
}

/// Resources that the replicas have used since they started.
struct Usage {
    /// Processor time of all replicas, in seconds.
    cpu_seconds: f64,
    /// Bytes on the links between routers and replicas.
    link_bytes: u64,
    /// Number of entries of the log.
    log_entries: u64,
    sampled_at: Instant,
}

impl Usage {
    fn sample(fleet: &mut TestFleet) -> Result<Usage, BenchmarkError> {
        let mut cpu_time = 0.0;
        for replica in 0..REPLICAS {
            if let Some(process) = fleet.replica(replica) {
                cpu_time += cpu_seconds(process.id())?;
            }
        }
        let links = (0..REPLICAS).filter_map(|replica| fleet.link(LinkId::Router(0, replica)));
        let statuses = fleet.statuses();
        Ok(Usage {
            cpu_seconds: cpu_time,
            link_bytes: links.map(|link| link.forwarded_bytes()).sum(),
            log_entries: statuses
                .iter()
                .map(|status| status.log.decided)
                .max()
                .unwrap_or(0),
            sampled_at: Instant::now(),
        })
    }
}

/// Resources that the replicas use per second.
struct UsageRates {
    /// Percentage of a core that one replica uses.
    core_percent: f64,
    link_kilobytes: f64,
    log_entries: f64,
}

impl UsageRates {
    fn between(earlier: &Usage, later: &Usage) -> UsageRates {
        let seconds = (later.sampled_at - earlier.sampled_at).as_secs_f64();
        let cpu_seconds = later.cpu_seconds - earlier.cpu_seconds;
        UsageRates {
            core_percent: cpu_seconds / seconds / REPLICAS as f64 * 100.0,
            link_kilobytes: (later.link_bytes - earlier.link_bytes) as f64 / seconds / 1000.0,
            log_entries: (later.log_entries - earlier.log_entries) as f64 / seconds,
        }
    }
}

pub(super) fn run(args: &Args, size: usize, mode: RouterMode) -> Result<(), BenchmarkError> {
    let dir = temporary_dir("replicas");
    let first = document(1.0, 3)?;
    let mut fleet = start_fleet(&args.fleet.program, &dir, 1, LEASE_TERM, &first, TIMEOUT)?;
    let replicas = (0..REPLICAS)
        .filter_map(|replica| fleet.link(LinkId::Router(0, replica)))
        .map(|link| link.addr())
        .collect();
    let routers = start_routers(size, mode, replicas, &dir)?;
    if !fleet.wait_until_enforced(size, 1, TIMEOUT) {
        return Err(BenchmarkError::FirstVersionNotEnforced {
            routers: size,
            timeout: TIMEOUT,
        });
    }
    thread::sleep(WARM_UP);
    let earlier = Usage::sample(&mut fleet)?;
    thread::sleep(Duration::from_secs(args.seconds));
    let rates = UsageRates::between(&earlier, &Usage::sample(&mut fleet)?);
    let times = (0..args.changes)
        .map(|change| roll_out(&mut fleet, size, change))
        .collect::<Result<Vec<Duration>, BenchmarkError>>()?;
    println!(
        "{size:>8} {mode:>10} {:>14.1} % {:>12.1} {:>12.1} {:>14} {:>14}",
        rates.core_percent,
        rates.link_kilobytes,
        rates.log_entries,
        milliseconds(median(times.iter().copied(), Duration::cmp)),
        milliseconds(times.iter().max().copied())
    );
    drop(routers);
    drop(fleet);
    std::fs::remove_dir_all(&dir)?;
    Ok(())
}

/// Starts the leases of routers on a thread of this process.
fn start_routers(
    size: usize,
    mode: RouterMode,
    replicas: Vec<SocketAddr>,
    dir: &Path,
) -> io::Result<ServerThread> {
    let settings = CoordinationSettings {
        replicas,
        secret_file: dir.join("secret"),
        lease_term: LEASE_TERM,
        drift: DRIFT_MILLIONTHS,
        renewal_interval: mode.renewal_interval(),
    };
    let secret = Secret::load(&settings.secret_file)?;
    ServerThread::spawn("routers", move |spawner| {
        for index in 0..size {
            let (settings, secret) = (settings.clone(), secret.clone());
            let name = format!("r{index}");
            match mode {
                RouterMode::Watching => {
                    let member = FleetMember::new(settings, secret, &name, "1", None, Clock::new());
                    spawner.spawn(member.run(|| ()));
                }
                RouterMode::Polling => {
                    spawner.spawn(renew_forever(settings, secret, name, index));
                }
            }
        }
        // There is no server on this thread, so the address is not used.
        Ok(([127, 0, 0, 1], 0).into())
    })
}

/// Proposes a version, and returns the time until it is in force.
fn roll_out(fleet: &mut TestFleet, size: usize, change: u32) -> Result<Duration, BenchmarkError> {
    let next = document(1.0, 1 + change % 2)?;
    let start = Instant::now();
    let number = match fleet.propose(&format!("change {change}"), &next) {
        Ok(wire::ProposalResponse::Accepted(number)) => number,
        other => return Err(BenchmarkError::ProposalNotAccepted(format!("{other:?}"))),
    };
    if !fleet.wait_until_enforced(size, number, TIMEOUT)
        || !fleet.wait_until_in_force(number, TIMEOUT)
    {
        return Err(BenchmarkError::VersionNotInForce {
            number,
            timeout: TIMEOUT,
        });
    }
    Ok(start.elapsed())
}

fn milliseconds(time: Option<Duration>) -> String {
    time.map_or("-".into(), |time| time.as_millis().to_string())
}
