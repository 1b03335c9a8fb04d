//! Tests over sockets of which statements, engines and kinds the router reports.

mod common;

use std::fs;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use common::runaways::{
    REPORT, SHORT_TIMEOUT, count_findings, findings, has_notice, has_runaway, holding_cluster,
    report_statement, reporting_engine, reporting_settings, runaways, subject_of,
    with_long_timeout,
};
use common::{
    Client, ClientOutcome, ClientRequest, RUNAWAY_WAIT_TIMEOUT, TestCluster, WAIT_TIMEOUT,
    runaways_of, start_router, wait_until,
};
use futures_lite::future;
use hoptiller_mock_servers::engine_faults::EngineFaults;
use hoptiller_statement_router::Settings;
use serde_json::{Value, json};

const MAY_HAVE_RUN: &str = "HOPTILLER_MAY_HAVE_RUN";

/// A guard that sets a flag when dropped, also by a panic.
struct SetOnDrop<'a>(&'a AtomicBool);

impl Drop for SetOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Returns the request with the tag of the tables that it reads or writes.
fn with_tables(mut request: ClientRequest) -> ClientRequest {
    request.tags = "tables=due".into();
    request
}

#[test]
fn an_announced_long_report_is_not_reported_but_a_runaway_of_its_kind_is() {
    let cluster = holding_cluster(3);
    cluster.run_repeatedly("report", REPORT, 48);
    let plain = with_long_timeout(cluster.request("report", &report_statement("4s")));
    let mut announced = with_long_timeout(cluster.request("report", &report_statement("4s")));
    announced.tags = "size=12".into();
    std::thread::scope(|s| {
        for run in [&plain, &announced].map(|request| s.spawn(|| cluster.run(request))) {
            assert_eq!(run.join().expect("ends"), ClientOutcome::Served(300));
        }
    });
    assert_eq!(
        count_findings(&cluster.runaways()),
        0,
        "{:#}",
        cluster.runaways()
    );
    let long = with_long_timeout(cluster.request("report", &report_statement("90s")));
    std::thread::scope(|s| {
        let run = s.spawn(|| cluster.run(&long));
        let shown = cluster.wait_for_runaways("the runaway", has_runaway);
        assert_eq!(runaways(&shown), [("heavy".to_owned(), subject_of(&long))]);
        let finding = &shown["findings"][0];
        assert_eq!(finding["class"], json!("report"));
        assert_eq!(finding["text"], json!("select * from arrears"));
        assert_eq!(finding["evidence"]["basis"]["on"], json!("kind"));
        assert_eq!(shown["holds"][0]["atOnce"], json!(1));
        // By default a runaway is only reported and held; its client gets a response when its timeout expires.
        let outcome = run.join().expect("ends");
        assert!(
            matches!(&outcome, ClientOutcome::Rejected { error: name, .. } if name == "HOPTILLER_REFUSED"),
            "{outcome:?}"
        );
    });
    cluster.assert_rules_kept();
}

#[test]
fn a_load_that_blocks_lookups_is_reported_and_further_lookups_go_to_other_engines() {
    let cluster = holding_cluster(2);
    cluster.run_repeatedly("lookup", "SELECT rent FROM due /* work=20ms set=7 */", 48);
    cluster.run_repeatedly(
        "rent-load",
        "INSERT INTO due VALUES (1) /* work=100ms */",
        48,
    );
    let load = with_long_timeout(cluster.request(
        "rent-load",
        "INSERT INTO due VALUES (2) /* work=80s set=7 */",
    ));
    let load = with_tables(load);
    let lookup = |n: usize| {
        let text = format!("SELECT rent FROM due /* work=20ms set=7 {n} */");
        let mut request = with_tables(cluster.request("lookup", &text));
        request.timeout = SHORT_TIMEOUT;
        request
    };
    // Enough that about forty are sent to the load's engine.
    let first: Vec<ClientRequest> = (0..90).map(lookup).collect();
    std::thread::scope(|s| {
        let load_run = s.spawn(|| cluster.run(&load));
        cluster.wait_until_sent(&load);
        let blocked: Vec<_> = first
            .iter()
            .map(|request| s.spawn(|| cluster.run(request)))
            .collect();
        let shown = cluster.wait_for_runaways("the load", has_runaway);
        assert_eq!(runaways(&shown), [("blocks".to_owned(), subject_of(&load))]);
        // The lookups sent before the verdict are blocked; on a slow machine they may be fewer than forty.
        let expected = cluster.count_at_same_engine(&load, &first).min(40) as u64;
        assert!(expected > 0);
        cluster.wait_for_runaways("blocked lookups", |shown| {
            shown["findings"][0]["blocked"].as_u64().unwrap_or(0) >= expected
        });
        let excluded = &shown["keptAway"][0]["engines"];
        assert_eq!(excluded.as_array().map(Vec::len), Some(1));
        // From now on, statements on those tables are sent to the other engine, and are served.
        for n in 100..130 {
            cluster.assert_served(&lookup(n));
        }
        for run in blocked {
            run.join().expect("ends");
        }
        assert_eq!(
            load_run.join().expect("ends"),
            ClientOutcome::Failed(MAY_HAVE_RUN.into())
        );
    });
    assert!(findings(&cluster.runaways(), "runaway").len() <= 1);
    assert_eq!(
        (cluster.sent_attempts(&load), cluster.effects(&load)),
        (1, 0)
    );
    cluster.assert_rules_kept();
}

