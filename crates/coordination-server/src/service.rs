//! Owns a keeper's sockets: calls in, messages out to the others, ticks. All that is decided is [`Core`]'s.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use async_io::Timer;
use event_listener::Event as Bell;
use futures_lite::future;
use hoptiller_coordination::{Command, Holder, Proposal};
use hoptiller_coordination_client::{Clock, Secret, wire};
use hoptiller_http::server::{self, Handler, Reply};
use hoptiller_http::{Limits, Method, Request, Response, Spawner};
use serde::de::DeserializeOwned;

use crate::config::Config;
use crate::core::{Core, Ticket, Told as Outcome};
use crate::disk::{Disk, DiskError, PeerDisk, Shared};
use crate::links::Link;
use crate::log::Log;
use crate::members::{Members, Replace};
use crate::peers::{Batch, Incoming, Install, Join, NotTaken, Take, Told};
use crate::reply;

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(10);
/// How long a call waits for more than half of the keepers.
const DECIDE: Duration = Duration::from_secs(2);
/// How long a call may wait for another version.
const WATCH: Duration = Duration::from_secs(30);
/// Calls that wait for an answer at once.
const MOST_WAITING: usize = 8192;

/// Why a keeper can't start.
#[derive(Debug)]
pub enum StartError {
    /// Its disk.
    Disk(DiskError),
    /// Its log.
    Log(String),
    /// Its address.
    Listen(SocketAddr, io::Error),
    /// The others don't take it in.
    Join(String),
}

impl std::fmt::Display for StartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StartError::Disk(e) => write!(f, "{e}"),
            StartError::Log(e) => write!(f, "the log can't be opened: {e}"),
            StartError::Listen(at, e) => write!(f, "can't listen on {at}: {e}"),
            StartError::Join(why) => write!(f, "the other keepers don't take it in: {why}"),
        }
    }
}

impl std::error::Error for StartError {}

/// Why a keeper has ended by itself.
#[derive(Debug)]
pub enum Ended {
    /// Its disk failed: it may not go on.
    Disk(DiskError),
    /// The others no longer take it for the keeper that it was.
    Disowned(String),
    /// Its log.
    Log(String),
}

impl std::fmt::Display for Ended {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Ended::Disk(e) => write!(f, "{e}"),
            Ended::Disowned(why) => write!(f, "{why}"),
            Ended::Log(why) => write!(f, "the log can't go on: {why}"),
        }
    }
}

/// A running keeper.
pub struct Keeper {
    pub(crate) config: Config,
    pub(crate) secret: Secret,
    pub(crate) clock: Clock,
    pub(crate) life: u64,
    pub(crate) disk: String,
    pub(crate) told: RefCell<Told>,
    pub(crate) core: RefCell<Core>,
    pub(crate) shared: Shared,
    incoming: RefCell<Incoming>,
    waiting: RefCell<BTreeMap<Ticket, Sender<Outcome>>>,
    links: RefCell<BTreeMap<u64, Rc<Link>>>,
    numbers: Cell<wire::VersionNumbers>,
    /// Rung when there is another version, or another is in force.
    changed: Bell,
    ended: RefCell<Option<Ended>>,
    over: Bell,
}

impl Keeper {
    /// The disk of a configuration. `fresh` names one that is made anew.
    pub fn disk(config: &Config, fresh: &str) -> Result<Disk, StartError> {
        let opened = Disk::open(
            &config.dir,
            &config.fleet,
            config.keeper,
            fresh,
            config.most_bytes,
        );
        opened.map_err(StartError::Disk)
    }

