//! Owns the way to engines: connections kept open, attempts under way, probes. It carries out commands and
//! tells what it saw; it repeats no send and chooses nothing.

mod attempt;
mod pool;

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use async_io::Timer;
use hoptiller_http::{Limits, Method, Request, Response};
use hoptiller_policy::{EngineId, LoadReport, Micros, Progress};
use hoptiller_runaway::{ProgressReport, Proof};
use hoptiller_statement::discovery::NodeStatus;
use hoptiller_statement::extra;

use hoptiller_router_core::{
    Attempt, AttemptOutcome, EngineError, ResultPage, RouterIdentity, StatementId,
};
use pool::Pool;

/// Where what was seen goes.
pub trait Report {
    /// The clock of the core.
    fn now(&self) -> Micros;
    /// A page has come.
    fn page(&self, id: StatementId, hop: u32, page: ResultPage);
    /// The engine says that the statement is wrong.
    fn wrong(&self, id: StatementId, hop: u32, failure: EngineError);
    /// An attempt has ended without its result.
    fn ended(&self, id: StatementId, hop: u32, ended: AttemptOutcome);
    /// An attempt was ended at its engine on demand.
    fn killed(&self, id: StatementId, hop: u32, proof: Proof, why: String);
    /// What an engine tells of an attempt that runs.
    fn told(&self, id: StatementId, hop: u32, told: Told);
    /// Word on an attempt that runs.
    fn note(&self, id: StatementId, hop: u32, progress: Progress);
    /// A probe has ended.
    fn probed(&self, engine: EngineId, report: Option<LoadReport>);
    /// Asked at the last moment before a send: whether it may be done, and what goes with it to the engine.
    fn may_send(&self, _engine: EngineId, _class: usize) -> Result<Option<String>, String> {
        Ok(None)
    }
}

/// What an engine tells of an attempt; classes by name.
#[derive(Clone, Debug, Default)]
pub struct Told {
    /// What it tells; who holds it up has no class here.
    pub news: ProgressReport,
    /// The class of who holds it up.
    pub holder_class: Option<String>,
}

/// What an attempt under way is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Control {
    /// The next page may be fetched.
    Fetch,
    /// End it, and tell how it ended.
    Withdraw,
    /// End it; nothing need be told.
    Release,
}

/// What an engine is asked to do with an attempt.
#[derive(Clone, Debug)]
pub enum Order {
    /// End it, for this reason.
    End(String),
    /// Let it stand still, or go on.
    Pause(bool),
}

/// Times that an engine is asked, and the pause between.
const ORDER_TRIES: u32 = 5;
const ORDER_PAUSE: Duration = Duration::from_millis(200);

/// How engines are spoken to.
#[derive(Clone, Debug)]
pub struct Manner {
    /// This router's name.
    pub router: String,
    /// What statements are called towards engines.
    pub names: RouterIdentity,
    /// Time to connect.
    pub connect_within: Duration,
    /// Time for the answer to a poll.
    pub poll_within: Duration,
    /// Bytes of a page.
    pub page_bytes: u64,
}

/// All engines of a router.
pub struct Engines {
    manner: Manner,
    /// Classes' names, by number.
    classes: RefCell<Vec<String>>,
    pool: Pool,
    places: RefCell<HashMap<EngineId, (String, SocketAddr)>>,
    under_way: RefCell<HashMap<(StatementId, u32), UnderWay>>,
}

/// An attempt under way: where it is reached here, and at its engine.
struct UnderWay {
    control: Sender<Control>,
    engine: EngineId,
    /// The engine's own id of the statement, once known.
    query: Rc<RefCell<Option<String>>>,
}

impl Engines {
    /// No engine yet.
    pub fn new(manner: Manner, classes: Vec<String>) -> Engines {
        let limits = Limits {
            max_body_bytes: manner.page_bytes,
            max_head_bytes: 64 << 10,
            ..Limits::default()
        };
        Engines {
            pool: Pool::new(limits),
            classes: RefCell::new(classes),
            places: RefCell::default(),
            under_way: RefCell::default(),
            manner,
        }
    }

    /// Classes' names, by number, are these from now on.
    pub fn name_classes(&self, classes: Vec<String>) {
        *self.classes.borrow_mut() = classes;
    }

    /// An engine is at this address now.
    pub fn place(&self, engine: EngineId, name: &str, addr: SocketAddr) {
        let mut places = self.places.borrow_mut();
        if places.get(&engine).is_none_or(|p| p.1 != addr) {
            places.insert(engine, (name.to_owned(), addr));
        }
    }

