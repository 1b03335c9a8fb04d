//! PI loop, lottery draw, concurrency limits and health of engines.

mod common;
use common::*;
use hoptiller_policy::*;

/// Two classes of 20 clients each, who ask again when served, on one engine; the mean waits once settled.
fn waits(objectives: [Micros; 2]) -> [f64; 2] {
    let mut classes = vec![
        class(Idempotency::Idempotent),
        class(Idempotency::Idempotent),
    ];
    for (c, objective) in classes.iter_mut().zip(objectives) {
        (
            c.latency_objective,
            c.deadline,
            c.objective_stretch,
            c.late_weight_ratio,
        ) = (objective, 60 * S, 1.0, 1.0);
    }
    let mut c = Controller::new(settings(classes), 3).expect("usable settings");
    let mut came: Vec<(Micros, usize)> = (0..40).map(|id| (S, id % 2)).collect();
    let mut events = vec![list(ListScope::All, &[1])];
    events.extend((0..40).map(|id| arrival(id, id as usize % 2, 61 * S)));
    let mut sums = [(0.0, 0.0); 2];
    let mut running: Vec<(Micros, u64, u32)> = Vec::new();
    for tick in 0..40_000u64 {
        let now = S + tick * 5 * MS;
        running.retain(|(end, id, engine)| {
            let ended = *end <= now;
            if ended {
                events.push(outcome(*id, 0, *engine, AttemptStatus::Succeeded));
                let class = came[*id as usize].1;
                events.push(arrival(came.len() as u64, class, now + 60 * S));
                came.push((now, class));
            }
            !ended
        });
        for (id, engine) in sends(&step(&mut c, now, &events)) {
            running.push((now + 300 * MS, id, engine));
            let (at, class) = came[id as usize];
            if tick > 20_000 {
                sums[class].0 += (now - at) as f64;
                sums[class].1 += 1.0;
            }
        }
        events.clear();
    }
    sums.map(|(sum, n)| sum / n)
}

#[test]
fn the_pi_loop_converges_on_the_ratio_of_the_latency_objectives() {
    let [a, b] = waits([2 * S, 6 * S]);
    assert!(
        (0.23..0.45).contains(&(a / b)),
        "waits {a} and {b}, wanted 1 to 3"
    );
    let [a, b] = waits([6 * S, 2 * S]);
    assert!(
        (2.2..4.2).contains(&(a / b)),
        "waits {a} and {b}, wanted 3 to 1"
    );
}

#[test]
fn an_empty_class_queue_yields_its_slots() {
    let mut c = controller(settings(vec![
        class(Idempotency::Idempotent),
        class(Idempotency::Idempotent),
    ]));
    let out = step(
        &mut c,
        S,
        &[
            list(ListScope::All, &[1]),
            arrival(1, 1, 6 * S),
            arrival(2, 1, 6 * S),
        ],
    );
    assert_eq!(sends(&out).len(), 2);
}

#[test]
fn attempts_in_flight_are_limited_per_engine() {
    let mut c = controller(settings(vec![class(Idempotency::Idempotent)]));
    let mut events = vec![list(ListScope::All, &[1])];
    events.extend((0..50).map(|id| arrival(id, 0, 6 * S)));
    // One gateway, four cores, two threads a core.
    assert_eq!(sends(&step(&mut c, S, &events)).len(), 8);
}

#[test]
fn load_of_other_gateways_lowers_the_concurrency_limit() {
    let mut c = controller(settings(vec![class(Idempotency::Idempotent)]));
    step(
        &mut c,
        S,
        &[list(ListScope::All, &[1]), arrival(0, 0, 6 * S)],
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
        sends(&step(&mut c, S + 100 * MS, &events)).len(),
        5,
        "8 threads less 3 of others"
    );
}

