//! Kinds and groups that are held: how many at once, where, and that nobody else waits for it.

mod common;
use common::*;
use hoptiller_policy::*;

fn controller(classes: Vec<Class>) -> Controller {
    let mut cfg = settings(classes);
    cfg.limits.priorities = true;
    Controller::new(cfg, 1).expect("usable settings")
}

fn of_kind(id: u64, kind: u64) -> Event {
    match arrival(id, 0, 6 * S) {
        Event::Arrival(a) => Event::Arrival(Arrival { kind: Some(kind), ..a }),
        other => other,
    }
}

fn of_group(id: u64, group: u64) -> Event {
    match arrival(id, 0, 6 * S) {
        Event::Arrival(a) => Event::Arrival(Arrival { group: Some(group), ..a }),
        other => other,
    }
}

fn hold(of: HoldTarget, most: u32, closed: &[u32], last: bool) -> Event {
    Event::Hold(Hold {
        target: of,
        max_in_flight: most,
        excluded_engines: closed.iter().map(|e| EngineId(*e)).collect(),
        low_priority: last,
    })
}

const K: HoldTarget = HoldTarget::Kind(7);

#[test]
fn a_held_kind_runs_one_at_a_time_and_the_rest_of_its_class_goes_on() {
    let mut c = controller(vec![class(Idempotency::Idempotent)]);
    let events = [
        list(ListScope::All, &[1, 2]),
        hold(K, 1, &[], false),
        of_kind(1, 7),
        of_kind(2, 7),
        of_kind(3, 8),
        of_kind(4, 7),
    ];
    let sent = sends(&step(&mut c, S, &events));
    assert_eq!(sent.iter().map(|s| s.0).collect::<Vec<_>>(), [1, 3]);
    for n in 1..20 {
        assert!(sends(&step(&mut c, S + n * 20 * MS, &[Event::Wakeup])).is_empty(), "held while one is out");
    }
    let mut sent = sends(&step(&mut c, 2 * S, &[outcome(1, 0, sent[0].1, AttemptStatus::Succeeded)]));
    sent.extend(sends(&step(&mut c, 2 * S + 20 * MS, &[Event::Wakeup])));
    assert_eq!(sent.iter().map(|s| s.0).collect::<Vec<_>>(), [2], "the next one of it, and no more");
}

#[test]
fn what_is_out_when_a_hold_begins_counts() {
    let mut c = controller(vec![class(Idempotency::Idempotent)]);
    step(&mut c, S, &[list(ListScope::All, &[1, 2]), of_kind(1, 7), of_kind(2, 7)]);
    let sent = sends(&step(&mut c, S + MS, &[hold(K, 2, &[], false), of_kind(3, 7)]));
    assert!(sent.is_empty());
    let sent = sends(&step(&mut c, S + 40 * MS, &[hold(K, 3, &[], false)]));
    assert_eq!(sent.len(), 1, "it has grown by one");
}

#[test]
fn closed_engines_get_none_of_it_and_others_get_all() {
    for (of, event) in [(K, of_kind as fn(u64, u64) -> Event), (HoldTarget::Group(7), of_group)] {
        let mut c = controller(vec![class(Idempotency::Idempotent)]);
        step(&mut c, S, &[list(ListScope::All, &[1, 2, 3]), hold(of, u32::MAX, &[1, 3], false)]);
        for id in 0..6 {
            let sent = sends(&step(&mut c, S + id * MS, &[event(id, 7)]));
            assert!(sent.iter().all(|s| s.1 == 2), "{sent:?}");
        }
        let sent = sends(&step(&mut c, S + 20 * MS, &[event(10, 8), event(11, 8)]));
        assert!(sent.iter().any(|s| s.1 != 2));
    }
}

#[test]
fn a_lifted_hold_lets_all_go_and_one_out_of_time_is_refused() {
    let mut c = controller(vec![class(Idempotency::Idempotent)]);
    let begin = [list(ListScope::All, &[1]), hold(K, 0, &[], false), of_kind(1, 7)];
    assert!(sends(&step(&mut c, S, &begin)).is_empty());
    let mut answered = Vec::new();
    for now in (S..6 * S).step_by(20_000) {
        answered.extend(answers(&step(&mut c, now, &[Event::Wakeup])));
    }
    assert_eq!(answered, [(1, true)], "exactly one answer, harmless, while it is held");
    step(&mut c, 6 * S, &[Event::Arrival(Arrival { valid_until: 12 * S, ..parts(of_kind(2, 7)) })]);
    let mut sent = sends(&step(&mut c, 7 * S, &[hold(K, u32::MAX, &[], false)]));
    sent.extend(sends(&step(&mut c, 7 * S + 20 * MS, &[Event::Wakeup])));
    assert_eq!(sent, [(2, 1)]);
}

fn parts(event: Event) -> Arrival {
    match event {
        Event::Arrival(a) => a,
        other => panic!("{other:?}"),
    }
}

#[test]
fn what_is_held_back_runs_behind_others_inside_engines() {
    let priorities = |last| {
        let mut c = controller(vec![class(Idempotency::Idempotent)]);
        let out = step(&mut c, S, &[list(ListScope::All, &[1]), hold(K, 1, &[], last), of_kind(1, 7)]);
        out.iter()
            .find_map(|a| if let Action::SetOptions { priority, .. } = a { Some(*priority) } else { None })
    };
    assert_eq!((priorities(true), priorities(false)), (Some(0), Some(3)));
}

#[test]
fn thousands_of_a_held_kind_cost_little_and_all_are_answered() {
    let mut c = controller(vec![class(Idempotency::Idempotent)]);
    step(&mut c, S, &[list(ListScope::All, &[1, 2, 3, 4]), hold(K, 1, &[], false)]);
    let all: Vec<Event> = (0..5000).map(|id| of_kind(id, 7)).collect();
    let mut answered = answers(&step(&mut c, S, &all)).len();
    let mut sent = 0;
    for now in (S..6 * S + 20 * MS).step_by(20_000) {
        let out = step(&mut c, now, &[Event::Wakeup]);
        answered += answers(&out).len();
        sent += sends(&out).len();
    }
    assert_eq!((answered, sent), (4999, 0), "the one that is out is not given up by the module alone");
}
