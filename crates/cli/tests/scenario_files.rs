//! Validation of scenario files by `hoptiller check`: descriptions of the examples, all events, and unknown keys.

mod temp_folder;

use std::path::Path;
use std::process::Command;

use temp_folder::{TempFolder, examples};

/// Runs `hoptiller check`, and returns the exit code and all output.
fn check(file: &Path) -> (Option<i32>, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_hoptiller"))
        .arg("check")
        .arg(file)
        .output()
        .expect("it runs");
    let printed = String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned();
    (out.status.code(), printed)
}

/// Checks an example with a change in Jsonnet, which can refer to the example as `base`.
fn check_changed(folder: &TempFolder, example: &str, change: &str) -> (Option<i32>, String) {
    let text = format!(
        "local base = import '{}/{example}';\nbase + {change}",
        examples().display()
    );
    check(&folder.write("changed.jsonnet", &text))
}

#[test]
fn each_example_scenario_has_the_pinned_description() {
    let described = [
        (
            "bad-day.jsonnet",
            "router scenario of 60 s, 3 routers, 8 engines, 100 clients",
        ),
        (
            "short-day.jsonnet",
            "router scenario of 16 s, 3 routers, 8 engines, 60 clients",
        ),
        (
            "fleet-versions.jsonnet",
            "fleet scenario of 30 s, 3 replicas, 6 routers, 5 documents",
        ),
        (
            "fleet-leases.jsonnet",
            "fleet scenario of 30 s, 3 replicas, 5 routers, 6 documents",
        ),
        (
            "fleet-random.jsonnet",
            "fleet scenario of 30 s, 3 replicas, 4 routers, 6 documents",
        ),
        (
            "fleet-calm.jsonnet",
            "fleet scenario of 36 s, 3 replicas, 6 routers, 6 documents",
        ),
    ];
    for (file, description) in described {
        let path = examples().join(file);
        assert_eq!(
            check(&path),
            (
                Some(0),
                format!("{}: valid; {description}\n", path.display())
            )
        );
    }
}

#[test]
fn every_event_of_a_day_is_accepted_under_its_key() {
    let folder = TempFolder::new("day-events");
    for event in [
        "{ rush: 2.5 }",
        "{ fault: { engine: 7, faults: {} } }",
        "{ fault: { engine: 0, faults: { hang: true, only: 'lookup' } } }",
        "{ drain: 7 }",
        "{ crash: 7 }",
        "{ start: 7 }",
        "{ kill: 2 }",
        "{ end: 2 }",
        "{ route: 2 }",
        "{ stale: true }",
        "{ down: false }",
    ] {
        let change = format!("{{ acts: [{{ at: '1s', do: {event} }}] }}");
        let (code, printed) = check_changed(&folder, "bad-day.jsonnet", &change);
        assert_eq!(code, Some(0), "{event}: {printed}");
    }
}

#[test]
fn events_of_a_day_with_unknown_targets_are_problems() {
    let folder = TempFolder::new("day-problems");
    let place = folder.path().join("changed.jsonnet").display().to_string();
    let engine = "expected an engine index below 8, found 8";
    let router = "expected a router index below 3, found 3";
    let factor = "expected a finite load factor over 0, found 0";
    for (event, description, problem) in [
        (
            "{ fault: { engine: 8, faults: {} } }",
            "engine 8 works as it should",
            engine,
        ),
        (
            "{ fault: { engine: 8, faults: { hang: true } } }",
            "engine 8 fails",
            engine,
        ),
        ("{ drain: 8 }", "engine 8 drains", engine),
        ("{ crash: 8 }", "engine 8 crashes", engine),
        ("{ start: 8 }", "engine 8 starts, cold", engine),
        ("{ kill: 3 }", "router 3 is killed", router),
        ("{ end: 3 }", "router 3 is told to end", router),
        ("{ route: 3 }", "router 3 starts", router),
        ("{ rush: 0 }", "clients pause 0 times less", factor),
    ] {
        let change = format!("{{ acts: [{{ at: '1s', do: {event} }}] }}");
        let expected = format!(
            "hoptiller: the settings have 1 problem; nothing was started\n  {place}: acts: at 1s, {description}: {problem}\n"
        );
        assert_eq!(
            check_changed(&folder, "bad-day.jsonnet", &change),
            (Some(2), expected)
        );
    }
}

