use super::*;

fn samples(slowdowns: &[f64]) -> Vec<Sample> {
    slowdowns
        .iter()
        .map(|slowdown| Sample {
            fingerprint: FingerprintId(1),
            slowdown: *slowdown,
        })
        .collect()
}

fn slowness(factor: f64, samples: usize) -> Slowness {
    Slowness { factor, samples }
}

#[test]
fn slowness_needs_several_samples() {
    let speeds = EngineSlowness::default();
    let factor = |slowdowns: &[f64]| {
        speeds
            .slowness_with(0, EngineId(1), &samples(slowdowns))
            .factor
    };
    assert_eq!(factor(&[50.0, 50.0]), 1.0);
    assert_eq!(factor(&[1.0, 1.2, 50.0, 0.9]), 1.0);
    assert_eq!(factor(&[4.0, 5.0, 50.0, 6.0]), 5.0);
    assert_eq!(factor(&[400.0; 5]), MAX_SLOWNESS);
    // One slow fingerprint among others does not make its engine slow.
    let mut mixed = samples(&[50.0; 9]);
    mixed.push(Sample {
        fingerprint: FingerprintId(2),
        slowdown: 1.1,
    });
    assert_eq!(
        speeds.slowness_with(0, EngineId(1), &mixed),
        slowness(1.1, 10)
    );
}

#[test]
fn old_completions_do_not_count() {
    let mut speeds = EngineSlowness::default();
    for _ in 0..100 {
        speeds.record_completion(0, EngineId(1), samples(&[8.0])[0]);
    }
    assert_eq!(
        speeds.slowness_with(COMPLETION_TTL, EngineId(1), &[]),
        slowness(8.0, MAX_COMPLETIONS)
    );
    assert_eq!(
        speeds.slowness_with(COMPLETION_TTL + 1, EngineId(1), &[]),
        slowness(1.0, 0)
    );
    speeds.retain(|_| false);
    assert_eq!(speeds.slowness_with(0, EngineId(1), &[]).samples, 0);
}

#[test]
fn an_engine_is_slow_only_compared_with_the_others() {
    let is_newly_slow = |own, others: &[_]| is_slower_than_others(own, others, false);
    assert!(
        is_newly_slow(slowness(4.0, 8), &[slowness(1.0, 8), slowness(1.2, 8)])
            && is_newly_slow(slowness(4.0, 8), &[])
    );
    assert!(!is_newly_slow(
        slowness(4.0, 8),
        &[slowness(3.0, 8), slowness(4.0, 8), slowness(1.0, 0)]
    ));
    assert!(
        !is_newly_slow(slowness(2.5, 8), &[slowness(1.0, 8)])
            && !is_newly_slow(slowness(9.0, MIN_SAMPLES), &[slowness(1.0, 8)])
    );
    assert!(
        is_slower_than_others(slowness(2.5, 8), &[slowness(1.0, 8)], true)
            && !is_slower_than_others(slowness(1.2, 8), &[slowness(1.0, 8)], true)
    );
}
