//! Keepers with many routers: what they take of cores and links while nothing changes, how long a change takes until all
//! heed it; and how long a keeper takes to start on a disk with many versions.

use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use async_io::Timer;
use hoptiller_coordination::{Command, ConfigWatcher, Document, Holder, LeaseTiming, Proposal};
use hoptiller_coordination_client::{Clock, CoordinationClient, Secret, wire};
use hoptiller_coordination_server::membership::Membership;
use hoptiller_coordination_server::replica::Replica;
use hoptiller_coordination_server::replicated_log::ReplicatedLog;
use hoptiller_coordination_server::storage::DiskStorage;
use hoptiller_fault_harness::{LinkId, TestFleet, Topology};
use hoptiller_mock_servers::ServerThread;
use hoptiller_statement_router::fleet_member::FleetMember;
use hoptiller_statement_router::settings::CoordinationSettings;
use serde_json::json;

const PERMIT: Duration = Duration::from_secs(10);
const DRIFT: u64 = 1000;

#[derive(clap::Args)]
pub struct Args {
    /// The program whose keepers are measured
    #[arg(long, default_value = "target/release/hoptiller", value_name = "FILE")]
    program: PathBuf,
    /// Routers
    #[arg(long, value_delimiter = ',', default_value = "3,30,300")]
    sizes: Vec<usize>,
    /// Seconds of calm for each size
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Changes put for each size
    #[arg(long, default_value_t = 20)]
    changes: u32,
    /// Versions on the disks on which a keeper starts
    #[arg(long, value_delimiter = ',', default_value = "10,1000,100000")]
    versions: Vec<u64>,
}

pub fn run(args: &Args) -> io::Result<()> {
    println!(
        "{:>8} {:>10} {:>16} {:>12} {:>12} {:>14} {:>14}",
        "routers", "manner", "a keeper's core", "KB/s", "steps/s", "heeded p50, ms", "at most, ms"
    );
    for size in &args.sizes {
        for watch in [false, true] {
            routers(args, *size, watch)?;
        }
    }
    println!("\n{:>9} {:>10} {:>12}", "versions", "disk, KB", "start, ms");
    for versions in &args.versions {
        restart(*versions)?;
    }
    Ok(())
}

fn document(worth: f64, attempts: u32) -> io::Result<Document> {
    let text = json!({ "form": 1, "kinds": { "a": 8 }, "engines": { "max_attempts": attempts },
        "classes": { "lookup": { "aim": "1s", "patience": "7s", "repeat": "safe", "worth": worth } },
        "rules": { "start_capacity": 0.3, "ramp": "14s", "overload": 3, "fall": "2s" } });
    Document::from_json(text.to_string().as_bytes()).map_err(|f| io::Error::other(f.to_string()))
}

