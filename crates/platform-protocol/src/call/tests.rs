//! Requests of clients, usual and not.

use super::*;
use hoptiller_http::Method;

fn names() -> Names {
    let class = |name: &str, patience, keyed| ClassTerms {
        name: name.to_owned(),
        patience,
        keyed,
    };
    let classes = vec![
        class("lookup", 1_000_000, false),
        class("report", 2_000_000, false),
        class("post", 2_000_000, true),
    ];
    Names {
        classes,
        tenants: vec!["acme".into()],
    }
}

fn usual() -> Request {
    let mut r = Request::new(Method::Post, "/call/report")
        .with("Trace-Id", "9b1f03aa5c7e2d41")
        .with("Max-Wait-Ms", "1500")
        .with("Project", "acme")
        .with("Expected-Ms", "820.5")
        .with("X-Heap-Mb", "96");
    r.body = b"SELECT a FROM sales_17.orders".to_vec();
    r
}

#[test]
fn a_usual_request_is_read() {
    let call = Call::read(usual().with("Is-Retry", "1"), &names()).expect("good");
    assert_eq!(
        (call.class, call.tenant, call.patience, call.repeat),
        (1, Some(0), 1_500_000, true)
    );
    assert_eq!(
        (call.guess, call.want_mb, call.group),
        (Some(820_500), 96.0, Some(17))
    );
}

#[test]
fn what_is_no_request_is_told_apart() {
    let without = |name: &str| {
        let mut r = usual();
        let kept: Vec<(String, String)> = r
            .headers
            .iter()
            .filter(|(n, _)| *n != name)
            .map(|(n, v)| (n.to_owned(), v.to_owned()))
            .collect();
        r.headers = Default::default();
        kept.iter().for_each(|(n, v)| r.headers.push(n, v));
        r
    };
    for name in ["Trace-Id", "Max-Wait-Ms", "Project"] {
        assert_eq!(
            Call::read(without(name), &names()),
            Err(CallError::Field(name))
        );
        let twice = usual().with(name, "1");
        assert_eq!(Call::read(twice, &names()), Err(CallError::Field(name)));
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
        let r = without(name).with(name, value);
        assert_eq!(
            Call::read(r, &names()),
            Err(CallError::Field(name)),
            "{name}: {value}"
        );
    }
    let other = Request {
        target: "/call/other".into(),
        ..usual()
    };
    assert_eq!(Call::read(other, &names()), Err(CallError::Class));
    for body in [&b""[..], b"  ", b"\xff\xfe", b"a\0"] {
        assert_eq!(
            Call::read(
                Request {
                    body: body.to_vec(),
                    ..usual()
                },
                &names()
            ),
            Err(CallError::Body)
        );
    }
}

#[test]
fn a_request_of_a_keyed_class_brings_one_key_and_others_may() {
    let of = |class: &str, key: &[&str]| {
        let r = Request {
            target: format!("/call/{class}"),
            ..usual()
        };
        let r = key.iter().fold(r, |r, k| r.with("Replay-Key", k));
        Call::read(r, &names()).map(|call| call.replay_key)
    };
    let long = "k".repeat(65);
    let bad = Err(CallError::Field("Replay-Key"));
    assert_eq!(of("post", &["9ad32c6f"]), Ok(Some("9ad32c6f".into())));
    assert_eq!(
        (of("report", &["9ad32c6f"]), of("report", &[])),
        (Ok(Some("9ad32c6f".into())), Ok(None))
    );
    for wrong in [&[][..], &[""], &["a b"], &["a", "a"], &[long.as_str()]] {
        assert_eq!(of("post", wrong), bad, "{wrong:?}");
    }
}
