//! Runs a fleet scenario, and judges its records.

use std::path::Path;
use std::time::{Duration, Instant};

use hoptiller_audit::{Rules, VersionRules, judge};
use hoptiller_coordination::Change;
use hoptiller_coordination_client::wire::ProposalResponse;

use super::event::{ScenarioEvent, ScheduledEvent};
use super::report::{FleetReport, LoggedEvent, Outcome};
use super::rollouts::Rollouts;
use super::scenario::FleetScenario;
use super::timeline::{FIRST_DOCUMENT, Timeline};
use crate::client_load::ClientLoad;
use crate::error::ScenarioError;
use crate::fleet::{FleetError, LinkId, TestFleet};
use crate::link::LinkFaults;

const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum time until the last version is in force after all faults were removed.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which the fleet is polled for the version in force.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Options for running a scenario.
#[derive(Clone, Debug)]
pub struct RunOptions<'a> {
    /// Path of the program that the processes run.
    pub program: &'a Path,
    /// Folder for records, logs and rules, which is created.
    pub report_dir: &'a Path,
    /// Seed of the random events and of the client load.
    pub seed: u64,
    /// Whether routers take part in coordination.
    pub coordinated: bool,
    /// Maximum overlap of attempts under contradicting versions, and of operations under an older and a newer lease.
    pub max_overlap: Duration,
    /// Additional environment variables of all processes.
    pub env: Vec<(String, String)>,
}

impl FleetScenario {
    /// Runs the scenario, writes the rules to the folder of the records, and judges the records.
    ///
    /// # Errors
    ///
    /// Returns an error if the fleet can't be set up, a process does not start, an event proposes an unknown document,
    /// or a file can't be used.
    pub fn run(&self, options: &RunOptions<'_>) -> Result<FleetReport, ScenarioError> {
        let mut topology = self.topology();
        topology.coordinated = options.coordinated;
        let mut fleet =
            TestFleet::new(topology, options.program, options.report_dir).map_err(|source| {
                ScenarioError::Fleet {
                    step: "fleet setup",
                    source,
                }
            })?;
        for (name, value) in &options.env {
            fleet.set_env(name, value);
        }
        let outcome = ScenarioRun::start(&self.timeline, &mut fleet, options.seed)?.run()?;
        let records = fleet
            .recorder()
            .records()
            .map_err(ScenarioError::io("run records"))?;
        // Ends all processes before the verdict.
        drop(fleet);
        let rules = self.rules(options.max_overlap, &outcome);
        let text = serde_json::to_string_pretty(&rules).unwrap_or_default();
        std::fs::write(options.report_dir.join("rules.json"), text)
            .map_err(ScenarioError::io("rules.json"))?;
        Ok(FleetReport {
            verdict: judge(&records, &rules),
            outcome,
        })
    }

    fn rules(&self, max_overlap: Duration, outcome: &Outcome) -> Rules {
        let mut rules = Rules {
            classes: std::collections::BTreeMap::new(),
            drain_grace: u64::MAX,
            max_attempts: u32::MAX,
            order_pause: 0,
            retry_budget: None,
            versions: Some(VersionRules {
                max_overlap: max_overlap.as_micros() as u64,
                compatible: outcome.compatible.clone(),
                max_unheld: self.max_unheld.map(|span| span.as_micros()),
            }),
        };
        self.timeline.add_rules(&mut rules);
        rules
    }
}

/// A running scenario.
struct ScenarioRun<'a> {
    timeline: &'a Timeline,
    fleet: &'a mut TestFleet,
    load: ClientLoad,
    events: Vec<ScheduledEvent>,
    rollouts: Rollouts,
    outcome: Outcome,
    run_started: Instant,
    load_started: Instant,
}

