use super::*;

fn samples(times: &[f64]) -> Vec<Sample> {
    times
        .iter()
        .map(|t| Sample {
            kind: FingerprintId(1),
            times: *t,
        })
        .collect()
}

#[test]
fn it_takes_several_statements_to_call_an_engine_slow() {
    let paces = Paces::default();
    let slow = |times: &[f64]| paces.slowness(0, EngineId(1), &samples(times)).0;
    assert_eq!(slow(&[50.0, 50.0]), 1.0);
    assert_eq!(slow(&[1.0, 1.2, 50.0, 0.9]), 1.0);
    assert_eq!(slow(&[4.0, 5.0, 50.0, 6.0]), 5.0);
    assert_eq!(slow(&[400.0; 5]), MOST);
    // A kind that takes long among others that don't.
    let mut mixed = samples(&[50.0; 9]);
    mixed.push(Sample {
        kind: FingerprintId(2),
        times: 1.1,
    });
    assert_eq!(paces.slowness(0, EngineId(1), &mixed), (1.1, 10));
}

#[test]
fn what_ended_long_ago_says_nothing() {
    let mut paces = Paces::default();
    for _ in 0..100 {
        paces.ended(0, EngineId(1), samples(&[8.0])[0]);
    }
    assert_eq!(paces.slowness(FRESH, EngineId(1), &[]), (8.0, ENDS));
    assert_eq!(paces.slowness(FRESH + 1, EngineId(1), &[]), (1.0, 0));
    paces.retain(|_| false);
    assert_eq!(paces.slowness(0, EngineId(1), &[]).1, 0);
}

#[test]
fn one_engine_stands_out_only_against_the_others() {
    let new = |own, others: &[_]| stands_out(own, others, false);
    assert!(new((4.0, 8), &[(1.0, 8), (1.2, 8)]) && new((4.0, 8), &[]));
    assert!(!new((4.0, 8), &[(3.0, 8), (4.0, 8), (1.0, 0)]));
    assert!(!new((2.5, 8), &[(1.0, 8)]) && !new((9.0, ENOUGH), &[(1.0, 8)]));
    assert!(stands_out((2.5, 8), &[(1.0, 8)], true) && !stands_out((1.2, 8), &[(1.0, 8)], true));
}
