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
    let mut line = String::with_capacity(COMMAND_OVERHEAD_BYTES + command.statement.len() * 4 / 3);
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
    BASE64.encode_append(command.statement.as_bytes(), &mut line);
    line.push_str("\"}\n");
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
