//! Who is found, when, and with what evidence; and who is not.

mod common;
use common::*;
use hoptiller_policy::{EngineId, HoldTarget};
use hoptiller_runaway::*;

#[test]
fn a_runaway_of_a_known_kind_is_found_long_before_its_bound_by_the_share_done() {
    let mut w = World::with_past(NAME_AND_HOLD, 4);
    let id = w.start(REPORT, REPORT as u64, 0, 400e6);
    w.go(10);
    assert_eq!(w.runaways(), [(name(id), Cause::Heavy)]);
    let f = w
        .found()
        .into_iter()
        .find(|f| f.verdict == Verdict::Runaway)
        .expect("found")
        .clone();
    assert_eq!(f.evidence.measure, Measure::WorkToCome);
    assert!(matches!(f.evidence.basis, Basis::Kind(n) if n >= 100));
    assert!(
        f.evidence.figure > f.evidence.bar && f.at - f.started < 10 * S,
        "{f:?}"
    );
    assert!(
        w.found().iter().any(|f| f.verdict == Verdict::Suspect),
        "suspected before it is found"
    );
    let hold = w.holds();
    assert!(
        hold.len() == 1
            && hold[0].target == HoldTarget::Kind(REPORT as u64)
            && hold[0].max_in_flight == 2,
        "{hold:?}"
    );
    assert_eq!(hold[0].excluded_engines.len(), 3);
}

#[test]
fn without_notes_it_is_found_by_its_time() {
    let mut w = World::with_past(NAME_AND_HOLD, 4);
    w.notes = false;
    let id = w.start(REPORT, REPORT as u64, 0, 400e6);
    w.go(20);
    assert_eq!(w.runaways(), []);
    w.go(10);
    assert_eq!(w.runaways(), [(name(id), Cause::Heavy)]);
}

#[test]
fn a_year_end_report_of_ten_times_the_median_is_left_alone() {
    for notes in [true, false] {
        for announced in [
            Announced::default(),
            Announced {
                size: 12,
                estimate: None,
            },
        ] {
            let mut w = World::with_past(NAME_AND_HOLD, 4);
            w.notes = notes;
            let mut job = w.job(REPORT, REPORT as u64, 0, 40e6);
            job.announced = announced;
            w.run(job);
            w.go(25);
            assert!(
                w.running.is_empty() && w.found().is_empty(),
                "{:?}",
                w.found()
            );
        }
    }
}

#[test]
fn an_announced_size_leaves_even_larger_ones_alone() {
    let mut w = World::with_past(NAME_AND_HOLD, 4);
    let mut job = w.job(REPORT, REPORT as u64, 0, 160e6);
    job.announced.size = 48;
    w.run(job);
    w.go(85);
    assert!(w.running.is_empty() && w.runaways().is_empty());
}

