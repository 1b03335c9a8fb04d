//! Runaways that block others, blocked statements, and statements of other routers.

mod common;

use common::*;
use hoptiller_policy::{EngineId, Hold, HoldTarget};
use hoptiller_runaway::*;

#[test]
fn a_load_that_blocks_many_lookups_is_a_runaway_and_they_are_not() {
    let mut w = Simulation::with_history(NAME_AND_HOLD, 4);
    let mut load = w.job(LOAD, LOAD as u64, 2, 600e6);
    load.group = Some(77);
    let load = w.run(load);
    w.advance(2);
    let lookups: Vec<u64> = (0..40)
        .map(|_| w.start(LOOKUP, LOOKUP as u64, 2, 250_000.0))
        .collect();
    let held: Vec<u64> = lookups.clone();
    w.running.retain(|j| !held.contains(&j.id));
    for _ in 0..12 {
        lookups
            .iter()
            .for_each(|id| w.report_blocked_by(*id, &name(load)));
        w.advance(1);
    }
    assert_eq!(w.runaways(), [(name(load), Cause::Blocks)]);
    let f = w.detector.open_findings().next().expect("stands").clone();
    assert_eq!(
        (
            f.blocked,
            f.blocks.len(),
            w.detector.open_findings().count()
        ),
        (40, 40, 1)
    );
    // Those who read the same tables are kept away from that engine; when it is over, no longer.
    let away = Hold {
        target: HoldTarget::Group(77),
        max_in_flight: u32::MAX,
        excluded_engines: vec![EngineId(2)],
        low_priority: false,
    };
    assert!(w.holds().contains(&&away), "{:?}", w.holds());
    w.finish(load);
    w.advance(1);
    assert_eq!(
        w.holds()
            .iter()
            .filter(|h| h.target == HoldTarget::Group(77))
            .count(),
        2
    );
    assert_eq!(w.detector.excluded_engines().count(), 0);
}

#[test]
fn waits_are_inferred_from_table_groups_without_reports() {
    let mut w = Simulation::with_history(NAME_AND_HOLD, 4);
    w.reports_progress = false;
    let mut load = w.job(LOAD, LOAD as u64, 2, 600e6);
    load.group = Some(77);
    let load = w.run(load);
    w.advance(1);
    for n in 0..20 {
        let mut lookup = w.job(LOOKUP, LOOKUP as u64, 2, 250e6);
        lookup.group = Some(if n < 12 { 77 } else { 78 });
        if n < 12 {
            w.run(lookup);
        }
    }
    w.advance(11);
    assert_eq!(
        w.runaways(),
        [(name(load), Cause::Blocks)],
        "the lookups stand behind it, as far as can be seen"
    );
}

#[test]
fn both_members_of_a_deadlock_are_runaways_and_their_waiters_are_not() {
    let mut w = Simulation::with_history(NAME_AND_HOLD, 4);
    let (a, b) = (
        w.start(LOAD, LOAD as u64, 1, 4e6),
        w.start(LOAD, LOAD as u64, 1, 4e6),
    );
    let c = w.start(LOOKUP, LOOKUP as u64, 1, 250_000.0);
    w.running.clear();
    for _ in 0..6 {
        w.report_blocked_by(a, &name(b));
        w.report_blocked_by(b, &name(a));
        w.report_blocked_by(c, &name(a));
        w.advance(1);
    }
    let mut found = w.runaways();
    found.sort();
    assert_eq!(
        found,
        [(name(a), Cause::Deadlock), (name(b), Cause::Deadlock)]
    );
    // The circle is broken: neither is at fault any more.
    w.finish(b);
    for id in [a, c] {
        w.detector.report_progress(
            w.now,
            Simulation::attempt(id),
            ProgressReport {
                work: Some(1),
                ..ProgressReport::default()
            },
        );
    }
    w.advance(2);
    assert!(
        w.detector
            .open_findings()
            .all(|f| f.verdict != Verdict::Runaway),
        "{:?}",
        w.detector.open_findings().collect::<Vec<_>>()
    );
}

