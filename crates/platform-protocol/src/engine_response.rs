//! Decoding of an engine's responses, one JSON object per line.
//!
//! The members are `t`, the kind of response; `i`, the id; `f`, the fields; and `b`, a page of rows in base64.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use data_encoding::BASE64;
use hoptiller_policy::{LoadReport, Micros};
use serde::Deserialize;
use serde_json::Value;

/// Maximum length of a response line: a page of 6,000 bytes in base64, and its fields.
pub const MAX_LINE_BYTES: usize = 12 << 10;
/// Maximum number of pages in a result.
const MAX_PAGES: f64 = 64.0;
/// The highest plausible work of a statement, in ms. Greater values are treated as errors.
const MAX_EFFORT_MS: f64 = 1e9;

/// An engine's response.
#[derive(Clone, Debug)]
pub struct EngineResponse {
    /// The id of the request or the tag of the load request that it responds to.
    pub id: String,
    /// The response's content.
    pub body: ResponseBody,
}

/// The content of a response.
#[derive(Clone, Debug)]
pub enum ResponseBody {
    /// The statement was executed.
    Served(ServedResult),
    /// Another page of a result.
    Page {
        /// The page's number; the first page, 0, comes with [`ResponseBody::Served`].
        number: usize,
        /// The page's rows.
        bytes: Vec<u8>,
    },
    /// The engine rejected the request for lack of capacity; it was not executed.
    Overloaded,
    /// The engine failed; the statement may have been executed.
    Crashed,
    /// The request had ended before the engine started it; it was not executed.
    NotExecuted,
    /// The engine responded to a load request, with a load report if it has one.
    Load(Option<LoadReport>),
}

/// The result of a statement that was executed successfully.
#[derive(Clone, Debug)]
pub struct ServedResult {
    /// The number of pages in the result.
    pub pages: usize,
    /// The first page.
    pub first_page: Vec<u8>,
    /// The work that the statement took, if reported.
    pub work: Option<Micros>,
    /// The engine's load, if reported.
    pub load_report: Option<LoadReport>,
}

/// An invalid response line. Nothing that follows it on its connection can be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LineError {
    /// The line is longer than [`MAX_LINE_BYTES`].
    #[error("the engine sent a line of over {MAX_LINE_BYTES} bytes")]
    TooLong,
    /// The line is not a JSON object of a known kind of response.
    #[error("the engine sent a malformed response line")]
    Malformed,
    /// The field of this name is missing or has an invalid value.
    #[error("the engine's response has a missing or invalid field {0}")]
    Field(&'static str),
}

/// The JSON object of a response line.
#[derive(Deserialize)]
struct RawLine {
    #[serde(rename = "t")]
    kind: String,
    #[serde(rename = "i")]
    id: String,
    #[serde(rename = "f", default)]
    fields: BTreeMap<String, Value>,
    #[serde(rename = "b", default)]
    body: String,
}

/// Decodes the bytes of one connection into responses.
#[derive(Debug, Default)]
pub struct LineDecoder {
    buffer: Vec<u8>,
    /// The number of bytes in `buffer` that belong to decoded lines.
    consumed: usize,
    /// The number of bytes in `buffer` that have been searched for the end of a line.
    searched: usize,
}

impl LineDecoder {
    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        let consumed = std::mem::take(&mut self.consumed);
        self.buffer.drain(..consumed);
        self.searched -= consumed;
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns whether the buffer holds bytes of a line that has not been decoded.
    pub fn has_pending_bytes(&self) -> bool {
        self.buffer.len() > self.consumed
    }

    /// Releases the buffer's memory if no bytes are pending.
    pub fn release_empty_buffer(&mut self) {
        if !self.has_pending_bytes() {
            *self = LineDecoder::default();
        }
    }

    /// Decodes the next response. Returns `None` until its line is complete.
    ///
    /// # Errors
    /// Returns an error if the line is too long or not a valid response.
    pub fn next_response(&mut self) -> Result<Option<EngineResponse>, LineError> {
        let end = self.buffer[self.searched..]
            .iter()
            .position(|byte| *byte == b'\n')
            .map(|offset| self.searched + offset);
        let length = end.unwrap_or(self.buffer.len()) - self.consumed;
        if length > MAX_LINE_BYTES {
            return Err(LineError::TooLong);
        }
        let Some(end) = end else {
            self.searched = self.buffer.len();
            return Ok(None);
        };
        let line = &self.buffer[self.consumed..end];
        self.consumed = end + 1;
        self.searched = end + 1;
        parse_response(line).map(Some)
    }
}

fn parse_response(line: &[u8]) -> Result<EngineResponse, LineError> {
    let line: RawLine = serde_json::from_slice(line).map_err(|_| LineError::Malformed)?;
    let body = match line.kind.as_str() {
        "served" => ResponseBody::Served(ServedResult {
            pages: number(&line, "fetches", 1.0..=MAX_PAGES)?.map_or(1, |pages| pages as usize),
            first_page: decode_page(&line)?,
            work: number(&line, "effort", 0.0..=MAX_EFFORT_MS)?.map(|ms| (ms * 1000.0) as Micros),
            load_report: parse_load(&line),
        }),
        "rows" => {
            let number = number(&line, "fetch_no", 1.0..=MAX_PAGES)?;
            ResponseBody::Page {
                number: number.ok_or(LineError::Field("fetch_no"))? as usize,
                bytes: decode_page(&line)?,
            }
        }
        "overload" => ResponseBody::Overloaded,
        "crashed" => ResponseBody::Crashed,
        "nobody" => ResponseBody::NotExecuted,
        "green" | "red" => ResponseBody::Load(parse_load(&line)),
        _ => return Err(LineError::Malformed),
    };
    Ok(EngineResponse { id: line.id, body })
}

fn decode_page(line: &RawLine) -> Result<Vec<u8>, LineError> {
    BASE64
        .decode(line.body.as_bytes())
        .map_err(|_| LineError::Field("b"))
}

/// Reads a numeric field, which engines write as a number or as text.
fn number(
    line: &RawLine,
    name: &'static str,
    range: RangeInclusive<f64>,
) -> Result<Option<f64>, LineError> {
    let value = match line.fields.get(name) {
        None | Some(Value::Null) => return Ok(None),
        Some(Value::String(text)) => text.trim().parse().ok(),
        Some(other) => other.as_f64(),
    };
    value
        .filter(|value: &f64| range.contains(value))
        .map(Some)
        .ok_or(LineError::Field(name))
}

/// Parses a load report such as `inflight:7;util:0.61`. The report is advisory, so invalid entries are skipped.
fn parse_load(line: &RawLine) -> Option<LoadReport> {
    let text = line.fields.get("load")?.as_str()?;
    let mut report = LoadReport::default();
    for (name, value) in text.split(';').filter_map(|entry| entry.split_once(':')) {
        let Ok(value) = value.trim().parse::<f64>() else {
            continue;
        };
        let value = Some(value).filter(|value| value.is_finite() && *value >= 0.0);
        hoptiller_policy_settings::set_load_value(&mut report, name.trim(), value);
    }
    Some(report)
}

#[cfg(test)]
mod tests;
