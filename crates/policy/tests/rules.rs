//! Each of the seven rules with a case that would break it.

mod common;
use common::*;
use hoptiller_policy::*;

#[test]
fn every_request_is_answered_when_no_engine_is_known() {
    let mut c = controller(settings(vec![class(Idempotency::Idempotent)]));
    let mut answered = answers(&step(&mut c, S, &[arrival(1, 0, 6 * S)]));
    for now in (S..6 * S).step_by(20_000) {
        answered.extend(answers(&step(&mut c, now, &[Event::Wakeup])));
    }
    assert_eq!(answered, [(1, true)]);
}

#[test]
fn a_time_out_at_the_deadline_is_answered_in_the_same_batch() {
    let mut c = controller(settings(vec![class(Idempotency::NotIdempotent)]));
    step(
        &mut c,
        S,
        &[list(ListScope::All, &[1]), arrival(1, 0, 6 * S)],
    );
    let out = step(
        &mut c,
        6 * S + MS,
        &[outcome(1, 0, 1, AttemptStatus::TimedOut)],
    );
    assert_eq!(answers(&out), [(1, false)], "it may have run: no refusal");
}

#[test]
fn no_answer_is_sent_to_a_disconnected_client() {
    let mut c = controller(settings(vec![class(Idempotency::Idempotent)]));
    let out = step(
        &mut c,
        S,
        &[
            arrival(1, 0, 6 * S),
            Event::ClientDisconnected(RequestId(1)),
        ],
    );
    assert!(answers(&out).is_empty());
    let out = step(&mut c, 2 * S, &[list(ListScope::All, &[1])]);
    assert!(sends(&out).is_empty() && answers(&out).is_empty());
}

#[test]
fn draining_removed_and_missing_engines_get_nothing() {
    for gone in [Readiness::Draining, Readiness::Removed] {
        let mut c = controller(settings(vec![class(Idempotency::Idempotent)]));
        let mut e = entry(1, 0);
        e.readiness = gone;
        let news = [
            list(ListScope::All, &[1]),
            Event::EndpointList(ListScope::Changes, vec![e]),
            arrival(1, 0, 6 * S),
        ];
        assert!(sends(&step(&mut c, S, &news)).is_empty());
    }
    let mut c = controller(settings(vec![class(Idempotency::Idempotent)]));
    let news = [
        list(ListScope::All, &[1]),
        list(ListScope::All, &[2]),
        arrival(1, 0, 6 * S),
    ];
    assert_eq!(sends(&step(&mut c, S, &news)), [(1, 2)]);
}

#[test]
fn slow_start_limits_a_burst() {
    let mut c = controller(settings(vec![class(Idempotency::Idempotent)]));
    let mut cold = entry(1, 0);
    cold.ready_at = 20 * S;
    let mut events = vec![Event::EndpointList(ListScope::All, vec![cold])];
    events.extend((0..100).map(|id| arrival(id, 0, 25 * S)));
    let mut sent = 0;
    for tick in 0..200 {
        let out = step(&mut c, 20 * S + tick * 5 * MS, &events);
        events = sends(&out)
            .iter()
            .map(|(id, e)| outcome(*id, 0, *e, AttemptStatus::Rejected))
            .collect();
        sent += sends(&out).len();
    }
    // Untaught, a query counts 0.5 s of work: 0.5 × 3 × 0.3 × 4 cores × 1 s bears three. What is refused counts.
    assert_eq!(sent, 3);
}

#[test]
fn a_restarted_engine_warms_up_again() {
    let mut c = controller(settings(vec![class(Idempotency::Idempotent)]));
    let mut again = entry(1, 0);
    again.ready_at = 19 * S;
    let mut events = vec![
        list(ListScope::All, &[1]),
        Event::EndpointList(ListScope::Changes, vec![again]),
    ];
    events.extend((0..10).map(|id| arrival(id, 0, 25 * S)));
    assert_eq!(sends(&step(&mut c, 20 * S, &events)).len(), 3, "of ten");
}

#[test]
fn an_ordering_key_runs_one_request_at_a_time_and_pauses_after_a_time_out() {
    let mut ordered = class(Idempotency::Idempotent);
    ordered.ordered_by_key = true;
    let mut c = controller(settings(vec![ordered]));
    let first = [
        list(ListScope::All, &[1, 2]),
        keyed(1, 0, 3 * S, 7),
        keyed(2, 0, 9 * S, 7),
    ];
    let out = step(&mut c, S, &first);
    let (id, engine) = sends(&out)[0];
    assert_eq!((id, sends(&out).len()), (1, 1));
    let mut sent = sends(&step(
        &mut c,
        3 * S,
        &[outcome(1, 0, engine, AttemptStatus::TimedOut)],
    ));
    for now in (3 * S..3 * S + 480 * MS).step_by(20_000) {
        sent.extend(sends(&step(&mut c, now, &[])));
    }
    assert!(sent.is_empty(), "the key rests");
    for now in (3 * S + 500 * MS..4 * S).step_by(20_000) {
        sent.extend(sends(&step(&mut c, now, &[])));
    }
    assert_eq!(sent.first().map(|s| s.0), Some(2));
}

#[test]
fn a_class_restricted_to_a_kind_waits_for_it() {
    let mut bound = class(Idempotency::Idempotent);
    bound.kinds = Some(vec![1]);
    let mut c = controller(settings(vec![bound]));
    let out = step(
        &mut c,
        S,
        &[list(ListScope::All, &[1]), arrival(1, 0, 6 * S)],
    );
    assert!(sends(&out).is_empty());
    let out = step(
        &mut c,
        S + MS,
        &[Event::EndpointList(ListScope::Changes, vec![entry(2, 1)])],
    );
    assert_eq!(sends(&out), [(1, 2)]);
}

