//! Retries: idempotency, the window of a key, the retry budget, and what clients are told.

mod common;
use common::*;
use hoptiller_policy::*;

#[test]
fn a_non_idempotent_request_is_retried_only_if_it_never_ran() {
    let mut c = controller(settings(vec![class(Idempotency::NotIdempotent)]));
    let first = step(
        &mut c,
        S,
        &[list(ListScope::All, &[1, 2]), arrival(1, 0, 6 * S)],
    );
    let engine = sends(&first)[0].1;
    let out = step(
        &mut c,
        S + MS,
        &[outcome(1, 0, engine, AttemptStatus::ConnectFailed)],
    );
    assert_eq!(
        sends(&out),
        [(1, 3 - engine)],
        "never ran: another attempt elsewhere"
    );
    let out = step(
        &mut c,
        S + 2 * MS,
        &[outcome(1, 1, 3 - engine, AttemptStatus::ConnectionReset)],
    );
    assert!(sends(&out).is_empty());
    assert_eq!(answers(&out), [(1, false)]);
}

#[test]
fn an_idempotency_key_is_reused_only_in_its_scope_and_window() {
    let keyed_class = class(Idempotency::WithKey {
        scope: DeduplicationScope::Cell,
        window: 300 * MS,
    });
    let mut c = controller(settings(vec![keyed_class]));
    let mut other = entry(2, 0);
    other.cell = 9;
    let fleet = Event::EndpointList(ListScope::All, vec![entry(1, 0), other]);
    let first = step(&mut c, S, &[fleet, arrival(1, 0, 6 * S)]);
    let engine = sends(&first)[0].1;
    let out = step(
        &mut c,
        S + 100 * MS,
        &[outcome(1, 0, engine, AttemptStatus::ConnectionReset)],
    );
    assert_eq!(
        sends(&out),
        [(1, engine)],
        "only its own cell knows the key"
    );
    let out = step(
        &mut c,
        S + 400 * MS,
        &[outcome(1, 1, engine, AttemptStatus::ConnectionReset)],
    );
    assert!(
        sends(&out).is_empty(),
        "the window from the first attempt is over"
    );
    assert_eq!(answers(&out), [(1, false)]);
}

#[test]
fn retries_keep_to_the_retry_budget() {
    let mut cfg = settings(vec![class(Idempotency::Idempotent)]);
    cfg.rules.retry_budget = Some(RetryBudget {
        min_retries: 1.0,
        ratio: 0.0,
        window: 10 * S,
    });
    let mut c = controller(cfg);
    let events = [
        list(ListScope::All, &[1, 2, 3, 4]),
        arrival(1, 0, 6 * S),
        arrival(2, 0, 6 * S),
    ];
    let out = step(&mut c, S, &events);
    let failed: Vec<Event> = sends(&out)
        .iter()
        .map(|(id, e)| outcome(*id, 0, *e, AttemptStatus::ErrorResponse))
        .collect();
    let out = step(&mut c, S + MS, &failed);
    assert_eq!(sends(&out).len(), 1);
    assert_eq!(answers(&out).len(), 1, "the other is answered at once");
}

#[test]
fn a_first_try_with_a_shorter_deadline_is_not_taken_for_a_retry() {
    let mut swift = class(Idempotency::Idempotent);
    (swift.late_weight_ratio, swift.deadline) = (0.0, 10 * S);
    let mut c = controller(settings(vec![swift]));
    let out = step(&mut c, S, &[arrival(1, 0, 11 * S), arrival(2, 0, 10 * S)]);
    assert!(answers(&out).is_empty(), "refused at sight: {out:?}");
}

#[test]
fn a_non_idempotent_request_without_time_for_a_run_is_rejected_unsent() {
    for (effect, left, sent) in [
        (Idempotency::NotIdempotent, 90, false),
        (Idempotency::NotIdempotent, 110, true),
        (Idempotency::Idempotent, 90, true),
    ] {
        let mut c = controller(settings(vec![class(effect)]));
        // The first answer tells how long a run is: 100 ms. Before it, nothing is known, and nothing refused so.
        step(
            &mut c,
            S,
            &[list(ListScope::All, &[1]), arrival(1, 0, S + 80 * MS)],
        );
        assert_eq!(
            sends(&step(
                &mut c,
                S + 10 * MS,
                &[
                    outcome(1, 0, 1, AttemptStatus::Succeeded),
                    list(ListScope::All, &[])
                ]
            ))
            .len(),
            0
        );
        step(&mut c, 2 * S, &[arrival(2, 0, 6 * S)]);
        let actions = step(&mut c, 6 * S - left * MS, &[list(ListScope::All, &[1])]);
        assert_eq!(
            sends(&actions).len(),
            usize::from(sent),
            "{effect:?} {left}"
        );
        assert_eq!(
            answers(&actions),
            if sent { vec![] } else { vec![(2, true)] },
            "{effect:?} {left}"
        );
    }
}

#[test]
fn a_retry_with_an_idempotency_key_has_a_send_deadline() {
    let mut c = controller(settings(vec![
        class(Idempotency::WithKey {
            scope: DeduplicationScope::All,
            window: 300 * MS,
        }),
        class(Idempotency::Idempotent),
    ]));
    let by = |out: &[Action]| {
        let sent = out.iter().filter_map(|a| match a {
            Action::Send { send_by, .. } => Some(*send_by),
            _ => None,
        });
        sent.collect::<Vec<_>>()
    };
    let out = step(
        &mut c,
        S,
        &[list(ListScope::All, &[1, 2]), arrival(1, 0, 6 * S)],
    );
    assert_eq!(by(&out), [None]);
    let first = sends(&out)[0].1;
    // What is known not to have run starts no window.
    let out = step(
        &mut c,
        S + 50 * MS,
        &[outcome(1, 0, first, AttemptStatus::NotSent)],
    );
    assert_eq!(by(&out), [None]);
    let out = step(
        &mut c,
        S + 100 * MS,
        &[outcome(
            1,
            1,
            sends(&out)[0].1,
            AttemptStatus::ConnectionReset,
        )],
    );
    assert_eq!(
        by(&out),
        [Some(S + 350 * MS)],
        "from the first attempt that may have run"
    );
    let out = step(&mut c, 2 * S, &[arrival(2, 1, 6 * S)]);
    let engine = sends(&out)[0].1;
    assert_eq!(
        by(&step(
            &mut c,
            2 * S + MS,
            &[outcome(2, 0, engine, AttemptStatus::ConnectionReset)]
        )),
        [None],
        "safe for ever"
    );
}

#[test]
fn abandoned_requests_are_rejected_only_where_a_retry_is_harmless() {
    let one_cell = Idempotency::WithKey {
        scope: DeduplicationScope::Cell,
        window: S,
    };
    let mut c = controller(settings(vec![
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
            &mut c,
            S,
            &[&[list(ListScope::All, &[1])][..], &events].concat()
        ))
        .len(),
        3
    );
    // Nowhere to go for this one: it has never been sent.
    step(
        &mut c,
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
        sends(&step(&mut c, S + 2 * MS, &[arrival(4, 1, 6 * S)])),
        []
    );
    let all: Vec<Event> = (1..=5).map(|id| Event::Abandoned(RequestId(id))).collect();
    let mut told = answers(&step(&mut c, S + 3 * MS, &all));
    told.sort_unstable();
    assert_eq!(told, [(1, true), (2, false), (3, false), (4, true)]);
    assert_eq!(answers(&step(&mut c, S + 4 * MS, &all)), [], "once");
}
