//! Tests of the results of a proposal: in force at once, pending, or rejected.

use hoptiller_coordination::{ConfigState, Decision, MAX_PENDING_CHANGES, Rejection};

use crate::common::document;
use crate::support::{SECOND, complete_rollout, poll, propose, watcher, with_attempts};

#[test]
fn a_neutral_change_takes_effect_at_once() {
    let mut config = ConfigState::default();
    propose(&mut config, "first", None, &document()).expect("accepted");
    let mut a = watcher("a");
    poll(&mut a, &mut config, 0).expect("granted");
    let mut reweighted = document();
    reweighted
        .classes
        .get_mut("report")
        .expect("the class exists")
        .worth = 9.0;
    propose(&mut config, "worth", None, &reweighted).expect("accepted");
    assert_eq!(config.in_force(), 2);
    // A neutral change behind a pending change is pending too: versions take effect in order.
    reweighted.engines.max_attempts = 1;
    propose(&mut config, "attempts", None, &reweighted).expect("accepted");
    reweighted
        .classes
        .get_mut("report")
        .expect("the class exists")
        .worth = 8.0;
    propose(&mut config, "worth again", None, &reweighted).expect("accepted");
    assert_eq!((config.in_force(), config.latest()), (2, 4));
    poll(&mut a, &mut config, SECOND).expect("granted");
    poll(&mut a, &mut config, SECOND).expect("granted");
    assert_eq!(complete_rollout(&mut config, Vec::new()), 4);
}

#[test]
fn a_drain_is_enforced_at_once_while_an_earlier_change_is_pending() {
    use hoptiller_coordination::{Endpoint, EndpointList, EngineState};
    let mut changed = document();
    let endpoint = |state| Endpoint {
        started_at_ms: 5,
        state,
    };
    changed.list = Some(EndpointList::from_iter([(
        "e".to_owned(),
        endpoint(EngineState::Up),
    )]));
    let mut config = ConfigState::default();
    propose(&mut config, "first", None, &changed).expect("accepted");
    let (mut a, mut disconnected) = (watcher("a"), watcher("b"));
    for watcher in [&mut a, &mut disconnected] {
        poll(watcher, &mut config, 0).expect("granted");
    }
    changed.engines.max_attempts = 5;
    propose(&mut config, "more attempts", None, &changed).expect("accepted");
    changed.list = Some(EndpointList::from_iter([(
        "e".to_owned(),
        endpoint(EngineState::Draining),
    )]));
    propose(&mut config, "drain", None, &changed).expect("accepted");
    poll(&mut a, &mut config, SECOND).expect("granted");
    assert_eq!(complete_rollout(&mut config, Vec::new()), 1);
    let merged = a.merged_document().expect("there are versions");
    assert!(!merged.list.as_ref().expect("a list").accepts_work("e", 5));
    assert_eq!(
        merged.engines.max_attempts, 3,
        "the looser change is still pending"
    );
    // A rollback during the rollout is one more version. The versions before it are not skipped.
    propose(&mut config, "rollback", None, &document()).expect("accepted");
    poll(&mut a, &mut config, SECOND).expect("granted");
    assert_eq!(
        a.decide(SECOND, "lookup"),
        Decision::Allow {
            in_force: 1,
            enforced: 4
        }
    );
}

#[test]
fn proposals_are_idempotent_by_name_and_pending_ones_are_bounded() {
    let mut config = ConfigState::default();
    propose(&mut config, "first", None, &with_attempts(3)).expect("accepted");
    poll(&mut watcher("a"), &mut config, 0).expect("granted");
    assert_eq!(
        propose(&mut config, "second", Some(1), &with_attempts(2)),
        Ok(2)
    );
    assert_eq!(
        propose(&mut config, "second", Some(1), &with_attempts(2)),
        Ok(2),
        "the author repeats a proposal whose response was lost"
    );
    assert_eq!(
        propose(&mut config, "second", Some(2), &with_attempts(4)),
        Err(Rejection::NameReused { number: 2 })
    );
    assert_eq!(
        propose(&mut config, "third", Some(1), &with_attempts(4)),
        Err(Rejection::Outdated { latest: 2 })
    );
    let mut accepted = 0;
    for n in 0..200 {
        match propose(
            &mut config,
            &format!("change {n}"),
            None,
            &with_attempts(3 + n % 7),
        ) {
            Ok(_) => accepted += 1,
            Err(rejection) => assert_eq!(
                rejection,
                Rejection::TooManyPending {
                    pending: MAX_PENDING_CHANGES
                }
            ),
        }
    }
    assert_eq!(accepted, MAX_PENDING_CHANGES - 1);
}

#[test]
fn a_change_that_leaves_a_class_no_placement_is_rejected_with_both_values() {
    let mut config = ConfigState::default();
    propose(&mut config, "first", None, &document()).expect("accepted");
    let mut changed = document();
    changed
        .classes
        .get_mut("report")
        .expect("the class exists")
        .kinds = Some(["b".to_owned()].into());
    let Err(Rejection::NoPlacement { conflicts }) = propose(&mut config, "move", None, &changed)
    else {
        panic!("accepted")
    };
    assert_eq!(conflicts.len(), 1);
    assert_eq!(conflicts[0].path, "classes.report.kinds");
    assert!(
        conflicts[0].message.contains(r#"{"a"}"#) && conflicts[0].message.contains(r#"{"b"}"#),
        "{}",
        conflicts[0]
    );
}
