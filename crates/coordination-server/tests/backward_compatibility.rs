//! Guards against a renamed type, field or variant that changes the JSON on disk or on the wire: replicas that start
//! from a disk written before the types were renamed serve a router that sends the message bytes recorded at that time,
//! over sockets.
//!
//! The disk belongs to replica 1 of 1, 2 and 4. It contains three entries that are accepted but not decided, the last
//! of which replaces replica 4 by 5. Replica 1 starts on a copy; replica 2 joins on an empty disk as `hoptiller keep
//! --join` does. The two replicas are a quorum of 1, 2 and 4, decide the accepted entries, and are a quorum of 1, 2 and
//! 5 as well.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use hoptiller_coordination_client::{Clock, Secret};
use hoptiller_coordination_server::join::join;
use hoptiller_coordination_server::{Config, Server};
use hoptiller_http::client::Connection;
use hoptiller_http::{Limits, Method, Request, Response, Spawner};
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(8);
/// Time limit until the replicas have a leader and the last version is in force.
const ELECTION_TIMEOUT: Duration = Duration::from_secs(30);

fn fixture(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(path)
}

/// Returns the bodies of one kind of message, as recorded before the types were renamed.
fn stored_bodies(kind: &str) -> Vec<String> {
    let path = fixture("../coordination-client/tests/fixtures/messages.txt");
    let text = std::fs::read_to_string(path).expect("the fixture exists");
    text.lines()
        .filter_map(|line| line.split_once(' '))
        .filter(|(name, _)| *name == kind)
        .map(|(_, body)| body.to_owned())
        .collect()
}

fn secret() -> Secret {
    Secret::new(b"sixteen bytes or more")
}

/// Returns a loopback address that only this process uses, so that its ports are free.
fn address(replica: u16) -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, high | 0x80, middle, low.max(1));
    SocketAddr::new(IpAddr::V4(ip), 7000 + replica)
}

fn config(dir: &Path, replica: u16) -> Config {
    Config::read(json!({
        "fleet": "stored",
        "keeper": replica,
        "keepers": { "1": address(1), "2": address(2), "4": address(4) },
        "dir": dir.join(replica.to_string()),
        "secret": "unused",
        "permit": "2000ms",
        "drift": 200,
    }))
    .expect("a configuration")
}

/// Sends a body unchanged and returns the authenticated response.
async fn send(replica: u16, method: Method, path: &str, body: &str) -> Response {
    let mut request = Request::new(method, path);
    request.body = body.as_bytes().to_vec();
    let request = secret().sign_request(request);
    let mut connection = Connection::open(address(replica), TIMEOUT, Limits::default())
        .await
        .expect("the replica listens");
    let response = connection
        .exchange(&request, TIMEOUT)
        .await
        .expect("the replica responds");
    assert_eq!(secret().verify_response(&request, &response), Ok(()));
    response
}

/// Sends a POST request and returns the body of the response, which must have status 200.
async fn post(replica: u16, path: &str, body: &str) -> String {
    let response = send(replica, Method::Post, path, body).await;
    let text = String::from_utf8(response.body).expect("text");
    assert_eq!(response.status.0, 200, "{path} {body}: {text}");
    text
}

/// Returns the sorted keys of an object.
fn keys(value: &Value) -> Vec<&str> {
    let object = value.as_object().expect("an object");
    let mut keys: Vec<&str> = object.keys().map(String::as_str).collect();
    keys.sort_unstable();
    keys
}

#[test]
fn replicas_on_a_disk_written_before_the_renaming_serve_a_router_of_that_time() {
    let dir = std::env::temp_dir().join(format!(
        "hoptiller-backward-compatibility-{}",
        std::process::id()
    ));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(dir.join("1")).expect("created");
    std::fs::copy(
        fixture("tests/fixtures/keeper.redb"),
        dir.join("1/keeper.redb"),
    )
    .expect("copied");
    let executor = Rc::new(LocalExecutor::new());
    let spawner = Spawner::new(&executor);
    let scenario = async {
        let old = config(&dir, 1);
        let storage = Server::open_storage(&old, "unused").expect("an old disk opens");
        assert_eq!(storage.identity().disk_id, "disk-of-the-fixture");
        let first = Server::open(old, secret(), Clock::new(), storage).expect("opened");
        first.start(&spawner).expect("started");

        let new = config(&dir, 2);
        let storage = Server::open_storage(&new, "new-disk").expect("created");
        join(&new, &secret(), &storage).await.expect("joined");
        let second = Server::open(new, secret(), Clock::new(), storage).expect("opened");
        second.start(&spawner).expect("started");

        for replica in [1, 2] {
            wait_until_last_version_is_in_force(replica).await;
            renew_lease(replica).await;
            read_versions(replica).await;
        }
        release_lease(1).await;
    };
    async_io::block_on(executor.run(scenario));
    drop(executor);
    std::fs::remove_dir_all(&dir).expect("removed");
}

