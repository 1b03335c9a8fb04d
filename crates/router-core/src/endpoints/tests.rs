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
fn updates_replace_entries_and_detect_restarts() {
    let placement = [Some(vec![1]), None]
        .into_iter()
        .map(|kinds| Placement { zones: None, kinds })
        .collect();
    let idempotency = vec![Idempotency::Idempotent, Idempotency::NotIdempotent];
    let mut table = EndpointTable {
        entries: BTreeMap::new(),
        placement,
        idempotency,
        cancel_stops_work: false,
        retry_after: None,
    };
    assert!(
        table
            .update(ListScope::All, &[entry(1, 0, 5), entry(2, 1, 5)])
            .is_empty()
    );
    let fits: Vec<Vec<bool>> = table.listed().into_iter().map(|l| l.classes).collect();
    assert_eq!(fits, [[false, true], [true, true]]);
    assert_eq!(
        table.update(ListScope::Changes, &[entry(1, 0, 9)]),
        [EngineId(1)]
    );
    let draining = EndpointEntry {
        readiness: Readiness::Draining,
        ..entry(2, 1, 5)
    };
    table.update(ListScope::All, &[draining]);
    assert_eq!(
        table
            .listed()
            .iter()
            .map(|l| (l.engine.0, l.is_up))
            .collect::<Vec<_>>(),
        [(2, false)]
    );
}
