use super::*;
use crate::coordinator::Phase;

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
fn a_file_tells_the_list_as_of_the_start() {
    let config = Config::read(TEXT.as_bytes()).expect("good");
    assert_eq!(
        (config.seed(), config.limits.sockets),
        (0x8c1f_30d2_7a5b_e964, 256)
    );
    let known = config.known().expect("good");
    assert_eq!(
        (known.number, known.whole, known.members.len()),
        (4, true, 1)
    );
    let m = &known.members[0];
    assert_eq!(
        (m.id, m.zone, m.kind, m.phase),
        (0x00c4_1f7a, Some(1), Some(0), Phase::Ready)
    );
}

#[test]
fn half_a_file_and_mad_figures_are_errors() {
    assert!(matches!(
        Config::read(&TEXT.as_bytes()[..TEXT.len() / 2]),
        Err(ConfigError::Json(_))
    ));
    let few = TEXT.replace("\"sockets\":256", "\"sockets\":3");
    assert!(matches!(
        Config::read(few.as_bytes()),
        Err(ConfigError::Figure(_))
    ));
    let odd = TEXT.replace("s-00000002", "s-02");
    assert!(Config::read(odd.as_bytes()).expect("JSON").known().is_err());
}
