//! How a router's descriptors and memory are divided.

use hoptiller_platform_protocol::config::Limits;

/// Descriptors of the process itself: standard streams, listener, polling, signals, coordinator, configuration file.
const PROCESS_DESCRIPTORS: usize = 24;
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// The limit of each use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Connections of clients. Well-behaved clients hold a third of all descriptors at most.
    pub client_connections: usize,
    /// Connections to engines.
    pub engine_connections: usize,
    /// Requests in flight.
    pub open_requests: usize,
    /// Bytes of request bodies that are being received, of all clients together.
    pub incoming_bytes: u64,
    /// Bytes of results that are held, of all requests together.
    pub result_bytes: u64,
}

impl Budget {
    /// Divides the configured limits.
    pub fn from_limits(limits: &Limits) -> Budget {
        let usable = limits.sockets.saturating_sub(PROCESS_DESCRIPTORS);
        let client_connections = (limits.sockets * 9 / 20).min(usable);
        let memory_bytes = (limits.memory_mb * BYTES_PER_MB) as u64;
        Budget {
            client_connections,
            engine_connections: usable - client_connections,
            open_requests: client_connections,
            incoming_bytes: memory_bytes / 16,
            result_bytes: memory_bytes / 8,
        }
    }
}

#[cfg(test)]
mod tests;