#[test]
fn a_load_that_blocks_forty_lookups_is_named_and_they_are_not() {
    let mut w = World::with_past(NAME_AND_HOLD, 4);
    let mut load = w.job(LOAD, LOAD as u64, 2, 600e6);
    load.group = Some(77);
    let load = w.run(load);
    w.go(2);
    let lookups: Vec<u64> = (0..40)
        .map(|_| w.start(LOOKUP, LOOKUP as u64, 2, 250_000.0))
        .collect();
    let held: Vec<u64> = lookups.clone();
    w.running.retain(|j| !held.contains(&j.id));
    for _ in 0..12 {
        lookups.iter().for_each(|id| w.behind(*id, &name(load)));
        w.go(1);
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
    w.go(1);
    assert_eq!(
        w.holds()
            .iter()
            .filter(|h| h.target == HoldTarget::Group(77))
            .count(),
        2
    );
    assert_eq!(w.detector.excluded_engines().count(), 0);
}

use hoptiller_policy::Hold;

#[test]
fn where_nothing_tells_who_waits_for_whom_tables_do() {
    let mut w = World::with_past(NAME_AND_HOLD, 4);
    w.notes = false;
    let mut load = w.job(LOAD, LOAD as u64, 2, 600e6);
    load.group = Some(77);
    let load = w.run(load);
    w.go(1);
    for n in 0..20 {
        let mut lookup = w.job(LOOKUP, LOOKUP as u64, 2, 250e6);
        lookup.group = Some(if n < 12 { 77 } else { 78 });
        if n < 12 {
            w.run(lookup);
        }
    }
    w.go(11);
    assert_eq!(
        w.runaways(),
        [(name(load), Cause::Blocks)],
        "the lookups stand behind it, as far as can be seen"
    );
}

#[test]
fn a_slow_engine_is_named_and_what_runs_there_is_not() {
    for notes in [true, false] {
        let mut w = World::with_past(NAME_AND_HOLD, 4);
        w.notes = notes;
        for second in 0..40 {
            for engine in 0..4 {
                let mut lookup = w.job(LOOKUP, LOOKUP as u64, engine, 250_000.0);
                let mut report = w.job(REPORT, REPORT as u64, engine, 4e6);
                if engine == 3 {
                    (lookup.slow, report.slow) = (15.0, 15.0);
                }
                w.run(lookup);
                if second % 2 == 0 {
                    w.run(report);
                }
            }
            w.go(1);
        }
        assert_eq!(
            (w.runaways(), w.notices()),
            (vec![], vec![Cause::SlowEngine]),
            "notes: {notes}"
        );
        let subject = w.detector.open_findings().next().map(|f| f.subject.clone());
        assert_eq!(subject, Some(Subject::Engine(EngineId(3))));
    }
}

#[test]
fn a_kind_never_seen_is_neither_flagged_for_being_new_nor_let_run_for_ever() {
    let mut w = World::with_past(NAME_AND_HOLD, 4);
    // Ten times its class's median: new, large, and honest.
    w.start(REPORT, 900, 0, 40e6);
    w.go(25);
    assert!(w.running.is_empty() && w.runaways().is_empty());
    let id = w.start(LOOKUP, 901, 1, 300e6);
    w.go(25);
    assert_eq!(w.runaways(), [(name(id), Cause::Heavy)]);
    let f = w.detector.open_findings().next().expect("stands");
    assert!(
        matches!(f.evidence.basis, Basis::Class(_)),
        "{:?}",
        f.evidence
    );
}

#[test]
fn with_no_past_at_all_the_settings_decide() {
    let mut w = World::new(NAME_AND_HOLD, 4);
    w.start(LOOKUP, 1, 0, 10e6);
    w.go(12);
    assert!(
        w.found().is_empty(),
        "ten seconds of a class whose clients wait 25"
    );
    let id = w.start(LOOKUP, 1, 0, 900e6);
    w.go(29);
    assert_eq!(w.runaways(), [(name(id), Cause::Heavy)]);
    assert_eq!(
        w.detector.open_findings().next().map(|f| f.evidence.basis),
        Some(Basis::Settings)
    );
}

#[test]
fn two_that_block_each_other_are_both_named_and_who_stands_behind_them_is_not() {
    let mut w = World::with_past(NAME_AND_HOLD, 4);
    let (a, b) = (
        w.start(LOAD, LOAD as u64, 1, 4e6),
        w.start(LOAD, LOAD as u64, 1, 4e6),
    );
    let c = w.start(LOOKUP, LOOKUP as u64, 1, 250_000.0);
    w.running.clear();
    for _ in 0..6 {
        w.behind(a, &name(b));
        w.behind(b, &name(a));
        w.behind(c, &name(a));
        w.go(1);
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
            World::attempt(id),
            ProgressReport {
                work: Some(1),
                ..ProgressReport::default()
            },
        );
    }
    w.go(2);
    assert!(
        w.detector
            .open_findings()
            .all(|f| f.verdict != Verdict::Runaway),
        "{:?}",
        w.detector.open_findings().collect::<Vec<_>>()
    );
}

#[test]
fn after_a_release_there_is_one_notice_and_the_new_figures_become_usual() {
    let mut w = World::with_past(NAME_AND_HOLD, 4);
    for n in 0..100u32 {
        w.start(REPORT, REPORT as u64, n % 4, 100e6);
        w.start(LOOKUP, LOOKUP as u64, n % 4, 250_000.0);
        w.go(1);
    }
    assert_eq!(w.notices(), [Cause::KindChanged], "one notice");
    assert!(w.runaways().len() <= 1, "{:?}", w.runaways());
    assert!(
        w.detector.holds().next().is_none(),
        "a changed kind is not held"
    );
    w.go(60);
    assert_eq!(
        w.detector.open_findings().count(),
        0,
        "the new figures are usual now"
    );
    w.heard.clear();
    for n in 0..20u32 {
        w.start(REPORT, REPORT as u64, n % 4, 100e6);
        w.go(1);
    }
    w.go(60);
    assert!(w.found().is_empty(), "{:?}", w.found());
}

