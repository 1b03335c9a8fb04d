//! Invalid responses of engines, and what clients then receive.

mod common;

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use common::*;
use futures_lite::AsyncWriteExt;

/// Runs one request of a class through a router to a scripted engine: the status, the response and the number of attempts.
fn run_request(
    name: &'static str,
    class: &'static str,
    script: impl Fn(usize, &str) -> (Vec<u8>, bool) + 'static,
) -> (u16, String, usize) {
    let result = Rc::new(std::cell::RefCell::new(None));
    let out = result.clone();
    run_test(async move |ex| {
        let (addr, seen) = spawn_engine(&ex, Rc::new(script));
        let coordinator = spawn_idle_coordinator(&ex);
        let file = ConfigFile::new(name, &[(7, addr)], coordinator, 256);
        let (_router, listen) = start_router(&file, &ex);
        let (status, head, body) = send_request(listen, &statement_request(class, ID, 1500))
            .await
            .expect("an answer");
        let requests = seen
            .borrow()
            .iter()
            .filter(|l| l.contains("\"REQ\""))
            .count();
        *out.borrow_mut() = Some((status, head + &body, requests));
    });
    let result = result.borrow_mut().take();
    result.expect("played")
}

#[test]
fn statement_is_forwarded_unchanged_and_rows_are_returned() {
    let (status, text, requests) = run_request("rows", "lookup", |_, line| {
        assert!(
            line.contains("U0VMRUNUIGEgRlJPTSBzYWxlc18xNy5vcmRlcnM=")
                && line.contains("\"c\":\"lookup\"")
        );
        (served_line(&command_id(line)), false)
    });
    assert!(
        status == 200 && text.ends_with("{\"batch\":[[\"a\",\"1\",\"x\"]]}"),
        "{text}"
    );
    assert_eq!(requests, 1);
}

