//! What is done about runaways, by the rules; and what survives a restart.

mod common;
use common::*;
use hoptiller_policy::{EngineId, Hold, HoldTarget};
use hoptiller_runaway::*;

const ALL: EnforcementOptions = EnforcementOptions {
    name: true,
    hold: true,
    lower: true,
    pause: true,
    end: true,
};

fn acts_on(w: &World) -> Vec<&Decision> {
    let act = |d: &&Decision| !matches!(d, Decision::Found(_) | Decision::Hold(_));
    w.heard.iter().filter(act).collect()
}

#[test]
fn the_default_names_and_holds_only() {
    let mut w = World::with_past(NAME_AND_HOLD, 4);
    w.start(REPORT, REPORT as u64, 0, 900e6);
    w.go(60);
    assert!(w.runaways().len() == 1 && w.holds().len() == 1 && acts_on(&w).is_empty());
    let mut w = World::with_past(
        EnforcementOptions {
            name: true,
            ..EnforcementOptions::default()
        },
        4,
    );
    w.start(REPORT, REPORT as u64, 0, 900e6);
    w.go(60);
    assert!(w.runaways().len() == 1 && w.holds().is_empty());
}

#[test]
fn it_is_paused_once_goes_on_and_is_ended_once() {
    let mut w = World::with_past(ALL, 4);
    let id = w.start(REPORT, REPORT as u64, 0, 900e6);
    w.go(60);
    let attempt = World::attempt(id);
    let acts = acts_on(&w);
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
fn what_holds_others_up_is_never_paused() {
    let mut w = World::with_past(ALL, 4);
    let load = w.start(LOAD, LOAD as u64, 0, 900e6);
    w.go(40);
    assert_eq!(w.runaways().len(), 1);
    assert_eq!(acts_on(&w), [&Decision::End(World::attempt(load))]);
}

#[test]
fn of_a_circle_only_the_youngest_is_ended() {
    let mut w = World::with_past(ALL, 4);
    let ids = [(); 3].map(|()| w.start(LOAD, LOAD as u64, 1, 4e6));
    w.running.clear();
    for _ in 0..15 {
        (0..3).for_each(|n| w.behind(ids[n], &name(ids[(n + 1) % 3])));
        w.go(1);
    }
    assert_eq!(w.runaways().len(), 3);
    assert_eq!(acts_on(&w), [&Decision::End(World::attempt(ids[2]))]);
}

#[test]
fn one_that_finishes_before_its_end_is_due_is_not_ended() {
    let mut settings = settings(ALL);
    settings.end_after = 30 * S;
    let mut w = World::of(settings, 4);
    w.past(100);
    let id = w.start(REPORT, REPORT as u64, 0, 900e6);
    w.go(15);
    assert_eq!(w.runaways().len(), 1);
    w.finish(id);
    w.go(60);
    assert!(!acts_on(&w).iter().any(|d| matches!(d, Decision::End(_))));
    // Nor one whose client already takes rows.
    let id = w.start(REPORT, REPORT as u64, 0, 900e6);
    w.go(15);
    w.detector.start_streaming(w.now, World::attempt(id));
    w.lose(id);
    w.go(60);
    assert!(!acts_on(&w).iter().any(|d| matches!(d, Decision::End(_))));
}

#[test]
fn a_hold_grows_with_clean_runs_and_is_lifted_and_an_operator_can_lift_it() {
    let most = |w: &World| w.holds().last().map(|h| h.max_in_flight);
    let mut w = World::with_past(NAME_AND_HOLD, 4);
    let id = w.start(REPORT, REPORT as u64, 0, 900e6);
    w.go(15);
    assert_eq!(most(&w), Some(2));
    w.finish(id);
    w.go(1);
    assert_eq!(most(&w), Some(1));
    for want in [2, 4, u32::MAX] {
        for _ in 0..3 {
            w.start(REPORT, REPORT as u64, 0, 4e6);
            w.go(3);
        }
        assert_eq!(most(&w), Some(want));
    }
    w.start(REPORT, REPORT as u64, 0, 900e6);
    w.go(15);
    assert!(most(&w) < Some(u32::MAX));
    assert!(
        w.detector.release_hold(FingerprintId(REPORT as u64))
            && !w.detector.release_hold(FingerprintId(REPORT as u64))
    );
    w.hear();
    assert_eq!(most(&w), Some(u32::MAX));
}

#[test]
fn what_was_learnt_and_held_survives_a_restart() {
    let mut w = World::with_past(NAME_AND_HOLD, 4);
    w.start(REPORT, REPORT as u64, 0, 900e6);
    w.go(15);
    let saved = w.detector.save();
    let mut next = World::new(NAME_AND_HOLD, 4);
    let done = next.detector.restore(next.now, &saved).expect("our own");
    assert_eq!((done.kinds, done.holds, done.dropped), (3, 1, 0));
    next.hear();
    let held: Vec<HoldTarget> = next.holds().iter().map(|h: &&Hold| h.target).collect();
    assert_eq!(held, [HoldTarget::Kind(REPORT as u64)]);
    assert_eq!(next.detector.save(), next.detector.save());
    let id = next.start(LOOKUP, LOOKUP as u64, 0, 900e6);
    next.go(10);
    assert_eq!(
        next.runaways(),
        [(name(id), Cause::Heavy)],
        "by what the former life had learnt"
    );
}

#[test]
fn classes_go_by_name_and_those_that_are_no_more_are_dropped() {
    let w = World::with_past(NAME_AND_HOLD, 4);
    let saved = w.detector.save();
    let mut other = settings(NAME_AND_HOLD);
    other.classes.swap(0, 1);
    other.classes.pop();
    let mut next = RunawayDetector::new(other);
    let done = next.restore(0, &saved).expect("our own");
    assert_eq!((done.kinds, done.dropped), (2, 1));
}

#[test]
fn cut_changed_and_foreign_state_is_refused_whole() {
    let w = World::with_past(NAME_AND_HOLD, 4);
    let saved = w.detector.save();
    let mut fresh = RunawayDetector::new(settings(NAME_AND_HOLD));
    let empty = fresh.save();
    let mut check = |bytes: &[u8]| {
        let error = fresh.restore(0, bytes).expect_err("refused");
        assert_eq!(fresh.save(), empty, "nothing has changed");
        error
    };
    for cut in (0..saved.len()).step_by(97) {
        check(&saved[..cut]);
    }
    for at in (0..saved.len()).step_by(101) {
        let mut changed = saved.clone();
        changed[at] ^= 0x40;
        check(&changed);
    }
    assert!(matches!(check(b""), SnapshotError::UnknownFormat));
    assert!(matches!(
        check(b"\x7fELF\x00\x00 something else"),
        SnapshotError::UnknownFormat
    ));
    assert!(matches!(
        check(&saved[..saved.len() - 1]),
        SnapshotError::Damaged
    ));
    let body = br#"{"classes":[],"kinds":[{"id":1}],"holds":[]}"#;
    let sum = blake3::hash(body).to_hex();
    let whole = [format!("hoptiller runaways 1\n{sum}\n").as_bytes(), body].concat();
    assert!(matches!(check(&whole), SnapshotError::InvalidJson(_)));
}

#[test]
fn odd_news_and_unknown_names_do_no_harm() {
    let mut w = World::with_past(NAME_AND_HOLD, 4);
    let id = w.start(REPORT, REPORT as u64, 0, 4e6);
    w.lose(id);
    for done in [f64::NAN, -1.0, 7.0, f64::INFINITY] {
        let news = ProgressReport {
            work: Some(0),
            done: Some(done),
            memory_mb: Some(done),
            ..ProgressReport::default()
        };
        w.detector.report_progress(w.now, World::attempt(id), news);
        w.go(1);
    }
    w.behind(id, &name(id));
    w.detector
        .report_progress(w.now, World::attempt(999_999), ProgressReport::default());
    w.detector.end_attempt(
        w.now,
        World::attempt(999_999),
        ExecutionOutcome::Succeeded,
        Some(1),
    );
    w.detector.start_streaming(w.now, World::attempt(999_999));
    w.detector.reset_engine(w.now, EngineId(77));
    w.detector.update_engines(Vec::new());
    w.go(5);
    assert_eq!(w.runaways(), []);
    // Engines that name thousands of holders.
    for n in 0..5000 {
        w.behind(id, &format!("x/{n}"));
    }
    assert!(w.detector.tracked_counts().remote_statements <= 256);
}
