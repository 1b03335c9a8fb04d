use super::*;
use hoptiller_http::Method;

#[test]
fn only_messages_signed_with_the_same_secret_are_verified() {
    let (secret, other_secret) = (Secret::new(b"one"), Secret::new(b"two"));
    let request = |body: &str| {
        let mut request = Request::new(Method::Post, "/x");
        request.body = body.as_bytes().to_vec();
        request
    };
    let signed = secret.sign_request(request("a"));
    assert_eq!(secret.verify_request(&signed), Ok(()));
    assert_eq!(
        other_secret.verify_request(&signed),
        Err(AuthenticationError)
    );
    assert_eq!(
        secret.verify_request(&Request {
            body: b"b".to_vec(),
            ..signed.clone()
        }),
        Err(AuthenticationError)
    );
    assert_eq!(
        secret.verify_request(&Request {
            target: "/y".into(),
            ..signed.clone()
        }),
        Err(AuthenticationError)
    );
    assert_eq!(
        secret.verify_request(&request("a")),
        Err(AuthenticationError),
        "a request without a code"
    );
    let response = secret.sign_response(&signed, Response::json(200, "{}"));
    assert_eq!(secret.verify_response(&signed, &response), Ok(()));
    assert_eq!(
        secret.verify_response(&secret.sign_request(request("c")), &response),
        Err(AuthenticationError),
        "the response to another request"
    );
    assert_eq!(
        secret.verify_response(
            &signed,
            &Response {
                body: b"[]".to_vec(),
                ..response
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
