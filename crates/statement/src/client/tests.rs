use super::*;

fn parse(fields: &[(&str, &str)]) -> Result<ClientHeaders, HeaderError> {
    ClientHeaders::parse(fields.iter().copied())
}

#[test]
fn tags_and_session_properties_are_parsed() {
    let tags = (
        "x-trino-client-tags",
        "class=report, tenant=kestrel, x, key=k1, repeat",
    );
    let headers = parse(&[
        ("X-Trino-User", "ann"),
        tags,
        ("X-Trino-Session", "a=b,query_max_run_time=1.5s"),
    ]);
    let headers = headers.expect("valid");
    assert_eq!(
        (headers.class.as_deref(), headers.tenant.as_deref()),
        (Some("report"), Some("kestrel"))
    );
    assert_eq!(
        (headers.ordering_key.as_deref(), headers.is_retry),
        (Some("k1"), true)
    );
    assert_eq!(headers.timeout, Some(Duration::from_millis(1500)));
}

#[test]
fn errors_name_the_invalid_header_or_tag() {
    assert_eq!(parse(&[]), Err(HeaderError::MissingUser));
    let tags = |value| parse(&[("X-Trino-User", "a"), ("X-Trino-Client-Tags", value)]);
    assert_eq!(
        tags("class=a,class=b"),
        Err(HeaderError::ConflictingTag("class"))
    );
    for tag in [
        "size=",
        "size=0",
        "size=-1",
        "size=1.5",
        "size=x",
        "size=9999999999999",
    ] {
        assert_eq!(tags(tag), Err(HeaderError::InvalidSize(tag[5..].into())));
    }
    assert_eq!(
        tags("estimate=0s"),
        Err(HeaderError::InvalidEstimate("0s".into()))
    );
    let headers = tags("size=12,estimate=40s").expect("valid");
    assert_eq!(
        (headers.size, headers.estimated_work),
        (Some(12), Some(Duration::from_secs(40)))
    );
    assert_eq!(tags("key="), Err(HeaderError::TagLength("key")));
    assert_eq!(
        tags(&format!("key={}", "x".repeat(129))),
        Err(HeaderError::TagLength("key"))
    );
    for text in ["", "5", "s", "-1s", "1..5s", "1x", "99999999d", "1e400s"] {
        let session = format!("query_max_run_time={text}");
        let parsed = parse(&[("X-Trino-User", "a"), ("X-Trino-Session", &session)]);
        assert_eq!(
            parsed,
            Err(HeaderError::InvalidTimeout(text.into())),
            "{text}"
        );
    }
}
