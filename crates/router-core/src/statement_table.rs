//! The table of statements: open ones, settled ones until they are removed, and the timers of both.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use hoptiller_policy::Micros;

use crate::identity::StatementId;
use crate::statement::Statement;

/// A statement with its accounting in the table.
struct Entry {
    statement: Statement,
    /// The position among the delivered statements, once the statement was counted as delivered.
    delivery: Option<u64>,
    /// Whether to remove the statement once its attempts have ended.
    is_retired: bool,
    /// The time of the statement's timer, if one is set.
    timer_at: Option<Micros>,
}

/// All statements of a router, by number.
#[derive(Default)]
pub(crate) struct StatementTable {
    entries: HashMap<StatementId, Entry>,
    next_id: StatementId,
    open_count: usize,
    undelivered_count: usize,
    next_delivery: u64,
    /// Delivered statements that are retained, oldest first.
    delivered: BTreeMap<u64, StatementId>,
    /// Timers, earliest first; at most one for each statement in the table.
    timers: BTreeSet<(Micros, StatementId)>,
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
            delivery: None,
            is_retired: false,
            timer_at: None,
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
        self.delivered.len()
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
            && entry.delivery.is_none()
            && !entry.is_retired
        {
            entry.delivery = Some(self.next_delivery);
            self.undelivered_count -= 1;
            self.delivered.insert(self.next_delivery, id);
            self.next_delivery += 1;
        }
    }

    /// Sets the timer of a statement in place of its earlier one. Has no effect on a statement that was retired or
    /// removed.
    pub(crate) fn set_timer(&mut self, at: Micros, id: StatementId) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        if entry.is_retired {
            return;
        }
        if let Some(earlier) = entry.timer_at.replace(at) {
            self.timers.remove(&(earlier, id));
        }
        self.timers.insert((at, id));
    }

    /// Returns how many timers are set.
    pub(crate) fn timer_count(&self) -> usize {
        self.timers.len()
    }

    /// Removes a timer that is due and returns its statement.
    pub(crate) fn pop_due_timer(&mut self, now: Micros) -> Option<StatementId> {
        let (at, id) = *self.timers.first()?;
        if at > now {
            return None;
        }
        self.timers.pop_first();
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.timer_at = None;
        }
        Some(id)
    }

    /// Removes a statement once its last attempt has ended. Its timer is removed at once.
    pub(crate) fn retire(&mut self, id: StatementId) {
        if let Some(entry) = self.entries.get_mut(&id)
            && !std::mem::replace(&mut entry.is_retired, true)
        {
            if let Some(at) = entry.timer_at.take() {
                self.timers.remove(&(at, id));
            }
            match entry.delivery {
                Some(position) => _ = self.delivered.remove(&position),
                None => self.undelivered_count -= 1,
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
        while self.delivered.len() > max_retained
            && let Some((_, id)) = self.delivered.first_key_value()
        {
            self.retire(*id);
        }
    }
}

#[cfg(test)]
mod tests;
