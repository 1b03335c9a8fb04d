//! Names of client headers and session properties.

/// User who submits a statement; required.
pub const USER: &str = "X-Trino-User";
/// Program that submits a statement.
pub const SOURCE: &str = "X-Trino-Source";
/// Comma-separated tags, such as `class=report` or `repeat`.
pub const CLIENT_TAGS: &str = "X-Trino-Client-Tags";
/// Comma-separated session properties of the form `name=value`.
pub const SESSION: &str = "X-Trino-Session";
/// Client's own id of a statement, which the router forwards.
pub const TRACE_TOKEN: &str = "X-Trino-Trace-Token";
/// Session property that shortens a statement's timeout.
pub const MAX_RUN_TIME_PROPERTY: &str = "query_max_run_time";
