//! What is done about runaways, as the options of their class allow.

mod common;

use common::*;
use hoptiller_policy::EngineId;
use hoptiller_runaway::*;

const ALL: EnforcementOptions = EnforcementOptions {
    name: true,
    hold: true,
    lower: true,
    pause: true,
    end: true,
};

fn actions(w: &Simulation) -> Vec<&Decision> {
    let act = |d: &&Decision| !matches!(d, Decision::Found(_) | Decision::Hold(_));
    w.decisions.iter().filter(act).collect()
}

#[test]
fn the_default_options_report_and_hold_only() {
    let mut w = Simulation::with_history(NAME_AND_HOLD, 4);
    w.start(REPORT, REPORT as u64, 0, 900e6);
    w.advance(60);
    assert!(w.runaways().len() == 1 && w.holds().len() == 1 && actions(&w).is_empty());
    let mut w = Simulation::with_history(
        EnforcementOptions {
            name: true,
            ..EnforcementOptions::default()
        },
        4,
    );
    w.start(REPORT, REPORT as u64, 0, 900e6);
    w.advance(60);
    assert!(w.runaways().len() == 1 && w.holds().is_empty());
}

#[test]
fn a_runaway_is_paused_once_resumed_and_ended_once() {
    let mut w = Simulation::with_history(ALL, 4);
    let id = w.start(REPORT, REPORT as u64, 0, 900e6);
    w.advance(60);
    let attempt = Simulation::attempt(id);
    let acts = actions(&w);
    assert_eq!(
        acts,
        [
            &Decision::Pause(attempt),
            &Decision::End(attempt),
            &Decision::Resume(attempt)
        ]
    );
    assert!(w.holds()[0].low_priority, "its kind runs behind others");
}

#[test]
fn a_blocker_is_never_paused() {
    let mut w = Simulation::with_history(ALL, 4);
    let load = w.start(LOAD, LOAD as u64, 0, 900e6);
    w.advance(40);
    assert_eq!(w.runaways().len(), 1);
    assert_eq!(actions(&w), [&Decision::End(Simulation::attempt(load))]);
}

#[test]
fn only_the_youngest_of_a_deadlock_is_ended() {
    let mut w = Simulation::with_history(ALL, 4);
    let ids = [(); 3].map(|()| w.start(LOAD, LOAD as u64, 1, 4e6));
    w.running.clear();
    for _ in 0..15 {
        (0..3).for_each(|n| w.report_blocked_by(ids[n], &name(ids[(n + 1) % 3])));
        w.advance(1);
    }
    assert_eq!(w.runaways().len(), 3);
    assert_eq!(actions(&w), [&Decision::End(Simulation::attempt(ids[2]))]);
}

#[test]
fn a_runaway_that_finishes_before_its_end_is_due_is_not_ended() {
    let mut settings = settings(ALL);
    settings.end_after = 30 * S;
    let mut w = Simulation::of(settings, 4);
    w.run_history(100);
    let id = w.start(REPORT, REPORT as u64, 0, 900e6);
    w.advance(15);
    assert_eq!(w.runaways().len(), 1);
    w.finish(id);
    w.advance(60);
    assert!(!actions(&w).iter().any(|d| matches!(d, Decision::End(_))));
    // Nor one whose client already takes rows.
    let id = w.start(REPORT, REPORT as u64, 0, 900e6);
    w.advance(15);
    w.detector.start_streaming(w.now, Simulation::attempt(id));
    w.drop_job(id);
    w.advance(60);
    assert!(!actions(&w).iter().any(|d| matches!(d, Decision::End(_))));
}

#[test]
fn a_hold_is_lifted_by_clean_runs_or_by_an_operator() {
    let most = |w: &Simulation| w.holds().last().map(|h| h.max_in_flight);
    let mut w = Simulation::with_history(NAME_AND_HOLD, 4);
    let id = w.start(REPORT, REPORT as u64, 0, 900e6);
    w.advance(15);
    assert_eq!(most(&w), Some(2));
    w.finish(id);
    w.advance(1);
    assert_eq!(most(&w), Some(1));
    for want in [2, 4, u32::MAX] {
        for _ in 0..3 {
            w.start(REPORT, REPORT as u64, 0, 4e6);
            w.advance(3);
        }
        assert_eq!(most(&w), Some(want));
    }
    w.start(REPORT, REPORT as u64, 0, 900e6);
    w.advance(15);
    assert!(most(&w) < Some(u32::MAX));
    assert!(
        w.detector.release_hold(FingerprintId(REPORT as u64))
            && !w.detector.release_hold(FingerprintId(REPORT as u64))
    );
    w.collect_decisions();
    assert_eq!(most(&w), Some(u32::MAX));
}

#[test]
fn invalid_reports_and_unknown_attempts_are_ignored() {
    let mut w = Simulation::with_history(NAME_AND_HOLD, 4);
    let id = w.start(REPORT, REPORT as u64, 0, 4e6);
    w.drop_job(id);
    for done in [f64::NAN, -1.0, 7.0, f64::INFINITY] {
        let report = ProgressReport {
            work: Some(0),
            done: Some(done),
            memory_mb: Some(done),
            ..ProgressReport::default()
        };
        w.detector
            .report_progress(w.now, Simulation::attempt(id), report);
        w.advance(1);
    }
    w.report_blocked_by(id, &name(id));
    w.detector.report_progress(
        w.now,
        Simulation::attempt(999_999),
        ProgressReport::default(),
    );
    w.detector.end_attempt(
        w.now,
        Simulation::attempt(999_999),
        ExecutionOutcome::Succeeded,
        Some(1),
    );
    w.detector
        .start_streaming(w.now, Simulation::attempt(999_999));
    w.detector.reset_engine(w.now, EngineId(77));
    w.detector.update_engines(Vec::new());
    w.advance(5);
    assert_eq!(w.runaways(), []);
    // Engines that name thousands of holders.
    for n in 0..5000 {
        w.report_blocked_by(id, &format!("x/{n}"));
    }
    assert!(w.detector.tracked_counts().remote_statements <= 256);
}
