//! Rollouts of versions, with routers that are disconnected, responses that are late or lost, and clocks that run at
//! different rates: no two routers ever enforce versions that contradict each other.

mod common;

use common::document;
use hoptiller_coordination::MAX_PENDING_CHANGES;
use hoptiller_coordination::{
    Command, CommandResponse, ConfigLeaseGrant, ConfigState, ConfigWatcher, Document,
    ExpiryTracker, Holder, LeaseTiming, Micros, Proposal, Rejection,
};
use hoptiller_coordination::{Decision, GrantError};

const SECOND: Micros = 1_000_000;
const TIMING: LeaseTiming = LeaseTiming {
    term: 10 * SECOND,
    drift: 2000,
};

fn propose(
    config: &mut ConfigState,
    change: &str,
    base: Option<u64>,
    document: &Document,
) -> Result<u64, Rejection> {
    let propose = Proposal {
        change_name: change.into(),
        base,
        author: "ann".into(),
        proposed_at_ms: 1,
        reason: "a test".into(),
        document: document.clone(),
    };
    match config.apply(Command::Propose(Box::new(propose))) {
        CommandResponse::Proposed(outcome) => outcome,
        other => panic!("{other:?}"),
    }
}

fn with_attempts(n: u32) -> Document {
    let mut d = document();
    d.engines.max_attempts = n;
    d
}

fn watcher(name: &str) -> ConfigWatcher {
    ConfigWatcher::new(
        Holder {
            router: name.into(),
            incarnation: "1".into(),
        },
        TIMING,
        Vec::new(),
    )
}

/// Renews the lease, with an immediate response.
fn poll(f: &mut ConfigWatcher, config: &mut ConfigState, now: Micros) -> Result<bool, GrantError> {
    let (id, act) = f.start_renewal(now);
    match config.apply(act) {
        CommandResponse::LeaseGranted(granted) => f.accept_grant(id, granted),
        other => panic!("{other:?}"),
    }
}

/// A grant with one version.
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

