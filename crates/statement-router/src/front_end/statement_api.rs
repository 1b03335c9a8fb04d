//! The statement API over HTTP: routes requests and waits for the responses to polls.

use std::net::TcpListener;
use std::rc::Rc;
use std::time::SystemTime;

use async_io::Async;
use futures_lite::future;
use hoptiller_http::server::{Config, Handler, Reply};
use hoptiller_http::{Limits, Method, Request, Response};
use hoptiller_router_core::{PollOutcome, StatementId, SubmitError};
use hoptiller_statement::{PageToken, QueryId, STATEMENT_PATH};

use super::submission::{self, SubmissionRejected};
use super::{query_results, statement_info};
use crate::context::RouterContext;

const PAGE_PATH_PREFIX: &str = "/v1/statement/";
const QUERY_PATH_PREFIX: &str = "/v1/query/";
const INFO_PATH: &str = "/v1/info";
const STATE_PATH: &str = "/v1/info/state";

const NO_SUCH_STATEMENT: &str = "no such statement";
const NOT_FOUND: &str = "not found; submit statements with POST /v1/statement";

/// Maximum length of a `Host` header that is used for URIs, in bytes.
const MAX_HOST_BYTES: usize = 255;

/// Routes beyond the statement API, such as metrics.
pub type ExtraRoutes = Rc<dyn Fn(&str) -> Option<Response>>;

/// Serves the statement API.
pub async fn serve(
    context: Rc<RouterContext>,
    listener: Async<TcpListener>,
    extra_routes: ExtraRoutes,
) {
    let settings = context.settings();
    let limits = &settings.limits;
    let config = Config {
        limits: Limits {
            max_body_bytes: limits.max_statement_bytes,
            ..Limits::default()
        },
        max_connections: limits.max_connections,
        max_request_bytes: limits.max_incoming_bytes,
        max_response_bytes: limits.max_buffered_bytes,
        ..Config::default()
    };
    let spawner = context.spawner().clone();
    let handler: Handler = Rc::new(move |request, _| {
        let (context, extra_routes) = (context.clone(), extra_routes.clone());
        Box::pin(async move { Reply::Send(respond(&context, request, &extra_routes).await) })
    });
    hoptiller_http::server::serve(listener, config, handler, spawner).await;
}

async fn respond(
    context: &RouterContext,
    request: Request,
    extra_routes: &ExtraRoutes,
) -> Response {
    let path = request.path();
    if path == STATEMENT_PATH {
        return match request.method {
            Method::Post => submit(context, &request),
            _ => method_not_allowed("POST"),
        };
    }
    if path.starts_with(PAGE_PATH_PREFIX) {
        let Ok(token) = context.token_key().parse_page_path(path) else {
            return Response::text(404, NO_SUCH_STATEMENT);
        };
        return match request.method {
            Method::Get => poll(context, &token, &base_uri(context, &request)).await,
            Method::Delete => cancel(context, &token),
            _ => method_not_allowed("GET, DELETE"),
        };
    }
    if path.starts_with(QUERY_PATH_PREFIX) {
        return match (context.token_key().parse_query_path(path), &request.method) {
            (Ok(id), Method::Get) => statement_info::history(context, &id),
            (Ok(_), _) => method_not_allowed("GET"),
            (Err(_), _) => Response::text(404, NO_SUCH_STATEMENT),
        };
    }
    match (path, &request.method) {
        (INFO_PATH, Method::Get) => statement_info::router_info(context),
        (STATE_PATH, Method::Get) => statement_info::router_state(context),
        (_, Method::Get) => extra_routes(path).unwrap_or_else(|| Response::text(404, NOT_FOUND)),
        _ => Response::text(404, NOT_FOUND),
    }
}

fn method_not_allowed(allowed: &str) -> Response {
    Response::text(405, "method not allowed").with_header("Allow", allowed)
}

