//! The handler for submissions of statements.

use hoptiller_audit::{Record, SentVersions, unix_micros};
use hoptiller_http::server::Reply;
use hoptiller_http::{Request, Response};
use hoptiller_statement::{State, Stats, client, extra};

use super::results::{QueryAddress, QueryResponse};
use super::state::{Engine, EngineState};
use super::statement::Statement;
use crate::engine_faults::EngineFaults;
use crate::work_model::Admission;
use crate::workload_profile::WorkloadProfile;

/// The content of a malformed response, which is not a `QueryResults`.
const MALFORMED_BODY: &[u8] = b"\x00\x01not json";
/// The priority of a statement whose sender states none.
const DEFAULT_PRIORITY: u8 = 1;
/// The highest priority that a sender can state.
const MAX_PRIORITY: f64 = 3.0;

/// The contents of a submission: its header fields and its text.
struct SubmittedAttempt {
    class: String,
    router: String,
    statement_name: String,
    trace: String,
    attempt_number: u32,
    priority: u8,
    memory_grant_mb: Option<f64>,
    versions: Option<SentVersions>,
    text: String,
}

impl SubmittedAttempt {
    fn from_request(request: &Request) -> Self {
        let header = |name| request.headers.get(name).unwrap_or_default().to_owned();
        let statement_name = header(extra::STATEMENT_NAME);
        let trace = match header(client::names::TRACE_TOKEN) {
            trace if trace.is_empty() => statement_name.clone(),
            trace => trace,
        };
        let options = header(extra::ATTEMPT_OPTIONS);
        let priority = extra::find_number(&options, "priority");
        let versions = extra::ConfigVersions::parse(&header(extra::CONFIG_VERSIONS));
        Self {
            class: header(extra::CLASS),
            router: header(extra::ROUTER),
            statement_name,
            trace,
            attempt_number: extra::find_number(&options, "hop").unwrap_or(0.0) as u32,
            priority: priority.map_or(DEFAULT_PRIORITY, |priority| {
                priority.clamp(0.0, MAX_PRIORITY) as u8
            }),
            memory_grant_mb: extra::find_number(&options, "grant_mb"),
            versions: versions.map(|versions| SentVersions {
                in_force: versions.in_force,
                enforced: versions.enforced,
                in_doubt: versions.in_doubt,
            }),
            text: String::from_utf8_lossy(&request.body).into_owned(),
        }
    }

    fn profile(&self) -> WorkloadProfile {
        // By the seed, a trace token is always drawn the same work.
        let seed = self.trace.bytes().fold(7u64, |hash, byte| {
            hash.wrapping_mul(31).wrapping_add(u64::from(byte))
        });
        let mut profile = WorkloadProfile::new(&self.class, &self.text, seed);
        profile.job.memory_grant_mb = self.memory_grant_mb;
        profile.job.priority = self.priority;
        profile
    }
}

/// Admits a statement, or rejects it with status 503 if the engine is full or the statement has a stale configuration
/// version. If a fault requests it, sends another response or none.
pub(super) fn respond(engine: &Engine, request: &Request) -> Reply {
    let mut state = engine.advanced_state();
    let attempt = SubmittedAttempt::from_request(request);
    if let Some(rejected) = reject_stale_version(&mut state, &attempt) {
        return rejected.into();
    }
    record_sent(&state, &attempt);
    let faults = state.config.take_faults_for_statement(&attempt.class);
    if faults.drop_submission {
        state.record_done(&attempt.trace, 0);
        return Reply::Close;
    }
    let profile = attempt.profile();
    let now = state.now();
    let number = state.allocate_number();
    let admission = if faults.reject {
        Admission::Rejected
    } else {
        state.model.admit(now, number, profile.job.clone())
    };
    match admission {
        Admission::Rejected => {
            state.record_done(&attempt.trace, 0);
            return rejected_response(&state, "full").into();
        }
        Admission::Crashed => {
            crash(&mut state);
            return Reply::Close;
        }
        Admission::Admitted => {}
    }
    let statement = Statement::new(
        attempt.trace,
        attempt.statement_name,
        attempt.class,
        profile,
        faults.clone(),
    );
    state.insert_statement(number, statement);
    engine.notify_work_changed();
    let address = engine.query_address(state.incarnation(), number);
    admitted_reply(&state, &address, &faults)
}

/// Rejects an attempt with a stale configuration version, if the engine enforces fencing.
fn reject_stale_version(state: &mut EngineState, attempt: &SubmittedAttempt) -> Option<Response> {
    let versions = attempt.versions.filter(|_| state.config.enforces_fencing)?;
    if state.accept_version(versions.in_force, versions.enforced) {
        return None;
    }
    state.config.recorder.write(Record::Fenced {
        at: unix_micros(),
        engine: state.config.node.clone(),
        router: attempt.router.clone(),
        enforced: versions.enforced,
    });
    Some(rejected_response(
        state,
        "that version of the rules is over",
    ))
}

fn rejected_response(state: &EngineState, reason: &str) -> Response {
    Response::text(503, reason).with_header(extra::LOAD, &state.load_header())
}

fn record_sent(state: &EngineState, attempt: &SubmittedAttempt) {
    state.config.recorder.write(Record::Sent {
        at: unix_micros(),
        engine: state.config.node.clone(),
        kind: state.config.kind.clone(),
        router: attempt.router.clone(),
        trace: attempt.trace.clone(),
        class: attempt.class.clone(),
        attempt: attempt.attempt_number,
        versions: attempt.versions,
    });
}

fn crash(state: &mut EngineState) {
    state.config.recorder.write(Record::EngineCrashed {
        at: unix_micros(),
        engine: state.config.node.clone(),
    });
    state.clear_statements();
}

/// Returns the reply to the submission of a statement that has been admitted.
fn admitted_reply(state: &EngineState, address: &QueryAddress, faults: &EngineFaults) -> Reply {
    if faults.hang {
        return Reply::Hang;
    }
    if faults.lose_response {
        return Reply::Close;
    }
    if faults.malformed_response {
        let mut response = Response::text(200, "x");
        response.body = MALFORMED_BODY.to_vec();
        // Sends the whole response, and closes the connection without announcing it.
        return Reply::Truncate {
            response,
            max_bytes: usize::MAX,
        };
    }
    QueryResponse::new(Stats::from_state(State::Queued))
        .with_next_page(0)
        .into_response(address)
        .with_header(extra::LOAD, &state.load_header())
        .into()
}
