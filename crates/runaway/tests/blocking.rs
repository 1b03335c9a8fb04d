//! Runaways that block others, blocked statements, and statements of other routers.

mod common;

use common::*;
use hoptiller_policy::{EngineId, Hold, HoldTarget};
use hoptiller_runaway::*;

#[test]
fn a_load_that_blocks_many_lookups_is_a_runaway_and_they_are_not() {
    let mut simulation = Simulation::with_history(REPORT_AND_HOLD, 4);
    let mut load = simulation.job(LOAD, LOAD as u64, 2, 600e6);
    load.group = Some(77);
    let load = simulation.run(load);
    simulation.advance(2);
    let lookups: Vec<u64> = (0..40)
        .map(|_| simulation.start(LOOKUP, LOOKUP as u64, 2, 250_000.0))
        .collect();
    let held: Vec<u64> = lookups.clone();
    simulation.running.retain(|j| !held.contains(&j.id));
    for _ in 0..12 {
        lookups
            .iter()
            .for_each(|id| simulation.report_blocked_by(*id, &name(load)));
        simulation.advance(1);
    }
    assert_eq!(simulation.runaways(), [(name(load), Cause::Blocks)]);
    let finding = simulation
        .detector
        .open_findings()
        .next()
        .expect("an open finding")
        .clone();
    assert_eq!(
        (
            finding.blocked_count,
            finding.blocked_names.len(),
            simulation.detector.open_findings().count()
        ),
        (40, 40, 1)
    );
    // Readers of its table group are excluded from that engine until the load ends.
    let exclusion = Hold {
        target: HoldTarget::Group(77),
        max_in_flight: u32::MAX,
        excluded_engines: vec![EngineId(2)],
        low_priority: false,
    };
    assert!(
        simulation.holds().contains(&&exclusion),
        "{:?}",
        simulation.holds()
    );
    simulation.finish(load);
    simulation.advance(1);
    assert_eq!(
        simulation
            .holds()
            .iter()
            .filter(|h| h.target == HoldTarget::Group(77))
            .count(),
        2
    );
    assert_eq!(simulation.detector.excluded_engines().count(), 0);
}

#[test]
fn waits_are_inferred_from_table_groups_without_reports() {
    let mut simulation = Simulation::with_history(REPORT_AND_HOLD, 4);
    simulation.reports_progress = false;
    let mut load = simulation.job(LOAD, LOAD as u64, 2, 600e6);
    load.group = Some(77);
    let load = simulation.run(load);
    simulation.advance(1);
    for _ in 0..12 {
        let mut lookup = simulation.job(LOOKUP, LOOKUP as u64, 2, 250e6);
        lookup.group = Some(77);
        simulation.run(lookup);
    }
    simulation.advance(11);
    assert_eq!(
        simulation.runaways(),
        [(name(load), Cause::Blocks)],
        "the lookups are inferred to wait for it"
    );
}

#[test]
fn both_members_of_a_deadlock_are_runaways_and_their_waiters_are_not() {
    let mut simulation = Simulation::with_history(REPORT_AND_HOLD, 4);
    let (first, second) = (
        simulation.start(LOAD, LOAD as u64, 1, 4e6),
        simulation.start(LOAD, LOAD as u64, 1, 4e6),
    );
    let waiter = simulation.start(LOOKUP, LOOKUP as u64, 1, 250_000.0);
    simulation.running.clear();
    for _ in 0..6 {
        simulation.report_blocked_by(first, &name(second));
        simulation.report_blocked_by(second, &name(first));
        simulation.report_blocked_by(waiter, &name(first));
        simulation.advance(1);
    }
    let mut found = simulation.runaways();
    found.sort();
    assert_eq!(
        found,
        [
            (name(first), Cause::Deadlock),
            (name(second), Cause::Deadlock)
        ]
    );
    // The cycle is broken: neither member is a runaway any longer.
    simulation.finish(second);
    for id in [first, waiter] {
        simulation.detector.report_progress(
            simulation.now,
            Simulation::attempt(id),
            ProgressReport {
                work: Some(1),
                ..ProgressReport::default()
            },
        );
    }
    simulation.advance(2);
    assert!(
        simulation
            .detector
            .open_findings()
            .all(|finding| finding.verdict != Verdict::Runaway),
        "{:?}",
        simulation.detector.open_findings().collect::<Vec<_>>()
    );
}

