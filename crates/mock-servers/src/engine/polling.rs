//! Handlers for polls for the results of a statement, and for its cancellation by the client.

use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use hoptiller_http::Response;
use hoptiller_http::server::Reply;
use hoptiller_statement::{ErrorName, ErrorType, QueryError, State, Stats, extra};

use super::results::{QueryAddress, QueryResponse, ResultRows};
use super::state::{Engine, EngineState};
use super::statement::{Phase, Statement};
use crate::work_model::{BlockedState, ExecutionProgress};

/// Maximum time for which a poll waits for a statement to end.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// The protocol's code of the error for invalid statements.
const SYNTAX_ERROR_CODE: u32 = 1;
/// The protocol's code of the error for killed statements.
const ADMINISTRATIVELY_KILLED_CODE: u32 = 32;
/// The protocol's code of the error for statements that fail because of a fault.
const GENERIC_INTERNAL_ERROR_CODE: u32 = 0x0001_0000;

/// Cancels a statement. It is removed if its work is done or is stopped by the cancellation; otherwise it continues to
/// run.
pub(super) fn cancel(engine: &Engine, number: u64) {
    let mut state = engine.state();
    let now = state.now();
    state.advance();
    if state.model.cancel(now, number)
        && let Some(statement) = state.statement(number)
    {
        state.record_done(&statement.trace, 0);
    }
    let is_finished = state.statement(number).is_some_and(Statement::is_finished);
    if is_finished || state.config.work_model.cancel_stops_work {
        state.remove_statement(number);
    }
    engine.notify_work_changed();
}

/// Responds to a poll for a page: with the rows once the statement has finished, otherwise with its progress after
/// [`LONG_POLL_TIMEOUT`]. A statement that has failed or was killed yields its error.
pub(super) async fn poll(engine: &Engine, number: u64, page: u64) -> Reply {
    let ended = {
        let state = engine.advanced_state();
        let Some(statement) = state.statement(number) else {
            return gone_response().into();
        };
        if statement.faults.ignore_polls {
            return Reply::Hang;
        }
        statement.is_running().then(|| statement.listen_for_end())
    };
    if let Some(ended) = ended {
        future::or(ended, async {
            Timer::after(LONG_POLL_TIMEOUT).await;
        })
        .await;
    }
    let state = engine.advanced_state();
    let Some(statement) = state.statement(number) else {
        return gone_response().into();
    };
    let address = engine.query_address(state.incarnation(), number);
    match statement.phase() {
        Phase::Killed(reason) => failed_response(&address, killed_error(reason)).into(),
        Phase::Running => running_response(&state, &address, statement, page).into(),
        Phase::Finished => match statement_error(statement) {
            Some(error) => failed_response(&address, error).into(),
            None => rows_reply(&state, &address, statement, page),
        },
    }
}

fn gone_response() -> Response {
    Response::text(410, "no such statement any more")
}

fn failed_response(address: &QueryAddress, error: QueryError) -> Response {
    QueryResponse::new(Stats::from_state(State::Failed))
        .with_error(error)
        .into_response(address)
}

fn killed_error(reason: &str) -> QueryError {
    QueryError::new(
        ErrorName::ADMINISTRATIVELY_KILLED.to_owned(),
        ADMINISTRATIVELY_KILLED_CODE,
        ErrorType::UserError,
        format!("Query killed. Message: {reason}"),
    )
}

/// Returns the error of a statement whose work is done, if it fails.
fn statement_error(statement: &Statement) -> Option<QueryError> {
    if statement.profile.is_invalid {
        return Some(QueryError::new(
            "SYNTAX_ERROR".into(),
            SYNTAX_ERROR_CODE,
            ErrorType::UserError,
            "line 1:8: mismatched input".into(),
        ));
    }
    statement.faults.fail_after_run.then(|| {
        QueryError::new(
            "GENERIC_INTERNAL_ERROR".into(),
            GENERIC_INTERNAL_ERROR_CODE,
            ErrorType::InternalError,
            "the stand-in fails on purpose".into(),
        )
    })
}

