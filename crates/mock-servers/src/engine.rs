//! Owns a stand-in engine's sockets: the statement API as an engine speaks it, its state and status, its
//! announcement. What work does is [`model`](crate::model)'s; how it fails is [`fault`](crate::fault)'s.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_io::Timer;
use event_listener::Event as Bell;
use futures_lite::future;
use hoptiller_audit::{Record, Recorder, SentVersions, unix_micros};
use hoptiller_http::client::Connection;
use hoptiller_http::server::{Config, Handler, Reply};
use hoptiller_http::{Limits, Method, Request, Response, Spawner};
use hoptiller_statement::discovery::{
    ANNOUNCEMENT_PATH, AnnouncedService, Announcement, ENGINE_SERVICE_TYPE, NodeStatus,
};
use hoptiller_statement::{
    ErrorName, ErrorType, QueryError, QueryResults, STATEMENT_PATH, State, Stats, client, extra,
};
use serde_json::value::{RawValue, to_raw_value};

use crate::Running;
use crate::fault::Faults;
use crate::lease::Numbers;
use crate::ledger::Ledger;
use crate::model::{Admission, Course, Model, Spec, Stands};
use crate::shape::{self, Shape};

/// What a stand-in engine is.
#[derive(Clone)]
pub struct EngineConfig {
    /// Its name; kept over restarts.
    pub node: String,
    /// The installation.
    pub environment: String,
    /// Its machine kind.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where it announces itself.
    pub discovery: Option<SocketAddr>,
    /// How it works.
    pub spec: Spec,
    /// It starts cold.
    pub cold: bool,
    /// It tells progress, work and who stands behind whom in answers to polls.
    pub notes: bool,
    /// It lets statements be ended and paused.
    pub ends: bool,
    /// It refuses what is sent under versions of the fleet's rules that are over by what it has seen.
    pub fences: bool,
    /// Its effects.
    pub ledger: Ledger,
    /// What passes on its sockets.
    pub recorder: Recorder,
    /// Counts how often it was asked since when it runs, or whether it drains.
    pub asked: Arc<AtomicU64>,
    /// How it fails; may change while it runs.
    pub faults: Arc<Mutex<Faults>>,
}

impl EngineConfig {
    /// A warm engine that records and posts into memory.
    pub fn new(node: &str, kind: &str, zone: &str) -> EngineConfig {
        EngineConfig {
            node: node.into(),
            environment: "lettings".into(),
            kind: kind.into(),
            zone: zone.into(),
            listen: ([127, 0, 0, 1], 0).into(),
            discovery: None,
            spec: Spec::default(),
            cold: false,
            notes: false,
            ends: false,
            fences: false,
            ledger: Ledger::default(),
            recorder: Recorder::default(),
            asked: Arc::default(),
            faults: Arc::default(),
        }
    }

    /// Starts it on a thread of its own.
    pub fn start(&self) -> io::Result<Running> {
        let config = self.clone();
        Running::new(&self.node, move |spawner| start(config, spawner))
    }

    /// Sets its faults.
    pub fn fail(&self, faults: Faults) {
        if let Ok(mut f) = self.faults.lock() {
            *f = faults;
        }
    }
}

/// Longest wait of a poll for news.
const LONG_POLL: Duration = Duration::from_secs(1);
/// Time between announcements.
const ANNOUNCE: Duration = Duration::from_millis(300);
/// Sessions at most; the oldest that is over goes first.
const SESSIONS: usize = 20_000;

struct Session {
    trace: String,
    shape: Shape,
    /// What its router calls it, and its class.
    name: String,
    class: String,
    done: bool,
    failed: bool,
    /// It was ended on demand: why.
    killed: Option<String>,
    faults: Faults,
    bell: Rc<Bell>,
}

struct Inner {
    config: EngineConfig,
    started: Instant,
    /// Tells this process from the one before; its URIs do not.
    process: u64,
    model: Model,
    sessions: BTreeMap<u64, Session>,
    next: u64,
    draining: bool,
    /// The newest version of the fleet's rules that was in force for something sent here.
    newest: u64,
    leases: Numbers,
}

