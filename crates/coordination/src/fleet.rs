//! Owns what keepers replicate: the version in force, the changes on their way, and who holds a permit. Acts come out
//! of the replicated log in one order, and have the same outcome at every keeper: no clock, no chance in here.
//!
//! A change comes in force in three steps. It is *proposed*: routers that hear of it act on the meet of all versions
//! from the one in force to the last proposed, and say so when they next ask. It is *settled* once every holder of a
//! permit has said so, or its permit has run out, which a keeper judges by its own clock and names in the act. Then it
//! is *in force*. So while one router acts on a version alone, no other acts on the one before it alone, and the meet
//! between contradicts neither.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::document::{Document, Flaw};
use crate::lease::{Board, Grant, Leases, NotNoted, Offer, Part};
use crate::meet::{Change, Difference};
use crate::plant::{self, Plant};

/// A version's number; the first is 1, and 0 stands for none.
pub type Number = u64;

/// Changes that may be on their way at once.
pub const MOST_PENDING: usize = 8;
/// Holders of permits at most.
pub const MOST_HOLDERS: usize = 4096;
/// Versions whose heads are kept.
pub const MOST_HEADS: usize = 256;
/// Of these, versions whose whole text is kept, for `diff` and `rollback`.
pub const MOST_TEXTS: usize = 32;
/// Bytes of `by`, `why` and the name of a change.
pub const MOST_WORDS: usize = 512;

/// A router's process: two processes under one name are two holders.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The router.
    pub router: String,
    /// Its life.
    pub life: String,
}

impl std::fmt::Display for Holder {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.router, self.life)
    }
}

/// All of a version but its text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Its number.
    pub number: Number,
    /// The BLAKE3 digest of its text.
    pub digest: String,
    /// The name of the change, by which the same change put twice is known.
    pub change: String,
    /// Who put it.
    pub by: String,
    /// When, in ms since 1970, as the one who put it said.
    pub at: u64,
    /// Why.
    pub why: String,
    /// How it relates to the version before it.
    pub kind: Change,
}

/// A version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// What tells it apart.
    pub head: Head,
    /// Its text.
    pub document: Document,
}

/// A change that somebody wants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Put {
    /// The name of the change, made by who wants it: the same name again is the same change.
    pub change: String,
    /// The last version that its author knew; `None`: whichever.
    pub base: Option<Number>,
    /// Who.
    pub by: String,
    /// When, in ms since 1970.
    pub at: u64,
    /// Why.
    pub why: String,
    /// The text.
    pub document: Document,
}

/// What goes through the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Act {
    /// A change is wanted.
    Put(Box<Put>),
    /// A router asks for its permit to be prolonged.
    Ask {
        /// Who.
        holder: Holder,
        /// The last version whose rules it heeds, alone or in a meet; 0: it heeds none yet.
        heeds: Number,
        /// The version that it holds to be in force; 0: none.
        in_force: Number,
        /// What it says of leases, where it takes part in them.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        offer: Option<Offer>,
    },
    /// A router gives its permit back: it acts no more.
    GiveBack(Holder),
    /// Versions up to this one are wanted in force; the permits named, with the count of their last prolonging, have
    /// run out by the clock of the keeper that says so.
    Settle {
        /// Up to which.
        upto: Number,
        /// Which permits have run out.
        lapsed: Vec<(Holder, u64)>,
    },
    /// Leases that have run out by the clock of the keeper that says so, each with the count of its last prolonging.
    Free(Vec<(Part, u64)>),
    /// The holder of a lease notes how far it has come.
    Note {
        /// Who.
        holder: Holder,
        /// For what.
        part: Part,
        /// Under which number.
        number: u64,
        /// The note.
        text: String,
    },
}

