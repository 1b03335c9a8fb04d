//! Lottery scheduling, the PI loop, concurrency limits and outlier detection.

mod common;
use common::*;
use hoptiller_policy::*;

/// Returns the settled mean waits of two classes on one engine, each with 20 clients that send a new request after each
/// response.
fn mean_waits(objectives: [Micros; 2]) -> [f64; 2] {
    let mut classes = vec![
        class(Idempotency::Idempotent),
        class(Idempotency::Idempotent),
    ];
    for (class, objective) in classes.iter_mut().zip(objectives) {
        (
            class.latency_objective,
            class.deadline,
            class.objective_stretch,
            class.late_weight_ratio,
        ) = (objective, 60 * S, 1.0, 1.0);
    }
    let mut controller = Controller::new(default_settings(classes), 3).expect("usable settings");
    let mut arrivals: Vec<(Micros, usize)> = (0..40).map(|id| (S, id % 2)).collect();
    let mut events = vec![endpoint_list(ListScope::All, &[1])];
    events.extend((0..40).map(|id| arrival(id, id as usize % 2, 61 * S)));
    let mut sums = [(0.0, 0.0); 2];
    let mut running: Vec<(Micros, u64, u32)> = Vec::new();
    for tick in 0..40_000u64 {
        let now = S + tick * 5 * MS;
        running.retain(|(end, id, engine)| {
            let ended = *end <= now;
            if ended {
                events.push(outcome(*id, 0, *engine, AttemptStatus::Succeeded));
                let class = arrivals[*id as usize].1;
                events.push(arrival(arrivals.len() as u64, class, now + 60 * S));
                arrivals.push((now, class));
            }
            !ended
        });
        for (id, engine) in sends(&step(&mut controller, now, &events)) {
            running.push((now + 300 * MS, id, engine));
            let (arrived_at, class) = arrivals[id as usize];
            if tick > 20_000 {
                sums[class].0 += (now - arrived_at) as f64;
                sums[class].1 += 1.0;
            }
        }
        events.clear();
    }
    sums.map(|(sum, count)| sum / count)
}

#[test]
fn the_pi_loop_converges_on_the_ratio_of_the_latency_objectives() {
    let [first, second] = mean_waits([2 * S, 6 * S]);
    assert!(
        (0.23..0.45).contains(&(first / second)),
        "mean waits {first} and {second}, expected 1 to 3"
    );
    let [first, second] = mean_waits([6 * S, 2 * S]);
    assert!(
        (2.2..4.2).contains(&(first / second)),
        "mean waits {first} and {second}, expected 3 to 1"
    );
}

#[test]
fn slots_of_a_class_with_an_empty_queue_go_to_other_classes() {
    let mut controller = new_controller(default_settings(vec![
        class(Idempotency::Idempotent),
        class(Idempotency::Idempotent),
    ]));
    let actions = step(
        &mut controller,
        S,
        &[
            endpoint_list(ListScope::All, &[1]),
            arrival(1, 1, 6 * S),
            arrival(2, 1, 6 * S),
        ],
    );
    assert_eq!(sends(&actions).len(), 2);
}

#[test]
fn attempts_in_flight_are_limited_per_engine() {
    let mut controller = new_controller(default_settings(vec![class(Idempotency::Idempotent)]));
    let mut events = vec![endpoint_list(ListScope::All, &[1])];
    events.extend((0..50).map(|id| arrival(id, 0, 6 * S)));
    // One gateway, four cores, two threads per core.
    assert_eq!(sends(&step(&mut controller, S, &events)).len(), 8);
}

#[test]
fn load_of_other_gateways_lowers_the_concurrency_limit() {
    let mut controller = new_controller(default_settings(vec![class(Idempotency::Idempotent)]));
    step(
        &mut controller,
        S,
        &[endpoint_list(ListScope::All, &[1]), arrival(0, 0, 6 * S)],
    );
    let report = Some(LoadReport {
        in_flight: Some(4.0),
        ..LoadReport::default()
    });
    let mut events = vec![outcome_with(
        outcome(0, 0, 1, AttemptStatus::Succeeded),
        |o| o.report = report,
    )];
    events.extend((1..50).map(|id| arrival(id, 0, 6 * S)));
    assert_eq!(
        sends(&step(&mut controller, S + 100 * MS, &events)).len(),
        5,
        "8 threads minus 3 of other gateways"
    );
}