/// An engine's clock starts here, so that a warm one has a past.
const PAST: u64 = 3_600_000_000;

type Engine = Rc<(RefCell<Inner>, Bell)>;

fn start(config: EngineConfig, spawner: Spawner) -> io::Result<SocketAddr> {
    let listener = hoptiller_http::server::bind(config.listen)?;
    let addr = listener.get_ref().local_addr()?;
    config.recorder.write(Record::EngineStarted {
        at: unix_micros(),
        engine: config.node.clone(),
        cold: config.cold,
    });
    let model = Model::new(config.spec.clone(), PAST, config.cold);
    let inner = Inner {
        started: Instant::now(),
        process: unix_micros(),
        model,
        sessions: BTreeMap::new(),
        next: 0,
        draining: false,
        newest: 0,
        leases: Numbers::default(),
        config,
    };
    let engine: Engine = Rc::new((RefCell::new(inner), Bell::new()));
    spawner.spawn(work(engine.clone()));
    spawner.spawn(announce(engine.clone(), addr));
    let handler: Handler = Rc::new(move |request| {
        let engine = engine.clone();
        Box::pin(async move { engine_reply(&engine, request, addr).await })
    });
    let config = Config {
        limits: Limits {
            max_body_bytes: 8 << 20,
            ..Limits::default()
        },
        ..Config::default()
    };
    let own = spawner.clone();
    spawner.spawn(async move {
        hoptiller_http::server::serve(listener, config, handler, own).await;
    });
    Ok(addr)
}

impl Inner {
    fn now(&self) -> u64 {
        PAST + self.started.elapsed().as_micros() as u64
    }

    /// Moves the model on, and settles what has ended.
    fn advance(&mut self) {
        let now = self.now();
        let ended = self.model.advance(now);
        let slow = self
            .config
            .faults
            .lock()
            .ok()
            .and_then(|f| f.slow)
            .filter(|s| s.is_finite() && *s > 0.0);
        self.model
            .set_speed(self.config.spec.speed / slow.unwrap_or(1.0));
        for id in ended {
            let Some(s) = self.sessions.get_mut(&id) else {
                continue;
            };
            if s.killed.is_some() {
                continue;
            }
            s.done = true;
            let (engine, trace) = (self.config.node.clone(), s.trace.clone());
            if s.shape.posts && !s.shape.wrong && self.config.ledger.post(&trace).is_ok() {
                self.config.recorder.write(Record::EffectWritten {
                    at: unix_micros(),
                    engine: engine.clone(),
                    trace: trace.clone(),
                });
            }
            let work = s.shape.job.work as u64;
            self.config.recorder.write(Record::Done {
                at: unix_micros(),
                engine,
                trace,
                work,
            });
            s.bell.notify(usize::MAX);
        }
    }

    fn load(&self) -> String {
        let load = self.model.load();
        extra::format_numbers(&[
            ("in_flight", load.in_flight as f64),
            ("cpu", load.cpu),
            ("memory", load.memory),
        ])
    }

    fn trim(&mut self) {
        while self.sessions.len() >= SESSIONS {
            let Some(id) = self
                .sessions
                .iter()
                .find(|(_, s)| s.done)
                .map(|(id, _)| *id)
            else {
                break;
            };
            self.sessions.remove(&id);
        }
    }
}

/// Moves the model on for ever.
async fn work(engine: Engine) {
    loop {
        let news = engine.1.listen();
        let next = {
            let mut inner = engine.0.borrow_mut();
            inner.advance();
            inner
                .model
                .next()
                .map(|at| Duration::from_micros(at.saturating_sub(inner.now())))
        };
        future::or(news, async {
            match next {
                Some(wait) => Timer::after(wait).await,
                None => future::pending().await,
            };
        })
        .await;
    }
}

