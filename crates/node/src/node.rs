//! Owns a running router on our platform: ties the core to clients, engines and the coordinator.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::{Rc, Weak};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_io::Timer;
use event_listener::Event;
use futures_lite::future;
use hoptiller::{EngineId, Entry, Micros, Readiness, Scope};
use hoptiller_http::gate::Gate;
use hoptiller_http::{Spawner, server};
use hoptiller_platform::{Config, ConfigError, Names, Phase, Update};
use hoptiller_router::core::{self, Attempt, Bounds, Command, Core, Ended, Page, StatementId};
use hoptiller_router::rounds::{Carry, Rounds};
use serde_json::value::RawValue;

use crate::attempt::Order;
use crate::budget::Budget;
use crate::follower::Follower;
use crate::front::{self, Front, OpenIds};
use crate::links::{Links, Manner};

/// For the last attempt's end, the decision and the answer before a client gives up.
const ANSWER_MARGIN: Micros = 30_000;
/// After SIGTERM requests still come for so long, and are served like before.
const LATE_COMERS: Duration = Duration::from_millis(900);
/// A file that can't be read after SIGHUP may be half written: it is tried again after this time.
const READ_AGAIN: Duration = Duration::from_millis(100);

/// Why a router does not start.
#[derive(Debug)]
pub enum StartError {
    /// The file can't be read.
    File(io::Error),
    /// It tells nothing usable.
    Config(ConfigError),
    /// Settings that the decision module can't work with.
    Settings(hoptiller::SettingsError),
}

impl std::fmt::Display for StartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StartError::File(e) => write!(f, "can't be read: {e}"),
            StartError::Config(e) => write!(f, "{e}"),
            StartError::Settings(e) => write!(f, "settings: {e}"),
        }
    }
}

impl std::error::Error for StartError {}

/// A running router.
pub struct Node {
    me: Weak<Node>,
    file: PathBuf,
    listen: SocketAddr,
    rounds: Rc<Rounds>,
    names: Rc<Names>,
    front: Rc<Front>,
    links: Links,
    follower: Follower,
    ex: Spawner,
    gate: Rc<Gate>,
    /// Attempts under way, and what withdraws each.
    under_way: RefCell<HashMap<(StatementId, u32), Rc<Event>>>,
    /// Where the core's clock stands against Unix time.
    unix: Unix,
    stop_accepting: Event,
}

/// The core's clock against Unix time.
#[derive(Clone, Copy, Debug)]
struct Unix {
    core: Micros,
    unix: Micros,
}

impl Unix {
    /// A late start on the core's clock; 0 stays long ago.
    fn start(self, unix_ms: u64) -> Micros {
        match unix_ms {
            0 => 0,
            ms => (self.core.saturating_add(ms.saturating_mul(1000))).saturating_sub(self.unix).max(1),
        }
    }
}

fn read(file: &std::path::Path) -> Result<Config, StartError> {
    let bytes = std::fs::read(file).map_err(StartError::File)?;
    Config::read(&bytes).map_err(StartError::Config)
}

