//! Tests that compare the responses and the records of mock servers with stored fixtures.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

use hoptiller_audit::Recorder;
use hoptiller_mock_servers::discovery::DiscoveryConfig;
use hoptiller_mock_servers::engine::EngineConfig;

/// Sends a request on a new connection. Returns everything that is received until the server closes it.
fn exchange(addr: SocketAddr, method: &str, path: &str, headers: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(addr).expect("the server listens");
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: mock\r\nConnection: close\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    );
    stream
        .write_all(request.as_bytes())
        .expect("the request is sent");
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received);
    String::from_utf8_lossy(&received).replace('\r', "")
}

/// A transcript of requests and responses in which values that differ between runs are replaced.
struct Transcript {
    addr: SocketAddr,
    text: String,
}

impl Transcript {
    fn new(addr: SocketAddr) -> Self {
        let text = String::new();
        Self { addr, text }
    }

    /// Sends a request, and adds the request line and the response to the transcript. Returns the unchanged response.
    fn add(&mut self, method: &str, path: &str, headers: &str, body: &str) -> String {
        let received = exchange(self.addr, method, path, headers, body);
        let response = replace_digits_after(&received, "Content-Length: ", "LENGTH");
        let response = replace_digits_after(&response, "age_ms=", "AGE");
        let response = replace_digits_after(&response, "\"uptime\":\"", "UPTIME");
        let response = replace_digits_after(&response, "standin_", "PROCESS");
        let response = response.replace(&self.addr.to_string(), "ADDR");
        let path = replace_digits_after(path, "standin_", "PROCESS");
        self.text
            .push_str(&format!(">>> {method} {path}\n{}\n", response.trim_end()));
        received
    }

    fn post(&mut self, class: &str, headers: &str, text: &str) -> String {
        let headers = format!(
            "X-Hoptiller-Class: {class}\r\nX-Hoptiller-Router: r1\r\nX-Hoptiller-Statement: r1/{text_length}\r\n{headers}",
            text_length = text.len()
        );
        self.add("POST", "/v1/statement", &headers, text)
    }

    /// Adds all records to the transcript.
    fn add_records(&mut self, recorder: &Recorder) {
        for record in recorder.records().expect("records are kept in memory") {
            let line = serde_json::to_string(&record).expect("records are plain data");
            self.text
                .push_str(&replace_digits_after(&line, "\"at\":", "TIME"));
            self.text.push('\n');
        }
    }

    fn put_faults(&mut self, faults: &str) {
        self.add("PUT", "/v1/standin/faults", "", faults);
    }
}

/// Replaces the hexadecimal digits and dots that follow each occurrence of `prefix`.
fn replace_digits_after(text: &str, prefix: &str, replacement: &str) -> String {
    let mut parts = text.split(prefix);
    let mut replaced = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let rest = part.trim_start_matches(|c: char| c.is_ascii_hexdigit() || c == '.');
        replaced.push_str(&format!("{prefix}{replacement}{rest}"));
    }
    replaced
}

/// Returns the query id in a response.
fn query_id(response: &str) -> String {
    let start = response.find("standin_").expect("the response has an id");
    let id = &response[start..];
    id[..id.find('"').expect("the id ends")].to_owned()
}

/// Compares a transcript with its fixture. Overwrites the fixture first if `UPDATE_FIXTURES` is set in the environment.
fn assert_matches_fixture(name: &str, text: &str) {
    let path = format!("{}/tests/fixtures/{name}", env!("CARGO_MANIFEST_DIR"));
    if std::env::var_os("UPDATE_FIXTURES").is_some() {
        std::fs::write(&path, text).expect("the fixture is written");
    }
    let expected = std::fs::read_to_string(&path).expect("the fixture exists");
    assert_eq!(text, expected);
}

fn engine_config() -> EngineConfig {
    let mut config = EngineConfig::new("e1", "std-8a", "hall-a");
    config.supports_kill = true;
    config.reports_progress = true;
    config.enforces_fencing = true;
    config
}

#[test]
fn the_engine_implements_the_statement_api() {
    let config = engine_config();
    let running = config.start().expect("the engine starts");
    let mut transcript = Transcript::new(running.addr);
    transcript.add("GET", "/v1/info", "", "");
    transcript.add("GET", "/v1/info/state", "", "");
    transcript.add("GET", "/v1/status", "", "");
    transcript.add("GET", "/elsewhere", "", "");
    let query = "select 1 /* work=1us rows=5 pages=2 width=3 */";
    let response = transcript.post("lookup", "", query);
    let id = query_id(&response);
    for path in ["0/0", "0/1", "0/0", "0/2", "7/0", "x/0", "0"] {
        let path = format!("/v1/statement/executing/{path}");
        transcript.add("GET", &path, "", "");
    }
    transcript.add("GET", &format!("/v1/query/{id}"), "", "");
    transcript.add("PUT", &format!("/v1/query/{id}/killed"), "", "late");
    transcript.add("POST", &format!("/v1/query/{id}"), "", "");
    transcript.add("GET", "/v1/query/standin_0_0", "", "");
    transcript.post("rent-load", "", "insert /* work=1us */");
    transcript.add("GET", "/v1/statement/executing/1/0", "", "");
    transcript.post("lookup", "", "selec /* work=1us wrong */");
    transcript.add("GET", "/v1/statement/executing/2/0", "", "");
    transcript.add("DELETE", "/v1/statement/executing/2/0", "", "");
    transcript.add("GET", "/v1/statement/executing/2/0", "", "");
    transcript.add("PUT", "/v1/info/state", "", "\"SHUTTING_DOWN\"");
    transcript.add("GET", "/v1/info/state", "X-Hoptiller-Router: r1\r\n", "");
    transcript.add_records(&config.recorder);
    assert_matches_fixture("engine_statement_api.txt", &transcript.text);
}

