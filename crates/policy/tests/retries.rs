//! Retries: idempotency, the window of an idempotency key, the retry budget, and final responses.

mod common;
use common::*;
use hoptiller_policy::*;

#[test]
fn a_non_idempotent_request_is_retried_only_if_it_never_ran() {
    let mut controller = new_controller(default_settings(vec![class(Idempotency::NotIdempotent)]));
    let first = step(
        &mut controller,
        S,
        &[endpoint_list(ListScope::All, &[1, 2]), arrival(1, 0, 6 * S)],
    );
    let engine = sends(&first)[0].1;
    let actions = step(
        &mut controller,
        S + MS,
        &[outcome(1, 0, engine, AttemptStatus::ConnectFailed)],
    );
    assert_eq!(
        sends(&actions),
        [(1, 3 - engine)],
        "the request did not run: it is retried on the other engine"
    );
    let actions = step(
        &mut controller,
        S + 2 * MS,
        &[outcome(1, 1, 3 - engine, AttemptStatus::ConnectionReset)],
    );
    assert!(sends(&actions).is_empty());
    assert_eq!(responses(&actions), [(1, false)]);
}

#[test]
fn an_idempotency_key_is_reused_only_in_its_scope_and_window() {
    let keyed_class = class(Idempotency::WithKey {
        scope: DeduplicationScope::Cell,
        window: 300 * MS,
    });
    let mut controller = new_controller(default_settings(vec![keyed_class]));
    let mut other = entry(2, 0);
    other.cell = 9;
    let endpoints = Event::EndpointList(ListScope::All, vec![entry(1, 0), other]);
    let first = step(&mut controller, S, &[endpoints, arrival(1, 0, 6 * S)]);
    let engine = sends(&first)[0].1;
    let actions = step(
        &mut controller,
        S + 100 * MS,
        &[outcome(1, 0, engine, AttemptStatus::ConnectionReset)],
    );
    assert_eq!(
        sends(&actions),
        [(1, engine)],
        "only engines of the same cell recognise the key"
    );
    let actions = step(
        &mut controller,
        S + 400 * MS,
        &[outcome(1, 1, engine, AttemptStatus::ConnectionReset)],
    );
    assert!(
        sends(&actions).is_empty(),
        "the window of the first attempt has expired"
    );
    assert_eq!(responses(&actions), [(1, false)]);
}

#[test]
fn retries_keep_to_the_retry_budget() {
    let mut settings = default_settings(vec![class(Idempotency::Idempotent)]);
    settings.rules.retry_budget = Some(RetryBudget {
        min_retries: 1.0,
        ratio: 0.0,
        window: 10 * S,
    });
    let mut controller = new_controller(settings);
    let events = [
        endpoint_list(ListScope::All, &[1, 2, 3, 4]),
        arrival(1, 0, 6 * S),
        arrival(2, 0, 6 * S),
    ];
    let actions = step(&mut controller, S, &events);
    let failed: Vec<Event> = sends(&actions)
        .iter()
        .map(|(id, engine)| outcome(*id, 0, *engine, AttemptStatus::ErrorResponse))
        .collect();
    let actions = step(&mut controller, S + MS, &failed);
    assert_eq!(sends(&actions).len(), 1);
    assert_eq!(
        responses(&actions).len(),
        1,
        "the other one is abandoned immediately"
    );
}

#[test]
fn a_first_request_with_a_shorter_deadline_is_not_treated_as_a_retry() {
    let mut strict = class(Idempotency::Idempotent);
    (strict.late_weight_ratio, strict.deadline) = (0.0, 10 * S);
    let mut controller = new_controller(default_settings(vec![strict]));
    let actions = step(
        &mut controller,
        S,
        &[arrival(1, 0, 11 * S), arrival(2, 0, 10 * S)],
    );
    assert!(
        responses(&actions).is_empty(),
        "abandoned on arrival: {actions:?}"
    );
}

