//! Lines of engines, whole, cut and odd.

use super::*;
use proptest::prelude::*;

fn all(lines: &mut Lines) -> Result<Vec<Answer>, LineError> {
    std::iter::from_fn(|| lines.next().transpose()).collect()
}

fn one(line: &str) -> Result<Answer, LineError> {
    let mut lines = Lines::default();
    lines.feed(format!("{line}\n").as_bytes());
    lines.next().map(|a| a.expect("whole"))
}

const GOOD: &str =
    r#"{"t":"served","i":"9b1f","f":{"fetches":"3","effort":820.5,"high":"96"},"b":"YQkxCXgK"}"#;

#[test]
fn fields_may_be_text_or_numbers() {
    let Said::Served(s) = one(GOOD).expect("good").said else {
        panic!("served")
    };
    assert_eq!(
        (s.pages, s.page.as_slice(), s.work),
        (3, &b"a\t1\tx\n"[..], Some(820_500))
    );
    let Ok(Answer {
        said: Said::Probed(Some(r)),
        ..
    }) = one(r#"{"t":"green","i":"p1","f":{"load":"inflight:7;util:0.61;svc:x"}}"#)
    else {
        panic!("a report")
    };
    assert_eq!(
        (r.in_flight, r.cpu, r.memory),
        (Some(7.0), Some(0.61), None)
    );
}

#[test]
fn what_can_not_be_used_is_an_error() {
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
        assert!(one(line).is_err(), "{line}");
    }
    let mut lines = Lines::default();
    lines.feed(&vec![b'x'; LINE + 1]);
    assert_eq!(lines.next().err(), Some(LineError::TooLong));
}

proptest! {
    #[test]
    fn splits_change_nothing_and_no_bytes_panic(cut in 0usize..400, noise in proptest::collection::vec(any::<u8>(), 0..60)) {
        let mut stream = format!("{GOOD}\n{GOOD}\n").into_bytes();
        stream.extend(noise);
        let mut whole = Lines::default();
        whole.feed(&stream);
        let text = |r: Result<Vec<Answer>, LineError>| format!("{r:?}");
        let expected = text(all(&mut whole));
        let (a, b) = stream.split_at(cut.min(stream.len()));
        let mut split = Lines::default();
        split.feed(a);
        let told = all(&mut split).and_then(|mut first| {
            split.feed(b);
            first.extend(all(&mut split)?);
            Ok(first)
        });
        prop_assert_eq!(expected, text(told));
    }
}

#[test]
fn a_request_holds_what_the_client_gave_and_its_key_where_there_is_one() {
    let send = Send {
        id: "9b1f",
        class: "post",
        replay_key: None,
        priority: Some(7),
        text: "a",
    };
    let read = |line: String| serde_json::from_str::<Value>(line.trim_end()).expect("JSON");
    let line = request(&send, 1500);
    assert!(line.ends_with('\n'));
    let without = serde_json::json!({"t": "REQ", "i": "9b1f", "f": {"c": "post", "w": 1500, "weight": 3}, "b": "YQ=="});
    assert_eq!(read(line), without);
    let with = read(request(
        &Send {
            replay_key: Some("k\"1"),
            priority: None,
            ..send
        },
        1,
    ));
    assert_eq!(
        with["f"],
        serde_json::json!({"c": "post", "w": 1, "i": "k\"1"})
    );
}
