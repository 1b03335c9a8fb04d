use super::*;
use crate::interface::{Basis, Cause, Evidence, Measure};

fn finding(name: &str, verdict: Verdict, at: Micros) -> Finding {
    let evidence = Evidence {
        measure: Measure::Work,
        figure: 9e6,
        usual: 1e5,
        bar: 1e6,
        basis: Basis::Kind(40),
    };
    Finding {
        id: 0,
        subject: Subject::Statement(name.into()),
        verdict,
        cause: Cause::Heavy,
        class: Some(0),
        kind: None,
        label: String::new(),
        engine: None,
        started: 0,
        since: at,
        at,
        evidence,
        blocks: Vec::new(),
        blocked: 0,
        note: "",
    }
}

#[test]
fn only_what_changes_is_told_and_a_verdict_is_not_taken_back_in_silence() {
    let (mut all, mut out) = (Findings::default(), Vec::new());
    assert!(all.say(finding("a", Verdict::Suspect, 1), &mut out));
    assert!(!all.say(finding("a", Verdict::Suspect, 2), &mut out));
    assert!(all.say(finding("a", Verdict::Runaway, 3), &mut out));
    assert!(!all.say(finding("a", Verdict::Suspect, 4), &mut out));
    let a = Subject::Statement("a".into());
    let f = all.of(&a).expect("stands");
    assert_eq!((f.id, f.verdict, f.at), (1, Verdict::Runaway, 3));
    all.clear(5, &a, "over", &mut out);
    all.clear(5, &a, "over", &mut out);
    assert_eq!(
        (out.len(), all.open().count(), all.past().count()),
        (3, 0, 1)
    );
    assert!(all.say(finding("b", Verdict::Suspect, 6), &mut out));
    assert_eq!(all.open().next().map(|f| f.id), Some(2));
}

#[test]
fn they_are_bounded_and_suspects_go_first() {
    let (mut all, mut out) = (Findings::default(), Vec::new());
    all.say(finding("r", Verdict::Runaway, 0), &mut out);
    (0..5000).for_each(|n| {
        all.say(finding(&format!("s{n}"), Verdict::Suspect, n), &mut out);
    });
    assert_eq!((all.open().count(), all.past().count()), (OPEN, PAST));
    assert!(all.is_runaway(&Subject::Statement("r".into())));
}

#[test]
fn evidence_reads_as_a_sentence() {
    let told = finding("a", Verdict::Runaway, 0).evidence.to_string();
    assert_eq!(
        told,
        "work so far 9.0 s, usual 0.1 s, bound 1.0 s by 40 runs of its kind"
    );
}
