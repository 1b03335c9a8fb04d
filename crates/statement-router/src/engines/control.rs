//! Requests to an engine to kill, pause or resume a statement.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use hoptiller_http::{Method, Request};

use super::attempt_id::AttemptId;
use super::client::EngineClient;
use super::connection_pool::EngineEndpoint;

/// Number of tries of a control request, including those made before the query id is known.
const MAX_TRIES: u32 = 5;
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// A request to an engine to control a running statement.
#[derive(Clone, Debug)]
pub enum StatementControl {
    /// Kills the statement.
    Kill {
        /// The reason, which is part of the error that the client receives.
        reason: String,
    },
    /// Pauses the statement.
    Pause,
    /// Resumes a paused statement.
    Resume,
}

impl StatementControl {
    fn action(&self) -> &'static str {
        match self {
            StatementControl::Kill { .. } => "killed",
            StatementControl::Pause | StatementControl::Resume => "paused",
        }
    }

    fn body(&self) -> &str {
        match self {
            StatementControl::Kill { reason } => reason,
            StatementControl::Pause => "true",
            StatementControl::Resume => "false",
        }
    }
}

/// An error of a control request.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The attempt is no longer in flight.
    #[error("the attempt has ended")]
    AttemptEnded,
    /// The engine has left the endpoint list.
    #[error("the engine is no longer listed")]
    EngineNotListed,
    /// The engine has rejected the request with this HTTP status.
    #[error("the engine rejected the request with status {0}")]
    Rejected(u16),
    /// The engine has confirmed no request, or has not yet reported the query id.
    #[error("the engine confirmed none of {MAX_TRIES} tries, or has not reported the query id")]
    NotConfirmed,
}

impl EngineClient {
    /// Sends a control request for a statement to its engine. A request without a response is repeated, since control
    /// requests are idempotent. The attempt itself observes its end after a kill, so a kill that races with the
    /// result does no harm.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine has not executed the request, or has not confirmed it.
    pub async fn control_statement(
        self: Rc<Self>,
        id: AttemptId,
        control: StatementControl,
    ) -> Result<(), ControlError> {
        for _ in 0..MAX_TRIES {
            let (endpoint, query_id) = self.locate(id)?;
            // Without a query id, the engine has not yet responded to the submission.
            if let Some(query_id) = query_id {
                let request = self.control_request(&query_id, &control);
                let timeouts = self.transport.poll_timeouts();
                let pool = &self.transport.pool;
                match pool.exchange(endpoint, &request, timeouts).await {
                    Ok(response) if response.status.0 < 300 => return Ok(()),
                    Ok(response) if response.status.0 < 500 => {
                        return Err(ControlError::Rejected(response.status.0));
                    }
                    _ => {}
                }
            }
            Timer::after(RETRY_PAUSE).await;
        }
        Err(ControlError::NotConfirmed)
    }

    fn locate(&self, id: AttemptId) -> Result<(EngineEndpoint, Option<String>), ControlError> {
        let query = self.in_flight_query(id).ok_or(ControlError::AttemptEnded)?;
        let endpoint = self
            .transport
            .endpoint(query.engine)
            .ok_or(ControlError::EngineNotListed)?;
        Ok((endpoint, query.query_id))
    }

    fn control_request(&self, query_id: &str, control: &StatementControl) -> Request {
        let target = format!("/v1/query/{query_id}/{}", control.action());
        let mut request = self.transport.request(Method::Put, target);
        request.body = control.body().as_bytes().to_vec();
        request
    }
}
