//! Leases in simulated time: who gets which, who keeps what when routers come, go, and stop hearing, and that nobody acts
//! under what is another's.

mod common;

use std::collections::BTreeMap;

use common::document;
use hoptiller_coordination::ConfigLeaseGrant;
use hoptiller_coordination::{
    Command, CommandResponse, ConfigState, ExpiryTracker, Holder, LeaseOffer, LeaseTiming, Micros,
    Proposal, Shard, Task, TaskLeaseClient,
};
use hoptiller_coordination::{MAX_NOTE_BYTES, MIN_CONSECUTIVE_RENEWALS, NoteError};

const MS: Micros = 1000;
const BOUNDS: LeaseTiming = LeaseTiming {
    term: 2000 * MS,
    drift: 1000,
};
const MARGIN: Micros = 50 * MS;
/// Between two questions of a router.
const EVERY: Micros = 400 * MS;

struct World {
    now: Micros,
    fleet: ConfigState,
    terms: ExpiryTracker,
    routers: BTreeMap<Holder, (TaskLeaseClient, u64)>,
    /// Routers whose answers are lost.
    deaf: Vec<String>,
}

fn holder(router: &str, life: &str) -> Holder {
    Holder {
        router: router.into(),
        incarnation: life.into(),
    }
}

fn part(shard: u32) -> Shard {
    Shard {
        task: Task::HealthCheck,
        index: shard,
    }
}

impl World {
    fn new(parts: u32) -> World {
        let mut fleet = ConfigState::default();
        let mut document = document();
        document.tasks = [(Task::HealthCheck, parts)].into();
        let (change, by, why) = ("first".to_owned(), "ann".to_owned(), "a test".to_owned());
        fleet.apply(Command::Propose(Box::new(Proposal {
            change_name: change,
            base: None,
            author: by,
            proposed_at_ms: 1,
            reason: why,
            document,
        })));
        let (routers, deaf) = Default::default();
        World {
            now: 0,
            fleet,
            terms: ExpiryTracker::default(),
            routers,
            deaf,
        }
    }

    fn join(&mut self, router: &str, life: &str) {
        self.routers.insert(
            holder(router, life),
            (TaskLeaseClient::new(&BOUNDS, MARGIN), 0),
        );
    }

    /// One asks; its answer, which is not yet heard.
    fn ask(&mut self, who: &Holder) -> (u64, ConfigLeaseGrant) {
        let (tenant, next) = self.routers.get_mut(who).expect("there");
        let id = *next;
        *next += 1;
        let offer = Some(tenant.start_renewal(id, self.now));
        match self.fleet.apply(Command::RenewLease {
            holder: who.clone(),
            enforced: 1,
            in_force: 1,
            offer,
        }) {
            CommandResponse::LeaseGranted(granted) => (id, granted),
            other => panic!("{other:?}"),
        }
    }

    fn hear(&mut self, who: &Holder, id: u64, g: &ConfigLeaseGrant) {
        let (tenant, _) = self.routers.get_mut(who).expect("there");
        tenant.accept_grant(
            id,
            self.now,
            g.serial,
            g.leases.as_deref(),
            g.lease_table.as_ref(),
        );
    }

    /// Time passes: each asks once, keepers judge.
    fn round(&mut self) {
        self.now += EVERY;
        for who in self.routers.keys().cloned().collect::<Vec<_>>() {
            let (id, granted) = self.ask(&who);
            if !self.deaf.contains(&who.router) {
                self.hear(&who, id, &granted);
            }
        }
        self.terms.observe(self.now, &self.fleet);
        self.fleet.apply(Command::ExpireTaskLeases(
            self.terms.expired_task_leases(self.now, &BOUNDS),
        ));
        let lapsed = self.terms.expired_config_leases(self.now, &BOUNDS);
        self.fleet
            .apply(Command::CompleteRollout { upto: 1, lapsed });
        self.terms.observe(self.now, &self.fleet);
        let acting = self.acting();
        assert!(
            acting.values().all(|all| all.len() <= 1),
            "two may act: {acting:?}"
        );
    }

    fn rounds(&mut self, n: u32) {
        (0..n).for_each(|_| self.round());
    }

