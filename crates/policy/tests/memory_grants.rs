//! Memory grants: their size, and the effects of spills.

mod common;
use common::*;
use hoptiller_policy::*;

#[test]
fn full_memory_grants_only_under_memory_overcommit() {
    let is_full_grant = |memory_overcommit| {
        let settings = Settings {
            max_grant_mb: 4096.0,
            memory_overcommit,
            ..default_settings(vec![long_class()])
        };
        let mut controller = new_controller(settings);
        let actions = step(
            &mut controller,
            S,
            &[endpoint_list(ListScope::All, &[1]), arrival(1, 0, 26 * S)],
        );
        actions.iter().any(
            |action| matches!(action, Action::SetOptions { memory_grant_mb, .. } if *memory_grant_mb == 4096.0),
        )
    };
    assert!(is_full_grant(true) && !is_full_grant(false));
}

#[test]
fn an_early_spill_is_cancelled_once_and_retried_with_the_missing_memory() {
    let start = |settings: Settings| {
        let mut controller = new_controller(settings);
        step(
            &mut controller,
            S,
            &[endpoint_list(ListScope::All, &[1, 2])],
        );
        let Event::Arrival(a) = arrival(1, 0, 26 * S) else {
            unreachable!("an arrival")
        };
        let actions = step(
            &mut controller,
            S,
            &[Event::Arrival(Arrival {
                estimated_memory_mb: 100.0,
                ..a
            })],
        );
        (controller, sends(&actions)[0].1, memory_grants(&actions))
    };
    let spills = |attempt, engine, missing_mb| {
        let (request, engine) = (RequestId(1), EngineId(engine));
        Event::Progress {
            request,
            attempt,
            engine,
            progress: Progress::Spilling(missing_mb),
        }
    };
    let settings = || Settings {
        max_grant_mb: 4096.0,
        ..progress_settings(vec![long_class()])
    };
    let (mut controller, engine, granted) = start(settings());
    assert_eq!(granted, [120.0], "a fifth more than the estimate");
    for invalid in [f64::NAN, -5.0, f64::INFINITY] {
        assert_eq!(
            cancellations(&step(
                &mut controller,
                S + 5 * MS,
                &[spills(0, engine, invalid)]
            )),
            []
        );
    }
    assert_eq!(
        cancellations(&step(
            &mut controller,
            S + 6 * MS,
            &[spills(0, engine, 300.0)]
        )),
        [(1, 0)]
    );
    let actions = step(
        &mut controller,
        S + 10 * MS,
        &[outcome(1, 0, engine, AttemptStatus::Cancelled)],
    );
    assert_eq!(
        (sends(&actions), memory_grants(&actions)),
        (vec![(1, 3 - engine)], vec![420.0])
    );
    assert_eq!(
        cancellations(&step(
            &mut controller,
            S + 15 * MS,
            &[spills(1, 3 - engine, 50.0)]
        )),
        [],
        "only one cancellation"
    );
    let (mut controller, engine, _) = start(settings());
    assert_eq!(
        cancellations(&step(&mut controller, 2 * S, &[spills(0, engine, 300.0)])),
        [],
        "no cancellation of a query that has run for long"
    );
    let class_with_key = Class {
        idempotency: Idempotency::WithKey {
            scope: DeduplicationScope::All,
            window: 20 * S,
        },
        ..long_class()
    };
    let (mut controller, engine, _) = start(Settings {
        classes: vec![class_with_key],
        ..settings()
    });
    assert_eq!(
        cancellations(&step(
            &mut controller,
            S + 5 * MS,
            &[spills(0, engine, 300.0)]
        )),
        [],
        "no cancellation if the retry relies on an idempotency key"
    );
}

#[test]
fn spills_raise_the_memory_grants_of_their_class() {
    let settings = Settings {
        max_grant_mb: 4096.0,
        ..progress_settings(vec![class(Idempotency::NotIdempotent)])
    };
    let mut controller = new_controller(settings);
    step(&mut controller, S, &[endpoint_list(ListScope::All, &[1])]);
    let mut granted = Vec::new();
    for id in 0..5 {
        let now = 2 * S + id * 200 * MS;
        let Event::Arrival(a) = arrival(id, 0, now + 5 * S) else {
            unreachable!("an arrival")
        };
        granted.extend(memory_grants(&step(
            &mut controller,
            now,
            &[Event::Arrival(Arrival {
                estimated_memory_mb: 100.0,
                ..a
            })],
        )));
        let (request, engine, progress) = (RequestId(id), EngineId(1), Progress::Spilling(90.0));
        step(
            &mut controller,
            now + 5 * MS,
            &[Event::Progress {
                request,
                attempt: 0,
                engine,
                progress,
            }],
        );
        step(
            &mut controller,
            now + 100 * MS,
            &[outcome(id, 0, 1, AttemptStatus::Succeeded)],
        );
    }
    assert!(
        granted.windows(2).all(|pair| pair[1] > pair[0]),
        "{granted:?}"
    );
}
