use super::*;

#[test]
fn ids_round_trip_and_malformed_ids_are_rejected() {
    for (seconds, day) in [
        (0, "19700101"),
        (951_782_400, "20000229"),
        (1_796_083_200, "20261201"),
    ] {
        let id = QueryId::new(UNIX_EPOCH + Duration::from_secs(seconds + 3661), 42, "ab12");
        assert_eq!(id.to_string(), format!("{day}_010101_00042_ab12"));
        assert_eq!(QueryId::parse(&id.to_string()), Some(id));
    }
    let malformed = [
        "",
        "a_b_c_d",
        "20261201_000000_1_a",
        "20261201_000000_00001_",
        "20261201_000000_00001_a_b",
        "20261201_000000_00001_a-b",
        "2026120é_000000_00001_a",
        "20261201_000000_99999999999999999999_a",
    ];
    for text in malformed {
        assert_eq!(QueryId::parse(text), None, "{text}");
    }
}
