//! Owns a fleet on the stage: which processes there are, which links between them, and how each is started again.
//!
//! Every keeper reaches every other over a link of its own, and every router every keeper. Engines and discovery are
//! stand-ins in this process, and record what passes on their sockets.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use hoptiller_audit::{Record, Recorder, unix_micros};
use hoptiller_coordination::{Document, Proposal};
use hoptiller_coordination_client::client::EndpointError;
use hoptiller_coordination_client::{CallError, CoordinationClient, Secret, wire};
use hoptiller_http::client::ClientError;
use hoptiller_mock_servers::ServerThread;
use hoptiller_mock_servers::discovery::DiscoveryConfig;
use hoptiller_mock_servers::engine::EngineConfig;
use serde_json::{Value, json};

use crate::link::{Faults, Link};
use crate::process::Process;

/// One stand-in engine.
#[derive(Clone, Debug)]
pub struct EnginePlan {
    /// Its machine kind.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// How many times the usual speed.
    pub speed: f64,
    /// It refuses what is sent under versions older than it has seen.
    pub fences: bool,
}

/// What is on the stage.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Keepers.
    pub keepers: usize,
    /// Routers.
    pub routers: usize,
    /// Engines.
    pub engines: Vec<EnginePlan>,
    /// A router's own settings; names and addresses are set here.
    pub settings: Value,
    /// How long permits last.
    pub permit: Duration,
    /// How far clocks may differ, in millionths.
    pub drift: u64,
    /// By router: how far its clock is off, in millionths; 0 where none is given.
    pub router_skews: Vec<i64>,
    /// By keeper: the same.
    pub keeper_skews: Vec<i64>,
    /// Bytes that a keeper's file may take; `None`: as usual.
    pub most_bytes: Option<u64>,
    /// Whether routers take part in the agreement.
    pub agreement: bool,
}

/// Which link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Between {
    /// From one keeper to another, by place.
    Keepers(usize, usize),
    /// From a router to a keeper, by place.
    Router(usize, usize),
    /// From a router to discovery, by place.
    Discovery(usize),
    /// From keepers to one that took another's place, by place.
    Joined(usize),
}

/// A fleet on the stage.
pub struct Stage {
    layout: Layout,
    program: PathBuf,
    /// What processes find in their environment, beside this one's.
    env: Vec<(String, String)>,
    dir: PathBuf,
    secret: PathBuf,
    links: BTreeMap<Between, Link>,
    keepers: Vec<Option<Process>>,
    /// By the place of a keeper that took another's place: the place of that one, and the places of all since then.
    joined: BTreeMap<usize, (usize, Vec<usize>)>,
    /// Where keepers listen, which outlives them.
    keeper_addrs: Vec<Option<SocketAddr>>,
    routers: Vec<Option<Process>>,
    /// Since when each router stands still.
    stopped: Vec<Option<u64>>,
    engines: Vec<(EngineConfig, Option<ServerThread>)>,
    discovery: ServerThread,
    /// What passes on the sockets of engines, discovery and clients.
    pub recorder: Recorder,
}

/// What is put on the stage by these names.
pub const FLEET: &str = "stage";

impl Stage {
    /// Sets all up in a folder; nothing of the program runs yet.
    pub fn new(layout: Layout, program: &Path, dir: &Path) -> io::Result<Stage> {
        std::fs::create_dir_all(dir)?;
        let secret = dir.join("secret");
        std::fs::write(&secret, "5ec2e7".repeat(8))?;
        let recorder = Recorder::to_file(&dir.join("stage.jsonl"))?;
        let fences = layout.engines.iter().any(|e| e.fences);
        let discovery = DiscoveryConfig {
            recorder: recorder.clone(),
            enforces_fencing: fences,
            ..DiscoveryConfig::default()
        }
        .start()?;
        let mut links = BTreeMap::new();
        for to in 0..layout.keepers {
            for from in (0..layout.keepers).filter(|f| *f != to) {
                links.insert(Between::Keepers(from, to), Link::new("link")?);
            }
            for router in 0..layout.routers {
                links.insert(Between::Router(router, to), Link::new("link")?);
            }
        }
        for router in 0..layout.routers {
            let link = Link::new("link")?;
            link.lead_to(discovery.addr);
            links.insert(Between::Discovery(router), link);
        }
        let engines = layout.engines.iter().enumerate().map(|(at, plan)| {
            let mut config = EngineConfig::new(&format!("engine-{at}"), &plan.kind, &plan.zone);
            config.discovery = Some(discovery.addr);
            config.recorder = recorder.clone();
            config.work_model.speed *= plan.speed;
            config.enforces_fencing = plan.fences;
            (config, None)
        });
        Ok(Stage {
            keepers: (0..layout.keepers).map(|_| None).collect(),
            keeper_addrs: vec![None; layout.keepers],
            joined: BTreeMap::new(),
            routers: (0..layout.routers).map(|_| None).collect(),
            stopped: vec![None; layout.routers],
            engines: engines.collect(),
            program: program.to_owned(),
            env: Vec::new(),
            dir: dir.to_owned(),
            layout,
            secret,
            links,
            discovery,
            recorder,
        })
    }

