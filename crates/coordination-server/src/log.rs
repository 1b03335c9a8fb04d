//! Owns the replicated log, and hides which library brings it about. Entries come out decided, in one order, at every
//! keeper; a keeper that was away for long gets the state itself instead.

use hoptiller_coordination::Command;
use omnipaxos::messages::Message as Inner;
use omnipaxos::storage::Snapshot;
use omnipaxos::util::LogEntry;
use omnipaxos::{ClusterConfig, OmniPaxos, ServerConfig};
use serde::{Deserialize, Serialize};

use crate::disk::Disk;
use crate::machine::Machine;
use crate::members::{Members, Replace};

/// Ticks without a leader's heartbeat until an election.
const ELECTION_TICKS: u64 = 10;
/// Ticks until a message that had no effect is sent again.
const RESEND_TICKS: u64 = 25;
/// Entries that are kept one by one; with more, those that are decided are let go.
const MOST_KEPT: usize = 512;

/// What tells one entry from another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryId {
    /// The keeper that made it.
    pub keeper: u64,
    /// The life of that keeper.
    pub life: u64,
    /// Its number there.
    pub number: u64,
}

/// What stands in the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// Acts that go through the log together, and what tells them apart.
    #[serde(rename = "a")]
    Acts(EntryId, Vec<Command>),
    /// One keeper takes another's place: what comes behind it, under the same list of keepers, is void.
    #[serde(rename = "r")]
    Replace(EntryId, Replace),
    /// In place of entries that are let go, from here up to that index: the state after the last of them.
    #[serde(rename = "s")]
    State(usize, Box<Machine>),
    /// The place of an entry behind such a state.
    #[serde(rename = "f")]
    Filler,
}

impl omnipaxos::storage::Entry for Entry {
    type Snapshot = NoSnapshot;
}

/// The library's own snapshots are not used: see [`disk`](crate::disk).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum NoSnapshot {}

impl Snapshot<Entry> for NoSnapshot {
    fn create(_: &[Entry]) -> NoSnapshot {
        unreachable!("not asked for where `use_snapshots` is false")
    }

    fn merge(&mut self, _: NoSnapshot) {}

    fn use_snapshots() -> bool {
        false
    }
}

/// A message to another keeper. What is inside is the library's.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Message(Inner<Entry>);

impl Message {
    /// From whom.
    pub fn from(&self) -> u64 {
        self.0.get_sender()
    }

    /// To whom.
    pub fn to(&self) -> u64 {
        self.0.get_receiver()
    }
}

/// One keeper's end of the log.
pub struct Log {
    inner: OmniPaxos<Entry, Disk>,
    disk: Disk,
    me: u64,
    members: Members,
    read: usize,
}

impl Log {
    /// Takes up where the disk left off.
    pub fn open(me: u64, first: Members, disk: Disk) -> Result<Log, String> {
        let members = disk.members().unwrap_or(first);
        let inner = Log::build(me, &members, &disk)?;
        Ok(Log {
            inner,
            disk,
            me,
            members,
            read: 0,
        })
    }

    fn build(me: u64, members: &Members, disk: &Disk) -> Result<OmniPaxos<Entry, Disk>, String> {
        let cluster = ClusterConfig {
            configuration_id: members.number,
            nodes: members.all(),
            flexible_quorum: None,
        };
        let server = ServerConfig {
            pid: me,
            election_tick_timeout: ELECTION_TICKS,
            resend_message_tick_timeout: RESEND_TICKS,
            ..ServerConfig::default()
        };
        cluster
            .build_for_server(server, disk.clone())
            .map_err(|e| e.to_string())
    }

    /// Another list of keepers holds from that index on; `state` is what all before led to. Where this keeper is none of
    /// them, nothing changes: it has no part in what comes.
    pub fn move_on(
        &mut self,
        members: Members,
        index: usize,
        state: &Machine,
    ) -> Result<(), String> {
        if members.at.contains_key(&self.me) {
            self.disk.move_on(members.clone(), index, state.clone());
            self.inner = Log::build(self.me, &members, &self.disk)?;
        }
        self.read = index;
        self.members = members;
        Ok(())
    }

    /// Who the keepers are.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The index behind the last entry that was given out.
    pub fn read(&self) -> usize {
        self.read
    }

    /// Time passes.
    pub fn tick(&mut self) {
        self.inner.tick();
    }

    /// A message has come. One from or to somebody else is dropped.
    pub fn handle(&mut self, message: Message) {
        self.inner.handle_incoming(message.0);
    }

    /// Wants an entry in the log. It may get lost: whoever needs it asks again.
    pub fn append(&mut self, entry: Entry) {
        // Refused only where the library's own way of changing members is used, which is not used here.
        let _ = self.inner.append(entry);
    }

    /// The link to a keeper was broken, and is there again: what was sent meanwhile is lost.
    pub fn reconnected(&mut self, keeper: u64) {
        self.inner.reconnected(keeper);
    }

    /// Messages that are to be sent.
    pub fn outgoing(&mut self) -> Vec<Message> {
        let mut all = Vec::new();
        self.inner.take_outgoing_messages(&mut all);
        all.into_iter().map(Message).collect()
    }

    /// What was decided since the last call, in order, each with the index behind it. Behind a state, its fillers are
    /// left out.
    pub fn news(&mut self) -> Vec<(usize, Entry)> {
        let decided = self.inner.get_decided_idx();
        if decided <= self.read {
            return Vec::new();
        }
        let entries = self
            .inner
            .read_decided_suffix(self.read)
            .unwrap_or_default();
        let from = self.read;
        self.read = decided;
        let decided = |(at, e)| match e {
            LogEntry::Decided(Entry::Filler) => None,
            LogEntry::Decided(entry) => Some((from + at + 1, entry)),
            _ => None,
        };
        entries
            .into_iter()
            .enumerate()
            .filter_map(decided)
            .collect()
    }

    /// Lets go of old entries, once there are many: `state` is what all that was read led to.
    pub fn tidy(&mut self, state: &Machine) {
        if self.disk.kept() > MOST_KEPT {
            self.disk.let_go(self.read, state);
        }
    }

    /// Who leads, as this keeper knows, and whether it can decide.
    pub fn leader(&self) -> Option<(u64, bool)> {
        self.inner.get_current_leader()
    }

    /// Steps that are decided, and how many of all are kept one by one.
    pub fn sizes(&self) -> (usize, usize) {
        let decided = self.inner.get_decided_idx();
        (decided, self.disk.kept())
    }
}
