//! Behaviour of gateways that share engines with many others, each of which sees only a part of the load.

mod common;
use common::*;
use hoptiller_policy::*;

/// Returns settings for one of many gateways. With 100 of them, the equal share of an engine is less than one query.
fn gateway_settings(gateways: u32, index: u32) -> Settings {
    Settings {
        gateways,
        index,
        ..default_settings(vec![class(Idempotency::Idempotent)])
    }
}

fn with_report(outcome: Event, elapsed: Micros, in_flight: f64) -> Event {
    let report = Some(LoadReport {
        in_flight: Some(in_flight),
        ..LoadReport::default()
    });
    outcome_with(outcome, |o| (o.elapsed, o.report) = (elapsed, report))
}

/// Returns the success of each send after 50 ms, with a report of `in_flight` queries.
fn successes(sent: &[(u64, u32)], in_flight: f64) -> Vec<Event> {
    let success = |(id, engine): &(u64, u32)| {
        let success = outcome(*id, 0, *engine, AttemptStatus::Succeeded);
        with_report(success, 50 * MS, in_flight)
    };
    sent.iter().map(success).collect()
}

/// Serves 40 bursts of ten requests. Every engine reports `in_flight` queries.
fn serve_bursts(controller: &mut Controller, in_flight: f64) {
    let mut sent = Vec::new();
    for burst in 0..40 {
        let now = S + burst * 100 * MS;
        let arrivals: Vec<Event> = (0..10)
            .map(|n| arrival(1000 + burst * 10 + n, 0, now + S))
            .collect();
        sent.extend(sends(&step(controller, now, &arrivals)));
        let outcomes = successes(&sent, in_flight);
        sent = sends(&step(controller, now + 50 * MS, &outcomes));
    }
    while !sent.is_empty() {
        sent = sends(&step(controller, 5 * S, &successes(&sent, in_flight)));
    }
}

#[test]
fn the_congestion_window_shrinks_under_load_and_grows_with_free_capacity() {
    let engines = endpoint_list(ListScope::All, &(1..30).collect::<Vec<_>>());
    // Before any response, the window is three equal shares of 29 engines with 8 threads each.
    let mut controller = new_controller(gateway_settings(100, 0));
    let events: Vec<Event> = (0..100).map(|id| arrival(id, 0, 20 * S)).collect();
    step(&mut controller, S, std::slice::from_ref(&engines));
    assert_eq!(
        sends(&step(&mut controller, S, &events)).len(),
        6,
        "three equal shares of 2.32 queries"
    );
    let sends_after = |in_flight| {
        let mut controller = new_controller(gateway_settings(100, 0));
        step(&mut controller, S, std::slice::from_ref(&engines));
        serve_bursts(&mut controller, in_flight);
        let events: Vec<Event> = (500..600).map(|id| arrival(id, 0, 20 * S)).collect();
        sends(&step(&mut controller, 6 * S, &events)).len()
    };
    // An engine with 4 cores is full at 8 threads.
    let with_free_capacity = sends_after(2.0);
    assert!(with_free_capacity > 10, "{with_free_capacity} sends");
    let under_overload = sends_after(16.0);
    assert!(under_overload <= 2, "{under_overload} sends");
}

#[test]
fn a_full_engine_gets_no_requests_until_a_health_check_reports_capacity() {
    let mut settings = gateway_settings(100, 0);
    settings.limits.health_checks = true;
    let mut controller = new_controller(settings);
    step(&mut controller, S, &[endpoint_list(ListScope::All, &[1])]);
    let sent = sends(&step(&mut controller, S, &[arrival(1, 0, 9 * S)]));
    step(&mut controller, S + 50 * MS, &successes(&sent, 40.0));
    let actions = step(&mut controller, S + 300 * MS, &[arrival(2, 0, 9 * S)]);
    assert_eq!(sends(&actions), []);
    assert!(
        actions.contains(&Action::HealthCheck(EngineId(1))),
        "no health check while a request waits: {actions:?}"
    );
    let empty = LoadReport {
        in_flight: Some(0.0),
        ..LoadReport::default()
    };
    let actions = step(
        &mut controller,
        S + 320 * MS,
        &[Event::HealthChecked(EngineId(1), Some(empty))],
    );
    assert_eq!(sends(&actions), [(2, 1)]);
}

