//! Owns `QueryResults`, the one message that answers submitting and polling. Rows stay the JSON text that the
//! engine sent: the router passes values on and reads none.

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::error::{ErrorName, ErrorType};

/// Where a statement stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum State {
    /// Waits for a place.
    Queued,
    /// Is being planned.
    Planning,
    /// Is about to run.
    Starting,
    /// Runs.
    Running,
    /// Has run; rows are being fetched.
    Finishing,
    /// Is over, served.
    Finished,
    /// Is over, refused or failed.
    Failed,
    /// Any other state that an engine names.
    #[serde(other)]
    Other,
}

/// Figures of a statement's course. Those that are not known are 0.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Stats {
    /// Where it stands.
    pub state: State,
    /// Whether it waits.
    #[serde(default)]
    pub queued: bool,
    /// Whether it was given to an engine.
    #[serde(default)]
    pub scheduled: bool,
    /// Engines that work on it.
    #[serde(default)]
    pub nodes: u32,
    /// Parts, done or not.
    #[serde(default)]
    pub total_splits: u64,
    /// Parts that wait.
    #[serde(default)]
    pub queued_splits: u64,
    /// Parts that run.
    #[serde(default)]
    pub running_splits: u64,
    /// Parts that are done.
    #[serde(default)]
    pub completed_splits: u64,
    /// Work of all threads, in ms.
    #[serde(default)]
    pub cpu_time_millis: u64,
    /// Time since it began to run, in ms.
    #[serde(default)]
    pub wall_time_millis: u64,
    /// Time that it waited, in ms.
    #[serde(default)]
    pub queued_time_millis: u64,
    /// Time since it came, in ms.
    #[serde(default)]
    pub elapsed_time_millis: u64,
    /// Rows read.
    #[serde(default)]
    pub processed_rows: u64,
    /// Bytes read.
    #[serde(default)]
    pub processed_bytes: u64,
    /// The most memory that it held, in bytes.
    #[serde(default)]
    pub peak_memory_bytes: u64,
    /// Bytes that it wrote aside for want of memory.
    #[serde(default)]
    pub spilled_bytes: u64,
    /// Share of its work that is done, in percent, where known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub progress_percentage: Option<f64>,
}

impl Stats {
    /// Figures of which only the state is known.
    pub fn of(state: State) -> Stats {
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

/// A column of a result.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Column {
    /// Its name.
    pub name: String,
    /// Its type as text.
    #[serde(rename = "type")]
    pub kind: String,
    /// Its type in parts, which clients read values by.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub type_signature: Option<Box<RawValue>>,
}

/// Why a statement was not served.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct QueryError {
    /// For people.
    pub message: String,
    /// The code.
    pub error_code: u32,
    /// The name that goes with it.
    pub error_name: String,
    /// Whose fault it is.
    pub error_type: ErrorType,
    /// Where in the service it arose; clients expect it to be there.
    #[serde(default)]
    pub failure_info: FailureInfo,
}

impl QueryError {
    /// An error of the router.
    pub fn of(name: ErrorName, message: String) -> QueryError {
        QueryError::new(
            name.name().to_owned(),
            name.code(),
            name.error_type(),
            message,
        )
    }

    /// Any error.
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

/// Where in a service an error arose.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FailureInfo {
    /// Its kind.
    #[serde(rename = "type", default)]
    pub kind: String,
    /// For people.
    #[serde(default)]
    pub message: String,
}

/// The answer to submitting and to each poll. Without `next_uri` it is the last one.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct QueryResults {
    /// The statement.
    pub id: String,
    /// Where its course can be read.
    #[serde(default)]
    pub info_uri: String,
    /// Where to ask for more.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next_uri: Option<String>,
    /// What its rows consist of.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub columns: Option<Box<RawValue>>,
    /// Rows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data: Option<Box<RawValue>>,
    /// Figures.
    pub stats: Stats,
    /// Why it was not served.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error: Option<QueryError>,
    /// Warnings, passed on.
    #[serde(default)]
    pub warnings: Vec<Box<RawValue>>,
    /// What a change changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub update_type: Option<String>,
    /// How many rows it changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub update_count: Option<u64>,
}

impl QueryResults {
    /// Whether it holds any row.
    pub fn has_rows(&self) -> bool {
        self.data
            .as_ref()
            .is_some_and(|d| !d.get().trim_start_matches(['[', ' ']).starts_with(']'))
    }
}
