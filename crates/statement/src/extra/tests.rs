use super::*;

#[test]
fn a_holder_is_read_as_far_as_it_can_be() {
    let whole = holder("r1/00017_ab; class=rent-load;age_ms=12000");
    assert_eq!(
        whole,
        Some(Holder {
            name: "r1/00017_ab",
            class: Some("rent-load"),
            age_ms: Some(12_000)
        })
    );
    let some = holder("x; class=; age_ms=-1; y; age_ms=99999999999999999");
    assert_eq!(
        some,
        Some(Holder {
            name: "x",
            class: None,
            age_ms: None
        })
    );
    assert_eq!(
        (holder(""), holder("; class=a"), holder(&"x".repeat(129))),
        (None, None, None)
    );
}

#[test]
fn versions_are_read_whole_or_not_at_all() {
    assert_eq!(versions("3..4"), Some((3, 4, false)));
    assert_eq!(versions("3..4 doubt"), Some((3, 4, true)));
    for bad in ["", "3", "3..", "..4", "3..x", "3..4 sure", "-1..4"] {
        assert_eq!(versions(bad), None, "{bad:?}");
    }
}

#[test]
fn what_is_no_number_is_passed_over() {
    let value = "in_flight=3; memory=0.5;cpu=x; =; a; nan=NaN; inf=inf; cpu=1e999";
    assert_eq!(
        numbers(value).collect::<Vec<_>>(),
        vec![("in_flight", 3.0), ("memory", 0.5)]
    );
    assert_eq!(text(&[("a", 1.0), ("b", 0.25)]), "a=1; b=0.25");
}
