//! Holds on statement kinds and table groups: attempts in flight, excluded engines, and no delay of other requests.

mod common;
use common::*;
use hoptiller_policy::*;

fn with_priorities(classes: Vec<Class>) -> Controller {
    let mut settings = default_settings(classes);
    settings.limits.priorities = true;
    new_controller(settings)
}

fn arrival_of_kind(id: u64, kind: u64) -> Event {
    arrival_with(arrival(id, 0, 6 * S), |a| a.kind = Some(kind))
}

fn arrival_of_group(id: u64, group: u64) -> Event {
    arrival_with(arrival(id, 0, 6 * S), |a| a.group = Some(group))
}

fn hold(target: HoldTarget, max_in_flight: u32, excluded: &[u32], low_priority: bool) -> Event {
    Event::Hold(Hold {
        target,
        max_in_flight,
        excluded_engines: excluded.iter().map(|engine| EngineId(*engine)).collect(),
        low_priority,
    })
}

const KIND: HoldTarget = HoldTarget::Kind(7);

#[test]
fn a_held_kind_is_limited_and_the_rest_of_its_class_continues() {
    let mut controller = with_priorities(vec![class(Idempotency::Idempotent)]);
    let events = [
        endpoint_list(ListScope::All, &[1, 2]),
        hold(KIND, 1, &[], false),
        arrival_of_kind(1, 7),
        arrival_of_kind(2, 7),
        arrival_of_kind(3, 8),
        arrival_of_kind(4, 7),
    ];
    let sent = sends(&step(&mut controller, S, &events));
    assert_eq!(sent.iter().map(|s| s.0).collect::<Vec<_>>(), [1, 3]);
    for n in 1..20 {
        assert!(
            sends(&step(&mut controller, S + n * 20 * MS, &[Event::Wakeup])).is_empty(),
            "no second one while one is in flight"
        );
    }
    let mut sent = sends(&step(
        &mut controller,
        2 * S,
        &[outcome(1, 0, sent[0].1, AttemptStatus::Succeeded)],
    ));
    sent.extend(sends(&step(
        &mut controller,
        2 * S + 20 * MS,
        &[Event::Wakeup],
    )));
    assert_eq!(
        sent.iter().map(|s| s.0).collect::<Vec<_>>(),
        [2],
        "only the next held request is sent"
    );
}

#[test]
fn attempts_in_flight_when_a_hold_begins_count() {
    let mut controller = with_priorities(vec![class(Idempotency::Idempotent)]);
    step(
        &mut controller,
        S,
        &[
            endpoint_list(ListScope::All, &[1, 2]),
            arrival_of_kind(1, 7),
            arrival_of_kind(2, 7),
        ],
    );
    let sent = sends(&step(
        &mut controller,
        S + MS,
        &[hold(KIND, 2, &[], false), arrival_of_kind(3, 7)],
    ));
    assert!(sent.is_empty());
    let sent = sends(&step(
        &mut controller,
        S + 40 * MS,
        &[hold(KIND, 3, &[], false)],
    ));
    assert_eq!(sent.len(), 1, "the hold permits one more");
}

#[test]
fn excluded_engines_get_no_held_requests() {
    for (target, event) in [
        (KIND, arrival_of_kind as fn(u64, u64) -> Event),
        (HoldTarget::Group(7), arrival_of_group),
    ] {
        let mut controller = with_priorities(vec![class(Idempotency::Idempotent)]);
        step(
            &mut controller,
            S,
            &[
                endpoint_list(ListScope::All, &[1, 2, 3]),
                hold(target, u32::MAX, &[1, 3], false),
            ],
        );
        for id in 0..6 {
            let sent = sends(&step(&mut controller, S + id * MS, &[event(id, 7)]));
            assert!(sent.iter().all(|s| s.1 == 2), "{sent:?}");
        }
        let sent = sends(&step(
            &mut controller,
            S + 20 * MS,
            &[event(10, 8), event(11, 8)],
        ));
        assert!(sent.iter().any(|s| s.1 != 2));
    }
}

#[test]
fn a_lifted_hold_releases_requests_and_expired_ones_are_rejected() {
    let mut controller = with_priorities(vec![class(Idempotency::Idempotent)]);
    let begin = [
        endpoint_list(ListScope::All, &[1]),
        hold(KIND, 0, &[], false),
        arrival_of_kind(1, 7),
    ];
    assert!(sends(&step(&mut controller, S, &begin)).is_empty());
    let mut responded = Vec::new();
    for now in (S..6 * S).step_by(20_000) {
        responded.extend(responses(&step(&mut controller, now, &[Event::Wakeup])));
    }
    assert_eq!(
        responded,
        [(1, true)],
        "one response while the request is held: a rejection"
    );
    step(
        &mut controller,
        6 * S,
        &[arrival_with(arrival_of_kind(2, 7), |a| {
            a.valid_until = 12 * S
        })],
    );
    let mut sent = sends(&step(
        &mut controller,
        7 * S,
        &[hold(KIND, u32::MAX, &[], false)],
    ));
    sent.extend(sends(&step(
        &mut controller,
        7 * S + 20 * MS,
        &[Event::Wakeup],
    )));
    assert_eq!(sent, [(2, 1)]);
}

#[test]
fn a_low_priority_hold_lowers_the_engine_priority() {
    let priority = |low_priority| {
        let mut controller = with_priorities(vec![class(Idempotency::Idempotent)]);
        let actions = step(
            &mut controller,
            S,
            &[
                endpoint_list(ListScope::All, &[1]),
                hold(KIND, 1, &[], low_priority),
                arrival_of_kind(1, 7),
            ],
        );
        actions.iter().find_map(|action| {
            if let Action::SetOptions { priority, .. } = action {
                Some(*priority)
            } else {
                None
            }
        })
    };
    assert_eq!((priority(true), priority(false)), (Some(0), Some(3)));
}

#[test]
fn thousands_of_held_requests_all_get_a_response() {
    let mut controller = with_priorities(vec![class(Idempotency::Idempotent)]);
    step(
        &mut controller,
        S,
        &[
            endpoint_list(ListScope::All, &[1, 2, 3, 4]),
            hold(KIND, 1, &[], false),
        ],
    );
    let all: Vec<Event> = (0..5000).map(|id| arrival_of_kind(id, 7)).collect();
    let mut responded = responses(&step(&mut controller, S, &all)).len();
    let mut sent = 0;
    for now in (S..6 * S + 20 * MS).step_by(20_000) {
        let actions = step(&mut controller, now, &[Event::Wakeup]);
        responded += responses(&actions).len();
        sent += sends(&actions).len();
    }
    assert_eq!(
        (responded, sent),
        (4999, 0),
        "only the request in flight waits for its outcome"
    );
}
