//! Races: clients that disconnect with requests in flight, shutdown, reload, and the watch on the coordinator.

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use hoptiller_http::Spawner;

/// The configuration of a router that knows this engine, sends no health checks, can't cancel at engines, and whose
/// timeouts are longer than a test: what does not end by itself hangs.
fn config_with_long_timeouts(name: &str, manual_engine: &ManualEngine, ex: &Spawner) -> ConfigFile {
    let coordinator = spawn_idle_coordinator(ex);
    let file = ConfigFile::new(name, &[(7, manual_engine.addr)], coordinator, 256);
    let text = ConfigFile::text(&[(7, manual_engine.addr)], coordinator, 256)
        .replace("\"mayProbe\":true", "\"mayProbe\":false")
        .replace("\"connectTimeout\":250", "\"connectTimeout\":90000")
        .replace("\"deadline\":8000", "\"deadline\":90000");
    std::fs::write(&file.0, text).expect("written");
    file
}

#[test]
fn request_of_a_disconnected_client_is_not_sent_even_if_engines_cannot_cancel() {
    run_test(async |ex| {
        let manual_engine = ManualEngine::with_full_backlog().await;
        let file = config_with_long_timeouts("left", &manual_engine, &ex);
        let (router, listen) = start_router(&file, &ex);
        let mut client = connect(listen).await;
        client
            .write_all(statement_request("load", ID, 90_000).as_bytes())
            .await
            .expect("written");
        wait_until(|| router.attempts_in_flight() == 1 && router.engine_connections() == 1).await;
        drop(client);
        wait_until(|| (router.known_requests(), router.requests_in_flight()) == (0, 0)).await;
        // Its attempt is over before any connection has come up: nothing is left that could be sent.
        wait_until(|| router.attempts_in_flight() == 0).await;
        manual_engine.accept_backlog().await;
        let next = async {
            let mut line = manual_engine.accept().await;
            let said = loop {
                match line.next_command().await {
                    Some(said) => break said,
                    // The connection of the one that left, if it still came up.
                    None => line = manual_engine.accept().await,
                }
            };
            line.send(&served_line(&command_id(&said))).await;
            command_id(&said)
        };
        let other = statement_request("lookup", "9b1f03aa5c7e2d42", 8000);
        let (first, answer) = future::zip(next, send_request(listen, &other)).await;
        assert_eq!(
            first, "9b1f03aa5c7e2d42",
            "what the engine saw first is the other's"
        );
        assert_eq!(answer.expect("an answer").0, 200);
    });
}

#[test]
fn disconnect_is_detected_behind_pipelined_requests() {
    run_test(async |ex| {
        let manual_engine = ManualEngine::new();
        let file = config_with_long_timeouts("ahead", &manual_engine, &ex);
        let (router, listen) = start_router(&file, &ex);
        let mut client = connect(listen).await;
        client
            .write_all(statement_request("lookup", ID, 90_000).as_bytes())
            .await
            .expect("written");
        let mut line = manual_engine.accept().await;
        line.next_command().await.expect("its request");
        let ahead = statement_request("lookup", "9b1f03aa5c7e2d42", 8000).repeat(2_000);
        client
            .write_all(ahead.as_bytes())
            .await
            .expect("it is read on");
        drop(client);
        wait_until(|| {
            (router.known_requests(), router.requests_in_flight()) == (0, 0)
                && router.client_connections() == 0
        })
        .await;
    });
}