#[test]
fn an_abandoned_attempt_is_found_by_its_waiters() {
    let mut simulation = Simulation::with_history(REPORT_AND_HOLD, 4);
    let mut load = simulation.job(LOAD, LOAD as u64, 2, 900e6);
    load.group = Some(5);
    let load = simulation.run(load);
    simulation.drop_job(load);
    simulation.advance(1);
    simulation.detector.end_attempt(
        simulation.now,
        Simulation::attempt(load),
        ExecutionOutcome::Abandoned,
        None,
    );
    let blocked = |simulation: &mut Simulation, blocker: &str, age| {
        let waiting: Vec<u64> = (0..10)
            .map(|_| simulation.start(LOOKUP, LOOKUP as u64, 2, 250_000.0))
            .collect();
        simulation.running.clear();
        for second in 0..12 {
            for id in &waiting {
                let age = Some(age + second * SECOND);
                let blocker = BlockingStatement {
                    name: blocker.into(),
                    class: Some(LOAD),
                    age,
                };
                simulation.report_blocked(*id, BlockedState::Statement(Some(blocker)));
            }
            simulation.advance(1);
        }
        waiting
    };
    blocked(&mut simulation, &name(load), SECOND);
    assert_eq!(simulation.runaways(), [(name(load), Cause::Blocks)]);
    assert!(
        simulation
            .detector
            .excluded_engines()
            .any(|(group, engines)| (*group, &engines[..]) == (5, &[EngineId(2)][..]))
    );
    // The engine restarts and no longer runs the attempt.
    simulation
        .detector
        .reset_engine(simulation.now, EngineId(2));
    simulation.advance(1);
    assert!(
        simulation
            .detector
            .open_findings()
            .all(|finding| finding.subject != Subject::Statement(name(load)))
    );
    // A statement of a crashed router, which this router never sent.
    simulation.decisions.clear();
    let waiting = blocked(&mut simulation, "r2/00009_gone", 40 * SECOND);
    assert_eq!(
        simulation.runaways(),
        [("r2/00009_gone".to_owned(), Cause::Blocks)]
    );
    for id in waiting {
        simulation.detector.end_attempt(
            simulation.now,
            Simulation::attempt(id),
            ExecutionOutcome::Failed,
            None,
        );
    }
    simulation.advance(60);
    assert!(
        simulation
            .detector
            .open_findings()
            .all(|finding| finding.subject != Subject::Statement("r2/00009_gone".into()))
    );
    assert_eq!(
        simulation.detector.tracked_counts().remote_statements,
        0,
        "it is no longer tracked"
    );
}

#[test]
fn a_blocked_attempt_is_no_runaway_whatever_it_used_before() {
    let mut simulation = Simulation::with_history(REPORT_AND_HOLD, 4);
    let id = simulation.start(REPORT, REPORT as u64, 0, 4e6);
    simulation.running.clear();
    for _ in 0..20 {
        let blocked_state = Some(BlockedState::Statement(None));
        simulation.detector.report_progress(
            simulation.now,
            Simulation::attempt(id),
            ProgressReport {
                work: Some(400 * SECOND),
                blocked_state,
                ..ProgressReport::default()
            },
        );
        simulation.advance(1);
    }
    assert_eq!(simulation.runaways(), []);
    simulation.detector.report_progress(
        simulation.now,
        Simulation::attempt(id),
        ProgressReport {
            work: Some(400 * SECOND),
            ..ProgressReport::default()
        },
    );
    simulation.advance(3);
    assert_eq!(
        simulation.runaways(),
        [(name(id), Cause::Heavy)],
        "it is no longer blocked"
    );
}

#[test]
fn without_reports_a_long_reader_may_wait_for_a_remote_load_unless_another_reader_completed() {
    let lookup = |simulation: &mut Simulation, work: f64| {
        let mut job = simulation.job(LOOKUP, LOOKUP as u64, 1, work);
        job.group = Some(5);
        simulation.run(job)
    };
    let without_reports = || {
        let mut simulation = Simulation::with_history(REPORT_AND_HOLD, 4);
        simulation.reports_progress = false;
        simulation
    };
    // A single reader may wait for as long as a load may run. Two readers of the same tables are assumed to wait for a
    // load.
    let mut alone = without_reports();
    let id = lookup(&mut alone, 900e6);
    alone.advance(15);
    assert_eq!(alone.runaways(), []);
    alone.advance(20);
    assert_eq!(alone.runaways(), [(name(id), Cause::Heavy)]);
    let mut two = without_reports();
    lookup(&mut two, 900e6);
    lookup(&mut two, 900e6);
    two.advance(60);
    assert_eq!(two.runaways(), []);
    // A reader of the same tables that started later has completed, so the first one does not wait: it is heavy.
    let mut overtaken = without_reports();
    let id = lookup(&mut overtaken, 900e6);
    overtaken.advance(1);
    lookup(&mut overtaken, 250_000.0);
    overtaken.advance(10);
    assert_eq!(overtaken.runaways(), [(name(id), Cause::Heavy)]);
}