async fn announce(engine: Engine, addr: SocketAddr) {
    let (discovery, announcement) = {
        let inner = engine.0.borrow();
        let c = &inner.config;
        let Some(discovery) = c.discovery else { return };
        let properties = [
            ("http", format!("http://{addr}")),
            ("kind", c.kind.clone()),
            ("node_version", "stand-in".into()),
            ("coordinator", "false".into()),
        ];
        let service = AnnouncedService {
            id: format!(
                "{:032x}",
                u128::from(unix_micros()) << 16 | u128::from(addr.port())
            ),
            kind: ENGINE_SERVICE_TYPE.into(),
            properties: properties.map(|(k, v)| (k.to_owned(), v)).into(),
        };
        let announcement = Announcement {
            environment: c.environment.clone(),
            node_id: c.node.clone(),
            pool: "general".into(),
            location: format!("/{}/{}", c.zone, c.node),
            services: vec![service],
        };
        (discovery, announcement)
    };
    let mut request = Request::new(
        Method::Put,
        format!("{ANNOUNCEMENT_PATH}{}", announcement.node_id),
    );
    request.body = serde_json::to_vec(&announcement).unwrap_or_default();
    let request = request
        .with_header("Content-Type", "application/json")
        .with_header("Connection", "close");
    loop {
        if engine.0.borrow().model.has_fallen() {
            return;
        }
        if let Ok(mut c) = Connection::open(discovery, ANNOUNCE, Limits::default()).await {
            let _ = c.exchange(&request, ANNOUNCE).await;
        }
        Timer::after(ANNOUNCE).await;
    }
}

async fn engine_reply(engine: &Engine, request: Request, addr: SocketAddr) -> Reply {
    if engine.0.borrow().model.has_fallen() {
        return Reply::Close;
    }
    if request.headers.get(extra::LEASE).is_some() {
        let mut inner = engine.0.borrow_mut();
        let (name, fences) = (inner.config.node.clone(), inner.config.fences);
        let recorder = inner.config.recorder.clone();
        if let Some(over) = inner.leases.look(&request, &name, fences, &recorder) {
            return over.into();
        }
    }
    let path = request.path().to_owned();
    if path == STATEMENT_PATH && request.method == Method::Post {
        return post(engine, &request, addr);
    }
    if let Some(rest) = path.strip_prefix("/v1/statement/executing/") {
        let mut parts = rest.split('/').map(str::parse::<u64>);
        let (Some(Ok(id)), Some(Ok(page)), None) = (parts.next(), parts.next(), parts.next())
        else {
            return Response::text(404, "no such statement").into();
        };
        return match request.method {
            Method::Delete => {
                end(engine, id);
                Response::new(204).into()
            }
            _ => poll(engine, id, page, addr).await,
        };
    }
    if let Some(rest) = path.strip_prefix("/v1/query/") {
        if rest.ends_with("/killed") {
            let id = rest
                .strip_suffix("/killed")
                .and_then(|q| q.rsplit_once('_'))
                .and_then(|q| q.1.parse().ok());
            wait_if_told(engine, id).await;
        }
        return control(engine, &request, rest);
    }
    let router = request.headers.get(extra::ROUTER).map(str::to_owned);
    let mut inner = engine.0.borrow_mut();
    if path.starts_with("/v1/info") {
        inner.config.asked.fetch_add(1, Ordering::Relaxed);
    }
    match (path.as_str(), &request.method) {
        ("/v1/info", Method::Get) => {
            let uptime = inner.model.uptime(inner.now()) as f64 / 1e6;
            let environment = &inner.config.environment;
            let info = serde_json::json!({
                "nodeVersion": { "version": "stand-in" }, "environment": environment, "coordinator": false,
                "starting": false, "uptime": format!("{uptime:.3}s"),
            });
            Response::json(200, info.to_string()).into()
        }
        ("/v1/info/state", Method::Get) => {
            if let (true, Some(router)) = (inner.draining, router) {
                let engine = inner.config.node.clone();
                inner.config.recorder.write(Record::DrainNotified {
                    at: unix_micros(),
                    engine,
                    router,
                });
            }
            Response::json(
                200,
                if inner.draining {
                    "\"SHUTTING_DOWN\""
                } else {
                    "\"ACTIVE\""
                },
            )
            .into()
        }
        ("/v1/info/state", Method::Put) if request.body == b"\"SHUTTING_DOWN\"" => {
            inner.draining = true;
            Response::new(200).into()
        }
        ("/v1/status", Method::Get) => {
            inner.advance();
            let load = inner.model.load();
            let memory = (inner.config.spec.memory * 1e6) as u64;
            let status = NodeStatus {
                node_id: inner.config.node.clone(),
                processors: inner.config.spec.cores as u32,
                process_cpu_load: load.cpu,
                heap_used: (load.memory * memory as f64) as u64,
                heap_available: memory,
            };
            let body = serde_json::to_vec(&status).unwrap_or_default();
            Response::json(200, body)
                .with_header(extra::LOAD, &inner.load())
                .into()
        }
        ("/v1/standin/faults", Method::Put) => {
            match serde_json::from_slice::<Faults>(&request.body) {
                Ok(faults) => {
                    inner.config.fail(faults);
                    Response::new(204).into()
                }
                Err(e) => Response::text(400, &format!("faults: {e}")).into(),
            }
        }
        _ => Response::text(404, "nothing here").into(),
    }
}

