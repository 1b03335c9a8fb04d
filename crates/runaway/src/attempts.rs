//! All attempts that run or may run, by id and by the name of their statement on engines.
//!
//! An abandoned attempt that locks its table group or is over its bound is kept as unconfirmed, because it may still
//! run and block others. It is removed when its engine restarts or when the limits below are reached.

use std::collections::{BTreeMap, HashMap, VecDeque};

use hoptiller_policy::{EngineId, Micros};

use crate::attempt::RunningAttempt;
use crate::interface::{AttemptId, AttemptStart};

/// Maximum number of unconfirmed attempts.
const MAX_UNCONFIRMED: usize = 1024;
/// Time for which an unconfirmed attempt is kept.
const UNCONFIRMED_TTL: Micros = 900_000_000;

/// The table of attempts. Each unconfirmed attempt is also in `by_id`.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    by_id: BTreeMap<AttemptId, RunningAttempt>,
    ids_by_name: HashMap<String, AttemptId>,
    /// Abandoned attempts that their engine may still run, oldest first.
    unconfirmed: VecDeque<AttemptId>,
}

impl Attempts {
    /// Adds an attempt that was sent.
    pub(crate) fn insert(&mut self, now: Micros, start: AttemptStart) {
        let (name, id) = (start.name.clone(), start.attempt);
        self.by_id.insert(id, RunningAttempt::new(now, start));
        self.ids_by_name.insert(name, id);
    }

    /// Removes an attempt that no further reports are expected for.
    pub(crate) fn remove(&mut self, id: AttemptId) -> Option<RunningAttempt> {
        let attempt = self.by_id.remove(&id)?;
        self.unconfirmed.retain(|other| *other != id);
        let name = &attempt.start().name;
        if self.ids_by_name.get(name) == Some(&id) {
            self.ids_by_name.remove(name);
        }
        Some(attempt)
    }

    /// Returns the number of attempts.
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns an attempt by its id.
    pub(crate) fn get(&self, id: AttemptId) -> Option<&RunningAttempt> {
        self.by_id.get(&id)
    }

    /// Returns an attempt by its id, for changes.
    pub(crate) fn get_mut(&mut self, id: AttemptId) -> Option<&mut RunningAttempt> {
        self.by_id.get_mut(&id)
    }

    /// Returns the id of the latest attempt of the statement with this name on engines.
    pub(crate) fn id_by_name(&self, name: &str) -> Option<AttemptId> {
        self.ids_by_name.get(name).copied()
    }

    /// Returns the latest attempt of the statement with this name on engines.
    pub(crate) fn get_by_name(&self, name: &str) -> Option<&RunningAttempt> {
        self.get(self.id_by_name(name)?)
    }

    /// Returns the ids in ascending order.
    pub(crate) fn ids(&self) -> Vec<AttemptId> {
        self.by_id.keys().copied().collect()
    }

    /// Returns the attempts, ordered by id.
    pub(crate) fn values(&self) -> impl Iterator<Item = &RunningAttempt> {
        self.by_id.values()
    }

    /// Returns the attempts for changes, ordered by id.
    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut RunningAttempt> {
        self.by_id.values_mut()
    }

    /// Marks an abandoned attempt as unconfirmed. If there are too many unconfirmed attempts, returns the oldest one,
    /// which the caller has to remove.
    pub(crate) fn mark_unconfirmed(&mut self, id: AttemptId) -> Option<AttemptId> {
        self.unconfirmed.push_back(id);
        if self.unconfirmed.len() > MAX_UNCONFIRMED {
            return self.unconfirmed.front().copied();
        }
        None
    }

    /// Returns the unconfirmed attempts, oldest first.
    pub(crate) fn unconfirmed(&self) -> impl Iterator<Item = &RunningAttempt> {
        self.unconfirmed.iter().filter_map(|id| self.get(*id))
    }

    /// Returns the unconfirmed attempts that have been kept for longer than [`UNCONFIRMED_TTL`].
    pub(crate) fn expired_unconfirmed(&self, now: Micros) -> Vec<AttemptId> {
        let is_expired = |attempt: &&RunningAttempt| {
            attempt
                .abandoned_at()
                .is_some_and(|at| now.saturating_sub(at) > UNCONFIRMED_TTL)
        };
        let expired = self.unconfirmed().filter(is_expired);
        expired.map(|attempt| attempt.start().attempt).collect()
    }

    /// Returns the unconfirmed attempts on an engine.
    pub(crate) fn unconfirmed_on(&self, engine: EngineId) -> Vec<AttemptId> {
        self.unconfirmed()
            .filter(|attempt| attempt.start().engine == engine)
            .map(|attempt| attempt.start().attempt)
            .collect()
    }
}
