//! Actions that the host executes for the [`Controller`](crate::Controller).

use super::ids::{EngineId, Micros, RequestId};

/// An action for the host. The host executes actions in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends a request to an engine.
    Send {
        /// The request.
        request: RequestId,
        /// The engine.
        engine: EngineId,
        /// Time before which the first byte must be written; after it the attempt must not be sent. Connecting may
        /// take long, and engines no longer recognise a duplicate after the window of the idempotency key. `None`: any
        /// time before the request's deadline.
        send_by: Option<Micros>,
    },
    /// Sets the priority and memory grant of a request before it is sent.
    SetOptions {
        /// The request.
        request: RequestId,
        /// Priority inside the engine, from 0 (lowest) to 3.
        priority: u8,
        /// Memory to grant, in MB; 0: the engine decides.
        memory_grant_mb: f64,
    },
    /// Cancels an attempt; its [`Event::Outcome`](crate::Event::Outcome) still follows.
    Cancel {
        /// The request.
        request: RequestId,
        /// Attempt number, from 0.
        attempt: u32,
    },
    /// Final response: rejected, for example by load shedding. The client can safely retry.
    Reject {
        /// The request.
        request: RequestId,
        /// Time after which the client should retry.
        retry_after: Option<Micros>,
    },
    /// Final response: failed. The request may have run.
    Fail(RequestId),
    /// Checks the health of an engine; [`Event::HealthChecked`](crate::Event::HealthChecked) reports the result.
    HealthCheck(EngineId),
    /// Delivers [`Event::Wakeup`](crate::Event::Wakeup) after this time.
    Timer(Micros),
    /// Subscribes to changes of the endpoint list.
    Subscribe,
}
