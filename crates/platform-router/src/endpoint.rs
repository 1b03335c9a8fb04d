//! The state of an engine's endpoint, as the endpoint list has it.

use std::net::SocketAddr;

use hoptiller_platform_protocol::{Endpoint, Phase};

/// The state of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointState {
    pub(crate) addr: SocketAddr,
    /// Unix time of the start, in ms; another one means another process.
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