#[test]
fn the_engine_reports_blocked_statements_and_pauses_and_kills_statements() {
    let config = engine_config();
    let running = config.start().expect("the engine starts");
    let mut transcript = Transcript::new(running.addr);
    let load = transcript.post("rent-load", "", "insert /* work=600s set=7 */");
    transcript.post("lookup", "", "select /* work=1us set=7 */");
    transcript.add("GET", "/v1/statement/executing/1/0", "", "");
    let query = format!("/v1/query/{}", query_id(&load));
    transcript.add("GET", &query, "", "");
    transcript.add("PUT", &format!("{query}/paused"), "", "true");
    transcript.add("PUT", &format!("{query}/killed"), "", "by rule");
    transcript.add("GET", "/v1/statement/executing/0/0", "", "");
    transcript.add("GET", &query, "", "");
    transcript.add("GET", "/v1/statement/executing/1/0", "", "");
    transcript.put_faults("{\"no_proof\":true}");
    let other = transcript.post("rent-load", "", "insert /* work=600s set=8 */");
    let query = format!("/v1/query/{}", query_id(&other));
    transcript.add("PUT", &format!("{query}/killed"), "", "by rule");
    transcript.add("GET", &query, "", "");
    transcript.add_records(&config.recorder);
    assert_matches_fixture("engine_control.txt", &transcript.text);
}

#[test]
fn the_engine_rejects_stale_versions_and_leases() {
    let config = engine_config();
    let running = config.start().expect("the engine starts");
    let mut transcript = Transcript::new(running.addr);
    let text = "select /* work=600s */";
    for versions in ["3..4", "4..5", "3..3", "4..4"] {
        let header = format!("X-Hoptiller-Versions: {versions}\r\n");
        transcript.post("lookup", &header, text);
    }
    for lease in ["probe/1#5", "probe/1#4", "probe/2#4", "probe/1#5", "junk"] {
        let header = format!("X-Hoptiller-Lease: {lease}\r\nX-Hoptiller-Router: r1\r\n");
        transcript.add("GET", "/v1/info/state", &header, "");
    }
    transcript.add_records(&config.recorder);
    assert_matches_fixture("engine_fencing.txt", &transcript.text);
}

#[test]
fn the_engine_simulates_injected_faults() {
    let config = engine_config();
    let running = config.start().expect("the engine starts");
    let mut transcript = Transcript::new(running.addr);
    let text = "select /* work=1us rows=4 pages=2 */";
    let faults = [
        r#"{"lose":true,"times":1}"#,
        r#"{"swallow":true,"only":"lookup"}"#,
        r#"{"full":true}"#,
        r#"{"fail":true}"#,
        r#"{"cut_page":120}"#,
        r#"{"lose_page":1}"#,
        r#"{"hang":false,"mute":false,"finish_first":false,"no_proof":false,"slow":2.0}"#,
        r#"{"only":"report","full":true}"#,
        r#"{"unknown":true}"#,
        r#"{"slow":"x"}"#,
        r#"{"garbage":true}"#,
    ];
    for faults in faults {
        transcript.put_faults(faults);
        let response = transcript.post("lookup", "", text);
        let Some(start) = response.find("/executing/") else {
            continue;
        };
        let number = &response[start + "/executing/".len()..];
        let number = &number[..number.find('/').expect("a page follows")];
        for page in 0..2 {
            let path = format!("/v1/statement/executing/{number}/{page}");
            transcript.add("GET", &path, "", "");
        }
    }
    // The status request advances the work model, so that the end of the last statement is recorded.
    transcript.add("GET", "/v1/status", "", "");
    transcript.add_records(&config.recorder);
    assert_matches_fixture("engine_faults.txt", &transcript.text);
}

#[test]
fn discovery_lists_announced_engines() {
    let config = DiscoveryConfig {
        enforces_fencing: true,
        ..DiscoveryConfig::default()
    };
    let running = config.start().expect("discovery starts");
    let mut transcript = Transcript::new(running.addr);
    let announcement = r#"{"environment":"lettings","nodeId":"e1","pool":"general","location":"/a/e1","services":[{"id":"1","type":"trino","properties":{"http":"http://127.0.0.1:1"}}]}"#;
    transcript.add("PUT", "/v1/announcement/e1", "", announcement);
    transcript.add("PUT", "/v1/announcement/e2", "", announcement);
    transcript.add("PUT", "/v1/announcement/e2", "", "{}");
    transcript.add("GET", "/v1/announcement/e2", "", "");
    transcript.add("GET", "/v1/service/trino", "X-Hoptiller-Router: r1\r\n", "");
    for lease in ["discovery/0#2", "discovery/0#1"] {
        let header = format!("X-Hoptiller-Lease: {lease}\r\n");
        transcript.add("GET", "/v1/service/trino", &header, "");
    }
    transcript.add("DELETE", "/v1/announcement/e1", "", "");
    transcript.add("GET", "/v1/service/trino", "X-Hoptiller-Router: r1\r\n", "");
    transcript.add("GET", "/elsewhere", "", "");
    transcript.add_records(&config.recorder);
    assert_matches_fixture("discovery.txt", &transcript.text);
}
