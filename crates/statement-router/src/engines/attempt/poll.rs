//! Polls for the results of a submitted statement.

use std::time::Duration;

use async_io::Timer;
use hoptiller_http::client::ClientError;
use hoptiller_http::{Method, Response};

use super::error::PollError;
use super::{AttemptError, Interruption, RunningAttempt, Stop};

/// Number of failed requests after which a poll, or the request for the proof of a kill, is given up. Polls are safe
/// to repeat: each requests the same numbered response.
pub(super) const MAX_FAILED_REQUESTS: u32 = 3;
/// Pause after a failed poll.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// An error of a single poll.
enum PollFailure {
    /// The poll can be repeated.
    Transient(PollError),
    /// The attempt has ended.
    Fatal(AttemptError),
}

impl RunningAttempt<'_> {
    /// Polls for the next response.
    pub(super) async fn poll(&self) -> Result<Response, Stop> {
        let target = self.next_path.clone().ok_or(AttemptError::NoNextUri)?;
        let request = self.transport.request(Method::Get, target);
        let timeouts = self.transport.poll_timeouts();
        let pool = &self.transport.pool;
        let mut failed_polls = 0;
        loop {
            let exchange = pool.exchange(self.endpoint, &request, timeouts);
            let result = match self.interruptible(exchange).await {
                Ok(result) => result,
                Err(Interruption::DeadlineExceeded) => {
                    return Err(AttemptError::DeadlineExceeded.into());
                }
                Err(Interruption::Controlled(control)) => return Err(control.into()),
            };
            let error = match check_poll(result) {
                Ok(response) => return Ok(response),
                Err(PollFailure::Fatal(error)) => return Err(error.into()),
                Err(PollFailure::Transient(error)) => error,
            };
            failed_polls += 1;
            if failed_polls == MAX_FAILED_REQUESTS {
                return Err(AttemptError::PollsFailed(error).into());
            }
            Timer::after(RETRY_PAUSE).await;
        }
    }
}

fn check_poll(result: Result<Response, ClientError>) -> Result<Response, PollFailure> {
    match result {
        Ok(response) => check_poll_status(response),
        Err(ClientError::Connect(error)) => {
            Err(PollFailure::Fatal(AttemptError::PollConnect(error)))
        }
        Err(ClientError::Parse(error)) => Err(PollFailure::Fatal(AttemptError::InvalidHttp(error))),
        Err(error) => Err(PollFailure::Transient(PollError::Exchange(error))),
    }
}

fn check_poll_status(response: Response) -> Result<Response, PollFailure> {
    match response.status.0 {
        200 => Ok(response),
        404 | 410 => Err(PollFailure::Fatal(AttemptError::UnknownToEngine)),
        status @ (429 | 502..=504) => Err(PollFailure::Transient(PollError::Unavailable(status))),
        status => Err(PollFailure::Fatal(AttemptError::PollStatus(status))),
    }
}
