//! Tests of clients that poll twice, poll late, leave, read slowly, and send malformed requests.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use common::{ClientOptions, ClientOutcome, TestCluster, next_path, parse_json, path_of};
use hoptiller_audit::Record;
use hoptiller_http::{Method, Request};
use hoptiller_mock_servers::engine_faults::EngineFaults;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use serde_json::{Value, json};

/// Time limit for a router to close a connection on a loaded machine.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

fn post(fields: &[(&str, &str)], body: &str) -> Request {
    let mut request =
        Request::new(Method::Post, "/v1/statement").with_header("X-Trino-User", "ann");
    for (name, value) in fields {
        request.headers.push(name, value);
    }
    request.body = body.into();
    request
}

/// Returns the path of the history of a statement.
fn history_path(results: &Value) -> String {
    let uri = results["infoUri"].as_str().expect("an infoUri");
    path_of(uri).expect("a path")
}

#[test]
fn concurrent_polls_of_a_token_get_the_same_response_and_an_older_token_is_gone() {
    let cluster = TestCluster::new(2);
    let mut request = cluster.request("report", "SELECT 1 /* work=300ms rows=40 pages=4 */");
    request.options = ClientOptions {
        duplicates_polls: true,
        ..ClientOptions::default()
    };
    let (outcome, client) = cluster.run_with_client(&request);
    assert_eq!(outcome, ClientOutcome::Served(40));
    // The last response can be polled again; all before it are gone.
    let paths: Vec<&String> = client
        .responses()
        .iter()
        .skip(1)
        .map(|received| &received.path)
        .collect();
    let (last, older) = paths.split_last().expect("polled");
    assert_eq!(
        cluster.get(last).body,
        client.responses().last().expect("answered").response.body
    );
    assert!(older.iter().all(|path| cluster.get(path).status.0 == 410));
    cluster.assert_rules_kept();
}

#[test]
fn forged_and_altered_tokens_are_not_found() {
    let cluster = TestCluster::new(1);
    let response = cluster.exchange(&post(&[], "SELECT 1 /* work=2s */"));
    let path = next_path(&response).expect("a nextUri");
    let history = history_path(&parse_json(&response));
    assert_eq!(cluster.get(&history).status.0, 200);
    let alter = |path: &str, at: usize| {
        let mut bytes = path.as_bytes().to_vec();
        bytes[at] = if bytes[at] == b'a' { b'b' } else { b'a' };
        String::from_utf8(bytes).expect("text")
    };
    for at in "/v1/statement/".len()..path.len() {
        assert_eq!(cluster.get(&alter(&path, at)).status.0, 404, "{at}");
    }
    assert_eq!(
        cluster.get(&alter(&history, history.len() - 1)).status.0,
        404
    );
    let delete = Request::new(Method::Delete, alter(&path, path.len() - 4));
    assert_eq!(cluster.exchange(&delete).status.0, 404);
    for invalid in [
        "/v1/statement/../info",
        "/v1/statement/",
        "/v1/statement//",
        "/v1/query/",
        "/v1/statement/%00",
    ] {
        assert_eq!(cluster.get(invalid).status.0, 404, "{invalid}");
    }
}

#[test]
fn an_invalid_request_is_rejected_with_the_reason() {
    let cluster = TestCluster::new(1);
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
    for (request, expected) in cases {
        let response = cluster.exchange(&request);
        let text = String::from_utf8_lossy(&response.body);
        assert_eq!(response.status.0, 400, "{text}");
        assert!(text.contains(expected), "{text}");
    }
    assert_eq!(
        cluster
            .exchange(&Request::new(Method::Put, "/v1/statement"))
            .status
            .0,
        405
    );
    let big = Request {
        body: vec![b'x'; 2 << 20],
        ..post(&[], "")
    };
    assert_eq!(cluster.exchange(&big).status.0, 413);
    assert_eq!(cluster.info()["openStatements"], json!(0));
}

