use super::*;

fn entry(engine: u32, kind: usize, ready_at: Micros) -> EndpointEntry {
    EndpointEntry {
        engine: EngineId(engine),
        kind: Some(kind),
        ready_at,
        ..EndpointEntry::default()
    }
}

#[test]
fn lists_are_followed_and_processes_told_apart() {
    let placement = vec![(None, Some(vec![1])), (None, None)];
    let effects = vec![Idempotency::Idempotent, Idempotency::NotIdempotent];
    let mut fleet = Fleet {
        entries: BTreeMap::new(),
        placement,
        effects,
        cancels: false,
        hold_off: None,
    };
    assert!(
        fleet
            .take(ListScope::All, &[entry(1, 0, 5), entry(2, 1, 5)])
            .is_empty()
    );
    let fits: Vec<Vec<bool>> = fleet.listed().into_iter().map(|l| l.classes).collect();
    assert_eq!(fits, [[false, true], [true, true]]);
    assert_eq!(
        fleet.take(ListScope::Changes, &[entry(1, 0, 9)]),
        [EngineId(1)]
    );
    let draining = EndpointEntry {
        readiness: Readiness::Draining,
        ..entry(2, 1, 5)
    };
    fleet.take(ListScope::All, &[draining]);
    assert_eq!(
        fleet
            .listed()
            .iter()
            .map(|l| (l.engine.0, l.up))
            .collect::<Vec<_>>(),
        [(2, false)]
    );
}
