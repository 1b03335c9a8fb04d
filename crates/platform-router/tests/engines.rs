//! Tests of invalid engine responses and of what clients receive then.

mod common;

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use common::*;
use futures_lite::AsyncWriteExt;

/// Runs one request of a class through a router to a scripted engine. Returns the status, the response and the number
/// of attempts.
fn run_request(
    name: &'static str,
    class: &'static str,
    script: impl Fn(usize, &str) -> (Vec<u8>, bool) + 'static,
) -> (u16, String, usize) {
    let result = Rc::new(std::cell::RefCell::new(None));
    let result_of_test = result.clone();
    run_test(async move |spawner| {
        let (addr, received) = spawn_engine(&spawner, Rc::new(script));
        let coordinator = spawn_idle_coordinator(&spawner);
        let file = ConfigFile::new(name, &[(7, addr)], coordinator, 256);
        let (_router, listen) = start_router(&file, &spawner);
        let (status, head, body) = send_request(listen, &statement_request(class, ID, 1500))
            .await
            .expect("a response");
        let attempts = received
            .borrow()
            .iter()
            .filter(|line| line.contains("\"REQ\""))
            .count();
        *result_of_test.borrow_mut() = Some((status, head + &body, attempts));
    });
    let result = result.borrow_mut().take();
    result.expect("the test has completed")
}

