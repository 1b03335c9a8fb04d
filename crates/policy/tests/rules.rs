//! Service rules on responses, draining, slow start, ordering keys and placement; `retries.rs` tests the rules on
//! retries. Also tests settings errors, the subscription, load shedding and the limit after a rejection.

mod common;
use common::*;
use hoptiller_policy::*;

#[test]
fn every_request_gets_a_response_when_no_engine_is_known() {
    let mut controller = new_controller(default_settings(vec![class(Idempotency::Idempotent)]));
    let mut responded = responses(&step(&mut controller, S, &[arrival(1, 0, 6 * S)]));
    for now in (S..6 * S).step_by(20_000) {
        responded.extend(responses(&step(&mut controller, now, &[Event::Wakeup])));
    }
    assert_eq!(responded, [(1, true)]);
}

#[test]
fn a_time_out_at_the_deadline_gets_a_response_in_the_same_batch() {
    let mut controller = new_controller(default_settings(vec![class(Idempotency::NotIdempotent)]));
    step(
        &mut controller,
        S,
        &[endpoint_list(ListScope::All, &[1]), arrival(1, 0, 6 * S)],
    );
    let actions = step(
        &mut controller,
        6 * S + MS,
        &[outcome(1, 0, 1, AttemptStatus::TimedOut)],
    );
    assert_eq!(
        responses(&actions),
        [(1, false)],
        "it may have run, so it is not rejected"
    );
}

#[test]
fn no_response_is_sent_to_a_disconnected_client() {
    let mut controller = new_controller(default_settings(vec![class(Idempotency::Idempotent)]));
    let actions = step(
        &mut controller,
        S,
        &[
            arrival(1, 0, 6 * S),
            Event::ClientDisconnected(RequestId(1)),
        ],
    );
    assert!(responses(&actions).is_empty());
    let actions = step(
        &mut controller,
        2 * S,
        &[endpoint_list(ListScope::All, &[1])],
    );
    assert!(sends(&actions).is_empty() && responses(&actions).is_empty());
}

#[test]
fn draining_removed_and_missing_engines_get_no_requests() {
    for readiness in [Readiness::Draining, Readiness::Removed] {
        let mut controller = new_controller(default_settings(vec![class(Idempotency::Idempotent)]));
        let changed = EndpointEntry {
            readiness,
            ..entry(1, 0)
        };
        let events = [
            endpoint_list(ListScope::All, &[1]),
            Event::EndpointList(ListScope::Changes, vec![changed]),
            arrival(1, 0, 6 * S),
        ];
        assert!(sends(&step(&mut controller, S, &events)).is_empty());
    }
    let mut controller = new_controller(default_settings(vec![class(Idempotency::Idempotent)]));
    let events = [
        endpoint_list(ListScope::All, &[1]),
        endpoint_list(ListScope::All, &[2]),
        arrival(1, 0, 6 * S),
    ];
    assert_eq!(sends(&step(&mut controller, S, &events)), [(1, 2)]);
}

#[test]
fn slow_start_limits_a_burst() {
    let mut controller = new_controller(default_settings(vec![class(Idempotency::Idempotent)]));
    let mut cold = entry(1, 0);
    cold.ready_at = 20 * S;
    let mut events = vec![Event::EndpointList(ListScope::All, vec![cold])];
    events.extend((0..100).map(|id| arrival(id, 0, 25 * S)));
    let mut sent = 0;
    for tick in 0..200 {
        let actions = step(&mut controller, 20 * S + tick * 5 * MS, &events);
        events = sends(&actions)
            .iter()
            .map(|(id, engine)| outcome(*id, 0, *engine, AttemptStatus::Rejected))
            .collect();
        sent += sends(&actions).len();
    }
    // Without responses a query counts as 0.5 s of work. The budget of 0.5 × 3 × 0.3 × 4 cores × 1 s suffices for
    // three. Rejected attempts count too.
    assert_eq!(sent, 3);
}

#[test]
fn a_restarted_engine_warms_up_again() {
    let mut controller = new_controller(default_settings(vec![class(Idempotency::Idempotent)]));
    let mut restarted = entry(1, 0);
    restarted.ready_at = 19 * S;
    let mut events = vec![
        endpoint_list(ListScope::All, &[1]),
        Event::EndpointList(ListScope::Changes, vec![restarted]),
    ];
    events.extend((0..10).map(|id| arrival(id, 0, 25 * S)));
    // Three of ten requests fit the slow-start budget.
    assert_eq!(sends(&step(&mut controller, 20 * S, &events)).len(), 3);
}

