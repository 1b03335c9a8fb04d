//! Leases in simulated time: who gets which, who keeps what when routers come, go, and stop hearing, and that nobody acts
//! under what is another's.

mod common;

use std::collections::BTreeMap;

use common::document;
use hoptiller_coordination::fleet::Granted;
use hoptiller_coordination::lease::{MOST_NOTE, NotNoted, SEASONED};
use hoptiller_coordination::{
    Act, Answer, Bounds, Fleet, Holder, Micros, Offer, Part, Put, Task, Tenant, Terms,
};

const MS: Micros = 1000;
const BOUNDS: Bounds = Bounds {
    term: 2000 * MS,
    drift: 1000,
};
const MARGIN: Micros = 50 * MS;
/// Between two questions of a router.
const EVERY: Micros = 400 * MS;

struct World {
    now: Micros,
    fleet: Fleet,
    terms: Terms,
    routers: BTreeMap<Holder, (Tenant, u64)>,
    /// Routers whose answers are lost.
    deaf: Vec<String>,
}

fn holder(router: &str, life: &str) -> Holder {
    Holder {
        router: router.into(),
        life: life.into(),
    }
}

fn part(shard: u32) -> Part {
    Part {
        task: Task::Probe,
        shard,
    }
}

impl World {
    fn new(parts: u32) -> World {
        let mut fleet = Fleet::default();
        let mut document = document();
        document.tasks = [(Task::Probe, parts)].into();
        let (change, by, why) = ("first".to_owned(), "ann".to_owned(), "a test".to_owned());
        fleet.apply(Act::Put(Box::new(Put {
            change,
            base: None,
            by,
            at: 1,
            why,
            document,
        })));
        let (routers, deaf) = Default::default();
        World {
            now: 0,
            fleet,
            terms: Terms::default(),
            routers,
            deaf,
        }
    }

    fn join(&mut self, router: &str, life: &str) {
        self.routers
            .insert(holder(router, life), (Tenant::new(&BOUNDS, MARGIN), 0));
    }

    /// One asks; its answer, which is not yet heard.
    fn ask(&mut self, who: &Holder) -> (u64, Granted) {
        let (tenant, next) = self.routers.get_mut(who).expect("there");
        let id = *next;
        *next += 1;
        let offer = Some(tenant.offer(id, self.now));
        match self.fleet.apply(Act::Ask {
            holder: who.clone(),
            heeds: 1,
            in_force: 1,
            offer,
        }) {
            Answer::Granted(granted) => (id, granted),
            other => panic!("{other:?}"),
        }
    }

