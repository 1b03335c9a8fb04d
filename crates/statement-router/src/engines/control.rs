//! Requests to an engine to kill, pause or resume a statement.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use hoptiller_http::{Method, Request};

use super::attempt_id::AttemptId;
use super::client::EngineClient;
use super::connection_pool::Endpoint;

/// Requests that are made before an engine counts as unreachable.
const MAX_REQUESTS: u32 = 5;
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// What an engine is requested to do with a statement.
#[derive(Clone, Debug)]
pub enum StatementControl {
    /// Kill it.
    Kill {
        /// The reason, which the client gets to see.
        reason: String,
    },
    /// Pause it.
    Pause,
    /// Resume it after a pause.
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

/// Why an engine has not executed a control request.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The attempt is not in flight any more.
    #[error("the attempt has ended")]
    AttemptEnded,
    /// The engine has left the endpoint list.
    #[error("the engine is no longer listed")]
    EngineNotListed,
    /// The engine has rejected the request with this HTTP status.
    #[error("the engine rejected the request with status {0}")]
    Rejected(u16),
    /// No request has been answered.
    #[error("the engine did not respond to any request")]
    Unreachable,
}

impl EngineClient {
    /// Requests an engine to control a statement. A request that is not answered is repeated, as it changes nothing when it
    /// is executed twice. The end of a killed attempt is observed by the attempt itself, so that a kill that crosses the
    /// result does no harm.
    ///
    /// # Errors
    ///
    /// The engine has not executed the request, or has not confirmed it.
    pub async fn control_statement(
        self: Rc<Self>,
        id: AttemptId,
        control: StatementControl,
    ) -> Result<(), ControlError> {
        for _ in 0..MAX_REQUESTS {
            let (endpoint, query_id) = self.locate(id)?;
            // Without an id the engine has not answered the attempt's first request yet.
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
        Err(ControlError::Unreachable)
    }

    fn locate(&self, id: AttemptId) -> Result<(Endpoint, Option<String>), ControlError> {
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
