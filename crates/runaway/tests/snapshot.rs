//! Saving and restoring of statistics and holds.

mod common;

use common::*;
use hoptiller_policy::{Hold, HoldTarget};
use hoptiller_runaway::*;

#[test]
fn statistics_and_holds_survive_a_restart() {
    let mut w = Simulation::with_history(NAME_AND_HOLD, 4);
    w.start(REPORT, REPORT as u64, 0, 900e6);
    w.advance(15);
    let saved = w.detector.save();
    let mut next = Simulation::new(NAME_AND_HOLD, 4);
    let done = next.detector.restore(next.now, &saved).expect("our own");
    assert_eq!((done.fingerprints, done.holds, done.dropped), (3, 1, 0));
    next.collect_decisions();
    let held: Vec<HoldTarget> = next.holds().iter().map(|h: &&Hold| h.target).collect();
    assert_eq!(held, [HoldTarget::Kind(REPORT as u64)]);
    assert_eq!(next.detector.save(), next.detector.save());
    let id = next.start(LOOKUP, LOOKUP as u64, 0, 900e6);
    next.advance(10);
    assert_eq!(
        next.runaways(),
        [(name(id), Cause::Heavy)],
        "by what the former life had learnt"
    );
}

#[test]
fn classes_are_restored_by_name_and_removed_ones_are_dropped() {
    let w = Simulation::with_history(NAME_AND_HOLD, 4);
    let saved = w.detector.save();
    let mut other = settings(NAME_AND_HOLD);
    other.classes.swap(0, 1);
    other.classes.pop();
    let mut next = RunawayDetector::new(other);
    let done = next.restore(0, &saved).expect("our own");
    assert_eq!((done.fingerprints, done.dropped), (2, 1));
}

#[test]
fn a_truncated_changed_or_unknown_snapshot_is_rejected_as_a_whole() {
    let w = Simulation::with_history(NAME_AND_HOLD, 4);
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
