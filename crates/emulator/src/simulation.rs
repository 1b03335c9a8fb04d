//! The execution of a plan: an event-driven simulation of the messages between clients, routers and engines, with their
//! latency. The routers are cores of `hoptiller_router_core`, and the engines are work models of the mock servers.
//!
//! - `events`: the queue of scheduled events;
//! - `clients`, `routers`, `engines`: the handling of events at each of them.

mod clients;
mod engines;
mod events;
mod routers;

use hoptiller_policy::{EndpointEntry, EngineId, ListScope, Micros, Readiness};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::plan::{Plan, PlannedEngine};
use crate::run::RunRecord;
use engines::SimulatedEngine;
use events::{EventQueue, SimulatedEvent};
use routers::SimulatedRouter;

/// One-way latency between two processes.
const ONE_WAY_LATENCY: Micros = 500;
/// Time of the clock at the start of a run. It is above zero so that engines can have started before the run.
pub const CLOCK_START: Micros = 24 * 3_600_000_000;

/// Runs a plan to its end.
///
/// # Panics
///
/// Panics if the settings of the plan are invalid.
pub fn simulate(plan: &Plan, seed: u64) -> RunRecord {
    let end = CLOCK_START + plan.duration;
    let mut simulation = Simulation::new(plan, seed);
    while let Some(scheduled) = simulation.events.pop() {
        if scheduled.at > end {
            break;
        }
        simulation.now = scheduled.at;
        simulation.handle_event(scheduled.event);
    }
    simulation.record
}

struct Simulation<'p> {
    plan: &'p Plan,
    now: Micros,
    events: EventQueue,
    routers: Vec<SimulatedRouter>,
    engines: Vec<SimulatedEngine>,
    rng: StdRng,
    record: RunRecord,
}

impl<'p> Simulation<'p> {
    fn new(plan: &'p Plan, seed: u64) -> Self {
        let routers = routers::routers(plan, seed);
        let record = RunRecord {
            ends: vec![None; plan.statements.len()],
            statements_by_id: vec![Default::default(); routers.len()],
            ..RunRecord::default()
        };
        let mut simulation = Simulation {
            plan,
            now: CLOCK_START,
            events: EventQueue::default(),
            routers,
            engines: plan.engines.iter().map(SimulatedEngine::new).collect(),
            rng: StdRng::seed_from_u64(seed),
            record,
        };
        simulation.list_engines();
        simulation.schedule_submissions();
        simulation
    }

    /// Sends all routers the endpoint list, which stays the same for the whole run.
    fn list_engines(&mut self) {
        let endpoints: Vec<EndpointEntry> =
            (0u32..).zip(&self.plan.engines).map(endpoint).collect();
        for router in 0..self.routers.len() {
            self.routers[router].core.update_endpoints(
                CLOCK_START,
                ListScope::All,
                endpoints.clone(),
            );
            self.process_router(router);
        }
    }

    fn schedule_submissions(&mut self) {
        for (index, statement) in self.plan.statements.iter().enumerate() {
            let at = CLOCK_START + statement.submitted_at;
            let event = SimulatedEvent::Submission { statement: index };
            self.events.schedule(at, event);
        }
    }

    fn schedule_after(&mut self, delay: Micros, event: SimulatedEvent) {
        self.events.schedule(self.now + delay, event);
    }

    fn handle_event(&mut self, event: SimulatedEvent) {
        match event {
            SimulatedEvent::Submission { statement } => self.submit(statement),
            SimulatedEvent::DecisionBatch { router } => self.run_decision_batch(router),
            SimulatedEvent::AttemptArrival {
                router,
                attempt,
                engine,
            } => self.receive_attempt(router, attempt, engine),
            SimulatedEvent::EngineWork { engine } => {
                self.engines[engine].wake_at = None;
                self.advance_engine(engine);
            }
            SimulatedEvent::AttemptPoll { engine, job } => self.poll_attempt(engine, job),
            SimulatedEvent::AttemptTimeout { router, attempt } => {
                self.time_out_attempt(router, attempt);
            }
            SimulatedEvent::HealthCheck { router, engine } => self.check_health(router, engine),
            SimulatedEvent::ClientPoll { router, id } => self.poll_responses(router, id),
        }
    }
}

fn endpoint((index, engine): (u32, &PlannedEngine)) -> EndpointEntry {
    EndpointEntry {
        engine: EngineId(index),
        zone: Some(engine.zone),
        kind: Some(engine.kind),
        cell: 0,
        ready_at: 0,
        readiness: Readiness::Up,
    }
}
