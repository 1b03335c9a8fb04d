//! Tests of engines that hang, crash, lose responses, drain and reject statements, end to end over sockets.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::{ClientOutcome, ClientRequest, TestCluster, WAIT_TIMEOUT, exchange, put, wait_until};
use hoptiller_audit::Record;
use hoptiller_http::{Method, Request};
use hoptiller_mock_servers::discovery::DiscoveryFaults;
use hoptiller_mock_servers::engine_faults::EngineFaults;
use serde_json::json;

const LOAD_STATEMENT: &str = "INSERT INTO rent /* work=50ms */";
/// Wait that exceeds the grace period in which a draining engine may still receive statements.
const DRAIN_WAIT: Duration = Duration::from_millis(1300);
const MAY_HAVE_RUN: &str = "HOPTILLER_MAY_HAVE_RUN";

#[test]
fn statements_of_every_class_are_served() {
    let cluster = TestCluster::new(2);
    for (class, text, rows) in [
        ("lookup", "SELECT 1 /* work=20ms rows=7 */", 7),
        ("report", "SELECT 2 /* work=50ms rows=90 pages=4 */", 90),
        ("rent-load", LOAD_STATEMENT, 1),
    ] {
        let request = cluster.request(class, text);
        assert_eq!(
            (cluster.run(&request), cluster.sent_attempts(&request)),
            (ClientOutcome::Served(rows), 1),
            "{class}"
        );
    }
    assert_eq!(cluster.ledger.postings().len(), 1);
    cluster.assert_rules_kept();
}

#[test]
fn a_load_at_an_engine_that_hangs_fails_in_time_and_is_not_retried() {
    let cluster = TestCluster::new(3);
    cluster.set_faults(&EngineFaults {
        hang: true,
        ..EngineFaults::default()
    });
    let mut request = cluster.request("rent-load", LOAD_STATEMENT);
    request.timeout = Duration::from_millis(1500);
    let (outcome, client) = cluster.run_with_client(&request);
    assert_eq!(outcome, ClientOutcome::Failed(MAY_HAVE_RUN.into()));
    assert_eq!(
        (cluster.sent_attempts(&request), cluster.effects(&request)),
        (1, 1)
    );
    let last = client.responses().last().expect("a final response");
    assert_eq!(
        cluster.get(&last.path).body,
        last.response.body,
        "the final response is the same when it is polled again"
    );
    cluster.assert_rules_kept();
}

#[test]
fn an_idempotent_statement_at_an_engine_that_hangs_is_rejected_in_time_as_retryable() {
    let cluster = TestCluster::new(1);
    cluster.set_faults(&EngineFaults {
        hang: true,
        ..EngineFaults::default()
    });
    let mut request = cluster.request("lookup", "SELECT 1");
    request.timeout = Duration::from_millis(1500);
    let ClientOutcome::Rejected {
        error: name,
        retry_after,
    } = cluster.run(&request)
    else {
        panic!("not rejected")
    };
    assert_eq!((name.as_str(), retry_after), ("HOPTILLER_REFUSED", Some(2)));
    cluster.assert_rules_kept();
}

#[test]
fn a_result_is_truncated_and_not_repeated_when_its_engine_crashes() {
    let cluster = TestCluster::new(2);
    let mut request = cluster.request("report", "SELECT 1 /* work=20ms rows=100 pages=5 */");
    request.options.poll_delay = Duration::from_millis(300);
    let outcome = std::thread::scope(|s| {
        let run = s.spawn(|| cluster.run(&request));
        // The first page may come from either engine.
        wait_until("a page", WAIT_TIMEOUT, Duration::from_millis(5), || {
            let is_settled = cluster.info()["answeredStatements"] != json!(0);
            match is_settled || has_received_rows(&cluster) {
                true => Ok(()),
                false => Err("no rows".into()),
            }
        });
        cluster.crash_engine(0);
        cluster.crash_engine(1);
        run.join().expect("the client ends")
    });
    assert_eq!(
        outcome,
        ClientOutcome::Failed("HOPTILLER_RESULT_CUT".into())
    );
    assert_eq!(cluster.sent_attempts(&request), 1);
    cluster.assert_rules_kept();
}

fn has_received_rows(cluster: &TestCluster) -> bool {
    cluster
        .records()
        .iter()
        .any(|record| matches!(record, Record::RowsReceived { rows, .. } if *rows > 0))
}

