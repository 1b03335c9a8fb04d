//! Division of a router's descriptors and memory between their uses.

use hoptiller_platform_protocol::config::Limits;

/// Descriptors that the process itself needs: standard streams, listener, polling, signals, coordinator, configuration
/// file.
const PROCESS_DESCRIPTORS: usize = 24;
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// Memory that each client connection may use for its requests whatever others use. A usual request needs far less.
const CONNECTION_ALLOWANCE_BYTES: u64 = 8 << 10;

/// Memory of the other state of a connection with a request in flight: the tasks that serve it, its statement, its
/// timers, its connection to an engine.
const CONNECTION_STATE_BYTES: u64 = 8 << 10;

/// The limits on a router's resources, by use. Together the uses of memory get less than three quarters of the limit:
/// the program itself, the endpoint list and the spare capacity of the allocator need the rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Maximum number of client connections. Well-behaved clients use at most a third of all descriptors.
    pub client_connections: usize,
    /// Maximum number of connections to engines.
    pub engine_connections: usize,
    /// Maximum number of requests in flight, one per client connection.
    pub open_requests: usize,
    /// Memory that each client connection may use for its requests whatever others use.
    pub connection_allowance_bytes: u64,
    /// Maximum memory that the requests of all clients use beyond the allowances, from their first byte to their
    /// response.
    pub request_bytes: u64,
    /// Maximum memory of the responses that clients have not taken.
    pub response_bytes: u64,
    /// Maximum size of the results of several pages being fetched and, counted separately, of the results buffered in
    /// the core.
    pub result_bytes: u64,
}

impl Budget {
    /// Divides the configured limits between the uses.
    pub fn from_limits(limits: &Limits) -> Budget {
        let memory_bytes = (limits.memory_mb * BYTES_PER_MB) as u64;
        let usable = limits.sockets.saturating_sub(PROCESS_DESCRIPTORS);
        let in_memory = memory_bytes / 4 / (CONNECTION_ALLOWANCE_BYTES + CONNECTION_STATE_BYTES);
        let client_connections = (limits.sockets * 9 / 20)
            .min(usable)
            .min(usize::try_from(in_memory).unwrap_or(usize::MAX));
        Budget {
            client_connections,
            engine_connections: usable - client_connections,
            open_requests: client_connections,
            connection_allowance_bytes: CONNECTION_ALLOWANCE_BYTES,
            request_bytes: memory_bytes / 8,
            response_bytes: memory_bytes / 16,
            result_bytes: memory_bytes / 8,
        }
    }
}

#[cfg(test)]
mod tests;
