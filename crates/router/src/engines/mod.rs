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
use hoptiller::{EngineId, LoadReport, Micros, Progress};
use hoptiller_http::{Limits, Method, Request, Response};
use hoptiller_statement::discovery::NodeStatus;
use hoptiller_statement::extra;

use crate::core::{Attempt, Ended, Failure, Page, StatementId};
use pool::Pool;

/// Where what was seen goes.
pub trait Report {
    /// The clock of the core.
    fn now(&self) -> Micros;
    /// A page has come.
    fn page(&self, id: StatementId, hop: u32, page: Page);
    /// The engine says that the statement is wrong.
    fn wrong(&self, id: StatementId, hop: u32, failure: Failure);
    /// An attempt has ended without its result.
    fn ended(&self, id: StatementId, hop: u32, ended: Ended);
    /// Word on an attempt that runs.
    fn note(&self, id: StatementId, hop: u32, progress: Progress);
    /// A probe has ended.
    fn probed(&self, engine: EngineId, report: Option<LoadReport>);
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

/// How engines are spoken to.
#[derive(Clone, Debug)]
pub struct Manner {
    /// This router's name.
    pub router: String,
    /// Classes' names, by number.
    pub classes: Vec<String>,
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
    pool: Pool,
    places: RefCell<HashMap<EngineId, (String, SocketAddr)>>,
    under_way: RefCell<HashMap<(StatementId, u32), Sender<Control>>>,
}

impl Engines {
    /// No engine yet.
    pub fn new(manner: Manner) -> Engines {
        let limits = Limits { body: manner.page_bytes, head: 64 << 10, ..Limits::default() };
        Engines { pool: Pool::new(limits), places: RefCell::default(), under_way: RefCell::default(), manner }
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
        self.places.borrow().get(&engine).map_or_else(|| format!("#{}", engine.0), |p| p.0.clone())
    }

    /// Attempts under way.
    pub fn under_way(&self) -> usize {
        self.under_way.borrow().len()
    }

    /// Tells an attempt something; one that is over has no ears.
    pub fn control(&self, id: StatementId, hop: u32, control: Control) {
        if let Some(sender) = self.under_way.borrow().get(&(id, hop)) {
            let _ = sender.try_send(control);
        }
    }

    /// Carries out an attempt to its end.
    pub async fn attempt(self: Rc<Self>, a: Attempt, report: Rc<dyn Report>) {
        let (sender, control) = async_channel::bounded(8);
        let key = (a.id, a.hop);
        self.under_way.borrow_mut().insert(key, sender);
        attempt::run(&self, &a, control, report.as_ref()).await;
        self.under_way.borrow_mut().remove(&key);
    }

    /// Asks an engine for its load.
    pub async fn probe(self: Rc<Self>, engine: EngineId, report: Rc<dyn Report>) {
        let place = self.places.borrow().get(&engine).map(|p| p.1);
        let answer = match place {
            None => None,
            Some(addr) => {
                let request =
                    Request::new(Method::Get, "/v1/status").with(extra::ROUTER, &self.manner.router);
                let limit = self.manner.connect_within;
                self.pool.exchange(engine, addr, &request, limit, limit).await.ok()
            }
        };
        report.probed(engine, answer.as_ref().and_then(load_of_status));
    }
}

/// The load in an engine's status.
fn load_of_status(answer: &Response) -> Option<LoadReport> {
    let status: NodeStatus = serde_json::from_slice(&answer.body).ok()?;
    let told = load_of_headers(answer).unwrap_or_default();
    let memory = (status.heap_available > 0).then(|| status.heap_used as f64 / status.heap_available as f64);
    Some(LoadReport {
        in_flight: told.in_flight,
        memory: told.memory.or(memory),
        cpu: told.cpu.or(Some(status.process_cpu_load)).filter(|c| c.is_finite()),
    })
}

/// The load that an answer tells in its optional header.
fn load_of_headers(answer: &Response) -> Option<LoadReport> {
    let text = answer.headers.get(extra::LOAD)?;
    let of = |name| extra::number(text, name).filter(|v| *v >= 0.0);
    Some(LoadReport { in_flight: of("in_flight"), memory: of("memory"), cpu: of("cpu") })
}