#[test]
fn a_blocker_without_a_reported_age_is_as_old_as_its_first_report() {
    let mut simulation = Simulation::with_history(REPORT_AND_HOLD, 4);
    let waiting: Vec<u64> = (0..10)
        .map(|_| simulation.start(LOOKUP, LOOKUP as u64, 2, 250_000.0))
        .collect();
    simulation.running.clear();
    for _ in 0..15 {
        waiting
            .iter()
            .for_each(|id| simulation.report_blocked_by(*id, "r2/00009_x"));
        simulation.advance(1);
    }
    assert_eq!(
        simulation.runaways(),
        [("r2/00009_x".to_owned(), Cause::Blocks)]
    );
}

#[test]
fn blocked_time_does_not_count_against_a_load() {
    let mut simulation = Simulation::with_history(REPORT_AND_HOLD, 4);
    let waiting: Vec<u64> = (0..3)
        .map(|_| simulation.start(LOOKUP, LOOKUP as u64, 2, 250_000.0))
        .collect();
    simulation.running.clear();
    for second in 0..30u64 {
        // The first load is a runaway; the second one starts only after it.
        let (name, age) = if second < 27 {
            ("r2/00001_x", second * SECOND)
        } else {
            ("r2/00002_x", (second - 27) * SECOND)
        };
        for id in &waiting {
            let blocker = BlockingStatement {
                name: name.into(),
                class: Some(LOAD),
                age: Some(age),
            };
            simulation.report_blocked(*id, BlockedState::Statement(Some(blocker)));
        }
        simulation.advance(1);
    }
    assert_eq!(
        simulation.runaways(),
        [("r2/00001_x".to_owned(), Cause::Blocks)]
    );
}

#[test]
fn table_groups_are_excluded_from_the_engine_of_a_remote_runaway_until_it_is_gone() {
    let mut simulation = Simulation::with_history(REPORT_AND_HOLD, 4);
    let wait_for_remote = |simulation: &mut Simulation, n: u64, seconds: u64| {
        let mut ids = Vec::new();
        for _ in 0..n {
            let mut job = simulation.job(LOOKUP, LOOKUP as u64, 2, 250_000.0);
            job.group = Some(5);
            ids.push(simulation.run(job));
        }
        simulation.running.clear();
        for second in 0..seconds {
            for id in &ids {
                let age = Some((60 + second) * SECOND);
                let blocker = BlockingStatement {
                    name: "r2/00009_x".into(),
                    class: Some(LOAD),
                    age,
                };
                simulation.report_blocked(*id, BlockedState::Statement(Some(blocker)));
            }
            simulation.advance(1);
        }
        ids.iter().for_each(|id| {
            simulation.detector.end_attempt(
                simulation.now,
                Simulation::attempt(*id),
                ExecutionOutcome::Failed,
                None,
            )
        });
    };
    let is_excluded = |simulation: &Simulation| {
        simulation
            .detector
            .excluded_engines()
            .any(|(group, engines)| (*group, &engines[..]) == (5, &[EngineId(2)][..]))
    };
    wait_for_remote(&mut simulation, 10, 6);
    assert!(is_excluded(&simulation));
    simulation.advance(15);
    assert!(
        is_excluded(&simulation),
        "it is still tracked while it blocks no attempts"
    );
    simulation.advance(6);
    assert!(!is_excluded(&simulation), "the exclusion has ended");
    // A single newly blocked attempt is enough for another exclusion.
    wait_for_remote(&mut simulation, 1, 2);
    assert!(is_excluded(&simulation));
    simulation.advance(35);
    assert!(is_excluded(&simulation), "the second exclusion is longer");
    simulation.advance(20);
    assert!(
        !is_excluded(&simulation) && simulation.detector.tracked_counts().remote_statements == 0,
        "it is no longer tracked"
    );
    assert_eq!(simulation.runaways().len(), 1, "one finding");
}
