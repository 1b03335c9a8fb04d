//! Creates, opens, reads and writes a replica's database file.

mod key;

use std::collections::{BTreeMap, VecDeque};
use std::fs::{self, File};
use std::io::{self, Read as _};
use std::path::Path;

use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::StopSign;
use redb::{
    Database, DatabaseError, ReadOnlyTable, ReadTransaction, ReadableDatabase, ReadableTable,
    StorageError as RedbStorageError, Table, TableDefinition, WriteTransaction,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::error::{Corruption, FormatError, StorageError};
use super::identity::{DiskIdentity, FORMAT_VERSION, PeerDisk};
use super::persistent_state::{Change, PersistentState};

/// First bytes of a database file.
const MAGIC: [u8; 4] = *b"redb";

/// Table of single values, as JSON.
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// Table of log entries by index, as JSON.
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

/// The contents of a file.
pub(super) struct Contents {
    pub(super) identity: DiskIdentity,
    pub(super) state: PersistentState,
    /// The last incarnation that opened the file.
    pub(super) incarnation: u64,
    /// The number of durable transactions.
    pub(super) write_sequence: u64,
    pub(super) peer_disks: BTreeMap<u64, PeerDisk>,
}

/// Creates a file under a temporary name and then renames it, so that after a crash the file is either missing or
/// complete.
pub(super) fn create(
    temporary: &Path,
    path: &Path,
    identity: &DiskIdentity,
) -> Result<(), StorageError> {
    let io_error = |error| StorageError::io(temporary, error);
    match fs::remove_file(temporary) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(io_error(error)),
        _ => {}
    }
    let database = Database::create(temporary)
        .map_err(|error| StorageError::from_write_error(temporary, error))?;
    let identity = encode(temporary, identity)?;
    let write = || -> Result<(), redb::Error> {
        let transaction = database.begin_write()?;
        transaction
            .open_table(META)?
            .insert(key::IDENTITY, identity.as_slice())?;
        transaction.open_table(LOG)?;
        transaction.commit()?;
        Ok(())
    };
    write().map_err(|error| StorageError::from_write_error(temporary, error))?;
    drop(database);
    fs::rename(temporary, path).map_err(io_error)?;
    let dir = path.parent().unwrap_or(path);
    File::open(dir)
        .and_then(|dir| dir.sync_all())
        .map_err(io_error)
}

/// Opens a file after its checksums have been verified.
pub(super) fn open(path: &Path) -> Result<Database, StorageError> {
    check_magic(path)?;
    // The database panics on invalid pages. The checksums are verified before the file is used, and a panic counts as
    // corruption.
    let opened = std::panic::catch_unwind(|| {
        let mut database = Database::open(path)?;
        let is_valid = database.check_integrity()?;
        Ok((database, is_valid))
    });
    match opened {
        Err(_) => Err(StorageError::corrupted(path, Corruption::InvalidPages)),
        Ok(Ok((database, true))) => Ok(database),
        Ok(Ok((_, false))) => Err(StorageError::corrupted(path, Corruption::ChecksumMismatch)),
        Ok(Err(error)) => Err(open_error(path, error)),
    }
}

fn check_magic(path: &Path) -> Result<(), StorageError> {
    let io_error = |error| StorageError::io(path, error);
    let mut first = [0; MAGIC.len()];
    let mut file = File::open(path).map_err(io_error)?;
    match file.read_exact(&mut first) {
        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => {
            Err(StorageError::Truncated(path.to_owned()))
        }
        Err(error) => Err(io_error(error)),
        Ok(()) if first != MAGIC => Err(StorageError::unsupported(path, FormatError::Magic)),
        Ok(()) => Ok(()),
    }
}

fn open_error(path: &Path, error: DatabaseError) -> StorageError {
    match error {
        DatabaseError::DatabaseAlreadyOpen | DatabaseError::LockProtocolMismatch => {
            StorageError::InUse(path.to_owned())
        }
        DatabaseError::UpgradeRequired(version) => {
            StorageError::unsupported(path, FormatError::DatabaseVersion(version))
        }
        DatabaseError::Storage(RedbStorageError::Io(error))
            if error.kind() == io::ErrorKind::UnexpectedEof =>
        {
            StorageError::Truncated(path.to_owned())
        }
        DatabaseError::Storage(RedbStorageError::Io(error))
            if error.kind() == io::ErrorKind::InvalidData =>
        {
            StorageError::corrupted(path, Corruption::InvalidData(error))
        }
        // An I/O error here, such as a missing permission, is not a sign of corruption.
        error => StorageError::from_write_error(path, error),
    }
}

