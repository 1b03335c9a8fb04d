use super::*;
use hoptiller_http::Method;

#[test]
fn only_messages_signed_with_the_same_secret_are_verified() {
    let (ours, theirs) = (Secret::new(b"one"), Secret::new(b"two"));
    let call = |body: &str| {
        let mut r = Request::new(Method::Post, "/x");
        r.body = body.as_bytes().to_vec();
        r
    };
    let signed = ours.sign_request(call("a"));
    assert_eq!(ours.verify_request(&signed), Ok(()));
    assert_eq!(theirs.verify_request(&signed), Err(AuthenticationError));
    assert_eq!(
        ours.verify_request(&Request {
            body: b"b".to_vec(),
            ..signed.clone()
        }),
        Err(AuthenticationError)
    );
    assert_eq!(
        ours.verify_request(&Request {
            target: "/y".into(),
            ..signed.clone()
        }),
        Err(AuthenticationError)
    );
    assert_eq!(
        ours.verify_request(&call("a")),
        Err(AuthenticationError),
        "without a code"
    );
    let answer = ours.sign_response(&signed, Response::json(200, "{}"));
    assert_eq!(ours.verify_response(&signed, &answer), Ok(()));
    assert_eq!(
        ours.verify_response(&ours.sign_request(call("c")), &answer),
        Err(AuthenticationError),
        "an answer to another call"
    );
    assert_eq!(
        ours.verify_response(
            &signed,
            &Response {
                body: b"[]".to_vec(),
                ..answer
            }
        ),
        Err(AuthenticationError)
    );
}

#[test]
fn a_short_or_malformed_secret_file_is_rejected() {
    let path = std::env::temp_dir().join(format!("hoptiller-fleet-secret-{}", std::process::id()));
    for text in ["", "abcd", "zz".repeat(32).as_str()] {
        std::fs::write(&path, text).expect("the file can be written");
        assert!(Secret::load(&path).is_err(), "{text:?}");
    }
    std::fs::write(&path, "00ff".repeat(8)).expect("the file can be written");
    assert!(Secret::load(&path).is_ok());
    std::fs::remove_file(&path).expect("the file can be removed");
}
