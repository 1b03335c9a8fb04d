use super::*;

const S: Micros = 1_000_000;

fn services(lines: &[(&str, &str, &str)]) -> Services {
    let service = |(node, id, http): &(&str, &str, &str)| Service {
        id: (*id).into(),
        node_id: (*node).into(),
        kind: ENGINE_SERVICE_TYPE.into(),
        pool: "general".into(),
        location: format!("/hall-b/{node}"),
        properties: [("http", *http), ("kind", "big")]
            .map(|(k, v)| (k.to_owned(), v.to_owned()))
            .into(),
    };
    Services {
        environment: "e".into(),
        services: lines.iter().map(service).collect(),
    }
}

fn membership() -> Membership {
    let names = |n: &[&str]| n.iter().map(|s| (*s).to_owned()).collect();
    Membership::new("e", names(&["small", "big"]), names(&["hall-a", "hall-b"]))
}

#[test]
fn an_engine_of_unknown_age_counts_as_cold_until_it_tells() {
    let mut m = membership();
    assert!(
        m.list(100 * S, &services(&[("a", "1", "http://127.0.0.1:1")]))
            .is_empty()
    );
    let entries = m.take_changed().expect("new");
    assert_eq!(
        (entries[0].ready_at, entries[0].zone, entries[0].kind),
        (100 * S, Some(1), Some(1))
    );
    m.uptime(101 * S, "a", Duration::from_secs(60));
    assert_eq!(m.take_changed().expect("older")[0].ready_at, 41 * S);
    m.uptime(103 * S, "a", Duration::from_millis(61_500));
    assert!(m.take_changed().is_none(), "the same process");
}

#[test]
fn a_younger_process_under_the_same_id_is_a_new_one_and_no_longer_drains() {
    let mut m = membership();
    let list = services(&[("a", "1", "http://127.0.0.1:1")]);
    m.list(0, &list);
    m.uptime(100 * S, "a", Duration::from_secs(60));
    m.state("a", NodeState::ShuttingDown);
    assert_eq!(
        m.take_changed().expect("drains")[0].readiness,
        Readiness::Draining
    );
    m.list(101 * S, &list);
    assert!(
        m.take_changed().is_none(),
        "a list that knows nothing of it changes nothing"
    );
    m.uptime(110 * S, "a", Duration::from_secs(2));
    let entry = m.take_changed().expect("restarted")[0].clone();
    assert_eq!((entry.ready_at, entry.readiness), (108 * S, Readiness::Up));
}

#[test]
fn what_a_list_lacks_is_gone_and_what_it_garbles_is_passed_over() {
    let mut m = membership();
    m.list(
        0,
        &services(&[("a", "1", "http://127.0.0.1:1"), ("b", "2", "127.0.0.1:2")]),
    );
    assert_eq!(m.take_changed().map(|e| e.len()), Some(2));
    let garbled = [
        ("b", "2", "127.0.0.1:2"),
        ("b", "3", "127.0.0.1:3"),
        ("c", "4", "nowhere"),
        ("", "5", "127.0.0.1:5"),
    ];
    assert_eq!(m.list(S, &services(&garbled)).len(), 3);
    let left = m.take_changed().expect("a is gone");
    assert_eq!(
        left.iter().map(|e| e.engine).collect::<Vec<_>>(),
        vec![EngineId(1)]
    );
    let other = Services {
        environment: "other".into(),
        ..services(&[("b", "2", "127.0.0.1:2")])
    };
    assert_eq!(m.list(S, &other).len(), 1);
}
