//! Changes from proposed to in force, with routers that are cut off, answers that are late or lost, and clocks that run
//! at different rates: no two routers ever act on versions of which none permits both.

mod common;

use common::document;
use hoptiller_coordination::fleet::MOST_PENDING;
use hoptiller_coordination::follower::{Rejected, Verdict};
use hoptiller_coordination::{
    Act, Answer, Bounds, Document, Fleet, Follower, Granted, Holder, Micros, Put, Refused, Terms,
};

const S: Micros = 1_000_000;
const BOUNDS: Bounds = Bounds {
    term: 10 * S,
    drift: 2000,
};

fn put(
    fleet: &mut Fleet,
    change: &str,
    base: Option<u64>,
    document: &Document,
) -> Result<u64, Refused> {
    let put = Put {
        change: change.into(),
        base,
        by: "ann".into(),
        at: 1,
        why: "a test".into(),
        document: document.clone(),
    };
    match fleet.apply(Act::Put(Box::new(put))) {
        Answer::Put(outcome) => outcome,
        other => panic!("{other:?}"),
    }
}

fn with_attempts(n: u32) -> Document {
    let mut d = document();
    d.engines.max_attempts = n;
    d
}

fn follower(name: &str) -> Follower {
    Follower::new(
        Holder {
            router: name.into(),
            life: "1".into(),
        },
        BOUNDS,
        Vec::new(),
    )
}

/// Asks and is answered at once.
fn poll(f: &mut Follower, fleet: &mut Fleet, now: Micros) -> Result<bool, Rejected> {
    let (id, act) = f.ask(now);
    match fleet.apply(act) {
        Answer::Granted(granted) => f.granted(id, granted),
        other => panic!("{other:?}"),
    }
}

/// An answer that tells of one version.
fn granted(n: u64) -> Granted {
    let (versions, leases, board) = Default::default();
    Granted {
        in_force: n,
        heed: n,
        versions,
        serial: 1,
        leases,
        board,
    }
}

