//! What clients do wrong, and that the usual ones do not suffer from it; signals.

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use hoptiller_http::Spawner;

const ID: &str = "9b1f03aa5c7e2d41";

fn quiet(ex: &Spawner) -> std::net::SocketAddr {
    coordinator(ex, Rc::new(|_, _| (Vec::new(), false))).0
}

#[test]
fn what_is_no_request_gets_an_error_and_no_engine_hears_of_it() {
    play(async |ex| {
        let (addr, seen) = engine(&ex, Rc::new(|_, line| (served(&id_of(line)), false)));
        let file = File::new("wrong", &[(7, addr)], quiet(&ex), 256);
        let (_node, listen) = router(&file, &ex);
        let good = request("lookup", ID, 1500);
        for (wrong, status) in [
            (
                good.replace(
                    "Content-Length",
                    "Transfer-Encoding: chunked\r\nContent-Length",
                ),
                400,
            ),
            (
                good.replace("Content-Length", "Content-Length: 2\r\nContent-Length"),
                400,
            ),
            (
                good.replace("Content-Length: 29", "Content-Length: -1"),
                400,
            ),
            (
                good.replace(
                    "Content-Length: 29",
                    "Content-Length: 99999999999999999999999",
                ),
                400,
            ),
            (
                good.replace("Content-Length: 29", "Content-Length: 3000000000"),
                413,
            ),
            (good.replace("/call/lookup", "/call/other"), 404),
            (good.replace("acme", "nobody"), 400),
            (good.replace(ID, "x"), 400),
            (good.replace("1500", "-1"), 400),
            (good.replace("1500", "1e99"), 400),
            ("\0\u{1}\u{2}\r\n\r\n".to_owned(), 400),
        ] {
            let (told, ..) = ask(listen, &wrong).await.expect("an answer");
            assert_eq!(told, status, "{wrong}");
        }
        assert!(seen.borrow().is_empty());
        assert_eq!(
            ask(listen, "GET /ping HTTP/1.1\r\nHost: h\r\n\r\n")
                .await
                .expect("an answer")
                .0,
            200
        );
    });
}

#[test]
fn the_id_of_an_open_request_is_refused_and_its_owner_is_served() {
    play(async |ex| {
        let (addr, seen) = engine(&ex, Rc::new(|_, _| (Vec::new(), false)));
        let file = File::new("open", &[(7, addr)], quiet(&ex), 256);
        let (node, listen) = router(&file, &ex);
        let mut owner = connect(listen).await;
        owner
            .write_all(request("lookup", ID, 8000).as_bytes())
            .await
            .expect("written");
        while seen.borrow().is_empty() {
            Timer::after(Duration::from_millis(5)).await;
        }
        assert_eq!(
            ask(listen, &request("load", ID, 1500))
                .await
                .expect("an answer")
                .0,
            409
        );
        assert_eq!((seen.borrow().len(), node.requests_in_flight()), (1, 1));
        // Its owner leaves: the module hears of it at once, and the id is free.
        drop(owner);
        let left = Instant::now();
        while node.requests_in_flight() > 0 {
            Timer::after(Duration::from_millis(5)).await;
        }
        assert!(
            left.elapsed() < Duration::from_secs(5),
            "not only when its 8 s are over"
        );
    });
}

#[test]
fn sixty_megabytes_are_refused_at_the_head_and_the_answer_arrives() {
    play(async |ex| {
        let file = File::new("large", &[], quiet(&ex), 256);
        let (_node, listen) = router(&file, &ex);
        let mut s = connect(listen).await;
        let head =
            request("lookup", ID, 1500).replace("Content-Length: 29", "Content-Length: 60000000");
        s.write_all(head.as_bytes()).await.expect("written");
        let part = vec![b'x'; 1 << 20];
        for _ in 0..59 {
            s.write_all(&part).await.expect("it is read on");
        }
        assert_eq!(response(&mut s).await.expect("an answer").0, 413);
    });
}

