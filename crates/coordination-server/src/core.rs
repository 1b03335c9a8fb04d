//! Owns one keeper without its sockets and clocks: calls, messages and time are fed in, answers and messages come out.
//! The same code runs behind sockets and in simulated time.

use std::collections::{BTreeMap, BTreeSet};

use hoptiller_coordination::fault_injection::{self, Fault};
use hoptiller_coordination::{
    Command, CommandResponse, ConfigState, ExpiryTracker, Holder, LeaseTiming, Micros, Shard,
};
use serde::{Deserialize, Serialize};

use crate::log::{Entry, EntryId, Log, Message};
use crate::machine::Machine;
use crate::members::{Members, NotReplaced, Replace};

/// Acts that one entry holds at most.
const MOST_ACTS: usize = 512;
/// An entry that was not decided by then is proposed again: its message was lost, or its leader.
const AGAIN: Micros = 700_000;
/// Time between two looks at which permits have run out.
const LOOK: Micros = 50_000;
/// Time between two entries that do nothing but drop permits that have run out.
const TIDY: Micros = 1_000_000;

/// A keeper that does not lead brings a change in force when the leader has not done so for so long.
const OTHERS: Micros = 1_000_000;

/// A call that waits for its answer.
pub type Ticket = u64;

/// What a keeper gives out.
#[derive(Clone, Debug, PartialEq)]
pub struct Answered {
    /// To which call.
    pub ticket: Ticket,
    /// What it came to.
    pub answer: Told,
}

/// What a call came to.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// An act of the fleet's.
    Act(CommandResponse),
    /// One keeper has taken another's place: the number of the list.
    Replaced(Result<u32, NotReplaced>),
}

/// What a keeper needs that is new, or behind by a list of keepers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// Who the keepers are.
    pub members: Members,
    /// Steps of the log that led to it.
    pub index: usize,
    /// What they led to.
    pub machine: Machine,
}

struct Flight {
    entry: Entry,
    tickets: Vec<Ticket>,
    since: Micros,
}

/// A keeper.
pub struct Core {
    me: u64,
    life: u64,
    bounds: LeaseTiming,
    log: Log,
    machine: Machine,
    terms: ExpiryTracker,
    /// Acts that go into the next entry.
    batch: Vec<(Ticket, Command)>,
    flights: BTreeMap<EntryId, Flight>,
    answers: Vec<Answered>,
    next_ticket: Ticket,
    next_entry: u64,
    looked: Micros,
    tidied: Micros,
    /// The entry that settles, while it is on its way, and since when.
    settling: Option<(EntryId, Micros)>,
    /// Since when nothing stands against the next change.
    free_since: Option<Micros>,
    /// The log could not go on under another list of keepers.
    broken: Option<String>,
}

impl Core {
    /// A keeper that takes up its log; `life` tells this process from the ones before.
    pub fn new(me: u64, life: u64, bounds: LeaseTiming, log: Log, now: Micros) -> Core {
        let mut core = Core {
            me,
            life,
            bounds,
            log,
            machine: Machine::default(),
            terms: ExpiryTracker::default(),
            batch: Vec::new(),
            flights: BTreeMap::new(),
            answers: Vec::new(),
            next_ticket: 0,
            next_entry: 0,
            looked: 0,
            tidied: 0,
            settling: None,
            free_since: None,
            broken: None,
        };
        core.take_news(now);
        core.terms = ExpiryTracker::start(now, core.machine.fleet());
        core
    }