    fn hear(&mut self, who: &Holder, id: u64, g: &Granted) {
        let (tenant, _) = self.routers.get_mut(who).expect("there");
        tenant.granted(
            id,
            self.now,
            g.serial,
            g.leases.as_deref(),
            g.board.as_ref(),
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
        self.terms.learn(self.now, &self.fleet);
        self.fleet
            .apply(Act::Free(self.terms.lapsed_leases(self.now, &BOUNDS)));
        let lapsed = self.terms.lapsed(self.now, &BOUNDS);
        self.fleet.apply(Act::Settle { upto: 1, lapsed });
        self.terms.learn(self.now, &self.fleet);
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
    fn acting(&self) -> BTreeMap<Part, Vec<Holder>> {
        let mut all: BTreeMap<Part, Vec<Holder>> = BTreeMap::new();
        for posted in self.fleet.leases().board(0).posted {
            let may = |(_, (t, _)): &(&Holder, &(Tenant, u64))| t.holds(self.now, posted.part);
            all.insert(
                posted.part,
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
    fn held(&self) -> BTreeMap<Part, Holder> {
        let posted = self.fleet.leases().board(0).posted;
        posted
            .into_iter()
            .filter_map(|p| Some((p.part, p.holder?.0)))
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
    w.rounds(3 * SEASONED);
    assert!(
        w.counts().iter().all(|n| (16..=17).contains(n)),
        "{:?}",
        w.counts()
    );
    let before = w.held();
    w.join("r6", "1");
    w.rounds(3 * SEASONED);
    assert!(
        w.counts().iter().all(|n| (14..=15).contains(n)),
        "{:?}",
        w.counts()
    );
    let moved: Vec<(Part, Holder)> = w
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
    w.routers.get_mut(&leaving).expect("there").0.leave();
    w.rounds(3);
    assert_eq!(w.routers[&leaving].0.left(), 0);
    assert_eq!((w.held().len(), w.fleet.leases().count(&leaving)), (100, 0));
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
    w.rounds(3 * SEASONED);
    let before = w.held();
    for life in 0..10 {
        let flapping = holder("r9", &life.to_string());
        w.join(&flapping.router, &flapping.life);
        w.rounds(SEASONED - 1);
        w.routers.remove(&flapping);
    }
    assert_eq!(w.held(), before);
}

#[test]
fn a_thousand_leases_of_one_that_dies_are_others_after_a_term_and_at_once() {
    let mut w = World::new(1000);
    w.join("r0", "1");
    w.rounds(2 * SEASONED);
    w.join("r1", "1");
    let dies = holder("r0", "1");
    assert_eq!(w.fleet.leases().count(&dies), 1000);
    // Dies before the other has asked often enough to be given any.
    w.rounds(1);
    w.routers.remove(&dies);
    let (died, fence) = (w.now, w.fleet.leases().fence());
    while w.fleet.leases().count(&dies) > 0 {
        w.round();
        assert!(w.now < died + 2 * BOUNDS.term, "it is never over");
    }
    assert!(w.now > died + BOUNDS.term, "not before its term");
    w.rounds(2);
    assert_eq!(w.fleet.leases().count(&holder("r1", "1")), 1000);
    assert_eq!(
        w.fleet.leases().fence(),
        fence + 1000,
        "each under a number of its own"
    );
}

#[test]
fn one_that_hears_no_answers_loses_its_leases_though_it_is_heard() {
    let mut w = World::new(8);
    w.join("r0", "1");
    w.join("r1", "1");
    w.rounds(4 * SEASONED);
    assert_eq!(w.counts(), [4, 4]);
    w.deaf.push("r0".into());
    w.rounds(7);
    assert_eq!(
        w.counts(),
        [0, 8],
        "a term and a little after the last answer that it heard"
    );
    w.deaf.clear();
    w.rounds(4 * SEASONED);
    assert_eq!(w.counts(), [4, 4], "it is given some again");
}

#[test]
fn two_processes_under_one_name_are_two_holders() {
    let mut w = World::new(4);
    w.join("r0", "1");
    w.join("r0", "2");
    w.rounds(4 * SEASONED);
    assert_eq!(w.counts(), [2, 2]);
    assert_eq!(w.acting().values().filter(|all| all.len() == 1).count(), 4);
}

#[test]
fn an_answer_that_was_overtaken_brings_back_nothing_that_was_given_back() {
    let mut w = World::new(1);
    w.join("r0", "1");
    w.rounds(2 * SEASONED);
    let who = holder("r0", "1");
    assert!(w.routers[&who].0.holds(w.now, part(0)));
    // The answer names the lease, and is late.
    let (late, named) = w.ask(&who);
    assert_eq!(named.leases.as_ref().map(Vec::len), Some(1));
    w.routers.get_mut(&who).expect("there").0.give_up(part(0));
    let (id, told) = w.ask(&who);
    w.hear(&who, late, &named);
    assert!(
        !w.routers[&who].0.holds(w.now, part(0)),
        "it has given it back with its last question"
    );
    w.hear(&who, id, &told);
    assert!(!w.routers[&who].0.holds(w.now, part(0)));
    // The answer before was not heard when it asked: what it gave back is confirmed with the next ones.
    w.rounds(2 * SEASONED);
    assert!(
        w.routers[&who].0.holds(w.now, part(0)),
        "nobody else takes it: it has it again, under another number"
    );
    // An older answer that knows nothing of it yet takes nothing away.
    let (first, mut old) = w.ask(&who);
    let (second, new) = w.ask(&who);
    old.leases = Some(Vec::new());
    w.hear(&who, second, &new);
    w.hear(&who, first, &old);
    assert!(w.routers[&who].0.holds(w.now, part(0)));
}

#[test]
fn what_is_judged_or_given_back_too_late_frees_nothing() {
    let mut w = World::new(1);
    w.join("r0", "1");
    w.rounds(2 * SEASONED);
    let who = holder("r0", "1");
    // A keeper judges, and the holder's question comes before its judgement in the log.
    w.terms.learn(w.now, &w.fleet);
    let judged = w.terms.lapsed_leases(w.now + 2 * BOUNDS.term, &BOUNDS);
    assert_eq!(judged.len(), 1);
    let (id, told) = w.ask(&who);
    w.hear(&who, id, &told);
    w.fleet.apply(Act::Free(judged));
    assert_eq!(
        w.fleet.leases().count(&who),
        1,
        "it was prolonged meanwhile"
    );
    // A copy of a question from when it gave an earlier lease of that part back.
    let number = w.fleet.leases().board(0).posted[0]
        .holder
        .as_ref()
        .expect("held")
        .1;
    let offer = Some(Offer {
        heard: 1,
        willing: true,
        released: vec![(part(0), number - 1)],
        board: 0,
    });
    w.fleet.apply(Act::Ask {
        holder: who.clone(),
        heeds: 1,
        in_force: 1,
        offer,
    });
    assert_eq!(
        w.fleet.leases().board(0).posted[0].holder,
        Some((who, number)),
        "it is another lease"
    );
}

#[test]
fn an_act_begins_only_with_time_to_end_and_holds_back_the_giving_back() {
    let mut w = World::new(1);
    w.join("r0", "1");
    w.rounds(2 * SEASONED);
    let (who, asked) = (holder("r0", "1"), w.now);
    let until = asked + BOUNDS.router_term() - MARGIN;
    let tenant = &mut w.routers.get_mut(&who).expect("there").0;
    assert!(
        tenant.begin(asked, part(0), until - asked).is_none(),
        "it would end too late"
    );
    let right = tenant
        .begin(asked, part(0), until - asked - 1)
        .expect("just in time");
    assert_eq!(right.until, until);
    assert!(
        tenant.still(until - 1, &right) && !tenant.still(until, &right),
        "asked again before it is sent"
    );
    tenant.leave();
    assert!(tenant.begin(asked, part(0), 0).is_none(), "nothing new");
    let (id, told) = w.ask(&who);
    w.hear(&who, id, &told);
    assert_eq!(
        w.fleet.leases().count(&who),
        1,
        "not given back while something runs under it"
    );
    let tenant = &mut w.routers.get_mut(&who).expect("there").0;
    assert!(tenant.done(&right), "now it can be");
    let (id, told) = w.ask(&who);
    w.hear(&who, id, &told);
    assert_eq!(w.fleet.leases().count(&who), 0);
}

#[test]
fn only_the_holder_of_now_notes_and_all_are_told_once() {
    let mut w = World::new(2);
    w.join("r0", "1");
    w.rounds(2 * SEASONED);
    let who = holder("r0", "1");
    let right = w
        .routers
        .get_mut(&who)
        .expect("there")
        .0
        .begin(w.now, part(0), 0)
        .expect("held");
    let note = |number, text: &str| Act::Note {
        holder: who.clone(),
        part: part(0),
        number,
        text: text.into(),
    };
    assert_eq!(
        w.fleet.apply(note(right.number, "so far")),
        Answer::Noted(Ok(()))
    );
    assert_eq!(
        w.fleet.apply(note(right.number - 1, "old")),
        Answer::Noted(Err(NotNoted::Outdated))
    );
    let other = Act::Note {
        holder: holder("r0", "2"),
        part: part(0),
        number: right.number,
        text: "x".into(),
    };
    assert_eq!(
        w.fleet.apply(other),
        Answer::Noted(Err(NotNoted::Outdated)),
        "an earlier or later life"
    );
    let long = "x".repeat(MOST_NOTE + 1);
    assert_eq!(
        w.fleet.apply(note(right.number, &long)),
        Answer::Noted(Err(NotNoted::TooLong))
    );
    let upto = w.fleet.leases().upto();
    assert_eq!(
        w.fleet.apply(note(right.number, "so far")),
        Answer::Noted(Ok(()))
    );
    assert_eq!(w.fleet.leases().upto(), upto, "the same again is no news");
    let posted = w.fleet.leases().board(upto - 1).posted;
    assert_eq!(
        posted
            .iter()
            .map(|p| (p.part, p.note.as_deref()))
            .collect::<Vec<_>>(),
        [(part(0), Some("so far"))]
    );
    // The one after it goes on from there.
    w.join("r1", "1");
    w.rounds(SEASONED);
    w.routers.remove(&who);
    w.rounds(3 * SEASONED);
    let next = &w.routers[&holder("r1", "1")].0;
    assert_eq!(next.posted(part(0)).and_then(|p| p.1), Some("so far"));
    assert!(next.holds(w.now, part(0)));
}

#[test]
fn what_one_can_not_do_another_is_to_try() {
    let mut w = World::new(3);
    for n in 0..3 {
        w.join(&format!("r{n}"), "1");
    }
    w.rounds(4 * SEASONED);
    let first = w.held()[&part(0)].clone();
    w.routers.get_mut(&first).expect("there").0.give_up(part(0));
    w.rounds(3);
    let second = w.held()[&part(0)].clone();
    assert_ne!(
        second, first,
        "each has as many as the others, and another is asked first"
    );
    // With nobody else there, it is tried by the same again.
    w.routers.retain(|who, _| *who == second);
    w.rounds(3 * SEASONED);
    w.routers
        .get_mut(&second)
        .expect("there")
        .0
        .give_up(part(0));
    w.rounds(3);
    assert_eq!(w.held()[&part(0)], second);
    assert!(w.routers[&second].0.holds(w.now, part(0)));
}