#[test]
fn an_abandoned_attempt_is_found_by_its_waiters() {
    let mut w = Simulation::with_history(NAME_AND_HOLD, 4);
    let mut load = w.job(LOAD, LOAD as u64, 2, 900e6);
    load.group = Some(5);
    let load = w.run(load);
    w.drop_job(load);
    w.advance(1);
    w.detector.end_attempt(
        w.now,
        Simulation::attempt(load),
        ExecutionOutcome::Abandoned,
        None,
    );
    let blocked = |w: &mut Simulation, holder: &str, age| {
        let waiting: Vec<u64> = (0..10)
            .map(|_| w.start(LOOKUP, LOOKUP as u64, 2, 250_000.0))
            .collect();
        w.running.clear();
        for second in 0..12 {
            for id in &waiting {
                let age = Some(age + second * S);
                let holder = Holder {
                    name: holder.into(),
                    class: Some(LOAD),
                    age,
                };
                w.report_blocked(*id, BlockedState::Behind(Some(holder)));
            }
            w.advance(1);
        }
        waiting
    };
    blocked(&mut w, &name(load), S);
    assert_eq!(w.runaways(), [(name(load), Cause::Blocks)]);
    assert!(
        w.detector
            .excluded_engines()
            .any(|(group, engines)| (*group, &engines[..]) == (5, &[EngineId(2)][..]))
    );
    // Its engine's process is another one: it is gone with the old one.
    w.detector.reset_engine(w.now, EngineId(2));
    w.advance(1);
    assert!(
        w.detector
            .open_findings()
            .all(|f| f.subject != Subject::Statement(name(load)))
    );
    // One of a router that died, of which nothing was ever known here.
    w.decisions.clear();
    let waiting = blocked(&mut w, "r2/00009_gone", 40 * S);
    assert_eq!(w.runaways(), [("r2/00009_gone".to_owned(), Cause::Blocks)]);
    for id in waiting {
        w.detector.end_attempt(
            w.now,
            Simulation::attempt(id),
            ExecutionOutcome::Failed,
            None,
        );
    }
    w.advance(60);
    assert!(
        w.detector
            .open_findings()
            .all(|f| f.subject != Subject::Statement("r2/00009_gone".into()))
    );
    assert_eq!(
        w.detector.tracked_counts().remote_statements,
        0,
        "and it is forgotten"
    );
}

#[test]
fn a_blocked_attempt_is_not_at_fault_whatever_it_used_before() {
    let mut w = Simulation::with_history(NAME_AND_HOLD, 4);
    let id = w.start(REPORT, REPORT as u64, 0, 4e6);
    w.running.clear();
    for _ in 0..20 {
        let stands = Some(BlockedState::Behind(None));
        w.detector.report_progress(
            w.now,
            Simulation::attempt(id),
            ProgressReport {
                work: Some(400 * S),
                blocked_state: stands,
                ..ProgressReport::default()
            },
        );
        w.advance(1);
    }
    assert_eq!(w.runaways(), []);
    w.detector.report_progress(
        w.now,
        Simulation::attempt(id),
        ProgressReport {
            work: Some(400 * S),
            ..ProgressReport::default()
        },
    );
    w.advance(3);
    assert_eq!(w.runaways(), [(name(id), Cause::Heavy)], "it moves again");
}

#[test]
fn without_reports_a_long_reader_may_wait_for_a_remote_load_unless_another_reader_completed() {
    let lookup = |w: &mut Simulation, work: f64| {
        let mut job = w.job(LOOKUP, LOOKUP as u64, 1, work);
        job.group = Some(5);
        w.run(job)
    };
    let blind = || {
        let mut w = Simulation::with_history(NAME_AND_HOLD, 4);
        w.reports_progress = false;
        w
    };
    // Alone: no longer than a load may be. Two of the same tables: they stand behind something.
    let mut alone = blind();
    let id = lookup(&mut alone, 900e6);
    alone.advance(15);
    assert_eq!(alone.runaways(), []);
    alone.advance(20);
    assert_eq!(alone.runaways(), [(name(id), Cause::Heavy)]);
    let mut two = blind();
    lookup(&mut two, 900e6);
    lookup(&mut two, 900e6);
    two.advance(60);
    assert_eq!(two.runaways(), []);
    // Something of those tables that began later has passed: it is heavy by itself.
    let mut passed = blind();
    let id = lookup(&mut passed, 900e6);
    passed.advance(1);
    lookup(&mut passed, 250_000.0);
    passed.advance(10);
    assert_eq!(passed.runaways(), [(name(id), Cause::Heavy)]);
}