#[test]
fn a_changed_kind_names_no_engine_on_which_little_else_has_run() {
    let mut w = World::with_past(NAME_AND_HOLD, 4);
    // Chance has given engine 0 hardly any of the usual ones.
    for n in 0..36u32 {
        w.start(
            REPORT,
            REPORT as u64,
            if n == 0 { 0 } else { 1 + n % 3 },
            4e6,
        );
    }
    w.go(3);
    assert!(w.running.is_empty(), "usual ones have ended");
    for n in 0..40u32 {
        w.start(REPORT, REPORT as u64, n % 4, 100e6);
    }
    w.go(20);
    assert_eq!(w.notices(), [Cause::KindChanged]);
}

#[test]
fn one_among_many_usual_ones_is_no_changed_kind() {
    let mut w = World::with_past(NAME_AND_HOLD, 4);
    let id = w.start(REPORT, REPORT as u64, 0, 900e6);
    for n in 0..30u32 {
        w.start(REPORT, REPORT as u64, n % 4, 4e6);
        w.go(1);
    }
    assert_eq!(
        (w.runaways(), w.notices()),
        (vec![(name(id), Cause::Heavy)], vec![])
    );
    // It taught nothing: the next one is found as fast.
    w.detector.end_attempt(
        w.now,
        World::attempt(id),
        ExecutionOutcome::Succeeded,
        Some(900 * S),
    );
    w.lose(id);
    w.hear();
    let next = w.start(REPORT, REPORT as u64, 0, 900e6);
    w.go(10);
    assert!(w.runaways().contains(&(name(next), Cause::Heavy)));
}

#[test]
fn waiting_for_memory_excuses_and_whoever_takes_it_all_is_named() {
    let mut w = World::new(NAME_AND_HOLD, 2);
    let memory = |mb: f64| ProgressReport {
        work: Some(1000),
        memory_mb: Some(mb),
        ..ProgressReport::default()
    };
    for _ in 0..40 {
        let id = w.start(REPORT, 1, 0, 4e6);
        w.detector
            .report_progress(w.now, World::attempt(id), memory(200.0));
        w.now += 2 * S;
        w.finish(id);
    }
    let hog = w.start(REPORT, 1, 0, 20e6);
    let waiting: Vec<u64> = (0..10).map(|_| w.start(REPORT, 1, 0, 4e6)).collect();
    w.running.clear();
    for _ in 0..100 {
        w.detector
            .report_progress(w.now, World::attempt(hog), memory(3800.0));
        waiting
            .iter()
            .for_each(|id| w.stands(*id, BlockedState::Memory));
        w.go(1);
    }
    assert_eq!(w.runaways(), [(name(hog), Cause::Memory)]);
    assert_eq!(
        w.detector.open_findings().count(),
        1,
        "a hundred seconds of standing are nobody's fault"
    );
}

#[test]
fn work_done_twice_for_want_of_memory_is_not_its_own_fault_up_to_a_point() {
    let mut w = World::with_past(NAME_AND_HOLD, 4);
    let spilling = |w: &mut World, times: f64| {
        let id = w.start(REPORT, REPORT as u64, 0, 4e6);
        w.running.clear();
        for second in 1..=20 {
            let work = (4e6 * times * f64::from(second.min(10)) / 10.0) as u64;
            w.detector.report_progress(
                w.now,
                World::attempt(id),
                ProgressReport {
                    work: Some(work),
                    spills: true,
                    ..ProgressReport::default()
                },
            );
            w.go(1);
        }
        id
    };
    spilling(&mut w, 30.0);
    assert_eq!(w.runaways(), []);
    let id = spilling(&mut w, 45.0);
    assert_eq!(w.runaways(), [(name(id), Cause::Heavy)]);
}

#[test]
fn a_bad_plan_is_told_from_a_large_statement_by_its_work_for_a_row() {
    for (rows, cause) in [(100_000u64, Cause::BadPlan), (9_000_000, Cause::Heavy)] {
        let mut w = World::new(NAME_AND_HOLD, 4);
        for n in 0..40u32 {
            let mut job = w.job(REPORT, 1, n % 4, 4e6);
            job.rows = Some(100_000);
            w.run(job);
            w.go(3);
        }
        let mut job = w.job(REPORT, 1, 0, 400e6);
        job.rows = Some(rows);
        w.run(job);
        w.go(12);
        assert_eq!(w.runaways().first().map(|r| r.1), Some(cause));
    }
}

