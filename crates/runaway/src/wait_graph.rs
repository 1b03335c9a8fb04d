//! The wait-for graph of statements, by name. It can contain cycles: deadlocks.

use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of edges that a search for a cycle follows.
const MAX_CHAIN: usize = 64;

/// The waits between statements.
#[derive(Debug, Default)]
pub(crate) struct WaitGraph {
    /// By waiter: the statement that it waits for.
    blockers: BTreeMap<String, String>,
    /// By blocker: the statements that wait for it.
    waiters: BTreeMap<String, Vec<String>>,
}

impl WaitGraph {
    /// Adds a wait of `waiter` for `blocker`. An attempt is expected to wait for one statement; if it waits for
    /// several, it counts as a waiter of the first one, and a search for a cycle follows the last one.
    pub(crate) fn add_wait(&mut self, waiter: &str, blocker: &str) {
        if waiter == blocker {
            return;
        }
        let previous = self.blockers.insert(waiter.to_owned(), blocker.to_owned());
        if previous.is_none() {
            let waiters = self.waiters.entry(blocker.to_owned()).or_default();
            waiters.push(waiter.to_owned());
        }
    }

    /// Returns the other statements that wait for this one, directly or through others.
    pub(crate) fn waiters_of(&self, name: &str) -> Vec<&str> {
        let mut all: Vec<&str> = Vec::new();
        let mut visited = BTreeSet::from([name]);
        let mut pending = vec![name];
        while let Some(blocker) = pending.pop() {
            for waiter in self.waiters.get(blocker).into_iter().flatten() {
                if visited.insert(waiter) {
                    all.push(waiter);
                    pending.push(waiter);
                }
            }
        }
        all
    }

    /// Returns the other statements that wait for this one as owned names.
    pub(crate) fn waiter_names(&self, name: &str) -> Vec<String> {
        self.waiters_of(name)
            .into_iter()
            .map(str::to_owned)
            .collect()
    }

    /// Returns whether a statement waits for another.
    pub(crate) fn is_waiting(&self, name: &str) -> bool {
        self.blockers.contains_key(name)
    }

    /// Returns the cycle that a statement is part of, starting with the statement itself.
    pub(crate) fn cycle(&self, name: &str) -> Option<Vec<&str>> {
        let mut cycle = Vec::new();
        let mut current = name;
        while cycle.len() < MAX_CHAIN {
            let (waiter, blocker) = self.blockers.get_key_value(current)?;
            cycle.push(waiter.as_str());
            if blocker == name {
                return Some(cycle);
            }
            current = blocker;
        }
        None
    }
}

#[cfg(test)]
mod tests;