    /// Processes that start from now on find this in their environment.
    pub fn with_env(&mut self, name: &str, value: &str) {
        self.env.push((name.to_owned(), value.to_owned()));
    }

    /// Starts engines and keepers.
    pub fn start(&mut self) -> io::Result<()> {
        for (config, running) in &mut self.engines {
            *running = Some(config.start()?);
        }
        (0..self.layout.keepers).try_for_each(|k| self.start_keeper(k))
    }

    // ---- keepers --------------------------------------------------------------------------------

    /// Whether routers take part in the agreement.
    pub fn agrees(&self) -> bool {
        self.layout.agreement
    }

    /// How many there are.
    pub fn keeper_count(&self) -> usize {
        self.keepers.len()
    }

    fn keeper_dir(&self, keeper: usize) -> PathBuf {
        self.dir.join(format!("keeper-{}", keeper + 1))
    }

    /// Starts a keeper, on the disk that it has.
    pub fn start_keeper(&mut self, keeper: usize) -> io::Result<()> {
        let joined = self.joined.get(&keeper);
        let known = joined.map_or_else(
            || (0..self.layout.keepers).collect(),
            |(_, all)| all.clone(),
        );
        let all: BTreeMap<String, String> = known
            .into_iter()
            .map(|to| {
                // Its own address is never used: it listens where there is room.
                let own = SocketAddr::from(([127, 0, 0, 1], 1));
                let link = self
                    .links
                    .get(&Between::Keepers(keeper, to))
                    .or(self.links.get(&Between::Joined(to)));
                let addr = link.filter(|_| to != keeper).map_or(own, Link::addr);
                ((to + 1).to_string(), addr.to_string())
            })
            .collect();
        let mut config = json!({
            "fleet": FLEET, "keeper": keeper + 1, "keepers": all, "listen": "127.0.0.1:0",
            "dir": self.keeper_dir(keeper), "secret": self.secret,
            "permit": format!("{}ms", self.layout.permit.as_millis()), "drift": self.layout.drift,
        });
        if let Some(most) = self.layout.most_bytes {
            config["most_bytes"] = most.into();
        }
        let file = self.dir.join(format!("keeper-{}.json", keeper + 1));
        std::fs::write(&file, config.to_string())?;
        let name = format!("keeper-{}", keeper + 1);
        let skew = self
            .layout
            .keeper_skews
            .get(keeper)
            .copied()
            .unwrap_or(0)
            .to_string();
        let file = file.display().to_string();
        let mut args = vec!["keep", "--config", &file, "--clock-skew", &skew];
        args.extend(joined.map(|_| "--join"));
        let process = Process::start(
            &name,
            &self.program,
            &args,
            &self.env,
            &self.dir.join(format!("{name}.log")),
        )?;
        // Routers reach it where they reached the one whose place it took.
        let before = joined.map_or(keeper, |(lost, _)| *lost);
        let leads_here = |b: &Between| match b {
            Between::Keepers(_, to) | Between::Joined(to) => *to == keeper,
            Between::Router(_, to) => *to == before,
            Between::Discovery(_) => false,
        };
        for (_, link) in self.links.iter().filter(|(b, _)| leads_here(b)) {
            link.lead_to(process.addr());
        }
        self.keeper_addrs[keeper] = Some(process.addr());
        self.keepers[keeper] = Some(process);
        Ok(())
    }

    /// Another keeper is to take the place of one that doesn't run: how the call to the keepers goes. Returns its place;
    /// it is to be started.
    pub fn replace_keeper(&mut self, lost: usize) -> io::Result<Result<usize, CallError>> {
        let new = self.keepers.len();
        let common = match self.links.get(&Between::Joined(new)) {
            Some(link) => link.addr(),
            None => {
                let link = Link::new("link")?;
                let addr = link.addr();
                self.links.insert(Between::Joined(new), link);
                addr
            }
        };
        let ask = json!({ "lost": lost + 1, "new": new + 1, "at": common });
        let called = self.keepers()?;
        let asked =
            called.call::<wire::ReplaceResponse>(wire::REPLACE, Some(&ask), Duration::from_secs(4));
        if let Err(e) = async_io::block_on(asked) {
            return Ok(Err(e));
        }
        let mut all: Vec<usize> = match self.joined.values().next_back() {
            Some((_, all)) => all.clone(),
            None => (0..self.layout.keepers).collect(),
        };
        all.retain(|k| *k != lost);
        for other in &all {
            self.links
                .insert(Between::Keepers(new, *other), Link::new("link")?);
            let at = self.keeper_addrs[*other];
            at.into_iter()
                .zip(self.links.get(&Between::Keepers(new, *other)))
                .for_each(|(at, l)| l.lead_to(at));
        }
        all.push(new);
        let first = self.joined.get(&lost).map_or(lost, |(first, _)| *first);
        self.joined.insert(new, (first, all));
        self.keepers.push(None);
        self.keeper_addrs.push(None);
        Ok(Ok(new))
    }

