//! Tasks that one router does for the whole fleet: who does a part now, what is noted of it for all others, and what is
//! done where nobody holds it. Decisions only: no I/O, no clock. Leases are [`hoptiller_coordination`]'s.
//!
//! [`duty`] says whose part something is at a moment; [`sheet`] is what is noted of engines' own states. The list of
//! engines is noted as discovery told it.

pub mod sheet;

use hoptiller_coordination::{Micros, Shard, Task, TaskLeaseClient};

pub use sheet::{Seen, Sheet};

/// Whose part something is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Duty {
    /// Each router's own: there is no such task, nobody holds it, nothing was noted yet, or this router is in doubt. What
    /// is done then is what would be done without tasks, and needs no lease.
    Own,
    /// This router does it for all.
    Mine,
    /// Another does it; what it noted last.
    Others(String),
}

/// Whose a part is now. `doubt`: this router's permit has ended, so that it hears nothing of the others.
pub fn duty(tenant: &TaskLeaseClient, now: Micros, part: Shard, doubt: bool) -> Duty {
    match tenant.shard_status(part) {
        _ if doubt => Duty::Own,
        None => Duty::Own,
        Some(_) if tenant.is_holding(now, part) => Duty::Mine,
        Some((Some(_), Some(note))) => Duty::Others(note.to_owned()),
        Some(_) => Duty::Own,
    }
}

/// The part that reads discovery.
pub const LIST: Shard = Shard {
    task: Task::Discovery,
    index: 0,
};

/// The part in which an engine is asked how it is, of so many; `None` where there are none.
pub fn probe_of(engine: &str, parts: u32) -> Option<Shard> {
    let hash = blake3::hash(engine.as_bytes());
    let mut first = [0; 4];
    first.copy_from_slice(&hash.as_bytes()[..4]);
    let shard = u32::from_be_bytes(first).checked_rem(parts)?;
    Some(Shard {
        task: Task::HealthCheck,
        index: shard,
    })
}

#[cfg(test)]
mod tests;
