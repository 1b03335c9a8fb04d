//! The front end: receives client requests, submits them to the core, and sends one response to each.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Async;
use futures_lite::future;
use hoptiller_http::server::{self, Config, Handler, ReadAhead, Reply, ServerConnections};
use hoptiller_http::{Limits, Method, Request, Response, Spawner};
use hoptiller_platform_protocol::request::{
    HEALTH_PATH, REJECTED_STATUS, STATEMENT_PATH, failed_response, invalid_request_response,
    rejected_response, served_response,
};
use hoptiller_platform_protocol::{Catalog, StatementRequest};
use hoptiller_router_core::event_loop::EventLoop;
use hoptiller_router_core::{FinalResponse, PollOutcome, ResponseContent, StatementId, Submission};
use hoptiller_runaway::Announced;

use crate::budget::Budget;
use crate::request_ids::RequestIds;
use crate::retry_limiter::RetryLimiter;
use crate::statement_fields::engine_statement;

/// Timeout for a connection's first byte, and again from a request's first byte to its last. A client that exceeds it
/// gets an error or is disconnected.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_300);
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
const LINGER_TIMEOUT: Duration = Duration::from_millis(5_500);
/// Maximum size of a statement. Typical ones are far shorter.
const MAX_BODY_BYTES: u64 = 64 << 10;
const MAX_HEAD_BYTES: usize = 8 << 10;
const MAX_HEADERS: usize = 40;
const MAX_TARGET_BYTES: usize = 256;

/// The state shared by the handlers of all requests.
pub(crate) struct FrontEnd {
    pub(crate) event_loop: Rc<EventLoop>,
    pub(crate) catalog: Rc<Catalog>,
    pub(crate) budget: Budget,
    /// Counts requests, as the retry budget is proportional to them.
    pub(crate) retries: Rc<RetryLimiter>,
    pub(crate) request_ids: RequestIds,
    pub(crate) spawner: Spawner,
}

/// Accepts and serves clients until `stop` is ready, then serves those already connected.
pub(crate) async fn serve(
    front_end: Rc<FrontEnd>,
    listener: Async<TcpListener>,
    connections: Rc<ServerConnections>,
    stop: impl Future<Output = ()>,
) {
    let config = server_config(&front_end.budget);
    let handler_front_end = front_end.clone();
    let handler: Handler = Rc::new(move |request, read_ahead| {
        let front_end = handler_front_end.clone();
        Box::pin(async move { Reply::Send(respond(&front_end, request, &read_ahead).await) })
    });
    let spawner = front_end.spawner.clone();
    server::serve_until(listener, config, handler, spawner, &connections, stop).await;
}

fn server_config(budget: &Budget) -> Config {
    Config {
        limits: Limits {
            max_head_bytes: MAX_HEAD_BYTES,
            max_fields: MAX_HEADERS,
            max_target_bytes: MAX_TARGET_BYTES,
            max_body_bytes: MAX_BODY_BYTES,
        },
        max_connections: budget.client_connections,
        connection_allowance_bytes: budget.connection_allowance_bytes,
        max_request_bytes: budget.request_bytes,
        max_response_bytes: budget.response_bytes,
        request_timeout: REQUEST_TIMEOUT,
        first_byte_timeout: REQUEST_TIMEOUT,
        idle_timeout: IDLE_TIMEOUT,
        write_timeout: WRITE_TIMEOUT,
        linger_timeout: LINGER_TIMEOUT,
        cancels_on_disconnect: true,
    }
}

async fn respond(front_end: &Rc<FrontEnd>, request: Request, read_ahead: &ReadAhead) -> Response {
    match (&request.method, request.path()) {
        (Method::Get, HEALTH_PATH) => Response::text(200, "ready"),
        (Method::Post, path) if path.starts_with(STATEMENT_PATH) => {
            match StatementRequest::from_http(request, &front_end.catalog) {
                Ok(request) => execute(front_end, request, read_ahead).await,
                Err(error) => invalid_request_response(error),
            }
        }
        _ => Response::text(404, "nothing here"),
    }
}

/// A request in flight. If it is dropped before it is completed, the client has disconnected and the request is
/// cancelled.
struct InFlightRequest {
    front_end: Rc<FrontEnd>,
    statement: StatementId,
    id: u64,
    is_not_idempotent: bool,
    completion: Option<Completion>,
}

/// Whether a completed request may have been executed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Completion {
    Rejected,
    MayHaveRun,
}