    /// Ends a keeper at once.
    pub fn kill_keeper(&mut self, keeper: usize) {
        self.keepers[keeper] = None;
    }

    /// A keeper's disk is gone.
    pub fn lose_disk(&self, keeper: usize) -> io::Result<()> {
        std::fs::remove_dir_all(self.keeper_dir(keeper))
    }

    /// Copies a keeper's disk beside it.
    pub fn save_disk(&self, keeper: usize) -> io::Result<()> {
        let from = self.keeper_dir(keeper).join("keeper.redb");
        std::fs::copy(from, self.dir.join(format!("keeper-{}.saved", keeper + 1))).map(|_| ())
    }

    /// Puts the copy back.
    pub fn restore_disk(&self, keeper: usize) -> io::Result<()> {
        let to = self.keeper_dir(keeper).join("keeper.redb");
        std::fs::create_dir_all(self.keeper_dir(keeper))?;
        std::fs::copy(self.dir.join(format!("keeper-{}.saved", keeper + 1)), to).map(|_| ())
    }

    /// A keeper's process, where it runs.
    pub fn keeper(&mut self, keeper: usize) -> Option<&mut Process> {
        self.keepers[keeper].as_mut()
    }

    /// What a keeper or router has logged so far.
    pub fn log_of(&self, name: &str) -> String {
        std::fs::read_to_string(self.dir.join(format!("{name}.log"))).unwrap_or_default()
    }

    // ---- routers --------------------------------------------------------------------------------

