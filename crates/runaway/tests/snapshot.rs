//! Saving and restoring of statistics and holds.

mod common;

use common::*;
use hoptiller_policy::{Hold, HoldTarget};
use hoptiller_runaway::*;

#[test]
fn statistics_and_holds_survive_a_restart() {
    let mut simulation = Simulation::with_history(REPORT_AND_HOLD, 4);
    simulation.start(REPORT, REPORT as u64, 0, 900e6);
    simulation.advance(15);
    let saved = simulation.detector.save();
    let mut restored = Simulation::new(REPORT_AND_HOLD, 4);
    let counts = restored
        .detector
        .restore(restored.now, &saved)
        .expect("its own snapshot");
    assert_eq!(
        (counts.fingerprints, counts.holds, counts.dropped),
        (3, 1, 0)
    );
    restored.collect_decisions();
    let held: Vec<HoldTarget> = restored.holds().iter().map(|h: &&Hold| h.target).collect();
    assert_eq!(held, [HoldTarget::Kind(REPORT as u64)]);
    assert_eq!(restored.detector.save(), restored.detector.save());
    let id = restored.start(LOOKUP, LOOKUP as u64, 0, 900e6);
    restored.advance(10);
    assert_eq!(
        restored.runaways(),
        [(name(id), Cause::Heavy)],
        "the restored statistics provide the bound"
    );
}

#[test]
fn classes_are_restored_by_name_and_removed_ones_are_dropped() {
    let simulation = Simulation::with_history(REPORT_AND_HOLD, 4);
    let saved = simulation.detector.save();
    let mut other = settings(REPORT_AND_HOLD);
    other.classes.swap(0, 1);
    other.classes.pop();
    let mut restored = RunawayDetector::new(other);
    let counts = restored.restore(0, &saved).expect("its own snapshot");
    assert_eq!((counts.fingerprints, counts.dropped), (2, 1));
}

#[test]
fn a_truncated_changed_or_unknown_snapshot_is_rejected_as_a_whole() {
    let simulation = Simulation::with_history(REPORT_AND_HOLD, 4);
    let saved = simulation.detector.save();
    let mut fresh = RunawayDetector::new(settings(REPORT_AND_HOLD));
    let empty = fresh.save();
    let mut check = |bytes: &[u8]| {
        let error = fresh.restore(0, bytes).expect_err("an invalid snapshot");
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
    assert!(matches!(check(b""), SnapshotError::UnknownFormat { .. }));
    assert!(matches!(
        check(b"\x7fELF\x00\x00 something else"),
        SnapshotError::UnknownFormat { .. }
    ));
    assert!(matches!(
        check(&saved[..saved.len() - 1]),
        SnapshotError::Damaged { .. }
    ));
    let body = br#"{"classes":[],"kinds":[{"id":1}],"holds":[]}"#;
    let checksum = blake3::hash(body).to_hex();
    let snapshot = [
        format!("hoptiller runaways 1\n{checksum}\n").as_bytes(),
        body,
    ]
    .concat();
    assert!(matches!(check(&snapshot), SnapshotError::InvalidJson(_)));
}