    /// An engine's name.
    pub fn name(&self, engine: EngineId) -> String {
        self.places
            .borrow()
            .get(&engine)
            .map_or_else(|| format!("#{}", engine.0), |p| p.0.clone())
    }

    /// Attempts under way.
    pub fn under_way(&self) -> usize {
        self.under_way.borrow().len()
    }

    /// Tells an attempt something; one that is over has no ears.
    pub fn control(&self, id: StatementId, hop: u32, control: Control) {
        if let Some(under_way) = self.under_way.borrow().get(&(id, hop)) {
            let _ = under_way.control.try_send(control);
        }
    }

    /// Asks an engine to end an attempt, or to let it stand still or go on. How the attempt ends still comes by its
    /// own polls, so that an end that crosses the result does no harm. What the engine says is returned.
    pub async fn order(
        self: Rc<Self>,
        id: StatementId,
        hop: u32,
        order: Order,
    ) -> Result<(), String> {
        let (target, body) = match &order {
            Order::End(why) => ("killed", why.clone()),
            Order::Pause(paused) => ("paused", paused.to_string()),
        };
        for _ in 0..ORDER_TRIES {
            let found = self
                .under_way
                .borrow()
                .get(&(id, hop))
                .map(|u| (u.engine, u.query.clone()));
            let Some((engine, query)) = found else {
                return Err("it is over".into());
            };
            let place = self.places.borrow().get(&engine).map(|p| p.1);
            let Some(addr) = place else {
                return Err("its engine is not listed any more".into());
            };
            let query = query.borrow().clone();
            if let Some(query) = query {
                let mut request = Request::new(Method::Put, format!("/v1/query/{query}/{target}"))
                    .with_header(extra::ROUTER, &self.manner.router);
                request.body = body.clone().into_bytes();
                let (connect, within) = (self.manner.connect_within, self.manner.poll_within);
                match self
                    .pool
                    .exchange(engine, addr, &request, connect, within)
                    .await
                {
                    Ok(answer) if answer.status.0 < 300 => return Ok(()),
                    Ok(answer) if answer.status.0 < 500 => {
                        return Err(format!(
                            "the engine answered with status {}",
                            answer.status.0
                        ));
                    }
                    _ => {} // The order changes nothing when it is given twice.
                }
            }
            Timer::after(ORDER_PAUSE).await;
        }
        Err("the engine could not be reached".into())
    }

    /// Carries out an attempt to its end.
    pub async fn attempt(self: Rc<Self>, a: Attempt, report: Rc<dyn Report>) {
        let (sender, control) = async_channel::bounded(8);
        let key = (a.id, a.number);
        let query = Rc::default();
        let under_way = UnderWay {
            control: sender,
            engine: a.engine,
            query: Rc::clone(&query),
        };
        self.under_way.borrow_mut().insert(key, under_way);
        attempt::run(&self, &a, control, query, report.as_ref()).await;
        self.under_way.borrow_mut().remove(&key);
    }

    /// Asks an engine for its load.
    pub async fn probe(self: Rc<Self>, engine: EngineId, report: Rc<dyn Report>) {
        let place = self.places.borrow().get(&engine).map(|p| p.1);
        let answer = match place {
            None => None,
            Some(addr) => {
                let request = Request::new(Method::Get, "/v1/status")
                    .with_header(extra::ROUTER, &self.manner.router);
                let limit = self.manner.connect_within;
                self.pool
                    .exchange(engine, addr, &request, limit, limit)
                    .await
                    .ok()
            }
        };
        report.probed(engine, answer.as_ref().and_then(load_of_status));
    }
}

/// The load in an engine's status.
fn load_of_status(answer: &Response) -> Option<LoadReport> {
    let status: NodeStatus = serde_json::from_slice(&answer.body).ok()?;
    let told = load_of_headers(answer).unwrap_or_default();
    let memory =
        (status.heap_available > 0).then(|| status.heap_used as f64 / status.heap_available as f64);
    Some(LoadReport {
        in_flight: told.in_flight,
        memory: told.memory.or(memory),
        cpu: told
            .cpu
            .or(Some(status.process_cpu_load))
            .filter(|c| c.is_finite()),
    })
}

/// The load that an answer tells in its optional header.
fn load_of_headers(answer: &Response) -> Option<LoadReport> {
    let text = answer.headers.get(extra::LOAD)?;
    let of = |name| extra::find_number(text, name).filter(|v| *v >= 0.0);
    Some(LoadReport {
        in_flight: of("in_flight"),
        memory: of("memory"),
        cpu: of("cpu"),
    })
}
