//! Encoding of the commands that a router sends to an engine, one JSON object per line.
//!
//! The members are `t`, the kind of command; `i`, the request's id; `x`, the number of a page; `b`, the statement in
//! base64; and `f`, the fields: `c`, the class; `w`, the time in ms that the router waits; `i`, the idempotency key;
//! and `weight`, the priority.

use std::fmt::Write as _;

use data_encoding::BASE64;
use serde_json::Value;

/// The highest priority that engines support.
const MAX_PRIORITY: u8 = 3;
/// Approximate length of a command without its statement.
const COMMAND_OVERHEAD_BYTES: usize = 160;
/// Maximum number of bytes of a statement in one part of its command. A multiple of three needs no padding in base64.
const PART_BYTES: usize = 6 << 10;
/// What follows the statement in its command.
const STATEMENT_END: &str = "\"}\n";

/// A client's statement, to be executed by an engine, and its priority.
#[derive(Clone, Copy, Debug)]
pub struct StatementCommand<'a> {
    /// The request's id.
    pub id: &'a str,
    /// The name of the request's class.
    pub class: &'a str,
    /// The client's idempotency key, if any.
    pub idempotency_key: Option<&'a str>,
    /// The priority, if one was assigned. Engines support 0 to 3; higher values are sent as 3.
    pub priority: Option<u8>,
    /// The text of the statement.
    pub statement: &'a str,
}

/// Encodes the command that executes a statement. `wait_ms` is how long the router waits for the response.
pub fn encode_statement(command: &StatementCommand<'_>, wait_ms: u64) -> String {
    encode_statement_parts(command, wait_ms).collect()
}

/// Encodes the command that executes a statement in parts, each of which is encoded when it is taken, so that a long
/// statement needs little memory while it is sent.
pub fn encode_statement_parts<'a>(
    command: &StatementCommand<'a>,
    wait_ms: u64,
) -> StatementParts<'a> {
    StatementParts {
        start: Some(statement_start(command, wait_ms)),
        rest: command.statement.as_bytes(),
    }
}

/// The parts of an encoded statement command, of which there is at least one.
#[derive(Debug)]
pub struct StatementParts<'a> {
    /// What precedes the statement, until it has been taken.
    start: Option<String>,
    /// The part of the statement that has not been encoded.
    rest: &'a [u8],
}

impl Iterator for StatementParts<'_> {
    type Item = String;

    fn next(&mut self) -> Option<String> {
        if self.start.is_none() && self.rest.is_empty() {
            return None;
        }
        let mut part = self.start.take().unwrap_or_default();
        let (next, rest) = self.rest.split_at(self.rest.len().min(PART_BYTES));
        self.rest = rest;
        part.reserve_exact(BASE64.encode_len(next.len()) + STATEMENT_END.len());
        BASE64.encode_append(next, &mut part);
        if rest.is_empty() {
            part.push_str(STATEMENT_END);
        }
        Some(part)
    }
}

fn statement_start(command: &StatementCommand<'_>, wait_ms: u64) -> String {
    let mut line = String::with_capacity(COMMAND_OVERHEAD_BYTES);
    line.push_str("{\"t\":\"REQ\",\"i\":");
    line.push_str(&quoted(command.id));
    line.push_str(",\"f\":{\"c\":");
    line.push_str(&quoted(command.class));
    let _ = write!(line, ",\"w\":{wait_ms}");
    if let Some(key) = command.idempotency_key {
        line.push_str(",\"i\":");
        line.push_str(&quoted(key));
    }
    if let Some(priority) = command.priority {
        let _ = write!(line, ",\"weight\":{}", priority.min(MAX_PRIORITY));
    }
    line.push_str("},\"b\":\"");
    line
}

/// Encodes the command that fetches another page. Pages are numbered from 0; page 0 arrives with the first response.
pub fn encode_fetch(id: &str, page: usize) -> String {
    format!("{{\"t\":\"FETCH\",\"i\":{},\"x\":{page}}}\n", quoted(id))
}

/// Encodes the command that discards the remaining pages of a result.
pub fn encode_discard(id: &str) -> String {
    format!("{{\"t\":\"END\",\"i\":{}}}\n", quoted(id))
}

/// Encodes the command that cancels a request. The router itself cancels by closing the connection.
pub fn encode_cancel(id: &str) -> String {
    format!("{{\"t\":\"STOP\",\"i\":{}}}\n", quoted(id))
}

/// Encodes the request for a load report. The response carries the tag as its id.
pub fn encode_load_request(tag: &str) -> String {
    format!("{{\"t\":\"STAT\",\"i\":{}}}\n", quoted(tag))
}

/// Encodes text as a JSON string.
fn quoted(text: &str) -> String {
    Value::from(text).to_string()
}

#[cfg(test)]
mod tests;
