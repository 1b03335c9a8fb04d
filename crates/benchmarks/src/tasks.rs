//! What discovery and engines are asked by fleets of several sizes: each router for itself, and one for all. Routers are the
//! looks of real ones, with their part in the agreement, many in one process; keepers are processes.

use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hoptiller_coordination::Document;
use hoptiller_coordination_client::{Clock, Secret};
use hoptiller_fault_harness::{TestFleet, Topology};
use hoptiller_mock_servers::ServerThread;
use hoptiller_mock_servers::discovery::DiscoveryConfig;
use hoptiller_mock_servers::engine::EngineConfig;
use hoptiller_policy::{EndpointEntry, EngineId, ListScope, Micros};
use hoptiller_statement_router::Settings;
use hoptiller_statement_router::discovery::{Discovery, EndpointListener};
use hoptiller_statement_router::fleet_member::FleetMember;
use serde_json::json;

const PERMIT: Duration = Duration::from_secs(4);
const LONG: Duration = Duration::from_secs(90);

#[derive(clap::Args)]
pub struct Args {
    /// The program whose keepers take part
    #[arg(long, default_value = "target/release/hoptiller", value_name = "FILE")]
    program: PathBuf,
    /// Routers
    #[arg(long, value_delimiter = ',', default_value = "3,30,300")]
    sizes: Vec<usize>,
    /// Engines
    #[arg(long, default_value_t = 8)]
    engines: usize,
    /// Seconds that are counted
    #[arg(long, default_value_t = 8)]
    seconds: u64,
}

pub fn run(args: &Args) -> io::Result<()> {
    println!(
        "{:>8} {:>8} {:>14} {:>16} {:>18} {:>18}",
        "routers", "tasks", "list reads/s", "questions/s", "drain known p50, ms", "by all, ms"
    );
    for size in &args.sizes {
        for tasks in [false, true] {
            one(args, *size, tasks)?;
        }
    }
    Ok(())
}

fn document(tasks: bool) -> io::Result<Document> {
    let mut text = json!({ "form": 1, "kinds": { "a": 8 }, "engines": {},
        "classes": { "lookup": { "aim": "1s", "patience": "7s", "repeat": "safe" } },
        "rules": { "start_capacity": 0.3, "ramp": "14s", "overload": 3, "fall": "2s" } });
    if tasks {
        text["tasks"] = json!({ "list": 1, "probe": 8 });
    }
    Document::from_json(text.to_string().as_bytes()).map_err(|f| io::Error::other(f.to_string()))
}

/// Notes when each router knows that one engine drains, and how many it lists.
struct Looker {
    began: Instant,
    known: Arc<Mutex<(usize, Vec<Instant>)>>,
    seen: std::cell::Cell<(bool, bool)>,
    engines: usize,
}

impl EndpointListener for Looker {
    fn now(&self) -> Micros {
        // Long after its start, so that ages reach back before it.
        self.began.elapsed().as_micros() as Micros + 3_600_000_000
    }

    fn endpoints_changed(&self, scope: ListScope, entries: Vec<EndpointEntry>) {
        if scope == ListScope::Failed {
            return;
        }
        let (all, drains) = self.seen.get();
        let now_all = all || entries.len() == self.engines;
        let now_drains = entries
            .iter()
            .any(|e| e.readiness == hoptiller_policy::Readiness::Draining);
        if let Ok(mut known) = self.known.lock() {
            known.0 += usize::from(now_all && !all);
            if now_drains && !drains {
                known.1.push(Instant::now());
            }
        }
        self.seen.set((now_all, drains || now_drains));
    }

    fn address_changed(&self, _: EngineId, _: &str, _: std::net::SocketAddr) {}
}

