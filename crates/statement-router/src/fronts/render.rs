//! Owns how answers look in JSON. The same answer gives the same bytes.

use std::fmt::Write as _;
use std::time::Duration;

use hoptiller_http::Response;
use hoptiller_statement::{
    ErrorName, ErrorType, Idempotency, PageToken, Phase, QueryError, QueryId, RecoveryState, State,
    TokenKey,
};

use crate::desk::Desk;
use crate::restart;
use crate::settings::RepeatSettings;
use hoptiller_router_core::{
    EngineError, FinalResponse, ResponseContent, ResultPage, StatementHistory, StatementResponse,
    status_description,
};

/// What a `QueryResults` is written from. It is written by hand: polls are most of what a router answers.
struct Results<'a> {
    id: &'a QueryId,
    /// The next answer, by the base of URIs.
    next: Option<&'a PageToken>,
    base: &'a str,
    page: &'a ResultPage,
    state: State,
    running: bool,
    elapsed_ms: u64,
    queued_ms: u64,
    error: Option<QueryError>,
}

impl Results<'_> {
    fn write(&self, key: &TokenKey) -> String {
        let held = self.page.columns.as_ref().map_or(0, |c| c.get().len())
            + self.page.rows.as_ref().map_or(0, |r| r.get().len());
        let mut out = String::with_capacity(768 + held);
        out.push_str("{\"id\":\"");
        out.push_str(self.id.as_str());
        out.push_str("\",\"infoUri\":\"");
        out.push_str(self.base);
        key.push_query_path(&mut out, self.id);
        if let Some(token) = self.next {
            out.push_str("\",\"nextUri\":\"");
            out.push_str(self.base);
            key.push_page_path(&mut out, token);
        }
        out.push('"');
        if let Some(columns) = &self.page.columns {
            out.push_str(",\"columns\":");
            out.push_str(columns.get());
        }
        if let Some(rows) = &self.page.rows {
            out.push_str(",\"data\":");
            out.push_str(rows.get());
        }
        let state = match self.state {
            State::Queued => "QUEUED",
            State::Running => "RUNNING",
            State::Finished => "FINISHED",
            _ => "FAILED",
        };
        out.push_str(",\"stats\":{\"state\":\"");
        out.push_str(state);
        out.push_str(if self.state == State::Queued {
            "\",\"queued\":true"
        } else {
            "\",\"queued\":false"
        });
        out.push_str(if self.running {
            ",\"scheduled\":true"
        } else {
            ",\"scheduled\":false"
        });
        // What is not known is 0, as clients expect the fields to be there.
        let figures = [
            (",\"nodes\":", u64::from(self.running)),
            (
                ",\"totalSplits\":0,\"queuedSplits\":0,\"runningSplits\":0,\"completedSplits\":0,\"cpuTimeMillis\":",
                0,
            ),
            (",\"wallTimeMillis\":", self.elapsed_ms - self.queued_ms),
            (",\"queuedTimeMillis\":", self.queued_ms),
            (",\"elapsedTimeMillis\":", self.elapsed_ms),
        ];
        for (name, value) in figures {
            out.push_str(name);
            let _ = write!(out, "{value}");
        }
        out.push_str(",\"processedRows\":0,\"processedBytes\":0,\"peakMemoryBytes\":0}");
        if let Some(error) = &self.error {
            out.push_str(",\"error\":");
            out.push_str(&serde_json::to_string(error).unwrap_or_else(|_| "{}".into()));
        }
        out.push_str(",\"warnings\":[]");
        if let Some((kind, count)) = &self.page.update {
            out.push_str(",\"updateType\":");
            out.push_str(&serde_json::to_string(kind).unwrap_or_else(|_| "null".into()));
            if let Some(count) = count {
                let _ = write!(out, ",\"updateCount\":{count}");
            }
        }
        out.push('}');
        out
    }
}

/// Whole seconds, rounded up, at least one: what `Retry-After` takes.
pub(super) fn seconds(d: Duration) -> String {
    d.as_millis().div_ceil(1000).max(1).to_string()
}

/// A numbered answer.
pub(super) fn answer(desk: &Desk, id: &QueryId, a: &StatementResponse, base: &str) -> Response {
    let token = (!a.is_final()).then(|| {
        let known = known(desk, a.class, a.streaming);
        PageToken {
            id: id.clone(),
            page: a.page + 1,
            recovery: known,
        }
    });
    let empty = ResultPage::default();
    let (page, over) = match &a.content {
        ResponseContent::NoChange => (&empty, None),
        ResponseContent::Rows(page) => (page, None),
        ResponseContent::Final(how) => (&empty, Some(how)),
    };
    let state = match (over, a.is_final()) {
        (Some(FinalResponse::Completed), _) | (None, true) => State::Finished,
        (Some(_), _) => State::Failed,
        (None, false) if a.running => State::Running,
        (None, false) => State::Queued,
    };
    let results = Results {
        id,
        next: token.as_ref(),
        base,
        page,
        state,
        running: a.running,
        elapsed_ms: a.elapsed / 1000,
        queued_ms: a.queued / 1000,
        error: over.and_then(error),
    };
    let mut response = Response::json(200, results.write(&desk.key));
    for (name, value) in &page.session_fields {
        response.headers.push(name, value);
    }
    if let Some(
        FinalResponse::Rejected {
            retry_after: Some(after),
            ..
        }
        | FinalResponse::TerminatedByRule {
            retry_after: Some(after),
            ..
        },
    ) = over
    {
        response
            .headers
            .push("Retry-After", &seconds(Duration::from_micros(*after)));
    }
    response
}

