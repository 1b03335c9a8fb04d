use super::*;
use serde_json::json;

#[test]
fn what_is_found_and_held_can_be_read() {
    assert_eq!(
        show(&json!({}), true),
        "nothing runs away, and nothing is held\n"
    );
    let f = json!({
        "verdict": "runaway", "subject": "statement r1/00007_ab", "engine": "e1", "class": "rent-load",
        "inWords": "blocks others", "seen": "run 20.0 s, usual 2.0 s, bound 6.0 s by 40 runs of its kind",
        "startedMsAgo": 20_000, "verdictMsAgo": 3000, "blocked": 40, "text": "insert into due", "note": "",
    });
    let h = json!({ "kind": "00ab", "class": "rent-load", "text": "insert into due", "atOnce": 1,
        "cleanRuns": 0, "cleanRunsForNextStep": 3, "heldForMs": 3000 });
    let all = json!({ "findings": [f.clone()], "past": [f], "holds": [h], "keptAway": [{"tables": "9", "engines": ["e1"]}] });
    let told = show(&all, false);
    for part in [
        "found\n",
        "runaway   statement r1/00007_ab on e1, class rent-load",
        "40 wait behind it",
        "0 of 3 clean runs",
        "kept away from e1",
        "--release KIND",
    ] {
        assert!(told.contains(part), "{part:?} in {told}");
    }
    assert!(!told.contains("no longer") && show(&all, true).contains("no longer"));
}
