//! The events of a simulation, in the order in which they happen.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hoptiller_policy::Micros;
use hoptiller_router_core::StatementId;

/// One attempt of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId {
    pub(super) statement: StatementId,
    pub(super) number: u32,
}

/// What happens. Routers, engines and planned statements are named by their indices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SimulatedEvent {
    /// A client submits a statement.
    Submission { statement: usize },
    /// A router decides on what it has received.
    DecisionBatch { router: usize },
    /// An attempt reaches its engine.
    AttemptArrival {
        router: usize,
        attempt: AttemptId,
        engine: usize,
    },
    /// The work model of an engine is due.
    EngineWork { engine: usize },
    /// A router polls an attempt, by the engine's number of the job.
    AttemptPoll { engine: usize, job: u64 },
    /// The deadline of an attempt.
    AttemptTimeout { router: usize, attempt: AttemptId },
    /// A health check reaches an engine.
    HealthCheck { router: usize, engine: usize },
    /// A client polls for responses.
    ClientPoll { router: usize, id: StatementId },
}

/// Events are ordered by time, and at the same time by the order in which they were scheduled.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ScheduledEvent {
    pub(super) at: Micros,
    sequence: u64,
    pub(super) event: SimulatedEvent,
}

/// The events to come.
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

    /// Removes and returns the next event.
    pub(super) fn pop(&mut self) -> Option<ScheduledEvent> {
        self.events.pop().map(|Reverse(scheduled)| scheduled)
    }
}
