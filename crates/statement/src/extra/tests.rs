use super::*;

#[test]
fn invalid_fields_of_a_blocking_statement_are_ignored() {
    let complete = BlockingStatement::parse("r1/00017_ab; class=rent-load;age_ms=12000");
    assert_eq!(
        complete,
        Some(BlockingStatement {
            name: "r1/00017_ab",
            class: Some("rent-load"),
            age_ms: Some(12_000)
        })
    );
    let partly_invalid =
        BlockingStatement::parse("x; class=; age_ms=-1; y; age_ms=99999999999999999");
    assert_eq!(
        partly_invalid,
        Some(BlockingStatement {
            name: "x",
            class: None,
            age_ms: None
        })
    );
    assert_eq!(
        (
            BlockingStatement::parse(""),
            BlockingStatement::parse("; class=a"),
            BlockingStatement::parse(&"x".repeat(129))
        ),
        (None, None, None)
    );
}

#[test]
fn malformed_configuration_versions_are_rejected() {
    assert_eq!(
        ConfigVersions::parse("3..4"),
        Some(ConfigVersions {
            in_force: 3,
            enforced: 4,
            in_doubt: false
        })
    );
    assert_eq!(
        ConfigVersions::parse("3..4 doubt"),
        Some(ConfigVersions {
            in_force: 3,
            enforced: 4,
            in_doubt: true
        })
    );
    for malformed in ["", "3", "3..", "..4", "3..x", "3..4 sure", "-1..4"] {
        assert_eq!(ConfigVersions::parse(malformed), None, "{malformed:?}");
    }
}

#[test]
fn pairs_without_a_finite_number_are_ignored() {
    let value = "in_flight=3; memory=0.5;cpu=x; =; a; nan=NaN; inf=inf; cpu=1e999";
    assert_eq!(
        parse_numbers(value).collect::<Vec<_>>(),
        vec![("in_flight", 3.0), ("memory", 0.5)]
    );
    assert_eq!(format_numbers(&[("a", 1.0), ("b", 0.25)]), "a=1; b=0.25");
}
