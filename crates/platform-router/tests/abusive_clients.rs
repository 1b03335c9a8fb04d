//! Tests of clients that send too much, too slowly, or nothing. Each gets a response or is disconnected within 3 s,
//! other clients are served throughout, and connections stay within their budget.

mod common;

use std::net::TcpStream;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use hoptiller_http::Spawner;

const TIME_LIMIT: Duration = Duration::from_secs(3);

/// The time that the active client waits for its response.
const MAX_WAIT: Duration = Duration::from_millis(1_500);

/// A response up to this long after the client's time is only late; after that, the request counts as lost.
const LATE_LIMIT: Duration = Duration::from_millis(500);

/// Runs abusive clients against a router with 128 descriptors while another client must be served without a failure.
fn run_with_active_client<F: Future<Output = ()>>(
    name: &'static str,
    abusive: impl FnOnce(Rc<hoptiller_platform_router::Router>, std::net::SocketAddr) -> F,
) {
    run_test(async |spawner: Spawner| {
        let (addr, _) = spawn_engine(
            &spawner,
            Rc::new(|_, line| (served_line(&command_id(line)), false)),
        );
        let coordinator = spawn_idle_coordinator(&spawner);
        let file = ConfigFile::new(name, &[(7, addr)], coordinator, 128);
        let (router, listen) = start_router(&file, &spawner);
        let active = async {
            for n in 0u64.. {
                let text =
                    statement_request("lookup", &format!("{n:016x}"), MAX_WAIT.as_millis() as u64);
                let sent = Instant::now();
                assert_eq!(
                    send_request(listen, &text).await.expect("a response").0,
                    200,
                    "active client {n}"
                );
                assert!(
                    sent.elapsed() < MAX_WAIT + LATE_LIMIT,
                    "active client {n}: {:?}",
                    sent.elapsed()
                );
                assert!(
                    router.client_connections() <= router.budget().client_connections,
                    "{}",
                    router.client_connections()
                );
                Timer::after(Duration::from_millis(20)).await;
            }
        };
        future::or(abusive(router.clone(), listen), active).await;
    });
}

/// Reads until the connection ends. Returns the text and the time since `started`.
async fn read_to_end(stream: &mut Async<TcpStream>, started: Instant) -> (String, Duration) {
    let (mut received, mut buffer) = (Vec::new(), [0; 4096]);
    while let Ok(n @ 1..) = stream.read(&mut buffer).await {
        received.extend_from_slice(&buffer[..n]);
    }
    (
        String::from_utf8_lossy(&received).into_owned(),
        started.elapsed(),
    )
}

#[test]
fn pipelined_requests_are_served_one_at_a_time() {
    run_with_active_client("pipelined", async |router, listen| {
        let started = Instant::now();
        let mut client = connect(listen).await;
        let requests: String = (0..300)
            .map(|n| statement_request("lookup", &format!("{:016x}", 0xf000 + n), 1500))
            .collect();
        client
            .write_all(requests.as_bytes())
            .await
            .expect("written");
        let (mut received, mut buffer, mut responses) = (Vec::new(), [0; 4096], 0);
        while responses < 300 {
            let n = client.read(&mut buffer).await.expect("no reset");
            assert!(n > 0, "the connection ended after {responses} responses");
            received.extend_from_slice(&buffer[..n]);
            responses = String::from_utf8_lossy(&received)
                .matches("HTTP/1.1 200")
                .count();
            assert!(
                router.requests_in_flight() <= 2,
                "at most one request of this client and one of the active client"
            );
        }
        assert!(started.elapsed() < TIME_LIMIT, "{:?}", started.elapsed());
    });
}

#[test]
fn slow_bodies_and_oversized_heads_get_an_error_or_a_close_in_time() {
    run_with_active_client("slow", async |_, listen| {
        let started = Instant::now();
        let mut slow_client = connect(listen).await;
        let text = statement_request("lookup", ID, 1500);
        slow_client
            .write_all(&text.as_bytes()[..text.len() - 20])
            .await
            .expect("written");
        let slow_body = async {
            while slow_client.write_all(b"x").await.is_ok() && started.elapsed() < TIME_LIMIT {
                Timer::after(Duration::from_millis(200)).await;
            }
            started.elapsed()
        };
        let oversized_head = async {
            let mut client = connect(listen).await;
            let request = text.replace(
                "Host: h",
                &format!("Host: h\r\nX-Long: {}", "x".repeat(9 << 10)),
            );
            client.write_all(request.as_bytes()).await.expect("written");
            read_to_end(&mut client, Instant::now()).await
        };
        let (elapsed, (response, _)) = future::zip(slow_body, oversized_head).await;
        assert!(elapsed < TIME_LIMIT, "{elapsed:?}");
        assert!(response.starts_with("HTTP/1.1 431"), "{response}");
    });
}

