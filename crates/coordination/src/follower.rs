//! Owns a router's side: which versions it heeds, until when it may act, and what it asks keepers next. It is fed the
//! keepers' answers and its own clock; what it says of a class is to be asked again at the last moment before an act.

use std::collections::BTreeMap;

use crate::document::{Document, InDoubt};
use crate::fleet::{Act, Granted, Holder, Number, Version};
use crate::permit::{Bounds, Micros, Permit};
use crate::plant::{self, Plant};

/// Questions that may be open at once; the oldest is given up for a further one.
const MOST_OPEN: usize = 16;

/// Why an answer is not believed. None of them prolongs the permit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejected {
    /// It answers nothing that is open.
    Unasked,
    /// The keeper is behind what this router had said that it knows: its state went back.
    WentBack {
        /// The version that it tells of, in force or last.
        told: Number,
        /// The one that this router knows.
        known: Number,
    },
    /// A version that this router knows comes with another text.
    OtherText(Number),
    /// The versions do not go together with the numbers, or a text with its digest.
    Garbled,
}

impl std::fmt::Display for Rejected {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Rejected::Unasked => write!(f, "it answers no open question"),
            Rejected::WentBack { told, known } => {
                write!(
                    f,
                    "it tells of version {told} where {known} is known: a keeper's state went back"
                )
            }
            Rejected::OtherText(number) => {
                write!(f, "version {number} comes with another text than before")
            }
            Rejected::Garbled => write!(f, "its versions don't go together"),
        }
    }
}

impl std::error::Error for Rejected {}

/// What a router may do with a class at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Act, under the rules from the version in force to the last heeded.
    Act {
        /// The version in force, as it knows.
        in_force: Number,
        /// The last one whose rules it heeds.
        heeds: Number,
    },
    /// Act as last known, outside the promise: no keeper has prolonged the permit, and the settings say to serve.
    ActInDoubt {
        /// See [`Verdict::Act`].
        in_force: Number,
        /// See [`Verdict::Act`].
        heeds: Number,
    },
    /// Refuse, and say that trying again is harmless: there is no permit, or the rules don't know the class.
    Refuse,
}

struct Open {
    at: Micros,
    heeds: Number,
    in_force: Number,
}

/// A router's side of the agreement.
pub struct Follower {
    me: Holder,
    bounds: Bounds,
    /// From the version in force to the last heeded.
    course: Vec<Version>,
    rules: Option<Document>,
    permit: Permit,
    open: BTreeMap<u64, Open>,
    next: u64,
}

impl Follower {
    /// Knows nothing yet, or what an earlier life of this router wrote down; without a permit either way.
    pub fn new(me: Holder, bounds: Bounds, known: Vec<Version>) -> Follower {
        let life = if plant::is(Plant::EarlierLife) {
            String::new()
        } else {
            me.life
        };
        let mut follower = Follower {
            me: Holder { life, ..me },
            bounds,
            course: Vec::new(),
            rules: None,
            permit: Permit::default(),
            open: BTreeMap::new(),
            next: 0,
        };
        if is_course(&known) {
            follower.take_up(known);
        }
        follower
    }

    /// The next question, which leaves now.
    pub fn ask(&mut self, now: Micros) -> (u64, Act) {
        while self.open.len() >= MOST_OPEN {
            self.open.pop_first();
        }
        let id = self.next;
        self.next += 1;
        let (heeds, in_force) = (self.heeds(), self.in_force());
        self.open.insert(
            id,
            Open {
                at: now,
                heeds,
                in_force,
            },
        );
        (
            id,
            Act::Ask {
                holder: self.me.clone(),
                heeds,
                in_force,
                offer: None,
            },
        )
    }

    /// A question is counted from another moment: that of its answer is too late, which a planted fault does.
    pub fn count_from(&mut self, id: u64, now: Micros) {
        self.open
            .get_mut(&id)
            .into_iter()
            .for_each(|open| open.at = now);
    }

