//! A replica without its sockets and clocks: requests, messages and time go in, responses and messages come out. The
//! same code runs behind sockets and in simulated time.

use std::collections::{BTreeMap, BTreeSet};

use hoptiller_coordination::fault_injection::{self, Fault};
use hoptiller_coordination::{
    Command, CommandResponse, ConfigState, ExpiryTracker, Holder, LeaseTiming, Micros, Shard,
};
use serde::{Deserialize, Serialize};

use crate::entry::Entry;
use crate::membership::{Membership, ReplaceError, Replacement};
use crate::replicated_log::{LogError, LogSize, Message, ReplicatedLog};
use crate::state_machine::{EntryId, StateMachine};

/// Limit of the commands in one entry.
const MAX_COMMANDS_PER_ENTRY: usize = 512;
/// An entry that is not decided by then is proposed again: its message was lost, or its leader.
const REPROPOSE_AFTER: Micros = 700_000;
/// Interval between two checks for expired leases.
const EXPIRY_CHECK_INTERVAL: Micros = 50_000;
/// Interval between two entries that do nothing but drop expired leases.
const DROP_EXPIRED_INTERVAL: Micros = 1_000_000;
/// How long a follower waits for the leader to put a version into force before it does so itself.
const FOLLOWER_DELAY: Micros = 1_000_000;

/// The id of a request that waits for its response.
pub type RequestId = u64;

/// A request with its response.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletedRequest {
    /// The request.
    pub request: RequestId,
    /// Its response.
    pub response: Response,
}

/// The response to a request that went through the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// The result of a command.
    Command(CommandResponse),
    /// The number of the membership after a replacement.
    Replaced(Result<u32, ReplaceError>),
}

/// What a replica needs to begin under a membership.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicatedState {
    /// The membership.
    #[serde(rename = "members")]
    pub membership: Membership,
    /// The number of entries that led to the state.
    pub index: usize,
    /// The state after these entries.
    #[serde(rename = "machine")]
    pub state_machine: StateMachine,
}

/// A proposed entry that is not known to be decided.
struct InFlightEntry {
    entry: Entry,
    /// The request of each command; `None` once nobody waits for its response.
    requests: Vec<Option<RequestId>>,
    proposed_at: Micros,
}

/// A replica.
pub struct Replica {
    id: u64,
    incarnation: u64,
    bounds: LeaseTiming,
    log: ReplicatedLog,
    state_machine: StateMachine,
    /// When leases expire by this replica's clock.
    expiry: ExpiryTracker,
    /// Commands for the next entry.
    batch: Vec<(RequestId, Command)>,
    in_flight: BTreeMap<EntryId, InFlightEntry>,
    completed: Vec<CompletedRequest>,
    next_request: RequestId,
    next_sequence: u64,
    expiry_checked_at: Micros,
    settled_at: Micros,
    /// The entry in flight that puts versions into force or drops leases, and when it was proposed.
    settling: Option<(EntryId, Micros)>,
    /// Since when nothing blocks the next version.
    unblocked_since: Option<Micros>,
    /// The log could not continue under another membership.
    failure: Option<LogError>,
}

impl Replica {
    /// A replica that continues with its log; `incarnation` tells this process from the ones before.
    pub fn new(
        id: u64,
        incarnation: u64,
        bounds: LeaseTiming,
        log: ReplicatedLog,
        now: Micros,
    ) -> Replica {
        let mut replica = Replica {
            id,
            incarnation,
            bounds,
            log,
            state_machine: StateMachine::default(),
            expiry: ExpiryTracker::default(),
            batch: Vec::new(),
            in_flight: BTreeMap::new(),
            completed: Vec::new(),
            next_request: 0,
            next_sequence: 0,
            expiry_checked_at: 0,
            settled_at: 0,
            settling: None,
            unblocked_since: None,
            failure: None,
        };
        replica.apply_decided(now);
        replica.expiry = ExpiryTracker::start(now, replica.config_state());
        replica
    }

    /// Submits a command. Its response follows once a quorum has it.
    pub fn submit(&mut self, command: Command) -> RequestId {
        let request = self.new_request();
        self.batch.push((request, command));
        request
    }

    /// Submits the replacement of a replica.
    pub fn replace(&mut self, now: Micros, replacement: Replacement) -> RequestId {
        let request = self.new_request();
        let id = self.new_entry_id();
        let entry = Entry::Replace(id, replacement);
        self.propose(now, id, entry, vec![Some(request)]);
        request
    }

    /// What a replica that lags behind needs.
    pub fn replicated_state(&self) -> ReplicatedState {
        ReplicatedState {
            membership: self.membership().clone(),
            index: self.log.next_index(),
            state_machine: self.state_machine.clone(),
        }
    }

    /// Installs a later membership with the state that belongs to it. One that is not later changes nothing.
    pub fn install(&mut self, now: Micros, state: ReplicatedState) {
        if state.membership.number > self.membership().number {
            self.state_machine = state.state_machine;
            self.reconfigure(now, state.membership, state.index);
            self.expiry.observe(now, self.state_machine.config_state());
        }
    }

