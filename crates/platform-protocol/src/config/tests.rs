//! Tests of valid and invalid configuration files.

use super::*;
use crate::endpoint_list::Phase;

const TEXT: &str = r#"{"name":"n3","listen":"127.0.0.4:8080","seed":"8c1f30d27a5be964",
    "limits":{"cores":0.4,"memory_mb":64,"sockets":256},"peer_listen":"127.0.0.4:7946","peers":[],
    "coordinator":"127.2.0.1:9092",
    "known":{"index":4,"updates":[
      {"index":3,"endpoints":{"revision":1,"complete":true,"members":[
        {"id":"s-00c41f7a","host_port":"127.1.0.9:8080","locality":"hall-b","flavor":"std-8a","cell":2,
         "phase":"in_service","size":4,"up_since_ms":0},
        {"id":"s-00000002","host_port":"127.1.0.2:8080","locality":"hall-a","flavor":"std-8b","cell":0,
         "phase":"in_service","size":4,"up_since_ms":0}]}},
      {"index":4,"endpoints":{"revision":2,"complete":false,"members":[
        {"id":"s-00000002","host_port":"127.1.0.2:8080","locality":"hall-a","flavor":"std-8b","cell":0,
         "phase":"terminated","size":4,"up_since_ms":0}]}}]},
    "settings":{"balancers":3,"zones":["hall-a","hall-b"],"kinds":["std-8a","std-8b"]}}"#;

#[test]
fn initial_events_are_applied_in_order() {
    let config = Config::parse(TEXT.as_bytes()).expect("valid");
    assert_eq!(
        (config.seed(), config.limits.sockets),
        (0x8c1f_30d2_7a5b_e964, 256)
    );
    let initial = config.initial_endpoints().expect("valid");
    assert_eq!(
        (initial.number, initial.is_complete, initial.endpoints.len()),
        (4, true, 1)
    );
    let endpoint = &initial.endpoints[0];
    assert_eq!(
        (endpoint.id, endpoint.zone, endpoint.kind, endpoint.phase),
        (0x00c4_1f7a, Some(1), Some(0), Phase::Ready)
    );
}

#[test]
fn truncated_file_and_invalid_values_are_errors() {
    assert!(matches!(
        Config::parse(&TEXT.as_bytes()[..TEXT.len() / 2]),
        Err(ConfigError::Json(_))
    ));
    let too_few_sockets = TEXT.replace("\"sockets\":256", "\"sockets\":3");
    assert!(matches!(
        Config::parse(too_few_sockets.as_bytes()),
        Err(ConfigError::Sockets(3))
    ));
    let invalid_id = TEXT.replace("s-00000002", "s-02");
    assert!(
        Config::parse(invalid_id.as_bytes())
            .expect("JSON")
            .initial_endpoints()
            .is_err()
    );
}
