//! Single HTTP requests to servers of a scenario.

use std::net::SocketAddr;
use std::time::Duration;

use async_io::block_on;
use hoptiller_http::client::Connection;
use hoptiller_http::{Limits, Request};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The body of the response to a request on a connection of its own; `None` where there is none within 2 s.
pub(super) fn call(addr: SocketAddr, request: &Request) -> Option<Vec<u8>> {
    block_on(async {
        let opened = Connection::open(addr, CALL_TIMEOUT, Limits::default()).await;
        let response = opened.ok()?.exchange(request, CALL_TIMEOUT).await;
        response.ok().map(|response| response.body)
    })
}
