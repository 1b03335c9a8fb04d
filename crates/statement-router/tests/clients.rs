//! Clients that ask twice, ask late, leave, read slowly, and send bytes that are no requests.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use common::{Stage, next_path};
use futures_lite::future;
use hoptiller_audit::Record;
use hoptiller_http::client::Connection;
use hoptiller_http::{Limits, Method, Request, Response};
use hoptiller_mock_servers::client::{ClientOptions, ClientOutcome};
use hoptiller_mock_servers::engine_faults::EngineFaults;
use serde_json::json;

/// One request on a connection of its own.
fn send(stage: &Stage, request: &Request) -> Response {
    future::block_on(async {
        let mut c = Connection::open(stage.addr, Duration::from_secs(2), Limits::default())
            .await
            .expect("open");
        c.exchange(request, Duration::from_secs(10))
            .await
            .expect("an answer")
    })
}

fn post(fields: &[(&str, &str)], body: &str) -> Request {
    let mut request = Request::new(Method::Post, "/v1/statement").with("X-Trino-User", "ann");
    for (name, value) in fields {
        request.headers.push(name, value);
    }
    request.body = body.into();
    request
}

#[test]
fn the_same_token_gives_the_same_answer_on_two_connections_at_once_and_an_old_one_is_gone() {
    let stage = Stage::new(2);
    let mut ask = stage.ask("report", "SELECT 1 /* work=300ms rows=40 pages=4 */");
    ask.options = ClientOptions {
        duplicates_polls: true,
        ..ClientOptions::default()
    };
    let (came, client) = stage.run(&ask);
    assert_eq!(came, ClientOutcome::Served(40));
    // The last answer can be had again, all before it are gone, and none follows.
    let paths: Vec<&String> = client
        .responses()
        .iter()
        .skip(1)
        .map(|received| &received.path)
        .collect();
    let (last, older) = paths.split_last().expect("polled");
    assert_eq!(
        stage.get(last).body,
        client.responses().last().expect("answered").response.body
    );
    assert!(older.iter().all(|path| stage.get(path).status.0 == 410));
    stage.assert_rules_kept();
}

#[test]
fn forged_and_altered_tokens_are_not_found() {
    let stage = Stage::new(1);
    let answer = send(&stage, &post(&[], "SELECT 1 /* work=2s */"));
    let path = next_path(&answer).expect("more to come");
    let info: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
    let course = info["infoUri"]
        .as_str()
        .and_then(|u| u.split_once("/v1"))
        .map(|(_, p)| format!("/v1{p}"));
    let course = course.expect("a course");
    assert_eq!(stage.get(&course).status.0, 200);
    let alter = |path: &str, at: usize| {
        let mut bytes = path.as_bytes().to_vec();
        bytes[at] = if bytes[at] == b'a' { b'b' } else { b'a' };
        String::from_utf8(bytes).expect("text")
    };
    for at in "/v1/statement/".len()..path.len() {
        assert_eq!(stage.get(&alter(&path, at)).status.0, 404, "{at}");
    }
    assert_eq!(stage.get(&alter(&course, course.len() - 1)).status.0, 404);
    let delete = Request::new(Method::Delete, alter(&path, path.len() - 4));
    assert_eq!(send(&stage, &delete).status.0, 404);
    for trick in [
        "/v1/statement/../info",
        "/v1/statement/",
        "/v1/statement//",
        "/v1/query/",
        "/v1/statement/%00",
    ] {
        assert_eq!(stage.get(trick).status.0, 404, "{trick}");
    }
}

#[test]
fn what_a_client_says_wrong_is_told_with_its_place() {
    let stage = Stage::new(1);
    let cases: [(Request, &str); 6] = [
        (
            post(&[("X-Trino-Client-Tags", "class=nonsense")], "SELECT 1"),
            "lookup, report, rent-load",
        ),
        (
            post(
                &[("X-Trino-Session", "query_max_run_time=soon")],
                "SELECT 1",
            ),
            "query_max_run_time",
        ),
        (post(&[], "  "), "empty"),
        (post(&[("X-Trino-Client-Tags", "key=")], "SELECT 1"), "key="),
        (
            Request {
                headers: Default::default(),
                ..post(&[], "SELECT 1")
            },
            "X-Trino-User",
        ),
        (
            Request {
                body: vec![0xff, 0xfe],
                ..post(&[], "")
            },
            "UTF-8",
        ),
    ];
    for (request, wanted) in cases {
        let answer = send(&stage, &request);
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        assert!(
            answer.status.0 == 400 && text.contains(wanted),
            "{} {text}",
            answer.status.0
        );
    }
    assert_eq!(
        send(&stage, &Request::new(Method::Put, "/v1/statement"))
            .status
            .0,
        405
    );
    let big = Request {
        body: vec![b'x'; 2 << 20],
        ..post(&[], "")
    };
    assert_eq!(send(&stage, &big).status.0, 413);
    assert_eq!(stage.info()["openStatements"], json!(0));
}

