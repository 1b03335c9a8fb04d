//! States of the model, and the steps between them.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use hoptiller_coordination::{
    ConfigState, ExpiryTracker, Holder, LeaseGuard, LeaseOffer, Shard, TaskLeaseClient,
};

/// The state after all commands of the log. Equality and hash cover only what leases depend on.
#[derive(Clone, Debug)]
pub(crate) struct LogState(pub(crate) ConfigState);

impl PartialEq for LogState {
    fn eq(&self, other: &LogState) -> bool {
        self.0.lease_table() == other.0.lease_table() && self.0.holders().eq(other.0.holders())
    }
}

impl Eq for LogState {}

impl Hash for LogState {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.0.lease_table().hash(hasher);
        for (holder, held) in self.0.holders() {
            (holder, held.serial, held.enforced).hash(hasher);
        }
    }
}

/// A replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Replica {
    /// The state after the commands that it has applied, or will have applied when it starts.
    pub(crate) log: Arc<LogState>,
    /// The replica's expiry tracker; `None` while it does not run.
    pub(crate) expiry: Option<ExpiryTracker>,
}

/// An operation under a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Operation {
    pub(crate) guard: LeaseGuard,
    /// The tick in which it was sent; `None` before it is sent.
    pub(crate) sent_at: Option<u32>,
}

/// A router's process that requests the lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Process {
    pub(crate) leases: TaskLeaseClient,
    pub(crate) next_id: u64,
    pub(crate) renewals: u32,
    pub(crate) operation: Option<Operation>,
}

/// The content of a [`LeaseOffer`], with a total order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct OrderedOffer {
    acknowledged_serial: u64,
    accepts_leases: bool,
    released: Vec<(Shard, u64)>,
    table_revision: u64,
}

impl From<LeaseOffer> for OrderedOffer {
    fn from(offer: LeaseOffer) -> OrderedOffer {
        OrderedOffer {
            acknowledged_serial: offer.acknowledged_serial,
            accepts_leases: offer.accepts_leases,
            released: offer.released,
            table_revision: offer.table_revision,
        }
    }
}

impl From<OrderedOffer> for LeaseOffer {
    fn from(offer: OrderedOffer) -> LeaseOffer {
        LeaseOffer {
            acknowledged_serial: offer.acknowledged_serial,
            accepts_leases: offer.accepts_leases,
            released: offer.released,
            table_revision: offer.table_revision,
        }
    }
}

/// A message in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Message {
    /// A renewal request. A duplicate is not duplicated again.
    Request {
        process: usize,
        id: u64,
        offer: OrderedOffer,
        duplicate: bool,
    },
    /// The response to a renewal, with the fencing token of each lease and whether its release is requested.
    Response {
        process: usize,
        id: u64,
        serial: u64,
        leases: Option<Vec<(u64, bool)>>,
    },
}

/// A state of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// The time, in ticks.
    pub(crate) now: u32,
    pub(crate) log: Arc<LogState>,
    pub(crate) replicas: Vec<Replica>,
    pub(crate) processes: Vec<Process>,
    pub(crate) messages: BTreeSet<Message>,
    pub(crate) crashes: u32,
    pub(crate) duplicates: u32,
    /// The highest fencing token under which an operation has arrived, and the process of that operation.
    pub(crate) latest_operation: Option<(u64, usize)>,
    /// The holder to which each fencing token was assigned.
    pub(crate) assigned: BTreeMap<u64, Holder>,
    /// Violation: an operation has arrived after one with a higher token, or operations of two processes have arrived with
    /// the same token.
    pub(crate) two_holders_acted: bool,
    /// Violation: a fencing token was assigned to two holders.
    pub(crate) token_reused: bool,
    /// Whether operations have arrived under more than one token.
    pub(crate) taken_over: bool,
}

impl State {
    pub(crate) fn is_violation(&self) -> bool {
        self.two_holders_acted || self.token_reused
    }
}

/// A step from one state to the next. Processes, replicas and messages are named by their index.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// The time advances by one tick.
    Tick,
    /// A process sends a renewal.
    Renew(usize),
    /// A renewal request reaches a replica.
    ReceiveRequest {
        /// The message.
        message: usize,
        /// The replica.
        replica: usize,
        /// Whether a duplicate of the message stays in flight.
        duplicated: bool,
    },
    /// A response reaches its process.
    ReceiveResponse(usize),
    /// A replica applies all commands of the log.
    CatchUp(usize),
    /// A replica, as the leader, ends the task leases that have expired.
    ExpireTaskLeases(usize),
    /// A replica, as the leader, ends the configuration leases that have expired.
    ExpireConfigLeases(usize),
    /// A replica stops, and loses its expiry tracker.
    Crash(usize),
    /// A replica starts again, with a new expiry tracker.
    Restart(usize),
    /// A process begins an operation.
    BeginOperation(usize),
    /// A process sends its operation.
    SendOperation(usize),
    /// A process's operation arrives.
    CompleteOperation(usize),
}
