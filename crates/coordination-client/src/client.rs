//! Calls to the replicas of the coordination server. The replica that answered last is tried first, and the others in
//! turn, beside it, if it does not answer. Whether a call without a response took effect is unknown, so every call must be
//! idempotent: the next replica gets it again.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;
use hoptiller_http::client::{ClientError, Connection};
use hoptiller_http::{Limits, Method, Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::pending_calls::{CompletedCall, PendingCalls};
use crate::secret::Secret;
use crate::wire::{ErrorBody, MAX_BODY_BYTES};

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The reason why a call has no result.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No replica has given a usable response: each did not answer, answered with an error of its own, or failed the
    /// authentication. The failures of all replicas are given.
    #[error("no replica of the coordination server gave a usable response{}", join_failures(.0))]
    Unavailable(Vec<EndpointError>),
    /// A replica has rejected the call as invalid.
    #[error("{message}")]
    Rejected {
        /// The HTTP status, from 400 to 499.
        status: u16,
        /// The replica's reason.
        message: String,
    },
}

fn join_failures(failures: &[EndpointError]) -> String {
    failures
        .iter()
        .map(|failure| format!("; {failure}"))
        .collect()
}

/// A failed call to one replica.
#[derive(Debug, thiserror::Error)]
#[error("{endpoint}: {source}")]
pub struct EndpointError {
    /// The address of the replica.
    pub endpoint: SocketAddr,
    /// The cause of the failure.
    pub source: EndpointFailure,
}

/// The cause of a failed call to one replica.
#[derive(Debug, thiserror::Error)]
pub enum EndpointFailure {
    /// The HTTP exchange failed.
    #[error(transparent)]
    Transport(#[from] ClientError),
    /// The request cannot be encoded as JSON.
    #[error("the request can't be encoded: {0}")]
    Encode(#[source] serde_json::Error),
    /// The response is not the expected JSON.
    #[error("the response can't be decoded: {0}")]
    Decode(#[source] serde_json::Error),
    /// The replica rejected the authentication code of the request.
    #[error(
        "the replica rejected the authentication code (status 401): check that both use the same fleet secret"
    )]
    UnauthenticatedRequest,
    /// The response has no valid authentication code.
    #[error("the response has no valid authentication code")]
    UnauthenticatedResponse,
    /// The replica answered with an error.
    #[error("{0}")]
    Server(String),
}

/// A client of all replicas of a coordination server.
#[derive(Debug)]
pub struct CoordinationClient {
    endpoints: Vec<SocketAddr>,
    secret: Secret,
    /// Index of the replica that the next call tries first.
    preferred: Cell<usize>,
}

impl CoordinationClient {
    /// Creates a client of the replicas at these addresses.
    pub fn new(endpoints: Vec<SocketAddr>, secret: Secret) -> CoordinationClient {
        CoordinationClient {
            endpoints,
            secret,
            preferred: Cell::new(0),
        }
    }

    /// Sets which replica the next call tries first: `index` modulo the number of replicas. Spreads many clients over
    /// the replicas.
    pub fn set_preferred(&self, index: usize) {
        self.preferred.set(index % self.endpoints.len().max(1));
    }

    /// Returns the addresses of the replicas.
    pub fn endpoints(&self) -> &[SocketAddr] {
        &self.endpoints
    }