#[test]
fn a_client_that_reads_slowly_is_a_notice_and_no_runaway() {
    let mut w = World::with_past(NAME_AND_HOLD, 4);
    let id = w.start(REPORT, REPORT as u64, 0, 4e6);
    w.lose(id);
    w.go(2);
    w.detector.start_streaming(w.now, World::attempt(id));
    w.go(120);
    assert_eq!(
        (w.runaways(), w.notices()),
        (vec![], vec![Cause::SlowReader])
    );
    w.detector.end_attempt(
        w.now,
        World::attempt(id),
        ExecutionOutcome::Succeeded,
        Some(4 * S),
    );
    assert_eq!(w.detector.open_findings().count(), 0);
}

#[test]
fn one_of_which_nothing_is_told_while_others_are_is_silent_and_not_heavy() {
    let mut w = World::with_past(NAME_AND_HOLD, 4);
    let id = w.start(REPORT, REPORT as u64, 0, 4e6);
    w.lose(id);
    for _ in 0..60 {
        w.start(LOOKUP, LOOKUP as u64, 1, 1_600_000.0);
        w.go(1);
    }
    assert_eq!(w.runaways(), []);
}

#[test]
fn what_its_router_waits_for_no_longer_is_still_named_by_those_behind_it() {
    let mut w = World::with_past(NAME_AND_HOLD, 4);
    let mut load = w.job(LOAD, LOAD as u64, 2, 900e6);
    load.group = Some(5);
    let load = w.run(load);
    w.lose(load);
    w.go(1);
    w.detector.end_attempt(
        w.now,
        World::attempt(load),
        ExecutionOutcome::Abandoned,
        None,
    );
    let blocked = |w: &mut World, holder: &str, age| {
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
                w.stands(*id, BlockedState::Behind(Some(holder)));
            }
            w.go(1);
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
    w.go(1);
    assert!(
        w.detector
            .open_findings()
            .all(|f| f.subject != Subject::Statement(name(load)))
    );
    // One of a router that died, of which nothing was ever known here.
    w.heard.clear();
    let waiting = blocked(&mut w, "r2/00009_gone", 40 * S);
    assert_eq!(w.runaways(), [("r2/00009_gone".to_owned(), Cause::Blocks)]);
    for id in waiting {
        w.detector
            .end_attempt(w.now, World::attempt(id), ExecutionOutcome::Failed, None);
    }
    w.go(60);
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
fn who_stands_still_is_not_at_fault_whatever_it_took_before() {
    let mut w = World::with_past(NAME_AND_HOLD, 4);
    let id = w.start(REPORT, REPORT as u64, 0, 4e6);
    w.running.clear();
    for _ in 0..20 {
        let stands = Some(BlockedState::Behind(None));
        w.detector.report_progress(
            w.now,
            World::attempt(id),
            ProgressReport {
                work: Some(400 * S),
                blocked_state: stands,
                ..ProgressReport::default()
            },
        );
        w.go(1);
    }
    assert_eq!(w.runaways(), []);
    w.detector.report_progress(
        w.now,
        World::attempt(id),
        ProgressReport {
            work: Some(400 * S),
            ..ProgressReport::default()
        },
    );
    w.go(3);
    assert_eq!(w.runaways(), [(name(id), Cause::Heavy)], "it moves again");
}

#[test]
fn without_notes_a_reader_of_tables_may_stand_behind_a_load_unseen_unless_another_has_passed() {
    let lookup = |w: &mut World, work: f64| {
        let mut job = w.job(LOOKUP, LOOKUP as u64, 1, work);
        job.group = Some(5);
        w.run(job)
    };
    let blind = || {
        let mut w = World::with_past(NAME_AND_HOLD, 4);
        w.notes = false;
        w
    };
    // Alone: no longer than a load may be. Two of the same tables: they stand behind something.
    let mut alone = blind();
    let id = lookup(&mut alone, 900e6);
    alone.go(15);
    assert_eq!(alone.runaways(), []);
    alone.go(20);
    assert_eq!(alone.runaways(), [(name(id), Cause::Heavy)]);
    let mut two = blind();
    lookup(&mut two, 900e6);
    lookup(&mut two, 900e6);
    two.go(60);
    assert_eq!(two.runaways(), []);
    // Something of those tables that began later has passed: it is heavy by itself.
    let mut passed = blind();
    let id = lookup(&mut passed, 900e6);
    passed.go(1);
    lookup(&mut passed, 250_000.0);
    passed.go(10);
    assert_eq!(passed.runaways(), [(name(id), Cause::Heavy)]);
}

#[test]
fn a_holder_whose_age_is_not_told_is_as_old_as_what_is_known_of_it() {
    let mut w = World::with_past(NAME_AND_HOLD, 4);
    let waiting: Vec<u64> = (0..10)
        .map(|_| w.start(LOOKUP, LOOKUP as u64, 2, 250_000.0))
        .collect();
    w.running.clear();
    for _ in 0..15 {
        waiting.iter().for_each(|id| w.behind(*id, "r2/00009_x"));
        w.go(1);
    }
    assert_eq!(w.runaways(), [("r2/00009_x".to_owned(), Cause::Blocks)]);
}

#[test]
fn a_load_that_stood_behind_another_is_not_blamed_for_that_time() {
    let mut w = World::with_past(NAME_AND_HOLD, 4);
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
            w.stands(*id, BlockedState::Behind(Some(holder)));
        }
        w.go(1);
    }
    assert_eq!(w.runaways(), [("r2/00001_x".to_owned(), Cause::Blocks)]);
}

