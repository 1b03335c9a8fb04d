//! Tests of constants whose bounds the generated sequences of `action_digest` rarely or never reach. Changing one of
//! them by a quarter fails a test here.

mod common;

use common::*;
use hoptiller_policy::*;

const IDEMPOTENT: usize = 0;
const HOUSEKEEPING_INTERVAL: Micros = 20 * MS;

fn arrival_with_long_deadline(id: u64, now: Micros) -> Event {
    arrival(id, IDEMPOTENT, now + 60 * S)
}

fn success(id: u64, engine: u32, elapsed: Micros) -> Event {
    outcome_with(outcome(id, 0, engine, AttemptStatus::Succeeded), |o| {
        o.elapsed = elapsed
    })
}

/// Two engines, of which one has had an attempt in flight and sent nothing since `silent_since`.
struct SilentEngine {
    controller: Controller,
    mean_run_time: Micros,
    now: Micros,
    silent: u32,
    silent_since: Micros,
    /// Requests in flight at the other engine. They succeed right before the check, so that the silent engine is
    /// selected if it is eligible.
    at_other: Vec<(u64, u32)>,
}

impl SilentEngine {
    /// Creates the state with a class whose mean run time is exactly `mean_run_time`.
    fn new(mean_run_time: Micros) -> Self {
        let mut relaxed = class(Idempotency::Idempotent);
        relaxed.deadline = 60 * S;
        relaxed.latency_objective = 60 * S;
        let mut controller = new_controller(default_settings(vec![relaxed]));
        let mut now = S;
        step(
            &mut controller,
            now,
            &[endpoint_list(ListScope::All, &[1, 2])],
        );
        for id in 0..20 {
            let (_, engine) = sends(&step(
                &mut controller,
                now,
                &[arrival_with_long_deadline(id, now)],
            ))[0];
            now += mean_run_time;
            step(&mut controller, now, &[success(id, engine, mean_run_time)]);
        }
        let (_, silent) = sends(&step(
            &mut controller,
            now,
            &[arrival_with_long_deadline(100, now)],
        ))[0];
        let more: Vec<Event> = (101..104)
            .map(|id| arrival_with_long_deadline(id, now))
            .collect();
        let sent = sends(&step(&mut controller, now, &more));
        let at_other: Vec<(u64, u32)> = sent
            .into_iter()
            .filter(|(_, engine)| *engine != silent)
            .collect();
        assert!(!at_other.is_empty(), "both engines are used");
        SilentEngine {
            controller,
            mean_run_time,
            now,
            silent,
            silent_since: now,
            at_other,
        }
    }

    /// Runs housekeeping in time until the engine has been silent for `silence`.
    fn wait(&mut self, silence: Micros) {
        while self.now + HOUSEKEEPING_INTERVAL <= self.silent_since + silence {
            self.advance(HOUSEKEEPING_INTERVAL);
        }
    }

    /// Handles the next batch after `pause`.
    fn advance(&mut self, pause: Micros) {
        self.now += pause;
        step(&mut self.controller, self.now, &[Event::Wakeup]);
    }

    /// Returns whether the silent engine still gets requests.
    fn gets_requests(&mut self) -> bool {
        let outcome = |(id, engine): &(u64, u32)| success(*id, *engine, self.mean_run_time);
        let outcomes: Vec<Event> = self.at_other.iter().map(outcome).collect();
        step(&mut self.controller, self.now, &outcomes);
        let next: Vec<Event> = (200..203)
            .map(|id| arrival_with_long_deadline(id, self.now))
            .collect();
        let sent = sends(&step(&mut self.controller, self.now, &next));
        sent.iter().any(|(_, engine)| *engine == self.silent)
    }
}

fn gets_requests_after(mean_run_time: Micros, silence: Micros) -> bool {
    let mut engine = SilentEngine::new(mean_run_time);
    engine.wait(silence);
    engine.gets_requests()
}

#[test]
fn an_engine_is_silent_after_four_mean_run_times_without_activity() {
    assert!(gets_requests_after(S, 4 * S - 100 * MS));
    assert!(!gets_requests_after(S, 4 * S + 100 * MS));
}

#[test]
fn an_engine_is_silent_after_one_second_without_activity() {
    assert!(gets_requests_after(100 * MS, S - 100 * MS));
    assert!(!gets_requests_after(100 * MS, S + 100 * MS));
}

/// Returns whether the silent engine still gets requests if the timer is delayed by `delay` after 900 ms of silence.
fn gets_requests_after_a_stall(delay: Micros) -> bool {
    let mut engine = SilentEngine::new(100 * MS);
    engine.wait(900 * MS);
    engine.advance(HOUSEKEEPING_INTERVAL + delay);
    engine.gets_requests()
}

#[test]
fn silence_is_excluded_only_if_the_timer_is_over_two_hundred_milliseconds_late() {
    assert!(!gets_requests_after_a_stall(180 * MS));
    assert!(gets_requests_after_a_stall(220 * MS));
}

