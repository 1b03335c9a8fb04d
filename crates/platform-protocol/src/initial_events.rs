//! The coordinator's events up to a router's start, stored as JSON in its configuration file.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;

use crate::endpoint_list::{Endpoint, EndpointListUpdate, Phase};

/// The reason why the endpoint list can't be built from an event.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InitialEventsError {
    /// An endpoint's phase is unknown.
    #[error("unknown endpoint phase {0:?}")]
    Phase(String),
    /// An endpoint's id is not `s-` and 8 hex digits.
    #[error("invalid endpoint id {0:?}: expected s- and 8 hex digits")]
    Id(String),
}

/// The events up to a router's start.
#[derive(Default, Deserialize)]
pub(crate) struct InitialEvents {
    #[serde(rename = "index")]
    last_event: u64,
    #[serde(rename = "updates", default)]
    events: Vec<Event>,
}

#[derive(Deserialize)]
struct Event {
    endpoints: EventEndpoints,
}

#[derive(Deserialize)]
struct EventEndpoints {
    #[serde(rename = "complete", default)]
    is_complete: bool,
    #[serde(rename = "members", default)]
    entries: Vec<InitialEndpoint>,
}

#[derive(Deserialize)]
struct InitialEndpoint {
    id: String,
    #[serde(rename = "host_port")]
    addr: SocketAddr,
    #[serde(rename = "locality", default)]
    zone: String,
    #[serde(rename = "flavor", default)]
    kind: String,
    #[serde(default)]
    cell: u32,
    phase: String,
    #[serde(rename = "up_since_ms", default)]
    started_ms: u64,
}

impl InitialEvents {
    /// Applies all events in order and returns the result as one complete list.
    pub(crate) fn to_update(
        &self,
        zones: &[String],
        kinds: &[String],
    ) -> Result<EndpointListUpdate, InitialEventsError> {
        let mut endpoints = BTreeMap::new();
        for event in &self.events {
            if event.endpoints.is_complete {
                endpoints.clear();
            }
            for entry in &event.endpoints.entries {
                let endpoint = entry.to_endpoint(zones, kinds)?;
                match endpoint.phase {
                    Phase::Removed => endpoints.remove(&endpoint.id),
                    Phase::Ready | Phase::Draining => endpoints.insert(endpoint.id, endpoint),
                };
            }
        }
        Ok(EndpointListUpdate {
            number: self.last_event,
            is_complete: true,
            endpoints: endpoints.into_values().collect(),
        })
    }
}

impl InitialEndpoint {
    fn to_endpoint(
        &self,
        zones: &[String],
        kinds: &[String],
    ) -> Result<Endpoint, InitialEventsError> {
        let phase = match self.phase.as_str() {
            "in_service" => Phase::Ready,
            "terminating" => Phase::Draining,
            "terminated" => Phase::Removed,
            other => return Err(InitialEventsError::Phase(other.to_owned())),
        };
        let id = parse_id(&self.id).ok_or_else(|| InitialEventsError::Id(self.id.clone()))?;
        Ok(Endpoint {
            id,
            addr: self.addr,
            zone: hoptiller_policy_settings::position(zones, &self.zone),
            kind: hoptiller_policy_settings::position(kinds, &self.kind),
            cell: self.cell,
            phase,
            started_ms: self.started_ms,
        })
    }
}

fn parse_id(text: &str) -> Option<u32> {
    let digits = text.strip_prefix("s-").filter(|digits| digits.len() == 8)?;
    u32::from_str_radix(digits, 16).ok()
}
