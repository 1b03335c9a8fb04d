//! Rules 1 to 7: compliant records have no violations, and each injected violation is reported under its rule.

mod common;

use common::rules;
use hoptiller_audit::{ClassRules, Outcome, Record, judge};

fn submitted(at: u64, request: u64, trace: &str, class: &str) -> Record {
    let (router, key) = ("r".to_owned(), Some("k".to_owned()));
    Record::Submitted {
        at,
        request,
        trace: trace.into(),
        router,
        class: class.into(),
        key,
        deadline: at + 5_000,
    }
}

fn sent(at: u64, trace: &str, class: &str, kind: &str) -> Record {
    let (engine, router) = ("e".to_owned(), "r".to_owned());
    Record::Sent {
        at,
        engine,
        kind: kind.into(),
        router,
        trace: trace.into(),
        class: class.into(),
        attempt: 0,
        versions: None,
    }
}

fn answered(at: u64, request: u64, outcome: Outcome) -> Record {
    Record::Answered {
        at,
        request,
        outcome,
        error: None,
    }
}

fn effect_written(at: u64, trace: &str) -> Record {
    Record::EffectWritten {
        at,
        engine: "e".into(),
        trace: trace.into(),
    }
}

fn done(at: u64, trace: &str) -> Record {
    Record::Done {
        at,
        engine: "e".into(),
        trace: trace.into(),
        work: 0,
    }
}

/// Returns records of a load that is refused once, submitted again and served; of a lookup that is retried once after a
/// drain; and of a report that fails.
fn compliant_records() -> Vec<Record> {
    vec![
        submitted(10, 1, "a.0", "load"),
        Record::Admitted { at: 11, request: 1 },
        answered(20, 1, Outcome::Refused),
        submitted(30, 2, "a.1", "load"),
        Record::Admitted { at: 31, request: 2 },
        sent(40, "a.1", "load", "b"),
        effect_written(50, "a.1"),
        done(50, "a.1"),
        answered(60, 2, Outcome::Served),
        submitted(100, 3, "b.0", "lookup"),
        Record::Admitted {
            at: 101,
            request: 3,
        },
        sent(110, "b.0", "lookup", "b"),
        Record::DrainNotified {
            at: 115,
            engine: "e".into(),
            router: "r".into(),
        },
        sent(120, "b.0", "lookup", "b"),
        answered(130, 3, Outcome::Served),
        submitted(140, 4, "c.0", "report"),
        Record::Admitted {
            at: 141,
            request: 4,
        },
        sent(150, "c.0", "report", "a"),
        answered(160, 4, Outcome::Failed),
    ]
}

/// Returns the rules that the compliant records violate with `more` added.
fn rules_violated_with(more: &[Record]) -> Vec<u8> {
    let mut all = compliant_records();
    all.extend_from_slice(more);
    all.sort_by_key(Record::at);
    judge(&all, &rules())
        .violated_rules()
        .into_iter()
        .map(u8::from)
        .collect()
}

/// Returns the rules that the compliant records violate without `removed`.
fn rules_violated_without(removed: &Record) -> Vec<u8> {
    let remaining: Vec<Record> = compliant_records()
        .into_iter()
        .filter(|record| record != removed)
        .collect();
    assert_ne!(remaining.len(), compliant_records().len());
    judge(&remaining, &rules())
        .violated_rules()
        .into_iter()
        .map(u8::from)
        .collect()
}

#[test]
fn compliant_records_have_no_violations_and_are_counted() {
    let verdict = judge(&compliant_records(), &rules());
    assert_eq!(verdict.violations, vec![]);
    let load = &verdict.classes["load"];
    assert_eq!(
        (
            load.submitted,
            load.admitted,
            load.served,
            load.refused,
            load.effects
        ),
        (2, 2, 1, 1, 1)
    );
    assert_eq!(
        (
            verdict.classes["lookup"].attempts,
            verdict.classes["report"].failed
        ),
        (2, 1)
    );
}