#[test]
fn the_statement_of_a_client_that_left_is_cancelled_where_engines_support_it() {
    for cancel in [true, false] {
        let change = |v: &mut Value| {
            v["engines"]["cancel"] = json!(cancel);
            v["limits"]["abandon_after"] = json!("600ms");
        };
        let cluster =
            TestCluster::with_config(1, change, |e| e.work_model.cancel_stops_work = cancel);
        let mut request = cluster.request("report", "SELECT 1 /* work=4s threads=2 */");
        request.options.abandon_after = Some(2);
        let (outcome, client) = cluster.run_with_client(&request);
        assert_eq!(outcome, ClientOutcome::Abandoned);
        cluster.wait_for_info("the statement to be released", |info| {
            info["openStatements"] == json!(0)
        });
        let is_done = || {
            let is_end = |record: &Record| matches!(record, Record::Done { trace, .. } if *trace == request.trace);
            cluster.records().iter().any(is_end)
        };
        if cancel {
            cluster.wait_for_info("its work to be cancelled", |info| {
                info["attemptsUnderWay"] == json!(0)
            });
            assert!(is_done(), "the engine has stopped it");
        } else {
            assert!(!is_done(), "the engine goes on");
            assert_eq!(
                cluster.info()["attemptsUnderWay"],
                json!(1),
                "it still counts as in flight"
            );
        }
        // A client that polls again gets the final response.
        let next =
            next_path(&client.responses().last().expect("a response").response).expect("a nextUri");
        let response = cluster.get(&next);
        assert!(String::from_utf8_lossy(&response.body).contains("ABANDONED_QUERY"));
        cluster.assert_rules_kept();
    }
}

#[test]
fn a_client_can_cancel_its_statement() {
    let change = |v: &mut Value| v["engines"]["cancel"] = json!(true);
    let cluster = TestCluster::with_config(1, change, |e| e.work_model.cancel_stops_work = true);
    let mut request = cluster.request("report", "SELECT 1 /* work=4s threads=2 */");
    request.options.cancel_after = Some(2);
    assert_eq!(cluster.run(&request), ClientOutcome::Abandoned);
    cluster.wait_for_info("its work to be cancelled", |info| {
        info["attemptsUnderWay"] == json!(0)
    });
    assert_eq!(cluster.info()["openStatements"], json!(0));
    cluster.assert_rules_kept();
}

#[test]
fn a_large_result_read_slowly_takes_little_memory() {
    const PAGE_BYTES: u64 = 100 * (1000 + 12);
    let change = |v: &mut Value| v["limits"]["page_bytes"] = json!(1 << 20);
    let cluster = TestCluster::with_config(1, change, |_| {});
    let mut request = cluster.request(
        "report",
        "SELECT 1 /* work=5ms rows=2000 pages=20 width=1000 */",
    );
    request.options.poll_delay = Duration::from_millis(25);
    let max_held = std::thread::scope(|s| {
        let run = s.spawn(|| cluster.run(&request));
        let mut max_held = 0;
        while !run.is_finished() {
            max_held = max_held.max(cluster.info()["heldBytes"].as_u64().expect("a number"));
            std::thread::sleep(Duration::from_millis(5));
        }
        assert_eq!(run.join().expect("ends"), ClientOutcome::Served(2000));
        max_held
    });
    assert!(
        (1..=2 * PAGE_BYTES).contains(&max_held),
        "{max_held} bytes held of a result of {}",
        20 * PAGE_BYTES
    );
    assert_eq!(cluster.info()["heldBytes"], json!(0));
}

#[test]
fn pages_are_fetched_only_while_the_buffers_have_room() {
    let change = |v: &mut Value| {
        v["limits"]["page_bytes"] = json!(200_000);
        v["limits"]["held_bytes"] = json!(300_000);
    };
    let cluster = TestCluster::with_config(2, change, |_| {});
    let requests: Vec<_> = (0..6)
        .map(|n| {
            let mut request = cluster.request(
                "lookup",
                &format!("SELECT {n} /* work=5ms rows=1000 pages=10 width=1000 */"),
            );
            request.options.poll_delay = Duration::from_millis(15);
            request
        })
        .collect();
    std::thread::scope(|s| {
        let runs: Vec<_> = requests
            .iter()
            .map(|request| s.spawn(|| cluster.run(request)))
            .collect();
        while runs.iter().any(|r| !r.is_finished()) {
            // The limit applies to pages that are fetched ahead, not to first pages.
            let held = cluster.info()["heldBytes"].as_u64().expect("a number");
            assert!(held < 300_000 + 6 * 110_000, "{held}");
            std::thread::sleep(Duration::from_millis(5));
        }
        for run in runs {
            assert_eq!(run.join().expect("ends"), ClientOutcome::Served(1000));
        }
    });
}

