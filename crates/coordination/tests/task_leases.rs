//! Task leases in simulated time: their assignment while routers join, leave and lose responses, and that no router acts
//! under another's lease.

mod common;

use std::collections::BTreeMap;

use common::document;
use hoptiller_coordination::ConfigLeaseGrant;
use hoptiller_coordination::{
    Command, CommandResponse, ConfigState, ExpiryTracker, Holder, LeaseOffer, LeaseTiming, Micros,
    Proposal, Shard, Task, TaskLeaseClient,
};
use hoptiller_coordination::{MAX_NOTE_BYTES, MIN_CONSECUTIVE_RENEWALS, NoteError};

const MILLISECOND: Micros = 1000;
const TIMING: LeaseTiming = LeaseTiming {
    term: 2000 * MILLISECOND,
    drift: 1000,
};
const MARGIN: Micros = 50 * MILLISECOND;
/// The time between two renewals of a router.
const RENEWAL_INTERVAL: Micros = 400 * MILLISECOND;

struct TestCluster {
    now: Micros,
    config: ConfigState,
    expiry: ExpiryTracker,
    routers: BTreeMap<Holder, (TaskLeaseClient, u64)>,
    /// Routers whose responses are lost.
    unreachable: Vec<String>,
}

fn holder(router: &str, incarnation: &str) -> Holder {
    Holder {
        router: router.into(),
        incarnation: incarnation.into(),
    }
}

fn shard(index: u32) -> Shard {
    Shard {
        task: Task::HealthCheck,
        index,
    }
}

impl TestCluster {
    fn new(parts: u32) -> TestCluster {
        let mut config = ConfigState::default();
        let mut document = document();
        document.tasks = [(Task::HealthCheck, parts)].into();
        let (change, by, why) = ("first".to_owned(), "ann".to_owned(), "a test".to_owned());
        config.apply(Command::Propose(Box::new(Proposal {
            change_name: change,
            base: None,
            author: by,
            proposed_at_ms: 1,
            reason: why,
            document,
        })));
        let (routers, unreachable) = Default::default();
        TestCluster {
            now: 0,
            config,
            expiry: ExpiryTracker::default(),
            routers,
            unreachable,
        }
    }

    fn join(&mut self, router: &str, incarnation: &str) {
        self.routers.insert(
            holder(router, incarnation),
            (TaskLeaseClient::new(&TIMING, MARGIN), 0),
        );
    }

    /// Sends a renewal, and returns its response, which the router has not received yet.
    fn renew(&mut self, who: &Holder) -> (u64, ConfigLeaseGrant) {
        let (leases, next) = self.routers.get_mut(who).expect("there");
        let id = *next;
        *next += 1;
        let offer = Some(leases.start_renewal(id, self.now));
        match self.config.apply(Command::RenewLease {
            holder: who.clone(),
            enforced: 1,
            in_force: 1,
            offer,
        }) {
            CommandResponse::LeaseGranted(granted) => (id, granted),
            other => panic!("{other:?}"),
        }
    }

    fn receive(&mut self, who: &Holder, id: u64, g: &ConfigLeaseGrant) {
        let (leases, _) = self.routers.get_mut(who).expect("there");
        leases.accept_grant(
            id,
            self.now,
            g.serial,
            g.leases.as_deref(),
            g.lease_table.as_ref(),
        );
    }

    /// Time passes: each router renews once, and the replica expires leases.
    fn round(&mut self) {
        self.now += RENEWAL_INTERVAL;
        for who in self.routers.keys().cloned().collect::<Vec<_>>() {
            let (id, granted) = self.renew(&who);
            if !self.unreachable.contains(&who.router) {
                self.receive(&who, id, &granted);
            }
        }
        self.expiry.observe(self.now, &self.config);
        self.config.apply(Command::ExpireTaskLeases(
            self.expiry.expired_task_leases(self.now, &TIMING),
        ));
        let lapsed = self.expiry.expired_config_leases(self.now, &TIMING);
        self.config
            .apply(Command::CompleteRollout { upto: 1, lapsed });
        self.expiry.observe(self.now, &self.config);
        let acting = self.acting();
        assert!(
            acting.values().all(|all| all.len() <= 1),
            "two may act: {acting:?}"
        );
    }

    fn rounds(&mut self, n: u32) {
        (0..n).for_each(|_| self.round());
    }

    /// By shard: the routers that may act now.
    fn acting(&self) -> BTreeMap<Shard, Vec<Holder>> {
        let mut all: BTreeMap<Shard, Vec<Holder>> = BTreeMap::new();
        for posted in self.config.lease_table().updates_since(0).entries {
            let may = |(_, (t, _)): &(&Holder, &(TaskLeaseClient, u64))| {
                t.is_holding(self.now, posted.shard)
            };
            all.insert(
                posted.shard,
                self.routers
                    .iter()
                    .filter(may)
                    .map(|(h, _)| h.clone())
                    .collect(),
            );
        }
        all
    }