#[test]
fn a_client_that_leaves_has_its_work_withdrawn_where_engines_allow() {
    for cancel in [true, false] {
        let change = |v: &mut serde_json::Value| {
            v["engines"]["cancel"] = json!(cancel);
            v["limits"]["abandon_after"] = json!("600ms");
        };
        let stage = Stage::with(1, change, |e| e.work_model.cancel_stops_work = cancel);
        let mut ask = stage.ask("report", "SELECT 1 /* work=4s threads=2 */");
        ask.options.abandon_after = Some(2);
        let (came, client) = stage.run(&ask);
        assert_eq!(came, ClientOutcome::Abandoned);
        stage.wait_for("the statement to be let go", |info| {
            info["openStatements"] == json!(0)
        });
        let done = || {
            stage
                .records()
                .iter()
                .any(|r| matches!(r, Record::Done { trace, .. } if *trace == ask.trace))
        };
        if cancel {
            stage.wait_for("its work to be withdrawn", |info| {
                info["attemptsUnderWay"] == json!(0)
            });
            assert!(done(), "the engine has stopped it");
        } else {
            assert!(!done(), "the engine goes on");
            assert_eq!(
                stage.info()["attemptsUnderWay"],
                json!(1),
                "its place is still counted"
            );
        }
        // One who comes back is told what became of it.
        let next = next_path(&client.responses().last().expect("answers").response).expect("more");
        let answer = stage.get(&next);
        assert!(String::from_utf8_lossy(&answer.body).contains("ABANDONED_QUERY"));
        stage.assert_rules_kept();
    }
}

#[test]
fn a_client_that_ends_its_statement_is_heard() {
    let change = |v: &mut serde_json::Value| v["engines"]["cancel"] = json!(true);
    let stage = Stage::with(1, change, |e| e.work_model.cancel_stops_work = true);
    let mut ask = stage.ask("report", "SELECT 1 /* work=4s threads=2 */");
    ask.options.cancel_after = Some(2);
    assert_eq!(stage.run(&ask).0, ClientOutcome::Abandoned);
    stage.wait_for("its work to be withdrawn", |info| {
        info["attemptsUnderWay"] == json!(0)
    });
    assert_eq!(stage.info()["openStatements"], json!(0));
    stage.assert_rules_kept();
}

#[test]
fn a_large_result_read_slowly_takes_little_memory() {
    const PAGE: u64 = 100 * (1000 + 12);
    let change = |v: &mut serde_json::Value| v["limits"]["page_bytes"] = json!(1 << 20);
    let stage = Stage::with(1, change, |_| {});
    let mut ask = stage.ask(
        "report",
        "SELECT 1 /* work=5ms rows=2000 pages=20 width=1000 */",
    );
    ask.options.poll_delay = Duration::from_millis(25);
    let most = std::thread::scope(|s| {
        let run = s.spawn(|| stage.run(&ask).0);
        let mut most = 0;
        while !run.is_finished() {
            most = most.max(stage.info()["heldBytes"].as_u64().expect("a number"));
            std::thread::sleep(Duration::from_millis(5));
        }
        assert_eq!(run.join().expect("ends"), ClientOutcome::Served(2000));
        most
    });
    assert!(
        (1..=2 * PAGE).contains(&most),
        "{most} bytes held of a result of {}",
        20 * PAGE
    );
    assert_eq!(stage.info()["heldBytes"], json!(0));
}