#[test]
fn a_slow_engine_is_reported_instead_of_its_statements() {
    let cluster = holding_cluster(3);
    let short = "SELECT name FROM tenants /* work=60ms */";
    cluster.run_repeatedly("report", REPORT, 48);
    cluster.run_repeatedly("lookup", short, 48);
    cluster.engines[1].inject_faults(EngineFaults {
        slowdown: Some(15.0),
        ..EngineFaults::default()
    });
    let is_found = AtomicBool::new(false);
    std::thread::scope(|s| {
        for _ in 0..6 {
            s.spawn(|| {
                while !is_found.load(Ordering::Relaxed) {
                    cluster.run(&cluster.request("lookup", short));
                    cluster.run(&with_long_timeout(cluster.request("report", REPORT)));
                }
            });
        }
        let _stop = SetOnDrop(&is_found);
        let shown = cluster.wait_for_runaways("the engine", has_notice);
        assert_eq!(findings(&shown, "notice")[0]["subject"], json!("engine e1"));
    });
    assert_eq!(runaways(&cluster.runaways()), []);
    cluster.assert_rules_kept();
}

#[test]
fn a_kind_without_statistics_is_compared_with_its_class() {
    let cluster = holding_cluster(2);
    cluster.run_repeatedly("lookup", "SELECT a FROM t /* work=60ms */", 48);
    let moderate = with_long_timeout(
        cluster.request("lookup", "SELECT new, moderate FROM t /* work=900ms */"),
    );
    cluster.assert_served(&moderate);
    assert_eq!(count_findings(&cluster.runaways()), 0);
    let mut long = cluster.request("lookup", "SELECT new, heavy FROM t /* work=300s */");
    long.timeout = SHORT_TIMEOUT;
    std::thread::scope(|s| {
        s.spawn(|| cluster.run(&long));
        let shown = cluster.wait_for_runaways("the runaway", has_runaway);
        let basis = &shown["findings"][0]["evidence"]["basis"]["on"];
        assert_eq!(*basis, json!("class"));
    });
    cluster.assert_rules_kept();
}

#[test]
fn a_runaway_of_a_crashed_router_is_reported_by_another_router() {
    let mut cluster = holding_cluster(1);
    let mut other = cluster.settings.clone();
    (other.router.name, other.router.index) = ("r2".into(), 1);
    other.router.admin = Some(([127, 0, 0, 1], 0).into());
    let (_running, addr) = start_router(&mut other);
    let mut load =
        with_long_timeout(cluster.request("rent-load", "INSERT INTO due /* work=300s set=7 */"));
    load.options.abandon_after = Some(2);
    std::thread::scope(|s| {
        s.spawn(|| cluster.run(&load));
        cluster.wait_until_sent(&load);
    });
    cluster.crash_router();
    // The load is reported about 12 s after it began, if it blocks lookups by then.
    let is_over = AtomicBool::new(false);
    std::thread::scope(|s| {
        let _stop = SetOnDrop(&is_over);
        for _ in 0..12 {
            s.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    let text = "SELECT rent FROM due /* work=20ms set=7 */";
                    let mut request = cluster.request("lookup", text);
                    request.timeout = SHORT_TIMEOUT;
                    let mut client = Client::new("r2", addr, cluster.recorder.clone());
                    future::block_on(client.run(&request));
                }
            });
        }
        let interval = Duration::from_millis(100);
        let found = wait_until("the runaway", RUNAWAY_WAIT_TIMEOUT, interval, || {
            let shown = runaways_of(&other);
            match has_runaway(&shown) {
                true => Ok(runaways(&shown)),
                false => Err(format!("{shown:#}\nrecords: {:#?}", cluster.records())),
            }
        });
        assert_eq!(found, [("blocks".to_owned(), subject_of(&load))]);
    });
}