#[test]
fn unread_bytes_behind_a_request_do_not_reset_its_response() {
    run_test(async |ex| {
        let manual_engine = ManualEngine::new();
        let file = config_with_long_timeouts("unread", &manual_engine, &ex);
        let (_router, listen) = start_router(&file, &ex);
        let mut client = connect(listen).await;
        let last = statement_request("lookup", ID, 8000)
            .replace("Host: h", "Host: h\r\nConnection: close");
        client.write_all(last.as_bytes()).await.expect("written");
        let mut line = manual_engine.accept().await;
        line.next_command().await.expect("its request");
        // Written by the time of the answer, and too much to be read ahead.
        client
            .write_all(&vec![b'x'; 200 << 10])
            .await
            .expect("taken");
        line.send(&served_line(ID)).await;
        let (status, head, _) = read_response(&mut client).await.expect("an answer");
        assert!(
            status == 200 && head.contains("Connection: close"),
            "{head}"
        );
        let end = client.read(&mut [0; 64]).await;
        assert!(matches!(end, Ok(0)), "an end, and no reset: {end:?}");
    });
}

#[test]
fn partial_first_request_at_shutdown_is_completed_and_closes_the_connection() {
    run_test(async |ex| {
        let (addr, _) = spawn_engine(
            &ex,
            Rc::new(|_, line| (served_line(&command_id(line)), false)),
        );
        let file = ConfigFile::new("half", &[(7, addr)], spawn_idle_coordinator(&ex), 256);
        let (router, listen) = start_router(&file, &ex);
        let mut client = connect(listen).await;
        let whole = statement_request("lookup", ID, 1500);
        let ended = Rc::new(Cell::new(false));
        let (done, ending) = (ended.clone(), router.clone());
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
        let (status, head, _) = read_response(&mut client).await.expect("an answer");
        assert!(
            status == 200 && head.contains("Connection: close"),
            "{head}"
        );
        assert!(matches!(client.read(&mut [0; 8]).await, Ok(0)));
        drop((client, rests));
        wait_until(|| ended.get()).await;
    });
}

#[test]
fn responses_during_shutdown_close_their_connections() {
    run_test(async |ex| {
        let (addr, _) = spawn_engine(
            &ex,
            Rc::new(|_, line| (served_line(&command_id(line)), false)),
        );
        let file = ConfigFile::new("last", &[(7, addr)], spawn_idle_coordinator(&ex), 256);
        let (router, listen) = start_router(&file, &ex);
        let mut kept = connect(listen).await;
        kept.write_all(statement_request("lookup", ID, 1500).as_bytes())
            .await
            .expect("written");
        let (_, head, _) = read_response(&mut kept).await.expect("an answer");
        assert!(!head.contains("Connection: close"), "{head}");
        let next = async {
            kept.write_all(statement_request("lookup", "9b1f03aa5c7e2d42", 1500).as_bytes())
                .await
                .expect("written");
            let (_, head, _) = read_response(&mut kept).await.expect("an answer");
            assert!(head.contains("Connection: close"), "{head}");
            assert!(matches!(kept.read(&mut [0; 8]).await, Ok(0)));
        };
        future::zip(router.shutdown(), next).await;
    });
}

