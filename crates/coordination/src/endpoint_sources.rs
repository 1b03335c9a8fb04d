//! Lists of engines from several sources that may disagree: the list of one source may be rolled back, or only one
//! source may report an engine. Routers read a single source today, so only tests use this module.

use std::collections::BTreeMap;

use crate::endpoint_list::{Endpoint, EndpointList, EngineState, MAX_ENGINES};

/// The endpoint lists of several sources, such as a discovery service as each router reads it, and their merge.
#[derive(Clone, Debug, Default)]
pub struct EndpointSources {
    sources: BTreeMap<String, EndpointList>,
    merged: EndpointList,
}

/// The result of a source's update.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SourceUpdate {
    /// The engines that the source reports in an earlier state than is known: its list was rolled back. They keep the
    /// later state.
    pub regressed: Vec<String>,
    /// The engines that another source does not report in the same state.
    pub conflicting: Vec<String>,
    /// Whether the merged list has changed.
    pub changed: bool,
}

impl EndpointSources {
    /// Replaces the list of a source. Engines that no source reports any more become [`EngineState::Gone`].
    pub fn update(&mut self, source: &str, list: EndpointList) -> SourceUpdate {
        let mut result = SourceUpdate::default();
        for (name, endpoint) in list.iter() {
            if self.is_regression(name, *endpoint) {
                result.regressed.push(name.clone());
            }
            if self.is_conflict(source, name, *endpoint) {
                result.conflicting.push(name.clone());
            }
        }
        self.sources.insert(source.to_owned(), list);
        let merged = self.merge_sources();
        result.changed = merged != self.merged;
        self.merged = merged;
        result
    }

    fn is_regression(&self, name: &str, endpoint: Endpoint) -> bool {
        let known = self.merged.get(name);
        known.is_some_and(|known| known.newer(endpoint) != endpoint)
    }

    fn is_conflict(&self, source: &str, name: &str, endpoint: Endpoint) -> bool {
        self.sources
            .iter()
            .filter(|(other, _)| *other != source)
            .any(|(_, list)| list.get(name) != Some(endpoint))
    }

    fn merge_sources(&self) -> EndpointList {
        let mut merged = EndpointList::default();
        for (name, endpoint) in self.sources.values().flat_map(EndpointList::iter) {
            let known = self.merged.get(name);
            let known = known.filter(|known| known.started_at_ms >= endpoint.started_at_ms);
            let so_far = merged.get(name).or(known).unwrap_or(*endpoint);
            merged.insert(name.clone(), so_far.newer(*endpoint));
        }
        for (name, known) in self.merged.iter() {
            if merged.get(name).is_none() {
                let gone = Endpoint {
                    state: EngineState::Gone,
                    ..*known
                };
                merged.insert(name.clone(), gone);
            }
        }
        evict_oldest_gone(&mut merged);
        merged
    }

    /// Removes a source.
    pub fn remove(&mut self, source: &str) {
        self.sources.remove(source);
    }

    /// Returns the merge of the lists of all sources.
    pub fn merged(&self) -> &EndpointList {
        &self.merged
    }

    /// Returns the engines that only one of several sources reports.
    pub fn single_source_endpoints(&self) -> Vec<String> {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for (name, _) in self.sources.values().flat_map(EndpointList::iter) {
            *counts.entry(name).or_default() += 1;
        }
        counts
            .into_iter()
            .filter(|(_, count)| *count == 1 && self.sources.len() > 1)
            .map(|(name, _)| name.to_owned())
            .collect()
    }
}

/// Removes the oldest engines that are gone from a list that is too long. The others stay on it, so that an old list
/// does not bring them back.
fn evict_oldest_gone(list: &mut EndpointList) {
    while list.len() > MAX_ENGINES {
        let gone = list
            .iter()
            .filter(|(_, endpoint)| endpoint.state == EngineState::Gone);
        let oldest = gone.min_by_key(|(_, endpoint)| endpoint.started_at_ms);
        let Some(name) = oldest.map(|(name, _)| name.clone()) else {
            return;
        };
        list.remove(&name);
    }
}
