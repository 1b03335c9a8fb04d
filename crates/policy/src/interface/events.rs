//! Events that the host feeds to the [`Controller`](crate::Controller).

use super::ids::{EngineId, KeyId, Micros, RequestId};
use super::settings::Settings;

/// State of a listed engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Readiness {
    /// Accepts work.
    #[default]
    Up,
    /// Graceful shutdown: completes what it has and accepts nothing more.
    Draining,
    /// Gone.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug, Default)]
pub struct EndpointEntry {
    /// The engine.
    pub engine: EngineId,
    /// Its zone, where known.
    pub zone: Option<usize>,
    /// Its machine kind, where known.
    pub kind: Option<usize>,
    /// Its cell.
    pub cell: u64,
    /// Time of its latest start; 0: long ago.
    pub ready_at: Micros,
    /// Its state.
    pub readiness: Readiness,
}

/// How an endpoint list event relates to the list known so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Only changed entries.
    Changes,
    /// The complete list.
    All,
    /// The complete list as cached before a restart; may be stale.
    Cached,
    /// A call to discovery failed; no entries.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStatus {
    /// The engine served it.
    Succeeded,
    /// The engine answered with an error; it may have run.
    ErrorResponse,
    /// The engine rejected it unread; it never ran.
    Rejected,
    /// No answer in time; it may have run or may still run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    ConnectionReset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl AttemptStatus {
    /// The engine has certainly not run it.
    pub(crate) fn never_ran(self) -> bool {
        matches!(self, Self::Rejected | Self::ConnectFailed | Self::NotSent)
    }

    /// The engine may still be running it.
    pub(crate) fn may_still_run(self) -> bool {
        matches!(
            self,
            Self::TimedOut | Self::ConnectionReset | Self::Cancelled
        )
    }
}

/// An engine's report of its load; late and noisy.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Queries that it runs, from all gateways.
    pub in_flight: Option<f64>,
    /// Part of its memory that is granted.
    pub memory: Option<f64>,
    /// Part of its cores that is busy.
    pub cpu: Option<f64>,
}

/// A request that has arrived.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its id.
    pub request: RequestId,
    /// Its class.
    pub class: usize,
    /// Its tenant, where there are any. No decision reads it yet.
    pub tenant: Option<usize>,
    /// Its ordering key.
    pub key: Option<KeyId>,
    /// When the client gives up.
    pub valid_until: Micros,
    /// Estimated work of all threads. No decision reads it yet.
    pub estimated_work: Option<Micros>,
    /// Estimated memory that it needs, in MB; 0: none given.
    pub estimated_memory_mb: f64,
    /// The table group that it reads or writes, where known.
    pub group: Option<u64>,
    /// The client marks it as a retry.
    pub is_retry: bool,
    /// Its statement kind, which a hold may name.
    pub kind: Option<u64>,
}

/// The requests that a hold covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum HoldTarget {
    /// Requests of a statement kind.
    Kind(u64),
    /// Requests of a table group.
    Group(u64),
}

/// A limit on what is sent of some requests. It replaces the one before on the same target; one that limits
/// nothing lifts it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The requests that it covers.
    pub target: HoldTarget,
    /// Attempts that may be in flight at once.
    pub max_in_flight: u32,
    /// Engines that get none of them.
    pub excluded_engines: Vec<EngineId>,
    /// They run behind all others inside engines.
    pub low_priority: bool,
}

impl Hold {
    /// Whether it limits anything; otherwise it only lifts the one before.
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
    /// Where it had been sent.
    pub engine: EngineId,
    /// How it ended.
    pub status: AttemptStatus,
    /// Time since it was sent.
    pub elapsed: Micros,
    /// The request is over, by this or before.
    pub terminal: bool,
    /// Work that the query needed, where reported.
    pub work: Option<Micros>,
    /// The engine's load, where reported.
    pub report: Option<LoadReport>,
}

/// What a progress event says of an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// Share completed, rough.
    Completed(f64),
    /// It lacks so much memory, in MB, and spills to disk.
    Spilling(f64),
    /// It stands still, for memory or behind a load statement.
    Blocked,
}

/// Something that has happened.
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
        /// Where it runs.
        engine: EngineId,
        /// How far it is.
        progress: Progress,
    },
    /// A health check has ended; the report only where it succeeded.
    HealthChecked(EngineId, Option<LoadReport>),
    /// The client has disconnected; no answer is owed.
    ClientDisconnected(RequestId),
    /// The router shuts down before the request could have an answer: it is abandoned, and the client is told
    /// whether trying again is harmless.
    Abandoned(RequestId),
    /// A hold on some requests begins, changes or ends.
    Hold(Hold),
    /// Other settings from now on. Classes, kinds and zones keep their numbers; further ones are appended.
    SettingsChanged(Box<Settings>),
    /// A timer is due.
    Wakeup,
}
