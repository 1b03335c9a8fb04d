//! Changes from proposed to in force, with routers that are cut off, answers that are late or lost, and clocks that run
//! at different rates: no two routers ever act on versions of which none permits both.

mod common;

use common::document;
use hoptiller_coordination::MAX_PENDING_CHANGES;
use hoptiller_coordination::{
    Command, CommandResponse, ConfigLeaseGrant, ConfigState, ConfigWatcher, Document,
    ExpiryTracker, Holder, LeaseTiming, Micros, Proposal, Rejection,
};
use hoptiller_coordination::{Decision, GrantError};

const S: Micros = 1_000_000;
const BOUNDS: LeaseTiming = LeaseTiming {
    term: 10 * S,
    drift: 2000,
};

fn put(
    fleet: &mut ConfigState,
    change: &str,
    base: Option<u64>,
    document: &Document,
) -> Result<u64, Rejection> {
    let put = Proposal {
        change_name: change.into(),
        base,
        author: "ann".into(),
        proposed_at_ms: 1,
        reason: "a test".into(),
        document: document.clone(),
    };
    match fleet.apply(Command::Propose(Box::new(put))) {
        CommandResponse::Proposed(outcome) => outcome,
        other => panic!("{other:?}"),
    }
}

fn with_attempts(n: u32) -> Document {
    let mut d = document();
    d.engines.max_attempts = n;
    d
}

fn follower(name: &str) -> ConfigWatcher {
    ConfigWatcher::new(
        Holder {
            router: name.into(),
            incarnation: "1".into(),
        },
        BOUNDS,
        Vec::new(),
    )
}

/// Asks and is answered at once.
fn poll(f: &mut ConfigWatcher, fleet: &mut ConfigState, now: Micros) -> Result<bool, GrantError> {
    let (id, act) = f.start_renewal(now);
    match fleet.apply(act) {
        CommandResponse::LeaseGranted(granted) => f.accept_grant(id, granted),
        other => panic!("{other:?}"),
    }
}

/// An answer that tells of one version.
fn granted(n: u64) -> ConfigLeaseGrant {
    let (versions, leases, board) = Default::default();
    ConfigLeaseGrant {
        in_force: n,
        enforce: n,
        versions,
        serial: 1,
        leases,
        lease_table: board,
    }
}

