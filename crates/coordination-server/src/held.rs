//! Owns what a keeper's disk holds, in memory as on the disk, and how a change of it is made: a log that is whole towards
//! the consensus library, though old entries are let go of.

use std::collections::VecDeque;

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::StopSign;

use crate::log::Entry;
use crate::machine::Machine;
use crate::members::Members;

/// What is held, in memory as on the disk.
#[derive(Default)]
pub(crate) struct Held {
    pub promise: Option<Ballot>,
    pub accepted_round: Option<Ballot>,
    pub decided: usize,
    pub stopsign: Option<StopSign>,
    /// Entries before this one are let go; `state` is what they led to.
    pub base: usize,
    pub state: Machine,
    pub log: VecDeque<Entry>,
    /// Who the keepers are; `None`: as the configuration says.
    pub members: Option<Members>,
}

/// One change of what is held.
pub(crate) enum Change {
    Promise(Ballot),
    AcceptedRound(Ballot),
    Decided(usize),
    Stopsign(Option<StopSign>),
    /// These entries from that index on, and nothing behind them.
    Write(usize, Vec<Entry>),
    LetGo(usize, Machine),
    /// Another list of keepers holds, from that index on; what was promised and accepted under the one before is over.
    MoveOn(Members, usize, Machine),
}

impl Held {
    /// The index behind the last entry.
    pub fn next(&self) -> usize {
        self.base + self.log.len()
    }

    /// Changes as they are written: a state in front of entries takes the place of what it stands for, and what this
    /// disk has let go of is not written again.
    pub fn fitted(&self, changes: Vec<Change>) -> Vec<Change> {
        let mut all = Vec::with_capacity(changes.len());
        let mut base = self.base;
        for change in changes {
            let Change::Write(mut from, mut entries) = change else {
                all.push(change);
                continue;
            };
            if let Some(Entry::State(upto, state)) = entries.first()
                && *upto > base
            {
                base = *upto;
                all.push(Change::LetGo(base, (**state).clone()));
            }
            if from < base {
                entries.drain(..(base - from).min(entries.len()));
                from = base;
            }
            all.push(Change::Write(from, entries));
        }
        all
    }

    pub fn change(&mut self, change: Change) {
        match change {
            Change::Promise(b) => self.promise = Some(b),
            Change::AcceptedRound(b) => self.accepted_round = Some(b),
            Change::Decided(n) => self.decided = n,
            Change::Stopsign(s) => self.stopsign = s,
            Change::LetGo(upto, state) => {
                self.log.drain(..(upto - self.base).min(self.log.len()));
                (self.base, self.state) = (upto, state);
            }
            Change::MoveOn(members, base, state) => {
                let members = Some(members);
                *self = Held {
                    members,
                    base,
                    state,
                    decided: base,
                    ..Held::default()
                };
            }
            Change::Write(from, entries) => {
                self.log.truncate(from - self.base);
                self.log.extend(entries);
            }
        }
    }

    pub fn between(&self, from: usize, to: usize) -> Vec<Entry> {
        if to > self.next() || from >= to {
            return Vec::new();
        }
        let mut all = Vec::with_capacity(to - from);
        if from < self.base {
            all.push(Entry::State(self.base, Box::new(self.state.clone())));
            all.resize(self.base.min(to) - from, Entry::Filler);
        }
        let kept = from.max(self.base)..to.max(self.base);
        all.extend(
            self.log
                .range(kept.start - self.base..kept.end - self.base)
                .cloned(),
        );
        all
    }
}
