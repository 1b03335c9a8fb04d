//! Progress events and cancellation: slow attempts, lost answers, disconnected clients.

mod common;
use common::*;
use hoptiller_policy::*;

/// A controller with one request out, and the engine that has it.
fn running(cfg: Settings) -> (Controller, u32) {
    let mut c = controller(cfg);
    step(&mut c, S, &[list(ListScope::All, &[1, 2])]);
    let sent = sends(&step(&mut c, S, &[arrival(1, 0, 26 * S)]));
    (c, sent[0].1)
}

#[test]
fn a_slow_attempt_is_cancelled_and_retried_once() {
    let (mut c, e) = running(with_progress(vec![long()]));
    // Half a second in and a hundredth done: 50 s to go against a usual run of 2.5 s.
    let out = step(&mut c, 1500 * MS, &[progress(1, 0, e, 0.01)]);
    assert_eq!(
        (cancels(&out), sends(&out)),
        (vec![(1, 0)], vec![]),
        "nothing else goes out before its outcome"
    );
    assert_eq!(
        cancels(&step(&mut c, 1600 * MS, &[progress(1, 0, e, 0.01)])),
        [],
        "withdrawn once"
    );
    let out = step(
        &mut c,
        1700 * MS,
        &[outcome(1, 0, e, AttemptStatus::Cancelled)],
    );
    assert_eq!(sends(&out), [(1, 3 - e)]);
    // The second is slow but in time: slow by itself.
    let out = step(&mut c, 3700 * MS, &[progress(1, 1, 3 - e, 0.15)]);
    assert_eq!((cancels(&out), answers(&out)), (vec![], vec![]));
    // Not within the client's deadline: abandoned and answered at once.
    let out = step(&mut c, 4700 * MS, &[progress(1, 1, 3 - e, 0.05)]);
    assert_eq!(
        (cancels(&out), answers(&out)),
        (vec![(1, 1)], vec![(1, true)])
    );
}

#[test]
fn a_usual_pace_continues_and_invalid_progress_does_no_harm() {
    let (mut c, e) = running(with_progress(vec![long()]));
    let odd = [f64::NAN, -1.0, 7.0, f64::INFINITY].map(|done| progress(1, 0, e, done));
    assert_eq!(cancels(&step(&mut c, 1400 * MS, &odd)), []);
    let strangers = [
        progress(9, 0, e, 0.0),
        progress(1, 4, e, 0.0),
        progress(1, 0, 77, 0.0),
    ];
    assert_eq!(cancels(&step(&mut c, 1450 * MS, &strangers)), []);
    assert_eq!(
        cancels(&step(
            &mut c,
            1500 * MS,
            &[progress(1, 0, e, 0.2), progress(1, 0, e, 0.1)]
        )),
        []
    );
    let out = step(
        &mut c,
        1600 * MS,
        &[
            outcome(1, 0, e, AttemptStatus::Succeeded),
            progress(1, 0, e, 0.0),
        ],
    );
    assert_eq!(
        (cancels(&out), answers(&out)),
        (vec![], vec![]),
        "a note of what is over"
    );
}

#[test]
fn a_non_idempotent_query_is_never_retried_for_its_pace() {
    let (mut c, e) = running(with_progress(vec![Class {
        idempotency: Idempotency::NotIdempotent,
        ..long()
    }]));
    let out = step(&mut c, 1500 * MS, &[progress(1, 0, e, 0.01)]);
    assert_eq!(
        (cancels(&out), answers(&out)),
        (vec![(1, 0)], vec![(1, false)]),
        "failed, not refused"
    );
    assert_eq!(
        sends(&step(
            &mut c,
            1700 * MS,
            &[outcome(1, 0, e, AttemptStatus::Cancelled)]
        )),
        []
    );
}

