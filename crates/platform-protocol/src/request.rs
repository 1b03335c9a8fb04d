//! A client's request to execute a statement, read from its HTTP request, and the HTTP responses to it.

use hoptiller_http::{Request, Response};
use hoptiller_policy::Micros;

use crate::table_group::table_group;

/// The path of statements, which the class's name follows.
pub const STATEMENT_PATH: &str = "/call/";
/// The path of a router's health check.
pub const HEALTH_PATH: &str = "/ping";

/// A client may ask for a timeout of up to this multiple of its class's.
const MAX_TIMEOUT_FACTOR: f64 = 1.5;
/// The shortest timeout that a client may ask for, in ms.
const MIN_TIMEOUT_MS: f64 = 1.0;
/// The highest plausible estimate, in ms of work or MB of memory.
const MAX_ESTIMATE: f64 = 1e8;
/// Bytes of an idempotency key at most.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 64;
/// Digits of a request's id.
const ID_DIGITS: usize = 16;
/// Characters of a decimal number at most.
const MAX_DECIMAL_LENGTH: usize = 20;

const ID_HEADER: &str = "Trace-Id";
const TENANT_HEADER: &str = "Project";
const TIMEOUT_HEADER: &str = "Max-Wait-Ms";
const RETRY_HEADER: &str = "Is-Retry";
const ESTIMATED_WORK_HEADER: &str = "Expected-Ms";
const MEMORY_HEADER: &str = "X-Heap-Mb";
const IDEMPOTENCY_KEY_HEADER: &str = "Replay-Key";
const RETRY_AFTER_HEADER: &str = "Hold-Off-Ms";

/// What clients may ask for in a class.
#[derive(Clone, Debug)]
pub struct ClassOptions {
    /// The class's name.
    pub name: String,
    /// How long its clients usually wait.
    pub timeout: Micros,
    /// Whether each request needs an idempotency key, by which engines drop duplicates.
    pub requires_idempotency_key: bool,
}

/// The classes and the tenants that requests may name; requests refer to them by position.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// The classes.
    pub classes: Vec<ClassOptions>,
    /// The tenants' names. If there are none, requests need not name one.
    pub tenants: Vec<String>,
}

/// A client's request to execute a statement.
#[derive(Clone, Debug, PartialEq)]
pub struct StatementRequest {
    /// Its id, of 16 hex digits.
    pub id: String,
    /// The position of its class.
    pub class: usize,
    /// The position of its tenant.
    pub tenant: Option<usize>,
    /// How long the client waits.
    pub timeout: Micros,
    /// Whether the client says that this is a retry.
    pub is_retry: bool,
    /// The client's estimate of the work, if any.
    pub estimated_work: Option<Micros>,
    /// The client's estimate of the memory, in MB; 0: none.
    pub memory_mb: f64,
    /// The key by which engines know a duplicate, if any; passed on unchanged.
    pub idempotency_key: Option<String>,
    /// The group of the statement's tables, if any.
    pub table_group: Option<u64>,
    /// The text of the statement.
    pub statement: String,
}

/// A request that is invalid, and was not taken into account anywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The path names no class.
    #[error("no such class")]
    UnknownClass,
    /// The header of this name is missing, repeated, or has an unusable value.
    #[error("{0}: missing, given twice, or out of range")]
    Header(&'static str),
    /// The body is no statement.
    #[error("the body is no statement")]
    Body,
    /// A request of the same id is in flight.
    #[error("Trace-Id: a request of that id is open")]
    DuplicateId,
}

impl RequestError {
    /// The status code of the response.
    pub fn status(self) -> u16 {
        match self {
            RequestError::UnknownClass => 404,
            RequestError::DuplicateId => 409,
            RequestError::Header(_) | RequestError::Body => 400,
        }
    }
}

impl StatementRequest {
    /// Reads and checks a client's request.
    ///
    /// # Errors
    /// If the class is unknown, a header is missing, repeated or unusable, or the body is no statement.
    pub fn from_http(
        request: Request,
        catalog: &Catalog,
    ) -> Result<StatementRequest, RequestError> {
        let class = class_position(&request, catalog)?;
        let options = &catalog.classes[class];
        let id = request_id(&request)?;
        let tenant = tenant_position(&request, catalog)?;
        let timeout = timeout(&request, options)?;
        let is_retry = match single_header(&request, RETRY_HEADER)? {
            None => false,
            Some("1") => true,
            Some(_) => return Err(RequestError::Header(RETRY_HEADER)),
        };
        let estimated_work = decimal_header(&request, ESTIMATED_WORK_HEADER, MAX_ESTIMATE)?
            .map(|ms| (ms * 1000.0) as Micros);
        let memory_mb = decimal_header(&request, MEMORY_HEADER, MAX_ESTIMATE)?.unwrap_or(0.0);
        let idempotency_key = idempotency_key(&request, options)?;
        let statement = statement_of(request.body)?;
        Ok(StatementRequest {
            id,
            class,
            tenant,
            timeout,
            is_retry,
            estimated_work,
            memory_mb,
            idempotency_key,
            table_group: table_group(&statement),
            statement,
        })
    }
}

