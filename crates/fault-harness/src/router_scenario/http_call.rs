//! Single HTTP requests to the servers of a scenario.

use std::net::SocketAddr;
use std::time::Duration;

use async_io::block_on;
use hoptiller_http::client::Connection;
use hoptiller_http::{Limits, Request};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends a request on a new connection and returns the body of the response; `None` if there is no response, with a
/// limit of 2 s each for connecting and the exchange.
pub(super) fn call(addr: SocketAddr, request: &Request) -> Option<Vec<u8>> {
    block_on(async {
        let opened = Connection::open(addr, CALL_TIMEOUT, Limits::default()).await;
        let response = opened.ok()?.exchange(request, CALL_TIMEOUT).await;
        response.ok().map(|response| response.body)
    })
}