/// Reads the contents of a file, which must belong to the given replica.
pub(super) fn read(
    path: &Path,
    database: &Database,
    fleet: &str,
    replica: u64,
) -> Result<Contents, StorageError> {
    let transaction = database
        .begin_read()
        .map_err(|error| StorageError::from_read_error(path, error))?;
    let meta = MetaReader {
        path,
        table: transaction
            .open_table(META)
            .map_err(|error| StorageError::unsupported(path, error))?,
    };
    let identity = read_identity(&meta, fleet, replica)?;
    let mut state = PersistentState {
        promise: meta.value::<Option<_>>(key::PROMISE)?.flatten(),
        accepted_round: meta.value::<Option<_>>(key::ACCEPTED_ROUND)?.flatten(),
        decided: meta.value(key::DECIDED)?.unwrap_or(0),
        stop_sign: meta.value::<Option<_>>(key::STOP_SIGN)?.flatten(),
        compacted: meta.value(key::COMPACTED)?.unwrap_or(0),
        snapshot: meta.value(key::SNAPSHOT)?.unwrap_or_default(),
        entries: VecDeque::new(),
        membership: meta.value(key::MEMBERSHIP)?,
    };
    let write_sequence = meta.value(key::WRITE_SEQUENCE)?.unwrap_or(0);
    let peer_disks = meta.value(key::PEERS)?.unwrap_or_default();
    read_entries(path, &transaction, &mut state)?;
    Ok(Contents {
        identity,
        state,
        incarnation: meta.value(key::INCARNATION)?.unwrap_or(0),
        write_sequence,
        peer_disks,
    })
}

fn read_identity(
    meta: &MetaReader<'_>,
    fleet: &str,
    replica: u64,
) -> Result<DiskIdentity, StorageError> {
    let path = meta.path;
    let Some(identity) = meta.value::<DiskIdentity>(key::IDENTITY)? else {
        return Err(StorageError::unsupported(path, FormatError::NoIdentity));
    };
    if identity.format != FORMAT_VERSION {
        let version = FormatError::Version {
            found: identity.format,
            expected: FORMAT_VERSION,
        };
        return Err(StorageError::unsupported(path, version));
    }
    if (identity.fleet.as_str(), identity.replica) != (fleet, replica) {
        return Err(StorageError::OtherOwner {
            path: path.to_owned(),
            owner: Box::new(identity),
            fleet: fleet.to_owned(),
            replica,
        });
    }
    Ok(identity)
}

fn read_entries(
    path: &Path,
    transaction: &ReadTransaction,
    state: &mut PersistentState,
) -> Result<(), StorageError> {
    let read_error = |error| StorageError::from_read_error(path, error);
    let log = transaction
        .open_table(LOG)
        .map_err(|error| StorageError::unsupported(path, error))?;
    let mut next = state.compacted as u64;
    for item in log.iter().map_err(read_error)? {
        let (index, entry) = item.map_err(read_error)?;
        if index.value() != next {
            return Err(StorageError::corrupted(
                path,
                Corruption::MissingEntry(next),
            ));
        }
        state.entries.push_back(decode(path, entry.value())?);
        next += 1;
    }
    if (state.decided as u64) > next {
        let missing = Corruption::MissingDecidedEntries {
            decided: state.decided,
            stored: next,
        };
        return Err(StorageError::corrupted(path, missing));
    }
    Ok(())
}

/// Stores the number of the incarnation that begins.
pub(super) fn write_incarnation(
    path: &Path,
    database: &Database,
    incarnation: u64,
) -> Result<(), StorageError> {
    let write = || -> Result<(), redb::Error> {
        let transaction = database.begin_write()?;
        transaction
            .open_table(META)?
            .insert(key::INCARNATION, incarnation.to_string().as_bytes())?;
        transaction.commit()?;
        Ok(())
    };
    write().map_err(|error| StorageError::from_write_error(path, error))
}

struct MetaReader<'a> {
    path: &'a Path,
    table: ReadOnlyTable<&'static str, &'static [u8]>,
}

