use super::*;

const K: FingerprintId = FingerprintId(1);

fn id(n: u64) -> AttemptId {
    AttemptId {
        statement: n,
        number: 0,
    }
}

fn long(c: &mut FingerprintChanges, n: u64, engine: u32) {
    c.record_long_run(n, K, id(n), n, EngineId(engine));
}

#[test]
fn one_long_run_is_isolated_and_many_are_a_change() {
    let mut c = FingerprintChanges::default();
    assert_eq!(c.classify(K, 0, 4), ChangeStatus::Isolated);
    long(&mut c, 10, 0);
    assert_eq!(c.classify(K, 0, 4), ChangeStatus::Isolated);
    long(&mut c, 11, 1);
    assert_eq!(
        (c.classify(K, 0, 4), c.classify(K, MAX_UNDECIDED_TIME, 4)),
        (ChangeStatus::Undecided, ChangeStatus::Isolated)
    );
    long(&mut c, 12, 0);
    long(&mut c, 13, 1);
    assert_eq!(c.classify(K, 0, 4), ChangeStatus::Changed);
}

#[test]
fn only_attempts_started_after_the_first_long_run_count_as_usual() {
    let mut c = FingerprintChanges::default();
    (10..14).for_each(|n| long(&mut c, n, n as u32));
    (0..9).for_each(|n| c.record_usual_run(K, id(100 + n), n));
    assert_eq!(
        c.classify(K, 0, 4),
        ChangeStatus::Changed,
        "they started before the first long one"
    );
    (0..3).for_each(|n| c.record_usual_run(K, id(200 + n), 20));
    assert_eq!(c.classify(K, 0, 4), ChangeStatus::Isolated);
    (0..9).for_each(|n| c.record_usual_run(K, id(300 + n), 20));
    assert!(!c.contains(K), "outliers among usual ones");
}

#[test]
fn long_runs_on_one_engine_of_several_are_no_change() {
    let mut c = FingerprintChanges::default();
    (10..16).for_each(|n| long(&mut c, n, 3));
    assert_eq!(
        (c.classify(K, MAX_UNDECIDED_TIME, 4), c.classify(K, 0, 1)),
        (ChangeStatus::Isolated, ChangeStatus::Changed)
    );
    (10..16).for_each(|n| c.record_usual_run(K, id(n), n));
    assert!(!c.contains(K), "all turned out usual");
}

#[test]
fn counters_are_bounded() {
    let mut c = FingerprintChanges::default();
    (0..1000).for_each(|n| c.record_long_run(n, FingerprintId(n), id(n), n, EngineId(0)));
    assert!(c.counters.len() == MAX_FINGERPRINTS && c.contains(FingerprintId(999)));
}
