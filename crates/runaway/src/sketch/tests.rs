use super::*;

#[test]
fn quantiles_follow_what_came_lately() {
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
    assert!(s.count() < FULL);
}

#[test]
fn few_figures_far_apart_do_not_vanish_and_nonsense_is_passed_over() {
    let mut s = Sketch::default();
    for _ in 0..511 {
        s.add(100.0);
    }
    s.add(1e9);
    assert!(s.count() >= 250, "{}", s.count());
    for bad in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        s.add(bad);
    }
    let back = Sketch::from_pairs(&s.pairs()).expect("our own");
    assert_eq!(back.pairs(), s.pairs());
    assert!(Sketch::from_pairs(&[(5, 600)]).is_none() && Sketch::from_pairs(&[(0, 1)]).is_none());
}
