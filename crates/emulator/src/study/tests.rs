use std::path::Path;
use std::sync::LazyLock;

use super::*;

/// A study that several tests look at.
static STUDY: LazyLock<Figures> = LazyLock::new(|| run(&settings(), Condition::ALL[0], 1, 8));

fn settings() -> Settings {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/runaways.jsonnet");
    Settings::load(&file).expect("the example is good")
}

#[test]
fn a_run_finds_what_is_planted_and_nothing_else() {
    let one = &*STUDY;
    assert_eq!(one.found.len(), 6, "{one:?}");
    assert!(
        one.found.iter().all(|f| f.1.is_some_and(|s| s < 30.0)),
        "{:?}",
        one.found
    );
    assert_eq!(
        (one.large, one.large_flagged, one.others_flagged),
        (4, 0, 0),
        "{one:?}"
    );
    assert!(one.others > 20_000 && one.worth > 0.8);
}

#[test]
fn the_same_seed_is_the_same_run() {
    let mut plan = draw(&settings(), Condition::ALL[0], 2, 8);
    plan.lasts = 20 * S;
    let one = format!("{:?}", play(&plan, 2).attempts);
    assert!(one.len() > 10_000 && one == format!("{:?}", play(&plan, 2).attempts));
    assert_ne!(
        one,
        format!("{:?}", play(&plan, 3).attempts),
        "the routers' draws follow the seed"
    );
}

/// FNV-1a, over the parts in their order.
fn digest(parts: impl IntoIterator<Item = String>) -> u64 {
    let bytes = parts.into_iter().flat_map(String::into_bytes);
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

#[test]
fn the_attempts_of_short_seeded_runs_are_pinned_under_all_conditions() {
    let digests = Condition::ALL.map(|condition| {
        let mut plan = draw(&settings(), condition, 7, 5);
        plan.lasts = 30 * S;
        let run = play(&plan, 7);
        digest(run.attempts.iter().map(|a| {
            let (over, stood) = (a.over, &a.stood);
            format!(
                "{} {} {} {over:?} {stood:?};",
                a.statement, a.engine, a.began
            )
        }))
    });
    let usual = 0x9d98_cbff_b984_84ed;
    let (no_progress, no_load) = (0x3c8e_a74b_ed92_bb92, 0x3ca0_87cd_417e_21ac);
    // Nothing is held or ended before the statistics are known.
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
fn the_figures_of_a_seeded_study_that_ends_runaways_are_pinned() {
    let condition = Condition::ALL[2];
    let mut plan = draw(&settings(), condition, 11, 8);
    plan.lasts = 330 * S;
    let figures = figures(&plan, &play(&plan, 11), condition, 11);
    let stored = serde_json::to_string(&figures).expect("figures are plain data");
    assert_eq!(
        stored,
        r#"{"seed":11,"condition":{"notes":true,"reports":true,"hold":true,"end":true},"found":[["heavy",9.653083],["heavy",6.557494],["heavy",2.092712]],"large":2,"large_flagged":0,"others":23925,"others_flagged":0,"notices":0,"limits":[[5,3,1,0],[15,0,0,0],[60,0,0,0]],"worth":0.9993141550771577,"behind":0,"behind_on_time":0,"fallen":0}"#
    );
}