    /// By shard: its holder, as the replica knows.
    fn held(&self) -> BTreeMap<Shard, Holder> {
        let posted = self.config.lease_table().updates_since(0).entries;
        posted
            .into_iter()
            .filter_map(|p| Some((p.shard, p.holder?.0)))
            .collect()
    }

    fn counts(&self) -> Vec<usize> {
        let count = |who: &Holder| self.held().values().filter(|h| *h == who).count();
        self.routers.keys().map(count).collect()
    }
}

#[test]
fn leases_spread_evenly_and_joins_and_leaves_move_the_fewest() {
    let mut cluster = TestCluster::new(100);
    for n in 0..6 {
        cluster.join(&format!("r{n}"), "1");
    }
    cluster.rounds(3 * MIN_CONSECUTIVE_RENEWALS);
    assert!(
        cluster.counts().iter().all(|n| (16..=17).contains(n)),
        "{:?}",
        cluster.counts()
    );
    let before = cluster.held();
    cluster.join("r6", "1");
    cluster.rounds(3 * MIN_CONSECUTIVE_RENEWALS);
    assert!(
        cluster.counts().iter().all(|n| (14..=15).contains(n)),
        "{:?}",
        cluster.counts()
    );
    let moved: Vec<(Shard, Holder)> = cluster
        .held()
        .into_iter()
        .filter(|(p, h)| before[p] != *h)
        .collect();
    assert_eq!(moved.len(), 14, "a seventh of them");
    assert!(
        moved.iter().all(|(_, h)| h.router == "r6"),
        "and to nobody else: {moved:?}"
    );
    // One that is about to end hands over with its next two questions, long before a term is over.
    let leaving = holder("r2", "1");
    cluster.routers.get_mut(&leaving).expect("there").0.drain();
    cluster.rounds(3);
    assert_eq!(cluster.routers[&leaving].0.outstanding_leases(), 0);
    assert_eq!(
        (
            cluster.held().len(),
            cluster.config.lease_table().count_held_by(&leaving)
        ),
        (100, 0)
    );
    assert!(
        cluster
            .acting()
            .values()
            .filter(|all| all.len() == 1)
            .count()
            >= 86,
        "the others act on"
    );
}

#[test]
fn a_flapping_router_gets_no_leases_and_moves_none() {
    let mut cluster = TestCluster::new(60);
    for n in 0..3 {
        cluster.join(&format!("r{n}"), "1");
    }
    cluster.rounds(3 * MIN_CONSECUTIVE_RENEWALS);
    let before = cluster.held();
    for incarnation in 0..10 {
        let flapping = holder("r9", &incarnation.to_string());
        cluster.join(&flapping.router, &flapping.incarnation);
        cluster.rounds(MIN_CONSECUTIVE_RENEWALS - 1);
        cluster.routers.remove(&flapping);
    }
    assert_eq!(cluster.held(), before);
}

#[test]
fn a_thousand_leases_of_a_dead_router_are_reassigned_together_after_a_term() {
    let mut cluster = TestCluster::new(1000);
    cluster.join("r0", "1");
    cluster.rounds(2 * MIN_CONSECUTIVE_RENEWALS);
    cluster.join("r1", "1");
    let dies = holder("r0", "1");
    assert_eq!(cluster.config.lease_table().count_held_by(&dies), 1000);
    // Dies before the other has asked often enough to be given any.
    cluster.rounds(1);
    cluster.routers.remove(&dies);
    let (died, fence) = (
        cluster.now,
        cluster.config.lease_table().last_fencing_token(),
    );
    while cluster.config.lease_table().count_held_by(&dies) > 0 {
        cluster.round();
        assert!(cluster.now < died + 2 * TIMING.term, "it is never over");
    }
    assert!(cluster.now > died + TIMING.term, "not before its term");
    cluster.rounds(2);
    assert_eq!(
        cluster
            .config
            .lease_table()
            .count_held_by(&holder("r1", "1")),
        1000
    );
    assert_eq!(
        cluster.config.lease_table().last_fencing_token(),
        fence + 1000,
        "each under a number of its own"
    );
}

#[test]
fn a_router_that_receives_no_responses_loses_its_leases() {
    let mut cluster = TestCluster::new(8);
    cluster.join("r0", "1");
    cluster.join("r1", "1");
    cluster.rounds(4 * MIN_CONSECUTIVE_RENEWALS);
    assert_eq!(cluster.counts(), [4, 4]);
    cluster.unreachable.push("r0".into());
    cluster.rounds(7);
    assert_eq!(
        cluster.counts(),
        [0, 8],
        "a term and a little after the last answer that it heard"
    );
    cluster.unreachable.clear();
    cluster.rounds(4 * MIN_CONSECUTIVE_RENEWALS);
    assert_eq!(cluster.counts(), [4, 4], "it is given some again");
}

