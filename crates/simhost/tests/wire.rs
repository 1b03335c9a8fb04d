//! The adapter on hand-written wire lines.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn play(lines: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_hoptiller-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child
        .stdin
        .take()
        .expect("piped")
        .write_all(lines.as_bytes())
        .expect("written");
    child.wait_with_output().expect("it ends with its input")
}

fn hello(i: u32) -> String {
    format!(
        r#"{{"hello":{{"i":{i},"salt":4,"settings":{{"balancers":1,"tick":5,"zones":["z"],"kinds":["k"],"unknownSetting":1,
        "lanes":[{{"name":"short","aim":1000,"deadline":5000,"semantics":"pure","importance":1}}],
        "extra":{{"cpuOfKind":[8],"parallelism":[1]}},"limits":{{"maxAttempts":2}}}}}}}}"#
    )
    .replace('\n', "")
}

const LIST: &str = r#"{"roster":{"table":3,"elements":[{"engine":51,"zone":"z","machine":"k","weight":0,"readiness":"up"}]}}"#;

fn start(i: u32) -> String {
    start_of(&hello(i)).replace(r#""i":3,"#, &format!(r#""i":{i},"#))
}

/// Instance 3 with this first message and a list.
fn start_of(hello: &str) -> String {
    format!(r#"{hello},{LIST},{{"sync":{{"i":3,"scope":"remembered","table":3}}}}"#)
}

fn work(i: u32, handle: &str) -> String {
    format!(
        r#"{{"workItem":{{"i":{i},"handle":"{handle}","profile":"short","validUntil":6000.5}}}}"#
    )
}

fn batch(number: u32, at: u32, events: &str) -> String {
    format!("{{\"atTime\":{at},\"batch\":{number},\"happened\":[{events}]}}\n")
}

#[test]
fn a_request_is_handed_off_and_replies_name_their_batch() {
    let out =
        play(&(batch(1, 0, "") + &batch(2, 1000, &format!("{},{}", start(3), work(3, "rq_a")))));
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
    let lines = batch(1, 1000, &format!("{},{}", start(3), work(3, "rq_a")))
        + &batch(2, 2000, &format!(r#"{{"detach":{{"i":3}}}},{}"#, hello(3)))
        + &batch(
            3,
            2005,
            r#"{"outcome":{"i":3,"handle":"rq_a","engine":51,"ending":"BAD","elapsed":9}}"#,
        );
    let text = String::from_utf8(play(&lines).stdout).expect("UTF-8");
    assert!(!text.lines().nth(2).expect("three replies").contains("rq_a"));
}

#[test]
fn instances_are_independent_of_each_other() {
    let own = |text: &[u8]| {
        String::from_utf8_lossy(text)
            .split("{\"")
            .filter(|part| part.starts_with("i\":3,"))
            .map(|part| part.split('}').next().unwrap_or("").to_string())
            .collect::<Vec<_>>()
    };
    let alone = play(&batch(
        1,
        1000,
        &format!("{},{}", start(3), work(3, "rq_a")),
    ));
    let both = [start(3), start(4), work(4, "rq_b"), work(3, "rq_a")].join(",");
    let both = play(&batch(1, 1000, &both));
    assert!(!own(&alone.stdout).is_empty());
    assert_eq!(own(&alone.stdout), own(&both.stdout));
}

#[test]
fn malformed_lines_end_the_program_with_a_message() {
    for (bad, named) in [
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
        let out = play(&format!("{}{bad}\n", batch(1, 0, "")));
        let message = String::from_utf8_lossy(&out.stderr).to_string();
        assert!(
            !out.status.success() && message.contains("line 2") && message.contains(named),
            "{message}"
        );
        assert_eq!(String::from_utf8_lossy(&out.stdout).lines().count(), 1);
    }
}

#[test]
fn unusable_settings_become_an_internal_error() {
    let out = play(&batch(1, 0, r#"{"hello":{"i":3,"salt":1,"settings":{}}}"#));
    assert!(String::from_utf8_lossy(&out.stdout).contains("internalError"));
}

#[test]
fn health_checks_are_requested_and_their_reports_accepted() {
    let hello = hello(3).replace(r#""maxAttempts":2"#, r#""maxAttempts":2,"mayProbe":true"#);
    let blind = play(&batch(
        1,
        1000,
        &[start_of(&hello), work(3, "rq_a")].join(","),
    ));
    assert!(
        !String::from_utf8_lossy(&blind.stdout).contains("askLoad"),
        "no probe where it can tell nothing"
    );
    let hello = hello.replace(
        r#""settings":{"#,
        r#""settings":{"telemetry":{"names":["cpu_share"]},"#,
    );
    let events = [start_of(&hello), work(3, "rq_a")].join(",");
    let result = |i: u32, engine: u64| {
        format!(
            r#"{{"health":{{"i":{i},"engine":{engine},"elapsed":2,"ending":"GOOD","report":{{"cpu_share":0.5,"odd":1}}}}}}"#
        )
    };
    let unknown = [result(3, 51), result(3, 99), result(8, 51)].join(",");
    let out = play(&(batch(1, 1000, &events) + &batch(2, 1010, &unknown)));
    let text = String::from_utf8(out.stdout).expect("UTF-8");
    assert!(
        text.contains(r#"{"askLoad":{"i":3,"engine":51}}"#),
        "{text}"
    );
    assert_eq!(
        text.lines().count(),
        2,
        "results of engines and instances it does not know are ignored"
    );
    let lost = r#"{"health":{"i":3,"ending":"GOOD"}}"#;
    let out = play(&batch(1, 1000, lost));
    assert!(
        String::from_utf8_lossy(&out.stderr).contains("engine"),
        "a result must name its engine"
    );
}

#[test]
fn progress_reaches_the_controller_and_cancellations_the_wire() {
    let hello = hello(3)
        .replace(r#""maxAttempts":2"#, r#""maxAttempts":2,"cancel":true"#)
        .replace(
            r#""parallelism":[1]"#,
            r#""parallelism":[1],"progressPace":500"#,
        );
    let note = |at: &str| format!(r#"{{"notice":{{"i":3,"handle":{at}}}}}"#);
    let slow = note(r#""rq_a","hop":0,"engine":51,"sort":1,"level":0.01"#);
    let odd = [
        r#""rq_b","engine":51,"sort":1"#,
        r#""rq_a","engine":9,"sort":3,"level":1"#,
    ];
    let odd = [
        note(odd[0]),
        note(odd[1]),
        note(r#""rq_a","engine":51,"sort":77,"level":-1"#),
    ]
    .join(",");
    let started = [start_of(&hello), work(3, "rq_a")].join(",");
    let text =
        play(&(batch(1, 1000, &started) + &batch(2, 1500, &odd) + &batch(3, 2000, &slow))).stdout;
    let text = String::from_utf8(text).expect("UTF-8");
    let lines: Vec<&str> = text.lines().collect();
    assert!(!lines[1].contains("withdraw"), "{text}");
    assert!(
        lines[2].contains(r#"{"withdraw":{"i":3,"handle":"rq_a","hop":0}}"#),
        "{text}"
    );
    let lost = play(&batch(1, 1000, r#"{"notice":{"i":3,"handle":"rq_a"}}"#));
    assert!(
        String::from_utf8_lossy(&lost.stderr).contains("engine"),
        "a note must name its engine"
    );
}
