//! Clients' requests to execute statements, parsed from HTTP requests, and the HTTP responses to them.

use hoptiller_http::{Request, Response};
use hoptiller_policy::Micros;

use crate::table_group::table_group;

/// The path prefix of statement requests, followed by the class's name.
pub const STATEMENT_PATH: &str = "/call/";
/// The path of a router's health check.
pub const HEALTH_PATH: &str = "/ping";

/// The status of the response to a rejected request, which is safe to retry.
pub const REJECTED_STATUS: u16 = 429;

/// Maximum timeout that a client may request, as a multiple of its class's timeout.
const MAX_TIMEOUT_FACTOR: f64 = 1.5;
/// Minimum timeout that a client may request, in ms.
const MIN_TIMEOUT_MS: f64 = 1.0;
/// The highest plausible estimate of work, in ms. Greater values are treated as errors.
const MAX_ESTIMATED_WORK_MS: f64 = 1e8;
/// The highest plausible estimate of memory, in MB. Greater values are treated as errors.
const MAX_ESTIMATED_MEMORY_MB: f64 = 1e8;
/// Maximum length of an idempotency key.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 64;
/// Number of hex digits in a request's id.
const ID_DIGITS: usize = 16;
/// Maximum length of a decimal number.
const MAX_DECIMAL_BYTES: usize = 20;

const ID_HEADER: &str = "Trace-Id";
const TENANT_HEADER: &str = "Project";
const TIMEOUT_HEADER: &str = "Max-Wait-Ms";
const RETRY_HEADER: &str = "Is-Retry";
const ESTIMATED_WORK_HEADER: &str = "Expected-Ms";
const MEMORY_HEADER: &str = "X-Heap-Mb";
const IDEMPOTENCY_KEY_HEADER: &str = "Replay-Key";
const RETRY_AFTER_HEADER: &str = "Hold-Off-Ms";

/// The properties of a class that its requests are validated against.
#[derive(Clone, Debug)]
pub struct ClassOptions {
    /// The class's name.
    pub name: String,
    /// The class's deadline in the settings: how long clients usually wait. The maximum timeout of a request is a
    /// multiple of it.
    pub timeout: Micros,
    /// Whether each request needs an idempotency key, by which engines recognize duplicates.
    pub requires_idempotency_key: bool,
    /// Whether its requests must not be executed twice.
    pub is_not_idempotent: bool,
}

/// The classes and tenants that requests may name. Parsed requests refer to them by index.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// The classes that requests may name.
    pub classes: Vec<ClassOptions>,
    /// The tenants' names. If there are none, requests don't have to name a tenant.
    pub tenants: Vec<String>,
}

/// A client's request to execute a statement.
#[derive(Clone, Debug, PartialEq)]
pub struct StatementRequest {
    /// The request's id, 16 hex digits.
    pub id: String,
    /// The index of the request's class.
    pub class: usize,
    /// The index of the request's tenant, if it names one.
    pub tenant: Option<usize>,
    /// How long the client waits for the response.
    pub timeout: Micros,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// The client's estimate of the work, if any.
    pub estimated_work: Option<Micros>,
    /// The client's estimate of the memory, in MB; 0 if there is none.
    pub memory_mb: f64,
    /// The key by which engines recognize a duplicate, if any. It is forwarded unchanged.
    pub idempotency_key: Option<String>,
    /// The statement's table group, if any.
    pub table_group: Option<u64>,
    /// The text of the statement.
    pub statement: String,
}

/// The reason why a request is invalid. Such a request is not counted anywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The path names no known class.
    #[error("no such class")]
    UnknownClass,
    /// The header of this name is missing, repeated, or has an invalid value.
    #[error("{0}: missing, given twice, or out of range")]
    Header(&'static str),
    /// The body is not a statement.
    #[error("the body is no statement")]
    Body,
    /// A request with the same id is in flight.
    #[error("Trace-Id: a request of that id is open")]
    DuplicateId,
    /// A request with the same id may have been executed, and its class must not be executed twice.
    #[error("Trace-Id: a request of that id may have run")]
    RepeatedId,
}

impl RequestError {
    /// Returns the status code of the response.
    pub fn status(self) -> u16 {
        match self {
            RequestError::UnknownClass => 404,
            RequestError::DuplicateId | RequestError::RepeatedId => 409,
            RequestError::Header(_) | RequestError::Body => 400,
        }
    }
}

impl StatementRequest {
    /// Returns the id as a number.
    pub fn numeric_id(&self) -> u64 {
        // The id was validated when the request was parsed.
        u64::from_str_radix(&self.id, 16).unwrap_or_default()
    }

