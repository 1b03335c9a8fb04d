//! The endpoint list, from discovery and from the reports of the engines themselves, without I/O or a clock.
//!
//! Discovery lists engines and their addresses. Its list can be out of date, and shows only whether a process runs.
//! Each engine reports its own state and uptime. A process that is younger than the known one is a new process, even
//! if the list has not changed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hoptiller_policy::{EndpointEntry, EngineId, Micros, Readiness};
use hoptiller_statement::discovery::{ENGINE_SERVICE_TYPE, NodeState, Service, Services};

/// Maximum number of engines in a list; further ones are skipped.
const MAX_ENGINES: usize = 10_000;
/// Maximum length of the name of an engine, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// An uptime that places the start of the process later than known by more than this belongs to a new process.
/// Smaller differences come from the response time and from rounding.
const NEW_PROCESS_TOLERANCE: Micros = 1_500_000;

/// A listed engine.
#[derive(Clone, Debug)]
pub struct ListedEngine {
    /// The engine's id for the policy. It stays the same while the router runs.
    pub id: EngineId,
    /// The engine's name.
    pub name: String,
    /// The engine's address.
    pub addr: SocketAddr,
    service_id: String,
    zone: Option<String>,
    kind: Option<String>,
    cell: u64,
    /// Start time of the process, or the time of listing until the engine reports its uptime.
    started_at: Micros,
    has_reported_uptime: bool,
    is_draining: bool,
}

/// The reason for skipping an entry of discovery's list.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EntryError {
    /// The list has too many engines. The rest of it is skipped.
    #[error("more than {MAX_ENGINES} engines")]
    TooManyEngines,
    /// A single entry is skipped.
    #[error("{name:?}: {reason}")]
    Skipped {
        /// The name of the engine.
        name: String,
        /// The reason.
        reason: SkipReason,
    },
}

/// The reason for skipping a single entry of discovery's list.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SkipReason {
    /// The list already has an entry with this name.
    #[error("duplicate entry")]
    Duplicate,
    /// The list belongs to another environment.
    #[error("environment is {listed:?}, expected {expected:?}")]
    OtherEnvironment {
        /// The environment of the list.
        listed: String,
        /// The environment of the settings.
        expected: String,
    },
    /// The name is empty or too long.
    #[error("node id must have 1 to {MAX_NAME_BYTES} bytes")]
    InvalidName,
    /// The entry has no address.
    #[error("property \"http\" is missing")]
    NoAddress,
    /// The address is malformed.
    #[error("{0:?} is not of the form http://address:port")]
    InvalidAddress(String),
    /// The engine ids are exhausted; ids of removed engines are not reused.
    #[error("engine ids are exhausted")]
    NoMoreIds,
}

/// The list of engines.
#[derive(Debug, Default)]
pub struct EndpointList {
    environment: String,
    kinds: Vec<String>,
    zones: Vec<String>,
    ids: BTreeMap<String, EngineId>,
    endpoints: BTreeMap<String, ListedEngine>,
    has_changed: bool,
}

impl EndpointList {
    /// Creates an empty list. The policy refers to kinds and zones by their indices here.
    pub fn new(environment: &str, kinds: Vec<String>, zones: Vec<String>) -> EndpointList {
        EndpointList {
            environment: environment.to_owned(),
            kinds,
            zones,
            ..EndpointList::default()
        }
    }

    /// Replaces the list with a complete list from discovery. Returns the errors of skipped entries.
    pub fn update(&mut self, now: Micros, list: &Services) -> Vec<EntryError> {
        let mut errors = Vec::new();
        let mut endpoints = BTreeMap::new();
        let services = list.services.iter();
        for service in services.filter(|service| service.service_type == ENGINE_SERVICE_TYPE) {
            if endpoints.len() == MAX_ENGINES {
                errors.push(EntryError::TooManyEngines);
                break;
            }
            let name = &service.node_id;
            let endpoint = match self.endpoint(now, list, service) {
                Ok(_) if endpoints.contains_key(name) => Err(SkipReason::Duplicate),
                result => result,
            };
            match endpoint {
                Ok(endpoint) => {
                    endpoints.insert(name.clone(), endpoint);
                }
                Err(reason) => errors.push(EntryError::Skipped {
                    name: name.clone(),
                    reason,
                }),
            }
        }
        let is_same = |(old, new): (&ListedEngine, &ListedEngine)| {
            old.name == new.name && old.service_id == new.service_id
        };
        let is_unchanged = endpoints.len() == self.endpoints.len()
            && endpoints.values().zip(self.endpoints.values()).all(is_same);
        self.has_changed |= !is_unchanged;
        self.endpoints = endpoints;
        errors
    }

