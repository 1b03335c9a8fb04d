//! Scripted clients of a router. Each submits a statement, polls for its result, and records what it receives. Clients
//! follow Trino's client protocol, unless their options make them misbehave.

mod request;

use std::net::{SocketAddr, TcpStream};
use std::ops::ControlFlow;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use hoptiller_audit::{Outcome, Record, Recorder, unix_micros};
use hoptiller_http::client::{ClientError, Connection};
use hoptiller_http::{Limits, Method, Request, Response};
use hoptiller_statement::{ErrorName, QueryError, QueryResults, STATEMENT_PATH, client::names};

pub use request::{ClientOptions, ClientOutcome, ClientRequest};

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of each request other than a submission. A poll that times out is repeated.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(8);
/// Delay before a failed poll is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum time after its timeout for which a client that has received rows continues to poll.
const MAX_POLL_TIME_AFTER_TIMEOUT: Duration = Duration::from_secs(60);
/// Error name that is recorded for a response that is not a valid `QueryResults`.
const NO_RESULTS: &str = "NO_RESULTS";
/// Maximum size of the content of a response.
const MAX_BODY_BYTES: u64 = 64 << 20;
/// Maximum size of the head of a response.
const MAX_HEAD_BYTES: usize = 64 << 10;

type ClientConnection = Connection<Async<TcpStream>>;

/// A response of the statement API and the path that was requested.
#[derive(Clone, Debug)]
pub struct ReceivedResponse {
    /// The path that was requested.
    pub path: String,
    /// The response.
    pub response: Response,
}

/// A client of a router. It keeps one connection open between requests.
pub struct Client {
    router: String,
    addr: SocketAddr,
    recorder: Recorder,
    connection: Option<ClientConnection>,
    responses: Vec<ReceivedResponse>,
}

impl Client {
    /// Creates a client of the router named `router`, which listens on `addr`.
    pub fn new(router: &str, addr: SocketAddr, recorder: Recorder) -> Client {
        Client {
            router: router.into(),
            addr,
            recorder,
            connection: None,
            responses: Vec::new(),
        }
    }

    /// Returns the responses for the last statement, in the order in which they were received.
    pub fn responses(&self) -> &[ReceivedResponse] {
        &self.responses
    }

    /// Submits a statement and reads its result, until the result ends or the client gives up.
    pub async fn run(&mut self, request: &ClientRequest) -> ClientOutcome {
        let started = Instant::now();
        self.responses.clear();
        match self.submit(request).await {
            ControlFlow::Continue(first) => self.read_results(request, first, started).await,
            ControlFlow::Break(outcome) => outcome,
        }
    }

    /// Sends one GET request for a path.
    ///
    /// # Errors
    ///
    /// Returns an error if the router can't be reached, or does not send a valid HTTP response in time.
    pub async fn get(&mut self, path: &str) -> Result<Response, ClientError> {
        let request = Request::new(Method::Get, path);
        self.exchange(&request, REQUEST_TIMEOUT).await
    }

    async fn exchange(
        &mut self,
        request: &Request,
        timeout: Duration,
    ) -> Result<Response, ClientError> {
        let reusable = self
            .connection
            .take()
            .filter(|connection| connection.is_reusable() && !connection.is_stale());
        let mut connection = match reusable {
            Some(connection) => connection,
            None => connect(self.addr).await?,
        };
        let response = connection.exchange(request, timeout).await?;
        self.connection = Some(connection);
        Ok(response)
    }

    async fn submit(&mut self, request: &ClientRequest) -> ControlFlow<ClientOutcome, Response> {
        self.record_submitted(request);
        let id = request.id;
        let response = self
            .exchange(&submission_request(request), request.timeout)
            .await;
        match response {
            Ok(response) if response.status.0 == 200 => {
                self.recorder.write(Record::Admitted {
                    at: unix_micros(),
                    request: id,
                });
                ControlFlow::Continue(response)
            }
            Ok(response) => {
                let status = response.status.0;
                self.record_not_admitted(id, status);
                ControlFlow::Break(ClientOutcome::NotAdmitted(status))
            }
            Err(ClientError::Connect(_)) => {
                self.record_not_admitted(id, 0);
                ControlFlow::Break(ClientOutcome::Unreachable)
            }
            Err(_) => {
                self.recorder.write(Record::AdmissionUnknown {
                    at: unix_micros(),
                    request: id,
                });
                ControlFlow::Break(ClientOutcome::AdmissionUnknown)
            }
        }
    }