impl Node {
    /// A router from its configuration file.
    pub fn load(file: PathBuf, ex: Spawner) -> Result<Rc<Node>, StartError> {
        let config = read(&file)?;
        let known = config.known().map_err(StartError::Config)?;
        let s = &config.settings;
        let budget = Budget::of(&config.limits);
        let mut cfg = hoptiller_host::settings(s);
        // Usual clients hold a third of the descriptors at most, and have one request open on each connection.
        let most = config.limits.sockets / 3;
        cfg.limits.max_open = if cfg.limits.max_open == 0 { most } else { cfg.limits.max_open.min(most) };
        tracing::debug!(limits = ?config.limits, settings = ?cfg, "starting");
        let names = Rc::new(Names {
            classes: s.lanes.iter().zip(&cfg.classes).map(|(l, c)| (l.name.clone(), c.deadline)).collect(),
            tenants: s.tenants.iter().map(|t| t.name.clone()).collect(),
        });
        let bounds = Bounds {
            statements: budget.open,
            answered: 0,
            keep: 0,
            // A client is heard when it closes: nobody goes unseen.
            abandon_after: 600_000_000,
            held_bytes: budget.held,
            answer_margin: ANSWER_MARGIN,
        };
        let time = |ms: f64, least: f64| Duration::from_micros(hoptiller_host::micros(ms.max(least)));
        let connect_within = time(s.limits.connect_timeout, 50.0);
        let manner = Manner {
            connect_within,
            probe_within: connect_within,
            idle: time(s.limits.conn_idle * 0.7, 500.0),
            most: budget.engines,
            held: budget.held,
        };
        let tick = time(s.tick, 1.0);
        let core_names = core::Names { router: config.name.clone(), life: config.seed.clone() };
        let core = Core::new(cfg, config.seed(), bounds, None, core_names).map_err(StartError::Settings)?;
        let node = Rc::new_cyclic(|me: &Weak<Node>| {
            let rounds = Rc::new(Rounds::new(core, tick, me.clone()));
            let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let unix = Unix { core: rounds.now(), unix: unix.as_micros() as Micros };
            let front = Front {
                rounds: rounds.clone(),
                names: names.clone(),
                budget,
                open_ids: OpenIds::default(),
                ex: ex.clone(),
            };
            Node {
                me: me.clone(),
                file,
                listen: config.listen,
                rounds,
                names,
                front: Rc::new(front),
                links: Links::new(manner),
                follower: Follower::new(config.coordinator, known.number),
                ex,
                gate: Rc::new(Gate::new(budget.clients)),
                under_way: RefCell::default(),
                unix,
                stop_accepting: Event::new(),
            }
        });
        node.told(Scope::Remembered, known);
        Ok(node)
    }

    /// Listens, and starts everything on the executor. Returns the address.
    pub fn start(self: &Rc<Self>) -> io::Result<SocketAddr> {
        let listener = server::bind(self.listen)?;
        let addr = listener.get_ref().local_addr()?;
        let me = self.clone();
        self.ex.spawn(async move { me.rounds.run().await });
        let me = self.clone();
        self.ex.spawn(async move {
            let scope = |update: &Update| if update.whole { Scope::All } else { Scope::Changes };
            me.follower.run(|update| me.told(scope(&update), update)).await;
        });
        let me = self.clone();
        self.ex.spawn(async move {
            loop {
                Timer::after(Duration::from_millis(500)).await;
                me.links.tidy();
            }
        });
        let (me, stop) = (self.clone(), self.stop_accepting.listen());
        self.ex.spawn(async move {
            let front = front::serve(me.front.clone(), listener, me.gate.clone());
            let _ = future::or(front, async {
                stop.await;
                Ok(())
            })
            .await;
        });
        Ok(addr)
    }

    /// Reads the file again, and follows the coordinator that it names. Keeps the old one until it can be read.
    pub async fn reload(&self) {
        loop {
            match read(&self.file) {
                Ok(config) => {
                    tracing::info!(coordinator = %config.coordinator, "configuration read again");
                    return self.follower.move_to(config.coordinator);
                }
                Err(why) => tracing::warn!(%why, "configuration: kept the old one; trying again"),
            }
            Timer::after(READ_AGAIN).await;
        }
    }

    /// Serves those who still come, then takes nothing new, finishes what it holds, and returns.
    pub async fn end(&self) {
        Timer::after(LATE_COMERS).await;
        self.stop_accepting.notify(usize::MAX);
        self.gate.close_idle();
        loop {
            Timer::after(Duration::from_millis(20)).await;
            if self.gate.counts().1 == 0 && self.rounds.core().sizes().0 == 0 {
                return;
            }
        }
    }

    /// The core, for one call; rounds are rung for behind it.
    fn with_core<T>(&self, act: impl FnOnce(&mut Core, Micros) -> T) -> T {
        self.rounds.with(act)
    }

    /// Number of the coordinator's last event.
    pub fn last_event(&self) -> u64 {
        self.follower.last()
    }

    /// Engines known.
    pub fn engines_known(&self) -> usize {
        self.links.sizes().1
    }

    /// Requests in the table, and ids that are open.
    pub fn requests_known(&self) -> (usize, usize) {
        let (open, kept, _) = self.rounds.core().sizes();
        (open + kept, self.front.open_ids.len())
    }