#[test]
fn two_incarnations_of_a_router_are_two_holders() {
    let mut cluster = TestCluster::new(4);
    cluster.join("r0", "1");
    cluster.join("r0", "2");
    cluster.rounds(4 * MIN_CONSECUTIVE_RENEWALS);
    assert_eq!(cluster.counts(), [2, 2]);
    assert_eq!(
        cluster
            .acting()
            .values()
            .filter(|all| all.len() == 1)
            .count(),
        4
    );
}

#[test]
fn a_late_response_does_not_restore_a_released_lease() {
    let mut cluster = TestCluster::new(1);
    cluster.join("r0", "1");
    cluster.rounds(2 * MIN_CONSECUTIVE_RENEWALS);
    let who = holder("r0", "1");
    assert!(cluster.routers[&who].0.is_holding(cluster.now, shard(0)));
    // The answer names the lease, and is late.
    let (late, named) = cluster.renew(&who);
    assert_eq!(named.leases.as_ref().map(Vec::len), Some(1));
    cluster
        .routers
        .get_mut(&who)
        .expect("there")
        .0
        .request_release(shard(0));
    let (id, told) = cluster.renew(&who);
    cluster.receive(&who, late, &named);
    assert!(
        !cluster.routers[&who].0.is_holding(cluster.now, shard(0)),
        "it has given it back with its last question"
    );
    cluster.receive(&who, id, &told);
    assert!(!cluster.routers[&who].0.is_holding(cluster.now, shard(0)));
    // The answer before was not heard when it asked: what it gave back is confirmed with the next ones.
    cluster.rounds(2 * MIN_CONSECUTIVE_RENEWALS);
    assert!(
        cluster.routers[&who].0.is_holding(cluster.now, shard(0)),
        "nobody else takes it: it has it again, under another number"
    );
    // An older answer that knows nothing of it yet takes nothing away.
    let (first, mut old) = cluster.renew(&who);
    let (second, new) = cluster.renew(&who);
    old.leases = Some(Vec::new());
    cluster.receive(&who, second, &new);
    cluster.receive(&who, first, &old);
    assert!(cluster.routers[&who].0.is_holding(cluster.now, shard(0)));
}

#[test]
fn a_late_expiry_or_release_frees_nothing() {
    let mut cluster = TestCluster::new(1);
    cluster.join("r0", "1");
    cluster.rounds(2 * MIN_CONSECUTIVE_RENEWALS);
    let who = holder("r0", "1");
    // A keeper judges, and the holder's question comes before its judgement in the log.
    cluster.expiry.observe(cluster.now, &cluster.config);
    let judged = cluster
        .expiry
        .expired_task_leases(cluster.now + 2 * TIMING.term, &TIMING);
    assert_eq!(judged.len(), 1);
    let (id, told) = cluster.renew(&who);
    cluster.receive(&who, id, &told);
    cluster.config.apply(Command::ExpireTaskLeases(judged));
    assert_eq!(
        cluster.config.lease_table().count_held_by(&who),
        1,
        "it was prolonged meanwhile"
    );
    // A copy of a question from when it gave an earlier lease of that part back.
    let number = cluster.config.lease_table().updates_since(0).entries[0]
        .holder
        .as_ref()
        .expect("held")
        .1;
    let offer = Some(LeaseOffer {
        acknowledged_serial: 1,
        accepts_leases: true,
        released: vec![(shard(0), number - 1)],
        table_revision: 0,
    });
    cluster.config.apply(Command::RenewLease {
        holder: who.clone(),
        enforced: 1,
        in_force: 1,
        offer,
    });
    assert_eq!(
        cluster.config.lease_table().updates_since(0).entries[0].holder,
        Some((who, number)),
        "it is another lease"
    );
}

