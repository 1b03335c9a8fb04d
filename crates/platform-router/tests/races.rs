//! Tests of races: disconnects with requests in flight, shutdown, reload, and the watch on the endpoint list.

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use hoptiller_http::Spawner;

/// Creates the configuration of a router for one engine, without health checks. The settings don't enable cancellation
/// at engines. The timeouts are longer than a test, so that a request that depends on one to end makes the test fail.
fn config_with_long_timeouts(
    name: &str,
    manual_engine: &ManualEngine,
    spawner: &Spawner,
) -> ConfigFile {
    let coordinator = spawn_idle_coordinator(spawner);
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
    run_test(async |spawner| {
        let manual_engine = ManualEngine::with_full_backlog().await;
        let file = config_with_long_timeouts("left", &manual_engine, &spawner);
        let (router, listen) = start_router(&file, &spawner);
        let mut client = connect(listen).await;
        client
            .write_all(statement_request("load", ID, 90_000).as_bytes())
            .await
            .expect("written");
        wait_until(|| router.attempts_in_flight() == 1 && router.engine_connections() == 1).await;
        drop(client);
        wait_until(|| (router.known_requests(), router.requests_in_flight()) == (0, 0)).await;
        // The attempt ends before its connection is established, so nothing can be sent.
        wait_until(|| router.attempts_in_flight() == 0).await;
        manual_engine.accept_backlog().await;
        let next = async {
            let mut connection = manual_engine.accept().await;
            let command = loop {
                match connection.next_command().await {
                    Some(command) => break command,
                    // The connection of the cancelled attempt, if it was still established.
                    None => connection = manual_engine.accept().await,
                }
            };
            connection.send(&served_line(&command_id(&command))).await;
            command_id(&command)
        };
        let other = statement_request("lookup", "9b1f03aa5c7e2d42", 8000);
        let (first, response) = future::zip(next, send_request(listen, &other)).await;
        assert_eq!(
            first, "9b1f03aa5c7e2d42",
            "the first command that the engine receives must be the other client's"
        );
        assert_eq!(response.expect("a response").0, 200);
    });
}