    /// Notes that nobody waits for a response any more.
    pub fn cancel(&mut self, request: RequestId) {
        self.batch.retain(|(batched, _)| *batched != request);
        let waiting = self
            .in_flight
            .values_mut()
            .flat_map(|in_flight| &mut in_flight.requests);
        for slot in waiting.filter(|slot| **slot == Some(request)) {
            *slot = None;
        }
    }

    /// Handles messages of another replica. They must have been sent under the membership in effect here.
    pub fn handle_messages(&mut self, now: Micros, messages: Vec<Message>) {
        for message in messages {
            self.log.handle_message(message);
        }
        self.apply_decided(now);
    }

    /// Notes that messages of or to a replica were lost.
    pub fn reconnected(&mut self, replica: u64) {
        self.log.reconnected(replica);
    }

    /// Proposes the commands submitted: to be called after each burst of them. [`Replica::tick`] does so too.
    pub fn flush(&mut self, now: Micros) {
        while !self.batch.is_empty() {
            let size = self.batch.len().min(MAX_COMMANDS_PER_ENTRY);
            let (requests, commands) = self
                .batch
                .drain(..size)
                .map(|(request, command)| (Some(request), command))
                .unzip();
            self.propose_commands(now, requests, commands);
        }
        self.apply_decided(now);
    }

    /// Advances time by one tick.
    pub fn tick(&mut self, now: Micros) {
        if self.is_replaced() {
            return;
        }
        self.log.tick();
        self.flush(now);
        self.repropose(now);
        self.check_expiry(now);
        self.apply_decided(now);
    }

    /// Proposes entries again that are in flight for long, and drops those that nobody waits for.
    fn repropose(&mut self, now: Micros) {
        let overdue = |in_flight: &InFlightEntry| now >= in_flight.proposed_at + REPROPOSE_AFTER;
        self.in_flight.retain(|_, in_flight| {
            !overdue(in_flight) || in_flight.requests.iter().any(Option::is_some)
        });
        for in_flight in self.in_flight.values_mut().filter(|entry| overdue(entry)) {
            in_flight.proposed_at = now;
            self.log.propose(in_flight.entry.clone());
        }
    }

    fn propose_commands(
        &mut self,
        now: Micros,
        requests: Vec<Option<RequestId>>,
        commands: Vec<Command>,
    ) -> EntryId {
        let id = self.new_entry_id();
        self.propose(now, id, Entry::Commands(id, commands), requests);
        id
    }

    fn propose(
        &mut self,
        now: Micros,
        id: EntryId,
        entry: Entry,
        requests: Vec<Option<RequestId>>,
    ) {
        let in_flight = InFlightEntry {
            entry: entry.clone(),
            requests,
            proposed_at: now,
        };
        self.in_flight.insert(id, in_flight);
        self.log.propose(entry);
    }

    fn new_request(&mut self) -> RequestId {
        self.next_request += 1;
        self.next_request - 1
    }

    fn new_entry_id(&mut self) -> EntryId {
        self.next_sequence += 1;
        EntryId {
            replica: self.id,
            incarnation: self.incarnation,
            sequence: self.next_sequence - 1,
        }
    }

    /// Continues under another membership. Entries in flight under the one before are void there, and are proposed
    /// again.
    fn reconfigure(&mut self, now: Micros, membership: Membership, index: usize) {
        if let Err(error) = self.log.reconfigure(membership, index, &self.state_machine) {
            self.failure = Some(error);
        }
        for in_flight in self.in_flight.values_mut() {
            in_flight.proposed_at = now;
            self.log.propose(in_flight.entry.clone());
        }
    }

    /// Proposes to put versions into force that nothing blocks any more, and to drop expired leases. Any replica may
    /// propose the former, as each judges by its own clock from when it learned of a lease; the leader does so first,
    /// which saves entries.
    fn check_expiry(&mut self, now: Micros) {
        let settling = self
            .settling
            .is_some_and(|(_, since)| now < since + REPROPOSE_AFTER);
        if now < self.expiry_checked_at + EXPIRY_CHECK_INTERVAL || settling {
            return;
        }
        self.expiry_checked_at = now;
        let last_version = self.config_state().latest();
        let lapsed = self.expiry.expired_config_leases(now, &self.bounds);
        let expired: BTreeSet<&Holder> = lapsed.iter().map(|(holder, _)| holder).collect();
        self.unblocked_since = self
            .is_unblocked(&expired)
            .then(|| self.unblocked_since.unwrap_or(now));
        let leads = self.leads();
        let drops_expired =
            leads && !lapsed.is_empty() && now >= self.settled_at + DROP_EXPIRED_INTERVAL;
        let settles = self
            .unblocked_since
            .is_some_and(|since| leads || now >= since + FOLLOWER_DELAY);
        let lapsed_leases = self.expiry.expired_task_leases(now, &self.bounds);
        if leads && !lapsed_leases.is_empty() {
            self.propose_settling(now, Command::ExpireTaskLeases(lapsed_leases));
        }
        if settles || drops_expired {
            self.settled_at = now;
            self.propose_settling(
                now,
                Command::CompleteRollout {
                    upto: last_version,
                    lapsed,
                },
            );
        }
    }

