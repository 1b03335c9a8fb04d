//! Engines that hang, die, lose answers, drain and turn away; the whole path over sockets.

mod common;

use std::time::Duration;

use common::{Stage, put};
use hoptiller_mock_servers::client::ClientOutcome;
use hoptiller_mock_servers::discovery::DiscoveryFaults;
use hoptiller_mock_servers::engine_faults::EngineFaults;
use serde_json::json;

const LOAD: &str = "INSERT INTO rent /* work=50ms */";
const MAY_HAVE_RUN: &str = "HOPTILLER_MAY_HAVE_RUN";

fn all_fail(stage: &Stage, faults: &EngineFaults) {
    stage
        .engines
        .iter()
        .for_each(|e| e.inject_faults(faults.clone()));
}

#[test]
fn every_class_is_served() {
    let stage = Stage::new(2);
    for (class, text, rows) in [
        ("lookup", "SELECT 1 /* work=20ms rows=7 */", 7),
        ("report", "SELECT 2 /* work=50ms rows=90 pages=4 */", 90),
        ("rent-load", LOAD, 1),
    ] {
        let ask = stage.ask(class, text);
        assert_eq!(
            (stage.run(&ask).0, stage.sent(&ask)),
            (ClientOutcome::Served(rows), 1),
            "{class}"
        );
    }
    assert_eq!(stage.ledger.postings().len(), 1);
    stage.assert_rules_kept();
}

#[test]
fn a_load_that_an_engine_takes_and_never_answers_fails_in_time_and_is_not_sent_again() {
    let stage = Stage::new(3);
    all_fail(
        &stage,
        &EngineFaults {
            hang: true,
            ..EngineFaults::default()
        },
    );
    let mut ask = stage.ask("rent-load", LOAD);
    ask.timeout = Duration::from_millis(1500);
    let (came, client) = stage.run(&ask);
    assert_eq!(came, ClientOutcome::Failed(MAY_HAVE_RUN.into()));
    assert_eq!((stage.sent(&ask), stage.posted(&ask)), (1, 1));
    let last = client.responses().last().expect("a final answer");
    assert_eq!(
        stage.get(&last.path).body,
        last.response.body,
        "the final answer is the same when asked again"
    );
    stage.assert_rules_kept();
}

#[test]
fn a_safe_statement_at_a_hung_engine_is_refused_as_harmless_in_time() {
    let stage = Stage::new(1);
    all_fail(
        &stage,
        &EngineFaults {
            hang: true,
            ..EngineFaults::default()
        },
    );
    let mut ask = stage.ask("lookup", "SELECT 1");
    ask.timeout = Duration::from_millis(1500);
    let ClientOutcome::Rejected {
        error: name,
        retry_after: after,
    } = stage.run(&ask).0
    else {
        panic!("refused")
    };
    assert_eq!((name.as_str(), after), ("HOPTILLER_REFUSED", Some(2)));
    stage.assert_rules_kept();
}

#[test]
fn rows_given_out_are_never_repeated_when_the_engine_dies() {
    let stage = Stage::new(2);
    let mut ask = stage.ask("report", "SELECT 1 /* work=20ms rows=100 pages=5 */");
    ask.options.poll_delay = Duration::from_millis(300);
    let came = std::thread::scope(|s| {
        let run = s.spawn(|| stage.run(&ask).0);
        // Once a page has been given out: both engines go, so whichever had it is gone.
        while stage.info()["answeredStatements"] == json!(0) && !rows_seen(&stage) {
            std::thread::sleep(Duration::from_millis(5));
        }
        stage.crash_engine(0);
        stage.crash_engine(1);
        run.join().expect("the client ends")
    });
    assert_eq!(came, ClientOutcome::Failed("HOPTILLER_RESULT_CUT".into()));
    assert_eq!(stage.sent(&ask), 1);
    stage.assert_rules_kept();
}

fn rows_seen(stage: &Stage) -> bool {
    stage
        .records()
        .iter()
        .any(|r| matches!(r, hoptiller_audit::Record::RowsReceived { rows, .. } if *rows > 0))
}

