//! Open requests: their properties, and the state kept by each mechanism.

use std::collections::{BTreeMap, BTreeSet};

use crate::class_queue::QueueEntry;
use crate::hold::StatementProperties;
use crate::interface::{KeyId, Micros, RequestId};
use crate::memory_grant::MemoryGrant;
use crate::outlier_detection::RequestFailures;
use crate::retry::AttemptHistory;

/// An open request, or a completed one that still has an attempt in flight.
#[derive(Default)]
pub(crate) struct Request {
    pub(crate) class: usize,
    pub(crate) key: Option<KeyId>,
    /// Deadline, at which the client gives up.
    pub(crate) valid_until: Micros,
    /// Estimated time at which the client first sent the request.
    pub(crate) first_sent_at: Micros,
    pub(crate) arrived_at: Micros,
    pub(crate) properties: StatementProperties,
    /// Entry in the class queue while the request is queued.
    pub(crate) queue_entry: Option<QueueEntry>,
    pub(crate) attempts: AttemptHistory,
    pub(crate) memory: MemoryGrant,
    pub(crate) failures: RequestFailures,
    /// Whether an attempt was cancelled for its slow pace.
    pub(crate) cancelled_for_pace: bool,
    /// Whether the final response was given, or none is needed any more.
    pub(crate) done: bool,
}

impl Request {
    pub(crate) fn is_late(&self) -> bool {
        self.queue_entry.is_some_and(|entry| entry.late)
    }
}

/// All open requests, and the deadlines of those without a final response.
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

    /// Returns the number of requests, queued or in flight, that have no final response and have not expired.
    pub(crate) fn pending_count(&self) -> usize {
        self.deadlines.len()
    }

    /// Returns the next request whose deadline is at `until` or before. Returns each request only once.
    pub(crate) fn take_expired(&mut self, until: Micros) -> Option<RequestId> {
        let (deadline, _) = self.deadlines.first()?;
        if *deadline > until {
            return None;
        }
        self.deadlines.pop_first().map(|(_, id)| id)
    }

    /// Marks a request as done. Returns whether it was not done before.
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
