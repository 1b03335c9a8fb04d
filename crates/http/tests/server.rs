//! Crossings at a server: its end while connections wait in the kernel, and peers that send without end.

use std::cell::Cell;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::{AsyncReadExt, future};
use hoptiller_http::gate::Gate;
use hoptiller_http::server::{Config, Handler, Reply, bind, serve_until};
use hoptiller_http::{Response, Spawner};

const GET: &[u8] = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n";

/// A server whose answers wait for `release`; it stops at `stop`.
struct Scene {
    addr: std::net::SocketAddr,
    gate: Rc<Gate>,
    asked: Rc<Cell<usize>>,
    release: Rc<Event>,
    stop: Rc<Event>,
    ended: Rc<Cell<bool>>,
}

fn play<F: Future<Output = ()>>(connections: usize, scene: impl FnOnce(Scene) -> F) {
    let ex = Rc::new(LocalExecutor::new());
    let listener = bind(([127, 0, 0, 1], 0).into()).expect("bound");
    let addr = listener.get_ref().local_addr().expect("bound");
    let (gate, asked) = (Rc::new(Gate::new(connections)), Rc::new(Cell::new(0)));
    let (release, stop, ended) = (
        Rc::new(Event::new()),
        Rc::new(Event::new()),
        Rc::new(Cell::new(false)),
    );
    let (count, wait) = (asked.clone(), release.clone());
    let handler: Handler = Rc::new(move |_| {
        count.set(count.get() + 1);
        let released = wait.listen();
        Box::pin(async move {
            released.await;
            Reply::Send(Response::text(200, "ok"))
        })
    });
    let config = Config {
        connections,
        watch: true,
        linger: Duration::from_secs(60),
        ..Config::default()
    };
    let (spawner, at, told, done) = (Spawner::of(&ex), gate.clone(), stop.listen(), ended.clone());
    Spawner::of(&ex).spawn(async move {
        serve_until(listener, config, handler, spawner, &at, told).await;
        done.set(true);
    });
    let scene = scene(Scene {
        addr,
        gate,
        asked,
        release,
        stop,
        ended,
    });
    async_io::block_on(ex.run(future::or(scene, async {
        Timer::after(Duration::from_secs(20)).await;
        panic!("the scene hangs");
    })));
}

async fn until(seen: impl Fn() -> bool) {
    while !seen() {
        Timer::after(Duration::from_millis(2)).await;
    }
}

/// Connects and sends a request in one step, in which the server's task does not run.
fn asks(addr: std::net::SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(addr).expect("the kernel accepts");
    stream.write_all(GET).expect("written");
    stream
}

async fn answer(stream: TcpStream) -> std::io::Result<String> {
    let mut stream = Async::new(stream)?;
    let (mut bytes, mut part) = (Vec::new(), [0; 512]);
    while !bytes.ends_with(b"ok\n") {
        match stream.read(&mut part).await? {
            0 => break,
            n => bytes.extend_from_slice(&part[..n]),
        }
    }
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

#[test]
fn what_waits_in_the_kernel_when_the_server_stops_is_served_before_its_listener_goes() {
    play(1, async |s| {
        let first = asks(s.addr);
        until(|| s.asked.get() == 1).await;
        // All places are taken: these wait in the kernel, with their requests.
        let waiting = [asks(s.addr), asks(s.addr)];
        s.gate.announce_end();
        s.stop.notify(1);
        let releases = async {
            loop {
                s.release.notify(usize::MAX);
                Timer::after(Duration::from_millis(5)).await;
            }
        };
        let answers = async {
            for stream in [first].into_iter().chain(waiting) {
                let text = answer(stream).await.expect("an answer, and no reset");
                assert!(
                    text.starts_with("HTTP/1.1 200") && text.contains("Connection: close"),
                    "{text}"
                );
            }
            until(|| s.ended.get() && s.gate.counts().0 == 0).await;
        };
        future::or(answers, releases).await;
    });
}

#[test]
fn a_peer_that_sends_without_end_behind_its_request_holds_up_nobody() {
    play(8, async |s| {
        let (addr, floods) = (
            s.addr,
            std::sync::Arc::new(std::sync::atomic::AtomicBool::new(true)),
        );
        let goes_on = floods.clone();
        let flood = std::thread::spawn(move || {
            let mut stream = asks(addr);
            let part = vec![b'x'; 256 << 10];
            // Bounded: 16 GiB at most, and the scene ends long before.
            for _ in 0..65_536 {
                if !goes_on.load(std::sync::atomic::Ordering::Relaxed)
                    || stream.write_all(&part).is_err()
                {
                    break;
                }
            }
        });
        until(|| s.asked.get() == 1).await;
        for n in 2..22 {
            let other = asks(s.addr);
            until(|| s.asked.get() == n).await;
            drop(other);
        }
        // It still is at work, and is seen to go.
        assert!(s.gate.counts().1 >= 1);
        floods.store(false, std::sync::atomic::Ordering::Relaxed);
        until(|| s.gate.counts().0 == 0).await;
        flood.join().expect("ended");
    });
}

#[test]
fn a_request_is_answered_though_its_client_closes_its_sending_side_only_after_the_answer() {
    play(2, async |s| {
        let mut stream = asks(s.addr);
        until(|| s.asked.get() == 1).await;
        s.release.notify(usize::MAX);
        let text = answer(stream.try_clone().expect("a copy"))
            .await
            .expect("an answer");
        assert!(
            text.starts_with("HTTP/1.1 200") && !text.contains("Connection: close"),
            "{text}"
        );
        stream.set_nonblocking(false).expect("blocking");
        stream.shutdown(std::net::Shutdown::Write).expect("shut");
        until(|| s.gate.counts().0 == 0).await;
        assert_eq!(stream.read(&mut [0; 8]).expect("an end"), 0);
    });
}

#[test]
fn a_client_that_closes_its_sending_side_while_it_waits_has_left() {
    play(2, async |s| {
        let stream = asks(s.addr);
        until(|| s.asked.get() == 1).await;
        stream.shutdown(std::net::Shutdown::Write).expect("shut");
        // Nothing was released: its handler was dropped.
        until(|| s.gate.counts().0 == 0).await;
    });
}

#[test]
fn a_client_that_waits_for_the_end_behind_an_error_answer_sees_it_while_it_is_still_read_from() {
    play(2, async |s| {
        let mut stream = TcpStream::connect(s.addr).expect("connected");
        stream.write_all(b"no request\r\n\r\n").expect("written");
        let mut read = Async::new(stream.try_clone().expect("a copy")).expect("usable");
        let mut all = Vec::new();
        read.read_to_end(&mut all)
            .await
            .expect("an end, and no reset");
        assert!(
            all.starts_with(b"HTTP/1.1 400"),
            "{}",
            String::from_utf8_lossy(&all)
        );
        assert_eq!(s.gate.counts(), (1, 1), "it is still read from");
        drop((stream, read));
        until(|| s.gate.counts().0 == 0).await;
    });
}
