//! Tasks that one router performs for the whole fleet: which router performs a shard of a task now, and what it has
//! recorded for the others. The crate has no I/O and no clock. It decides by the leases of [`hoptiller_coordination`].

#![warn(missing_docs)]

mod engine_observations;

use hoptiller_coordination::{Micros, Shard, ShardStatus, Task, TaskLeaseClient};

pub use engine_observations::{EngineObservation, EngineObservations};

/// The assignment of a shard of a task to routers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskAssignment {
    /// Each router performs the shard for itself, without a lease: there is no such task, nobody holds the lease,
    /// nothing is recorded yet, or this router is in doubt.
    EachRouter,
    /// This router performs the shard for the whole fleet.
    Local,
    /// The lease table names a holder of the shard, and this router holds no valid lease of it. The last note that was
    /// recorded is given.
    Remote(String),
}

/// Returns which router performs a shard now. `in_doubt` tells that this router's configuration lease has expired, so
/// that it receives no notes of the others.
pub fn task_assignment(
    leases: &TaskLeaseClient,
    now: Micros,
    shard: Shard,
    in_doubt: bool,
) -> TaskAssignment {
    match leases.shard_status(shard) {
        _ if in_doubt => TaskAssignment::EachRouter,
        None => TaskAssignment::EachRouter,
        Some(_) if leases.is_holding(now, shard) => TaskAssignment::Local,
        Some(ShardStatus {
            fencing_token: Some(_),
            note: Some(note),
        }) => TaskAssignment::Remote(note.clone()),
        Some(_) => TaskAssignment::EachRouter,
    }
}

/// The only shard of the task that reads the list of engines from service discovery.
pub const DISCOVERY_SHARD: Shard = Shard {
    task: Task::Discovery,
    index: 0,
};

/// Returns the shard in which the health of an engine is checked, or `None` if the task has no shards.
pub fn health_check_shard(engine: &str, shard_count: u32) -> Option<Shard> {
    let hash = blake3::hash(engine.as_bytes());
    let mut first = [0; 4];
    first.copy_from_slice(&hash.as_bytes()[..4]);
    let index = u32::from_be_bytes(first).checked_rem(shard_count)?;
    Some(Shard {
        task: Task::HealthCheck,
        index,
    })
}

#[cfg(test)]
mod tests;
