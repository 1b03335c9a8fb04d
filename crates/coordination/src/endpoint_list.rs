//! Lists of engines and their states.
//!
//! The state of an endpoint never moves backwards: a newer process replaces an older one of the same name, and of two
//! states of one process the later one applies. So two lists merge to the same list in either order.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::merge::{Change, Difference, Merge, MergeRule};
use crate::merge_rules::MergePerKey;

/// Maximum number of engines on a list.
pub(crate) const MAX_ENGINES: usize = 10_000;

/// Maximum difference between two start times observed of one process. A start time is computed from the process's age,
/// which takes time to read.
pub const SAME_PROCESS_TOLERANCE_MS: u64 = 1500;

/// The state of an engine's process, in the order of its lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    /// The process accepts work.
    Up,
    /// The process finishes the work that it has, and accepts no more.
    Draining,
    /// The process has ended.
    Gone,
}

/// An engine on a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// The start time of its process, in ms since 1970, which distinguishes processes of the same name.
    #[serde(rename = "started")]
    pub started_at_ms: u64,
    /// The state of the process.
    #[serde(rename = "standing")]
    pub state: EngineState,
}

impl Endpoint {
    /// Returns the newer process, or of one process the later state.
    pub fn newer(self, other: Endpoint) -> Endpoint {
        match self.started_at_ms.cmp(&other.started_at_ms) {
            std::cmp::Ordering::Less => other,
            std::cmp::Ordering::Greater => self,
            std::cmp::Ordering::Equal => Endpoint {
                state: self.state.max(other.state),
                ..self
            },
        }
    }
}

impl Merge for Endpoint {
    fn merge(&self, other: &Endpoint) -> Endpoint {
        self.newer(*other)
    }

    fn differences(&self, new: &Endpoint, path: &str, into: &mut Vec<Difference>) {
        if self == new {
            return;
        }
        // A process in a later state permits less; any other change can permit what was forbidden.
        let is_later = self.started_at_ms == new.started_at_ms && new.state > self.state;
        let change = if is_later {
            Change::Tighter
        } else {
            Change::Mixed
        };
        into.push(Difference::new(path, change));
    }
}

/// A list of engines, each with a unique name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EndpointList {
    endpoints: BTreeMap<String, Endpoint>,
}

impl FromIterator<(String, Endpoint)> for EndpointList {
    fn from_iter<I: IntoIterator<Item = (String, Endpoint)>>(endpoints: I) -> EndpointList {
        EndpointList {
            endpoints: endpoints.into_iter().collect(),
        }
    }
}

impl Merge for EndpointList {
    /// Returns the engines that are on both lists, each in its later state.
    fn merge(&self, other: &EndpointList) -> EndpointList {
        EndpointList {
            endpoints: MergePerKey::merge(&self.endpoints, &other.endpoints),
        }
    }

    fn differences(&self, new: &EndpointList, path: &str, into: &mut Vec<Difference>) {
        MergePerKey::differences(&self.endpoints, &new.endpoints, path, into);
    }
}

impl EndpointList {
    /// Returns the number of engines.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns whether the list has no engines.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    /// Returns an engine by its name.
    pub fn get(&self, name: &str) -> Option<Endpoint> {
        self.endpoints.get(name).copied()
    }

    /// Returns the engines in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Endpoint)> {
        self.endpoints.iter()
    }

    /// Adds an engine, or replaces the one of that name.
    pub(crate) fn insert(&mut self, name: String, endpoint: Endpoint) {
        self.endpoints.insert(name, endpoint);
    }

    /// Removes an engine.
    pub(crate) fn remove(&mut self, name: &str) {
        self.endpoints.remove(name);
    }

    /// Returns whether work may be sent to an engine whose process started at `started_at_ms`. The listed process
    /// accepts work if it is up, and so does a newer process that is not on the list yet. An older process does not.
    pub fn accepts_work(&self, name: &str, started_at_ms: u64) -> bool {
        let Some(endpoint) = self.endpoints.get(name) else {
            return false;
        };
        if started_at_ms > endpoint.started_at_ms + SAME_PROCESS_TOLERANCE_MS {
            return true;
        }
        let is_same_process = started_at_ms + SAME_PROCESS_TOLERANCE_MS >= endpoint.started_at_ms;
        is_same_process && endpoint.state == EngineState::Up
    }
}
