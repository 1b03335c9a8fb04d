//! A cluster in simulated time, on real disks, with faults between its replicas.

use std::collections::BTreeMap;
use std::path::PathBuf;

use hoptiller_coordination::{
    Command, CommandResponse, Document, Holder, LeaseTiming, Micros, Proposal,
};
use hoptiller_coordination_server::membership::{Membership, ReplaceError, Replacement};
use hoptiller_coordination_server::replica::{Replica, ReplicatedState};
use hoptiller_coordination_server::replicated_log::{Message, ReplicatedLog};
use hoptiller_coordination_server::request::{RequestId, Response};
use hoptiller_coordination_server::storage::DiskStorage;

pub const MICROS_PER_MS: Micros = 1000;
pub const LEASE_TIMING: LeaseTiming = LeaseTiming {
    term: 2000 * MICROS_PER_MS,
    drift: 1000,
};

/// A linear congruential generator.
pub struct Random(u64);

impl Random {
    pub fn below(&mut self, n: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }
}

pub struct Cluster {
    pub dir: PathBuf,
    pub now: Micros,
    pub replicas: BTreeMap<u64, Replica>,
    /// Messages in flight, each with its arrival time and the number of its sender's membership.
    pub in_flight: Vec<(Micros, u32, Message)>,
    /// Links that drop all messages, as (sender, receiver).
    pub blocked_links: Vec<(u64, u64)>,
    /// One in this many messages is lost on average; 0 for no loss.
    pub loss_interval: u64,
    pub random: Random,
    pub responses: BTreeMap<(u64, RequestId), CommandResponse>,
    pub replacement_responses: BTreeMap<(u64, RequestId), Result<u32, ReplaceError>>,
}

pub fn document(attempts: u32) -> Document {
    let text = format!(
        r#"{{"form": 1, "kinds": {{"a": 8}},
            "classes": {{"lookup": {{"aim": "1s", "patience": "7s", "repeat": "safe"}}}},
            "engines": {{"max_attempts": {attempts}}},
            "rules": {{"start_capacity": 0.3, "ramp": "14s", "overload": 3, "fall": "2s"}}}}"#
    );
    Document::from_json(text.as_bytes()).expect("good")
}

pub fn propose(change: &str, attempts: u32) -> Command {
    Command::Propose(Box::new(Proposal {
        change_name: change.into(),
        base: None,
        author: "ann".into(),
        proposed_at_ms: 1,
        reason: "a test".into(),
        document: document(attempts),
    }))
}

pub fn renew(router: &str, enforced: u64, in_force: u64) -> Command {
    Command::RenewLease {
        holder: Holder {
            router: router.into(),
            incarnation: "1".into(),
        },
        enforced,
        in_force,
        offer: None,
    }
}

pub fn initial_membership() -> Membership {
    Membership::initial(
        (1..=3)
            .map(|n| (n, ([127, 0, 0, 1], n as u16).into()))
            .collect(),
    )
}

