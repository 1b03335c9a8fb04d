//! Open requests: what they brought along, and the state that each rule keeps of them.

use std::collections::{BTreeMap, BTreeSet};

use crate::class_queue::QueueEntry;
use crate::hold::HoldTargets;
use crate::interface::{KeyId, Micros, RequestId};
use crate::memory_grant::MemoryGrant;
use crate::outlier_detection::RequestFailures;
use crate::retry::AttemptHistory;

/// An open request, or one that has its answer while an attempt is still in flight.
#[derive(Default)]
pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) key: Option<KeyId>,
    /// When the client gives up.
    pub(crate) valid_until: Micros,
    /// When the client began its first try, as far as can be told.
    pub(crate) started_at: Micros,
    pub(crate) arrived_at: Micros,
    pub(crate) hold_targets: HoldTargets,
    /// Its position in the class queue while it waits there.
    pub(crate) queue_entry: Option<QueueEntry>,
    pub(crate) attempts: AttemptHistory,
    pub(crate) memory: MemoryGrant,
    pub(crate) failures: RequestFailures,
    /// An attempt was cancelled for its slow pace.
    pub(crate) cancelled_for_pace: bool,
    /// The final answer is given, or none is owed any more.
    pub(crate) done: bool,
}

impl Request {
    pub(crate) fn is_late(&self) -> bool {
        self.queue_entry.is_some_and(|entry| entry.late)
    }
}

/// All open requests, and those that wait for an answer by the time their client gives up.
#[derive(Default)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestId, Request>,
    deadlines: BTreeSet<(Micros, RequestId)>,
}

impl RequestTable {
    pub(crate) fn insert(&mut self, id: RequestId, request: Request) {
        self.deadlines.insert((request.valid_until, id));
        self.requests.insert(id, request);
    }

    pub(crate) fn contains(&self, id: RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&Request> {
        self.requests.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.requests.get_mut(&id)
    }

    /// Number of requests whose answer is owed and whose deadline has not come.
    pub(crate) fn waiting_count(&self) -> usize {
        self.deadlines.len()
    }

    /// Takes the next request whose client gives up at `until` or before; each is returned once.
    pub(crate) fn take_expired(&mut self, until: Micros) -> Option<RequestId> {
        let (deadline, _) = self.deadlines.first()?;
        if *deadline > until {
            return None;
        }
        self.deadlines.pop_first().map(|(_, id)| id)
    }

    /// Marks a request as answered. Returns whether its answer was still owed.
    pub(crate) fn mark_done(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get_mut(&id).filter(|request| !request.done) else {
            return false;
        };
        request.done = true;
        self.deadlines.remove(&(request.valid_until, id));
        true
    }

    pub(crate) fn remove(&mut self, id: RequestId) -> Option<Request> {
        self.requests.remove(&id)
    }
}