    /// Opens the log on its disk.
    pub fn open(
        config: Config,
        secret: Secret,
        clock: Clock,
        disk: Disk,
    ) -> Result<Rc<Keeper>, StartError> {
        let me = config.keeper;
        let (shared, life, name) = (disk.shared(), disk.life(), disk.identity().disk.clone());
        let first = Members::first(config.keepers.clone());
        let log = Log::open(me, first, disk).map_err(StartError::Log)?;
        let bounds = config.bounds();
        let core = Core::new(me, life, bounds, log, clock.now());
        Ok(Rc::new(Keeper {
            links: RefCell::default(),
            told: RefCell::new(told(&config, core.members())),
            numbers: Cell::new(reply::numbers(core.fleet())),
            core: RefCell::new(core),
            config,
            secret,
            clock,
            life,
            disk: name,
            shared,
            incoming: RefCell::default(),
            waiting: RefCell::default(),
            changed: Bell::new(),
            ended: RefCell::default(),
            over: Bell::new(),
        }))
    }

    /// Listens, and starts everything on the executor. Returns the address.
    pub fn start(self: &Rc<Self>, ex: &Spawner) -> Result<SocketAddr, StartError> {
        let at = self.config.address();
        let listening =
            server::bind(at).and_then(|l| l.get_ref().local_addr().map(|addr| (l, addr)));
        let (listener, addr) = listening.map_err(|e| StartError::Listen(at, e))?;
        let me = self.clone();
        let handler: Handler = Rc::new(move |request| {
            let me = me.clone();
            Box::pin(async move { Reply::Send(me.answer(request).await) })
        });
        let limits = Limits {
            body: wire::MAX_BODY_BYTES,
            ..Limits::default()
        };
        let config = server::Config {
            limits,
            connections: 4096,
            watch: true,
            ..server::Config::default()
        };
        let own = ex.clone();
        ex.spawn(async move {
            let _ = server::serve(listener, config, handler, own).await;
        });
        let (me, own) = (self.clone(), ex.clone());
        ex.spawn(async move {
            loop {
                me.follow_members(&own);
                Timer::after(TICK).await;
                me.drive(|core, now| core.tick(now));
            }
        });
        Ok(addr)
    }

    /// A way to each other keeper, and to nobody else.
    fn follow_members(self: &Rc<Self>, ex: &Spawner) {
        let core = self.core.borrow();
        let others = || {
            core.members()
                .at
                .iter()
                .filter(|(n, _)| **n != self.config.keeper)
        };
        let mut links = self.links.borrow_mut();
        links.retain(|n, link| {
            let stays = others().any(|(other, _)| other == n);
            if !stays {
                link.end();
            }
            stays
        });
        for (n, agreed) in others() {
            if !links.contains_key(n) {
                // Its own file says best how it reaches another.
                let link = Link::new(*self.config.keepers.get(n).unwrap_or(agreed));
                links.insert(*n, link.clone());
                ex.spawn(self.clone().send_to(*n, link));
            }
        }
    }

    /// Returns when the keeper may not go on.
    pub async fn over(&self) -> Ended {
        loop {
            let over = self.over.listen();
            if let Some(ended) = self.ended.borrow_mut().take() {
                return ended;
            }
            over.await;
        }
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.ended.borrow().is_some()
    }

    pub(crate) fn end(&self, why: Ended) {
        self.ended.borrow_mut().get_or_insert(why);
        self.over.notify(usize::MAX);
    }