#[test]
fn pages_are_fetched_only_while_there_is_room_for_all() {
    let change = |v: &mut serde_json::Value| {
        v["limits"]["page_bytes"] = json!(200_000);
        v["limits"]["held_bytes"] = json!(300_000);
    };
    let stage = Stage::with(2, change, |_| {});
    let asks: Vec<_> = (0..6)
        .map(|n| {
            let mut ask = stage.ask(
                "lookup",
                &format!("SELECT {n} /* work=5ms rows=1000 pages=10 width=1000 */"),
            );
            ask.options.poll_delay = Duration::from_millis(15);
            ask
        })
        .collect();
    std::thread::scope(|s| {
        let runs: Vec<_> = asks
            .iter()
            .map(|ask| s.spawn(|| stage.run(ask).0))
            .collect();
        while runs.iter().any(|r| !r.is_finished()) {
            // First pages come without asking; what is fetched ahead is bounded.
            let held = stage.info()["heldBytes"].as_u64().expect("a number");
            assert!(held < 300_000 + 6 * 110_000, "{held}");
            std::thread::sleep(Duration::from_millis(5));
        }
        for run in runs {
            assert_eq!(run.join().expect("ends"), ClientOutcome::Served(1000));
        }
    });
}

#[test]
fn the_table_is_bounded_and_says_when_to_come_back() {
    let change = |v: &mut serde_json::Value| v["limits"]["statements"] = json!(3);
    let stage = Stage::with(1, change, |_| {});
    for _ in 0..3 {
        assert_eq!(
            send(&stage, &post(&[], "SELECT 1 /* work=3s */")).status.0,
            200
        );
    }
    let turned = send(&stage, &post(&[], "SELECT 1"));
    assert_eq!(
        (turned.status.0, turned.headers.get("retry-after")),
        (429, Some("2"))
    );
}

/// What a raw connection gets for some bytes: the status line, or nothing where it was closed.
fn raw(stage: &Stage, bytes: &[u8]) -> String {
    let mut s = TcpStream::connect(stage.addr).expect("connected");
    s.set_read_timeout(Some(Duration::from_secs(20)))
        .expect("set");
    let _ = s.write_all(bytes);
    let _ = s.shutdown(std::net::Shutdown::Write);
    let mut got = Vec::new();
    let _ = s.read_to_end(&mut got);
    String::from_utf8_lossy(&got)
        .lines()
        .next()
        .unwrap_or_default()
        .to_owned()
}

#[test]
fn hostile_bytes_get_an_error_or_a_closed_connection_and_others_are_served() {
    let stage = Stage::new(1);
    let head = "POST /v1/statement HTTP/1.1\r\nHost: h\r\nX-Trino-User: a\r\n";
    let hostile: Vec<(Vec<u8>, &str)> = vec![
        (
            format!("{head}Content-Length: 8\r\nContent-Length: 9\r\n\r\nSELECT 1").into(),
            "400",
        ),
        (
            format!("{head}Content-Length: 8\r\nTransfer-Encoding: chunked\r\n\r\nSELECT 1").into(),
            "400",
        ),
        (
            format!("{head}Transfer-Encoding: chunked\r\n\r\nzz\r\nSELECT 1\r\n0\r\n\r\n").into(),
            "400",
        ),
        (
            format!("{head}Transfer-Encoding: chunked\r\n\r\nfffffffffffffff\r\nx").into(),
            "413",
        ),
        (
            format!("{head}X: {}\r\n\r\n", "y".repeat(40_000)).into(),
            "431",
        ),
        (
            format!("{head}{}\r\n", "X: y\r\n".repeat(500)).into(),
            "431",
        ),
        (b"GET /v1/info HTTP/1.1\nHost: h\n\n".to_vec(), "400"),
        (
            b"GET /v1/\xc3\x28 HTTP/1.1\r\nHost: h\r\n\r\n".to_vec(),
            "400",
        ),
        (
            b"GET ../../etc/passwd HTTP/1.1\r\nHost: h\r\n\r\n".to_vec(),
            "400",
        ),
        (
            b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03".to_vec(),
            "400",
        ),
        (
            format!("{head}Content-Length: 80\r\n\r\nSELECT").into(),
            "400",
        ),
        (b"GET /v1/info HTTP/1.1\r\nHo".to_vec(), "400"),
        (Vec::new(), ""),
    ];
    for (at, (bytes, status)) in hostile.iter().enumerate() {
        let line = raw(&stage, bytes);
        let wanted = if status.is_empty() {
            line.is_empty()
        } else {
            line.contains(status)
        };
        assert!(wanted, "case {at}: {line:?}");
    }
    assert_eq!(
        stage.info()["openStatements"],
        json!(0),
        "nothing of it was taken"
    );
    assert!(matches!(
        stage.run(&stage.ask("lookup", "SELECT 1 /* work=5ms */")).0,
        ClientOutcome::Served(_)
    ));
}

