use super::*;

#[test]
fn recording_reports_only_new_processes_and_changes_of_draining() {
    let mut observations = EngineObservations::default();
    let observation = |started_at_ms, draining| EngineObservation {
        started_at_ms,
        draining,
    };
    assert!(observations.record("a", observation(10_000, false)));
    assert!(
        !observations.record("a", observation(11_400, false)),
        "the process is the same"
    );
    assert!(
        observations.record("a", observation(10_000, true)),
        "the engine drains now"
    );
    assert!(
        observations.record("a", observation(20_000, false)),
        "the process is another one"
    );
    assert!(observations.record("b", observation(5, false)));
    assert_eq!(
        EngineObservations::from_note(&observations.to_note()),
        observations
    );
    assert_eq!(
        EngineObservations::from_note("{"),
        EngineObservations::default()
    );
    let only_b = ["b".to_owned()].into();
    assert!(observations.retain(&only_b) && !observations.retain(&only_b));
    assert_eq!(observations.by_engine.keys().collect::<Vec<_>>(), ["b"]);
}