#[test]
fn an_attempt_without_progress_events_is_cancelled_and_retried() {
    let (mut c, e) = running(with_progress(vec![long()]));
    assert_eq!(cancels(&step(&mut c, 2 * S, &[progress(1, 0, e, 0.5)])), []);
    assert_eq!(
        cancels(&step(&mut c, 3500 * MS, &[])),
        [],
        "the next note is not surely due"
    );
    assert_eq!(cancels(&step(&mut c, 3700 * MS, &[])), [(1, 0)]);
    // The answer may cross the cancellation, and ends the request.
    let out = step(
        &mut c,
        3710 * MS,
        &[outcome(1, 0, e, AttemptStatus::Succeeded)],
    );
    assert_eq!((sends(&out), answers(&out)), (vec![], vec![]));
    let mut cfg = with_progress(vec![long()]);
    cfg.limits.cancel = false;
    let (mut c, _) = running(cfg);
    assert_eq!(
        cancels(&step(&mut c, 9 * S, &[])),
        [],
        "not where engines heed no cancel"
    );
}

#[test]
fn attempts_of_a_disconnected_client_are_cancelled() {
    let (mut c, e) = running(with_progress(vec![long()]));
    assert_eq!(
        cancels(&step(
            &mut c,
            2 * S,
            &[Event::ClientDisconnected(RequestId(1))]
        )),
        [(1, 0)]
    );
    let out = step(
        &mut c,
        2100 * MS,
        &[outcome(1, 0, e, AttemptStatus::Cancelled)],
    );
    assert_eq!(
        (cancels(&out), sends(&out), answers(&out)),
        (vec![], vec![], vec![])
    );
}

/// Lets `n` queries of one gateway among a hundred end late after `elapsed`; how many then go out at once.
fn sends_after_time_outs(progress_interval: Micros, elapsed: Micros, n: u64) -> usize {
    let mut cfg = Settings {
        gateways: 100,
        progress_interval,
        ..settings(vec![long()])
    };
    cfg.limits.max_attempts = 1;
    let mut c = controller(cfg);
    step(
        &mut c,
        S,
        &[list(ListScope::All, &(1..60).collect::<Vec<_>>())],
    );
    for id in 0..n {
        let now = S + id * 100 * MS;
        let sent = sends(&step(&mut c, now, &[arrival(id, 0, now + 25 * S)]));
        let late = |s: &(u64, u32)| {
            outcome_with(outcome(s.0, 0, s.1, AttemptStatus::TimedOut), |o| {
                o.elapsed = elapsed
            })
        };
        step(
            &mut c,
            now + 50 * MS,
            &sent.iter().map(late).collect::<Vec<_>>(),
        );
    }
    let events: Vec<Event> = (500..600).map(|id| arrival(id, 0, 29 * S)).collect();
    sends(&step(&mut c, 5 * S, &events)).len()
}

#[test]
fn time_outs_shrink_the_congestion_window_where_progress_is_reported() {
    assert!(
        sends_after_time_outs(S, 20 * S, 12) <= 2,
        "crawling engines are buried: {}",
        sends_after_time_outs(S, 20 * S, 12)
    );
    assert!(
        sends_after_time_outs(0, 20 * S, 12) > 8,
        "one engine's time-outs close all: {}",
        sends_after_time_outs(0, 20 * S, 12)
    );
    assert!(
        sends_after_time_outs(S, S, 12) > 8,
        "clients in a hurry close all: {}",
        sends_after_time_outs(S, S, 12)
    );
}