#[test]
fn a_thousand_half_requests_hold_nobody_up_and_are_closed_in_time() {
    // Both ends of each connection are in this process.
    let had = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    let raised = rustix::process::Rlimit {
        current: had.maximum,
        maximum: had.maximum,
    };
    rustix::process::setrlimit(rustix::process::Resource::Nofile, raised).expect("raised");
    let stage = Stage::new(1);
    let mut half: Vec<TcpStream> = (0..1000)
        .map(|_| {
            let mut s = TcpStream::connect(stage.addr).expect("connected");
            s.write_all(b"POST /v1/statement HTTP/1.1\r\nHost: h\r\nContent-Le")
                .expect("written");
            s
        })
        .collect();
    for n in 0..5 {
        let ask = stage.ask("lookup", &format!("SELECT {n} /* work=5ms */"));
        assert!(matches!(stage.run(&ask).0, ClientOutcome::Served(_)));
    }
    // A byte now and then does not prolong it: the limit is for the whole request.
    for s in &mut half {
        s.set_read_timeout(Some(Duration::from_secs(60)))
            .expect("set");
        let _ = s.write_all(b"n");
    }
    let closed = half
        .iter_mut()
        .all(|s| matches!(s.read(&mut [0; 64]), Ok(0) | Err(_)));
    assert!(closed);
    assert!(matches!(
        stage.run(&stage.ask("lookup", "SELECT 1 /* work=5ms */")).0,
        ClientOutcome::Served(_)
    ));
}

#[test]
fn a_statement_tells_its_whole_course() {
    let stage = Stage::new(2);
    stage.engines[0].inject_faults(EngineFaults {
        drop_submission: true,
        ..EngineFaults::default()
    });
    stage.engines[1].inject_faults(EngineFaults {
        drop_submission: true,
        ..EngineFaults::default()
    });
    let ask = stage.ask("rent-load", "INSERT /* work=5ms */");
    let (came, client) = stage.run(&ask);
    assert!(matches!(came, ClientOutcome::Failed(_)));
    let last: serde_json::Value =
        serde_json::from_slice(&client.responses().last().expect("answers").response.body)
            .expect("JSON");
    let uri = last["infoUri"].as_str().expect("a course").to_owned();
    let path = &uri[uri.find("/v1").expect("a path")..];
    let course: serde_json::Value = serde_json::from_slice(&stage.get(path).body).expect("JSON");
    assert_eq!(
        (&course["class"], &course["state"]),
        (&json!("rent-load"), &json!("failed"))
    );
    assert_eq!(
        course["attempts"][0]["ending"],
        json!("connection broken; it may have run")
    );
    assert_eq!(course["attempts"].as_array().map(Vec::len), Some(1));
}

#[test]
fn what_comes_in_is_bounded_over_all_connections() {
    let change = |v: &mut serde_json::Value| {
        v["limits"]["statement_bytes"] = json!(1 << 20);
        v["limits"]["incoming_bytes"] = json!(2 << 20);
    };
    let stage = Stage::with(1, change, |_| {});
    let head = "POST /v1/statement HTTP/1.1\r\nHost: h\r\nX-Trino-User: a\r\nContent-Length: 1000000\r\n\r\n";
    // Each sends most of a large statement, and holds the rest back.
    let mut half: Vec<TcpStream> = (0..6)
        .map(|_| {
            let mut s = TcpStream::connect(stage.addr).expect("connected");
            s.set_read_timeout(Some(Duration::from_secs(60)))
                .expect("set");
            let _ = s
                .write_all(head.as_bytes())
                .and_then(|()| s.write_all(&vec![b'x'; 900_000]));
            s
        })
        .collect();
    let answers: Vec<String> = half
        .iter_mut()
        .map(|s| {
            let mut got = Vec::new();
            let _ = s.read_to_end(&mut got);
            String::from_utf8_lossy(&got)
                .lines()
                .next()
                .unwrap_or_default()
                .to_owned()
        })
        .collect();
    let turned = answers.iter().filter(|a| a.contains("503")).count();
    assert_eq!(
        turned, 4,
        "two have room, until their time is over: {answers:?}"
    );
    assert!(matches!(
        stage.run(&stage.ask("lookup", "SELECT 1 /* work=5ms */")).0,
        ClientOutcome::Served(_)
    ));
}
