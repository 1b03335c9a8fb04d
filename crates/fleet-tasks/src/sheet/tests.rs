use super::*;

#[test]
fn only_what_is_new_is_noted() {
    let mut sheet = Sheet::default();
    let seen = |started, draining| Seen { started, draining };
    assert!(sheet.tell("a", seen(10_000, false)));
    assert!(!sheet.tell("a", seen(11_400, false)), "the same process");
    assert!(sheet.tell("a", seen(10_000, true)), "it drains");
    assert!(sheet.tell("a", seen(20_000, false)), "another process");
    assert!(sheet.tell("b", seen(5, false)));
    assert_eq!(Sheet::read(&sheet.text()), sheet);
    assert_eq!(Sheet::read("{"), Sheet::default());
    assert!(sheet.keep(&["b".to_owned()].into()) && !sheet.keep(&["b".to_owned()].into()));
    assert_eq!(sheet.0.keys().collect::<Vec<_>>(), ["b"]);
}
