//! The coordinator's list of engine endpoints and its numbered updates.

use std::net::SocketAddr;

/// The lifecycle phase of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The engine accepts requests.
    Ready,
    /// The engine completes the requests that it has and accepts no others.
    Draining,
    /// The engine has been removed.
    Removed,
}

/// An engine's entry on the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The engine's number; in text form, `s-` and 8 hex digits.
    pub id: u32,
    /// The address that the engine listens on.
    pub addr: SocketAddr,
    /// The index of the engine's zone in the settings, if known.
    pub zone: Option<usize>,
    /// The index of the engine's machine kind in the settings, if known.
    pub kind: Option<usize>,
    /// The engine's cell.
    pub cell: u32,
    /// The engine's phase.
    pub phase: Phase,
    /// Unix time of the engine's start, in ms; 0 if it started long ago.
    pub started_ms: u64,
}

/// An update of the endpoint list, the content of one of the coordinator's numbered events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointListUpdate {
    /// The event's number.
    pub number: u64,
    /// Whether the update is the complete list; otherwise it contains only the endpoints that changed.
    pub is_complete: bool,
    /// The listed or changed endpoints.
    pub endpoints: Vec<Endpoint>,
}