    async fn read_results(
        &mut self,
        request: &ClientRequest,
        first: Response,
        started: Instant,
    ) -> ClientOutcome {
        let (mut path, mut response) = (STATEMENT_PATH.to_owned(), first);
        let mut rows = 0;
        loop {
            self.responses.push(ReceivedResponse {
                path: path.clone(),
                response: response.clone(),
            });
            let Ok(results) = serde_json::from_slice::<QueryResults>(&response.body) else {
                return self.fail(request, NO_RESULTS.to_owned());
            };
            rows += self.record_rows(request, &results);
            let Some(next_uri) = results.next_uri else {
                return self.finish(request, rows, &response, results.error);
            };
            path = uri_path(next_uri);
            if self.stops_early(request, &path).await {
                return ClientOutcome::Abandoned;
            }
            if !request.options.poll_delay.is_zero() {
                Timer::after(request.options.poll_delay).await;
            }
            match self.poll(request, &path, started, rows > 0).await {
                ControlFlow::Continue(next) => response = next,
                ControlFlow::Break(outcome) => return outcome,
            }
        }
    }

    /// Records the rows of a response, if it has any, and returns their number.
    fn record_rows(&self, request: &ClientRequest, results: &QueryResults) -> u64 {
        let Some(data) = &results.data else { return 0 };
        let rows = serde_json::from_str::<Vec<serde_json::Value>>(data.get())
            .map_or(0, |rows| rows.len() as u64);
        self.recorder.write(Record::RowsReceived {
            at: unix_micros(),
            request: request.id,
            rows,
        });
        rows
    }

    /// Stops polling or cancels the statement once as many responses have been received as the options state. Returns
    /// whether the client stopped. Both are recorded as [`Record::Cancelled`], although a statement that is only
    /// abandoned may continue to run.
    async fn stops_early(&mut self, request: &ClientRequest, next_path: &str) -> bool {
        let is_after = |limit: Option<usize>| limit.is_some_and(|n| self.responses.len() >= n);
        let abandons = is_after(request.options.abandon_after);
        let cancels = !abandons && is_after(request.options.cancel_after);
        if cancels {
            let delete = Request::new(Method::Delete, next_path);
            let _ = self.exchange(&delete, REQUEST_TIMEOUT).await;
        }
        if abandons || cancels {
            self.recorder.write(Record::Cancelled {
                at: unix_micros(),
                request: request.id,
            });
        }
        abandons || cancels
    }

