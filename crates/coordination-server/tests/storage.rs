//! The storage of a replica across restarts, compaction, damage and a full storage.

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

fn open(dir: &Path, fleet: &str, keeper: u64) -> Result<DiskStorage, StorageError> {
    DiskStorage::open(dir, fleet, keeper, "fresh", 1 << 30)
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
fn contents_survive_a_restart_and_each_incarnation_has_its_number() {
    let dir = dir("again");
    let mut storage = open(&dir, "f", 1).expect("made");
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
        "not in part"
    );
    // Another storage accepts the snapshot, though it has entries of its own there.
    let other = dir.join("other");
    let mut lagging = open(&other, "f", 2).expect("made");
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
    // Compacted entries are not written again.
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
fn each_kind_of_damage_is_reported_as_what_it_is() {
    let dir = dir("damage");
    let file = dir.join("keeper.redb");
    let mut storage = open(&dir, "f", 1).expect("made");
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
    let whole = std::fs::read(&file).expect("read");
    let with = |bytes: &[u8]| {
        std::fs::write(&file, bytes).expect("written");
        open(&dir, "f", 1).map(|_| ())
    };
    assert!(matches!(with(b""), Err(StorageError::Truncated(_))));
    assert!(matches!(with(b"re"), Err(StorageError::Truncated(_))));
    assert!(matches!(
        with(b"a text that somebody left here"),
        Err(StorageError::UnsupportedFormat { .. })
    ));
    for part in [16, 500, whole.len() / 2, whole.len() - 4096] {
        let cut = with(&whole[..part]);
        assert!(
            matches!(
                cut,
                Err(StorageError::Truncated(_) | StorageError::Corrupted { .. })
            ),
            "{part}: {cut:?}"
        );
    }
    let mut torn = whole.clone();
    torn[4096..].fill(0xa5);
    let torn = with(&torn);
    assert!(
        matches!(
            torn,
            Err(StorageError::Corrupted { .. } | StorageError::UnsupportedFormat { .. })
        ),
        "{torn:?}"
    );
    assert!(with(&whole).is_ok());
    std::fs::remove_dir_all(&dir).expect("removed");
}

#[test]
fn nothing_is_written_after_a_failed_write() {
    let dir = dir("full");
    let mut storage = DiskStorage::open(&dir, "f", 1, "fresh", 16 << 20).expect("made");
    let handle = storage.handle();
    let mut steps = 0;
    while !handle.has_failed() {
        storage
            .append_entries((0..500).map(entry).collect())
            .expect("taken");
        steps += 1;
        assert!(steps < 1000, "it never fills");
    }
    let written = handle.write_sequence();
    storage.append_entry(entry(1)).expect("taken");
    assert_eq!(
        handle.write_sequence(),
        written,
        "nothing is written behind the failure"
    );
    assert!(matches!(handle.take_failure(), Some(StorageError::Full(_))));
    drop(storage);
    let again = DiskStorage::open(&dir, "f", 1, "fresh", 1 << 30).expect("whole");
    assert_eq!(again.handle().write_sequence(), written);
    drop(again);
    std::fs::remove_dir_all(&dir).expect("removed");
}