#[test]
fn statements_beyond_the_limit_are_rejected_with_retry_after() {
    let change = |v: &mut Value| v["limits"]["statements"] = json!(3);
    let cluster = TestCluster::with_config(1, change, |_| {});
    for _ in 0..3 {
        assert_eq!(
            cluster
                .exchange(&post(&[], "SELECT 1 /* work=3s */"))
                .status
                .0,
            200
        );
    }
    let rejected = cluster.exchange(&post(&[], "SELECT 1"));
    assert_eq!(
        (rejected.status.0, rejected.headers.get("retry-after")),
        (429, Some("2"))
    );
}

fn connect(cluster: &TestCluster) -> TcpStream {
    let stream = TcpStream::connect(cluster.addr).expect("connected");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("set");
    stream
}

/// Returns the status line that a connection receives until it is closed, or an empty string if there is none.
fn read_status_line(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received);
    let text = String::from_utf8_lossy(&received);
    text.lines().next().unwrap_or_default().to_owned()
}

/// Returns the status line of the response to these bytes.
fn send_bytes(cluster: &TestCluster, bytes: &[u8]) -> String {
    let mut stream = connect(cluster);
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(Shutdown::Write);
    read_status_line(&mut stream)
}

/// Returns malformed requests with the status of their responses, empty if there is no response.
fn malformed_requests() -> Vec<(Vec<u8>, &'static str)> {
    let head = "POST /v1/statement HTTP/1.1\r\nHost: h\r\nX-Trino-User: a\r\n";
    let with_head = |rest: &str| format!("{head}{rest}").into_bytes();
    let long_field = format!("X: {}\r\n\r\n", "y".repeat(40_000));
    let many_fields = format!("{}\r\n", "X: y\r\n".repeat(500));
    vec![
        (
            with_head("Content-Length: 8\r\nContent-Length: 9\r\n\r\nSELECT 1"),
            "400",
        ),
        (
            with_head("Content-Length: 8\r\nTransfer-Encoding: chunked\r\n\r\nSELECT 1"),
            "400",
        ),
        (
            with_head("Transfer-Encoding: chunked\r\n\r\nzz\r\nSELECT 1\r\n0\r\n\r\n"),
            "400",
        ),
        (
            with_head("Transfer-Encoding: chunked\r\n\r\nfffffffffffffff\r\nx"),
            "413",
        ),
        (with_head(&long_field), "431"),
        (with_head(&many_fields), "431"),
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
        (with_head("Content-Length: 80\r\n\r\nSELECT"), "400"),
        (b"GET /v1/info HTTP/1.1\r\nHo".to_vec(), "400"),
        (Vec::new(), ""),
    ]
}

#[test]
fn malformed_requests_are_rejected_and_other_clients_are_served() {
    let cluster = TestCluster::new(1);
    for (index, (bytes, status)) in malformed_requests().iter().enumerate() {
        let line = send_bytes(&cluster, bytes);
        if status.is_empty() {
            assert_eq!(line, "", "case {index}");
        } else {
            assert!(line.contains(status), "case {index}: {line:?}");
        }
    }
    assert_eq!(
        cluster.info()["openStatements"],
        json!(0),
        "nothing of it was accepted"
    );
    cluster.assert_served(&cluster.request("lookup", "SELECT 1 /* work=5ms */"));
}

