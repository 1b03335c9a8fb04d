//! Routers that are killed or terminated, or get requests of administrators; and the demo.

use std::net::SocketAddr;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use hoptiller_fault_harness::stable_address;
use serde_json::{Value, json};

use crate::http_client::{exchange, follow, get, submit};
use crate::process::{PROGRAM, Process};
use crate::temp_folder::{TempFolder, examples};

fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < Duration::from_secs(20),
            "timed out waiting for {what}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Discovery, an engine with a ledger, and the settings file of a router with a fixed address.
struct TestSite {
    folder: TempFolder,
    _discovery: Process,
    _engine: Process,
    file: String,
    listen: SocketAddr,
}

impl TestSite {
    fn new(name: &str) -> TestSite {
        let folder = TempFolder::new(name);
        let discovery = Process::start(&["standin", "discovery"]);
        let ledger = folder.path().join("ledger.txt").display().to_string();
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
        let listen = stable_address();
        let derby = examples().join("derby.jsonnet");
        let router = json!({ "name": "r1", "listen": listen.to_string(), "state": folder.path().join("state") });
        let text = format!(
            "(import '{}') + {{ router: {router}, discovery+: {{ address: '{at}', every: '50ms' }}, \
             limits: {{ long_poll: '300ms' }} }}",
            derby.display()
        );
        let file = folder.write("r1.jsonnet", &text).display().to_string();
        TestSite {
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
        std::fs::read_to_string(self.folder.path().join("ledger.txt"))
            .expect("the ledger")
            .lines()
            .count()
    }
}

#[test]
fn a_restarted_router_reports_the_true_outcome_at_old_uris_on_every_poll() {
    let site = TestSite::new("killed");
    let router = site.route();
    let addr = site.listen;
    let lookup = submit(addr, "lookup", "SELECT 1 /* work=20s */");
    let load = submit(addr, "rent-load", "INSERT 1 /* work=3s */");
    let report = submit(addr, "report", "SELECT 1 /* work=5ms rows=10 pages=5 */");
    let mut rows = report;
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
    // The response was true: the engine had admitted the load, and completed it.
    wait_for("the load to be posted", || site.postings() == 1);
    assert_eq!(
        follow(addr, submit(addr, "lookup", "SELECT 1 /* work=5ms */")).error(),
        ""
    );
}

#[test]
fn a_terminated_router_rejects_new_statements_and_finishes_admitted_ones() {
    let site = TestSite::new("ended");
    let mut router = site.route();
    let addr = site.listen;
    let load = submit(addr, "rent-load", "INSERT 1 /* work=2s */");
    router.signal("-TERM");
    wait_for("the router to shut down", || {
        get(addr, "/v1/info/state").body == b"\"SHUTTING_DOWN\""
    });
    let fields = "X-Trino-User: ann\r\n";
    let rejected = exchange(addr, "POST", "/v1/statement", fields, "SELECT 1").expect("a response");
    assert_eq!(
        (rejected.status, rejected.retry_after.as_deref()),
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
fn the_demo_serves_every_class_and_ends_when_terminated() {
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

#[test]
fn administrators_see_runaways_on_an_address_of_their_own() {
    let folder = TempFolder::new("admin");
    let admin = stable_address().to_string();
    let example = examples().join("derby.jsonnet");
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
        (Some(0), "no runaways and no holds\n".to_owned())
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
        code == Some(3) && text.contains("check that --admin is the router.admin"),
        "{code:?} {text}"
    );
}