    /// Polls until there is a response, opening new connections as needed, or until the client gives up.
    async fn poll(
        &mut self,
        request: &ClientRequest,
        path: &str,
        started: Instant,
        has_rows: bool,
    ) -> ControlFlow<ClientOutcome, Response> {
        let poll = Request::new(Method::Get, path);
        let (timeout, grace) = (request.timeout, request.options.grace);
        loop {
            let elapsed = started.elapsed();
            // The timeout applies to the start of the result only: a client that has received rows continues to poll.
            if (!has_rows && elapsed > timeout + grace)
                || elapsed > timeout + MAX_POLL_TIME_AFTER_TIMEOUT
            {
                self.recorder.write(Record::TimedOut {
                    at: unix_micros(),
                    request: request.id,
                });
                return ControlFlow::Break(ClientOutcome::TimedOut);
            }
            let received = if request.options.duplicates_polls {
                self.exchange_twice(request, &poll).await
            } else {
                self.exchange(&poll, REQUEST_TIMEOUT).await
            };
            match received {
                Ok(response) if response.status.0 == 200 => {
                    return ControlFlow::Continue(response);
                }
                Ok(response) if matches!(response.status.0, 404 | 410) => {
                    let error = format!("HTTP {}", response.status.0);
                    return ControlFlow::Break(self.fail(request, error));
                }
                _ => {
                    Timer::after(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Sends the same poll on two connections at once. If the responses have the same status but different content,
    /// records [`Record::FinalAnswerChanged`], whether the page is the last one or not.
    async fn exchange_twice(
        &mut self,
        request: &ClientRequest,
        poll: &Request,
    ) -> Result<Response, ClientError> {
        let addr = self.addr;
        let duplicate = async move {
            let mut connection = connect(addr).await?;
            connection.exchange(poll, REQUEST_TIMEOUT).await
        };
        let original = self.exchange(poll, REQUEST_TIMEOUT);
        let (original, duplicate) = futures_lite::future::zip(original, duplicate).await;
        let (original, duplicate) = (original?, duplicate?);
        if original.status == duplicate.status && original.body != duplicate.body {
            self.recorder.write(Record::FinalAnswerChanged {
                at: unix_micros(),
                request: request.id,
            });
        }
        Ok(original)
    }

    /// Records the outcome of a statement whose last response has been received, and returns it.
    fn finish(
        &self,
        request: &ClientRequest,
        rows: u64,
        last: &Response,
        error: Option<QueryError>,
    ) -> ClientOutcome {
        let Some(error) = error else {
            self.record_outcome(request, Outcome::Served, None);
            return ClientOutcome::Served(rows);
        };
        let error = error.error_name;
        if !is_retryable(&error) {
            return self.fail(request, error);
        }
        self.record_outcome(request, Outcome::Refused, Some(error.clone()));
        let retry_after = last.headers.get("retry-after");
        ClientOutcome::Rejected {
            error,
            retry_after: retry_after.and_then(|seconds| seconds.parse().ok()),
        }
    }

    /// Records that a statement failed, and returns that outcome.
    fn fail(&self, request: &ClientRequest, error: String) -> ClientOutcome {
        self.record_outcome(request, Outcome::Failed, Some(error.clone()));
        ClientOutcome::Failed(error)
    }

    fn record_submitted(&self, request: &ClientRequest) {
        let timeout = request.timeout + request.options.grace;
        self.recorder.write(Record::Submitted {
            at: unix_micros(),
            request: request.id,
            trace: request.trace.clone(),
            router: self.router.clone(),
            class: request.class.clone(),
            key: request.ordering_key.clone(),
            deadline: unix_micros() + timeout.as_micros() as u64,
        });
    }

    /// Records a submission that was not admitted as [`Record::Rejected`]. The status is that of the response, or 0
    /// without a connection. A statement that is admitted and then rejected is recorded as [`Outcome::Refused`]
    /// instead.
    fn record_not_admitted(&self, request: u64, status: u16) {
        self.recorder.write(Record::Rejected {
            at: unix_micros(),
            request,
            status,
        });
    }

    fn record_outcome(&self, request: &ClientRequest, outcome: Outcome, error: Option<String>) {
        self.recorder.write(Record::Answered {
            at: unix_micros(),
            request: request.id,
            outcome,
            error,
        });
    }
}

async fn connect(addr: SocketAddr) -> Result<ClientConnection, ClientError> {
    let limits = Limits {
        max_body_bytes: MAX_BODY_BYTES,
        max_head_bytes: MAX_HEAD_BYTES,
        ..Limits::default()
    };
    Connection::open(addr, CONNECT_TIMEOUT, limits).await
}

/// Builds the request that submits a statement.
fn submission_request(request: &ClientRequest) -> Request {
    let mut tags = format!("class={}", request.class);
    if let Some(key) = &request.ordering_key {
        tags.push_str(&format!(",key={key}"));
    }
    if !request.tags.is_empty() {
        tags.push_str(&format!(",{}", request.tags));
    }
    let timeout_ms = request.timeout.as_millis();
    let session = format!("{}={timeout_ms}ms", names::MAX_RUN_TIME_PROPERTY);
    let mut submission = Request::new(Method::Post, STATEMENT_PATH)
        .with_header(names::USER, "scripted")
        .with_header(names::CLIENT_TAGS, &tags)
        .with_header(names::TRACE_TOKEN, &request.trace)
        .with_header(names::SESSION, &session);
    submission.body = request.text.clone().into_bytes();
    submission
}

/// Returns the path of an absolute URI. Any other text is taken as a path.
fn uri_path(uri: String) -> String {
    let path = uri
        .strip_prefix("http://")
        .and_then(|rest| rest.find('/').map(|start| rest[start..].to_owned()));
    path.unwrap_or(uri)
}

/// Returns whether an error of that name means that the statement may be submitted again.
fn is_retryable(error: &str) -> bool {
    ErrorName::ALL
        .iter()
        .any(|name| name.is_retryable() && name.name() == error)
}
