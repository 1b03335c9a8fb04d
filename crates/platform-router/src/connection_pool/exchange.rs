//! The exchange of commands and responses with an engine for one attempt.
//!
//! The outcome reports only what is certain: the statement was not executed if none of its bytes was written or the
//! engine says so; otherwise it may have been executed.
//!
//! Establishing a connection may take long. Right before the first byte is written, the endpoint list, the clock and
//! the client's state decide whether the attempt is still allowed.

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

/// Maximum interval of the checks whether a request has ended, while there is no memory for its result.
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl ConnectionPool {
    /// Sends a statement and fetches its result, until the attempt's deadline or cancellation.
    ///
    /// # Errors
    /// Returns an error if there is no complete result. [`AttemptError::status`] tells whether the statement may have
    /// been executed.
    pub async fn attempt(
        &self,
        engine: EngineId,
        request: &AttemptRequest<'_>,
    ) -> Result<CompleteResponse, AttemptError> {
        let _in_flight = self
            .track_in_flight(engine)
            .ok_or(AttemptError::UnknownEngine)?;
        let interruption_error = |started, not_sent| match request.token.has_started() {
            true => Err(started),
            false => Err(AttemptError::NotSent(not_sent)),
        };
        let timed_out = async {
            Timer::at(request.deadline).await;
            interruption_error(AttemptError::TimedOut, NotSentReason::TimedOut)
        };
        let cancelled = async {
            request.token.cancelled().await;
            interruption_error(AttemptError::Cancelled, NotSentReason::Cancelled)
        };
        // If the exchange is dropped with its request in flight, the connection closes, which cancels the request.
        let interruption = future::or(timed_out, cancelled);
        future::or(self.exchange(engine, request), interruption).await
    }

    async fn exchange(
        &self,
        engine: EngineId,
        request: &AttemptRequest<'_>,
    ) -> Result<CompleteResponse, AttemptError> {
        let request_id = numeric_id(request.command.id);
        let mut connection = loop {
            let (mut connection, was_idle) = self.acquire(engine, Some(request_id)).await?;
            match self.send(engine, request, &mut connection).await {
                Ok(()) => break connection,
                // The engine had closed the idle connection. Nothing was sent, so another connection can be used.
                Err(AttemptError::FailedBeforeSend(_)) if was_idle => {}
                // Nothing was written, so the connection can be reused.
                Err(AttemptError::NotSent(reason)) => {
                    return self.release_and_fail(
                        engine,
                        connection,
                        AttemptError::NotSent(reason),
                    );
                }
                Err(error) => return Err(error),
            }
        };
        connection.record_request(request_id);
        let served = loop {
            let error = match connection.response(request.command.id).await? {
                ResponseBody::Served(served) => break served,
                ResponseBody::Page { .. } | ResponseBody::Load(_) => continue,
                ResponseBody::Overloaded => AttemptError::Overloaded,
                ResponseBody::Crashed => AttemptError::Crashed,
                ResponseBody::NotExecuted => AttemptError::NotExecuted,
            };
            return self.release_and_fail(engine, connection, error);
        };
        let (work, load_report) = (served.work, served.load_report);
        let rows = match self.fetch_rows(&mut connection, request, served).await {
            Err(AttemptError::RequestEnded) => {
                return self.release_and_fail(engine, connection, AttemptError::RequestEnded);
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

    /// Writes the command. Its first byte is written only while the attempt is allowed, and the timeout sent to the
    /// engine counts from that time.
    async fn send(
        &self,
        engine: EngineId,
        request: &AttemptRequest<'_>,
        connection: &mut Connection,
    ) -> Result<(), AttemptError> {
        let (first, rest, written) = loop {
            self.check_allowed(engine, request)
                .map_err(AttemptError::NotSent)?;
            let wait = request.deadline.saturating_duration_since(Instant::now());
            let wait_ms = wait.as_millis().max(1) as u64;
            let mut parts = engine_command::encode_statement_parts(&request.command, wait_ms);
            let first = parts.next().unwrap_or_default();
            match connection.try_write(first.as_bytes()) {
                Ok(0) => {
                    return Err(AttemptError::FailedBeforeSend(
                        io::ErrorKind::WriteZero.into(),
                    ));
                }
                Ok(written) => break (first, parts, written),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    connection
                        .writable()
                        .await
                        .map_err(AttemptError::FailedBeforeSend)?;
                }
                Err(error) => return Err(AttemptError::FailedBeforeSend(error)),
            }
        };
        request.token.mark_started();
        if request.is_retry {
            self.retries.record_retry(Instant::now());
        }
        connection
            .write_all(&first.as_bytes()[written..])
            .await
            .map_err(AttemptError::ConnectionReset)?;
        drop(first);
        for part in rest {
            connection
                .write_all(part.as_bytes())
                .await
                .map_err(AttemptError::ConnectionReset)?;
        }
        Ok(())
    }

    /// Checks whether an attempt may start now. While its connection is established, the client may disconnect, the
    /// deadline may pass, the engine may drain, its address may pass to another engine, the idempotency window may end,
    /// and other retries may exhaust the retry budget.
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
            Err(NotSentReason::RetryBudgetExhausted)
        } else if self.endpoint(engine) != Some(request.endpoint) {
            Err(NotSentReason::EndpointChanged)
        } else {
            Ok(())
        }
    }

    /// Releases the connection, which can be reused, and returns the error.
    fn release_and_fail<T>(
        &self,
        engine: EngineId,
        connection: Connection,
        error: AttemptError,
    ) -> Result<T, AttemptError> {
        self.release(engine, connection);
        Err(error)
    }

    /// Fetches all other pages at once, as soon as there is memory for them, and returns the rows as JSON.
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
                return Err(AttemptError::RequestEnded);
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
                    // Other responses, such as a duplicate of `Served`, are ignored.
                    _ => {}
                }
            }
        }
        rows.to_json().map_err(AttemptError::Rows)
    }

    /// Waits for memory for a result. Returns `None` once the request has ended.
    async fn reserve_memory(&self, bytes: u64, token: &CancelToken) -> Option<ResultReservation> {
        loop {
            if token.has_request_ended() {
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

/// Returns a request's id as a number: its 16 hex digits, or a hash of any other text.
fn numeric_id(id: &str) -> u64 {
    u64::from_str_radix(id, 16).unwrap_or_else(|_| hoptiller_router_core::group_of(id))
}
