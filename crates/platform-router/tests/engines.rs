//! What engines do wrong, and what clients are then told.

mod common;

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use common::*;
use futures_lite::AsyncWriteExt;

const ID: &str = "9b1f03aa5c7e2d41";

/// One engine by that script, and what a client of that class is told by a router in front of it.
fn told(
    name: &'static str,
    class: &'static str,
    script: impl Fn(usize, &str) -> (Vec<u8>, bool) + 'static,
) -> (u16, String, usize) {
    let told = Rc::new(std::cell::RefCell::new(None));
    let out = told.clone();
    play(async move |ex| {
        let (addr, seen) = engine(&ex, Rc::new(script));
        let (coordinator, _) = coordinator(&ex, Rc::new(|_, _| (Vec::new(), false)));
        let file = File::new(name, &[(7, addr)], coordinator, 256);
        let (_node, listen) = router(&file, &ex);
        let (status, head, body) = ask(listen, &request(class, ID, 1500))
            .await
            .expect("an answer");
        let requests = seen
            .borrow()
            .iter()
            .filter(|l| l.contains("\"REQ\""))
            .count();
        *out.borrow_mut() = Some((status, head + &body, requests));
    });
    let told = told.borrow_mut().take();
    told.expect("played")
}

#[test]
fn rows_come_back_and_the_statement_goes_out_unchanged() {
    let (status, text, requests) = told("rows", "lookup", |_, line| {
        assert!(
            line.contains("U0VMRUNUIGEgRlJPTSBzYWxlc18xNy5vcmRlcnM=")
                && line.contains("\"c\":\"lookup\"")
        );
        (served(&id_of(line)), false)
    });
    assert!(
        status == 200 && text.ends_with("{\"batch\":[[\"a\",\"1\",\"x\"]]}"),
        "{text}"
    );
    assert_eq!(requests, 1);
}