/// Why a change is refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "refused")]
pub enum Refused {
    /// The document is unusable.
    Flawed {
        /// All that is wrong with it.
        flaws: Vec<Flaw>,
    },
    /// Somebody else changed it meanwhile.
    Outdated {
        /// The last version now.
        last: Number,
    },
    /// Too many changes are on their way.
    Busy {
        /// How many.
        pending: usize,
    },
    /// While the change is on its way, a class would have no place at all.
    Nowhere {
        /// Each path, with both sides' places in words.
        places: Vec<Flaw>,
    },
    /// The name of the change is in use for another text.
    Reused {
        /// The version under that name.
        number: Number,
    },
}

impl std::fmt::Display for Refused {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let list = |flaws: &[Flaw]| flaws.iter().map(|x| format!("\n  {x}")).collect::<String>();
        match self {
            Refused::Flawed { flaws } => write!(f, "the document can't be used:{}", list(flaws)),
            Refused::Outdated { last } => {
                write!(
                    f,
                    "the last version is {last} now; look at it, and put again"
                )
            }
            Refused::Busy { pending } => {
                write!(
                    f,
                    "{pending} changes are on their way already; try again later"
                )
            }
            Refused::Nowhere { places } => {
                write!(
                    f,
                    "until it is in force, a class would have no place left:{}",
                    list(places)
                )
            }
            Refused::Reused { number } => {
                write!(f, "version {number} came under that name with another text")
            }
        }
    }
}

/// What a router is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Granted {
    /// The version in force.
    pub in_force: Number,
    /// The last one whose rules are to be heeded.
    pub heed: Number,
    /// All versions from the one in force to the last, in order; empty where the router said that it has them.
    pub versions: Vec<Version>,
    /// The count of this prolonging.
    #[serde(default)]
    pub serial: u64,
    /// The router's leases; `None`: nothing is told of them, and none is prolonged.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub leases: Option<Vec<Grant>>,
    /// What is told to all of who does what.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub board: Option<Board>,
}

/// What an act came to.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A change was taken under this number (which is also that of the first time, where it came twice).
    Put(Result<Number, Refused>),
    /// A permit is prolonged.
    Granted(Granted),
    /// No permit: the router knows of a version that this fleet never had. Somebody's state went back.
    Ahead,
    /// No permit: there is no version yet.
    Empty,
    /// No permit: there are too many holders.
    Crowded,
    /// The permit is given back.
    GivenBack,
    /// Up to this version everything is in force.
    Settled(Number),
    /// A note is taken, or not.
    Noted(Result<(), NotNoted>),
}

/// A permit, as the log knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The last version whose rules the holder heeds.
    pub heeds: Number,
    /// The count of its last prolonging: tells it from the ones before.
    pub serial: u64,
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// From the version in force to the last proposed; empty before the first.
    course: VecDeque<Version>,
    /// Heads of the versions before, oldest first.
    past: VecDeque<Head>,
    /// Texts of the last of these, oldest first.
    texts: VecDeque<Version>,
    #[serde(with = "crate::pairs")]
    holders: BTreeMap<Holder, Held>,
    serial: u64,
    #[serde(default)]
    leases: Leases,
}

impl Fleet {
    /// Does the next act of the log.
    pub fn apply(&mut self, act: Act) -> Answer {
        match act {
            Act::Put(put) => Answer::Put(self.put(*put)),
            Act::Ask {
                holder,
                heeds,
                in_force,
                offer,
            } => self.ask(holder, heeds, in_force, offer),
            Act::GiveBack(holder) => {
                self.holders.remove(&holder);
                self.leases.gone(&holder);
                Answer::GivenBack
            }
            Act::Free(lapsed) => {
                self.leases.lapsed(&lapsed);
                Answer::Settled(self.in_force())
            }
            Act::Note {
                holder,
                part,
                number,
                text,
            } => Answer::Noted(self.leases.note(&holder, &part, number, &text)),
            Act::Settle { upto, lapsed } => self.settle(upto, &lapsed),
        }
    }