#[test]
fn statement_is_forwarded_unchanged_and_rows_are_returned() {
    let (status, text, attempts) = run_request("rows", "lookup", |_, line| {
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
    assert_eq!(attempts, 1);
}

#[test]
fn pages_received_out_of_order_are_returned_in_order() {
    let (status, text, _) = run_request("pages", "lookup", |_, line| match line {
        line if line.contains("REQ") => {
            let id = command_id(line);
            (
                format!("{{\"t\":\"served\",\"i\":\"{id}\",\"f\":{{\"fetches\":\"3\"}},\"b\":\"{ENCODED_PAGE}\"}}\n")
                    .into_bytes(),
                false,
            )
        }
        line if line.contains("\"x\":1}") => (Vec::new(), false),
        line => {
            // The response to the fetch of page 2 has that page, a duplicate of it, and then page 1.
            let page = |number: u32, rows: &str| {
                format!(
                    "{{\"t\":\"rows\",\"i\":\"{}\",\"f\":{{\"fetch_no\":{number}}},\"b\":\"{rows}\"}}\n",
                    command_id(line)
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
    let (status, text, attempts) = run_request("foreign", "lookup", |_, line| {
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
    assert_eq!((status, attempts), (200, 1));
    assert!(
        text.ends_with("[[\"a\",\"1\",\"x\"]]}"),
        "the client must receive the rows of its own request: {text}"
    );
}

#[test]
fn idempotent_statement_is_retried_after_any_failure() {
    let valid = String::from_utf8(served_line(ID)).expect("text");
    let failures: Vec<(Vec<u8>, bool)> = vec![
        (b"noise\n".to_vec(), false),
        (vec![b'x'; 3 << 20], false),
        (valid.replace("YQkx", "Y*kx").into_bytes(), false),
        (valid.replace("CXgK", "CXg=").into_bytes(), false),
        (
            valid
                .replace("\"fetches\":1", "\"fetches\":-1")
                .into_bytes(),
            false,
        ),
        (valid.as_bytes()[..valid.len() / 2].to_vec(), true),
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
    for (case, failure) in failures.into_iter().enumerate() {
        let (status, text, attempts) =
            run_request("failures", "lookup", move |index, line| match index {
                0 => failure.clone(),
                _ => (served_line(&command_id(line)), false),
            });
        assert_eq!((status, attempts), (200, 2), "case {case}: {text}");
    }
}

#[test]
fn non_idempotent_statement_is_retried_only_if_it_was_not_executed() {
    for (kind, close, expected) in [
        ("crashed", false, (500, 1)),
        ("", true, (500, 1)),
        ("overload", false, (200, 2)),
    ] {
        let (status, text, attempts) =
            run_request("unsafe", "load", move |index, line| match (index, kind) {
                (0, "") => (Vec::new(), close),
                (0, kind) => (
                    format!("{{\"t\":\"{kind}\",\"i\":\"{ID}\"}}\n").into_bytes(),
                    close,
                ),
                _ => (served_line(&command_id(line)), false),
            });
        assert_eq!((status, attempts), expected, "{kind:?}: {text}");
    }
}

#[test]
fn request_without_a_response_is_rejected_with_a_retry_time() {
    let started = Instant::now();
    let (status, text, _) = run_request("silence", "lookup", |_, _| (Vec::new(), false));
    assert!(status == 429 && text.contains("Hold-Off-Ms: 900"), "{text}");
    assert!(
        started.elapsed() >= Duration::from_millis(1_300),
        "rejected more than 200 ms before its timeout of 1500 ms: {:?}",
        started.elapsed()
    );
}

#[test]
fn address_of_a_removed_engine_can_be_reused_by_another() {
    run_test(async |spawner| {
        let (addr, received) = spawn_engine(
            &spawner,
            Rc::new(|_, line| (served_line(&command_id(line)), false)),
        );
        // The first connection ends within the second event. The second connection repeats both events.
        let events = [
            frame(2, 2, &[endpoint_record(7, addr, 2)]),
            frame(3, 2, &[endpoint_record(8, addr, 0)]),
        ];
        let script = move |connection: usize, _| match connection {
            1 => ([&events[0][..], &events[1][..20]].concat(), true),
            _ => (events.concat(), false),
        };
        let (coordinator, last_events) = spawn_coordinator(&spawner, Rc::new(script));
        let file = ConfigFile::new("list", &[(7, addr)], coordinator, 256);
        let (router, listen) = start_router(&file, &spawner);
        while router.last_event() < 3 {
            Timer::after(Duration::from_millis(10)).await;
        }
        assert_eq!(
            *last_events.borrow(),
            [1, 2],
            "the router resumes after the last complete event"
        );
        assert_eq!(
            send_request(listen, &statement_request("lookup", ID, 1500))
                .await
                .expect("a response")
                .0,
            200
        );
        assert_eq!((received.borrow().len(), router.known_engines()), (1, 1));
    });
}

#[test]
fn removed_engines_leave_no_state() {
    run_test(async |spawner| {
        let (addr, _) = spawn_engine(
            &spawner,
            Rc::new(|_, line| (served_line(&command_id(line)), false)),
        );
        let replace_engine = |number: u64| {
            frame(
                number,
                2,
                &[
                    endpoint_record(number as u32 + 5, addr, 2),
                    endpoint_record(number as u32 + 6, addr, 0),
                ],
            )
        };
        let events: Vec<u8> = (2..202).flat_map(replace_engine).collect();
        let (coordinator, _) =
            spawn_coordinator(&spawner, Rc::new(move |_, _| (events.clone(), false)));
        let file = ConfigFile::new("many", &[(7, addr)], coordinator, 256);
        let (router, listen) = start_router(&file, &spawner);
        while router.last_event() < 201 {
            Timer::after(Duration::from_millis(10)).await;
        }
        assert_eq!(router.known_engines(), 1);
        for n in 0..300 {
            let mut client = connect(listen).await;
            client
                .write_all(statement_request("lookup", &format!("{n:016x}"), 1500).as_bytes())
                .await
                .expect("written");
            assert_eq!(read_response(&mut client).await.expect("a response").0, 200);
        }
        Timer::after(Duration::from_millis(100)).await;
        assert_eq!(
            (router.known_requests(), router.requests_in_flight()),
            (0, 0),
            "no request and no id remains"
        );
    });
}

#[test]
fn retry_uses_another_connection_than_the_first_attempt() {
    run_test(async |spawner| {
        let overloaded = |line: &str| {
            format!("{{\"t\":\"overload\",\"i\":\"{}\"}}\n", command_id(line)).into_bytes()
        };
        let script = move |index, line: &str| {
            (
                if index == 0 {
                    overloaded(line)
                } else {
                    served_line(&command_id(line))
                },
                false,
            )
        };
        let (addr, received) = spawn_engine(&spawner, Rc::new(script));
        let coordinator = spawn_idle_coordinator(&spawner);
        let file = ConfigFile::new("carried", &[(7, addr)], coordinator, 256);
        // Health checks are disabled, as they would add idle connections to the pool.
        let text = ConfigFile::text(&[(7, addr)], coordinator, 256)
            .replace("\"mayProbe\":true", "\"mayProbe\":false");
        std::fs::write(&file.0, text).expect("written");
        let (_router, listen) = start_router(&file, &spawner);
        assert_eq!(
            send_request(listen, &statement_request("lookup", ID, 1500))
                .await
                .expect("a response")
                .0,
            200
        );
        let received = received.borrow();
        let connections: Vec<&str> = received
            .iter()
            .filter_map(|line| line.split(' ').next())
            .collect();
        assert!(
            connections.len() == 2 && connections[0] != connections[1],
            "a late response to the first attempt could be mistaken for one to the retry: {connections:?}"
        );
    });
}
