//! Owns a running router on our platform: ties the core to clients, engines and the coordinator.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_io::Timer;
use event_listener::Event;
use hoptiller_http::gate::Gate;
use hoptiller_http::{Spawner, server};
use hoptiller_platform_protocol::request::ClassOptions;
use hoptiller_platform_protocol::{
    Catalog, Config, ConfigError, Endpoint, EndpointListUpdate, Phase, StatementCommand,
};
use hoptiller_policy::{EndpointEntry, EngineId, ListScope, Micros, Readiness};
use hoptiller_router_core::rounds::{Carry, Rounds};
use hoptiller_router_core::{
    self as core, Attempt, Bounds, Command, Core, Ended, Page, StatementId,
};
use serde_json::value::RawValue;

use crate::attempt::{Failed, Order};
use crate::budget::Budget;
use crate::cancel::CancelToken;
use crate::follower::Follower;
use crate::front::{self, Front, OpenIds};
use crate::links::{Links, Listing, Manner};
use crate::retries::Retries;
use crate::trace::TRACE_TARGET;

/// For the last attempt's end, the decision and the answer before a client gives up.
const ANSWER_MARGIN: Micros = 30_000;
/// After SIGTERM requests still come for so long, and are served like before.
const LATE_COMERS: Duration = Duration::from_millis(900);
/// Then nothing more is accepted, and connections that were accepted last have so long to send their first byte.
const LAST_ACCEPTED: Duration = Duration::from_millis(100);
/// SIGKILL comes no sooner after SIGTERM than the longest patience of a class, or this time where that is less, and 0.7 s
/// more. What is not answered so long before that is given up, which its client is told.
const KILL: Duration = Duration::from_secs(3);
const GIVE_UP_AFTER: Duration = Duration::from_millis(450);
/// Connections whose answers are not taken, or that only are read on, are waited for so much longer.
const LEAVE_AFTER: Duration = Duration::from_millis(200);
/// Pause between looks at whether all is answered.
const LOOK: Duration = Duration::from_millis(20);
/// A file that can't be read after SIGHUP may be half written: it is tried again after this time, and so many times.
const READ_AGAIN: Duration = Duration::from_millis(100);
const READ_TRIES: usize = 100;

/// Why a router does not start.
#[derive(Debug)]
pub enum StartError {
    /// The file can't be read.
    File(io::Error),
    /// It tells nothing usable.
    Config(ConfigError),
    /// Settings that the decision module can't work with.
    Settings(hoptiller_policy::SettingsError),
    /// After SIGHUP: it is the file of another router.
    Other(String),
}

impl std::fmt::Display for StartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StartError::File(e) => write!(f, "can't be read: {e}"),
            StartError::Config(e) => write!(f, "{e}"),
            StartError::Settings(e) => write!(f, "settings: {e}"),
            StartError::Other(name) => write!(f, "name: it is for the router {name}"),
        }
    }
}

impl std::error::Error for StartError {}

/// A running router.
pub struct Node {
    me: Weak<Node>,
    file: PathBuf,
    name: String,
    listen: SocketAddr,
    rounds: Rc<Rounds>,
    names: Rc<Catalog>,
    front: Rc<Front>,
    links: Links,
    follower: Follower,
    ex: Spawner,
    gate: Rc<Gate>,
    /// Attempts under way, from the decision on, and what takes each back.
    under_way: RefCell<BTreeMap<(StatementId, u32), Rc<CancelToken>>>,
    /// How often the file was to be read again: the last one to ask reads it.
    reloads: Cell<u64>,
    /// Where the core's clock stands against Unix time.
    unix: Unix,
    stop_accepting: Event,
    accepting: Cell<bool>,
    /// What is not answered so long after the end began is given up.
    give_up_after: Duration,
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
            ms => (self.core.saturating_add(ms.saturating_mul(1000)))
                .saturating_sub(self.unix)
                .max(1),
        }
    }
}

/// What clients may ask for of a class.
fn terms(name: &str, class: &hoptiller_policy::Class) -> ClassOptions {
    let keyed = matches!(
        class.idempotency,
        hoptiller_policy::Idempotency::WithKey { .. }
    );
    ClassOptions {
        name: name.to_owned(),
        timeout: class.deadline,
        requires_idempotency_key: keyed,
    }
}

fn read(file: &std::path::Path) -> Result<Config, StartError> {
    let bytes = std::fs::read(file).map_err(StartError::File)?;
    Config::parse(&bytes).map_err(StartError::Config)
}