    /// Lets the core do something, and carries out what comes of it. Nothing leaves after a failure of the disk.
    pub(crate) fn drive<T>(&self, act: impl FnOnce(&mut Core, u64) -> T) -> Option<T> {
        if self.has_ended() {
            return None;
        }
        let mut core = self.core.borrow_mut();
        let out = act(&mut core, self.clock.now());
        let (answers, messages) = (core.take_answers(), core.take_messages());
        if let Some(e) = self.shared.failed.borrow_mut().take() {
            self.end(Ended::Disk(e));
            return None;
        }
        if let Some(why) = core.broken() {
            self.end(Ended::Log(why.to_owned()));
            return None;
        }
        let mut waiting = self.waiting.borrow_mut();
        for answered in answers {
            if let Some(tell) = waiting.remove(&answered.ticket) {
                let _ = tell.try_send(answered.answer);
            }
        }
        if core.members().number != self.told.borrow().list {
            *self.told.borrow_mut() = told(&self.config, core.members());
            tracing::info!(list = core.members().number, keepers = ?core.members().all(), "keepers");
            // Danger: what comes later of the old list's messages is void, and so is what was to be sent of them.
            self.links.borrow().values().for_each(|link| link.clear());
        }
        if core.is_replaced() {
            self.end(Ended::Disowned(NotTaken::Replaced.to_string()));
            return None;
        }
        let links = self.links.borrow();
        for message in messages {
            if let Some(link) = links.get(&message.to()) {
                link.push(message);
            }
        }
        let numbers = reply::numbers(core.fleet());
        if self.numbers.replace(numbers) != numbers {
            tracing::info!(in_force = numbers.in_force, last = numbers.last, "versions");
            self.changed.notify(usize::MAX);
        }
        Some(out)
    }

    // ---- calls ----------------------------------------------------------------------------------

    async fn answer(&self, request: Request) -> Response {
        if self.secret.verify_request(&request).is_err() {
            return reply::problem(401, "the call is not signed with this fleet's secret");
        }
        if self.has_ended() {
            return reply::problem(503, "this keeper is ending");
        }
        let answer = self.routed(&request).await;
        self.secret.sign_response(&request, answer)
    }

    async fn routed(&self, request: &Request) -> Response {
        match (&request.method, request.path()) {
            (Method::Post, wire::MESSAGES) => match read::<Batch>(request) {
                Ok(batch) => self.batch(batch),
                Err(bad) => bad,
            },
            (Method::Post, wire::RENEW_LEASE) => match read::<wire::LeaseRenewalRequest>(request) {
                Ok(ask) => self.ask(ask).await,
                Err(bad) => bad,
            },
            (Method::Post, wire::RELEASE_LEASE) => match read::<Holder>(request) {
                Ok(holder) => self.act(Command::ReleaseLease(holder)).await,
                Err(bad) => bad,
            },
            (Method::Post, wire::CHECKPOINT) => match read::<wire::CheckpointRequest>(request) {
                Ok(n) => {
                    let wire::CheckpointRequest {
                        holder,
                        part,
                        fencing_token: number,
                        text,
                    } = n;
                    self.act(Command::RecordNote {
                        holder,
                        shard: part,
                        fencing_token: number,
                        text,
                    })
                    .await
                }
                Err(bad) => bad,
            },
            (Method::Get, wire::LEASES) => {
                reply::good(&reply::leases(&self.core.borrow(), self.clock.now()))
            }
            (Method::Post, wire::PROPOSE) => match read::<Proposal>(request) {
                Ok(put) => self.act(Command::Propose(Box::new(put))).await,
                Err(bad) => bad,
            },
            (Method::Post, wire::REPLACE) => match read::<Replace>(request) {
                Ok(replace) => self.decide(|core, now| core.replace(now, replace)).await,
                Err(bad) => bad,
            },
            (Method::Post, wire::STATE) => match read::<Join>(request) {
                Ok(join) => self.take_in(&join),
                Err(bad) => bad,
            },
            (Method::Post, wire::INSTALL) => match read::<Install>(request) {
                Ok(install) => self.install(install),
                Err(bad) => bad,
            },
            (Method::Post, wire::WATCH) => match read::<wire::WatchRequest>(request) {
                Ok(watch) => self.watch(watch).await,
                Err(bad) => bad,
            },
            (Method::Post, wire::SHOW) => match read::<wire::VersionRequest>(request) {
                Ok(which) => {
                    let core = self.core.borrow();
                    let fleet = core.fleet();
                    match fleet.version(which.number.unwrap_or(fleet.latest())) {
                        Some(version) => reply::good(version),
                        None => reply::problem(
                            404,
                            "there is no such version, or its text is no longer kept",
                        ),
                    }
                }
                Err(bad) => bad,
            },
            (Method::Post, wire::DIFF) => match read::<wire::DiffRequest>(request) {
                Ok(between) => match self
                    .core
                    .borrow()
                    .fleet()
                    .differences(between.from, between.to)
                {
                    Some(differences) => reply::good(&differences),
                    None => reply::problem(
                        404,
                        "one of the versions is not there, or its text is no longer kept",
                    ),
                },
                Err(bad) => bad,
            },
            (Method::Get, wire::HISTORY) => {
                let core = self.core.borrow();
                reply::good(&core.fleet().history().collect::<Vec<_>>())
            }
            (Method::Get, wire::STATUS) => {
                let now = self.clock.now();
                let links = self.links.borrow();
                let heard = links.iter().map(|(n, l)| wire::PeerStatus {
                    replica: *n,
                    heard_ms_ago: l.heard.get().map(|at| now.saturating_sub(at) / 1000),
                });
                let me = self.config.keeper;
                reply::good(&reply::status(
                    me,
                    &self.core.borrow(),
                    now,
                    heard.collect(),
                ))
            }
            _ => reply::problem(404, "no such call"),
        }
    }

