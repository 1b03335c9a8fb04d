//! Digests of the detector's output for seeded generated events: decisions, findings, holds, exclusions and snapshots.
//! A refactoring must not change any digest.
//!
//! The digests cover explicit numbers, texts and JSON keys instead of `Debug` output, so that renaming a type does not
//! change them. `UPDATE_FIXTURES=1` rewrites the fixture; only a deliberate change of decisions justifies that.

#[path = "../common/mod.rs"]
mod common;
mod generator;
mod recorder;

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

use common::SECOND;
use generator::Generator;
use hoptiller_policy::Micros;
use hoptiller_runaway::RunawayDetector;
use recorder::Recorder;

const SEEDS: u64 = 12;
const STEPS: u64 = 1_600;
const STEP: Micros = SECOND / 4;

/// Returns the time from one step to the next: occasionally a longer pause, and once a pause after which abandoned
/// attempts are no longer tracked.
fn pause_after(number: u64) -> Micros {
    match number {
        1_199 => 1_000 * SECOND,
        number if number % 300 == 299 => 20 * SECOND,
        _ => STEP,
    }
}

/// Runs the events of one seed and returns the digest. Adds the number of occurrences of each label of a decision or
/// finding to `counts`.
fn digest_seed(seed: u64, counts: &mut BTreeMap<String, u64>) -> String {
    let mut generator = Generator::new(seed);
    let mut detector = RunawayDetector::new(generator.settings().clone());
    let mut recorder = Recorder::new(std::mem::take(counts));
    for number in 0..STEPS {
        generator.step(&mut detector, number);
        for decision in detector.take_decisions() {
            recorder.add_decision(&decision);
        }
        recorder.add_number(number);
        if number.is_multiple_of(20) {
            recorder.add_state(&detector, &generator.settings().classes);
        }
        if number % 200 == 199 {
            let saved = detector.save();
            recorder.add_bytes(&saved);
            let mut restored = RunawayDetector::new(generator.settings().clone());
            let counts = restored
                .restore(generator.now(), &saved)
                .expect("just saved");
            recorder.add_number(counts.fingerprints as u64);
            recorder.add_bytes(&restored.save());
        }
        generator.advance(pause_after(number));
    }
    let digest = recorder.digest();
    *counts = recorder.into_counts();
    digest
}

#[test]
fn generated_events_give_the_recorded_decisions() {
    let mut text = String::new();
    let mut counts = BTreeMap::new();
    for seed in 0..SEEDS {
        let _ = writeln!(text, "{seed} {}", digest_seed(seed, &mut counts));
    }
    for (label, count) in &counts {
        let _ = writeln!(text, "{count} {label}");
    }
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/decision-digests.txt");
    if std::env::var_os("UPDATE_FIXTURES").is_some() {
        std::fs::write(&path, &text).expect("the fixture can be written");
    }
    let recorded = std::fs::read_to_string(&path).expect("the fixture exists");
    assert_eq!(recorded, text, "the detector's decisions have changed");
}
