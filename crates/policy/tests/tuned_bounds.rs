//! Event sequences that show bounds which the generated sequences of `action_digest` seldom or never reach: a change of
//! one of them by a quarter fails a test here.

mod common;

use common::*;
use hoptiller_policy::*;

const IDEMPOTENT: usize = 0;
const HOUSEKEEPING: Micros = 20 * MS;

fn waiting_arrival(id: u64, now: Micros) -> Event {
    arrival(id, IDEMPOTENT, now + 60 * S)
}

fn served(id: u64, engine: u32, elapsed: Micros) -> Event {
    outcome_with(outcome(id, 0, engine, AttemptStatus::Succeeded), |o| {
        o.elapsed = elapsed
    })
}

/// Two engines, of which one has owed an answer, and has sent nothing at all, since `silent_since`.
struct SilentEngine {
    controller: Controller,
    mean_run: Micros,
    now: Micros,
    silent: u32,
    silent_since: Micros,
    /// Requests at the other engine, which is as busy: it answers right before the silent one is looked at, so that
    /// this one is chosen as long as it may be.
    at_other: Vec<(u64, u32)>,
}

impl SilentEngine {
    /// The one class has a mean run time of exactly `mean_run`.
    fn new(mean_run: Micros) -> Self {
        let mut one_class = class(Idempotency::Idempotent);
        one_class.deadline = 60 * S;
        one_class.latency_objective = 60 * S;
        let mut c = controller(settings(vec![one_class]));
        let mut now = S;
        step(&mut c, now, &[list(ListScope::All, &[1, 2])]);
        for id in 0..20 {
            let (_, engine) = sends(&step(&mut c, now, &[waiting_arrival(id, now)]))[0];
            now += mean_run;
            step(&mut c, now, &[served(id, engine, mean_run)]);
        }
        let (_, silent) = sends(&step(&mut c, now, &[waiting_arrival(100, now)]))[0];
        let more: Vec<Event> = (101..104).map(|id| waiting_arrival(id, now)).collect();
        let sent = sends(&step(&mut c, now, &more));
        let at_other: Vec<(u64, u32)> = sent.into_iter().filter(|(_, e)| *e != silent).collect();
        assert!(!at_other.is_empty(), "both engines are used");
        SilentEngine {
            controller: c,
            mean_run,
            now,
            silent,
            silent_since: now,
            at_other,
        }
    }

    /// Goes on with housekeeping in time until the engine has been silent for `silence`.
    fn wait(&mut self, silence: Micros) {
        while self.now + HOUSEKEEPING <= self.silent_since + silence {
            self.stall(HOUSEKEEPING);
        }
    }

    /// The next batch comes after `pause`.
    fn stall(&mut self, pause: Micros) {
        self.now += pause;
        step(&mut self.controller, self.now, &[Event::Wakeup]);
    }

    /// Whether the silent engine still gets requests.
    fn gets_requests(&mut self) -> bool {
        let answer = |(id, engine): &(u64, u32)| served(*id, *engine, self.mean_run);
        let answers: Vec<Event> = self.at_other.iter().map(answer).collect();
        step(&mut self.controller, self.now, &answers);
        let next: Vec<Event> = (200..203).map(|id| waiting_arrival(id, self.now)).collect();
        let sent = sends(&step(&mut self.controller, self.now, &next));
        sent.iter().any(|(_, engine)| *engine == self.silent)
    }
}

fn gets_requests_after(mean_run: Micros, silence: Micros) -> bool {
    let mut engine = SilentEngine::new(mean_run);
    engine.wait(silence);
    engine.gets_requests()
}

#[test]
fn an_engine_is_silent_after_four_mean_runs_without_an_answer() {
    assert!(gets_requests_after(S, 4 * S - 100 * MS));
    assert!(!gets_requests_after(S, 4 * S + 100 * MS));
}

#[test]
fn an_engine_is_silent_after_one_second_without_anything_from_it() {
    assert!(gets_requests_after(100 * MS, S - 100 * MS));
    assert!(!gets_requests_after(100 * MS, S + 100 * MS));
}

/// Whether the silent engine still gets requests when, at 900 ms of silence, the timer comes late by `late`.
fn gets_requests_after_a_stall(late: Micros) -> bool {
    let mut engine = SilentEngine::new(100 * MS);
    engine.wait(900 * MS);
    engine.stall(HOUSEKEEPING + late);
    engine.gets_requests()
}

#[test]
fn only_a_timer_that_is_over_two_hundred_milliseconds_late_excuses_silence() {
    assert!(!gets_requests_after_a_stall(180 * MS));
    assert!(gets_requests_after_a_stall(220 * MS));
}

/// Whether a late request is shed at once where an answer after the objective keeps this part of its weight.
fn is_shed_when_late(late_weight_ratio: f64) -> bool {
    let mut one_class = class(Idempotency::Idempotent);
    one_class.late_weight_ratio = late_weight_ratio;
    let mut c = controller(settings(vec![one_class]));
    // Without an engine the request waits until it can no longer meet its objective, long before its deadline.
    step(&mut c, S, &[arrival(1, IDEMPOTENT, 6 * S)]);
    let mut now = S;
    let mut shed = false;
    while now < 4 * S {
        now += HOUSEKEEPING;
        shed |= !answers(&step(&mut c, now, &[Event::Wakeup])).is_empty();
    }
    shed
}

#[test]
fn late_requests_that_keep_less_than_a_fifth_of_their_weight_are_shed() {
    assert!(is_shed_when_late(0.18));
    assert!(!is_shed_when_late(0.22));
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

/// How many of 64 free slots class 0 gets, when in the control periods before its requests waited for `wait` and those of
/// class 1 not at all.
fn slots_of_the_waiting_class(wait: Micros) -> usize {
    let one_class = || class(Idempotency::Idempotent);
    let mut wide = settings(vec![one_class(), one_class()]);
    wide.cores = vec![32.0];
    let mut c = controller(wide);
    let mut now = S;
    for id in (0..60).step_by(2) {
        step(
            &mut c,
            now,
            &[list(ListScope::All, &[]), arrival(id, 0, now + 5 * S)],
        );
        now += wait;
        let events = [list(ListScope::All, &[1]), arrival(id + 1, 1, now + 5 * S)];
        assert_eq!(sends(&step(&mut c, now, &events)).len(), 2);
        now += 500 * MS;
        let served = |id| outcome(id, 0, 1, AttemptStatus::Succeeded);
        step(&mut c, now, &[served(id), served(id + 1)]);
    }
    let waiting: Vec<Event> = (100..228)
        .map(|id| arrival(id, (id % 2) as usize, now + 5 * S))
        .collect();
    step(&mut c, now, &[list(ListScope::All, &[])]);
    step(&mut c, now, &waiting);
    let sent = sends(&step(&mut c, now, &[list(ListScope::All, &[1])]));
    assert_eq!(sent.len(), 64);
    sent.iter().filter(|(id, _)| id % 2 == 0).count()
}

#[test]
fn waits_of_two_ticks_or_less_do_not_move_the_odds() {
    let tick = 5 * MS;
    assert!((20..=44).contains(&slots_of_the_waiting_class(2 * tick - MS)));
    assert!(slots_of_the_waiting_class(2 * tick + MS) > 55);
}
