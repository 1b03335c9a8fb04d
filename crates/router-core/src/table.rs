//! Owns the table of statements: open ones, answered ones that are kept a while, and who is due for a look.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use hoptiller_policy::Micros;

use super::StatementId;
use super::statement::Statement;

#[derive(Default)]
pub(super) struct Table {
    all: HashMap<StatementId, Statement>,
    next: StatementId,
    open: usize,
    undelivered: usize,
    /// Answered ones, oldest first; some may have gone since.
    answered: VecDeque<StatementId>,
    kept: usize,
    due: BinaryHeap<Reverse<(Micros, StatementId)>>,
}

impl Table {
    pub(super) fn insert(&mut self, make: impl FnOnce(StatementId) -> Statement) -> StatementId {
        let id = self.next;
        self.next += 1;
        self.all.insert(id, make(id));
        self.open += 1;
        id
    }

    pub(super) fn get(&self, id: StatementId) -> Option<&Statement> {
        self.all.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: StatementId) -> Option<&mut Statement> {
        self.all.get_mut(&id)
    }

    /// The number of the next statement.
    pub(super) fn next(&self) -> StatementId {
        self.next
    }

    /// Those whose final answer is not settled.
    pub(super) fn open(&self) -> usize {
        self.open
    }

    /// The numbers of those.
    pub(super) fn unsettled(&self) -> impl Iterator<Item = StatementId> {
        self.all
            .iter()
            .filter(|(_, s)| !s.is_settled())
            .map(|(id, _)| *id)
    }

    /// Those whose final answer is settled, and was not given out.
    pub(super) fn undelivered(&self) -> usize {
        self.undelivered
    }

    /// Those that are kept for clients that ask again.
    pub(super) fn kept(&self) -> usize {
        self.kept
    }

    /// The final answer is settled.
    pub(super) fn settled(&mut self) {
        self.open -= 1;
        self.undelivered += 1;
        // Counted as given out by `given`, at once or at a later poll.
    }

    /// The final answer was given out, or nobody will take it.
    pub(super) fn given(&mut self, id: StatementId) {
        if let Some(s) = self.all.get_mut(&id)
            && !s.counted
            && !s.retired
        {
            s.counted = true;
            self.undelivered -= 1;
            self.kept += 1;
            self.answered.push_back(id);
        }
    }

    /// Asks for a look at `at`.
    pub(super) fn watch(&mut self, at: Micros, id: StatementId) {
        self.due.push(Reverse((at, id)));
    }

    /// One whose look is due.
    pub(super) fn due(&mut self, now: Micros) -> Option<StatementId> {
        let Reverse((at, id)) = *self.due.peek()?;
        if at > now {
            return None;
        }
        self.due.pop();
        Some(id)
    }

    /// Forgets a statement, or has it forgotten once its last attempt has ended.
    pub(super) fn retire(&mut self, id: StatementId) {
        if let Some(s) = self.all.get_mut(&id)
            && !std::mem::replace(&mut s.retired, true)
        {
            if s.counted {
                self.kept -= 1;
            } else {
                self.undelivered -= 1;
            }
        }
        self.drop_if_over(id);
    }

    /// Forgets a retired statement whose attempts have all ended.
    pub(super) fn drop_if_over(&mut self, id: StatementId) {
        if self.all.get(&id).is_some_and(|s| s.retired && s.is_quiet()) {
            self.all.remove(&id);
        }
    }

    /// Keeps no more answered ones than `most`, the youngest.
    pub(super) fn trim(&mut self, most: usize) {
        while self.kept > most {
            let Some(id) = self.answered.pop_front() else {
                break;
            };
            self.retire(id);
        }
        // Danger: those that time has removed stay in the line and would grow it without bound.
        while self
            .answered
            .front()
            .is_some_and(|id| !self.all.contains_key(id))
        {
            self.answered.pop_front();
        }
    }
}
