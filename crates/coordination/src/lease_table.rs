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

use crate::config_state::Holder;
use crate::fault_injection::{self, Fault};

/// Leases at most.
pub const MAX_LEASES: usize = 4096;
/// Bytes of a note at most.
pub const MAX_NOTE_BYTES: usize = 1 << 20;
/// Questions in a row, each of which says that the answer before was heard, until a router is given leases: about as
/// many as fit into one term.
pub const MIN_CONSECUTIVE_RENEWALS: u32 = 5;

/// A task that one router does for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Task {
    /// Reads discovery.
    #[serde(rename = "list")]
    Discovery,
    /// Asks engines how they are.
    #[serde(rename = "probe")]
    HealthCheck,
}

impl Task {
    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Task::Discovery => "list",
            Task::HealthCheck => "probe",
        }
    }
}

/// What a lease is for: a task, and which part of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Shard {
    /// The task.
    pub task: Task,
    /// Which part, from 0.
    pub index: u32,
}

impl std::fmt::Display for Shard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.task.name(), self.index)
    }
}

impl From<Shard> for String {
    fn from(part: Shard) -> String {
        part.to_string()
    }
}

impl TryFrom<String> for Shard {
    type Error = String;

    fn try_from(text: String) -> Result<Shard, String> {
        let wrong = || format!("{text:?} is no part of a task, such as probe/3");
        let (task, shard) = text.split_once('/').ok_or_else(wrong)?;
        let task = [Task::Discovery, Task::HealthCheck]
            .into_iter()
            .find(|t| t.name() == task)
            .ok_or_else(wrong)?;
        Ok(Shard {
            task,
            index: shard.parse().map_err(|_| wrong())?,
        })
    }
}

/// What a router says of leases with its question.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseOffer {
    /// The count of the last prolonging whose answer it heard.
    #[serde(rename = "heard")]
    pub acknowledged_serial: u64,
    /// Whether it takes leases; one that is about to end does not.
    #[serde(rename = "willing")]
    pub accepts_leases: bool,
    /// Leases that it has stopped to act under for good, with their numbers.
    pub released: Vec<(Shard, u64)>,
    /// Up to where it knows the board.
    #[serde(rename = "board")]
    pub table_revision: u64,
}

/// A lease, as its holder is told of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskLeaseGrant {
    /// For what.
    #[serde(rename = "part")]
    pub shard: Shard,
    /// Its number.
    #[serde(rename = "number")]
    pub fencing_token: u64,
    /// It is to be given back, as soon as what runs under it is done.
    #[serde(rename = "leaving")]
    pub release_requested: bool,
}

/// What all routers are told of a part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseTableEntry {
    /// Of which.
    #[serde(rename = "part")]
    pub shard: Shard,
    /// Who holds it, and under which number.
    pub holder: Option<(Holder, u64)>,
    /// What its holder, or one before, noted last.
    pub note: Option<String>,
}

/// What has changed of the board, for one who knew it up to some point.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseTableUpdate {
    /// Up to where it is known now.
    #[serde(rename = "upto")]
    pub revision: u64,
    /// All parts that there are. Others are no more.
    #[serde(rename = "parts")]
    pub shards: Vec<Shard>,
    /// Parts that have changed.
    #[serde(rename = "posted")]
    pub entries: Vec<LeaseTableEntry>,
}

/// A lease that is held.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Lease {
    holder: Holder,
    #[serde(rename = "number")]
    fencing_token: u64,
    /// The count of its last prolonging.
    serial: u64,
    #[serde(rename = "leaving")]
    release_requested: bool,
}

/// One part of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct LeaseSlot {
    lease: Option<Lease>,
    note: Option<String>,
    /// Who gave it back last: another is to try, if there is one.
    #[serde(rename = "tried", default)]
    last_released_by: Option<Holder>,
    /// When it changed, by the board's count.
    #[serde(rename = "changed")]
    changed_at_revision: u64,
}

/// A router that takes leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Candidate {
    /// The count of its last prolonging.
    serial: u64,
    /// Questions in a row that said that the answer before was heard.
    #[serde(rename = "in_row")]
    consecutive_renewals: u32,
}

/// Why a note is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NoteError {
    /// The lease is another's by now.
    #[serde(rename = "outdated")]
    StaleToken,
    /// The text is too long.
    TooLong,
}

/// All leases of a fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseTable {
    slots: BTreeMap<Shard, LeaseSlot>,
    #[serde(rename = "takers", with = "crate::map_as_pairs")]
    candidates: BTreeMap<Holder, Candidate>,
    /// The last number given.
    #[serde(rename = "fence")]
    last_fencing_token: u64,
    /// Counts changes of the board.
    #[serde(rename = "board")]
    revision: u64,
}