    async fn ask(&self, ask: wire::LeaseRenewalRequest) -> Response {
        let bounds = self.config.bounds();
        if (ask.term, ask.drift) != (bounds.term, bounds.drift) {
            let what = format!(
                "permits last {} us here, drift {}: set the router alike",
                bounds.term, bounds.drift
            );
            return reply::problem(409, &what);
        }
        let named = |text: &str| !text.is_empty() && text.len() <= 128;
        if !named(&ask.holder.router) || !named(&ask.holder.incarnation) {
            return reply::problem(400, "names of 1 to 128 bytes are wanted");
        }
        let wire::LeaseRenewalRequest {
            holder,
            enforced_version: heeds,
            in_force,
            offer,
            ..
        } = ask;
        self.act(Command::RenewLease {
            holder,
            enforced: heeds,
            in_force,
            offer,
        })
        .await
    }

    async fn act(&self, act: Command) -> Response {
        self.decide(|core, _| core.call(act)).await
    }

    /// Has something go through the log, and answers with what it came to.
    async fn decide(&self, call: impl FnOnce(&mut Core, u64) -> Ticket) -> Response {
        if self.waiting.borrow().len() >= MOST_WAITING {
            return reply::problem(503, "too many calls wait already");
        }
        let (tell, told) = async_channel::bounded(1);
        let Some(ticket) = self.drive(call) else {
            return reply::problem(503, "this keeper is ending");
        };
        self.waiting.borrow_mut().insert(ticket, tell);
        let forget = Forget {
            keeper: self,
            ticket,
        };
        let answer = future::or(async { told.recv().await.ok() }, async {
            Timer::after(DECIDE).await;
            None
        })
        .await;
        drop(forget);
        match answer {
            Some(told) => reply::of_told(told),
            None => reply::problem(
                503,
                "no more than half of the keepers reach each other; it may still be done",
            ),
        }
    }

    async fn watch(&self, watch: wire::WatchRequest) -> Response {
        let waits = async {
            loop {
                let changed = self.changed.listen();
                let mut now = self.numbers.get();
                if !watch.watch_leases {
                    now.lease_table = watch.known.lease_table;
                }
                if now != watch.known {
                    return;
                }
                changed.await;
            }
        };
        future::or(waits, async {
            Timer::after(Duration::from_millis(watch.wait_ms).min(WATCH)).await;
        })
        .await;
        reply::good(&self.numbers.get())
    }

    // ---- other keepers --------------------------------------------------------------------------

