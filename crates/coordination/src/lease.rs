//! Owns leases of tasks that one router does for the whole fleet: who holds which, under which number, and who is to take
//! what comes free. A part of the state that keepers replicate: acts come in one order, and have the same outcome at every
//! keeper.
//!
//! A lease is prolonged by the questions that a router asks anyway, and only by those of one that hears the answers. It is
//! taken from its holder in two ways: the holder gives it back, or a keeper's clock says that it has run out, counted from
//! when that keeper learned of its last prolonging. Each new holder has a number that was never given before.
//!
//! Leases spread evenly over the routers that have asked often enough in a row: one that comes and goes gets none, and one
//! that joins for good gets its share from those who have the most, and nothing else moves.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::fleet::Holder;
use crate::plant::{self, Plant};

/// Leases at most.
pub const MOST_LEASES: usize = 4096;
/// Bytes of a note at most.
pub const MOST_NOTE: usize = 1 << 20;
/// Questions in a row, each of which says that the answer before was heard, until a router is given leases: about as
/// many as fit into one term.
pub const SEASONED: u32 = 5;

/// A task that one router does for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Task {
    /// Reads discovery.
    List,
    /// Asks engines how they are.
    Probe,
}

impl Task {
    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Task::List => "list",
            Task::Probe => "probe",
        }
    }
}

/// What a lease is for: a task, and which part of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Part {
    /// The task.
    pub task: Task,
    /// Which part, from 0.
    pub shard: u32,
}

impl std::fmt::Display for Part {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.task.name(), self.shard)
    }
}

impl From<Part> for String {
    fn from(part: Part) -> String {
        part.to_string()
    }
}

impl TryFrom<String> for Part {
    type Error = String;

    fn try_from(text: String) -> Result<Part, String> {
        let wrong = || format!("{text:?} is no part of a task, such as probe/3");
        let (task, shard) = text.split_once('/').ok_or_else(wrong)?;
        let task = [Task::List, Task::Probe]
            .into_iter()
            .find(|t| t.name() == task)
            .ok_or_else(wrong)?;
        Ok(Part {
            task,
            shard: shard.parse().map_err(|_| wrong())?,
        })
    }
}

/// What a router says of leases with its question.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Offer {
    /// The count of the last prolonging whose answer it heard.
    pub heard: u64,
    /// Whether it takes leases; one that is about to end does not.
    pub willing: bool,
    /// Leases that it has stopped to act under for good, with their numbers.
    pub released: Vec<(Part, u64)>,
    /// Up to where it knows the board.
    pub board: u64,
}

/// A lease, as its holder is told of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Grant {
    /// For what.
    pub part: Part,
    /// Its number.
    pub number: u64,
    /// It is to be given back, as soon as what runs under it is done.
    pub leaving: bool,
}

/// What all routers are told of a part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Posted {
    /// Of which.
    pub part: Part,
    /// Who holds it, and under which number.
    pub holder: Option<(Holder, u64)>,
    /// What its holder, or one before, noted last.
    pub note: Option<String>,
}

/// What has changed of the board, for one who knew it up to some point.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Board {
    /// Up to where it is known now.
    pub upto: u64,
    /// All parts that there are. Others are no more.
    pub parts: Vec<Part>,
    /// Parts that have changed.
    pub posted: Vec<Posted>,
}

/// A lease that is held.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Lease {
    holder: Holder,
    number: u64,
    /// The count of its last prolonging.
    serial: u64,
    leaving: bool,
}

/// One part of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Slot {
    lease: Option<Lease>,
    note: Option<String>,
    /// Who gave it back last: another is to try, if there is one.
    #[serde(default)]
    tried: Option<Holder>,
    /// When it changed, by the board's count.
    changed: u64,
}

/// A router that takes leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Taker {
    /// The count of its last prolonging.
    serial: u64,
    /// Questions in a row that said that the answer before was heard.
    in_row: u32,
}

/// Why a note is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotNoted {
    /// The lease is another's by now.
    Outdated,
    /// The text is too long.
    TooLong,
}

/// All leases of a fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Leases {
    slots: BTreeMap<Part, Slot>,
    #[serde(with = "crate::pairs")]
    takers: BTreeMap<Holder, Taker>,
    /// The last number given.
    fence: u64,
    /// Counts changes of the board.
    board: u64,
}

