//! The dispatch of requests to their handlers.

use hoptiller_http::server::Reply;
use hoptiller_http::{Method, Request, Response};
use hoptiller_statement::STATEMENT_PATH;

use super::results::{EXECUTING_PATH, QUERY_PATH};
use super::state::Engine;
use super::{control, node_info, polling, submission};

/// Handles a request. An engine that has crashed closes the connection.
pub(super) async fn respond(engine: &Engine, request: &Request) -> Reply {
    if engine.state().model.has_crashed() {
        return Reply::Close;
    }
    if let Err(stale) = engine.state().check_lease(request) {
        return Response::from(stale).into();
    }
    let path = request.path();
    if path == STATEMENT_PATH && request.method == Method::Post {
        return submission::respond(engine, request);
    }
    if let Some(rest) = path.strip_prefix(EXECUTING_PATH) {
        return respond_to_executing(engine, request, rest).await;
    }
    if let Some(rest) = path.strip_prefix(QUERY_PATH) {
        return control::respond(engine, request, rest).await;
    }
    node_info::respond(engine, request).into()
}

/// Responds to a request for `NUMBER/PAGE`; `rest` is that part of the path.
async fn respond_to_executing(engine: &Engine, request: &Request, rest: &str) -> Reply {
    let mut parts = rest.split('/').map(str::parse::<u64>);
    let (Some(Ok(number)), Some(Ok(page)), None) = (parts.next(), parts.next(), parts.next())
    else {
        return Response::text(404, "no such statement").into();
    };
    match request.method {
        Method::Delete => {
            polling::cancel(engine, number);
            Response::new(204).into()
        }
        _ => polling::poll(engine, number, page).await,
    }
}
