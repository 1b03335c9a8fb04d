//! Owns what keepers tell each other beside the log's own messages: whose a batch is, in which order it comes, and how
//! far its sender's disk had come. A keeper whose disk was made anew, or put back from a copy, may have promised what it
//! no longer knows: the others tell it so, and it ends.

use std::collections::{BTreeMap, BTreeSet};

use hoptiller_coordination::LeaseTiming;
use serde::{Deserialize, Serialize};

use crate::core::State;
use crate::disk::PeerDisk;
use crate::log::Message;

/// Messages to one keeper.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Batch {
    pub fleet: String,
    pub from: u64,
    pub to: u64,
    /// All keepers, as the sender knows them, and the number of that list.
    pub members: Vec<u64>,
    #[serde(default = "first", skip_serializing_if = "is_first")]
    pub list: u32,
    /// µs and millionths: all must count alike.
    pub term: u64,
    pub drift: u64,
    /// The sender's life, and the number of this batch in it.
    pub life: u64,
    pub number: u64,
    /// The sender's disk, and the steps that it has written.
    pub disk: String,
    pub step: u64,
    pub messages: Vec<Message>,
}

/// Programs from before lists of keepers had numbers know the first.
fn first() -> u32 {
    1
}

fn is_first(list: &u32) -> bool {
    *list == 1
}

/// A new keeper asks for the state.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Join {
    pub fleet: String,
    pub keeper: u64,
    pub disk: String,
}

/// A keeper that is behind by a list of keepers is brought up.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Install {
    pub fleet: String,
    pub to: u64,
    pub state: State,
}

/// Why a batch is not taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum NotTaken {
    /// The two were told different things: of the fleet, the keepers, the term.
    Unlike(String),
    /// The sender's disk is not the one that it had.
    OtherDisk { known: String },
    /// The sender's disk has gone back.
    WentBack { step: u64, known: u64 },
    /// Another keeper has taken the sender's place.
    Replaced,
    /// The two know different lists of keepers: the sender's number, and the other's. The one that is ahead tells the
    /// other.
    Lists { yours: u32, mine: u32 },
}

impl NotTaken {
    /// Whether the sender must end.
    pub fn is_final(&self) -> bool {
        !matches!(self, NotTaken::Unlike(_) | NotTaken::Lists { .. })
    }
}

impl std::fmt::Display for NotTaken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            NotTaken::Unlike(what) => write!(f, "{what}"),
            NotTaken::OtherDisk { known } => write!(
                f,
                "this keeper had disk {known} before; what it promised then is lost with it. Start a keeper with a \
                 new number in its place"
            ),
            NotTaken::WentBack { step, known } => write!(
                f,
                "this keeper's disk has {step} steps, and had {known}: it was put back from a copy. Start a keeper \
                 with a new number in its place"
            ),
            NotTaken::Replaced => {
                write!(
                    f,
                    "another keeper has taken this one's place; it is no longer needed"
                )
            }
            NotTaken::Lists { yours, mine } => write!(
                f,
                "the keepers are known there by list {mine}, here by list {yours}. A new keeper is started with --join"
            ),
        }
    }
}

/// What is to be done with a batch.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Take {
    /// It came before, or was overtaken: nothing.
    Nothing,
    /// Its messages follow the ones before.
    InOrder,
    /// Some before it are missing.
    AfterLoss,
}

/// What a keeper was told, for comparison.
pub(crate) struct Told {
    pub fleet: String,
    pub me: u64,
    pub members: Vec<u64>,
    /// The number of that list, and who was on one before it.
    pub list: u32,
    pub gone: BTreeSet<u64>,
    pub bounds: LeaseTiming,
}

/// Batches that came in.
#[derive(Default)]
pub(crate) struct Incoming {
    last: BTreeMap<u64, (u64, u64)>,
}

impl Incoming {
    /// Looks at a batch, and notes what it tells of its sender's disk.
    pub fn take(
        &mut self,
        told: &Told,
        disks: &mut BTreeMap<u64, PeerDisk>,
        batch: &Batch,
    ) -> Result<Take, NotTaken> {
        let unlike = |what: String| Err(NotTaken::Unlike(what));
        if batch.fleet != told.fleet {
            return unlike(format!("this is fleet {:?}", told.fleet));
        }
        if told.gone.contains(&batch.from) {
            return Err(NotTaken::Replaced);
        }
        if batch.list != told.list {
            return Err(NotTaken::Lists {
                yours: batch.list,
                mine: told.list,
            });
        }
        if batch.members != told.members {
            return unlike(format!("the keepers here are {:?}", told.members));
        }
        if batch.to != told.me || batch.from == told.me || !told.members.contains(&batch.from) {
            return unlike(format!("this is keeper {}", told.me));
        }
        if (batch.term, batch.drift) != (told.bounds.term, told.bounds.drift) {
            return unlike(format!(
                "permits here last {} us, drift {}",
                told.bounds.term, told.bounds.drift
            ));
        }
        if batch
            .messages
            .iter()
            .any(|m| m.from() != batch.from || m.to() != batch.to)
        {
            return unlike("its messages are others'".into());
        }
        if let Some(known) = disks.get(&batch.from)
            && known.disk != batch.disk
        {
            return Err(NotTaken::OtherDisk {
                known: known.disk.clone(),
            });
        }
        let before = self.last.get(&batch.from).copied();
        if before.is_some_and(|(life, number)| {
            batch.life < life || (batch.life == life && batch.number <= number)
        }) {
            // Danger: a life that is over may still have batches on their way. Not one that began from an old disk:
            // such a one has a number of steps that went back, and it is refused below once it is the newest.
            let known = disks.get(&batch.from).map_or(0, |k| k.step);
            let old_life = before.is_some_and(|(life, _)| batch.life < life);
            if old_life && batch.number == 0 {
                return Err(NotTaken::WentBack {
                    step: batch.step,
                    known,
                });
            }
            return Ok(Take::Nothing);
        }
        let known = disks.entry(batch.from).or_insert(PeerDisk {
            disk: batch.disk.clone(),
            step: 0,
        });
        if batch.step < known.step {
            return Err(NotTaken::WentBack {
                step: batch.step,
                known: known.step,
            });
        }
        known.step = batch.step;
        self.last.insert(batch.from, (batch.life, batch.number));
        match before {
            Some((life, number)) if life == batch.life && number + 1 == batch.number => {
                Ok(Take::InOrder)
            }
            _ => Ok(Take::AfterLoss),
        }
    }
}

#[cfg(test)]
mod tests;