/// Takes a statement.
fn post(engine: &Engine, request: &Request, addr: SocketAddr) -> Reply {
    let mut inner = engine.0.borrow_mut();
    inner.advance();
    let header = |name| request.headers.get(name).unwrap_or_default().to_owned();
    let (class, router, statement) = (
        header(extra::CLASS),
        header(extra::ROUTER),
        header(extra::STATEMENT_ID),
    );
    let trace = match header(client::names::TRACE_TOKEN) {
        trace if trace.is_empty() => statement,
        trace => trace,
    };
    let body_text = String::from_utf8_lossy(&request.body).into_owned();
    let terms = header(extra::ATTEMPT_OPTIONS);
    let hop = extra::find_number(&terms, "hop").unwrap_or(0.0) as u32;
    let (node, kind) = (inner.config.node.clone(), inner.config.kind.clone());
    let versions =
        extra::ConfigVersions::parse(&header(extra::CONFIG_VERSIONS)).map(|v| SentVersions {
            in_force: v.in_force,
            enforced: v.enforced,
            in_doubt: v.in_doubt,
        });
    if let Some(SentVersions {
        in_force,
        enforced: heeds,
        ..
    }) = versions.filter(|_| inner.config.fences)
    {
        if heeds < inner.newest {
            inner.config.recorder.write(Record::Fenced {
                at: unix_micros(),
                engine: node,
                router,
                enforced: heeds,
            });
            return Response::text(503, "that version of the rules is over")
                .with_header(extra::LOAD, &inner.load())
                .into();
        }
        inner.newest = inner.newest.max(in_force);
    }
    inner.config.recorder.write(Record::Sent {
        at: unix_micros(),
        engine: node.clone(),
        kind,
        router,
        trace: trace.clone(),
        class: class.clone(),
        attempt: hop,
        versions,
    });
    let hit = inner
        .config
        .faults
        .lock()
        .ok()
        .and_then(|mut f| f.hits(&class).then(|| f.clone()));
    let faults = hit.unwrap_or_default();
    let over = Record::Done {
        at: unix_micros(),
        engine: node.clone(),
        trace: trace.clone(),
        work: 0,
    };
    if faults.swallow {
        inner.config.recorder.write(over);
        return Reply::Close;
    }
    let seed = trace
        .bytes()
        .fold(7u64, |h, b| h.wrapping_mul(31).wrapping_add(u64::from(b)));
    let mut shape = shape::of(&class, &body_text, seed);
    shape.job.grant = extra::find_number(&terms, "grant_mb");
    shape.job.priority =
        extra::find_number(&terms, "priority").map_or(1, |p| p.clamp(0.0, 3.0) as u8);
    let now = inner.now();
    let id = inner.next;
    inner.next += 1;
    let admission = if faults.full {
        Admission::Full
    } else {
        inner.model.admit(now, id, shape.job.clone())
    };
    match admission {
        Admission::Full => {
            inner.config.recorder.write(over);
            return Response::text(503, "full")
                .with_header(extra::LOAD, &inner.load())
                .into();
        }
        Admission::Fell => {
            inner.config.recorder.write(Record::EngineCrashed {
                at: unix_micros(),
                engine: node,
            });
            inner.sessions.clear();
            return Reply::Close;
        }
        Admission::Taken => {}
    }
    inner.trim();
    let session = Session {
        trace,
        name: header(extra::STATEMENT_ID),
        class,
        killed: None,
        failed: faults.fail || shape.wrong,
        shape,
        done: false,
        faults: faults.clone(),
        bell: Rc::new(Bell::new()),
    };
    inner.sessions.insert(id, session);
    engine.1.notify(1);
    if faults.hang {
        return Reply::Hang;
    }
    if faults.lose {
        return Reply::Close;
    }
    if faults.garbage {
        let junk = Response::text(200, "x");
        return Reply::Truncate {
            response: Response {
                body: b"\x00\x01not json".to_vec(),
                ..junk
            },
            max_bytes: usize::MAX,
        };
    }
    let load = inner.load();
    results(
        (inner.process, id),
        addr,
        Some(0),
        Stats::from_state(State::Queued),
        None,
        None,
    )
    .with_header(extra::LOAD, &load)
    .into()
}

