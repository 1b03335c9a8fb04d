//! The state of an engine: its work model, its statements, and the versions and leases that it has seen. The connections
//! share it; the work model is advanced by whatever looks at it, and by [`run_work_model`] between requests.

use std::cell::{RefCell, RefMut};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use event_listener::Event;
use futures_lite::future;
use hoptiller_audit::{Record, unix_micros};
use hoptiller_http::Request;
use hoptiller_statement::extra;

use super::config::EngineConfig;
use super::results::QueryAddress;
use super::statement::{Phase, Statement};
use crate::fencing::{FencingTokens, StaleToken};
use crate::work_model::WorkModel;

/// Number of statements from which the oldest finished one is evicted for each new one; running ones are never evicted.
const MAX_STATEMENTS: usize = 20_000;
/// Where the clock of an engine starts, in µs: late enough for a warm engine to have a past.
const CLOCK_START: u64 = 3_600_000_000;

/// An engine as its connections share it.
pub(super) struct Engine {
    addr: SocketAddr,
    state: RefCell<EngineState>,
    /// Notified when the work model must be looked at again.
    work_changed: Event,
}

impl Engine {
    pub(super) fn new(config: EngineConfig, addr: SocketAddr) -> Self {
        Self {
            addr,
            state: RefCell::new(EngineState::new(config)),
            work_changed: Event::new(),
        }
    }

    pub(super) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The state; it must not be held over an await.
    pub(super) fn state(&self) -> RefMut<'_, EngineState> {
        self.state.borrow_mut()
    }

    /// The state, with the work model advanced to now.
    pub(super) fn advanced_state(&self) -> RefMut<'_, EngineState> {
        let mut state = self.state();
        state.advance();
        state
    }

    /// Wakes [`run_work_model`], which then looks for the next event anew.
    pub(super) fn notify_work_changed(&self) {
        self.work_changed.notify(1);
    }

    /// Where clients find the statement of that number.
    pub(super) fn query_address(&self, process: u64, number: u64) -> QueryAddress {
        QueryAddress::new(self.addr, process, number)
    }
}

/// Advances the work model at its events, for as long as the engine runs.
pub(super) async fn run_work_model(engine: Rc<Engine>) {
    loop {
        let work_changed = engine.work_changed.listen();
        let next_event_in = engine.advanced_state().next_event_in();
        future::or(work_changed, async {
            match next_event_in {
                Some(wait) => Timer::after(wait).await,
                None => future::pending().await,
            };
        })
        .await;
    }
}

/// What an engine holds.
pub(super) struct EngineState {
    pub(super) config: EngineConfig,
    pub(super) model: WorkModel,
    pub(super) is_draining: bool,
    started: Instant,
    /// Part of each query id, so that ids of an earlier process differ. The URIs of statements do not contain it.
    process: u64,
    statements: BTreeMap<u64, Statement>,
    next_number: u64,
    /// The newest configuration version that was in force for something sent here.
    newest_version: u64,
    fencing_tokens: FencingTokens,
}

impl EngineState {
    fn new(config: EngineConfig) -> Self {
        let parameters = config.work_model.clone();
        Self {
            model: WorkModel::new(parameters, CLOCK_START, config.starts_cold),
            is_draining: false,
            started: Instant::now(),
            process: unix_micros(),
            statements: BTreeMap::new(),
            next_number: 0,
            newest_version: 0,
            fencing_tokens: FencingTokens::default(),
            config,
        }
    }

    /// The time of the engine's clock, in µs.
    pub(super) fn now(&self) -> u64 {
        CLOCK_START + self.started.elapsed().as_micros() as u64
    }

    pub(super) fn process(&self) -> u64 {
        self.process
    }

    pub(super) fn statement(&self, number: u64) -> Option<&Statement> {
        self.statements.get(&number)
    }

    /// The number of the next statement.
    pub(super) fn allocate_number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    /// Holds a statement that the work model has admitted. Beyond [`MAX_STATEMENTS`], the oldest finished one is evicted.
    pub(super) fn insert_statement(&mut self, number: u64, statement: Statement) {
        self.evict_finished();
        self.statements.insert(number, statement);
    }

    fn evict_finished(&mut self) {
        while self.statements.len() >= MAX_STATEMENTS {
            let finished = self.statements.iter().find(|(_, s)| s.is_finished());
            let Some(number) = finished.map(|(number, _)| *number) else {
                break;
            };
            self.statements.remove(&number);
        }
    }

    pub(super) fn remove_statement(&mut self, number: u64) {
        self.statements.remove(&number);
    }

    /// Drops all statements, as the crash of the engine does.
    pub(super) fn clear_statements(&mut self) {
        self.statements.clear();
    }

    /// Advances the work model to now, and ends the statements whose work is done.
    pub(super) fn advance(&mut self) {
        let now = self.now();
        let ended = self.model.advance(now);
        self.model.set_speed(self.config.core_speed());
        for number in ended {
            self.finish_statement(number);
        }
    }

    /// Ends a statement whose work is done; its effect is entered into the ledger before its end is recorded.
    fn finish_statement(&mut self, number: u64) {
        let Some(statement) = self.statements.get_mut(&number) else {
            return;
        };
        if !statement.is_running() {
            return;
        }
        statement.end(Phase::Finished);
        let (trace, profile) = (statement.trace.clone(), &statement.profile);
        let work = profile.job.work as u64;
        let has_effect = profile.has_effect && !profile.is_invalid;
        if has_effect && self.config.ledger.post(&trace).is_ok() {
            self.config.recorder.write(Record::EffectWritten {
                at: unix_micros(),
                engine: self.config.node.clone(),
                trace: trace.clone(),
            });
        }
        self.record_done(&trace, work);
    }

    /// Kills a statement in the work model, and ends it with a reason.
    pub(super) fn kill_statement(&mut self, number: u64, reason: String) {
        let now = self.now();
        self.model.kill(now, number);
        if let Some(statement) = self.statements.get_mut(&number) {
            statement.end(Phase::Killed(reason));
            let trace = statement.trace.clone();
            self.record_done(&trace, 0);
        }
    }

    /// Records that nothing of a statement runs any more; `work` is in µs.
    pub(super) fn record_done(&self, trace: &str, work: u64) {
        self.config.recorder.write(Record::Done {
            at: unix_micros(),
            engine: self.config.node.clone(),
            trace: trace.to_owned(),
            work,
        });
    }

    /// Whether the sender enforces a version older than the newest version in force seen here. If not, records its version in
    /// force.
    pub(super) fn observe_version(&mut self, in_force: u64, enforced: u64) -> bool {
        if enforced < self.newest_version {
            return true;
        }
        self.newest_version = self.newest_version.max(in_force);
        false
    }

    /// Records the lease of a request, and checks its fencing token.
    pub(super) fn check_lease(&mut self, request: &Request) -> Result<(), StaleToken> {
        let config = &self.config;
        self.fencing_tokens.observe(
            request,
            &config.node,
            config.enforces_fencing,
            &config.recorder,
        )
    }

    /// The value of the load report's header.
    pub(super) fn load_header(&self) -> String {
        let load = self.model.load();
        extra::format_numbers(&[
            ("in_flight", load.in_flight as f64),
            ("cpu", load.cpu),
            ("memory", load.memory),
        ])
    }

    fn next_event_in(&self) -> Option<Duration> {
        let at = self.model.next_event_at()?;
        Some(Duration::from_micros(at.saturating_sub(self.now())))
    }
}
