//! Names of the headers and session properties of clients.

/// The user who submits a statement; required.
pub const USER: &str = "X-Trino-User";
/// The program that submits a statement.
pub const SOURCE: &str = "X-Trino-Source";
/// Tags, comma-separated; those of the form `name=value` are parsed.
pub const CLIENT_TAGS: &str = "X-Trino-Client-Tags";
/// Session properties, comma-separated `name=value`.
pub const SESSION: &str = "X-Trino-Session";
/// The client's own id of a statement, which is forwarded.
pub const TRACE_TOKEN: &str = "X-Trino-Trace-Token";
/// The session property that shortens a statement's timeout.
pub const MAX_RUN_TIME_PROPERTY: &str = "query_max_run_time";