    /// By part: who may act now.
    fn acting(&self) -> BTreeMap<Shard, Vec<Holder>> {
        let mut all: BTreeMap<Shard, Vec<Holder>> = BTreeMap::new();
        for posted in self.fleet.lease_table().updates_since(0).entries {
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

    /// By router: which parts it holds, as keepers know.
    fn held(&self) -> BTreeMap<Shard, Holder> {
        let posted = self.fleet.lease_table().updates_since(0).entries;
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
fn leases_spread_evenly_and_a_join_or_a_leave_moves_only_what_it_must() {
    let mut w = World::new(100);
    for n in 0..6 {
        w.join(&format!("r{n}"), "1");
    }
    w.rounds(3 * MIN_CONSECUTIVE_RENEWALS);
    assert!(
        w.counts().iter().all(|n| (16..=17).contains(n)),
        "{:?}",
        w.counts()
    );
    let before = w.held();
    w.join("r6", "1");
    w.rounds(3 * MIN_CONSECUTIVE_RENEWALS);
    assert!(
        w.counts().iter().all(|n| (14..=15).contains(n)),
        "{:?}",
        w.counts()
    );
    let moved: Vec<(Shard, Holder)> = w
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
    w.routers.get_mut(&leaving).expect("there").0.drain();
    w.rounds(3);
    assert_eq!(w.routers[&leaving].0.outstanding_leases(), 0);
    assert_eq!(
        (
            w.held().len(),
            w.fleet.lease_table().count_held_by(&leaving)
        ),
        (100, 0)
    );
    assert!(
        w.acting().values().filter(|all| all.len() == 1).count() >= 86,
        "the others act on"
    );
}

#[test]
fn one_that_comes_and_goes_gets_none_and_moves_none() {
    let mut w = World::new(60);
    for n in 0..3 {
        w.join(&format!("r{n}"), "1");
    }
    w.rounds(3 * MIN_CONSECUTIVE_RENEWALS);
    let before = w.held();
    for life in 0..10 {
        let flapping = holder("r9", &life.to_string());
        w.join(&flapping.router, &flapping.incarnation);
        w.rounds(MIN_CONSECUTIVE_RENEWALS - 1);
        w.routers.remove(&flapping);
    }
    assert_eq!(w.held(), before);
}

#[test]
fn a_thousand_leases_of_one_that_dies_are_others_after_a_term_and_at_once() {
    let mut w = World::new(1000);
    w.join("r0", "1");
    w.rounds(2 * MIN_CONSECUTIVE_RENEWALS);
    w.join("r1", "1");
    let dies = holder("r0", "1");
    assert_eq!(w.fleet.lease_table().count_held_by(&dies), 1000);
    // Dies before the other has asked often enough to be given any.
    w.rounds(1);
    w.routers.remove(&dies);
    let (died, fence) = (w.now, w.fleet.lease_table().last_fencing_token());
    while w.fleet.lease_table().count_held_by(&dies) > 0 {
        w.round();
        assert!(w.now < died + 2 * BOUNDS.term, "it is never over");
    }
    assert!(w.now > died + BOUNDS.term, "not before its term");
    w.rounds(2);
    assert_eq!(
        w.fleet.lease_table().count_held_by(&holder("r1", "1")),
        1000
    );
    assert_eq!(
        w.fleet.lease_table().last_fencing_token(),
        fence + 1000,
        "each under a number of its own"
    );
}

#[test]
fn one_that_hears_no_answers_loses_its_leases_though_it_is_heard() {
    let mut w = World::new(8);
    w.join("r0", "1");
    w.join("r1", "1");
    w.rounds(4 * MIN_CONSECUTIVE_RENEWALS);
    assert_eq!(w.counts(), [4, 4]);
    w.deaf.push("r0".into());
    w.rounds(7);
    assert_eq!(
        w.counts(),
        [0, 8],
        "a term and a little after the last answer that it heard"
    );
    w.deaf.clear();
    w.rounds(4 * MIN_CONSECUTIVE_RENEWALS);
    assert_eq!(w.counts(), [4, 4], "it is given some again");
}

#[test]
fn two_processes_under_one_name_are_two_holders() {
    let mut w = World::new(4);
    w.join("r0", "1");
    w.join("r0", "2");
    w.rounds(4 * MIN_CONSECUTIVE_RENEWALS);
    assert_eq!(w.counts(), [2, 2]);
    assert_eq!(w.acting().values().filter(|all| all.len() == 1).count(), 4);
}

#[test]
fn an_answer_that_was_overtaken_brings_back_nothing_that_was_given_back() {
    let mut w = World::new(1);
    w.join("r0", "1");
    w.rounds(2 * MIN_CONSECUTIVE_RENEWALS);
    let who = holder("r0", "1");
    assert!(w.routers[&who].0.is_holding(w.now, part(0)));
    // The answer names the lease, and is late.
    let (late, named) = w.ask(&who);
    assert_eq!(named.leases.as_ref().map(Vec::len), Some(1));
    w.routers
        .get_mut(&who)
        .expect("there")
        .0
        .request_release(part(0));
    let (id, told) = w.ask(&who);
    w.hear(&who, late, &named);
    assert!(
        !w.routers[&who].0.is_holding(w.now, part(0)),
        "it has given it back with its last question"
    );
    w.hear(&who, id, &told);
    assert!(!w.routers[&who].0.is_holding(w.now, part(0)));
    // The answer before was not heard when it asked: what it gave back is confirmed with the next ones.
    w.rounds(2 * MIN_CONSECUTIVE_RENEWALS);
    assert!(
        w.routers[&who].0.is_holding(w.now, part(0)),
        "nobody else takes it: it has it again, under another number"
    );
    // An older answer that knows nothing of it yet takes nothing away.
    let (first, mut old) = w.ask(&who);
    let (second, new) = w.ask(&who);
    old.leases = Some(Vec::new());
    w.hear(&who, second, &new);
    w.hear(&who, first, &old);
    assert!(w.routers[&who].0.is_holding(w.now, part(0)));
}

#[test]
fn what_is_judged_or_given_back_too_late_frees_nothing() {
    let mut w = World::new(1);
    w.join("r0", "1");
    w.rounds(2 * MIN_CONSECUTIVE_RENEWALS);
    let who = holder("r0", "1");
    // A keeper judges, and the holder's question comes before its judgement in the log.
    w.terms.observe(w.now, &w.fleet);
    let judged = w
        .terms
        .expired_task_leases(w.now + 2 * BOUNDS.term, &BOUNDS);
    assert_eq!(judged.len(), 1);
    let (id, told) = w.ask(&who);
    w.hear(&who, id, &told);
    w.fleet.apply(Command::ExpireTaskLeases(judged));
    assert_eq!(
        w.fleet.lease_table().count_held_by(&who),
        1,
        "it was prolonged meanwhile"
    );
    // A copy of a question from when it gave an earlier lease of that part back.
    let number = w.fleet.lease_table().updates_since(0).entries[0]
        .holder
        .as_ref()
        .expect("held")
        .1;
    let offer = Some(LeaseOffer {
        acknowledged_serial: 1,
        accepts_leases: true,
        released: vec![(part(0), number - 1)],
        table_revision: 0,
    });
    w.fleet.apply(Command::RenewLease {
        holder: who.clone(),
        enforced: 1,
        in_force: 1,
        offer,
    });
    assert_eq!(
        w.fleet.lease_table().updates_since(0).entries[0].holder,
        Some((who, number)),
        "it is another lease"
    );
}

#[test]
fn an_act_begins_only_with_time_to_end_and_holds_back_the_giving_back() {
    let mut w = World::new(1);
    w.join("r0", "1");
    w.rounds(2 * MIN_CONSECUTIVE_RENEWALS);
    let (who, asked) = (holder("r0", "1"), w.now);
    let until = asked + BOUNDS.router_term() - MARGIN;
    let tenant = &mut w.routers.get_mut(&who).expect("there").0;
    assert!(
        tenant
            .begin_operation(asked, part(0), until - asked)
            .is_none(),
        "it would end too late"
    );
    let right = tenant
        .begin_operation(asked, part(0), until - asked - 1)
        .expect("just in time");
    assert_eq!(right.expires_at, until);
    assert!(
        tenant.is_still_valid(until - 1, &right) && !tenant.is_still_valid(until, &right),
        "asked again before it is sent"
    );
    tenant.drain();
    assert!(
        tenant.begin_operation(asked, part(0), 0).is_none(),
        "nothing new"
    );
    let (id, told) = w.ask(&who);
    w.hear(&who, id, &told);
    assert_eq!(
        w.fleet.lease_table().count_held_by(&who),
        1,
        "not given back while something runs under it"
    );
    let tenant = &mut w.routers.get_mut(&who).expect("there").0;
    assert!(tenant.end_operation(&right), "now it can be");
    let (id, told) = w.ask(&who);
    w.hear(&who, id, &told);
    assert_eq!(w.fleet.lease_table().count_held_by(&who), 0);
}

#[test]
fn only_the_holder_of_now_notes_and_all_are_told_once() {
    let mut w = World::new(2);
    w.join("r0", "1");
    w.rounds(2 * MIN_CONSECUTIVE_RENEWALS);
    let who = holder("r0", "1");
    let right = w
        .routers
        .get_mut(&who)
        .expect("there")
        .0
        .begin_operation(w.now, part(0), 0)
        .expect("held");
    let note = |number, text: &str| Command::RecordNote {
        holder: who.clone(),
        shard: part(0),
        fencing_token: number,
        text: text.into(),
    };
    assert_eq!(
        w.fleet.apply(note(right.fencing_token, "so far")),
        CommandResponse::NoteRecorded(Ok(()))
    );
    assert_eq!(
        w.fleet.apply(note(right.fencing_token - 1, "old")),
        CommandResponse::NoteRecorded(Err(NoteError::StaleToken))
    );
    let other = Command::RecordNote {
        holder: holder("r0", "2"),
        shard: part(0),
        fencing_token: right.fencing_token,
        text: "x".into(),
    };
    assert_eq!(
        w.fleet.apply(other),
        CommandResponse::NoteRecorded(Err(NoteError::StaleToken)),
        "an earlier or later life"
    );
    let long = "x".repeat(MAX_NOTE_BYTES + 1);
    assert_eq!(
        w.fleet.apply(note(right.fencing_token, &long)),
        CommandResponse::NoteRecorded(Err(NoteError::TooLong))
    );
    let upto = w.fleet.lease_table().revision();
    assert_eq!(
        w.fleet.apply(note(right.fencing_token, "so far")),
        CommandResponse::NoteRecorded(Ok(()))
    );
    assert_eq!(
        w.fleet.lease_table().revision(),
        upto,
        "the same again is no news"
    );
    let posted = w.fleet.lease_table().updates_since(upto - 1).entries;
    assert_eq!(
        posted
            .iter()
            .map(|p| (p.shard, p.note.as_deref()))
            .collect::<Vec<_>>(),
        [(part(0), Some("so far"))]
    );
    // The one after it goes on from there.
    w.join("r1", "1");
    w.rounds(MIN_CONSECUTIVE_RENEWALS);
    w.routers.remove(&who);
    w.rounds(3 * MIN_CONSECUTIVE_RENEWALS);
    let next = &w.routers[&holder("r1", "1")].0;
    assert_eq!(next.shard_status(part(0)).and_then(|p| p.1), Some("so far"));
    assert!(next.is_holding(w.now, part(0)));
}

#[test]
fn what_one_can_not_do_another_is_to_try() {
    let mut w = World::new(3);
    for n in 0..3 {
        w.join(&format!("r{n}"), "1");
    }
    w.rounds(4 * MIN_CONSECUTIVE_RENEWALS);
    let first = w.held()[&part(0)].clone();
    w.routers
        .get_mut(&first)
        .expect("there")
        .0
        .request_release(part(0));
    w.rounds(3);
    let second = w.held()[&part(0)].clone();
    assert_ne!(
        second, first,
        "each has as many as the others, and another is asked first"
    );
    // With nobody else there, it is tried by the same again.
    w.routers.retain(|who, _| *who == second);
    w.rounds(3 * MIN_CONSECUTIVE_RENEWALS);
    w.routers
        .get_mut(&second)
        .expect("there")
        .0
        .request_release(part(0));
    w.rounds(3);
    assert_eq!(w.held()[&part(0)], second);
    assert!(w.routers[&second].0.is_holding(w.now, part(0)));
}