fn settle(fleet: &mut ConfigState, lapsed: Vec<(Holder, u64)>) -> u64 {
    match fleet.apply(Command::CompleteRollout {
        upto: fleet.latest(),
        lapsed,
    }) {
        CommandResponse::InForce(n) => n,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_change_waits_for_every_permit_and_not_for_one_that_has_run_out() {
    let mut fleet = ConfigState::default();
    assert_eq!(put(&mut fleet, "first", None, &with_attempts(3)), Ok(1));
    assert_eq!(fleet.in_force(), 1, "the first contradicts nobody");
    let (mut a, mut b) = (follower("a"), follower("b"));
    let mut terms = ExpiryTracker::default();
    for f in [&mut a, &mut b] {
        poll(f, &mut fleet, 0).expect("granted");
    }
    terms.observe(1, &fleet);
    assert_eq!(put(&mut fleet, "second", Some(1), &with_attempts(2)), Ok(2));
    assert_eq!(
        settle(&mut fleet, terms.expired_config_leases(S, &BOUNDS)),
        1
    );
    poll(&mut a, &mut fleet, 2 * S).expect("granted");
    assert_eq!(
        a.decide(2 * S, "lookup"),
        Decision::Allow {
            in_force: 1,
            enforced: 2
        }
    );
    assert_eq!(
        a.merged_document().map(|r| r.engines.max_attempts),
        Some(2),
        "the tighter of both at once"
    );
    poll(&mut a, &mut fleet, 3 * S).expect("granted");
    terms.observe(3 * S, &fleet);
    assert_eq!(
        settle(&mut fleet, terms.expired_config_leases(3 * S, &BOUNDS)),
        1,
        "b has not heard of it"
    );
    assert_eq!(
        fleet
            .blocking_holders()
            .map(|(h, _)| h.router.as_str())
            .collect::<Vec<_>>(),
        ["b"]
    );
    let over = 1 + BOUNDS.replica_term() + 1;
    assert!(b.is_in_doubt(BOUNDS.router_term()) && !b.is_in_doubt(BOUNDS.router_term() - 1));
    poll(&mut a, &mut fleet, over - S).expect("granted");
    terms.observe(over - S, &fleet);
    assert_eq!(
        settle(&mut fleet, terms.expired_config_leases(over, &BOUNDS)),
        2,
        "b's permit has run out"
    );
    assert_eq!(b.decide(over, "load"), Decision::Reject);
    assert_eq!(
        b.decide(over, "lookup"),
        Decision::AllowInDoubt {
            in_force: 1,
            enforced: 1
        }
    );
    poll(&mut b, &mut fleet, over).expect("granted");
    assert_eq!(
        b.decide(over, "load"),
        Decision::Allow {
            in_force: 2,
            enforced: 2
        }
    );
}

#[test]
fn a_permit_prolonged_after_it_was_judged_stands() {
    let mut fleet = ConfigState::default();
    put(&mut fleet, "first", None, &with_attempts(3)).expect("taken");
    let mut a = follower("a");
    poll(&mut a, &mut fleet, 0).expect("granted");
    let mut terms = ExpiryTracker::default();
    terms.observe(0, &fleet);
    put(&mut fleet, "second", None, &with_attempts(2)).expect("taken");
    let judged = terms.expired_config_leases(20 * S, &BOUNDS);
    assert_eq!(judged.len(), 1);
    // The router's question came first in the log; its answer is lost.
    let (_, act) = a.start_renewal(20 * S);
    fleet.apply(act);
    assert_eq!(settle(&mut fleet, judged), 1);
}

#[test]
fn what_contradicts_nothing_waits_for_nobody() {
    let mut fleet = ConfigState::default();
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
    assert_eq!((fleet.in_force(), fleet.latest()), (2, 4));
    poll(&mut a, &mut fleet, S).expect("granted");
    poll(&mut a, &mut fleet, S).expect("granted");
    assert_eq!(settle(&mut fleet, Vec::new()), 4);
}

#[test]
fn a_drain_is_heeded_at_once_though_a_change_before_it_waits() {
    use hoptiller_coordination::{Endpoint, EndpointList, EngineState};
    let mut d = document();
    let member = |standing| Endpoint {
        started_at_ms: 5,
        state: standing,
    };
    d.list = Some(EndpointList(
        [("e".to_owned(), member(EngineState::Up))].into(),
    ));
    let mut fleet = ConfigState::default();
    put(&mut fleet, "first", None, &d).expect("taken");
    let (mut a, mut cut_off) = (follower("a"), follower("b"));
    for f in [&mut a, &mut cut_off] {
        poll(f, &mut fleet, 0).expect("granted");
    }
    d.engines.max_attempts = 5;
    put(&mut fleet, "more attempts", None, &d).expect("taken");
    d.list = Some(EndpointList(
        [("e".to_owned(), member(EngineState::Draining))].into(),
    ));
    put(&mut fleet, "drain", None, &d).expect("taken");
    poll(&mut a, &mut fleet, S).expect("granted");
    assert_eq!(settle(&mut fleet, Vec::new()), 1);
    let rules = a.merged_document().expect("some");
    assert!(!rules.list.as_ref().expect("a list").accepts_work("e", 5));
    assert_eq!(
        rules.engines.max_attempts, 3,
        "the looser change still waits"
    );
    // Rolled back during the rollout: it is one more version, and nothing before it is skipped over.
    put(&mut fleet, "rollback", None, &document()).expect("taken");
    poll(&mut a, &mut fleet, S).expect("granted");
    assert_eq!(
        a.decide(S, "lookup"),
        Decision::Allow {
            in_force: 1,
            enforced: 4
        }
    );
}

#[test]
fn a_change_put_twice_is_one_and_a_flood_is_bounded() {
    let mut fleet = ConfigState::default();
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
        Err(Rejection::NameReused { number: 2 })
    );
    assert_eq!(
        put(&mut fleet, "third", Some(1), &with_attempts(4)),
        Err(Rejection::Outdated { latest: 2 })
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
                Rejection::TooManyPending {
                    pending: MAX_PENDING_CHANGES
                }
            ),
        }
    }
    assert_eq!(taken, MAX_PENDING_CHANGES - 1);
}