impl Leases {
    /// The tasks that there are, each with its number of parts.
    pub fn name(&mut self, tasks: &BTreeMap<Task, u32>) {
        let parts = tasks
            .iter()
            .flat_map(|(task, n)| (0..*n).map(|shard| Part { task: *task, shard }));
        let wanted: BTreeSet<Part> = parts.take(MOST_LEASES).collect();
        let known: BTreeSet<Part> = self.slots.keys().copied().collect();
        if wanted == known {
            return;
        }
        // Danger: a part that goes and comes back may still be held; its numbers go on, as the fence is common to all.
        self.slots
            .retain(|part, slot| wanted.contains(part) || slot.lease.is_some());
        for (part, slot) in &mut self.slots {
            if let (false, Some(lease)) = (wanted.contains(part), &mut slot.lease) {
                lease.leaving = true;
            }
        }
        self.board += 1;
        for part in wanted {
            let changed = self.board;
            self.slots.entry(part).or_insert_with(|| Slot {
                changed,
                ..Slot::default()
            });
        }
        self.balance();
    }

    /// A router has asked; `serial` is the count of this prolonging. Returns its leases: `None`, where it has not heard the
    /// answer before, so that this one prolongs nothing either.
    pub fn asked(&mut self, holder: &Holder, serial: u64, offer: &Offer) -> Option<Vec<Grant>> {
        let taker = self.takers.entry(holder.clone()).or_default();
        let hears = offer.heard == taker.serial && taker.serial > 0;
        let was = taker.in_row;
        taker.in_row = if hears {
            taker.in_row.saturating_add(1).min(SEASONED)
        } else {
            0
        };
        taker.serial = serial;
        let now = taker.in_row;
        if !offer.willing {
            taker.in_row = 0;
        }
        let mut changed = (was >= SEASONED) != (now >= SEASONED && offer.willing);
        for (part, number) in &offer.released {
            if self.free(part, |lease| {
                lease.holder == *holder && lease.number == *number
            }) {
                changed = true;
                let slot = self.slots.get_mut(part);
                slot.into_iter()
                    .for_each(|slot| slot.tried = Some(holder.clone()));
            }
        }
        if changed {
            self.balance();
        }
        if !offer.willing {
            let own = self.slots.values_mut().filter_map(|s| s.lease.as_mut());
            own.filter(|l| l.holder == *holder)
                .for_each(|l| l.leaving = true);
        }
        hears.then(|| {
            let mut all = Vec::new();
            for (part, slot) in &mut self.slots {
                if let Some(lease) = slot.lease.as_mut().filter(|l| l.holder == *holder) {
                    lease.serial = serial;
                    all.push(Grant {
                        part: *part,
                        number: lease.number,
                        leaving: lease.leaving,
                    });
                }
            }
            all
        })
    }

    /// A router acts no more, or may not: its permit is given back, or has run out.
    pub fn gone(&mut self, holder: &Holder) {
        let known = self.takers.remove(holder).is_some();
        let held: Vec<Part> = self.slots.keys().copied().collect();
        let mut freed = false;
        for part in held {
            freed |= self.free(&part, |lease| lease.holder == *holder);
        }
        if known || freed {
            self.balance();
        }
    }

    /// Leases that have run out by a keeper's clock, each with the count of its last prolonging.
    pub fn lapsed(&mut self, lapsed: &[(Part, u64)]) {
        let mut freed = false;
        for (part, serial) in lapsed {
            // Danger: one that was prolonged after the keeper judged it is alive.
            let holder = self
                .slots
                .get(part)
                .and_then(|s| s.lease.as_ref())
                .map(|l| l.holder.clone());
            if self.free(part, |lease| lease.serial == *serial) {
                freed = true;
                // Danger: one that is silent would get it back at once.
                let silent = holder.and_then(|h| self.takers.get_mut(&h));
                silent.into_iter().for_each(|t| t.in_row = 0);
            }
        }
        if freed {
            self.balance();
        }
    }

    /// The holder of a lease notes how far it has come, for all routers and for the holder after it.
    pub fn note(
        &mut self,
        holder: &Holder,
        part: &Part,
        number: u64,
        text: &str,
    ) -> Result<(), NotNoted> {
        if text.len() > MOST_NOTE {
            return Err(NotNoted::TooLong);
        }
        let slot = self.slots.get_mut(part).ok_or(NotNoted::Outdated)?;
        // Danger: one that held it before may not undo what its successor has noted.
        if !slot
            .lease
            .as_ref()
            .is_some_and(|l| l.holder == *holder && l.number == number)
        {
            return Err(NotNoted::Outdated);
        }
        if slot.note.as_deref() != Some(text) {
            self.board += 1;
            (slot.note, slot.changed) = (Some(text.to_owned()), self.board);
        }
        Ok(())
    }

    fn free(&mut self, part: &Part, which: impl Fn(&Lease) -> bool) -> bool {
        let Some(slot) = self.slots.get_mut(part) else {
            return false;
        };
        if !slot.lease.as_ref().is_some_and(which) {
            return false;
        }
        slot.lease = None;
        self.board += 1;
        slot.changed = self.board;
        true
    }

