//! A client's request to run a statement, parsed and authorized.

use std::rc::Rc;
use std::str::Utf8Error;

use hoptiller_http::Request;
use hoptiller_router_core::{EngineStatement, Submission, group_of};
use hoptiller_runaway::Announced;
use hoptiller_sql::Dialect;
use hoptiller_statement::{ClientHeaders, HeaderError};

use crate::context::RouterContext;
use crate::settings::Settings;

/// Prefix of the headers that are forwarded to the engine.
const ENGINE_HEADER_PREFIX: &[u8] = b"x-trino-";

/// A valid request.
pub(super) struct ClientSubmission {
    pub(super) submission: Submission,
    /// Whether the client names no class, so that the default class applies.
    is_default_class: bool,
}

/// The reason why a request is invalid.
#[derive(Debug, thiserror::Error)]
pub(super) enum InvalidSubmission {
    #[error(transparent)]
    Header(#[from] HeaderError),
    #[error("the statement is not UTF-8")]
    NotUtf8(#[from] Utf8Error),
    #[error("the statement is empty")]
    Empty,
    #[error("X-Trino-Client-Tags: unknown class {name:?}; expected one of {known}")]
    UnknownClass { name: String, known: String },
}

/// The reason why a valid request is rejected now. The client can retry it.
#[derive(Debug, thiserror::Error)]
pub(super) enum SubmissionRejected {
    #[error(
        "the fleet configuration has no default class for statements that name no class; retry later"
    )]
    NoDefaultClass,
    #[error(
        "this router cannot accept statements of this class now; retry later or use another router"
    )]
    ClassNotAllowed,
    #[error("too many statements are open; retry later")]
    TooManyStatements,
    #[error("the open statements use too much memory; retry later")]
    StatementMemory,
    #[error("this router is shutting down; retry later")]
    ShuttingDown,
}

impl SubmissionRejected {
    pub(super) fn http_status(&self) -> u16 {
        match self {
            SubmissionRejected::TooManyStatements | SubmissionRejected::StatementMemory => 429,
            SubmissionRejected::NoDefaultClass
            | SubmissionRejected::ClassNotAllowed
            | SubmissionRejected::ShuttingDown => 503,
        }
    }
}

/// Parses a request.
pub(super) fn parse(
    settings: &Settings,
    request: &Request,
) -> Result<ClientSubmission, InvalidSubmission> {
    let headers = ClientHeaders::parse(request.headers.iter())?;
    let text = std::str::from_utf8(&request.body)?.to_owned();
    if text.trim().is_empty() {
        return Err(InvalidSubmission::Empty);
    }
    let named_class = named_class(settings, &headers)?;
    let statement = hoptiller_sql::normalize(&text, Dialect::STANDARD);
    let announced = Announced {
        size: headers.size.unwrap_or(statement.size),
        estimate: headers.estimated_work.map(|work| work.as_micros() as u64),
    };
    let tenant = headers.tenant.as_deref();
    let submission = Submission {
        class: named_class.unwrap_or(settings.default_class),
        tenant: tenant.and_then(|name| settings.tenants.iter().position(|t| t.name == name)),
        ordering_key: headers.ordering_key,
        group: headers.table_group.as_deref().map(group_of),
        estimated_work: None,
        estimated_memory_mb: 0.0,
        fingerprint: statement.fingerprint.0,
        label: statement.label.into(),
        announced,
        is_retry: headers.is_retry,
        timeout: headers.timeout.map(|timeout| timeout.as_micros() as u64),
        engine_statement: Rc::new(EngineStatement {
            text,
            fields: engine_headers(request),
        }),
    };
    Ok(ClientSubmission {
        submission,
        is_default_class: named_class.is_none(),
    })
}

/// Returns the class that the client tag or else the source names.
fn named_class(
    settings: &Settings,
    headers: &ClientHeaders,
) -> Result<Option<usize>, InvalidSubmission> {
    let Some(name) = &headers.class else {
        let source = headers.source.as_deref();
        return Ok(source.and_then(|source| settings.class_index(source)));
    };
    match settings.class_index(name) {
        Some(index) => Ok(Some(index)),
        None => {
            let known: Vec<&str> = settings.classes.iter().map(|c| c.name.as_str()).collect();
            Err(InvalidSubmission::UnknownClass {
                name: name.clone(),
                known: known.join(", "),
            })
        }
    }
}

fn engine_headers(request: &Request) -> Vec<(String, String)> {
    let prefix_length = ENGINE_HEADER_PREFIX.len();
    let is_for_engine = |name: &str| {
        name.len() > prefix_length
            && name.as_bytes()[..prefix_length].eq_ignore_ascii_case(ENGINE_HEADER_PREFIX)
    };
    request
        .headers
        .iter()
        .filter(|(name, _)| is_for_engine(name))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

/// Checks whether the fleet configuration allows accepting a statement now. The check precedes acceptance: an
/// accepted statement would be bound to a configuration that no longer applies, while one that is not yet accepted
/// can still be rejected without consequences.
pub(super) fn authorize(
    context: &RouterContext,
    submission: &ClientSubmission,
) -> Result<(), SubmissionRejected> {
    let Some(member) = context.fleet_member() else {
        return Ok(());
    };
    if submission.is_default_class && !member.has_default_class() {
        return Err(SubmissionRejected::NoDefaultClass);
    }
    let settings = context.settings();
    match member.authorize(&settings.classes[submission.submission.class].name) {
        Some(_) => Ok(()),
        None => Err(SubmissionRejected::ClassNotAllowed),
    }
}
