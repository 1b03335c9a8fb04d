//! Requests of the statement API.

use std::net::SocketAddr;
use std::time::Duration;

use futures_lite::future::block_on;
use hoptiller_http::client::{ClientError, Connection};
use hoptiller_http::{Limits, Method, Request, Response};
use serde_json::Value;

/// Timeout of a connect, and of an exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends a request on a new connection, and returns the response.
pub(crate) fn exchange_once(
    address: SocketAddr,
    request: &Request,
) -> Result<Response, ClientError> {
    block_on(async {
        Connection::open(address, EXCHANGE_TIMEOUT, Limits::default())
            .await?
            .exchange(request, EXCHANGE_TIMEOUT)
            .await
    })
}

/// Returns the request that submits a statement.
pub(crate) fn submission(class: &str, text: &str) -> Request {
    let mut request = Request::new(Method::Post, "/v1/statement")
        .with_header("X-Trino-User", "measure")
        .with_header("X-Trino-Client-Tags", &format!("class={class}"));
    request.body = text.into();
    request
}

/// Returns the path of a response's `nextUri`; `None` if it has none.
pub(crate) fn next_path(response: &Response) -> Option<String> {
    let value: Value = serde_json::from_slice(&response.body).ok()?;
    let uri = value["nextUri"].as_str()?;
    Some(uri[uri.find("/v1")?..].to_owned())
}
