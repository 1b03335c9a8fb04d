//! The fields that accompany a statement through the core: the client's request id and its idempotency key.

use hoptiller_router_core::EngineStatement;

/// The names of the fields. They exist only inside the router and are independent of the headers of the same names.
const REQUEST_ID: &str = "Trace-Id";
const IDEMPOTENCY_KEY: &str = "Replay-Key";

/// Creates the statement that the core carries from submission to each attempt.
pub(crate) fn engine_statement(
    text: String,
    request_id: String,
    idempotency_key: Option<String>,
) -> EngineStatement {
    let key = idempotency_key.map(|key| (IDEMPOTENCY_KEY.to_owned(), key));
    EngineStatement {
        text,
        fields: std::iter::once((REQUEST_ID.to_owned(), request_id))
            .chain(key)
            .collect(),
    }
}

/// Returns the id that the client gave its request; empty if there is none.
pub(crate) fn request_id(statement: &EngineStatement) -> &str {
    field(statement, REQUEST_ID).unwrap_or_default()
}

/// Returns the idempotency key, if the statement has one.
pub(crate) fn idempotency_key(statement: &EngineStatement) -> Option<&str> {
    field(statement, IDEMPOTENCY_KEY)
}

fn field<'a>(statement: &'a EngineStatement, name: &str) -> Option<&'a str> {
    let found = statement.fields.iter().find(|(known, _)| known == name);
    found.map(|(_, value)| value.as_str())
}