    fn endpoint(
        &mut self,
        now: Micros,
        list: &Services,
        service: &Service,
    ) -> Result<ListedEngine, SkipReason> {
        if list.environment != self.environment {
            return Err(SkipReason::OtherEnvironment {
                listed: list.environment.clone(),
                expected: self.environment.clone(),
            });
        }
        let name = &service.node_id;
        if name.is_empty() || name.len() > MAX_NAME_BYTES {
            return Err(SkipReason::InvalidName);
        }
        let addr = parse_address(service)?;
        if let Some(known) = self.endpoints.get(name)
            && known.service_id == service.id
            && known.addr == addr
        {
            return Ok(known.clone());
        }
        let zone = service.location.split('/').find(|part| !part.is_empty());
        let cell = service.properties.get("cell");
        Ok(ListedEngine {
            id: self.engine_id(name)?,
            name: name.clone(),
            addr,
            service_id: service.id.clone(),
            zone: zone.map(str::to_owned),
            kind: service.properties.get("kind").cloned(),
            cell: cell.and_then(|cell| cell.parse().ok()).unwrap_or(0),
            // An engine of unknown age may still be warming up and could be overloaded without a slow start.
            started_at: now,
            has_reported_uptime: false,
            is_draining: false,
        })
    }

    fn engine_id(&mut self, name: &str) -> Result<EngineId, SkipReason> {
        if let Some(id) = self.ids.get(name) {
            return Ok(*id);
        }
        let next = u32::try_from(self.ids.len()).map_err(|_| SkipReason::NoMoreIds)?;
        let id = EngineId(next);
        self.ids.insert(name.to_owned(), id);
        Ok(id)
    }

    /// Applies the state that an engine reports.
    pub fn update_state(&mut self, name: &str, state: NodeState) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            let is_draining = state == NodeState::ShuttingDown;
            self.has_changed |= endpoint.is_draining != is_draining;
            endpoint.is_draining = is_draining;
        }
    }

    /// Applies the uptime that an engine reports. A new process is not draining.
    pub fn update_uptime(&mut self, now: Micros, name: &str, uptime: Duration) {
        if let Some(endpoint) = self.endpoints.get_mut(name) {
            let started_at = now.saturating_sub(uptime.as_micros() as Micros);
            let is_new = started_at > endpoint.started_at.saturating_add(NEW_PROCESS_TOLERANCE);
            if !endpoint.has_reported_uptime || is_new {
                self.has_changed |= endpoint.started_at != started_at;
                endpoint.started_at = started_at;
                endpoint.has_reported_uptime = true;
                endpoint.is_draining &= !is_new;
            }
        }
    }

    /// Returns the engines, in the order of their names.
    pub fn endpoints(&self) -> impl Iterator<Item = &ListedEngine> {
        self.endpoints.values()
    }

    /// Returns the address of an engine, or `None` if it is not listed.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.endpoints.get(name).map(|endpoint| endpoint.addr)
    }

    /// Sets the kinds and zones, and marks the list as changed. Known ones must keep their indices.
    pub fn set_kinds_and_zones(&mut self, kinds: Vec<String>, zones: Vec<String>) {
        (self.kinds, self.zones) = (kinds, zones);
        self.has_changed = true;
    }

    /// Returns the complete list for the policy if it has changed since the last call.
    pub fn take_changed(&mut self) -> Option<Vec<EndpointEntry>> {
        std::mem::take(&mut self.has_changed)
            .then(|| self.endpoints.values().map(|e| self.entry(e)).collect())
    }

    fn entry(&self, endpoint: &ListedEngine) -> EndpointEntry {
        EndpointEntry {
            engine: endpoint.id,
            zone: index_of(&self.zones, endpoint.zone.as_ref()),
            kind: index_of(&self.kinds, endpoint.kind.as_ref()),
            cell: endpoint.cell,
            ready_at: endpoint.started_at,
            readiness: if endpoint.is_draining {
                Readiness::Draining
            } else {
                Readiness::Up
            },
        }
    }
}

fn parse_address(service: &Service) -> Result<SocketAddr, SkipReason> {
    let uri = service
        .properties
        .get("http")
        .ok_or(SkipReason::NoAddress)?;
    uri.strip_prefix("http://")
        .unwrap_or(uri)
        .trim_end_matches('/')
        .parse()
        .map_err(|_| SkipReason::InvalidAddress(uri.clone()))
}

fn index_of(names: &[String], name: Option<&String>) -> Option<usize> {
    names.iter().position(|known| Some(known) == name)
}

#[cfg(test)]
mod tests;
