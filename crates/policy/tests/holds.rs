//! Holds on statement kinds and table groups: attempts at once, excluded engines, and that no other request waits.

mod common;
use common::*;
use hoptiller_policy::*;

fn with_priorities(classes: Vec<Class>) -> Controller {
    let mut cfg = settings(classes);
    cfg.limits.priorities = true;
    controller(cfg)
}

fn of_kind(id: u64, kind: u64) -> Event {
    arrival_with(arrival(id, 0, 6 * S), |a| a.kind = Some(kind))
}

fn of_group(id: u64, group: u64) -> Event {
    arrival_with(arrival(id, 0, 6 * S), |a| a.group = Some(group))
}

fn hold(target: HoldTarget, max_in_flight: u32, excluded: &[u32], low_priority: bool) -> Event {
    Event::Hold(Hold {
        target,
        max_in_flight,
        excluded_engines: excluded.iter().map(|e| EngineId(*e)).collect(),
        low_priority,
    })
}

const KIND: HoldTarget = HoldTarget::Kind(7);

#[test]
fn a_held_kind_is_limited_and_the_rest_of_its_class_continues() {
    let mut c = with_priorities(vec![class(Idempotency::Idempotent)]);
    let events = [
        list(ListScope::All, &[1, 2]),
        hold(KIND, 1, &[], false),
        of_kind(1, 7),
        of_kind(2, 7),
        of_kind(3, 8),
        of_kind(4, 7),
    ];
    let sent = sends(&step(&mut c, S, &events));
    assert_eq!(sent.iter().map(|s| s.0).collect::<Vec<_>>(), [1, 3]);
    for n in 1..20 {
        assert!(
            sends(&step(&mut c, S + n * 20 * MS, &[Event::Wakeup])).is_empty(),
            "held while one is out"
        );
    }
    let mut sent = sends(&step(
        &mut c,
        2 * S,
        &[outcome(1, 0, sent[0].1, AttemptStatus::Succeeded)],
    ));
    sent.extend(sends(&step(&mut c, 2 * S + 20 * MS, &[Event::Wakeup])));
    assert_eq!(
        sent.iter().map(|s| s.0).collect::<Vec<_>>(),
        [2],
        "the next one of it, and no more"
    );
}

#[test]
fn attempts_in_flight_when_a_hold_begins_count() {
    let mut c = with_priorities(vec![class(Idempotency::Idempotent)]);
    step(
        &mut c,
        S,
        &[list(ListScope::All, &[1, 2]), of_kind(1, 7), of_kind(2, 7)],
    );
    let sent = sends(&step(
        &mut c,
        S + MS,
        &[hold(KIND, 2, &[], false), of_kind(3, 7)],
    ));
    assert!(sent.is_empty());
    let sent = sends(&step(&mut c, S + 40 * MS, &[hold(KIND, 3, &[], false)]));
    assert_eq!(sent.len(), 1, "it has grown by one");
}

#[test]
fn excluded_engines_get_no_held_requests() {
    for (of, event) in [
        (KIND, of_kind as fn(u64, u64) -> Event),
        (HoldTarget::Group(7), of_group),
    ] {
        let mut c = with_priorities(vec![class(Idempotency::Idempotent)]);
        step(
            &mut c,
            S,
            &[
                list(ListScope::All, &[1, 2, 3]),
                hold(of, u32::MAX, &[1, 3], false),
            ],
        );
        for id in 0..6 {
            let sent = sends(&step(&mut c, S + id * MS, &[event(id, 7)]));
            assert!(sent.iter().all(|s| s.1 == 2), "{sent:?}");
        }
        let sent = sends(&step(&mut c, S + 20 * MS, &[event(10, 8), event(11, 8)]));
        assert!(sent.iter().any(|s| s.1 != 2));
    }
}

#[test]
fn a_lifted_hold_releases_requests_and_expired_ones_are_rejected() {
    let mut c = with_priorities(vec![class(Idempotency::Idempotent)]);
    let begin = [
        list(ListScope::All, &[1]),
        hold(KIND, 0, &[], false),
        of_kind(1, 7),
    ];
    assert!(sends(&step(&mut c, S, &begin)).is_empty());
    let mut answered = Vec::new();
    for now in (S..6 * S).step_by(20_000) {
        answered.extend(answers(&step(&mut c, now, &[Event::Wakeup])));
    }
    assert_eq!(
        answered,
        [(1, true)],
        "exactly one answer, harmless, while it is held"
    );
    step(
        &mut c,
        6 * S,
        &[arrival_with(of_kind(2, 7), |a| a.valid_until = 12 * S)],
    );
    let mut sent = sends(&step(&mut c, 7 * S, &[hold(KIND, u32::MAX, &[], false)]));
    sent.extend(sends(&step(&mut c, 7 * S + 20 * MS, &[Event::Wakeup])));
    assert_eq!(sent, [(2, 1)]);
}

#[test]
fn a_low_priority_hold_lowers_the_engine_priority() {
    let priorities = |last| {
        let mut c = with_priorities(vec![class(Idempotency::Idempotent)]);
        let out = step(
            &mut c,
            S,
            &[
                list(ListScope::All, &[1]),
                hold(KIND, 1, &[], last),
                of_kind(1, 7),
            ],
        );
        out.iter().find_map(|a| {
            if let Action::SetOptions { priority, .. } = a {
                Some(*priority)
            } else {
                None
            }
        })
    };
    assert_eq!((priorities(true), priorities(false)), (Some(0), Some(3)));
}

#[test]
fn thousands_of_held_requests_cost_little_and_are_all_answered() {
    let mut c = with_priorities(vec![class(Idempotency::Idempotent)]);
    step(
        &mut c,
        S,
        &[
            list(ListScope::All, &[1, 2, 3, 4]),
            hold(KIND, 1, &[], false),
        ],
    );
    let all: Vec<Event> = (0..5000).map(|id| of_kind(id, 7)).collect();
    let mut answered = answers(&step(&mut c, S, &all)).len();
    let mut sent = 0;
    for now in (S..6 * S + 20 * MS).step_by(20_000) {
        let out = step(&mut c, now, &[Event::Wakeup]);
        answered += answers(&out).len();
        sent += sends(&out).len();
    }
    assert_eq!(
        (answered, sent),
        (4999, 0),
        "the one that is out is not given up by the module alone"
    );
}
