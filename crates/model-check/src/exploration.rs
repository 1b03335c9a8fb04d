//! The search space of the model checker: the initial state, the steps that each state permits, and the properties that
//! are checked.

use std::collections::BTreeSet;
use std::sync::Arc;

use hoptiller_coordination::ExpiryTracker;
use stateright::{Model, Property};

use crate::model::{LATE_REPLICA, LeaseModel, REPLICAS, SHARD};
use crate::state::{LogState, Message, Process, Replica, State, Step};
use crate::transitions::apply_step;

/// Safety property: no operation arrives under an older fencing token than an earlier arrival, and operations of two
/// processes never arrive under the same token.
pub const NEVER_TWO_HOLDERS_ACT: &str = "no holder acts after a later holder";
/// Safety property: no fencing token is assigned to two holders.
pub const NO_TOKEN_REUSED: &str = "no fencing token is assigned to two holders";
/// Reachability property: a shard whose lease has ended is assigned again, and an operation under the new token arrives.
pub const FREE_SHARD_TAKEN: &str = "a free shard is taken over";
/// Reachability property: an operation is in flight near or after the end of the first lease term.
pub const HOLDER_ACTS_UNTIL_EXPIRY: &str = "an operation is in flight at the end of a term";

/// Number of ticks before the end of the first lease term that count as its end.
const END_OF_TERM_TICKS: u32 = 2;
/// Maximum number of renewal requests of one process in flight, including duplicates.
const MAX_OPEN_RENEWALS: usize = 2;

impl LeaseModel {
    fn message_steps(&self, state: &State, steps: &mut Vec<Step>) {
        let is_running = |replica: &usize| state.replicas[*replica].expiry.is_some();
        for (message, content) in state.messages.iter().enumerate() {
            let Message::Request { duplicate, .. } = content else {
                steps.push(Step::ReceiveResponse(message));
                continue;
            };
            // Only the late replica differs from the others as a receiver.
            let first = (0..REPLICAS).find(is_running);
            let late =
                Some(LATE_REPLICA).filter(|replica| is_running(replica) && first != Some(*replica));
            for replica in first.into_iter().chain(late) {
                let receive = |duplicated| Step::ReceiveRequest {
                    message,
                    replica,
                    duplicated,
                };
                steps.push(receive(false));
                if !duplicate && state.duplicates < self.limits.max_duplicates {
                    steps.push(receive(true));
                }
            }
        }
    }

    fn replica_steps(&self, state: &State, steps: &mut Vec<Step>) {
        for (index, replica) in state.replicas.iter().enumerate() {
            let Some(expiry) = &replica.expiry else {
                steps.push(Step::Restart(index));
                continue;
            };
            if replica.log != state.log {
                steps.push(Step::CatchUp(index));
            }
            let now = self.replica_clock(index, state.now);
            if !expiry.expired_task_leases(now, &self.timing).is_empty() {
                steps.push(Step::ExpireTaskLeases(index));
            }
            if !expiry.expired_config_leases(now, &self.timing).is_empty() {
                steps.push(Step::ExpireConfigLeases(index));
            }
            if state.crashes < self.limits.max_crashes {
                steps.push(Step::Crash(index));
            }
        }
    }

    fn process_steps(&self, state: &State, steps: &mut Vec<Step>) {
        for (index, process) in state.processes.iter().enumerate() {
            let is_own = |message: &&Message| matches!(message, Message::Request { process, .. } if *process == index);
            // A lost request is one that is never received: it stays open.
            let open = state.messages.iter().filter(is_own).count();
            if process.renewals < self.limits.max_renewals && open < MAX_OPEN_RENEWALS {
                steps.push(Step::Renew(index));
            }
            let now = self.process_clock(index, state.now);
            match &process.operation {
                None if process.leases.is_holding(now, SHARD) => {
                    steps.push(Step::BeginOperation(index));
                }
                None => {}
                Some(operation) => steps.push(match operation.sent_at {
                    None => Step::SendOperation(index),
                    Some(_) => Step::CompleteOperation(index),
                }),
            }
        }
    }
}

/// Returns whether an operation of the process is in flight.
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
            two_holders_acted: false,
            token_reused: false,
            taken_over: false,
            log,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.is_violation() {
            return;
        }
        // An operation is in flight for the margin at most.
        let is_overdue = |process: &Process| {
            let sent_at = process
                .operation
                .as_ref()
                .and_then(|operation| operation.sent_at);
            sent_at.is_some_and(|sent_at| sent_at + self.limits.max_operation_ticks <= state.now)
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
            Property::always(NEVER_TWO_HOLDERS_ACT, |_, state: &State| {
                !state.two_holders_acted
            }),
            Property::always(NO_TOKEN_REUSED, |_, state: &State| !state.token_reused),
            Property::sometimes(FREE_SHARD_TAKEN, |_, state: &State| state.taken_over),
            Property::sometimes(
                HOLDER_ACTS_UNTIL_EXPIRY,
                |model: &LeaseModel, state: &State| {
                    state.now + END_OF_TERM_TICKS >= model.limits.term
                        && state.processes.iter().any(is_in_flight)
                },
            ),
        ]
    }
}