impl InFlightRequest {
    /// Returns whether the statement may have been executed, also after this.
    fn may_run(&self) -> bool {
        match self.completion {
            Some(completion) => completion == Completion::MayHaveRun,
            None => self
                .front_end
                .event_loop
                .core()
                .has_attempts(self.statement),
        }
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let ids = &self.front_end.request_ids;
        if self.is_not_idempotent && self.may_run() {
            ids.remember_executed(self.id, Instant::now());
        }
        ids.end(self.id);
        self.front_end.event_loop.release_listener(self.statement);
        if self.completion.is_none() {
            tracing::debug!(id = %format_args!("{:016x}", self.id), "client disconnected");
            self.front_end
                .event_loop
                .with_core(|core, now| core.cancel(now, self.statement));
        }
    }
}

async fn execute(
    front_end: &Rc<FrontEnd>,
    request: StatementRequest,
    read_ahead: &ReadAhead,
) -> Response {
    let (id, now) = (request.numeric_id(), Instant::now());
    if let Err(error) = front_end.request_ids.begin(id, now) {
        return invalid_request_response(error);
    }
    log_request(&request);
    let is_not_idempotent = front_end.catalog.classes[request.class].is_not_idempotent;
    let submission = submission(request);
    front_end.retries.record_request(now);
    let submitted = front_end
        .event_loop
        .with_core(|core, now| core.submit(now, submission));
    let Ok(statement) = submitted else {
        front_end.request_ids.end(id);
        return rejected_response(None);
    };
    let mut in_flight = InFlightRequest {
        front_end: front_end.clone(),
        statement,
        id,
        is_not_idempotent,
        completion: None,
    };
    let response = wait_for_response(front_end, statement);
    let response = future::or(
        response,
        give_up_if_exceeded(front_end, statement, read_ahead),
    )
    .await;
    in_flight.completion = Some(match response.status.0 {
        REJECTED_STATUS => Completion::Rejected,
        _ => Completion::MayHaveRun,
    });
    response
}

/// Gives up a statement whose client sends far ahead, which no usual client does. Until all of that is read, the router
/// would not notice that the client has disconnected, and would begin attempts for it.
async fn give_up_if_exceeded(
    front_end: &FrontEnd,
    statement: StatementId,
    read_ahead: &ReadAhead,
) -> Response {
    read_ahead.exceeded().await;
    tracing::debug!(statement, "client sends too far ahead");
    front_end
        .event_loop
        .with_core(|core, _| core.give_up(statement));
    future::pending().await
}

async fn wait_for_response(front_end: &FrontEnd, statement: StatementId) -> Response {
    let mut page = 0;
    loop {
        // The listener is registered before polling the core, so that no notification is missed.
        let notified = front_end.event_loop.listen(statement);
        let poll = front_end
            .event_loop
            .with_core(|core, now| core.poll(now, statement, page));
        match poll {
            PollOutcome::Pending => notified.await,
            PollOutcome::Response(response) => match &response.content {
                ResponseContent::NoChange => page = response.number + 1,
                ResponseContent::Rows(rows) => {
                    return served_response(rows.rows.as_deref().map_or("[]", |rows| rows.get()));
                }
                ResponseContent::Final(outcome) => return final_response(outcome),
            },
            PollOutcome::Gone | PollOutcome::Unknown => {
                return failed_response("the request was lost");
            }
        }
    }
}

fn log_request(request: &StatementRequest) {
    let StatementRequest {
        id,
        class,
        timeout,
        is_retry,
        estimated_work,
        memory_mb,
        table_group,
        ..
    } = request;
    tracing::debug!(
        %id,
        class,
        timeout,
        is_retry,
        estimated_work,
        memory_mb,
        table_group,
        "request received"
    );
}

fn submission(request: StatementRequest) -> Submission {
    Submission {
        class: request.class,
        tenant: request.tenant,
        ordering_key: None,
        group: request.table_group,
        estimated_work: request.estimated_work,
        estimated_memory_mb: request.memory_mb,
        fingerprint: 0,
        label: "".into(),
        announced: Announced::default(),
        is_retry: request.is_retry,
        timeout: Some(request.timeout),
        engine_statement: Rc::new(engine_statement(
            request.statement,
            request.id,
            request.idempotency_key,
        )),
    }
}

fn final_response(outcome: &FinalResponse) -> Response {
    match outcome {
        FinalResponse::Rejected { retry_after, .. }
        | FinalResponse::TerminatedByRule { retry_after, .. } => rejected_response(*retry_after),
        other => failed_response(other.reason()),
    }
}
