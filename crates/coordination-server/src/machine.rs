//! Owns what entries are applied to: the fleet's state, and which entries it has seen. An entry that a keeper proposed
//! twice, as it did not know what became of it, acts once.

use std::collections::{BTreeMap, BTreeSet};

use hoptiller_coordination::{Command, CommandResponse, ConfigState};
use serde::{Deserialize, Serialize};

use crate::log::EntryId;

/// Numbers of one keeper's entries that are told apart; what is older than these counts as seen.
const WINDOW: usize = 1024;

/// Entries of one keeper's last life.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Seen {
    life: u64,
    numbers: BTreeSet<u64>,
    /// All below count as seen.
    floor: u64,
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    fleet: ConfigState,
    seen: BTreeMap<u64, Seen>,
}

impl Machine {
    /// Applies an entry's acts. `None`: it was applied before.
    pub fn apply(&mut self, id: EntryId, acts: Vec<Command>) -> Option<Vec<CommandResponse>> {
        let seen = self.seen.entry(id.keeper).or_default();
        if id.life < seen.life {
            return None;
        }
        if id.life > seen.life {
            *seen = Seen {
                life: id.life,
                ..Seen::default()
            };
        }
        if id.number < seen.floor || !seen.numbers.insert(id.number) {
            return None;
        }
        while seen.numbers.len() > WINDOW {
            if let Some(oldest) = seen.numbers.pop_first() {
                seen.floor = oldest + 1;
            }
        }
        Some(acts.into_iter().map(|act| self.fleet.apply(act)).collect())
    }

    /// The fleet's state.
    pub fn fleet(&self) -> &ConfigState {
        &self.fleet
    }
}

#[cfg(test)]
mod tests;
