//! Detection: which statements are found to be runaways, when, and on which evidence.

mod common;

use common::*;
use hoptiller_policy::{EngineId, HoldTarget};
use hoptiller_runaway::*;

#[test]
fn a_runaway_is_found_before_its_bound_by_its_progress() {
    let mut simulation = Simulation::with_history(REPORT_AND_HOLD, 4);
    let id = simulation.start(REPORT, REPORT as u64, 0, 400e6);
    simulation.advance(10);
    assert_eq!(simulation.runaways(), [(name(id), Cause::Heavy)]);
    let finding = simulation
        .found()
        .into_iter()
        .find(|finding| finding.verdict == Verdict::Runaway)
        .expect("a runaway")
        .clone();
    assert_eq!(finding.evidence.measure, Measure::WorkToCome);
    assert!(matches!(finding.evidence.basis, Basis::Fingerprint(n) if n >= 100));
    assert!(
        finding.evidence.value > finding.evidence.bound
            && finding.at - finding.started < 10 * SECOND,
        "{finding:?}"
    );
    assert!(
        simulation
            .found()
            .iter()
            .any(|finding| finding.verdict == Verdict::Suspect),
        "it is suspected first"
    );
    let hold = simulation.holds();
    assert!(
        hold.len() == 1
            && hold[0].target == HoldTarget::Kind(REPORT as u64)
            && hold[0].max_in_flight == 2,
        "{hold:?}"
    );
    assert_eq!(hold[0].excluded_engines.len(), 3);
}

#[test]
fn without_progress_reports_a_runaway_is_found_by_its_run_time() {
    let mut simulation = Simulation::with_history(REPORT_AND_HOLD, 4);
    simulation.reports_progress = false;
    let id = simulation.start(REPORT, REPORT as u64, 0, 400e6);
    simulation.advance(20);
    assert_eq!(simulation.runaways(), []);
    simulation.advance(10);
    assert_eq!(simulation.runaways(), [(name(id), Cause::Heavy)]);
}

#[test]
fn ten_times_the_median_is_no_runaway() {
    for reports_progress in [true, false] {
        for announced in [
            Announced::default(),
            Announced {
                size: 12,
                estimate: None,
            },
        ] {
            let mut simulation = Simulation::with_history(REPORT_AND_HOLD, 4);
            simulation.reports_progress = reports_progress;
            let mut job = simulation.job(REPORT, REPORT as u64, 0, 40e6);
            job.announced = announced;
            simulation.run(job);
            simulation.advance(25);
            assert!(
                simulation.running.is_empty() && simulation.found().is_empty(),
                "{:?}",
                simulation.found()
            );
        }
    }
}

#[test]
fn an_announced_size_raises_the_bound() {
    let mut simulation = Simulation::with_history(REPORT_AND_HOLD, 4);
    let mut job = simulation.job(REPORT, REPORT as u64, 0, 160e6);
    job.announced.size = 48;
    simulation.run(job);
    simulation.advance(85);
    assert!(simulation.running.is_empty() && simulation.runaways().is_empty());
}

#[test]
fn a_slow_engine_is_reported_and_its_statements_are_not() {
    for reports_progress in [true, false] {
        let mut simulation = Simulation::with_history(REPORT_AND_HOLD, 4);
        simulation.reports_progress = reports_progress;
        for second in 0..40 {
            for engine in 0..4 {
                let mut lookup = simulation.job(LOOKUP, LOOKUP as u64, engine, 250_000.0);
                let mut report = simulation.job(REPORT, REPORT as u64, engine, 4e6);
                if engine == 3 {
                    (lookup.slowdown, report.slowdown) = (15.0, 15.0);
                }
                simulation.run(lookup);
                if second % 2 == 0 {
                    simulation.run(report);
                }
            }
            simulation.advance(1);
        }
        assert_eq!(
            (simulation.runaways(), simulation.notices()),
            (vec![], vec![Cause::SlowEngine]),
            "reports_progress: {reports_progress}"
        );
        let subject = simulation
            .detector
            .open_findings()
            .next()
            .map(|finding| finding.subject.clone());
        assert_eq!(subject, Some(Subject::Engine(EngineId(3))));
    }
}

#[test]
fn an_unknown_fingerprint_is_bounded_by_its_class() {
    let mut simulation = Simulation::with_history(REPORT_AND_HOLD, 4);
    // A new fingerprint with ten times the median of its class is large but legitimate.
    simulation.start(REPORT, 900, 0, 40e6);
    simulation.advance(25);
    assert!(simulation.running.is_empty() && simulation.runaways().is_empty());
    let id = simulation.start(LOOKUP, 901, 1, 300e6);
    simulation.advance(25);
    assert_eq!(simulation.runaways(), [(name(id), Cause::Heavy)]);
    let finding = simulation
        .detector
        .open_findings()
        .next()
        .expect("an open finding");
    assert!(
        matches!(finding.evidence.basis, Basis::Class(_)),
        "{:?}",
        finding.evidence
    );
}