#[test]
fn unusable_settings_are_an_error() {
    assert!(Controller::new(settings(vec![]), 1).is_err());
    let mut threadless = class(Idempotency::Idempotent);
    threadless.threads = f64::NAN;
    assert!(Controller::new(settings(vec![threadless]), 1).is_err());
}

#[test]
fn invalid_numbers_do_not_panic_or_persist() {
    let mut c = controller(settings(vec![class(Idempotency::Idempotent)]));
    let mut odd = entry(1, 99);
    odd.ready_at = Micros::MAX;
    let huge = Event::Arrival(Arrival {
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
    let fleet = Event::EndpointList(ListScope::All, vec![entry(2, 99), odd]);
    let out = step(
        &mut c,
        S,
        &[
            fleet,
            huge,
            arrival(2, 50, 6 * S),
            arrival(3, 0, 0),
            Event::ClientDisconnected(RequestId(77)),
        ],
    );
    let engine = sends(&out)[0].1;
    assert_eq!(sends(&out), [(1, engine)]);
    assert_eq!(
        answers(&out),
        [(3, true)],
        "out of time already: answered at once"
    );
    let report = Some(LoadReport {
        in_flight: Some(f64::NAN),
        memory: Some(f64::INFINITY),
        cpu: Some(-1.0),
    });
    let timed_out = outcome(1, 0, engine, AttemptStatus::TimedOut);
    let late = outcome_with(timed_out, |o| (o.elapsed, o.report) = (Micros::MAX, report));
    step(
        &mut c,
        2 * S,
        &[
            late,
            outcome(9, 9, 9, AttemptStatus::Succeeded),
            list(ListScope::All, &[]),
        ],
    );
    let out = step(
        &mut c,
        3 * S,
        &[list(ListScope::All, &[4]), arrival(4, 0, 9 * S)],
    );
    assert!(sends(&out).contains(&(4, 4)));
}

#[test]
fn a_failed_subscription_is_retried() {
    let mut cfg = settings(vec![class(Idempotency::Idempotent)]);
    cfg.discovery = Discovery::Subscribe;
    let mut c = controller(cfg);
    assert!(step(&mut c, S, &[]).contains(&Action::Subscribe));
    step(
        &mut c,
        S + 20 * MS,
        &[Event::EndpointList(ListScope::Failed, vec![])],
    );
    let asks = (0..100)
        .filter(|t| step(&mut c, S + (2 + t) * 20 * MS, &[]).contains(&Action::Subscribe))
        .count();
    assert_eq!(asks, 1);
}

#[test]
fn late_requests_are_shed_when_open_requests_run_out() {
    let refused_early = |most: usize| {
        let mut cfg = settings(vec![class(Idempotency::Idempotent)]);
        cfg.limits.max_open_requests = most;
        let mut c = controller(cfg);
        // No engine: all wait, and are late within the objective; their clients wait 30 s.
        let news: Vec<Event> = (0..10).map(|id| arrival(id, 0, 31 * S)).collect();
        step(&mut c, S, &news);
        let mut refused = Vec::new();
        for now in (S..8 * S).step_by(20_000) {
            refused.extend(answers(&step(&mut c, now, &[Event::Wakeup])));
        }
        refused
    };
    assert!(
        refused_early(0).is_empty() && refused_early(15).is_empty(),
        "there is room: late work is kept"
    );
    let refused = refused_early(10);
    assert_eq!(
        refused,
        [(0, true), (1, true), (2, true)],
        "those late for longest, until there is room"
    );
}

#[test]
fn a_rejection_caps_an_engine_until_the_next_control_period() {
    let mut c = controller(settings(vec![class(Idempotency::Idempotent)]));
    step(&mut c, S, &[list(ListScope::All, &[1, 2])]);
    let first: Vec<Event> = (0..8).map(|id| arrival(id, 0, 9 * S)).collect();
    let sent = sends(&step(&mut c, S, &first));
    assert_eq!(sent.iter().filter(|s| s.1 == 1).count(), 4, "evenly");
    // Engine 1 turns three of its four away: it has the fewest own queries now.
    let full: Vec<(u64, u32)> = sent.iter().copied().filter(|s| s.1 == 1).take(3).collect();
    let back: Vec<Event> = full
        .iter()
        .map(|(id, e)| outcome(*id, 0, *e, AttemptStatus::Rejected))
        .collect();
    let again = sends(&step(&mut c, S + 10 * MS, &back));
    assert_eq!(again.iter().map(|s| s.1).collect::<Vec<_>>(), [2, 2, 2]);
    // One has ended there: there is room for one more, and for no second.
    let one = sent
        .iter()
        .find(|s| s.1 == 1 && !full.contains(s))
        .expect("the fourth");
    let mut events = vec![outcome(one.0, 0, 1, AttemptStatus::Succeeded)];
    events.extend((20..23).map(|id| arrival(id, 0, 9 * S)));
    let more = sends(&step(&mut c, S + 20 * MS, &events));
    assert_eq!(more.iter().filter(|s| s.1 == 1).count(), 1, "{more:?}");
    // The next control period restores its limit.
    step(&mut c, 4 * S, &[]);
    let later: Vec<Event> = (30..36).map(|id| arrival(id, 0, 9 * S)).collect();
    assert!(
        sends(&step(&mut c, 4 * S, &later))
            .iter()
            .filter(|s| s.1 == 1)
            .count()
            > 1
    );
}
