//! The coordinator's list of engines: endpoints and numbered updates of the list.

use std::net::SocketAddr;

/// The phase of an engine's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It accepts requests.
    Ready,
    /// It finishes the requests that it has, and accepts no others.
    Draining,
    /// It has been removed.
    Removed,
}

/// An engine as listed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The engine's number; in text `s-` and 8 hex digits.
    pub id: u32,
    /// The address that it listens on.
    pub addr: SocketAddr,
    /// The position of its zone in the settings, if known.
    pub zone: Option<usize>,
    /// The position of its machine kind in the settings, if known.
    pub kind: Option<usize>,
    /// Its cell.
    pub cell: u32,
    /// Its phase.
    pub phase: Phase,
    /// Unix time of a recent start, in ms; 0: it started long ago.
    pub started_ms: u64,
}

/// An update of the endpoint list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointListUpdate {
    /// The event's number.
    pub number: u64,
    /// Whether the update is the complete list; otherwise it has only the endpoints that changed.
    pub is_complete: bool,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
}
