//! Owns what calls are answered with: from the state and from what acts came to.

use hoptiller_coordination::lease::Posted;
use hoptiller_coordination::{Answer, Fleet, Micros};
use hoptiller_coordination_client::wire::{
    Asked, HolderStatus, LeaseStatus, Numbers, Problem, PutAnswer, Replaced, Status,
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
    let body = serde_json::to_vec(&Problem {
        problem: what.to_owned(),
    })
    .unwrap_or_default();
    Response::json(status, body)
}

/// The answer to a call that went through the log.
pub(crate) fn of_told(told: Told) -> Response {
    match told {
        Told::Act(answer) => of_answer(answer),
        Told::Replaced(Ok(list)) => good(&Replaced { list }),
        Told::Replaced(Err(why)) => problem(409, &why.to_string()),
    }
}

fn of_answer(answer: Answer) -> Response {
    match answer {
        Answer::Granted(granted) => good(&Asked::Granted(granted)),
        Answer::Ahead => good(&Asked::Ahead),
        Answer::Empty => good(&Asked::Empty),
        Answer::Crowded => good(&Asked::Crowded),
        Answer::Put(Ok(number)) => good(&PutAnswer::Taken(number)),
        Answer::Put(Err(refused)) => good(&PutAnswer::Refused(refused)),
        Answer::GivenBack | Answer::Settled(_) => good(&()),
        Answer::Noted(noted) => good(&noted),
    }
}

pub(crate) fn numbers(fleet: &Fleet) -> Numbers {
    Numbers {
        in_force: fleet.in_force(),
        last: fleet.last(),
        board: fleet.leases().upto(),
    }
}

/// Who does what for all.
pub(crate) fn leases(core: &Core, now: Micros) -> Vec<LeaseStatus> {
    let status = |posted: Posted| LeaseStatus {
        left_ms: core
            .left_of_lease(now, &posted.part)
            .map(|left| left / 1000),
        part: posted.part,
        holder: posted.holder,
        note_bytes: posted.note.map_or(0, |n| n.len() as u64),
    };
    core.fleet()
        .leases()
        .board(0)
        .posted
        .into_iter()
        .map(status)
        .collect()
}

pub(crate) fn status(me: u64, core: &Core, now: Micros, heard: Vec<(u64, Option<u64>)>) -> Status {
    let fleet = core.fleet();
    let next = fleet.pending().next().map(|v| v.head.number);
    let holders = fleet.holders().map(|(holder, held)| HolderStatus {
        holder: holder.clone(),
        heeds: held.heeds,
        left_ms: core.left(now, holder).unwrap_or(0) / 1000,
        holds_up: next.is_some_and(|next| held.heeds < next),
    });
    let (decided, kept) = core.sizes();
    Status {
        keeper: me,
        leader: core.leader(),
        numbers: numbers(fleet),
        pending: fleet.pending().map(|v| v.head.clone()).collect(),
        holders: holders.collect(),
        list: core.members().number,
        keepers: core.members().all(),
        heard_ms_ago: heard,
        log: (decided as u64, kept as u64),
    }
}