#[test]
fn a_holder_without_a_reported_age_is_as_old_as_its_first_report() {
    let mut w = Simulation::with_history(NAME_AND_HOLD, 4);
    let waiting: Vec<u64> = (0..10)
        .map(|_| w.start(LOOKUP, LOOKUP as u64, 2, 250_000.0))
        .collect();
    w.running.clear();
    for _ in 0..15 {
        waiting
            .iter()
            .for_each(|id| w.report_blocked_by(*id, "r2/00009_x"));
        w.advance(1);
    }
    assert_eq!(w.runaways(), [("r2/00009_x".to_owned(), Cause::Blocks)]);
}

#[test]
fn blocked_time_does_not_count_against_a_load() {
    let mut w = Simulation::with_history(NAME_AND_HOLD, 4);
    let waiting: Vec<u64> = (0..3)
        .map(|_| w.start(LOOKUP, LOOKUP as u64, 2, 250_000.0))
        .collect();
    w.running.clear();
    for second in 0..30u64 {
        // The first runs away; the second came with it, and runs only from then on.
        let (name, age) = if second < 27 {
            ("r2/00001_x", second * S)
        } else {
            ("r2/00002_x", (second - 27) * S)
        };
        for id in &waiting {
            let holder = Holder {
                name: name.into(),
                class: Some(LOAD),
                age: Some(age),
            };
            w.report_blocked(*id, BlockedState::Behind(Some(holder)));
        }
        w.advance(1);
    }
    assert_eq!(w.runaways(), [("r2/00001_x".to_owned(), Cause::Blocks)]);
}

#[test]
fn table_groups_are_excluded_from_the_engine_of_a_remote_runaway_until_it_is_gone() {
    let mut w = Simulation::with_history(NAME_AND_HOLD, 4);
    let stand = |w: &mut Simulation, n: u64, seconds: u64| {
        let mut ids = Vec::new();
        for _ in 0..n {
            let mut job = w.job(LOOKUP, LOOKUP as u64, 2, 250_000.0);
            job.group = Some(5);
            ids.push(w.run(job));
        }
        w.running.clear();
        for second in 0..seconds {
            for id in &ids {
                let age = Some((60 + second) * S);
                let holder = Holder {
                    name: "r2/00009_x".into(),
                    class: Some(LOAD),
                    age,
                };
                w.report_blocked(*id, BlockedState::Behind(Some(holder)));
            }
            w.advance(1);
        }
        ids.iter().for_each(|id| {
            w.detector.end_attempt(
                w.now,
                Simulation::attempt(*id),
                ExecutionOutcome::Failed,
                None,
            )
        });
    };
    let away = |w: &Simulation| {
        w.detector
            .excluded_engines()
            .any(|(g, e)| (*g, &e[..]) == (5, &[EngineId(2)][..]))
    };
    stand(&mut w, 10, 6);
    assert!(away(&w));
    w.advance(15);
    assert!(
        away(&w),
        "nothing stands behind it just now: it is kept in mind"
    );
    w.advance(6);
    assert!(!away(&w), "tried again");
    // One alone that meets it again is enough.
    stand(&mut w, 1, 2);
    assert!(away(&w));
    w.advance(35);
    assert!(away(&w), "for longer this time");
    w.advance(20);
    assert!(
        !away(&w) && w.detector.tracked_counts().remote_statements == 0,
        "gone, and forgotten"
    );
    assert_eq!(w.runaways().len(), 1, "one verdict");
}
