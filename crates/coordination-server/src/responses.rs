//! Constructors of HTTP responses from the replicated state and the results of commands.

use hoptiller_coordination::{CommandResponse, ConfigState, LeaseTableEntry, Micros};
use hoptiller_coordination_client::wire::{
    ClusterStatus, ErrorBody, HolderStatus, LeaseRenewalResponse, LeaseStatus, LogStatus,
    PeerStatus, ProposalResponse, ReplaceResponse, VersionNumbers,
};
use hoptiller_http::Response as HttpResponse;
use serde::Serialize;

use crate::replica::Replica;
use crate::request::Response;

pub(crate) const MICROS_PER_MS: Micros = 1000;

/// Returns a response with status 200.
pub(crate) fn ok(body: &impl Serialize) -> HttpResponse {
    json(200, body)
}

/// Returns a response with a JSON body.
pub(crate) fn json(status: u16, body: &impl Serialize) -> HttpResponse {
    match serde_json::to_vec(body) {
        Ok(bytes) => HttpResponse::json(status, bytes),
        Err(e) => error(500, &e.to_string()),
    }
}

/// Returns an error response.
pub(crate) fn error(status: u16, message: &str) -> HttpResponse {
    let body = ErrorBody {
        message: message.to_owned(),
    };
    HttpResponse::json(status, serde_json::to_vec(&body).unwrap_or_default())
}

/// Returns the HTTP response to a request that went through the log.
pub(crate) fn from_log(response: Response) -> HttpResponse {
    match response {
        Response::Command(result) => command_result(result),
        Response::Replaced(Ok(membership)) => ok(&ReplaceResponse { membership }),
        Response::Replaced(Err(reason)) => error(409, &reason.to_string()),
    }
}

fn command_result(result: CommandResponse) -> HttpResponse {
    match result {
        CommandResponse::LeaseGranted(granted) => ok(&LeaseRenewalResponse::Granted(granted)),
        CommandResponse::UnknownVersion => ok(&LeaseRenewalResponse::UnknownVersion),
        CommandResponse::NoVersion => ok(&LeaseRenewalResponse::NoVersion),
        CommandResponse::TooManyHolders => ok(&LeaseRenewalResponse::TooManyHolders),
        CommandResponse::Proposed(Ok(number)) => ok(&ProposalResponse::Accepted(number)),
        CommandResponse::Proposed(Err(rejection)) => ok(&ProposalResponse::Rejected(rejection)),
        CommandResponse::LeaseReleased | CommandResponse::InForce(_) => ok(&()),
        CommandResponse::NoteRecorded(result) => ok(&result),
    }
}

/// Returns the current version numbers.
pub(crate) fn version_numbers(config: &ConfigState) -> VersionNumbers {
    VersionNumbers {
        in_force: config.in_force(),
        last: config.latest(),
        table_revision: config.lease_table().revision(),
    }
}

/// Returns the leases of shards, with the remaining time by this replica's clock.
pub(crate) fn leases(replica: &Replica, now: Micros) -> Vec<LeaseStatus> {
    let status = |entry: LeaseTableEntry| LeaseStatus {
        left_ms: replica
            .task_lease_remaining(now, &entry.shard)
            .map(|left| left / MICROS_PER_MS),
        shard: entry.shard,
        holder: entry.holder,
        note_bytes: entry.note.map_or(0, |note| note.len() as u64),
    };
    let table = replica.config_state().lease_table().updates_since(0);
    table.entries.into_iter().map(status).collect()
}

/// Returns the state of the cluster as seen by one replica.
pub(crate) fn status(
    id: u64,
    replica: &Replica,
    now: Micros,
    peers: Vec<PeerStatus>,
) -> ClusterStatus {
    let config = replica.config_state();
    let next = config
        .pending()
        .next()
        .map(|version| version.metadata.number);
    let holders = config.holders().map(|(holder, held)| HolderStatus {
        holder: holder.clone(),
        enforced_version: held.enforced,
        left_ms: replica.config_lease_remaining(now, holder).unwrap_or(0) / MICROS_PER_MS,
        blocks_rollout: next.is_some_and(|next| held.enforced < next),
    });
    let log = replica.log_size();
    ClusterStatus {
        replica: id,
        leader: replica.leader(),
        versions: version_numbers(config),
        pending: config
            .pending()
            .map(|version| version.metadata.clone())
            .collect(),
        holders: holders.collect(),
        membership: replica.membership().number,
        replicas: replica.membership().replica_ids(),
        peers,
        log: LogStatus {
            decided: log.decided as u64,
            retained: log.retained as u64,
        },
    }
}
