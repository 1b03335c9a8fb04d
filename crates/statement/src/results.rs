//! `QueryResults`, the response to a submission and to each poll. Rows remain the JSON text that the engine sent,
//! because the router forwards values without parsing them.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::error::{ErrorName, ErrorType};

/// The state of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum State {
    /// The statement waits for a slot.
    Queued,
    /// The statement is being planned.
    Planning,
    /// The statement is about to run.
    Starting,
    /// The statement is running.
    Running,
    /// The statement has run, but the client is still fetching rows.
    Finishing,
    /// The statement is completed.
    Finished,
    /// The statement was rejected or failed.
    Failed,
    /// Any other state that an engine reports.
    #[serde(other)]
    Other,
}

/// Statistics of a statement. Unknown numbers are 0.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Stats {
    /// State of the statement.
    pub state: State,
    /// Whether the statement is queued.
    #[serde(default)]
    pub queued: bool,
    /// Whether the statement was sent to an engine.
    #[serde(default)]
    pub scheduled: bool,
    /// Number of nodes that work on the statement.
    #[serde(default)]
    pub nodes: u32,
    /// Total number of splits.
    #[serde(default)]
    pub total_splits: u64,
    /// Number of queued splits.
    #[serde(default)]
    pub queued_splits: u64,
    /// Number of running splits.
    #[serde(default)]
    pub running_splits: u64,
    /// Number of completed splits.
    #[serde(default)]
    pub completed_splits: u64,
    /// CPU time of all threads, in milliseconds.
    #[serde(default)]
    pub cpu_time_millis: u64,
    /// Time since the statement began to run, in milliseconds.
    #[serde(default)]
    pub wall_time_millis: u64,
    /// Time for which the statement was queued, in milliseconds.
    #[serde(default)]
    pub queued_time_millis: u64,
    /// Time since the statement's arrival, in milliseconds.
    #[serde(default)]
    pub elapsed_time_millis: u64,
    /// Number of rows read.
    #[serde(default)]
    pub processed_rows: u64,
    /// Number of bytes read.
    #[serde(default)]
    pub processed_bytes: u64,
    /// Peak memory use, in bytes.
    #[serde(default)]
    pub peak_memory_bytes: u64,
    /// Number of bytes spilled for lack of memory.
    #[serde(default)]
    pub spilled_bytes: u64,
    /// Completed share of the work in percent, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub progress_percentage: Option<f64>,
}

impl Stats {
    /// Creates statistics in which only the state is known.
    pub fn from_state(state: State) -> Stats {
        Stats {
            state,
            queued: state == State::Queued,
            scheduled: state != State::Queued,
            nodes: 0,
            total_splits: 0,
            queued_splits: 0,
            running_splits: 0,
            completed_splits: 0,
            cpu_time_millis: 0,
            wall_time_millis: 0,
            queued_time_millis: 0,
            elapsed_time_millis: 0,
            processed_rows: 0,
            processed_bytes: 0,
            peak_memory_bytes: 0,
            spilled_bytes: 0,
            progress_percentage: None,
        }
    }
}

/// The error of a statement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct QueryError {
    /// Human-readable message.
    pub message: String,
    /// Code of the error.
    pub error_code: u32,
    /// Name of the error.
    pub error_name: String,
    /// Type of the error.
    pub error_type: ErrorType,
    /// Details of the failure, which clients expect to be present.
    #[serde(default)]
    pub failure_info: FailureInfo,
}

impl QueryError {
    /// Creates an error of the router.
    pub fn from_name(name: ErrorName, message: String) -> QueryError {
        QueryError::new(
            name.name().to_owned(),
            name.code(),
            name.error_type(),
            message,
        )
    }

    /// Creates an error with any name.
    pub fn new(name: String, code: u32, error_type: ErrorType, message: String) -> QueryError {
        let failure_info = FailureInfo {
            kind: name.clone(),
            message: message.clone(),
        };
        QueryError {
            message,
            error_code: code,
            error_name: name,
            error_type,
            failure_info,
        }
    }
}

/// Details of a failure.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FailureInfo {
    /// Kind of the failure: the name of the error.
    #[serde(rename = "type", default)]
    pub kind: String,
    /// Human-readable message.
    #[serde(default)]
    pub message: String,
}

/// The response to a submission and to each poll. The last response has no `next_uri`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct QueryResults {
    /// Id of the statement.
    pub id: String,
    /// URI at which the router reports the history of the statement.
    #[serde(default)]
    pub info_uri: String,
    /// URI to poll next.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next_uri: Option<String>,
    /// Columns of the rows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub columns: Option<Box<RawValue>>,
    /// Rows of this page.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data: Option<Box<RawValue>>,
    /// Statistics of the statement.
    pub stats: Stats,
    /// Error, if the statement failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<QueryError>,
    /// Warnings, as the engine sent them.
    #[serde(default)]
    pub warnings: Vec<Box<RawValue>>,
    /// Type of an update, such as `INSERT`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub update_type: Option<String>,
    /// Number of rows that an update changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub update_count: Option<u64>,
}

impl QueryResults {
    /// Returns whether the page contains any row. The rows are not parsed: there is none if only `[` and spaces precede
    /// the first `]`.
    pub fn has_rows(&self) -> bool {
        self.data
            .as_ref()
            .is_some_and(|rows| !rows.get().trim_start_matches(['[', ' ']).starts_with(']'))
    }
}