#[test]
fn an_ordering_key_runs_one_request_at_a_time_and_pauses_after_a_time_out() {
    let mut ordered = class(Idempotency::Idempotent);
    ordered.ordered_by_key = true;
    let mut controller = new_controller(default_settings(vec![ordered]));
    let first = [
        endpoint_list(ListScope::All, &[1, 2]),
        keyed_arrival(1, 0, 3 * S, 7),
        keyed_arrival(2, 0, 9 * S, 7),
    ];
    let actions = step(&mut controller, S, &first);
    let (id, engine) = sends(&actions)[0];
    assert_eq!((id, sends(&actions).len()), (1, 1));
    let mut sent = sends(&step(
        &mut controller,
        3 * S,
        &[outcome(1, 0, engine, AttemptStatus::TimedOut)],
    ));
    for now in (3 * S..3 * S + 480 * MS).step_by(20_000) {
        sent.extend(sends(&step(&mut controller, now, &[])));
    }
    assert!(sent.is_empty(), "the key is paused");
    for now in (3 * S + 500 * MS..4 * S).step_by(20_000) {
        sent.extend(sends(&step(&mut controller, now, &[])));
    }
    assert_eq!(sent.first().map(|s| s.0), Some(2));
}

#[test]
fn a_class_restricted_to_a_kind_waits_for_it() {
    let mut restricted = class(Idempotency::Idempotent);
    restricted.kinds = Some(vec![1]);
    let mut controller = new_controller(default_settings(vec![restricted]));
    let actions = step(
        &mut controller,
        S,
        &[endpoint_list(ListScope::All, &[1]), arrival(1, 0, 6 * S)],
    );
    assert!(sends(&actions).is_empty());
    let actions = step(
        &mut controller,
        S + MS,
        &[Event::EndpointList(ListScope::Changes, vec![entry(2, 1)])],
    );
    assert_eq!(sends(&actions), [(1, 2)]);
}

#[test]
fn invalid_settings_are_an_error() {
    let error = |settings| match Controller::new(settings, 1) {
        Ok(_) => None,
        Err(error) => Some(error.to_string()),
    };
    assert_eq!(
        error(default_settings(vec![])).as_deref(),
        Some("unusable settings: no classes or no gateways")
    );
    let valid = class(Idempotency::Idempotent);
    for (threads, fault) in [
        (
            f64::NAN,
            "number of threads NaN, expected a finite number of at least 0",
        ),
        (0.0, "no threads"),
    ] {
        let invalid = Class {
            threads,
            ..valid.clone()
        };
        let settings = default_settings(vec![valid.clone(), invalid]);
        let expected = format!("unusable settings: class 1: {fault}");
        assert_eq!(error(settings), Some(expected));
    }
}

#[test]
fn invalid_numbers_do_not_panic_or_persist() {
    let mut controller = new_controller(default_settings(vec![class(Idempotency::Idempotent)]));
    let mut unknown_kind = entry(1, 99);
    unknown_kind.ready_at = Micros::MAX;
    let extreme = Event::Arrival(Arrival {
        request: RequestId(1),
        class: 0,
        tenant: Some(7),
        key: None,
        group: None,
        valid_until: Micros::MAX,
        estimated_memory_mb: f64::MAX,
        estimated_work: Some(Micros::MAX),
        is_retry: false,
        kind: None,
    });
    let endpoints = Event::EndpointList(ListScope::All, vec![entry(2, 99), unknown_kind]);
    let actions = step(
        &mut controller,
        S,
        &[
            endpoints,
            extreme,
            arrival(2, 50, 6 * S),
            arrival(3, 0, 0),
            Event::ClientDisconnected(RequestId(77)),
        ],
    );
    let engine = sends(&actions)[0].1;
    assert_eq!(sends(&actions), [(1, engine)]);
    assert_eq!(
        responses(&actions),
        [(3, true)],
        "expired on arrival: abandoned immediately"
    );
    let report = Some(LoadReport {
        in_flight: Some(f64::NAN),
        memory: Some(f64::INFINITY),
        cpu: Some(-1.0),
    });
    let timed_out = outcome(1, 0, engine, AttemptStatus::TimedOut);
    let late = outcome_with(timed_out, |o| (o.elapsed, o.report) = (Micros::MAX, report));
    step(
        &mut controller,
        2 * S,
        &[
            late,
            outcome(9, 9, 9, AttemptStatus::Succeeded),
            endpoint_list(ListScope::All, &[]),
        ],
    );
    let actions = step(
        &mut controller,
        3 * S,
        &[endpoint_list(ListScope::All, &[4]), arrival(4, 0, 9 * S)],
    );
    assert!(sends(&actions).contains(&(4, 4)));
}

