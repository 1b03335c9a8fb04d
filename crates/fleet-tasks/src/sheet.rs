//! Owns what is noted of engines' own states: since when each has run, and whether it drains.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// Starts that are so near to each other, in ms, are one process's: they are told by its age, which takes time.
const SAME_PROCESS: u64 = 1500;

/// What an engine told of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Seen {
    /// When its process began, in ms since 1970, by the clock of the router that asked.
    pub started: u64,
    /// It takes nothing new.
    pub draining: bool,
}

/// What the engines of one part told.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sheet(pub BTreeMap<String, Seen>);

impl Sheet {
    /// Reads a note; one that can't be read is an empty one, as its writer asks all engines again.
    pub fn read(note: &str) -> Sheet {
        serde_json::from_str(note).unwrap_or_default()
    }

    /// The note.
    pub fn text(&self) -> String {
        // Plain data with text keys: it always has a JSON form.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// An engine has told. Returns whether that is news: the age of a process that is known is not.
    pub fn tell(&mut self, engine: &str, now: Seen) -> bool {
        match self.0.get_mut(engine) {
            Some(known) if known.started.abs_diff(now.started) <= SAME_PROCESS => {
                let news = known.draining != now.draining;
                known.draining = now.draining;
                news
            }
            _ => {
                self.0.insert(engine.to_owned(), now);
                true
            }
        }
    }

    /// Only these engines are there. Returns whether others were known.
    pub fn keep(&mut self, engines: &BTreeSet<String>) -> bool {
        let before = self.0.len();
        self.0.retain(|name, _| engines.contains(name));
        self.0.len() != before
    }
}

#[cfg(test)]
mod tests;
