//! The durable state of a replica in one file: promises, log entries, and the snapshot that replaces compacted entries.
//! Each update is one transaction. A copy of the state in memory serves all reads. The disk of a replica, in names and
//! messages, is this file: a file that is created anew is another disk, whatever the device.
//!
//! The consensus library is not aware of compaction and sees a complete log. When it reads compacted entries, the first
//! one is an [`Entry::Snapshot`](crate::entry::Entry::Snapshot) with the state after all of them, the others are
//! [`Entry::Compacted`](crate::entry::Entry::Compacted). A replica that lags far behind therefore catches up in the
//! same way as any other. The library's own snapshots are not used, because version 0.2.4 loses entries when a follower
//! merges a partial snapshot, see `docs/agreement.md`.
//!
//! A missing file is created. Opening a file that is damaged or belongs to another replica fails with an error that
//! states the cause. After a failed write the replica must not send anything, because it could promise what it later
//! does not know.

use std::cell::{Cell, RefCell, RefMut};
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use hoptiller_coordination::fault_injection::{self, Fault};
use redb::{Database, Durability};

use crate::membership::Membership;
use crate::state_machine::StateMachine;

mod consensus;
mod error;
mod file;
mod identity;
mod persistent_state;

pub use error::{Corruption, FormatError, StorageError};
use file::TableWriter;
use identity::FORMAT_VERSION;
pub use identity::{DiskIdentity, PeerDisk};
use persistent_state::{Change, PersistentState};

const FILE_NAME: &str = "keeper.redb";
/// Name of the file while it is being created.
const TEMPORARY_FILE_NAME: &str = "keeper.redb.new";

/// The storage of a replica, shared by the log and its owner.
#[derive(Clone)]
pub struct DiskStorage(Rc<RefCell<Inner>>);

struct Inner {
    path: PathBuf,
    database: Database,
    identity: DiskIdentity,
    state: PersistentState,
    incarnation: u64,
    max_bytes: u64,
    handle: StorageHandle,
}

/// The part of the storage that the owner of a replica needs while the log writes to it.
#[derive(Clone)]
pub struct StorageHandle {
    write_sequence: Rc<Cell<u64>>,
    peer_disks: Rc<RefCell<BTreeMap<u64, PeerDisk>>>,
    failure: Rc<RefCell<Option<StorageError>>>,
}

impl StorageHandle {
    fn new(write_sequence: u64, peer_disks: BTreeMap<u64, PeerDisk>) -> StorageHandle {
        StorageHandle {
            write_sequence: Rc::new(Cell::new(write_sequence)),
            peer_disks: Rc::new(RefCell::new(peer_disks)),
            failure: Rc::default(),
        }
    }

    /// Returns the number of durable transactions.
    pub fn write_sequence(&self) -> u64 {
        self.write_sequence.get()
    }

    /// Returns the known state of the peers' disks, by replica. Changes are stored with the next durable transaction.
    ///
    /// # Panics
    ///
    /// Panics if the state is already borrowed.
    pub fn peer_disks_mut(&self) -> RefMut<'_, BTreeMap<u64, PeerDisk>> {
        self.peer_disks.borrow_mut()
    }

    /// Returns whether a write has failed and the failure has not been taken.
    pub fn has_failed(&self) -> bool {
        self.failure.borrow().is_some()
    }

    /// Takes the first write failure.
    pub fn take_failure(&self) -> Option<StorageError> {
        self.failure.borrow_mut().take()
    }

    fn record_failure(&self, error: StorageError) {
        self.failure.borrow_mut().get_or_insert(error);
    }
}

impl DiskStorage {
    /// Opens the storage file in a directory and begins a new incarnation. Creates the file with the id `new_disk_id`
    /// if it does not exist. Writes fail once the file is larger than `max_bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or written, is damaged, or belongs to another replica.
    pub fn open(
        dir: &Path,
        fleet: &str,
        replica: u64,
        new_disk_id: &str,
        max_bytes: u64,
    ) -> Result<DiskStorage, StorageError> {
        fs::create_dir_all(dir).map_err(|error| StorageError::io(dir, error))?;
        let path = dir.join(FILE_NAME);
        let exists = path
            .try_exists()
            .map_err(|error| StorageError::io(&path, error))?;
        if !exists {
            let identity = DiskIdentity {
                format: FORMAT_VERSION,
                fleet: fleet.into(),
                replica,
                disk_id: new_disk_id.into(),
            };
            file::create(&dir.join(TEMPORARY_FILE_NAME), &path, &identity)?;
        }
        let database = file::open(&path)?;
        let mut contents = file::read(&path, &database, fleet, replica)?;
        if fault_injection::is_injected(Fault::LoseDurableState) {
            let state = &mut contents.state;
            (state.promise, state.accepted_round) = (None, None);
            let decided = state.decided.saturating_sub(state.compacted);
            state.entries.truncate(decided);
        }
        let incarnation = contents.incarnation + 1;
        file::write_incarnation(&path, &database, incarnation)?;
        Ok(DiskStorage(Rc::new(RefCell::new(Inner {
            path,
            database,
            identity: contents.identity,
            state: contents.state,
            incarnation,
            max_bytes,
            handle: StorageHandle::new(contents.write_sequence, contents.peer_disks),
        }))))
    }