#[test]
fn before_the_first_page_an_idempotent_statement_is_retried_and_a_load_is_not() {
    let cluster = TestCluster::new(2);
    let report = cluster.request("report", "SELECT 1 /* work=2s threads=2 */");
    let load = cluster.request("rent-load", "INSERT /* work=2s threads=2 */");
    std::thread::scope(|s| {
        let report_run = s.spawn(|| cluster.run(&report));
        let load_run = s.spawn(|| cluster.run(&load));
        cluster.wait_until_sent(&report);
        cluster.wait_until_sent(&load);
        let index_of = |request: &ClientRequest| {
            let engine = cluster.first_engine(request);
            let mut engines = cluster.engines.iter();
            engines
                .position(|config| Some(&config.node) == engine.as_ref())
                .expect("an engine of the cluster")
        };
        let indices = BTreeSet::from([index_of(&report), index_of(&load)]);
        for index in &indices {
            cluster.crash_engine(*index);
        }
        for index in &indices {
            cluster.start_engine(*index);
        }
        assert_eq!(
            load_run.join().expect("ends"),
            ClientOutcome::Failed(MAY_HAVE_RUN.into())
        );
        let outcome = report_run.join().expect("ends");
        assert!(matches!(outcome, ClientOutcome::Served(_)), "{outcome:?}");
    });
    assert!(cluster.sent_attempts(&report) >= 2);
    assert_eq!(
        (cluster.sent_attempts(&load), cluster.effects(&load)),
        (1, 0)
    );
    cluster.assert_rules_kept();
}

#[test]
fn a_lost_response_does_not_prove_that_the_statement_was_not_executed() {
    let cluster = TestCluster::new(3);
    cluster.set_faults(&EngineFaults {
        lose_response: true,
        only_class: Some("rent-load".into()),
        ..EngineFaults::default()
    });
    let load = cluster.request("rent-load", LOAD_STATEMENT);
    assert_eq!(
        cluster.run(&load),
        ClientOutcome::Failed(MAY_HAVE_RUN.into())
    );
    assert_eq!(cluster.sent_attempts(&load), 1);
    cluster.assert_rules_kept();
    let cluster = TestCluster::new(2);
    cluster.engines[0].inject_faults(EngineFaults {
        lose_response: true,
        ..EngineFaults::default()
    });
    let lookups: Vec<_> = (0..16)
        .map(|_| cluster.request("lookup", "SELECT 1 /* work=5ms */"))
        .collect();
    for lookup in &lookups {
        cluster.assert_served(lookup);
    }
    assert!(
        lookups
            .iter()
            .any(|lookup| cluster.sent_attempts(lookup) > 1),
        "no lookup was sent to the engine that loses responses"
    );
    cluster.assert_rules_kept();
}

#[test]
fn a_statement_written_to_a_closed_idle_connection_may_have_run() {
    let cluster = TestCluster::new(1);
    // The first statement leaves an idle connection; the engine closes it when the next one is written.
    cluster.assert_served(&cluster.request("lookup", "SELECT 1 /* work=5ms */"));
    cluster.engines[0].inject_faults(EngineFaults {
        drop_submission: true,
        remaining: Some(1),
        ..EngineFaults::default()
    });
    let load = cluster.request("rent-load", LOAD_STATEMENT);
    assert_eq!(
        cluster.run(&load),
        ClientOutcome::Failed(MAY_HAVE_RUN.into())
    );
    assert_eq!(
        (cluster.sent_attempts(&load), cluster.effects(&load)),
        (1, 0),
        "nothing below the policy retries"
    );
    cluster.assert_rules_kept();
    let cluster = TestCluster::new(1);
    cluster.engines[0].inject_faults(EngineFaults {
        drop_submission: true,
        remaining: Some(1),
        ..EngineFaults::default()
    });
    let lookup = cluster.request("lookup", "SELECT 1 /* work=5ms */");
    cluster.assert_served(&lookup);
    assert_eq!(cluster.sent_attempts(&lookup), 2, "the policy retries it");
    cluster.assert_rules_kept();
}

