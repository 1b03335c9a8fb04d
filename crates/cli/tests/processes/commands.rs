//! Commands that run to completion: a scenario, checks of settings and examples, and a study.

use std::path::Path;
use std::process::Command;

use serde_json::{Value, json};

use crate::process::{PROGRAM, program};
use crate::temp_folder::{TempFolder, examples};

#[test]
fn a_short_scenario_violates_no_rule_and_a_planted_violation_is_found() {
    let folder = TempFolder::new("day");
    let file = examples().join("short-day.jsonnet");
    let report = folder.path().join("report").display().to_string();
    let out = program(&[
        "day",
        &file.display().to_string(),
        "--report",
        &report,
        "--json",
    ]);
    let verdict: Value = serde_json::from_slice(&out.stdout).expect("a verdict");
    assert_eq!(
        (out.status.code(), &verdict["breaks"]),
        (Some(0), &json!([])),
        "{verdict:#}"
    );
    // The scenario was not trivial: every class was served, and faults caused retries.
    for class in ["lookup", "report", "rent-load"] {
        let totals = &verdict["classes"][class];
        assert!(totals["served"].as_u64() > Some(10), "{class}: {totals}");
    }
    let loads = &verdict["classes"]["rent-load"];
    assert!(
        loads["postings"].as_u64() >= loads["served"].as_u64(),
        "{loads}"
    );
    let lookups = &verdict["classes"]["lookup"];
    assert!(
        lookups["attempts"].as_u64() > lookups["served"].as_u64(),
        "some were retried: {lookups}"
    );
    // A copy of an effect's record, as of a statement that ran twice, is found to be a violation.
    let records =
        std::fs::read_to_string(Path::new(&report).join("engine-0.jsonl")).expect("records");
    let effect = records
        .lines()
        .find(|line| line.contains("\"posted\""))
        .expect("a posting");
    std::fs::write(
        Path::new(&report).join("planted.jsonl"),
        format!("{effect}\n"),
    )
    .expect("written");
    let out = program(&["audit", &report]);
    let text = String::from_utf8_lossy(&out.stdout).into_owned();
    assert!(
        out.status.code() == Some(1) && text.contains("rule 2"),
        "{text}"
    );
    // With a malformed record there is no verdict.
    std::fs::write(
        Path::new(&report).join("planted.jsonl"),
        &effect[..effect.len() / 2],
    )
    .expect("written");
    assert_eq!(program(&["audit", &report]).status.code(), Some(2));
}

#[test]
fn settings_with_problems_start_nothing_and_all_problems_are_reported() {
    let folder = TempFolder::new("check");
    let example = examples().join("derby.jsonnet");
    assert_eq!(
        program(&["check", &example.display().to_string()])
            .status
            .code(),
        Some(0)
    );
    let invalid = folder.write(
        "bad.jsonnet",
        &format!(
            "(import '{}') + {{ router+: {{ lisen: 1, listen: 'here' }} }}",
            example.display()
        ),
    );
    for command in ["check", "route"] {
        let out = program(&[command, &invalid.display().to_string()]);
        let text = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(2));
        assert!(
            text.contains("router.lisen: unknown key")
                && text.contains("router.listen: \"here\" is no address"),
            "{text}"
        );
    }
    let broken = folder.write("broken.jsonnet", "{\n  a: 1,\n  b: }\n");
    let out = program(&["check", &broken.display().to_string()]);
    assert!(
        String::from_utf8_lossy(&out.stderr).contains("broken.jsonnet:3"),
        "{out:?}"
    );
    assert_eq!(
        program(&["check", "/nowhere/x.jsonnet"]).status.code(),
        Some(2)
    );
    assert_eq!(program(&["frobnicate"]).status.code(), Some(2));
}

#[test]
fn the_study_of_runaways_rejects_settings_that_it_cannot_use() {
    let folder = TempFolder::new("study");
    let run = |args: &[&str]| {
        Command::new(PROGRAM)
            .args(["experiment", "runaways"])
            .args(args)
            .output()
            .expect("runs")
    };
    let wrong = folder.write("wrong.jsonnet", "{}");
    let output = run(&["--settings", wrong.to_str().expect("text")]);
    assert_eq!(output.status.code(), Some(2));
}

#[test]
fn every_example_passes_check() {
    let files = std::fs::read_dir(examples())
        .expect("there")
        .flatten()
        .map(|entry| entry.path());
    let files: Vec<_> = files
        .filter(|path| {
            path.extension()
                .is_some_and(|extension| extension == "jsonnet")
        })
        .collect();
    assert!(files.len() > 5, "{files:?}");
    for file in files {
        let out = Command::new(PROGRAM)
            .arg("check")
            .arg(&file)
            .output()
            .expect("runs");
        let stderr = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(0), "{}: {stderr}", file.display());
    }
}