fn settle(fleet: &mut Fleet, lapsed: Vec<(Holder, u64)>) -> u64 {
    match fleet.apply(Act::Settle {
        upto: fleet.last(),
        lapsed,
    }) {
        Answer::Settled(n) => n,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_change_waits_for_every_permit_and_not_for_one_that_has_run_out() {
    let mut fleet = Fleet::default();
    assert_eq!(put(&mut fleet, "first", None, &with_attempts(3)), Ok(1));
    assert_eq!(fleet.in_force(), 1, "the first contradicts nobody");
    let (mut a, mut b) = (follower("a"), follower("b"));
    let mut terms = Terms::default();
    for f in [&mut a, &mut b] {
        poll(f, &mut fleet, 0).expect("granted");
    }
    terms.learn(1, &fleet);
    assert_eq!(put(&mut fleet, "second", Some(1), &with_attempts(2)), Ok(2));
    assert_eq!(settle(&mut fleet, terms.lapsed(S, &BOUNDS)), 1);
    poll(&mut a, &mut fleet, 2 * S).expect("granted");
    assert_eq!(
        a.verdict(2 * S, "lookup"),
        Verdict::Act {
            in_force: 1,
            heeds: 2
        }
    );
    assert_eq!(
        a.rules().map(|r| r.engines.max_attempts),
        Some(2),
        "the tighter of both at once"
    );
    poll(&mut a, &mut fleet, 3 * S).expect("granted");
    terms.learn(3 * S, &fleet);
    assert_eq!(
        settle(&mut fleet, terms.lapsed(3 * S, &BOUNDS)),
        1,
        "b has not heard of it"
    );
    assert_eq!(
        fleet
            .waits_for()
            .map(|(h, _)| h.router.as_str())
            .collect::<Vec<_>>(),
        ["b"]
    );
    let over = 1 + BOUNDS.keeper_term() + 1;
    assert!(b.in_doubt(BOUNDS.router_term()) && !b.in_doubt(BOUNDS.router_term() - 1));
    poll(&mut a, &mut fleet, over - S).expect("granted");
    terms.learn(over - S, &fleet);
    assert_eq!(
        settle(&mut fleet, terms.lapsed(over, &BOUNDS)),
        2,
        "b's permit has run out"
    );
    assert_eq!(b.verdict(over, "load"), Verdict::Refuse);
    assert_eq!(
        b.verdict(over, "lookup"),
        Verdict::ActInDoubt {
            in_force: 1,
            heeds: 1
        }
    );
    poll(&mut b, &mut fleet, over).expect("granted");
    assert_eq!(
        b.verdict(over, "load"),
        Verdict::Act {
            in_force: 2,
            heeds: 2
        }
    );
}

#[test]
fn a_permit_prolonged_after_it_was_judged_stands() {
    let mut fleet = Fleet::default();
    put(&mut fleet, "first", None, &with_attempts(3)).expect("taken");
    let mut a = follower("a");
    poll(&mut a, &mut fleet, 0).expect("granted");
    let mut terms = Terms::default();
    terms.learn(0, &fleet);
    put(&mut fleet, "second", None, &with_attempts(2)).expect("taken");
    let judged = terms.lapsed(20 * S, &BOUNDS);
    assert_eq!(judged.len(), 1);
    // The router's question came first in the log; its answer is lost.
    let (_, act) = a.ask(20 * S);
    fleet.apply(act);
    assert_eq!(settle(&mut fleet, judged), 1);
}

#[test]
fn what_contradicts_nothing_waits_for_nobody() {
    let mut fleet = Fleet::default();
    put(&mut fleet, "first", None, &document()).expect("taken");
    let mut a = follower("a");
    poll(&mut a, &mut fleet, 0).expect("granted");
    let mut worth = document();
    worth.classes.get_mut("report").expect("there").worth = 9.0;
    put(&mut fleet, "worth", None, &worth).expect("taken");
    assert_eq!(fleet.in_force(), 2);
    // Behind a change that waits, it waits too: versions come in order.
    worth.engines.max_attempts = 1;
    put(&mut fleet, "attempts", None, &worth).expect("taken");
    worth.classes.get_mut("report").expect("there").worth = 8.0;
    put(&mut fleet, "worth again", None, &worth).expect("taken");
    assert_eq!((fleet.in_force(), fleet.last()), (2, 4));
    poll(&mut a, &mut fleet, S).expect("granted");
    poll(&mut a, &mut fleet, S).expect("granted");
    assert_eq!(settle(&mut fleet, Vec::new()), 4);
}

#[test]
fn a_drain_is_heeded_at_once_though_a_change_before_it_waits() {
    use hoptiller_coordination::lists::{Member, Roster, Standing};
    let mut d = document();
    let member = |standing| Member {
        started: 5,
        standing,
    };
    d.list = Some(Roster([("e".to_owned(), member(Standing::Up))].into()));
    let mut fleet = Fleet::default();
    put(&mut fleet, "first", None, &d).expect("taken");
    let (mut a, mut cut_off) = (follower("a"), follower("b"));
    for f in [&mut a, &mut cut_off] {
        poll(f, &mut fleet, 0).expect("granted");
    }
    d.engines.max_attempts = 5;
    put(&mut fleet, "more attempts", None, &d).expect("taken");
    d.list = Some(Roster(
        [("e".to_owned(), member(Standing::Draining))].into(),
    ));
    put(&mut fleet, "drain", None, &d).expect("taken");
    poll(&mut a, &mut fleet, S).expect("granted");
    assert_eq!(settle(&mut fleet, Vec::new()), 1);
    let rules = a.rules().expect("some");
    assert!(!rules.list.as_ref().expect("a list").takes_work("e", 5));
    assert_eq!(
        rules.engines.max_attempts, 3,
        "the looser change still waits"
    );
    // Rolled back during the rollout: it is one more version, and nothing before it is skipped over.
    put(&mut fleet, "rollback", None, &document()).expect("taken");
    poll(&mut a, &mut fleet, S).expect("granted");
    assert_eq!(
        a.verdict(S, "lookup"),
        Verdict::Act {
            in_force: 1,
            heeds: 4
        }
    );
}

#[test]
fn a_change_put_twice_is_one_and_a_flood_is_bounded() {
    let mut fleet = Fleet::default();
    put(&mut fleet, "first", None, &with_attempts(3)).expect("taken");
    poll(&mut follower("a"), &mut fleet, 0).expect("granted");
    assert_eq!(put(&mut fleet, "second", Some(1), &with_attempts(2)), Ok(2));
    assert_eq!(
        put(&mut fleet, "second", Some(1), &with_attempts(2)),
        Ok(2),
        "the answer was lost"
    );
    assert_eq!(
        put(&mut fleet, "second", Some(2), &with_attempts(4)),
        Err(Refused::Reused { number: 2 })
    );
    assert_eq!(
        put(&mut fleet, "third", Some(1), &with_attempts(4)),
        Err(Refused::Outdated { last: 2 })
    );
    let mut taken = 0;
    for n in 0..200 {
        match put(
            &mut fleet,
            &format!("flood {n}"),
            None,
            &with_attempts(3 + n % 7),
        ) {
            Ok(_) => taken += 1,
            Err(refused) => assert_eq!(
                refused,
                Refused::Busy {
                    pending: MOST_PENDING
                }
            ),
        }
    }
    assert_eq!(taken, MOST_PENDING - 1);
}

#[test]
fn a_class_without_any_place_in_between_is_refused_with_both_places() {
    let mut fleet = Fleet::default();
    put(&mut fleet, "first", None, &document()).expect("taken");
    let mut d = document();
    d.classes.get_mut("report").expect("there").kinds = Some(["b".to_owned()].into());
    let Err(Refused::Nowhere { places }) = put(&mut fleet, "move", None, &d) else {
        panic!("taken")
    };
    assert_eq!(places.len(), 1);
    assert_eq!(places[0].path, "classes.report.kinds");
    assert!(
        places[0].what.contains(r#"{"a"}"#) && places[0].what.contains(r#"{"b"}"#),
        "{}",
        places[0]
    );
}

#[test]
fn a_keeper_whose_state_went_back_is_not_believed() {
    let mut fleet = Fleet::default();
    put(&mut fleet, "first", None, &with_attempts(3)).expect("taken");
    let old = fleet.clone();
    put(&mut fleet, "second", None, &with_attempts(2)).expect("taken");
    let mut a = follower("a");
    poll(&mut a, &mut fleet, 0).expect("granted");
    assert_eq!(a.heeds(), 2);
    let (id, act) = a.ask(S);
    assert_eq!(old.clone().apply(act), Answer::Ahead);
    let versions: Vec<_> = old.version(1).cloned().into_iter().collect();
    let told = Granted {
        versions,
        ..granted(1)
    };
    assert_eq!(
        a.granted(id, told),
        Err(Rejected::WentBack { told: 1, known: 2 })
    );
    // The same numbers under another text.
    let mut other = Fleet::default();
    put(&mut other, "first", None, &with_attempts(3)).expect("taken");
    put(&mut other, "else", None, &with_attempts(9)).expect("taken");
    put(&mut other, "more", None, &with_attempts(8)).expect("taken");
    assert_eq!(poll(&mut a, &mut other, 2 * S), Err(Rejected::OtherText(2)));
    assert!(
        a.in_doubt(BOUNDS.router_term()),
        "neither answer has prolonged the permit"
    );
    // A text that is not that of its digest.
    let mut granted = Granted {
        versions: vec![fleet.version(2).expect("kept").clone()],
        ..granted(2)
    };
    granted.versions[0].document.engines.max_attempts = 7;
    let mut b = follower("b");
    let (id, _) = b.ask(0);
    assert_eq!(b.granted(id, granted), Err(Rejected::Garbled));
}

#[test]
fn what_an_earlier_life_wrote_down_is_known_and_gives_no_permit() {
    let mut fleet = Fleet::default();
    put(&mut fleet, "first", None, &document()).expect("taken");
    let mut a = follower("a");
    poll(&mut a, &mut fleet, 0).expect("granted");
    let me = Holder {
        router: "a".into(),
        life: "2".into(),
    };
    let again = Follower::new(me, BOUNDS, a.course().to_vec());
    assert_eq!(again.verdict(S, "load"), Verdict::Refuse);
    assert_eq!(
        again.verdict(S, "lookup"),
        Verdict::ActInDoubt {
            in_force: 1,
            heeds: 1
        }
    );
    assert_eq!(again.verdict(S, "no such class"), Verdict::Refuse);
    assert_eq!(follower("c").verdict(S, "lookup"), Verdict::Refuse);
}

// ---- random courses, judged from the outside ----------------------------------------------------

/// A fault planted in the course, which the judge must find.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Plant {
    Nothing,
    /// A router counts its permit from the answer.
    FromTheAnswer,
    /// A permit never ends.
    NeverEnds,
    /// Changes come in force without waiting.
    NoWait,
    /// A keeper that starts again forgets whom it gave permits.
    Forgets,
}

/// A small generator: the same course for the same seed.
struct Dice(u64);

impl Dice {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (x ^ (x >> 31)) % n
    }
}

struct Message {
    due: Micros,
    router: usize,
    id: u64,
    asked_act: Option<Act>,
    granted: Option<Granted>,
}

/// Plays a minute, and counts the moments at which two routers acted on versions of which none permits both. Also
/// returns how many changes came in force.
fn play(seed: u64, plant: Plant) -> (u64, u64) {
    let mut dice = Dice(seed);
    let mut fleet = Fleet::default();
    put(&mut fleet, "0", None, &with_attempts(3)).expect("taken");
    let mut routers: Vec<Follower> = (0..4).map(|n| follower(&n.to_string())).collect();
    // Rates of clocks, in millionths of true time, within the bound of each other; the keeper's is the last.
    let rates: Vec<u64> = (0..5).map(|_| 999_000 + dice.below(2001)).collect();
    let clock = |n: usize, now: Micros| now * rates[n] / 1_000_000 + n as u64 * 77 * S;
    let mut terms = Terms::default();
    let mut messages: Vec<Message> = Vec::new();
    let mut cut: Vec<Micros> = vec![0; 4];
    let (mut broken, mut changes) = (0, 0);
    for tick in 0..1200u64 {
        let now = tick * 50_000;
        if dice.below(60) == 0 {
            changes += 1;
            // Always another value than the last: what changes nothing contradicts nothing.
            let last = fleet
                .version(fleet.last())
                .expect("kept")
                .document
                .engines
                .max_attempts;
            let next = 1 + (last + dice.below(4) as u32) % 5;
            let _ = put(
                &mut fleet,
                &format!("{changes}"),
                None,
                &with_attempts(next),
            );
        }
        if dice.below(80) == 0 {
            let n = dice.below(4) as usize;
            cut[n] = now + dice.below(25) * S;
        }
        for (n, router) in routers.iter_mut().enumerate() {
            if tick % 10 == n as u64 {
                // Slow links: a question may be on its way for longer than a permit lasts, and so may its answer.
                let there = if dice.below(10) == 0 {
                    dice.below(14) * S
                } else {
                    0
                } + dice.below(200_000);
                let (id, act) = router.ask(clock(n, now));
                if cut[n] < now && dice.below(8) != 0 {
                    messages.push(Message {
                        due: now + there,
                        router: n,
                        id,
                        asked_act: Some(act),
                        granted: None,
                    });
                }
            }
        }
        let (due, rest): (Vec<Message>, Vec<Message>) =
            messages.into_iter().partition(|m| m.due <= now);
        messages = rest;
        for m in due {
            if let Some(act) = m.asked_act {
                if let Answer::Granted(granted) = fleet.apply(act) {
                    let slow = if dice.below(10) == 0 {
                        dice.below(14) * S
                    } else {
                        0
                    };
                    if cut[m.router] < now && dice.below(8) != 0 {
                        messages.push(Message {
                            due: now + slow + 50_000,
                            asked_act: None,
                            granted: Some(granted),
                            ..m
                        });
                    }
                }
            } else if let Some(granted) = m.granted {
                let router = &mut routers[m.router];
                if plant == Plant::FromTheAnswer {
                    router.count_from(m.id, clock(m.router, now));
                }
                let taken = router.granted(m.id, granted);
                assert!(
                    matches!(taken, Ok(_) | Err(Rejected::Unasked)),
                    "one honest log: {taken:?}"
                );
            }
        }
        terms.learn(clock(4, now), &fleet);
        if tick % 7 == 0 {
            let mut lapsed = terms.lapsed(clock(4, now), &BOUNDS);
            if plant == Plant::NoWait || (plant == Plant::Forgets && tick % 210 == 0) {
                lapsed = fleet
                    .holders()
                    .map(|(h, held)| (h.clone(), held.serial))
                    .collect();
            }
            settle(&mut fleet, lapsed);
        }
        let acts: Vec<(u64, u64)> = routers
            .iter()
            .enumerate()
            .filter_map(|(n, r)| match r.verdict(clock(n, now), "lookup") {
                Verdict::Act { in_force, heeds } => Some((in_force, heeds)),
                Verdict::ActInDoubt { in_force, heeds } if plant == Plant::NeverEnds => {
                    Some((in_force, heeds))
                }
                _ => None,
            })
            .collect();
        let apart = |a: &(u64, u64), b: &(u64, u64)| a.1 < b.0;
        broken += u64::from(acts.iter().any(|a| acts.iter().any(|b| apart(a, b))));
    }
    (broken, fleet.in_force())
}

#[test]
fn no_two_routers_act_apart_in_300_random_courses_and_planted_faults_are_found() {
    let (mut broken, mut in_force) = (0, 0);
    for seed in 0..300 {
        let (b, f) = play(seed, Plant::Nothing);
        broken += b;
        in_force += f - 1;
    }
    assert_eq!(broken, 0);
    assert!(
        in_force > 1000,
        "courses in which little happens prove little: {in_force}"
    );
    for plant in [
        Plant::FromTheAnswer,
        Plant::NeverEnds,
        Plant::NoWait,
        Plant::Forgets,
    ] {
        let found = (0..60).filter(|seed| play(*seed, plant).0 > 0).count();
        println!("{plant:?}: found in {found} of 60 courses");
        assert!(found >= 6, "{plant:?}: found in {found} of 60");
    }
}
