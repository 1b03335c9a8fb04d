//! A fleet of routers that renew task leases with one replica, in simulated time.

use std::collections::BTreeMap;

use hoptiller_coordination::{
    Command, CommandResponse, ConfigLeaseGrant, ConfigState, ExpiryTracker, Holder, LeaseTiming,
    Micros, Proposal, Shard, Task, TaskLeaseClient,
};

use crate::common::document;

const MILLISECOND: Micros = 1000;
pub const TIMING: LeaseTiming = LeaseTiming {
    term: 2000 * MILLISECOND,
    drift: 1000,
};
pub const MARGIN: Micros = 50 * MILLISECOND;
/// The time between two renewals of a router.
const RENEWAL_INTERVAL: Micros = 400 * MILLISECOND;

/// Routers and one replica in simulated time.
pub struct TestFleet {
    pub now: Micros,
    pub config: ConfigState,
    pub expiry: ExpiryTracker,
    /// The client of each router, and the id of its next renewal.
    pub routers: BTreeMap<Holder, (TaskLeaseClient, u64)>,
    /// The names of the routers that receive no responses.
    pub losing_responses: Vec<String>,
}

pub fn holder(router: &str, incarnation: &str) -> Holder {
    Holder {
        router: router.into(),
        incarnation: incarnation.into(),
    }
}

pub fn shard(index: u32) -> Shard {
    Shard {
        task: Task::HealthCheck,
        index,
    }
}

impl TestFleet {
    pub fn new(shards: u32) -> TestFleet {
        let mut config = ConfigState::default();
        let mut document = document();
        document.tasks = [(Task::HealthCheck, shards)].into();
        config.apply(Command::Propose(Box::new(Proposal {
            change_name: "first".to_owned(),
            base: None,
            author: "ann".to_owned(),
            proposed_at_ms: 1,
            reason: "a test".to_owned(),
            document,
        })));
        TestFleet {
            now: 0,
            config,
            expiry: ExpiryTracker::default(),
            routers: BTreeMap::new(),
            losing_responses: Vec::new(),
        }
    }

    pub fn join(&mut self, router: &str, incarnation: &str) {
        self.routers.insert(
            holder(router, incarnation),
            (TaskLeaseClient::new(&TIMING, MARGIN), 0),
        );
    }

    /// Sends a renewal. Returns its id and its response, which the router has not received yet.
    pub fn renew(&mut self, holder: &Holder) -> (u64, ConfigLeaseGrant) {
        let (leases, next_id) = self.routers.get_mut(holder).expect("the router has joined");
        let id = *next_id;
        *next_id += 1;
        let offer = Some(leases.start_renewal(id, self.now));
        match self.config.apply(Command::RenewLease {
            holder: holder.clone(),
            enforced: 1,
            in_force: 1,
            offer,
        }) {
            CommandResponse::LeaseGranted(grant) => (id, grant),
            other => panic!("{other:?}"),
        }
    }

    pub fn receive(&mut self, holder: &Holder, id: u64, grant: &ConfigLeaseGrant) {
        let now = self.now;
        self.client_mut(holder).accept_grant(
            id,
            now,
            grant.serial,
            grant.leases.as_deref(),
            grant.lease_table.as_ref(),
        );
    }

    /// Returns the client of a router that has joined.
    pub fn client(&self, holder: &Holder) -> &TaskLeaseClient {
        &self.routers[holder].0
    }

    /// Returns the client of a router that has joined.
    pub fn client_mut(&mut self, holder: &Holder) -> &mut TaskLeaseClient {
        let router = self.routers.get_mut(holder);
        &mut router.expect("the router has joined").0
    }

    /// Advances the time by one renewal interval: each router renews once, and the replica expires leases.
    pub fn round(&mut self) {
        self.now += RENEWAL_INTERVAL;
        for holder in self.routers.keys().cloned().collect::<Vec<_>>() {
            let (id, grant) = self.renew(&holder);
            if !self.losing_responses.contains(&holder.router) {
                self.receive(&holder, id, &grant);
            }
        }
        self.expiry.observe(self.now, &self.config);
        self.config.apply(Command::ExpireTaskLeases(
            self.expiry.expired_task_leases(self.now, &TIMING),
        ));
        let expired = self.expiry.expired_config_leases(self.now, &TIMING);
        self.config
            .apply(Command::CompleteRollout { upto: 1, expired });
        self.expiry.observe(self.now, &self.config);
        let holding = self.routers_holding();
        assert!(
            holding.values().all(|routers| routers.len() <= 1),
            "two routers hold the lease of one shard: {holding:?}"
        );
    }

    pub fn rounds(&mut self, count: u32) {
        (0..count).for_each(|_| self.round());
    }

    /// Returns the routers that hold a valid lease by their own clocks, by shard.
    pub fn routers_holding(&self) -> BTreeMap<Shard, Vec<Holder>> {
        let mut routers_holding: BTreeMap<Shard, Vec<Holder>> = BTreeMap::new();
        for entry in self.config.lease_table().updates_since(0).entries {
            let is_holding = |(_, (leases, _)): &(&Holder, &(TaskLeaseClient, u64))| {
                leases.is_holding(self.now, entry.shard)
            };
            let holding = self.routers.iter().filter(is_holding);
            routers_holding.insert(
                entry.shard,
                holding.map(|(holder, _)| holder.clone()).collect(),
            );
        }
        routers_holding
    }

    /// Returns the holders that the replica knows, by shard.
    pub fn held(&self) -> BTreeMap<Shard, Holder> {
        let entries = self.config.lease_table().updates_since(0).entries;
        entries
            .into_iter()
            .filter_map(|entry| Some((entry.shard, entry.holder?.0)))
            .collect()
    }

    /// Returns the number of leases that each router holds, as far as the replica knows.
    pub fn counts(&self) -> Vec<usize> {
        let count = |holder: &Holder| self.count_held_by(holder);
        self.routers.keys().map(count).collect()
    }

    /// Returns the number of leases that a router holds, as far as the replica knows.
    pub fn count_held_by(&self, router: &Holder) -> usize {
        self.held().values().filter(|held| *held == router).count()
    }
}