#[test]
fn the_least_loaded_engine_wins_ties() {
    for seed in 0..8 {
        let mut controller =
            Controller::new(gateway_settings(100, 0), seed).expect("usable settings");
        step(
            &mut controller,
            S,
            &[endpoint_list(ListScope::All, &[1, 2, 3, 4])],
        );
        for engine in 1..=4 {
            let in_flight = Some(if engine == 3 { 1.0 } else { 7.0 });
            let report = LoadReport {
                in_flight,
                ..LoadReport::default()
            };
            step(
                &mut controller,
                S + 10 * MS,
                &[Event::HealthChecked(EngineId(engine), Some(report))],
            );
        }
        assert_eq!(
            sends(&step(&mut controller, S + 20 * MS, &[arrival(1, 0, 6 * S)])),
            [(1, 3)]
        );
    }
}

#[test]
fn queries_of_a_table_group_share_home_engines_and_load_statements_avoid_them() {
    let mut load_statement = class(Idempotency::Idempotent);
    load_statement.locks_group = true;
    let settings = Settings {
        gateways: 100,
        ..default_settings(vec![class(Idempotency::Idempotent), load_statement])
    };
    let engines: Vec<u32> = (1..=16).collect();
    let engines_used = |class: usize| {
        let selected = (0..20).map(|seed| {
            let mut controller = Controller::new(settings.clone(), seed).expect("usable settings");
            step(
                &mut controller,
                S,
                &[endpoint_list(ListScope::All, &engines)],
            );
            let event = arrival_with(arrival(1, class, 6 * S), |arrival| arrival.group = Some(9));
            sends(&step(&mut controller, S, &[event]))[0].1
        });
        selected.collect::<std::collections::BTreeSet<u32>>()
    };
    let (by_queries, by_loads) = (engines_used(0), engines_used(1));
    assert!(
        by_queries.len() <= 8,
        "too many home engines: {by_queries:?}"
    );
    assert!(
        by_queries.is_disjoint(&by_loads),
        "{by_queries:?} {by_loads:?}"
    );
}

#[test]
fn all_gateways_together_keep_and_use_the_slow_start_budget() {
    let gateways = 60;
    let mut fleet: Vec<Controller> = (0..gateways)
        .map(|index| {
            let settings = gateway_settings(gateways, index);
            Controller::new(settings, u64::from(index)).expect("usable settings")
        })
        .collect();
    let mut cold = entry(1, 0);
    cold.ready_at = 20 * S;
    let mut times = Vec::new();
    let mut open: Vec<Vec<Event>> =
        vec![vec![Event::EndpointList(ListScope::All, vec![cold])]; fleet.len()];
    for tick in 0..300u64 {
        let now = 20 * S + tick * 20 * MS;
        for (controller, events) in fleet.iter_mut().zip(&mut open) {
            events.push(arrival(tick, 0, now + 4 * S));
            let sent = sends(&step(controller, now, events));
            *events = sent
                .iter()
                .map(|(id, engine)| outcome(*id, 0, *engine, AttemptStatus::Rejected))
                .collect();
            times.extend(sent.iter().map(|_| now));
        }
    }
    // Without responses a query counts as 0.5 s of work. The engine tolerates 3 × 0.3 × 4 cores × 1 s.
    let work_from = |start: &Micros| {
        let is_in_window = |time: &&Micros| (*start..*start + S).contains(*time);
        times.iter().filter(is_in_window).count() as f64 * 0.5
    };
    let max_work = times.iter().map(work_from).fold(0.0, f64::max);
    assert!(max_work <= 3.6, "{max_work} s of work within a second");
    assert!(
        times.len() >= 6,
        "the engine is left idle: {} sends in 6 s",
        times.len()
    );
}

