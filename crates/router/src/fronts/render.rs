//! Owns how answers look in JSON. The same answer gives the same bytes.

use std::time::Duration;

use hoptiller_http::Response;
use hoptiller_statement::results::{QueryError, Stats};
use hoptiller_statement::{ErrorName, ErrorType, QueryId, State, Token};
use serde::Serialize;
use serde_json::value::RawValue;

use super::http::{earlier, known};
use crate::core::{Answer, Content, Course, Final, Page, ending_word};
use crate::service::Service;

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct Results<'a> {
    id: String,
    info_uri: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    next_uri: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    columns: Option<&'a RawValue>,
    #[serde(skip_serializing_if = "Option::is_none")]
    data: Option<&'a RawValue>,
    stats: Stats,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<QueryError>,
    warnings: [(); 0],
    #[serde(skip_serializing_if = "Option::is_none")]
    update_type: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    update_count: Option<u64>,
}

/// Whole seconds, rounded up, at least one: what `Retry-After` takes.
pub(super) fn seconds(d: Duration) -> String {
    d.as_millis().div_ceil(1000).max(1).to_string()
}

/// A numbered answer.
pub(super) fn answer(service: &Service, id: &QueryId, a: &Answer, base: &str) -> Response {
    let class =
        service.with_core(|core, _| core.class_of(id.number)).unwrap_or(service.settings.default_class);
    let next = (!a.is_final()).then(|| {
        let known = known(service, class, a.flowing);
        let token = Token { id: id.clone(), page: a.page + 1, known };
        format!("{base}{}", service.key.path(&token))
    });
    let empty = Page::default();
    let (page, over) = match &a.content {
        Content::News => (&empty, None),
        Content::Rows(page) => (page, None),
        Content::Final(how) => (&empty, Some(how)),
    };
    let state = match (over, a.is_final()) {
        (Some(Final::Served), _) | (None, true) => State::Finished,
        (Some(_), _) => State::Failed,
        (None, false) if a.running => State::Running,
        (None, false) => State::Queued,
    };
    let error = over.and_then(error);
    let hold_off = match over {
        Some(Final::Refused { hold_off, .. }) => *hold_off,
        _ => None,
    };
    let stats = Stats {
        queued_time_millis: a.queued / 1000,
        elapsed_time_millis: a.elapsed / 1000,
        wall_time_millis: (a.elapsed - a.queued) / 1000,
        nodes: u32::from(a.running),
        ..Stats::of(state)
    };
    let results = Results {
        id: id.to_string(),
        info_uri: format!("{base}{}", service.key.course_path(id)),
        next_uri: next,
        columns: page.columns.as_deref(),
        data: page.rows.as_deref(),
        stats,
        error,
        warnings: [],
        update_type: page.update.as_ref().map(|u| u.0.as_str()),
        update_count: page.update.as_ref().and_then(|u| u.1),
    };
    let mut response = Response::json(200, serde_json::to_vec(&results).unwrap_or_default());
    for (name, value) in &page.fields {
        response.headers.push(name, value);
    }
    if let Some(after) = hold_off {
        response.headers.push("Retry-After", &seconds(Duration::from_micros(after)));
    }
    response
}

fn error(how: &Final) -> Option<QueryError> {
    Some(match how {
        Final::Served => return None,
        Final::Refused { hold_off, why } => {
            let after = hold_off.map_or(String::new(), |h| {
                let s = seconds(Duration::from_micros(h));
                format!("; come back in {s} s")
            });
            let message = format!("refused: {why}. Trying again is harmless{after}");
            QueryError::of(ErrorName::Refused, message)
        }
        Final::MayHaveRun(why) => {
            let message = format!("failed: {why}. It may have run: look it up before it is sent again");
            QueryError::of(ErrorName::MayHaveRun, message)
        }
        Final::Cut(why) => {
            let message = format!("the result is cut: {why}. The rows given out are not all");
            QueryError::of(ErrorName::ResultCut, message)
        }
        Final::Engine(failure) => QueryError {
            error_code: failure.code,
            error_name: failure.name.clone(),
            error_type: ErrorType::UserError,
            ..QueryError::of(ErrorName::EngineFailed, failure.message.clone())
        },
        Final::Canceled => QueryError::of(ErrorName::UserCanceled, "the client ended it".into()),
        Final::Abandoned => {
            QueryError::of(ErrorName::Abandoned, "the client had stopped asking for its result".into())
        }
    })
}

/// The answer for a URI of an earlier life of this router.
pub(super) fn earlier_life(service: &Service, token: &Token) -> Response {
    let (name, message) = earlier(token);
    let results = Results {
        id: token.id.to_string(),
        info_uri: String::new(),
        next_uri: None,
        columns: None,
        data: None,
        stats: Stats::of(State::Failed),
        error: Some(QueryError::of(name, message.to_owned())),
        warnings: [],
        update_type: None,
        update_count: None,
    };
    let response = Response::json(200, serde_json::to_vec(&results).unwrap_or_default());
    match name.is_harmless() {
        true => response.with("Retry-After", &seconds(service.settings.limits.hold_off)),
        false => response,
    }
}

/// The router as a node of its own.
pub(super) fn info(service: &Service) -> Response {
    let (open, kept, held) = service.with_core(|core, _| core.sizes());
    let (rounds, spent) = service.rounds();
    let value = serde_json::json!({
        "nodeVersion": { "version": env!("CARGO_PKG_VERSION") },
        "environment": service.settings.discovery.environment,
        "coordinator": true,
        "starting": false,
        "name": service.settings.router.name,
        "life": service.life,
        "engines": service.listed(),
        "openStatements": open,
        "answeredStatements": kept,
        "heldBytes": held,
        "attemptsUnderWay": service.under_way(),
        "rounds": rounds,
        "roundsMicros": spent.as_micros() as u64,
    });
    Response::json(200, value.to_string())
}

/// The course of a statement.
pub(super) fn course(service: &Service, id: &QueryId, c: &Course) -> Response {
    let attempts: Vec<serde_json::Value> = c
        .attempts
        .iter()
        .map(|t| {
            serde_json::json!({
                "hop": t.hop,
                "engine": service.engine_name(t.engine),
                "sentMs": t.sent_ms,
                "firstPageMs": t.first_page_ms,
                "endedMs": t.ended_ms,
                "ending": t.ending.map_or("has not ended", ending_word),
                "seen": t.why,
            })
        })
        .collect();
    let value = serde_json::json!({
        "id": id.to_string(),
        "router": service.settings.router.name,
        "class": service.settings.classes[c.class].name,
        "state": c.state,
        "why": c.why,
        "elapsedMs": c.elapsed_ms,
        "patienceMs": c.patience_ms,
        "waitedMs": c.waited_ms,
        "answers": c.answers,
        "attempts": attempts,
    });
    Response::json(200, format!("{value:#}"))
}