    /// Calls one replica after the other until one answers: the next one if the last has failed or has not answered within
    /// `timeout`. The earlier calls stay open meanwhile, so that replicas that are all slow are heard. Without any answer,
    /// the call ends after `timeout` for each replica. Sends a POST if there is a body, and a GET otherwise.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Rejected`] if a replica rejects the call, and [`CallError::Unavailable`] if none answers.
    pub async fn call<T: DeserializeOwned>(
        &self,
        path: &str,
        body: Option<&impl Serialize>,
        timeout: Duration,
    ) -> Result<T, CallError> {
        let (mut failures, mut calls) = (Vec::new(), PendingCalls::new());
        let count = self.endpoints.len();
        let first = self.preferred.get();
        for offset in 0..count {
            let replica = (first + offset) % count;
            // Until the last replica has had its time, those before it may still answer.
            let remaining = (count - offset) as u32;
            let endpoint = self.endpoints[replica];
            calls.push(
                replica,
                self.call_endpoint(endpoint, path, body, timeout * remaining),
            );
            let is_last = remaining == 1;
            let next_due = (!is_last).then(|| Instant::now() + timeout);
            while let Some(completed) = next_completed(&mut calls, next_due).await {
                match completed.result {
                    Ok(response) => {
                        self.preferred.set(completed.replica);
                        return Ok(response);
                    }
                    Err(CallError::Unavailable(failed)) => failures.extend(failed),
                    Err(rejected) => return Err(rejected),
                }
                if completed.replica == replica && !is_last {
                    break;
                }
            }
        }
        Err(CallError::Unavailable(failures))
    }

    /// Calls one replica. Sends a POST if there is a body, and a GET otherwise.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Rejected`] if the replica rejects the call, and [`CallError::Unavailable`] if it does not
    /// answer.
    pub async fn call_endpoint<T: DeserializeOwned>(
        &self,
        endpoint: SocketAddr,
        path: &str,
        body: Option<&impl Serialize>,
        timeout: Duration,
    ) -> Result<T, CallError> {
        let unavailable = |source| CallError::Unavailable(vec![EndpointError { endpoint, source }]);
        let response = self
            .exchange(endpoint, path, body, timeout)
            .await
            .map_err(unavailable)?;
        match response.status.0 {
            200 => serde_json::from_slice(&response.body)
                .map_err(|error| unavailable(EndpointFailure::Decode(error))),
            status @ 400..500 => Err(CallError::Rejected {
                status,
                message: error_message(&response),
            }),
            _ => Err(unavailable(EndpointFailure::Server(error_message(
                &response,
            )))),
        }
    }

    /// Sends an authenticated request on a new connection, and verifies the response.
    async fn exchange(
        &self,
        endpoint: SocketAddr,
        path: &str,
        body: Option<&impl Serialize>,
        timeout: Duration,
    ) -> Result<Response, EndpointFailure> {
        let method = if body.is_some() {
            Method::Post
        } else {
            Method::Get
        };
        let mut request = Request::new(method, path);
        if let Some(body) = body {
            request.body = serde_json::to_vec(body).map_err(EndpointFailure::Encode)?;
        }
        let request = self
            .secret
            .sign_request(request.with_header("Connection", "close"));
        let limits = Limits {
            max_body_bytes: MAX_BODY_BYTES,
            ..Limits::default()
        };
        let mut connection =
            Connection::open(endpoint, CONNECT_TIMEOUT.min(timeout), limits).await?;
        let response = connection.exchange(&request, timeout).await?;
        if response.status.0 == 401 {
            return Err(EndpointFailure::UnauthenticatedRequest);
        }
        self.secret
            .verify_response(&request, &response)
            .map_err(|_| EndpointFailure::UnauthenticatedResponse)?;
        Ok(response)
    }
}

/// Waits until a call completes. Returns `None` if none is pending, or at `limit` if there is one.
async fn next_completed<T>(
    calls: &mut PendingCalls<'_, T>,
    limit: Option<Instant>,
) -> Option<CompletedCall<T>> {
    let limit_reached = async {
        match limit {
            Some(limit) => _ = Timer::at(limit).await,
            None => future::pending().await,
        }
        None
    };
    future::or(calls.next_completed(), limit_reached).await
}

/// Returns the message in the body of an error response, or a message with the status if there is none.
fn error_message(response: &Response) -> String {
    serde_json::from_slice::<ErrorBody>(&response.body).map_or_else(
        |_| {
            let status = response.status.0;
            format!("the replica answered with status {status} without a message")
        },
        |body| body.message,
    )
}