#[test]
fn a_heavy_class_gets_turns_at_warming_engines_within_the_slow_start_budget() {
    let gateways = 60;
    let mut heavy = class(Idempotency::Idempotent);
    heavy.deadline = 12 * S;
    let settings = |index| Settings {
        gateways,
        index,
        ..default_settings(vec![class(Idempotency::Idempotent), heavy.clone()])
    };
    let mut fleet: Vec<Controller> = (0..gateways)
        .map(|index| Controller::new(settings(index), u64::from(index)).expect("usable settings"))
        .collect();
    let cold = |engine| EndpointEntry {
        ready_at: 20 * S,
        ..entry(engine, 0)
    };
    let mut open: Vec<Vec<Event>> =
        vec![vec![Event::EndpointList(ListScope::All, vec![cold(1), cold(2)])]; fleet.len()];
    // Engine, gateway, time and work of each send. Without responses the work is a tenth of the class's deadline.
    let mut sent: Vec<(u32, usize, Micros, f64)> = Vec::new();
    for tick in 0..400u64 {
        let now = 20 * S + tick * 20 * MS;
        for (gateway, (controller, events)) in fleet.iter_mut().zip(&mut open).enumerate() {
            let class = (tick % 2) as usize;
            events.push(arrival(tick, class, now + 4 * S));
            let new = sends(&step(controller, now, events));
            sent.extend(new.iter().map(|(id, engine)| {
                let work = if id % 2 == 0 { 0.5 } else { 1.2 };
                (*engine, gateway, now, work)
            }));
            *events = new
                .iter()
                .map(|(id, engine)| outcome(*id, 0, *engine, AttemptStatus::Rejected))
                .collect();
        }
    }
    for engine in [1, 2] {
        let to_engine: Vec<_> = sent.iter().filter(|send| send.0 == engine).collect();
        assert!(
            to_engine.iter().any(|send| send.3 > 1.0),
            "no request of the heavy class at engine {engine}"
        );
        let work_from = |start: Micros| {
            to_engine
                .iter()
                .filter(|send| (start..start + S).contains(&send.2))
                .map(|send| send.3)
                .sum::<f64>()
        };
        // The engine tolerates 3 × 0.3 × 4 cores × 1 s.
        let work = to_engine.iter().map(|send| work_from(send.2));
        let max_work = work.fold(0.0, f64::max);
        assert!(
            max_work <= 3.6,
            "{max_work} s of work within a second at engine {engine}"
        );
    }
    let first_gateway = |engine| sent.iter().find(|s| s.0 == engine).map(|s| s.1);
    assert_ne!(
        first_gateway(1),
        first_gateway(2),
        "the same gateway has the first turn at both engines"
    );
}

#[test]
fn a_gateway_uses_its_slow_start_share_before_warm_engines() {
    let mut controller = new_controller(default_settings(vec![class(Idempotency::Idempotent)]));
    let cold = EndpointEntry {
        ready_at: 20 * S,
        ..entry(2, 0)
    };
    step(
        &mut controller,
        20 * S,
        &[Event::EndpointList(ListScope::All, vec![entry(1, 0), cold])],
    );
    let events: Vec<Event> = (0..5).map(|id| arrival(id, 0, 25 * S)).collect();
    let selected: Vec<u32> = sends(&step(&mut controller, 20 * S, &events))
        .iter()
        .map(|s| s.1)
        .collect();
    // A query counts as 0.5 s of work, and the budget is half of the tolerated 3.6 s.
    assert_eq!(selected, [2, 2, 2, 1, 1]);
}

#[test]
fn health_checks_get_rarer_as_their_cost_grows() {
    let checks_and_sends = |cost: f64| {
        let mut settings = gateway_settings(3, 0);
        (settings.limits.health_checks, settings.health_check_cost) = (true, cost);
        let mut controller = new_controller(settings);
        step(
            &mut controller,
            S,
            &[endpoint_list(ListScope::All, &[1, 2])],
        );
        let mut counts = (0, 0);
        for id in 0..160u64 {
            let now = S + id * 100 * MS;
            let actions = step(&mut controller, now, &[arrival(id, 0, now + S)]);
            counts.0 += actions
                .iter()
                .filter(|action| matches!(action, Action::HealthCheck(_)))
                .count();
            let sent = sends(&actions);
            counts.1 += sent.len();
            step(&mut controller, now + 50 * MS, &successes(&sent, 1.0));
        }
        counts
    };
    assert_eq!(checks_and_sends(0.0), (160, 160));
    assert_eq!(checks_and_sends(0.01), (160, 160));
    assert_eq!(checks_and_sends(0.08), (20, 160));
    assert_eq!(checks_and_sends(0.16), (10, 160));
    for invalid in [f64::NAN, f64::INFINITY, -1.0] {
        let settings = Settings {
            health_check_cost: invalid,
            ..gateway_settings(3, 0)
        };
        assert!(Controller::new(settings, 1).is_err(), "{invalid}");
    }
    assert!(checks_and_sends(1e300).0 <= 1, "an extreme cost overflows");
}

