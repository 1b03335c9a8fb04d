//! Requests to discovery and to engines, bounded by the lease under which they are sent.

use std::io;
use std::net::SocketAddr;

use hoptiller_http::client::{ClientError, Connection};
use hoptiller_http::{Limits, Method, Request, Response};
use hoptiller_statement::extra;

use super::Discovery;
use crate::fleet_member::LeasedOperation;

/// Maximum bytes of a response.
const MAX_RESPONSE_BYTES: u64 = 8 << 20;

impl Discovery {
    /// Sends a GET request. Under a lease, the request carries the fencing token and times out no later than the
    /// lease expires.
    pub(super) async fn get(
        &self,
        addr: SocketAddr,
        target: &str,
        operation: Option<&LeasedOperation>,
    ) -> Result<Response, ClientError> {
        let timeout = self.settings.discovery.timeout;
        let mut request = Request::new(Method::Get, target)
            .with_header(extra::ROUTER, &self.settings.router.name)
            .with_header("Connection", "close");
        if let Some(operation) = operation {
            let lease = format!("{}#{}", operation.shard(), operation.fencing_token());
            request = request.with_header(extra::LEASE, &lease);
        }
        let limits = Limits {
            max_body_bytes: MAX_RESPONSE_BYTES,
            ..Limits::default()
        };
        let mut connection = Connection::open(addr, timeout, limits).await?;
        // The lease is checked again right before sending: it may have expired while the connection was opened.
        let remaining = match operation {
            Some(operation) => operation.remaining().ok_or_else(lease_expired)?,
            None => timeout,
        };
        connection.exchange(&request, timeout.min(remaining)).await
    }
}

fn lease_expired() -> ClientError {
    ClientError::Connect(io::Error::other("the task lease has expired"))
}