/// Returns whether late requests are shed if a late response counts with this part of the priority weight.
fn is_shed_when_late(late_weight_ratio: f64) -> bool {
    let mut changed = class(Idempotency::Idempotent);
    changed.late_weight_ratio = late_weight_ratio;
    let mut controller = new_controller(default_settings(vec![changed]));
    // Without an engine, the request waits until it is late, long before its deadline.
    step(&mut controller, S, &[arrival(1, IDEMPOTENT, 6 * S)]);
    let mut now = S;
    let mut shed = false;
    while now < 4 * S {
        now += HOUSEKEEPING_INTERVAL;
        shed |= !responses(&step(&mut controller, now, &[Event::Wakeup])).is_empty();
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
    let mut with_grants = default_settings(vec![class(Idempotency::Idempotent)]);
    with_grants.memory_overcommit = true;
    with_grants.max_grant_mb = 5e6;
    let mut controller = new_controller(with_grants);
    let actions = step(
        &mut controller,
        S,
        &[
            endpoint_list(ListScope::All, &[1]),
            arrival(1, IDEMPOTENT, 9 * S),
        ],
    );
    assert_eq!(memory_grants(&actions), [1e6]);
}

#[test]
fn an_estimate_is_limited_to_a_million_megabytes() {
    let mut with_grants = default_settings(vec![class(Idempotency::Idempotent)]);
    with_grants.max_grant_mb = 5e6;
    let mut controller = new_controller(with_grants);
    let estimated = |estimate_mb: f64| {
        arrival_with(arrival(1, IDEMPOTENT, 9 * S), |arrival| {
            arrival.estimated_memory_mb = estimate_mb
        })
    };
    let actions = step(
        &mut controller,
        S,
        &[endpoint_list(ListScope::All, &[1]), estimated(3e6)],
    );
    assert_eq!(memory_grants(&actions), [1e6 * 1.2]);
}

/// Returns whether a query that spills early is cancelled if it lacks this much memory.
fn is_cancelled_for(missing_mb: f64) -> bool {
    let mut with_grants = default_settings(vec![class(Idempotency::Idempotent)]);
    with_grants.max_grant_mb = 5e6;
    with_grants.limits.cancel = true;
    with_grants.progress_interval = 300 * MS;
    let mut controller = new_controller(with_grants);
    let estimated = arrival_with(arrival(1, IDEMPOTENT, 9 * S), |a| {
        a.estimated_memory_mb = 100.0
    });
    step(
        &mut controller,
        S,
        &[endpoint_list(ListScope::All, &[1]), estimated],
    );
    let progress = Progress::Spilling(missing_mb);
    let spills = Event::Progress {
        request: RequestId(1),
        attempt: 0,
        engine: EngineId(1),
        progress,
    };
    let actions = step(&mut controller, S + 10 * MS, &[spills]);
    actions
        .iter()
        .any(|action| matches!(action, Action::Cancel { .. }))
}

#[test]
fn reported_values_of_a_million_or_more_are_ignored() {
    assert!(is_cancelled_for(999_999.0));
    assert!(!is_cancelled_for(1_000_000.0));
}

/// Returns how many of 64 free slots class 0 gets after control periods in which its requests waited for `wait`, and
/// those of class 1 did not wait.
fn slots_of_the_waiting_class(wait: Micros) -> usize {
    let idempotent = || class(Idempotency::Idempotent);
    let mut many_cores = default_settings(vec![idempotent(), idempotent()]);
    many_cores.cores = vec![32.0];
    let mut controller = new_controller(many_cores);
    let mut now = S;
    for id in (0..60).step_by(2) {
        step(
            &mut controller,
            now,
            &[
                endpoint_list(ListScope::All, &[]),
                arrival(id, 0, now + 5 * S),
            ],
        );
        now += wait;
        let events = [
            endpoint_list(ListScope::All, &[1]),
            arrival(id + 1, 1, now + 5 * S),
        ];
        assert_eq!(sends(&step(&mut controller, now, &events)).len(), 2);
        now += 500 * MS;
        let success = |id| outcome(id, 0, 1, AttemptStatus::Succeeded);
        step(&mut controller, now, &[success(id), success(id + 1)]);
    }
    let waiting: Vec<Event> = (100..228)
        .map(|id| arrival(id, (id % 2) as usize, now + 5 * S))
        .collect();
    step(&mut controller, now, &[endpoint_list(ListScope::All, &[])]);
    step(&mut controller, now, &waiting);
    let sent = sends(&step(
        &mut controller,
        now,
        &[endpoint_list(ListScope::All, &[1])],
    ));
    assert_eq!(sent.len(), 64);
    sent.iter().filter(|(id, _)| id % 2 == 0).count()
}

#[test]
fn waits_of_two_ticks_or_less_do_not_change_the_odds() {
    let tick = 5 * MS;
    assert!((20..=44).contains(&slots_of_the_waiting_class(2 * tick - MS)));
    assert!(slots_of_the_waiting_class(2 * tick + MS) > 55);
}
