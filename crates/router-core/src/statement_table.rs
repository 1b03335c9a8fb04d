//! The table of statements: open ones, settled ones until they are removed, and the timers of both.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use hoptiller_policy::Micros;

use crate::identity::StatementId;
use crate::statement::Statement;

/// A statement with its accounting in the table.
struct Entry {
    statement: Statement,
    /// Whether the statement was counted as delivered.
    is_delivered: bool,
    /// Whether to remove the statement once its attempts have ended.
    is_retired: bool,
}

/// All statements of a router, by number.
#[derive(Default)]
pub(crate) struct StatementTable {
    entries: HashMap<StatementId, Entry>,
    next_id: StatementId,
    open_count: usize,
    undelivered_count: usize,
    /// Delivered statements, oldest first; some may already have been removed.
    delivered: VecDeque<StatementId>,
    retained_count: usize,
    /// Timers, earliest first.
    timers: BinaryHeap<Reverse<(Micros, StatementId)>>,
}

impl StatementTable {
    /// Inserts a statement under the next number and returns that number.
    pub(crate) fn insert(
        &mut self,
        make_statement: impl FnOnce(StatementId) -> Statement,
    ) -> StatementId {
        let id = self.next_id;
        self.next_id += 1;
        let entry = Entry {
            statement: make_statement(id),
            is_delivered: false,
            is_retired: false,
        };
        self.entries.insert(id, entry);
        self.open_count += 1;
        id
    }

    /// Returns a statement by its number.
    pub(crate) fn get(&self, id: StatementId) -> Option<&Statement> {
        self.entries.get(&id).map(|entry| &entry.statement)
    }

    /// Returns a mutable reference to a statement by its number.
    pub(crate) fn get_mut(&mut self, id: StatementId) -> Option<&mut Statement> {
        self.entries.get_mut(&id).map(|entry| &mut entry.statement)
    }

    /// Returns the number of the next statement to be inserted.
    pub(crate) fn next_id(&self) -> StatementId {
        self.next_id
    }

    /// Returns how many statements have no settled final response.
    pub(crate) fn open_count(&self) -> usize {
        self.open_count
    }

    /// Returns the numbers of the statements whose final response is not settled, in arbitrary order.
    pub(crate) fn open_ids(&self) -> impl Iterator<Item = StatementId> {
        self.entries
            .iter()
            .filter(|(_, entry)| !entry.statement.is_settled())
            .map(|(id, _)| *id)
    }

    /// Returns how many statements have a final response that is settled but not delivered.
    pub(crate) fn undelivered_count(&self) -> usize {
        self.undelivered_count
    }

    /// Returns how many delivered statements are retained for clients that poll again.
    pub(crate) fn retained_count(&self) -> usize {
        self.retained_count
    }

    /// Counts a statement whose final response was settled. [`StatementTable::mark_delivered`] follows, immediately or
    /// on a later poll.
    pub(crate) fn mark_settled(&mut self) {
        self.open_count -= 1;
        self.undelivered_count += 1;
    }

    /// Counts a statement whose final response was delivered or has no recipient. Repeated calls have no effect.
    pub(crate) fn mark_delivered(&mut self, id: StatementId) {
        if let Some(entry) = self.entries.get_mut(&id)
            && !entry.is_delivered
            && !entry.is_retired
        {
            entry.is_delivered = true;
            self.undelivered_count -= 1;
            self.retained_count += 1;
            self.delivered.push_back(id);
        }
    }

    /// Adds a timer for a statement; earlier timers remain.
    pub(crate) fn set_timer(&mut self, at: Micros, id: StatementId) {
        self.timers.push(Reverse((at, id)));
    }

    /// Removes a timer that is due and returns its statement.
    pub(crate) fn pop_due_timer(&mut self, now: Micros) -> Option<StatementId> {
        let Reverse((at, id)) = *self.timers.peek()?;
        if at > now {
            return None;
        }
        self.timers.pop();
        Some(id)
    }

    /// Removes a statement once its last attempt has ended.
    pub(crate) fn retire(&mut self, id: StatementId) {
        if let Some(entry) = self.entries.get_mut(&id)
            && !std::mem::replace(&mut entry.is_retired, true)
        {
            if entry.is_delivered {
                self.retained_count -= 1;
            } else {
                self.undelivered_count -= 1;
            }
        }
        self.remove_if_finished(id);
    }

    /// Removes a retired statement if all its attempts have ended.
    pub(crate) fn remove_if_finished(&mut self, id: StatementId) {
        let is_finished =
            |entry: &Entry| entry.is_retired && entry.statement.attempts().are_all_ended();
        if self.entries.get(&id).is_some_and(is_finished) {
            self.entries.remove(&id);
        }
    }

    /// Retires the oldest delivered statements until at most `max_retained` remain.
    pub(crate) fn trim_retained(&mut self, max_retained: usize) {
        while self.retained_count > max_retained {
            let Some(id) = self.delivered.pop_front() else {
                break;
            };
            self.retire(id);
        }
        // Expired statements are still in the queue, which would otherwise grow without bound.
        while self
            .delivered
            .front()
            .is_some_and(|id| !self.entries.contains_key(id))
        {
            self.delivered.pop_front();
        }
    }
}
