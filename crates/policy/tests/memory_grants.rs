//! Memory grants: how much queries are granted, and what spills change.

mod common;
use common::*;
use hoptiller_policy::*;

#[test]
fn full_memory_grants_only_under_memory_overcommit() {
    let grant = |overcommits| {
        let cfg = Settings {
            max_grant_mb: 4096.0,
            memory_overcommit: overcommits,
            ..settings(vec![long()])
        };
        let mut c = controller(cfg);
        let out = step(
            &mut c,
            S,
            &[list(ListScope::All, &[1]), arrival(1, 0, 26 * S)],
        );
        out.iter().any(
            |a| matches!(a, Action::SetOptions { memory_grant_mb: grant, .. } if *grant == 4096.0),
        )
    };
    assert!(grant(true) && !grant(false));
}

#[test]
fn an_early_spill_is_cancelled_once_and_retried_with_the_missing_memory() {
    let start = |cfg: Settings| {
        let mut c = controller(cfg);
        step(&mut c, S, &[list(ListScope::All, &[1, 2])]);
        let Event::Arrival(a) = arrival(1, 0, 26 * S) else {
            unreachable!("an arrival")
        };
        let out = step(
            &mut c,
            S,
            &[Event::Arrival(Arrival {
                estimated_memory_mb: 100.0,
                ..a
            })],
        );
        (c, sends(&out)[0].1, grants(&out))
    };
    let spills = |attempt, engine, mb| {
        let (request, engine) = (RequestId(1), EngineId(engine));
        Event::Progress {
            request,
            attempt,
            engine,
            progress: Progress::Spilling(mb),
        }
    };
    let cfg = || Settings {
        max_grant_mb: 4096.0,
        ..with_progress(vec![long()])
    };
    let (mut c, e, granted) = start(cfg());
    assert_eq!(granted, [120.0], "a fifth over the estimate");
    for odd in [f64::NAN, -5.0, f64::INFINITY] {
        assert_eq!(cancels(&step(&mut c, S + 5 * MS, &[spills(0, e, odd)])), []);
    }
    assert_eq!(
        cancels(&step(&mut c, S + 6 * MS, &[spills(0, e, 300.0)])),
        [(1, 0)]
    );
    let out = step(
        &mut c,
        S + 10 * MS,
        &[outcome(1, 0, e, AttemptStatus::Cancelled)],
    );
    assert_eq!((sends(&out), grants(&out)), (vec![(1, 3 - e)], vec![420.0]));
    assert_eq!(
        cancels(&step(&mut c, S + 15 * MS, &[spills(1, 3 - e, 50.0)])),
        [],
        "once"
    );
    let (mut c, e, _) = start(cfg());
    assert_eq!(
        cancels(&step(&mut c, 2 * S, &[spills(0, e, 300.0)])),
        [],
        "not what has done much"
    );
    let keyed = Class {
        idempotency: Idempotency::WithKey {
            scope: DeduplicationScope::All,
            window: 20 * S,
        },
        ..long()
    };
    let (mut c, e, _) = start(Settings {
        classes: vec![keyed],
        ..cfg()
    });
    assert_eq!(
        cancels(&step(&mut c, S + 5 * MS, &[spills(0, e, 300.0)])),
        [],
        "not what may not run twice"
    );
}

#[test]
fn spills_raise_the_memory_grants_of_their_class() {
    let cfg = Settings {
        max_grant_mb: 4096.0,
        ..with_progress(vec![class(Idempotency::NotIdempotent)])
    };
    let mut c = controller(cfg);
    step(&mut c, S, &[list(ListScope::All, &[1])]);
    let mut granted = Vec::new();
    for id in 0..5 {
        let now = 2 * S + id * 200 * MS;
        let Event::Arrival(a) = arrival(id, 0, now + 5 * S) else {
            unreachable!("an arrival")
        };
        granted.extend(grants(&step(
            &mut c,
            now,
            &[Event::Arrival(Arrival {
                estimated_memory_mb: 100.0,
                ..a
            })],
        )));
        let (request, engine, progress) = (RequestId(id), EngineId(1), Progress::Spilling(90.0));
        step(
            &mut c,
            now + 5 * MS,
            &[Event::Progress {
                request,
                attempt: 0,
                engine,
                progress,
            }],
        );
        step(
            &mut c,
            now + 100 * MS,
            &[outcome(id, 0, 1, AttemptStatus::Succeeded)],
        );
    }
    assert!(granted.windows(2).all(|w| w[1] > w[0]), "{granted:?}");
}