#[test]
fn rule_1_finds_missing_duplicate_late_and_changed_responses() {
    assert_eq!(
        rules_violated_without(&answered(130, 3, Outcome::Served)),
        [1]
    );
    assert_eq!(
        rules_violated_with(&[answered(135, 3, Outcome::Failed)]),
        [1]
    );
    assert_eq!(
        rules_violated_with(&[Record::RowsReceived {
            at: 135,
            request: 3,
            rows: 1
        }]),
        [1]
    );
    assert_eq!(
        rules_violated_with(&[Record::FinalAnswerChanged {
            at: 170,
            request: 3
        }]),
        [1]
    );
    let http_error = [
        submitted(200, 9, "d.0", "lookup"),
        Record::Admitted {
            at: 201,
            request: 9,
        },
        Record::Answered {
            at: 210,
            request: 9,
            outcome: Outcome::Failed,
            error: Some("HTTP 404".into()),
        },
    ];
    assert_eq!(rules_violated_with(&http_error), [1]);
    let late = [
        submitted(200, 9, "d.0", "lookup"),
        Record::Admitted {
            at: 201,
            request: 9,
        },
        answered(5_300, 9, Outcome::Served),
    ];
    assert_eq!(rules_violated_with(&late), [1]);
    assert_eq!(
        rules_violated_with(&[
            submitted(200, 9, "d.0", "lookup"),
            answered(210, 9, Outcome::Served)
        ]),
        [1]
    );
}

#[test]
fn rule_1_exempts_statements_of_a_killed_router_and_cancelled_statements() {
    let unanswered = [
        submitted(200, 9, "d.0", "lookup"),
        Record::Admitted {
            at: 201,
            request: 9,
        },
    ];
    assert_eq!(rules_violated_with(&unanswered), [1]);
    let killed = [
        unanswered.as_slice(),
        &[Record::RouterKilled {
            at: 210,
            router: "r".into(),
        }],
    ]
    .concat();
    assert_eq!(rules_violated_with(&killed), [] as [u8; 0]);
    let other_router_killed = [
        unanswered.as_slice(),
        &[Record::RouterKilled {
            at: 210,
            router: "q".into(),
        }],
    ]
    .concat();
    assert_eq!(rules_violated_with(&other_router_killed), [1]);
    let cancelled = [
        unanswered.as_slice(),
        &[Record::Cancelled {
            at: 210,
            request: 9,
        }],
    ]
    .concat();
    assert_eq!(rules_violated_with(&cancelled), [] as [u8; 0]);
}

#[test]
fn rule_1_exempts_a_statement_whose_admission_its_client_reads_after_the_kill() {
    let killed = |at| Record::RouterKilled {
        at,
        router: "r".into(),
    };
    let admitted = Record::Admitted {
        at: 205,
        request: 9,
    };
    let admitted_before_the_kill = [submitted(200, 9, "d.0", "lookup"), killed(203), admitted];
    assert_eq!(
        rules_violated_with(&admitted_before_the_kill),
        [] as [u8; 0]
    );
    let submitted_after_the_kill = [killed(199), submitted(200, 9, "d.0", "lookup")];
    let admitted_by_the_successor = [
        submitted_after_the_kill.as_slice(),
        &[Record::Admitted {
            at: 205,
            request: 9,
        }],
    ]
    .concat();
    assert_eq!(rules_violated_with(&admitted_by_the_successor), [1]);
}

#[test]
fn rule_2_finds_duplicate_effects_effects_of_refused_statements_and_missing_effects() {
    assert_eq!(rules_violated_with(&[effect_written(55, "a.1")]), [2]);
    assert_eq!(rules_violated_with(&[effect_written(25, "a.0")]), [2]);
    assert_eq!(rules_violated_without(&effect_written(50, "a.1")), [2]);
}

#[test]
fn rule_3_finds_attempts_after_the_grace_period_of_a_drain() {
    let attempt = |at| [sent(at, "e.0", "lookup", "b")];
    assert_eq!(rules_violated_with(&attempt(215)), [] as [u8; 0]);
    assert_eq!(rules_violated_with(&attempt(216)), [3]);
    let up = Record::UpNotified {
        at: 200,
        engine: "e".into(),
        router: "r".into(),
    };
    assert_eq!(
        rules_violated_with(&[up, attempt(216)[0].clone()]),
        [] as [u8; 0]
    );
    let started = Record::EngineStarted {
        at: 200,
        engine: "e".into(),
        cold: true,
    };
    assert_eq!(
        rules_violated_with(&[started, attempt(216)[0].clone()]),
        [] as [u8; 0]
    );
}

