use super::*;

fn entry(engine: u32, kind: usize, ready_at: Micros) -> Entry {
    Entry {
        engine: EngineId(engine),
        kind: Some(kind),
        ready_at,
        ..Entry::default()
    }
}

#[test]
fn lists_are_followed_and_processes_told_apart() {
    let placement = vec![(None, Some(vec![1])), (None, None)];
    let effects = vec![Effect::Pure, Effect::Unsafe];
    let mut fleet = Fleet {
        entries: BTreeMap::new(),
        placement,
        effects,
        cancels: false,
        hold_off: None,
    };
    assert!(
        fleet
            .take(Scope::All, &[entry(1, 0, 5), entry(2, 1, 5)])
            .is_empty()
    );
    let fits: Vec<Vec<bool>> = fleet.listed().into_iter().map(|l| l.classes).collect();
    assert_eq!(fits, [[false, true], [true, true]]);
    assert_eq!(fleet.take(Scope::Changes, &[entry(1, 0, 9)]), [EngineId(1)]);
    let draining = Entry {
        readiness: Readiness::Draining,
        ..entry(2, 1, 5)
    };
    fleet.take(Scope::All, &[draining]);
    assert_eq!(
        fleet
            .listed()
            .iter()
            .map(|l| (l.engine.0, l.up))
            .collect::<Vec<_>>(),
        [(2, false)]
    );
}
