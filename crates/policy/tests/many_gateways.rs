//! Behaviour of many gateways that share engines, each of which sees only a part.

mod common;
use common::*;
use hoptiller_policy::*;

/// Settings in which the equal part of an engine's capacity is less than one query.
fn many(gateways: u32, index: u32) -> Settings {
    Settings {
        gateways,
        index,
        ..settings(vec![class(Idempotency::Idempotent)])
    }
}

fn reported(outcome: Event, elapsed: Micros, in_flight: f64) -> Event {
    let report = Some(LoadReport {
        in_flight: Some(in_flight),
        ..LoadReport::default()
    });
    outcome_with(outcome, |o| (o.elapsed, o.report) = (elapsed, report))
}

/// Serves bursts of ten for a while; every engine reports `in_flight`.
fn serve(c: &mut Controller, first: u64, in_flight: f64) {
    let mut sent = Vec::new();
    for id in first..first + 40 {
        let now = S + id * 100 * MS;
        let burst: Vec<Event> = (0..10)
            .map(|n| arrival(1000 + id * 10 + n, 0, now + S))
            .collect();
        sent.extend(sends(&step(c, now, &burst)));
        let back = |(id, e): (u64, u32)| {
            reported(
                outcome(id, 0, e, AttemptStatus::Succeeded),
                50 * MS,
                in_flight,
            )
        };
        let back: Vec<Event> = sent.drain(..).map(back).collect();
        sent = sends(&step(c, now + 50 * MS, &back));
    }
    let back = |(id, e): &(u64, u32)| {
        reported(
            outcome(*id, 0, *e, AttemptStatus::Succeeded),
            50 * MS,
            in_flight,
        )
    };
    while !sent.is_empty() {
        sent = sends(&step(
            c,
            S + (first + 40) * 100 * MS,
            &sent.iter().map(back).collect::<Vec<_>>(),
        ));
    }
}

#[test]
fn the_congestion_window_shrinks_under_load_and_grows_with_free_capacity() {
    let fleet = list(ListScope::All, &(1..30).collect::<Vec<_>>());
    // Before any answer: thrice an even part of 29 engines of 8 threads.
    let mut c = controller(many(100, 0));
    let events: Vec<Event> = (0..100).map(|id| arrival(id, 0, 20 * S)).collect();
    step(&mut c, S, std::slice::from_ref(&fleet));
    assert_eq!(
        sends(&step(&mut c, S, &events)).len(),
        6,
        "thrice 2.32, whole queries"
    );
    let burst = |in_flight| {
        let mut c = controller(many(100, 0));
        step(&mut c, S, std::slice::from_ref(&fleet));
        serve(&mut c, 0, in_flight);
        let events: Vec<Event> = (500..600).map(|id| arrival(id, 0, 20 * S)).collect();
        sends(&step(&mut c, 6 * S, &events)).len()
    };
    // 8 threads are two for each of 4 cores.
    assert!(burst(2.0) > 10, "room at all: {}", burst(2.0));
    assert!(burst(16.0) <= 2, "twice full at all: {}", burst(16.0));
}

#[test]
fn a_full_engine_gets_nothing_until_its_load_decays_or_a_health_check_reports_capacity() {
    let mut cfg = many(100, 0);
    cfg.limits.health_checks = true;
    let mut c = controller(cfg);
    step(&mut c, S, &[list(ListScope::All, &[1])]);
    let sent = sends(&step(&mut c, S, &[arrival(1, 0, 9 * S)]));
    step(
        &mut c,
        S + 50 * MS,
        &[reported(
            outcome(1, 0, sent[0].1, AttemptStatus::Succeeded),
            50 * MS,
            40.0,
        )],
    );
    let out = step(&mut c, S + 300 * MS, &[arrival(2, 0, 9 * S)]);
    assert_eq!(sends(&out), []);
    assert!(
        out.contains(&Action::HealthCheck(EngineId(1))),
        "a waiting request asks: {out:?}"
    );
    let empty = LoadReport {
        in_flight: Some(0.0),
        ..LoadReport::default()
    };
    let out = step(
        &mut c,
        S + 320 * MS,
        &[Event::HealthChecked(EngineId(1), Some(empty))],
    );
    assert_eq!(sends(&out), [(2, 1)]);
}