fn end(engine: &Engine, id: u64) {
    let mut inner = engine.0.borrow_mut();
    let now = inner.now();
    inner.advance();
    if inner.model.cancel(now, id)
        && let Some(s) = inner.sessions.get(&id)
    {
        let (engine, trace) = (inner.config.node.clone(), s.trace.clone());
        inner.config.recorder.write(Record::Done {
            at: unix_micros(),
            engine,
            trace,
            work: 0,
        });
    }
    if inner.sessions.get(&id).is_some_and(|s| s.done) || inner.config.spec.cancels {
        inner.sessions.remove(&id);
    }
    engine.1.notify(1);
}

async fn poll(engine: &Engine, id: u64, page: u64, addr: SocketAddr) -> Reply {
    let (bell, done, mute) = {
        let mut inner = engine.0.borrow_mut();
        inner.advance();
        match inner.sessions.get(&id) {
            None => return Response::text(410, "no such statement any more").into(),
            Some(s) => (s.bell.clone(), s.done || s.killed.is_some(), s.faults.mute),
        }
    };
    if mute {
        return Reply::Hang;
    }
    if !done {
        let news = bell.listen();
        if !engine
            .0
            .borrow()
            .sessions
            .get(&id)
            .is_some_and(|s| s.done || s.killed.is_some())
        {
            future::or(news, async {
                Timer::after(LONG_POLL).await;
            })
            .await;
        }
    }
    let mut inner = engine.0.borrow_mut();
    inner.advance();
    let load = inner.load();
    let Some(s) = inner.sessions.get(&id) else {
        return Response::text(410, "no such statement any more").into();
    };
    if let Some(why) = &s.killed {
        let (name, message) = (
            ErrorName::ADMINISTRATIVELY_KILLED.to_owned(),
            format!("Query killed. Message: {why}"),
        );
        let error = QueryError::new(name, 32, ErrorType::UserError, message);
        return results(
            (inner.process, id),
            addr,
            None,
            Stats::from_state(State::Failed),
            None,
            Some(error),
        )
        .into();
    }
    if !s.done {
        let course = inner.model.course(id).filter(|_| inner.config.notes);
        let stats = course.map_or_else(|| Stats::from_state(State::Running), |c| stats_of(s, &c));
        let mut answer = results((inner.process, id), addr, Some(page), stats, None, None)
            .with_header(extra::LOAD, &load);
        if let Some(course) = course {
            let note = match course.stands {
                Some(Stands::Memory) => ("lacks", s.shape.job.memory),
                Some(_) => ("waits", 1.0),
                None => ("done", course.done),
            };
            answer
                .headers
                .push(extra::PROGRESS, &extra::format_numbers(&[note]));
            if let Some(Stands::Behind(holder)) = course.stands
                && let Some(h) = inner.sessions.get(&holder)
            {
                let age = inner.model.course(holder).map_or(0, |c| c.ran / 1000);
                answer.headers.push(
                    extra::BLOCKED_BY,
                    &format!("{}; class={}; age_ms={age}", h.name, h.class),
                );
            }
        }
        return answer.into();
    }
    if s.failed {
        let (name, code, kind, message) = match s.shape.wrong {
            true => (
                "SYNTAX_ERROR",
                1,
                ErrorType::UserError,
                "line 1:8: mismatched input",
            ),
            false => (
                "GENERIC_INTERNAL_ERROR",
                0x0001_0000,
                ErrorType::InternalError,
                "the stand-in fails on purpose",
            ),
        };
        let error = QueryError::new(name.into(), code, kind, message.into());
        return results(
            (inner.process, id),
            addr,
            None,
            Stats::from_state(State::Failed),
            None,
            Some(error),
        )
        .into();
    }
    if page >= s.shape.pages {
        return Response::text(404, "no such page").into();
    }
    let last = page + 1 == s.shape.pages;
    let next = (!last).then_some(page + 1);
    let rows = rows_of(&inner.config.node, s, page);
    let cost = extra::format_numbers(&[("work_ms", s.shape.job.work / 1000.0)]);
    let state = if last {
        State::Finished
    } else {
        State::Running
    };
    let answer = results(
        (inner.process, id),
        addr,
        next,
        Stats::from_state(state),
        Some(rows),
        None,
    )
    .with_header(extra::LOAD, &load)
    .with_header(extra::COST, &cost);
    if s.faults.lose_page.is_some_and(|from| page >= from) {
        return Reply::Close;
    }
    match s.faults.cut_page {
        Some(max_bytes) => Reply::Truncate {
            response: answer,
            max_bytes,
        },
        None => answer.into(),
    }
}

