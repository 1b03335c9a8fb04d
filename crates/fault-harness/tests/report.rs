//! The report of a fleet scenario, and the rules that follow from its documents.

use std::collections::{BTreeMap, BTreeSet};

use hoptiller_audit::{Rules, Verdict};
use hoptiller_coordination_client::wire::VersionNumbers;
use hoptiller_fault_harness::fleet_scenario::{
    FleetReport, LoggedEvent, Outcome, Timeline, percentile,
};
use serde_json::{Value, json};

fn report() -> FleetReport {
    FleetReport {
        verdict: Verdict::default(),
        outcome: Outcome {
            accepted: 3,
            rejected: 2,
            unknown: 1,
            in_force_ms: vec![10, 20],
            numbers: VersionNumbers {
                in_force: 4,
                last: 5,
                table_revision: 6,
            },
            logged_events: vec![LoggedEvent {
                elapsed_ms: 2000,
                description: "Heal".into(),
            }],
            compatible: BTreeSet::from([2]),
            ..Outcome::default()
        },
    }
}

#[test]
fn a_report_has_its_stable_json_form() {
    let mut value = serde_json::to_value(report()).expect("JSON");
    let verdict = value["verdict"].take();
    assert!(verdict["breaks"].is_array(), "{verdict}");
    assert_eq!(
        value,
        json!({
            "verdict": null, "taken": 3, "refused": 2, "unknown": 1, "in_force_ms": [10, 20], "lost": [], "fallen": [],
            "numbers": { "in_force": 4, "last": 5, "board": 6 }, "course": [[2000, "Heal"]],
        })
    );
}

#[test]
fn a_report_with_a_lost_version_or_an_exited_process_is_not_a_success() {
    assert!(report().is_success());
    let mut with_loss = report();
    with_loss.outcome.lost.push(3);
    assert!(!with_loss.is_success());
    let mut with_exit = report();
    let exit = "keeper-1: exit status: 3".to_owned();
    with_exit.outcome.exited_processes.push(exit);
    assert!(!with_exit.is_success());
}

#[test]
fn percentiles_are_values_of_the_sample() {
    let ascending = [10, 20, 30, 40];
    let at = |fraction| percentile(&ascending, fraction);
    assert_eq!(
        (at(0.0), at(0.5), at(0.99), at(1.0)),
        (Some(10), Some(30), Some(40), Some(40))
    );
    assert_eq!(percentile(&[], 0.5), None);
}

fn document(repeat: &str, kinds: Value, max_attempts: u32) -> Value {
    json!({
        "form": 1, "kinds": { "a": 8, "b": 8 }, "engines": { "max_attempts": max_attempts },
        "classes": { "report": { "aim": "1s", "patience": "7s", "repeat": repeat, "kinds": kinds } },
        "rules": { "start_capacity": 0.3, "ramp": "14s", "overload": 3, "fall": "2s" }
    })
}

fn rules_of(documents: &[Value]) -> Rules {
    let documents: BTreeMap<String, &Value> = (0..)
        .map(|number| number.to_string())
        .zip(documents)
        .collect();
    let timeline: Timeline = serde_json::from_value(json!({
        "lasts": "1s", "documents": documents, "clients": { "count": 1, "pause": "1s", "mix": [] }
    }))
    .expect("a timeline");
    let mut rules = Rules {
        classes: BTreeMap::new(),
        drain_grace: u64::MAX,
        max_attempts: u32::MAX,
        order_pause: 0,
        retry_budget: None,
        versions: None,
    };
    timeline.add_rules(&mut rules);
    rules
}

#[test]
fn the_rules_of_several_documents_are_the_most_permissive_of_each() {
    let rules = rules_of(&[
        document("never", json!(["a"]), 2),
        document("safe", json!(["b"]), 3),
    ]);
    let class = &rules.classes["report"];
    assert_eq!(rules.max_attempts, 3);
    assert!(!class.non_idempotent);
    let both = BTreeSet::from(["a".to_owned(), "b".to_owned()]);
    assert_eq!(class.machine_kinds, both);
}

#[test]
fn a_document_without_kinds_allows_every_kind() {
    let rules = rules_of(&[
        document("safe", json!(["a"]), 2),
        document("safe", json!(null), 2),
    ]);
    assert!(rules.classes["report"].machine_kinds.is_empty());
}