impl Node {
    /// A router from its configuration file.
    pub fn load(file: PathBuf, ex: Spawner) -> Result<Rc<Node>, StartError> {
        let config = read(&file)?;
        let known = config.initial_endpoints().map_err(StartError::Config)?;
        let s = &config.settings;
        let budget = Budget::of(&config.limits);
        let mut cfg = s.to_policy();
        // Usual clients hold a third of the descriptors at most, and have one request open on each connection.
        let most = config.limits.sockets / 3;
        cfg.limits.max_open_requests = if cfg.limits.max_open_requests == 0 {
            most
        } else {
            cfg.limits.max_open_requests.min(most)
        };
        tracing::debug!(limits = ?config.limits, settings = ?cfg, "starting");
        let names = Rc::new(Catalog {
            classes: s
                .lanes
                .iter()
                .zip(&cfg.classes)
                .map(|(l, c)| terms(&l.name, c))
                .collect(),
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
        let time = |ms: f64, least: f64| {
            Duration::from_micros(hoptiller_policy_settings::micros_from_millis(ms.max(least)))
        };
        let connect_within = time(s.limits.connect_timeout, 50.0);
        let manner = Manner {
            connect_within,
            probe_within: connect_within,
            idle: time(s.limits.conn_idle * 0.7, 500.0),
            most: budget.engines,
            held: budget.held,
        };
        let tick = time(s.tick, 1.0);
        let longest = cfg
            .classes
            .iter()
            .map(|c| Duration::from_micros(c.deadline))
            .max()
            .unwrap_or(KILL);
        let retries = Rc::new(Retries::new(cfg.rules.retry_budget));
        let core_names = core::Names {
            router: config.name.clone(),
            life: config.seed.clone(),
        };
        let core = Core::new(cfg, config.seed(), bounds, None, core_names)
            .map_err(StartError::Settings)?;
        let node = Rc::new_cyclic(|me: &Weak<Node>| {
            let rounds = Rc::new(Rounds::new(core, tick, me.clone()));
            let unix = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            let unix = Unix {
                core: rounds.now(),
                unix: unix.as_micros() as Micros,
            };
            let front = Front {
                rounds: rounds.clone(),
                names: names.clone(),
                budget,
                retries: retries.clone(),
                open_ids: OpenIds::default(),
                ex: ex.clone(),
            };
            Node {
                me: me.clone(),
                file,
                name: config.name,
                listen: config.listen,
                rounds,
                names,
                front: Rc::new(front),
                links: Links::new(manner, retries),
                follower: Follower::new(config.coordinator, known.number),
                ex,
                gate: Rc::new(Gate::new(budget.clients)),
                under_way: RefCell::default(),
                reloads: Cell::new(0),
                unix,
                stop_accepting: Event::new(),
                accepting: Cell::new(false),
                give_up_after: longest.min(KILL) + GIVE_UP_AFTER,
            }
        });
        node.told(ListScope::Cached, known);
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
            let scope = |update: &EndpointListUpdate| {
                if update.is_complete {
                    ListScope::All
                } else {
                    ListScope::Changes
                }
            };
            me.follower
                .run(|update| me.told(scope(&update), update))
                .await;
        });
        let me = self.clone();
        self.ex.spawn(async move {
            loop {
                Timer::after(Duration::from_millis(500)).await;
                me.links.tidy();
            }
        });
        let (me, stop) = (self.clone(), self.stop_accepting.listen());
        self.accepting.set(true);
        self.ex.spawn(async move {
            front::serve(me.front.clone(), listener, me.gate.clone(), stop).await;
            me.accepting.set(false);
        });
        Ok(addr)
    }

    /// Reads the file again, and follows the coordinator that it names. Keeps the old one until it can be read, for some
    /// time; a later call takes over from an earlier one that still tries.
    pub async fn reload(&self) {
        let this = self.reloads.get() + 1;
        self.reloads.set(this);
        for _ in 0..READ_TRIES {
            match self.read_again() {
                Ok(config) => {
                    tracing::info!(coordinator = %config.coordinator, "configuration read again");
                    return self.follower.move_to(config.coordinator);
                }
                Err(why) => tracing::warn!(%why, "configuration: kept the old one; trying again"),
            }
            Timer::after(READ_AGAIN).await;
            if self.reloads.get() != this {
                return;
            }
        }
        tracing::error!(file = %self.file.display(), "configuration: kept the old one; gave up reading it");
    }

    fn read_again(&self) -> Result<Config, StartError> {
        match read(&self.file) {
            Ok(config) if config.name != self.name => Err(StartError::Other(config.name)),
            read => read,
        }
    }