#[test]
fn the_least_loaded_engine_wins_ties() {
    for seed in 0..8 {
        let mut c = Controller::new(many(100, 0), seed).expect("usable settings");
        step(&mut c, S, &[list(ListScope::All, &[1, 2, 3, 4])]);
        for e in 1..=4 {
            let in_flight = Some(if e == 3 { 1.0 } else { 7.0 });
            let report = LoadReport {
                in_flight,
                ..LoadReport::default()
            };
            step(
                &mut c,
                S + 10 * MS,
                &[Event::HealthChecked(EngineId(e), Some(report))],
            );
        }
        assert_eq!(
            sends(&step(&mut c, S + 20 * MS, &[arrival(1, 0, 6 * S)])),
            [(1, 3)]
        );
    }
}

#[test]
fn queries_of_a_table_group_share_home_engines_and_loads_avoid_them() {
    let mut load = class(Idempotency::Idempotent);
    load.locks_group = true;
    let cfg = Settings {
        gateways: 100,
        ..settings(vec![class(Idempotency::Idempotent), load])
    };
    let engines: Vec<u32> = (1..=16).collect();
    let engines_used = |class: usize| {
        let taken = (0..20).map(|seed| {
            let mut c = Controller::new(cfg.clone(), seed).expect("usable settings");
            step(&mut c, S, &[list(ListScope::All, &engines)]);
            let Event::Arrival(a) = arrival(1, class, 6 * S) else {
                unreachable!()
            };
            sends(&step(
                &mut c,
                S,
                &[Event::Arrival(Arrival {
                    group: Some(9),
                    ..a
                })],
            ))[0]
                .1
        });
        taken.collect::<std::collections::BTreeSet<u32>>()
    };
    let (queries, loads) = (engines_used(0), engines_used(1));
    assert!(
        queries.len() <= 8,
        "homes are a part of the engines: {queries:?}"
    );
    assert!(queries.is_disjoint(&loads), "{queries:?} {loads:?}");
}

#[test]
fn all_gateways_together_keep_and_use_the_slow_start_budget() {
    let gateways = 60;
    let mut fleet: Vec<Controller> = (0..gateways)
        .map(|i| Controller::new(many(gateways, i), u64::from(i)).expect("usable settings"))
        .collect();
    let mut cold = entry(1, 0);
    cold.ready_at = 20 * S;
    let mut times = Vec::new();
    let mut open: Vec<Vec<Event>> =
        vec![vec![Event::EndpointList(ListScope::All, vec![cold])]; fleet.len()];
    for tick in 0..300u64 {
        let now = 20 * S + tick * 20 * MS;
        for (c, events) in fleet.iter_mut().zip(&mut open) {
            events.push(arrival(tick, 0, now + 4 * S));
            let sent = sends(&step(c, now, events));
            *events = sent
                .iter()
                .map(|(id, e)| outcome(*id, 0, *e, AttemptStatus::Rejected))
                .collect();
            times.extend(sent.iter().map(|_| now));
        }
    }
    // A query counts as 0.5 s of work before any is taught; the engine bears 3 × 0.3 × 4 cores × 1 s.
    let window =
        |t: &Micros| times.iter().filter(|u| **u >= *t && **u < *t + S).count() as f64 * 0.5;
    let most = times.iter().map(window).fold(0.0, f64::max);
    assert!(most <= 3.6, "{most} s of work in some second");
    assert!(
        times.len() >= 6,
        "it is not left idle: {} sends in 6 s",
        times.len()
    );
}