impl MetaReader<'_> {
    fn value<T: DeserializeOwned>(&self, key: &str) -> Result<Option<T>, StorageError> {
        let stored = self
            .table
            .get(key)
            .map_err(|error| StorageError::from_read_error(self.path, error))?;
        stored
            .map(|bytes| decode(self.path, bytes.value()))
            .transpose()
    }
}

/// The tables of a write transaction.
pub(super) struct TableWriter<'a> {
    path: &'a Path,
    meta: Table<'a, &'static str, &'static [u8]>,
    log: Table<'a, u64, &'static [u8]>,
}

impl<'a> TableWriter<'a> {
    pub(super) fn open(
        path: &'a Path,
        transaction: &'a WriteTransaction,
    ) -> Result<TableWriter<'a>, StorageError> {
        let write_error = |error| StorageError::from_write_error(path, error);
        Ok(TableWriter {
            path,
            meta: transaction.open_table(META).map_err(write_error)?,
            log: transaction.open_table(LOG).map_err(write_error)?,
        })
    }

    /// Stores the number of durable transactions, including this one, and the known state of the peers' disks.
    pub(super) fn put_write_sequence(
        &mut self,
        sequence: u64,
        peer_disks: &BTreeMap<u64, PeerDisk>,
    ) -> Result<(), StorageError> {
        self.put(key::WRITE_SEQUENCE, &sequence)?;
        self.put(key::PEERS, peer_disks)
    }

    pub(super) fn write_change(&mut self, change: &Change) -> Result<(), StorageError> {
        match change {
            Change::Promise(ballot) => self.put(key::PROMISE, ballot),
            Change::AcceptedRound(ballot) => self.put(key::ACCEPTED_ROUND, ballot),
            Change::Decided(decided) => self.put(key::DECIDED, decided),
            Change::StopSign(stop_sign) => self.put(key::STOP_SIGN, stop_sign),
            Change::Write { from, entries } => {
                let from = *from as u64;
                self.remove_entries(from..)?;
                for (index, entry) in (from..).zip(entries) {
                    let entry = encode(self.path, entry)?;
                    self.log
                        .insert(index, entry.as_slice())
                        .map_err(|error| StorageError::from_write_error(self.path, error))?;
                }
                Ok(())
            }
            Change::Compact { up_to, snapshot } => {
                self.put(key::COMPACTED, up_to)?;
                self.put(key::SNAPSHOT, snapshot)?;
                self.remove_entries(..*up_to as u64)
            }
            Change::Reconfigure {
                membership,
                index,
                snapshot,
            } => {
                self.put(key::MEMBERSHIP, membership)?;
                self.put(key::COMPACTED, index)?;
                self.put(key::DECIDED, index)?;
                self.put(key::SNAPSHOT, snapshot)?;
                self.put(key::STOP_SIGN, &None::<StopSign>)?;
                self.put(key::PROMISE, &None::<Ballot>)?;
                self.put(key::ACCEPTED_ROUND, &None::<Ballot>)?;
                self.remove_entries(..)
            }
        }
    }

    fn put(&mut self, key: &'static str, value: &impl Serialize) -> Result<(), StorageError> {
        let value = encode(self.path, value)?;
        self.meta
            .insert(key, value.as_slice())
            .map(|_| ())
            .map_err(|error| StorageError::from_write_error(self.path, error))
    }

    fn remove_entries(
        &mut self,
        indexes: impl std::ops::RangeBounds<u64>,
    ) -> Result<(), StorageError> {
        self.log
            .retain_in(indexes, |_, _| false)
            .map_err(|error| StorageError::from_write_error(self.path, error))
    }
}

/// Encodes a value as JSON. A value that has no JSON form, such as a map with keys that are not strings, is an error:
/// if it were stored as an empty value, the loss would be noticed only at the next start.
fn encode(path: &Path, value: &impl Serialize) -> Result<Vec<u8>, StorageError> {
    serde_json::to_vec(value).map_err(|source| StorageError::Encode {
        path: path.to_owned(),
        source,
    })
}

fn decode<T: DeserializeOwned>(path: &Path, bytes: &[u8]) -> Result<T, StorageError> {
    serde_json::from_slice(bytes)
        .map_err(|error| StorageError::corrupted(path, Corruption::Decode(error)))
}
