use super::*;

const FINGERPRINT: FingerprintId = FingerprintId(7);

/// Returns engines that are up; those with even ids run both classes, the others only class 0.
fn engines(count: u32) -> Vec<EngineStatus> {
    let listed = |n| EngineStatus {
        engine: EngineId(n),
        is_up: true,
        classes: vec![true, n % 2 == 0],
    };
    (0..count).map(listed).collect()
}

fn limits(changes: &[Hold]) -> Vec<(u32, usize)> {
    changes
        .iter()
        .map(|hold| (hold.max_in_flight, hold.excluded_engines.len()))
        .collect()
}

#[test]
fn a_hold_recovers_in_steps_and_is_released() {
    let mut holds = Holds::default();
    holds.add_runaway(1, FINGERPRINT, 0, "x", true);
    let changes = holds.take_changes(&engines(5));
    assert_eq!(
        limits(&changes),
        [(2, 4)],
        "one in addition to the runaway, on one engine of five"
    );
    assert!(
        changes[0].low_priority && holds.take_changes(&engines(5)).is_empty(),
        "only changes are published"
    );
    holds.remove_runaway(2, FINGERPRINT);
    assert_eq!(limits(&holds.take_changes(&engines(5))), [(1, 4)]);
    for (runs, expected) in [(3, (2, 3)), (3, (4, 1)), (3, (u32::MAX, 0))] {
        (0..runs).for_each(|_| holds.record_run(3, FINGERPRINT, true));
        assert_eq!(limits(&holds.take_changes(&engines(5))), [expected]);
    }
    assert!(holds.fingerprints.is_empty());
}

#[test]
fn a_further_runaway_resets_the_hold_and_doubles_the_clean_runs_needed() {
    let mut holds = Holds::default();
    holds.add_runaway(1, FINGERPRINT, 0, "x", false);
    holds.remove_runaway(2, FINGERPRINT);
    (0..3).for_each(|_| holds.record_run(3, FINGERPRINT, true));
    assert_eq!(holds.fingerprints[&FINGERPRINT].max_in_flight, 2);
    holds.record_run(3, FINGERPRINT, true);
    holds.record_run(3, FINGERPRINT, false);
    assert_eq!(
        holds.fingerprints[&FINGERPRINT].clean_runs, 0,
        "clean runs count in a row"
    );
    holds.add_runaway(4, FINGERPRINT, 0, "x", false);
    assert_eq!(
        (
            holds.fingerprints[&FINGERPRINT].max_in_flight,
            holds.fingerprints[&FINGERPRINT].clean_runs_needed
        ),
        (1, 2 * MIN_CLEAN_RUNS)
    );
    (5..20).for_each(|n| holds.add_runaway(n, FINGERPRINT, 0, "x", false));
    assert_eq!(
        holds.fingerprints[&FINGERPRINT].clean_runs_needed,
        MAX_CLEAN_RUNS
    );
}

#[test]
fn all_routers_choose_the_same_eligible_engine() {
    let (mut one, mut two) = (Holds::default(), Holds::default());
    for holds in [&mut one, &mut two] {
        holds.add_runaway(1, FINGERPRINT, 1, "x", false);
    }
    let (a, b) = (one.take_changes(&engines(6)), two.take_changes(&engines(6)));
    assert_eq!(a, b);
    let open: Vec<u32> = (0..6)
        .filter(|n| n % 2 == 0 && !a[0].excluded_engines.contains(&EngineId(*n)))
        .collect();
    assert_eq!(open.len(), 1);
    // The chosen engine goes down, and another one is chosen.
    let mut remaining = engines(6);
    remaining[open[0] as usize].is_up = false;
    let changes = one.take_changes(&remaining);
    assert!((0..6).any(|n| n % 2 == 0
        && n != open[0]
        && !changes[0].excluded_engines.contains(&EngineId(n))));
}

#[test]
fn holds_are_released_by_time_and_by_operators_and_a_group_keeps_one_engine() {
    let mut holds = Holds::default();
    holds.add_runaway(0, FINGERPRINT, 0, "x", false);
    holds.relax_idle(10 * IDLE_STEP);
    assert_eq!(
        holds.fingerprints[&FINGERPRINT].max_in_flight, 1,
        "not while the runaway runs"
    );
    holds.remove_runaway(10 * IDLE_STEP, FINGERPRINT);
    (11..14).for_each(|n| holds.relax_idle(n * IDLE_STEP));
    assert!(holds.fingerprints.is_empty());
    holds.add_runaway(0, FINGERPRINT, 0, "x", false);
    assert!(holds.release(FINGERPRINT) && !holds.release(FINGERPRINT));
    holds.exclude_groups(BTreeMap::from([(9, vec![EngineId(0)])]));
    assert_eq!(limits(&holds.take_changes(&engines(2))), [(u32::MAX, 1)]);
    holds.exclude_groups(BTreeMap::from([(9, vec![EngineId(0), EngineId(1)])]));
    assert_eq!(
        limits(&holds.take_changes(&engines(2))),
        [(u32::MAX, 0)],
        "excluded from all engines, it would never run"
    );
}

#[test]
fn holds_are_bounded() {
    let mut holds = Holds::default();
    (0..1000).for_each(|n| holds.add_runaway(n, FingerprintId(n), 0, "x", false));
    assert_eq!(holds.fingerprints.len(), MAX_HOLDS);
    assert!(holds.fingerprints.contains_key(&FingerprintId(999)));
}