#[test]
fn silent_connections_give_way_to_usual_clients() {
    play(async |ex| {
        let (addr, _) = engine(&ex, Rc::new(|_, line| (served(&id_of(line)), false)));
        let file = File::new("silent", &[(7, addr)], quiet(&ex), 256);
        let (node, listen) = router(&file, &ex);
        let mut silent = Vec::new();
        let began = Instant::now();
        for n in 0..300 {
            silent.push(connect(listen).await);
            if n % 10 == 9 {
                let mut s = connect(listen).await;
                s.write_all(request("lookup", &format!("{n:016x}"), 1500).as_bytes())
                    .await
                    .expect("written");
                assert_eq!(response(&mut s).await.expect("an answer").0, 200);
                silent.push(s);
            }
        }
        assert!(
            node.client_connections() <= node.budget().client_connections + 1,
            "{}",
            node.client_connections()
        );
        // Each is closed in the end, within 3 s of connecting.
        let first = &mut silent[0];
        assert_eq!(first.read(&mut [0; 8]).await.unwrap_or(0), 0);
        assert!(began.elapsed() < Duration::from_secs(20));
    });
}

#[test]
fn half_a_file_keeps_the_old_coordinator_and_a_whole_one_moves_on_with_the_numbers() {
    play(async |ex| {
        let (addr, _) = engine(&ex, Rc::new(|_, line| (served(&id_of(line)), false)));
        let (second, asked) = coordinator(
            &ex,
            Rc::new(move |_, _| (frame(2, 2, &[record(8, addr, 0)]), false)),
        );
        let file = File::new("reload", &[(7, addr)], quiet(&ex), 256);
        let (node, listen) = router(&file, &ex);
        let text = File::text(&[(7, addr)], second, 256);
        std::fs::write(&file.0, &text[..text.len() / 2]).expect("written");
        let reloading = node.reload();
        let serving = async {
            Timer::after(Duration::from_millis(150)).await;
            assert_eq!(
                ask(listen, &request("lookup", ID, 1500))
                    .await
                    .expect("an answer")
                    .0,
                200
            );
            assert!(asked.borrow().is_empty());
            std::fs::write(&file.0, &text).expect("written");
        };
        future::zip(reloading, serving).await;
        while node.last_event() < 2 {
            Timer::after(Duration::from_millis(10)).await;
        }
        assert_eq!(*asked.borrow(), [1]);
    });
}

#[test]
fn late_comers_are_served_after_the_end_began_and_then_it_ends() {
    play(async |ex| {
        let (addr, _) = engine(&ex, Rc::new(|_, line| (served(&id_of(line)), false)));
        let file = File::new("end", &[(7, addr)], quiet(&ex), 256);
        let (node, listen) = router(&file, &ex);
        let (mut kept, mut idle) = (connect(listen).await, connect(listen).await);
        let ended = Cell::new(false);
        let ending = async {
            node.shutdown().await;
            ended.set(true);
        };
        let late = async {
            let began = Instant::now();
            Timer::after(Duration::from_millis(200)).await;
            for n in 0..10 {
                let new = request("lookup", &format!("{n:016x}"), 1500);
                assert_eq!(ask(listen, &new).await.expect("an answer").0, 200);
            }
            Timer::at(began + Duration::from_millis(600)).await;
            // An open connection is served once more, and its client told to come over another.
            kept.write_all(request("lookup", ID, 1500).as_bytes())
                .await
                .expect("written");
            let (status, head, _) = response(&mut kept).await.expect("an answer");
            assert!(
                status == 200 && head.contains("Connection: close"),
                "{head}"
            );
            assert_eq!(
                kept.read(&mut [0; 8]).await.expect("an end, and no reset"),
                0
            );
            let new = request("lookup", "9b1f03aa5c7e2d42", 1500);
            assert_eq!(ask(listen, &new).await.expect("an answer").0, 200);
            assert!(!ended.get());
        };
        future::zip(ending, late).await;
        assert_eq!(
            idle.read(&mut [0; 8]).await.expect("an end, and no reset"),
            0,
            "idle ones are closed"
        );
        assert_eq!(node.client_connections(), 0);
    });
}
