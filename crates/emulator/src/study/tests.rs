use super::*;
use std::path::Path;

fn settings() -> Settings {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/runaways.jsonnet");
    Settings::load(&file).expect("the example is good")
}

#[test]
fn a_run_finds_what_is_planted_and_nothing_else() {
    let one = run(&settings(), Condition::ALL[0], 1, 8);
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
