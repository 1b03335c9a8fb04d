//! Division of a router's descriptors and memory between their uses.

use hoptiller_platform_protocol::config::Limits;

/// Descriptors that the process itself needs: standard streams, listener, polling, signals, coordinator, configuration
/// file.
const PROCESS_DESCRIPTORS: usize = 24;
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// The limits on a router's resources, by use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Maximum number of client connections. Well-behaved clients use at most a third of all descriptors.
    pub client_connections: usize,
    /// Maximum number of connections to engines.
    pub engine_connections: usize,
    /// Maximum number of requests in flight, one per client connection.
    pub open_requests: usize,
    /// Maximum size of the request bodies being received from all clients.
    pub incoming_bytes: u64,
    /// Maximum size of the results of several pages being fetched and, counted separately, of the results buffered in
    /// the core.
    pub result_bytes: u64,
}

impl Budget {
    /// Divides the configured limits between the uses.
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
