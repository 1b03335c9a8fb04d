//! Tests of valid, split and invalid response lines.

use super::*;
use proptest::prelude::*;

fn decode_all(decoder: &mut LineDecoder) -> Result<Vec<EngineResponse>, LineError> {
    std::iter::from_fn(|| decoder.next_response().transpose()).collect()
}

fn decode(line: &str) -> Result<EngineResponse, LineError> {
    let mut decoder = LineDecoder::default();
    decoder.feed(format!("{line}\n").as_bytes());
    decoder
        .next_response()
        .map(|response| response.expect("a complete line"))
}

const SERVED: &str =
    r#"{"t":"served","i":"9b1f","f":{"fetches":"3","effort":820.5,"high":"96"},"b":"YQkxCXgK"}"#;

#[test]
fn numeric_fields_may_be_text_or_numbers() {
    let ResponseBody::Served(result) = decode(SERVED).expect("valid").body else {
        panic!("expected a served response")
    };
    assert_eq!(
        (result.pages, result.first_page.as_slice(), result.work),
        (3, &b"a\t1\tx\n"[..], Some(820_500))
    );
    let Ok(EngineResponse {
        body: ResponseBody::Load(Some(report)),
        ..
    }) = decode(r#"{"t":"green","i":"p1","f":{"load":"inflight:7;util:0.61;svc:x"}}"#)
    else {
        panic!("expected a load report")
    };
    assert_eq!(
        (report.in_flight, report.cpu, report.memory),
        (Some(7.0), Some(0.61), None)
    );
}

#[test]
fn invalid_lines_are_errors() {
    for line in [
        "noise",
        r#"{"t":"great","i":"x"}"#,
        r#"{"t":"served"}"#,
        r#"{"t":"served","i":"x","f":{"fetches":0}}"#,
        r#"{"t":"served","i":"x","f":{"fetches":1e12}}"#,
        r#"{"t":"served","i":"x","f":{"effort":-1}}"#,
        r#"{"t":"served","i":"x","b":"YQ"}"#,
        r#"{"t":"rows","i":"x","f":{},"b":""}"#,
    ] {
        assert!(decode(line).is_err(), "{line}");
    }
    let mut decoder = LineDecoder::default();
    decoder.feed(&vec![b'x'; MAX_LINE_BYTES + 1]);
    assert_eq!(decoder.next_response().err(), Some(LineError::TooLong));
}

proptest! {
    #[test]
    fn arbitrary_bytes_do_not_panic_and_splits_do_not_matter(cut in 0usize..400, noise in proptest::collection::vec(any::<u8>(), 0..60)) {
        let mut stream = format!("{SERVED}\n{SERVED}\n").into_bytes();
        stream.extend(noise);
        let mut unsplit = LineDecoder::default();
        unsplit.feed(&stream);
        let text = |responses: Result<Vec<EngineResponse>, LineError>| format!("{responses:?}");
        let expected = text(decode_all(&mut unsplit));
        let (head, tail) = stream.split_at(cut.min(stream.len()));
        let mut split = LineDecoder::default();
        split.feed(head);
        let decoded = decode_all(&mut split).and_then(|mut first| {
            split.feed(tail);
            first.extend(decode_all(&mut split)?);
            Ok(first)
        });
        prop_assert_eq!(expected, text(decoded));
    }
}
