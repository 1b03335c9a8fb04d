use std::path::Path;
use std::sync::LazyLock;

use super::workload::SECOND;
use super::*;

/// The figures of one run, shared by several tests.
static STUDY: LazyLock<Figures> = LazyLock::new(|| run(&settings(), Condition::ALL[0], 1, 8));

fn settings() -> Settings {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/runaways.jsonnet");
    Settings::load(&file).expect("the example is good")
}

#[test]
fn every_planted_runaway_is_found_and_nothing_else_is_flagged() {
    let figures = &*STUDY;
    assert_eq!(figures.detections.len(), 6, "{figures:?}");
    assert!(
        figures
            .detections
            .iter()
            .all(|detection| detection.found_after.is_some_and(|seconds| seconds < 30.0)),
        "{:?}",
        figures.detections
    );
    assert_eq!(
        (figures.large, figures.large_flagged, figures.others_flagged),
        (4, 0, 0),
        "{figures:?}"
    );
    assert!(figures.others > 20_000 && figures.served_value > 0.8);
}

#[test]
fn the_same_seed_gives_the_same_attempts_and_another_seed_gives_others() {
    let mut plan = draw_plan(&settings(), Condition::ALL[0], 2, 8);
    plan.duration = 20 * SECOND;
    let first = format!("{:?}", simulate(&plan, 2).attempts);
    assert!(first.len() > 10_000 && first == format!("{:?}", simulate(&plan, 2).attempts));
    assert_ne!(
        first,
        format!("{:?}", simulate(&plan, 3).attempts),
        "the routers' random choices depend on the seed"
    );
}

/// Returns the FNV-1a digest of the concatenated parts.
fn digest(parts: impl IntoIterator<Item = String>) -> u64 {
    let bytes = parts.into_iter().flat_map(String::into_bytes);
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

#[test]
fn the_attempts_of_short_seeded_runs_are_pinned_under_all_conditions() {
    let digests = Condition::ALL.map(|condition| {
        let mut plan = draw_plan(&settings(), condition, 7, 5);
        plan.duration = 30 * SECOND;
        let run = simulate(&plan, 7);
        digest(run.attempts.iter().map(|attempt| {
            let (ended, stalls) = (attempt.ended_at, &attempt.observed_stalls);
            format!(
                "{} {} {} {ended:?} {stalls:?};",
                attempt.statement, attempt.engine, attempt.started_at
            )
        }))
    });
    let usual = 0x9d98_cbff_b984_84ed;
    let (no_progress, no_load) = (0x3c8e_a74b_ed92_bb92, 0x3ca0_87cd_417e_21ac);
    // In the first 30 s the detector has no statistics and no runaway is planted, so nothing is held or killed, and the
    // conditions that only hold or kill runaways don't differ.
    assert_eq!(
        digests,
        [usual, usual, usual, no_progress, no_load],
        "{digests:#x?}"
    );
}

#[test]
fn the_figures_of_a_seeded_study_are_pinned() {
    let stored = serde_json::to_string(&*STUDY).expect("figures are plain data");
    assert_eq!(
        stored,
        r#"{"seed":1,"condition":{"notes":true,"reports":true,"hold":true,"end":false},"found":[["bad plan",7.980822],["heavy",2.276663],["heavy",6.425926],["blocking load",7.397898],["heavy",6.091428],["blocking load",7.465186]],"large":4,"large_flagged":0,"others":43603,"others_flagged":0,"notices":0,"limits":[[5,6,4,11],[15,6,4,7],[60,6,0,5]],"worth":0.9989479112944813,"behind":587,"behind_on_time":580,"fallen":0}"#
    );
}

#[test]
fn the_figures_of_a_seeded_study_that_kills_runaways_are_pinned() {
    let condition = Condition::ALL[2];
    let mut plan = draw_plan(&settings(), condition, 11, 8);
    plan.duration = 330 * SECOND;
    let figures = Figures::new(&plan, &simulate(&plan, 11), condition, 11);
    let stored = serde_json::to_string(&figures).expect("figures are plain data");
    assert_eq!(
        stored,
        r#"{"seed":11,"condition":{"notes":true,"reports":true,"hold":true,"end":true},"found":[["heavy",9.653083],["heavy",6.557494],["heavy",2.092712]],"large":2,"large_flagged":0,"others":23925,"others_flagged":0,"notices":0,"limits":[[5,3,1,0],[15,0,0,0],[60,0,0,0]],"worth":0.9993141550771577,"behind":0,"behind_on_time":0,"fallen":0}"#
    );
}
