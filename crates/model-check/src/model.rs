//! The model: its bounds, its initial state, the steps that each state permits, and the properties of states.

use std::collections::BTreeSet;
use std::sync::Arc;

use hoptiller_coordination::fault_injection::{self, Fault};
use hoptiller_coordination::{
    Command, CommandResponse, ConfigState, Document, ExpiryTracker, Holder, LeaseTiming,
    MIN_CONSECUTIVE_RENEWALS, Micros, Proposal, Shard, Task, TaskLeaseClient,
};
use stateright::{Model, Property};

use crate::state::{LogState, Message, Process, Replica, State, Step};
use crate::transitions::apply_step;

/// One step of the time.
pub const TICK: Micros = 1_000_000;
/// Property: an operation never arrives after one of a later holder.
pub const NEVER_TWO_HOLDERS_ACT: &str = "never two acting";
/// Property: no fencing token is assigned twice.
pub const NO_TOKEN_REUSED: &str = "no number is given twice";
/// Reached: a shard whose lease has ended is assigned to another process, which acts.
pub const FREE_SHARD_TAKEN: &str = "a free part is taken";
/// Reached: an operation is on its way when its lease is about to expire.
pub const HOLDER_ACTS_UNTIL_EXPIRY: &str = "a holder acts to its last moment";

/// The shard that all processes want.
pub(crate) const SHARD: Shard = Shard {
    task: Task::Discovery,
    index: 0,
};
/// The number of replicas.
const REPLICAS: usize = 3;
/// The replica that learns late of what the log holds.
pub(crate) const LATE_REPLICA: usize = 2;
/// The maximum difference between clocks, in millionths.
const DRIFT: u64 = 100_000;
const MILLION: u64 = 1_000_000;
/// Renewals of one process without a response, at most.
const MAX_OPEN_RENEWALS: usize = 2;

/// The bounds of a check.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The duration of an execution, in ticks.
    pub ticks: u32,
    /// The term of leases, in ticks.
    pub term: u32,
    /// The number of renewals of each process.
    pub asks: u32,
    /// The number of crashes of replicas, in all.
    pub crashes: u32,
    /// The number of renewals that arrive twice, in all.
    pub doubles: u32,
    /// How many ticks an operation may be on its way: the margin.
    pub way: u32,
    /// Whether the second process starts only now: it has renewed nothing yet.
    pub late_twin: bool,
    /// The number of processes that want the lease: the second is another incarnation of the first one's router.
    pub processes: usize,
}

/// The model of replicas and processes that contend for one lease.
#[derive(Clone, Debug)]
pub struct LeaseModel {
    /// Its bounds.
    pub limits: Limits,
    pub(crate) timing: LeaseTiming,
    initial: ConfigState,
    /// By process: its state after renewing often enough in a row, and the id of its next renewal.
    clients: Vec<(TaskLeaseClient, u64)>,
}

/// The holder of a process. The first two are incarnations of one router.
pub(crate) fn holder(process: usize) -> Holder {
    let router = match process {
        0 | 1 => "r1".to_owned(),
        _ => format!("r{process}"),
    };
    let incarnation = match fault_injection::is_injected(Fault::IgnoreIncarnation) {
        true => String::new(),
        false => process.to_string(),
    };
    Holder {
        router,
        incarnation,
    }
}

/// A configuration with one task of one shard.
fn initial_config() -> ConfigState {
    let mut config = ConfigState::default();
    let text = r#"{"form": 1, "kinds": {"a": 8}, "tasks": {"list": 1},
        "classes": {"lookup": {"aim": "1s", "patience": "7s", "repeat": "safe"}}, "engines": {},
        "rules": {"start_capacity": 0.3, "ramp": "14s", "overload": 3, "fall": "2s"}}"#;
    if let Ok(document) = Document::from_json(text.as_bytes()) {
        config.apply(Command::Propose(Box::new(Proposal {
            change_name: "first".to_owned(),
            base: None,
            author: "check".to_owned(),
            proposed_at_ms: 1,
            reason: "check".to_owned(),
            document,
        })));
    }
    config
}

/// Runs the renewals of the processes until they are eligible for leases.
fn renew_until_eligible(
    config: &mut ConfigState,
    clients: &mut [(TaskLeaseClient, u64)],
    late_twin: bool,
) {
    for _ in 0..=MIN_CONSECUTIVE_RENEWALS + 1 {
        for (process, (leases, next_id)) in clients.iter_mut().enumerate() {
            if process == 1 && late_twin {
                continue;
            }
            let renewal = Command::RenewLease {
                holder: holder(process),
                enforced: 1,
                in_force: 1,
                offer: Some(leases.start_renewal(*next_id, 0)),
            };
            if let CommandResponse::LeaseGranted(grant) = config.apply(renewal) {
                let (granted, table) = (grant.leases.as_deref(), grant.lease_table.as_ref());
                leases.accept_grant(*next_id, 0, grant.serial, granted, table);
            }
            *next_id += 1;
        }
    }
}

impl LeaseModel {
    /// A model in which all processes have renewed often enough to be assigned leases.
    pub fn new(limits: Limits) -> LeaseModel {
        let timing = LeaseTiming {
            term: Micros::from(limits.term) * TICK,
            drift: DRIFT,
        };
        let margin = Micros::from(limits.way) * TICK;
        let mut initial = initial_config();
        let mut clients = vec![(TaskLeaseClient::new(&timing, margin), 0); limits.processes];
        renew_until_eligible(&mut initial, &mut clients, limits.late_twin);
        LeaseModel {
            limits,
            timing,
            initial,
            clients,
        }
    }

