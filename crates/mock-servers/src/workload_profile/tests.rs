use super::*;

#[test]
fn hints_set_the_profile_and_invalid_ones_are_ignored() {
    let profile = WorkloadProfile::new(
        "report",
        "select 1 /* work=250ms threads=3 rows=7 pages=2 set=9 io=7 rows=x memory=NaN */",
        1,
    );
    assert_eq!(
        (
            profile.job.work,
            profile.job.threads,
            profile.rows,
            profile.pages
        ),
        (250_000.0, 3.0, 7, 2)
    );
    assert_eq!(
        (
            profile.job.data_set,
            profile.job.io_fraction,
            profile.job.memory_mb
        ),
        (Some(9), 1.0, 200.0)
    );
    let profile = WorkloadProfile::new("report", "/* work=1s plan=30 then=0.25:8 */", 1);
    assert_eq!(
        (
            profile.job.work,
            profile.rows_read,
            profile.job.second_data_set
        ),
        (
            30e6,
            100_000,
            Some(SecondDataSet {
                needed_from: 0.25,
                data_set: 8
            })
        )
    );
    assert!(
        WorkloadProfile::new("rent-load", "insert", 1).has_effect
            && !WorkloadProfile::new("lookup", "select", 1).has_effect
    );
    let drawn: Vec<f64> = (0..100)
        .map(|seed| WorkloadProfile::new("lookup", "", seed).job.work)
        .collect();
    assert!(
        drawn
            .iter()
            .all(|work| (135_000.0..=405_000.0).contains(work))
    );
    assert!(
        drawn.iter().any(|work| *work < 200_000.0) && drawn.iter().any(|work| *work > 340_000.0)
    );
}