    /// Returns the identity of the disk.
    pub fn identity(&self) -> DiskIdentity {
        self.0.borrow().identity.clone()
    }

    /// Returns the number of times that the file has been opened, including this one. It distinguishes this process
    /// from earlier ones.
    pub fn incarnation(&self) -> u64 {
        self.0.borrow().incarnation
    }

    /// Returns a handle for the owner of the replica.
    pub fn handle(&self) -> StorageHandle {
        self.0.borrow().handle.clone()
    }

    /// Compacts the entries before an index if they are all decided. `snapshot` is the state after the last of them.
    pub fn compact(&self, up_to: usize, snapshot: &StateMachine) {
        let mut inner = self.0.borrow_mut();
        let state = &inner.state;
        if up_to > state.compacted && up_to <= state.decided.min(state.next_index()) {
            inner.commit(vec![Change::Compact {
                up_to,
                snapshot: snapshot.clone(),
            }]);
        }
    }

    /// Puts a membership into effect at an index. `snapshot` is the state after all earlier entries. The change is one
    /// transaction, so that after a crash either the old or the new membership is in effect.
    pub fn reconfigure(&self, membership: Membership, index: usize, snapshot: StateMachine) {
        self.0.borrow_mut().commit(vec![Change::Reconfigure {
            membership,
            index,
            snapshot,
        }]);
    }

    /// Returns the stored membership; `None` while the configured one is in effect.
    pub fn membership(&self) -> Option<Membership> {
        self.0.borrow().state.membership.clone()
    }

    /// Returns whether the storage contains no promise, membership or entry.
    pub fn is_empty(&self) -> bool {
        let state = &self.0.borrow().state;
        state.membership.is_none() && state.promise.is_none() && state.next_index() == 0
    }

    /// Returns the number of entries that are not compacted.
    pub fn retained(&self) -> usize {
        self.0.borrow().state.entries.len()
    }
}

impl Inner {
    /// Applies changes in one transaction. The state in memory changes even if the write fails, because the replica
    /// sends nothing after a failure.
    fn commit(&mut self, changes: Vec<Change>) {
        if self.handle.has_failed() || changes.is_empty() {
            return;
        }
        let changes = self.state.normalize(changes);
        if let Err(error) = self.write(&changes) {
            tracing::error!(error = %error, "storage write failed");
            self.handle.record_failure(error);
        }
        for change in changes {
            self.state.apply(change);
        }
    }

    fn write(&self, changes: &[Change]) -> Result<(), StorageError> {
        let write_error = |error: redb::Error| StorageError::from_write_error(&self.path, error);
        // The number of decided entries need not be durable at once, because the replica can learn it from its peers.
        let is_durable = changes
            .iter()
            .any(|change| !matches!(change, Change::Decided(_)));
        let file_bytes = fs::metadata(&self.path)
            .map_err(|error| StorageError::io(&self.path, error))?
            .len();
        if file_bytes > self.max_bytes {
            return Err(StorageError::Full(self.path.clone()));
        }
        let mut transaction = self
            .database
            .begin_write()
            .map_err(|error| write_error(error.into()))?;
        if !is_durable {
            transaction
                .set_durability(Durability::None)
                .map_err(|error| write_error(error.into()))?;
        }
        let sequence = self.handle.write_sequence() + 1;
        let mut tables = TableWriter::open(&self.path, &transaction)?;
        for change in changes {
            tables.write_change(change)?;
        }
        if is_durable {
            tables.put_write_sequence(sequence, &self.handle.peer_disks.borrow())?;
        }
        drop(tables);
        transaction
            .commit()
            .map_err(|error| write_error(error.into()))?;
        if is_durable {
            self.handle.write_sequence.set(sequence);
        }
        Ok(())
    }
}
