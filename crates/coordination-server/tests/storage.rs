//! Storage across restarts and compaction, with damaged files and at the size limit.

use std::path::{Path, PathBuf};

use hoptiller_coordination::{Command, Holder};
use hoptiller_coordination_server::entry::Entry;
use hoptiller_coordination_server::state_machine::{EntryId, StateMachine};
use hoptiller_coordination_server::storage::{DiskStorage, StorageError};
use omnipaxos::storage::Storage;

fn dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("hoptiller-disk-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    dir
}

fn open(dir: &Path, fleet: &str, replica: u64) -> Result<DiskStorage, StorageError> {
    DiskStorage::open(dir, fleet, replica, "fresh", 1 << 30)
}

fn entry(number: u64) -> Entry {
    let holder = Holder {
        router: "r".repeat(2000),
        incarnation: "1".into(),
    };
    Entry::Commands(
        EntryId {
            replica: 1,
            incarnation: 1,
            sequence: number,
        },
        vec![Command::ReleaseLease(holder)],
    )
}

#[test]
fn contents_survive_a_restart_and_each_start_has_a_new_incarnation() {
    let dir = dir("restart");
    let mut storage = open(&dir, "f", 1).expect("created");
    storage
        .append_entries((0..5).map(entry).collect())
        .expect("written");
    storage
        .append_on_prefix(3, vec![entry(7)])
        .expect("written");
    storage.set_decided_idx(2).expect("written");
    let state = StateMachine::default();
    storage.compact(3, &state);
    assert_eq!(storage.retained(), 4, "undecided entries are not compacted");
    storage.compact(2, &state);
    assert!(!storage.handle().has_failed());
    let (incarnation, write_sequence) = (storage.incarnation(), storage.handle().write_sequence());
    drop(storage);
    let storage = open(&dir, "f", 1).expect("opened");
    assert_eq!(
        (storage.get_log_len().expect("read"), storage.retained()),
        (4, 2)
    );
    let entries = storage.get_entries(0, 4).expect("read");
    let snapshot = Entry::Snapshot(2, Box::new(state));
    assert_eq!(
        entries,
        vec![snapshot, Entry::Compacted, entry(2), entry(7)]
    );
    assert!(
        storage.get_entries(2, 5).expect("read").is_empty(),
        "a range beyond the end returns no entries"
    );
    // A lagging storage accepts the snapshot in place of its own entries.
    let other = dir.join("other");
    let mut lagging = open(&other, "f", 2).expect("created");
    lagging.append_entries(vec![entry(9)]).expect("written");
    lagging.append_on_prefix(0, entries).expect("written");
    assert_eq!(
        (lagging.get_log_len().expect("read"), lagging.retained()),
        (4, 2)
    );
    assert_eq!(
        lagging.get_suffix(2).expect("read"),
        vec![entry(2), entry(7)]
    );
    // Entries that are already compacted are not written again.
    lagging
        .append_on_prefix(1, vec![entry(8), entry(2), entry(6)])
        .expect("written");
    assert_eq!(
        lagging.get_suffix(2).expect("read"),
        vec![entry(2), entry(6)]
    );
    drop(lagging);
    assert_eq!(
        open(&other, "f", 2)
            .expect("opened")
            .get_suffix(2)
            .expect("read"),
        vec![entry(2), entry(6)]
    );
    assert_eq!(
        (storage.incarnation(), storage.handle().write_sequence()),
        (incarnation + 1, write_sequence)
    );
    drop(storage);
    std::fs::remove_dir_all(&dir).expect("removed");
}

#[test]
fn damaged_and_foreign_files_are_rejected() {
    let dir = dir("damage");
    let file = dir.join("keeper.redb");
    let mut storage = open(&dir, "f", 1).expect("created");
    storage
        .append_entries((0..200).map(entry).collect())
        .expect("written");
    assert!(matches!(open(&dir, "f", 1), Err(StorageError::InUse(_))));
    drop(storage);
    assert!(matches!(
        open(&dir, "f", 2),
        Err(StorageError::OtherOwner { .. })
    ));
    assert!(matches!(
        open(&dir, "g", 1),
        Err(StorageError::OtherOwner { .. })
    ));
    let intact = std::fs::read(&file).expect("read");
    let open_with = |bytes: &[u8]| {
        std::fs::write(&file, bytes).expect("written");
        open(&dir, "f", 1).map(|_| ())
    };
    assert!(matches!(open_with(b""), Err(StorageError::Truncated(_))));
    assert!(matches!(open_with(b"re"), Err(StorageError::Truncated(_))));
    assert!(matches!(
        open_with(b"a text file of another program"),
        Err(StorageError::UnsupportedFormat { .. })
    ));
    for part in [16, 500, intact.len() / 2, intact.len() - 4096] {
        let truncated = open_with(&intact[..part]);
        assert!(
            matches!(
                truncated,
                Err(StorageError::Truncated(_) | StorageError::Corrupted { .. })
            ),
            "{part}: {truncated:?}"
        );
    }
    let mut overwritten = intact.clone();
    overwritten[4096..].fill(0xa5);
    let overwritten = open_with(&overwritten);
    assert!(
        matches!(
            overwritten,
            Err(StorageError::Corrupted { .. } | StorageError::UnsupportedFormat { .. })
        ),
        "{overwritten:?}"
    );
    assert!(open_with(&intact).is_ok());
    std::fs::remove_dir_all(&dir).expect("removed");
}

#[test]
fn nothing_is_written_after_a_failed_write() {
    let dir = dir("full");
    let mut storage = DiskStorage::open(&dir, "f", 1, "fresh", 16 << 20).expect("created");
    let handle = storage.handle();
    let mut writes = 0;
    while !handle.has_failed() {
        storage
            .append_entries((0..500).map(entry).collect())
            .expect("accepted");
        writes += 1;
        assert!(writes < 1000, "the limit is never reached");
    }
    let write_sequence = handle.write_sequence();
    storage.append_entry(entry(1)).expect("accepted");
    assert_eq!(
        handle.write_sequence(),
        write_sequence,
        "nothing is written after the failure"
    );
    assert!(matches!(handle.take_failure(), Some(StorageError::Full(_))));
    drop(storage);
    let reopened = DiskStorage::open(&dir, "f", 1, "fresh", 1 << 30).expect("intact");
    assert_eq!(reopened.handle().write_sequence(), write_sequence);
    drop(reopened);
    std::fs::remove_dir_all(&dir).expect("removed");
}
