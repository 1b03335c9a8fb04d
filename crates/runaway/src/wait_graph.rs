//! The wait-for graph of statements, by name. It can contain cycles: deadlocks.

use std::collections::{BTreeMap, BTreeSet};

/// Edges that a search for a cycle follows at most.
const MAX_CHAIN: usize = 64;

/// Which statement waits for which.
#[derive(Debug, Default)]
pub(crate) struct WaitGraph {
    holders: BTreeMap<String, String>,
    waiters: BTreeMap<String, Vec<String>>,
}

impl WaitGraph {
    /// Adds that `waiter` waits for `holder`. Of several holders, the first has the waiter among its own, and the last
    /// is the one that a search for a cycle follows.
    pub(crate) fn add_wait(&mut self, waiter: &str, holder: &str) {
        if waiter == holder {
            return;
        }
        let previous = self.holders.insert(waiter.to_owned(), holder.to_owned());
        if previous.is_none() {
            let waiters = self.waiters.entry(holder.to_owned()).or_default();
            waiters.push(waiter.to_owned());
        }
    }

    /// The statements that wait for this one, directly or through others, without itself.
    pub(crate) fn waiters_of(&self, name: &str) -> Vec<&str> {
        let mut all: Vec<&str> = Vec::new();
        let mut visited = BTreeSet::from([name]);
        let mut pending = vec![name];
        while let Some(holder) = pending.pop() {
            for waiter in self.waiters.get(holder).into_iter().flatten() {
                if visited.insert(waiter) {
                    all.push(waiter);
                    pending.push(waiter);
                }
            }
        }
        all
    }

    /// The same as owned names.
    pub(crate) fn waiter_names(&self, name: &str) -> Vec<String> {
        self.waiters_of(name)
            .into_iter()
            .map(str::to_owned)
            .collect()
    }

    /// Whether a statement waits for another.
    pub(crate) fn is_waiting(&self, name: &str) -> bool {
        self.holders.contains_key(name)
    }

    /// The cycle that a statement is part of, itself first.
    pub(crate) fn cycle(&self, name: &str) -> Option<Vec<&str>> {
        let mut cycle = Vec::new();
        let mut current = name;
        while cycle.len() < MAX_CHAIN {
            let (waiter, holder) = self.holders.get_key_value(current)?;
            cycle.push(waiter.as_str());
            if holder == name {
                return Some(cycle);
            }
            current = holder;
        }
        None
    }
}

#[cfg(test)]
mod tests;