    /// Serves those who still come, then takes nothing new, finishes what it holds, and returns. What can't be finished
    /// in time is given up and answered so.
    pub async fn end(&self) {
        let began = Instant::now();
        self.gate.announce_end();
        Timer::after(LATE_COMERS).await;
        self.stop_accepting.notify(usize::MAX);
        Timer::after(LAST_ACCEPTED).await;
        self.gate.close_idle();
        while self.accepting.get() || self.gate.counts().1 > 0 || self.rounds.core().sizes().0 > 0 {
            if began.elapsed() >= self.give_up_after {
                self.with_core(|core, _| core.give_up_all());
            }
            let all_answered = self.rounds.core().sizes().0 == 0;
            if all_answered && began.elapsed() >= self.give_up_after + LEAVE_AFTER {
                return;
            }
            Timer::after(LOOK).await;
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

    /// Attempts that were decided on and have not ended.
    pub fn attempts(&self) -> usize {
        self.under_way.borrow().len()
    }

    /// Connections to engines, with those that are coming up.
    pub fn engine_connections(&self) -> usize {
        self.links.sizes().0
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
    fn told(&self, scope: ListScope, update: EndpointListUpdate) {
        if update.is_complete {
            self.links.keep_only(&update.endpoints);
        }
        update.endpoints.iter().for_each(|m| self.links.told(m));
        let entry = |m: &Endpoint| EndpointEntry {
            engine: EngineId(m.id),
            zone: m.zone,
            kind: m.kind,
            cell: m.cell.into(),
            ready_at: self.unix.start(m.started_ms),
            readiness: match m.phase {
                Phase::Ready => Readiness::Up,
                Phase::Draining => Readiness::Draining,
                Phase::Removed => Readiness::Removed,
            },
        };
        let entries: Vec<EndpointEntry> = update.endpoints.iter().map(entry).collect();
        tracing::debug!(number = update.number, ?scope, ?entries, "list");
        self.with_core(|core, now| core.list(now, scope, entries));
    }

    async fn attempt(self: Rc<Self>, a: Attempt, listing: Listing, token: Rc<CancelToken>) {
        let name = a.work.fields.first().map_or("", |f| f.1.as_str());
        let order = Order {
            send: StatementCommand {
                id: name,
                class: &self.names.classes[a.class].name,
                idempotency_key: a.work.fields.get(1).map(|f| f.1.as_str()),
                priority: a.priority,
                statement: &a.work.text,
            },
            until: self.rounds.instant(a.until),
            send_by: a.send_by.map(|at| self.rounds.instant(at)),
            further: a.hop > 0,
            token: &token,
            listing,
        };
        let came = self.links.attempt(a.engine, &order).await;
        self.under_way.borrow_mut().remove(&(a.id, a.hop));
        match came {
            Ok(whole) => {
                tracing::debug!(
                    target: TRACE_TARGET,
                    id = name,
                    hop = a.hop,
                    engine = a.engine.0,
                    work = whole.work,
                    "served"
                );
                let rows = RawValue::from_string(whole.rows).ok().map(Rc::from);
                let (work, report) = (whole.work, whole.report);
                let page = Page {
                    rows,
                    last: true,
                    work,
                    report,
                    ..Page::default()
                };
                self.with_core(|core, now| core.page(now, a.id, a.hop, page));
            }
            Err(why) => {
                tracing::debug!(target: TRACE_TARGET,
                    id = name, hop = a.hop, engine = a.engine.0, %why, "ended");
                let ended = Ended {
                    ending: why.ending(),
                    why: why.to_string(),
                    report: None,
                };
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
                    target: TRACE_TARGET,
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
                // What takes it back and what the list says are those of the decision, not of its task's first step.
                let Some(listing) = self.links.listing(attempt.engine) else {
                    let why = Failed::NoEngine;
                    let ended = Ended {
                        ending: why.ending(),
                        why: why.to_string(),
                        report: None,
                    };
                    return self.rounds.core().ended(
                        self.rounds.now(),
                        attempt.id,
                        attempt.hop,
                        ended,
                    );
                };
                let token = Rc::<CancelToken>::default();
                self.under_way
                    .borrow_mut()
                    .insert((attempt.id, attempt.hop), token.clone());
                self.ex.spawn(me.attempt(attempt, listing, token));
            }
            Command::Withdraw { id, hop } => {
                if let Some(token) = self.under_way.borrow().get(&(id, hop)) {
                    token.cancel();
                }
            }
            Command::Probe(engine) => self.ex.spawn(async move {
                let report = me.links.probe(engine).await;
                tracing::debug!(engine = engine.0, ?report, "probed");
                me.with_core(|core, _| core.probed(engine, report));
            }),
            Command::Wake(id) => self.rounds.wake(id),
            Command::Settled {
                id,
                class,
                how,
                after,
                attempts,
            } => {
                tracing::debug!(
                    target: TRACE_TARGET,
                    id,
                    class,
                    how = how.word(),
                    why = how.why(),
                    after,
                    attempts,
                    "settled"
                );
                // Danger: its client has its answer, or has left. What has not begun for it must not begin.
                self.under_way
                    .borrow()
                    .range((id, 0)..=(id, u32::MAX))
                    .for_each(|(_, token)| token.abandon());
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
