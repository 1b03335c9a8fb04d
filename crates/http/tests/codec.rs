//! The codec on generated and hostile bytes.

use hoptiller_http::{Decoder, Event, Limits, ParseError, Request, Response, Side};
use proptest::prelude::*;

/// All events of some bytes fed in the parts given, with the contents of a message joined; then the error.
fn events(side: Side, parts: &[&[u8]]) -> (Vec<Event>, Option<ParseError>) {
    let mut decoder = Decoder::new(
        side,
        Limits {
            body: 4096,
            ..Limits::default()
        },
    );
    let mut all: Vec<Event> = Vec::new();
    for part in parts {
        decoder.feed(part);
        loop {
            match decoder.next() {
                Ok(Some(Event::Body(more))) => match all.last_mut() {
                    Some(Event::Body(body)) => body.extend(more),
                    _ => all.push(Event::Body(more)),
                },
                Ok(Some(event)) => all.push(event),
                Ok(None) => break,
                Err(e) => return (all, Some(e)),
            }
        }
    }
    (all, None)
}

fn error_of(bytes: &[u8]) -> Option<ParseError> {
    events(Side::Requests, &[bytes]).1
}

#[test]
fn messages_come_back_as_written() {
    let mut request =
        Request::new(hoptiller_http::Method::Post, "/v1/statement?x=1").with("X-A", "b c");
    request.body = b"select 1".to_vec();
    let (got, error) = events(
        Side::Requests,
        &[&request.encode("h"), &request.encode("h")],
    );
    assert_eq!((got.len(), error), (6, None));
    assert_eq!(got[1], Event::Body(b"select 1".to_vec()));
    let response = Response::json(200, "{}").encode(false);
    let (got, _) = events(Side::Responses, &[&response]);
    assert_eq!((got.len(), &got[1]), (3, &Event::Body(b"{}".to_vec())));
}

#[test]
fn chunked_content_is_joined_and_its_trailer_passed_over() {
    let bytes = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4;q=1\r\nabcd\r\n2\r\nef\r\n0\r\nT: x\r\n\r\n";
    let (got, error) = events(Side::Requests, &[bytes]);
    assert_eq!(
        (&got[1], got.len(), error),
        (&Event::Body(b"abcdef".to_vec()), 3, None)
    );
}

#[test]
fn hostile_requests_are_errors_with_a_status() {
    let with =
        |fields: &str| error_of(format!("POST /a HTTP/1.1\r\n{fields}\r\n\r\nabc").as_bytes());
    let statuses: Vec<(Option<ParseError>, u16)> = vec![
        (
            with("Host: h\r\nContent-Length: 3\r\nContent-Length: 3"),
            400,
        ),
        (with("Host: h\r\nContent-Length: 3, 3"), 400),
        (with("Host: h\r\nContent-Length: -1"), 400),
        (
            with("Host: h\r\nContent-Length: 99999999999999999999999"),
            400,
        ),
        (
            with("Host: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked"),
            400,
        ),
        (with("Host: h\r\nTransfer-Encoding: gzip, chunked"), 501),
        (
            with("Host: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked"),
            501,
        ),
        (with("Host: h\r\nContent-Length: 5000"), 413),
        (with("Host: h\r\nHost: g"), 400),
        (with("X: y"), 400),
        (with("Host: h\r\n folded: x"), 400),
        (with("Host : h"), 400),
        (with("Host: h\r\nA: \x01"), 400),
        (with(&format!("Host: h\r\nA: {}", "x".repeat(20_000))), 431),
        (with(&format!("Host: h{}", "\r\nA: b".repeat(101))), 431),
        (error_of(b"GET / HTTP/1.1\nHost: h\n\n"), 400),
        (error_of(b"GET  / HTTP/1.1\r\nHost: h\r\n\r\n"), 400),
        (error_of(b"GET http://x/ HTTP/1.1\r\nHost: h\r\n\r\n"), 400),
        (error_of(b"GET /\xff HTTP/1.1\r\nHost: h\r\n\r\n"), 400),
        (error_of(b"GET / HTTP/2.0\r\nHost: h\r\n\r\n"), 505),
        (
            error_of(format!("GET /{} HTTP/1.1\r\nHost: h\r\n\r\n", "x".repeat(5000)).as_bytes()),
            414,
        ),
        (error_of(&[b'a'; 17 << 10]), 431),
    ];
    for (at, (error, status)) in statuses.into_iter().enumerate() {
        assert_eq!(
            error.as_ref().map(ParseError::status),
            Some(status),
            "case {at}: {error:?}"
        );
    }
    let chunked = |body: &str| {
        let head = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
        error_of(format!("{head}{body}").as_bytes())
    };
    for body in [
        "x\r\n",
        "\r\n",
        "fffffffffffffffff\r\n",
        "1\nab",
        "2\r\nabc\r\n",
        "1 z\r\na\r\n",
        "ffff\r\n",
    ] {
        assert!(chunked(body).is_some(), "{body:?}");
    }
    assert!(chunked(&format!("1;{}", "e".repeat(500))).is_some());
}