    fn batch(&self, batch: Batch) -> Response {
        // Danger: of links that carry one way only, two keepers in turn take the lead from each other for ever, as one
        // hears what the other can't answer. Such a link is taken for broken both ways.
        if self
            .links
            .borrow()
            .get(&batch.from)
            .is_some_and(|l| l.broken.get())
        {
            return reply::problem(503, "this keeper does not reach that one");
        }
        let (told, mut disks) = (self.told.borrow(), self.shared.peers.borrow_mut());
        let taken = self.incoming.borrow_mut().take(&told, &mut disks, &batch);
        drop((told, disks));
        match taken {
            Ok(Take::Nothing) => reply::good(&()),
            Ok(take) => {
                let from = batch.from;
                self.drive(|core, now| {
                    if take == Take::AfterLoss {
                        core.reconnected(from);
                    }
                    core.messages(now, batch.messages);
                });
                reply::good(&())
            }
            Err(why) => {
                if !matches!(why, NotTaken::Lists { .. }) {
                    tracing::warn!(keeper = batch.from, %why, "a keeper's messages are not taken");
                }
                not_taken(&why)
            }
        }
    }

    /// A new keeper asks for the state.
    fn take_in(&self, join: &Join) -> Response {
        let core = self.core.borrow();
        if join.fleet != self.config.fleet {
            return reply::problem(409, &format!("this is fleet {:?}", self.config.fleet));
        }
        if core.members().gone.contains(&join.keeper) {
            return reply::problem(409, &NotTaken::Replaced.to_string());
        }
        if !core.members().at.contains_key(&join.keeper) {
            let what = format!(
                "keeper {} is none of list {}",
                join.keeper,
                core.members().number
            );
            return reply::problem(503, &what);
        }
        // Danger: one that was taken in before, and has lost its disk since, may have promised what it no longer knows.
        let mut disks = self.shared.peers.borrow_mut();
        let fresh = || PeerDisk {
            disk: join.disk.clone(),
            step: 0,
        };
        let known = disks.entry(join.keeper).or_insert_with(fresh);
        if known.disk != join.disk {
            return reply::problem(
                409,
                &NotTaken::OtherDisk {
                    known: known.disk.clone(),
                }
                .to_string(),
            );
        }
        reply::good(&core.state())
    }

    /// This keeper is behind by a list of keepers, and another brings it up.
    fn install(&self, install: Install) -> Response {
        if install.fleet != self.config.fleet || install.to != self.config.keeper {
            return not_taken(&NotTaken::Unlike(format!(
                "this is keeper {}",
                self.config.keeper
            )));
        }
        if !install.state.members.at.contains_key(&self.config.keeper) {
            return not_taken(&NotTaken::Unlike(
                "that list does not name this keeper".into(),
            ));
        }
        self.drive(|core, now| core.install(now, install.state));
        reply::good(&())
    }
}

/// A call that nobody waits for any more, however its task ends.
struct Forget<'a> {
    keeper: &'a Keeper,
    ticket: Ticket,
}

impl Drop for Forget<'_> {
    fn drop(&mut self) {
        if self
            .keeper
            .waiting
            .borrow_mut()
            .remove(&self.ticket)
            .is_some()
        {
            self.keeper.core.borrow_mut().forget(self.ticket);
        }
    }
}

/// What a keeper tells others of itself.
fn told(config: &Config, members: &Members) -> Told {
    Told {
        fleet: config.fleet.clone(),
        me: config.keeper,
        members: members.all(),
        list: members.number,
        gone: members.gone.clone(),
        bounds: config.bounds(),
    }
}

fn not_taken(why: &NotTaken) -> Response {
    match serde_json::to_vec(why) {
        Ok(body) => Response::json(409, body),
        Err(e) => reply::problem(500, &e.to_string()),
    }
}

fn read<T: DeserializeOwned>(request: &Request) -> Result<T, Response> {
    serde_json::from_slice(&request.body).map_err(|e| reply::problem(400, &e.to_string()))
}
