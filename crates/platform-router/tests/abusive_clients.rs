//! Clients that send too much, too slowly, or nothing: each gets a response or a close within 3 s, others are served
//! throughout, and connections stay within their budget.

mod common;

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use hoptiller_http::Spawner;

const DUE: Duration = Duration::from_secs(3);

/// Runs clients against a router with 128 descriptors, while another client is served without a failure.
fn run_with_active_client<F: Future<Output = ()>>(
    name: &'static str,
    abusive: impl FnOnce(Rc<hoptiller_platform_router::Router>, std::net::SocketAddr) -> F,
) {
    run_test(async |ex: Spawner| {
        let (addr, _) = spawn_engine(
            &ex,
            Rc::new(|_, line| (served_line(&command_id(line)), false)),
        );
        let coordinator = spawn_idle_coordinator(&ex);
        let file = ConfigFile::new(name, &[(7, addr)], coordinator, 128);
        let (router, listen) = start_router(&file, &ex);
        let active = async {
            for n in 0u64.. {
                let text = statement_request("lookup", &format!("{n:016x}"), 1500);
                assert_eq!(
                    send_request(listen, &text).await.expect("an answer").0,
                    200,
                    "active client {n}"
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

/// Reads to the end, and how long that took from `began`.
async fn read_to_end(
    stream: &mut async_io::Async<std::net::TcpStream>,
    began: Instant,
) -> (String, Duration) {
    let (mut all, mut part) = (Vec::new(), [0; 4096]);
    while let Ok(n @ 1..) = stream.read(&mut part).await {
        all.extend_from_slice(&part[..n]);
    }
    (String::from_utf8_lossy(&all).into_owned(), began.elapsed())
}

#[test]
fn pipelined_requests_are_served_one_at_a_time() {
    run_with_active_client("pipelined", async |router, listen| {
        let began = Instant::now();
        let mut client = connect(listen).await;
        let all: String = (0..300)
            .map(|n| statement_request("lookup", &format!("{:016x}", 0xf000 + n), 1500))
            .collect();
        client.write_all(all.as_bytes()).await.expect("taken");
        let (mut all, mut part, mut answers) = (Vec::new(), [0; 4096], 0);
        while answers < 300 {
            let n = client.read(&mut part).await.expect("no reset");
            assert!(n > 0, "an end after {answers} answers");
            all.extend_from_slice(&part[..n]);
            answers = String::from_utf8_lossy(&all)
                .matches("HTTP/1.1 200")
                .count();
            assert!(
                router.requests_in_flight() <= 2,
                "one at a time, beside that of a usual client"
            );
        }
        assert!(began.elapsed() < DUE, "{:?}", began.elapsed());
    });
}

#[test]
fn slow_bodies_and_oversized_heads_get_an_error_or_a_close_in_time() {
    run_with_active_client("slow", async |_, listen| {
        let began = Instant::now();
        let mut trickles = connect(listen).await;
        let text = statement_request("lookup", ID, 1500);
        trickles
            .write_all(&text.as_bytes()[..text.len() - 20])
            .await
            .expect("written");
        let byte = async {
            while trickles.write_all(b"x").await.is_ok() && began.elapsed() < DUE {
                Timer::after(Duration::from_millis(200)).await;
            }
            began.elapsed()
        };
        let head = async {
            let mut client = connect(listen).await;
            let long = text.replace(
                "Host: h",
                &format!("Host: h\r\nX-Long: {}", "x".repeat(9 << 10)),
            );
            client.write_all(long.as_bytes()).await.expect("written");
            read_to_end(&mut client, Instant::now()).await
        };
        let (took, (answer, _)) = future::zip(byte, head).await;
        assert!(took < DUE, "{took:?}");
        assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    });
}

#[test]
fn a_thousand_silent_connections_are_closed_in_time() {
    run_with_active_client("thousand", async |router, listen| {
        let mut open = Vec::new();
        for n in 0..1_000 {
            open.push((connect(listen).await, Instant::now()));
            if n % 50 == 0 {
                // So many at most wait in the kernel's queue.
                wait_until(|| router.client_connections() < router.budget().client_connections)
                    .await;
            }
        }
        let (mut last, at) = open.pop().expect("one");
        let (_, took) = read_to_end(&mut last, at).await;
        assert!(took < DUE, "{took:?}");
        for (mut stream, at) in open {
            let (text, _) = read_to_end(&mut stream, at).await;
            assert!(text.is_empty(), "{text}");
        }
    });
}
