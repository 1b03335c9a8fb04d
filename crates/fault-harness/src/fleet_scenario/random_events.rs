//! Random faults and proposals, drawn from a seed.

use hoptiller_coordination::ConfigDuration;

use super::event::{ScenarioEvent, ScheduledEvent};
use super::timeline::Timeline;
use crate::rng::SeededRng;

/// Latency added to the links of a router before it is isolated.
const ROUTER_LATENCY_MS: u64 = 300;
/// Minimum latency added to the links of all routers. The drawn latency is less than this plus [`LATENCY_SPREAD_MS`].
const MIN_LATENCY_MS: u64 = 50;
const LATENCY_SPREAD_MS: u64 = 250;

/// Random faults, in the order of the numbers that stand for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RandomFault {
    IsolateRouter,
    BlockResponses,
    SlowThenIsolateRouter,
    PauseRouter,
    PartitionReplica,
    BlockRequests,
    SlowThenReset,
    KillReplicaAndRouter,
    KillReplicas,
    SplitAfterPartition,
}

impl RandomFault {
    /// Number of values that [`from_number`](RandomFault::from_number) distinguishes.
    const NUMBER_COUNT: u64 = 11;

    fn from_number(number: u64) -> RandomFault {
        match number {
            // Isolation is drawn twice as often as each other fault.
            0 | 1 => RandomFault::IsolateRouter,
            2 => RandomFault::BlockResponses,
            3 => RandomFault::SlowThenIsolateRouter,
            4 => RandomFault::PauseRouter,
            5 => RandomFault::PartitionReplica,
            6 => RandomFault::BlockRequests,
            7 => RandomFault::SlowThenReset,
            8 => RandomFault::KillReplicaAndRouter,
            9 => RandomFault::KillReplicas,
            _ => RandomFault::SplitAfterPartition,
        }
    }

    /// Returns whether the fault separates one router from the fleet. Such faults last two intervals, so that they can
    /// outlast a lease that is longer than the interval.
    fn separates_router(self) -> bool {
        matches!(
            self,
            RandomFault::IsolateRouter
                | RandomFault::BlockResponses
                | RandomFault::SlowThenIsolateRouter
                | RandomFault::PauseRouter
        )
    }
}

impl Timeline {
    /// Draws faults, and proposals during them, for a fleet with `routers` routers and `replicas` replicas. Returns
    /// none if the timeline has no interval for random events. The events are not sorted by time.
    pub fn random_events(&self, seed: u64, routers: usize, replicas: usize) -> Vec<ScheduledEvent> {
        let Some(interval) = self.random_event_interval else {
            return Vec::new();
        };
        let draws = RandomEvents {
            rng: SeededRng::new(seed),
            documents: self.documents.keys().cloned().collect(),
            routers,
            replicas,
            interval: interval.as_micros(),
            fault_at: interval.as_micros(),
            events: Vec::new(),
        };
        draws.draw_until(self.duration.as_micros())
    }
}

/// State of the draws. All times are in µs.
struct RandomEvents {
    rng: SeededRng,
    documents: Vec<String>,
    routers: usize,
    replicas: usize,
    interval: u64,
    /// Start of the fault that is being drawn.
    fault_at: u64,
    events: Vec<ScheduledEvent>,
}

impl RandomEvents {
    /// Draws faults until `end`. Proposals fall within a fault, and the last
    /// event of a fault is less than three intervals after its start.
    fn draw_until(mut self, end: u64) -> Vec<ScheduledEvent> {
        while self.fault_at + 3 * self.interval < end {
            let router = self.rng.index(self.routers);
            let replica = self.rng.index(self.replicas);
            let fault = RandomFault::from_number(self.rng.below(RandomFault::NUMBER_COUNT));
            if fault == RandomFault::SplitAfterPartition {
                self.split_after_partition(replica);
            } else {
                self.draw_fault(fault, router, replica);
            }
        }
        self.events
    }

    /// Adds an event `delay` after the start of the fault.
    fn add(&mut self, delay: u64, event: ScenarioEvent) {
        self.events.push(ScheduledEvent {
            at: ConfigDuration::from_micros(self.fault_at + delay),
            event,
        });
    }

