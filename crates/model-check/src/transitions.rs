//! The transitions of the model. Each function returns `None` if its step is not possible in the state.

use std::sync::Arc;

use hoptiller_coordination::{
    Command, CommandResponse, ExpiryTracker, LeaseTableUpdate, TaskLeaseGrant,
};

use crate::model::{LATE_REPLICA, LeaseModel, SHARD, holder};
use crate::state::{LogState, Message, Operation, State, Step};

/// Applies a step to the state.
pub(crate) fn apply_step(model: &LeaseModel, state: &mut State, step: Step) -> Option<()> {
    match step {
        Step::Tick => state.now += 1,
        Step::Renew(process) => renew(model, state, process),
        Step::ReceiveRequest {
            message,
            replica,
            duplicated,
        } => receive_request(model, state, message, replica, duplicated)?,
        Step::ReceiveResponse(message) => receive_response(model, state, message)?,
        Step::CatchUp(replica) => catch_up(model, state, replica),
        Step::ExpireTaskLeases(replica) => {
            let now = model.replica_clock(replica, state.now);
            let expiry = state.replicas[replica].expiry.as_ref()?;
            let expired = expiry.expired_task_leases(now, &model.timing);
            append(model, state, replica, Command::ExpireTaskLeases(expired))?;
        }
        Step::ExpireConfigLeases(replica) => {
            let now = model.replica_clock(replica, state.now);
            let expiry = state.replicas[replica].expiry.as_ref()?;
            let command = Command::CompleteRollout {
                upto: state.log.0.latest(),
                expired: expiry.expired_config_leases(now, &model.timing),
            };
            append(model, state, replica, command)?;
        }
        Step::Crash(replica) => {
            state.crashes += 1;
            state.replicas[replica].expiry = None;
        }
        Step::Restart(replica) => {
            let now = model.replica_clock(replica, state.now);
            let replica = &mut state.replicas[replica];
            replica.expiry = Some(ExpiryTracker::start(now, &replica.log.0));
        }
        Step::BeginOperation(process) => begin_operation(model, state, process)?,
        Step::SendOperation(process) => send_operation(model, state, process)?,
        Step::CompleteOperation(process) => complete_operation(state, process)?,
    }
    Some(())
}

fn renew(model: &LeaseModel, state: &mut State, process: usize) {
    let now = model.process_clock(process, state.now);
    let sender = &mut state.processes[process];
    let id = sender.next_id;
    sender.next_id += 1;
    sender.renewals += 1;
    let offer = sender.leases.start_renewal(id, now).into();
    state.messages.insert(Message::Request {
        process,
        id,
        offer,
        duplicate: false,
    });
}

fn take_message(state: &mut State, message: usize) -> Option<Message> {
    let message = state.messages.iter().nth(message)?.clone();
    state.messages.take(&message)
}

fn receive_request(
    model: &LeaseModel,
    state: &mut State,
    message: usize,
    replica: usize,
    duplicated: bool,
) -> Option<()> {
    let Message::Request {
        process, id, offer, ..
    } = take_message(state, message)?
    else {
        return None;
    };
    if duplicated {
        state.duplicates += 1;
        state.messages.insert(Message::Request {
            process,
            id,
            offer: offer.clone(),
            duplicate: true,
        });
    }
    let renewal = Command::RenewLease {
        holder: holder(process),
        enforced: 1,
        in_force: 1,
        offer: Some(offer.into()),
    };
    let CommandResponse::LeaseGranted(grant) = append(model, state, replica, renewal)? else {
        return None;
    };
    let lease = |lease: &TaskLeaseGrant| (lease.fencing_token, lease.release_requested);
    state.messages.insert(Message::Response {
        process,
        id,
        serial: grant.serial,
        leases: grant.leases.map(|all| all.iter().map(lease).collect()),
    });
    Some(())
}

fn receive_response(model: &LeaseModel, state: &mut State, message: usize) -> Option<()> {
    let Message::Response {
        process,
        id,
        serial,
        leases,
    } = take_message(state, message)?
    else {
        return None;
    };
    let grant = |(fencing_token, release_requested): (u64, bool)| TaskLeaseGrant {
        shard: SHARD,
        fencing_token,
        release_requested,
    };
    let grants: Option<Vec<_>> = leases.map(|all| all.into_iter().map(grant).collect());
    let table = LeaseTableUpdate {
        revision: 0,
        shards: vec![SHARD],
        entries: Vec::new(),
    };
    let now = model.process_clock(process, state.now);
    let client = &mut state.processes[process].leases;
    client.accept_grant(id, now, serial, grants.as_deref(), Some(&table));
    Some(())
}

/// Appends a command to the log by way of a replica. Returns `None` unless a majority of the replicas runs.
fn append(
    model: &LeaseModel,
    state: &mut State,
    replica: usize,
    command: Command,
) -> Option<CommandResponse> {
    let running = state
        .replicas
        .iter()
        .filter(|replica| replica.expiry.is_some())
        .count();
    if running * 2 <= state.replicas.len() {
        return None;
    }
    let mut config = state.log.0.clone();
    let response = config.apply(command);
    state.log = Arc::new(LogState(config));
    // All replicas but the late one apply the command at once, which makes leases as short as possible.
    for other in 0..state.replicas.len() {
        if other != LATE_REPLICA || other == replica {
            catch_up(model, state, other);
        }
    }
    for entry in state.log.0.lease_table().updates_since(0).entries {
        if let Some((holder, token)) = entry.holder {
            let assigned = state.assigned.entry(token);
            let known = assigned.or_insert_with(|| holder.clone());
            state.token_reused |= *known != holder;
        }
    }
    Some(response)
}

fn catch_up(model: &LeaseModel, state: &mut State, replica: usize) {
    let now = model.replica_clock(replica, state.now);
    let replica = &mut state.replicas[replica];
    replica.log = state.log.clone();
    // A stopped replica has no expiry tracker; `Step::Restart` creates one. To apply commands while the replica is stopped
    // is equivalent to reading them at the start.
    if let Some(expiry) = &mut replica.expiry {
        expiry.observe(now, &replica.log.0);
    }
}

fn begin_operation(model: &LeaseModel, state: &mut State, process: usize) -> Option<()> {
    let now = model.process_clock(process, state.now);
    let process = &mut state.processes[process];
    let guard = process.leases.begin_operation(now, SHARD, 0)?;
    process.operation = Some(Operation {
        guard,
        sent_at: None,
    });
    Some(())
}

fn send_operation(model: &LeaseModel, state: &mut State, process: usize) -> Option<()> {
    let now = model.process_clock(process, state.now);
    let process = &mut state.processes[process];
    let operation = process.operation.as_mut()?;
    if process.leases.is_still_valid(now, &operation.guard) {
        operation.sent_at = Some(state.now);
    } else {
        process.leases.end_operation(&operation.guard);
        process.operation = None;
    }
    Some(())
}

fn complete_operation(state: &mut State, process: usize) -> Option<()> {
    let sender = &mut state.processes[process];
    let guard = sender.operation.take()?.guard;
    sender.leases.end_operation(&guard);
    let token = guard.fencing_token;
    if let Some((latest, other)) = state.latest_operation {
        state.two_holders_acted |= token < latest || (token == latest && other != process);
        state.taken_over |= token > latest;
    }
    state.latest_operation = state.latest_operation.max(Some((token, process)));
    Some(())
}
