//! The responses of statements in the protocol's `QueryResults` format. The same response always has the same bytes.

use std::fmt::Write as _;
use std::time::Duration;

use hoptiller_http::Response;
use hoptiller_policy::Micros;
use hoptiller_router_core::{
    EngineError, FinalResponse, ResponseContent, ResultPage, StatementResponse,
};
use hoptiller_statement::{
    ErrorName, ErrorType, Idempotency, PageToken, Phase, QueryError, QueryId, RecoveryState, State,
    TokenKey,
};

use crate::context::RouterContext;
use crate::recovery::recovery_error;
use crate::settings;

/// Initial capacity for the part of a response without columns and rows, in bytes. Few responses exceed it.
const ENVELOPE_BYTES: usize = 768;

/// The content of a response. It is written without a serializer for speed, since most requests to a router are
/// polls.
struct QueryResults<'a> {
    id: &'a QueryId,
    /// The token of the next response; `None` after the last one.
    next: Option<&'a PageToken>,
    base_uri: &'a str,
    page: &'a ResultPage,
    state: State,
    is_running: bool,
    elapsed_ms: u64,
    queued_ms: u64,
    error: Option<QueryError>,
}

impl QueryResults<'_> {
    fn to_json(&self, key: &TokenKey) -> String {
        let mut out = String::with_capacity(ENVELOPE_BYTES + self.page_bytes());
        self.push_uris(&mut out, key);
        self.push_page(&mut out);
        self.push_stats(&mut out);
        if let Some(error) = &self.error {
            out.push_str(",\"error\":");
            out.push_str(&serde_json::to_string(error).unwrap_or_else(|_| "{}".into()));
        }
        out.push_str(",\"warnings\":[]");
        self.push_update(&mut out);
        out.push('}');
        out
    }

    fn page_bytes(&self) -> usize {
        let columns = self.page.columns.as_ref().map_or(0, |c| c.get().len());
        let rows = self.page.rows.as_ref().map_or(0, |r| r.get().len());
        columns + rows
    }

    fn push_uris(&self, out: &mut String, key: &TokenKey) {
        out.push_str("{\"id\":\"");
        out.push_str(self.id.as_str());
        out.push_str("\",\"infoUri\":\"");
        out.push_str(self.base_uri);
        key.push_query_path(out, self.id);
        if let Some(token) = self.next {
            out.push_str("\",\"nextUri\":\"");
            out.push_str(self.base_uri);
            key.push_page_path(out, token);
        }
        out.push('"');
    }

    fn push_page(&self, out: &mut String) {
        if let Some(columns) = &self.page.columns {
            out.push_str(",\"columns\":");
            out.push_str(columns.get());
        }
        if let Some(rows) = &self.page.rows {
            out.push_str(",\"data\":");
            out.push_str(rows.get());
        }
    }

    fn push_stats(&self, out: &mut String) {
        let state = match self.state {
            State::Queued => "QUEUED",
            State::Running => "RUNNING",
            State::Finished => "FINISHED",
            _ => "FAILED",
        };
        let is_queued = self.state == State::Queued;
        let _ = write!(
            out,
            ",\"stats\":{{\"state\":\"{state}\",\"queued\":{is_queued},\"scheduled\":{}",
            self.is_running
        );
        // Clients expect all fields to be present; unknown values are 0.
        let fields = [
            (",\"nodes\":", u64::from(self.is_running)),
            (
                ",\"totalSplits\":0,\"queuedSplits\":0,\"runningSplits\":0,\"completedSplits\":0,\"cpuTimeMillis\":",
                0,
            ),
            (",\"wallTimeMillis\":", self.elapsed_ms - self.queued_ms),
            (",\"queuedTimeMillis\":", self.queued_ms),
            (",\"elapsedTimeMillis\":", self.elapsed_ms),
        ];
        for (name, value) in fields {
            out.push_str(name);
            let _ = write!(out, "{value}");
        }
        out.push_str(",\"processedRows\":0,\"processedBytes\":0,\"peakMemoryBytes\":0}");
    }

    fn push_update(&self, out: &mut String) {
        if let Some((kind, count)) = &self.page.update {
            out.push_str(",\"updateType\":");
            out.push_str(&serde_json::to_string(kind).unwrap_or_else(|_| "null".into()));
            if let Some(count) = count {
                let _ = write!(out, ",\"updateCount\":{count}");
            }
        }
    }
}

/// Returns the value of `Retry-After` in whole seconds, rounded up and at least 1.
pub(super) fn retry_after_seconds(duration: Duration) -> String {
    duration.as_millis().div_ceil(1000).max(1).to_string()
}