/// Figures of a running statement, as the specification has them.
fn stats_of(s: &Session, c: &Course) -> Stats {
    Stats {
        cpu_time_millis: (c.worked / 1000.0) as u64,
        processed_rows: (s.shape.reads as f64 * c.done) as u64,
        peak_memory_bytes: (c.memory * 1e6) as u64,
        spilled_bytes: if c.spills {
            ((s.shape.job.memory - c.memory) * 1e6) as u64
        } else {
            0
        },
        progress_percentage: Some(c.done * 100.0),
        ..Stats::from_state(State::Running)
    }
}

/// With [`Faults::finish_first`], waits for a statement's own end.
async fn wait_if_told(engine: &Engine, id: Option<u64>) {
    loop {
        let news = {
            let inner = engine.0.borrow();
            let session = id.and_then(|id| inner.sessions.get(&id));
            session
                .filter(|s| s.faults.finish_first && !s.done)
                .map(|s| s.bell.listen())
        };
        match news {
            Some(news) => news.await,
            None => return,
        }
    }
}

/// Ending, pausing, and what became of a statement. Ending is the specification's; pausing is not.
fn control(engine: &Engine, request: &Request, rest: &str) -> Reply {
    let mut inner = engine.0.borrow_mut();
    inner.advance();
    let now = inner.now();
    let (query, what) = rest.split_once('/').unwrap_or((rest, ""));
    let id = query
        .rsplit_once('_')
        .and_then(|(_, id)| id.parse::<u64>().ok());
    let id = id.filter(|id| query == format!("standin_{:x}_{id}", inner.process));
    let Some((id, s)) = id.and_then(|id| Some((id, inner.sessions.get(&id)?))) else {
        return Response::text(410, "no such statement").into();
    };
    let over = s.done || s.killed.is_some();
    match (&request.method, what) {
        (Method::Get, "") => {
            let state = if s.killed.is_some() {
                "FAILED"
            } else {
                if s.done { "FINISHED" } else { "RUNNING" }
            };
            let body = serde_json::json!({ "queryId": query, "state": state });
            let answer = Response::json(200, body.to_string());
            match (s.faults.no_proof, s.killed.is_some(), s.done) {
                (false, true, _) => answer.with_header(extra::EFFECTS, "rolled-back").into(),
                (false, false, true) => answer.with_header(extra::EFFECTS, "committed").into(),
                _ => answer.into(),
            }
        }
        (Method::Put, "killed" | "paused") if !inner.config.ends => {
            Response::text(403, "this engine ends and pauses nothing").into()
        }
        (Method::Put, "killed" | "paused") if over => Response::text(409, "it is over").into(),
        (Method::Put, "killed") => {
            let why = String::from_utf8_lossy(&request.body).into_owned();
            inner.model.kill(now, id);
            let node = inner.config.node.clone();
            if let Some(s) = inner.sessions.get_mut(&id) {
                s.killed = Some(why);
                s.bell.notify(usize::MAX);
                let trace = s.trace.clone();
                inner.config.recorder.write(Record::Done {
                    at: unix_micros(),
                    engine: node,
                    trace,
                    work: 0,
                });
            }
            engine.1.notify(1);
            Response::new(202).into()
        }
        (Method::Put, "paused") => {
            inner.model.pause(now, id, request.body == b"true");
            engine.1.notify(1);
            Response::new(202).into()
        }
        _ => Response::text(405, "not here").into(),
    }
}

