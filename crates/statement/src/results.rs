//! `QueryResults`, the response to submitting and to polling. Rows stay the JSON text that the engine sent: the
//! router forwards values without parsing them.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::error::{ErrorName, ErrorType};

/// The state of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum State {
    /// Waiting for a slot.
    Queued,
    /// Being planned.
    Planning,
    /// About to run.
    Starting,
    /// Running.
    Running,
    /// Has run, while rows are still fetched.
    Finishing,
    /// Completed.
    Finished,
    /// Rejected or failed.
    Failed,
    /// Any other state that an engine reports.
    #[serde(other)]
    Other,
}

/// Statistics of a statement. Those that are not known are 0.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Stats {
    /// The state of the statement.
    pub state: State,
    /// Whether it is queued.
    #[serde(default)]
    pub queued: bool,
    /// Whether it was sent to an engine.
    #[serde(default)]
    pub scheduled: bool,
    /// The number of nodes that work on it.
    #[serde(default)]
    pub nodes: u32,
    /// The number of splits.
    #[serde(default)]
    pub total_splits: u64,
    /// The number of splits that are queued.
    #[serde(default)]
    pub queued_splits: u64,
    /// The number of splits that are running.
    #[serde(default)]
    pub running_splits: u64,
    /// The number of splits that are completed.
    #[serde(default)]
    pub completed_splits: u64,
    /// CPU time of all threads, in milliseconds.
    #[serde(default)]
    pub cpu_time_millis: u64,
    /// Time since it began to run, in milliseconds.
    #[serde(default)]
    pub wall_time_millis: u64,
    /// Time for which it was queued, in milliseconds.
    #[serde(default)]
    pub queued_time_millis: u64,
    /// Time since its arrival, in milliseconds.
    #[serde(default)]
    pub elapsed_time_millis: u64,
    /// The number of rows that it has read.
    #[serde(default)]
    pub processed_rows: u64,
    /// The number of bytes that it has read.
    #[serde(default)]
    pub processed_bytes: u64,
    /// The peak of its memory, in bytes.
    #[serde(default)]
    pub peak_memory_bytes: u64,
    /// The bytes that it has spilled for want of memory.
    #[serde(default)]
    pub spilled_bytes: u64,
    /// The share of its work that is completed, in percent, where known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub progress_percentage: Option<f64>,
}

impl Stats {
    /// Statistics of which only the state is known.
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
    /// The text for people.
    pub message: String,
    /// The code of the error.
    pub error_code: u32,
    /// The name of the error.
    pub error_name: String,
    /// The type of the error.
    pub error_type: ErrorType,
    /// Details of the failure; clients expect them to be present.
    #[serde(default)]
    pub failure_info: FailureInfo,
}

impl QueryError {
    /// An error of the router.
    pub fn from_name(name: ErrorName, message: String) -> QueryError {
        QueryError::new(
            name.name().to_owned(),
            name.code(),
            name.error_type(),
            message,
        )
    }

    /// An error of any name.
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
    /// The kind of the failure, here the error's name.
    #[serde(rename = "type", default)]
    pub kind: String,
    /// The text for people.
    #[serde(default)]
    pub message: String,
}

/// The response to submitting and to each poll. Without `next_uri` it is the last one.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct QueryResults {
    /// The id of the statement.
    pub id: String,
    /// The URI at which the course of the statement is reported.
    #[serde(default)]
    pub info_uri: String,
    /// The URI to poll next.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next_uri: Option<String>,
    /// The columns of the rows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub columns: Option<Box<RawValue>>,
    /// The rows of this page.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data: Option<Box<RawValue>>,
    /// Statistics of the statement.
    pub stats: Stats,
    /// The error, where the statement failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<QueryError>,
    /// Warnings, as the engine sent them.
    #[serde(default)]
    pub warnings: Vec<Box<RawValue>>,
    /// The kind of an update, such as `INSERT`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub update_type: Option<String>,
    /// The number of rows that an update changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub update_count: Option<u64>,
}

impl QueryResults {
    /// Whether the page has any row.
    pub fn has_rows(&self) -> bool {
        self.data
            .as_ref()
            .is_some_and(|rows| !rows.get().trim_start_matches(['[', ' ']).starts_with(']'))
    }
}
