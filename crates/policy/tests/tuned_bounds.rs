//! Event sequences that show bounds which the generated sequences of `action_digest` seldom or never reach: a change of
//! one of them by a quarter fails a test here.

mod common;

use common::*;
use hoptiller_policy::*;

const IDEMPOTENT: usize = 0;
const RUN: Micros = S;

fn waiting_arrival(id: u64, now: Micros) -> Event {
    arrival(id, IDEMPOTENT, now + 60 * S)
}

fn served_after_a_run(id: u64, engine: u32) -> Event {
    outcome_with(outcome(id, 0, engine, AttemptStatus::Succeeded), |o| {
        o.elapsed = RUN
    })
}

/// A controller of two engines whose one class has a mean run time of exactly [`RUN`], and the time now.
fn controller_with_learned_run_time() -> (Controller, Micros) {
    let mut one_class = class(Idempotency::Idempotent);
    one_class.deadline = 60 * S;
    one_class.latency_objective = 60 * S;
    let mut c = controller(settings(vec![one_class]));
    let mut now = S;
    step(&mut c, now, &[list(ListScope::All, &[1, 2])]);
    for id in 0..20 {
        let (_, engine) = sends(&step(&mut c, now, &[waiting_arrival(id, now)]))[0];
        now += RUN;
        step(&mut c, now, &[served_after_a_run(id, engine)]);
    }
    (c, now)
}

/// Whether an engine still gets requests when it has owed an answer, and sent nothing, for `silence`.
fn gets_requests_after(silence: Micros) -> bool {
    let (mut c, sent_at) = controller_with_learned_run_time();
    let (_, silent) = sends(&step(&mut c, sent_at, &[waiting_arrival(100, sent_at)]))[0];
    // The other engine is as busy and answers in the end, so that the silent one is chosen as long as it may be.
    let more: Vec<Event> = (101..104).map(|id| waiting_arrival(id, sent_at)).collect();
    let at_other: Vec<(u64, u32)> = sends(&step(&mut c, sent_at, &more))
        .into_iter()
        .filter(|(_, engine)| *engine != silent)
        .collect();
    assert!(!at_other.is_empty(), "both engines are used");
    let mut now = sent_at;
    while now + 20 * MS <= sent_at + silence {
        now += 20 * MS;
        step(&mut c, now, &[Event::Wakeup]);
    }
    let answers: Vec<Event> = at_other
        .iter()
        .map(|(id, engine)| served_after_a_run(*id, *engine))
        .collect();
    step(&mut c, now, &answers);
    let next: Vec<Event> = (200..203).map(|id| waiting_arrival(id, now)).collect();
    sends(&step(&mut c, now, &next))
        .iter()
        .any(|(_, engine)| *engine == silent)
}

#[test]
fn an_engine_is_silent_after_four_mean_runs_without_an_answer() {
    assert!(gets_requests_after(4 * RUN - 100 * MS));
    assert!(!gets_requests_after(4 * RUN + 100 * MS));
}

#[test]
fn an_overcommitted_grant_is_a_million_megabytes_at_most() {
    let mut with_grants = settings(vec![class(Idempotency::Idempotent)]);
    with_grants.memory_overcommit = true;
    with_grants.max_grant_mb = 5e6;
    let mut c = controller(with_grants);
    let actions = step(
        &mut c,
        S,
        &[list(ListScope::All, &[1]), arrival(1, IDEMPOTENT, 9 * S)],
    );
    assert_eq!(grants(&actions), [1e6]);
}

#[test]
fn an_estimate_counts_up_to_a_million_megabytes() {
    let mut with_grants = settings(vec![class(Idempotency::Idempotent)]);
    with_grants.max_grant_mb = 5e6;
    let mut c = controller(with_grants);
    let estimated = |mb: f64| {
        arrival_with(arrival(1, IDEMPOTENT, 9 * S), |a| {
            a.estimated_memory_mb = mb
        })
    };
    let actions = step(&mut c, S, &[list(ListScope::All, &[1]), estimated(3e6)]);
    assert_eq!(grants(&actions), [1e6 * 1.2]);
}

/// Whether a query that spills at its start for want of so much memory is cancelled to be granted more.
fn is_cancelled_for(missing_mb: f64) -> bool {
    let mut with_grants = settings(vec![class(Idempotency::Idempotent)]);
    with_grants.max_grant_mb = 5e6;
    with_grants.limits.cancel = true;
    with_grants.progress_interval = 300 * MS;
    let mut c = controller(with_grants);
    let estimated = arrival_with(arrival(1, IDEMPOTENT, 9 * S), |a| {
        a.estimated_memory_mb = 100.0
    });
    step(&mut c, S, &[list(ListScope::All, &[1]), estimated]);
    let progress = Progress::Spilling(missing_mb);
    let spills = Event::Progress {
        request: RequestId(1),
        attempt: 0,
        engine: EngineId(1),
        progress,
    };
    let actions = step(&mut c, S + 10 * MS, &[spills]);
    actions
        .iter()
        .any(|action| matches!(action, Action::Cancel { .. }))
}

#[test]
fn reported_values_from_a_million_on_are_ignored() {
    assert!(is_cancelled_for(999_999.0));
    assert!(!is_cancelled_for(1_000_000.0));
}
