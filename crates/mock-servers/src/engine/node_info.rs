//! Handlers that report the info, the state and the load of an engine, start draining and inject faults.

use std::sync::atomic::Ordering;

use hoptiller_audit::{Record, unix_micros};
use hoptiller_http::{Method, Request, Response};
use hoptiller_statement::discovery::NodeStatus;
use hoptiller_statement::extra;

use super::state::{Engine, EngineState};
use crate::engine_faults::EngineFaults;

const INFO_PATH: &str = "/v1/info";
const STATE_PATH: &str = "/v1/info/state";
const STATUS_PATH: &str = "/v1/status";
const FAULTS_PATH: &str = "/v1/standin/faults";
/// The body of a request to drain the engine, and the state of an engine that drains.
const SHUTTING_DOWN: &str = "\"SHUTTING_DOWN\"";
/// The state of an engine that does not drain.
const ACTIVE: &str = "\"ACTIVE\"";

pub(super) fn respond(engine: &Engine, request: &Request) -> Response {
    let mut state = engine.state();
    let path = request.path();
    if path.starts_with(INFO_PATH) {
        state.config.info_requests.fetch_add(1, Ordering::Relaxed);
    }
    match (path, &request.method) {
        (INFO_PATH, Method::Get) => info(&state),
        (STATE_PATH, Method::Get) => node_state(&state, request),
        (STATE_PATH, Method::Put) if request.body == SHUTTING_DOWN.as_bytes() => {
            state.is_draining = true;
            Response::new(200)
        }
        (STATUS_PATH, Method::Get) => {
            state.advance();
            status(&state)
        }
        (FAULTS_PATH, Method::Put) => put_faults(&state, request),
        _ => Response::text(404, "nothing here"),
    }
}

fn info(state: &EngineState) -> Response {
    let uptime_seconds = state.model.uptime(state.now()) as f64 / 1e6;
    let info = serde_json::json!({
        "nodeVersion": { "version": "stand-in" },
        "environment": state.config.environment,
        "coordinator": false,
        "starting": false,
        "uptime": format!("{uptime_seconds:.3}s"),
    });
    Response::json(200, info.to_string())
}

/// Returns the response with the state of the engine. Records that a router has learnt that the engine drains.
fn node_state(state: &EngineState, request: &Request) -> Response {
    if !state.is_draining {
        return Response::json(200, ACTIVE);
    }
    if let Some(router) = request.headers.get(extra::ROUTER) {
        state.config.recorder.write(Record::DrainNotified {
            at: unix_micros(),
            engine: state.config.node.clone(),
            router: router.to_owned(),
        });
    }
    Response::json(200, SHUTTING_DOWN)
}

fn status(state: &EngineState) -> Response {
    let load = state.model.load();
    let parameters = &state.config.work_model;
    let memory_bytes = (parameters.memory_mb * 1e6) as u64;
    let status = NodeStatus {
        node_id: state.config.node.clone(),
        processors: parameters.cores as u32,
        process_cpu_load: load.cpu,
        heap_used: (load.memory * memory_bytes as f64) as u64,
        heap_available: memory_bytes,
    };
    let body = serde_json::to_vec(&status).unwrap_or_default();
    Response::json(200, body).with_header(extra::LOAD, &state.load_header())
}

fn put_faults(state: &EngineState, request: &Request) -> Response {
    match serde_json::from_slice::<EngineFaults>(&request.body) {
        Ok(faults) => {
            state.config.inject_faults(faults);
            Response::new(204)
        }
        Err(error) => Response::text(400, &format!("faults: {error}")),
    }
}