#[test]
fn a_statement_that_never_ran_is_retried_in_every_class() {
    let cluster = TestCluster::new(2);
    cluster.engines[0].inject_faults(EngineFaults {
        reject: true,
        ..EngineFaults::default()
    });
    let loads: Vec<_> = (0..6)
        .map(|_| cluster.request("rent-load", LOAD_STATEMENT))
        .collect();
    for load in &loads {
        assert_eq!(cluster.run(load), ClientOutcome::Served(1));
        assert_eq!(cluster.effects(load), 1);
    }
    assert!(
        loads.iter().any(|load| cluster.sent_attempts(load) == 2),
        "no load was sent to the full engine"
    );
    // Discovery does not notice that an engine has crashed.
    cluster.discovery.inject_faults(DiscoveryFaults {
        stale: true,
        ..DiscoveryFaults::default()
    });
    cluster.crash_engine(0);
    for _ in 0..4 {
        assert_eq!(
            cluster.run(&cluster.request("rent-load", LOAD_STATEMENT)),
            ClientOutcome::Served(1)
        );
    }
    cluster.assert_rules_kept();
}

#[test]
fn when_all_engines_are_full_statements_are_rejected_with_retry_after() {
    let cluster = TestCluster::new(2);
    cluster.set_faults(&EngineFaults {
        reject: true,
        ..EngineFaults::default()
    });
    let load = cluster.request("rent-load", LOAD_STATEMENT);
    let ClientOutcome::Rejected {
        error: name,
        retry_after,
    } = cluster.run(&load)
    else {
        panic!("not rejected")
    };
    assert_eq!(
        (name.as_str(), retry_after, cluster.effects(&load)),
        ("HOPTILLER_REFUSED", Some(2), 0)
    );
    cluster.set_faults(&EngineFaults::default());
    let mut again = cluster.request("rent-load", LOAD_STATEMENT);
    again.trace = load.trace.replace(".0", ".1");
    assert_eq!(cluster.run(&again), ClientOutcome::Served(1));
    cluster.assert_rules_kept();
}

#[test]
fn a_truncated_page_is_polled_for_again_and_then_fails_the_attempt() {
    let cluster = TestCluster::new(2);
    cluster.set_faults(&EngineFaults {
        truncate_pages_at: Some(400),
        ..EngineFaults::default()
    });
    let report = cluster.request("report", "SELECT 1 /* work=5ms rows=50 */");
    // No attempt delivers a complete first page.
    assert!(matches!(
        cluster.run(&report),
        ClientOutcome::Rejected { .. }
    ));
    cluster.set_faults(&EngineFaults {
        lose_pages_from: Some(2),
        ..EngineFaults::default()
    });
    let report = cluster.request("report", "SELECT 1 /* work=5ms rows=50 pages=5 */");
    assert_eq!(
        cluster.run(&report),
        ClientOutcome::Failed("HOPTILLER_RESULT_CUT".into())
    );
    assert_eq!(cluster.sent_attempts(&report), 1);
    cluster.assert_rules_kept();
}

#[test]
fn malformed_responses_and_engine_errors_are_distinguished_from_invalid_statements() {
    let cluster = TestCluster::new(2);
    cluster.set_faults(&EngineFaults {
        malformed_response: true,
        ..EngineFaults::default()
    });
    assert!(matches!(
        cluster.run(&cluster.request("lookup", "SELECT 1")),
        ClientOutcome::Rejected { .. }
    ));
    assert_eq!(
        cluster.run(&cluster.request("rent-load", LOAD_STATEMENT)),
        ClientOutcome::Failed(MAY_HAVE_RUN.into())
    );
    cluster.set_faults(&EngineFaults {
        fail_after_run: true,
        ..EngineFaults::default()
    });
    assert_eq!(
        cluster.run(&cluster.request("rent-load", LOAD_STATEMENT)),
        ClientOutcome::Failed(MAY_HAVE_RUN.into())
    );
    cluster.set_faults(&EngineFaults::default());
    let invalid = cluster.request("lookup", "SELEC /* work=5ms wrong */");
    assert_eq!(
        cluster.run(&invalid),
        ClientOutcome::Failed("SYNTAX_ERROR".into())
    );
    assert_eq!(
        cluster.sent_attempts(&invalid),
        1,
        "an invalid statement is invalid everywhere"
    );
}

