//! Progress events and cancellation: slow attempts, lost responses, disconnected clients.

mod common;
use common::*;
use hoptiller_policy::*;

/// Returns a controller with one request in flight, and the engine that runs it.
fn with_request_in_flight(settings: Settings) -> (Controller, u32) {
    let mut controller = new_controller(settings);
    step(
        &mut controller,
        S,
        &[endpoint_list(ListScope::All, &[1, 2])],
    );
    let sent = sends(&step(&mut controller, S, &[arrival(1, 0, 26 * S)]));
    (controller, sent[0].1)
}

#[test]
fn a_slow_attempt_is_cancelled_and_retried_once() {
    let (mut controller, engine) = with_request_in_flight(progress_settings(vec![long_class()]));
    // After 0.5 s one per cent is done: 50 s remain, and the mean run time is 2.5 s.
    let actions = step(&mut controller, 1500 * MS, &[progress(1, 0, engine, 0.01)]);
    assert_eq!(
        (cancellations(&actions), sends(&actions)),
        (vec![(1, 0)], vec![]),
        "no other attempt is sent before the outcome"
    );
    assert_eq!(
        cancellations(&step(
            &mut controller,
            1600 * MS,
            &[progress(1, 0, engine, 0.01)]
        )),
        [],
        "only one cancellation"
    );
    let actions = step(
        &mut controller,
        1700 * MS,
        &[outcome(1, 0, engine, AttemptStatus::Cancelled)],
    );
    assert_eq!(sends(&actions), [(1, 3 - engine)]);
    // The second attempt is slow too but will end in time: the query itself is slow.
    let actions = step(
        &mut controller,
        3700 * MS,
        &[progress(1, 1, 3 - engine, 0.15)],
    );
    assert_eq!(
        (cancellations(&actions), responses(&actions)),
        (vec![], vec![])
    );
    // The attempt would not end before the deadline: the request is abandoned immediately.
    let actions = step(
        &mut controller,
        4700 * MS,
        &[progress(1, 1, 3 - engine, 0.05)],
    );
    assert_eq!(
        (cancellations(&actions), responses(&actions)),
        (vec![(1, 1)], vec![(1, true)])
    );
}

#[test]
fn an_attempt_at_usual_pace_continues_and_invalid_progress_is_ignored() {
    let (mut controller, engine) = with_request_in_flight(progress_settings(vec![long_class()]));
    let invalid = [f64::NAN, -1.0, 7.0, f64::INFINITY].map(|share| progress(1, 0, engine, share));
    assert_eq!(
        cancellations(&step(&mut controller, 1400 * MS, &invalid)),
        []
    );
    let unknown = [
        progress(9, 0, engine, 0.0),
        progress(1, 4, engine, 0.0),
        progress(1, 0, 77, 0.0),
    ];
    assert_eq!(
        cancellations(&step(&mut controller, 1450 * MS, &unknown)),
        []
    );
    assert_eq!(
        cancellations(&step(
            &mut controller,
            1500 * MS,
            &[progress(1, 0, engine, 0.2), progress(1, 0, engine, 0.1)]
        )),
        []
    );
    let actions = step(
        &mut controller,
        1600 * MS,
        &[
            outcome(1, 0, engine, AttemptStatus::Succeeded),
            progress(1, 0, engine, 0.0),
        ],
    );
    assert_eq!(
        (cancellations(&actions), responses(&actions)),
        (vec![], vec![]),
        "a progress event of an ended attempt is ignored"
    );
}

#[test]
fn a_non_idempotent_query_is_never_retried_for_its_pace() {
    let (mut controller, engine) = with_request_in_flight(progress_settings(vec![Class {
        idempotency: Idempotency::NotIdempotent,
        ..long_class()
    }]));
    let actions = step(&mut controller, 1500 * MS, &[progress(1, 0, engine, 0.01)]);
    assert_eq!(
        (cancellations(&actions), responses(&actions)),
        (vec![(1, 0)], vec![(1, false)]),
        "failed, not rejected"
    );
    assert_eq!(
        sends(&step(
            &mut controller,
            1700 * MS,
            &[outcome(1, 0, engine, AttemptStatus::Cancelled)]
        )),
        []
    );
}

