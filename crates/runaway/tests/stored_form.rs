//! Compatibility with stored snapshots: a snapshot that was written before types of this package were renamed is
//! restored completely and saved again with the same bytes, so renaming must not change the stored form.
//! `UPDATE_FIXTURES=1` rewrites the fixture; only a new version of the format justifies that.

mod common;

use std::path::{Path, PathBuf};

use common::*;
use hoptiller_runaway::*;

const RESTORED_AT: u64 = 7 * SECOND;

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/runaways")
}

/// Returns a snapshot with statistics of three fingerprints, one announced size and one hold.
fn saved_by_a_simulation() -> Vec<u8> {
    let mut simulation = Simulation::with_history(REPORT_AND_HOLD, 4);
    let mut job = simulation.job(REPORT, REPORT as u64, 1, 40e6);
    job.announced = Announced {
        size: 12,
        estimate: Some(5_000_000),
    };
    simulation.run(job);
    simulation.advance(25);
    simulation.start(REPORT, REPORT as u64, 0, 400e6);
    simulation.advance(12);
    assert!(
        !simulation.holds().is_empty(),
        "the fixture must contain a hold"
    );
    let mut fresh = RunawayDetector::new(settings(REPORT_AND_HOLD));
    fresh
        .restore(RESTORED_AT, &simulation.detector.save())
        .expect("restored");
    fresh.save()
}

#[test]
fn an_old_snapshot_is_restored_and_saved_with_the_same_bytes() {
    if std::env::var_os("UPDATE_FIXTURES").is_some() {
        std::fs::write(fixture(), saved_by_a_simulation()).expect("the fixture can be written");
    }
    let stored = std::fs::read(fixture()).expect("the fixture exists");
    let mut detector = RunawayDetector::new(settings(REPORT_AND_HOLD));
    let restored = detector
        .restore(RESTORED_AT, &stored)
        .expect("an old snapshot can be read");
    assert_eq!(
        (restored.fingerprints, restored.holds, restored.dropped),
        (3, 1, 0)
    );
    assert_eq!(
        String::from_utf8_lossy(&stored),
        String::from_utf8_lossy(&detector.save())
    );
}

#[test]
fn the_same_events_give_the_same_snapshot() {
    let stored = std::fs::read(fixture()).expect("the fixture exists");
    assert_eq!(
        String::from_utf8_lossy(&stored),
        String::from_utf8_lossy(&saved_by_a_simulation())
    );
}
