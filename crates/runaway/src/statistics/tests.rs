use super::*;
use crate::interface::{Basis, EnforcementOptions};
use hoptiller_policy::Idempotency;

const MICROS_PER_SECOND: f64 = 1e6;

fn class_settings() -> Class {
    Class {
        name: "report".into(),
        latency_objective: 2_000_000,
        client_timeout: 25_000_000,
        threads: 2.0,
        idempotency: Idempotency::Idempotent,
        locks_group: false,
        enforcement: EnforcementOptions::default(),
    }
}

fn run(seconds: f64) -> Run {
    Run {
        run_time: RunTime(seconds * MICROS_PER_SECOND),
        work: Some(Work(2.0 * seconds * MICROS_PER_SECOND)),
        ..Run::default()
    }
}

fn statistics_of(fingerprint: FingerprintId, runs: usize) -> Statistics {
    let mut statistics = Statistics::new(1, 400);
    statistics.record_arrival(fingerprint, 0, &"select ?".into(), 1);
    for n in 0..runs {
        statistics.record_run(
            fingerprint,
            0,
            Announced::default(),
            &run(0.8 + 0.4 * (n % 10) as f64 / 9.0),
        );
    }
    statistics
}

fn expected_run_time(
    statistics: &Statistics,
    fingerprint: u64,
    announced: Announced,
) -> Expected<f64> {
    statistics
        .expectation(FingerprintId(fingerprint), 0, &class_settings(), announced)
        .run_time
        .to_f64()
}

#[test]
fn the_bound_of_the_class_applies_until_a_fingerprint_has_enough_runs() {
    let (nothing_announced, expected) = (Announced::default(), |b: &Statistics| {
        expected_run_time(b, 1, Announced::default())
    });
    assert_eq!(
        expected(&statistics_of(FingerprintId(1), 0)).basis,
        Basis::Settings
    );
    let ten = expected(&statistics_of(FingerprintId(1), 10));
    assert_eq!(
        (ten.basis, ten.bound),
        (Basis::Settings, 25.0 * MICROS_PER_SECOND)
    );
    let own = expected(&statistics_of(FingerprintId(1), 60));
    assert_eq!(own.basis, Basis::Fingerprint(60));
    assert!(
        (11.0 * MICROS_PER_SECOND..13.0 * MICROS_PER_SECOND).contains(&own.bound),
        "{own:?}"
    );
    // An unknown fingerprint in a class with runs has a higher bound than a known one.
    let unknown = expected_run_time(&statistics_of(FingerprintId(1), 60), 2, nothing_announced);
    assert_eq!(unknown.basis, Basis::Class(60));
    assert!(unknown.bound > 1.8 * own.bound, "{unknown:?}");
}

#[test]
fn estimates_are_used_if_earlier_ones_were_consistent() {
    let statistics = statistics_of(FingerprintId(1), 60);
    let announced = |size, estimate| Announced { size, estimate };
    let (plain, twelve) = (
        expected_run_time(&statistics, 1, announced(0, None)),
        expected_run_time(&statistics, 1, announced(12, None)),
    );
    assert!(
        (7.0..9.0).contains(&(twelve.bound / plain.bound)),
        "12 is in the size bucket that begins at 8"
    );
    // Without earlier estimates to compare with, an estimate is not used.
    assert_eq!(
        expected_run_time(&statistics, 1, announced(0, Some(900_000_000))),
        plain
    );
    let mut consistent = statistics_of(FingerprintId(1), 60);
    let mut inconsistent = statistics_of(FingerprintId(1), 60);
    for n in 0..20u64 {
        consistent.record_run(
            FingerprintId(1),
            0,
            announced(0, Some(1_000_000)),
            &run(1.0),
        );
        inconsistent.record_run(
            FingerprintId(1),
            0,
            announced(0, Some(10_000 << (n % 14))),
            &run(1.0),
        );
    }
    assert!(
        expected_run_time(&consistent, 1, announced(0, Some(10_000_000))).bound > 9.0 * plain.bound
    );
    assert!(
        expected_run_time(&inconsistent, 1, announced(0, Some(10_000_000))).bound
            < 1.1 * plain.bound
    );
}

#[test]
fn the_usual_run_time_follows_trends_and_not_outliers() {
    let mut statistics = statistics_of(FingerprintId(1), 200);
    let before = expected_run_time(&statistics, 1, Announced::default());
    for _ in 0..20 {
        statistics.record_over_bound(FingerprintId(1), &run(100.0));
    }
    assert_eq!(
        expected_run_time(&statistics, 1, Announced::default()),
        before
    );
    for _ in 0..400 {
        statistics.record_run(FingerprintId(1), 0, Announced::default(), &run(4.0));
    }
    assert!(expected_run_time(&statistics, 1, Announced::default()).usual > 3.5 * before.usual);
    statistics.adopt_over_bound(FingerprintId(1));
    assert!(
        expected_run_time(&statistics, 1, Announced::default()).usual > 90.0 * MICROS_PER_SECOND
    );
}

#[test]
fn generated_fingerprints_evict_only_each_other() {
    let mut statistics = statistics_of(FingerprintId(1), 60);
    for n in 0..100_000u64 {
        statistics.record_arrival(FingerprintId(n + 10), 0, &"x".into(), 2 + n);
    }
    assert_eq!(statistics.len(), 101);
    assert!(statistics.is_known(FingerprintId(1)) && !statistics.is_known(FingerprintId(100_009)));
    assert!(
        statistics
            .fingerprints
            .contains_key(&FingerprintId(100_009))
            && !statistics.fingerprints.contains_key(&FingerprintId(10))
    );
    // Known fingerprints have a quota, too.
    for n in 0..1000u64 {
        statistics.record_arrival(FingerprintId(n + 1_000_000), 0, &"x".into(), 200_000 + n);
        (0..MIN_RUNS_KNOWN).for_each(|_| {
            statistics.record_run(
                FingerprintId(n + 1_000_000),
                0,
                Announced::default(),
                &run(1.0),
            )
        });
    }
    assert!(statistics.len() <= 400 && statistics.known_count(0) == 300);
}