#[test]
fn before_its_first_page_a_safe_statement_moves_on_and_a_load_does_not() {
    let stage = Stage::new(2);
    let slow = stage.ask("report", "SELECT 1 /* work=2s threads=2 */");
    let load = stage.ask("rent-load", "INSERT /* work=2s threads=2 */");
    std::thread::scope(|s| {
        let report = s.spawn(|| stage.run(&slow).0);
        let posting = s.spawn(|| stage.run(&load).0);
        while stage.sent(&slow) == 0 || stage.sent(&load) == 0 {
            std::thread::sleep(Duration::from_millis(5));
        }
        let at = |trace: &str| {
            let engine = stage.records().into_iter().find_map(|r| match r {
                hoptiller_audit::Record::Sent {
                    engine, trace: t, ..
                } if t == trace => Some(engine),
                _ => None,
            });
            stage
                .engines
                .iter()
                .position(|e| Some(&e.node) == engine.as_ref())
                .expect("an engine of ours")
        };
        let (one, two) = (at(&slow.trace), at(&load.trace));
        stage.crash_engine(one);
        stage.crash_engine(two);
        stage.start_engine(one);
        if two != one {
            stage.start_engine(two);
        }
        assert_eq!(
            posting.join().expect("ends"),
            ClientOutcome::Failed(MAY_HAVE_RUN.into())
        );
        assert!(matches!(
            report.join().expect("ends"),
            ClientOutcome::Served(_)
        ));
    });
    assert!(stage.sent(&slow) >= 2);
    assert_eq!((stage.sent(&load), stage.posted(&load)), (1, 0));
    stage.assert_rules_kept();
}

#[test]
fn an_answer_lost_after_the_work_was_done_is_no_proof_that_it_was_not() {
    let stage = Stage::new(3);
    all_fail(
        &stage,
        &EngineFaults {
            lose_response: true,
            only_class: Some("rent-load".into()),
            ..EngineFaults::default()
        },
    );
    let load = stage.ask("rent-load", LOAD);
    assert_eq!(
        stage.run(&load).0,
        ClientOutcome::Failed(MAY_HAVE_RUN.into())
    );
    assert_eq!(stage.sent(&load), 1);
    stage.assert_rules_kept();
    let stage = Stage::new(2);
    stage.engines[0].inject_faults(EngineFaults {
        lose_response: true,
        ..EngineFaults::default()
    });
    let lookups: Vec<_> = (0..16)
        .map(|_| stage.ask("lookup", "SELECT 1 /* work=5ms */"))
        .collect();
    assert!(
        lookups
            .iter()
            .all(|ask| matches!(stage.run(ask).0, ClientOutcome::Served(_)))
    );
    let moved = lookups.iter().filter(|ask| stage.sent(ask) > 1).count();
    assert!(moved > 0, "some lookup met the engine that loses answers");
    stage.assert_rules_kept();
}

#[test]
fn a_kept_connection_closed_as_a_statement_is_written_may_have_run() {
    let stage = Stage::new(1);
    // The first statement leaves a connection open; the next one's is closed without a word.
    assert!(matches!(
        stage.run(&stage.ask("lookup", "SELECT 1 /* work=5ms */")).0,
        ClientOutcome::Served(_)
    ));
    stage.engines[0].inject_faults(EngineFaults {
        drop_submission: true,
        remaining: Some(1),
        ..EngineFaults::default()
    });
    let load = stage.ask("rent-load", LOAD);
    assert_eq!(
        stage.run(&load).0,
        ClientOutcome::Failed(MAY_HAVE_RUN.into())
    );
    assert_eq!(
        (stage.sent(&load), stage.posted(&load)),
        (1, 0),
        "nothing below the module sends again"
    );
    stage.assert_rules_kept();
    let stage = Stage::new(1);
    stage.engines[0].inject_faults(EngineFaults {
        drop_submission: true,
        remaining: Some(1),
        ..EngineFaults::default()
    });
    let lookup = stage.ask("lookup", "SELECT 1 /* work=5ms */");
    assert!(matches!(stage.run(&lookup).0, ClientOutcome::Served(_)));
    assert_eq!(stage.sent(&lookup), 2, "the module sends a safe one again");
    stage.assert_rules_kept();
}