#[test]
fn a_thousand_incomplete_requests_time_out_without_delaying_other_clients() {
    // Both ends of each connection are in this process.
    let limit = getrlimit(Resource::Nofile);
    let raised = Rlimit {
        current: limit.maximum,
        maximum: limit.maximum,
    };
    setrlimit(Resource::Nofile, raised).expect("raised");
    let cluster = TestCluster::new(1);
    let mut incomplete: Vec<TcpStream> = (0..1000)
        .map(|_| {
            let mut s = connect(&cluster);
            s.write_all(b"POST /v1/statement HTTP/1.1\r\nHost: h\r\nContent-Le")
                .expect("written");
            s
        })
        .collect();
    for n in 0..5 {
        let request = cluster.request("lookup", &format!("SELECT {n} /* work=5ms */"));
        cluster.assert_served(&request);
    }
    // A further byte does not extend the timeout, which covers the whole request.
    for stream in &mut incomplete {
        let _ = stream.write_all(b"n");
    }
    for stream in &mut incomplete {
        assert!(matches!(stream.read(&mut [0; 64]), Ok(0) | Err(_)));
    }
    cluster.assert_served(&cluster.request("lookup", "SELECT 1 /* work=5ms */"));
}

#[test]
fn the_history_of_a_statement_is_shown() {
    let cluster = TestCluster::new(2);
    cluster.set_faults(&EngineFaults {
        drop_submission: true,
        ..EngineFaults::default()
    });
    let request = cluster.request("rent-load", "INSERT /* work=5ms */");
    let (outcome, client) = cluster.run_with_client(&request);
    assert!(matches!(outcome, ClientOutcome::Failed(_)));
    let response = &client.responses().last().expect("a response").response;
    let history = cluster.get(&history_path(&parse_json(response)));
    let history = parse_json(&history);
    assert_eq!(history["class"], json!("rent-load"));
    assert_eq!(history["state"], json!("failed"));
    assert_eq!(
        history["attempts"][0]["ending"],
        json!("connection broken; it may have run")
    );
    assert_eq!(history["attempts"].as_array().map(Vec::len), Some(1));
}

#[test]
fn incoming_bytes_are_limited_over_all_connections() {
    let change = |v: &mut Value| {
        v["limits"]["statement_bytes"] = json!(1 << 20);
        v["limits"]["incoming_bytes"] = json!(2 << 20);
    };
    let cluster = TestCluster::with_config(1, change, |_| {});
    let head = "POST /v1/statement HTTP/1.1\r\nHost: h\r\nX-Trino-User: a\r\nContent-Length: 1000000\r\n\r\n";
    // Each client sends most of a large statement and withholds the rest.
    let mut incomplete: Vec<TcpStream> = (0..6)
        .map(|_| {
            let mut stream = connect(&cluster);
            let _ = stream
                .write_all(head.as_bytes())
                .and_then(|()| stream.write_all(&vec![b'x'; 900_000]));
            stream
        })
        .collect();
    let status_lines: Vec<String> = incomplete.iter_mut().map(read_status_line).collect();
    let rejected = status_lines.iter().filter(|line| line.contains("503"));
    assert_eq!(
        rejected.count(),
        4,
        "there is room for two, until they time out: {status_lines:?}"
    );
    cluster.assert_served(&cluster.request("lookup", "SELECT 1 /* work=5ms */"));
}

/// Guards against rejected clients that keep all places for as long as they stay, so that nobody else is accepted.
#[test]
fn clients_whose_requests_were_rejected_make_room_for_others() {
    let cluster = TestCluster::with_config(1, |v| v["limits"]["connections"] = json!(4), |_| {});
    // They neither read to the end nor close.
    let rejected: Vec<TcpStream> = (0..24)
        .map(|_| {
            let mut stream = connect(&cluster);
            stream.write_all(b"no request\r\n\r\n").expect("written");
            stream
        })
        .collect();
    let started = Instant::now();
    cluster.assert_served(&cluster.request("lookup", "SELECT 1 /* work=5ms */"));
    // In groups of 4, they would keep their places for 6 s.
    assert!(
        started.elapsed() < Duration::from_secs(3),
        "{:?}",
        started.elapsed()
    );
    drop(rejected);
}