/// Returns the response to a poll for a running statement, with its progress if the engine reports it.
fn running_response(
    state: &EngineState,
    address: &QueryAddress,
    statement: &Statement,
    page: u64,
) -> Response {
    let progress = state
        .model
        .progress(address.number())
        .filter(|_| state.config.reports_progress);
    let stats = match &progress {
        Some(progress) => running_stats(statement, progress),
        None => Stats::from_state(State::Running),
    };
    let mut response = QueryResponse::new(stats)
        .with_next_page(page)
        .into_response(address)
        .with_header(extra::LOAD, &state.load_header());
    if let Some(progress) = progress {
        add_progress_headers(state, statement, &progress, &mut response);
    }
    response
}

/// Returns the statistics of a running statement as the protocol defines them.
fn running_stats(statement: &Statement, progress: &ExecutionProgress) -> Stats {
    let profile = &statement.profile;
    let spilled_mb = if progress.spills {
        profile.job.memory_mb - progress.memory_mb
    } else {
        0.0
    };
    Stats {
        cpu_time_millis: (progress.work_done / 1000.0) as u64,
        processed_rows: (profile.rows_read as f64 * progress.completed) as u64,
        peak_memory_bytes: (progress.memory_mb * 1e6) as u64,
        spilled_bytes: (spilled_mb * 1e6) as u64,
        progress_percentage: Some(progress.completed * 100.0),
        ..Stats::from_state(State::Running)
    }
}

/// Adds header fields with the progress of a statement, or with what blocks it: `lacks` is the memory in MB that it
/// needs while it waits for memory, `waits` is always 1 while it is paused or blocked by another statement, and `done`
/// is the completed fraction.
fn add_progress_headers(
    state: &EngineState,
    statement: &Statement,
    progress: &ExecutionProgress,
    response: &mut Response,
) {
    let report = match progress.blocked {
        Some(BlockedState::WaitingForMemory) => ("lacks", statement.profile.job.memory_mb),
        Some(_) => ("waits", 1.0),
        None => ("done", progress.completed),
    };
    let headers = &mut response.headers;
    headers.push(extra::PROGRESS, &extra::format_numbers(&[report]));
    if let Some(BlockedState::BlockedBy(number)) = progress.blocked
        && let Some(blocker) = state.statement(number)
    {
        let (statement_name, class) = (&blocker.statement_name, &blocker.class);
        let blocker_progress = state.model.progress(number);
        let age_ms = blocker_progress.map_or(0, |progress| progress.run_micros / 1000);
        let blocked_by = format!("{statement_name}; class={class}; age_ms={age_ms}");
        headers.push(extra::BLOCKED_BY, &blocked_by);
    }
}

/// Returns the reply to a poll for a page of rows, as far as faults let the engine send it.
fn rows_reply(
    state: &EngineState,
    address: &QueryAddress,
    statement: &Statement,
    page: u64,
) -> Reply {
    let (profile, faults) = (&statement.profile, &statement.faults);
    if page >= profile.pages {
        return Response::text(404, "no such page").into();
    }
    if faults
        .lose_pages_from
        .is_some_and(|first_lost| page >= first_lost)
    {
        return Reply::Close;
    }
    let is_last = page + 1 == profile.pages;
    let rows = ResultRows::new(&state.config.node, profile, page);
    let response = if is_last {
        QueryResponse::new(Stats::from_state(State::Finished))
    } else {
        QueryResponse::new(Stats::from_state(State::Running)).with_next_page(page + 1)
    };
    let cost = extra::format_numbers(&[("work_ms", profile.job.work / 1000.0)]);
    let response = response
        .with_rows(rows)
        .into_response(address)
        .with_header(extra::LOAD, &state.load_header())
        .with_header(extra::COST, &cost);
    match faults.truncate_pages_at {
        Some(bytes) => Reply::Truncate {
            response,
            max_bytes: bytes,
        },
        None => response.into(),
    }
}