#[test]
fn a_cut_message_is_told_from_a_closed_connection() {
    let mut decoder = Decoder::new(Side::Requests, Limits::default());
    assert_eq!(decoder.finish(), Ok(None));
    decoder.feed(b"GET / HT");
    assert_eq!(decoder.next(), Ok(None));
    assert_eq!(decoder.finish(), Err(ParseError::Cut));
}

#[test]
fn what_is_held_is_bounded_whatever_comes() {
    let mut decoder = Decoder::new(Side::Requests, Limits::default());
    decoder.feed(b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    let mut taken = 0;
    let failed = (0..300_000).any(|_| {
        decoder.feed(b"5\r\nabcde\r\n");
        loop {
            match decoder.next() {
                Ok(Some(Event::Body(b))) => taken += b.len(),
                Ok(Some(_)) => {}
                Ok(None) => return false,
                Err(e) => return e == ParseError::BodyTooLarge,
            }
        }
    });
    assert!(failed && taken <= 1 << 20, "{taken}");
}

/// Pieces that requests are made of, whole and broken.
fn bytes() -> impl Strategy<Value = Vec<u8>> {
    let piece = prop_oneof![
        Just(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n".to_vec()),
        Just(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello".to_vec()),
        Just(
            b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
                .to_vec()
        ),
        Just(b"\r\n".to_vec()),
        Just(b"\n".to_vec()),
        Just(b"Host: h\r\n".to_vec()),
        Just(b"Content-Length: 5\r\n".to_vec()),
        proptest::collection::vec(any::<u8>(), 0..8),
    ];
    proptest::collection::vec(piece, 0..8).prop_map(|p| p.concat())
}

/// The same cases at every run.
fn fixed() -> ProptestConfig {
    ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn any_split_of_the_same_bytes_gives_the_same_events(all in bytes(), cuts in proptest::collection::vec(any::<u16>(), 0..6)) {
        let whole = events(Side::Requests, &[&all]);
        let mut at: Vec<usize> = cuts.iter().map(|c| usize::from(*c) % (all.len() + 1)).collect();
        at.push(0);
        at.push(all.len());
        at.sort_unstable();
        let parts: Vec<&[u8]> = at.windows(2).map(|w| &all[w[0]..w[1]]).collect();
        prop_assert_eq!(&whole, &events(Side::Requests, &parts));
        let single: Vec<&[u8]> = all.chunks(1).collect();
        prop_assert_eq!(&whole, &events(Side::Requests, &single));
    }

    #[test]
    fn responses_of_any_bytes_never_panic(all in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut framed = b"HTTP/1.1 200 OK\r\n".to_vec();
        framed.extend(&all);
        let single: Vec<&[u8]> = framed.chunks(1).collect();
        prop_assert_eq!(events(Side::Responses, &[&framed]), events(Side::Responses, &single));
    }
}