#[test]
fn a_failing_engine_is_ejected_and_gets_trial_requests() {
    let mut controller = new_controller(default_settings(vec![class(Idempotency::Idempotent)]));
    step(
        &mut controller,
        S,
        &[endpoint_list(ListScope::All, &[1, 2, 3])],
    );
    let (mut to_failing, mut id, mut last_attempt) = ([0, 0], 0, (0, 0));
    for tick in 0..2_500u64 {
        let now = S + tick * 20 * MS;
        let mut events = vec![arrival(id, 0, now + 5 * S)];
        id += 1;
        for _ in 0..3 {
            let sent = sends(&step(&mut controller, now, &events));
            to_failing[usize::from(tick > 100)] += sent.iter().filter(|s| s.1 == 1).count();
            events = sent
                .iter()
                .map(|(request, engine)| {
                    outcome(
                        *request,
                        next_attempt_number(*request, &mut last_attempt),
                        *engine,
                        if *engine == 1 {
                            AttemptStatus::ErrorResponse
                        } else {
                            AttemptStatus::Succeeded
                        },
                    )
                })
                .collect();
        }
    }
    assert!(
        to_failing[0] > 0 && to_failing[1] >= 1,
        "no trial requests: {to_failing:?}"
    );
    assert!(
        to_failing[1] < 20,
        "not ejected, a third of the sends without ejection: {to_failing:?}"
    );
}

#[test]
fn a_silent_engine_is_ejected() {
    let mut controller = new_controller(default_settings(vec![class(Idempotency::Idempotent)]));
    step(
        &mut controller,
        S,
        &[endpoint_list(ListScope::All, &[1, 2, 3])],
    );
    let (mut to_silent, mut id) = (0, 0);
    for tick in 0..300u64 {
        let now = S + tick * 20 * MS;
        let sent = sends(&step(&mut controller, now, &[arrival(id, 0, now + 60 * S)]));
        id += 1;
        let served: Vec<Event> = sent
            .iter()
            .filter(|s| s.1 != 1)
            .map(|(id, engine)| outcome(*id, 0, *engine, AttemptStatus::Succeeded))
            .collect();
        step(&mut controller, now + MS, &served);
        to_silent += sent.iter().filter(|s| s.1 == 1 && tick > 150).count();
    }
    assert!(to_silent <= 1, "more than one trial request: {to_silent}");
}

#[test]
fn a_fault_of_all_engines_ejects_at_most_half() {
    let mut controller = new_controller(default_settings(vec![class(Idempotency::Idempotent)]));
    step(
        &mut controller,
        S,
        &[endpoint_list(ListScope::All, &[1, 2, 3, 4])],
    );
    let (mut late_sends, mut last_attempt) = (0, (0, 0));
    for tick in 0..200u64 {
        let now = S + tick * 20 * MS;
        let mut events = vec![arrival(tick, 0, now + 5 * S)];
        for _ in 0..4 {
            let sent = sends(&step(&mut controller, now, &events));
            late_sends += usize::from(tick > 100 && !sent.is_empty());
            events = sent
                .iter()
                .map(|(request, engine)| {
                    outcome(
                        *request,
                        next_attempt_number(*request, &mut last_attempt),
                        *engine,
                        AttemptStatus::ErrorResponse,
                    )
                })
                .collect();
        }
    }
    assert!(
        late_sends > 90,
        "too many engines ejected: {late_sends} sends"
    );
}

/// Returns the number of the next attempt of a request, from 0. `last_attempt` holds the latest request and the number
/// of its next attempt.
fn next_attempt_number(request: u64, last_attempt: &mut (u64, u32)) -> u32 {
    let number = if last_attempt.0 == request {
        last_attempt.1
    } else {
        0
    };
    *last_attempt = (request, number + 1);
    number
}

#[test]
fn an_engine_short_of_memory_gets_the_minimum_concurrency() {
    let mut controller = new_controller(default_settings(vec![class(Idempotency::Idempotent)]));
    step(
        &mut controller,
        S,
        &[endpoint_list(ListScope::All, &[1]), arrival(0, 0, 6 * S)],
    );
    let report = Some(LoadReport {
        in_flight: Some(1.0),
        memory: Some(1.5),
        cpu: None,
    });
    let reported = outcome_with(outcome(0, 0, 1, AttemptStatus::Succeeded), |o| {
        o.report = report
    });
    let mut events = vec![reported];
    events.extend((1..50).map(|id| arrival(id, 0, 6 * S)));
    // The minimum is half the fair share of 8 threads.
    assert_eq!(
        sends(&step(&mut controller, S + 100 * MS, &events)).len(),
        4
    );
}