fn complete_rollout(config: &mut ConfigState, lapsed: Vec<(Holder, u64)>) -> u64 {
    match config.apply(Command::CompleteRollout {
        upto: config.latest(),
        lapsed,
    }) {
        CommandResponse::InForce(n) => n,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_rollout_waits_for_every_valid_lease_and_not_for_an_expired_one() {
    let mut config = ConfigState::default();
    assert_eq!(
        propose(&mut config, "first", None, &with_attempts(3)),
        Ok(1)
    );
    assert_eq!(config.in_force(), 1, "the first contradicts nobody");
    let (mut a, mut b) = (watcher("a"), watcher("b"));
    let mut expiry = ExpiryTracker::default();
    for f in [&mut a, &mut b] {
        poll(f, &mut config, 0).expect("granted");
    }
    expiry.observe(1, &config);
    assert_eq!(
        propose(&mut config, "second", Some(1), &with_attempts(2)),
        Ok(2)
    );
    assert_eq!(
        complete_rollout(&mut config, expiry.expired_config_leases(SECOND, &TIMING)),
        1
    );
    poll(&mut a, &mut config, 2 * SECOND).expect("granted");
    assert_eq!(
        a.decide(2 * SECOND, "lookup"),
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
    poll(&mut a, &mut config, 3 * SECOND).expect("granted");
    expiry.observe(3 * SECOND, &config);
    assert_eq!(
        complete_rollout(
            &mut config,
            expiry.expired_config_leases(3 * SECOND, &TIMING)
        ),
        1,
        "b has not heard of it"
    );
    assert_eq!(
        config
            .blocking_holders()
            .map(|(h, _)| h.router.as_str())
            .collect::<Vec<_>>(),
        ["b"]
    );
    let over = 1 + TIMING.replica_term() + 1;
    assert!(b.is_in_doubt(TIMING.router_term()) && !b.is_in_doubt(TIMING.router_term() - 1));
    poll(&mut a, &mut config, over - SECOND).expect("granted");
    expiry.observe(over - SECOND, &config);
    assert_eq!(
        complete_rollout(&mut config, expiry.expired_config_leases(over, &TIMING)),
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
    poll(&mut b, &mut config, over).expect("granted");
    assert_eq!(
        b.decide(over, "load"),
        Decision::Allow {
            in_force: 2,
            enforced: 2
        }
    );
}

#[test]
fn a_lease_renewed_after_it_was_judged_expired_stays_valid() {
    let mut config = ConfigState::default();
    propose(&mut config, "first", None, &with_attempts(3)).expect("taken");
    let mut a = watcher("a");
    poll(&mut a, &mut config, 0).expect("granted");
    let mut expiry = ExpiryTracker::default();
    expiry.observe(0, &config);
    propose(&mut config, "second", None, &with_attempts(2)).expect("taken");
    let judged = expiry.expired_config_leases(20 * SECOND, &TIMING);
    assert_eq!(judged.len(), 1);
    // The router's question came first in the log; its answer is lost.
    let (_, act) = a.start_renewal(20 * SECOND);
    config.apply(act);
    assert_eq!(complete_rollout(&mut config, judged), 1);
}

#[test]
fn a_neutral_change_takes_effect_at_once() {
    let mut config = ConfigState::default();
    propose(&mut config, "first", None, &document()).expect("taken");
    let mut a = watcher("a");
    poll(&mut a, &mut config, 0).expect("granted");
    let mut worth = document();
    worth.classes.get_mut("report").expect("there").worth = 9.0;
    propose(&mut config, "worth", None, &worth).expect("taken");
    assert_eq!(config.in_force(), 2);
    // Behind a change that waits, it waits too: versions come in order.
    worth.engines.max_attempts = 1;
    propose(&mut config, "attempts", None, &worth).expect("taken");
    worth.classes.get_mut("report").expect("there").worth = 8.0;
    propose(&mut config, "worth again", None, &worth).expect("taken");
    assert_eq!((config.in_force(), config.latest()), (2, 4));
    poll(&mut a, &mut config, SECOND).expect("granted");
    poll(&mut a, &mut config, SECOND).expect("granted");
    assert_eq!(complete_rollout(&mut config, Vec::new()), 4);
}

#[test]
fn a_drain_is_enforced_at_once_while_an_earlier_change_waits() {
    use hoptiller_coordination::{Endpoint, EndpointList, EngineState};
    let mut d = document();
    let member = |standing| Endpoint {
        started_at_ms: 5,
        state: standing,
    };
    d.list = Some(EndpointList(
        [("e".to_owned(), member(EngineState::Up))].into(),
    ));
    let mut config = ConfigState::default();
    propose(&mut config, "first", None, &d).expect("taken");
    let (mut a, mut cut_off) = (watcher("a"), watcher("b"));
    for f in [&mut a, &mut cut_off] {
        poll(f, &mut config, 0).expect("granted");
    }
    d.engines.max_attempts = 5;
    propose(&mut config, "more attempts", None, &d).expect("taken");
    d.list = Some(EndpointList(
        [("e".to_owned(), member(EngineState::Draining))].into(),
    ));
    propose(&mut config, "drain", None, &d).expect("taken");
    poll(&mut a, &mut config, SECOND).expect("granted");
    assert_eq!(complete_rollout(&mut config, Vec::new()), 1);
    let rules = a.merged_document().expect("some");
    assert!(!rules.list.as_ref().expect("a list").accepts_work("e", 5));
    assert_eq!(
        rules.engines.max_attempts, 3,
        "the looser change still waits"
    );
    // Rolled back during the rollout: it is one more version, and nothing before it is skipped over.
    propose(&mut config, "rollback", None, &document()).expect("taken");
    poll(&mut a, &mut config, SECOND).expect("granted");
    assert_eq!(
        a.decide(SECOND, "lookup"),
        Decision::Allow {
            in_force: 1,
            enforced: 4
        }
    );
}

#[test]
fn proposals_are_idempotent_by_name_and_pending_ones_are_bounded() {
    let mut config = ConfigState::default();
    propose(&mut config, "first", None, &with_attempts(3)).expect("taken");
    poll(&mut watcher("a"), &mut config, 0).expect("granted");
    assert_eq!(
        propose(&mut config, "second", Some(1), &with_attempts(2)),
        Ok(2)
    );
    assert_eq!(
        propose(&mut config, "second", Some(1), &with_attempts(2)),
        Ok(2),
        "the answer was lost"
    );
    assert_eq!(
        propose(&mut config, "second", Some(2), &with_attempts(4)),
        Err(Rejection::NameReused { number: 2 })
    );
    assert_eq!(
        propose(&mut config, "third", Some(1), &with_attempts(4)),
        Err(Rejection::Outdated { latest: 2 })
    );
    let mut taken = 0;
    for n in 0..200 {
        match propose(
            &mut config,
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
fn a_change_that_leaves_a_class_no_placement_is_rejected_with_both_values() {
    let mut config = ConfigState::default();
    propose(&mut config, "first", None, &document()).expect("taken");
    let mut d = document();
    d.classes.get_mut("report").expect("there").kinds = Some(["b".to_owned()].into());
    let Err(Rejection::NoPlacement { conflicts: places }) = propose(&mut config, "move", None, &d)
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
fn a_grant_of_a_rolled_back_replica_is_rejected() {
    let mut config = ConfigState::default();
    propose(&mut config, "first", None, &with_attempts(3)).expect("taken");
    let old = config.clone();
    propose(&mut config, "second", None, &with_attempts(2)).expect("taken");
    let mut a = watcher("a");
    poll(&mut a, &mut config, 0).expect("granted");
    assert_eq!(a.enforced(), 2);
    let (id, act) = a.start_renewal(SECOND);
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
    propose(&mut other, "first", None, &with_attempts(3)).expect("taken");
    propose(&mut other, "else", None, &with_attempts(9)).expect("taken");
    propose(&mut other, "more", None, &with_attempts(8)).expect("taken");
    assert_eq!(
        poll(&mut a, &mut other, 2 * SECOND),
        Err(GrantError::DigestMismatch(2))
    );
    assert!(
        a.is_in_doubt(TIMING.router_term()),
        "neither answer has prolonged the permit"
    );
    // A text that is not that of its digest.
    let mut granted = ConfigLeaseGrant {
        versions: vec![config.version(2).expect("kept").clone()],
        ..granted(2)
    };
    granted.versions[0].document.engines.max_attempts = 7;
    let mut b = watcher("b");
    let (id, _) = b.start_renewal(0);
    assert_eq!(b.accept_grant(id, granted), Err(GrantError::Inconsistent));
}

#[test]
fn versions_of_an_earlier_incarnation_are_known_but_grant_no_lease() {
    let mut config = ConfigState::default();
    propose(&mut config, "first", None, &document()).expect("taken");
    let mut a = watcher("a");
    poll(&mut a, &mut config, 0).expect("granted");
    let me = Holder {
        router: "a".into(),
        incarnation: "2".into(),
    };
    let again = ConfigWatcher::new(me, TIMING, a.versions().to_vec());
    assert_eq!(again.decide(SECOND, "load"), Decision::Reject);
    assert_eq!(
        again.decide(SECOND, "lookup"),
        Decision::AllowInDoubt {
            in_force: 1,
            enforced: 1
        }
    );
    assert_eq!(again.decide(SECOND, "no such class"), Decision::Reject);
    assert_eq!(watcher("c").decide(SECOND, "lookup"), Decision::Reject);
}

/// A fault that is injected into an execution, and must be found.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Nothing,
    /// A router counts its lease from the response.
    TermFromResponse,
    /// A lease never expires.
    LeaseNeverExpires,
    /// Versions come in force without waiting.
    SkipRolloutWait,
    /// A replica that restarts has lost the leases that it granted.
    LoseDurableState,
}

/// A random generator: the same execution for the same seed.
struct SeededGenerator(u64);

impl SeededGenerator {
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
    request: Option<Command>,
    granted: Option<ConfigLeaseGrant>,
}

/// Executes a minute, and counts the moments at which two routers enforced versions that contradict each other. Also
/// returns how many versions came in force.
fn count_violations(seed: u64, fault: Fault) -> (u64, u64) {
    let mut generator = SeededGenerator(seed);
    let mut config = ConfigState::default();
    propose(&mut config, "0", None, &with_attempts(3)).expect("taken");
    let mut routers: Vec<ConfigWatcher> = (0..4).map(|n| watcher(&n.to_string())).collect();
    // Rates of clocks, in millionths of true time, within the bound of each other; the replica's is the last.
    let rates: Vec<u64> = (0..5).map(|_| 999_000 + generator.below(2001)).collect();
    let clock = |n: usize, now: Micros| now * rates[n] / 1_000_000 + n as u64 * 77 * SECOND;
    let mut expiry = ExpiryTracker::default();
    let mut messages: Vec<Message> = Vec::new();
    let mut disconnected_until: Vec<Micros> = vec![0; 4];
    let (mut violations, mut changes) = (0, 0);
    for tick in 0..1200u64 {
        let now = tick * 50_000;
        if generator.below(60) == 0 {
            changes += 1;
            // Always another value than the last: what changes nothing contradicts nothing.
            let last = config
                .version(config.latest())
                .expect("kept")
                .document
                .engines
                .max_attempts;
            let next = 1 + (last + generator.below(4) as u32) % 5;
            let _ = propose(
                &mut config,
                &format!("{changes}"),
                None,
                &with_attempts(next),
            );
        }
        if generator.below(80) == 0 {
            let n = generator.below(4) as usize;
            disconnected_until[n] = now + generator.below(25) * SECOND;
        }
        for (n, router) in routers.iter_mut().enumerate() {
            if tick % 10 == n as u64 {
                // Slow links: a question may be on its way for longer than a permit lasts, and so may its answer.
                let there = if generator.below(10) == 0 {
                    generator.below(14) * SECOND
                } else {
                    0
                } + generator.below(200_000);
                let (id, act) = router.start_renewal(clock(n, now));
                if disconnected_until[n] < now && generator.below(8) != 0 {
                    messages.push(Message {
                        due: now + there,
                        router: n,
                        id,
                        request: Some(act),
                        granted: None,
                    });
                }
            }
        }
        let (due, rest): (Vec<Message>, Vec<Message>) =
            messages.into_iter().partition(|m| m.due <= now);
        messages = rest;
        for m in due {
            if let Some(act) = m.request {
                if let CommandResponse::LeaseGranted(granted) = config.apply(act) {
                    let slow = if generator.below(10) == 0 {
                        generator.below(14) * SECOND
                    } else {
                        0
                    };
                    if disconnected_until[m.router] < now && generator.below(8) != 0 {
                        messages.push(Message {
                            due: now + slow + 50_000,
                            request: None,
                            granted: Some(granted),
                            ..m
                        });
                    }
                }
            } else if let Some(granted) = m.granted {
                let router = &mut routers[m.router];
                if fault == Fault::TermFromResponse {
                    router.set_sent_at(m.id, clock(m.router, now));
                }
                let taken = router.accept_grant(m.id, granted);
                assert!(
                    matches!(taken, Ok(_) | Err(GrantError::Unsolicited)),
                    "one honest log: {taken:?}"
                );
            }
        }
        expiry.observe(clock(4, now), &config);
        if tick % 7 == 0 {
            let mut lapsed = expiry.expired_config_leases(clock(4, now), &TIMING);
            if fault == Fault::SkipRolloutWait
                || (fault == Fault::LoseDurableState && tick % 210 == 0)
            {
                lapsed = config
                    .holders()
                    .map(|(h, held)| (h.clone(), held.serial))
                    .collect();
            }
            complete_rollout(&mut config, lapsed);
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
                } if fault == Fault::LeaseNeverExpires => Some((in_force, heeds)),
                _ => None,
            })
            .collect();
        let apart = |a: &(u64, u64), b: &(u64, u64)| a.1 < b.0;
        violations += u64::from(acts.iter().any(|a| acts.iter().any(|b| apart(a, b))));
    }
    (violations, config.in_force())
}

#[test]
fn routers_never_enforce_conflicting_versions_in_300_random_executions_and_faults_are_found() {
    let (mut violations, mut in_force) = (0, 0);
    for seed in 0..300 {
        let (b, f) = count_violations(seed, Fault::Nothing);
        violations += b;
        in_force += f - 1;
    }
    assert_eq!(violations, 0);
    assert!(
        in_force > 1000,
        "courses in which little happens prove little: {in_force}"
    );
    for fault in [
        Fault::TermFromResponse,
        Fault::LeaseNeverExpires,
        Fault::SkipRolloutWait,
        Fault::LoseDurableState,
    ] {
        let found = (0..60)
            .filter(|seed| count_violations(*seed, fault).0 > 0)
            .count();
        println!("{fault:?}: found in {found} of 60 courses");
        assert!(found >= 6, "{fault:?}: found in {found} of 60");
    }
}
