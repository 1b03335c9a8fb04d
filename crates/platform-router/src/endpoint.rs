//! The state of an engine's endpoint, according to the endpoint list.

use std::net::SocketAddr;

use hoptiller_platform_protocol::{Endpoint, Phase};

/// The state of an engine's endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointState {
    pub(crate) addr: SocketAddr,
    /// Unix time of the engine's start, in ms. A different time means a different process.
    started_ms: u64,
    phase: Phase,
}

impl EndpointState {
    pub(crate) fn new(endpoint: &Endpoint) -> EndpointState {
        EndpointState {
            addr: endpoint.addr,
            started_ms: endpoint.started_ms,
            phase: endpoint.phase,
        }
    }

    pub(crate) fn mark_removed(&mut self) {
        self.phase = Phase::Removed;
    }

    pub(crate) fn is_removed(&self) -> bool {
        self.phase == Phase::Removed
    }

    pub(crate) fn is_same_process(&self, other: &EndpointState) -> bool {
        (self.addr, self.started_ms) == (other.addr, other.started_ms)
    }
}
