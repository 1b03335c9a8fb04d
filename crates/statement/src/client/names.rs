//! Names of the headers that are read.

/// Who asks; required.
pub const USER: &str = "X-Trino-User";
/// Which program asks.
pub const SOURCE: &str = "X-Trino-Source";
/// Marks, comma-separated; those of the form `name=value` are read.
pub const TAGS: &str = "X-Trino-Client-Tags";
/// Session properties, comma-separated `name=value`.
pub const SESSION: &str = "X-Trino-Session";
/// The client's own identity of a statement, passed on.
pub const TRACE: &str = "X-Trino-Trace-Token";
/// The session property that shortens a client's patience.
pub const PATIENCE: &str = "query_max_run_time";
