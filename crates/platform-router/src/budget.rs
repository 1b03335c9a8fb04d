//! Owns how a router's descriptors and memory are divided.

use hoptiller_platform_protocol::config::Limits;

/// Descriptors of the process itself: standard streams, listener, polling, signals, coordinator, the file.
const OWN: usize = 24;

/// What each part may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// Connections of clients. The usual ones hold a third of all descriptors at most.
    pub clients: usize,
    /// Connections to engines.
    pub engines: usize,
    /// Requests that are not answered.
    pub open: usize,
    /// Bytes of bodies that are coming in, of all clients together.
    pub incoming: u64,
    /// Bytes of results that are held, of all requests together.
    pub held: u64,
}

impl Budget {
    /// From the limits that a router is told.
    pub fn of(limits: &Limits) -> Budget {
        let usable = limits.sockets.saturating_sub(OWN);
        let clients = (limits.sockets * 9 / 20).min(usable);
        let memory = (limits.memory_mb * 1024.0 * 1024.0) as u64;
        Budget {
            clients,
            engines: usable - clients,
            open: clients,
            incoming: memory / 16,
            held: memory / 8,
        }
    }
}

#[cfg(test)]
mod tests;
