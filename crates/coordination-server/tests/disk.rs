//! A disk that is not whole, or not this keeper's, is told for what it is.

use std::path::{Path, PathBuf};

use hoptiller_coordination::{Command, Holder};
use hoptiller_coordination_server::disk::{Disk, DiskError};
use hoptiller_coordination_server::log::{Entry, EntryId};
use hoptiller_coordination_server::machine::Machine;
use omnipaxos::storage::Storage;

fn dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("hoptiller-disk-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    dir
}

fn open(dir: &Path, fleet: &str, keeper: u64) -> Result<Disk, DiskError> {
    Disk::open(dir, fleet, keeper, "fresh", 1 << 30)
}

fn entry(number: u64) -> Entry {
    let holder = Holder {
        router: "r".repeat(2000),
        incarnation: "1".into(),
    };
    Entry::Acts(
        EntryId {
            keeper: 1,
            life: 1,
            number,
        },
        vec![Command::ReleaseLease(holder)],
    )
}

#[test]
fn what_was_written_is_there_again_and_each_life_has_its_number() {
    let dir = dir("again");
    let mut disk = open(&dir, "f", 1).expect("made");
    disk.append_entries((0..5).map(entry).collect())
        .expect("written");
    disk.append_on_prefix(3, vec![entry(7)]).expect("written");
    disk.set_decided_idx(2).expect("written");
    let state = Machine::default();
    disk.let_go(3, &state);
    assert_eq!(disk.kept(), 4, "what is not decided is not let go");
    disk.let_go(2, &state);
    assert!(disk.shared().failed.borrow().is_none());
    let (life, step) = (disk.life(), *disk.shared().step.borrow());
    drop(disk);
    let disk = open(&dir, "f", 1).expect("opened");
    assert_eq!((disk.get_log_len().expect("read"), disk.kept()), (4, 2));
    let told = disk.get_entries(0, 4).expect("read");
    let stands_for = Entry::State(2, Box::new(state));
    assert_eq!(told, vec![stands_for, Entry::Filler, entry(2), entry(7)]);
    assert!(
        disk.get_entries(2, 5).expect("read").is_empty(),
        "not in part"
    );
    // Another disk takes that up as it is told, though it has entries of its own there.
    let other = dir.join("other");
    let mut lags = open(&other, "f", 2).expect("made");
    lags.append_entries(vec![entry(9)]).expect("written");
    lags.append_on_prefix(0, told).expect("written");
    assert_eq!((lags.get_log_len().expect("read"), lags.kept()), (4, 2));
    assert_eq!(lags.get_suffix(2).expect("read"), vec![entry(2), entry(7)]);
    // And what it has let go of is not written again.
    lags.append_on_prefix(1, vec![entry(8), entry(2), entry(6)])
        .expect("written");
    assert_eq!(lags.get_suffix(2).expect("read"), vec![entry(2), entry(6)]);
    drop(lags);
    assert_eq!(
        open(&other, "f", 2)
            .expect("opened")
            .get_suffix(2)
            .expect("read"),
        vec![entry(2), entry(6)]
    );
    assert_eq!(
        (disk.life(), *disk.shared().step.borrow()),
        (life + 1, step)
    );
    drop(disk);
    std::fs::remove_dir_all(&dir).expect("removed");
}

#[test]
fn damage_is_told_apart_and_nothing_is_guessed() {
    let dir = dir("damage");
    let file = dir.join("keeper.redb");
    let mut disk = open(&dir, "f", 1).expect("made");
    disk.append_entries((0..200).map(entry).collect())
        .expect("written");
    assert!(matches!(open(&dir, "f", 1), Err(DiskError::InUse(_))));
    drop(disk);
    assert!(matches!(open(&dir, "f", 2), Err(DiskError::Other(..))));
    assert!(matches!(open(&dir, "g", 1), Err(DiskError::Other(..))));
    let whole = std::fs::read(&file).expect("read");
    let with = |bytes: &[u8]| {
        std::fs::write(&file, bytes).expect("written");
        open(&dir, "f", 1).map(|_| ())
    };
    assert!(matches!(with(b""), Err(DiskError::Cut(_))));
    assert!(matches!(with(b"re"), Err(DiskError::Cut(_))));
    assert!(matches!(
        with(b"a text that somebody left here"),
        Err(DiskError::Foreign(..))
    ));
    for part in [16, 500, whole.len() / 2, whole.len() - 4096] {
        let cut = with(&whole[..part]);
        assert!(
            matches!(cut, Err(DiskError::Cut(_) | DiskError::Damaged(..))),
            "{part}: {cut:?}"
        );
    }
    let mut torn = whole.clone();
    torn[4096..].fill(0xa5);
    let torn = with(&torn);
    assert!(
        matches!(torn, Err(DiskError::Damaged(..) | DiskError::Foreign(..))),
        "{torn:?}"
    );
    assert!(with(&whole).is_ok());
    std::fs::remove_dir_all(&dir).expect("removed");
}

#[test]
fn after_a_write_that_failed_nothing_counts_any_more() {
    let dir = dir("full");
    let mut disk = Disk::open(&dir, "f", 1, "fresh", 16 << 20).expect("made");
    let shared = disk.shared();
    let mut steps = 0;
    while shared.failed.borrow().is_none() {
        disk.append_entries((0..500).map(entry).collect())
            .expect("taken");
        steps += 1;
        assert!(steps < 1000, "it never fills");
    }
    assert!(matches!(*shared.failed.borrow(), Some(DiskError::Full(_))));
    let written = *shared.step.borrow();
    disk.append_entry(entry(1)).expect("taken");
    assert_eq!(
        *shared.step.borrow(),
        written,
        "nothing is written behind the failure"
    );
    drop(disk);
    let again = Disk::open(&dir, "f", 1, "fresh", 1 << 30).expect("whole");
    assert_eq!(*again.shared().step.borrow(), written);
    drop(again);
    std::fs::remove_dir_all(&dir).expect("removed");
}