#[test]
fn further_pages_are_fetched_and_put_in_order_though_they_come_in_none() {
    let (status, text, _) = told("pages", "lookup", |_, line| match line {
        l if l.contains("REQ") => {
            let id = id_of(l);
            (
                format!("{{\"t\":\"served\",\"i\":\"{id}\",\"f\":{{\"fetches\":\"3\"}},\"b\":\"{ROWS}\"}}\n")
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
                    id_of(l)
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
fn an_answer_under_an_unknown_id_and_a_second_copy_are_passed_over() {
    let (status, text, requests) = told("foreign", "lookup", |_, line| {
        let other = String::from_utf8(served("0000000000000000"))
            .expect("text")
            .replace(ROWS, "YgkyCXkK");
        (
            [
                other.into_bytes(),
                served(&id_of(line)),
                served(&id_of(line)),
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
fn a_safe_statement_is_tried_again_after_each_kind_of_spoilt_answer() {
    let good = String::from_utf8(served(ID)).expect("text");
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
        let (status, text, requests) = told("spoilt", "lookup", move |n, line| match n {
            0 => bad.clone(),
            _ => (served(&id_of(line)), false),
        });
        assert_eq!((status, requests), (200, 2), "case {at}: {text}");
    }
}

#[test]
fn what_may_have_run_and_must_not_run_twice_has_failed_and_what_did_not_run_goes_again() {
    for (answer, close, expected) in [
        ("crashed", false, (500, 1)),
        ("", true, (500, 1)),
        ("overload", false, (200, 2)),
    ] {
        let (status, text, requests) = told("unsafe", "load", move |n, line| match (n, answer) {
            (0, "") => (Vec::new(), close),
            (0, word) => (
                format!("{{\"t\":\"{word}\",\"i\":\"{ID}\"}}\n").into_bytes(),
                close,
            ),
            _ => (served(&id_of(line)), false),
        });
        assert_eq!((status, requests), expected, "{answer:?}: {text}");
    }
}

#[test]
fn silence_is_refused_in_the_end_and_the_client_is_told_when_to_come_back() {
    let began = Instant::now();
    let (status, text, _) = told("silence", "lookup", |_, _| (Vec::new(), false));
    assert!(status == 429 && text.contains("Hold-Off-Ms: 900"), "{text}");
    assert!(
        began.elapsed() >= Duration::from_millis(1_300),
        "not before its time: {:?}",
        began.elapsed()
    );
}

#[test]
fn an_engine_gone_from_the_list_leaves_its_address_to_another() {
    play(async |ex| {
        let (addr, seen) = engine(&ex, Rc::new(|_, line| (served(&id_of(line)), false)));
        // Broken off within the second event; then the rest from there, a copy of the first ahead of it.
        let events = [
            frame(2, 2, &[record(7, addr, 2)]),
            frame(3, 2, &[record(8, addr, 0)]),
        ];
        let script = move |nth: usize, _| match nth {
            1 => ([&events[0][..], &events[1][..20]].concat(), true),
            _ => (events.concat(), false),
        };
        let (coordinator, asked) = coordinator(&ex, Rc::new(script));
        let file = File::new("list", &[(7, addr)], coordinator, 256);
        let (node, listen) = router(&file, &ex);
        while node.last_event() < 3 {
            Timer::after(Duration::from_millis(10)).await;
        }
        assert_eq!(
            *asked.borrow(),
            [1, 2],
            "on from the last event that came whole"
        );
        assert_eq!(
            ask(listen, &request("lookup", ID, 1500))
                .await
                .expect("an answer")
                .0,
            200
        );
        assert_eq!((seen.borrow().len(), node.known_engines()), (1, 1));
    });
}

#[test]
fn engines_come_and_go_by_the_hundred_and_nothing_of_them_stays() {
    play(async |ex| {
        let (addr, _) = engine(&ex, Rc::new(|_, line| (served(&id_of(line)), false)));
        let gone = |n: u64| {
            frame(
                n,
                2,
                &[record(n as u32 + 5, addr, 2), record(n as u32 + 6, addr, 0)],
            )
        };
        let events: Vec<u8> = (2..202).flat_map(gone).collect();
        let (coordinator, _) = coordinator(&ex, Rc::new(move |_, _| (events.clone(), false)));
        let file = File::new("many", &[(7, addr)], coordinator, 256);
        let (node, listen) = router(&file, &ex);
        while node.last_event() < 201 {
            Timer::after(Duration::from_millis(10)).await;
        }
        assert_eq!(node.known_engines(), 1);
        for n in 0..300 {
            let mut s = connect(listen).await;
            s.write_all(request("lookup", &format!("{n:016x}"), 1500).as_bytes())
                .await
                .expect("written");
            assert_eq!(response(&mut s).await.expect("an answer").0, 200);
        }
        Timer::after(Duration::from_millis(100)).await;
        assert_eq!(
            (node.known_requests(), node.requests_in_flight()),
            (0, 0),
            "neither requests nor ids are kept"
        );
    });
}

#[test]
fn a_further_attempt_never_goes_over_the_connection_that_carried_the_first() {
    play(async |ex| {
        let full =
            |line: &str| format!("{{\"t\":\"overload\",\"i\":\"{}\"}}\n", id_of(line)).into_bytes();
        let script = move |n, line: &str| {
            (
                if n == 0 {
                    full(line)
                } else {
                    served(&id_of(line))
                },
                false,
            )
        };
        let (addr, seen) = engine(&ex, Rc::new(script));
        let (coordinator, _) = coordinator(&ex, Rc::new(|_, _| (Vec::new(), false)));
        let file = File::new("carried", &[(7, addr)], coordinator, 256);
        // No probes, which would leave connections of their own to choose from.
        let text = File::text(&[(7, addr)], coordinator, 256)
            .replace("\"mayProbe\":true", "\"mayProbe\":false");
        std::fs::write(&file.0, text).expect("written");
        let (_node, listen) = router(&file, &ex);
        assert_eq!(
            ask(listen, &request("lookup", ID, 1500))
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
