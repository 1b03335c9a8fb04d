//! Actions against runaways, as the enforcement options of their class allow.

mod common;

use common::*;
use hoptiller_policy::EngineId;
use hoptiller_runaway::*;

const ALL_OPTIONS: EnforcementOptions = EnforcementOptions {
    report: true,
    hold: true,
    low_priority: true,
    pause: true,
    kill: true,
};

fn actions(simulation: &Simulation) -> Vec<&Decision> {
    let is_action = |d: &&Decision| !matches!(d, Decision::Found(_) | Decision::Hold(_));
    simulation.decisions.iter().filter(is_action).collect()
}

#[test]
fn the_default_options_do_not_pause_or_kill_and_reporting_alone_does_not_hold() {
    let mut simulation = Simulation::with_history(REPORT_AND_HOLD, 4);
    simulation.start(REPORT, REPORT as u64, 0, 900e6);
    simulation.advance(60);
    assert!(
        simulation.runaways().len() == 1
            && simulation.holds().len() == 1
            && actions(&simulation).is_empty()
    );
    let mut simulation = Simulation::with_history(
        EnforcementOptions {
            report: true,
            ..EnforcementOptions::default()
        },
        4,
    );
    simulation.start(REPORT, REPORT as u64, 0, 900e6);
    simulation.advance(60);
    assert!(simulation.runaways().len() == 1 && simulation.holds().is_empty());
}

#[test]
fn a_runaway_is_paused_once_resumed_and_killed_once() {
    let mut simulation = Simulation::with_history(ALL_OPTIONS, 4);
    let id = simulation.start(REPORT, REPORT as u64, 0, 900e6);
    simulation.advance(60);
    let attempt = Simulation::attempt(id);
    let decided = actions(&simulation);
    assert_eq!(
        decided,
        [
            &Decision::Pause(attempt),
            &Decision::Kill(attempt),
            &Decision::Resume(attempt)
        ]
    );
    assert!(
        simulation.holds()[0].low_priority,
        "its fingerprint runs at low priority"
    );
}

#[test]
fn a_blocker_is_never_paused() {
    let mut simulation = Simulation::with_history(ALL_OPTIONS, 4);
    let load = simulation.start(LOAD, LOAD as u64, 0, 900e6);
    simulation.advance(40);
    assert_eq!(simulation.runaways().len(), 1);
    assert_eq!(
        actions(&simulation),
        [&Decision::Kill(Simulation::attempt(load))]
    );
}

#[test]
fn only_the_youngest_of_a_deadlock_is_killed() {
    let mut simulation = Simulation::with_history(ALL_OPTIONS, 4);
    let ids = [(); 3].map(|()| simulation.start(LOAD, LOAD as u64, 1, 4e6));
    simulation.running.clear();
    for _ in 0..15 {
        (0..3).for_each(|n| simulation.report_blocked_by(ids[n], &name(ids[(n + 1) % 3])));
        simulation.advance(1);
    }
    assert_eq!(simulation.runaways().len(), 3);
    assert_eq!(
        actions(&simulation),
        [&Decision::Kill(Simulation::attempt(ids[2]))]
    );
}

#[test]
fn a_runaway_that_finishes_before_its_kill_is_due_is_not_killed() {
    let mut settings = settings(ALL_OPTIONS);
    settings.kill_after = 30 * SECOND;
    let mut simulation = Simulation::with_settings(settings, 4);
    simulation.run_history(100);
    let id = simulation.start(REPORT, REPORT as u64, 0, 900e6);
    simulation.advance(15);
    assert_eq!(simulation.runaways().len(), 1);
    simulation.finish(id);
    simulation.advance(60);
    assert!(
        !actions(&simulation)
            .iter()
            .any(|d| matches!(d, Decision::Kill(_)))
    );
    // Nor is one killed whose client already receives rows.
    let id = simulation.start(REPORT, REPORT as u64, 0, 900e6);
    simulation.advance(15);
    simulation
        .detector
        .start_streaming(simulation.now, Simulation::attempt(id));
    simulation.drop_job(id);
    simulation.advance(60);
    assert!(
        !actions(&simulation)
            .iter()
            .any(|d| matches!(d, Decision::Kill(_)))
    );
}

#[test]
fn a_hold_is_released_by_clean_runs_or_by_an_operator() {
    let last_limit = |simulation: &Simulation| simulation.holds().last().map(|h| h.max_in_flight);
    let mut simulation = Simulation::with_history(REPORT_AND_HOLD, 4);
    let id = simulation.start(REPORT, REPORT as u64, 0, 900e6);
    simulation.advance(15);
    assert_eq!(last_limit(&simulation), Some(2));
    simulation.finish(id);
    simulation.advance(1);
    assert_eq!(last_limit(&simulation), Some(1));
    for want in [2, 4, u32::MAX] {
        for _ in 0..3 {
            simulation.start(REPORT, REPORT as u64, 0, 4e6);
            simulation.advance(3);
        }
        assert_eq!(last_limit(&simulation), Some(want));
    }
    simulation.start(REPORT, REPORT as u64, 0, 900e6);
    simulation.advance(15);
    assert!(last_limit(&simulation) < Some(u32::MAX));
    assert!(
        simulation
            .detector
            .release_hold(FingerprintId(REPORT as u64))
            && !simulation
                .detector
                .release_hold(FingerprintId(REPORT as u64))
    );
    simulation.collect_decisions();
    assert_eq!(last_limit(&simulation), Some(u32::MAX));
}

#[test]
fn invalid_reports_and_unknown_attempts_are_ignored() {
    let mut simulation = Simulation::with_history(REPORT_AND_HOLD, 4);
    let id = simulation.start(REPORT, REPORT as u64, 0, 4e6);
    simulation.drop_job(id);
    for done in [f64::NAN, -1.0, 7.0, f64::INFINITY] {
        let report = ProgressReport {
            work: Some(0),
            done: Some(done),
            memory_mb: Some(done),
            ..ProgressReport::default()
        };
        simulation
            .detector
            .report_progress(simulation.now, Simulation::attempt(id), report);
        simulation.advance(1);
    }
    simulation.report_blocked_by(id, &name(id));
    simulation.detector.report_progress(
        simulation.now,
        Simulation::attempt(999_999),
        ProgressReport::default(),
    );
    simulation.detector.end_attempt(
        simulation.now,
        Simulation::attempt(999_999),
        ExecutionOutcome::Succeeded,
        Some(1),
    );
    simulation
        .detector
        .start_streaming(simulation.now, Simulation::attempt(999_999));
    simulation
        .detector
        .reset_engine(simulation.now, EngineId(77));
    simulation.detector.update_engines(Vec::new());
    simulation.advance(5);
    assert_eq!(simulation.runaways(), []);
    // An engine reports thousands of blocking statements.
    for n in 0..5000 {
        simulation.report_blocked_by(id, &format!("x/{n}"));
    }
    assert!(simulation.detector.tracked_counts().remote_statements <= 256);
}
