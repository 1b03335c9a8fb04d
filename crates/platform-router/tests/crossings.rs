//! Events that cross: clients that leave while something is under way for them, the end of the router, the coordinator.

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use hoptiller_http::Spawner;

const ID: &str = "9b1f03aa5c7e2d41";

fn quiet(ex: &Spawner) -> std::net::SocketAddr {
    coordinator(ex, Rc::new(|_, _| (Vec::new(), false))).0
}

/// A router that knows this engine, doesn't probe, may not cancel at engines, and waits for connections and for answers for
/// longer than a scene lasts: what has not ended by itself hangs.
fn patient(name: &str, peer: &Peer, ex: &Spawner) -> File {
    let coordinator = quiet(ex);
    let file = File::new(name, &[(7, peer.addr)], coordinator, 256);
    let text = File::text(&[(7, peer.addr)], coordinator, 256)
        .replace("\"mayProbe\":true", "\"mayProbe\":false")
        .replace("\"connectTimeout\":250", "\"connectTimeout\":90000")
        .replace("\"deadline\":8000", "\"deadline\":90000");
    std::fs::write(&file.0, text).expect("written");
    file
}

#[test]
fn a_client_that_leaves_while_a_connection_comes_up_has_nothing_sent_though_engines_can_not_cancel()
{
    play(async |ex| {
        let peer = Peer::late().await;
        let file = patient("left", &peer, &ex);
        let (node, listen) = router(&file, &ex);
        let mut client = connect(listen).await;
        client
            .write_all(request("load", ID, 90_000).as_bytes())
            .await
            .expect("written");
        until(|| node.attempts_in_flight() == 1 && node.engine_connections() == 1).await;
        drop(client);
        until(|| (node.known_requests(), node.requests_in_flight()) == (0, 0)).await;
        // Its attempt is over before any connection has come up: nothing is left that could be sent.
        until(|| node.attempts_in_flight() == 0).await;
        peer.connections_come_up().await;
        let next = async {
            let mut line = peer.accept().await;
            let said = loop {
                match line.next().await {
                    Some(said) => break said,
                    // The connection of the one that left, if it still came up.
                    None => line = peer.accept().await,
                }
            };
            line.say(&served(&id_of(&said))).await;
            id_of(&said)
        };
        let other = request("lookup", "9b1f03aa5c7e2d42", 8000);
        let (first, answer) = future::zip(next, ask(listen, &other)).await;
        assert_eq!(
            first, "9b1f03aa5c7e2d42",
            "what the engine saw first is the other's"
        );
        assert_eq!(answer.expect("an answer").0, 200);
    });
}

#[test]
fn a_client_that_sent_much_ahead_and_goes_is_still_seen_to_go() {
    play(async |ex| {
        let peer = Peer::new();
        let file = patient("ahead", &peer, &ex);
        let (node, listen) = router(&file, &ex);
        let mut client = connect(listen).await;
        client
            .write_all(request("lookup", ID, 90_000).as_bytes())
            .await
            .expect("written");
        let mut line = peer.accept().await;
        line.next().await.expect("its request");
        let ahead = request("lookup", "9b1f03aa5c7e2d42", 8000).repeat(2_000);
        client
            .write_all(ahead.as_bytes())
            .await
            .expect("it is read on");
        drop(client);
        until(|| {
            (node.known_requests(), node.requests_in_flight()) == (0, 0)
                && node.client_connections() == 0
        })
        .await;
    });
}

#[test]
fn an_answer_is_not_reset_away_by_bytes_that_lie_unread_behind_its_request() {
    play(async |ex| {
        let peer = Peer::new();
        let file = patient("unread", &peer, &ex);
        let (_node, listen) = router(&file, &ex);
        let mut client = connect(listen).await;
        let last = request("lookup", ID, 8000).replace("Host: h", "Host: h\r\nConnection: close");
        client.write_all(last.as_bytes()).await.expect("written");
        let mut line = peer.accept().await;
        line.next().await.expect("its request");
        // Written by the time of the answer, and too much to be read ahead.
        client
            .write_all(&vec![b'x'; 200 << 10])
            .await
            .expect("taken");
        line.say(&served(ID)).await;
        let (status, head, _) = response(&mut client).await.expect("an answer");
        assert!(
            status == 200 && head.contains("Connection: close"),
            "{head}"
        );
        let end = client.read(&mut [0; 64]).await;
        assert!(matches!(end, Ok(0)), "an end, and no reset: {end:?}");
    });
}

