//! Owns what a client asks, from the parts of its request, and what it is answered.

use hoptiller_http::{Request, Response};
use hoptiller_policy::Micros;

use crate::group::group_of;

/// Where statements go, with their class behind it.
pub const PATH: &str = "/call/";
/// Where a router says that it serves.
pub const HEALTH: &str = "/ping";
/// A client that still waits past its class's patience by so much has made an error.
const OVER: f64 = 1.5;
/// No statement is estimated so high, in ms of work or MB.
const ABSURD: f64 = 1e8;

/// Bytes of a replay key at most.
const REPLAY_KEY: usize = 64;

/// What clients may ask for of a class.
#[derive(Clone, Debug)]
pub struct ClassTerms {
    /// Its name.
    pub name: String,
    /// How long its clients wait.
    pub patience: Micros,
    /// Engines drop a repeat by its key: each request has to bring one.
    pub keyed: bool,
}

/// The classes and the tenants that there are, by position.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// The classes.
    pub classes: Vec<ClassTerms>,
    /// Names; none: requests need not name one.
    pub tenants: Vec<String>,
}

/// What a client wants done.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Its id, of 16 hex digits.
    pub id: String,
    /// Its class, by position.
    pub class: usize,
    /// Its tenant, by position.
    pub tenant: Option<usize>,
    /// How long the client waits.
    pub patience: Micros,
    /// The client says that it tries again.
    pub repeat: bool,
    /// Estimated work.
    pub guess: Option<Micros>,
    /// Estimated memory, in MB; 0: none.
    pub want_mb: f64,
    /// By which engines know a repeat; passed on unchanged.
    pub replay_key: Option<String>,
    /// The group of tables.
    pub group: Option<u64>,
    /// The statement.
    pub text: String,
}

/// A request that is none. Nothing is owed for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// A class that does not exist.
    Class,
    /// A field that is missing, repeated, or can't be used.
    Field(&'static str),
    /// No statement.
    Body,
    /// The id of a request that is open.
    Open,
}

impl CallError {
    /// The status that it is answered with.
    pub fn status(self) -> u16 {
        match self {
            CallError::Class => 404,
            CallError::Open => 409,
            _ => 400,
        }
    }
}

impl std::fmt::Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            CallError::Class => write!(f, "no such class"),
            CallError::Field(name) => write!(f, "{name}: missing, given twice, or out of range"),
            CallError::Body => write!(f, "the body is no statement"),
            CallError::Open => write!(f, "Trace-Id: a request of that id is open"),
        }
    }
}

impl std::error::Error for CallError {}

impl Call {
    /// What a request asks for.
    pub fn read(request: Request, names: &Names) -> Result<Call, CallError> {
        let class = request.target.strip_prefix(PATH).ok_or(CallError::Class)?;
        let class = names
            .classes
            .iter()
            .position(|c| c.name == class)
            .ok_or(CallError::Class)?;
        let field = |name: &'static str| {
            let mut all = request.headers.all(name);
            match (all.next(), all.next()) {
                (value, None) => Ok(value),
                _ => Err(CallError::Field(name)),
            }
        };
        let figure = |name: &'static str, most: f64| match field(name)? {
            None => Ok(None),
            Some(text) => decimal(text)
                .filter(|v| *v <= most)
                .map(Some)
                .ok_or(CallError::Field(name)),
        };
        let id = field("Trace-Id")?
            .filter(|id| id.len() == 16 && id.bytes().all(|b| b.is_ascii_hexdigit()));
        let id = id.ok_or(CallError::Field("Trace-Id"))?.to_owned();
        let tenant = match field("Project")? {
            None if names.tenants.is_empty() => None,
            Some(name) => Some(
                names
                    .tenants
                    .iter()
                    .position(|t| t == name)
                    .ok_or(CallError::Field("Project"))?,
            ),
            None => return Err(CallError::Field("Project")),
        };
        let longest = names.classes[class].patience as f64 / 1000.0 * OVER;
        let patience = figure("Max-Wait-Ms", longest)?.filter(|ms| *ms >= 1.0);
        let patience = patience.ok_or(CallError::Field("Max-Wait-Ms"))?;
        let repeat = match field("Is-Retry")? {
            None => false,
            Some("1") => true,
            Some(_) => return Err(CallError::Field("Is-Retry")),
        };
        let guess = figure("Expected-Ms", ABSURD)?.map(|ms| (ms * 1000.0) as Micros);
        let want_mb = figure("X-Heap-Mb", ABSURD)?.unwrap_or(0.0);
        let key = field("Replay-Key")?.map(str::to_owned);
        // Danger: without one a repeat would not be known as such.
        let usable = |k: &String| {
            (1..=REPLAY_KEY).contains(&k.len()) && k.bytes().all(|b| b.is_ascii_graphic())
        };
        if key
            .as_ref()
            .map_or(names.classes[class].keyed, |k| !usable(k))
        {
            return Err(CallError::Field("Replay-Key"));
        }
        let text = String::from_utf8(request.body).map_err(|_| CallError::Body)?;
        if text.trim().is_empty() || text.contains('\0') {
            return Err(CallError::Body);
        }
        let patience = (patience * 1000.0) as Micros;
        let (group, replay_key) = (group_of(&text), key);
        Ok(Call {
            id,
            class,
            tenant,
            patience,
            repeat,
            guess,
            want_mb,
            replay_key,
            group,
            text,
        })
    }
}

/// A plain decimal number: digits, and a point with more of them.
fn decimal(text: &str) -> Option<f64> {
    let plain = text.len() <= 20 && text.starts_with(|c: char| c.is_ascii_digit());
    let plain = plain && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    plain.then(|| text.parse().ok())?
}

// ---- answers ------------------------------------------------------------------------------------

/// Served: all rows, as JSON.
pub fn served(rows: &str) -> Response {
    Response::json(200, format!("{{\"batch\":{rows}}}"))
}

/// Refused: trying again is harmless, after that time where one is told.
pub fn refused(hold_off: Option<Micros>) -> Response {
    let response = Response::json(429, "{\"reason\":\"Throttled\"}");
    match hold_off {
        Some(time) => response.with("Hold-Off-Ms", &time.div_ceil(1000).to_string()),
        None => response,
    }
}

/// Failed: nothing is promised.
pub fn failed(why: &str) -> Response {
    Response::json(
        500,
        serde_json::json!({ "reason": "Broken", "detail": why }).to_string(),
    )
}

/// Not a request.
pub fn wrong(error: CallError) -> Response {
    Response::text(error.status(), &error.to_string())
}

#[cfg(test)]
mod tests;