    /// A question has no answer.
    pub fn unanswered(&mut self, id: u64) {
        self.open.remove(&id);
    }

    /// An answer. Returns whether the rules have changed.
    pub fn granted(&mut self, id: u64, granted: Granted) -> Result<bool, Rejected> {
        let asked = self.open.remove(&id).ok_or(Rejected::Unasked)?;
        if granted.heed < asked.heeds {
            return Err(Rejected::WentBack {
                told: granted.heed,
                known: asked.heeds,
            });
        }
        if granted.in_force < asked.in_force {
            return Err(Rejected::WentBack {
                told: granted.in_force,
                known: asked.in_force,
            });
        }
        let same = granted.in_force == asked.in_force && granted.heed == asked.heeds;
        if granted.versions.is_empty() {
            if !same {
                return Err(Rejected::Garbled);
            }
        } else {
            let ends = (granted.versions.first(), granted.versions.last());
            let fits = ends.0.is_some_and(|v| v.head.number == granted.in_force)
                && ends.1.is_some_and(|v| v.head.number == granted.heed);
            if !fits || !is_course(&granted.versions) {
                return Err(Rejected::Garbled);
            }
            for known in &self.course {
                let other = granted
                    .versions
                    .iter()
                    .find(|v| v.head.number == known.head.number);
                if other.is_some_and(|v| v.head.digest != known.head.digest) {
                    return Err(Rejected::OtherText(known.head.number));
                }
            }
        }
        self.permit.asked_at(asked.at, &self.bounds);
        // An answer that was overtaken by a later one prolongs, and moves nothing back.
        let newer = granted.in_force >= self.in_force()
            && granted.heed >= self.heeds()
            && (granted.in_force, granted.heed) != (self.in_force(), self.heeds());
        if newer && !granted.versions.is_empty() {
            self.take_up(granted.versions);
            return Ok(true);
        }
        Ok(false)
    }

    fn take_up(&mut self, course: Vec<Version>) {
        let mut all = course.iter();
        self.rules = all
            .next()
            .map(|first| all.fold(first.document.clone(), |meet, v| meet.meet(&v.document)));
        self.course = course;
    }

    /// What may be done with a class now.
    pub fn verdict(&self, now: Micros, class: &str) -> Verdict {
        let Some(class) = self.rules.as_ref().and_then(|r| r.classes.get(class)) else {
            return Verdict::Refuse;
        };
        let (in_force, heeds) = (self.in_force(), self.heeds());
        if self.permit.is_alive(now) {
            return Verdict::Act { in_force, heeds };
        }
        match class.in_doubt() {
            InDoubt::Serve => Verdict::ActInDoubt { in_force, heeds },
            InDoubt::Refuse => Verdict::Refuse,
        }
    }

    /// Whether the permit has ended, or never began.
    pub fn in_doubt(&self, now: Micros) -> bool {
        !self.permit.is_alive(now)
    }

    /// When the permit ends.
    pub fn until(&self) -> Micros {
        self.permit.until()
    }

    /// What contradicts none of the versions heeded; `None`: there is none yet.
    pub fn rules(&self) -> Option<&Document> {
        self.rules.as_ref()
    }

    /// The versions heeded, from the one in force on, to be written down for a later life.
    pub fn course(&self) -> &[Version] {
        &self.course
    }

    /// The version in force, as it knows; 0: none.
    pub fn in_force(&self) -> Number {
        self.course.first().map_or(0, |v| v.head.number)
    }

    /// The last version whose rules it heeds; 0: none.
    pub fn heeds(&self) -> Number {
        self.course.last().map_or(0, |v| v.head.number)
    }

    /// Who it is.
    pub fn me(&self) -> &Holder {
        &self.me
    }
}

/// Whether numbers follow each other, and each text is that of its digest.
fn is_course(versions: &[Version]) -> bool {
    versions
        .windows(2)
        .all(|w| w[0].head.number + 1 == w[1].head.number)
        && versions
            .iter()
            .all(|v| v.head.number > 0 && v.document.digest() == v.head.digest)
}