#[test]
fn a_changed_kind_is_reported_once_as_a_notice() {
    let cluster = holding_cluster(3);
    cluster.run_repeatedly("report", REPORT, 48);
    std::thread::scope(|s| {
        for _ in 0..30 {
            s.spawn(|| {
                cluster.run(&with_long_timeout(
                    cluster.request("report", &report_statement("9s")),
                ))
            });
        }
        let shown = cluster.wait_for_runaways("the notice", has_notice);
        let notices = findings(&shown, "notice");
        assert_eq!(notices.len(), 1);
        assert_eq!(notices[0]["cause"], json!("kind_changed"));
    });
    let shown = cluster.runaways();
    let past = shown["past"].as_array().cloned().unwrap_or_default();
    let has_note = |finding: &Value| finding["note"] == json!("its new figures are taken as usual");
    assert!(past.iter().any(has_note), "{shown:#}");
    assert_eq!(runaways(&shown), []);
    assert_eq!(shown["holds"], json!([]));
    cluster.assert_rules_kept();
}

#[test]
fn the_number_of_kinds_is_bounded_and_kinds_in_use_are_kept() {
    let change = |value: &mut Value| {
        reporting_settings(value);
        value["runaways"] = json!({ "kinds": 100 });
    };
    let cluster = TestCluster::with_config(2, change, reporting_engine);
    cluster.run_repeatedly("lookup", "SELECT a FROM t /* work=60ms */", 48);
    std::thread::scope(|s| {
        for thread in 0..8 {
            let cluster = &cluster;
            s.spawn(move || {
                for n in 0..250 {
                    let text = format!("SELECT made_up_{thread}_{n} FROM t /* work=1ms */");
                    cluster.run(&cluster.request("lookup", &text));
                }
            });
        }
    });
    let shown = cluster.runaways();
    assert!(shown["kindsKnown"].as_u64() <= Some(100), "{shown:#}");
    assert_eq!(shown["attemptsWatched"], json!(0), "{shown:#}");
    let mut long = cluster.request("lookup", "SELECT a FROM t /* work=300s */");
    long.timeout = SHORT_TIMEOUT;
    std::thread::scope(|s| {
        s.spawn(|| cluster.run(&long));
        let shown = cluster.wait_for_runaways("the runaway", has_runaway);
        let basis = &shown["findings"][0]["evidence"]["basis"]["on"];
        assert_eq!(*basis, json!("kind"), "its statistics are kept");
    });
    cluster.assert_rules_kept();
}

#[test]
fn statistics_survive_a_restart_and_a_damaged_file_is_set_aside() {
    let dir = std::env::temp_dir().join(format!("hoptiller-runaways-{}", std::process::id()));
    let state = dir.display().to_string();
    let change = move |value: &mut Value| {
        reporting_settings(value);
        value["router"]["state"] = json!(state);
        value["runaways"] = json!({ "save_every": "1s" });
    };
    let mut cluster = TestCluster::with_config(2, change, reporting_engine);
    cluster.run_repeatedly("report", REPORT, 48);
    // A save that began before the last run may still be in progress.
    std::thread::sleep(Duration::from_millis(1500));
    let file = dir.join("runaways");
    let interval = Duration::from_millis(50);
    wait_until("a save", WAIT_TIMEOUT, interval, || match fs::read(&file) {
        Ok(bytes) if bytes.len() > 200 && bytes.windows(7).any(|w| w == b"arrears") => Ok(()),
        Ok(bytes) => Err(format!("{} bytes", bytes.len())),
        Err(error) => Err(error.to_string()),
    });
    cluster.crash_router();
    assert_eq!(count_restored_kinds(&cluster.settings), Some(1));
    let saved = fs::read(&file).expect("there");
    let damaged: [&[u8]; 3] = [
        &saved[..saved.len() / 2],
        b"",
        b"\xff\xfe not a statistics file",
    ];
    for bytes in damaged {
        fs::write(&file, bytes).expect("written");
        let restored = count_restored_kinds(&cluster.settings);
        assert_eq!(restored, Some(0), "it starts without statistics");
        assert!(dir.join("runaways.unreadable").exists(), "it is set aside");
    }
    fs::remove_dir_all(&dir).expect("removed");
    assert_eq!(count_restored_kinds(&cluster.settings), Some(0));
    let _ = fs::remove_dir_all(&dir);
}

/// Returns the number of kinds with statistics in a router that starts with these settings.
fn count_restored_kinds(settings: &Settings) -> Option<u64> {
    let mut settings = settings.clone();
    settings.router.admin = Some(([127, 0, 0, 1], 0).into());
    let (running, _) = start_router(&mut settings);
    let shown = runaways_of(&settings);
    running.crash();
    shown["kindsKnown"].as_u64()
}
