//! Owns whether all of a kind run long: after a release, say. Then it is the kind that has changed, and its
//! statements are not at fault: one notice, not a hundred.
//!
//! It starts to count with the first that runs long, and counts only what started after it: what ran well before
//! says nothing of what a release did.

use std::collections::{BTreeMap, BTreeSet};

use hoptiller_policy::{EngineId, Micros};

use crate::interface::{AttemptId, FingerprintId};

/// Runs that are long, at least, for a kind to have changed.
const MANY: usize = 4;
/// And their part of all since the first of them.
const MOST: f64 = 0.6;
/// Where all since the first are long, but few are known, the verdict waits so long at most.
const PATIENCE: Micros = 8_000_000;
/// Usual runs since, after which the first long one counts as a stray.
const STRAY: usize = 8;
/// Kinds that are counted at once; the one that is looked at least lately goes.
const KINDS: usize = 256;

/// What can be said of a statement that is over its bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Says {
    /// Others of its kind run as usual: it is at fault.
    Alone,
    /// It is too early to tell.
    Wait,
    /// All run long.
    Changed,
}

#[derive(Debug)]
struct Change {
    since: Micros,
    long: BTreeMap<AttemptId, EngineId>,
    usual: usize,
    looked: Micros,
}

/// Kinds of which something runs long.
#[derive(Debug, Default)]
pub struct Changes {
    of: BTreeMap<FingerprintId, Change>,
}

impl Changes {
    /// A statement runs long, some times as long as usual. `started` is when.
    pub fn long(
        &mut self,
        now: Micros,
        kind: FingerprintId,
        attempt: AttemptId,
        started: Micros,
        engine: EngineId,
    ) {
        if self.of.len() >= KINDS && !self.of.contains_key(&kind) {
            let oldest = self
                .of
                .iter()
                .min_by_key(|(_, c)| c.looked)
                .map(|(id, _)| *id);
            oldest.and_then(|id| self.of.remove(&id));
        }
        let first = || Change {
            since: started,
            long: BTreeMap::new(),
            usual: 0,
            looked: now,
        };
        let c = self.of.entry(kind).or_insert_with(first);
        c.looked = now;
        if c.long.len() < 1024 {
            c.long.insert(attempt, engine);
        }
    }

    /// A statement has run as usual.
    pub fn usual(&mut self, kind: FingerprintId, attempt: AttemptId, started: Micros) {
        let Some(c) = self.of.get_mut(&kind) else {
            return;
        };
        c.long.remove(&attempt);
        c.usual += usize::from(started >= c.since);
        if c.long.is_empty() || (c.usual >= STRAY && (c.long.len() as f64) < MOST * c.usual as f64)
        {
            self.of.remove(&kind);
        }
    }

    /// What to say of one that has been over its bound for some time. With one engine alone, a slow engine can't
    /// be told from a changed kind by where it happens.
    pub fn say(&self, kind: FingerprintId, over_for: Micros, engines: usize) -> Says {
        let Some(c) = self.of.get(&kind) else {
            return Says::Alone;
        };
        let (long, all) = (c.long.len(), c.long.len() + c.usual);
        let places = c.long.values().collect::<BTreeSet<_>>().len();
        let most = long as f64 >= MOST * all as f64;
        if long >= MANY && most && (places > 1 || engines < 2) {
            Says::Changed
        } else if long > 1 && most && over_for < PATIENCE {
            Says::Wait
        } else {
            Says::Alone
        }
    }

    /// The kind's new figures were taken as usual, or it runs as it did.
    pub fn forget(&mut self, kind: FingerprintId) {
        self.of.remove(&kind);
    }

    /// Whether anything is counted of a kind.
    pub fn knows(&self, kind: FingerprintId) -> bool {
        self.of.contains_key(&kind)
    }
}

#[cfg(test)]
mod tests;
