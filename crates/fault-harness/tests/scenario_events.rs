//! The form of events in scenario files, and their text in reports.

use hoptiller_fault_harness::fleet_scenario::ScenarioEvent;
use serde_json::{Value, json};

/// Returns every event as its form in a file and its text in reports.
fn events() -> Vec<(Value, &'static str)> {
    vec![
        (json!({ "put": "first" }), "Put(\"first\")"),
        (json!({ "alone": 0 }), "Alone(0)"),
        (json!({ "apart": 1 }), "Apart(1)"),
        (json!({ "deaf": [0, 2] }), "Deaf(0, 2)"),
        (json!({ "no_answers": 1 }), "NoAnswers(1)"),
        (json!({ "slow": 250 }), "Slow(250)"),
        (json!({ "slow_router": [1, 300] }), "SlowRouter(1, 300)"),
        (json!("reset"), "Reset"),
        (json!("heal"), "Heal"),
        (json!({ "kill_keeper": 0 }), "KillKeeper(0)"),
        (json!({ "start_keeper": 0 }), "StartKeeper(0)"),
        (json!("kill_keepers"), "KillKeepers"),
        (json!({ "kill_others": 2 }), "KillOthers(2)"),
        (json!("start_keepers"), "StartKeepers"),
        (json!({ "kill_router": 3 }), "KillRouter(3)"),
        (json!({ "start_router": 3 }), "StartRouter(3)"),
        (json!({ "stop_router": 2 }), "StopRouter(2)"),
        (json!({ "go_on": 2 }), "GoOn(2)"),
    ]
}

#[test]
fn every_event_has_its_key_in_files_and_its_text_in_reports() {
    for (form, description) in events() {
        let event: ScenarioEvent = serde_json::from_value(form.clone()).expect("an event");
        assert_eq!(event.to_string(), description, "{form}");
    }
}

#[test]
fn unknown_events_are_rejected() {
    for form in [
        json!("mend"),
        json!({ "isolate_router": 0 }),
        json!({ "alone": "r1" }),
    ] {
        assert!(
            serde_json::from_value::<ScenarioEvent>(form.clone()).is_err(),
            "{form}"
        );
    }
}