#[test]
fn a_draining_engine_gets_no_new_statements_and_finishes_those_it_has() {
    let cluster = TestCluster::new(2);
    let running = cluster.request("report", "SELECT 1 /* work=1s threads=2 rows=9 */");
    std::thread::scope(|s| {
        let run = s.spawn(|| cluster.run(&running));
        cluster.wait_until_sent(&running);
        let engine = cluster.first_engine(&running);
        let mut engines = cluster.engines.iter();
        let draining = engines
            .find(|config| Some(&config.node) == engine.as_ref())
            .expect("an engine of the cluster");
        let response = put(draining.listen, "/v1/info/state", "\"SHUTTING_DOWN\"");
        assert_eq!(response.status.0, 200);
        std::thread::sleep(DRAIN_WAIT);
        for _ in 0..10 {
            let request = cluster.request("lookup", "SELECT 1 /* work=2ms */");
            cluster.assert_served(&request);
            assert!(!is_sent_to(&cluster, &request, &draining.node));
        }
        assert_eq!(run.join().expect("ends"), ClientOutcome::Served(9));
    });
    cluster.assert_rules_kept();
}

/// Returns whether an attempt at a statement has reached the engine.
fn is_sent_to(cluster: &TestCluster, request: &ClientRequest, node: &str) -> bool {
    let is_sent = |record: &Record| matches!(record, Record::Sent { engine, trace, .. } if *trace == request.trace && engine == node);
    cluster.records().iter().any(is_sent)
}

#[test]
fn an_engine_restarted_with_the_same_name_and_address_serves_again() {
    let cluster = TestCluster::new(1);
    cluster.assert_served(&cluster.request("lookup", "SELECT 1 /* work=5ms */"));
    cluster.discovery.inject_faults(DiscoveryFaults {
        stale: true,
        ..DiscoveryFaults::default()
    });
    cluster.crash_engine(0);
    cluster.start_engine(0);
    // The router's idle connections to it are closed, and the list is stale.
    let load = cluster.request("rent-load", LOAD_STATEMENT);
    assert_eq!(cluster.run(&load), ClientOutcome::Served(1));
    assert_eq!(cluster.sent_attempts(&load), 1);
    cluster.assert_rules_kept();
}

#[test]
fn responses_that_race_with_the_deadline_are_delivered_once() {
    let cluster = TestCluster::new(4);
    // The engines finish close to the deadline.
    let requests: Vec<_> = (0..40u64)
        .map(|n| {
            let class = if n % 2 == 0 { "rent-load" } else { "lookup" };
            let mut request = cluster.request(
                class,
                &format!("x /* work={}ms threads=1 set={n} */", 800 + n * 5),
            );
            request.timeout = Duration::from_millis(1050);
            request
        })
        .collect();
    let outcomes: Vec<ClientOutcome> = std::thread::scope(|s| {
        let runs: Vec<_> = requests
            .iter()
            .map(|request| s.spawn(|| cluster.run(request)))
            .collect();
        runs.into_iter().map(|r| r.join().expect("ends")).collect()
    });
    for (request, outcome) in requests.iter().zip(&outcomes) {
        assert!(
            !matches!(
                outcome,
                ClientOutcome::TimedOut | ClientOutcome::AdmissionUnknown
            ),
            "{} {outcome:?}",
            request.trace
        );
        assert!(cluster.effects(request) <= 1);
    }
    // Engines may still execute some loads; the ledger is complete only after that.
    std::thread::sleep(Duration::from_millis(1500));
    cluster.assert_rules_kept();
}

#[test]
fn the_response_of_another_statement_under_the_same_uri_is_rejected() {
    let cluster = TestCluster::new(1);
    let load = cluster.request("rent-load", "INSERT /* work=6s threads=2 */");
    std::thread::scope(|s| {
        let load_run = s.spawn(|| cluster.run(&load));
        cluster.wait_until_sent(&load);
        // The new process assigns its first statement the URI that the old process assigned to the load.
        cluster.crash_engine(0);
        cluster.start_engine(0);
        let mut other = Request::new(Method::Post, "/v1/statement");
        other.body = b"SELECT 1 /* work=5ms rows=9 */".to_vec();
        exchange(cluster.engines[0].listen, &other);
        assert_eq!(
            load_run.join().expect("ends"),
            ClientOutcome::Failed(MAY_HAVE_RUN.into())
        );
    });
    assert_eq!(
        (cluster.sent_attempts(&load), cluster.effects(&load)),
        (1, 0)
    );
}