#[test]
fn classes_are_drawn_with_equal_odds_at_first() {
    let mut sends_by_class = [0, 0];
    for seed in 0..400 {
        let settings = default_settings(vec![
            class(Idempotency::Idempotent),
            class(Idempotency::Idempotent),
        ]);
        let mut controller = Controller::new(settings, seed).expect("usable settings");
        let mut events = vec![endpoint_list(ListScope::All, &[1])];
        events.extend((0..40).map(|id| arrival(id, id as usize % 2, 6 * S)));
        for (id, _) in sends(&step(&mut controller, S, &events)) {
            sends_by_class[id as usize % 2] += 1;
        }
    }
    assert_eq!(sends_by_class.iter().sum::<i32>(), 400 * 8);
    assert!(
        (1500..1700).contains(&sends_by_class[0]),
        "{sends_by_class:?}"
    );
}

/// Returns the number of queries in flight in each tenth of a second on one engine, with `clients` requests open at any
/// time. Run times increase tenfold after 60 s.
fn queries_in_flight(cores: f64, clients: u64) -> Vec<usize> {
    let mut relaxed = class(Idempotency::Idempotent);
    (relaxed.latency_objective, relaxed.deadline) = (500 * S, 900 * S);
    let mut controller = new_controller(Settings {
        cores: vec![cores],
        ..default_settings(vec![relaxed])
    });
    let mut events = vec![endpoint_list(ListScope::All, &[1])];
    events.extend((0..clients).map(|id| arrival(id, 0, 900 * S)));
    let (mut next_request, mut running) = (clients, Vec::new());
    let mut in_flight = Vec::new();
    for tick in 0..1_200u64 {
        let now = S + tick * 100 * MS;
        let run_time = if tick < 600 { 100 * MS } else { S };
        let sent = sends(&step(&mut controller, now, &events));
        running.extend(sent.iter().map(|(id, _)| (now + run_time, *id)));
        in_flight.push(running.len());
        events.clear();
        running.retain(|(end, id)| {
            let ended = *end <= now + 100 * MS;
            if ended {
                let served = outcome(*id, 0, 1, AttemptStatus::Succeeded);
                events.push(outcome_with(served, |o| o.elapsed = run_time));
                events.push(arrival(next_request, 0, 900 * S));
                next_request += 1;
            }
            !ended
        });
    }
    in_flight
}

#[test]
fn the_concurrency_limit_grows_while_objectives_are_met_and_backs_off_on_slowdown() {
    let in_flight = queries_in_flight(4.0, 60);
    let max_in = |ticks: std::ops::Range<usize>| in_flight[ticks].iter().copied().max();
    assert!(
        max_in(0..10) <= Some(12),
        "more than one and a half fair shares: {:?}",
        max_in(0..10)
    );
    assert_eq!(max_in(550..600), Some(24), "three fair shares");
    assert_eq!(max_in(1_150..1_200), Some(8), "one fair share");
}

#[test]
fn the_concurrency_limit_grows_in_proportion_to_the_fair_share() {
    // The fair share is 80 threads, and the limit grows by 24 threads in each period of 2 s.
    let in_flight = queries_in_flight(40.0, 400);
    assert!(in_flight[70] >= 80 + 2 * 24, "{}", in_flight[70]);
}

#[test]
fn a_request_that_fails_on_every_engine_ejects_none() {
    let mut controller = new_controller(default_settings(vec![
        class(Idempotency::Idempotent),
        class(Idempotency::NotIdempotent),
    ]));
    step(
        &mut controller,
        S,
        &[endpoint_list(ListScope::All, &[1, 2])],
    );
    let (mut now, mut last_engine) = (S, 0);
    for id in 0..6 {
        now += 2 * MS;
        let mut sent = sends(&step(&mut controller, now, &[arrival(id, 0, now + 5 * S)]));
        for attempt in 0..3 {
            last_engine = sent
                .first()
                .expect("the request is sent again while it has attempts left")
                .1;
            sent = sends(&step(
                &mut controller,
                now,
                &[outcome(
                    id,
                    attempt,
                    last_engine,
                    AttemptStatus::ErrorResponse,
                )],
            ));
        }
    }
    // Ejected engines get no requests that are not idempotent, so two such requests on two engines show that neither is
    // ejected.
    let first = sends(&step(
        &mut controller,
        now + MS,
        &[arrival(10, 1, now + 5 * S)],
    ))[0]
        .1;
    let second = sends(&step(
        &mut controller,
        now + MS,
        &[arrival(11, 1, now + 5 * S)],
    ))[0]
        .1;
    assert_ne!(first, second, "last engine tried: {last_engine}");
}
