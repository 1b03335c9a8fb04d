use super::*;
use std::collections::BTreeSet;

#[test]
fn names_and_codes_are_unique_and_documented_in_the_operating_page() {
    let page = include_str!("../../../../docs/operating.md");
    let names: BTreeSet<&str> = ErrorName::ALL.iter().map(|n| n.name()).collect();
    let codes: BTreeSet<u32> = ErrorName::ALL.iter().map(|n| n.code()).collect();
    assert_eq!(
        (names.len(), codes.len()),
        (ErrorName::ALL.len(), ErrorName::ALL.len())
    );
    assert!(
        names.iter().all(|n| page.contains(&format!("`{n}`"))),
        "{names:?}"
    );
}