#[test]
fn a_non_idempotent_request_without_time_for_a_run_is_rejected_unsent() {
    for (idempotency, time_left_ms, sent) in [
        (Idempotency::NotIdempotent, 90, false),
        (Idempotency::NotIdempotent, 110, true),
        (Idempotency::Idempotent, 90, true),
    ] {
        let mut controller = new_controller(default_settings(vec![class(idempotency)]));
        // The first response shows a run time of 100 ms. Before it, no request is rejected for having too little time
        // left.
        step(
            &mut controller,
            S,
            &[
                endpoint_list(ListScope::All, &[1]),
                arrival(1, 0, S + 80 * MS),
            ],
        );
        assert_eq!(
            sends(&step(
                &mut controller,
                S + 10 * MS,
                &[
                    outcome(1, 0, 1, AttemptStatus::Succeeded),
                    endpoint_list(ListScope::All, &[])
                ]
            ))
            .len(),
            0
        );
        step(&mut controller, 2 * S, &[arrival(2, 0, 6 * S)]);
        let actions = step(
            &mut controller,
            6 * S - time_left_ms * MS,
            &[endpoint_list(ListScope::All, &[1])],
        );
        assert_eq!(
            sends(&actions).len(),
            usize::from(sent),
            "{idempotency:?} {time_left_ms} ms"
        );
        assert_eq!(
            responses(&actions),
            if sent { vec![] } else { vec![(2, true)] },
            "{idempotency:?} {time_left_ms} ms"
        );
    }
}

#[test]
fn a_retry_with_an_idempotency_key_has_a_send_deadline() {
    let mut controller = new_controller(default_settings(vec![
        class(Idempotency::WithKey {
            scope: DeduplicationScope::All,
            window: 300 * MS,
        }),
        class(Idempotency::Idempotent),
    ]));
    let send_deadlines = |actions: &[Action]| {
        let sent = actions.iter().filter_map(|action| match action {
            Action::Send { send_by, .. } => Some(*send_by),
            _ => None,
        });
        sent.collect::<Vec<_>>()
    };
    let actions = step(
        &mut controller,
        S,
        &[endpoint_list(ListScope::All, &[1, 2]), arrival(1, 0, 6 * S)],
    );
    assert_eq!(send_deadlines(&actions), [None]);
    let first = sends(&actions)[0].1;
    // An attempt that certainly did not run does not start the window.
    let actions = step(
        &mut controller,
        S + 50 * MS,
        &[outcome(1, 0, first, AttemptStatus::NotSent)],
    );
    assert_eq!(send_deadlines(&actions), [None]);
    let actions = step(
        &mut controller,
        S + 100 * MS,
        &[outcome(
            1,
            1,
            sends(&actions)[0].1,
            AttemptStatus::ConnectionReset,
        )],
    );
    assert_eq!(
        send_deadlines(&actions),
        [Some(S + 350 * MS)],
        "the window starts with the first attempt that may have run"
    );
    let actions = step(&mut controller, 2 * S, &[arrival(2, 1, 6 * S)]);
    let engine = sends(&actions)[0].1;
    assert_eq!(
        send_deadlines(&step(
            &mut controller,
            2 * S + MS,
            &[outcome(2, 0, engine, AttemptStatus::ConnectionReset)]
        )),
        [None],
        "an idempotent request can be sent at any time"
    );
}

#[test]
fn abandoned_requests_are_rejected_only_if_a_retry_is_safe() {
    let one_cell = Idempotency::WithKey {
        scope: DeduplicationScope::Cell,
        window: S,
    };
    let mut controller = new_controller(default_settings(vec![
        class(Idempotency::Idempotent),
        class(Idempotency::NotIdempotent),
        class(one_cell),
    ]));
    let events = [
        arrival(1, 0, 6 * S),
        arrival(2, 1, 6 * S),
        arrival(3, 2, 6 * S),
    ];
    assert_eq!(
        sends(&step(
            &mut controller,
            S,
            &[&[endpoint_list(ListScope::All, &[1])][..], &events].concat()
        ))
        .len(),
        3
    );
    // The engine drains, so request 4 is never sent.
    step(
        &mut controller,
        S + MS,
        &[Event::EndpointList(
            ListScope::Changes,
            vec![EndpointEntry {
                readiness: Readiness::Draining,
                ..entry(1, 0)
            }],
        )],
    );
    assert_eq!(
        sends(&step(&mut controller, S + 2 * MS, &[arrival(4, 1, 6 * S)])),
        []
    );
    let all: Vec<Event> = (1..=5).map(|id| Event::Abandoned(RequestId(id))).collect();
    let mut responded = responses(&step(&mut controller, S + 3 * MS, &all));
    responded.sort_unstable();
    assert_eq!(responded, [(1, true), (2, false), (3, false), (4, true)]);
    assert_eq!(
        responses(&step(&mut controller, S + 4 * MS, &all)),
        [],
        "only one response"
    );
}
