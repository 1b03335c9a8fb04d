//! Owns what calls are answered with: from the state and from what acts came to.

use hoptiller_coordination::LeaseTableEntry;
use hoptiller_coordination::{CommandResponse, ConfigState, Micros};
use hoptiller_coordination_client::wire::{
    ClusterStatus, ErrorBody, HolderStatus, LeaseRenewalResponse, LeaseStatus, LogStatus,
    PeerStatus, ProposalResponse, ReplaceResponse, VersionNumbers,
};
use hoptiller_http::Response;
use serde::Serialize;

use crate::core::{Core, Told};

pub(crate) fn good(body: &impl Serialize) -> Response {
    match serde_json::to_vec(body) {
        Ok(bytes) => Response::json(200, bytes),
        Err(e) => problem(500, &e.to_string()),
    }
}

pub(crate) fn problem(status: u16, what: &str) -> Response {
    let body = serde_json::to_vec(&ErrorBody {
        message: what.to_owned(),
    })
    .unwrap_or_default();
    Response::json(status, body)
}

/// The answer to a call that went through the log.
pub(crate) fn of_told(told: Told) -> Response {
    match told {
        Told::Act(answer) => of_answer(answer),
        Told::Replaced(Ok(list)) => good(&ReplaceResponse { membership: list }),
        Told::Replaced(Err(why)) => problem(409, &why.to_string()),
    }
}

fn of_answer(answer: CommandResponse) -> Response {
    match answer {
        CommandResponse::LeaseGranted(granted) => good(&LeaseRenewalResponse::Granted(granted)),
        CommandResponse::UnknownVersion => good(&LeaseRenewalResponse::Ahead),
        CommandResponse::NoVersion => good(&LeaseRenewalResponse::Empty),
        CommandResponse::TooManyHolders => good(&LeaseRenewalResponse::TooManyHolders),
        CommandResponse::Proposed(Ok(number)) => good(&ProposalResponse::Accepted(number)),
        CommandResponse::Proposed(Err(refused)) => good(&ProposalResponse::Rejected(refused)),
        CommandResponse::LeaseReleased | CommandResponse::InForce(_) => good(&()),
        CommandResponse::NoteRecorded(noted) => good(&noted),
    }
}

pub(crate) fn numbers(fleet: &ConfigState) -> VersionNumbers {
    VersionNumbers {
        in_force: fleet.in_force(),
        last: fleet.latest(),
        lease_table: fleet.lease_table().revision(),
    }
}

/// Who does what for all.
pub(crate) fn leases(core: &Core, now: Micros) -> Vec<LeaseStatus> {
    let status = |posted: LeaseTableEntry| LeaseStatus {
        left_ms: core
            .left_of_lease(now, &posted.shard)
            .map(|left| left / 1000),
        part: posted.shard,
        holder: posted.holder,
        checkpoint_bytes: posted.note.map_or(0, |n| n.len() as u64),
    };
    core.fleet()
        .lease_table()
        .updates_since(0)
        .entries
        .into_iter()
        .map(status)
        .collect()
}

pub(crate) fn status(me: u64, core: &Core, now: Micros, heard: Vec<PeerStatus>) -> ClusterStatus {
    let fleet = core.fleet();
    let next = fleet.pending().next().map(|v| v.metadata.number);
    let holders = fleet.holders().map(|(holder, held)| HolderStatus {
        holder: holder.clone(),
        enforced_version: held.enforced,
        left_ms: core.left(now, holder).unwrap_or(0) / 1000,
        blocks_rollout: next.is_some_and(|next| held.enforced < next),
    });
    let (decided, kept) = core.sizes();
    ClusterStatus {
        replica: me,
        leader: core.leader(),
        versions: numbers(fleet),
        pending: fleet.pending().map(|v| v.metadata.clone()).collect(),
        holders: holders.collect(),
        membership: core.members().number,
        replicas: core.members().all(),
        peers: heard,
        log: LogStatus {
            decided: decided as u64,
            retained: kept as u64,
        },
    }
}
