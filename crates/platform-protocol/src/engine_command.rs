//! Encoding of the commands that a router sends to an engine, one JSON object a line.

use std::fmt::Write as _;

use data_encoding::BASE64;
use serde_json::Value;

/// The highest priority that engines know.
const MAX_PRIORITY: u8 = 3;
/// Bytes of a command around the statement, roughly.
const COMMAND_OVERHEAD: usize = 160;

/// A statement to be executed, as the client sent it, and its priority.
#[derive(Clone, Copy, Debug)]
pub struct StatementCommand<'a> {
    /// The request's id.
    pub id: &'a str,
    /// The name of the request's class.
    pub class: &'a str,
    /// The client's idempotency key, if any.
    pub idempotency_key: Option<&'a str>,
    /// The priority, if one was assigned; engines know 0 to 3, higher values are capped.
    pub priority: Option<u8>,
    /// The text of the statement.
    pub statement: &'a str,
}

/// Encodes the command to execute a statement, with the time in ms that the router waits for the response.
pub fn encode_statement(command: &StatementCommand<'_>, wait_ms: u64) -> String {
    let mut line = String::with_capacity(COMMAND_OVERHEAD + command.statement.len() * 4 / 3);
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

/// Encodes the command to fetch a further page; pages are numbered from 0, and page 0 comes with the first response.
pub fn encode_fetch(id: &str, page: usize) -> String {
    format!("{{\"t\":\"FETCH\",\"i\":{},\"x\":{page}}}\n", quoted(id))
}

/// Encodes the command that ends a result whose remaining pages are not wanted.
pub fn encode_end(id: &str) -> String {
    format!("{{\"t\":\"END\",\"i\":{}}}\n", quoted(id))
}

/// Encodes the command that cancels a request.
pub fn encode_stop(id: &str) -> String {
    format!("{{\"t\":\"STOP\",\"i\":{}}}\n", quoted(id))
}

/// Encodes the request for a load report; the response carries the tag as its id.
pub fn encode_stat(tag: &str) -> String {
    format!("{{\"t\":\"STAT\",\"i\":{}}}\n", quoted(tag))
}

fn quoted(text: &str) -> String {
    Value::from(text).to_string()
}

#[cfg(test)]
mod tests;