/// Returns the base URI of this router: from the request's `Host` header if it is valid, else from the listen
/// address.
fn base_uri(context: &RouterContext, request: &Request) -> String {
    let host = request.headers.get("host").unwrap_or_default();
    let is_host_byte = |b: u8| b.is_ascii_alphanumeric() || b".-:[]_".contains(&b);
    let is_valid =
        !host.is_empty() && host.len() <= MAX_HOST_BYTES && host.bytes().all(is_host_byte);
    if is_valid {
        format!("http://{host}")
    } else {
        format!("http://{}", context.settings().router.listen)
    }
}

fn submit(context: &RouterContext, request: &Request) -> Response {
    let retry_after = query_results::retry_after_seconds(context.settings().limits.max_retry_after);
    let submission = match submission::parse(&context.settings(), request) {
        Ok(submission) => submission,
        Err(error) => return Response::text(400, &error.to_string()),
    };
    if let Err(rejected) = submission::authorize(context, &submission) {
        return reject(&rejected, &retry_after);
    }
    let id = match context.with_core(|core, now| core.submit(now, submission.submission)) {
        Ok(id) => id,
        Err(SubmitError::TooManyOpenStatements) => {
            return reject(&SubmissionRejected::TooManyStatements, &retry_after);
        }
        Err(SubmitError::StatementMemory) => {
            return reject(&SubmissionRejected::StatementMemory, &retry_after);
        }
        Err(SubmitError::ShuttingDown) => {
            return reject(&SubmissionRejected::ShuttingDown, &retry_after);
        }
    };
    let PollOutcome::Response(first) = context.with_core(|core, now| core.poll(now, id, 0)) else {
        return Response::text(500, "internal error: the submitted statement is unknown");
    };
    let query_id = QueryId::new(SystemTime::now(), id, context.incarnation());
    query_results::http_response(context, &query_id, &first, &base_uri(context, request))
}

fn reject(rejected: &SubmissionRejected, retry_after: &str) -> Response {
    Response::text(rejected.http_status(), &rejected.to_string())
        .with_header("Retry-After", retry_after)
}

async fn poll(context: &RouterContext, token: &PageToken, base_uri: &str) -> Response {
    if token.id.incarnation() != context.incarnation() {
        return query_results::earlier_incarnation_response(context, token, base_uri);
    }
    let id: StatementId = token.id.number();
    let mut outcome = context.with_core(|core, now| core.poll(now, id, token.page));
    if matches!(outcome, PollOutcome::Pending) {
        context.with_core(|core, now| core.add_waiter(now, id));
        outcome = wait_for_response(context, id, token.page).await;
        context.with_core(|core, now| core.remove_waiter(now, id));
        context.release_listener(id);
    }
    match outcome {
        PollOutcome::Response(response) => {
            query_results::http_response(context, &token.id, &response, base_uri)
        }
        PollOutcome::Gone => Response::text(
            410,
            "this response is no longer available: a later one has been delivered, \
             or the statement is no longer retained",
        ),
        PollOutcome::Pending | PollOutcome::Unknown => Response::text(404, "no such response"),
    }
}

/// Waits for the response until the long-poll timeout.
async fn wait_for_response(context: &RouterContext, id: StatementId, page: u64) -> PollOutcome {
    let mut timeout = context
        .timer()
        .sleep(context.settings().limits.long_poll_timeout);
    loop {
        // Listens before polling, so that no change in between is missed.
        let changed = context.listen(id);
        match context.with_core(|core, now| core.poll(now, id, page)) {
            PollOutcome::Pending => {}
            outcome => return outcome,
        }
        let changed = async {
            changed.await;
            false
        };
        let timed_out = async {
            (&mut timeout).await;
            true
        };
        if future::or(changed, timed_out).await {
            return context.with_core(|core, now| core.poll_or_no_change(now, id, page));
        }
    }
}

fn cancel(context: &RouterContext, token: &PageToken) -> Response {
    if token.id.incarnation() == context.incarnation() {
        context.with_core(|core, now| core.cancel(now, token.id.number()));
    }
    Response::new(204)
}