    fn draw_proposal(&mut self) -> ScenarioEvent {
        let document = self.rng.index(self.documents.len());
        ScenarioEvent::Propose(self.documents[document].clone())
    }

    fn draw_fault(&mut self, fault: RandomFault, router: usize, replica: usize) {
        let interval = self.interval;
        let exceeds_interval = fault.separates_router();
        let end = if exceeds_interval {
            interval * 2
        } else {
            interval * 4 / 5
        };
        self.add_fault(fault, router, replica, end);
        let delay = interval * 2 / 5 + self.rng.below(interval / 5);
        let proposal = self.draw_proposal();
        self.add(delay, proposal);
        if exceeds_interval {
            let proposal = self.draw_proposal();
            self.add(interval * 3 / 2, proposal);
        }
        self.add(end, ScenarioEvent::RestoreLinks);
        self.fault_at += if exceeds_interval {
            interval * 5 / 2
        } else {
            interval
        };
    }

    fn add_fault(&mut self, fault: RandomFault, router: usize, replica: usize, end: u64) {
        let interval = self.interval;
        match fault {
            RandomFault::IsolateRouter => self.add(0, ScenarioEvent::IsolateRouter(router)),
            RandomFault::BlockResponses => self.add(0, ScenarioEvent::BlockResponses(router)),
            // Detects a router that measures its lease from the response instead of the request, and so holds it too
            // long.
            RandomFault::SlowThenIsolateRouter => {
                let slow = ScenarioEvent::AddRouterLatency(router, ROUTER_LATENCY_MS);
                self.add(0, slow);
                self.add(interval / 3, ScenarioEvent::IsolateRouter(router));
            }
            RandomFault::PauseRouter => {
                self.add(0, ScenarioEvent::PauseRouter(router));
                self.add(end, ScenarioEvent::ResumeRouter(router));
            }
            RandomFault::PartitionReplica => {
                self.add(0, ScenarioEvent::PartitionReplica(replica));
            }
            RandomFault::BlockRequests => {
                let next = (replica + 1) % self.replicas;
                self.add(0, ScenarioEvent::BlockRequests(replica, next));
            }
            RandomFault::SlowThenReset => {
                let latency = MIN_LATENCY_MS + self.rng.below(LATENCY_SPREAD_MS);
                self.add(0, ScenarioEvent::AddLatency(latency));
                self.add(interval / 2, ScenarioEvent::ResetConnections);
            }
            RandomFault::KillReplicaAndRouter => {
                self.add(0, ScenarioEvent::KillReplica(replica));
                self.add(end, ScenarioEvent::StartReplica(replica));
                self.add(interval / 4, ScenarioEvent::KillRouter(router));
                self.add(end, ScenarioEvent::StartRouter(router));
            }
            RandomFault::KillReplicas => {
                self.add(0, ScenarioEvent::KillReplicas);
                self.add(end, ScenarioEvent::StartReplicas);
            }
            RandomFault::SplitAfterPartition => self.split_after_partition(replica),
        }
    }

    /// Adds the events of [`RandomFault::SplitAfterPartition`]. Of three replicas, the two that are not partitioned
    /// accept a version and are killed; one of them is restarted and has to form a majority with the partitioned one.
    /// The version must survive. Five replicas have no majority until all of them are started again.
    fn split_after_partition(&mut self, replica: usize) {
        let interval = self.interval;
        self.add(0, ScenarioEvent::PartitionReplica(replica));
        let proposal = self.draw_proposal();
        self.add(interval / 2, proposal);
        self.add(interval / 2, ScenarioEvent::KillOtherReplicas(replica));
        self.add(interval * 3 / 4, ScenarioEvent::RestoreLinks);
        let next = (replica + 1) % self.replicas;
        self.add(interval * 3 / 4, ScenarioEvent::StartReplica(next));
        let proposal = self.draw_proposal();
        self.add(interval * 5 / 2, proposal);
        self.add(interval * 11 / 4, ScenarioEvent::StartReplicas);
        self.fault_at += interval * 3;
    }
}
