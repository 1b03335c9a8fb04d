//! Events that the host passes to the [`Controller`](crate::Controller).

use super::ids::{EngineId, KeyId, Micros, RequestId};
use super::settings::Settings;

/// Readiness of a listed engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// Accepts requests.
    #[default]
    Up,
    /// Shutting down gracefully: completes running requests and accepts no new ones.
    Draining,
    /// No longer available.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default)]
pub struct EndpointEntry {
    /// The engine.
    pub engine: EngineId,
    /// Its zone, if known.
    pub zone: Option<usize>,
    /// Its machine kind, if known.
    pub kind: Option<usize>,
    /// The cell of engines that it belongs to, a possible scope of idempotency keys.
    pub cell: u64,
    /// Time of its latest start; 0: it has been running for long.
    pub ready_at: Micros,
    /// Its readiness.
    pub readiness: Readiness,
}

/// Relation of an endpoint list event to the list known so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Changed entries only.
    Changes,
    /// The complete list.
    All,
    /// The complete list as cached before a restart, possibly stale.
    Cached,
    /// A call to discovery failed; the event has no entries.
    Failed,
}

/// Final status of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// The engine returned the result.
    Succeeded,
    /// The engine returned an error; the request may have run.
    ErrorResponse,
    /// The engine rejected the request as full, without reading it; it did not run.
    Rejected,
    /// No response in time; the request may have run or may still be running.
    TimedOut,
    /// The connection could not be opened; the request did not run.
    ConnectFailed,
    /// The connection broke; the request may have run.
    ConnectionReset,
    /// The attempt was cancelled; the request may have run.
    Cancelled,
    /// The attempt was not sent.
    NotSent,
}

impl AttemptStatus {
    /// Returns whether the request certainly did not run.
    pub(crate) fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }

    /// Returns whether the engine may still be running the request.
    pub(crate) fn may_still_run(self) -> bool {
        matches!(
            self,
            Self::TimedOut | Self::ConnectionReset | Self::Cancelled
        )
    }
}

/// An engine's report of its load. Reports are delayed and noisy.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Queries that the engine is running, from all gateways.
    pub in_flight: Option<f64>,
    /// Granted fraction of the engine's memory.
    pub memory: Option<f64>,
    /// Busy fraction of the engine's cores.
    pub cpu: Option<f64>,
}

/// A newly arrived request.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its id.
    pub request: RequestId,
    /// Its class.
    pub class: usize,
    /// Its tenant, if tenants are configured. No decision uses it yet.
    pub tenant: Option<usize>,
    /// Its ordering key.
    pub key: Option<KeyId>,
    /// Point in time at which the client gives up.
    pub valid_until: Micros,
    /// Estimated work, summed over all threads. No decision uses it yet.
    pub estimated_work: Option<Micros>,
    /// Estimated memory requirement, in MB; 0: no estimate.
    pub estimated_memory_mb: f64,
    /// The table group that it reads or writes, if known.
    pub group: Option<u64>,
    /// Whether the client marked it as a retry.
    pub is_retry: bool,
    /// Its statement kind, which a hold can target.
    pub kind: Option<u64>,
}

/// The set of requests that a hold covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum HoldTarget {
    /// Requests of a statement kind.
    Kind(u64),
    /// Requests of a table group.
    Group(u64),
}

/// A limit on the requests of a target. It replaces the previous hold on the same target; a hold without any limit only
/// lifts the previous one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The requests covered.
    pub target: HoldTarget,
    /// Maximum number of this gateway's attempts in flight at once; `u32::MAX`: no limit.
    pub max_in_flight: u32,
    /// Engines to which none of these requests are sent.
    pub excluded_engines: Vec<EngineId>,
    /// Whether these requests run with the lowest priority inside engines.
    pub low_priority: bool,
}

impl Hold {
    /// Returns whether the hold limits anything; otherwise it only lifts the previous one.
    pub(crate) fn is_effective(&self) -> bool {
        self.max_in_flight < u32::MAX || !self.excluded_engines.is_empty() || self.low_priority
    }
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request.
    pub request: RequestId,
    /// Attempt number, from 0.
    pub attempt: u32,
    /// The engine to which the attempt was sent.
    pub engine: EngineId,
    /// The final status.
    pub status: AttemptStatus,
    /// Time from sending the attempt to its end.
    pub elapsed: Micros,
    /// Whether the request has ended, with this attempt or earlier.
    pub terminal: bool,
    /// Work of the query, if reported.
    pub work: Option<Micros>,
    /// The engine's load, if reported.
    pub report: Option<LoadReport>,
}

/// Progress of an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// Approximate completed share, from 0 to 1.
    Completed(f64),
    /// The query spills to disk because it lacks this much memory, in MB.
    Spilling(f64),
    /// The query is blocked inside the engine, waiting for memory or for a load statement.
    Blocked,
}

/// An event for the controller.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update of the endpoint list.
    EndpointList(ListScope, Vec<EndpointEntry>),
    /// A request has arrived.
    Arrival(Arrival),
    /// An attempt has ended.
    Outcome(Outcome),
    /// Progress of an attempt in flight.
    Progress {
        /// The request.
        request: RequestId,
        /// Attempt number, from 0.
        attempt: u32,
        /// The engine that runs the attempt.
        engine: EngineId,
        /// The progress.
        progress: Progress,
    },
    /// A health check has ended, with a load report if it succeeded.
    HealthChecked(EngineId, Option<LoadReport>),
    /// The client has disconnected; the request needs no response.
    ClientDisconnected(RequestId),
    /// The gateway shuts down before the request completes: the request is abandoned, and the response tells the client
    /// whether a retry is safe.
    Abandoned(RequestId),
    /// A hold begins, changes or ends.
    Hold(Hold),
    /// The settings have changed. Classes, machine kinds and zones keep their numbers; new ones are appended.
    SettingsChanged(Box<Settings>),
    /// A timer has expired.
    Wakeup,
}