fn error(how: &FinalResponse) -> Option<QueryError> {
    Some(match how {
        FinalResponse::Completed => return None,
        FinalResponse::Rejected {
            retry_after: hold_off,
            reason: why,
        } => {
            let after = hold_off.map_or(String::new(), |h| {
                let s = seconds(Duration::from_micros(h));
                format!("; come back in {s} s")
            });
            let message = format!("refused: {why}. Trying again is harmless{after}");
            QueryError::from_name(ErrorName::Rejected, message)
        }
        FinalResponse::TerminatedByRule { reason: why, .. } => {
            let message = format!(
                "ended by rule: {why}. Nothing of it stands; the same again will end alike"
            );
            QueryError::from_name(ErrorName::EndedByRule, message)
        }
        FinalResponse::MayHaveRun(why) => {
            let message =
                format!("failed: {why}. It may have run: look it up before it is sent again");
            QueryError::from_name(ErrorName::MayHaveRun, message)
        }
        FinalResponse::Truncated(why) => {
            let message = format!("the result is cut: {why}. The rows given out are not all");
            QueryError::from_name(ErrorName::ResultTruncated, message)
        }
        FinalResponse::EngineError(EngineError {
            name,
            code,
            message,
        }) => QueryError::new(name.clone(), *code, ErrorType::UserError, message.clone()),
        FinalResponse::Canceled => {
            QueryError::from_name(ErrorName::UserCanceled, "the client ended it".into())
        }
        FinalResponse::Abandoned => QueryError::from_name(
            ErrorName::Abandoned,
            "the client had stopped asking for its result".into(),
        ),
    })
}

/// What a URI tells of a statement of that class.
fn known(desk: &Desk, class: usize, flowing: bool) -> RecoveryState {
    let idempotency = match desk.settings().classes[class].repeat {
        RepeatSettings::Safe => Idempotency::Idempotent,
        RepeatSettings::Never => Idempotency::NotIdempotent,
    };
    RecoveryState {
        idempotency,
        phase: if flowing {
            Phase::RowsDelivered
        } else {
            Phase::Waiting
        },
    }
}

/// The answer for a URI of an earlier life of this router.
pub(super) fn earlier_life(desk: &Desk, token: &PageToken, base: &str) -> Response {
    let (name, message) = restart::answer(token.recovery);
    let results = Results {
        id: &token.id,
        next: None,
        base,
        page: &ResultPage::default(),
        state: State::Failed,
        running: false,
        elapsed_ms: 0,
        queued_ms: 0,
        error: Some(QueryError::from_name(name, message.to_owned())),
    };
    let response = Response::json(200, results.write(&desk.key));
    match name.is_retryable() {
        true => response.with_header("Retry-After", &seconds(desk.settings().limits.hold_off)),
        false => response,
    }
}

/// The router as a node of its own.
pub(super) fn info(desk: &Desk) -> Response {
    let usage = desk.with_core(|core, _| core.usage());
    let (open, kept, held) = (
        usage.open_statements,
        usage.retained_statements,
        usage.buffered_bytes,
    );
    let stats = desk.rounds.batch_stats();
    let (rounds, spent) = (stats.batches, stats.busy);
    let value = serde_json::json!({
        "nodeVersion": { "version": env!("CARGO_PKG_VERSION") },
        "environment": desk.settings().discovery.environment,
        "coordinator": true,
        "starting": false,
        "name": desk.settings().router.name,
        "life": desk.life,
        "engines": desk.listed.get(),
        "openStatements": open,
        "answeredStatements": kept,
        "heldBytes": held,
        "attemptsUnderWay": desk.engines.under_way(),
        "rounds": rounds,
        "roundsMicros": spent.as_micros() as u64,
    });
    Response::json(200, value.to_string())
}

/// The course of a statement.
pub(super) fn course(desk: &Desk, id: &QueryId, c: &StatementHistory) -> Response {
    let attempts: Vec<serde_json::Value> = c
        .attempts
        .iter()
        .map(|t| {
            serde_json::json!({
                "hop": t.number,
                "engine": desk.engine_name(t.engine),
                "sentMs": t.sent_ms,
                "firstPageMs": t.first_page_ms,
                "endedMs": t.ended_ms,
                "ending": t.status.map_or("has not ended", status_description),
                "seen": t.reason,
            })
        })
        .collect();
    let value = serde_json::json!({
        "id": id.to_string(),
        "router": desk.settings().router.name,
        "class": desk.settings().classes[c.class].name,
        "state": c.state,
        "why": c.reason,
        "elapsedMs": c.elapsed_ms,
        "patienceMs": c.timeout_ms,
        "waitedMs": c.queued_ms,
        "answers": c.responses,
        "attempts": attempts,
    });
    Response::json(200, format!("{value:#}"))
}
