//! Owns a router's side of its leases: under which it may act at a moment, for how long, and which it gives back.
//!
//! It counts from when it *asked*, takes off the drift and a margin, and is asked again before each act. A lease that is to
//! be given back ends when what runs under it is done, and never comes back under the same number, however late an answer
//! is that still names it.

use std::collections::BTreeMap;

use crate::lease::{Board, Grant, Offer, Part, Posted};
use crate::permit::{Bounds, Micros};
use crate::plant::{self, Plant};

/// Questions that may be open at once; the oldest is given up for a further one.
const MOST_OPEN: usize = 16;

/// A lease that is held.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Hold {
    number: u64,
    until: Micros,
    leaving: bool,
    /// Acts that run under it.
    acts: u32,
}

/// A router's leases, and what it knows of all others'.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Tenant {
    term: Micros,
    margin: Micros,
    willing: bool,
    /// The count of the last prolonging whose answer was heard.
    heard: u64,
    holds: BTreeMap<Part, Hold>,
    /// By part: the last number that was given back, or lost.
    over: BTreeMap<Part, u64>,
    /// Of these, those that keepers have not confirmed.
    released: BTreeMap<Part, u64>,
    open: BTreeMap<u64, Micros>,
    board: u64,
    posted: BTreeMap<Part, (Option<u64>, Option<String>)>,
}

/// An act that runs under a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Right {
    /// For what.
    pub part: Part,
    /// The lease's number, to be shown to what is acted on.
    pub number: u64,
    /// The act must be over by then.
    pub until: Micros,
}

impl Tenant {
    /// Holds nothing yet. `margin`: how much of each term is left unused, for the way of an act to what it acts on.
    pub fn new(bounds: &Bounds, margin: Micros) -> Tenant {
        Tenant {
            term: bounds.router_term(),
            margin,
            willing: true,
            heard: 0,
            holds: BTreeMap::new(),
            over: BTreeMap::new(),
            released: BTreeMap::new(),
            open: BTreeMap::new(),
            board: 0,
            posted: BTreeMap::new(),
        }
    }

    /// What goes with the question of that number, which leaves now.
    pub fn offer(&mut self, id: u64, now: Micros) -> Offer {
        while self.open.len() >= MOST_OPEN {
            self.open.pop_first();
        }
        self.open.insert(id, now);
        self.give_back();
        Offer {
            heard: self.heard,
            willing: self.willing,
            released: self.released.iter().map(|(p, n)| (*p, *n)).collect(),
            board: self.board,
        }
    }

    /// The answer to that question: the count of the prolonging, its leases where they are told, and what has changed of
    /// the board. Returns whether what it holds, or knows of the others, has changed.
    pub fn granted(
        &mut self,
        id: u64,
        now: Micros,
        serial: u64,
        leases: Option<&[Grant]>,
        board: Option<&Board>,
    ) -> bool {
        let Some(asked) = self.open.remove(&id) else {
            return false;
        };
        // Danger: an answer that was overtaken may name what was given back since.
        if serial <= self.heard {
            return false;
        }
        self.heard = serial;
        let from = if plant::is(Plant::FromTheAnswer) {
            now
        } else {
            asked
        };
        let margin = if plant::is(Plant::NoMargin) {
            0
        } else {
            self.margin
        };
        let until = from.saturating_add(self.term).saturating_sub(margin);
        let mut changed = false;
        if let Some(grants) = leases {
            for grant in grants {
                if self
                    .over
                    .get(&grant.part)
                    .is_some_and(|over| grant.number <= *over)
                {
                    continue;
                }
                match self
                    .holds
                    .get_mut(&grant.part)
                    .filter(|h| h.number == grant.number)
                {
                    Some(hold) => {
                        changed |= hold.leaving != grant.leaving;
                        (hold.until, hold.leaving) =
                            (hold.until.max(until), hold.leaving || grant.leaving);
                    }
                    None => {
                        let (number, leaving) = (grant.number, grant.leaving);
                        let fresh = Hold {
                            number,
                            until,
                            leaving,
                            acts: 0,
                        };
                        // One under an earlier number ends here: keepers took it away, so its time is over.
                        if let Some(old) = self.holds.insert(grant.part, fresh) {
                            self.over.insert(grant.part, old.number);
                        }
                        changed = true;
                    }
                }
            }
            let lost: Vec<Part> = self
                .holds
                .keys()
                .filter(|p| !grants.iter().any(|g| g.part == **p))
                .copied()
                .collect();
            for part in lost {
                changed = true;
                self.end(part);
            }
            self.released.retain(|part, number| {
                grants
                    .iter()
                    .any(|g| g.part == *part && g.number == *number)
            });
        }
        self.give_back();
        if let Some(board) = board {
            changed |= board.upto != self.board;
            self.board = board.upto;
            for Posted { part, holder, note } in &board.posted {
                self.posted
                    .insert(*part, (holder.as_ref().map(|h| h.1), note.clone()));
            }
            self.posted.retain(|part, _| board.parts.contains(part));
        }
        changed
    }