#[test]
fn a_first_request_that_is_half_there_at_the_end_is_finished_and_its_answer_is_the_last() {
    play(async |ex| {
        let (addr, _) = engine(&ex, Rc::new(|_, line| (served(&id_of(line)), false)));
        let file = File::new("half", &[(7, addr)], quiet(&ex), 256);
        let (node, listen) = router(&file, &ex);
        let mut client = connect(listen).await;
        let whole = request("lookup", ID, 1500);
        let ended = Rc::new(Cell::new(false));
        let (done, ending) = (ended.clone(), node.clone());
        ex.spawn(async move {
            ending.shutdown().await;
            done.set(true);
        });
        client
            .write_all(&whole.as_bytes()[..40])
            .await
            .expect("written");
        // Resting connections are closed then: one that only rests sees it.
        let mut rests = connect(listen).await;
        assert!(matches!(rests.read(&mut [0; 8]).await, Ok(0)));
        client
            .write_all(&whole.as_bytes()[40..])
            .await
            .expect("written");
        let (status, head, _) = response(&mut client).await.expect("an answer");
        assert!(
            status == 200 && head.contains("Connection: close"),
            "{head}"
        );
        assert!(matches!(client.read(&mut [0; 8]).await, Ok(0)));
        drop((client, rests));
        until(|| ended.get()).await;
    });
}

#[test]
fn once_the_end_has_begun_each_answer_says_that_its_connection_ends() {
    play(async |ex| {
        let (addr, _) = engine(&ex, Rc::new(|_, line| (served(&id_of(line)), false)));
        let file = File::new("last", &[(7, addr)], quiet(&ex), 256);
        let (node, listen) = router(&file, &ex);
        let mut kept = connect(listen).await;
        kept.write_all(request("lookup", ID, 1500).as_bytes())
            .await
            .expect("written");
        let (_, head, _) = response(&mut kept).await.expect("an answer");
        assert!(!head.contains("Connection: close"), "{head}");
        let next = async {
            kept.write_all(request("lookup", "9b1f03aa5c7e2d42", 1500).as_bytes())
                .await
                .expect("written");
            let (_, head, _) = response(&mut kept).await.expect("an answer");
            assert!(head.contains("Connection: close"), "{head}");
            assert!(matches!(kept.read(&mut [0; 8]).await, Ok(0)));
        };
        future::zip(node.shutdown(), next).await;
    });
}

#[test]
fn what_an_engine_does_not_answer_is_given_up_before_the_end_is_cut_off() {
    play(async |ex| {
        let (addr, _) = engine(&ex, Rc::new(|_, _| (Vec::new(), false)));
        let file = File::new("hangs", &[(7, addr)], quiet(&ex), 256);
        let (node, listen) = router(&file, &ex);
        let (safe, unsafe_) = (
            request("lookup", ID, 8000),
            request("load", "9b1f03aa5c7e2d42", 8000),
        );
        let asked = future::zip(ask(listen, &safe), ask(listen, &unsafe_));
        // One that sent no request is read on for 5.5 s, which the end does not wait for.
        let mut bad = connect(listen).await;
        bad.write_all(b"no request\r\n\r\n").await.expect("written");
        assert_eq!(response(&mut bad).await.expect("an answer").0, 400);
        let end = async {
            until(|| node.attempts_in_flight() == 2).await;
            let began = Instant::now();
            node.shutdown().await;
            began.elapsed()
        };
        let ((safe, unsafe_), took) = future::zip(asked, end).await;
        drop(bad);
        // SIGKILL comes 3.7 s after SIGTERM at the soonest, as the longest patience here is 8 s.
        assert!(took < Duration::from_millis(3_700), "{took:?}");
        assert_eq!(safe.expect("an answer").0, 429, "it is safe to try again");
        assert_eq!(unsafe_.expect("an answer").0, 500, "it may have run");
    });
}

