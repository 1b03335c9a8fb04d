//! Errors of a replica's storage.

use std::io;
use std::path::{Path, PathBuf};

use super::identity::DiskIdentity;

/// An error that makes a replica's storage unusable.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// The file can't be read or written.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file or directory.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The device is full, or the file has reached its size limit.
    #[error(
        "{}: the disk is full, or the file is larger than the setting most_bytes; free disk space or raise the \
         setting, then restart",
        .0.display()
    )]
    Full(PathBuf),
    /// Another process has the file open.
    #[error("{}: another process has the file open", .0.display())]
    InUse(PathBuf),
    /// The file is truncated.
    #[error(
        "{}: the file is truncated, and this replica's promises are lost. Replace the replica; don't restore the file \
         from a copy",
        .0.display()
    )]
    Truncated(PathBuf),
    /// The file is not a replica's storage, or has an unsupported format.
    #[error("{}: not a replica's storage in a supported format: {source}", path.display())]
    UnsupportedFormat {
        /// The file.
        path: PathBuf,
        /// The difference.
        source: FormatError,
    },
    /// The file is intact but belongs to another replica.
    #[error(
        "{}: belongs to replica {} of fleet {:?}, not to replica {replica} of fleet {fleet:?}",
        path.display(), owner.replica, owner.fleet
    )]
    OtherOwner {
        /// The file.
        path: PathBuf,
        /// The identity in the file.
        owner: Box<DiskIdentity>,
        /// The fleet of the replica that opens the file.
        fleet: String,
        /// The id of the replica that opens the file.
        replica: u64,
    },
    /// The checksums or the contents of the file are invalid.
    #[error(
        "{}: the file is damaged: {source}. This replica's promises are lost: replace the replica",
        path.display()
    )]
    Corrupted {
        /// The file.
        path: PathBuf,
        /// The kind of damage.
        source: Corruption,
    },
    /// A value to be written can't be encoded as JSON.
    #[error("{}: a value can't be encoded as JSON: {source}", path.display())]
    Encode {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: serde_json::Error,
    },
}

/// A difference between a file and the supported format.
#[derive(Debug, thiserror::Error)]
pub enum FormatError {
    /// The first bytes are not those of a database file.
    #[error("the file does not start with the database's magic bytes")]
    Magic,
    /// The database file has an unsupported format version.
    #[error("unsupported database format {0}")]
    DatabaseVersion(u8),
    /// A table is missing or has another type.
    #[error(transparent)]
    Table(#[from] redb::TableError),
    /// The file contains no identity.
    #[error("the file contains no identity")]
    NoIdentity,
    /// The contents have an unsupported format version.
    #[error("the contents have format version {found}, supported is {expected}")]
    Version {
        /// The version in the file.
        found: u32,
        /// The version that this program supports.
        expected: u32,
    },
}

/// A kind of damage to a file.
#[derive(Debug, thiserror::Error)]
pub enum Corruption {
    /// The database panicked while opening the file.
    #[error("invalid pages")]
    InvalidPages,
    /// The checksums do not match.
    #[error("checksum mismatch")]
    ChecksumMismatch,
    /// The database reports invalid data.
    #[error(transparent)]
    InvalidData(io::Error),
    /// The database reports another error for the contents.
    #[error(transparent)]
    Database(Box<redb::Error>),
    /// A value can't be decoded from JSON.
    #[error(transparent)]
    Decode(serde_json::Error),
    /// An entry of the log is missing.
    #[error("log entry {0} is missing")]
    MissingEntry(u64),
    /// More entries are decided than the log has.
    #[error("{decided} entries are decided, but only {stored} are stored")]
    MissingDecidedEntries {
        /// The number of entries decided.
        decided: usize,
        /// The number of entries in the log, including compacted ones.
        stored: u64,
    },
}

impl StorageError {
    pub(super) fn io(path: &Path, source: io::Error) -> StorageError {
        StorageError::Io {
            path: path.to_owned(),
            source,
        }
    }

    pub(super) fn unsupported(path: &Path, source: impl Into<FormatError>) -> StorageError {
        StorageError::UnsupportedFormat {
            path: path.to_owned(),
            source: source.into(),
        }
    }

    pub(super) fn corrupted(path: &Path, source: Corruption) -> StorageError {
        StorageError::Corrupted {
            path: path.to_owned(),
            source,
        }
    }

    /// Converts an error of a read. Every error that the database reports counts as corruption.
    pub(super) fn from_read_error(path: &Path, error: impl Into<redb::Error>) -> StorageError {
        StorageError::corrupted(path, Corruption::Database(Box::new(error.into())))
    }

    /// Converts an error of a write. A full disk and other I/O errors are distinguished from corruption.
    pub(super) fn from_write_error(path: &Path, error: impl Into<redb::Error>) -> StorageError {
        match error.into() {
            redb::Error::Io(error) if is_full(&error) => StorageError::Full(path.to_owned()),
            redb::Error::Io(error) => StorageError::io(path, error),
            error => StorageError::from_read_error(path, error),
        }
    }
}

fn is_full(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::StorageFull | io::ErrorKind::FileTooLarge
    )
}