#[test]
fn an_attempt_without_progress_events_is_cancelled_and_retried() {
    let (mut controller, engine) = with_request_in_flight(progress_settings(vec![long_class()]));
    assert_eq!(
        cancellations(&step(
            &mut controller,
            2 * S,
            &[progress(1, 0, engine, 0.5)]
        )),
        []
    );
    assert_eq!(
        cancellations(&step(&mut controller, 3500 * MS, &[])),
        [],
        "the next progress event may still arrive"
    );
    assert_eq!(
        cancellations(&step(&mut controller, 3700 * MS, &[])),
        [(1, 0)]
    );
    // A response that crosses the cancellation completes the request.
    let actions = step(
        &mut controller,
        3710 * MS,
        &[outcome(1, 0, engine, AttemptStatus::Succeeded)],
    );
    assert_eq!((sends(&actions), responses(&actions)), (vec![], vec![]));
    let mut settings = progress_settings(vec![long_class()]);
    settings.limits.cancel = false;
    let (mut controller, _) = with_request_in_flight(settings);
    assert_eq!(
        cancellations(&step(&mut controller, 9 * S, &[])),
        [],
        "no cancellation if engines don't support it"
    );
}

#[test]
fn attempts_of_a_disconnected_client_are_cancelled() {
    let (mut controller, engine) = with_request_in_flight(progress_settings(vec![long_class()]));
    assert_eq!(
        cancellations(&step(
            &mut controller,
            2 * S,
            &[Event::ClientDisconnected(RequestId(1))]
        )),
        [(1, 0)]
    );
    let actions = step(
        &mut controller,
        2100 * MS,
        &[outcome(1, 0, engine, AttemptStatus::Cancelled)],
    );
    assert_eq!(
        (
            cancellations(&actions),
            sends(&actions),
            responses(&actions)
        ),
        (vec![], vec![], vec![])
    );
}

/// Returns the number of requests sent at once after `count` requests timed out after `elapsed`, with 100 gateways.
fn sends_after_time_outs(progress_interval: Micros, elapsed: Micros, count: u64) -> usize {
    let mut settings = Settings {
        gateways: 100,
        progress_interval,
        ..default_settings(vec![long_class()])
    };
    settings.limits.max_attempts = 1;
    let mut controller = new_controller(settings);
    step(
        &mut controller,
        S,
        &[endpoint_list(ListScope::All, &(1..60).collect::<Vec<_>>())],
    );
    for id in 0..count {
        let now = S + id * 100 * MS;
        let sent = sends(&step(&mut controller, now, &[arrival(id, 0, now + 25 * S)]));
        let timed_out = |(id, engine): &(u64, u32)| {
            outcome_with(outcome(*id, 0, *engine, AttemptStatus::TimedOut), |o| {
                o.elapsed = elapsed
            })
        };
        step(
            &mut controller,
            now + 50 * MS,
            &sent.iter().map(timed_out).collect::<Vec<_>>(),
        );
    }
    let events: Vec<Event> = (500..600).map(|id| arrival(id, 0, 29 * S)).collect();
    sends(&step(&mut controller, 5 * S, &events)).len()
}

#[test]
fn time_outs_shrink_the_congestion_window_where_progress_is_reported() {
    assert!(
        sends_after_time_outs(S, 20 * S, 12) <= 2,
        "time-outs with progress events don't shrink the window: {} sends",
        sends_after_time_outs(S, 20 * S, 12)
    );
    assert!(
        sends_after_time_outs(0, 20 * S, 12) > 8,
        "time-outs without progress events shrink the window: {} sends",
        sends_after_time_outs(0, 20 * S, 12)
    );
    assert!(
        sends_after_time_outs(S, S, 12) > 8,
        "time-outs with short time limits shrink the window: {} sends",
        sends_after_time_outs(S, S, 12)
    );
}

