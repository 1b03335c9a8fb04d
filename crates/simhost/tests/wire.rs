//! Tests of the program with handwritten lines of the simulator's protocol.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(lines: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_hoptiller-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("hoptiller-simhost starts");
    child
        .stdin
        .take()
        .expect("standard input is piped")
        .write_all(lines.as_bytes())
        .expect("the program reads its input");
    child
        .wait_with_output()
        .expect("the program ends with its input")
}

fn hello(instance: u32) -> String {
    format!(
        r#"{{"hello":{{"i":{instance},"salt":4,"settings":{{"balancers":1,"tick":5,"zones":["z"],"kinds":["k"],"unknownSetting":1,
        "lanes":[{{"name":"short","aim":1000,"deadline":5000,"semantics":"pure","importance":1}}],
        "extra":{{"cpuOfKind":[8],"parallelism":[1]}},"limits":{{"maxAttempts":2}}}}}}}}"#
    )
    .replace('\n', "")
}

const ENDPOINT_LIST: &str = r#"{"roster":{"table":3,"elements":[{"engine":51,"zone":"z","machine":"k","weight":0,"readiness":"up"}]}}"#;

/// Returns the events that start an instance and set its endpoint list.
fn start(instance: u32) -> String {
    start_with(&hello(instance)).replace(r#""i":3,"#, &format!(r#""i":{instance},"#))
}

/// Returns the events that start instance 3 with this `hello` and set its endpoint list.
fn start_with(hello: &str) -> String {
    format!(r#"{hello},{ENDPOINT_LIST},{{"sync":{{"i":3,"scope":"remembered","table":3}}}}"#)
}

fn work_item(instance: u32, handle: &str) -> String {
    format!(
        r#"{{"workItem":{{"i":{instance},"handle":"{handle}","profile":"short","validUntil":6000.5}}}}"#
    )
}

fn batch(number: u32, time: u32, events: &str) -> String {
    format!("{{\"atTime\":{time},\"batch\":{number},\"happened\":[{events}]}}\n")
}

#[test]
fn a_request_is_sent_and_replies_contain_their_batch_number() {
    let out = run(
        &(batch(1, 0, "") + &batch(2, 1000, &format!("{},{}", start(3), work_item(3, "rq_a"))))
    );
    let text = String::from_utf8(out.stdout).expect("UTF-8");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines[0], r#"{"batch":1,"do":[]}"#);
    assert!(
        lines[1].contains(r#"{"handOff":{"i":3,"handle":"rq_a","engine":51}}"#),
        "{}",
        lines[1]
    );
    assert!(out.status.success());
}

#[test]
fn a_restart_in_one_batch_discards_all_requests() {
    let lines = batch(1, 1000, &format!("{},{}", start(3), work_item(3, "rq_a")))
        + &batch(2, 2000, &format!(r#"{{"detach":{{"i":3}}}},{}"#, hello(3)))
        + &batch(
            3,
            2005,
            r#"{"outcome":{"i":3,"handle":"rq_a","engine":51,"ending":"BAD","elapsed":9}}"#,
        );
    let text = String::from_utf8(run(&lines).stdout).expect("UTF-8");
    assert!(!text.lines().nth(2).expect("three replies").contains("rq_a"));
}

#[test]
fn instances_are_independent_of_each_other() {
    let actions_of_instance_3 = |text: &[u8]| {
        String::from_utf8_lossy(text)
            .split("{\"")
            .filter(|part| part.starts_with("i\":3,"))
            .map(|part| part.split('}').next().unwrap_or("").to_string())
            .collect::<Vec<_>>()
    };
    let alone = run(&batch(
        1,
        1000,
        &format!("{},{}", start(3), work_item(3, "rq_a")),
    ));
    let both = [
        start(3),
        start(4),
        work_item(4, "rq_b"),
        work_item(3, "rq_a"),
    ]
    .join(",");
    let both = run(&batch(1, 1000, &both));
    let expected = actions_of_instance_3(&alone.stdout);
    assert!(!expected.is_empty());
    assert_eq!(expected, actions_of_instance_3(&both.stdout));
}

#[test]
fn malformed_lines_end_the_program_with_an_error_message() {
    for (line, expected) in [
        ("no json", "line 2"),
        (r#"{"batch":2,"happened":[]}"#, "atTime"),
        (
            r#"{"atTime":1,"batch":2,"happened":[{"workItem":{"i":3,"profile":"short","validUntil":9}}]}"#,
            "handle",
        ),
        (
            r#"{"atTime":1,"batch":2,"happened":[{"sync":{"i":3,"scope":"odd"}}]}"#,
            "odd",
        ),
        (
            r#"{"atTime":1,"batch":2,"happened":[{"outcome":{"i":3,"handle":"a","engine":1,"ending":"ODD"}}]}"#,
            "ODD",
        ),
    ] {
        let out = run(&format!("{}{line}\n", batch(1, 0, "")));
        let message = String::from_utf8_lossy(&out.stderr).to_string();
        assert!(
            !out.status.success() && message.contains("line 2") && message.contains(expected),
            "{message}"
        );
        assert_eq!(String::from_utf8_lossy(&out.stdout).lines().count(), 1);
    }
}

#[test]
fn unusable_settings_become_an_internal_error() {
    let out = run(&batch(1, 0, r#"{"hello":{"i":3,"salt":1,"settings":{}}}"#));
    assert!(String::from_utf8_lossy(&out.stdout).contains("internalError"));
}

#[test]
fn health_checks_are_requested_and_their_reports_accepted() {
    let hello = hello(3).replace(r#""maxAttempts":2"#, r#""maxAttempts":2,"mayProbe":true"#);
    let without_reports = run(&batch(
        1,
        1000,
        &[start_with(&hello), work_item(3, "rq_a")].join(","),
    ));
    assert!(
        !String::from_utf8_lossy(&without_reports.stdout).contains("askLoad"),
        "no health check if engines report no load"
    );
    let hello = hello.replace(
        r#""settings":{"#,
        r#""settings":{"telemetry":{"names":["cpu_share"]},"#,
    );
    let events = [start_with(&hello), work_item(3, "rq_a")].join(",");
    let result = |instance: u32, engine: u64| {
        format!(
            r#"{{"health":{{"i":{instance},"engine":{engine},"elapsed":2,"ending":"GOOD","report":{{"cpu_share":0.5,"odd":1}}}}}}"#
        )
    };
    let results = [result(3, 51), result(3, 99), result(8, 51)].join(",");
    let out = run(&(batch(1, 1000, &events) + &batch(2, 1010, &results)));
    let text = String::from_utf8(out.stdout).expect("UTF-8");
    assert!(
        text.contains(r#"{"askLoad":{"i":3,"engine":51}}"#),
        "{text}"
    );
    assert_eq!(
        text.lines().count(),
        2,
        "results of unknown engines and instances are ignored"
    );
    let incomplete = r#"{"health":{"i":3,"ending":"GOOD"}}"#;
    let out = run(&batch(1, 1000, incomplete));
    assert!(
        String::from_utf8_lossy(&out.stderr).contains("engine"),
        "an error for a health check result without an engine"
    );
}

#[test]
fn progress_is_passed_to_the_controller_and_cancellations_are_returned() {
    let hello = hello(3)
        .replace(r#""maxAttempts":2"#, r#""maxAttempts":2,"cancel":true"#)
        .replace(
            r#""parallelism":[1]"#,
            r#""parallelism":[1],"progressPace":500"#,
        );
    let notice = |fields: &str| format!(r#"{{"notice":{{"i":3,"handle":{fields}}}}}"#);
    let slow = notice(r#""rq_a","hop":0,"engine":51,"sort":1,"level":0.01"#);
    let ignored = [
        notice(r#""rq_b","engine":51,"sort":1"#),
        notice(r#""rq_a","engine":9,"sort":3,"level":1"#),
        notice(r#""rq_a","engine":51,"sort":77,"level":-1"#),
    ]
    .join(",");
    let started = [start_with(&hello), work_item(3, "rq_a")].join(",");
    let lines = batch(1, 1000, &started) + &batch(2, 1500, &ignored) + &batch(3, 2000, &slow);
    let text = run(&lines).stdout;
    let text = String::from_utf8(text).expect("UTF-8");
    let lines: Vec<&str> = text.lines().collect();
    assert!(!lines[1].contains("withdraw"), "{text}");
    assert!(
        lines[2].contains(r#"{"withdraw":{"i":3,"handle":"rq_a","hop":0}}"#),
        "{text}"
    );
    let incomplete = run(&batch(1, 1000, r#"{"notice":{"i":3,"handle":"rq_a"}}"#));
    assert!(
        String::from_utf8_lossy(&incomplete.stderr).contains("engine"),
        "an error for a notice without an engine"
    );
}