#[test]
fn a_heavy_class_gets_turns_at_warming_engines_within_the_slow_start_budget() {
    let gateways = 60;
    let mut heavy = class(Idempotency::Idempotent);
    heavy.deadline = 12 * S;
    let cfg = |index| Settings {
        gateways,
        index,
        ..settings(vec![class(Idempotency::Idempotent), heavy.clone()])
    };
    let mut fleet: Vec<Controller> = (0..gateways)
        .map(|i| Controller::new(cfg(i), u64::from(i)).expect("usable settings"))
        .collect();
    let cold = |engine| EndpointEntry {
        ready_at: 20 * S,
        ..entry(engine, 0)
    };
    let mut open: Vec<Vec<Event>> =
        vec![vec![Event::EndpointList(ListScope::All, vec![cold(1), cold(2)])]; fleet.len()];
    // Engine, gateway, time, work: a tenth of a class's deadline, before the first answer.
    let mut sent: Vec<(u32, usize, Micros, f64)> = Vec::new();
    for tick in 0..400u64 {
        let now = 20 * S + tick * 20 * MS;
        for (at, (c, events)) in fleet.iter_mut().zip(&mut open).enumerate() {
            let class = (tick % 2) as usize;
            events.push(arrival(tick, class, now + 4 * S));
            let out = sends(&step(c, now, events));
            sent.extend(
                out.iter()
                    .map(|(id, e)| (*e, at, now, if id % 2 == 0 { 0.5 } else { 1.2 })),
            );
            *events = out
                .iter()
                .map(|(id, e)| outcome(*id, 0, *e, AttemptStatus::Rejected))
                .collect();
        }
    }
    for engine in [1, 2] {
        let there: Vec<_> = sent.iter().filter(|s| s.0 == engine).collect();
        assert!(
            there.iter().any(|s| s.3 > 1.0),
            "engine {engine} gets none of the heavy class"
        );
        let window = |t: Micros| {
            there
                .iter()
                .filter(|s| (t..t + S).contains(&s.2))
                .map(|s| s.3)
                .sum::<f64>()
        };
        // It bears 3 × 0.3 × 4 cores × 1 s.
        let most = there.iter().map(|s| window(s.2)).fold(0.0, f64::max);
        assert!(
            most <= 3.6,
            "{most} s of work in some second at engine {engine}"
        );
    }
    let first = |engine| sent.iter().find(|s| s.0 == engine).map(|s| s.1);
    assert_ne!(
        first(1),
        first(2),
        "engines that start together are opened by different gateways"
    );
}

#[test]
fn a_gateway_uses_its_slow_start_share_before_warm_engines() {
    let mut c = controller(settings(vec![class(Idempotency::Idempotent)]));
    let cold = EndpointEntry {
        ready_at: 20 * S,
        ..entry(2, 0)
    };
    step(
        &mut c,
        20 * S,
        &[Event::EndpointList(ListScope::All, vec![entry(1, 0), cold])],
    );
    let events: Vec<Event> = (0..5).map(|id| arrival(id, 0, 25 * S)).collect();
    let taken: Vec<u32> = sends(&step(&mut c, 20 * S, &events))
        .iter()
        .map(|s| s.1)
        .collect();
    // Queries of 0.5 s, of which it is surely able to bear half of 3.6 s in a second.
    assert_eq!(taken, [2, 2, 2, 1, 1]);
}

#[test]
fn health_checks_get_rarer_as_their_cost_grows() {
    let probes = |price: f64| {
        let mut cfg = many(3, 0);
        (cfg.limits.health_checks, cfg.health_check_cost) = (true, price);
        let mut c = controller(cfg);
        step(&mut c, S, &[list(ListScope::All, &[1, 2])]);
        let mut seen = (0, 0);
        for id in 0..160u64 {
            let now = S + id * 100 * MS;
            let out = step(&mut c, now, &[arrival(id, 0, now + S)]);
            seen.0 += out
                .iter()
                .filter(|a| matches!(a, Action::HealthCheck(_)))
                .count();
            let sent = sends(&out);
            seen.1 += sent.len();
            let back = |(id, e): &(u64, u32)| {
                reported(outcome(*id, 0, *e, AttemptStatus::Succeeded), 50 * MS, 1.0)
            };
            step(
                &mut c,
                now + 50 * MS,
                &sent.iter().map(back).collect::<Vec<_>>(),
            );
        }
        seen
    };
    assert_eq!((probes(0.0), probes(0.01)), ((160, 160), (160, 160)));
    assert_eq!((probes(0.08), probes(0.16)), ((20, 160), (10, 160)));
    for mad in [f64::NAN, f64::INFINITY, -1.0] {
        let cfg = Settings {
            health_check_cost: mad,
            ..many(3, 0)
        };
        assert!(Controller::new(cfg, 1).is_err(), "{mad}");
    }
    assert!(probes(1e300).0 <= 1, "and no sum overflows");
}

