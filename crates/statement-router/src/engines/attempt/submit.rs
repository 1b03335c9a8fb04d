//! The submission of a statement, the only request that can execute it.

use std::time::Duration;

use hoptiller_http::client::ClientError;
use hoptiller_http::{Method, Request, Response};
use hoptiller_statement::STATEMENT_PATH;
use hoptiller_statement::extra::{self, ConfigVersions};

use super::{AttemptError, Interruption, RunningAttempt, Stop};
use crate::engines::connection_pool::{ExchangeError, Timeouts};
use crate::engines::load_report;
use crate::engines::observer::SendRejected;

/// Time by which the timeout of the exchange exceeds the attempt's deadline, so that the deadline takes effect first.
const DEADLINE_SLACK_MICROS: u64 = 1_000_000;

impl RunningAttempt<'_> {
    /// Submits the statement and returns the first response.
    pub(super) async fn submit(&self) -> Result<Response, Stop> {
        let request = self.submit_request();
        let remaining = self.attempt.deadline.saturating_sub(self.observer.now());
        let timeouts = Timeouts {
            connect: self.transport.options.connect_timeout,
            response: Duration::from_micros(remaining + DEADLINE_SLACK_MICROS),
        };
        let exchange =
            self.transport
                .pool
                .exchange_authorized(self.endpoint, &request, timeouts, || self.authorize());
        match self.interruptible(exchange).await {
            Ok(Ok(response)) => check_submit_status(response),
            Ok(Err(ExchangeError::NotAuthorized(rejected))) => {
                Err(AttemptError::NotAuthorized(rejected).into())
            }
            Ok(Err(ExchangeError::Failed(error))) => Err(submit_error(error).into()),
            Err(Interruption::DeadlineExceeded) => Err(AttemptError::SubmitTimedOut.into()),
            Err(Interruption::Controlled(control)) => Err(control.into()),
        }
    }

    fn submit_request(&self) -> Request {
        let attempt = self.attempt;
        let mut request = Request::new(Method::Post, STATEMENT_PATH);
        for (name, value) in &attempt.engine_statement.fields {
            request.headers.push(name, value);
        }
        let identity = &self.transport.options.identity;
        request.headers.push(extra::ROUTER, &identity.router);
        let statement_name = identity.statement_name(attempt.statement_id);
        request.headers.push(extra::STATEMENT_NAME, &statement_name);
        let class_name = self.transport.class_name(attempt.class);
        request.headers.push(extra::CLASS, &class_name);
        let mut options = vec![("hop", f64::from(attempt.number))];
        options.extend(attempt.priority.map(|p| ("priority", f64::from(p))));
        let grant_mb = attempt.memory_grant_mb;
        options.extend((grant_mb > 0.0).then_some(("grant_mb", grant_mb)));
        request
            .headers
            .push(extra::ATTEMPT_OPTIONS, &extra::format_numbers(&options));
        request.body = attempt.engine_statement.text.clone().into_bytes();
        request
    }

    fn authorize(&self) -> Result<Option<ConfigVersions>, SendRejected> {
        let attempt = self.attempt;
        if attempt.send_by.is_some_and(|by| self.observer.now() >= by) {
            return Err(SendRejected::KeyExpired);
        }
        self.observer.authorize_send(attempt.engine, attempt.class)
    }
}

fn submit_error(error: ClientError) -> AttemptError {
    match error {
        ClientError::Connect(error) => AttemptError::Connect(error),
        ClientError::TimedOut => AttemptError::SubmitTimedOut,
        error => AttemptError::Submit(error),
    }
}

fn check_submit_status(response: Response) -> Result<Response, Stop> {
    match response.status.0 {
        200 => Ok(response),
        status @ (429 | 503) => Err(AttemptError::NotAccepted {
            status,
            load_report: load_report::from_header(&response),
        }
        .into()),
        status => Err(AttemptError::SubmitStatus(status).into()),
    }
}