#[test]
fn a_class_without_any_place_in_between_is_refused_with_both_places() {
    let mut fleet = ConfigState::default();
    put(&mut fleet, "first", None, &document()).expect("taken");
    let mut d = document();
    d.classes.get_mut("report").expect("there").kinds = Some(["b".to_owned()].into());
    let Err(Rejection::NoPlacement { conflicts: places }) = put(&mut fleet, "move", None, &d)
    else {
        panic!("taken")
    };
    assert_eq!(places.len(), 1);
    assert_eq!(places[0].path, "classes.report.kinds");
    assert!(
        places[0].message.contains(r#"{"a"}"#) && places[0].message.contains(r#"{"b"}"#),
        "{}",
        places[0]
    );
}

#[test]
fn a_keeper_whose_state_went_back_is_not_believed() {
    let mut fleet = ConfigState::default();
    put(&mut fleet, "first", None, &with_attempts(3)).expect("taken");
    let old = fleet.clone();
    put(&mut fleet, "second", None, &with_attempts(2)).expect("taken");
    let mut a = follower("a");
    poll(&mut a, &mut fleet, 0).expect("granted");
    assert_eq!(a.enforced(), 2);
    let (id, act) = a.start_renewal(S);
    assert_eq!(old.clone().apply(act), CommandResponse::UnknownVersion);
    let versions: Vec<_> = old.version(1).cloned().into_iter().collect();
    let told = ConfigLeaseGrant {
        versions,
        ..granted(1)
    };
    assert_eq!(
        a.accept_grant(id, told),
        Err(GrantError::Regressed {
            reported: 1,
            known: 2
        })
    );
    // The same numbers under another text.
    let mut other = ConfigState::default();
    put(&mut other, "first", None, &with_attempts(3)).expect("taken");
    put(&mut other, "else", None, &with_attempts(9)).expect("taken");
    put(&mut other, "more", None, &with_attempts(8)).expect("taken");
    assert_eq!(
        poll(&mut a, &mut other, 2 * S),
        Err(GrantError::DigestMismatch(2))
    );
    assert!(
        a.is_in_doubt(BOUNDS.router_term()),
        "neither answer has prolonged the permit"
    );
    // A text that is not that of its digest.
    let mut granted = ConfigLeaseGrant {
        versions: vec![fleet.version(2).expect("kept").clone()],
        ..granted(2)
    };
    granted.versions[0].document.engines.max_attempts = 7;
    let mut b = follower("b");
    let (id, _) = b.start_renewal(0);
    assert_eq!(b.accept_grant(id, granted), Err(GrantError::Inconsistent));
}

#[test]
fn what_an_earlier_life_wrote_down_is_known_and_gives_no_permit() {
    let mut fleet = ConfigState::default();
    put(&mut fleet, "first", None, &document()).expect("taken");
    let mut a = follower("a");
    poll(&mut a, &mut fleet, 0).expect("granted");
    let me = Holder {
        router: "a".into(),
        incarnation: "2".into(),
    };
    let again = ConfigWatcher::new(me, BOUNDS, a.versions().to_vec());
    assert_eq!(again.decide(S, "load"), Decision::Reject);
    assert_eq!(
        again.decide(S, "lookup"),
        Decision::AllowInDoubt {
            in_force: 1,
            enforced: 1
        }
    );
    assert_eq!(again.decide(S, "no such class"), Decision::Reject);
    assert_eq!(follower("c").decide(S, "lookup"), Decision::Reject);
}

// ---- random courses, judged from the outside ----------------------------------------------------

/// A fault planted in the course, which the judge must find.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Nothing,
    /// A router counts its permit from the answer.
    TermFromResponse,
    /// A permit never ends.
    LeaseNeverExpires,
    /// Changes come in force without waiting.
    SkipRolloutWait,
    /// A keeper that starts again forgets whom it gave permits.
    LoseDurableState,
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
    asked_act: Option<Command>,
    granted: Option<ConfigLeaseGrant>,
}

