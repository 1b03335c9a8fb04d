use super::*;
use serde_json::{Value, json};

fn text_of(report: Value, with_past: bool) -> String {
    let report: Report = serde_json::from_value(report).expect("a report");
    report.to_text(with_past)
}

#[test]
fn findings_and_holds_are_shown() {
    assert_eq!(text_of(json!({}), true), "no runaways and no holds\n");
    let finding = json!({
        "verdict": "runaway", "subject": "statement r1/00007_ab", "engine": "e1", "class": "rent-load",
        "inWords": "blocks others", "seen": "run 20.0 s, usual 2.0 s, bound 6.0 s by 40 runs of its kind",
        "startedMsAgo": 20_000, "verdictMsAgo": 3000, "blocked": 40, "text": "insert into due", "note": "",
    });
    let hold = json!({ "kind": "00ab", "class": "rent-load", "text": "insert into due", "atOnce": 1,
        "cleanRuns": 0, "cleanRunsForNextStep": 3, "heldForMs": 3000 });
    let report = json!({ "findings": [finding.clone()], "past": [finding], "holds": [hold],
        "keptAway": [{"tables": "9", "engines": ["e1"]}] });
    let text = text_of(report.clone(), false);
    for part in [
        "found\n",
        "runaway   statement r1/00007_ab on e1, class rent-load",
        "40 wait behind it",
        "0 of 3 clean runs",
        "tables 9: excluded engines e1",
        "--release KIND",
    ] {
        assert!(text.contains(part), "{part:?} in {text}");
    }
    assert!(!text.contains("no longer"));
    assert!(text_of(report, true).contains("no longer applies"));
}

#[test]
fn a_report_has_the_pinned_text() {
    let report = json!({
        "findings": [{
            "verdict": "runaway", "subject": "kind 00ab", "engine": null, "class": null, "inWords": "bad plan",
            "seen": "run 20.0 s", "startedMsAgo": 20_999, "verdictMsAgo": 3000, "blocked": 0, "text": "select 1",
            "note": "checked",
        }],
        "holds": [{ "kind": "00ab", "class": "report", "text": "select 1", "atOnce": 2, "cleanRuns": 1,
            "cleanRunsForNextStep": 3, "heldForMs": 3999 }],
        "keptAway": [{"tables": "9", "engines": ["e1", "e2"]}],
    });
    let expected = "found
  runaway   kind 00ab
            bad plan: run 20.0 s
            began 20 s ago, verdict 3 s ago
            select 1
            checked
held kinds (release one with --release KIND)
  00ab  class report, 2 at once, 1 of 3 clean runs to the next step, for 3 s
      select 1
  tables 9: excluded engines e1, e2
";
    assert_eq!(text_of(report, false), expected);
}