#[test]
fn an_operation_begins_only_with_time_to_end_and_delays_the_release() {
    let mut cluster = TestCluster::new(1);
    cluster.join("r0", "1");
    cluster.rounds(2 * MIN_CONSECUTIVE_RENEWALS);
    let (who, asked) = (holder("r0", "1"), cluster.now);
    let until = asked + TIMING.router_term() - MARGIN;
    let leases = &mut cluster.routers.get_mut(&who).expect("there").0;
    assert!(
        leases
            .begin_operation(asked, shard(0), until - asked)
            .is_none(),
        "it would end too late"
    );
    let right = leases
        .begin_operation(asked, shard(0), until - asked - 1)
        .expect("just in time");
    assert_eq!(right.expires_at, until);
    assert!(
        leases.is_still_valid(until - 1, &right) && !leases.is_still_valid(until, &right),
        "asked again before it is sent"
    );
    leases.drain();
    assert!(
        leases.begin_operation(asked, shard(0), 0).is_none(),
        "nothing new"
    );
    let (id, told) = cluster.renew(&who);
    cluster.receive(&who, id, &told);
    assert_eq!(
        cluster.config.lease_table().count_held_by(&who),
        1,
        "not given back while something runs under it"
    );
    let leases = &mut cluster.routers.get_mut(&who).expect("there").0;
    assert!(leases.end_operation(&right), "now it can be");
    let (id, told) = cluster.renew(&who);
    cluster.receive(&who, id, &told);
    assert_eq!(cluster.config.lease_table().count_held_by(&who), 0);
}

#[test]
fn only_the_current_holder_records_notes_and_each_router_is_told_once() {
    let mut cluster = TestCluster::new(2);
    cluster.join("r0", "1");
    cluster.rounds(2 * MIN_CONSECUTIVE_RENEWALS);
    let who = holder("r0", "1");
    let right = cluster
        .routers
        .get_mut(&who)
        .expect("there")
        .0
        .begin_operation(cluster.now, shard(0), 0)
        .expect("held");
    let note = |number, text: &str| Command::RecordNote {
        holder: who.clone(),
        shard: shard(0),
        fencing_token: number,
        text: text.into(),
    };
    assert_eq!(
        cluster.config.apply(note(right.fencing_token, "so far")),
        CommandResponse::NoteRecorded(Ok(()))
    );
    assert_eq!(
        cluster.config.apply(note(right.fencing_token - 1, "old")),
        CommandResponse::NoteRecorded(Err(NoteError::StaleToken))
    );
    let other = Command::RecordNote {
        holder: holder("r0", "2"),
        shard: shard(0),
        fencing_token: right.fencing_token,
        text: "x".into(),
    };
    assert_eq!(
        cluster.config.apply(other),
        CommandResponse::NoteRecorded(Err(NoteError::StaleToken)),
        "an earlier or later life"
    );
    let long = "x".repeat(MAX_NOTE_BYTES + 1);
    assert_eq!(
        cluster.config.apply(note(right.fencing_token, &long)),
        CommandResponse::NoteRecorded(Err(NoteError::TooLong))
    );
    let upto = cluster.config.lease_table().revision();
    assert_eq!(
        cluster.config.apply(note(right.fencing_token, "so far")),
        CommandResponse::NoteRecorded(Ok(()))
    );
    assert_eq!(
        cluster.config.lease_table().revision(),
        upto,
        "the same again is no news"
    );
    let posted = cluster.config.lease_table().updates_since(upto - 1).entries;
    assert_eq!(
        posted
            .iter()
            .map(|p| (p.shard, p.note.as_deref()))
            .collect::<Vec<_>>(),
        [(shard(0), Some("so far"))]
    );
    // The one after it goes on from there.
    cluster.join("r1", "1");
    cluster.rounds(MIN_CONSECUTIVE_RENEWALS);
    cluster.routers.remove(&who);
    cluster.rounds(3 * MIN_CONSECUTIVE_RENEWALS);
    let next = &cluster.routers[&holder("r1", "1")].0;
    assert_eq!(
        next.shard_status(shard(0)).and_then(|s| s.note.as_deref()),
        Some("so far")
    );
    assert!(next.is_holding(cluster.now, shard(0)));
}

#[test]
fn a_shard_that_one_router_releases_is_assigned_to_another() {
    let mut cluster = TestCluster::new(3);
    for n in 0..3 {
        cluster.join(&format!("r{n}"), "1");
    }
    cluster.rounds(4 * MIN_CONSECUTIVE_RENEWALS);
    let first = cluster.held()[&shard(0)].clone();
    cluster
        .routers
        .get_mut(&first)
        .expect("there")
        .0
        .request_release(shard(0));
    cluster.rounds(3);
    let second = cluster.held()[&shard(0)].clone();
    assert_ne!(
        second, first,
        "each has as many as the others, and another is asked first"
    );
    // With nobody else there, it is tried by the same again.
    cluster.routers.retain(|who, _| *who == second);
    cluster.rounds(3 * MIN_CONSECUTIVE_RENEWALS);
    cluster
        .routers
        .get_mut(&second)
        .expect("there")
        .0
        .request_release(shard(0));
    cluster.rounds(3);
    assert_eq!(cluster.held()[&shard(0)], second);
    assert!(cluster.routers[&second].0.is_holding(cluster.now, shard(0)));
}