impl Cluster {
    pub fn new(name: &str, seed: u64) -> Cluster {
        let dir =
            std::env::temp_dir().join(format!("hoptiller-cluster-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        let mut cluster = Cluster {
            dir,
            now: 0,
            replicas: BTreeMap::new(),
            in_flight: Vec::new(),
            blocked_links: Vec::new(),
            loss_interval: 0,
            random: Random(seed),
            responses: BTreeMap::new(),
            replacement_responses: BTreeMap::new(),
        };
        for id in 1..=3 {
            cluster.start(id);
        }
        cluster
    }

    pub fn open_storage(&self, id: u64) -> DiskStorage {
        DiskStorage::open(&self.dir.join(id.to_string()), "f", id, "d", 1 << 30).expect("opened")
    }

    pub fn start(&mut self, id: u64) {
        self.start_with_storage(id, self.open_storage(id));
    }

    /// Starts a new replica with the state of another one. Returns false if no running replica can admit it.
    pub fn join(&mut self, id: u64) -> bool {
        let admits =
            |replica: &&Replica| !replica.is_replaced() && replica.membership().contains(id);
        let Some(ReplicatedState {
            membership,
            index,
            state_machine,
        }) = self
            .replicas
            .values()
            .find(admits)
            .map(Replica::replicated_state)
        else {
            return false;
        };
        let storage = self.open_storage(id);
        storage.reconfigure(membership, index, state_machine);
        self.start_with_storage(id, storage);
        true
    }

    pub fn start_with_storage(&mut self, id: u64, storage: DiskStorage) {
        let incarnation = storage.incarnation();
        let log = ReplicatedLog::open(id, initial_membership(), storage).expect("opened");
        self.replicas.insert(
            id,
            Replica::new(id, incarnation, LEASE_TIMING, log, self.now),
        );
        // Messages from and to the previous process are lost, and the peers notice the broken connections.
        self.in_flight
            .retain(|(_, _, m)| m.receiver() != id && m.sender() != id);
        let others: Vec<u64> = self.replicas.keys().copied().filter(|o| *o != id).collect();
        for other in others {
            self.replicas
                .get_mut(&other)
                .expect("running")
                .reconnected(id);
            self.replicas
                .get_mut(&id)
                .expect("running")
                .reconnected(other);
        }
    }

    /// Delivers a message in the same way as the server, which accepts it only under its own membership.
    pub fn deliver(&mut self, membership: u32, message: Message) {
        let (from, now) = (message.sender(), self.now);
        let Some(replica) = self.replicas.get_mut(&message.receiver()) else {
            return;
        };
        match membership.cmp(&replica.membership().number) {
            std::cmp::Ordering::Equal => replica.handle_messages(now, vec![message]),
            std::cmp::Ordering::Less if replica.membership().removed.contains(&from) => {
                self.stop(from)
            }
            std::cmp::Ordering::Less => {}
            std::cmp::Ordering::Greater => {
                let state = self.replicas.get(&from).map(Replica::replicated_state);
                let to = self.replicas.get_mut(&message.receiver());
                to.into_iter()
                    .zip(state)
                    .for_each(|(to, state)| to.install(now, state));
            }
        }
    }

    pub fn submit_replacement(&mut self, id: u64, lost: u64, new: u64) -> RequestId {
        let now = self.now;
        let address = ([127, 0, 0, 1], 9).into();
        self.replicas
            .get_mut(&id)
            .expect("running")
            .submit_replacement(now, Replacement { lost, new, address })
    }

    /// Runs until a replacement has a response. Returns `None` if it has none after 1000 steps.
    pub fn wait_for_replacement(
        &mut self,
        id: u64,
        request: RequestId,
    ) -> Option<Result<u32, ReplaceError>> {
        for _ in 0..1000 {
            self.step();
            if let Some(response) = self.replacement_responses.remove(&(id, request)) {
                return Some(response);
            }
        }
        None
    }

    pub fn stop(&mut self, id: u64) {
        self.replicas.remove(&id);
    }

    pub fn step(&mut self) {
        self.now += 10 * MICROS_PER_MS;
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.in_flight = rest;
        for (_, membership, message) in due {
            self.deliver(membership, message);
        }
        for replica in self.replicas.values_mut() {
            replica.tick(now);
        }
        let mut sent = Vec::new();
        for (id, replica) in &mut self.replicas {
            for completed in replica.take_completed() {
                let key = (*id, completed.request_id);
                match completed.response {
                    Response::Command(response) => {
                        self.responses.insert(key, response);
                    }
                    Response::Replaced(membership) => {
                        self.replacement_responses.insert(key, membership);
                    }
                }
            }
            let membership = replica.membership().number;
            sent.extend(replica.take_messages().into_iter().map(|m| (membership, m)));
        }
        for (membership, message) in sent {
            let link = (message.sender(), message.receiver());
            let lost = self.loss_interval > 0 && self.random.below(self.loss_interval) == 0;
            if !self.blocked_links.contains(&link) && !lost {
                self.in_flight
                    .push((now + 2 * MICROS_PER_MS, membership, message));
            } else if lost && self.random.below(3) == 0 {
                // The receiver notices some of the lost messages, as it would notice a broken connection.
                if let Some(replica) = self.replicas.get_mut(&link.1) {
                    replica.reconnected(link.0);
                }
            }
        }
    }

    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / 10 {
            self.step();
        }
    }

    pub fn submit(&mut self, id: u64, command: Command) -> RequestId {
        self.replicas.get_mut(&id).expect("running").submit(command)
    }

    /// Submits a command and runs until it has a response. Returns `None` if it has none after 1000 steps.
    pub fn complete(&mut self, id: u64, command: Command) -> Option<CommandResponse> {
        let request = self.submit(id, command);
        for _ in 0..1000 {
            self.step();
            if let Some(response) = self.responses.remove(&(id, request)) {
                return Some(response);
            }
        }
        None
    }

    pub fn in_force(&self, id: u64) -> u64 {
        self.replicas[&id].config_state().in_force()
    }

    pub fn leader(&self) -> Option<u64> {
        self.replicas.values().find_map(Replica::leader)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.replicas.clear();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
