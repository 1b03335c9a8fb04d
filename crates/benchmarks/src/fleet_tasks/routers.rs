//! Routers that are reduced to discovery and leases, and their observations of the endpoint list.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hoptiller_coordination_client::{Clock, Secret};
use hoptiller_http::Spawner;
use hoptiller_mock_servers::ServerThread;
use hoptiller_policy::{EndpointEntry, EngineId, ListScope, Micros, Readiness};
use hoptiller_statement_router::Settings;
use hoptiller_statement_router::discovery::{Discovery, EndpointListener};
use hoptiller_statement_router::fleet_member::FleetMember;
use serde_json::json;

/// The routers' clock at their start. It is above zero so that engines can have started before.
const START_TIME: Duration = Duration::from_secs(3600);

/// The observations of all routers.
#[derive(Default)]
pub(super) struct Observations(Mutex<Observed>);

#[derive(Default)]
struct Observed {
    complete_lists: usize,
    drains: Vec<Instant>,
}

impl Observations {
    /// Returns the number of routers that have had all engines on their list.
    pub(super) fn complete_lists(&self) -> usize {
        self.lock().complete_lists
    }

    /// Returns the time at which each router first had a draining engine on its list.
    pub(super) fn drains(&self) -> Vec<Instant> {
        self.lock().drains.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Observed> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The listener of one router, which records each kind of observation once.
struct ListObserver {
    start: Instant,
    engines: usize,
    observations: Arc<Observations>,
    has_complete_list: Cell<bool>,
    has_drain: Cell<bool>,
}

impl EndpointListener for ListObserver {
    fn now(&self) -> Micros {
        (START_TIME + self.start.elapsed()).as_micros() as Micros
    }

    fn endpoints_changed(&self, scope: ListScope, entries: Vec<EndpointEntry>) {
        if scope == ListScope::Failed {
            return;
        }
        if entries.len() == self.engines && !self.has_complete_list.replace(true) {
            self.observations.lock().complete_lists += 1;
        }
        let is_draining = |entry: &EndpointEntry| entry.readiness == Readiness::Draining;
        if entries.iter().any(is_draining) && !self.has_drain.replace(true) {
            self.observations.lock().drains.push(Instant::now());
        }
    }

    fn address_changed(&self, _: EngineId, _: &str, _: SocketAddr) {}
}

/// The configuration of the routers.
pub(super) struct RouterConfig {
    pub(super) replicas: Vec<SocketAddr>,
    pub(super) secret_file: PathBuf,
    pub(super) discovery: SocketAddr,
    /// Number of engines on a complete list.
    pub(super) engines: usize,
}

impl RouterConfig {
    fn settings(&self, router: &str) -> io::Result<Settings> {
        let value = json!({
            "router": { "name": router, "listen": "127.0.0.1:0" }, "kinds": { "a": 8 }, "zones": ["x"],
            "classes": [{ "name": "lookup", "aim": "1s", "patience": "7s", "repeat": "safe" }],
            "default_class": "lookup",
            "engines": {}, "rules": { "start_capacity": 0.3, "ramp": "4s", "overload": 3, "fall": "2s" },
            "discovery": {
                "address": self.discovery, "environment": "lettings", "every": "1s", "state_every": "1s",
            },
            "agreement": { "keepers": self.replicas, "secret": self.secret_file, "permit": "4s" },
        });
        Settings::from_value("measured", &value)
            .map_err(|problems| io::Error::other(format!("{problems:?}")))
    }
}

/// Starts routers on a thread of this process.
pub(super) fn start_routers(
    size: usize,
    config: RouterConfig,
    observations: Arc<Observations>,
) -> io::Result<ServerThread> {
    ServerThread::spawn("routers", move |spawner| {
        for index in 0..size {
            start_router(&format!("r{index}"), &config, &observations, &spawner)?;
        }
        // There is no server on this thread, so the address is not used.
        Ok(([127, 0, 0, 1], 0).into())
    })
}

fn start_router(
    name: &str,
    config: &RouterConfig,
    observations: &Arc<Observations>,
    spawner: &Spawner,
) -> io::Result<()> {
    let settings = config.settings(name)?;
    let coordination = settings
        .coordination
        .clone()
        .ok_or_else(|| io::Error::other("the settings have no agreement"))?;
    let secret = Secret::load(&coordination.secret_file)?;
    let member = FleetMember::new(coordination, secret, name, "1", None, Clock::new());
    spawner.spawn(member.clone().run(|| ()));
    spawner.spawn(member.clone().publish_notes());
    let discovery = Discovery::new(Rc::new(settings), Some(member));
    let observer = ListObserver {
        start: Instant::now(),
        engines: config.engines,
        observations: observations.clone(),
        has_complete_list: Cell::new(false),
        has_drain: Cell::new(false),
    };
    spawner.spawn(discovery.run(spawner.clone(), Rc::new(observer)));
    Ok(())
}