#[test]
fn pages_received_out_of_order_are_returned_in_order() {
    let (status, text, _) = run_request("pages", "lookup", |_, line| match line {
        l if l.contains("REQ") => {
            let id = command_id(l);
            (
                format!("{{\"t\":\"served\",\"i\":\"{id}\",\"f\":{{\"fetches\":\"3\"}},\"b\":\"{ENCODED_PAGE}\"}}\n")
                    .into_bytes(),
                false,
            )
        }
        l if l.contains("\"x\":1}") => (Vec::new(), false),
        l => {
            // Asked for the second one, it gives that, a second copy of it, and only then the first.
            let page = |n: u32, b: &str| {
                format!(
                    "{{\"t\":\"rows\",\"i\":\"{}\",\"f\":{{\"fetch_no\":{n}}},\"b\":\"{b}\"}}\n",
                    command_id(l)
                )
            };
            (
                (page(2, "YwkzCXoK") + &page(2, "YwkzCXoK") + &page(1, "YgkyCXkK")).into_bytes(),
                false,
            )
        }
    });
    assert!(
        status == 200 && text.ends_with(r#"[["a","1","x"],["b","2","y"],["c","3","z"]]}"#),
        "{text}"
    );
}

#[test]
fn responses_with_an_unknown_id_and_duplicates_are_ignored() {
    let (status, text, requests) = run_request("foreign", "lookup", |_, line| {
        let other = String::from_utf8(served_line("0000000000000000"))
            .expect("text")
            .replace(ENCODED_PAGE, "YgkyCXkK");
        (
            [
                other.into_bytes(),
                served_line(&command_id(line)),
                served_line(&command_id(line)),
            ]
            .concat(),
            false,
        )
    });
    assert_eq!((status, requests), (200, 1));
    assert!(
        text.ends_with("[[\"a\",\"1\",\"x\"]]}"),
        "its own rows: {text}"
    );
}

#[test]
fn idempotent_statement_is_retried_after_any_invalid_response() {
    let good = String::from_utf8(served_line(ID)).expect("text");
    let spoilt: Vec<(Vec<u8>, bool)> = vec![
        (b"noise\n".to_vec(), false),
        (vec![b'x'; 3 << 20], false),
        (good.replace("YQkx", "Y*kx").into_bytes(), false),
        (good.replace("CXgK", "CXg=").into_bytes(), false),
        (
            good.replace("\"fetches\":1", "\"fetches\":-1").into_bytes(),
            false,
        ),
        (good.as_bytes()[..good.len() / 2].to_vec(), true),
        (Vec::new(), true),
        (
            format!("{{\"t\":\"crashed\",\"i\":\"{ID}\"}}\n").into_bytes(),
            false,
        ),
        (
            format!("{{\"t\":\"overload\",\"i\":\"{ID}\"}}\n").into_bytes(),
            false,
        ),
        (
            format!("{{\"t\":\"nobody\",\"i\":\"{ID}\"}}\n").into_bytes(),
            false,
        ),
    ];
    for (at, bad) in spoilt.into_iter().enumerate() {
        let (status, text, requests) = run_request("spoilt", "lookup", move |n, line| match n {
            0 => bad.clone(),
            _ => (served_line(&command_id(line)), false),
        });
        assert_eq!((status, requests), (200, 2), "case {at}: {text}");
    }
}

#[test]
fn non_idempotent_statement_is_retried_only_if_it_was_not_executed() {
    for (answer, close, expected) in [
        ("crashed", false, (500, 1)),
        ("", true, (500, 1)),
        ("overload", false, (200, 2)),
    ] {
        let (status, text, requests) =
            run_request("unsafe", "load", move |n, line| match (n, answer) {
                (0, "") => (Vec::new(), close),
                (0, word) => (
                    format!("{{\"t\":\"{word}\",\"i\":\"{ID}\"}}\n").into_bytes(),
                    close,
                ),
                _ => (served_line(&command_id(line)), false),
            });
        assert_eq!((status, requests), expected, "{answer:?}: {text}");
    }
}

#[test]
fn request_without_a_response_is_rejected_with_a_retry_time() {
    let began = Instant::now();
    let (status, text, _) = run_request("silence", "lookup", |_, _| (Vec::new(), false));
    assert!(status == 429 && text.contains("Hold-Off-Ms: 900"), "{text}");
    assert!(
        began.elapsed() >= Duration::from_millis(1_300),
        "not before its time: {:?}",
        began.elapsed()
    );
}

#[test]
fn address_of_a_removed_engine_can_be_reused_by_another() {
    run_test(async |ex| {
        let (addr, seen) = spawn_engine(
            &ex,
            Rc::new(|_, line| (served_line(&command_id(line)), false)),
        );
        // Broken off within the second event; then the rest from there, a copy of the first ahead of it.
        let events = [
            frame(2, 2, &[endpoint_record(7, addr, 2)]),
            frame(3, 2, &[endpoint_record(8, addr, 0)]),
        ];
        let script = move |nth: usize, _| match nth {
            1 => ([&events[0][..], &events[1][..20]].concat(), true),
            _ => (events.concat(), false),
        };
        let (coordinator, asked) = spawn_coordinator(&ex, Rc::new(script));
        let file = ConfigFile::new("list", &[(7, addr)], coordinator, 256);
        let (router, listen) = start_router(&file, &ex);
        while router.last_event() < 3 {
            Timer::after(Duration::from_millis(10)).await;
        }
        assert_eq!(
            *asked.borrow(),
            [1, 2],
            "on from the last event that came whole"
        );
        assert_eq!(
            send_request(listen, &statement_request("lookup", ID, 1500))
                .await
                .expect("an answer")
                .0,
            200
        );
        assert_eq!((seen.borrow().len(), router.known_engines()), (1, 1));
    });
}

#[test]
fn removed_engines_leave_no_state() {
    run_test(async |ex| {
        let (addr, _) = spawn_engine(
            &ex,
            Rc::new(|_, line| (served_line(&command_id(line)), false)),
        );
        let gone = |n: u64| {
            frame(
                n,
                2,
                &[
                    endpoint_record(n as u32 + 5, addr, 2),
                    endpoint_record(n as u32 + 6, addr, 0),
                ],
            )
        };
        let events: Vec<u8> = (2..202).flat_map(gone).collect();
        let (coordinator, _) = spawn_coordinator(&ex, Rc::new(move |_, _| (events.clone(), false)));
        let file = ConfigFile::new("many", &[(7, addr)], coordinator, 256);
        let (router, listen) = start_router(&file, &ex);
        while router.last_event() < 201 {
            Timer::after(Duration::from_millis(10)).await;
        }
        assert_eq!(router.known_engines(), 1);
        for n in 0..300 {
            let mut s = connect(listen).await;
            s.write_all(statement_request("lookup", &format!("{n:016x}"), 1500).as_bytes())
                .await
                .expect("written");
            assert_eq!(read_response(&mut s).await.expect("an answer").0, 200);
        }
        Timer::after(Duration::from_millis(100)).await;
        assert_eq!(
            (router.known_requests(), router.requests_in_flight()),
            (0, 0),
            "neither requests nor ids are kept"
        );
    });
}

#[test]
fn retry_uses_another_connection_than_the_first_attempt() {
    run_test(async |ex| {
        let full = |line: &str| {
            format!("{{\"t\":\"overload\",\"i\":\"{}\"}}\n", command_id(line)).into_bytes()
        };
        let script = move |n, line: &str| {
            (
                if n == 0 {
                    full(line)
                } else {
                    served_line(&command_id(line))
                },
                false,
            )
        };
        let (addr, seen) = spawn_engine(&ex, Rc::new(script));
        let coordinator = spawn_idle_coordinator(&ex);
        let file = ConfigFile::new("carried", &[(7, addr)], coordinator, 256);
        // No probes, which would leave connections of their own to choose from.
        let text = ConfigFile::text(&[(7, addr)], coordinator, 256)
            .replace("\"mayProbe\":true", "\"mayProbe\":false");
        std::fs::write(&file.0, text).expect("written");
        let (_router, listen) = start_router(&file, &ex);
        assert_eq!(
            send_request(listen, &statement_request("lookup", ID, 1500))
                .await
                .expect("an answer")
                .0,
            200
        );
        let seen = seen.borrow();
        let over: Vec<&str> = seen.iter().filter_map(|l| l.split(' ').next()).collect();
        assert!(
            over.len() == 2 && over[0] != over[1],
            "a late answer to the first could be taken for it: {over:?}"
        );
    });
}