async fn wait_until_last_version_is_in_force(replica: u16) {
    let start = Instant::now();
    let watch = &stored_bodies("watch")[0];
    loop {
        let versions = post(replica, "/v1/fleet/watch", watch).await;
        if versions.starts_with(r#"{"in_force":4,"last":4,"board":"#) {
            return;
        }
        assert!(start.elapsed() < ELECTION_TIMEOUT, "{replica}: {versions}");
        Timer::after(Duration::from_millis(100)).await;
    }
}

async fn renew_lease(replica: u16) {
    let bodies = stored_bodies("ask");
    assert_eq!(bodies.len(), 2, "without and with an offer");
    let start = concat!(
        r#"{"granted":{"in_force":4,"heed":4,"versions":[{"head":{"number":4,"#,
        r#""digest":"facf94378f92f38c40cf863e15f20662f954691553d0e4ce8d9389c1792720cc","#,
        r#""change":"four","by":"ops","at":4000,"why":"a test of the stored form","kind":"tighter"},"#,
        r#""document":{"form":1,"kinds":{"a":8.0,"b":8.0},"zones":["x","y","z"],"tenants":{"t":1.0},"#,
    );
    for (body, with_offer) in bodies.iter().zip([false, true]) {
        let text = post(replica, "/v1/fleet/ask", body).await;
        assert!(text.starts_with(start), "{text}");
        let response: Value = serde_json::from_str(&text).expect("JSON");
        let granted = &response["granted"];
        assert!(granted["serial"].as_u64() > Some(0), "{granted}");
        if with_offer {
            let with_leases = ["board", "heed", "in_force", "serial", "versions"];
            assert_eq!(keys(granted), with_leases);
            let table = &granted["board"];
            assert_eq!(keys(table), ["parts", "posted", "upto"]);
            let shards = json!(["list/0", "probe/0", "probe/1", "probe/2", "probe/3"]);
            assert_eq!(table["parts"], shards);
        } else {
            assert_eq!(keys(granted), ["heed", "in_force", "serial", "versions"]);
        }
    }
}

/// Checks a replica's status and returns the lease holders in it.
async fn holders(replica: u16) -> Value {
    let response = send(replica, Method::Get, "/v1/fleet/status", "").await;
    assert_eq!(response.status.0, 200);
    let mut status: Value = serde_json::from_slice(&response.body).expect("JSON");
    let expected = [
        "heard_ms_ago",
        "holders",
        "keeper",
        "keepers",
        "leader",
        "list",
        "log",
        "numbers",
        "pending",
    ];
    assert_eq!(keys(&status), expected);
    assert_eq!(status["keeper"], json!(replica));
    assert_eq!(status["list"], json!(3), "replica 4 is replaced by 5");
    assert_eq!(status["keepers"], json!([1, 2, 5]));
    assert_eq!(status["pending"], json!([]));
    status["holders"].take()
}

async fn read_versions(replica: u16) {
    let bodies = stored_bodies("which");
    assert_eq!(bodies.len(), 2, "the last version and version 3");
    for (body, number) in bodies.iter().zip([4, 3]) {
        let text = post(replica, "/v1/settings/show", body).await;
        let start = format!(r#"{{"head":{{"number":{number},"digest":""#);
        assert!(text.starts_with(&start), "{text}");
    }
}

async fn release_lease(replica: u16) {
    let held = holders(replica).await;
    assert_eq!(held[0]["holder"], json!({ "router": "r1", "life": "l1" }));
    assert_eq!(held[0]["heeds"], json!(4));
    let holder = &stored_bodies("holder")[0];
    assert_eq!(post(replica, "/v1/fleet/give-back", holder).await, "null");
    assert_eq!(holders(replica).await, json!([]));
}
