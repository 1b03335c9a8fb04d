//! A replica without sockets or a clock: its inputs are requests, messages and the current time, its outputs are
//! responses and messages. The same code runs in the server and in simulated time.

use hoptiller_coordination::{
    Command, ConfigState, ExpiryTracker, Holder, LeaseTiming, Micros, Shard,
};
use serde::{Deserialize, Serialize};

use crate::entry::Entry;
use crate::expiry_check::{ExpiryCheck, ExpiryCheckInput};
use crate::in_flight::InFlightEntries;
use crate::membership::{Membership, Replacement};
use crate::replicated_log::{LogError, LogSize, Message, ReplicatedLog};
use crate::request::{CompletedRequest, RequestId, Response};
use crate::state_machine::{EntryId, StateMachine};

/// Maximum number of commands in one entry.
const MAX_COMMANDS_PER_ENTRY: usize = 512;

/// The state from which a replica starts under a membership, as sent to a new or outdated replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplicatedState {
    /// The membership.
    #[serde(rename = "members")]
    pub membership: Membership,
    /// The number of log entries applied to the state.
    pub index: usize,
    /// The state machine after these entries.
    #[serde(rename = "machine")]
    pub state_machine: StateMachine,
}

/// A replica of the coordination service.
pub struct Replica {
    id: u64,
    incarnation: u64,
    lease_timing: LeaseTiming,
    log: ReplicatedLog,
    state_machine: StateMachine,
    /// The expiry of leases by this replica's clock.
    expiry: ExpiryTracker,
    /// Submitted commands that are not proposed yet.
    queued_commands: Vec<(RequestId, Command)>,
    in_flight: InFlightEntries,
    completed: Vec<CompletedRequest>,
    next_request_id: RequestId,
    next_sequence: u64,
    expiry_check: ExpiryCheck,
    /// Set if the log can't continue under a new membership.
    failure: Option<LogError>,
}

impl Replica {
    /// Creates a replica that continues from its log. `incarnation` distinguishes this process from earlier ones.
    pub fn new(
        id: u64,
        incarnation: u64,
        lease_timing: LeaseTiming,
        log: ReplicatedLog,
        now: Micros,
    ) -> Replica {
        let mut replica = Replica {
            id,
            incarnation,
            lease_timing,
            log,
            state_machine: StateMachine::default(),
            expiry: ExpiryTracker::default(),
            queued_commands: Vec::new(),
            in_flight: InFlightEntries::default(),
            completed: Vec::new(),
            next_request_id: RequestId::default(),
            next_sequence: 0,
            expiry_check: ExpiryCheck::default(),
            failure: None,
        };
        replica.apply_decided(now);
        // When the leases were last renewed is unknown after a restart, so that all of them count from now.
        replica.expiry = ExpiryTracker::start(now, replica.config_state());
        replica
    }

    /// Submits a command. Its response becomes available once a quorum has decided the command.
    pub fn submit(&mut self, command: Command) -> RequestId {
        let request_id = self.new_request_id();
        self.queued_commands.push((request_id, command));
        request_id
    }

    /// Submits a replacement of one replica by another.
    pub fn submit_replacement(&mut self, now: Micros, replacement: Replacement) -> RequestId {
        let request_id = self.new_request_id();
        let id = self.new_entry_id();
        let entry = Entry::Replace(id, replacement);
        self.propose(now, id, entry, vec![Some(request_id)]);
        request_id
    }

    /// Returns the state that a new or outdated replica needs.
    pub fn replicated_state(&self) -> ReplicatedState {
        ReplicatedState {
            membership: self.membership().clone(),
            index: self.log.next_index(),
            state_machine: self.state_machine.clone(),
        }
    }

    /// Installs a later membership and its state. Ignores a membership that is not later than the current one.
    pub fn install(&mut self, now: Micros, state: ReplicatedState) {
        if state.membership.number > self.membership().number {
            self.state_machine = state.state_machine;
            self.reconfigure(now, state.membership, state.index);
            self.expiry.observe(now, self.state_machine.config_state());
        }
    }

    /// Cancels a request for which no caller waits any more. Its command may still take effect.
    pub fn cancel(&mut self, request_id: RequestId) {
        self.queued_commands
            .retain(|(queued, _)| *queued != request_id);
        self.in_flight.cancel(request_id);
    }

    /// Handles messages from another replica, which must have been sent under the membership in effect here.
    pub fn handle_messages(&mut self, now: Micros, messages: Vec<Message>) {
        for message in messages {
            self.log.handle_message(message);
        }
        self.apply_decided(now);
    }

    /// Notifies the log that messages from or to a replica may have been lost.
    pub fn reconnected(&mut self, replica: u64) {
        self.log.reconnected(replica);
    }

    /// Proposes the submitted commands, in entries of up to `MAX_COMMANDS_PER_ENTRY` commands, and applies decided
    /// entries. [`Replica::tick`] calls this, so that the commands of one tick share an entry.
    pub fn flush(&mut self, now: Micros) {
        while !self.queued_commands.is_empty() {
            let size = self.queued_commands.len().min(MAX_COMMANDS_PER_ENTRY);
            let (requests, commands) = self
                .queued_commands
                .drain(..size)
                .map(|(request_id, command)| (Some(request_id), command))
                .unzip();
            self.propose_commands(now, requests, commands);
        }
        self.apply_decided(now);
    }