#[test]
fn what_never_ran_moves_on_whatever_its_class() {
    let stage = Stage::new(2);
    stage.engines[0].inject_faults(EngineFaults {
        reject: true,
        ..EngineFaults::default()
    });
    let loads: Vec<_> = (0..6).map(|_| stage.ask("rent-load", LOAD)).collect();
    for load in &loads {
        assert_eq!(stage.run(load).0, ClientOutcome::Served(1));
        assert_eq!(stage.posted(load), 1);
    }
    assert!(
        loads.iter().any(|load| stage.sent(load) == 2),
        "some load met the full engine first"
    );
    // Discovery does not notice that an engine is gone.
    stage.discovery.inject_faults(DiscoveryFaults {
        stale: true,
        down: false,
    });
    stage.crash_engine(0);
    for _ in 0..4 {
        assert_eq!(
            stage.run(&stage.ask("rent-load", LOAD)).0,
            ClientOutcome::Served(1)
        );
    }
    stage.assert_rules_kept();
}

#[test]
fn when_all_engines_are_full_the_refusal_is_harmless_and_tells_when_to_come_back() {
    let stage = Stage::new(2);
    all_fail(
        &stage,
        &EngineFaults {
            reject: true,
            ..EngineFaults::default()
        },
    );
    let load = stage.ask("rent-load", LOAD);
    let ClientOutcome::Rejected {
        error: name,
        retry_after: after,
    } = stage.run(&load).0
    else {
        panic!("refused")
    };
    assert_eq!(
        (name.as_str(), after, stage.posted(&load)),
        ("HOPTILLER_REFUSED", Some(2), 0)
    );
    all_fail(&stage, &EngineFaults::default());
    let mut again = stage.ask("rent-load", LOAD);
    again.trace = load.trace.replace(".0", ".1");
    assert_eq!(stage.run(&again).0, ClientOutcome::Served(1));
    stage.assert_rules_kept();
}

#[test]
fn a_page_cut_in_the_middle_is_asked_for_again_and_then_given_up() {
    let stage = Stage::new(2);
    all_fail(
        &stage,
        &EngineFaults {
            truncate_pages_at: Some(400),
            ..EngineFaults::default()
        },
    );
    let report = stage.ask("report", "SELECT 1 /* work=5ms rows=50 */");
    // Never whole: no attempt gives a first page, and the last one's end is the answer.
    assert!(matches!(
        stage.run(&report).0,
        ClientOutcome::Rejected { .. }
    ));
    all_fail(
        &stage,
        &EngineFaults {
            lose_pages_from: Some(2),
            ..EngineFaults::default()
        },
    );
    let report = stage.ask("report", "SELECT 1 /* work=5ms rows=50 pages=5 */");
    assert_eq!(
        stage.run(&report).0,
        ClientOutcome::Failed("HOPTILLER_RESULT_CUT".into())
    );
    assert_eq!(stage.sent(&report), 1);
    stage.assert_rules_kept();
}

#[test]
fn answers_that_are_none_and_errors_of_engines_are_told_apart_from_wrong_statements() {
    let stage = Stage::new(2);
    all_fail(
        &stage,
        &EngineFaults {
            malformed_response: true,
            ..EngineFaults::default()
        },
    );
    assert!(matches!(
        stage.run(&stage.ask("lookup", "SELECT 1")).0,
        ClientOutcome::Rejected { .. }
    ));
    assert_eq!(
        stage.run(&stage.ask("rent-load", LOAD)).0,
        ClientOutcome::Failed(MAY_HAVE_RUN.into())
    );
    all_fail(
        &stage,
        &EngineFaults {
            fail_after_run: true,
            ..EngineFaults::default()
        },
    );
    assert_eq!(
        stage.run(&stage.ask("rent-load", LOAD)).0,
        ClientOutcome::Failed(MAY_HAVE_RUN.into())
    );
    all_fail(&stage, &EngineFaults::default());
    let wrong = stage.ask("lookup", "SELEC /* work=5ms wrong */");
    assert_eq!(
        stage.run(&wrong).0,
        ClientOutcome::Failed("SYNTAX_ERROR".into())
    );
    assert_eq!(
        stage.sent(&wrong),
        1,
        "a wrong statement is wrong everywhere"
    );
}

