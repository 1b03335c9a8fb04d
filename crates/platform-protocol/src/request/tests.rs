//! Valid and invalid requests of clients.

use super::*;
use hoptiller_http::Method;

fn catalog() -> Catalog {
    let class = |name: &str, timeout, requires_idempotency_key| ClassOptions {
        name: name.to_owned(),
        timeout,
        requires_idempotency_key,
    };
    let classes = vec![
        class("lookup", 1_000_000, false),
        class("report", 2_000_000, false),
        class("post", 2_000_000, true),
    ];
    Catalog {
        classes,
        tenants: vec!["acme".into()],
    }
}

fn valid_request() -> Request {
    let mut request = Request::new(Method::Post, "/call/report")
        .with_header("Trace-Id", "9b1f03aa5c7e2d41")
        .with_header("Max-Wait-Ms", "1500")
        .with_header("Project", "acme")
        .with_header("Expected-Ms", "820.5")
        .with_header("X-Heap-Mb", "96");
    request.body = b"SELECT a FROM sales_17.orders".to_vec();
    request
}

#[test]
fn valid_request_is_read() {
    let request =
        StatementRequest::from_http(valid_request().with_header("Is-Retry", "1"), &catalog())
            .expect("good");
    assert_eq!(
        (
            request.class,
            request.tenant,
            request.timeout,
            request.is_retry
        ),
        (1, Some(0), 1_500_000, true)
    );
    assert_eq!(
        (
            request.estimated_work,
            request.memory_mb,
            request.table_group
        ),
        (Some(820_500), 96.0, Some(17))
    );
}

#[test]
fn missing_repeated_and_invalid_headers_are_rejected() {
    let without = |name: &str| {
        let mut request = valid_request();
        let kept: Vec<(String, String)> = request
            .headers
            .iter()
            .filter(|(n, _)| *n != name)
            .map(|(n, v)| (n.to_owned(), v.to_owned()))
            .collect();
        request.headers = Default::default();
        kept.iter().for_each(|(n, v)| request.headers.push(n, v));
        request
    };
    for name in ["Trace-Id", "Max-Wait-Ms", "Project"] {
        assert_eq!(
            StatementRequest::from_http(without(name), &catalog()),
            Err(RequestError::Header(name))
        );
        let twice = valid_request().with_header(name, "1");
        assert_eq!(
            StatementRequest::from_http(twice, &catalog()),
            Err(RequestError::Header(name))
        );
    }
    for (name, value) in [
        ("Trace-Id", "9b1f03aa5c7e2d4"),
        ("Trace-Id", "9b1f03aa5c7e2d4g"),
        ("Max-Wait-Ms", "0"),
        ("Max-Wait-Ms", "-5"),
        ("Max-Wait-Ms", "NaN"),
        ("Max-Wait-Ms", "1e3"),
        ("Max-Wait-Ms", "999999999"),
        ("Project", "nobody"),
        ("Expected-Ms", "inf"),
        ("Expected-Ms", "-1"),
        ("X-Heap-Mb", "99999999999999999999"),
        ("Is-Retry", "yes"),
    ] {
        let r = without(name).with_header(name, value);
        assert_eq!(
            StatementRequest::from_http(r, &catalog()),
            Err(RequestError::Header(name)),
            "{name}: {value}"
        );
    }
}

#[test]
fn unknown_class_and_invalid_bodies_are_rejected() {
    let other = Request {
        target: "/call/other".into(),
        ..valid_request()
    };
    assert_eq!(
        StatementRequest::from_http(other, &catalog()),
        Err(RequestError::UnknownClass)
    );
    for body in [&b""[..], b"  ", b"\xff\xfe", b"a\0"] {
        assert_eq!(
            StatementRequest::from_http(
                Request {
                    body: body.to_vec(),
                    ..valid_request()
                },
                &catalog()
            ),
            Err(RequestError::Body)
        );
    }
}

#[test]
fn idempotency_key_is_required_in_some_classes_and_optional_in_others() {
    let key_of = |class: &str, key: &[&str]| {
        let r = Request {
            target: format!("/call/{class}"),
            ..valid_request()
        };
        let r = key.iter().fold(r, |r, k| r.with_header("Replay-Key", k));
        StatementRequest::from_http(r, &catalog()).map(|request| request.idempotency_key)
    };
    let long = "k".repeat(65);
    let rejected = Err(RequestError::Header("Replay-Key"));
    assert_eq!(key_of("post", &["9ad32c6f"]), Ok(Some("9ad32c6f".into())));
    assert_eq!(
        (key_of("report", &["9ad32c6f"]), key_of("report", &[])),
        (Ok(Some("9ad32c6f".into())), Ok(None))
    );
    for invalid in [&[][..], &[""], &["a b"], &["a", "a"], &[long.as_str()]] {
        assert_eq!(key_of("post", invalid), rejected, "{invalid:?}");
    }
}
