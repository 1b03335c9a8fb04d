//! Tasks that one router performs for the whole fleet, and the shards into which they are divided.

use serde::{Deserialize, Serialize};

/// Maximum number of shards of all tasks together.
pub(crate) const MAX_SHARDS: usize = 4096;

/// A task that one router performs for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Task {
    /// Reading the list of engines from service discovery.
    #[serde(rename = "list")]
    Discovery,
    /// Checking the health of engines.
    #[serde(rename = "probe")]
    HealthCheck,
}

impl Task {
    /// Returns the task's name in stored and transmitted data.
    pub fn name(self) -> &'static str {
        match self {
            Task::Discovery => "list",
            Task::HealthCheck => "probe",
        }
    }
}

/// A shard of a task, for which one lease is granted. It is written in the form `probe/3`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Shard {
    /// The task.
    pub task: Task,
    /// The index of the shard within the task, from 0.
    pub index: u32,
}

/// An error for a text that names no shard.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} is not a shard of a task; expected a form such as probe/3")]
pub struct InvalidShard {
    text: String,
}

impl std::fmt::Display for Shard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.task.name(), self.index)
    }
}

impl From<Shard> for String {
    fn from(shard: Shard) -> String {
        shard.to_string()
    }
}

impl TryFrom<String> for Shard {
    type Error = InvalidShard;

    fn try_from(text: String) -> Result<Shard, InvalidShard> {
        parse_shard(&text).ok_or(InvalidShard { text })
    }
}

fn parse_shard(text: &str) -> Option<Shard> {
    let (name, index) = text.split_once('/')?;
    let task = [Task::Discovery, Task::HealthCheck]
        .into_iter()
        .find(|task| task.name() == name)?;
    Some(Shard {
        task,
        index: index.parse().ok()?,
    })
}
