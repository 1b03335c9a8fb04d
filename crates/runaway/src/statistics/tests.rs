use super::*;
use crate::interface::{Basis, EnforcementOptions};
use hoptiller_policy::Idempotency;

const S: f64 = 1e6;

fn spec() -> Class {
    Class {
        name: "report".into(),
        latency_objective: 2_000_000,
        client_timeout: 25_000_000,
        threads: 2.0,
        idempotency: Idempotency::Idempotent,
        holds_tables: false,
        enforcement: EnforcementOptions::default(),
    }
}

fn run(seconds: f64) -> Run {
    Run {
        run_time: seconds * S,
        work: Some(2.0 * seconds * S),
        ..Run::default()
    }
}

fn book(fingerprint: FingerprintId, runs: usize) -> Statistics {
    let mut b = Statistics::new(1, 400);
    b.record_arrival(fingerprint, 0, &"select ?".into(), 1);
    for n in 0..runs {
        b.record_run(
            fingerprint,
            0,
            Announced::default(),
            &run(0.8 + 0.4 * (n % 10) as f64 / 9.0),
        );
    }
    b
}

fn bar_of(b: &Statistics, fingerprint: u64, says: Announced) -> Expected {
    b.expectation(FingerprintId(fingerprint), 0, &spec(), says)
        .run_time
}

#[test]
fn the_bound_of_the_class_applies_until_a_fingerprint_has_enough_runs() {
    let (nothing, some) = (Announced::default(), |b: &Statistics| {
        bar_of(b, 1, Announced::default())
    });
    assert_eq!(some(&book(FingerprintId(1), 0)).basis, Basis::Settings);
    let ten = some(&book(FingerprintId(1), 10));
    assert_eq!((ten.basis, ten.bound), (Basis::Settings, 25.0 * S));
    let law = some(&book(FingerprintId(1), 60));
    assert_eq!(law.basis, Basis::Fingerprint(60));
    assert!((11.0 * S..13.0 * S).contains(&law.bound), "{law:?}");
    // A fingerprint never seen, in a class that is known: wider than the class's own kinds.
    let stranger = bar_of(&book(FingerprintId(1), 60), 2, nothing);
    assert_eq!(stranger.basis, Basis::Class(60));
    assert!(stranger.bound > 1.8 * law.bound, "{stranger:?}");
}

#[test]
fn estimates_are_used_where_earlier_ones_were_right() {
    let b = book(FingerprintId(1), 60);
    let says = |size, estimate| Announced { size, estimate };
    let (plain, twelve) = (bar_of(&b, 1, says(0, None)), bar_of(&b, 1, says(12, None)));
    assert!(
        (7.0..9.0).contains(&(twelve.bound / plain.bound)),
        "the power of two under 12"
    );
    // Estimates of which nothing is known are not believed.
    assert_eq!(bar_of(&b, 1, says(0, Some(900_000_000))), plain);
    let mut honest = book(FingerprintId(1), 60);
    let mut liar = book(FingerprintId(1), 60);
    for n in 0..20u64 {
        honest.record_run(FingerprintId(1), 0, says(0, Some(1_000_000)), &run(1.0));
        liar.record_run(
            FingerprintId(1),
            0,
            says(0, Some(10_000 << (n % 14))),
            &run(1.0),
        );
    }
    assert!(bar_of(&honest, 1, says(0, Some(10_000_000))).bound > 9.0 * plain.bound);
    assert!(bar_of(&liar, 1, says(0, Some(10_000_000))).bound < 1.1 * plain.bound);
}

#[test]
fn the_usual_run_time_follows_trends_and_not_outliers() {
    let mut b = book(FingerprintId(1), 200);
    let before = bar_of(&b, 1, Announced::default());
    for _ in 0..20 {
        b.record_beyond_bound(FingerprintId(1), &run(100.0));
    }
    assert_eq!(bar_of(&b, 1, Announced::default()), before);
    for _ in 0..400 {
        b.record_run(FingerprintId(1), 0, Announced::default(), &run(4.0));
    }
    assert!(bar_of(&b, 1, Announced::default()).usual > 3.5 * before.usual);
    b.adopt_beyond_bound(FingerprintId(1));
    assert!(bar_of(&b, 1, Announced::default()).usual > 90.0 * S);
}

#[test]
fn generated_fingerprints_evict_only_each_other() {
    let mut b = book(FingerprintId(1), 60);
    for n in 0..100_000u64 {
        b.record_arrival(FingerprintId(n + 10), 0, &"x".into(), 2 + n);
    }
    assert_eq!(b.len(), 101);
    assert!(b.is_known(FingerprintId(1)) && !b.is_known(FingerprintId(100_009)));
    assert!(
        b.fingerprints.contains_key(&FingerprintId(100_009))
            && !b.fingerprints.contains_key(&FingerprintId(10))
    );
    // Known ones are bounded too.
    for n in 0..1000u64 {
        b.record_arrival(FingerprintId(n + 1_000_000), 0, &"x".into(), 200_000 + n);
        (0..MIN_RUNS_KNOWN).for_each(|_| {
            b.record_run(
                FingerprintId(n + 1_000_000),
                0,
                Announced::default(),
                &run(1.0),
            )
        });
    }
    assert!(b.len() <= 400 && b.known_in_class(0) == 300);
}
