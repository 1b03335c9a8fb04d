use super::*;
use crate::interface::{Basis, Evidence, Measure};

fn statement_finding(name: &str, verdict: Verdict, at: Micros) -> Finding {
    let evidence = Evidence {
        measure: Measure::Work,
        value: 9e6,
        usual: 1e5,
        bound: 1e6,
        basis: Basis::Fingerprint(40),
    };
    Finding {
        id: 0,
        subject: Subject::Statement(name.into()),
        verdict,
        cause: Cause::Heavy,
        class: Some(0),
        fingerprint: None,
        label: String::new(),
        engine: None,
        started: 0,
        since: at,
        at,
        evidence,
        blocked_names: Vec::new(),
        blocked_count: 0,
        note: "",
    }
}

#[test]
fn only_changes_are_reported_and_a_finding_stays_until_it_is_cleared() {
    let (mut all, mut out) = (Findings::default(), Vec::new());
    assert!(all.report(statement_finding("a", Verdict::Suspect, 1), &mut out));
    assert!(!all.report(statement_finding("a", Verdict::Suspect, 2), &mut out));
    assert!(all.report(statement_finding("a", Verdict::Runaway, 3), &mut out));
    assert!(!all.report(statement_finding("a", Verdict::Suspect, 4), &mut out));
    let a = Subject::Statement("a".into());
    let finding = all.get(&a).expect("an open finding");
    assert_eq!(
        (finding.id, finding.verdict, finding.at),
        (1, Verdict::Runaway, 3)
    );
    all.clear(5, &a, "over", &mut out);
    all.clear(5, &a, "over", &mut out);
    assert_eq!(
        (out.len(), all.open().count(), all.cleared().count()),
        (3, 0, 1)
    );
    assert!(all.report(statement_finding("b", Verdict::Suspect, 6), &mut out));
    assert_eq!(all.open().next().map(|f| f.id), Some(2));
}

#[test]
fn findings_are_bounded_and_suspects_are_evicted_first() {
    let (mut all, mut out) = (Findings::default(), Vec::new());
    all.report(statement_finding("r", Verdict::Runaway, 0), &mut out);
    (0..5000).for_each(|n| {
        all.report(
            statement_finding(&format!("s{n}"), Verdict::Suspect, n),
            &mut out,
        );
    });
    assert_eq!(
        (all.open().count(), all.cleared().count()),
        (MAX_OPEN, MAX_CLEARED)
    );
    assert!(all.is_runaway(&Subject::Statement("r".into())));
}

#[test]
fn evidence_is_displayed_with_units_and_basis() {
    let text = statement_finding("a", Verdict::Runaway, 0)
        .evidence
        .to_string();
    assert_eq!(
        text,
        "work so far 9.0 s, usual 0.1 s, bound 1.0 s by 40 runs of its kind"
    );
}