#[test]
fn rule_4_finds_an_engine_crash() {
    assert_eq!(
        rules_violated_with(&[Record::EngineCrashed {
            at: 300,
            engine: "e".into()
        }]),
        [4]
    );
}

#[test]
fn rule_5_finds_concurrent_and_reordered_statements_of_a_key() {
    let submissions = [
        submitted(200, 8, "f.0", "load"),
        Record::Admitted {
            at: 201,
            request: 8,
        },
        submitted(202, 9, "g.0", "load"),
        Record::Admitted {
            at: 203,
            request: 9,
        },
        answered(290, 8, Outcome::Failed),
        answered(291, 9, Outcome::Failed),
    ];
    let run = |trace: &str, from, to| vec![sent(from, trace, "load", "b"), done(to, trace)];
    // Lifts the drain in the compliant records, whose grace period ends before the later attempts.
    let up = vec![Record::UpNotified {
        at: 204,
        engine: "e".into(),
        router: "r".into(),
    }];
    let violations = |first: Vec<Record>, second: Vec<Record>| {
        rules_violated_with(&[submissions.to_vec(), up.clone(), first, second].concat())
    };
    assert_eq!(
        violations(run("f.0", 210, 220), run("g.0", 230, 240)),
        [] as [u8; 0]
    );
    assert_eq!(violations(run("f.0", 230, 240), run("g.0", 210, 220)), [5]);
    assert_eq!(violations(run("f.0", 210, 235), run("g.0", 230, 240)), [5]);
    // The key stays blocked for the pause after an attempt that may still be running, and no longer.
    assert_eq!(violations(run("f.0", 210, 400), run("g.0", 309, 320)), [5]);
    assert_eq!(
        violations(run("f.0", 210, 400), run("g.0", 310, 320)),
        [] as [u8; 0]
    );
}

#[test]
fn rule_6_finds_an_attempt_on_a_machine_kind_that_is_not_permitted() {
    assert_eq!(rules_violated_with(&[sent(152, "z.0", "report", "b")]), [6]);
}

#[test]
fn rule_7_finds_too_many_attempts_and_an_exceeded_retry_budget() {
    let lookup_sent = |at: u64, trace: &str| sent(at, trace, "lookup", "b");
    let up = Record::UpNotified {
        at: 1_500,
        engine: "e".into(),
        router: "r".into(),
    };
    let three_attempts = [
        up.clone(),
        lookup_sent(2_000, "h.0"),
        lookup_sent(4_000, "h.0"),
        lookup_sent(6_000, "h.0"),
    ];
    assert_eq!(rules_violated_with(&three_attempts), [7]);
    let two_retries = [
        up,
        lookup_sent(2_000, "h.0"),
        lookup_sent(2_001, "i.0"),
        lookup_sent(2_010, "h.0"),
        lookup_sent(2_020, "i.0"),
    ];
    assert_eq!(rules_violated_with(&two_retries), [7]);
}

#[test]
fn the_latency_objective_grows_with_the_work_of_a_statement() {
    let mut rules = rules();
    rules.classes.insert(
        "lookup".into(),
        ClassRules {
            latency_objective: 100,
            stretch: 2.0,
            threads: 2.0,
            ..ClassRules::default()
        },
    );
    let late_count = |answered_at| {
        let done = Record::Done {
            at: 20,
            engine: "e".into(),
            trace: "b.0".into(),
            work: 50,
        };
        let records = [
            submitted(10, 1, "b.0", "lookup"),
            Record::Admitted { at: 11, request: 1 },
            done,
            answered(answered_at, 1, Outcome::Served),
        ];
        judge(&records, &rules).classes["lookup"].late
    };
    assert_eq!((late_count(160), late_count(161)), (0, 1));
}
