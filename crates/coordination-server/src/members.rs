//! Owns who the keepers are: a numbered list, in which one keeper at a time takes the place of another.
//!
//! A list holds from the entry of the log that makes it: what comes behind that entry under the list before is void, and
//! is proposed again under the new one. So a keeper that is lost with its disk never has to come back.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Numbers that keepers may have.
pub const NUMBERS: std::ops::RangeInclusive<u64> = 1..=99;

/// The keepers, from one change of them to the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Members {
    /// The list's number: the first is 1.
    pub number: u32,
    /// By keeper: where the others reach it, as far as their own files don't say otherwise.
    pub at: BTreeMap<u64, SocketAddr>,
    /// Keepers that were, and never are again.
    pub gone: BTreeSet<u64>,
}

/// One keeper is to take another's place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replace {
    /// Which one is no more.
    pub lost: u64,
    /// The number of the new one, which no keeper had before.
    pub new: u64,
    /// Where it is.
    pub at: SocketAddr,
}

/// Why a keeper is not replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotReplaced {
    /// There is no such keeper.
    Unknown(u64),
    /// A keeper has, or had, that number.
    Used(u64),
    /// No keeper may have that number.
    OutOfBounds(u64),
}

impl std::fmt::Display for NotReplaced {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            NotReplaced::Unknown(n) => write!(f, "there is no keeper {n}"),
            NotReplaced::Used(n) => write!(
                f,
                "a keeper has or had the number {n}; give the new one another"
            ),
            NotReplaced::OutOfBounds(n) => {
                write!(
                    f,
                    "{n}: numbers from {} to {} are wanted",
                    NUMBERS.start(),
                    NUMBERS.end()
                )
            }
        }
    }
}

impl Members {
    /// The list that a fleet begins with.
    pub fn first(at: BTreeMap<u64, SocketAddr>) -> Members {
        Members {
            number: 1,
            at,
            gone: BTreeSet::new(),
        }
    }

    /// The numbers of the keepers.
    pub fn all(&self) -> Vec<u64> {
        self.at.keys().copied().collect()
    }

    /// The list after a change; the same list where that change was made before. Depends on numbers alone, as keepers
    /// may know each other at different addresses.
    pub fn replaced(&self, r: &Replace) -> Result<Members, NotReplaced> {
        if self.gone.contains(&r.lost) && self.at.contains_key(&r.new) {
            return Ok(self.clone());
        }
        if !self.at.contains_key(&r.lost) {
            return Err(NotReplaced::Unknown(r.lost));
        }
        if !NUMBERS.contains(&r.new) {
            return Err(NotReplaced::OutOfBounds(r.new));
        }
        if self.at.contains_key(&r.new) || self.gone.contains(&r.new) {
            return Err(NotReplaced::Used(r.new));
        }
        let mut next = self.clone();
        next.number += 1;
        next.at.remove(&r.lost);
        next.at.insert(r.new, r.at);
        next.gone.insert(r.lost);
        Ok(next)
    }
}

#[cfg(test)]
mod tests;