#[test]
fn without_history_the_settings_set_the_bound() {
    let mut simulation = Simulation::new(REPORT_AND_HOLD, 4);
    simulation.start(LOOKUP, 1, 0, 10e6);
    simulation.advance(12);
    assert!(
        simulation.found().is_empty(),
        "10 s are within the bound of a class whose clients wait 25 s"
    );
    let id = simulation.start(LOOKUP, 1, 0, 900e6);
    simulation.advance(29);
    assert_eq!(simulation.runaways(), [(name(id), Cause::Heavy)]);
    assert_eq!(
        simulation
            .detector
            .open_findings()
            .next()
            .map(|finding| finding.evidence.basis),
        Some(Basis::Settings)
    );
}

#[test]
fn a_changed_fingerprint_gets_one_notice_and_its_new_values_are_adopted() {
    let mut simulation = Simulation::with_history(REPORT_AND_HOLD, 4);
    for n in 0..100u32 {
        simulation.start(REPORT, REPORT as u64, n % 4, 100e6);
        simulation.start(LOOKUP, LOOKUP as u64, n % 4, 250_000.0);
        simulation.advance(1);
    }
    assert_eq!(
        simulation.notices(),
        [Cause::FingerprintChanged],
        "one notice"
    );
    assert!(
        simulation.runaways().len() <= 1,
        "{:?}",
        simulation.runaways()
    );
    assert!(
        simulation.detector.holds().next().is_none(),
        "a changed fingerprint is not held"
    );
    simulation.advance(60);
    assert_eq!(
        simulation.detector.open_findings().count(),
        0,
        "the new values are usual now"
    );
    simulation.decisions.clear();
    for n in 0..20u32 {
        simulation.start(REPORT, REPORT as u64, n % 4, 100e6);
        simulation.advance(1);
    }
    simulation.advance(60);
    assert!(simulation.found().is_empty(), "{:?}", simulation.found());
}

#[test]
fn a_changed_fingerprint_does_not_make_an_engine_slow() {
    let mut simulation = Simulation::with_history(REPORT_AND_HOLD, 4);
    // Engine 0 happens to run only one of the usual statements.
    for n in 0..36u32 {
        simulation.start(
            REPORT,
            REPORT as u64,
            if n == 0 { 0 } else { 1 + n % 3 },
            4e6,
        );
    }
    simulation.advance(3);
    assert!(simulation.running.is_empty(), "usual statements have ended");
    for n in 0..40u32 {
        simulation.start(REPORT, REPORT as u64, n % 4, 100e6);
    }
    simulation.advance(20);
    assert_eq!(simulation.notices(), [Cause::FingerprintChanged]);
}

#[test]
fn one_long_run_among_usual_ones_is_no_fingerprint_change() {
    let mut simulation = Simulation::with_history(REPORT_AND_HOLD, 4);
    let id = simulation.start(REPORT, REPORT as u64, 0, 900e6);
    for n in 0..30u32 {
        simulation.start(REPORT, REPORT as u64, n % 4, 4e6);
        simulation.advance(1);
    }
    assert_eq!(
        (simulation.runaways(), simulation.notices()),
        (vec![(name(id), Cause::Heavy)], vec![])
    );
    // The runaway is not learned from: the next one is found just as early.
    simulation.detector.end_attempt(
        simulation.now,
        Simulation::attempt(id),
        ExecutionOutcome::Succeeded,
        Some(900 * SECOND),
    );
    simulation.drop_job(id);
    simulation.collect_decisions();
    let next = simulation.start(REPORT, REPORT as u64, 0, 900e6);
    simulation.advance(10);
    assert!(simulation.runaways().contains(&(name(next), Cause::Heavy)));
}

#[test]
fn the_largest_memory_user_is_a_runaway_and_waiters_for_memory_are_not() {
    let mut simulation = Simulation::new(REPORT_AND_HOLD, 2);
    let memory = |mb: f64| ProgressReport {
        work: Some(1000),
        memory_mb: Some(mb),
        ..ProgressReport::default()
    };
    for _ in 0..40 {
        let id = simulation.start(REPORT, 1, 0, 4e6);
        simulation
            .detector
            .report_progress(simulation.now, Simulation::attempt(id), memory(200.0));
        simulation.now += 2 * SECOND;
        simulation.finish(id);
    }
    let largest_user = simulation.start(REPORT, 1, 0, 20e6);
    let waiting: Vec<u64> = (0..10)
        .map(|_| simulation.start(REPORT, 1, 0, 4e6))
        .collect();
    simulation.running.clear();
    for _ in 0..100 {
        simulation.detector.report_progress(
            simulation.now,
            Simulation::attempt(largest_user),
            memory(3800.0),
        );
        waiting
            .iter()
            .for_each(|id| simulation.report_blocked(*id, BlockedState::Memory));
        simulation.advance(1);
    }
    assert_eq!(simulation.runaways(), [(name(largest_user), Cause::Memory)]);
    assert_eq!(
        simulation.detector.open_findings().count(),
        1,
        "there is no finding on attempts that waited for 100 s"
    );
}