    fn propose_settling(&mut self, now: Micros, command: Command) {
        let id = self.propose_commands(now, Vec::new(), vec![command]);
        self.settling = Some((id, now));
    }

    /// Whether a version is pending and waits for no holder but expired ones.
    fn is_unblocked(&self, expired: &BTreeSet<&Holder>) -> bool {
        let config = self.config_state();
        let blocked = config
            .blocking_holders()
            .any(|(holder, _)| !expired.contains(holder));
        config.pending().len() > 0
            && (!blocked || fault_injection::is_injected(Fault::SkipRolloutWait))
    }

    /// Whether this replica leads and can decide entries.
    fn leads(&self) -> bool {
        self.log
            .leader()
            .is_some_and(|leader| leader.replica == self.id && leader.can_decide)
    }

    fn apply_decided(&mut self, now: Micros) {
        if self.is_replaced() {
            return;
        }
        let decided = self.log.take_decided();
        if decided.is_empty() {
            return;
        }
        for decided in decided {
            match decided.entry {
                // Commands of this replica among the compacted entries have no response: they are proposed again.
                Entry::Snapshot(_, state_machine) => self.state_machine = *state_machine,
                Entry::Compacted => {}
                Entry::Commands(id, commands) => self.apply_commands(id, commands),
                Entry::Replace(id, replacement) => {
                    if let Some(next) = self.apply_replacement(id, &replacement) {
                        self.reconfigure(now, next, decided.next_index);
                        // The entries behind it were decided under the membership that has just ended.
                        break;
                    }
                }
            }
        }
        if !self.is_replaced() {
            self.log.compact_if_long(&self.state_machine);
        }
        self.expiry.observe(now, self.state_machine.config_state());
    }

    fn apply_commands(&mut self, id: EntryId, commands: Vec<Command>) {
        let requests = self.take_in_flight(id);
        if self.settling.is_some_and(|(settling, _)| settling == id) {
            self.settling = None;
        }
        let results = self.state_machine.apply(id, commands).unwrap_or_default();
        for (request, result) in requests.into_iter().zip(results) {
            self.complete(request, Response::Command(result));
        }
    }

    /// Returns the membership that takes effect, if the replacement changes it.
    fn apply_replacement(&mut self, id: EntryId, replacement: &Replacement) -> Option<Membership> {
        let next = self.membership().with_replacement(replacement);
        let number = next
            .as_ref()
            .map(|next| next.number)
            .map_err(|error| *error);
        for request in self.take_in_flight(id) {
            self.complete(request, Response::Replaced(number));
        }
        next.ok()
            .filter(|next| next.number > self.membership().number)
    }

    /// Ends the flight of an entry, and returns the requests of its commands.
    fn take_in_flight(&mut self, id: EntryId) -> Vec<Option<RequestId>> {
        self.in_flight
            .remove(&id)
            .map(|in_flight| in_flight.requests)
            .unwrap_or_default()
    }

    fn complete(&mut self, request: Option<RequestId>, response: Response) {
        if let Some(request) = request {
            self.completed.push(CompletedRequest { request, response });
        }
    }

    /// Takes the requests that have a response.
    pub fn take_completed(&mut self) -> Vec<CompletedRequest> {
        std::mem::take(&mut self.completed)
    }

    /// Takes the messages to be sent.
    pub fn take_messages(&mut self) -> Vec<Message> {
        if self.is_replaced() {
            Vec::new()
        } else {
            self.log.take_messages()
        }
    }

    /// The configuration state, as this replica knows it.
    pub fn config_state(&self) -> &ConfigState {
        self.state_machine.config_state()
    }

    /// Time until a holder's lease of the configuration expires by this replica's clock.
    pub fn config_lease_left(&self, now: Micros, holder: &Holder) -> Option<Micros> {
        self.expiry
            .config_lease_remaining(now, holder, &self.bounds)
    }

    /// Time until the lease of a shard expires by this replica's clock.
    pub fn shard_lease_left(&self, now: Micros, shard: &Shard) -> Option<Micros> {
        self.expiry.task_lease_remaining(now, shard, &self.bounds)
    }

    /// The replica that leads, as far as this one knows.
    pub fn leader(&self) -> Option<u64> {
        self.log.leader().map(|leader| leader.replica)
    }

    /// The membership in effect.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Whether another replica has replaced this one.
    pub fn is_replaced(&self) -> bool {
        !self.membership().contains(self.id)
    }

    /// Takes the error after which this replica must stop.
    pub fn take_failure(&mut self) -> Option<LogError> {
        self.failure.take()
    }

    /// The size of the log.
    pub fn log_size(&self) -> LogSize {
        self.log.size()
    }
}