fn folder(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("hoptiller-measure-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    dir
}

/// Seconds of a core that a process has used.
fn core_seconds(pid: u32) -> io::Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let rest: Vec<&str> = stat
        .rsplit(") ")
        .next()
        .unwrap_or_default()
        .split(' ')
        .collect();
    // Behind the name come the state and ten more fields; then the ticks of user and system, 100 a second.
    let ticks = |n: usize| {
        rest.get(n)
            .and_then(|t| t.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    Ok((ticks(11) + ticks(12)) / 100.0)
}

fn routers(args: &Args, size: usize, watch: bool) -> io::Result<()> {
    let dir = folder("keepers");
    let topology = Topology {
        lease_term: PERMIT,
        drift_millionths: DRIFT,
        ..Topology::new(3, 1)
    };
    let mut fleet = TestFleet::new(topology, &args.program, &dir).map_err(io::Error::other)?;
    let long = Duration::from_secs(60);
    let first = document(1.0, 3)?;
    fleet
        .start_with_first_version(&first, long)
        .map_err(io::Error::other)?;
    let links: Vec<_> = (0..3)
        .filter_map(|k| fleet.link(LinkId::Router(0, k)))
        .collect();
    let settings = CoordinationSettings {
        replicas: links.iter().map(|l| l.addr()).collect(),
        secret_file: dir.join("secret"),
        lease_term: PERMIT,
        drift: DRIFT,
        renewal_interval: if watch {
            PERMIT / 5
        } else {
            Duration::from_millis(250)
        },
    };
    let secret = Secret::load(&settings.secret_file)?;
    let watchers = ServerThread::spawn("routers", move |ex| {
        for n in 0..size {
            let (settings, secret) = (settings.clone(), secret.clone());
            let name = format!("r{n}");
            if watch {
                let member = FleetMember::new(settings, secret, &name, "1", None, Clock::new());
                ex.spawn(member.run(|| ()));
            } else {
                ex.spawn(ask_for_ever(settings, secret, name, n));
            }
        }
        Ok(([127, 0, 0, 1], 0).into())
    })?;
    if !fleet.wait_until_enforced(size, 1, long) {
        return Err(io::Error::other("not all routers heeded the first version"));
    }
    let pids: Vec<u32> = (0..3)
        .filter_map(|k| fleet.replica(k).map(|p| p.id()))
        .collect();
    let used = || {
        pids.iter()
            .map(|p| core_seconds(*p))
            .sum::<io::Result<f64>>()
    };
    let carried = |s: &TestFleet| -> u64 {
        (0..3)
            .filter_map(|k| s.link(LinkId::Router(0, k)))
            .map(|l| l.forwarded_bytes())
            .sum()
    };
    let steps = |s: &TestFleet| {
        s.statuses()
            .iter()
            .map(|s| s.log.decided)
            .max()
            .unwrap_or(0)
    };
    std::thread::sleep(Duration::from_secs(2));
    let (cores, bytes, decided, began) = (used()?, carried(&fleet), steps(&fleet), Instant::now());
    std::thread::sleep(Duration::from_secs(args.seconds));
    let passed = began.elapsed().as_secs_f64();
    let core = (used()? - cores) / passed / 3.0 * 100.0;
    let rate = (carried(&fleet) - bytes) as f64 / passed / 1000.0;
    let decided = (steps(&fleet) - decided) as f64 / passed;
    let mut times = Vec::new();
    for n in 0..args.changes {
        let next = document(1.0, 1 + n % 2)?;
        let began = Instant::now();
        let Ok(wire::ProposalResponse::Accepted(number)) =
            fleet.propose(&format!("change {n}"), &next)
        else {
            return Err(io::Error::other("a change was not taken"));
        };
        if !fleet.wait_until_enforced(size, number, long)
            || !fleet.wait_until_in_force(number, long)
        {
            return Err(io::Error::other("a change did not come in force"));
        }
        times.push(began.elapsed().as_millis());
    }
    times.sort_unstable();
    let (middle, most) = (times.get(times.len() / 2), times.last());
    println!(
        "{size:>8} {:>10} {core:>14.1} % {rate:>12.1} {decided:>12.1} {:>14} {:>14}",
        if watch { "watching" } else { "asking" },
        middle.map_or("-".into(), u128::to_string),
        most.map_or("-".into(), u128::to_string)
    );
    drop(watchers);
    drop(fleet);
    std::fs::remove_dir_all(&dir)
}

/// A router that hears of nothing between its questions, and so asks often.
async fn ask_for_ever(settings: CoordinationSettings, secret: Secret, name: String, n: usize) {
    let clock = Clock::new();
    let bounds = settings.lease_timing();
    let mut follower = ConfigWatcher::new(
        Holder {
            router: name,
            incarnation: "1".into(),
        },
        bounds,
        Vec::new(),
    );
    let keepers = CoordinationClient::new(settings.replicas.clone(), secret);
    keepers.set_preferred(n);
    loop {
        let (id, act) = follower.start_renewal(clock.now());
        let Command::RenewLease {
            holder,
            enforced: heeds,
            in_force,
            offer,
        } = act
        else {
            return;
        };
        let body = wire::LeaseRenewalRequest {
            holder,
            enforced_version: heeds,
            in_force,
            term: bounds.term,
            drift: bounds.drift,
            offer,
        };
        match keepers
            .call(wire::RENEW_LEASE, Some(&body), Duration::from_millis(700))
            .await
        {
            Ok(wire::LeaseRenewalResponse::Granted(granted)) => {
                drop(follower.accept_grant(id, granted))
            }
            _ => follower.abandon_renewal(id),
        }
        Timer::after(settings.renewal_interval).await;
    }
}

/// Keepers in one thread, on disks; then one of them starts.
fn restart(versions: u64) -> io::Result<()> {
    let dir = folder("disks");
    let bounds = LeaseTiming {
        term: PERMIT.as_micros() as u64,
        drift: DRIFT,
    };
    let membership = Membership::initial(
        (1..=3)
            .map(|n| (n, ([127, 0, 0, 1], n as u16).into()))
            .collect(),
    );
    let open = |keeper: u64, now: u64| -> io::Result<Replica> {
        let dir = dir.join(keeper.to_string());
        let storage =
            DiskStorage::open(&dir, "f", keeper, "d", 1 << 30).map_err(io::Error::other)?;
        let incarnation = storage.incarnation();
        let log =
            ReplicatedLog::open(keeper, membership.clone(), storage).map_err(io::Error::other)?;
        Ok(Replica::new(keeper, incarnation, bounds, log, now))
    };
    let mut replicas = (1..=3)
        .map(|n| open(n, 0))
        .collect::<io::Result<Vec<Replica>>>()?;
    let (mut put, mut now) = (0, 0);
    while replicas
        .iter()
        .any(|replica| replica.config_state().latest() < versions)
    {
        now += 10_000;
        // As many as one entry holds, one entry on its way.
        if put < versions && replicas[0].config_state().latest() == put {
            for _ in 0..(versions - put).min(512) {
                put += 1;
                let document = document((put % 1000) as f64, 3)?;
                let (change, why) = (put.to_string(), "measured".to_owned());
                let wanted = Proposal {
                    change_name: change,
                    base: None,
                    author: "measure".into(),
                    proposed_at_ms: put,
                    reason: why,
                    document,
                };
                replicas[0].submit(Command::Propose(Box::new(wanted)));
            }
        }
        let mut messages = Vec::new();
        for replica in &mut replicas {
            replica.tick(now);
            replica.take_completed();
            messages.extend(replica.take_messages());
        }
        while let Some(message) = messages.pop() {
            if let Some(replica) = replicas.get_mut(message.receiver() as usize - 1) {
                replica.handle_messages(now, vec![message]);
                messages.splice(0..0, replica.take_messages());
            }
        }
        if now > 3_600_000_000 {
            return Err(io::Error::other("the versions were never decided"));
        }
    }
    replicas.clear();
    let file = dir.join("1").join("keeper.redb");
    let began = Instant::now();
    let replica = open(1, now)?;
    let took = began.elapsed();
    if replica.config_state().latest() != versions {
        return Err(io::Error::other("versions are lost"));
    }
    println!(
        "{versions:>9} {:>10} {:>12.1}",
        size_of(&file)? / 1024,
        took.as_secs_f64() * 1000.0
    );
    drop(replica);
    std::fs::remove_dir_all(&dir)
}

fn size_of(file: &Path) -> io::Result<u64> {
    Ok(std::fs::metadata(file)?.len())
}
