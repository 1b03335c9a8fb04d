//! Tests over sockets of the enforcement against runaways: holds, kills and pauses, and the responses to clients.

mod common;

use std::time::{Duration, Instant};

use common::runaways::{
    REPORT, holding_cluster, killing_cluster, report_statement, reporting_engine,
    reporting_settings, runaways, with_long_timeout,
};
use common::{ClientOutcome, ClientRequest, TestCluster, exchange};
use hoptiller_http::{Method, Request};
use hoptiller_mock_servers::engine_faults::EngineFaults;
use serde_json::{Value, json};

const ENDED_BY_RULE: &str = "HOPTILLER_ENDED_BY_RULE";
const MAY_HAVE_RUN: &str = "HOPTILLER_MAY_HAVE_RUN";

/// Asserts that a statement was killed and is retryable, with a Retry-After.
fn assert_killed(outcome: &ClientOutcome) {
    assert!(
        matches!(outcome, ClientOutcome::Rejected { error: name, retry_after: Some(_) } if name == ENDED_BY_RULE),
        "{outcome:?}"
    );
}

#[test]
fn one_of_two_deadlocked_loads_is_killed_and_the_other_is_served() {
    let cluster = killing_cluster(1);
    let load = |n: u32, m: u32| {
        let text = format!("INSERT INTO t{n} /* work=400ms threads=1 set={n} then=0.5:{m} */");
        with_long_timeout(cluster.request("rent-load", &text))
    };
    let (older, younger) = (load(1, 2), load(2, 1));
    let [older_outcome, younger_outcome] = std::thread::scope(|s| {
        let older_run = s.spawn(|| cluster.run(&older));
        cluster.wait_until_sent(&older);
        let younger_run = s.spawn(|| cluster.run(&younger));
        let shown = cluster.wait_for_runaways("both loads", |all| runaways(all).len() == 2);
        for (cause, _) in runaways(&shown) {
            assert_eq!(cause, "deadlock", "{shown:#}");
        }
        [older_run, younger_run].map(|run| run.join().expect("ends"))
    });
    assert_eq!(older_outcome, ClientOutcome::Served(1));
    assert_killed(&younger_outcome);
    assert_eq!(cluster.effects(&older), 1);
    assert_eq!(cluster.effects(&younger), 0);
    assert_eq!(cluster.sent_attempts(&older), 1);
    assert_eq!(cluster.sent_attempts(&younger), 1);
    cluster.assert_rules_kept();
}

#[test]
fn a_killed_load_is_retryable_only_with_proof_of_rollback() {
    for no_proof in [false, true] {
        let cluster = killing_cluster(2);
        cluster.run_repeatedly("rent-load", "INSERT INTO due /* work=50ms */", 48);
        cluster.set_faults(&EngineFaults {
            withhold_effects: no_proof,
            only_class: Some("rent-load".into()),
            ..EngineFaults::default()
        });
        let load =
            with_long_timeout(cluster.request("rent-load", "INSERT INTO due /* work=90s */"));
        let outcome = cluster.run(&load);
        if no_proof {
            assert_eq!(outcome, ClientOutcome::Failed(MAY_HAVE_RUN.into()));
        } else {
            assert_killed(&outcome);
        }
        assert_eq!(cluster.sent_attempts(&load), 1);
        assert_eq!(cluster.effects(&load), 0);
        cluster.assert_rules_kept();
    }
}

#[test]
fn a_killed_report_is_rejected_with_the_reason_and_not_retried() {
    let cluster = killing_cluster(3);
    cluster.run_repeatedly("report", REPORT, 48);
    let long = with_long_timeout(cluster.request("report", &report_statement("90s")));
    let (outcome, client) = cluster.run_with_client(&long);
    assert_killed(&outcome);
    let response = &client.responses().last().expect("a response").response;
    let body = String::from_utf8_lossy(&response.body);
    assert!(
        body.contains("killed as a runaway by a rule of this installation"),
        "{body}"
    );
    assert_eq!(cluster.sent_attempts(&long), 1);
    cluster.assert_rules_kept();
}

