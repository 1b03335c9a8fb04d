//! Polls for the results of a submitted statement.

use std::time::Duration;

use async_io::Timer;
use hoptiller_http::client::ClientError;
use hoptiller_http::{Method, Response};

use super::error::PollError;
use super::{AttemptError, Interruption, RunningAttempt, Stop};

/// Polls in a row that may fail before the engine counts as gone. A poll requests the same numbered response again, so
/// that a further one repeats nothing.
pub(super) const MAX_FAILED_POLLS: u32 = 3;
/// Pause after a poll that the engine could not answer.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(100);

impl RunningAttempt<'_> {
    /// Polls for the next response.
    pub(super) async fn poll(&self) -> Result<Response, Stop> {
        let target = self.next_path.clone().ok_or(AttemptError::NoNextUri)?;
        let request = self.transport.request(Method::Get, target);
        let mut failed_polls = 0;
        loop {
            let timeouts = self.transport.poll_timeouts();
            let exchange = self
                .transport
                .pool
                .exchange(self.endpoint, &request, timeouts);
            let result = match self.interruptible(exchange).await {
                Ok(Ok(response)) => check_poll_status(response)?,
                Ok(Err(error)) => Err(poll_error(error)?),
                Err(Interruption::DeadlineExceeded) => {
                    return Err(AttemptError::DeadlineExceeded.into());
                }
                Err(Interruption::Controlled(control)) => return Err(control.into()),
            };
            let error = match result {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            failed_polls += 1;
            if failed_polls == MAX_FAILED_POLLS {
                return Err(AttemptError::PollsFailed(error).into());
            }
            Timer::after(RETRY_PAUSE).await;
        }
    }
}

/// The response of a poll, or the error after which it can be repeated.
///
/// # Errors
///
/// The status ends the attempt.
fn check_poll_status(response: Response) -> Result<Result<Response, PollError>, AttemptError> {
    match response.status.0 {
        200 => Ok(Ok(response)),
        404 | 410 => Err(AttemptError::UnknownToEngine),
        status @ (429 | 502..=504) => Ok(Err(PollError::Unavailable(status))),
        status => Err(AttemptError::PollStatus(status)),
    }
}

/// The error after which a poll can be repeated.
///
/// # Errors
///
/// The error ends the attempt.
fn poll_error(error: ClientError) -> Result<PollError, AttemptError> {
    match error {
        ClientError::Connect(error) => Err(AttemptError::EngineGone(error)),
        ClientError::Parse(error) => Err(AttemptError::InvalidHttp(error)),
        error => Ok(PollError::Exchange(error)),
    }
}
