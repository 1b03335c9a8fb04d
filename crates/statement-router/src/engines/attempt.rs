//! An attempt to run a statement at an engine: submits the statement once and polls for its results.
//!
//! The reported outcome states what an observed failure proves: that the statement was never executed, or that it may
//! have been executed.

mod error;
mod kill_proof;
mod poll;
mod progress;
mod results;
mod submit;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future;
use hoptiller_http::{Method, Response};
use hoptiller_policy::AttemptStatus;
use hoptiller_router_core::{Attempt, AttemptOutcome};
use serde_json::value::RawValue;

use super::attempt_id::AttemptId;
use super::connection_pool::{EngineEndpoint, Timeouts};
use super::observer::EngineObserver;
use super::transport::EngineTransport;
use error::AttemptError;

/// Timeout of the requests that cancel a statement at its engine or ask for the proof of a kill.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// The engine's own id of a statement, once it is known.
pub(super) type QueryIdCell = Rc<RefCell<Option<String>>>;

/// A message to an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptControl {
    /// Fetches the next page.
    Fetch,
    /// Cancels the attempt and reports its end.
    Cancel,
    /// Drops the attempt without a report.
    Release,
}

/// The reason why an attempt stops before its result is complete.
enum Stop {
    Failed(AttemptError),
    /// The core has released the attempt and expects no report.
    Released,
}

impl From<AttemptError> for Stop {
    fn from(error: AttemptError) -> Stop {
        Stop::Failed(error)
    }
}

impl From<AttemptControl> for Stop {
    fn from(control: AttemptControl) -> Stop {
        match control {
            AttemptControl::Cancel => Stop::Failed(AttemptError::Cancelled),
            AttemptControl::Release | AttemptControl::Fetch => Stop::Released,
        }
    }
}

/// An event that interrupts an exchange.
enum Interruption {
    DeadlineExceeded,
    Controlled(AttemptControl),
}

/// An attempt in flight.
struct RunningAttempt<'a> {
    transport: &'a EngineTransport,
    attempt: &'a Attempt,
    id: AttemptId,
    endpoint: EngineEndpoint,
    control: Receiver<AttemptControl>,
    observer: &'a dyn EngineObserver,
    /// Path of the next poll.
    next_path: Option<String>,
    query_id: QueryIdCell,
    columns: Option<Rc<RawValue>>,
    /// Whether a page has been delivered. From then on the client sets the pace, and the deadline no longer applies.
    has_delivered_page: bool,
}

/// Runs an attempt to its end and reports it.
pub(super) async fn run(
    transport: &EngineTransport,
    attempt: &Attempt,
    control: Receiver<AttemptControl>,
    query_id: QueryIdCell,
    observer: &dyn EngineObserver,
) {
    let id = AttemptId {
        statement: attempt.statement_id,
        number: attempt.number,
    };
    let Some(endpoint) = transport.endpoint(attempt.engine) else {
        let outcome = AttemptError::EngineNotListed.into_outcome();
        return observer.attempt_ended(id, outcome);
    };
    let mut running = RunningAttempt {
        transport,
        attempt,
        id,
        endpoint,
        control,
        observer,
        next_path: None,
        query_id,
        columns: None,
        has_delivered_page: false,
    };
    match running.run().await {
        Ok(()) => {}
        Err(Stop::Failed(error)) => running.report_failure(error).await,
        Err(Stop::Released) => running.cancel_at_engine().await,
    }
}

impl RunningAttempt<'_> {
    async fn run(&mut self) -> Result<(), Stop> {
        let mut response = self.submit().await?;
        while !self.accept_response(&response).await? {
            response = self.poll().await?;
        }
        Ok(())
    }

    async fn report_failure(&self, error: AttemptError) {
        let outcome: AttemptOutcome = error.into_outcome();
        match outcome.status {
            AttemptStatus::ConnectionReset | AttemptStatus::ConnectFailed => {
                self.transport.pool.close_idle(self.endpoint.engine);
            }
            AttemptStatus::Cancelled => self.cancel_at_engine().await,
            _ => {}
        }
        self.observer.attempt_ended(self.id, outcome);
    }

    /// Awaits an exchange until it ends or the deadline or the core interrupts it.
    async fn interruptible<T>(&self, exchange: impl Future<Output = T>) -> Result<T, Interruption> {
        let exchange = async { Ok(exchange.await) };
        let control = async { Err(Interruption::Controlled(self.next_interruption().await)) };
        let deadline = async {
            self.deadline_exceeded().await;
            Err(Interruption::DeadlineExceeded)
        };
        future::or(exchange, future::or(control, deadline)).await
    }

    /// Returns the next message that ends the attempt. Ignores fetches, which only matter after a delivered page.
    async fn next_interruption(&self) -> AttemptControl {
        loop {
            match self.control.recv().await {
                Ok(AttemptControl::Fetch) => {}
                Ok(control) => return control,
                Err(_) => return AttemptControl::Release,
            }
        }
    }

    async fn deadline_exceeded(&self) {
        if self.has_delivered_page {
            return future::pending().await;
        }
        let remaining = self.attempt.deadline.saturating_sub(self.observer.now());
        Timer::after(Duration::from_micros(remaining)).await;
    }

    /// Cancels the statement at its engine. A failure is ignored, since engines drop statements that are not polled.
    async fn cancel_at_engine(&self) {
        let Some(target) = self.next_path.clone() else {
            return;
        };
        let request = self.transport.request(Method::Delete, target);
        let timeouts = Timeouts {
            connect: CONTROL_TIMEOUT,
            response: CONTROL_TIMEOUT,
        };
        let pool = &self.transport.pool;
        let _: Result<Response, _> = pool.exchange(self.endpoint, &request, timeouts).await;
    }
}