/// Columns and rows of a page: the same whenever it is asked for.
fn rows_of(node: &str, s: &Session, page: u64) -> (Box<RawValue>, Box<RawValue>, bool) {
    // A varchar without a bound is one of the longest length.
    let length = serde_json::json!([{ "kind": "LONG", "value": 2_147_483_647u32 }]);
    let signature = |kind: &str| {
        let arguments = if kind == "varchar" {
            length.clone()
        } else {
            serde_json::json!([])
        };
        serde_json::json!({ "rawType": kind, "arguments": arguments })
    };
    let column = |name: &str, kind: &str| serde_json::json!({ "name": name, "type": kind, "typeSignature": signature(kind) });
    let raw = |value: &serde_json::Value| to_raw_value(value).unwrap_or_default();
    if s.shape.posts {
        let columns = serde_json::json!([column("rows", "bigint")]);
        return (
            raw(&columns),
            raw(&serde_json::json!([[s.shape.rows]])),
            true,
        );
    }
    let columns = serde_json::json!([
        column("id", "bigint"),
        column("engine", "varchar"),
        column("note", "varchar")
    ]);
    let share = s.shape.rows / s.shape.pages;
    let (from, to) = (
        page * share,
        if page + 1 == s.shape.pages {
            s.shape.rows
        } else {
            (page + 1) * share
        },
    );
    let note = "x".repeat(s.shape.width);
    let rows: Vec<_> = (from..to)
        .map(|n| serde_json::json!([n, node, note]))
        .collect();
    (raw(&columns), raw(&serde_json::Value::Array(rows)), false)
}

fn results(
    (process, id): (u64, u64),
    addr: SocketAddr,
    next: Option<u64>,
    stats: Stats,
    rows: Option<(Box<RawValue>, Box<RawValue>, bool)>,
    error: Option<QueryError>,
) -> Response {
    let changed = rows.as_ref().is_some_and(|r| r.2);
    let (columns, data) = rows.map_or((None, None), |(c, d, _)| (Some(c), Some(d)));
    let results = QueryResults {
        id: format!("standin_{process:x}_{id}"),
        info_uri: format!("http://{addr}/v1/query/{id}"),
        next_uri: next.map(|page| format!("http://{addr}/v1/statement/executing/{id}/{page}")),
        columns,
        data,
        stats,
        error,
        warnings: Vec::new(),
        update_type: changed.then(|| "INSERT".into()),
        update_count: changed.then_some(1),
    };
    Response::json(200, serde_json::to_vec(&results).unwrap_or_default())
}