#[test]
fn unanswered_requests_are_given_up_before_the_process_is_killed() {
    run_test(async |ex| {
        let (addr, _) = spawn_engine(&ex, Rc::new(|_, _| (Vec::new(), false)));
        let file = ConfigFile::new("hangs", &[(7, addr)], spawn_idle_coordinator(&ex), 256);
        let (router, listen) = start_router(&file, &ex);
        let (safe, unsafe_) = (
            statement_request("lookup", ID, 8000),
            statement_request("load", "9b1f03aa5c7e2d42", 8000),
        );
        let asked = future::zip(send_request(listen, &safe), send_request(listen, &unsafe_));
        // One that sent no request is read on for 5.5 s, which the end does not wait for.
        let mut bad = connect(listen).await;
        bad.write_all(b"no request\r\n\r\n").await.expect("written");
        assert_eq!(read_response(&mut bad).await.expect("an answer").0, 400);
        let end = async {
            wait_until(|| router.attempts_in_flight() == 2).await;
            let began = Instant::now();
            router.shutdown().await;
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
fn partial_frames_do_not_keep_a_watch_alive() {
    run_test(async |ex| {
        let listener = Async::<std::net::TcpListener>::bind(([127, 0, 0, 1], 0)).expect("bound");
        let at = listener.get_ref().local_addr().expect("bound");
        let (addr, _) = spawn_engine(
            &ex,
            Rc::new(|_, line| (served_line(&command_id(line)), false)),
        );
        let spawner = ex.clone();
        ex.spawn(async move {
            for nth in 0.. {
                let Ok((mut stream, _)) = listener.accept().await else {
                    return;
                };
                spawner.spawn(async move {
                    let event = frame(2, 2, &[endpoint_record(8, addr, 0)]);
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
        let file = ConfigFile::new("trickle", &[(7, addr)], at, 256);
        let began = Instant::now();
        let (router, _) = start_router(&file, &ex);
        wait_until(|| router.last_event() == 2).await;
        assert!(
            began.elapsed() < Duration::from_secs(4),
            "{:?}",
            began.elapsed()
        );
    });
}

#[test]
fn watch_client_connects_while_clients_hold_all_their_connections() {
    run_test(async |ex| {
        let (addr, _) = spawn_engine(&ex, Rc::new(|_, _| (Vec::new(), false)));
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
        let file = ConfigFile::new("filled", &[(7, addr)], at, 64);
        let (router, listen) = start_router(&file, &ex);
        let budget = *router.budget();
        let mut clients = Vec::new();
        for _ in 0..budget.client_connections {
            clients.push(connect(listen).await);
        }
        // One is told to go before the next one comes, so that there always is room for that.
        wait_until(|| router.client_connections() + 1 >= budget.client_connections).await;
        assert!(
            budget.client_connections + budget.engine_connections + 24 <= 64,
            "24 are left to the process itself: {budget:?}"
        );
        rustix::net::listen(&down, 16).expect("discovery is back");
        let back = Async::new(down).expect("usable");
        let (mut stream, _) = back.accept().await.expect("the follower comes again");
        stream
            .write_all(&frame(2, 2, &[endpoint_record(8, addr, 0)]))
            .await
            .expect("written");
        wait_until(|| router.last_event() == 2).await;
    });
}

#[test]
fn config_of_another_router_is_ignored_and_the_last_reload_wins() {
    run_test(async |ex| {
        let (addr, _) = spawn_engine(
            &ex,
            Rc::new(|_, line| (served_line(&command_id(line)), false)),
        );
        let event = move |_, _| (frame(2, 2, &[endpoint_record(8, addr, 0)]), false);
        let (wrong, asked_wrong) = spawn_coordinator(&ex, Rc::new(event));
        let (right, asked_right) = spawn_coordinator(&ex, Rc::new(event));
        let file = ConfigFile::new("other", &[(7, addr)], spawn_idle_coordinator(&ex), 256);
        let (router, _) = start_router(&file, &ex);
        let text = ConfigFile::text(&[(7, addr)], wrong, 256)
            .replace("\"name\":\"n0\"", "\"name\":\"n1\"");
        std::fs::write(&file.0, text).expect("written");
        let (first_ended, began) = (Rc::new(Cell::new(false)), Instant::now());
        let (ended, first) = (first_ended.clone(), router.clone());
        ex.spawn(async move {
            first.reload().await;
            ended.set(true);
        });
        let second = async {
            Timer::after(Duration::from_millis(150)).await;
            router.reload().await;
        };
        let right_file = async {
            // The first one gives way to the second, and does not try on beside it for its 10 s.
            wait_until(|| first_ended.get()).await;
            assert!(
                began.elapsed() < Duration::from_secs(5),
                "{:?}",
                began.elapsed()
            );
            std::fs::write(&file.0, ConfigFile::text(&[(7, addr)], right, 256)).expect("written");
        };
        future::zip(second, right_file).await;
        wait_until(|| router.last_event() == 2).await;
        assert_eq!(
            (asked_wrong.borrow().len(), asked_right.borrow().len()),
            (0, 1)
        );
    });
}