    /// A process's clock: slow by the drift, but the last one's, which is fast.
    pub(crate) fn process_clock(&self, process: usize, now: u32) -> Micros {
        let is_fast = process + 1 == self.limits.processes;
        drifted(now, is_fast)
    }

    /// A replica's clock: fast by the drift, but the first one's, which is slow.
    pub(crate) fn replica_clock(&self, replica: usize, now: u32) -> Micros {
        drifted(now, replica != 0)
    }

    fn message_steps(&self, state: &State, steps: &mut Vec<Step>) {
        let is_running = |replica: &usize| state.replicas[*replica].expiry.is_some();
        for (message, content) in state.messages.iter().enumerate() {
            let Message::Request { duplicate, .. } = content else {
                steps.push(Step::ReceiveResponse(message));
                continue;
            };
            // Which replica receives it matters only for the one that learns late.
            let first = (0..REPLICAS).find(is_running);
            let late = Some(LATE_REPLICA).filter(|r| is_running(r) && first != Some(*r));
            for replica in first.into_iter().chain(late) {
                let receive = |duplicated| Step::ReceiveRequest {
                    message,
                    replica,
                    duplicated,
                };
                steps.push(receive(false));
                if !duplicate && state.duplicates < self.limits.doubles {
                    steps.push(receive(true));
                }
            }
        }
    }

    fn replica_steps(&self, state: &State, steps: &mut Vec<Step>) {
        for (r, replica) in state.replicas.iter().enumerate() {
            let Some(expiry) = &replica.expiry else {
                steps.push(Step::Restart(r));
                continue;
            };
            if replica.log != state.log {
                steps.push(Step::CatchUp(r));
            }
            let now = self.replica_clock(r, state.now);
            if !expiry.expired_task_leases(now, &self.timing).is_empty() {
                steps.push(Step::ExpireTaskLeases(r));
            }
            if !expiry.expired_config_leases(now, &self.timing).is_empty() {
                steps.push(Step::ExpireConfigLeases(r));
            }
            if state.crashes < self.limits.crashes {
                steps.push(Step::Crash(r));
            }
        }
    }

    fn process_steps(&self, state: &State, steps: &mut Vec<Step>) {
        for (p, process) in state.processes.iter().enumerate() {
            let is_own = |message: &&Message| matches!(message, Message::Request { process, .. } if *process == p);
            // A renewal that is lost stays open for good.
            let open = state.messages.iter().filter(is_own).count();
            if process.renewals < self.limits.asks && open < MAX_OPEN_RENEWALS {
                steps.push(Step::Renew(p));
            }
            let now = self.process_clock(p, state.now);
            match &process.operation {
                None if process.leases.is_holding(now, SHARD) => {
                    steps.push(Step::BeginOperation(p));
                }
                None => {}
                Some(operation) => steps.push(match operation.sent_at {
                    None => Step::SendOperation(p),
                    Some(_) => Step::CompleteOperation(p),
                }),
            }
        }
    }
}

fn drifted(now: u32, is_fast: bool) -> Micros {
    let rate = match is_fast {
        true => MILLION + DRIFT,
        false => MILLION - DRIFT,
    };
    Micros::from(now) * TICK * rate / MILLION
}

/// Whether a process's operation is on its way.
fn is_in_flight(process: &Process) -> bool {
    let operation = process.operation.as_ref();
    operation.is_some_and(|operation| operation.sent_at.is_some())
}

impl Model for LeaseModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let log = Arc::new(LogState(self.initial.clone()));
        let replica = Replica {
            log: log.clone(),
            expiry: Some(ExpiryTracker::start(0, &log.0)),
        };
        let processes = self.clients.iter().map(|(leases, next_id)| Process {
            leases: leases.clone(),
            next_id: *next_id,
            renewals: 0,
            operation: None,
        });
        let table = log.0.lease_table().updates_since(0);
        let holders = table.entries.into_iter().filter_map(|entry| entry.holder);
        vec![State {
            now: 0,
            replicas: vec![replica; REPLICAS],
            processes: processes.collect(),
            messages: BTreeSet::new(),
            crashes: 0,
            duplicates: 0,
            latest_operation: None,
            assigned: holders.map(|(holder, token)| (token, holder)).collect(),
            two_acted: false,
            token_reused: false,
            taken_over: false,
            log,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.is_violation() {
            return;
        }
        // An operation is on its way for the margin at most.
        let is_overdue = |process: &Process| {
            let sent_at = process.operation.as_ref().and_then(|o| o.sent_at);
            sent_at.is_some_and(|sent_at| sent_at + self.limits.way <= state.now)
        };
        if state.now < self.limits.ticks && !state.processes.iter().any(is_overdue) {
            steps.push(Step::Tick);
        }
        self.message_steps(state, steps);
        self.replica_steps(state, steps);
        self.process_steps(state, steps);
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        apply_step(self, &mut state, step)?;
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NEVER_TWO_HOLDERS_ACT, |_, state: &State| !state.two_acted),
            Property::always(NO_TOKEN_REUSED, |_, state: &State| !state.token_reused),
            Property::sometimes(FREE_SHARD_TAKEN, |_, state: &State| state.taken_over),
            Property::sometimes(
                HOLDER_ACTS_UNTIL_EXPIRY,
                |model: &LeaseModel, state: &State| {
                    state.now + 2 >= model.limits.term && state.processes.iter().any(is_in_flight)
                },
            ),
        ]
    }
}