impl LeaseTable {
    /// The tasks that there are, each with its number of parts.
    pub fn set_tasks(&mut self, tasks: &BTreeMap<Task, u32>) {
        let parts = tasks.iter().flat_map(|(task, n)| {
            (0..*n).map(|shard| Shard {
                task: *task,
                index: shard,
            })
        });
        let wanted: BTreeSet<Shard> = parts.take(MAX_LEASES).collect();
        let known: BTreeSet<Shard> = self.slots.keys().copied().collect();
        if wanted == known {
            return;
        }
        // Danger: a part that goes and comes back may still be held; its numbers go on, as the fence is common to all.
        self.slots
            .retain(|part, slot| wanted.contains(part) || slot.lease.is_some());
        for (part, slot) in &mut self.slots {
            if let (false, Some(lease)) = (wanted.contains(part), &mut slot.lease) {
                lease.release_requested = true;
            }
        }
        self.revision += 1;
        for part in wanted {
            let changed = self.revision;
            self.slots.entry(part).or_insert_with(|| LeaseSlot {
                changed_at_revision: changed,
                ..LeaseSlot::default()
            });
        }
        self.balance();
    }

    /// A router has asked; `serial` is the count of this prolonging. Returns its leases: `None`, where it has not heard the
    /// answer before, so that this one prolongs nothing either.
    pub fn renew(
        &mut self,
        holder: &Holder,
        serial: u64,
        offer: &LeaseOffer,
    ) -> Option<Vec<TaskLeaseGrant>> {
        let taker = self.candidates.entry(holder.clone()).or_default();
        let hears = offer.acknowledged_serial == taker.serial && taker.serial > 0;
        let was = taker.consecutive_renewals;
        taker.consecutive_renewals = if hears {
            taker
                .consecutive_renewals
                .saturating_add(1)
                .min(MIN_CONSECUTIVE_RENEWALS)
        } else {
            0
        };
        taker.serial = serial;
        let now = taker.consecutive_renewals;
        if !offer.accepts_leases {
            taker.consecutive_renewals = 0;
        }
        let mut changed = (was >= MIN_CONSECUTIVE_RENEWALS)
            != (now >= MIN_CONSECUTIVE_RENEWALS && offer.accepts_leases);
        for (part, number) in &offer.released {
            if self.release_if(part, |lease| {
                lease.holder == *holder && lease.fencing_token == *number
            }) {
                changed = true;
                let slot = self.slots.get_mut(part);
                slot.into_iter()
                    .for_each(|slot| slot.last_released_by = Some(holder.clone()));
            }
        }
        if changed {
            self.balance();
        }
        if !offer.accepts_leases {
            let own = self.slots.values_mut().filter_map(|s| s.lease.as_mut());
            own.filter(|l| l.holder == *holder)
                .for_each(|l| l.release_requested = true);
        }
        hears.then(|| {
            let mut all = Vec::new();
            for (part, slot) in &mut self.slots {
                if let Some(lease) = slot.lease.as_mut().filter(|l| l.holder == *holder) {
                    lease.serial = serial;
                    all.push(TaskLeaseGrant {
                        shard: *part,
                        fencing_token: lease.fencing_token,
                        release_requested: lease.release_requested,
                    });
                }
            }
            all
        })
    }

    /// A router acts no more, or may not: its permit is given back, or has run out.
    pub fn remove_holder(&mut self, holder: &Holder) {
        let known = self.candidates.remove(holder).is_some();
        let held: Vec<Shard> = self.slots.keys().copied().collect();
        let mut freed = false;
        for part in held {
            freed |= self.release_if(&part, |lease| lease.holder == *holder);
        }
        if known || freed {
            self.balance();
        }
    }

    /// Leases that have run out by a keeper's clock, each with the count of its last prolonging.
    pub fn expire(&mut self, lapsed: &[(Shard, u64)]) {
        let mut freed = false;
        for (part, serial) in lapsed {
            // Danger: one that was prolonged after the keeper judged it is alive.
            let holder = self
                .slots
                .get(part)
                .and_then(|s| s.lease.as_ref())
                .map(|l| l.holder.clone());
            if self.release_if(part, |lease| lease.serial == *serial) {
                freed = true;
                // Danger: one that is silent would get it back at once.
                let silent = holder.and_then(|h| self.candidates.get_mut(&h));
                silent.into_iter().for_each(|t| t.consecutive_renewals = 0);
            }
        }
        if freed {
            self.balance();
        }
    }

    /// The holder of a lease notes how far it has come, for all routers and for the holder after it.
    pub fn record_note(
        &mut self,
        holder: &Holder,
        part: &Shard,
        number: u64,
        text: &str,
    ) -> Result<(), NoteError> {
        if text.len() > MAX_NOTE_BYTES {
            return Err(NoteError::TooLong);
        }
        let slot = self.slots.get_mut(part).ok_or(NoteError::StaleToken)?;
        // Danger: one that held it before may not undo what its successor has noted.
        if !slot
            .lease
            .as_ref()
            .is_some_and(|l| l.holder == *holder && l.fencing_token == number)
        {
            return Err(NoteError::StaleToken);
        }
        if slot.note.as_deref() != Some(text) {
            self.revision += 1;
            (slot.note, slot.changed_at_revision) = (Some(text.to_owned()), self.revision);
        }
        Ok(())
    }

