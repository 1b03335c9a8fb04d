//! Owns lists of engines that several have seen: discoveries that disagree, a list that goes back, an engine that only
//! one router sees.
//!
//! What is known of one process only grows: a newer process takes the place of an older one under the same name, and
//! of one process the later state stands. So two lists have one sum, in whatever order they come.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::meet::{Change, Difference, Meet};

/// Engines that are remembered, those that are gone among them.
const MOST: usize = crate::document::MOST_ENGINES;

/// Starts that are so near to each other, in ms, are one process's: it is told by its age, which takes time.
const SAME_PROCESS: u64 = 1500;

/// The state of a process, in the order in which it passes through them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// Takes work.
    Up,
    /// Finishes what it has.
    Draining,
    /// Gone.
    Gone,
}

/// One engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// When its process began, in ms since 1970: tells processes of one name apart.
    pub started: u64,
    /// Its state.
    pub standing: Standing,
}

impl Member {
    /// What both together tell.
    pub fn later(self, other: Member) -> Member {
        match self.started.cmp(&other.started) {
            std::cmp::Ordering::Less => other,
            std::cmp::Ordering::Greater => self,
            std::cmp::Ordering::Equal => Member {
                standing: self.standing.max(other.standing),
                ..self
            },
        }
    }
}

impl Meet for Member {
    fn meet(&self, other: &Member) -> Member {
        self.later(*other)
    }

    fn differences(&self, new: &Member, path: &str, into: &mut Vec<Difference>) {
        if self != new {
            // A process that goes on to a later state permits less; any other step can permit what was forbidden.
            let on = self.started == new.started && new.standing > self.standing;
            let change = if on { Change::Tighter } else { Change::Both };
            into.push(Difference {
                path: path.to_owned(),
                change,
            });
        }
    }
}

/// Engines by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster(pub BTreeMap<String, Member>);

impl Meet for Roster {
    /// Engines that both name, in their later state.
    fn meet(&self, other: &Roster) -> Roster {
        let both = self
            .0
            .iter()
            .filter_map(|(name, m)| Some((name.clone(), m.later(*other.0.get(name)?))));
        Roster(both.collect())
    }

    fn differences(&self, new: &Roster, path: &str, into: &mut Vec<Difference>) {
        <crate::meet::Each as crate::meet::Rule<_>>::differences(&self.0, &new.0, path, into);
    }
}

impl Roster {
    /// Whether a process that began then may get work.
    pub fn takes_work(&self, name: &str, started: u64) -> bool {
        match self.0.get(name) {
            None => false,
            Some(m) if started > m.started + SAME_PROCESS => true,
            Some(m) => started + SAME_PROCESS >= m.started && m.standing == Standing::Up,
        }
    }
}

/// What one source, a discovery as one router reads it, has told.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    sources: BTreeMap<String, Roster>,
    sum: Roster,
}

/// What came of a list that a source told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Told {
    /// Engines of which the source now tells less than it did: its list went back. They keep what was known.
    pub went_back: Vec<String>,
    /// Engines on which another source tells something else.
    pub disputed: Vec<String>,
    /// The sum has changed.
    pub changed: bool,
}

impl Seen {
    /// A source has told its whole list. Engines that it no longer names are left to the others; what nobody names any
    /// more is gone.
    pub fn tell(&mut self, source: &str, list: Roster) -> Told {
        let mut told = Told::default();
        for (name, now) in &list.0 {
            if self
                .sum
                .0
                .get(name)
                .is_some_and(|known| known.later(*now) != *now)
            {
                told.went_back.push(name.clone());
            }
            let other = self
                .sources
                .iter()
                .filter(|(s, _)| *s != source)
                .any(|(_, l)| l.0.get(name) != Some(now));
            if other {
                told.disputed.push(name.clone());
            }
        }
        self.sources.insert(source.to_owned(), list);
        let mut sum = Roster::default();
        for (name, member) in self.sources.values().flat_map(|l| &l.0) {
            let known = self
                .sum
                .0
                .get(name)
                .copied()
                .filter(|k| k.started >= member.started);
            let so_far = sum.0.get(name).copied().or(known).unwrap_or(*member);
            sum.0.insert(name.clone(), so_far.later(*member));
        }
        for (name, known) in &self.sum.0 {
            sum.0.entry(name.clone()).or_insert(Member {
                standing: Standing::Gone,
                ..*known
            });
        }
        // What is gone is remembered, so that an old list does not bring it back, but not without bound.
        while sum.0.len() > MOST {
            let gone = sum.0.iter().filter(|(_, m)| m.standing == Standing::Gone);
            let Some(oldest) = gone.min_by_key(|(_, m)| m.started).map(|(n, _)| n.clone()) else {
                break;
            };
            sum.0.remove(&oldest);
        }
        told.changed = sum != self.sum;
        self.sum = sum;
        told
    }

    /// A source is no longer heard: what it told last no longer counts.
    pub fn forget(&mut self, source: &str) {
        self.sources.remove(source);
    }

    /// What all together tell.
    pub fn sum(&self) -> &Roster {
        &self.sum
    }

    /// Engines that only one of several sources names.
    pub fn seen_by_one(&self) -> Vec<String> {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for name in self.sources.values().flat_map(|l| l.0.keys()) {
            *counts.entry(name).or_default() += 1;
        }
        let alone = counts
            .into_iter()
            .filter(|(_, n)| *n == 1 && self.sources.len() > 1);
        alone.map(|(name, _)| name.to_owned()).collect()
    }
}
