//! Compares the bodies of messages between routers, replicas and administrators, and their authentication codes, with
//! recorded bytes: renaming a type or a field must not change what is sent. `UPDATE_FIXTURES=1` rewrites the fixture;
//! only a deliberate change of the form justifies that.

use std::fmt::Write as _;
use std::path::PathBuf;

use hoptiller_coordination::Difference;
use hoptiller_coordination::{Holder, Proposal, Version, VersionMetadata};
use hoptiller_coordination_client::Secret;
use hoptiller_coordination_client::wire::*;
use hoptiller_http::{Method, Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;

fn fixture() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/messages.txt")
}

/// Parses a body and returns it as it is written again.
fn reserialize<T: Serialize + DeserializeOwned>(body: &str) -> String {
    let value: T = serde_json::from_str(body).unwrap_or_else(|error| panic!("{body}: {error}"));
    serde_json::to_string(&value).expect("the value can be serialized")
}

#[test]
fn messages_are_read_and_written_with_the_same_bytes() {
    let stored = std::fs::read_to_string(fixture()).expect("the fixture exists");
    let mut written = String::new();
    for line in stored.lines() {
        let (name, body) = line.split_once(' ').expect("a name and a body");
        let body = match name {
            "ask" => reserialize::<LeaseRenewalRequest>(body),
            "asked" => reserialize::<LeaseRenewalResponse>(body),
            "holder" => reserialize::<Holder>(body),
            "watch" => reserialize::<WatchRequest>(body),
            "numbers" => reserialize::<VersionNumbers>(body),
            "note" => reserialize::<RecordNoteRequest>(body),
            "noted" => reserialize::<RecordNoteResult>(body),
            "leases" => reserialize::<Vec<LeaseStatus>>(body),
            "status" => reserialize::<ClusterStatus>(body),
            "put" => reserialize::<Proposal>(body),
            "put-answer" => reserialize::<ProposalResponse>(body),
            "which" => reserialize::<VersionRequest>(body),
            "version" => reserialize::<Version>(body),
            "history" => reserialize::<Vec<VersionMetadata>>(body),
            "between" => reserialize::<DiffRequest>(body),
            "differences" => reserialize::<Vec<Difference>>(body),
            "replaced" => reserialize::<ReplaceResponse>(body),
            "problem" => reserialize::<ErrorBody>(body),
            other => panic!("unknown message {other:?}"),
        };
        let _ = writeln!(written, "{name} {body}");
    }
    if std::env::var_os("UPDATE_FIXTURES").is_some() {
        std::fs::write(fixture(), &written).expect("the fixture can be written");
    }
    assert_eq!(
        std::fs::read_to_string(fixture()).expect("the fixture exists"),
        written
    );
}

#[test]
fn paths_and_authentication_codes_are_unchanged() {
    let paths = [
        RENEW_LEASE,
        RELEASE_LEASE,
        WATCH,
        RECORD_NOTE,
        LEASES,
        STATUS,
        PROPOSE,
        SHOW,
        HISTORY,
        DIFF,
        MESSAGES,
        STATE,
        INSTALL,
        REPLACE,
    ];
    let expected = [
        "/v1/fleet/ask",
        "/v1/fleet/give-back",
        "/v1/fleet/watch",
        "/v1/fleet/note",
        "/v1/fleet/leases",
        "/v1/fleet/status",
        "/v1/settings/put",
        "/v1/settings/show",
        "/v1/settings/history",
        "/v1/settings/diff",
        "/v1/keeper/messages",
        "/v1/keeper/state",
        "/v1/keeper/install",
        "/v1/keeper/replace",
    ];
    assert_eq!(paths, expected);
    let secret = Secret::new(b"sixteen bytes or more");
    let mut request = Request::new(Method::Post, RENEW_LEASE);
    request.body = b"{}".to_vec();
    let request = secret.sign_request(request);
    let response = secret.sign_response(&request, Response::json(200, "{}"));
    let codes = [
        request.headers.get("X-Hoptiller-Code"),
        response.headers.get("X-Hoptiller-Code"),
    ];
    assert_eq!(
        codes,
        [
            Some("2e844f0387728e04104618957bbc62c9c3ab01acfebc1b5a2af0f0a57affa219"),
            Some("0975f4454af65062e6f23408190ac84c3e96a49cbec739ef39c3aab760d2c030")
        ]
    );
}
