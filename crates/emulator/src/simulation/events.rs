//! The events of a simulation, and their queue in the order of time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hoptiller_policy::Micros;
use hoptiller_router_core::StatementId;

/// Identifies an attempt of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId {
    pub(super) statement: StatementId,
    pub(super) number: u32,
}

/// An event of the simulation. Routers, engines and planned statements are identified by their indices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SimulatedEvent {
    /// A client submits a statement.
    Submission { statement: usize },
    /// A router decides on the events that it has received.
    DecisionBatch { router: usize },
    /// An attempt reaches its engine.
    AttemptArrival {
        router: usize,
        attempt: AttemptId,
        engine: usize,
    },
    /// The work model of an engine has an event to process.
    EngineWork { engine: usize },
    /// A router polls an attempt, which is identified by the engine's job number.
    AttemptPoll { engine: usize, job: u64 },
    /// An attempt reaches its deadline.
    AttemptTimeout { router: usize, attempt: AttemptId },
    /// A health check reaches an engine.
    HealthCheck { router: usize, engine: usize },
    /// A client polls for responses.
    ClientPoll { router: usize, id: StatementId },
}

/// A scheduled event. The order is by time, and for equal times by the order of scheduling.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ScheduledEvent {
    pub(super) at: Micros,
    sequence: u64,
    pub(super) event: SimulatedEvent,
}

/// The queue of scheduled events.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    last_sequence: u64,
}

impl EventQueue {
    pub(super) fn schedule(&mut self, at: Micros, event: SimulatedEvent) {
        self.last_sequence += 1;
        self.events.push(Reverse(ScheduledEvent {
            at,
            sequence: self.last_sequence,
            event,
        }));
    }

    /// Removes and returns the earliest event.
    pub(super) fn pop(&mut self) -> Option<ScheduledEvent> {
        self.events.pop().map(|Reverse(scheduled)| scheduled)
    }
}