#[test]
fn a_failing_engine_is_ejected_and_gets_trial_requests() {
    let mut c = controller(settings(vec![class(Idempotency::Idempotent)]));
    step(&mut c, S, &[list(ListScope::All, &[1, 2, 3])]);
    let (mut to_bad, mut id, mut tries) = ([0, 0], 0, (0, 0));
    for tick in 0..2_500u64 {
        let now = S + tick * 20 * MS;
        let mut events = vec![arrival(id, 0, now + 5 * S)];
        id += 1;
        for _ in 0..3 {
            let out = sends(&step(&mut c, now, &events));
            to_bad[usize::from(tick > 100)] += out.iter().filter(|s| s.1 == 1).count();
            events = out
                .iter()
                .map(|(r, e)| {
                    outcome(
                        *r,
                        next_attempt_number(*r, &mut tries),
                        *e,
                        if *e == 1 {
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
        to_bad[0] > 0 && to_bad[1] >= 1,
        "it is tried again: {to_bad:?}"
    );
    assert!(
        to_bad[1] < 20,
        "without health it would get a third: {to_bad:?}"
    );
}

#[test]
fn a_silent_engine_is_ejected() {
    let mut c = controller(settings(vec![class(Idempotency::Idempotent)]));
    step(&mut c, S, &[list(ListScope::All, &[1, 2, 3])]);
    let (mut to_silent, mut id) = (0, 0);
    for tick in 0..300u64 {
        let now = S + tick * 20 * MS;
        let out = sends(&step(&mut c, now, &[arrival(id, 0, now + 60 * S)]));
        id += 1;
        let served: Vec<Event> = out
            .iter()
            .filter(|s| s.1 != 1)
            .map(|(r, e)| outcome(*r, 0, *e, AttemptStatus::Succeeded))
            .collect();
        step(&mut c, now + MS, &served);
        to_silent += out.iter().filter(|s| s.1 == 1 && tick > 150).count();
    }
    assert!(
        to_silent <= 1,
        "half-open: one trial at most is out, {to_silent}"
    );
}

#[test]
fn a_fault_of_all_engines_ejects_at_most_half() {
    let mut c = controller(settings(vec![class(Idempotency::Idempotent)]));
    step(&mut c, S, &[list(ListScope::All, &[1, 2, 3, 4])]);
    let (mut late_sends, mut tries) = (0, (0, 0));
    for tick in 0..200u64 {
        let now = S + tick * 20 * MS;
        let mut events = vec![arrival(tick, 0, now + 5 * S)];
        for _ in 0..4 {
            let out = sends(&step(&mut c, now, &events));
            late_sends += usize::from(tick > 100 && !out.is_empty());
            events = out
                .iter()
                .map(|(r, e)| {
                    outcome(
                        *r,
                        next_attempt_number(*r, &mut tries),
                        *e,
                        AttemptStatus::ErrorResponse,
                    )
                })
                .collect();
        }
    }
    assert!(late_sends > 90, "the rest stays open: {late_sends}");
}

/// Attempts are numbered from 0 for each request; `last` holds the request and its next number.
fn next_attempt_number(request: u64, last: &mut (u64, u32)) -> u32 {
    let attempt = if last.0 == request { last.1 } else { 0 };
    *last = (request, attempt + 1);
    attempt
}

#[test]
fn an_engine_short_of_memory_gets_the_minimum_concurrency() {
    let mut c = controller(settings(vec![class(Idempotency::Idempotent)]));
    step(
        &mut c,
        S,
        &[list(ListScope::All, &[1]), arrival(0, 0, 6 * S)],
    );
    let report = Some(LoadReport {
        in_flight: Some(1.0),
        memory: Some(1.5),
        cpu: None,
    });
    let told = outcome_with(outcome(0, 0, 1, AttemptStatus::Succeeded), |o| {
        o.report = report
    });
    let mut events = vec![told];
    events.extend((1..50).map(|id| arrival(id, 0, 6 * S)));
    // The minimum is half the fair share of 8 threads.
    assert_eq!(sends(&step(&mut c, S + 100 * MS, &events)).len(), 4);
}

#[test]
fn classes_are_drawn_with_equal_odds_at_first() {
    let mut first = [0, 0];
    for seed in 0..400 {
        let cfg = settings(vec![
            class(Idempotency::Idempotent),
            class(Idempotency::Idempotent),
        ]);
        let mut c = Controller::new(cfg, seed).expect("usable settings");
        let mut events = vec![list(ListScope::All, &[1])];
        events.extend((0..40).map(|id| arrival(id, id as usize % 2, 6 * S)));
        for (id, _) in sends(&step(&mut c, S, &events)) {
            first[id as usize % 2] += 1;
        }
    }
    assert_eq!(first[0] + first[1], 400 * 8);
    assert!((1500..1700).contains(&first[0]), "x = 1: {first:?}");
}

/// Queries running at each tenth of a second at an engine of so many cores, always with so many more waiting; from
/// the sixtieth second on they run ten times as long.
fn running_at(cores: f64, waiting: u64) -> Vec<usize> {
    let mut patient = class(Idempotency::Idempotent);
    (patient.latency_objective, patient.deadline) = (500 * S, 900 * S);
    let mut c = controller(Settings {
        cores: vec![cores],
        ..settings(vec![patient])
    });
    let mut events = vec![list(ListScope::All, &[1])];
    events.extend((0..waiting).map(|id| arrival(id, 0, 900 * S)));
    let (mut next, mut running) = (waiting, Vec::new());
    let mut peaks = Vec::new();
    for tick in 0..1_200u64 {
        let (now, run) = (S + tick * 100 * MS, if tick < 600 { 100 * MS } else { S });
        let out = sends(&step(&mut c, now, &events));
        running.extend(out.iter().map(|(id, _)| (now + run, *id)));
        peaks.push(running.len());
        events.clear();
        running.retain(|(end, id)| {
            let ended = *end <= now + 100 * MS;
            if ended {
                let served = outcome(*id, 0, 1, AttemptStatus::Succeeded);
                events.push(outcome_with(served, |o| o.elapsed = run));
                events.push(arrival(next, 0, 900 * S));
                next += 1;
            }
            !ended
        });
    }
    peaks
}

#[test]
fn the_concurrency_limit_grows_while_objectives_are_met_and_backs_off_on_slowdown() {
    let peaks = running_at(4.0, 60);
    let most = |span: std::ops::Range<usize>| peaks[span].iter().copied().max();
    assert!(
        most(0..10) <= Some(12),
        "one slice and the calm room: {:?}",
        most(0..10)
    );
    assert_eq!(most(550..600), Some(24), "thrice the slice");
    assert_eq!(most(1_150..1_200), Some(8), "back at the slice");
}

#[test]
fn the_concurrency_limit_grows_in_proportion_to_the_fair_share() {
    // Eighty threads, and by 24 a period of two seconds.
    let peaks = running_at(40.0, 400);
    assert!(peaks[70] >= 80 + 2 * 24, "{}", peaks[70]);
}

#[test]
fn a_request_that_fails_on_every_engine_ejects_none() {
    let mut c = controller(settings(vec![
        class(Idempotency::Idempotent),
        class(Idempotency::NotIdempotent),
    ]));
    step(&mut c, S, &[list(ListScope::All, &[1, 2])]);
    let (mut now, mut last) = (S, 0);
    for id in 0..6 {
        now += 2 * MS;
        let mut out = sends(&step(&mut c, now, &[arrival(id, 0, now + 5 * S)]));
        for attempt in 0..3 {
            last = out.first().expect("sent").1;
            out = sends(&step(
                &mut c,
                now,
                &[outcome(id, attempt, last, AttemptStatus::ErrorResponse)],
            ));
        }
    }
    // What must not run twice is not risked on an ejected engine: both are open to it, one after the other.
    let first = sends(&step(&mut c, now + MS, &[arrival(10, 1, now + 5 * S)]))[0].1;
    let second = sends(&step(&mut c, now + MS, &[arrival(11, 1, now + 5 * S)]))[0].1;
    assert_ne!(first, second, "last asked: {last}");
}