#[test]
fn a_failed_subscription_is_retried() {
    let mut settings = default_settings(vec![class(Idempotency::Idempotent)]);
    settings.discovery = Discovery::Subscribe;
    let mut controller = new_controller(settings);
    assert!(step(&mut controller, S, &[]).contains(&Action::Subscribe));
    step(
        &mut controller,
        S + 20 * MS,
        &[Event::EndpointList(ListScope::Failed, vec![])],
    );
    let subscriptions = (2..102)
        .filter(|n| step(&mut controller, S + n * 20 * MS, &[]).contains(&Action::Subscribe))
        .count();
    assert_eq!(subscriptions, 1);
}

#[test]
fn late_requests_are_shed_near_the_limit_of_open_requests() {
    let shed = |max_open_requests: usize| {
        let mut settings = default_settings(vec![class(Idempotency::Idempotent)]);
        settings.limits.max_open_requests = max_open_requests;
        let mut controller = new_controller(settings);
        // Without an engine all requests wait and become late, long before their deadline of 30 s.
        let events: Vec<Event> = (0..10).map(|id| arrival(id, 0, 31 * S)).collect();
        step(&mut controller, S, &events);
        let mut rejected = Vec::new();
        for now in (S..8 * S).step_by(20_000) {
            rejected.extend(responses(&step(&mut controller, now, &[Event::Wakeup])));
        }
        rejected
    };
    assert!(
        shed(0).is_empty() && shed(15).is_empty(),
        "late requests are kept below the limit"
    );
    assert_eq!(
        shed(10),
        [(0, true), (1, true), (2, true)],
        "the earliest requests are shed until the limit is met"
    );
}

#[test]
fn a_rejection_limits_an_engine_until_the_next_control_period() {
    let mut controller = new_controller(default_settings(vec![class(Idempotency::Idempotent)]));
    step(
        &mut controller,
        S,
        &[endpoint_list(ListScope::All, &[1, 2])],
    );
    let first: Vec<Event> = (0..8).map(|id| arrival(id, 0, 9 * S)).collect();
    let sent = sends(&step(&mut controller, S, &first));
    assert_eq!(
        sent.iter().filter(|s| s.1 == 1).count(),
        4,
        "half of the requests"
    );
    // Engine 1 rejects three of its four queries, so it has the fewest queries of this gateway.
    let rejected: Vec<(u64, u32)> = sent.iter().copied().filter(|s| s.1 == 1).take(3).collect();
    let outcomes: Vec<Event> = rejected
        .iter()
        .map(|(id, engine)| outcome(*id, 0, *engine, AttemptStatus::Rejected))
        .collect();
    let retried = sends(&step(&mut controller, S + 10 * MS, &outcomes));
    assert_eq!(retried.iter().map(|s| s.1).collect::<Vec<_>>(), [2, 2, 2]);
    // After the fourth query ends there, the limit permits one more query but not two.
    let remaining = sent
        .iter()
        .find(|s| s.1 == 1 && !rejected.contains(s))
        .expect("the fourth query");
    let mut events = vec![outcome(remaining.0, 0, 1, AttemptStatus::Succeeded)];
    events.extend((20..23).map(|id| arrival(id, 0, 9 * S)));
    let more = sends(&step(&mut controller, S + 20 * MS, &events));
    assert_eq!(more.iter().filter(|s| s.1 == 1).count(), 1, "{more:?}");
    // The next control period restores the limit.
    step(&mut controller, 4 * S, &[]);
    let later: Vec<Event> = (30..36).map(|id| arrival(id, 0, 9 * S)).collect();
    assert!(
        sends(&step(&mut controller, 4 * S, &later))
            .iter()
            .filter(|s| s.1 == 1)
            .count()
            > 1
    );
}
