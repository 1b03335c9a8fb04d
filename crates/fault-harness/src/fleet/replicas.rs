//! The state of a fleet's replicas: their processes, addresses, and which replaced which.

use std::net::SocketAddr;

use crate::process::Process;

/// The replicas of a fleet, by place: counted from 0, where replicas themselves count from 1. All methods that take a place
/// panic where there is no such replica.
pub(super) struct Replicas {
    slots: Vec<ReplicaSlot>,
    initial: usize,
}

#[derive(Default)]
struct ReplicaSlot {
    process: Option<Process>,
    /// Where it listens, or listened last.
    addr: Option<SocketAddr>,
    replacement: Option<Replacement>,
}

/// How a replica came into the place of another one.
struct Replacement {
    /// The initial replica whose place it has, directly or through others.
    initial_place: usize,
    /// All members of the store from then on.
    members: Vec<usize>,
}

impl Replicas {
    pub(super) fn new(count: usize) -> Replicas {
        Replicas {
            slots: (0..count).map(|_| ReplicaSlot::default()).collect(),
            initial: count,
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

    /// Where a replica listens, or listened last; `None` where it never ran.
    pub(super) fn addr(&self, replica: usize) -> Option<SocketAddr> {
        self.slots[replica].addr
    }

    /// Whether a replica came into the place of another one.
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

    /// Adds a replica in the place of `lost`, with all members of the store from then on. It does not run yet.
    pub(super) fn add_replacement(&mut self, lost: usize, members: Vec<usize>) {
        let replacement = Replacement {
            initial_place: self.initial_place(lost),
            members,
        };
        self.slots.push(ReplicaSlot {
            replacement: Some(replacement),
            ..ReplicaSlot::default()
        });
    }

    /// The addresses of the replicas that run, in their order.
    pub(super) fn running_addrs(&self) -> Vec<SocketAddr> {
        let running = self.slots.iter().filter(|slot| slot.process.is_some());
        running.filter_map(|slot| slot.addr).collect()
    }

    /// The members of the store, as this replica is configured with.
    pub(super) fn members_known_to(&self, replica: usize) -> Vec<usize> {
        match &self.slots[replica].replacement {
            Some(replacement) => replacement.members.clone(),
            None => (0..self.initial).collect(),
        }
    }

    /// The members after the last replacement.
    pub(super) fn current_members(&self) -> Vec<usize> {
        let mut replacements = self.slots.iter().filter_map(|s| s.replacement.as_ref());
        match replacements.next_back() {
            Some(replacement) => replacement.members.clone(),
            None => (0..self.initial).collect(),
        }
    }

    /// The place under which routers know this replica.
    pub(super) fn initial_place(&self, replica: usize) -> usize {
        self.slots[replica]
            .replacement
            .as_ref()
            .map_or(replica, |replacement| replacement.initial_place)
    }
}

/// The name of a replica's process and folder.
pub(super) fn replica_name(replica: usize) -> String {
    format!("keeper-{}", replica + 1)
}