#[test]
fn a_stalled_gateway_ejects_no_engine() {
    let mut c = controller(many(4, 0));
    let mut out = step(
        &mut c,
        S,
        &[
            list(ListScope::All, &[1, 2]),
            arrival(1, 0, 60 * S),
            arrival(2, 0, 60 * S),
        ],
    );
    for tick in 1..20u64 {
        out.extend(step(&mut c, S + tick * 20 * MS, &[]));
    }
    assert_eq!(sends(&out).len(), 2, "a query at each");
    // It stands still for three seconds, far past four runs, and finds its timer and a new request.
    let out = step(
        &mut c,
        4 * S + 400 * MS,
        &[Event::Wakeup, arrival(3, 0, 60 * S), arrival(4, 0, 60 * S)],
    );
    let mut taken: Vec<u32> = sends(&out).iter().map(|s| s.1).collect();
    taken.sort_unstable();
    assert_eq!(taken, [1, 2], "both engines stay open");
}

#[test]
fn a_failing_engine_counts_as_full_whatever_it_reports() {
    let mut c = controller(many(100, 0));
    step(&mut c, S, &[list(ListScope::All, &[1, 2])]);
    let sent = sends(&step(&mut c, S, &[arrival(1, 0, 9 * S)]));
    let bad = sent[0].1;
    let out = step(
        &mut c,
        S + 10 * MS,
        &[reported(
            outcome(1, 0, bad, AttemptStatus::ErrorResponse),
            5 * MS,
            0.0,
        )],
    );
    assert_eq!(sends(&out), [(1, 3 - bad)], "the next try goes elsewhere");
    let events: Vec<Event> = (2..5).map(|id| arrival(id, 0, 9 * S)).collect();
    assert!(
        sends(&step(&mut c, S + 20 * MS, &events))
            .iter()
            .all(|s| s.1 != bad)
    );
}

#[test]
fn an_unsent_attempt_does_not_change_the_engines_load() {
    let after = |ending| {
        let mut c = controller(many(100, 0));
        let sent = sends(&step(
            &mut c,
            S,
            &[list(ListScope::All, &[1]), arrival(1, 0, 9 * S)],
        ));
        step(
            &mut c,
            S + 50 * MS,
            &[
                Event::ClientDisconnected(RequestId(1)),
                outcome(1, 0, sent[0].1, ending),
            ],
        );
        sends(&step(&mut c, S + 100 * MS, &[arrival(2, 0, 9 * S)]))
    };
    assert_eq!(
        after(AttemptStatus::ConnectionReset),
        [],
        "one that fails looks full"
    );
    assert_eq!(
        after(AttemptStatus::NotSent),
        [(2, 1)],
        "its client left before anything was sent"
    );
}

#[test]
fn invalid_load_reports_and_clock_jumps_do_no_harm() {
    let mut cfg = many(3, 77);
    cfg.cores = vec![];
    cfg.limits.health_checks = true;
    let mut c = controller(cfg);
    step(&mut c, S, &[list(ListScope::All, &[1, 2])]);
    for v in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -3.0, f64::MAX] {
        let report = LoadReport {
            in_flight: Some(v),
            memory: Some(v),
            cpu: Some(v),
        };
        step(
            &mut c,
            S,
            &[
                Event::HealthChecked(EngineId(1), Some(report)),
                Event::HealthChecked(EngineId(99), Some(report)),
            ],
        );
    }
    step(&mut c, S, &[Event::HealthChecked(EngineId(1), None)]);
    let sent = sends(&step(
        &mut c,
        S,
        &[arrival(7, 0, 6 * S), arrival(8, 0, 6 * S)],
    ));
    let back = |(id, e): &(u64, u32)| {
        reported(
            outcome(*id, 0, *e, AttemptStatus::Succeeded),
            50 * MS,
            f64::MAX,
        )
    };
    step(
        &mut c,
        S + 50 * MS,
        &sent.iter().map(back).collect::<Vec<_>>(),
    );
    let events: Vec<Event> = (20..40).map(|id| arrival(id, 0, 9 * S)).collect();
    let sent = sends(&step(&mut c, S + 60 * MS, &events));
    assert!(
        (3..=4).contains(&sent.len()),
        "the window is what it was, thrice an even part: {sent:?}"
    );
    let back: Vec<Event> = sent
        .iter()
        .map(|(id, e)| outcome(*id, 0, *e, AttemptStatus::TimedOut))
        .collect();
    step(&mut c, 9 * S, &back);
    let out = step(&mut c, 600 * S, &[arrival(1, 0, 605 * S)]);
    assert_eq!(
        sends(&out).len(),
        1,
        "ten minutes later all is forgotten: {out:?}"
    );
}
