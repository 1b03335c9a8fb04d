//! State machines for the coordination of a fleet of routers: a versioned configuration that all routers agree on, and
//! leases on tasks that one router performs for the whole fleet. The crate has no I/O, clocks or threads; callers pass
//! the time.
//!
//! Each replica applies [`Command`]s to a [`ConfigState`] in the order of the replicated log. The state's
//! [`LeaseTable`] assigns the shards of fleet-wide tasks to routers. Each router runs a [`ConfigWatcher`] and a
//! [`TaskLeaseClient`]; each replica tracks the expiry of leases with an [`ExpiryTracker`]. While a new [`Document`] is
//! rolled out, routers enforce the greatest lower bound of all versions that may be in use; see [`Merge`].

#![warn(missing_docs)]

mod command;
mod config_lease;
mod config_state;
mod config_watcher;
mod document;
mod document_validation;
mod duration;
mod endpoint_list;
mod endpoint_sources;
pub mod fault_injection;
mod lease_assignment;
mod lease_expiry;
mod lease_messages;
mod lease_table;
mod map_as_pairs;
mod merge;
mod merge_rules;
mod placement;
mod proposal;
mod shard;
mod task_lease_client;
mod version;

pub use command::{Command, CommandResponse, ConfigLeaseGrant};
pub use config_lease::{ConfigLease, LeaseTiming, Micros};
pub use config_state::{ConfigLeaseRecord, ConfigState, MAX_PENDING_CHANGES};
pub use config_watcher::{ConfigWatcher, Decision, GrantError};
pub use document::{
    Document, EngineSettings, Idempotency, InDoubtPolicy, RetryBudget, RuleParameters,
    StatementClass, ValidationError,
};
pub use duration::ConfigDuration;
pub use endpoint_list::{Endpoint, EndpointList, EngineState, SAME_PROCESS_TOLERANCE_MS};
pub use endpoint_sources::{EndpointSources, SourceUpdate};
pub use lease_expiry::ExpiryTracker;
pub use lease_messages::{
    LeaseOffer, LeaseTableEntry, LeaseTableUpdate, NoteError, TaskLeaseGrant,
};
pub use lease_table::{LeaseTable, MAX_NOTE_BYTES, MIN_CONSECUTIVE_RENEWALS};
pub use merge::{Change, Difference, Merge};
pub use proposal::{Proposal, Rejection};
pub use shard::{InvalidShard, Shard, Task};
pub use task_lease_client::{LeaseGuard, ShardStatus, TaskLeaseClient};
pub use version::{Holder, Version, VersionMetadata, VersionNumber};
