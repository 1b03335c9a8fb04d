//! Owns how many of a held kind may run at once, and where, and how that grows back.
//!
//! A hold starts at one statement at once, on the one engine that all routers choose alike. Each `CLEAN` runs
//! within half of the bound double it; a further runaway takes it back to one and asks for twice as many clean
//! runs. At `FREE` it is lifted. A kind of which nothing comes any more is freed by time, a step each
//! `IDLE_STEP`. A group of tables that a runaway holds at an engine is kept away from there while it does.

use std::collections::BTreeMap;

use hoptiller_policy::{EngineId, Hold, HoldTarget, Micros};
use serde::{Deserialize, Serialize};

use crate::interface::{EngineStatus, FingerprintId};

/// Clean runs for a step, at first.
const CLEAN: u32 = 3;
/// And at most.
const MOST_CLEAN: u32 = 48;
/// At this many at once, a hold is lifted.
const FREE: u32 = 8;
/// Time without any run of the kind after which a hold grows a step.
const IDLE_STEP: Micros = 300_000_000;
/// Holds at most; the one that is nearest to its end goes first.
const MOST_HOLDS: usize = 256;

/// A held kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KindHold {
    /// Its class.
    pub class: usize,
    /// Its text, for people.
    pub label: String,
    /// How many may run at once, those that ran away not counted.
    pub at_once: u32,
    /// Clean runs since the last step, and how many the next one takes.
    pub clean: u32,
    /// See there.
    pub wanted: u32,
    /// Since when.
    pub since: Micros,
    /// When something of the kind last ended.
    pub last: Micros,
    /// It also runs behind all others inside engines.
    pub lower: bool,
    /// Runaways of the kind that are out: they take no place of the others.
    #[serde(skip)]
    pub out: u32,
}

/// All holds.
#[derive(Debug, Default)]
pub struct Holds {
    pub(crate) kinds: BTreeMap<FingerprintId, KindHold>,
    /// Groups and the engines that they are kept away from.
    pub(crate) groups: BTreeMap<u64, Vec<EngineId>>,
    engines: Vec<EngineStatus>,
    /// What was told last of each, so that only news is told.
    told: BTreeMap<HoldTarget, Hold>,
}

impl Holds {
    /// A runaway of a kind was found.
    pub fn found(
        &mut self,
        now: Micros,
        kind: FingerprintId,
        class: usize,
        label: &str,
        lower: bool,
    ) {
        if self.kinds.len() >= MOST_HOLDS && !self.kinds.contains_key(&kind) {
            let nearest = self
                .kinds
                .iter()
                .max_by_key(|(_, h)| (h.at_once, std::cmp::Reverse(h.last)));
            if let Some(id) = nearest.map(|(id, _)| *id) {
                self.kinds.remove(&id);
            }
        }
        match self.kinds.get_mut(&kind) {
            Some(h) => {
                h.wanted = (h.wanted * 2).min(MOST_CLEAN);
                (h.at_once, h.clean, h.last, h.out) = (1, 0, now, h.out + 1);
            }
            None => {
                let (label, wanted) = (label.to_owned(), CLEAN);
                let (at_once, clean, since, last, out) = (1, 0, now, now, 1);
                let hold = KindHold {
                    class,
                    label,
                    at_once,
                    clean,
                    wanted,
                    since,
                    last,
                    lower,
                    out,
                };
                self.kinds.insert(kind, hold);
            }
        }
    }

    /// A runaway of a held kind is over.
    pub fn over(&mut self, now: Micros, kind: FingerprintId) {
        if let Some(h) = self.kinds.get_mut(&kind) {
            h.out = h.out.saturating_sub(1);
            h.last = now;
        }
    }

    /// A statement of a kind has ended, within half of its bound or not.
    pub fn ended(&mut self, now: Micros, kind: FingerprintId, clean: bool) {
        let Some(h) = self.kinds.get_mut(&kind) else {
            return;
        };
        h.last = now;
        if !clean {
            h.clean = 0;
            return;
        }
        h.clean += 1;
        if h.clean >= h.wanted {
            (h.at_once, h.clean) = ((h.at_once * 2).min(FREE), 0);
        }
        if h.at_once >= FREE && h.out == 0 {
            self.kinds.remove(&kind);
        }
    }

    /// An operator frees a kind. False where it is not held.
    pub fn release(&mut self, kind: FingerprintId) -> bool {
        self.kinds.remove(&kind).is_some()
    }

    /// Keeps a group of tables away from engines, or no longer from any.
    pub fn keep_away(&mut self, groups: BTreeMap<u64, Vec<EngineId>>) {
        self.groups = groups;
    }

    /// The engine list.
    pub fn listed(&mut self, engines: &[EngineStatus]) {
        self.engines = engines.to_vec();
    }

    /// Frees by time.
    pub fn tick(&mut self, now: Micros) {
        for h in self.kinds.values_mut().filter(|h| h.out == 0) {
            if now.saturating_sub(h.last) >= IDLE_STEP {
                (h.at_once, h.clean, h.last) = ((h.at_once * 2).min(FREE), 0, now);
            }
        }
        self.kinds.retain(|_, h| h.at_once < FREE || h.out > 0);
    }

    /// Holds that are new or have changed since the last call; lifted ones as holds without a bound.
    pub fn news(&mut self) -> Vec<Hold> {
        let mut wanted: BTreeMap<HoldTarget, Hold> = BTreeMap::new();
        for (kind, h) in &self.kinds {
            let of = HoldTarget::Kind(kind.0);
            let closed = self.closed_to(*kind, h);
            wanted.insert(
                of,
                Hold {
                    target: of,
                    max_in_flight: h.at_once + h.out,
                    excluded_engines: closed,
                    low_priority: h.lower,
                },
            );
        }
        for (group, engines) in &self.groups {
            let of = HoldTarget::Group(*group);
            // Danger: kept away from every engine, it would never run.
            let up: Vec<EngineId> = self
                .engines
                .iter()
                .filter(|e| e.up)
                .map(|e| e.engine)
                .collect();
            if up.iter().any(|e| !engines.contains(e)) {
                wanted.insert(
                    of,
                    Hold {
                        target: of,
                        max_in_flight: u32::MAX,
                        excluded_engines: engines.clone(),
                        low_priority: false,
                    },
                );
            }
        }
        let lifted = self.told.keys().filter(|of| !wanted.contains_key(of));
        let mut news: Vec<Hold> = lifted
            .map(|of| Hold {
                target: *of,
                max_in_flight: u32::MAX,
                excluded_engines: Vec::new(),
                low_priority: false,
            })
            .collect();
        news.extend(
            wanted
                .values()
                .filter(|h| self.told.get(&h.target) != Some(h))
                .cloned(),
        );
        self.told = wanted;
        news
    }

    /// The engines where a held kind may not run: all but as many as may run at once, chosen by a hash that is
    /// alike at all routers, so that together they hold it to few engines without a word between them.
    fn closed_to(&self, kind: FingerprintId, h: &KindHold) -> Vec<EngineId> {
        let fits = |e: &&EngineStatus| e.up && e.classes.get(h.class).copied().unwrap_or(true);
        let mut open: Vec<EngineId> = self.engines.iter().filter(fits).map(|e| e.engine).collect();
        let own = |id: &EngineId| {
            let mut hash = blake3::Hasher::new();
            hash.update(&kind.0.to_le_bytes())
                .update(&id.0.to_le_bytes());
            *hash.finalize().as_bytes()
        };
        open.sort_by_key(own);
        open.split_off(open.len().min(h.at_once as usize))
    }
}

#[cfg(test)]
mod tests;
