use super::*;

fn waits(pairs: &[(&str, &str)]) -> WaitGraph {
    let mut w = WaitGraph::default();
    pairs
        .iter()
        .for_each(|(who, behind)| w.add_wait(who, behind));
    w
}

#[test]
fn indirect_waiters_are_included() {
    let w = waits(&[("b", "a"), ("c", "b"), ("d", "b"), ("x", "y")]);
    assert_eq!(w.waiters_of("a").len(), 3);
    assert_eq!(w.waiters_of("c"), Vec::<&str>::new());
    assert!(w.is_waiting("b") && !w.is_waiting("a") && w.cycle("b").is_none());
}

#[test]
fn cycles_are_found_from_their_members_only() {
    let w = waits(&[("a", "b"), ("b", "c"), ("c", "a"), ("d", "a"), ("e", "e")]);
    assert_eq!(w.cycle("a"), Some(vec!["a", "b", "c"]));
    assert_eq!(w.cycle("d"), None, "it only stands behind the circle");
    assert_eq!(w.cycle("e"), None);
    let mut behind = w.waiters_of("a");
    behind.sort_unstable();
    assert_eq!(behind, ["b", "c", "d"]);
}
