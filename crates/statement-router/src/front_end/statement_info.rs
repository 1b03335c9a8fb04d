//! Information on the router and the history of statements, as JSON.

use hoptiller_http::Response;
use hoptiller_router_core::{AttemptHistory, status_description};
use hoptiller_statement::QueryId;
use serde_json::{Value, json};

use crate::context::RouterContext;

/// Returns information on the router in the format of an engine's `/v1/info`.
pub(super) fn router_info(context: &RouterContext) -> Response {
    let usage = context.with_core(|core, _| core.usage());
    let batches = context.event_loop().batch_stats();
    let settings = context.settings();
    let value = json!({
        "nodeVersion": { "version": env!("CARGO_PKG_VERSION") },
        "environment": settings.discovery.environment,
        "coordinator": true,
        "starting": false,
        "name": settings.router.name,
        "life": context.incarnation(),
        "engines": context.listed_engines(),
        "openStatements": usage.open_statements,
        "answeredStatements": usage.retained_statements,
        "heldBytes": usage.buffered_bytes,
        "attemptsUnderWay": context.engines().attempts_in_flight(),
        "rounds": batches.batches,
        "roundsMicros": batches.busy.as_micros() as u64,
    });
    Response::json(200, value.to_string())
}

/// Returns whether the router accepts statements.
pub(super) fn router_state(context: &RouterContext) -> Response {
    let state = if context.is_shutting_down() {
        "\"SHUTTING_DOWN\""
    } else {
        "\"ACTIVE\""
    };
    Response::json(200, state)
}

/// Returns the history of a statement.
pub(super) fn history(context: &RouterContext, id: &QueryId) -> Response {
    if id.incarnation() != context.incarnation() {
        return Response::text(
            410,
            "this statement belongs to an earlier incarnation of this router",
        );
    }
    let history = context.with_core(|core, now| core.history(now, id.number()));
    let Some(history) = history else {
        return Response::text(
            410,
            "this statement has ended, and its history is no longer retained",
        );
    };
    let settings = context.settings();
    let attempts = history.attempts.iter();
    let attempts: Vec<Value> = attempts
        .map(|attempt| attempt_json(context, attempt))
        .collect();
    let value = json!({
        "id": id.to_string(),
        "router": settings.router.name,
        "class": settings.classes[history.class].name,
        "state": history.phase,
        "why": history.reason,
        "elapsedMs": history.elapsed_ms,
        "patienceMs": history.timeout_ms,
        "waitedMs": history.queued_ms,
        "answers": history.responses,
        "attempts": attempts,
    });
    Response::json(200, format!("{value:#}"))
}

fn attempt_json(context: &RouterContext, attempt: &AttemptHistory) -> Value {
    json!({
        "hop": attempt.number,
        "engine": context.engine_name(attempt.engine),
        "sentMs": attempt.sent_ms,
        "firstPageMs": attempt.first_page_ms,
        "endedMs": attempt.ended_ms,
        "ending": attempt.status.map_or("has not ended", status_description),
        "seen": attempt.reason,
    })
}
