//! All attempts that run or may run, by id and by the name that engines know them by.
//!
//! An attempt is kept after its router stopped waiting for it while its engine may still run it: such an attempt often
//! blocks others. It is unconfirmed from then on.

use std::collections::{BTreeMap, HashMap, VecDeque};

use hoptiller_policy::{EngineId, Micros};

use crate::attempt::RunningAttempt;
use crate::interface::{AttemptId, AttemptStart};

/// Unconfirmed attempts that are kept at most.
const MAX_UNCONFIRMED: usize = 1024;
/// An unconfirmed attempt is kept for this long.
const UNCONFIRMED_TTL: Micros = 900_000_000;

/// The table of attempts. An unconfirmed attempt is always in it by its id.
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

    /// Removes an attempt of which nothing more can be learned.
    pub(crate) fn remove(&mut self, id: AttemptId) -> Option<RunningAttempt> {
        let attempt = self.by_id.remove(&id)?;
        self.unconfirmed.retain(|other| *other != id);
        let name = &attempt.start().name;
        if self.ids_by_name.get(name) == Some(&id) {
            self.ids_by_name.remove(name);
        }
        Some(attempt)
    }

    /// Number of attempts.
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// An attempt by its id.
    pub(crate) fn get(&self, id: AttemptId) -> Option<&RunningAttempt> {
        self.by_id.get(&id)
    }

    /// An attempt by its id.
    pub(crate) fn get_mut(&mut self, id: AttemptId) -> Option<&mut RunningAttempt> {
        self.by_id.get_mut(&id)
    }

    /// The id of the attempt that engines know by this name.
    pub(crate) fn id_by_name(&self, name: &str) -> Option<AttemptId> {
        self.ids_by_name.get(name).copied()
    }

    /// The attempt that engines know by this name.
    pub(crate) fn get_by_name(&self, name: &str) -> Option<&RunningAttempt> {
        self.get(self.id_by_name(name)?)
    }

    /// The ids, in order.
    pub(crate) fn ids(&self) -> Vec<AttemptId> {
        self.by_id.keys().copied().collect()
    }

    /// The attempts, in order of their ids.
    pub(crate) fn values(&self) -> impl Iterator<Item = &RunningAttempt> {
        self.by_id.values()
    }

    /// The attempts, in order of their ids.
    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut RunningAttempt> {
        self.by_id.values_mut()
    }

    /// Marks an abandoned attempt as one that its engine may still run. Returns the oldest such attempt if there are
    /// too many: it is to be removed.
    pub(crate) fn mark_unconfirmed(&mut self, id: AttemptId) -> Option<AttemptId> {
        self.unconfirmed.push_back(id);
        if self.unconfirmed.len() > MAX_UNCONFIRMED {
            return self.unconfirmed.front().copied();
        }
        None
    }

    /// The unconfirmed attempts, oldest first.
    pub(crate) fn unconfirmed(&self) -> impl Iterator<Item = &RunningAttempt> {
        self.unconfirmed.iter().filter_map(|id| self.get(*id))
    }

    /// The unconfirmed attempts that have been kept for long enough.
    pub(crate) fn expired_unconfirmed(&self, now: Micros) -> Vec<AttemptId> {
        let is_expired = |attempt: &&RunningAttempt| {
            attempt
                .abandoned_at()
                .is_some_and(|at| now.saturating_sub(at) > UNCONFIRMED_TTL)
        };
        let expired = self.unconfirmed().filter(is_expired);
        expired.map(|attempt| attempt.start().attempt).collect()
    }

    /// The unconfirmed attempts of an engine.
    pub(crate) fn unconfirmed_at(&self, engine: EngineId) -> Vec<AttemptId> {
        self.unconfirmed()
            .filter(|attempt| attempt.start().engine == engine)
            .map(|attempt| attempt.start().attempt)
            .collect()
    }
}
