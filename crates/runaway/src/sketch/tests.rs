use super::*;

#[test]
fn quantiles_follow_recent_figures() {
    let mut s = Sketch::default();
    assert_eq!((s.quantile(0.5), s.count()), (None, 0));
    for n in 0..400 {
        s.add(1000.0 + n as f64);
    }
    let median = s.quantile(0.5).expect("figures");
    assert!((1100.0..1300.0).contains(&median), "{median}");
    for _ in 0..600 {
        s.add(8000.0);
    }
    assert!(s.quantile(0.5).expect("figures") > 7000.0);
    assert!(s.count() < MAX_COUNT);
}

#[test]
fn a_few_distant_figures_survive_halving_and_invalid_ones_are_ignored() {
    let mut s = Sketch::default();
    for _ in 0..511 {
        s.add(100.0);
    }
    s.add(1e9);
    assert!(s.count() >= 250, "{}", s.count());
    for bad in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        s.add(bad);
    }
    let back = Sketch::from_weighted_values(&s.weighted_values()).expect("our own");
    assert_eq!(back.weighted_values(), s.weighted_values());
    assert!(
        Sketch::from_weighted_values(&[(5, 600)]).is_none()
            && Sketch::from_weighted_values(&[(0, 1)]).is_none()
    );
}