    /// How its means are divided.
    pub fn budget(&self) -> &Budget {
        &self.front.budget
    }

    /// Connections of clients.
    pub fn connections(&self) -> usize {
        self.gate.counts().0
    }

    /// News of the engine list.
    fn told(&self, scope: Scope, update: Update) {
        if update.whole {
            self.links.keep_only(&update.members);
        }
        update.members.iter().for_each(|m| self.links.told(m));
        let entry = |m: &hoptiller_platform::Member| Entry {
            engine: EngineId(m.id),
            zone: m.zone,
            kind: m.kind,
            cell: m.cell.into(),
            ready_at: self.unix.start(m.started_ms),
            readiness: match m.phase {
                Phase::Ready => Readiness::Up,
                Phase::Draining => Readiness::Draining,
                Phase::Gone => Readiness::Removed,
            },
        };
        let entries: Vec<Entry> = update.members.iter().map(entry).collect();
        tracing::debug!(number = update.number, ?scope, ?entries, "list");
        self.with_core(|core, now| core.list(now, scope, entries));
    }

    async fn attempt(self: Rc<Self>, a: Attempt) {
        let stop = Rc::new(Event::new());
        self.under_way.borrow_mut().insert((a.id, a.hop), stop.clone());
        let name = a.work.fields.first().map_or("", |f| f.1.as_str());
        let order = Order {
            id: name,
            class: &self.names.classes[a.class].0,
            text: &a.work.text,
            priority: a.priority,
            wait: Duration::from_micros(a.until.saturating_sub(self.rounds.now())),
        };
        let came = self.links.attempt(a.engine, &order, &stop).await;
        self.under_way.borrow_mut().remove(&(a.id, a.hop));
        match came {
            Ok(whole) => {
                tracing::debug!(id = name, hop = a.hop, engine = a.engine.0, work = whole.work, "served");
                let rows = RawValue::from_string(whole.rows).ok().map(Rc::from);
                let (work, report) = (whole.work, whole.report);
                let page = Page { rows, last: true, work, report, ..Page::default() };
                self.with_core(|core, now| core.page(now, a.id, a.hop, page));
            }
            Err(why) => {
                tracing::debug!(id = name, hop = a.hop, engine = a.engine.0, %why, "ended");
                let ended = Ended { ending: why.ending(), why: why.to_string(), report: None };
                self.with_core(|core, now| core.ended(now, a.id, a.hop, ended));
            }
        }
    }
}

impl Carry for Node {
    fn carry(&self, command: Command) {
        let Some(me) = self.me.upgrade() else { return };
        match command {
            Command::Send(attempt) => {
                // Read by `trace`: all sends of a round are believed out once it is carried out.
                tracing::debug!(
                    id = attempt.work.fields.first().map_or("", |f| f.1.as_str()),
                    hop = attempt.hop,
                    engine = attempt.engine.0,
                    round = me.rounds.spent().0,
                    believed = me.rounds.core().believed_out(attempt.engine),
                    class = attempt.class,
                    priority = attempt.priority,
                    until = attempt.until,
                    "send"
                );
                self.ex.spawn(me.attempt(attempt));
            }
            Command::Withdraw { id, hop } => {
                if let Some(stop) = self.under_way.borrow().get(&(id, hop)) {
                    stop.notify(usize::MAX);
                }
            }
            Command::Probe(engine) => self.ex.spawn(async move {
                let report = me.links.probe(engine).await;
                tracing::debug!(engine = engine.0, ?report, "probed");
                me.with_core(|core, _| core.probed(engine, report));
            }),
            Command::Wake(id) => self.rounds.wake(id),
            Command::Settled { id, class, how, after, attempts } => {
                tracing::debug!(id, class, how = how.word(), why = how.why(), after, attempts, "settled");
            }
            // Results come whole, so there are no further pages, and nothing is left to let go; the coordinator tells
            // of itself; runaways are not looked for here.
            Command::Fetch { .. }
            | Command::Release { .. }
            | Command::AskDiscovery
            | Command::Kill { .. }
            | Command::Pause { .. }
            | Command::Found(_) => {}
        }
    }
}

#[cfg(test)]
mod tests;
