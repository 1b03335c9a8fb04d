//! The program itself: routers that are killed and ended, the demo, a short bad day, checks of settings.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

const PROGRAM: &str = env!("CARGO_BIN_EXE_hoptiller");

/// A folder that goes with the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("hoptiller-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("written");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A process of the program that has said that it is ready.
struct Process {
    child: Child,
    addr: SocketAddr,
}

impl Process {
    fn start(args: &[&str]) -> Process {
        let mut child = Command::new(PROGRAM)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("it starts");
        let mut line = String::new();
        BufReader::new(child.stdout.take().expect("piped"))
            .read_line(&mut line)
            .expect("a line");
        let addr = line
            .trim()
            .strip_prefix("ready http://")
            .and_then(|a| a.parse().ok());
        Process {
            addr: addr.unwrap_or_else(|| panic!("no address in {line:?}")),
            child,
        }
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(
            Command::new("kill")
                .args([name, &pid])
                .status()
                .expect("kill")
                .success()
        );
    }

    fn exit_code(&mut self) -> Option<i32> {
        self.child.wait().expect("ended").code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct Got {
    status: u16,
    retry_after: Option<String>,
    body: Vec<u8>,
}

impl Got {
    fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    fn next(&self) -> Option<String> {
        let uri = self.json()["nextUri"].as_str()?.to_owned();
        Some(uri[uri.find("/v1")?..].to_owned())
    }

    fn error(&self) -> String {
        self.json()["error"]["errorName"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }
}

/// One exchange, written by hand: nothing of the project's own HTTP is trusted here.
fn exchange(
    addr: SocketAddr,
    method: &str,
    path: &str,
    fields: &str,
    body: &str,
) -> std::io::Result<Got> {
    let mut s = TcpStream::connect(addr)?;
    s.set_read_timeout(Some(Duration::from_secs(30)))?;
    let length = body.len();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {addr}\r\nConnection: close\r\nContent-Length: {length}\r\n"
    );
    s.write_all(format!("{head}{fields}\r\n{body}").as_bytes())?;
    let mut bytes = Vec::new();
    s.read_to_end(&mut bytes)?;
    let at = bytes
        .windows(4)
        .position(|w| w == b"\r\n\r\n")
        .ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let head = String::from_utf8_lossy(&bytes[..at]).into_owned();
    let status = head
        .get(9..12)
        .and_then(|c| c.parse().ok())
        .ok_or(std::io::ErrorKind::InvalidData)?;
    let retry_after = head
        .lines()
        .find_map(|l| l.strip_prefix("Retry-After: "))
        .map(str::to_owned);
    Ok(Got {
        status,
        retry_after,
        body: bytes[at + 4..].to_vec(),
    })
}

fn get(addr: SocketAddr, path: &str) -> Got {
    exchange(addr, "GET", path, "", "").expect("an answer")
}

fn submit(addr: SocketAddr, class: &str, text: &str) -> Got {
    let fields = format!("X-Trino-User: ann\r\nX-Trino-Client-Tags: class={class}\r\n");
    let got = exchange(addr, "POST", "/v1/statement", &fields, text).expect("an answer");
    assert_eq!(got.status, 200, "{}", String::from_utf8_lossy(&got.body));
    got
}

/// Polls to the end.
fn follow(addr: SocketAddr, mut got: Got) -> Got {
    while let Some(next) = got.next() {
        got = get(addr, &next);
        assert_eq!(got.status, 200);
    }
    got
}

fn wait_for(what: &str, mut wanted: impl FnMut() -> bool) {
    let began = Instant::now();
    while !wanted() {
        assert!(
            began.elapsed() < Duration::from_secs(20),
            "waited in vain for {what}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Discovery, an engine with a ledger, and a router's file with an address of its own.
struct Site {
    folder: Folder,
    _discovery: Process,
    _engine: Process,
    file: String,
    listen: SocketAddr,
}

impl Site {
    fn new(name: &str) -> Site {
        let folder = Folder::new(name);
        let discovery = Process::start(&["standin", "discovery"]);
        let ledger = folder.0.join("ledger.txt").display().to_string();
        let at = discovery.addr.to_string();
        let engine = Process::start(&[
            "standin",
            "engine",
            "--node",
            "e0",
            "--discovery",
            &at,
            "--ledger",
            &ledger,
        ]);
        let listen = TcpListener::bind("127.0.0.1:0")
            .and_then(|l| l.local_addr())
            .expect("a free port");
        let derby = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/derby.jsonnet");
        let derby = derby.canonicalize().expect("the example");
        let router =
            json!({ "name": "r1", "listen": listen.to_string(), "state": folder.0.join("state") });
        let text = format!(
            "(import '{}') + {{ router: {router}, discovery+: {{ address: '{at}', every: '50ms' }}, \
             limits: {{ long_poll: '300ms' }} }}",
            derby.display()
        );
        let file = folder.write("r1.jsonnet", &text).display().to_string();
        Site {
            folder,
            _discovery: discovery,
            _engine: engine,
            file,
            listen,
        }
    }

    fn route(&self) -> Process {
        let process = Process::start(&["route", &self.file]);
        assert_eq!(process.addr, self.listen);
        wait_for("the engine to be listed", || {
            get(self.listen, "/v1/info").json()["engines"] == json!(1)
        });
        process
    }

    fn postings(&self) -> usize {
        std::fs::read_to_string(self.folder.0.join("ledger.txt"))
            .expect("the ledger")
            .lines()
            .count()
    }
}

#[test]
fn a_killed_router_answers_old_uris_truthfully_and_always_alike() {
    let site = Site::new("killed");
    let router = site.route();
    let addr = site.listen;
    let lookup = submit(addr, "lookup", "SELECT 1 /* work=20s */");
    let load = submit(addr, "rent-load", "INSERT 1 /* work=3s */");
    let flowing = submit(addr, "report", "SELECT 1 /* work=5ms rows=10 pages=5 */");
    let mut rows = flowing;
    while rows.json()["data"].is_null() {
        rows = get(addr, &rows.next().expect("more"));
    }
    let (lookup, load) = (
        get(addr, &lookup.next().expect("more")),
        get(addr, &load.next().expect("more")),
    );
    let served = follow(addr, submit(addr, "lookup", "SELECT 1 /* work=5ms */"));
    assert_eq!(served.json()["stats"]["state"], json!("FINISHED"));
    router.signal("-KILL");
    drop(router);
    let _router = site.route();
    let cases = [
        (&lookup, "HOPTILLER_ROUTER_RESTARTED", Some("2")),
        (&load, "HOPTILLER_MAY_HAVE_RUN", None),
        (&rows, "HOPTILLER_RESULT_CUT", None),
    ];
    for (old, name, retry_after) in cases {
        let path = old.next().expect("an old URI");
        let first = get(addr, &path);
        assert_eq!(
            (
                first.status,
                first.error().as_str(),
                first.retry_after.as_deref()
            ),
            (200, name, retry_after)
        );
        assert!(first.next().is_none());
        assert!((0..3).all(|_| get(addr, &path).body == first.body));
        for altered in [
            path.replace("/queued/", "/executing/"),
            path.replace("/executing/", "/queued/"),
            format!("{path}1"),
            path.replace("/u", "/s"),
        ] {
            assert!(
                altered == path || get(addr, &altered).status == 404,
                "{altered}"
            );
        }
    }
    // The answer was true: the load had been taken by the engine, which went on with it.
    wait_for("the load to be posted", || site.postings() == 1);
    assert_eq!(
        follow(addr, submit(addr, "lookup", "SELECT 1 /* work=5ms */")).error(),
        ""
    );
}

#[test]
fn a_router_told_to_end_takes_nothing_new_and_finishes_what_it_holds() {
    let site = Site::new("ended");
    let mut router = site.route();
    let addr = site.listen;
    let load = submit(addr, "rent-load", "INSERT 1 /* work=2s */");
    router.signal("-TERM");
    wait_for("the router to be ending", || {
        get(addr, "/v1/info/state").body == b"\"SHUTTING_DOWN\""
    });
    let fields = "X-Trino-User: ann\r\n";
    let turned = exchange(addr, "POST", "/v1/statement", fields, "SELECT 1").expect("an answer");
    assert_eq!(
        (turned.status, turned.retry_after.as_deref()),
        (503, Some("2"))
    );
    let last = follow(addr, load);
    assert_eq!(
        (last.error().as_str(), last.json()["updateCount"].clone()),
        ("", json!(1))
    );
    assert_eq!(router.exit_code(), Some(0));
    assert_eq!(site.postings(), 1);
}

#[test]
fn the_demo_serves_every_class_and_ends_when_told() {
    let mut demo = Process::start(&["demo", "--engines", "3"]);
    for class in ["lookup", "report", "rent-load"] {
        let last = follow(demo.addr, submit(demo.addr, class, "x /* work=10ms */"));
        assert_eq!(last.json()["stats"]["state"], json!("FINISHED"), "{class}");
    }
    assert!(
        String::from_utf8_lossy(&get(demo.addr, "/metrics").body)
            .contains("hoptiller_statements_total")
    );
    demo.signal("-TERM");
    assert_eq!(demo.exit_code(), Some(0));
}

fn program(args: &[&str]) -> Output {
    Command::new(PROGRAM).args(args).output().expect("it runs")
}

#[test]
fn a_short_bad_day_keeps_all_rules_and_a_planted_break_is_found() {
    let folder = Folder::new("day");
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/short-day.jsonnet");
    let report = folder.0.join("report").display().to_string();
    let out = program(&[
        "day",
        &file.display().to_string(),
        "--report",
        &report,
        "--json",
    ]);
    let verdict: Value = serde_json::from_slice(&out.stdout).expect("a verdict");
    assert_eq!(
        (out.status.code(), &verdict["breaks"]),
        (Some(0), &json!([])),
        "{verdict:#}"
    );
    // Not an empty day: every class was served, and the troubles were met.
    for class in ["lookup", "report", "rent-load"] {
        let tally = &verdict["classes"][class];
        assert!(tally["served"].as_u64() > Some(10), "{class}: {tally}");
    }
    let loads = &verdict["classes"]["rent-load"];
    assert!(
        loads["postings"].as_u64() >= loads["served"].as_u64(),
        "{loads}"
    );
    let lookups = &verdict["classes"]["lookup"];
    assert!(
        lookups["attempts"].as_u64() > lookups["served"].as_u64(),
        "some were sent again: {lookups}"
    );
    // One line more of the ledger's record, and the same judge says no.
    let clients =
        std::fs::read_to_string(Path::new(&report).join("engine-0.jsonl")).expect("records");
    let posted = clients
        .lines()
        .find(|l| l.contains("\"posted\""))
        .expect("a posting");
    std::fs::write(
        Path::new(&report).join("planted.jsonl"),
        format!("{posted}\n"),
    )
    .expect("planted");
    let out = program(&["audit", &report]);
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(
        out.status.code() == Some(1) && text.contains("rule 2"),
        "{text}"
    );
    // A damaged record is no verdict.
    std::fs::write(
        Path::new(&report).join("planted.jsonl"),
        &posted[..posted.len() / 2],
    )
    .expect("damaged");
    assert_eq!(program(&["audit", &report]).status.code(), Some(2));
}

#[test]
fn settings_with_problems_start_nothing_and_are_told_whole() {
    let folder = Folder::new("check");
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/derby.jsonnet");
    assert_eq!(
        program(&["check", &example.display().to_string()])
            .status
            .code(),
        Some(0)
    );
    let bad = folder.write(
        "bad.jsonnet",
        &format!(
            "(import '{}') + {{ router+: {{ lisen: 1, listen: 'here' }} }}",
            example.display()
        ),
    );
    for command in ["check", "route"] {
        let out = program(&[command, &bad.display().to_string()]);
        let text = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(2));
        assert!(
            text.contains("router.lisen: unknown key")
                && text.contains("router.listen: \"here\" is no address"),
            "{text}"
        );
    }
    let broken = folder.write("broken.jsonnet", "{\n  a: 1,\n  b: }\n");
    let out = program(&["check", &broken.display().to_string()]);
    assert!(
        String::from_utf8_lossy(&out.stderr).contains("broken.jsonnet:3"),
        "{out:?}"
    );
    assert_eq!(
        program(&["check", "/nowhere/x.jsonnet"]).status.code(),
        Some(2)
    );
    assert_eq!(program(&["frobnicate"]).status.code(), Some(2));
}

#[test]
fn administrators_see_what_runs_away_on_an_address_of_their_own() {
    let folder = Folder::new("admin");
    let free = || {
        TcpListener::bind("127.0.0.1:0")
            .and_then(|l| l.local_addr())
            .expect("a free port")
            .to_string()
    };
    let admin = free();
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/derby.jsonnet");
    let listen = "listen: '127.0.0.1:0', state: null";
    let change = format!(
        "(import '{}') + {{ router+: {{ {listen}, admin: '{admin}' }} }}",
        example.display()
    );
    let file = folder.write("r1.jsonnet", &change);
    let router = Process::start(&["route", file.to_str().expect("text")]);
    let runaways = |args: &[&str]| -> (Option<i32>, String) {
        let all = [&["runaways", "--admin", &admin], args].concat();
        let Output {
            status,
            stdout,
            stderr,
        } = Command::new(PROGRAM).args(&all).output().expect("it runs");
        (
            status.code(),
            String::from_utf8_lossy(&[stdout, stderr].concat()).into_owned(),
        )
    };
    assert_eq!(
        runaways(&[]),
        (
            Some(0),
            "nothing runs away, and nothing is held\n".to_owned()
        )
    );
    let (code, text) = runaways(&["--json"]);
    let value: Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(
        (code, &value["router"], &value["findings"]),
        (Some(0), &json!("r1"), &json!([]))
    );
    let (code, text) = runaways(&["--release", "00000000000000ff"]);
    assert!(
        code == Some(2) && text.contains("that kind is not held"),
        "{code:?} {text}"
    );
    let (code, text) = runaways(&["--release", "../x"]);
    assert!(
        code == Some(2) && text.contains("16 hexadecimal digits"),
        "{code:?} {text}"
    );
    drop(router);
    let (code, text) = runaways(&[]);
    assert!(
        code == Some(3) && text.contains("is router.admin set there"),
        "{code:?} {text}"
    );
}

#[test]
fn the_study_of_runaways_refuses_settings_that_it_cannot_use() {
    let folder = Folder::new("study");
    let run = |args: &[&str]| {
        Command::new(PROGRAM)
            .args(["experiment", "runaways"])
            .args(args)
            .output()
            .expect("runs")
    };
    let wrong = folder.write("wrong.jsonnet", "{}");
    let refused = run(&["--settings", wrong.to_str().expect("text")]);
    assert_eq!(refused.status.code(), Some(2));
}

#[test]
fn every_example_is_good() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let files = std::fs::read_dir(examples)
        .expect("there")
        .flatten()
        .map(|e| e.path());
    let files: Vec<_> = files
        .filter(|p| p.extension().is_some_and(|e| e == "jsonnet"))
        .collect();
    assert!(files.len() > 5, "{files:?}");
    for file in files {
        let out = Command::new(env!("CARGO_BIN_EXE_hoptiller"))
            .arg("check")
            .arg(&file)
            .output()
            .expect("runs");
        let said = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(0), "{}: {said}", file.display());
    }
}
