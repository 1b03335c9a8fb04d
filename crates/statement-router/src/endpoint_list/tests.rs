use super::*;

const SECOND: Micros = 1_000_000;

fn services(lines: &[(&str, &str, &str)]) -> Services {
    let service = |(node, id, http): &(&str, &str, &str)| Service {
        id: (*id).into(),
        node_id: (*node).into(),
        service_type: ENGINE_SERVICE_TYPE.into(),
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

fn endpoint_list() -> EndpointList {
    let names = |n: &[&str]| n.iter().map(|s| (*s).to_owned()).collect();
    EndpointList::new("e", names(&["small", "big"]), names(&["hall-a", "hall-b"]))
}

#[test]
fn an_engine_of_unknown_age_gets_a_slow_start_until_it_reports_its_uptime() {
    let mut list = endpoint_list();
    assert!(
        list.update(100 * SECOND, &services(&[("a", "1", "http://127.0.0.1:1")]))
            .is_empty()
    );
    let entries = list.take_changed().expect("new");
    assert_eq!(
        (entries[0].ready_at, entries[0].zone, entries[0].kind),
        (100 * SECOND, Some(1), Some(1))
    );
    list.update_uptime(101 * SECOND, "a", Duration::from_secs(60));
    assert_eq!(list.take_changed().expect("older")[0].ready_at, 41 * SECOND);
    list.update_uptime(103 * SECOND, "a", Duration::from_millis(61_500));
    assert!(list.take_changed().is_none(), "the same process");
}

#[test]
fn a_restarted_process_under_the_same_name_is_not_draining() {
    let mut list = endpoint_list();
    let services_of_a = services(&[("a", "1", "http://127.0.0.1:1")]);
    list.update(0, &services_of_a);
    list.update_uptime(100 * SECOND, "a", Duration::from_secs(60));
    list.update_state("a", NodeState::ShuttingDown);
    assert_eq!(
        list.take_changed().expect("drains")[0].readiness,
        Readiness::Draining
    );
    list.update(101 * SECOND, &services_of_a);
    assert!(
        list.take_changed().is_none(),
        "an unchanged list does not end the draining state"
    );
    list.update_uptime(110 * SECOND, "a", Duration::from_secs(2));
    let entry = list.take_changed().expect("restarted")[0].clone();
    assert_eq!(
        (entry.ready_at, entry.readiness),
        (108 * SECOND, Readiness::Up)
    );
}

#[test]
fn engines_missing_from_a_list_are_removed_and_malformed_entries_are_skipped() {
    let mut list = endpoint_list();
    list.update(
        0,
        &services(&[("a", "1", "http://127.0.0.1:1"), ("b", "2", "127.0.0.1:2")]),
    );
    assert_eq!(list.take_changed().map(|e| e.len()), Some(2));
    // One valid entry, a duplicate and two malformed ones.
    let entries = [
        ("b", "2", "127.0.0.1:2"),
        ("b", "3", "127.0.0.1:3"),
        ("c", "4", "nowhere"),
        ("", "5", "127.0.0.1:5"),
    ];
    assert_eq!(list.update(SECOND, &services(&entries)).len(), 3);
    let remaining = list.take_changed().expect("a is gone");
    assert_eq!(
        remaining.iter().map(|e| e.engine).collect::<Vec<_>>(),
        vec![EngineId(1)]
    );
    let other = Services {
        environment: "other".into(),
        ..services(&[("b", "2", "127.0.0.1:2")])
    };
    assert_eq!(list.update(SECOND, &other).len(), 1);
}
