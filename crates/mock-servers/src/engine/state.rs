//! The state of an engine, which its connections share: its work model, its statements, and the configuration versions
//! and fencing tokens that it has seen. Request handlers advance the work model before they read it; between requests,
//! [`run_work_model`] advances it.

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

/// Number of stored statements at which each new one evicts the oldest finished one. Running and killed ones are kept,
/// even if there are more than this number.
const MAX_STATEMENTS: usize = 20_000;
/// Time in µs at which the clock of an engine starts. A warm engine counts as started before that, at a time that must
/// not be negative.
const CLOCK_START_MICROS: u64 = 3_600_000_000;

/// An engine, shared by its connections and tasks.
pub(super) struct Engine {
    addr: SocketAddr,
    state: RefCell<EngineState>,
    /// Notified when the next event of the work model may have changed.
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

    /// Borrows the state. The borrow must not be held across an await.
    pub(super) fn state(&self) -> RefMut<'_, EngineState> {
        self.state.borrow_mut()
    }

    /// Borrows the state with the work model advanced to the current time. The borrow must not be held across an await.
    pub(super) fn advanced_state(&self) -> RefMut<'_, EngineState> {
        let mut state = self.state();
        state.advance();
        state
    }

    /// Wakes [`run_work_model`], which then determines the next event again.
    pub(super) fn notify_work_changed(&self) {
        self.work_changed.notify(1);
    }

    /// Returns the address of a statement for clients.
    pub(super) fn query_address(&self, incarnation: u64, number: u64) -> QueryAddress {
        QueryAddress::new(self.addr, incarnation, number)
    }
}

/// Advances the work model whenever its next event is due, for as long as the engine runs.
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

/// The state of an engine.
pub(super) struct EngineState {
    pub(super) config: EngineConfig,
    pub(super) model: WorkModel,
    pub(super) is_draining: bool,
    started: Instant,
    /// The start time of the engine in µs, which is part of each query id, so that ids of an earlier incarnation
    /// differ. The URIs of statements contain only the number, so that a poll for a statement of an earlier incarnation
    /// is not recognized as such.
    incarnation: u64,
    statements: BTreeMap<u64, Statement>,
    next_number: u64,
    /// The newest configuration version that was in force at the sender of a statement when it was sent.
    newest_version: u64,
    fencing_tokens: FencingTokens,
}

impl EngineState {
    fn new(config: EngineConfig) -> Self {
        let parameters = config.work_model.clone();
        Self {
            model: WorkModel::new(parameters, CLOCK_START_MICROS, config.starts_cold),
            is_draining: false,
            started: Instant::now(),
            incarnation: unix_micros(),
            statements: BTreeMap::new(),
            next_number: 0,
            newest_version: 0,
            fencing_tokens: FencingTokens::default(),
            config,
        }
    }

    /// Returns the time of the engine's clock in µs.
    pub(super) fn now(&self) -> u64 {
        CLOCK_START_MICROS + self.started.elapsed().as_micros() as u64
    }

    pub(super) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    pub(super) fn statement(&self, number: u64) -> Option<&Statement> {
        self.statements.get(&number)
    }

    /// Returns the number for a new statement.
    pub(super) fn allocate_number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    /// Stores a statement that the work model has admitted. If there are [`MAX_STATEMENTS`] already, evicts the oldest
    /// finished one.
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

    /// Removes all statements, because a crash of the engine loses them.
    pub(super) fn clear_statements(&mut self) {
        self.statements.clear();
    }

    /// Advances the work model to the current time, and ends the statements whose work is done.
    pub(super) fn advance(&mut self) {
        let now = self.now();
        let ended = self.model.advance(now);
        self.model.set_speed(self.config.core_speed());
        for number in ended {
            self.finish_statement(number);
        }
    }

    /// Ends a statement whose work is done. Its effect is entered into the ledger before its end is recorded. If the
    /// ledger can't be written, the statement ends as finished all the same.
    fn finish_statement(&mut self, number: u64) {
        let Some(statement) = self.statements.get_mut(&number) else {
            return;
        };
        if !statement.is_running() {
            return;
        }
        statement.end(Phase::Finished);
        let (trace, profile) = (statement.trace.clone(), &statement.profile);
        let work_micros = profile.job.work as u64;
        let has_effect = profile.has_effect && !profile.is_invalid;
        if has_effect && self.config.ledger.post(&trace).is_ok() {
            self.config.recorder.write(Record::EffectWritten {
                at: unix_micros(),
                engine: self.config.node.clone(),
                trace: trace.clone(),
            });
        }
        self.record_done(&trace, work_micros);
    }

    /// Removes a statement from the work model, and ends it as killed for a reason.
    pub(super) fn kill_statement(&mut self, number: u64, reason: String) {
        let now = self.now();
        self.model.kill(now, number);
        if let Some(statement) = self.statements.get_mut(&number) {
            statement.end(Phase::Killed(reason));
            let trace = statement.trace.clone();
            self.record_done(&trace, 0);
        }
    }

    /// Records that no work of a statement runs any more. `work_micros` is the demanded work of a statement that
    /// finished, and 0 for one that was dropped, rejected, cancelled or killed.
    pub(super) fn record_done(&self, trace: &str, work_micros: u64) {
        self.config.recorder.write(Record::Done {
            at: unix_micros(),
            engine: self.config.node.clone(),
            trace: trace.to_owned(),
            work: work_micros,
        });
    }

    /// Checks the configuration versions of a statement: the version in force at its sender, and the newest one that
    /// the sender enforces. Returns whether the enforced one is at least the newest version in force that the engine
    /// has seen. If so, remembers the version in force.
    pub(super) fn accept_version(&mut self, in_force: u64, enforced: u64) -> bool {
        if enforced < self.newest_version {
            return false;
        }
        self.newest_version = self.newest_version.max(in_force);
        true
    }

    /// Records the lease of a request, and checks its fencing token if the engine enforces fencing.
    pub(super) fn check_lease(&mut self, request: &Request) -> Result<(), StaleToken> {
        let config = &self.config;
        self.fencing_tokens.observe(
            request,
            &config.node,
            config.enforces_fencing,
            &config.recorder,
        )
    }

    /// Returns the value of the header field that reports the load.
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