    fn put(&mut self, put: Put) -> Result<Number, Refused> {
        let digest = put.document.digest();
        if let Some(known) = self.heads().find(|h| h.change == put.change) {
            return match known.digest == digest {
                true => Ok(known.number),
                false => Err(Refused::Reused {
                    number: known.number,
                }),
            };
        }
        let mut flaws = put.document.flaws();
        for (path, text) in [("change", &put.change), ("by", &put.by), ("why", &put.why)] {
            if text.is_empty() || text.len() > MOST_WORDS {
                flaws.push(Flaw {
                    path: path.into(),
                    what: format!("1 to {MOST_WORDS} bytes are wanted"),
                });
            }
        }
        if !flaws.is_empty() {
            return Err(Refused::Flawed { flaws });
        }
        if put.base.is_some_and(|base| base != self.last()) {
            return Err(Refused::Outdated { last: self.last() });
        }
        if self.pending().len() >= MOST_PENDING {
            return Err(Refused::Busy {
                pending: self.pending().len(),
            });
        }
        let places = self.clashes(&put.document);
        if !places.is_empty() {
            return Err(Refused::Nowhere { places });
        }
        let number = self.last() + 1;
        let kind = self
            .course
            .back()
            .map_or(Change::Looser, |last| last.document.change(&put.document));
        let head = Head {
            number,
            digest,
            change: put.change,
            by: put.by,
            at: put.at,
            why: put.why,
            kind,
        };
        self.course.push_back(Version {
            head,
            document: put.document,
        });
        // The first version contradicts nothing, as nobody acted before it; neither does a neutral change.
        self.advance(number, |front| front == 1);
        Ok(number)
    }

    /// Classes that would have no place between the versions on their way and this one, with both sides named.
    fn clashes(&self, new: &Document) -> Vec<Flaw> {
        let Some(meet) = self.rules() else {
            return Vec::new();
        };
        let places = |d: &Document, path: &str| match path.split('.').collect::<Vec<_>>()[..] {
            ["classes", class, "kinds"] => {
                format!("{:?}", d.classes.get(class).and_then(|c| c.kinds.clone()))
            }
            ["classes", class, "zones"] => {
                format!("{:?}", d.classes.get(class).and_then(|c| c.zones.clone()))
            }
            ["kinds"] => format!("{:?}", d.kinds.keys().collect::<Vec<_>>()),
            _ => format!("{:?}", d.classes.keys().collect::<Vec<_>>()),
        };
        let named = |path: String| {
            let what = format!(
                "nothing is in both {} (versions {} to {}) and {} (this change)",
                places(&meet, &path),
                self.in_force(),
                self.last(),
                places(new, &path)
            );
            Flaw { path, what }
        };
        meet.meet(new).nowhere().into_iter().map(named).collect()
    }

    fn ask(
        &mut self,
        holder: Holder,
        heeds: Number,
        in_force: Number,
        offer: Option<Offer>,
    ) -> Answer {
        let last = self.last();
        if heeds > last || in_force > self.in_force() {
            return Answer::Ahead;
        }
        if last == 0 {
            return Answer::Empty;
        }
        if !self.holders.contains_key(&holder) && self.holders.len() >= MOST_HOLDERS {
            return Answer::Crowded;
        }
        self.serial += 1;
        let serial = self.serial;
        let leases = offer
            .as_ref()
            .and_then(|offer| self.leases.asked(&holder, serial, offer));
        let board = offer.map(|offer| self.leases.board(offer.board));
        // One that holds no permit acts on nothing until it hears this answer, or a later one.
        let held = self.holders.entry(holder).or_insert(Held {
            heeds: last,
            serial,
        });
        *held = Held {
            heeds: held.heeds.max(heeds),
            serial,
        };
        let has_them = heeds == last && in_force == self.in_force();
        let versions = if has_them {
            Vec::new()
        } else {
            self.course.iter().cloned().collect()
        };
        let in_force = self.in_force();
        Answer::Granted(Granted {
            in_force,
            heed: last,
            versions,
            serial,
            leases,
            board,
        })
    }