#[test]
fn all_problems_of_a_day_are_reported_at_once() {
    let folder = TempFolder::new("day-all-problems");
    let place = folder.path().join("changed.jsonnet").display().to_string();
    let change = "{ routers: 17, lasts: '2h', clients+: { count: 0, mix: [base.clients.mix[0] { class: 'none' }] }, \
                  engines: [base.engines[0] { kind: 'none' }], acts: [] }";
    let expected = format!(
        "hoptiller: the settings have 5 problems; nothing was started\n  \
         {place}: expected 1 to 16 routers and 1 to 64 engines, found 17 and 1\n  \
         {place}: expected 1 to 5000 clients with a mix of at least one class, found 0 and 1\n  \
         {place}: lasts: expected a duration over 0 and up to 1 hour\n  \
         {place}: clients.mix: \"none\" is not a class of the settings\n  \
         {place}: engines[0].kind: \"none\" is not a machine kind of the settings\n"
    );
    assert_eq!(
        check_changed(&folder, "bad-day.jsonnet", change),
        (Some(2), expected)
    );
}

#[test]
fn problems_of_a_fleet_scenario_are_reported_at_once() {
    let folder = TempFolder::new("fleet-problems");
    let place = folder.path().join("changed.jsonnet").display().to_string();
    let change = "{ keepers: 4, day+: { documents: { other: base.day.documents.first } } }";
    let expected = format!(
        "hoptiller: the settings have 2 problems; nothing was started\n  \
         {place}: keepers: expected 3 or 5 replicas, 1 to 64 routers and at least one engine, found 4, 6 and 8\n  \
         {place}: day.documents: expected a document named `first`\n"
    );
    assert_eq!(
        check_changed(&folder, "fleet-versions.jsonnet", change),
        (Some(2), expected)
    );
}

#[test]
fn unknown_keys_of_scenarios_are_rejected() {
    let folder = TempFolder::new("unknown-keys");
    for (example, change) in [
        ("bad-day.jsonnet", "{ lastss: '1s' }"),
        ("bad-day.jsonnet", "{ clients+: { more: 1 } }"),
        (
            "bad-day.jsonnet",
            "{ engines: [base.engines[0] { more: 1 }] }",
        ),
        (
            "bad-day.jsonnet",
            "{ acts: [{ at: '1s', do: { mend: 1 } }] }",
        ),
        (
            "bad-day.jsonnet",
            "{ acts: [{ at: '1s', do: { end: 1 }, more: 1 }] }",
        ),
        ("fleet-versions.jsonnet", "{ more: 1 }"),
        ("fleet-versions.jsonnet", "{ day+: { more: 1 } }"),
        (
            "fleet-versions.jsonnet",
            "{ day+: { clients+: { more: 1 } } }",
        ),
        (
            "fleet-versions.jsonnet",
            "{ engines: [base.engines[0] { more: 1 }] }",
        ),
        (
            "fleet-versions.jsonnet",
            "{ day+: { acts: [{ at: '1s', do: 'mend' }] } }",
        ),
        (
            "fleet-versions.jsonnet",
            "{ day+: { acts: [{ at: '1s', do: 'heal', more: 1 }] } }",
        ),
    ] {
        let (code, printed) = check_changed(&folder, example, change);
        assert_eq!(code, Some(2), "{change}: {printed}");
        assert!(
            printed.contains("unknown field `more`")
                || printed.contains("unknown field `lastss`")
                || printed.contains("unknown variant `mend`"),
            "{change}: {printed}"
        );
    }
}

#[test]
fn optional_keys_that_no_example_uses_are_accepted() {
    let folder = TempFolder::new("optional-keys");
    for (example, change) in [
        (
            "bad-day.jsonnet",
            "{ engines: [base.engines[0] { cold: true, speed: 2 }], acts: [] }",
        ),
        ("fleet-versions.jsonnet", "{ drift: 500 }"),
        ("fleet-versions.jsonnet", "{ drift: null, unheld: null }"),
        (
            "fleet-versions.jsonnet",
            "{ router_skews: [-10, 10], keeper_skews: [5] }",
        ),
        (
            "fleet-versions.jsonnet",
            "{ engines: [base.engines[0] { fences: true, speed: null }] }",
        ),
    ] {
        let (code, printed) = check_changed(&folder, example, change);
        assert_eq!(code, Some(0), "{change}: {printed}");
    }
}
