//! The state of the replicas of a fleet: processes, addresses and replacements.

use std::net::SocketAddr;

use crate::process::Process;

/// The replicas of a fleet, indexed from 0, while their own numbers start at 1. All methods that take an index panic if
/// there is no such replica.
pub(super) struct Replicas {
    slots: Vec<ReplicaSlot>,
    initial_count: usize,
}

#[derive(Default)]
struct ReplicaSlot {
    process: Option<Process>,
    /// Last address on which the replica listened.
    addr: Option<SocketAddr>,
    replacement: Option<Replacement>,
}

/// Details of a replica that replaced another one.
struct Replacement {
    /// Index of the initial replica that it replaced, directly or through other replacements.
    initial_index: usize,
    /// All members of the store after the replacement.
    members: Vec<usize>,
}

impl Replicas {
    pub(super) fn new(count: usize) -> Replicas {
        Replicas {
            slots: (0..count).map(|_| ReplicaSlot::default()).collect(),
            initial_count: count,
        }
    }

    pub(super) fn processes(&mut self) -> impl Iterator<Item = &mut Process> {
        self.slots
            .iter_mut()
            .filter_map(|slot| slot.process.as_mut())
    }

    pub(super) fn count(&self) -> usize {
        self.slots.len()
    }

    pub(super) fn process(&mut self, replica: usize) -> Option<&mut Process> {
        self.slots[replica].process.as_mut()
    }

    /// Returns the last address on which a replica listened; `None` if it was never started.
    pub(super) fn addr(&self, replica: usize) -> Option<SocketAddr> {
        self.slots[replica].addr
    }

    /// Returns whether a replica replaced another one.
    pub(super) fn is_replacement(&self, replica: usize) -> bool {
        self.slots[replica].replacement.is_some()
    }

    pub(super) fn set_process(&mut self, replica: usize, process: Process) {
        let slot = &mut self.slots[replica];
        slot.addr = Some(process.addr());
        slot.process = Some(process);
    }

    pub(super) fn kill(&mut self, replica: usize) {
        self.slots[replica].process = None;
    }

    /// Adds a replica, which is not started yet, as the replacement of `lost`. `members` are all members of the store
    /// after the replacement.
    pub(super) fn add_replacement(&mut self, lost: usize, members: Vec<usize>) {
        let replacement = Replacement {
            initial_index: self.initial_index(lost),
            members,
        };
        self.slots.push(ReplicaSlot {
            replacement: Some(replacement),
            ..ReplicaSlot::default()
        });
    }

    /// Returns the addresses of the running replicas, in order of their indexes.
    pub(super) fn running_addrs(&self) -> Vec<SocketAddr> {
        let running = self.slots.iter().filter(|slot| slot.process.is_some());
        running.filter_map(|slot| slot.addr).collect()
    }

    /// Returns the members of the store in the configuration of a replica.
    pub(super) fn members_known_to(&self, replica: usize) -> Vec<usize> {
        match &self.slots[replica].replacement {
            Some(replacement) => replacement.members.clone(),
            None => (0..self.initial_count).collect(),
        }
    }

    /// Returns the members of the store after the last replacement.
    pub(super) fn current_members(&self) -> Vec<usize> {
        let mut replacements = self.slots.iter().filter_map(|s| s.replacement.as_ref());
        match replacements.next_back() {
            Some(replacement) => replacement.members.clone(),
            None => (0..self.initial_count).collect(),
        }
    }

    /// Returns the index of the initial replica over whose links routers reach a replica.
    pub(super) fn initial_index(&self, replica: usize) -> usize {
        self.slots[replica]
            .replacement
            .as_ref()
            .map_or(replica, |replacement| replacement.initial_index)
    }
}

/// Returns the name of a replica's process and folder.
pub(super) fn replica_name(replica: usize) -> String {
    format!("keeper-{}", replica + 1)
}
