use super::*;
use hoptiller_http::Method;

#[test]
fn only_the_fleets_calls_and_the_answer_to_this_call_pass() {
    let (ours, theirs) = (Secret::new(b"one"), Secret::new(b"two"));
    let call = |body: &str| {
        let mut r = Request::new(Method::Post, "/x");
        r.body = body.as_bytes().to_vec();
        r
    };
    let signed = ours.sign(call("a"));
    assert_eq!(ours.check(&signed), Ok(()));
    assert_eq!(theirs.check(&signed), Err(Foreign));
    assert_eq!(
        ours.check(&Request {
            body: b"b".to_vec(),
            ..signed.clone()
        }),
        Err(Foreign)
    );
    assert_eq!(
        ours.check(&Request {
            target: "/y".into(),
            ..signed.clone()
        }),
        Err(Foreign)
    );
    assert_eq!(ours.check(&call("a")), Err(Foreign), "without a code");
    let answer = ours.sign_answer(&signed, Response::json(200, "{}"));
    assert_eq!(ours.check_answer(&signed, &answer), Ok(()));
    assert_eq!(
        ours.check_answer(&ours.sign(call("c")), &answer),
        Err(Foreign),
        "an answer to another call"
    );
    assert_eq!(
        ours.check_answer(
            &signed,
            &Response {
                body: b"[]".to_vec(),
                ..answer
            }
        ),
        Err(Foreign)
    );
}

#[test]
fn a_short_or_garbled_secret_is_an_error() {
    let path = std::env::temp_dir().join(format!("hoptiller-fleet-secret-{}", std::process::id()));
    for text in ["", "abcd", "zz".repeat(32).as_str()] {
        std::fs::write(&path, text).expect("written");
        assert!(Secret::load(&path).is_err(), "{text:?}");
    }
    std::fs::write(&path, "00ff".repeat(8)).expect("written");
    assert!(Secret::load(&path).is_ok());
    std::fs::remove_file(&path).expect("removed");
}
