use super::*;

fn waits(pairs: &[(&str, &str)]) -> Waits {
    let mut w = Waits::default();
    pairs.iter().for_each(|(who, behind)| w.add(who, behind));
    w
}

#[test]
fn those_further_back_wait_for_the_first_too() {
    let w = waits(&[("b", "a"), ("c", "b"), ("d", "b"), ("x", "y")]);
    assert_eq!(w.behind("a").len(), 3);
    assert_eq!(w.behind("c"), Vec::<&str>::new());
    assert!(w.stands("b") && !w.stands("a") && w.circle("b").is_none());
}

#[test]
fn circles_are_found_by_their_members_only() {
    let w = waits(&[("a", "b"), ("b", "c"), ("c", "a"), ("d", "a"), ("e", "e")]);
    assert_eq!(w.circle("a"), Some(vec!["a", "b", "c"]));
    assert_eq!(w.circle("d"), None, "it only stands behind the circle");
    assert_eq!(w.circle("e"), None);
    let mut behind = w.behind("a");
    behind.sort_unstable();
    assert_eq!(behind, ["b", "c", "d"]);
}
