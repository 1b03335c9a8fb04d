//! The exchange of one attempt with an engine.
//!
//! The outcome reports only what is certain: the statement was not executed if not one byte of it was written, or the
//! engine says so; otherwise it may have been.
//!
//! A connection may take long to establish. Whether the attempt is still allowed is checked right before its first byte,
//! against the endpoint list, the clock and the client's state at that time.

use std::io;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;
use hoptiller_platform_protocol::engine_response::ServedResult;
use hoptiller_platform_protocol::result_rows::MAX_PAGE_BYTES;
use hoptiller_platform_protocol::{ResponseBody, RowAssembler, engine_command};
use hoptiller_policy::EngineId;

use super::ConnectionPool;
use crate::attempt::{AttemptError, AttemptRequest, CompleteResponse, NotSentReason};
use crate::cancel::CancelToken;
use crate::connection::Connection;
use crate::result_memory::ResultReservation;

/// The longest pause between checks whether a result's client has disconnected, while there is no memory for the result.
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl ConnectionPool {
    /// Sends a statement and fetches its result, until the deadline or the cancellation.
    ///
    /// # Errors
    /// If there is no complete result; [`AttemptError::status`] says whether the statement may have been executed.
    pub async fn attempt(
        &self,
        engine: EngineId,
        request: &AttemptRequest<'_>,
    ) -> Result<CompleteResponse, AttemptError> {
        let _in_flight = self.enter(engine).ok_or(AttemptError::UnknownEngine)?;
        let interrupted = |started, not_sent| match request.token.has_started() {
            true => Err(started),
            false => Err(AttemptError::NotSent(not_sent)),
        };
        let timed_out = async {
            Timer::at(request.deadline).await;
            interrupted(AttemptError::TimedOut, NotSentReason::TimedOut)
        };
        let cancelled = async {
            request.token.cancelled().await;
            interrupted(AttemptError::Cancelled, NotSentReason::Cancelled)
        };
        // A connection that is dropped here with its request in flight is closed, which cancels the request.
        let interruption = future::or(timed_out, cancelled);
        future::or(self.exchange(engine, request), interruption).await
    }

    async fn exchange(
        &self,
        engine: EngineId,
        request: &AttemptRequest<'_>,
    ) -> Result<CompleteResponse, AttemptError> {
        let key = request_key(request.command.id);
        let mut connection = loop {
            let (mut connection, was_idle) = self.acquire(engine, Some(key)).await?;
            match self.send(engine, request, &mut connection).await {
                Ok(()) => break connection,
                // The engine had closed an idle connection: nothing was sent, and there are others.
                Err(AttemptError::Unsent(_)) if was_idle => {}
                // The connection is still good.
                Err(AttemptError::NotSent(reason)) => {
                    return self.fail(engine, connection, AttemptError::NotSent(reason));
                }
                Err(error) => return Err(error),
            }
        };
        connection.record_request(key);
        let served = loop {
            let error = match connection.response(request.command.id).await? {
                ResponseBody::Served(served) => break served,
                ResponseBody::Page { .. } | ResponseBody::Load(_) => continue,
                ResponseBody::Overloaded => AttemptError::Overloaded,
                ResponseBody::Crashed => AttemptError::Crashed,
                ResponseBody::NotExecuted => AttemptError::NotExecuted,
            };
            return self.fail(engine, connection, error);
        };
        let (work, load_report) = (served.work, served.load_report);
        let rows = match self.fetch_rows(&mut connection, request, served).await {
            Err(AttemptError::Abandoned) => {
                return self.fail(engine, connection, AttemptError::Abandoned);
            }
            rows => rows?,
        };
        self.release(engine, connection);
        Ok(CompleteResponse {
            rows,
            work,
            load_report,
        })
    }

    /// Writes the command. Its first byte is written at a moment at which the attempt is allowed; the timeout that the
    /// engine is given counts from then.
    async fn send(
        &self,
        engine: EngineId,
        request: &AttemptRequest<'_>,
        connection: &mut Connection,
    ) -> Result<(), AttemptError> {
        let (line, written) = loop {
            self.check_allowed(engine, request)
                .map_err(AttemptError::NotSent)?;
            let wait = request.deadline.saturating_duration_since(Instant::now());
            let wait_ms = wait.as_millis().max(1) as u64;
            let line = engine_command::encode_statement(&request.command, wait_ms);
            match connection.try_write(line.as_bytes()) {
                Ok(0) => return Err(AttemptError::Unsent(io::ErrorKind::WriteZero.into())),
                Ok(written) => break (line, written),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    connection.writable().await.map_err(AttemptError::Unsent)?;
                }
                Err(error) => return Err(AttemptError::Unsent(error)),
            }
        };
        request.token.mark_started();
        if request.is_retry {
            self.retries.record_retry(Instant::now());
        }
        connection
            .write_all(&line.as_bytes()[written..])
            .await
            .map_err(AttemptError::ConnectionReset)
    }

    /// Whether an attempt may start now. Between the decision and a connection lies time, in which clients disconnect,
    /// engines drain or pass on their address, and idempotency windows end.
    fn check_allowed(
        &self,
        engine: EngineId,
        request: &AttemptRequest<'_>,
    ) -> Result<(), NotSentReason> {
        let now = Instant::now();
        if request.token.is_cancelled() {
            Err(NotSentReason::Cancelled)
        } else if now >= request.deadline {
            Err(NotSentReason::TimedOut)
        } else if request.send_by.is_some_and(|send_by| now >= send_by) {
            Err(NotSentReason::IdempotencyWindowPassed)
        } else if request.is_retry && !self.retries.allows_retry(now) {
            Err(NotSentReason::RetryBudgetSpent)
        } else if self.endpoint(engine) != Some(request.endpoint) {
            Err(NotSentReason::EndpointChanged)
        } else {
            Ok(())
        }
    }

    /// Returns the connection, which is still good, and the error.
    fn fail<T>(
        &self,
        engine: EngineId,
        connection: Connection,
        error: AttemptError,
    ) -> Result<T, AttemptError> {
        self.release(engine, connection);
        Err(error)
    }

    /// Fetches the further pages, all at once, as soon as there is memory for them; returns the rows as JSON.
    async fn fetch_rows(
        &self,
        connection: &mut Connection,
        request: &AttemptRequest<'_>,
        served: ServedResult,
    ) -> Result<String, AttemptError> {
        let id = request.command.id;
        let mut rows = RowAssembler::new(served.pages);
        rows.add_page(0, served.first_page)
            .map_err(AttemptError::Rows)?;
        if served.pages > 1 {
            let bytes = served.pages as u64 * MAX_PAGE_BYTES as u64;
            let Some(_reservation) = self.reserve_memory(bytes, request.token).await else {
                connection
                    .write_all(engine_command::encode_discard(id).as_bytes())
                    .await
                    .map_err(AttemptError::ConnectionReset)?;
                return Err(AttemptError::Abandoned);
            };
            let commands: String = (1..served.pages)
                .map(|page| engine_command::encode_fetch(id, page))
                .collect();
            connection
                .write_all(commands.as_bytes())
                .await
                .map_err(AttemptError::ConnectionReset)?;
            while !rows.is_complete() {
                match connection.response(id).await? {
                    ResponseBody::Page { number, bytes } => {
                        rows.add_page(number, bytes).map_err(AttemptError::Rows)?;
                    }
                    ResponseBody::Crashed => return Err(AttemptError::Crashed),
                    // A duplicate of an earlier response.
                    _ => {}
                }
            }
        }
        rows.to_json().map_err(AttemptError::Rows)
    }

    /// Waits for memory for a result; `None` once the client has disconnected.
    async fn reserve_memory(&self, bytes: u64, token: &CancelToken) -> Option<ResultReservation> {
        loop {
            if token.is_abandoned() {
                return None;
            }
            let freed = self.freed.listen();
            if let Some(reservation) = self.result_memory.try_reserve(bytes) {
                return Some(reservation);
            }
            future::or(freed, async {
                _ = Timer::after(MEMORY_CHECK_INTERVAL).await;
            })
            .await;
        }
    }
}

/// The form in which connections remember a request's id.
fn request_key(id: &str) -> u64 {
    u64::from_str_radix(id, 16).unwrap_or_else(|_| hoptiller_router_core::group_of(id))
}