    fn settle(&mut self, upto: Number, lapsed: &[(Holder, u64)]) -> Answer {
        for (holder, serial) in lapsed {
            // Danger: a permit that was prolonged after the keeper judged it is alive.
            if self
                .holders
                .get(holder)
                .is_some_and(|held| held.serial == *serial)
            {
                self.holders.remove(holder);
                self.leases.gone(holder);
            }
        }
        let all = self
            .holders
            .values()
            .map(|h| h.heeds)
            .min()
            .unwrap_or(Number::MAX);
        let heeded = if plant::is(Plant::NoWait) {
            Number::MAX
        } else {
            all
        };
        self.advance(upto, |next| next <= heeded);
        Answer::Settled(self.in_force())
    }

    /// Brings versions in force, in order, up to one and as far as nothing stands against them.
    fn advance(&mut self, upto: Number, heeded: impl Fn(Number) -> bool) {
        self.bring_in_force(upto, heeded);
        if let Some(front) = self.course.front() {
            self.leases.name(&front.document.tasks);
        }
    }

    fn bring_in_force(&mut self, upto: Number, heeded: impl Fn(Number) -> bool) {
        while let Some(next) = self.course.get(1).map(|v| &v.head) {
            let free = next.kind == Change::Neutral || heeded(next.number);
            if next.number > upto || !free {
                return;
            }
            if let Some(gone) = self.course.pop_front() {
                self.past.push_back(gone.head.clone());
                self.texts.push_back(gone);
            }
            while self.past.len() > MOST_HEADS {
                self.past.pop_front();
            }
            while self.texts.len() > MOST_TEXTS {
                self.texts.pop_front();
            }
        }
    }

    // ---- what is seen of it ---------------------------------------------------------------------

    /// The version in force; 0: none yet.
    pub fn in_force(&self) -> Number {
        self.course.front().map_or(0, |v| v.head.number)
    }

    /// The last version, in force or on its way; 0: none yet.
    pub fn last(&self) -> Number {
        self.course.back().map_or(0, |v| v.head.number)
    }

    /// Changes on their way, in order.
    pub fn pending(&self) -> impl ExactSizeIterator<Item = &Version> {
        self.course.iter().skip(1)
    }

    /// What contradicts none of the versions from the one in force to the last.
    pub fn rules(&self) -> Option<Document> {
        let mut all = self.course.iter();
        let first = all.next()?.document.clone();
        Some(all.fold(first, |meet, v| meet.meet(&v.document)))
    }

    /// A version whose text is still kept.
    pub fn version(&self, number: Number) -> Option<&Version> {
        self.texts
            .iter()
            .chain(&self.course)
            .find(|v| v.head.number == number)
    }

    /// Heads of all versions that are kept, oldest first.
    pub fn heads(&self) -> impl Iterator<Item = &Head> {
        self.past.iter().chain(self.course.iter().map(|v| &v.head))
    }

    /// Who holds a permit.
    pub fn holders(&self) -> impl Iterator<Item = (&Holder, &Held)> {
        self.holders.iter()
    }

    /// A permit, where it is held.
    pub fn held(&self, holder: &Holder) -> Option<&Held> {
        self.holders.get(holder)
    }

    /// Who does what for all.
    pub fn leases(&self) -> &Leases {
        &self.leases
    }

    /// Holders that stand against the next change.
    pub fn waits_for(&self) -> impl Iterator<Item = (&Holder, &Held)> {
        let next = self.pending().next().map(|v| v.head.number);
        self.holders
            .iter()
            .filter(move |(_, held)| next.is_some_and(|next| held.heeds < next))
    }

    /// How two kept versions differ.
    pub fn differences(&self, from: Number, to: Number) -> Option<Vec<Difference>> {
        Some(
            self.version(from)?
                .document
                .differences(&self.version(to)?.document),
        )
    }
}