#[test]
fn tables_stay_away_from_another_routers_runaway_and_come_back_when_it_is_gone() {
    let mut w = World::with_past(NAME_AND_HOLD, 4);
    let stand = |w: &mut World, n: u64, seconds: u64| {
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
                w.stands(*id, BlockedState::Behind(Some(holder)));
            }
            w.go(1);
        }
        ids.iter().for_each(|id| {
            w.detector
                .end_attempt(w.now, World::attempt(*id), ExecutionOutcome::Failed, None)
        });
    };
    let away = |w: &World| {
        w.detector
            .excluded_engines()
            .any(|(g, e)| (*g, &e[..]) == (5, &[EngineId(2)][..]))
    };
    stand(&mut w, 10, 6);
    assert!(away(&w));
    w.go(15);
    assert!(
        away(&w),
        "nothing stands behind it just now: it is kept in mind"
    );
    w.go(6);
    assert!(!away(&w), "tried again");
    // One alone that meets it again is enough.
    stand(&mut w, 1, 2);
    assert!(away(&w));
    w.go(35);
    assert!(away(&w), "for longer this time");
    w.go(20);
    assert!(
        !away(&w) && w.detector.tracked_counts().remote_statements == 0,
        "gone, and forgotten"
    );
    assert_eq!(w.runaways().len(), 1, "one verdict");
}

#[test]
fn kinds_made_up_by_the_thousand_cost_bounded_memory_and_are_held_together() {
    let mut w = World::with_past(NAME_AND_HOLD, 4);
    for kind in 0..20_000 {
        let id = w.start(LOOKUP, 1_000_000 + kind, (kind % 4) as u32, 250_000.0);
        w.finish(id);
    }
    assert!(
        w.detector.tracked_counts().fingerprints <= 1000
            && w.detector.tracked_counts().attempts == 0
    );
    // Runaways whose text is another one each time.
    for kind in 0..4 {
        w.start(LOOKUP, 2_000_000 + kind, 0, 900e6);
        w.go(20);
    }
    let together = HoldTarget::Kind(FingerprintId::unknown("lookup").0);
    assert!(
        w.holds().iter().any(|h| h.target == together),
        "{:?}",
        w.holds()
    );
    let label = "x".into();
    assert_eq!(
        w.detector
            .observe_arrival(w.now, FingerprintId(3_000_000), LOOKUP, &label),
        FingerprintId::unknown("lookup")
    );
    assert_eq!(
        w.detector
            .observe_arrival(w.now, FingerprintId(LOOKUP as u64), LOOKUP, &label),
        FingerprintId(LOOKUP as u64)
    );
}

#[test]
fn same_events_same_decisions() {
    let play = || {
        let mut w = World::with_past(NAME_AND_HOLD, 4);
        for n in 0..40u32 {
            w.start(
                REPORT,
                REPORT as u64,
                n % 4,
                if n % 7 == 0 { 300e6 } else { 4e6 },
            );
            w.go(1);
        }
        (format!("{:?}", w.heard), w.detector.save())
    };
    let (one, two) = (play(), play());
    assert!(one.0.contains("Runaway") && one == two);
}