#[test]
fn a_draining_engine_gets_nothing_new_and_finishes_what_it_has() {
    let stage = Stage::new(2);
    let running = stage.ask("report", "SELECT 1 /* work=1s threads=2 rows=9 */");
    std::thread::scope(|s| {
        let run = s.spawn(|| stage.run(&running).0);
        stage.wait_until_sent(&running);
        let had = stage.records().into_iter().find_map(|r| match r {
            hoptiller_audit::Record::Sent { engine, .. } => Some(engine),
            _ => None,
        });
        let drained = stage
            .engines
            .iter()
            .find(|e| Some(&e.node) == had.as_ref())
            .expect("ours");
        assert_eq!(
            put(drained.listen, "/v1/info/state", "\"SHUTTING_DOWN\"")
                .status
                .0,
            200
        );
        std::thread::sleep(Duration::from_millis(1300)); // The grace.
        for _ in 0..10 {
            let ask = stage.ask("lookup", "SELECT 1 /* work=2ms */");
            assert!(matches!(stage.run(&ask).0, ClientOutcome::Served(_)));
            let late = stage.records().into_iter().any(|r| {
                matches!(r, hoptiller_audit::Record::Sent { engine, trace, .. } if trace == ask.trace && Some(&engine) == had.as_ref())
            });
            assert!(!late, "sent to the engine that drains");
        }
        assert_eq!(run.join().expect("ends"), ClientOutcome::Served(9));
    });
    stage.assert_rules_kept();
}

#[test]
fn an_engine_restarted_under_its_id_and_address_serves_again() {
    let stage = Stage::new(1);
    assert!(matches!(
        stage.run(&stage.ask("lookup", "SELECT 1 /* work=5ms */")).0,
        ClientOutcome::Served(_)
    ));
    stage.discovery.inject_faults(DiscoveryFaults {
        stale: true,
        down: false,
    });
    stage.crash_engine(0);
    stage.start_engine(0);
    // Its kept connections are dead, and the list knows nothing of it.
    let load = stage.ask("rent-load", LOAD);
    assert_eq!(stage.run(&load).0, ClientOutcome::Served(1));
    assert_eq!(stage.sent(&load), 1);
    stage.assert_rules_kept();
}

#[test]
fn answers_that_cross_their_time_out_come_once() {
    let stage = Stage::new(4);
    // The engines are done at about the moment when the attempt's time is over.
    let asks: Vec<_> = (0..40u64)
        .map(|n| {
            let class = if n % 2 == 0 { "rent-load" } else { "lookup" };
            let mut ask = stage.ask(
                class,
                &format!("x /* work={}ms threads=1 set={n} */", 800 + n * 5),
            );
            ask.timeout = Duration::from_millis(1050);
            ask
        })
        .collect();
    let came: Vec<ClientOutcome> = std::thread::scope(|s| {
        let runs: Vec<_> = asks
            .iter()
            .map(|ask| s.spawn(|| stage.run(ask).0))
            .collect();
        runs.into_iter().map(|r| r.join().expect("ends")).collect()
    });
    for (ask, came) in asks.iter().zip(&came) {
        assert!(
            !matches!(
                came,
                ClientOutcome::TimedOut | ClientOutcome::AdmissionUnknown
            ),
            "{} {came:?}",
            ask.trace
        );
        assert!(stage.posted(ask) <= 1);
    }
    // Some loads may still be at work inside engines: their ledger is only complete then.
    std::thread::sleep(Duration::from_millis(1500));
    stage.assert_rules_kept();
}

#[test]
fn an_engine_that_has_another_statement_under_the_same_uri_is_not_believed() {
    let stage = Stage::new(1);
    let load = stage.ask("rent-load", "INSERT /* work=6s threads=2 */");
    std::thread::scope(|s| {
        let posting = s.spawn(|| stage.run(&load).0);
        stage.wait_until_sent(&load);
        // The new process gives its first statement the URI that the old one gave the load.
        stage.crash_engine(0);
        stage.start_engine(0);
        let other = hoptiller_http::Request::new(hoptiller_http::Method::Post, "/v1/statement");
        let body = b"SELECT 1 /* work=5ms rows=9 */".to_vec();
        common::send_to(
            stage.engines[0].listen,
            &hoptiller_http::Request { body, ..other },
        );
        assert_eq!(
            posting.join().expect("ends"),
            ClientOutcome::Failed(MAY_HAVE_RUN.into())
        );
    });
    assert_eq!((stage.sent(&load), stage.posted(&load)), (1, 0));
}