#[test]
fn a_thousand_silent_connections_are_closed_in_time() {
    run_with_active_client("thousand", async |router, listen| {
        let mut open = Vec::new();
        for n in 0..1_000 {
            open.push((connect(listen).await, Instant::now()));
            if n % 50 == 0 {
                // This bounds the number of connections that wait in the kernel's backlog.
                wait_until(|| router.client_connections() < router.budget().client_connections)
                    .await;
            }
        }
        let (mut last, connected_at) = open.pop().expect("one");
        let (_, elapsed) = read_to_end(&mut last, connected_at).await;
        assert!(elapsed < TIME_LIMIT, "{elapsed:?}");
        for (mut stream, connected_at) in open {
            let (text, _) = read_to_end(&mut stream, connected_at).await;
            assert!(text.is_empty(), "{text}");
        }
    });
}

/// Sends a head that never ends, 16 KiB each 50 ms, until the router closes the connection or for twice the time limit,
/// and reads meanwhile. Returns the time up to the response or the close, and the response.
async fn send_endless_head(stream: Async<TcpStream>) -> (Duration, String) {
    let started = Instant::now();
    let send = async {
        let mut part = b"POST /call/lookup HTTP/1.1\r\nHost: h\r\nX-Note: ".to_vec();
        part.resize(16 << 10, b'a');
        while (&stream).write_all(&part).await.is_ok() && started.elapsed() < 2 * TIME_LIMIT {
            part.fill(b'a');
            Timer::after(Duration::from_millis(50)).await;
        }
    };
    let receive = async {
        let mut buffer = [0; 4096];
        let count = (&stream).read(&mut buffer).await.unwrap_or(0);
        let response = String::from_utf8_lossy(&buffer[..count]).into_owned();
        (started.elapsed(), response)
    };
    future::zip(send, receive).await.1
}

/// Guards against rejected clients that keep all places while they go on sending, so that nobody else is accepted.
#[test]
fn endless_messages_of_many_clients_do_not_keep_others_from_being_served() {
    run_with_active_client("endless", async |router, listen| {
        let executor = LocalExecutor::new();
        let clients = 4 * router.budget().client_connections;
        let mut open = Vec::new();
        for _ in 0..clients {
            open.push(executor.spawn(async { send_endless_head(connect(listen).await).await }));
        }
        let all_end = async {
            for client in open {
                let (elapsed, response) = client.await;
                assert!(elapsed < TIME_LIMIT, "{elapsed:?}");
                assert!(
                    response.is_empty() || response.starts_with("HTTP/1.1 431"),
                    "{response}"
                );
            }
        };
        executor.run(all_end).await;
    });
}

/// Sends a complete request, reads its response, and then sends one byte of a second request each 100 ms until the
/// connection is closed. Returns the time from the first of these bytes to the close or to a response.
async fn send_second_request_slowly(mut stream: Async<TcpStream>) -> Duration {
    let ping = b"GET /ping HTTP/1.1\r\nHost: h\r\n\r\n";
    if stream.write_all(ping).await.is_err() || read_response(&mut stream).await.is_none() {
        return Duration::ZERO;
    }
    let started = Instant::now();
    let send = async {
        let mut byte = b"POST /call/".iter().cycle();
        while let Some(byte) = byte.next()
            && (&stream).write_all(&[*byte]).await.is_ok()
        {
            Timer::after(Duration::from_millis(100)).await;
        }
    };
    let receive = async {
        let _ = (&stream).read(&mut [0; 64]).await;
    };
    future::or(send, receive).await;
    started.elapsed()
}

/// Guards against clients whose first request was served and whose second one never becomes complete: they must not keep
/// all places until it times out.
#[test]
fn incomplete_second_requests_of_many_clients_do_not_keep_others_from_being_served() {
    run_with_active_client("second", async |router, listen| {
        let executor = LocalExecutor::new();
        let mut open = Vec::new();
        for _ in 0..4 * router.budget().client_connections {
            open.push(
                executor.spawn(async { send_second_request_slowly(connect(listen).await).await }),
            );
        }
        let all_end = async {
            for client in open {
                let elapsed = client.await;
                assert!(elapsed < TIME_LIMIT, "{elapsed:?}");
            }
        };
        executor.run(all_end).await;
    });
}