    /// Starts a router, on the state that it has.
    pub fn start_router(&mut self, router: usize) -> io::Result<()> {
        let name = format!("r{}", router + 1);
        let keepers: Vec<String> = (0..self.layout.keepers)
            .filter_map(|k| {
                self.links
                    .get(&Between::Router(router, k))
                    .map(|l| l.addr().to_string())
            })
            .collect();
        let mut settings = self.layout.settings.clone();
        settings["router"] = json!({
            "name": name, "index": router, "of": self.layout.routers, "listen": "127.0.0.1:0",
            "state": self.dir.join(format!("state-{name}")), "seed": router + 1,
        });
        let discovery = self
            .links
            .get(&Between::Discovery(router))
            .map_or(self.discovery.addr, Link::addr);
        settings["discovery"]["address"] = discovery.to_string().into();
        if self.layout.agreement {
            settings["agreement"] = json!({
                "keepers": keepers, "secret": self.secret, "drift": self.layout.drift,
                "permit": format!("{}ms", self.layout.permit.as_millis()),
            });
        }
        let file = self.dir.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string())?;
        let skew = self
            .layout
            .router_skews
            .get(router)
            .copied()
            .unwrap_or(0)
            .to_string();
        let args = ["route", &file.display().to_string(), "--clock-skew", &skew];
        let process = Process::start(
            &name,
            &self.program,
            &args,
            &self.env,
            &self.dir.join(format!("{name}.log")),
        )?;
        self.routers[router] = Some(process);
        Ok(())
    }

    /// Ends a router at once: what it held is not owed.
    pub fn kill_router(&mut self, router: usize) {
        self.go_on_router(router);
        if self.routers[router].take().is_some() {
            self.recorder.write(Record::RouterKilled {
                at: unix_micros(),
                router: format!("r{}", router + 1),
            });
        }
    }

    /// A router stands still.
    pub fn stop_router(&mut self, router: usize) {
        if let Some(process) = &self.routers[router] {
            self.stopped[router].get_or_insert(unix_micros());
            process.stop();
        }
    }

    /// It goes on.
    pub fn go_on_router(&mut self, router: usize) {
        if let Some(at) = self.stopped[router].take() {
            let name = format!("r{}", router + 1);
            self.recorder.write(Record::RouterPaused {
                at,
                router: name,
                until: unix_micros(),
            });
        }
        self.routers[router].iter().for_each(Process::go_on);
    }

    /// A router's process, where it runs.
    pub fn router(&mut self, router: usize) -> Option<&mut Process> {
        self.routers[router].as_mut()
    }

    /// Routers that run and don't stand still: name and address.
    pub fn running_routers(&self) -> Vec<(String, SocketAddr)> {
        let running = self
            .routers
            .iter()
            .zip(&self.stopped)
            .filter(|(_, stopped)| stopped.is_none());
        running
            .filter_map(|(r, _)| r.as_ref())
            .map(|r| (r.name().to_owned(), r.addr()))
            .collect()
    }

    /// Processes that have ended by themselves, with how.
    pub fn fallen(&mut self) -> Vec<String> {
        let all = self.keepers.iter_mut().chain(&mut self.routers).flatten();
        all.filter_map(|p| p.ended().map(|how| format!("{}: {how}", p.name())))
            .collect()
    }

    // ---- engines --------------------------------------------------------------------------------

    /// An engine's configuration, to set its faults.
    pub fn engine(&self, engine: usize) -> &EngineConfig {
        &self.engines[engine].0
    }

    // ---- links ----------------------------------------------------------------------------------

    /// A link, where there is one.
    pub fn link(&self, between: Between) -> Option<&Link> {
        self.links.get(&between)
    }

    /// Has a link fail.
    pub fn fail(&self, between: Between, faults: Faults) {
        if let Some(link) = self.links.get(&between) {
            link.fail(faults);
        }
    }

    /// Has all links fail that a choice names.
    pub fn fail_all(&self, faults: Faults, which: impl Fn(&Between) -> bool) {
        self.links
            .iter()
            .filter(|(b, _)| which(b))
            .for_each(|(_, link)| link.fail(faults));
    }

    /// Closes what is open on all links that a choice names.
    pub fn reset(&self, which: impl Fn(&Between) -> bool) {
        self.links
            .iter()
            .filter(|(b, _)| which(b))
            .for_each(|(_, link)| link.reset());
    }

    /// All links are whole.
    pub fn heal(&self) {
        self.fail_all(Faults::default(), |_| true);
    }

    /// All that there are.
    pub fn all_links(&self) -> Vec<Between> {
        self.links.keys().copied().collect()
    }

    // ---- administrators -------------------------------------------------------------------------

    /// The keepers, as administrators reach them: not over the links.
    pub fn keepers(&self) -> io::Result<CoordinationClient> {
        let running = self
            .keepers
            .iter()
            .zip(&self.keeper_addrs)
            .filter(|(k, _)| k.is_some());
        Ok(CoordinationClient::new(
            running.filter_map(|(_, at)| *at).collect(),
            Secret::load(&self.secret)?,
        ))
    }

    /// Puts a change.
    pub fn put(
        &self,
        change: &str,
        document: &Document,
    ) -> Result<wire::ProposalResponse, CallError> {
        let unavailable = |error: io::Error| {
            CallError::Unavailable(vec![EndpointError {
                endpoint: self.discovery.addr,
                source: ClientError::Connect(error).into(),
            }])
        };
        let wanted = Proposal {
            change_name: change.to_owned(),
            base: None,
            author: "the stage".into(),
            proposed_at_ms: unix_micros() / 1000,
            reason: "a day on the stage".into(),
            document: document.clone(),
        };
        let keepers = self.keepers().map_err(unavailable)?;
        async_io::block_on(keepers.call(wire::PROPOSE, Some(&wanted), Duration::from_secs(4)))
    }

    /// The fleet's numbers, as the keeper knows them that knows most: one that is cut off stays behind.
    pub fn numbers(&self) -> Option<wire::VersionNumbers> {
        self.statuses()
            .into_iter()
            .map(|s| s.versions)
            .max_by_key(|n| (n.in_force, n.last))
    }

    /// What the keepers that run say, in their order.
    pub fn statuses(&self) -> Vec<wire::ClusterStatus> {
        let Ok(keepers) = self.keepers() else {
            return Vec::new();
        };
        let one = |at: &SocketAddr| {
            let asked =
                keepers.call_endpoint(*at, wire::STATUS, None::<&()>, Duration::from_secs(2));
            async_io::block_on(asked).ok()
        };
        keepers.endpoints().iter().filter_map(one).collect()
    }

    /// Waits until something holds, for so long; whether it came to hold.
    pub fn until(&mut self, within: Duration, mut holds: impl FnMut(&mut Stage) -> bool) -> bool {
        let end = Instant::now() + within;
        loop {
            if holds(self) {
                return true;
            }
            if Instant::now() >= end {
                return false;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until a version is in force.
    pub fn until_in_force(&mut self, number: u64, within: Duration) -> bool {
        self.until(within, |s| {
            s.numbers().is_some_and(|n| n.in_force >= number)
        })
    }

    /// Waits until as many routers hold a permit and heed this version or a later one.
    pub fn until_heeded(&mut self, routers: usize, number: u64, within: Duration) -> bool {
        self.until(within, |s| {
            let most = |st: &wire::ClusterStatus| {
                st.holders
                    .iter()
                    .filter(|h| h.enforced_version >= number)
                    .count()
            };
            s.statuses().iter().map(most).max().unwrap_or(0) >= routers
        })
    }
}
