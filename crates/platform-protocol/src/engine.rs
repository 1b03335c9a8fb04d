//! Owns the lines between a router and an engine: commands out, answers in.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use data_encoding::BASE64;
use hoptiller_policy::{LoadReport, Micros};
use serde::Deserialize;
use serde_json::Value;

/// No answer of an engine is longer: a page of 6,000 bytes in base64, and its fields.
pub const LINE: usize = 12 << 10;
/// No result has more pages.
const PAGES: f64 = 64.0;
/// No statement takes so many ms of work, nor MB of memory.
const ABSURD: f64 = 1e9;

// ---- commands -----------------------------------------------------------------------------------

/// A statement to be sent, as the client gave it, but for the wait and the priority.
#[derive(Clone, Copy, Debug)]
pub struct Send<'a> {
    /// The request's id.
    pub id: &'a str,
    /// Its class.
    pub class: &'a str,
    /// By which a repeat is known, where the client gave a key.
    pub replay_key: Option<&'a str>,
    /// Priority, where one was set.
    pub priority: Option<u8>,
    /// The statement.
    pub text: &'a str,
}

/// Sends a statement, and tells how long the router will wait.
pub fn request(send: &Send<'_>, wait_ms: u64) -> String {
    let Send {
        id,
        class,
        replay_key,
        priority,
        text,
    } = *send;
    let mut line = String::with_capacity(160 + text.len() * 4 / 3);
    line.push_str("{\"t\":\"REQ\",\"i\":");
    line.push_str(&quoted(id));
    line.push_str(",\"f\":{\"c\":");
    line.push_str(&quoted(class));
    let _ = write!(line, ",\"w\":{wait_ms}");
    if let Some(key) = replay_key {
        line.push_str(",\"i\":");
        line.push_str(&quoted(key));
    }
    if let Some(priority) = priority {
        let _ = write!(line, ",\"weight\":{}", priority.min(3));
    }
    line.push_str("},\"b\":\"");
    BASE64.encode_append(text.as_bytes(), &mut line);
    line.push_str("\"}\n");
    line
}

/// Asks for a further page, from 1.
pub fn fetch(id: &str, page: usize) -> String {
    format!("{{\"t\":\"FETCH\",\"i\":{},\"x\":{page}}}\n", quoted(id))
}

/// No more pages are wanted.
pub fn end(id: &str) -> String {
    format!("{{\"t\":\"END\",\"i\":{}}}\n", quoted(id))
}

/// Gives a request up.
pub fn stop(id: &str) -> String {
    format!("{{\"t\":\"STOP\",\"i\":{}}}\n", quoted(id))
}

/// Asks for the load.
pub fn stat(tag: &str) -> String {
    format!("{{\"t\":\"STAT\",\"i\":{}}}\n", quoted(tag))
}

fn quoted(text: &str) -> String {
    Value::from(text).to_string()
}

// ---- answers ------------------------------------------------------------------------------------

/// An answer of an engine.
#[derive(Clone, Debug)]
pub struct Answer {
    /// To which request or probe.
    pub id: String,
    /// What it says.
    pub said: Said,
}

/// What an answer says.
#[derive(Clone, Debug)]
pub enum Said {
    /// Done: the first page, and what is told of the whole.
    Served(Served),
    /// A further page, with its number.
    Rows(usize, Vec<u8>),
    /// Turned away: it never ran.
    Full,
    /// An error: it may have run.
    Error,
    /// It was over already: it never ran.
    Nobody,
    /// The answer to a probe.
    Probed(Option<LoadReport>),
}

/// A good end.
#[derive(Clone, Debug)]
pub struct Served {
    /// The number of all pages.
    pub pages: usize,
    /// The first of them.
    pub page: Vec<u8>,
    /// Work that it needed, where told.
    pub work: Option<Micros>,
    /// The engine's load, where told.
    pub report: Option<LoadReport>,
}

/// A line that is no answer. What comes behind it on the connection can't be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineError {
    /// It never ends.
    TooLong,
    /// Not of the form that answers have.
    Unreadable,
    /// A field that can't be used.
    Field(&'static str),
}

