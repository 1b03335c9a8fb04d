//! A replica's disk that was written before any type was renamed still opens and gives the same state; what is written
//! into it now has the same form.

use std::path::{Path, PathBuf};

use hoptiller_coordination::Command;
use hoptiller_coordination_server::disk::Disk;
use hoptiller_coordination_server::log::{Entry, EntryId};
use hoptiller_coordination_server::machine::Machine;
use hoptiller_coordination_server::members::{Members, Replace};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::Storage;

const MOST_BYTES: u64 = 1 << 30;

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

fn updates() -> bool {
    std::env::var_os("UPDATE_FIXTURES").is_some()
}

fn scratch(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("hoptiller-stored-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).expect("made");
    dir
}

fn acts() -> Vec<Command> {
    let path =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../coordination/tests/fixtures/acts.jsonl");
    let text = std::fs::read_to_string(path).expect("the fixture exists");
    text.lines()
        .map(|line| serde_json::from_str(line).expect("a stored act"))
        .collect()
}

fn entry(number: u64, act: Command) -> Entry {
    Entry::Acts(
        EntryId {
            keeper: 1,
            life: 1,
            number,
        },
        vec![act],
    )
}

fn members() -> Members {
    let address = |port: u16| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    let first = Members::first([(1, address(7001)), (2, address(7002)), (3, address(7003))].into());
    first
        .replaced(&Replace {
            lost: 3,
            new: 4,
            at: address(7004),
        })
        .expect("replaced")
}

/// Permits, leases and pending changes in the state; a promise, an accepted round and entries behind it.
fn write_disk(dir: &Path) {
    let mut disk = Disk::open(dir, "stored", 1, "disk-of-the-fixture", MOST_BYTES).expect("made");
    let (mut machine, acts) = (Machine::default(), acts());
    let (before, behind) = acts.split_at(acts.len() - 6);
    for (number, act) in (0u64..).zip(before) {
        machine
            .apply(
                EntryId {
                    keeper: 1,
                    life: 1,
                    number,
                },
                vec![act.clone()],
            )
            .expect("applied");
    }
    disk.move_on(members(), before.len(), machine);
    let ballot = Ballot::with(2, 3, 0, 4);
    disk.set_promise(ballot).expect("written");
    disk.set_accepted_round(ballot).expect("written");
    let numbered = (before.len() as u64..).zip(behind);
    disk.append_entries(
        numbered
            .map(|(number, act)| entry(number, act.clone()))
            .collect(),
    )
    .expect("written");
    disk.set_decided_idx(before.len() + 4).expect("written");
    disk.append_entry(Entry::Replace(
        EntryId {
            keeper: 1,
            life: 1,
            number: 1000,
        },
        Replace {
            lost: 4,
            new: 5,
            at: ([127, 0, 0, 1], 7005).into(),
        },
    ))
    .expect("written");
}

fn json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("it has a JSON form")
}

fn describe(disk: &Disk) -> String {
    let length = disk.get_log_len().expect("read");
    let entries = disk.get_entries(0, length).expect("read");
    let kept: Vec<&Entry> = entries
        .iter()
        .filter(|entry| **entry != Entry::Filler)
        .collect();
    [
        json(&disk.identity()),
        json(&disk.members()),
        json(&disk.get_promise().expect("read")),
        json(&disk.get_accepted_round().expect("read")),
        json(&disk.get_decided_idx().expect("read")),
        json(&length),
        json(&kept),
    ]
    .join("\n")
}

#[test]
fn an_old_disk_opens_and_gives_the_same_state() {
    if updates() {
        let dir = scratch("update");
        write_disk(&dir);
        std::fs::copy(dir.join("keeper.redb"), fixture("keeper.redb")).expect("copied");
        std::fs::remove_dir_all(&dir).expect("removed");
    }
    let dir = scratch("old");
    std::fs::copy(fixture("keeper.redb"), dir.join("keeper.redb")).expect("copied");
    let disk = Disk::open(&dir, "stored", 1, "unused", MOST_BYTES).expect("an old disk opens");
    let described = describe(&disk);
    if updates() {
        std::fs::write(fixture("disk.txt"), &described).expect("the fixture can be written");
    }
    assert_eq!(
        std::fs::read_to_string(fixture("disk.txt")).expect("the fixture exists"),
        described
    );
    assert_eq!(disk.life(), 2, "the fixture was opened once before");
    drop(disk);
    std::fs::remove_dir_all(&dir).expect("removed");
}

#[test]
fn a_disk_written_now_has_the_same_contents() {
    let dir = scratch("new");
    write_disk(&dir);
    let disk = Disk::open(&dir, "stored", 1, "unused", MOST_BYTES).expect("opened");
    assert_eq!(
        std::fs::read_to_string(fixture("disk.txt")).expect("the fixture exists"),
        describe(&disk)
    );
    drop(disk);
    std::fs::remove_dir_all(&dir).expect("removed");
}
