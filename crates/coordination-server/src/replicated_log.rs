//! The replicated log. All replicas take the decided entries in the same order. A replica that lags far behind takes a
//! snapshot instead of the entries that it missed. Only this module, [`entry`](crate::entry) and
//! [`storage`](crate::storage) depend on the consensus library.

use omnipaxos::errors::ConfigError;
use omnipaxos::messages::Message as ConsensusMessage;
use omnipaxos::util::LogEntry;
use omnipaxos::{ClusterConfig, OmniPaxos, ServerConfig};
use serde::{Deserialize, Serialize};

use crate::entry::Entry;
use crate::membership::Membership;
use crate::state_machine::StateMachine;
use crate::storage::DiskStorage;

/// Ticks between two rounds of leader election, in which a leader without heartbeats is replaced. The server ticks
/// every `TICK_INTERVAL`.
const ELECTION_TIMEOUT_TICKS: u64 = 10;
/// Ticks until an unanswered message is sent again.
const RESEND_TIMEOUT_TICKS: u64 = 25;
/// Number of entries above which decided entries are compacted.
const COMPACTION_THRESHOLD: usize = 512;

/// An error of the consensus library when it rejects a membership.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct LogError(#[from] ConfigError);

/// A message of the consensus library to another replica.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Message(ConsensusMessage<Entry>);

impl Message {
    /// Returns the id of the sender.
    pub fn sender(&self) -> u64 {
        self.0.get_sender()
    }

    /// Returns the id of the receiver.
    pub fn receiver(&self) -> u64 {
        self.0.get_receiver()
    }
}

/// A decided entry.
#[derive(Debug)]
pub struct DecidedEntry {
    /// The index after the entry.
    pub next_index: usize,
    /// The entry.
    pub entry: Entry,
}

/// The size of a log, in entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSize {
    /// Entries decided since the cluster began.
    pub decided: usize,
    /// Entries that are not compacted.
    pub retained: usize,
}

/// The leader as known to one replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leader {
    /// The id of the leader.
    pub replica: u64,
    /// Whether the leader can decide entries because its prepare phase is complete.
    pub can_decide: bool,
}

/// One replica's instance of the replicated log.
pub struct ReplicatedLog {
    consensus: OmniPaxos<Entry, DiskStorage>,
    storage: DiskStorage,
    replica: u64,
    membership: Membership,
    /// The index after the last entry taken.
    next_index: usize,
}

impl ReplicatedLog {
    /// Opens the log in a storage. `initial` is the membership with which the cluster starts.
    ///
    /// # Errors
    ///
    /// Returns an error if the consensus library rejects the membership.
    pub fn open(
        replica: u64,
        initial: Membership,
        storage: DiskStorage,
    ) -> Result<ReplicatedLog, LogError> {
        let membership = storage.membership().unwrap_or(initial);
        let consensus = start_consensus(replica, &membership, &storage)?;
        Ok(ReplicatedLog {
            consensus,
            storage,
            replica,
            membership,
            next_index: 0,
        })
    }

    /// Puts a new membership into effect at an index. `snapshot` is the state after all earlier entries. The storage of
    /// a replica that is no longer a member stays unchanged, because that replica does not take part in the new
    /// membership.
    ///
    /// # Errors
    ///
    /// Returns an error if the consensus library rejects the membership.
    pub fn reconfigure(
        &mut self,
        membership: Membership,
        index: usize,
        snapshot: &StateMachine,
    ) -> Result<(), LogError> {
        if membership.contains(self.replica) {
            self.storage
                .reconfigure(membership.clone(), index, snapshot.clone());
            self.consensus = start_consensus(self.replica, &membership, &self.storage)?;
        }
        self.next_index = index;
        self.membership = membership;
        Ok(())
    }

    /// Returns the membership in effect.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the index after the last entry taken.
    pub fn next_index(&self) -> usize {
        self.next_index
    }

    /// Advances the consensus library's timeouts by one tick.
    pub fn tick(&mut self) {
        self.consensus.tick();
    }

    /// Handles a message. Ignores a message from or to a replica that is not a member.
    pub fn handle_message(&mut self, message: Message) {
        self.consensus.handle_incoming(message.0);
    }

    /// Proposes an entry. The proposal may get lost, in which case the caller must propose the entry again.
    pub fn propose(&mut self, entry: Entry) {
        // Fails only during the library's own reconfiguration, which is not used.
        let _ = self.consensus.append(entry);
    }

    /// Notifies the consensus library that messages from or to a replica may have been lost.
    pub fn reconnected(&mut self, replica: u64) {
        self.consensus.reconnected(replica);
    }

    /// Takes the messages to send.
    pub fn take_messages(&mut self) -> Vec<Message> {
        let mut messages = Vec::new();
        self.consensus.take_outgoing_messages(&mut messages);
        messages.into_iter().map(Message).collect()
    }

    /// Takes the entries decided since the last call, in order, without the compacted entries that follow a snapshot.
    pub fn take_decided(&mut self) -> Vec<DecidedEntry> {
        let decided = self.consensus.get_decided_idx();
        if decided <= self.next_index {
            return Vec::new();
        }
        let from = self.next_index;
        // `None` only for a range outside the log, which is complete for the library, see `storage`.
        let entries = self.consensus.read_decided_suffix(from).unwrap_or_default();
        self.next_index = decided;
        (from + 1..)
            .zip(entries)
            .filter_map(|(next_index, entry)| match entry {
                LogEntry::Decided(Entry::Compacted) => None,
                LogEntry::Decided(entry) => Some(DecidedEntry { next_index, entry }),
                _ => None,
            })
            .collect()
    }

    /// Compacts the log if it retains more than `COMPACTION_THRESHOLD` entries. `state` is the state after all entries
    /// taken.
    pub fn compact_if_long(&mut self, state: &StateMachine) {
        if self.storage.retained() > COMPACTION_THRESHOLD {
            self.storage.compact(self.next_index, state);
        }
    }

    /// Returns the leader, if this replica knows one.
    pub fn leader(&self) -> Option<Leader> {
        let (replica, can_decide) = self.consensus.get_current_leader()?;
        Some(Leader {
            replica,
            can_decide,
        })
    }

    /// Returns the size of the log.
    pub fn size(&self) -> LogSize {
        LogSize {
            decided: self.consensus.get_decided_idx(),
            retained: self.storage.retained(),
        }
    }
}

fn start_consensus(
    replica: u64,
    membership: &Membership,
    storage: &DiskStorage,
) -> Result<OmniPaxos<Entry, DiskStorage>, LogError> {
    let cluster = ClusterConfig {
        configuration_id: membership.number,
        nodes: membership.replica_ids(),
        flexible_quorum: None,
    };
    let server = ServerConfig {
        pid: replica,
        election_tick_timeout: ELECTION_TIMEOUT_TICKS,
        resend_message_tick_timeout: RESEND_TIMEOUT_TICKS,
        ..ServerConfig::default()
    };
    Ok(cluster.build_for_server(server, storage.clone())?)
}
