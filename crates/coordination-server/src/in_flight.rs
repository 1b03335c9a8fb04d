//! Proposed entries that are not known to be decided, with the requests that wait for their results.

use std::collections::BTreeMap;

use hoptiller_coordination::Micros;

use crate::entry::Entry;
use crate::request::RequestId;
use crate::state_machine::EntryId;

/// Time after which an undecided entry is proposed again if a request waits for it: its message or the leader may be
/// lost.
pub(crate) const REPROPOSE_TIMEOUT: Micros = 700_000;

struct InFlightEntry {
    entry: Entry,
    /// The request of each command; `None` if no caller waits for the response.
    requests: Vec<Option<RequestId>>,
    proposed_at: Micros,
}

impl InFlightEntry {
    fn is_overdue(&self, now: Micros) -> bool {
        now >= self.proposed_at + REPROPOSE_TIMEOUT
    }

    fn has_waiting_request(&self) -> bool {
        self.requests.iter().any(Option::is_some)
    }
}

/// The entries that one replica has in flight.
#[derive(Default)]
pub(crate) struct InFlightEntries {
    by_id: BTreeMap<EntryId, InFlightEntry>,
}

impl InFlightEntries {
    /// Adds an entry that is proposed at `now`, with the request of each of its commands.
    pub(crate) fn insert(
        &mut self,
        now: Micros,
        id: EntryId,
        entry: Entry,
        requests: Vec<Option<RequestId>>,
    ) {
        let in_flight = InFlightEntry {
            entry,
            requests,
            proposed_at: now,
        };
        self.by_id.insert(id, in_flight);
    }

    /// Removes a decided entry and returns the requests of its commands, or no requests if another replica proposed it.
    pub(crate) fn remove(&mut self, id: EntryId) -> Vec<Option<RequestId>> {
        self.by_id
            .remove(&id)
            .map(|in_flight| in_flight.requests)
            .unwrap_or_default()
    }

    /// Records that no caller waits for the response to a request any more.
    pub(crate) fn cancel(&mut self, request: RequestId) {
        let requests = self
            .by_id
            .values_mut()
            .flat_map(|in_flight| &mut in_flight.requests);
        for slot in requests.filter(|slot| **slot == Some(request)) {
            *slot = None;
        }
    }

    /// Returns the overdue entries for which a request waits, to be proposed again, and restarts their timeout at
    /// `now`. Removes other overdue entries, because the expiry check proposes its commands anew and no caller waits
    /// for the rest.
    pub(crate) fn restart_overdue(&mut self, now: Micros) -> Vec<Entry> {
        self.by_id
            .retain(|_, in_flight| !in_flight.is_overdue(now) || in_flight.has_waiting_request());
        self.restart_where(now, |in_flight| in_flight.is_overdue(now))
    }

    /// Returns all entries, to be proposed again, and restarts their timeout at `now`.
    pub(crate) fn restart_all(&mut self, now: Micros) -> Vec<Entry> {
        self.restart_where(now, |_| true)
    }

    fn restart_where(
        &mut self,
        now: Micros,
        predicate: impl Fn(&InFlightEntry) -> bool,
    ) -> Vec<Entry> {
        let selected = self.by_id.values_mut().filter(|entry| predicate(entry));
        selected
            .map(|in_flight| {
                in_flight.proposed_at = now;
                in_flight.entry.clone()
            })
            .collect()
    }
}