/// Plays a minute, and counts the moments at which two routers acted on versions of which none permits both. Also
/// returns how many changes came in force.
fn play(seed: u64, plant: Fault) -> (u64, u64) {
    let mut dice = Dice(seed);
    let mut fleet = ConfigState::default();
    put(&mut fleet, "0", None, &with_attempts(3)).expect("taken");
    let mut routers: Vec<ConfigWatcher> = (0..4).map(|n| follower(&n.to_string())).collect();
    // Rates of clocks, in millionths of true time, within the bound of each other; the keeper's is the last.
    let rates: Vec<u64> = (0..5).map(|_| 999_000 + dice.below(2001)).collect();
    let clock = |n: usize, now: Micros| now * rates[n] / 1_000_000 + n as u64 * 77 * S;
    let mut terms = ExpiryTracker::default();
    let mut messages: Vec<Message> = Vec::new();
    let mut cut: Vec<Micros> = vec![0; 4];
    let (mut broken, mut changes) = (0, 0);
    for tick in 0..1200u64 {
        let now = tick * 50_000;
        if dice.below(60) == 0 {
            changes += 1;
            // Always another value than the last: what changes nothing contradicts nothing.
            let last = fleet
                .version(fleet.latest())
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
                let (id, act) = router.start_renewal(clock(n, now));
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
                if let CommandResponse::LeaseGranted(granted) = fleet.apply(act) {
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
                if plant == Fault::TermFromResponse {
                    router.set_sent_at(m.id, clock(m.router, now));
                }
                let taken = router.accept_grant(m.id, granted);
                assert!(
                    matches!(taken, Ok(_) | Err(GrantError::Unsolicited)),
                    "one honest log: {taken:?}"
                );
            }
        }
        terms.observe(clock(4, now), &fleet);
        if tick % 7 == 0 {
            let mut lapsed = terms.expired_config_leases(clock(4, now), &BOUNDS);
            if plant == Fault::SkipRolloutWait
                || (plant == Fault::LoseDurableState && tick % 210 == 0)
            {
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
            .filter_map(|(n, r)| match r.decide(clock(n, now), "lookup") {
                Decision::Allow {
                    in_force,
                    enforced: heeds,
                } => Some((in_force, heeds)),
                Decision::AllowInDoubt {
                    in_force,
                    enforced: heeds,
                } if plant == Fault::LeaseNeverExpires => Some((in_force, heeds)),
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
        let (b, f) = play(seed, Fault::Nothing);
        broken += b;
        in_force += f - 1;
    }
    assert_eq!(broken, 0);
    assert!(
        in_force > 1000,
        "courses in which little happens prove little: {in_force}"
    );
    for plant in [
        Fault::TermFromResponse,
        Fault::LeaseNeverExpires,
        Fault::SkipRolloutWait,
        Fault::LoseDurableState,
    ] {
        let found = (0..60).filter(|seed| play(*seed, plant).0 > 0).count();
        println!("{plant:?}: found in {found} of 60 courses");
        assert!(found >= 6, "{plant:?}: found in {found} of 60");
    }
}
