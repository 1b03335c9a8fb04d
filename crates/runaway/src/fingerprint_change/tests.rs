use super::*;

const FINGERPRINT: FingerprintId = FingerprintId(1);

fn id(n: u64) -> AttemptId {
    AttemptId {
        statement: n,
        number: 0,
    }
}

fn record_long_run(changes: &mut FingerprintChanges, n: u64, engine: u32) {
    changes.record_long_run(n, FINGERPRINT, id(n), n, EngineId(engine));
}

#[test]
fn one_long_run_is_isolated_and_many_are_a_change() {
    let mut changes = FingerprintChanges::default();
    assert_eq!(changes.classify(FINGERPRINT, 0, 4), ChangeStatus::Isolated);
    record_long_run(&mut changes, 10, 0);
    assert_eq!(changes.classify(FINGERPRINT, 0, 4), ChangeStatus::Isolated);
    record_long_run(&mut changes, 11, 1);
    assert_eq!(
        (
            changes.classify(FINGERPRINT, 0, 4),
            changes.classify(FINGERPRINT, MAX_UNDECIDED_TIME, 4)
        ),
        (ChangeStatus::Undecided, ChangeStatus::Isolated)
    );
    record_long_run(&mut changes, 12, 0);
    record_long_run(&mut changes, 13, 1);
    assert_eq!(changes.classify(FINGERPRINT, 0, 4), ChangeStatus::Changed);
}

#[test]
fn only_attempts_started_after_the_first_long_run_count_as_usual() {
    let mut changes = FingerprintChanges::default();
    (10..14).for_each(|n| record_long_run(&mut changes, n, n as u32));
    (0..9).for_each(|n| changes.record_usual_run(FINGERPRINT, id(100 + n), n));
    assert_eq!(
        changes.classify(FINGERPRINT, 0, 4),
        ChangeStatus::Changed,
        "the usual runs started before the first long one"
    );
    (0..3).for_each(|n| changes.record_usual_run(FINGERPRINT, id(200 + n), 20));
    assert_eq!(changes.classify(FINGERPRINT, 0, 4), ChangeStatus::Isolated);
    (0..9).for_each(|n| changes.record_usual_run(FINGERPRINT, id(300 + n), 20));
    assert!(!changes.contains(FINGERPRINT), "the long runs are outliers");
}

#[test]
fn long_runs_on_one_engine_of_several_are_no_change() {
    let mut changes = FingerprintChanges::default();
    (10..16).for_each(|n| record_long_run(&mut changes, n, 3));
    assert_eq!(
        (
            changes.classify(FINGERPRINT, MAX_UNDECIDED_TIME, 4),
            changes.classify(FINGERPRINT, 0, 1)
        ),
        (ChangeStatus::Isolated, ChangeStatus::Changed)
    );
    (10..16).for_each(|n| changes.record_usual_run(FINGERPRINT, id(n), n));
    assert!(
        !changes.contains(FINGERPRINT),
        "all long runs turned out usual"
    );
}

#[test]
fn counters_are_bounded() {
    let mut changes = FingerprintChanges::default();
    (0..1000).for_each(|n| changes.record_long_run(n, FingerprintId(n), id(n), n, EngineId(0)));
    assert!(changes.counters.len() == MAX_FINGERPRINTS && changes.contains(FingerprintId(999)));
}