#[test]
fn a_congestion_window_under_one_query_pauses_the_class() {
    let quick = class(Idempotency::Idempotent); // Worth as much for less work: it runs ahead, in its own window.
    let wide = Class {
        threads: 8.0,
        ..long()
    };
    let cfg = Settings {
        gateways: 100,
        load_reports: false,
        ..settings(vec![wide, quick])
    };
    let mut c = controller(cfg);
    step(
        &mut c,
        S,
        &[list(ListScope::All, &(1..60).collect::<Vec<_>>())],
    );
    for id in 0..20 {
        let now = S + id * 10 * MS;
        let sent = sends(&step(&mut c, now, &[arrival(id, 1, now + 5 * S)]));
        let slow = |s: &(u64, u32)| {
            outcome_with(outcome(s.0, 0, s.1, AttemptStatus::Rejected), |o| {
                o.terminal = true
            })
        };
        step(
            &mut c,
            now + 5 * MS,
            &sent.iter().map(slow).collect::<Vec<_>>(),
        );
    }
    let first = sends(&step(&mut c, 2 * S, &[arrival(50, 0, 26 * S)]));
    assert_eq!(first.len(), 1, "the first goes out alone");
    let out = step(
        &mut c,
        3 * S,
        &[
            outcome(50, 0, first[0].1, AttemptStatus::Succeeded),
            arrival(51, 0, 28 * S),
        ],
    );
    assert_eq!(sends(&out), [], "then the class rests");
    let later = (1..40).find(|n| !sends(&step(&mut c, 3 * S + n * 100 * MS, &[])).is_empty());
    assert!(later.is_some(), "and goes on");
}

#[test]
fn a_slow_retry_is_abandoned_only_under_overload() {
    let slow_again = |full: u64| {
        let mut c = controller(with_progress(vec![long()]));
        step(&mut c, S, &[list(ListScope::All, &[1, 2])]);
        // One in each period, which restores the limit of a full engine.
        let mut t = S;
        for id in 10..10 + full {
            let sent = sends(&step(&mut c, t, &[arrival(id, 0, t + 25 * S)]));
            let rejected = outcome(id, 0, sent[0].1, AttemptStatus::Rejected);
            step(&mut c, t, &[outcome_with(rejected, |o| o.terminal = true)]);
            t += 2_100 * MS;
            step(&mut c, t, &[]);
        }
        let e = sends(&step(&mut c, t, &[arrival(1, 0, t + 25 * S)]))[0].1;
        step(&mut c, t + 500 * MS, &[progress(1, 0, e, 0.01)]);
        let e = sends(&step(
            &mut c,
            t + 600 * MS,
            &[outcome(1, 0, e, AttemptStatus::Cancelled)],
        ))[0]
            .1;
        // Eight seconds to go, over three runs, and in time.
        let out = step(&mut c, t + 1600 * MS, &[progress(1, 1, e, 0.11)]);
        (cancels(&out), answers(&out))
    };
    assert_eq!(slow_again(0), (vec![], vec![]));
    assert_eq!(
        slow_again(9),
        (vec![(1, 1)], vec![(1, true)]),
        "answered at once"
    );
}

#[test]
fn a_blocked_query_is_retried_once_and_not_abandoned() {
    let (mut c, e) = running(with_progress(vec![long()]));
    assert_eq!(
        cancels(&step(&mut c, 1500 * MS, &[progress(1, 0, e, 0.0)])),
        [(1, 0)]
    );
    let e = sends(&step(
        &mut c,
        1600 * MS,
        &[outcome(1, 0, e, AttemptStatus::Cancelled)],
    ))[0]
        .1;
    // Ten seconds blocked, then a usual pace, must not count as a slow attempt.
    for s in 2..=11 {
        let out = step(&mut c, s * S, &[progress(1, 1, e, 0.0)]);
        assert_eq!((cancels(&out), answers(&out)), (vec![], vec![]), "at {s} s");
    }
    assert_eq!(
        cancels(&step(&mut c, 12 * S, &[progress(1, 1, e, 0.1)])),
        []
    );
}

#[test]
fn an_endless_progress_interval_does_no_harm() {
    let (mut c, _) = running(Settings {
        progress_interval: Micros::MAX,
        ..with_progress(vec![long()])
    });
    assert_eq!(
        cancels(&step(&mut c, 9 * S, &[])),
        [],
        "none is due, and nothing overflows"
    );
}
