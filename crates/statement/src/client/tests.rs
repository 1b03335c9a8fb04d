use super::*;

fn read(fields: &[(&str, &str)]) -> Result<ClientHeaders, HeaderError> {
    ClientHeaders::read(fields.iter().copied())
}

#[test]
fn tags_and_properties_are_read() {
    let tags = (
        "x-trino-client-tags",
        "class=report, tenant=kestrel, x, key=k1, repeat",
    );
    let all = read(&[
        ("X-Trino-User", "ann"),
        tags,
        ("X-Trino-Session", "a=b,query_max_run_time=1.5s"),
    ]);
    let all = all.expect("readable");
    assert_eq!(
        (all.class.as_deref(), all.tenant.as_deref()),
        (Some("report"), Some("kestrel"))
    );
    assert_eq!((all.key.as_deref(), all.repeat), (Some("k1"), true));
    assert_eq!(all.patience, Some(Duration::from_millis(1500)));
}

#[test]
fn unreadable_headers_are_named() {
    assert_eq!(read(&[]), Err(HeaderError::NoUser));
    let tags = |value| read(&[("X-Trino-User", "a"), ("X-Trino-Client-Tags", value)]);
    assert_eq!(tags("class=a,class=b"), Err(HeaderError::Twice("class")));
    for tag in [
        "size=",
        "size=0",
        "size=-1",
        "size=1.5",
        "size=x",
        "size=9999999999999",
    ] {
        assert_eq!(tags(tag), Err(HeaderError::Number(tag[5..].into())));
    }
    assert_eq!(tags("estimate=0s"), Err(HeaderError::Estimate("0s".into())));
    let told = tags("size=12,estimate=40s").expect("readable");
    assert_eq!(
        (told.size, told.estimate),
        (Some(12), Some(Duration::from_secs(40)))
    );
    assert_eq!(tags("key="), Err(HeaderError::Size("key")));
    assert_eq!(
        tags(&format!("key={}", "x".repeat(129))),
        Err(HeaderError::Size("key"))
    );
    for text in ["", "5", "s", "-1s", "1..5s", "1x", "99999999d", "1e400s"] {
        let session = format!("query_max_run_time={text}");
        let got = read(&[("X-Trino-User", "a"), ("X-Trino-Session", &session)]);
        assert_eq!(got, Err(HeaderError::Duration(text.into())), "{text}");
    }
}