#[test]
fn a_paused_report_resumes_after_the_pause_and_is_served() {
    let pausing = |value: &mut Value| {
        reporting_settings(value);
        value["runaways"] = json!({ "acts": ["name", "pause"], "pause_for": "5s" });
    };
    let cluster = TestCluster::with_config(2, pausing, reporting_engine);
    cluster.run_repeatedly("report", REPORT, 48);
    let long = with_long_timeout(cluster.request("report", &report_statement("9s")));
    let started_at = Instant::now();
    assert_eq!(cluster.run(&long), ClientOutcome::Served(300));
    // The run takes nine seconds of work and a pause of five. Only the lower bound is checked, as a slow machine
    // takes longer.
    let elapsed = started_at.elapsed();
    assert!(elapsed >= Duration::from_millis(13_500), "{elapsed:?}");
    assert_eq!(cluster.sent_attempts(&long), 1);
    assert_eq!(cluster.runaways()["holds"], json!([]));
    cluster.assert_rules_kept();
}

#[test]
fn a_statement_that_finishes_while_it_is_killed_delivers_its_rows() {
    let cluster = killing_cluster(2);
    cluster.run_repeatedly("rent-load", "INSERT INTO due /* work=50ms threads=1 */", 48);
    cluster.set_faults(&EngineFaults {
        kill_after_finish: true,
        only_class: Some("rent-load".into()),
        ..EngineFaults::default()
    });
    // The load is a runaway after 3 s and finishes about 8 s after it began.
    let load =
        with_long_timeout(cluster.request("rent-load", "INSERT INTO due /* work=8s threads=1 */"));
    assert_eq!(cluster.run(&load), ClientOutcome::Served(1));
    let shown = cluster.runaways();
    let past = shown["past"].as_array().cloned().unwrap_or_default();
    let is_heavy = |finding: &Value| finding["cause"] == json!("heavy");
    assert!(past.iter().any(is_heavy), "{shown:#}");
    assert_eq!(cluster.sent_attempts(&load), 1);
    assert_eq!(cluster.effects(&load), 1);
    cluster.assert_rules_kept();
}

#[test]
fn a_held_kind_runs_one_at_a_time_until_an_administrator_releases_it() {
    let cluster = holding_cluster(3);
    cluster.run_repeatedly("report", REPORT, 48);
    let long = with_long_timeout(cluster.request("report", &report_statement("90s")));
    let delete = |path: &str| {
        let admin = cluster.settings.router.admin.expect("it is served");
        exchange(admin, &Request::new(Method::Delete, path))
            .status
            .0
    };
    let reports: Vec<ClientRequest> = (0..10)
        .map(|_| with_long_timeout(cluster.request("report", &report_statement("2s"))))
        .collect();
    std::thread::scope(|s| {
        s.spawn(|| cluster.run(&long));
        let shown = cluster.wait_for_runaways("the hold", |shown| shown["holds"] != json!([]));
        let kind = shown["holds"][0]["kind"].as_str().expect("a kind");
        let runs: Vec<_> = reports
            .iter()
            .map(|request| s.spawn(|| cluster.run(request)))
            .collect();
        cluster.wait_until_any_sent(&reports);
        // Other kinds of the class are not held.
        let other = cluster.request("report", "SELECT other FROM t /* work=50ms */");
        cluster.assert_served(&with_long_timeout(other));
        let sent = reports
            .iter()
            .filter(|request| cluster.sent_attempts(request) > 0)
            .count();
        assert!(sent <= 2, "{sent} of ten were sent");
        assert_eq!(delete("/v1/admin/holds/0000000000000001"), 404);
        assert_eq!(delete("/v1/admin/holds/nonsense"), 404);
        assert_eq!(delete(&format!("/v1/admin/holds/{kind}")), 204);
        assert_eq!(cluster.runaways()["holds"], json!([]));
        for run in runs {
            assert_eq!(run.join().expect("ends"), ClientOutcome::Served(300));
        }
    });
    cluster.assert_rules_kept();
}