/// Converts a numbered response of a statement to HTTP.
pub(super) fn http_response(
    context: &RouterContext,
    id: &QueryId,
    response: &StatementResponse,
    base_uri: &str,
) -> Response {
    let next = (!response.is_final()).then(|| PageToken {
        id: id.clone(),
        page: response.number + 1,
        recovery: recovery_state(context, response.class, response.streaming),
    });
    let empty = ResultPage::default();
    let (page, final_response) = match &response.content {
        ResponseContent::NoChange => (&empty, None),
        ResponseContent::Rows(page) => (page, None),
        ResponseContent::Final(final_response) => (&empty, Some(final_response)),
    };
    let results = QueryResults {
        id,
        next: next.as_ref(),
        base_uri,
        page,
        state: state_of(response, final_response),
        is_running: response.was_sent,
        elapsed_ms: response.elapsed / 1000,
        queued_ms: response.queued / 1000,
        error: final_response.and_then(query_error),
    };
    let mut http_response = Response::json(200, results.to_json(context.token_key()));
    for (name, value) in &page.session_fields {
        http_response.headers.push(name, value);
    }
    if let Some(retry_after) = final_response.and_then(retry_after) {
        http_response.headers.push(
            "Retry-After",
            &retry_after_seconds(Duration::from_micros(retry_after)),
        );
    }
    http_response
}

fn state_of(response: &StatementResponse, final_response: Option<&FinalResponse>) -> State {
    match (final_response, response.is_final()) {
        (Some(FinalResponse::Completed), _) | (None, true) => State::Finished,
        (Some(_), _) => State::Failed,
        (None, false) if response.was_sent => State::Running,
        (None, false) => State::Queued,
    }
}

fn retry_after(response: &FinalResponse) -> Option<Micros> {
    match response {
        FinalResponse::Rejected { retry_after, .. }
        | FinalResponse::TerminatedByRule { retry_after, .. } => *retry_after,
        _ => None,
    }
}

fn query_error(response: &FinalResponse) -> Option<QueryError> {
    let (name, message) = match response {
        FinalResponse::Completed => return None,
        FinalResponse::EngineError(EngineError {
            name,
            code,
            message,
        }) => {
            let error_type = ErrorType::UserError;
            return Some(QueryError::new(
                name.clone(),
                *code,
                error_type,
                message.clone(),
            ));
        }
        // The wire name of this error is HOPTILLER_REFUSED.
        FinalResponse::Rejected {
            retry_after,
            reason,
        } => {
            let hint = retry_after.map_or(String::new(), |retry_after| {
                let seconds = retry_after_seconds(Duration::from_micros(retry_after));
                format!("; retry after {seconds} s")
            });
            let message = format!("rejected: {reason}. A retry is safe{hint}");
            (ErrorName::Rejected, message)
        }
        FinalResponse::TerminatedByRule { reason, .. } => (
            ErrorName::TerminatedByRule,
            format!(
                "terminated by rule: {reason}. The statement had no effect, so a retry is safe, \
                 but it may be terminated for the same reason"
            ),
        ),
        FinalResponse::MayHaveRun(reason) => (
            ErrorName::MayHaveRun,
            format!(
                "failed: {reason}. The statement may have run: check its effects before a retry"
            ),
        ),
        FinalResponse::Truncated(reason) => (
            ErrorName::ResultTruncated,
            format!("the result is truncated: {reason}. The delivered rows are incomplete"),
        ),
        FinalResponse::Canceled => (ErrorName::UserCanceled, "cancelled by the client".into()),
        FinalResponse::Abandoned => (
            ErrorName::Abandoned,
            "abandoned: the client stopped polling for the result".into(),
        ),
    };
    Some(QueryError::from_name(name, message))
}

/// Returns the state that the URIs of a statement carry for a later incarnation of the router.
fn recovery_state(
    context: &RouterContext,
    class: usize,
    has_delivered_rows: bool,
) -> RecoveryState {
    let idempotency = match context.settings().classes[class].idempotency {
        settings::Idempotency::Idempotent => Idempotency::Idempotent,
        settings::Idempotency::NotIdempotent => Idempotency::NotIdempotent,
    };
    let phase = if has_delivered_rows {
        Phase::RowsDelivered
    } else {
        Phase::Waiting
    };
    RecoveryState { idempotency, phase }
}

/// Returns the response to a poll of a URI that an earlier incarnation of this router issued.
pub(super) fn earlier_incarnation_response(
    context: &RouterContext,
    token: &PageToken,
    base_uri: &str,
) -> Response {
    let error = recovery_error(token.recovery);
    let results = QueryResults {
        id: &token.id,
        next: None,
        base_uri,
        page: &ResultPage::default(),
        state: State::Failed,
        is_running: false,
        elapsed_ms: 0,
        queued_ms: 0,
        error: Some(QueryError::from_name(error.name, error.message.to_owned())),
    };
    let response = Response::json(200, results.to_json(context.token_key()));
    if error.name.is_retryable() {
        let hold_off = context.settings().limits.max_retry_after;
        response.with_header("Retry-After", &retry_after_seconds(hold_off))
    } else {
        response
    }
}