fn class_position(request: &Request, catalog: &Catalog) -> Result<usize, RequestError> {
    let name = request.target.strip_prefix(STATEMENT_PATH);
    let name = name.ok_or(RequestError::UnknownClass)?;
    catalog
        .classes
        .iter()
        .position(|class| class.name == name)
        .ok_or(RequestError::UnknownClass)
}

fn request_id(request: &Request) -> Result<String, RequestError> {
    single_header(request, ID_HEADER)?
        .filter(|id| id.len() == ID_DIGITS && id.bytes().all(|byte| byte.is_ascii_hexdigit()))
        .map(str::to_owned)
        .ok_or(RequestError::Header(ID_HEADER))
}

fn tenant_position(request: &Request, catalog: &Catalog) -> Result<Option<usize>, RequestError> {
    let unusable = RequestError::Header(TENANT_HEADER);
    match single_header(request, TENANT_HEADER)? {
        Some(name) => {
            let position = catalog.tenants.iter().position(|tenant| tenant == name);
            position.map(Some).ok_or(unusable)
        }
        None if catalog.tenants.is_empty() => Ok(None),
        None => Err(unusable),
    }
}

fn timeout(request: &Request, class: &ClassOptions) -> Result<Micros, RequestError> {
    let max_ms = class.timeout as f64 / 1000.0 * MAX_TIMEOUT_FACTOR;
    decimal_header(request, TIMEOUT_HEADER, max_ms)?
        .filter(|ms| *ms >= MIN_TIMEOUT_MS)
        .map(|ms| (ms * 1000.0) as Micros)
        .ok_or(RequestError::Header(TIMEOUT_HEADER))
}

/// The idempotency key. Where one is required, a request without it is invalid: its duplicate could not be recognised.
fn idempotency_key(
    request: &Request,
    class: &ClassOptions,
) -> Result<Option<String>, RequestError> {
    let is_usable = |key: &str| {
        (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&key.len())
            && key.bytes().all(|byte| byte.is_ascii_graphic())
    };
    match single_header(request, IDEMPOTENCY_KEY_HEADER)? {
        Some(key) if is_usable(key) => Ok(Some(key.to_owned())),
        None if !class.requires_idempotency_key => Ok(None),
        Some(_) | None => Err(RequestError::Header(IDEMPOTENCY_KEY_HEADER)),
    }
}

fn statement_of(body: Vec<u8>) -> Result<String, RequestError> {
    String::from_utf8(body)
        .ok()
        .filter(|text| !text.trim().is_empty() && !text.contains('\0'))
        .ok_or(RequestError::Body)
}

/// The value of a header that may be given once at most.
fn single_header<'a>(
    request: &'a Request,
    name: &'static str,
) -> Result<Option<&'a str>, RequestError> {
    let mut values = request.headers.get_all(name);
    match (values.next(), values.next()) {
        (value, None) => Ok(value),
        (_, Some(_)) => Err(RequestError::Header(name)),
    }
}

/// The value of a header that holds a decimal number of `max` at most.
fn decimal_header(
    request: &Request,
    name: &'static str,
    max: f64,
) -> Result<Option<f64>, RequestError> {
    match single_header(request, name)? {
        None => Ok(None),
        Some(text) => parse_decimal(text)
            .filter(|value| *value <= max)
            .map(Some)
            .ok_or(RequestError::Header(name)),
    }
}

/// Parses a plain decimal number: digits, optionally a point and more digits; no sign, no exponent.
fn parse_decimal(text: &str) -> Option<f64> {
    let is_plain = text.len() <= MAX_DECIMAL_LENGTH
        && text.starts_with(|first: char| first.is_ascii_digit())
        && text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
    is_plain.then(|| text.parse().ok())?
}

/// The response to a served request: all rows, as JSON.
pub fn served_response(rows: &str) -> Response {
    Response::json(200, format!("{{\"batch\":{rows}}}"))
}

/// The response to a rejected request, which may safely be retried, after a time if one is given.
pub fn rejected_response(retry_after: Option<Micros>) -> Response {
    let response = Response::json(429, "{\"reason\":\"Throttled\"}");
    match retry_after {
        Some(time) => response.with_header(RETRY_AFTER_HEADER, &time.div_ceil(1000).to_string()),
        None => response,
    }
}

/// The response to a failed request, which may have been executed.
pub fn failed_response(reason: &str) -> Response {
    let body = serde_json::json!({ "reason": "Broken", "detail": reason });
    Response::json(500, body.to_string())
}

/// The response to an invalid request.
pub fn invalid_request_response(error: RequestError) -> Response {
    Response::text(error.status(), &error.to_string())
}

#[cfg(test)]
mod tests;