#[test]
fn disconnect_is_detected_behind_pipelined_requests() {
    run_test(async |spawner| {
        let manual_engine = ManualEngine::new();
        let file = config_with_long_timeouts("ahead", &manual_engine, &spawner);
        let (router, listen) = start_router(&file, &spawner);
        let mut client = connect(listen).await;
        client
            .write_all(statement_request("lookup", ID, 90_000).as_bytes())
            .await
            .expect("written");
        let mut connection = manual_engine.accept().await;
        connection.next_command().await.expect("its request");
        let pipelined = statement_request("lookup", "9b1f03aa5c7e2d42", 8000).repeat(2_000);
        client
            .write_all(pipelined.as_bytes())
            .await
            .expect("the router keeps reading");
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
    run_test(async |spawner| {
        let manual_engine = ManualEngine::new();
        let file = config_with_long_timeouts("unread", &manual_engine, &spawner);
        let (_router, listen) = start_router(&file, &spawner);
        let mut client = connect(listen).await;
        let last = statement_request("lookup", ID, 8000)
            .replace("Host: h", "Host: h\r\nConnection: close");
        client.write_all(last.as_bytes()).await.expect("written");
        let mut connection = manual_engine.accept().await;
        connection.next_command().await.expect("its request");
        // Written before the response, and too much to be read ahead.
        client
            .write_all(&vec![b'x'; 200 << 10])
            .await
            .expect("written");
        connection.send(&served_line(ID)).await;
        let (status, head, _) = read_response(&mut client).await.expect("a response");
        assert!(
            status == 200 && head.contains("Connection: close"),
            "{head}"
        );
        let end = client.read(&mut [0; 64]).await;
        assert!(
            matches!(end, Ok(0)),
            "the connection must be closed without a reset: {end:?}"
        );
    });
}

#[test]
fn partial_first_request_at_shutdown_is_completed_and_closes_the_connection() {
    run_test(async |spawner| {
        let (addr, _) = spawn_engine(
            &spawner,
            Rc::new(|_, line| (served_line(&command_id(line)), false)),
        );
        let file = ConfigFile::new("half", &[(7, addr)], spawn_idle_coordinator(&spawner), 256);
        let (router, listen) = start_router(&file, &spawner);
        let mut client = connect(listen).await;
        let request = statement_request("lookup", ID, 1500);
        let ended = Rc::new(Cell::new(false));
        let (done, ending) = (ended.clone(), router.clone());
        spawner.spawn(async move {
            ending.shutdown().await;
            done.set(true);
        });
        client
            .write_all(&request.as_bytes()[..40])
            .await
            .expect("written");
        // This connection sends nothing. Once it is closed, the shutdown has closed the idle connections, but not the
        // one with a partial request.
        let mut idle = connect(listen).await;
        assert!(matches!(idle.read(&mut [0; 8]).await, Ok(0)));
        client
            .write_all(&request.as_bytes()[40..])
            .await
            .expect("written");
        let (status, head, _) = read_response(&mut client).await.expect("a response");
        assert!(
            status == 200 && head.contains("Connection: close"),
            "{head}"
        );
        assert!(matches!(client.read(&mut [0; 8]).await, Ok(0)));
        drop((client, idle));
        wait_until(|| ended.get()).await;
    });
}

#[test]
fn responses_during_shutdown_close_their_connections() {
    run_test(async |spawner| {
        let (addr, _) = spawn_engine(
            &spawner,
            Rc::new(|_, line| (served_line(&command_id(line)), false)),
        );
        let file = ConfigFile::new("last", &[(7, addr)], spawn_idle_coordinator(&spawner), 256);
        let (router, listen) = start_router(&file, &spawner);
        let mut kept = connect(listen).await;
        kept.write_all(statement_request("lookup", ID, 1500).as_bytes())
            .await
            .expect("written");
        let (_, head, _) = read_response(&mut kept).await.expect("a response");
        assert!(!head.contains("Connection: close"), "{head}");
        let next = async {
            kept.write_all(statement_request("lookup", "9b1f03aa5c7e2d42", 1500).as_bytes())
                .await
                .expect("written");
            let (_, head, _) = read_response(&mut kept).await.expect("a response");
            assert!(head.contains("Connection: close"), "{head}");
            assert!(matches!(kept.read(&mut [0; 8]).await, Ok(0)));
        };
        future::zip(router.shutdown(), next).await;
    });
}

#[test]
fn requests_without_response_are_abandoned_before_the_process_is_killed() {
    run_test(async |spawner| {
        let (addr, _) = spawn_engine(&spawner, Rc::new(|_, _| (Vec::new(), false)));
        let file = ConfigFile::new("hangs", &[(7, addr)], spawn_idle_coordinator(&spawner), 256);
        let (router, listen) = start_router(&file, &spawner);
        let (idempotent, non_idempotent) = (
            statement_request("lookup", ID, 8000),
            statement_request("load", "9b1f03aa5c7e2d42", 8000),
        );
        let requests = future::zip(
            send_request(listen, &idempotent),
            send_request(listen, &non_idempotent),
        );
        // After an invalid request the router keeps reading for 5.5 s, which the shutdown does not wait for.
        let mut invalid = connect(listen).await;
        invalid
            .write_all(b"no request\r\n\r\n")
            .await
            .expect("written");
        assert_eq!(
            read_response(&mut invalid).await.expect("a response").0,
            400
        );
        let shutdown = async {
            wait_until(|| router.attempts_in_flight() == 2).await;
            let started = Instant::now();
            router.shutdown().await;
            started.elapsed()
        };
        let ((idempotent, non_idempotent), elapsed) = future::zip(requests, shutdown).await;
        drop(invalid);
        // SIGKILL follows SIGTERM after 3.7 s at the earliest: the longest deadline, 8 s, counts as 3 s.
        assert!(elapsed < Duration::from_millis(3_700), "{elapsed:?}");
        assert_eq!(
            idempotent.expect("a response").0,
            429,
            "the request is safe to retry"
        );
        assert_eq!(
            non_idempotent.expect("a response").0,
            500,
            "the statement may have been executed"
        );
    });
}

#[test]
fn partial_frames_do_not_keep_a_watch_alive() {
    run_test(async |spawner| {
        let listener = Async::<std::net::TcpListener>::bind(([127, 0, 0, 1], 0)).expect("bound");
        let coordinator = listener.get_ref().local_addr().expect("bound");
        let (addr, _) = spawn_engine(
            &spawner,
            Rc::new(|_, line| (served_line(&command_id(line)), false)),
        );
        let connection_spawner = spawner.clone();
        spawner.spawn(async move {
            for connection in 0.. {
                let Ok((mut stream, _)) = listener.accept().await else {
                    return;
                };
                connection_spawner.spawn(async move {
                    let event = frame(2, 2, &[endpoint_record(8, addr, 0)]);
                    if connection > 0 {
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
        let file = ConfigFile::new("trickle", &[(7, addr)], coordinator, 256);
        let started = Instant::now();
        let (router, _) = start_router(&file, &spawner);
        wait_until(|| router.last_event() == 2).await;
        assert!(
            started.elapsed() < Duration::from_secs(4),
            "{:?}",
            started.elapsed()
        );
    });
}

#[test]
fn watch_client_connects_while_clients_hold_all_their_connections() {
    run_test(async |spawner| {
        let (addr, _) = spawn_engine(&spawner, Rc::new(|_, _| (Vec::new(), false)));
        // The coordinator is down: its port is bound, so that no other process gets it, but does not listen.
        let down = rustix::net::socket(
            rustix::net::AddressFamily::INET,
            rustix::net::SocketType::STREAM,
            None,
        )
        .expect("a socket");
        rustix::net::bind(&down, &std::net::SocketAddr::from(([127, 0, 0, 1], 0))).expect("bound");
        let down = std::net::TcpListener::from(down);
        let coordinator = down.local_addr().expect("bound");
        let file = ConfigFile::new("filled", &[(7, addr)], coordinator, 64);
        let (router, listen) = start_router(&file, &spawner);
        let budget = *router.budget();
        let mut clients = Vec::new();
        for _ in 0..budget.client_connections {
            clients.push(connect(listen).await);
        }
        // At the limit, the router closes an idle connection to make room, so one below the limit counts as full.
        wait_until(|| router.client_connections() + 1 >= budget.client_connections).await;
        assert!(
            budget.client_connections + budget.engine_connections + 24 <= 64,
            "24 descriptors remain for the process itself: {budget:?}"
        );
        rustix::net::listen(&down, 16).expect("the coordinator listens again");
        let listener = Async::new(down).expect("a listener");
        let (mut stream, _) = listener
            .accept()
            .await
            .expect("the watch client reconnects");
        stream
            .write_all(&frame(2, 2, &[endpoint_record(8, addr, 0)]))
            .await
            .expect("written");
        wait_until(|| router.last_event() == 2).await;
    });
}

#[test]
fn config_of_another_router_is_ignored_and_the_last_reload_wins() {
    run_test(async |spawner| {
        let (addr, _) = spawn_engine(
            &spawner,
            Rc::new(|_, line| (served_line(&command_id(line)), false)),
        );
        let event = move |_, _| (frame(2, 2, &[endpoint_record(8, addr, 0)]), false);
        let (wrong, wrong_requests) = spawn_coordinator(&spawner, Rc::new(event));
        let (right, right_requests) = spawn_coordinator(&spawner, Rc::new(event));
        let file = ConfigFile::new("other", &[(7, addr)], spawn_idle_coordinator(&spawner), 256);
        let (router, _) = start_router(&file, &spawner);
        let text = ConfigFile::text(&[(7, addr)], wrong, 256)
            .replace("\"name\":\"n0\"", "\"name\":\"n1\"");
        std::fs::write(&file.0, text).expect("written");
        let (first_ended, started) = (Rc::new(Cell::new(false)), Instant::now());
        let (ended, first) = (first_ended.clone(), router.clone());
        spawner.spawn(async move {
            first.reload().await;
            ended.set(true);
        });
        let second = async {
            Timer::after(Duration::from_millis(150)).await;
            router.reload().await;
        };
        let right_file = async {
            // The second reload replaces the first, which must not keep retrying for its 10 s.
            wait_until(|| first_ended.get()).await;
            assert!(
                started.elapsed() < Duration::from_secs(5),
                "{:?}",
                started.elapsed()
            );
            std::fs::write(&file.0, ConfigFile::text(&[(7, addr)], right, 256)).expect("written");
        };
        future::zip(second, right_file).await;
        wait_until(|| router.last_event() == 2).await;
        assert_eq!(
            (wrong_requests.borrow().len(), right_requests.borrow().len()),
            (0, 1)
        );
    });
}