    /// Parses and validates a client's request.
    ///
    /// # Errors
    /// Returns an error if the class is unknown, a header is missing, repeated or invalid, or the body is not a
    /// statement.
    pub fn from_http(
        request: Request,
        catalog: &Catalog,
    ) -> Result<StatementRequest, RequestError> {
        let class = class_index(&request, catalog)?;
        let options = &catalog.classes[class];
        let id = request_id(&request)?;
        let tenant = tenant_index(&request, catalog)?;
        let timeout = timeout(&request, options)?;
        let is_retry = match single_header(&request, RETRY_HEADER)? {
            None => false,
            Some("1") => true,
            Some(_) => return Err(RequestError::Header(RETRY_HEADER)),
        };
        let estimated_work =
            decimal_header(&request, ESTIMATED_WORK_HEADER, MAX_ESTIMATED_WORK_MS)?
                .map(|ms| (ms * 1000.0) as Micros);
        let memory_mb =
            decimal_header(&request, MEMORY_HEADER, MAX_ESTIMATED_MEMORY_MB)?.unwrap_or(0.0);
        let idempotency_key = idempotency_key(&request, options)?;
        let statement = parse_statement(request.body)?;
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

fn class_index(request: &Request, catalog: &Catalog) -> Result<usize, RequestError> {
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

fn tenant_index(request: &Request, catalog: &Catalog) -> Result<Option<usize>, RequestError> {
    let invalid = RequestError::Header(TENANT_HEADER);
    match single_header(request, TENANT_HEADER)? {
        Some(name) => {
            let index = catalog.tenants.iter().position(|tenant| tenant == name);
            index.map(Some).ok_or(invalid)
        }
        None if catalog.tenants.is_empty() => Ok(None),
        None => Err(invalid),
    }
}

fn timeout(request: &Request, class: &ClassOptions) -> Result<Micros, RequestError> {
    let max_ms = class.timeout as f64 / 1000.0 * MAX_TIMEOUT_FACTOR;
    decimal_header(request, TIMEOUT_HEADER, max_ms)?
        .filter(|ms| *ms >= MIN_TIMEOUT_MS)
        .map(|ms| (ms * 1000.0) as Micros)
        .ok_or(RequestError::Header(TIMEOUT_HEADER))
}

/// Reads the idempotency key. A request without a required key is invalid, as its duplicates could not be recognized.
fn idempotency_key(
    request: &Request,
    class: &ClassOptions,
) -> Result<Option<String>, RequestError> {
    let is_valid = |key: &str| {
        (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&key.len())
            && key.bytes().all(|byte| byte.is_ascii_graphic())
    };
    match single_header(request, IDEMPOTENCY_KEY_HEADER)? {
        Some(key) if is_valid(key) => Ok(Some(key.to_owned())),
        None if !class.requires_idempotency_key => Ok(None),
        Some(_) | None => Err(RequestError::Header(IDEMPOTENCY_KEY_HEADER)),
    }
}

fn parse_statement(body: Vec<u8>) -> Result<String, RequestError> {
    String::from_utf8(body)
        .ok()
        .filter(|text| !text.trim().is_empty() && !text.contains('\0'))
        .ok_or(RequestError::Body)
}

/// Returns the value of a header that may occur at most once.
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

/// Returns the value of a header that contains a decimal number of at most `max`.
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

/// Parses a plain decimal number: digits, optionally a point and more digits, without sign or exponent.
fn parse_decimal(text: &str) -> Option<f64> {
    let is_plain = text.len() <= MAX_DECIMAL_BYTES
        && text.starts_with(|first: char| first.is_ascii_digit())
        && text
            .bytes()
            .all(|byte| byte.is_ascii_digit() || byte == b'.');
    is_plain.then(|| text.parse().ok())?
}

/// Returns the response to a served request, with all rows as JSON.
pub fn served_response(rows: &str) -> Response {
    Response::json(200, format!("{{\"batch\":{rows}}}"))
}

/// Returns the response to a rejected request, which is safe to retry, after `retry_after` if given.
pub fn rejected_response(retry_after: Option<Micros>) -> Response {
    let response = Response::json(REJECTED_STATUS, "{\"reason\":\"Throttled\"}");
    match retry_after {
        Some(time) => response.with_header(RETRY_AFTER_HEADER, &time.div_ceil(1000).to_string()),
        None => response,
    }
}

/// Returns the response to a failed request, which may have been executed.
pub fn failed_response(reason: &str) -> Response {
    let body = serde_json::json!({ "reason": "Broken", "detail": reason });
    Response::json(500, body.to_string())
}

/// Returns the response to an invalid request.
pub fn invalid_request_response(error: RequestError) -> Response {
    Response::text(error.status(), &error.to_string())
}

#[cfg(test)]
mod tests;
