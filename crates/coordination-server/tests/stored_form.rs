//! Guards against a renamed type, field or variant that changes the stored JSON: a disk that was written before the
//! types were renamed opens with the same state, and a disk written now has the same contents.

use std::path::{Path, PathBuf};

use hoptiller_coordination::Command;
use hoptiller_coordination_server::entry::Entry;
use hoptiller_coordination_server::membership::{Membership, Replacement};
use hoptiller_coordination_server::state_machine::{EntryId, StateMachine};
use hoptiller_coordination_server::storage::DiskStorage;
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::Storage;

const MAX_BYTES: u64 = 1 << 30;

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

/// Returns whether `UPDATE_FIXTURES` is set, which rewrites the fixtures. Set it only for a deliberate change of the
/// stored format.
fn is_update_requested() -> bool {
    std::env::var_os("UPDATE_FIXTURES").is_some()
}

fn temporary_dir(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("hoptiller-stored-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).expect("created");
    dir
}

fn commands() -> Vec<Command> {
    let path =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../coordination/tests/fixtures/acts.jsonl");
    let text = std::fs::read_to_string(path).expect("the fixture exists");
    text.lines()
        .map(|line| serde_json::from_str(line).expect("a recorded command"))
        .collect()
}

fn entry(number: u64, command: Command) -> Entry {
    Entry::Commands(
        EntryId {
            replica: 1,
            incarnation: 1,
            sequence: number,
        },
        vec![command],
    )
}

fn membership() -> Membership {
    let address = |port: u16| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    let first =
        Membership::initial([(1, address(7001)), (2, address(7002)), (3, address(7003))].into());
    first
        .with_replacement(&Replacement {
            lost: 3,
            new: 4,
            address: address(7004),
        })
        .expect("replaced")
}

/// Writes a disk with configuration leases, task leases and pending versions in the state, and with a promise, an
/// accepted round and entries after that state.
fn write_disk(dir: &Path) {
    let mut storage =
        DiskStorage::open(dir, "stored", 1, "disk-of-the-fixture", MAX_BYTES).expect("created");
    let (mut state_machine, commands) = (StateMachine::default(), commands());
    let (before, after) = commands.split_at(commands.len() - 6);
    for (number, command) in (0u64..).zip(before) {
        state_machine
            .apply(
                EntryId {
                    replica: 1,
                    incarnation: 1,
                    sequence: number,
                },
                vec![command.clone()],
            )
            .expect("applied");
    }
    storage.reconfigure(membership(), before.len(), state_machine);
    let ballot = Ballot::with(2, 3, 0, 4);
    storage.set_promise(ballot).expect("written");
    storage.set_accepted_round(ballot).expect("written");
    let numbered = (before.len() as u64..).zip(after);
    storage
        .append_entries(
            numbered
                .map(|(number, command)| entry(number, command.clone()))
                .collect(),
        )
        .expect("written");
    storage.set_decided_idx(before.len() + 4).expect("written");
    storage
        .append_entry(Entry::Replace(
            EntryId {
                replica: 1,
                incarnation: 1,
                sequence: 1000,
            },
            Replacement {
                lost: 4,
                new: 5,
                address: ([127, 0, 0, 1], 7005).into(),
            },
        ))
        .expect("written");
}

fn json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("it has a JSON form")
}

fn describe(storage: &DiskStorage) -> String {
    let length = storage.get_log_len().expect("read");
    let entries = storage.get_entries(0, length).expect("read");
    let retained: Vec<&Entry> = entries
        .iter()
        .filter(|entry| **entry != Entry::Compacted)
        .collect();
    [
        json(&storage.identity()),
        json(&storage.membership()),
        json(&storage.get_promise().expect("read")),
        json(&storage.get_accepted_round().expect("read")),
        json(&storage.get_decided_idx().expect("read")),
        json(&length),
        json(&retained),
    ]
    .join("\n")
}

#[test]
fn a_disk_written_before_the_renaming_opens_with_the_same_state() {
    if is_update_requested() {
        let dir = temporary_dir("update");
        write_disk(&dir);
        std::fs::copy(dir.join("keeper.redb"), fixture("keeper.redb")).expect("copied");
        std::fs::remove_dir_all(&dir).expect("removed");
    }
    let dir = temporary_dir("old");
    std::fs::copy(fixture("keeper.redb"), dir.join("keeper.redb")).expect("copied");
    let storage = DiskStorage::open(&dir, "stored", 1, "unused", MAX_BYTES)
        .expect("a disk written before the renaming opens");
    let described = describe(&storage);
    if is_update_requested() {
        std::fs::write(fixture("disk.txt"), &described).expect("the fixture can be written");
    }
    assert_eq!(
        std::fs::read_to_string(fixture("disk.txt")).expect("the fixture exists"),
        described
    );
    assert_eq!(
        storage.incarnation(),
        2,
        "the fixture was opened once before"
    );
    drop(storage);
    std::fs::remove_dir_all(&dir).expect("removed");
}

#[test]
fn a_disk_written_now_has_the_same_contents() {
    let dir = temporary_dir("new");
    write_disk(&dir);
    let storage = DiskStorage::open(&dir, "stored", 1, "unused", MAX_BYTES).expect("opened");
    assert_eq!(
        std::fs::read_to_string(fixture("disk.txt")).expect("the fixture exists"),
        describe(&storage)
    );
    drop(storage);
    std::fs::remove_dir_all(&dir).expect("removed");
}