impl<'a> ScenarioRun<'a> {
    /// Starts all processes, and then the client load once the routers enforce the first version.
    fn start(
        timeline: &'a Timeline,
        fleet: &'a mut TestFleet,
        seed: u64,
    ) -> Result<ScenarioRun<'a>, ScenarioError> {
        let first = timeline
            .documents
            .get(FIRST_DOCUMENT)
            .ok_or_else(|| ScenarioError::UnknownDocument(FIRST_DOCUMENT.to_owned()))?;
        let run_started = Instant::now();
        fleet
            .start_with_first_version(first, START_TIMEOUT)
            .and_then(|()| fleet.start_routers(START_TIMEOUT))
            .map_err(run_error)?;
        let load = ClientLoad::start(&timeline.clients, seed, fleet.recorder())
            .map_err(ScenarioError::io("client threads"))?;
        load.set_routers(fleet.running_routers());
        let (routers, replicas) = (fleet.topology().routers, fleet.topology().replicas);
        let mut events = timeline.events.clone();
        events.extend(timeline.random_events(seed, routers, replicas));
        // A stable sort, so that events with the same time keep their order.
        events.sort_by_key(|event| event.at);
        Ok(ScenarioRun {
            timeline,
            fleet,
            load,
            events,
            rollouts: Rollouts::new(first),
            outcome: Outcome::default(),
            run_started,
            load_started: Instant::now(),
        })
    }

    fn run(mut self) -> Result<Outcome, ScenarioError> {
        for scheduled in std::mem::take(&mut self.events) {
            self.poll_until(Duration::from_micros(scheduled.at.as_micros()));
            self.outcome.logged_events.push(LoggedEvent {
                elapsed_ms: self.load_started.elapsed().as_millis() as u64,
                description: scheduled.event.to_string(),
            });
            self.apply(&scheduled.event)?;
            self.load.set_routers(self.fleet.running_routers());
        }
        self.poll_until(Duration::from_micros(self.timeline.duration.as_micros()));
        self.settle()
    }

    /// Tracks rollouts until `end` after the start of the client load.
    fn poll_until(&mut self, end: Duration) {
        loop {
            let remaining = end.saturating_sub(self.load_started.elapsed());
            if remaining.is_zero() {
                return;
            }
            self.rollouts.update(self.fleet);
            let remaining = end.saturating_sub(self.load_started.elapsed());
            std::thread::sleep(POLL_INTERVAL.min(remaining));
        }
    }

    /// Restores the links, starts stopped replicas, resumes paused routers, finishes the client load, waits until the
    /// last version is in force, and collects the outcome. Killed routers stay down.
    fn settle(mut self) -> Result<Outcome, ScenarioError> {
        self.fleet.restore_links();
        self.fleet.start_stopped_replicas().map_err(run_error)?;
        self.fleet.resume_routers();
        self.load.finish();
        let last = self.rollouts.last();
        let in_force = self.fleet.wait_until_in_force(last, SETTLE_TIMEOUT);
        self.rollouts.update(self.fleet);
        let history = self.fleet.history();
        let mut outcome = self.outcome;
        outcome.numbers = self.fleet.version_numbers().unwrap_or_default();
        if !in_force {
            outcome.lost.push(last);
        }
        outcome.lost.extend(self.rollouts.missing_from(&history));
        outcome.in_force_ms = self.rollouts.into_times();
        outcome.compatible = history
            .iter()
            .filter(|version| version.kind == Change::Neutral)
            .map(|version| version.number)
            .collect();
        outcome.exited_processes = self.fleet.exited_processes();
        outcome.logged_events.push(LoggedEvent {
            elapsed_ms: self.run_started.elapsed().as_millis() as u64,
            description: "the end".into(),
        });
        Ok(outcome)
    }

    fn apply(&mut self, event: &ScenarioEvent) -> Result<(), ScenarioError> {
        match event {
            ScenarioEvent::Propose(document) => self.propose(document),
            event => apply_to_fleet(self.fleet, event).map_err(run_error),
        }
    }

    fn propose(&mut self, name: &str) -> Result<(), ScenarioError> {
        let document = self
            .timeline
            .documents
            .get(name)
            .ok_or_else(|| ScenarioError::UnknownDocument(name.to_owned()))?;
        let outcome = &mut self.outcome;
        let proposals = outcome.accepted + outcome.rejected + outcome.unknown;
        let proposed_at = Instant::now();
        match self.fleet.propose(&format!("{name}-{proposals}"), document) {
            Ok(ProposalResponse::Accepted(number)) => {
                outcome.accepted += 1;
                self.rollouts.add(number, document, proposed_at);
            }
            Ok(ProposalResponse::Rejected(_)) => outcome.rejected += 1,
            Err(_) => outcome.unknown += 1,
        }
        Ok(())
    }
}

fn run_error(source: FleetError) -> ScenarioError {
    ScenarioError::Fleet {
        step: "fleet run",
        source,
    }
}

/// Applies an event. Proposals have no effect here, as they need the documents of the scenario.
fn apply_to_fleet(fleet: &mut TestFleet, event: &ScenarioEvent) -> Result<(), FleetError> {
    match event {
        ScenarioEvent::Propose(_) => {}
        ScenarioEvent::IsolateRouter(router) => {
            fleet.fail_router_links(*router, LinkFaults::blocked());
        }
        ScenarioEvent::PartitionReplica(replica) => {
            fleet.fail_links(LinkFaults::blocked(), |id| id.is_between_replicas(*replica));
        }
        ScenarioEvent::BlockRequests(from, to) => {
            fleet.fail_link(LinkId::Replicas(*from, *to), LinkFaults::blocked_requests());
        }
        ScenarioEvent::BlockResponses(router) => {
            fleet.fail_router_links(*router, LinkFaults::blocked_responses());
        }
        ScenarioEvent::AddLatency(ms) => {
            let faults = LinkFaults::delayed(Duration::from_millis(*ms));
            fleet.fail_links(faults, |id| matches!(id, LinkId::Router(..)));
        }
        ScenarioEvent::AddRouterLatency(router, ms) => {
            let faults = LinkFaults::delayed(Duration::from_millis(*ms));
            fleet.fail_router_links(*router, faults);
        }
        ScenarioEvent::ResetConnections => fleet.reset_links(|_| true),
        ScenarioEvent::RestoreLinks => fleet.restore_links(),
        ScenarioEvent::KillReplica(replica) => fleet.kill_replica(*replica),
        ScenarioEvent::StartReplica(replica) => fleet.start_replica_if_stopped(*replica)?,
        ScenarioEvent::KillReplicas => fleet.kill_replicas(|_| true),
        ScenarioEvent::KillOtherReplicas(survivor) => {
            fleet.kill_replicas(|replica| replica != *survivor);
        }
        ScenarioEvent::StartReplicas => fleet.start_stopped_replicas()?,
        ScenarioEvent::KillRouter(router) => fleet.kill_router(*router),
        ScenarioEvent::StartRouter(router) => fleet.start_router_if_stopped(*router)?,
        ScenarioEvent::PauseRouter(router) => fleet.pause_router(*router),
        ScenarioEvent::ResumeRouter(router) => fleet.resume_router(*router),
    }
    Ok(())
}