    /// Gives what is free to those with the fewest, and asks those with the most for what others lack.
    fn balance(&mut self) {
        let mut counts: BTreeMap<Holder, u32> = self
            .takers
            .iter()
            .filter(|(_, t)| t.in_row >= SEASONED)
            .map(|(h, _)| (h.clone(), 0))
            .collect();
        for lease in self
            .slots
            .values()
            .filter_map(|s| s.lease.as_ref())
            .filter(|l| !l.leaving)
        {
            counts.entry(lease.holder.clone()).and_modify(|n| *n += 1);
        }
        if counts.is_empty() {
            return;
        }
        let free: Vec<Part> = self
            .slots
            .iter()
            .filter(|(_, s)| s.lease.is_none())
            .map(|(p, _)| *p)
            .collect();
        for part in free {
            let tried = self.slots.get(&part).and_then(|s| s.tried.clone());
            let burden = |(h, n): &(&Holder, &u32)| {
                let again = tried.as_ref() == Some(*h);
                (**n + u32::from(again), again, weight(&part, h))
            };
            let Some(holder) = counts.iter().min_by_key(burden).map(|(h, _)| h.clone()) else {
                return;
            };
            counts.entry(holder.clone()).and_modify(|n| *n += 1);
            self.fence += 1;
            let number = match plant::is(Plant::ForgetsNumbers) {
                true => 1 + counts.values().map(|n| u64::from(*n)).sum::<u64>() % 2,
                false => self.fence,
            };
            self.board += 1;
            let changed = self.board;
            if let (Some(slot), Some(taker)) = (self.slots.get_mut(&part), self.takers.get(&holder))
            {
                slot.lease = Some(Lease {
                    holder,
                    number,
                    serial: taker.serial,
                    leaving: false,
                });
                slot.changed = changed;
            }
        }
        // What is on its way from one to another goes to those with the fewest: it is not asked for twice.
        let on_way = self
            .slots
            .values()
            .filter(|s| s.lease.as_ref().is_some_and(|l| l.leaving))
            .count();
        for _ in 0..on_way {
            let fewest = counts
                .iter()
                .min_by_key(|(_, n)| **n)
                .map(|(h, _)| h.clone());
            fewest
                .into_iter()
                .for_each(|h| *counts.entry(h).or_default() += 1);
        }
        loop {
            let fewest = counts
                .iter()
                .min_by_key(|(_, n)| **n)
                .map(|(h, n)| (h.clone(), *n));
            let most = counts
                .iter()
                .max_by_key(|(_, n)| **n)
                .map(|(h, n)| (h.clone(), *n));
            let (Some((to, least)), Some((from, most))) = (fewest, most) else {
                return;
            };
            if most < least + 2 {
                return;
            }
            let of_most = self
                .slots
                .iter_mut()
                .filter(|(_, s)| s.tried.as_ref() != Some(&to));
            let of_most = of_most.filter_map(|(p, s)| Some((*p, s.lease.as_mut()?)));
            let movable = of_most.filter(|(_, l)| l.holder == from && !l.leaving);
            let Some((_, lease)) = movable.max_by_key(|(p, _)| weight(p, &to)) else {
                return;
            };
            lease.leaving = true;
            counts.entry(from).and_modify(|n| *n -= 1);
            counts.entry(to).and_modify(|n| *n += 1);
        }
    }

    // ---- what is seen of it ---------------------------------------------------------------------

    /// What has changed of the board since a point.
    pub fn board(&self, since: u64) -> Board {
        let posted = |(part, slot): (&Part, &Slot)| Posted {
            part: *part,
            holder: slot.lease.as_ref().map(|l| (l.holder.clone(), l.number)),
            note: slot.note.clone(),
        };
        // One that knows more than there is knew another fleet's.
        let since = if since > self.board { 0 } else { since };
        Board {
            upto: self.board,
            parts: self.slots.keys().copied().collect(),
            posted: self
                .slots
                .iter()
                .filter(|(_, s)| s.changed > since)
                .map(posted)
                .collect(),
        }
    }

    /// Counts changes of the board.
    pub fn upto(&self) -> u64 {
        self.board
    }

    /// Leases that are held, each with the count of its last prolonging.
    pub fn held(&self) -> impl Iterator<Item = (Part, u64)> + '_ {
        self.slots
            .iter()
            .filter_map(|(part, slot)| slot.lease.as_ref().map(|l| (*part, l.serial)))
    }

    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// The last number that was given.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// How many of these a router holds.
    pub fn count(&self, holder: &Holder) -> usize {
        self.slots
            .values()
            .filter(|s| s.lease.as_ref().is_some_and(|l| l.holder == *holder))
            .count()
    }
}

/// Which of several routers a part falls to, where they are alike otherwise: the same for all keepers, and spread.
fn weight(part: &Part, holder: &Holder) -> [u8; 8] {
    let hash = blake3::hash(format!("{part} {}", holder.router).as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    first
}