#[test]
fn a_congestion_window_under_one_query_pauses_the_class() {
    // The narrow class has the higher weight per work, so only its own queries count against it.
    let narrow = class(Idempotency::Idempotent);
    let wide = Class {
        threads: 8.0,
        ..long_class()
    };
    let settings = Settings {
        gateways: 100,
        load_reports: false,
        ..default_settings(vec![wide, narrow])
    };
    let mut controller = new_controller(settings);
    step(
        &mut controller,
        S,
        &[endpoint_list(ListScope::All, &(1..60).collect::<Vec<_>>())],
    );
    for id in 0..20 {
        let now = S + id * 10 * MS;
        let sent = sends(&step(&mut controller, now, &[arrival(id, 1, now + 5 * S)]));
        let rejected = |(id, engine): &(u64, u32)| {
            outcome_with(outcome(*id, 0, *engine, AttemptStatus::Rejected), |o| {
                o.terminal = true
            })
        };
        step(
            &mut controller,
            now + 5 * MS,
            &sent.iter().map(rejected).collect::<Vec<_>>(),
        );
    }
    let first = sends(&step(&mut controller, 2 * S, &[arrival(50, 0, 26 * S)]));
    assert_eq!(first.len(), 1, "the first query is sent");
    let actions = step(
        &mut controller,
        3 * S,
        &[
            outcome(50, 0, first[0].1, AttemptStatus::Succeeded),
            arrival(51, 0, 28 * S),
        ],
    );
    assert_eq!(sends(&actions), [], "then the class pauses");
    let resumed =
        (1..40).any(|n| !sends(&step(&mut controller, 3 * S + n * 100 * MS, &[])).is_empty());
    assert!(resumed, "the pause ends");
}

#[test]
fn a_slow_retry_is_abandoned_only_under_overload() {
    let after_slow_retry = |rejections: u64| {
        let mut controller = new_controller(progress_settings(vec![long_class()]));
        step(
            &mut controller,
            S,
            &[endpoint_list(ListScope::All, &[1, 2])],
        );
        // One rejection per control period, whose end restores the engine's limit.
        let mut now = S;
        for id in 10..10 + rejections {
            let sent = sends(&step(&mut controller, now, &[arrival(id, 0, now + 25 * S)]));
            let rejected = outcome(id, 0, sent[0].1, AttemptStatus::Rejected);
            step(
                &mut controller,
                now,
                &[outcome_with(rejected, |o| o.terminal = true)],
            );
            now += 2_100 * MS;
            step(&mut controller, now, &[]);
        }
        let engine = sends(&step(&mut controller, now, &[arrival(1, 0, now + 25 * S)]))[0].1;
        step(
            &mut controller,
            now + 500 * MS,
            &[progress(1, 0, engine, 0.01)],
        );
        let engine = sends(&step(
            &mut controller,
            now + 600 * MS,
            &[outcome(1, 0, engine, AttemptStatus::Cancelled)],
        ))[0]
            .1;
        // 8 s remain, which is more than three mean run times but within the deadline.
        let actions = step(
            &mut controller,
            now + 1600 * MS,
            &[progress(1, 1, engine, 0.11)],
        );
        (cancellations(&actions), responses(&actions))
    };
    assert_eq!(after_slow_retry(0), (vec![], vec![]));
    assert_eq!(
        after_slow_retry(9),
        (vec![(1, 1)], vec![(1, true)]),
        "abandoned immediately"
    );
}

#[test]
fn a_query_without_progress_is_retried_once_and_not_abandoned() {
    let (mut controller, engine) = with_request_in_flight(progress_settings(vec![long_class()]));
    assert_eq!(
        cancellations(&step(
            &mut controller,
            1500 * MS,
            &[progress(1, 0, engine, 0.0)]
        )),
        [(1, 0)]
    );
    let engine = sends(&step(
        &mut controller,
        1600 * MS,
        &[outcome(1, 0, engine, AttemptStatus::Cancelled)],
    ))[0]
        .1;
    // Ten seconds without progress, followed by a usual pace, don't count as a slow attempt.
    for second in 2..=11 {
        let actions = step(&mut controller, second * S, &[progress(1, 1, engine, 0.0)]);
        assert_eq!(
            (cancellations(&actions), responses(&actions)),
            (vec![], vec![]),
            "at {second} s"
        );
    }
    assert_eq!(
        cancellations(&step(
            &mut controller,
            12 * S,
            &[progress(1, 1, engine, 0.1)]
        )),
        []
    );
}

#[test]
fn the_maximum_progress_interval_does_not_overflow() {
    let (mut controller, _) = with_request_in_flight(Settings {
        progress_interval: Micros::MAX,
        ..progress_settings(vec![long_class()])
    });
    assert_eq!(
        cancellations(&step(&mut controller, 9 * S, &[])),
        [],
        "no progress event is overdue"
    );
}
