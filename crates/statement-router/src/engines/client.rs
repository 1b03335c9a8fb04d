//! The client of all engines of a router, and its attempts in flight.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use hoptiller_http::Method;
use hoptiller_policy::EngineId;
use hoptiller_router_core::Attempt;

use super::attempt::{self, AttemptControl, QueryIdCell};
use super::attempt_id::AttemptId;
use super::connection_pool::Timeouts;
use super::load_report;
use super::observer::EngineObserver;
use super::transport::{EngineOptions, EngineTransport};

/// Capacity of the control channel of an attempt. It exceeds the number of messages that the core can have pending
/// for one attempt, since messages to a full channel are dropped.
const CONTROL_CHANNEL_CAPACITY: usize = 8;
const HEALTH_CHECK_PATH: &str = "/v1/status";

/// The client of all engines of a router.
pub struct EngineClient {
    pub(super) transport: EngineTransport,
    in_flight: RefCell<HashMap<AttemptId, InFlightAttempt>>,
}

struct InFlightAttempt {
    control: Sender<AttemptControl>,
    engine: EngineId,
    query_id: QueryIdCell,
}

/// The location of an attempt's statement: its engine and the engine's query id.
pub(super) struct InFlightQuery {
    pub(super) engine: EngineId,
    /// The engine's own id of the statement, once it is known.
    pub(super) query_id: Option<String>,
}

/// A guard that removes an attempt from those in flight when dropped.
struct InFlightGuard<'a> {
    engines: &'a EngineClient,
    id: AttemptId,
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.engines.in_flight.borrow_mut().remove(&self.id);
    }
}

impl EngineClient {
    /// Creates a client that knows no engine yet.
    pub fn new(options: EngineOptions, class_names: Vec<String>) -> EngineClient {
        EngineClient {
            transport: EngineTransport::new(options, class_names),
            in_flight: RefCell::default(),
        }
    }

    /// Sets the names of the classes, by index.
    pub fn set_class_names(&self, names: Vec<String>) {
        self.transport.set_class_names(names);
    }

    /// Sets the name and the address of an engine.
    pub fn update_address(&self, engine: EngineId, name: &str, addr: SocketAddr) {
        self.transport.update_address(engine, name, addr);
    }

    /// Returns the name of an engine, or its id if the name is unknown.
    pub fn engine_name(&self, engine: EngineId) -> String {
        self.transport.engine_name(engine)
    }

    /// Returns the number of attempts in flight.
    pub fn attempts_in_flight(&self) -> usize {
        self.in_flight.borrow().len()
    }

    /// Sends a message to an attempt. Does nothing if the attempt has ended.
    pub fn control_attempt(&self, id: AttemptId, control: AttemptControl) {
        if let Some(attempt) = self.in_flight.borrow().get(&id) {
            let _ = attempt.control.try_send(control);
        }
    }

    /// Runs an attempt to its end.
    pub async fn run_attempt(self: Rc<Self>, attempt: Attempt, observer: Rc<dyn EngineObserver>) {
        let query_id = QueryIdCell::default();
        let (control, _guard) = self.register(&attempt, &query_id);
        attempt::run(
            &self.transport,
            &attempt,
            control,
            query_id,
            observer.as_ref(),
        )
        .await;
    }

    fn register(
        &self,
        attempt: &Attempt,
        query_id: &QueryIdCell,
    ) -> (Receiver<AttemptControl>, InFlightGuard<'_>) {
        let (sender, receiver) = async_channel::bounded(CONTROL_CHANNEL_CAPACITY);
        let id = AttemptId {
            statement: attempt.statement_id,
            number: attempt.number,
        };
        let in_flight = InFlightAttempt {
            control: sender,
            engine: attempt.engine,
            query_id: Rc::clone(query_id),
        };
        self.in_flight.borrow_mut().insert(id, in_flight);
        (receiver, InFlightGuard { engines: self, id })
    }

    /// Returns the location of the statement of an attempt in flight, or `None` once the attempt has ended.
    pub(super) fn in_flight_query(&self, id: AttemptId) -> Option<InFlightQuery> {
        let in_flight = self.in_flight.borrow();
        let attempt = in_flight.get(&id)?;
        Some(InFlightQuery {
            engine: attempt.engine,
            query_id: attempt.query_id.borrow().clone(),
        })
    }

    /// Checks the health of an engine and reports its load.
    pub async fn check_health(self: Rc<Self>, engine: EngineId, observer: Rc<dyn EngineObserver>) {
        let transport = &self.transport;
        let response = match transport.endpoint(engine) {
            None => None,
            Some(endpoint) => {
                let request = transport.request(Method::Get, HEALTH_CHECK_PATH);
                let timeouts = Timeouts {
                    connect: transport.options.connect_timeout,
                    response: transport.options.connect_timeout,
                };
                let exchange = transport.pool.exchange(endpoint, &request, timeouts);
                exchange.await.ok()
            }
        };
        let report = response.as_ref().and_then(load_report::from_status);
        observer.health_check_completed(engine, report);
    }
}
