//! Proposed entries that are not known to be decided, with the requests that wait for them.

use std::collections::BTreeMap;

use hoptiller_coordination::Micros;

use crate::entry::Entry;
use crate::request::RequestId;
use crate::state_machine::EntryId;

/// An entry that is not decided by then is proposed again: its message was lost, or its leader.
pub(crate) const REPROPOSE_AFTER: Micros = 700_000;

struct InFlightEntry {
    entry: Entry,
    /// The request of each command; `None` once nobody waits for its response.
    requests: Vec<Option<RequestId>>,
    proposed_at: Micros,
}

impl InFlightEntry {
    fn is_overdue(&self, now: Micros) -> bool {
        now >= self.proposed_at + REPROPOSE_AFTER
    }

    fn is_awaited(&self) -> bool {
        self.requests.iter().any(Option::is_some)
    }
}

/// The entries in flight of one replica.
#[derive(Default)]
pub(crate) struct InFlightEntries {
    by_id: BTreeMap<EntryId, InFlightEntry>,
}

impl InFlightEntries {
    /// Adds an entry that is proposed now, with the request of each of its commands.
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

    /// Removes a decided entry. Returns the requests of its commands; none if another replica proposed it.
    pub(crate) fn remove(&mut self, id: EntryId) -> Vec<Option<RequestId>> {
        self.by_id
            .remove(&id)
            .map(|in_flight| in_flight.requests)
            .unwrap_or_default()
    }

    /// Nobody waits for the response to a request any more.
    pub(crate) fn cancel(&mut self, request: RequestId) {
        let requests = self
            .by_id
            .values_mut()
            .flat_map(|in_flight| &mut in_flight.requests);
        for slot in requests.filter(|slot| **slot == Some(request)) {
            *slot = None;
        }
    }

    /// The entries that are overdue, to be proposed again now. Those that nobody waits for are dropped.
    pub(crate) fn take_overdue(&mut self, now: Micros) -> Vec<Entry> {
        self.by_id
            .retain(|_, in_flight| !in_flight.is_overdue(now) || in_flight.is_awaited());
        self.restart(now, |in_flight| in_flight.is_overdue(now))
    }

    /// All entries, to be proposed again now.
    pub(crate) fn take_all(&mut self, now: Micros) -> Vec<Entry> {
        self.restart(now, |_| true)
    }

    fn restart(&mut self, now: Micros, is_chosen: impl Fn(&InFlightEntry) -> bool) -> Vec<Entry> {
        let chosen = self.by_id.values_mut().filter(|entry| is_chosen(entry));
        chosen
            .map(|in_flight| {
                in_flight.proposed_at = now;
                in_flight.entry.clone()
            })
            .collect()
    }
}