    /// Advances timeouts by one tick, and proposes submitted commands, overdue entries and commands for expired leases.
    pub fn tick(&mut self, now: Micros) {
        if self.is_replaced() {
            return;
        }
        self.log.tick();
        self.flush(now);
        for entry in self.in_flight.restart_overdue(now) {
            self.log.propose(entry);
        }
        self.check_expiry(now);
        self.apply_decided(now);
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
        self.in_flight.insert(now, id, entry.clone(), requests);
        self.log.propose(entry);
    }

    fn new_request_id(&mut self) -> RequestId {
        let request_id = self.next_request_id;
        self.next_request_id = request_id.next();
        request_id
    }

    fn new_entry_id(&mut self) -> EntryId {
        self.next_sequence += 1;
        EntryId {
            replica: self.id,
            incarnation: self.incarnation,
            sequence: self.next_sequence - 1,
        }
    }

    /// Continues under a new membership. Proposals under the previous membership no longer take effect, so the entries
    /// in flight are proposed again. Those that were already applied are ignored, see [`StateMachine::apply`].
    fn reconfigure(&mut self, now: Micros, membership: Membership, index: usize) {
        if let Err(error) = self.log.reconfigure(membership, index, &self.state_machine) {
            self.failure = Some(error);
        }
        for entry in self.in_flight.restart_all(now) {
            self.log.propose(entry);
        }
    }

    /// Proposes the commands that put unblocked versions into force and remove expired leases.
    fn check_expiry(&mut self, now: Micros) {
        let input = ExpiryCheckInput {
            config: self.state_machine.config_state(),
            expiry: &self.expiry,
            lease_timing: &self.lease_timing,
            is_leader: self.is_leader(),
        };
        for command in self.expiry_check.due_commands(now, &input) {
            let id = self.propose_commands(now, Vec::new(), vec![command]);
            self.expiry_check.record_proposed(now, id);
        }
    }

    /// Returns whether this replica is the leader and can decide entries.
    fn is_leader(&self) -> bool {
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
                // Commands of this replica among the compacted entries get no response: when they are proposed again,
                // they count as applied. Their callers time out.
                Entry::Snapshot(_, state_machine) => self.state_machine = *state_machine,
                // `ReplicatedLog::take_decided` leaves these out.
                Entry::Compacted => {}
                Entry::Commands(id, commands) => self.apply_commands(id, commands),
                Entry::Replace(id, replacement) => {
                    if let Some(next) = self.apply_replacement(id, &replacement) {
                        self.reconfigure(now, next, decided.next_index);
                        // Later entries were decided under the previous membership, and are void.
                        break;
                    }
                }
            }
        }
        // The storage of a replaced replica stays unchanged, see `ReplicatedLog::reconfigure`.
        if !self.is_replaced() {
            self.log.compact_if_long(&self.state_machine);
        }
        self.expiry.observe(now, self.state_machine.config_state());
    }

    fn apply_commands(&mut self, id: EntryId, commands: Vec<Command>) {
        let requests = self.in_flight.remove(id);
        self.expiry_check.record_decided(id);
        let results = self.state_machine.apply(id, commands).unwrap_or_default();
        for (request_id, result) in requests.into_iter().zip(results) {
            self.complete(request_id, Response::Command(result));
        }
    }

    /// Returns the membership that takes effect, if the replacement changes it.
    fn apply_replacement(&mut self, id: EntryId, replacement: &Replacement) -> Option<Membership> {
        let next = self.membership().with_replacement(replacement);
        let number = next
            .as_ref()
            .map(|next| next.number)
            .map_err(|error| *error);
        for request_id in self.in_flight.remove(id) {
            self.complete(request_id, Response::Replaced(number));
        }
        next.ok()
            .filter(|next| next.number > self.membership().number)
    }

    fn complete(&mut self, request_id: Option<RequestId>, response: Response) {
        if let Some(request_id) = request_id {
            self.completed.push(CompletedRequest {
                request_id,
                response,
            });
        }
    }

    /// Takes the completed requests.
    pub fn take_completed(&mut self) -> Vec<CompletedRequest> {
        std::mem::take(&mut self.completed)
    }

    /// Takes the messages to send.
    pub fn take_messages(&mut self) -> Vec<Message> {
        if self.is_replaced() {
            Vec::new()
        } else {
            self.log.take_messages()
        }
    }

    /// Returns the configuration state as known to this replica.
    pub fn config_state(&self) -> &ConfigState {
        self.state_machine.config_state()
    }

    /// Returns the time until a holder's configuration lease expires by this replica's clock; `None` if it is not held.
    pub fn config_lease_remaining(&self, now: Micros, holder: &Holder) -> Option<Micros> {
        self.expiry
            .config_lease_remaining(now, holder, &self.lease_timing)
    }

    /// Returns the time until the lease of a shard expires by this replica's clock; `None` if it is not held.
    pub fn task_lease_remaining(&self, now: Micros, shard: &Shard) -> Option<Micros> {
        self.expiry
            .task_lease_remaining(now, shard, &self.lease_timing)
    }

    /// Returns the id of the leader, if this replica knows one.
    pub fn leader(&self) -> Option<u64> {
        self.log.leader().map(|leader| leader.replica)
    }

    /// Returns the membership in effect.
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Returns whether another replica has replaced this one.
    pub fn is_replaced(&self) -> bool {
        !self.membership().contains(self.id)
    }

    /// Takes the error because of which this replica must stop.
    pub fn take_failure(&mut self) -> Option<LogError> {
        self.failure.take()
    }

    /// Returns the size of the log.
    pub fn log_size(&self) -> LogSize {
        self.log.size()
    }
}
