//! Clients that send too much, too slowly, or nothing: each gets an answer or a close within 3 s, usual ones are served
//! throughout, and connections stay within their budget.

mod common;

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use common::*;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use hoptiller_http::Spawner;

const ID: &str = "9b1f03aa5c7e2d41";
const DUE: Duration = Duration::from_secs(3);

/// A router of 128 descriptors before an engine that serves all.
fn scene<F: Future<Output = ()>>(
    name: &'static str,
    bad: impl FnOnce(Rc<hoptiller_platform_router::Router>, std::net::SocketAddr) -> F,
) {
    play(async |ex: Spawner| {
        let (addr, _) = engine(&ex, Rc::new(|_, line| (served(&id_of(line)), false)));
        let (coordinator, _) = coordinator(&ex, Rc::new(|_, _| (Vec::new(), false)));
        let file = File::new(name, &[(7, addr)], coordinator, 128);
        let (node, listen) = router(&file, &ex);
        let usual = async {
            for n in 0u64.. {
                let text = request("lookup", &format!("{n:016x}"), 1500);
                assert_eq!(
                    ask(listen, &text).await.expect("an answer").0,
                    200,
                    "usual client {n}"
                );
                assert!(
                    node.client_connections() <= node.budget().client_connections,
                    "{}",
                    node.client_connections()
                );
                Timer::after(Duration::from_millis(20)).await;
            }
        };
        future::or(bad(node.clone(), listen), usual).await;
    });
}

/// Reads to the end, and how long that took from `began`.
async fn end_of(
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
fn hundreds_of_requests_in_one_write_get_answers_one_after_the_other() {
    scene("pipelined", async |node, listen| {
        let began = Instant::now();
        let mut client = connect(listen).await;
        let all: String = (0..300)
            .map(|n| request("lookup", &format!("{:016x}", 0xf000 + n), 1500))
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
                node.requests_in_flight() <= 2,
                "one at a time, beside that of a usual client"
            );
        }
        assert!(began.elapsed() < DUE, "{:?}", began.elapsed());
    });
}

#[test]
fn a_body_that_trickles_and_a_head_past_the_limit_get_an_error_or_a_close_in_time() {
    scene("slow", async |_, listen| {
        let began = Instant::now();
        let mut trickles = connect(listen).await;
        let text = request("lookup", ID, 1500);
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
            end_of(&mut client, Instant::now()).await
        };
        let (took, (answer, _)) = future::zip(byte, head).await;
        assert!(took < DUE, "{took:?}");
        assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
    });
}

#[test]
fn a_thousand_silent_connections_are_closed_in_time() {
    scene("thousand", async |node, listen| {
        let mut open = Vec::new();
        for n in 0..1_000 {
            open.push((connect(listen).await, Instant::now()));
            if n % 50 == 0 {
                // So many at most wait in the kernel's queue.
                until(|| node.client_connections() < node.budget().client_connections).await;
            }
        }
        let (mut last, at) = open.pop().expect("one");
        let (_, took) = end_of(&mut last, at).await;
        assert!(took < DUE, "{took:?}");
        for (mut stream, at) in open {
            let (text, _) = end_of(&mut stream, at).await;
            assert!(text.is_empty(), "{text}");
        }
    });
}
