//! Generated legal event sequences against an independent checker of the rules. Fixed seeds; outcomes are
//! arbitrary, there is no model of engines.

mod common;
use std::collections::{BTreeMap, BTreeSet};

use common::*;
use hoptiller_policy::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

struct Seen {
    class: usize,
    key: Option<u64>,
    valid_until: Micros,
    attempts: u32,
    out: Vec<(u32, u32)>,
    may_have_run: Option<(u64, Micros)>,
    over: bool,
}

const ENDINGS: [AttemptStatus; 8] = [
    AttemptStatus::Succeeded,
    AttemptStatus::Succeeded,
    AttemptStatus::Succeeded,
    AttemptStatus::ErrorResponse,
    AttemptStatus::Rejected,
    AttemptStatus::ConnectionReset,
    AttemptStatus::ConnectFailed,
    AttemptStatus::Succeeded,
];

fn run(seed: u64, notes: bool) {
    let window = 800 * MS;
    let mut classes = vec![
        class(Idempotency::Idempotent),
        class(Idempotency::NotIdempotent),
        class(Idempotency::WithKey { scope: DeduplicationScope::Cell, window }),
    ];
    classes[0].kinds = Some(vec![0]);
    classes[1].ordered_by_key = true;
    let mut cfg = settings(classes);
    let budget = RetryBudget { min_retries: 2.0, ratio: 0.2, window: 2 * S };
    cfg.rules.retry_budget = Some(budget);
    if notes {
        (cfg.limits.cancel, cfg.progress_interval, cfg.max_grant_mb) = (true, 300 * MS, 500.0);
    }
    let mut c = Controller::new(cfg, seed).expect("usable settings");
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut pick = |n: u64| rng.next_u64() % n;
    let mut fleet: BTreeMap<u32, EndpointEntry> = BTreeMap::new();
    let mut seen: BTreeMap<u64, Seen> = BTreeMap::new();
    let (mut taken, mut extras): (Vec<Micros>, Vec<Micros>) = (vec![], vec![]);
    let mut rests: BTreeMap<u64, Micros> = BTreeMap::new();
    let (mut withdrawn, mut cancels) = (BTreeSet::new(), 0);
    let mut holds: BTreeMap<u64, Hold> = BTreeMap::new();
    let (mut next, mut now) = (0u64, S);
    while now < 20 * S {
        let mut events = Vec::new();
        if pick(60) == 0 || fleet.is_empty() {
            let id = pick(6) as u32;
            let mut e = entry(id, (id % 2) as usize);
            e.cell = u64::from(id % 3);
            e.readiness = [Readiness::Up, Readiness::Up, Readiness::Draining][pick(3) as usize];
            fleet.insert(id, e.clone());
            events.push(Event::EndpointList(ListScope::Changes, vec![e]));
        }
        if now < 14 * S && pick(2) == 0 {
            let class = pick(3) as usize;
            let key = (class == 1).then(|| pick(3));
            let valid_until = now + S + pick(4 * S);
            events.push(match key {
                Some(k) => keyed(next, class, valid_until, k),
                None => arrival(next, class, valid_until),
            });
            if let (true, Some(Event::Arrival(a))) = (notes, events.last_mut()) {
                a.kind = Some(next % 4);
            }
            taken.push(now);
            let (out, may_have_run) = (vec![], None);
            seen.insert(next, Seen { class, key, valid_until, attempts: 0, out, may_have_run, over: false });
            next += 1;
        }
        if notes && pick(100) == 0 {
            let closed = (0..6).filter(|_| pick(3) == 0).map(EngineId).collect();
            let most = [0, 1, 2, u32::MAX][pick(4) as usize];
            let hold = Hold {
                target: HoldTarget::Kind(pick(4)),
                max_in_flight: most,
                excluded_engines: closed,
                low_priority: false,
            };
            let HoldTarget::Kind(kind) = hold.target else { unreachable!() };
            holds.insert(kind, hold.clone());
            events.push(Event::Hold(hold));
        }
        for (id, r) in &mut seen {
            let Some(&(hop, engine)) = r.out.first() else { continue };
            let ending = if r.valid_until <= now {
                AttemptStatus::TimedOut
            } else if withdrawn.remove(id) {
                AttemptStatus::Cancelled
            } else if pick(12) == 0 {
                ENDINGS[pick(8) as usize]
            } else {
                continue;
            };
            r.out.clear();
            r.over |= ending == AttemptStatus::Succeeded;
            if !matches!(ending, AttemptStatus::Rejected | AttemptStatus::ConnectFailed)
                && r.may_have_run.is_none()
            {
                r.may_have_run = Some((u64::from(engine % 3), now));
            }
            if let (
                Some(k),
                AttemptStatus::TimedOut | AttemptStatus::ConnectionReset | AttemptStatus::Cancelled,
            ) = (r.key, ending)
            {
                rests.insert(k, now + 500 * MS);
            }
            events.push(outcome(*id, hop, engine, ending));
        }
        for (id, r) in seen.iter().filter(|_| notes) {
            let Some(&(hop, engine)) = r.out.first().filter(|_| pick(20) == 0) else { continue };
            let share = [0.0, 0.001, 0.3, 0.9, -1.0, 7.0, f64::NAN, f64::INFINITY][pick(8) as usize];
            let progress = [Progress::Completed(share), Progress::Spilling(share * 90.0), Progress::Blocked]
                [pick(3) as usize];
            let (request, engine, hop) = (RequestId(*id), EngineId(engine), hop + (pick(9) == 0) as u32);
            events.push(Event::Progress { request, attempt: hop, engine, progress });
        }
        for action in step(&mut c, now, &events) {
            match action {
                Action::Cancel { request, attempt: hop } => {
                    let r = &seen[&request.0];
                    assert!(notes && r.out.iter().any(|o| o.0 == hop), "only what is out");
                    assert!(withdrawn.insert(request.0), "once");
                    cancels += 1;
                }
                Action::Send { request, engine, .. } => {
                    let e = &fleet[&engine.0];
                    assert_eq!(e.readiness, Readiness::Up, "rule 3");
                    if let Some(hold) = holds.get(&(request.0 % 4)).filter(|_| notes) {
                        let out = |(id, r): (&u64, &Seen)| *id % 4 == request.0 % 4 && !r.out.is_empty();
                        assert!(!hold.excluded_engines.contains(&engine), "a hold: where");
                        assert!(
                            (seen.iter().filter(|s| out(*s)).count() as u32) < hold.max_in_flight,
                            "a hold: how many"
                        );
                    }
                    let earlier = seen.range(..request.0).map(|(_, r)| r);
                    let r = &seen[&request.0];
                    if let Some(k) = r.key {
                        let busy = |o: &Seen| o.key == Some(k) && (!o.over || !o.out.is_empty());
                        assert!(!earlier.clone().any(busy), "rule 5: order");
                        let rest = rests.get(&k).copied().unwrap_or(0);
                        assert!(r.attempts > 0 || rest <= now, "rule 5: rest");
                    }
                    let r = seen.get_mut(&request.0).expect("a known request");
                    assert!(!r.over && r.out.is_empty() && r.attempts < 3, "rules 1 and 2");
                    assert!(r.class != 0 || e.kind == Some(0), "rule 6");
                    match (r.class, r.may_have_run) {
                        (1, Some(_)) => panic!("rule 2: unsafe repeat"),
                        (2, Some((cell, _))) => assert_eq!(e.cell, cell, "rule 2: group"),
                        _ => {}
                    }
                    if r.attempts > 0 {
                        extras.push(now);
                        let since =
                            |times: &[Micros]| times.iter().filter(|t| **t + 2 * S > now).count() as f64;
                        assert!(
                            since(&extras) <= budget.min_retries + budget.ratio * since(&taken),
                            "rule 7"
                        );
                    }
                    r.out.push((r.attempts, engine.0));
                    r.attempts += 1;
                }
                Action::Reject { request, .. } => {
                    let r = seen.get_mut(&request.0).expect("a known request");
                    assert!(!r.over, "rule 1: one answer");
                    assert!(
                        r.class == 0 || (r.may_have_run.is_none() && r.out.is_empty()),
                        "rule 2: refusal"
                    );
                    r.over = true;
                }
                Action::Fail(request) => {
                    let r = seen.get_mut(&request.0).expect("a known request");
                    assert!(!r.over, "rule 1: one answer");
                    r.over = true;
                }
                _ => {}
            }
        }
        assert!(seen.values().all(|r| r.over || now <= r.valid_until + 15 * MS), "rule 1: in time");
        now += 5 * MS;
    }
    assert!(next > 800 && seen.values().all(|r| r.over));
    assert!(!extras.is_empty(), "the sequence must hold retries");
    assert_eq!(cancels > 10, notes, "the sequence must hold withdrawals: {cancels}");
}

#[test]
fn generated_sequences_keep_the_rules() {
    for seed in 0..5 {
        run(seed, false);
        run(seed, true);
    }
}

#[test]
fn the_same_events_give_the_same_actions() {
    let play = || {
        let mut c = Controller::new(
            settings(vec![class(Idempotency::Idempotent), class(Idempotency::Idempotent)]),
            5,
        )
        .expect("usable");
        let mut all = step(&mut c, S, &[list(ListScope::All, &[1, 2, 3])]);
        for id in 0..200 {
            all.extend(step(&mut c, S + id * 5 * MS, &[arrival(id, (id % 2) as usize, 9 * S)]));
        }
        all
    };
    let all = play();
    assert!(!sends(&all).is_empty());
    assert_eq!(all, play());
}