#[test]
fn spilling_raises_the_bound_up_to_a_limit() {
    let mut simulation = Simulation::with_history(REPORT_AND_HOLD, 4);
    let spilling = |simulation: &mut Simulation, times: f64| {
        let id = simulation.start(REPORT, REPORT as u64, 0, 4e6);
        simulation.running.clear();
        for second in 1..=20 {
            let work = (4e6 * times * f64::from(second.min(10)) / 10.0) as u64;
            simulation.detector.report_progress(
                simulation.now,
                Simulation::attempt(id),
                ProgressReport {
                    work: Some(work),
                    spills: true,
                    ..ProgressReport::default()
                },
            );
            simulation.advance(1);
        }
        id
    };
    spilling(&mut simulation, 30.0);
    assert_eq!(simulation.runaways(), []);
    let id = spilling(&mut simulation, 45.0);
    assert_eq!(simulation.runaways(), [(name(id), Cause::Heavy)]);
}

#[test]
fn a_bad_plan_is_recognised_by_its_work_per_row() {
    for (rows, cause) in [(100_000u64, Cause::BadPlan), (9_000_000, Cause::Heavy)] {
        let mut simulation = Simulation::new(REPORT_AND_HOLD, 4);
        for n in 0..40u32 {
            let mut job = simulation.job(REPORT, 1, n % 4, 4e6);
            job.rows = Some(100_000);
            simulation.run(job);
            simulation.advance(3);
        }
        let mut job = simulation.job(REPORT, 1, 0, 400e6);
        job.rows = Some(rows);
        simulation.run(job);
        simulation.advance(12);
        assert_eq!(simulation.runaways().first().map(|r| r.1), Some(cause));
    }
}

#[test]
fn a_slow_reader_is_a_notice_and_no_runaway() {
    let mut simulation = Simulation::with_history(REPORT_AND_HOLD, 4);
    let id = simulation.start(REPORT, REPORT as u64, 0, 4e6);
    simulation.drop_job(id);
    simulation.advance(2);
    simulation
        .detector
        .start_streaming(simulation.now, Simulation::attempt(id));
    simulation.advance(120);
    assert_eq!(
        (simulation.runaways(), simulation.notices()),
        (vec![], vec![Cause::SlowReader])
    );
    simulation.detector.end_attempt(
        simulation.now,
        Simulation::attempt(id),
        ExecutionOutcome::Succeeded,
        Some(4 * SECOND),
    );
    assert_eq!(simulation.detector.open_findings().count(), 0);
}

#[test]
fn an_attempt_without_reports_among_reported_ones_is_not_heavy() {
    let mut simulation = Simulation::with_history(REPORT_AND_HOLD, 4);
    let id = simulation.start(REPORT, REPORT as u64, 0, 4e6);
    simulation.drop_job(id);
    for _ in 0..60 {
        simulation.start(LOOKUP, LOOKUP as u64, 1, 1_600_000.0);
        simulation.advance(1);
    }
    assert_eq!(simulation.runaways(), []);
}

#[test]
fn generated_fingerprints_use_bounded_memory_and_are_held_together() {
    let mut simulation = Simulation::with_history(REPORT_AND_HOLD, 4);
    for fingerprint in 0..20_000 {
        let id = simulation.start(
            LOOKUP,
            1_000_000 + fingerprint,
            (fingerprint % 4) as u32,
            250_000.0,
        );
        simulation.finish(id);
    }
    assert!(
        simulation.detector.tracked_counts().fingerprints <= 1000
            && simulation.detector.tracked_counts().attempts == 0
    );
    // Runaways with a different statement text each time.
    for fingerprint in 0..4 {
        simulation.start(LOOKUP, 2_000_000 + fingerprint, 0, 900e6);
        simulation.advance(20);
    }
    let together = HoldTarget::Kind(FingerprintId::unknown("lookup").0);
    assert!(
        simulation.holds().iter().any(|h| h.target == together),
        "{:?}",
        simulation.holds()
    );
    let label = "x".into();
    assert_eq!(
        simulation.detector.observe_arrival(
            simulation.now,
            FingerprintId(3_000_000),
            LOOKUP,
            &label
        ),
        FingerprintId::unknown("lookup")
    );
    assert_eq!(
        simulation.detector.observe_arrival(
            simulation.now,
            FingerprintId(LOOKUP as u64),
            LOOKUP,
            &label
        ),
        FingerprintId(LOOKUP as u64)
    );
}

#[test]
fn the_same_events_lead_to_the_same_decisions() {
    let simulate = || {
        let mut simulation = Simulation::with_history(REPORT_AND_HOLD, 4);
        for n in 0..40u32 {
            simulation.start(
                REPORT,
                REPORT as u64,
                n % 4,
                if n % 7 == 0 { 300e6 } else { 4e6 },
            );
            simulation.advance(1);
        }
        (
            format!("{:?}", simulation.decisions),
            simulation.detector.save(),
        )
    };
    let (first, second) = (simulate(), simulate());
    assert!(first.0.contains("Runaway") && first == second);
}
