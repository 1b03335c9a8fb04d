//! The administration API: JSON over HTTP. It shows the statements of all tenants, and therefore has a listener of
//! its own.

use std::net::TcpListener;
use std::rc::Rc;

use async_io::Async;
use hoptiller_http::server::{Config, Handler, Reply};
use hoptiller_http::{Limits, Method, Request, Response};
use hoptiller_policy::{EngineId, Micros};
use hoptiller_runaway::{Finding, FingerprintId, RunawayDetector};
use serde_json::{Value, json};

use crate::context::RouterContext;
use crate::findings::{describe_subject, is_reported};
use crate::settings::Settings;

const MAX_CONNECTIONS: usize = 64;
/// Maximum bytes of the body of a request.
const MAX_BODY_BYTES: u64 = 64 << 10;
/// Maximum bytes of all requests that are being received.
const MAX_REQUEST_BYTES: u64 = 1 << 20;

/// Path of the list of findings and holds.
pub const RUNAWAYS_PATH: &str = "/v1/admin/runaways";
/// Prefix of the path of a hold, which ends with the fingerprint. `DELETE` releases the hold.
pub const HOLDS_PATH: &str = "/v1/admin/holds/";

/// Serves the administration API.
pub async fn serve(context: Rc<RouterContext>, listener: Async<TcpListener>) {
    let config = Config {
        limits: Limits {
            max_body_bytes: MAX_BODY_BYTES,
            ..Limits::default()
        },
        max_connections: MAX_CONNECTIONS,
        max_request_bytes: MAX_REQUEST_BYTES,
        ..Config::default()
    };
    let spawner = context.spawner().clone();
    let handler: Handler = Rc::new(move |request, _| {
        let context = context.clone();
        Box::pin(async move { Reply::Send(respond(&context, &request)) })
    });
    hoptiller_http::server::serve(listener, config, handler, spawner).await;
}

fn respond(context: &RouterContext, request: &Request) -> Response {
    let path = request.path();
    if let Some(fingerprint) = path.strip_prefix(HOLDS_PATH) {
        return release_hold(context, &request.method, fingerprint);
    }
    match (path, &request.method) {
        (RUNAWAYS_PATH, Method::Get) => {
            Response::json(200, format!("{:#}", runaways_json(context)))
        }
        (RUNAWAYS_PATH, _) => problem(405, "only GET is allowed; it lists runaways and holds")
            .with_header("Allow", "GET"),
        _ => problem(
            404,
            "not found; GET /v1/admin/runaways lists runaways and holds",
        ),
    }
}

fn release_hold(context: &RouterContext, method: &Method, fingerprint: &str) -> Response {
    let Ok(fingerprint) = fingerprint.parse::<FingerprintId>() else {
        return problem(
            404,
            "the path must end with a kind of 16 hexadecimal digits, as GET /v1/admin/runaways lists them",
        );
    };
    if *method != Method::Delete {
        return problem(405, "only DELETE is allowed; it releases a hold")
            .with_header("Allow", "DELETE");
    }
    if !context.with_core(|core, _| core.release_fingerprint(fingerprint)) {
        return problem(404, "that kind is not held");
    }
    tracing::warn!(kind = %fingerprint, "hold released by an administrator");
    Response::new(204)
}

fn problem(status: u16, message: &str) -> Response {
    Response::json(status, json!({ "problem": message }).to_string())
}

fn runaways_json(context: &RouterContext) -> Value {
    let now = context.event_loop().now();
    let settings = context.settings();
    context.with_core(|core, _| match core.runaway_detector() {
        None => json!({ "router": settings.router.name }),
        Some(detector) => detector_json(context, &settings, detector, now),
    })
}

fn detector_json(
    context: &RouterContext,
    settings: &Settings,
    detector: &RunawayDetector,
    now: Micros,
) -> Value {
    let counts = detector.tracked_counts();
    json!({
        "router": settings.router.name,
        "findings": findings_json(context, settings, detector.open_findings(), now),
        "past": findings_json(context, settings, detector.cleared_findings(), now),
        "holds": holds_json(settings, detector, now),
        "keptAway": excluded_engines_json(context, detector),
        "kindsKnown": counts.fingerprints,
        "attemptsWatched": counts.attempts,
        "statementsOfOthers": counts.remote_statements,
    })
}

fn findings_json<'a>(
    context: &RouterContext,
    settings: &Settings,
    findings: impl Iterator<Item = &'a Finding>,
    now: Micros,
) -> Vec<Value> {
    findings
        .filter(|finding| is_reported(settings, finding))
        .map(|finding| finding_json(context, settings, finding, now))
        .collect()
}

fn holds_json(settings: &Settings, detector: &RunawayDetector, now: Micros) -> Vec<Value> {
    detector
        .holds()
        .map(|(fingerprint, hold)| {
            json!({
                "kind": fingerprint.to_string(),
                "class": settings.classes[hold.class].name,
                "text": hold.label,
                "atOnce": hold.max_in_flight,
                "cleanRuns": hold.clean_runs,
                "cleanRunsForNextStep": hold.clean_runs_needed,
                "runawaysOut": hold.runaways,
                "heldForMs": millis_since(hold.since, now),
            })
        })
        .collect()
}

fn excluded_engines_json(context: &RouterContext, detector: &RunawayDetector) -> Vec<Value> {
    let names = |engines: &[EngineId]| -> Vec<String> {
        engines
            .iter()
            .map(|engine| context.engine_name(*engine))
            .collect()
    };
    detector
        .excluded_engines()
        .map(|(group, engines)| {
            json!({ "tables": format!("{group:08x}"), "engines": names(engines) })
        })
        .collect()
}

fn finding_json(
    context: &RouterContext,
    settings: &Settings,
    finding: &Finding,
    now: Micros,
) -> Value {
    let class_name = |class: usize| settings.classes[class].name.clone();
    json!({
        "id": finding.id,
        "subject": describe_subject(context, finding),
        "verdict": finding.verdict,
        "cause": finding.cause,
        "inWords": finding.cause.description(),
        "class": finding.class.map(class_name),
        "kind": finding.fingerprint.map(|fingerprint| fingerprint.to_string()),
        "text": finding.label,
        "engine": finding.engine.map(|engine| context.engine_name(engine)),
        "startedMsAgo": millis_since(finding.started, now),
        "sinceMsAgo": millis_since(finding.since, now),
        "verdictMsAgo": millis_since(finding.at, now),
        "evidence": finding.evidence,
        "seen": finding.evidence.to_string(),
        "blocks": finding.blocked_names,
        "blocked": finding.blocked_count,
        "note": finding.note,
    })
}

fn millis_since(at: Micros, now: Micros) -> u64 {
    now.saturating_sub(at) / 1000
}