#[test]
fn single_bytes_are_no_sign_of_life_of_a_watch() {
    play(async |ex| {
        let listener = Async::<std::net::TcpListener>::bind(([127, 0, 0, 1], 0)).expect("bound");
        let at = listener.get_ref().local_addr().expect("bound");
        let (addr, _) = engine(&ex, Rc::new(|_, line| (served(&id_of(line)), false)));
        let spawner = ex.clone();
        ex.spawn(async move {
            for nth in 0.. {
                let Ok((mut stream, _)) = listener.accept().await else {
                    return;
                };
                spawner.spawn(async move {
                    let event = frame(2, 2, &[record(8, addr, 0)]);
                    if nth > 0 {
                        let _ = stream.write_all(&event).await;
                        return future::pending().await;
                    }
                    for byte in event {
                        if stream.write_all(&[byte]).await.is_err() {
                            return;
                        }
                        Timer::after(Duration::from_millis(400)).await;
                    }
                });
            }
        });
        let file = File::new("trickle", &[(7, addr)], at, 256);
        let began = Instant::now();
        let (node, _) = router(&file, &ex);
        until(|| node.last_event() == 2).await;
        assert!(
            began.elapsed() < Duration::from_secs(4),
            "{:?}",
            began.elapsed()
        );
    });
}

#[test]
fn idle_clients_may_take_all_that_they_may_and_the_follower_still_connects() {
    play(async |ex| {
        let (addr, _) = engine(&ex, Rc::new(|_, _| (Vec::new(), false)));
        // Bound, so that nobody else gets the port, and not listening: discovery is down.
        let down = rustix::net::socket(
            rustix::net::AddressFamily::INET,
            rustix::net::SocketType::STREAM,
            None,
        )
        .expect("a socket");
        rustix::net::bind(&down, &std::net::SocketAddr::from(([127, 0, 0, 1], 0))).expect("bound");
        let down = std::net::TcpListener::from(down);
        let at = down.local_addr().expect("bound");
        let file = File::new("filled", &[(7, addr)], at, 64);
        let (node, listen) = router(&file, &ex);
        let budget = *node.budget();
        let mut clients = Vec::new();
        for _ in 0..budget.client_connections {
            clients.push(connect(listen).await);
        }
        // One is told to go before the next one comes, so that there always is room for that.
        until(|| node.client_connections() + 1 >= budget.client_connections).await;
        assert!(
            budget.client_connections + budget.engine_connections + 24 <= 64,
            "24 are left to the process itself: {budget:?}"
        );
        rustix::net::listen(&down, 16).expect("discovery is back");
        let back = Async::new(down).expect("usable");
        let (mut stream, _) = back.accept().await.expect("the follower comes again");
        stream
            .write_all(&frame(2, 2, &[record(8, addr, 0)]))
            .await
            .expect("written");
        until(|| node.last_event() == 2).await;
    });
}

#[test]
fn the_file_of_another_router_is_not_followed_and_the_last_of_two_signals_is() {
    play(async |ex| {
        let (addr, _) = engine(&ex, Rc::new(|_, line| (served(&id_of(line)), false)));
        let event = move |_, _| (frame(2, 2, &[record(8, addr, 0)]), false);
        let (wrong, asked_wrong) = coordinator(&ex, Rc::new(event));
        let (right, asked_right) = coordinator(&ex, Rc::new(event));
        let file = File::new("other", &[(7, addr)], quiet(&ex), 256);
        let (node, _) = router(&file, &ex);
        let text =
            File::text(&[(7, addr)], wrong, 256).replace("\"name\":\"n0\"", "\"name\":\"n1\"");
        std::fs::write(&file.0, text).expect("written");
        let (first_ended, began) = (Rc::new(Cell::new(false)), Instant::now());
        let (ended, first) = (first_ended.clone(), node.clone());
        ex.spawn(async move {
            first.reload().await;
            ended.set(true);
        });
        let second = async {
            Timer::after(Duration::from_millis(150)).await;
            node.reload().await;
        };
        let right_file = async {
            // The first one gives way to the second, and does not try on beside it for its 10 s.
            until(|| first_ended.get()).await;
            assert!(
                began.elapsed() < Duration::from_secs(5),
                "{:?}",
                began.elapsed()
            );
            std::fs::write(&file.0, File::text(&[(7, addr)], right, 256)).expect("written");
        };
        future::zip(second, right_file).await;
        until(|| node.last_event() == 2).await;
        assert_eq!(
            (asked_wrong.borrow().len(), asked_right.borrow().len()),
            (0, 1)
        );
    });
}
