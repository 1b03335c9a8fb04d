use super::*;

#[test]
fn quantiles_follow_recent_values() {
    let mut sketch = Sketch::default();
    assert_eq!((sketch.quantile(0.5), sketch.count()), (None, 0));
    for n in 0..400 {
        sketch.add(1000.0 + n as f64);
    }
    let median = sketch.quantile(0.5).expect("the sketch is not empty");
    assert!((1100.0..1300.0).contains(&median), "{median}");
    for _ in 0..600 {
        sketch.add(8000.0);
    }
    assert!(sketch.quantile(0.5).expect("the sketch is not empty") > 7000.0);
    assert!(sketch.count() < MAX_COUNT);
}

#[test]
fn a_few_distant_values_survive_halving_and_invalid_ones_are_ignored() {
    let mut sketch = Sketch::default();
    for _ in 0..511 {
        sketch.add(100.0);
    }
    sketch.add(1e9);
    assert!(sketch.count() >= 250, "{}", sketch.count());
    for invalid in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        sketch.add(invalid);
    }
    let restored = Sketch::from_weighted_values(&sketch.weighted_values())
        .expect("a sketch accepts its own values");
    assert_eq!(restored.weighted_values(), sketch.weighted_values());
    assert!(
        Sketch::from_weighted_values(&[(5, 600)]).is_none()
            && Sketch::from_weighted_values(&[(0, 1)]).is_none()
    );
}
