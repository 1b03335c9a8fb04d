//! The replicated log. Decided entries come out in one order at every replica; a replica that was away for long gets a
//! snapshot instead of the entries that it missed. No other module knows which consensus library is used.

use omnipaxos::errors::ConfigError;
use omnipaxos::messages::Message as ConsensusMessage;
use omnipaxos::util::LogEntry;
use omnipaxos::{ClusterConfig, OmniPaxos, ServerConfig};
use serde::{Deserialize, Serialize};

use crate::entry::Entry;
use crate::membership::Membership;
use crate::state_machine::StateMachine;
use crate::storage::DiskStorage;

/// Ticks without a heartbeat of the leader until an election.
const ELECTION_TIMEOUT_TICKS: u64 = 10;
/// Ticks until a message that had no effect is sent again.
const RESEND_TIMEOUT_TICKS: u64 = 25;
/// With more entries than these, decided ones are compacted.
const COMPACTION_THRESHOLD: usize = 512;

/// The log can't be opened under a membership.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct LogError(#[from] ConfigError);

/// A message to another replica. Its contents are the consensus library's.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Message(ConsensusMessage<Entry>);

impl Message {
    /// The replica that sends it.
    pub fn sender(&self) -> u64 {
        self.0.get_sender()
    }

    /// The replica that receives it.
    pub fn receiver(&self) -> u64 {
        self.0.get_receiver()
    }
}

/// A decided entry.
#[derive(Debug)]
pub struct DecidedEntry {
    /// The index behind the entry.
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

/// The leader, as a replica knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leader {
    /// The replica that leads.
    pub replica: u64,
    /// Whether it can decide entries: its prepare phase is complete.
    pub can_decide: bool,
}

/// One replica's end of the log.
pub struct ReplicatedLog {
    consensus: OmniPaxos<Entry, DiskStorage>,
    storage: DiskStorage,
    replica: u64,
    membership: Membership,
    /// The index behind the last entry that was taken.
    next_index: usize,
}

impl ReplicatedLog {
    /// Opens the log in a storage; `initial` is the membership that the cluster begins with.
    ///
    /// # Errors
    ///
    /// When the consensus library rejects the membership.
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

    /// Puts another membership into effect from an index on; `snapshot` is the state after all entries before. The
    /// storage of a replica that is no longer a member is left as it is: it has no part in what follows.
    ///
    /// # Errors
    ///
    /// When the consensus library rejects the membership.
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

    /// The membership in effect.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// The index behind the last entry that was taken.
    pub fn next_index(&self) -> usize {
        self.next_index
    }

    /// Advances the timeouts by one tick.
    pub fn tick(&mut self) {
        self.consensus.tick();
    }

    /// Handles a message. One from or to a replica that is no member is dropped.
    pub fn handle_message(&mut self, message: Message) {
        self.consensus.handle_incoming(message.0);
    }

    /// Proposes an entry. It may get lost: whoever needs it proposes it again.
    pub fn propose(&mut self, entry: Entry) {
        // Fails only while the library's own reconfiguration is under way, which is not used.
        let _ = self.consensus.append(entry);
    }

    /// Records that messages of or to a replica were lost.
    pub fn reconnected(&mut self, replica: u64) {
        self.consensus.reconnected(replica);
    }

    /// Takes the messages to be sent.
    pub fn take_messages(&mut self) -> Vec<Message> {
        let mut messages = Vec::new();
        self.consensus.take_outgoing_messages(&mut messages);
        messages.into_iter().map(Message).collect()
    }

    /// Takes the entries decided since the last call, in order. Compacted entries behind a snapshot are left out.
    pub fn take_decided(&mut self) -> Vec<DecidedEntry> {
        let decided = self.consensus.get_decided_idx();
        if decided <= self.next_index {
            return Vec::new();
        }
        let from = self.next_index;
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

    /// Compacts the log if it is long; `state` is the state after all entries taken.
    pub fn compact_if_long(&mut self, state: &StateMachine) {
        if self.storage.retained() > COMPACTION_THRESHOLD {
            self.storage.compact(self.next_index, state);
        }
    }

    /// The leader, as this replica knows.
    pub fn leader(&self) -> Option<Leader> {
        let (replica, can_decide) = self.consensus.get_current_leader()?;
        Some(Leader {
            replica,
            can_decide,
        })
    }

    /// The size of the log.
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
