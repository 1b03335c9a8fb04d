//! The wait-for graph of statements, by name. It can contain cycles.

use std::collections::{BTreeMap, BTreeSet};

/// Edges that a search for a cycle follows at most.
const MAX_CHAIN: usize = 64;

/// Which statement waits for which; each waits for one at most.
#[derive(Debug, Default)]
pub(crate) struct WaitGraph {
    holders: BTreeMap<String, String>,
    waiters: BTreeMap<String, Vec<String>>,
}

impl WaitGraph {
    /// Adds that `waiter` waits for `holder`, unless it is known to wait for another.
    pub(crate) fn add_wait(&mut self, waiter: &str, holder: &str) {
        if waiter != holder
            && self
                .holders
                .insert(waiter.to_owned(), holder.to_owned())
                .is_none()
        {
            self.waiters
                .entry(holder.to_owned())
                .or_default()
                .push(waiter.to_owned());
        }
    }

    /// The statements that wait for this one, directly or through others, without itself.
    pub(crate) fn waiters_of(&self, name: &str) -> Vec<&str> {
        let mut all: Vec<&str> = Vec::new();
        let mut seen = BTreeSet::from([name]);
        let mut open = vec![name];
        while let Some(at) = open.pop() {
            for who in self.waiters.get(at).into_iter().flatten() {
                if seen.insert(who) {
                    all.push(who);
                    open.push(who);
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
        let (mut at, mut steps) = (name, Vec::new());
        while steps.len() < MAX_CHAIN {
            let (who, next) = self.holders.get_key_value(at)?;
            steps.push(who.as_str());
            if next == name {
                return Some(steps);
            }
            at = next;
        }
        None
    }
}

#[cfg(test)]
mod tests;