impl std::fmt::Display for LineError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            LineError::TooLong => write!(f, "a line of over {LINE} bytes"),
            LineError::Unreadable => write!(f, "a line that is no answer"),
            LineError::Field(name) => write!(f, "an answer whose field {name} can't be used"),
        }
    }
}

impl std::error::Error for LineError {}

#[derive(Deserialize)]
struct Line {
    t: String,
    i: String,
    #[serde(default)]
    f: BTreeMap<String, Value>,
    #[serde(default)]
    b: String,
}

/// Turns the bytes of one connection into answers.
#[derive(Debug, Default)]
pub struct Lines {
    buf: Vec<u8>,
    used: usize,
    seen: usize,
}

impl Lines {
    /// Takes bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        let used = std::mem::take(&mut self.used);
        self.buf.drain(..used);
        self.seen -= used;
        self.buf.extend_from_slice(bytes);
    }

    /// Whether bytes are held that no answer has used.
    pub fn holds(&self) -> bool {
        self.buf.len() > self.used
    }

    /// Lets go of a buffer that is empty.
    pub fn shrink(&mut self) {
        if !self.holds() {
            *self = Lines::default();
        }
    }

    /// The next answer, once its line is whole.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Option<Answer>, LineError> {
        let end = self.buf[self.seen..]
            .iter()
            .position(|b| *b == b'\n')
            .map(|at| self.seen + at);
        let length = end.unwrap_or(self.buf.len()) - self.used;
        if length > LINE {
            return Err(LineError::TooLong);
        }
        let Some(end) = end else {
            self.seen = self.buf.len();
            return Ok(None);
        };
        let line = &self.buf[self.used..end];
        (self.used, self.seen) = (end + 1, end + 1);
        answer(line).map(Some)
    }
}

fn answer(line: &[u8]) -> Result<Answer, LineError> {
    let line: Line = serde_json::from_slice(line).map_err(|_| LineError::Unreadable)?;
    let said = match line.t.as_str() {
        "served" => Said::Served(Served {
            pages: number(&line, "fetches", 1.0..=PAGES)?.map_or(1, |n| n as usize),
            page: body(&line)?,
            work: number(&line, "effort", 0.0..=ABSURD)?.map(|ms| (ms * 1000.0) as Micros),
            report: load(&line),
        }),
        "rows" => {
            let page =
                number(&line, "fetch_no", 1.0..=PAGES)?.ok_or(LineError::Field("fetch_no"))?;
            Said::Rows(page as usize, body(&line)?)
        }
        "overload" => Said::Full,
        "crashed" => Said::Error,
        "nobody" => Said::Nobody,
        "green" | "red" => Said::Probed(load(&line)),
        _ => return Err(LineError::Unreadable),
    };
    Ok(Answer { id: line.i, said })
}

fn body(line: &Line) -> Result<Vec<u8>, LineError> {
    BASE64
        .decode(line.b.as_bytes())
        .map_err(|_| LineError::Field("b"))
}

/// A field that may be a number or text.
fn number(
    line: &Line,
    name: &'static str,
    range: std::ops::RangeInclusive<f64>,
) -> Result<Option<f64>, LineError> {
    let value = match line.f.get(name) {
        None | Some(Value::Null) => return Ok(None),
        Some(Value::String(text)) => text.trim().parse().ok(),
        Some(other) => other.as_f64(),
    };
    value
        .filter(|v: &f64| range.contains(v))
        .map(Some)
        .ok_or(LineError::Field(name))
}

/// A load report as in `inflight:7;util:0.61`. What can't be read of it is left out: it is a hint.
fn load(line: &Line) -> Option<LoadReport> {
    let text = line.f.get("load")?.as_str()?;
    let mut report = LoadReport::default();
    for (name, value) in text.split(';').filter_map(|pair| pair.split_once(':')) {
        let Ok(value) = value.trim().parse::<f64>() else {
            continue;
        };
        let value = Some(value).filter(|v| v.is_finite() && *v >= 0.0);
        hoptiller_policy_settings::set_load_value(&mut report, name.trim(), value);
    }
    Some(report)
}

#[cfg(test)]
mod tests;
