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
    let class_placements = [Some(vec![1]), None]
        .into_iter()
        .map(|kinds| Placement { zones: None, kinds })
        .collect();
    let class_idempotency = vec![Idempotency::Idempotent, Idempotency::NotIdempotent];
    let mut table = EndpointTable {
        entries: BTreeMap::new(),
        class_placements,
        class_idempotency,
        cancel_stops_work: false,
        retry_after: None,
    };
    assert!(
        table
            .update(ListScope::All, &[entry(1, 0, 5), entry(2, 1, 5)])
            .is_empty()
    );
    let allowed_classes: Vec<Vec<bool>> = table
        .engine_statuses()
        .into_iter()
        .map(|status| status.classes)
        .collect();
    assert_eq!(allowed_classes, [[false, true], [true, true]]);
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
            .engine_statuses()
            .iter()
            .map(|status| (status.engine.0, status.is_up))
            .collect::<Vec<_>>(),
        [(2, false)]
    );
}