    /// A question has no answer.
    pub fn unanswered(&mut self, id: u64) {
        self.open.remove(&id);
    }

    fn end(&mut self, part: Part) -> Option<u64> {
        let hold = self.holds.remove(&part)?;
        self.over.insert(part, hold.number);
        Some(hold.number)
    }

    /// What is to be given back, and has nothing running under it.
    fn give_back(&mut self) {
        let done = |h: &Hold| h.acts == 0 && (h.leaving || !self.willing);
        let over: Vec<Part> = self
            .holds
            .iter()
            .filter(|(_, h)| done(h))
            .map(|(p, _)| *p)
            .collect();
        for part in over {
            if let Some(number) = self.end(part) {
                self.released.insert(part, number);
            }
        }
    }

    /// Whether an act for a part may begin that takes so long at most. To be asked right before it; [`Tenant::done`] ends
    /// it.
    pub fn begin(&mut self, now: Micros, part: Part, takes: Micros) -> Option<Right> {
        let willing = self.willing;
        let hold = self
            .holds
            .get_mut(&part)
            .filter(|h| willing && !h.leaving)?;
        if now.saturating_add(takes) >= hold.until && !plant::is(Plant::NeverEnds) {
            return None;
        }
        hold.acts += 1;
        Some(Right {
            part,
            number: hold.number,
            until: hold.until,
        })
    }

    /// Whether an act that has begun may be sent now: it is to be asked again right before.
    pub fn still(&self, now: Micros, right: &Right) -> bool {
        let held = self
            .holds
            .get(&right.part)
            .is_some_and(|h| h.number == right.number && now < h.until);
        held || plant::is(Plant::NotAgain) || plant::is(Plant::NeverEnds)
    }

    /// An act is over. Returns whether a lease can be given back by that.
    pub fn done(&mut self, right: &Right) -> bool {
        match self
            .holds
            .get_mut(&right.part)
            .filter(|h| h.number == right.number)
        {
            Some(hold) => {
                hold.acts = hold.acts.saturating_sub(1);
                hold.acts == 0 && (hold.leaving || !self.willing)
            }
            None => false,
        }
    }

    /// Whether a lease is held, with time left.
    pub fn holds(&self, now: Micros, part: Part) -> bool {
        self.holds.get(&part).is_some_and(|h| now < h.until)
    }

    /// What is to be done under a lease can't be done here: it is given back, for another to try.
    pub fn give_up(&mut self, part: Part) {
        if let Some(hold) = self.holds.get_mut(&part) {
            hold.leaving = true;
        }
    }

    /// Takes no leases any more, and gives back what it has.
    pub fn leave(&mut self) {
        self.willing = false;
    }

    /// Leases that are held or not yet confirmed as given back.
    pub fn left(&self) -> usize {
        self.holds.len() + self.released.len()
    }

    /// What is known of a part: the number under which it is held, if it is, and what was noted last. `None`: there is
    /// no such part.
    pub fn posted(&self, part: Part) -> Option<(Option<u64>, Option<&str>)> {
        self.posted
            .get(&part)
            .map(|(number, note)| (*number, note.as_deref()))
    }

    /// Parts that a task has.
    pub fn parts(&self, task: crate::lease::Task) -> u32 {
        self.posted.keys().filter(|p| p.task == task).count() as u32
    }

    /// Up to where the board is known.
    pub fn board(&self) -> u64 {
        self.board
    }
}
