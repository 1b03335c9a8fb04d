//! Handlers to look up, kill and pause statements. Looking up also tells whether the effects of a statement were
//! committed or rolled back. Killing is part of Trino's protocol, pausing is not.

use hoptiller_http::server::Reply;
use hoptiller_http::{Method, Request, Response};
use hoptiller_statement::extra;

use super::results::QueryAddress;
use super::state::{Engine, EngineState};
use super::statement::{Phase, Statement};

const KILLED: &str = "killed";
const PAUSED: &str = "paused";

/// Responds to a request for `QUERY_ID`, `QUERY_ID/killed` or `QUERY_ID/paused`; `rest` is that part of the path.
pub(super) async fn respond(engine: &Engine, request: &Request, rest: &str) -> Reply {
    let (query_id, operation) = rest.split_once('/').unwrap_or((rest, ""));
    if operation == KILLED {
        delay_kill_until_finished(engine, QueryAddress::parse_number(query_id)).await;
    }
    let mut state = engine.advanced_state();
    let Some(number) = QueryAddress::parse_id(query_id, state.incarnation()) else {
        return gone_response().into();
    };
    let Some(statement) = state.statement(number) else {
        return gone_response().into();
    };
    let response = match (&request.method, operation) {
        (Method::Get, "") => query_info(query_id, statement),
        (Method::Put, KILLED | PAUSED) if !state.config.supports_kill => {
            Response::text(403, "this engine ends and pauses nothing")
        }
        (Method::Put, KILLED | PAUSED) if !statement.is_running() => {
            Response::text(409, "it is over")
        }
        (Method::Put, KILLED) => {
            kill(&mut state, number, request);
            engine.notify_work_changed();
            Response::new(202)
        }
        (Method::Put, PAUSED) => {
            let now = state.now();
            state.model.set_paused(now, number, request.body == b"true");
            engine.notify_work_changed();
            Response::new(202)
        }
        _ => Response::text(405, "not here"),
    };
    response.into()
}

fn gone_response() -> Response {
    Response::text(410, "no such statement")
}

fn kill(state: &mut EngineState, number: u64, request: &Request) {
    let reason = String::from_utf8_lossy(&request.body).into_owned();
    state.kill_statement(number, reason);
}

/// Returns the response with the state of a statement and, once it has ended, whether its effects were committed or
/// rolled back.
fn query_info(query_id: &str, statement: &Statement) -> Response {
    let (name, effects) = match statement.phase() {
        Phase::Running => ("RUNNING", None),
        Phase::Finished => ("FINISHED", Some("committed")),
        Phase::Killed(_) => ("FAILED", Some("rolled-back")),
    };
    let body = serde_json::json!({ "queryId": query_id, "state": name });
    let response = Response::json(200, body.to_string());
    match effects {
        Some(effects) if !statement.faults.withhold_effects => {
            response.with_header(extra::EFFECTS, effects)
        }
        _ => response,
    }
}

/// Waits until a statement has finished, if a fault delays its kill until then.
async fn delay_kill_until_finished(engine: &Engine, number: Option<u64>) {
    loop {
        let ended = {
            let state = engine.state();
            let statement = number.and_then(|number| state.statement(number));
            statement
                .filter(|s| s.faults.kill_after_finish && !s.is_finished())
                .map(Statement::listen_for_end)
        };
        match ended {
            Some(ended) => ended.await,
            None => return,
        }
    }
}