fn one(args: &Args, size: usize, tasks: bool) -> io::Result<()> {
    let dir = std::env::temp_dir().join(format!("hoptiller-measure-tasks-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    let topology = Topology {
        lease_term: PERMIT,
        ..Topology::new(3, 0)
    };
    let mut fleet = TestFleet::new(topology, &args.program, &dir).map_err(io::Error::other)?;
    let first = document(tasks)?;
    fleet
        .start_with_first_version(&first, LONG)
        .map_err(io::Error::other)?;
    let discovery = DiscoveryConfig::default();
    let reads = discovery.list_requests.clone();
    let discovery = discovery.start()?;
    let asked: Arc<AtomicU64> = Arc::default();
    let mut engines = Vec::new();
    for n in 0..args.engines {
        let mut engine = EngineConfig::new(&format!("engine-{n}"), "a", "x");
        engine.discovery = Some(discovery.addr);
        engine.info_requests = asked.clone();
        engines.push(engine.start()?);
    }
    let keepers = fleet.client().endpoints().to_vec();
    let known: Arc<Mutex<(usize, Vec<Instant>)>> = Arc::default();
    let (own, secret, count) = (known.clone(), dir.join("secret"), args.engines);
    let at = discovery.addr;
    let routers = ServerThread::spawn("routers", move |ex| {
        for n in 0..size {
            let value = json!({
                "router": { "name": format!("r{n}"), "listen": "127.0.0.1:0" }, "kinds": { "a": 8 }, "zones": ["x"],
                "classes": [{ "name": "lookup", "aim": "1s", "patience": "7s", "repeat": "safe" }], "default_class": "lookup",
                "engines": {}, "rules": { "start_capacity": 0.3, "ramp": "4s", "overload": 3, "fall": "2s" },
                "discovery": { "address": at, "environment": "lettings", "every": "1s", "state_every": "1s" },
                "agreement": { "keepers": keepers, "secret": secret, "permit": "4s" },
            });
            let settings = Settings::from_value("measured", &value)
                .map_err(|p| io::Error::other(format!("{p:?}")))?;
            let Some(agreement) = settings.coordination.clone() else {
                return Err(io::Error::other("no agreement"));
            };
            let secret = Secret::load(&agreement.secret_file)?;
            let member =
                FleetMember::new(agreement, secret, &format!("r{n}"), "1", None, Clock::new());
            ex.spawn(member.clone().run(|| ()));
            ex.spawn(member.clone().publish_notes());
            let looks = Discovery::new(Rc::new(settings), Some(member));
            let listener = Looker {
                began: Instant::now(),
                known: own.clone(),
                seen: std::cell::Cell::new((false, false)),
                engines: count,
            };
            ex.spawn(looks.run(ex.clone(), Rc::new(listener)));
        }
        Ok(([127, 0, 0, 1], 0).into())
    })?;
    let all = |known: &Mutex<(usize, Vec<Instant>)>| known.lock().map_or(0, |k| k.0);
    if !fleet.wait_until(LONG, |_| all(&known) == size) {
        return Err(io::Error::other("not all routers know all engines"));
    }
    // A router is given leases after a term in which it has asked; then they spread.
    std::thread::sleep(PERMIT * 3);
    let (before, began) = (
        (reads.load(Ordering::Relaxed), asked.load(Ordering::Relaxed)),
        Instant::now(),
    );
    std::thread::sleep(Duration::from_secs(args.seconds));
    let passed = began.elapsed().as_secs_f64();
    let rate = |now: u64, before: u64| (now - before) as f64 / passed;
    let rates = (
        rate(reads.load(Ordering::Relaxed), before.0),
        rate(asked.load(Ordering::Relaxed), before.1),
    );
    // An engine is told to drain: when does each router know?
    let mut drain = hoptiller_http::Request::new(hoptiller_http::Method::Put, "/v1/info/state");
    drain.body = b"\"SHUTTING_DOWN\"".to_vec();
    let told = Instant::now();
    async_io::block_on(async {
        let limits = hoptiller_http::Limits::default();
        let mut c = hoptiller_http::client::Connection::open(engines[0].addr, LONG, limits).await?;
        c.exchange(&drain, LONG).await
    })
    .map_err(io::Error::other)?;
    let knows = |known: &Mutex<(usize, Vec<Instant>)>| known.lock().map_or(0, |k| k.1.len());
    if !fleet.wait_until(LONG, |_| knows(&known) == size) {
        return Err(io::Error::other(
            "not all routers came to know of the drain",
        ));
    }
    let mut times: Vec<u128> = known
        .lock()
        .map(|k| k.1.iter().map(|t| (*t - told).as_millis()).collect())
        .unwrap_or_default();
    times.sort_unstable();
    println!(
        "{size:>8} {:>8} {:>14.1} {:>16.1} {:>18} {:>18}",
        if tasks { "with" } else { "without" },
        rates.0,
        rates.1,
        times.get(times.len() / 2).copied().unwrap_or(0),
        times.last().copied().unwrap_or(0)
    );
    drop((routers, engines, discovery, fleet));
    std::fs::remove_dir_all(&dir)
}
