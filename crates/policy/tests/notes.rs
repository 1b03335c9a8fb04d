//! Notes of progress and withdrawals: bad plans, lost answers, clients that left.

mod common;
use common::*;
use hoptiller_policy::*;

fn noted(classes: Vec<Class>) -> Settings {
    let mut cfg = Settings { progress_interval: S, ..settings(classes) };
    cfg.limits.cancel = true;
    cfg
}

fn note(id: u64, hop: u32, engine: u32, done: f64) -> Event {
    let progress = Progress::Completed(done);
    Event::Progress { request: RequestId(id), attempt: hop, engine: EngineId(engine), progress }
}

fn long() -> Class {
    Class { deadline: 25 * S, ..class(Idempotency::Idempotent) }
}

fn cancels(actions: &[Action]) -> Vec<(u64, u32)> {
    let pick = |a: &Action| match a {
        Action::Cancel { request, attempt: hop } => Some((request.0, *hop)),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

/// A controller with one request out, and the engine that has it.
fn running(cfg: Settings) -> (Controller, u32) {
    let mut c = Controller::new(cfg, 1).expect("usable settings");
    step(&mut c, S, &[list(ListScope::All, &[1, 2])]);
    let sent = sends(&step(&mut c, S, &[arrival(1, 0, 26 * S)]));
    (c, sent[0].1)
}

#[test]
fn a_bad_plan_is_withdrawn_and_tried_again_once() {
    let (mut c, e) = running(noted(vec![long()]));
    // Half a second in and a hundredth done: 50 s to go against a usual run of 2.5 s.
    let out = step(&mut c, 1500 * MS, &[note(1, 0, e, 0.01)]);
    assert_eq!(
        (cancels(&out), sends(&out)),
        (vec![(1, 0)], vec![]),
        "nothing else goes out before its outcome"
    );
    assert_eq!(cancels(&step(&mut c, 1600 * MS, &[note(1, 0, e, 0.01)])), [], "withdrawn once");
    let out = step(&mut c, 1700 * MS, &[outcome(1, 0, e, AttemptStatus::Cancelled)]);
    assert_eq!(sends(&out), [(1, 3 - e)]);
    // The second is slow but in time: slow by itself.
    let out = step(&mut c, 3700 * MS, &[note(1, 1, 3 - e, 0.15)]);
    assert_eq!((cancels(&out), answers(&out)), (vec![], vec![]));
    // Past the client's patience: given up and answered at once.
    let out = step(&mut c, 4700 * MS, &[note(1, 1, 3 - e, 0.05)]);
    assert_eq!((cancels(&out), answers(&out)), (vec![(1, 1)], vec![(1, true)]));
}

#[test]
fn a_usual_pace_goes_on_and_odd_notes_do_no_harm() {
    let (mut c, e) = running(noted(vec![long()]));
    let odd = [f64::NAN, -1.0, 7.0, f64::INFINITY].map(|done| note(1, 0, e, done));
    assert_eq!(cancels(&step(&mut c, 1400 * MS, &odd)), []);
    let strangers = [note(9, 0, e, 0.0), note(1, 4, e, 0.0), note(1, 0, 77, 0.0)];
    assert_eq!(cancels(&step(&mut c, 1450 * MS, &strangers)), []);
    assert_eq!(cancels(&step(&mut c, 1500 * MS, &[note(1, 0, e, 0.2), note(1, 0, e, 0.1)])), []);
    let out = step(&mut c, 1600 * MS, &[outcome(1, 0, e, AttemptStatus::Succeeded), note(1, 0, e, 0.0)]);
    assert_eq!((cancels(&out), answers(&out)), (vec![], vec![]), "a note of what is over");
}

#[test]
fn an_unsafe_query_is_never_tried_again_for_its_pace() {
    let (mut c, e) = running(noted(vec![Class { idempotency: Idempotency::NotIdempotent, ..long() }]));
    let out = step(&mut c, 1500 * MS, &[note(1, 0, e, 0.01)]);
    assert_eq!((cancels(&out), answers(&out)), (vec![(1, 0)], vec![(1, false)]), "failed, not refused");
    assert_eq!(sends(&step(&mut c, 1700 * MS, &[outcome(1, 0, e, AttemptStatus::Cancelled)])), []);
}

#[test]
fn an_attempt_without_notes_is_gone_and_its_request_tried_again() {
    let (mut c, e) = running(noted(vec![long()]));
    assert_eq!(cancels(&step(&mut c, 2 * S, &[note(1, 0, e, 0.5)])), []);
    assert_eq!(cancels(&step(&mut c, 3500 * MS, &[])), [], "the next note is not surely due");
    assert_eq!(cancels(&step(&mut c, 3700 * MS, &[])), [(1, 0)]);
    // Danger: the answer may cross the withdrawal, and ends the request.
    let out = step(&mut c, 3710 * MS, &[outcome(1, 0, e, AttemptStatus::Succeeded)]);
    assert_eq!((sends(&out), answers(&out)), (vec![], vec![]));
    let mut cfg = noted(vec![long()]);
    cfg.limits.cancel = false;
    let (mut c, _) = running(cfg);
    assert_eq!(cancels(&step(&mut c, 9 * S, &[])), [], "not where engines heed no cancel");
}

#[test]
fn work_of_a_client_that_left_is_withdrawn() {
    let (mut c, e) = running(noted(vec![long()]));
    assert_eq!(cancels(&step(&mut c, 2 * S, &[Event::ClientDisconnected(RequestId(1))])), [(1, 0)]);
    let out = step(&mut c, 2100 * MS, &[outcome(1, 0, e, AttemptStatus::Cancelled)]);
    assert_eq!((cancels(&out), sends(&out), answers(&out)), (vec![], vec![], vec![]));
}

/// Lets `n` queries of one gateway among a hundred end late after `elapsed`; how many then go out at once.
fn after_late(progress_every: Micros, elapsed: Micros, n: u64) -> usize {
    let mut cfg = Settings { gateways: 100, progress_interval: progress_every, ..settings(vec![long()]) };
    cfg.limits.max_attempts = 1;
    let mut c = Controller::new(cfg, 1).expect("usable settings");
    step(&mut c, S, &[list(ListScope::All, &(1..60).collect::<Vec<_>>())]);
    for id in 0..n {
        let now = S + id * 100 * MS;
        let sent = sends(&step(&mut c, now, &[arrival(id, 0, now + 25 * S)]));
        let late = |s: &(u64, u32)| match outcome(s.0, 0, s.1, AttemptStatus::TimedOut) {
            Event::Outcome(o) => Event::Outcome(Outcome { elapsed, ..o }),
            other => other,
        };
        step(&mut c, now + 50 * MS, &sent.iter().map(late).collect::<Vec<_>>());
    }
    let events: Vec<Event> = (500..600).map(|id| arrival(id, 0, 29 * S)).collect();
    sends(&step(&mut c, 5 * S, &events)).len()
}

#[test]
fn time_outs_close_the_window_where_notes_come() {
    assert!(after_late(S, 20 * S, 12) <= 2, "crawling engines are buried: {}", after_late(S, 20 * S, 12));
    assert!(after_late(0, 20 * S, 12) > 8, "one engine's time-outs close all: {}", after_late(0, 20 * S, 12));
    assert!(after_late(S, S, 12) > 8, "clients in a hurry close all: {}", after_late(S, S, 12));
}

#[test]
fn a_window_under_one_query_is_kept_by_rests() {
    let quick = class(Idempotency::Idempotent); // Worth as much for less work: it runs ahead, in its own window.
    let wide = Class { threads: 8.0, ..long() };
    let cfg = Settings { gateways: 100, load_reports: false, ..settings(vec![wide, quick]) };
    let mut c = Controller::new(cfg, 1).expect("usable settings");
    step(&mut c, S, &[list(ListScope::All, &(1..60).collect::<Vec<_>>())]);
    for id in 0..20 {
        let now = S + id * 10 * MS;
        let sent = sends(&step(&mut c, now, &[arrival(id, 1, now + 5 * S)]));
        let slow = |s: &(u64, u32)| match outcome(s.0, 0, s.1, AttemptStatus::Rejected) {
            Event::Outcome(o) => Event::Outcome(Outcome { terminal: true, ..o }),
            other => other,
        };
        step(&mut c, now + 5 * MS, &sent.iter().map(slow).collect::<Vec<_>>());
    }
    let first = sends(&step(&mut c, 2 * S, &[arrival(50, 0, 26 * S)]));
    assert_eq!(first.len(), 1, "the first goes out alone");
    let out =
        step(&mut c, 3 * S, &[outcome(50, 0, first[0].1, AttemptStatus::Succeeded), arrival(51, 0, 28 * S)]);
    assert_eq!(sends(&out), [], "then the class rests");
    let later = (1..40).find(|n| !sends(&step(&mut c, 3 * S + n * 100 * MS, &[])).is_empty());
    assert!(later.is_some(), "and goes on");
}

#[test]
fn full_grants_only_where_they_take_nothing() {
    let grant = |overcommits| {
        let cfg = Settings { max_grant_mb: 4096.0, memory_overcommit: overcommits, ..settings(vec![long()]) };
        let mut c = Controller::new(cfg, 1).expect("usable settings");
        let out = step(&mut c, S, &[list(ListScope::All, &[1]), arrival(1, 0, 26 * S)]);
        out.iter().any(|a| matches!(a, Action::SetOptions { memory_grant_mb: grant, .. } if *grant == 4096.0))
    };
    assert!(grant(true) && !grant(false));
}

#[test]
fn what_spills_at_its_start_is_withdrawn_once_and_granted_what_it_lacked() {
    let start = |cfg: Settings| {
        let mut c = Controller::new(cfg, 1).expect("usable settings");
        step(&mut c, S, &[list(ListScope::All, &[1, 2])]);
        let Event::Arrival(a) = arrival(1, 0, 26 * S) else { unreachable!("an arrival") };
        let out = step(&mut c, S, &[Event::Arrival(Arrival { estimated_memory_mb: 100.0, ..a })]);
        (c, sends(&out)[0].1, grants(&out))
    };
    let spills = |hop, engine, mb| {
        let (request, engine) = (RequestId(1), EngineId(engine));
        Event::Progress { request, attempt: hop, engine, progress: Progress::Spilling(mb) }
    };
    let cfg = || Settings { max_grant_mb: 4096.0, ..noted(vec![long()]) };
    let (mut c, e, granted) = start(cfg());
    assert_eq!(granted, [120.0], "a fifth over the estimate");
    for odd in [f64::NAN, -5.0, f64::INFINITY] {
        assert_eq!(cancels(&step(&mut c, S + 5 * MS, &[spills(0, e, odd)])), []);
    }
    assert_eq!(cancels(&step(&mut c, S + 6 * MS, &[spills(0, e, 300.0)])), [(1, 0)]);
    let out = step(&mut c, S + 10 * MS, &[outcome(1, 0, e, AttemptStatus::Cancelled)]);
    assert_eq!((sends(&out), grants(&out)), (vec![(1, 3 - e)], vec![420.0]));
    assert_eq!(cancels(&step(&mut c, S + 15 * MS, &[spills(1, 3 - e, 50.0)])), [], "once");
    let (mut c, e, _) = start(cfg());
    assert_eq!(cancels(&step(&mut c, 2 * S, &[spills(0, e, 300.0)])), [], "not what has done much");
    let keyed = Class {
        idempotency: Idempotency::WithKey { scope: DeduplicationScope::All, window: 20 * S },
        ..long()
    };
    let (mut c, e, _) = start(Settings { classes: vec![keyed], ..cfg() });
    assert_eq!(cancels(&step(&mut c, S + 5 * MS, &[spills(0, e, 300.0)])), [], "not what may not run twice");
}

#[test]
fn spills_raise_the_grants_of_their_class() {
    let cfg = Settings { max_grant_mb: 4096.0, ..noted(vec![class(Idempotency::NotIdempotent)]) };
    let mut c = Controller::new(cfg, 1).expect("usable settings");
    step(&mut c, S, &[list(ListScope::All, &[1])]);
    let mut granted = Vec::new();
    for id in 0..5 {
        let now = 2 * S + id * 200 * MS;
        let Event::Arrival(a) = arrival(id, 0, now + 5 * S) else { unreachable!("an arrival") };
        granted.extend(grants(&step(
            &mut c,
            now,
            &[Event::Arrival(Arrival { estimated_memory_mb: 100.0, ..a })],
        )));
        let (request, engine, progress) = (RequestId(id), EngineId(1), Progress::Spilling(90.0));
        step(&mut c, now + 5 * MS, &[Event::Progress { request, attempt: 0, engine, progress }]);
        step(&mut c, now + 100 * MS, &[outcome(id, 0, 1, AttemptStatus::Succeeded)]);
    }
    assert!(granted.windows(2).all(|w| w[1] > w[0]), "{granted:?}");
}

fn grants(actions: &[Action]) -> Vec<f64> {
    let pick = |a: &Action| match a {
        Action::SetOptions { memory_grant_mb: grant, .. } => Some(*grant),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

#[test]
fn what_is_slow_by_itself_is_given_up_only_under_pressure() {
    let slow_again = |full: u64| {
        let mut c = Controller::new(noted(vec![long()]), 1).expect("usable settings");
        step(&mut c, S, &[list(ListScope::All, &[1, 2])]);
        // One in each period, which gives a full engine its places back.
        let mut t = S;
        for id in 10..10 + full {
            let sent = sends(&step(&mut c, t, &[arrival(id, 0, t + 25 * S)]));
            let Event::Outcome(o) = outcome(id, 0, sent[0].1, AttemptStatus::Rejected) else {
                unreachable!("an outcome")
            };
            step(&mut c, t, &[Event::Outcome(Outcome { terminal: true, ..o })]);
            t += 2_100 * MS;
            step(&mut c, t, &[]);
        }
        let e = sends(&step(&mut c, t, &[arrival(1, 0, t + 25 * S)]))[0].1;
        step(&mut c, t + 500 * MS, &[note(1, 0, e, 0.01)]);
        let e = sends(&step(&mut c, t + 600 * MS, &[outcome(1, 0, e, AttemptStatus::Cancelled)]))[0].1;
        // Eight seconds to go, over three runs, and in time.
        let out = step(&mut c, t + 1600 * MS, &[note(1, 1, e, 0.11)]);
        (cancels(&out), answers(&out))
    };
    assert_eq!(slow_again(0), (vec![], vec![]));
    assert_eq!(slow_again(9), (vec![(1, 1)], vec![(1, true)]), "answered at once");
}

#[test]
fn what_waits_for_memory_or_behind_a_load_goes_elsewhere_once_and_is_not_given_up() {
    let (mut c, e) = running(noted(vec![long()]));
    assert_eq!(cancels(&step(&mut c, 1500 * MS, &[note(1, 0, e, 0.0)])), [(1, 0)]);
    let e = sends(&step(&mut c, 1600 * MS, &[outcome(1, 0, e, AttemptStatus::Cancelled)]))[0].1;
    // Danger: ten seconds of standing still, then a usual pace, must not read as a bad plan.
    for s in 2..=11 {
        let out = step(&mut c, s * S, &[note(1, 1, e, 0.0)]);
        assert_eq!((cancels(&out), answers(&out)), (vec![], vec![]), "at {s} s");
    }
    assert_eq!(cancels(&step(&mut c, 12 * S, &[note(1, 1, e, 0.1)])), []);
}

#[test]
fn an_endless_interval_of_notes_does_no_harm() {
    let (mut c, _) = running(Settings { progress_interval: Micros::MAX, ..noted(vec![long()]) });
    assert_eq!(cancels(&step(&mut c, 9 * S, &[])), [], "none is due, and nothing overflows");
}
