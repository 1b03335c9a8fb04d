use super::*;

#[test]
fn hints_set_the_shape_and_nonsense_does_not() {
    let s = of(
        "report",
        "select 1 /* work=250ms threads=3 rows=7 pages=2 set=9 io=7 rows=x memory=NaN */",
        1,
    );
    assert_eq!(
        (s.job.work, s.job.threads, s.rows, s.pages),
        (250_000.0, 3.0, 7, 2)
    );
    assert_eq!((s.job.set, s.job.io, s.job.memory), (Some(9), 1.0, 200.0));
    let s = of("report", "/* work=1s plan=30 then=0.25:8 */", 1);
    assert_eq!(
        (s.job.work, s.reads, s.job.then),
        (30e6, 100_000, Some((0.25, 8)))
    );
    assert!(of("rent-load", "insert", 1).posts && !of("lookup", "select", 1).posts);
    let drawn: Vec<f64> = (0..100)
        .map(|seed| of("lookup", "", seed).job.work)
        .collect();
    assert!(drawn.iter().all(|w| (135_000.0..=405_000.0).contains(w)));
    assert!(drawn.iter().any(|w| *w < 200_000.0) && drawn.iter().any(|w| *w > 340_000.0));
}
