//! Owns lists of engines that several have seen: discoveries that disagree, a list that goes back, an engine that only
//! one router sees.
//!
//! What is known of one process only grows: a newer process takes the place of an older one under the same name, and
//! of one process the later state stands. So two lists have one sum, in whatever order they come.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::merge::{Change, Difference, Merge};

/// Engines that are remembered, those that are gone among them.
const MAX_REMEMBERED: usize = crate::document::MAX_ENGINES;

/// Starts that are so near to each other, in ms, are one process's: it is told by its age, which takes time.
const SAME_PROCESS_TOLERANCE_MS: u64 = 1500;

/// The state of a process, in the order in which it passes through them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineState {
    /// Takes work.
    Up,
    /// Finishes what it has.
    Draining,
    /// Gone.
    Gone,
}

/// One engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// When its process began, in ms since 1970: tells processes of one name apart.
    #[serde(rename = "started")]
    pub started_at_ms: u64,
    /// Its state.
    #[serde(rename = "standing")]
    pub state: EngineState,
}

impl Endpoint {
    /// What both together tell.
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
        if self != new {
            // A process that goes on to a later state permits less; any other step can permit what was forbidden.
            let on = self.started_at_ms == new.started_at_ms && new.state > self.state;
            let change = if on { Change::Tighter } else { Change::Mixed };
            into.push(Difference {
                path: path.to_owned(),
                change,
            });
        }
    }
}

/// Engines by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointList(pub BTreeMap<String, Endpoint>);

impl Merge for EndpointList {
    /// Engines that both name, in their later state.
    fn merge(&self, other: &EndpointList) -> EndpointList {
        let both = self
            .0
            .iter()
            .filter_map(|(name, m)| Some((name.clone(), m.newer(*other.0.get(name)?))));
        EndpointList(both.collect())
    }

    fn differences(&self, new: &EndpointList, path: &str, into: &mut Vec<Difference>) {
        <crate::merge::MergePerKey as crate::merge::MergeRule<_>>::differences(
            &self.0, &new.0, path, into,
        );
    }
}

impl EndpointList {
    /// Whether a process that began then may get work.
    pub fn accepts_work(&self, name: &str, started: u64) -> bool {
        match self.0.get(name) {
            None => false,
            Some(m) if started > m.started_at_ms + SAME_PROCESS_TOLERANCE_MS => true,
            Some(m) => {
                started + SAME_PROCESS_TOLERANCE_MS >= m.started_at_ms && m.state == EngineState::Up
            }
        }
    }
}

/// What one source, a discovery as one router reads it, has told.
#[derive(Clone, Debug, Default)]
pub struct EndpointSources {
    sources: BTreeMap<String, EndpointList>,
    merged: EndpointList,
}

/// What came of a list that a source told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SourceUpdate {
    /// Engines of which the source now tells less than it did: its list went back. They keep what was known.
    pub regressed: Vec<String>,
    /// Engines on which another source tells something else.
    pub conflicting: Vec<String>,
    /// The sum has changed.
    pub changed: bool,
}

impl EndpointSources {
    /// A source has told its whole list. Engines that it no longer names are left to the others; what nobody names any
    /// more is gone.
    pub fn update(&mut self, source: &str, list: EndpointList) -> SourceUpdate {
        let mut told = SourceUpdate::default();
        for (name, now) in &list.0 {
            if self
                .merged
                .0
                .get(name)
                .is_some_and(|known| known.newer(*now) != *now)
            {
                told.regressed.push(name.clone());
            }
            let other = self
                .sources
                .iter()
                .filter(|(s, _)| *s != source)
                .any(|(_, l)| l.0.get(name) != Some(now));
            if other {
                told.conflicting.push(name.clone());
            }
        }
        self.sources.insert(source.to_owned(), list);
        let mut sum = EndpointList::default();
        for (name, member) in self.sources.values().flat_map(|l| &l.0) {
            let known = self
                .merged
                .0
                .get(name)
                .copied()
                .filter(|k| k.started_at_ms >= member.started_at_ms);
            let so_far = sum.0.get(name).copied().or(known).unwrap_or(*member);
            sum.0.insert(name.clone(), so_far.newer(*member));
        }
        for (name, known) in &self.merged.0 {
            sum.0.entry(name.clone()).or_insert(Endpoint {
                state: EngineState::Gone,
                ..*known
            });
        }
        // What is gone is remembered, so that an old list does not bring it back, but not without bound.
        while sum.0.len() > MAX_REMEMBERED {
            let gone = sum.0.iter().filter(|(_, m)| m.state == EngineState::Gone);
            let Some(oldest) = gone
                .min_by_key(|(_, m)| m.started_at_ms)
                .map(|(n, _)| n.clone())
            else {
                break;
            };
            sum.0.remove(&oldest);
        }
        told.changed = sum != self.merged;
        self.merged = sum;
        told
    }

    /// A source is no longer heard: what it told last no longer counts.
    pub fn remove(&mut self, source: &str) {
        self.sources.remove(source);
    }

    /// What all together tell.
    pub fn merged(&self) -> &EndpointList {
        &self.merged
    }

    /// Engines that only one of several sources names.
    pub fn single_source_endpoints(&self) -> Vec<String> {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for name in self.sources.values().flat_map(|l| l.0.keys()) {
            *counts.entry(name).or_default() += 1;
        }
        let alone = counts
            .into_iter()
            .filter(|(_, n)| *n == 1 && self.sources.len() > 1);
        alone.map(|(name, _)| name.to_owned()).collect()
    }
}