    /// A call that goes through the log. Its answer comes once more than half of the keepers have it.
    pub fn call(&mut self, act: Command) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.batch.push((ticket, act));
        ticket
    }

    /// One keeper is to take another's place.
    pub fn replace(&mut self, now: Micros, replace: Replace) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let id = self.next_id();
        self.launch(now, id, Entry::Replace(id, replace), vec![ticket]);
        ticket
    }

    /// What a keeper needs that is behind.
    pub fn state(&self) -> State {
        let members = self.members().clone();
        State {
            members,
            index: self.log.read(),
            machine: self.machine.clone(),
        }
    }

    /// Takes up a later list of keepers, with the state that belongs to it. One that is not later changes nothing.
    pub fn install(&mut self, now: Micros, state: State) {
        if state.members.number > self.members().number {
            self.machine = state.machine;
            self.move_on(now, state.members, state.index);
            self.terms.observe(now, self.machine.fleet());
        }
    }

    /// Nobody waits for a call any more; what it came to is not told.
    pub fn forget(&mut self, ticket: Ticket) {
        self.batch.retain(|(t, _)| *t != ticket);
        for flight in self.flights.values_mut() {
            flight
                .tickets
                .iter_mut()
                .filter(|t| **t == ticket)
                .for_each(|t| *t = Ticket::MAX);
        }
    }

    /// Messages of another keeper, of the same list of keepers: none of another list may be passed on.
    pub fn messages(&mut self, now: Micros, messages: Vec<Message>) {
        for message in messages {
            self.log.handle(message);
        }
        self.take_news(now);
    }

    /// The link to a keeper broke and is there again.
    pub fn reconnected(&mut self, keeper: u64) {
        self.log.reconnected(keeper);
    }

    /// Sends on what has gathered: to be called behind each burst of calls, and by [`Core::tick`].
    pub fn flush(&mut self, now: Micros) {
        while !self.batch.is_empty() {
            let part: Vec<(Ticket, Command)> = self
                .batch
                .drain(..self.batch.len().min(MOST_ACTS))
                .collect();
            let (tickets, acts) = part.into_iter().unzip();
            self.propose(now, tickets, acts);
        }
        self.take_news(now);
    }

    /// Time passes.
    pub fn tick(&mut self, now: Micros) {
        if self.is_replaced() {
            return;
        }
        self.log.tick();
        self.flush(now);
        let again: Vec<EntryId> = self
            .flights
            .iter()
            .filter(|(_, f)| now >= f.since + AGAIN)
            .map(|(id, _)| *id)
            .collect();
        for id in again {
            if let Some(flight) = self.flights.get_mut(&id) {
                flight.since = now;
                // Nobody waits, and nothing is lost: it is not worth repeating.
                if flight.tickets.iter().all(|t| *t == Ticket::MAX) {
                    self.flights.remove(&id);
                } else {
                    let entry = flight.entry.clone();
                    self.log.append(entry);
                }
            }
        }
        self.look(now);
        self.take_news(now);
    }

    fn propose(&mut self, now: Micros, tickets: Vec<Ticket>, acts: Vec<Command>) -> EntryId {
        let id = self.next_id();
        self.launch(now, id, Entry::Acts(id, acts), tickets);
        id
    }

    fn next_id(&mut self) -> EntryId {
        self.next_entry += 1;
        EntryId {
            keeper: self.me,
            life: self.life,
            number: self.next_entry - 1,
        }
    }

    fn launch(&mut self, now: Micros, id: EntryId, entry: Entry, tickets: Vec<Ticket>) {
        self.flights.insert(
            id,
            Flight {
                entry: entry.clone(),
                tickets,
                since: now,
            },
        );
        self.log.append(entry);
    }

    /// Goes on under another list of keepers. What was proposed under the one before, and not applied, is void there, and
    /// proposed again.
    fn move_on(&mut self, now: Micros, members: Members, index: usize) {
        if let Err(e) = self.log.move_on(members, index, &self.machine) {
            self.broken = Some(e);
        }
        for flight in self.flights.values_mut() {
            flight.since = now;
            self.log.append(flight.entry.clone());
        }
    }

    /// Brings changes in force that nothing stands against any more. Any keeper may say so, as each judges by its own
    /// clock from when it learned; that the leader does so first spares entries.
    fn look(&mut self, now: Micros) {
        if now < self.looked + LOOK || self.settling.is_some_and(|(_, since)| now < since + AGAIN) {
            return;
        }
        self.looked = now;
        let fleet = self.machine.fleet();
        let lapsed = self.terms.expired_config_leases(now, &self.bounds);
        let over: BTreeSet<&Holder> = lapsed.iter().map(|(h, _)| h).collect();
        let (pending, upto) = (fleet.pending().len() > 0, fleet.latest());
        let held_up = fleet.blocking_holders().any(|(h, _)| !over.contains(h))
            && !fault_injection::is_injected(Fault::SkipRolloutWait);
        let free = pending && !held_up;
        let since = if free {
            *self.free_since.get_or_insert(now)
        } else {
            now
        };
        if !free {
            self.free_since = None;
        }
        let leads = self.log.leader() == Some((self.me, true));
        let tidy = leads && !lapsed.is_empty() && now >= self.tidied + TIDY;
        let lapsed_leases = self.terms.expired_task_leases(now, &self.bounds);
        if leads && !lapsed_leases.is_empty() {
            let id = self.propose(
                now,
                Vec::new(),
                vec![Command::ExpireTaskLeases(lapsed_leases)],
            );
            self.settling = Some((id, now));
        }
        if (free && (leads || now >= since + OTHERS)) || tidy {
            self.tidied = now;
            let act = Command::CompleteRollout { upto, lapsed };
            let id = self.propose(now, Vec::new(), vec![act]);
            self.settling = Some((id, now));
        }
    }

    fn take_news(&mut self, now: Micros) {
        if self.is_replaced() {
            return;
        }
        let news = self.log.news();
        if news.is_empty() {
            return;
        }
        for (index, entry) in news {
            match entry {
                // Acts of ours among those that were not brought one by one have no answer: they are asked again.
                Entry::State(_, machine) => self.machine = *machine,
                Entry::Filler => {}
                Entry::Replace(id, replace) => {
                    let tickets = self
                        .flights
                        .remove(&id)
                        .map(|f| f.tickets)
                        .unwrap_or_default();
                    let next = self.members().replaced(&replace);
                    let told = Told::Replaced(next.as_ref().map(|m| m.number).map_err(|e| *e));
                    let answer = |ticket| Answered {
                        ticket,
                        answer: told.clone(),
                    };
                    self.answers.extend(
                        tickets
                            .into_iter()
                            .filter(|t| *t != Ticket::MAX)
                            .map(answer),
                    );
                    if let Ok(next) = next
                        && next.number > self.members().number
                    {
                        // What is left of these entries was decided under the list that has just ended.
                        self.move_on(now, next, index);
                        break;
                    }
                }
                Entry::Acts(id, acts) => {
                    let tickets = self
                        .flights
                        .remove(&id)
                        .map(|f| f.tickets)
                        .unwrap_or_default();
                    if self.settling.is_some_and(|(settling, _)| settling == id) {
                        self.settling = None;
                    }
                    let answers = self.machine.apply(id, acts).unwrap_or_default();
                    let wanted = tickets
                        .into_iter()
                        .zip(answers)
                        .filter(|(ticket, _)| *ticket != Ticket::MAX);
                    self.answers.extend(wanted.map(|(ticket, answer)| Answered {
                        ticket,
                        answer: Told::Act(answer),
                    }));
                }
            }
        }
        if !self.is_replaced() {
            self.log.tidy(&self.machine);
        }
        self.terms.observe(now, self.machine.fleet());
    }

    /// Answers that have come.
    pub fn take_answers(&mut self) -> Vec<Answered> {
        std::mem::take(&mut self.answers)
    }

    /// Messages to be sent.
    pub fn take_messages(&mut self) -> Vec<Message> {
        if self.is_replaced() {
            Vec::new()
        } else {
            self.log.outgoing()
        }
    }

    /// The state, as this keeper knows it.
    pub fn fleet(&self) -> &ConfigState {
        self.machine.fleet()
    }

    /// Time until a holder's permit has run out by this keeper's clock.
    pub fn left(&self, now: Micros, holder: &Holder) -> Option<Micros> {
        self.terms.config_lease_remaining(now, holder, &self.bounds)
    }

    /// Time until a lease has run out by this keeper's clock.
    pub fn left_of_lease(&self, now: Micros, part: &Shard) -> Option<Micros> {
        self.terms.task_lease_remaining(now, part, &self.bounds)
    }

    /// Who leads.
    pub fn leader(&self) -> Option<u64> {
        self.log.leader().map(|l| l.0)
    }

    /// Who the keepers are.
    pub fn members(&self) -> &Members {
        self.log.members()
    }

    /// Whether another keeper has taken this one's place.
    pub fn is_replaced(&self) -> bool {
        !self.members().at.contains_key(&self.me)
    }

    /// Why it may not go on, where that is so.
    pub fn broken(&self) -> Option<&str> {
        self.broken.as_deref()
    }

    /// Steps decided, and kept one by one.
    pub fn sizes(&self) -> (usize, usize) {
        self.log.sizes()
    }
}
