//! Actions that the host carries out for the [`Controller`](crate::Controller).

use super::ids::{EngineId, Micros, RequestId};

/// Something that the host is to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to an engine.
    Send {
        /// The request.
        request: RequestId,
        /// The engine.
        engine: EngineId,
        /// Its first byte must be written before that, or not at all: a connection may take long, and after
        /// the window of its idempotency key a repeat is no longer recognised. `None`: any time before its
        /// deadline.
        send_by: Option<Micros>,
    },
    /// Set priority and memory grant of a request, before its send.
    SetOptions {
        /// The request.
        request: RequestId,
        /// 0 to 3.
        priority: u8,
        /// Memory to grant, in MB; 0 leaves it to the engine.
        memory_grant_mb: f64,
    },
    /// Cancel an attempt; its [`Event::Outcome`](crate::Event::Outcome) still comes.
    Cancel {
        /// The request.
        request: RequestId,
        /// Attempt number, from 0.
        attempt: u32,
    },
    /// Final answer: rejected (load shed); trying again is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// When the client should retry.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed; it may have run.
    Fail(RequestId),
    /// Check the health of an engine for [`Event::HealthChecked`](crate::Event::HealthChecked).
    HealthCheck(EngineId),
    /// Bring [`Event::Wakeup`](crate::Event::Wakeup) after this time.
    Timer(Micros),
    /// Ask discovery to report changes from now on.
    Subscribe,
}
