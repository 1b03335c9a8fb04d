use super::*;

#[test]
fn unknown_fingerprints_are_held_together_after_several_runaways_within_the_window() {
    let mut runaways = UnknownRunaways::new(2);
    assert!(!runaways.record(0, 0) && !runaways.record(1, 0));
    assert!(!runaways.record(2, 1), "classes are counted apart");
    assert!(runaways.record(WINDOW, 0));
    assert!(
        !runaways.record(2 * WINDOW + 1, 0),
        "earlier ones have left the window"
    );
}
