//! The proof of what became of the effects of a statement that was killed at its engine.

use async_io::Timer;
use hoptiller_http::{Method, Response};
use hoptiller_runaway::Proof;
use hoptiller_statement::extra;

use super::poll::{MAX_FAILED_REQUESTS, RETRY_PAUSE};
use super::{CONTROL_TIMEOUT, RunningAttempt};
use crate::engines::connection_pool::Timeouts;

impl RunningAttempt<'_> {
    /// Asks the engine what became of the statement's effects. Retries after a failed exchange or a 5xx response.
    pub(super) async fn fetch_kill_proof(&self) -> Proof {
        let Some(query_id) = self.query_id.borrow().clone() else {
            return Proof::Unknown;
        };
        let request = self
            .transport
            .request(Method::Get, format!("/v1/query/{query_id}"));
        let timeouts = Timeouts {
            connect: self.transport.options.connect_timeout,
            response: CONTROL_TIMEOUT,
        };
        for _ in 0..MAX_FAILED_REQUESTS {
            let pool = &self.transport.pool;
            match pool.exchange(self.endpoint, &request, timeouts).await {
                Ok(response) if response.status.0 == 200 => return parse_proof(&response),
                Ok(response) if response.status.0 < 500 => return Proof::Unknown,
                _ => {}
            }
            Timer::after(RETRY_PAUSE).await;
        }
        Proof::Unknown
    }
}

fn parse_proof(response: &Response) -> Proof {
    match response.headers.get(extra::EFFECTS) {
        Some("rolled-back") => Proof::RolledBack,
        Some("committed") => Proof::Committed,
        _ => Proof::Unknown,
    }
}
