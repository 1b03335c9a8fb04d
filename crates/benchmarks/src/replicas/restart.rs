//! The time that a replica takes to start on a disk with many versions.

use std::error::Error;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Instant;

use hoptiller_coordination::{Command, LeaseTiming, Proposal};
use hoptiller_coordination_server::membership::Membership;
use hoptiller_coordination_server::replica::Replica;
use hoptiller_coordination_server::replicated_log::ReplicatedLog;
use hoptiller_coordination_server::storage::DiskStorage;

use super::{LEASE_TERM, document};
use crate::error::BenchmarkError;
use crate::test_fleet::{DRIFT_MILLIONTHS, REPLICAS, temporary_dir};

/// Maximum size of a replica's storage.
const MAX_STORAGE_BYTES: u64 = 1 << 30;

/// Name of the storage file in a replica's folder.
const STORAGE_FILE: &str = "keeper.redb";

/// Number of proposals that one entry of the log holds.
const PROPOSALS_PER_ENTRY: u64 = 512;

/// Time between two steps, by the replicas' clock.
const STEP_MICROS: u64 = 10_000;

/// Time in which all versions must be decided, by the replicas' clock.
const DECISION_TIMEOUT_MICROS: u64 = 3_600_000_000;

/// Replicas on one thread, each with its own disk.
struct Replicas {
    dir: PathBuf,
    membership: Membership,
    running: Vec<Replica>,
    now: u64,
}

impl Replicas {
    fn start(dir: &Path) -> Result<Replicas, BenchmarkError> {
        let address = |number: u64| ([127, 0, 0, 1], number as u16).into();
        let numbers = 1..=REPLICAS as u64;
        let members = numbers.clone().map(|number| (number, address(number)));
        let mut replicas = Replicas {
            dir: dir.to_owned(),
            membership: Membership::initial(members.collect()),
            running: Vec::new(),
            now: 0,
        };
        replicas.running = numbers
            .map(|number| replicas.open(number))
            .collect::<Result<Vec<Replica>, BenchmarkError>>()?;
        Ok(replicas)
    }

    fn open(&self, number: u64) -> Result<Replica, BenchmarkError> {
        let timing = LeaseTiming {
            term: LEASE_TERM.as_micros() as u64,
            drift: DRIFT_MILLIONTHS,
        };
        let dir = self.dir.join(number.to_string());
        let storage =
            DiskStorage::open(&dir, "f", number, "d", MAX_STORAGE_BYTES).map_err(other_error)?;
        let incarnation = storage.incarnation();
        let log =
            ReplicatedLog::open(number, self.membership.clone(), storage).map_err(other_error)?;
        Ok(Replica::new(number, incarnation, timing, log, self.now))
    }

    /// Proposes versions until each replica has applied the given number.
    fn decide(&mut self, versions: u64) -> Result<(), BenchmarkError> {
        let mut proposed = 0;
        while self
            .running
            .iter()
            .any(|replica| replica.config_state().latest() < versions)
        {
            self.now += STEP_MICROS;
            if self.now > DECISION_TIMEOUT_MICROS {
                return Err(BenchmarkError::VersionsNotDecided {
                    decided: self.running[0].config_state().latest(),
                    expected: versions,
                });
            }
            // Propose as many versions as an entry holds, and keep one entry in flight.
            if self.running[0].config_state().latest() == proposed {
                let end = versions.min(proposed + PROPOSALS_PER_ENTRY);
                for number in proposed + 1..=end {
                    self.propose(number)?;
                }
                proposed = end;
            }
            self.step();
        }
        Ok(())
    }

    fn propose(&mut self, number: u64) -> Result<(), BenchmarkError> {
        let proposal = Proposal {
            change_name: number.to_string(),
            base: None,
            author: "measure".into(),
            proposed_at_ms: number,
            reason: "measured".into(),
            document: document((number % 1000) as f64, 3)?,
        };
        self.running[0].submit(Command::Propose(Box::new(proposal)));
        Ok(())
    }

    /// Advances the time, and delivers all messages.
    fn step(&mut self) {
        let mut messages = Vec::new();
        for replica in &mut self.running {
            replica.tick(self.now);
            replica.take_completed();
            messages.extend(replica.take_messages());
        }
        while let Some(message) = messages.pop() {
            let index = message.receiver() as usize - 1;
            if let Some(replica) = self.running.get_mut(index) {
                replica.handle_messages(self.now, vec![message]);
                messages.splice(0..0, replica.take_messages());
            }
        }
    }
}

pub(super) fn run(versions: u64) -> Result<(), BenchmarkError> {
    let dir = temporary_dir("disks");
    let mut replicas = Replicas::start(&dir)?;
    replicas.decide(versions)?;
    replicas.running.clear();
    let start = Instant::now();
    let replica = replicas.open(1)?;
    let milliseconds = start.elapsed().as_secs_f64() * 1000.0;
    let found = replica.config_state().latest();
    if found != versions {
        return Err(BenchmarkError::VersionsLost {
            found,
            expected: versions,
        });
    }
    let bytes = std::fs::metadata(dir.join("1").join(STORAGE_FILE))?.len();
    println!("{versions:>9} {:>10} {milliseconds:>12.1}", bytes / 1024);
    drop(replica);
    std::fs::remove_dir_all(&dir)?;
    Ok(())
}

fn other_error(error: impl Error + Send + Sync + 'static) -> BenchmarkError {
    BenchmarkError::Io(io::Error::other(error))
}
