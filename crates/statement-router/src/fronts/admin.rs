//! Owns the administration API: JSON over HTTP on a listener of its own, so that what it tells of all tenants'
//! statements stands apart from what their clients reach.

use std::io;
use std::net::TcpListener;
use std::rc::Rc;

use async_io::Async;
use hoptiller_http::server::{Config, Handler, Reply};
use hoptiller_http::{Limits, Method, Request, Response};
use hoptiller_policy::{EngineId, Micros};
use hoptiller_runaway::{Finding, FingerprintId, Subject};
use serde_json::{Value, json};

use crate::desk::Desk;

/// Connections of administrators, and bytes of a request's content.
const CONNECTIONS: usize = 64;
const BODY: u64 = 64 << 10;

/// What runs away, and what is held.
pub const RUNAWAYS: &str = "/v1/admin/runaways";
/// A held kind: `DELETE` frees it.
pub const HOLDS: &str = "/v1/admin/holds/";

/// Answers administrators for ever.
pub async fn serve(desk: Rc<Desk>, listener: Async<TcpListener>) -> io::Result<()> {
    let limits = Limits {
        max_body_bytes: BODY,
        ..Limits::default()
    };
    let config = Config {
        limits,
        max_connections: CONNECTIONS,
        max_incoming_bytes: 1 << 20,
        ..Config::default()
    };
    let ex = desk.ex.clone();
    let handler: Handler = Rc::new(move |request| {
        let desk = desk.clone();
        Box::pin(async move { Reply::Send(answer(&desk, &request)) })
    });
    hoptiller_http::server::serve(listener, config, handler, ex).await;
    Ok(())
}

fn answer(desk: &Desk, request: &Request) -> Response {
    let path = request.path();
    if let Some(kind) = path.strip_prefix(HOLDS) {
        let Ok(kind) = kind.parse::<FingerprintId>() else {
            return problem(
                404,
                "a kind has 16 hexadecimal digits, as GET /v1/admin/runaways shows them",
            );
        };
        return match request.method {
            Method::Delete if desk.with_core(|core, _| core.release_fingerprint(kind)) => {
                tracing::warn!(%kind, "an administrator has freed a kind");
                Response::new(204)
            }
            Method::Delete => problem(404, "that kind is not held"),
            _ => problem(405, "DELETE frees a held kind").with_header("Allow", "DELETE"),
        };
    }
    match (path, &request.method) {
        (RUNAWAYS, Method::Get) => Response::json(200, format!("{:#}", runaways(desk))),
        (RUNAWAYS, _) => problem(405, "GET shows what runs away").with_header("Allow", "GET"),
        _ => problem(
            404,
            "nothing here; GET /v1/admin/runaways shows what runs away",
        ),
    }
}

fn problem(status: u16, what: &str) -> Response {
    Response::json(status, json!({ "problem": what }).to_string())
}

/// About whom a verdict is, for people.
pub fn subject(desk: &Desk, f: &Finding) -> String {
    match &f.subject {
        Subject::Statement(name) => format!("statement {name}"),
        Subject::Fingerprint(kind) => format!("kind {kind}"),
        Subject::Engine(engine) => format!("engine {}", desk.engine_name(*engine)),
    }
}

fn runaways(desk: &Desk) -> Value {
    let now = desk.rounds.now();
    desk.with_core(|core, _| {
        let Some(watch) = core.runaway_detector() else { return json!({ "router": desk.settings().router.name }) };
        let named = |f: &&Finding| f.class.is_none_or(|c| desk.settings().runaways.acts[c].name);
        let open: Vec<Value> = watch.open_findings().filter(named).map(|f| finding(desk, f, now)).collect();
        let past: Vec<Value> = watch.past_findings().filter(named).map(|f| finding(desk, f, now)).collect();
        let holds: Vec<Value> = watch
            .holds()
            .map(|(kind, h)| {
                json!({
                    "kind": kind.to_string(),
                    "class": desk.settings().classes[h.class].name,
                    "text": h.label,
                    "atOnce": h.max_in_flight,
                    "cleanRuns": h.clean_runs,
                    "cleanRunsForNextStep": h.clean_runs_needed,
                    "runawaysOut": h.runaways,
                    "heldForMs": now.saturating_sub(h.since) / 1000,
                })
            })
            .collect();
        let engine_names = |engines: &[EngineId]| -> Vec<String> {
            engines.iter().map(|e| desk.engine_name(*e)).collect()
        };
        let away: Vec<Value> = watch
            .excluded_engines()
            .map(|(group, engines)| json!({ "tables": format!("{group:08x}"), "engines": engine_names(engines) }))
            .collect();
        let counts = watch.tracked_counts();
        json!({
            "router": desk.settings().router.name,
            "findings": open,
            "past": past,
            "holds": holds,
            "keptAway": away,
            "kindsKnown": counts.fingerprints,
            "attemptsWatched": counts.attempts,
            "statementsOfOthers": counts.remote_statements,
        })
    })
}

fn finding(desk: &Desk, f: &Finding, now: Micros) -> Value {
    let ago = |at: Micros| now.saturating_sub(at) / 1000;
    json!({
        "id": f.id,
        "subject": subject(desk, f),
        "verdict": f.verdict,
        "cause": f.cause,
        "inWords": f.cause.description(),
        "class": f.class.map(|c| desk.settings().classes[c].name.clone()),
        "kind": f.fingerprint.map(|k| k.to_string()),
        "text": f.label,
        "engine": f.engine.map(|e| desk.engine_name(e)),
        "startedMsAgo": ago(f.started),
        "sinceMsAgo": ago(f.since),
        "verdictMsAgo": ago(f.at),
        "evidence": f.evidence,
        "seen": f.evidence.to_string(),
        "blocks": f.blocks,
        "blocked": f.blocked,
        "note": f.note,
    })
}
