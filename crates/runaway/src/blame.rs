//! Owns who stands behind whom: the graph that engines tell, with circles in it, and where they don't tell, what
//! can be inferred from groups of tables.

use std::collections::{BTreeMap, BTreeSet};

/// Steps of a chain that are followed.
const CHAIN: usize = 64;

/// Who waits for whom, by name.
#[derive(Debug, Default)]
pub struct Waits {
    behind: BTreeMap<String, String>,
    held_up: BTreeMap<String, Vec<String>>,
}

impl Waits {
    /// One stands behind another.
    pub fn add(&mut self, who: &str, behind: &str) {
        if who != behind
            && self
                .behind
                .insert(who.to_owned(), behind.to_owned())
                .is_none()
        {
            self.held_up
                .entry(behind.to_owned())
                .or_default()
                .push(who.to_owned());
        }
    }

    /// Whom others stand behind.
    pub fn holders(&self) -> impl Iterator<Item = &str> {
        self.held_up.keys().map(String::as_str)
    }

    /// Who stands behind this one, directly or further on; without itself.
    pub fn behind(&self, name: &str) -> Vec<&str> {
        let mut all: Vec<&str> = Vec::new();
        let mut seen = BTreeSet::from([name]);
        let mut open = vec![name];
        while let Some(at) = open.pop() {
            for who in self.held_up.get(at).into_iter().flatten() {
                if seen.insert(who) {
                    all.push(who);
                    open.push(who);
                }
            }
        }
        all
    }

    /// Whether it stands behind another.
    pub fn stands(&self, name: &str) -> bool {
        self.behind.contains_key(name)
    }

    /// The circle that this one is part of, itself first.
    pub fn circle(&self, name: &str) -> Option<Vec<&str>> {
        let (mut at, mut steps) = (name, Vec::new());
        while steps.len() < CHAIN {
            let (who, next) = self.behind.get_key_value(at)?;
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
