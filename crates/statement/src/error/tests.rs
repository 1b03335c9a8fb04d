use super::*;
use std::collections::BTreeSet;

#[test]
fn error_names_and_codes_are_unique_and_names_are_documented() {
    let page = include_str!("../../../../docs/operating.md");
    let names: BTreeSet<&str> = ErrorName::ALL.iter().map(|error| error.name()).collect();
    let codes: BTreeSet<u32> = ErrorName::ALL.iter().map(|error| error.code()).collect();
    assert_eq!(
        (names.len(), codes.len()),
        (ErrorName::ALL.len(), ErrorName::ALL.len())
    );
    assert!(
        names.iter().all(|name| page.contains(&format!("`{name}`"))),
        "{names:?}"
    );
}