    fn release_if(&mut self, part: &Shard, which: impl Fn(&Lease) -> bool) -> bool {
        let Some(slot) = self.slots.get_mut(part) else {
            return false;
        };
        if !slot.lease.as_ref().is_some_and(which) {
            return false;
        }
        slot.lease = None;
        self.revision += 1;
        slot.changed_at_revision = self.revision;
        true
    }

    /// Gives what is free to those with the fewest, and asks those with the most for what others lack.
    fn balance(&mut self) {
        let mut counts: BTreeMap<Holder, u32> = self
            .candidates
            .iter()
            .filter(|(_, t)| t.consecutive_renewals >= MIN_CONSECUTIVE_RENEWALS)
            .map(|(h, _)| (h.clone(), 0))
            .collect();
        for lease in self
            .slots
            .values()
            .filter_map(|s| s.lease.as_ref())
            .filter(|l| !l.release_requested)
        {
            counts.entry(lease.holder.clone()).and_modify(|n| *n += 1);
        }
        if counts.is_empty() {
            return;
        }
        let free: Vec<Shard> = self
            .slots
            .iter()
            .filter(|(_, s)| s.lease.is_none())
            .map(|(p, _)| *p)
            .collect();
        for part in free {
            let tried = self
                .slots
                .get(&part)
                .and_then(|s| s.last_released_by.clone());
            let burden = |(h, n): &(&Holder, &u32)| {
                let again = tried.as_ref() == Some(*h);
                (**n + u32::from(again), again, weight(&part, h))
            };
            let Some(holder) = counts.iter().min_by_key(burden).map(|(h, _)| h.clone()) else {
                return;
            };
            counts.entry(holder.clone()).and_modify(|n| *n += 1);
            self.last_fencing_token += 1;
            let number = match fault_injection::is_injected(Fault::ReuseFencingTokens) {
                true => 1 + counts.values().map(|n| u64::from(*n)).sum::<u64>() % 2,
                false => self.last_fencing_token,
            };
            self.revision += 1;
            let changed = self.revision;
            if let (Some(slot), Some(taker)) =
                (self.slots.get_mut(&part), self.candidates.get(&holder))
            {
                slot.lease = Some(Lease {
                    holder,
                    fencing_token: number,
                    serial: taker.serial,
                    release_requested: false,
                });
                slot.changed_at_revision = changed;
            }
        }
        // What is on its way from one to another goes to those with the fewest: it is not asked for twice.
        let on_way = self
            .slots
            .values()
            .filter(|s| s.lease.as_ref().is_some_and(|l| l.release_requested))
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
                .filter(|(_, s)| s.last_released_by.as_ref() != Some(&to));
            let of_most = of_most.filter_map(|(p, s)| Some((*p, s.lease.as_mut()?)));
            let movable = of_most.filter(|(_, l)| l.holder == from && !l.release_requested);
            let Some((_, lease)) = movable.max_by_key(|(p, _)| weight(p, &to)) else {
                return;
            };
            lease.release_requested = true;
            counts.entry(from).and_modify(|n| *n -= 1);
            counts.entry(to).and_modify(|n| *n += 1);
        }
    }

    // ---- what is seen of it ---------------------------------------------------------------------

    /// What has changed of the board since a point.
    pub fn updates_since(&self, since: u64) -> LeaseTableUpdate {
        let posted = |(part, slot): (&Shard, &LeaseSlot)| LeaseTableEntry {
            shard: *part,
            holder: slot
                .lease
                .as_ref()
                .map(|l| (l.holder.clone(), l.fencing_token)),
            note: slot.note.clone(),
        };
        // One that knows more than there is knew another fleet's.
        let since = if since > self.revision { 0 } else { since };
        LeaseTableUpdate {
            revision: self.revision,
            shards: self.slots.keys().copied().collect(),
            entries: self
                .slots
                .iter()
                .filter(|(_, s)| s.changed_at_revision > since)
                .map(posted)
                .collect(),
        }
    }

    /// Counts changes of the board.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Leases that are held, each with the count of its last prolonging.
    pub fn renewals(&self) -> impl Iterator<Item = (Shard, u64)> + '_ {
        self.slots
            .iter()
            .filter_map(|(part, slot)| slot.lease.as_ref().map(|l| (*part, l.serial)))
    }

    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// The last number that was given.
    pub fn last_fencing_token(&self) -> u64 {
        self.last_fencing_token
    }

    /// How many of these a router holds.
    pub fn count_held_by(&self, holder: &Holder) -> usize {
        self.slots
            .values()
            .filter(|s| s.lease.as_ref().is_some_and(|l| l.holder == *holder))
            .count()
    }
}

/// Which of several routers a part falls to, where they are alike otherwise: the same for all keepers, and spread.
fn weight(part: &Shard, holder: &Holder) -> [u8; 8] {
    let hash = blake3::hash(format!("{part} {}", holder.router).as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    first
}