#[test]
fn a_stalled_gateway_ejects_no_engine() {
    let mut controller = new_controller(gateway_settings(4, 0));
    let mut actions = step(
        &mut controller,
        S,
        &[
            endpoint_list(ListScope::All, &[1, 2]),
            arrival(1, 0, 60 * S),
            arrival(2, 0, 60 * S),
        ],
    );
    for tick in 1..20u64 {
        actions.extend(step(&mut controller, S + tick * 20 * MS, &[]));
    }
    assert_eq!(sends(&actions).len(), 2, "one query at each engine");
    // The gateway stalls for 3 s, far longer than four mean run times, and then handles its timer and new requests.
    let actions = step(
        &mut controller,
        4 * S + 400 * MS,
        &[Event::Wakeup, arrival(3, 0, 60 * S), arrival(4, 0, 60 * S)],
    );
    let mut selected: Vec<u32> = sends(&actions).iter().map(|s| s.1).collect();
    selected.sort_unstable();
    assert_eq!(selected, [1, 2], "both engines stay eligible");
}

#[test]
fn a_failing_engine_counts_as_full_whatever_it_reports() {
    let mut controller = new_controller(gateway_settings(100, 0));
    step(
        &mut controller,
        S,
        &[endpoint_list(ListScope::All, &[1, 2])],
    );
    let sent = sends(&step(&mut controller, S, &[arrival(1, 0, 9 * S)]));
    let failing = sent[0].1;
    let actions = step(
        &mut controller,
        S + 10 * MS,
        &[with_report(
            outcome(1, 0, failing, AttemptStatus::ErrorResponse),
            5 * MS,
            0.0,
        )],
    );
    assert_eq!(
        sends(&actions),
        [(1, 3 - failing)],
        "retried on the other engine"
    );
    let events: Vec<Event> = (2..5).map(|id| arrival(id, 0, 9 * S)).collect();
    assert!(
        sends(&step(&mut controller, S + 20 * MS, &events))
            .iter()
            .all(|s| s.1 != failing)
    );
}

#[test]
fn an_unsent_attempt_does_not_change_the_engines_load() {
    let sends_after = |status| {
        let mut controller = new_controller(gateway_settings(100, 0));
        let sent = sends(&step(
            &mut controller,
            S,
            &[endpoint_list(ListScope::All, &[1]), arrival(1, 0, 9 * S)],
        ));
        step(
            &mut controller,
            S + 50 * MS,
            &[
                Event::ClientDisconnected(RequestId(1)),
                outcome(1, 0, sent[0].1, status),
            ],
        );
        sends(&step(
            &mut controller,
            S + 100 * MS,
            &[arrival(2, 0, 9 * S)],
        ))
    };
    assert_eq!(
        sends_after(AttemptStatus::ConnectionReset),
        [],
        "a failing engine counts as full"
    );
    assert_eq!(
        sends_after(AttemptStatus::NotSent),
        [(2, 1)],
        "the client disconnected before the attempt was sent"
    );
}

#[test]
fn invalid_load_reports_and_clock_jumps_are_tolerated() {
    let mut settings = gateway_settings(3, 77);
    settings.cores = vec![];
    settings.limits.health_checks = true;
    let mut controller = new_controller(settings);
    step(
        &mut controller,
        S,
        &[endpoint_list(ListScope::All, &[1, 2])],
    );
    for value in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -3.0, f64::MAX] {
        let report = LoadReport {
            in_flight: Some(value),
            memory: Some(value),
            cpu: Some(value),
        };
        step(
            &mut controller,
            S,
            &[
                Event::HealthChecked(EngineId(1), Some(report)),
                Event::HealthChecked(EngineId(99), Some(report)),
            ],
        );
    }
    step(
        &mut controller,
        S,
        &[Event::HealthChecked(EngineId(1), None)],
    );
    let sent = sends(&step(
        &mut controller,
        S,
        &[arrival(7, 0, 6 * S), arrival(8, 0, 6 * S)],
    ));
    step(&mut controller, S + 50 * MS, &successes(&sent, f64::MAX));
    let events: Vec<Event> = (20..40).map(|id| arrival(id, 0, 9 * S)).collect();
    let sent = sends(&step(&mut controller, S + 60 * MS, &events));
    assert!(
        (3..=4).contains(&sent.len()),
        "the window is still three equal shares: {sent:?}"
    );
    let timed_out: Vec<Event> = sent
        .iter()
        .map(|(id, engine)| outcome(*id, 0, *engine, AttemptStatus::TimedOut))
        .collect();
    step(&mut controller, 9 * S, &timed_out);
    let actions = step(&mut controller, 600 * S, &[arrival(1, 0, 605 * S)]);
    assert_eq!(
        sends(&actions).len(),
        1,
        "the engine is eligible again after ten minutes: {actions:?}"
    );
}
