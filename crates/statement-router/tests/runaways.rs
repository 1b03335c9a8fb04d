//! Planted runaways over sockets: who is named, who is not, what is held and ended, and what clients are told.

mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use common::{Stage, send_to, start_router};
use hoptiller_http::{Method, Request};
use hoptiller_mock_servers::client::{Client, ClientOutcome, ClientRequest};
use hoptiller_mock_servers::engine::EngineConfig;
use hoptiller_mock_servers::engine_faults::EngineFaults;
use serde_json::{Value, json};

const ENDED: &str = "HOPTILLER_ENDED_BY_RULE";
const MAY_HAVE_RUN: &str = "HOPTILLER_MAY_HAVE_RUN";

/// Engines of 32 cores that tell of their statements and let them be ended.
fn telling(e: &mut EngineConfig) {
    (e.reports_progress, e.supports_kill) = (true, true);
    (e.work_model.cores, e.work_model.io_slots) = (32.0, 64.0);
}

fn settings(value: &mut Value) {
    value["kinds"] = json!({ "std-8a": 32, "std-8b": 32 });
    let engines = value["engines"].as_object_mut().expect("an object");
    engines.insert("ends".into(), json!(true));
    engines.insert("pauses".into(), json!(true));
}

/// On a loaded machine, what is answered in time is seen late.
const LENIENCE: Duration = Duration::from_secs(5);

fn stage(engines: usize) -> Stage {
    Stage::with(engines, settings, telling).lenient(LENIENCE)
}

fn stage_that_ends(engines: usize) -> Stage {
    let ending = |value: &mut Value| {
        settings(value);
        value["runaways"] = json!({ "acts": ["name", "hold", "end"], "end_after": "500ms" });
    };
    Stage::with(engines, ending, telling).lenient(LENIENCE)
}

const REPORT: &str = "SELECT * FROM arrears /* work=400ms threads=1 */";

fn report(work: &str) -> String {
    format!("SELECT * FROM arrears /* work={work} threads=1 */")
}

fn patient(mut ask: ClientRequest) -> ClientRequest {
    ask.timeout = Duration::from_secs(20);
    ask
}

fn verdicts(all: &Value, verdict: &str) -> Vec<Value> {
    let both = [&all["findings"], &all["past"]]
        .into_iter()
        .flat_map(|l| l.as_array().cloned().unwrap_or_default());
    both.filter(|f| f["verdict"] == json!(verdict)).collect()
}

/// Open findings that are runaways, by cause and subject.
fn runaways(all: &Value) -> Vec<(String, String)> {
    let text = |f: &Value, key: &str| f[key].as_str().unwrap_or_default().to_owned();
    verdicts(all, "runaway")
        .iter()
        .map(|f| (text(f, "cause"), text(f, "subject")))
        .collect()
}

/// Every finding that ever was: nothing of those wanted may have been cleared away unseen.
fn ever(all: &Value) -> usize {
    ["findings", "past"]
        .iter()
        .map(|l| all[l].as_array().map_or(0, Vec::len))
        .sum()
}

/// The name of a submission's statement, as the engine got it.
fn name_of(ask: &ClientRequest) -> String {
    // Statements of a router are numbered in the order of their coming, which is that of these asks.
    format!("statement r1/{:05}_lifelife", ask.id)
}

#[test]
fn a_year_end_report_is_left_alone_and_a_runaway_of_its_kind_is_named() {
    let stage = stage(3);
    stage.teach("report", REPORT, 48);
    let plain = patient(stage.ask("report", &report("4s")));
    let mut announced = patient(stage.ask("report", &report("4s")));
    announced.tags = "size=12".into();
    std::thread::scope(|s| {
        let all = [&plain, &announced].map(|ask| s.spawn(|| stage.run(ask).0));
        all.into_iter()
            .for_each(|a| assert_eq!(a.join().expect("ends"), ClientOutcome::Served(300)));
    });
    assert_eq!(ever(&stage.runaways()), 0, "{:#}", stage.runaways());
    let long = patient(stage.ask("report", &report("90s")));
    std::thread::scope(|s| {
        let run = s.spawn(|| stage.run(&long).0);
        let all = stage.wait_for_runaways("the runaway", |all| !runaways(all).is_empty());
        assert_eq!(runaways(&all), [("heavy".to_owned(), name_of(&long))]);
        let f = &all["findings"][0];
        assert_eq!(
            (f["class"].as_str(), f["text"].as_str()),
            (Some("report"), Some("select * from arrears"))
        );
        assert_eq!(f["evidence"]["basis"]["on"], json!("kind"));
        assert_eq!(all["holds"][0]["atOnce"], json!(1));
        // The default names and holds only: its client has its answer when its patience is over, and not before.
        assert!(
            matches!(run.join().expect("ends"), ClientOutcome::Rejected { error: name, .. } if name == "HOPTILLER_REFUSED")
        );
    });
    stage.assert_rules_kept();
}

#[test]
fn a_load_that_blocks_forty_lookups_is_named_they_are_not_and_others_go_elsewhere() {
    let stage = stage(2);
    stage.teach("lookup", "SELECT rent FROM due /* work=20ms set=7 */", 48);
    stage.teach(
        "rent-load",
        "INSERT INTO due VALUES (1) /* work=100ms */",
        48,
    );
    let mut load = patient(stage.ask(
        "rent-load",
        "INSERT INTO due VALUES (2) /* work=80s set=7 */",
    ));
    load.tags = "tables=due".into();
    let lookup = |n: usize| {
        let mut ask = patient(stage.ask(
            "lookup",
            &format!("SELECT rent FROM due /* work=20ms set=7 {n} */"),
        ));
        ask.tags = "tables=due".into();
        ask.timeout = Duration::from_millis(7400);
        ask
    };
    // Enough of them that forty meet the load's engine.
    let first: Vec<ClientRequest> = (0..90).map(lookup).collect();
    std::thread::scope(|s| {
        let posting = s.spawn(|| stage.run(&load).0);
        stage.wait_until_sent(&load);
        let blocked: Vec<_> = first
            .iter()
            .map(|ask| s.spawn(|| stage.run(ask).0))
            .collect();
        let all = stage.wait_for_runaways("the load", |all| !runaways(all).is_empty());
        assert_eq!(runaways(&all), [("blocks".to_owned(), name_of(&load))]);
        // Those that came before the verdict stand there; on a slow machine they may not be forty yet.
        let standing = stage.standing_with(&load, &first).min(40) as u64;
        assert!(standing > 0);
        let told = |all: &Value| all["findings"][0]["blocked"].as_u64().unwrap_or(0);
        stage.wait_for_runaways("those who stand behind it", |all| told(all) >= standing);
        assert_eq!(
            all["keptAway"][0]["engines"].as_array().map(Vec::len),
            Some(1)
        );
        // From now on, what reads those tables is sent elsewhere, and is served.
        let second: Vec<ClientRequest> = (100..130).map(lookup).collect();
        for ask in &second {
            assert!(
                matches!(stage.run(ask).0, ClientOutcome::Served(_)),
                "kept away from the load's engine"
            );
        }
        blocked
            .into_iter()
            .for_each(|b| _ = b.join().expect("ends"));
        assert_eq!(
            posting.join().expect("ends"),
            ClientOutcome::Failed(MAY_HAVE_RUN.into())
        );
    });
    assert!(verdicts(&stage.runaways(), "runaway").len() <= 1);
    assert_eq!((stage.sent(&load), stage.posted(&load)), (1, 0));
    stage.assert_rules_kept();
}

#[test]
fn a_slow_engine_is_named_and_no_statement_there() {
    let stage = stage(3);
    let short = "SELECT name FROM tenants /* work=60ms */";
    stage.teach("report", REPORT, 48);
    stage.teach("lookup", short, 48);
    stage.engines[1].inject_faults(EngineFaults {
        slowdown: Some(15.0),
        ..EngineFaults::default()
    });
    let found = AtomicBool::new(false);
    std::thread::scope(|s| {
        for _ in 0..6 {
            s.spawn(|| {
                while !found.load(Ordering::Relaxed) {
                    stage.run(&stage.ask("lookup", short));
                    stage.run(&patient(stage.ask("report", REPORT)));
                }
            });
        }
        let all = stage.wait_for_runaways("the engine", |all| !verdicts(all, "notice").is_empty());
        found.store(true, Ordering::Relaxed);
        assert_eq!(verdicts(&all, "notice")[0]["subject"], json!("engine e1"));
    });
    assert_eq!(runaways(&stage.runaways()), []);
    stage.assert_rules_kept();
}

#[test]
fn a_kind_never_seen_is_judged_by_its_class() {
    let stage = stage(2);
    stage.teach("lookup", "SELECT a FROM t /* work=60ms */", 48);
    let honest = patient(stage.ask("lookup", "SELECT new, honest FROM t /* work=900ms */"));
    assert!(matches!(stage.run(&honest).0, ClientOutcome::Served(_)));
    assert_eq!(ever(&stage.runaways()), 0);
    let mut long = stage.ask("lookup", "SELECT new, heavy FROM t /* work=300s */");
    long.timeout = Duration::from_millis(7400);
    std::thread::scope(|s| {
        s.spawn(|| stage.run(&long).0);
        let all = stage.wait_for_runaways("it", |all| !runaways(all).is_empty());
        assert_eq!(
            all["findings"][0]["evidence"]["basis"]["on"],
            json!("class")
        );
    });
    stage.assert_rules_kept();
}

#[test]
fn of_two_loads_that_block_each_other_one_is_ended_with_proof_and_the_other_is_served() {
    let stage = stage_that_ends(1);
    let load = |n: u32, m: u32| {
        let text = format!("INSERT INTO t{n} /* work=400ms threads=1 set={n} then=0.5:{m} */");
        patient(stage.ask("rent-load", &text))
    };
    let (one, two) = (load(1, 2), load(2, 1));
    let came = std::thread::scope(|s| {
        let first = s.spawn(|| stage.run(&one).0);
        stage.wait_until_sent(&one);
        let second = s.spawn(|| stage.run(&two).0);
        let all = stage.wait_for_runaways("both", |all| runaways(all).len() == 2);
        assert!(
            runaways(&all).iter().all(|(cause, _)| cause == "deadlock"),
            "{all:#}"
        );
        [first, second].map(|t| t.join().expect("ends"))
    });
    assert_eq!(came[0], ClientOutcome::Served(1), "the older one goes on");
    assert!(
        matches!(&came[1], ClientOutcome::Rejected { error: name, .. } if name == ENDED),
        "{came:?}"
    );
    assert_eq!((stage.posted(&one), stage.posted(&two)), (1, 0));
    assert_eq!((stage.sent(&one), stage.sent(&two)), (1, 1));
    stage.assert_rules_kept();
}

#[test]
fn a_load_that_was_ended_is_harmless_only_with_proof_of_rollback() {
    for (faults, want) in [
        (EngineFaults::default(), ENDED),
        (
            EngineFaults {
                withhold_effects: true,
                ..EngineFaults::default()
            },
            MAY_HAVE_RUN,
        ),
    ] {
        let stage = stage_that_ends(2);
        stage.teach("rent-load", "INSERT INTO due /* work=50ms */", 48);
        stage.engines.iter().for_each(|e| {
            e.inject_faults(EngineFaults {
                only_class: Some("rent-load".into()),
                ..faults.clone()
            })
        });
        let load = patient(stage.ask("rent-load", "INSERT INTO due /* work=90s */"));
        match (stage.run(&load).0, want) {
            (
                ClientOutcome::Rejected {
                    error: name,
                    retry_after: Some(_),
                },
                ENDED,
            ) => assert_eq!(name, ENDED),
            (ClientOutcome::Failed(name), MAY_HAVE_RUN) => assert_eq!(name, MAY_HAVE_RUN),
            (other, _) => panic!("{other:?} instead of {want}"),
        }
        assert_eq!(
            (stage.sent(&load), stage.posted(&load)),
            (1, 0),
            "ended, and not sent again"
        );
        stage.assert_rules_kept();
    }
}

#[test]
fn a_report_that_was_ended_is_refused_with_the_reason_and_not_tried_again() {
    let stage = stage_that_ends(3);
    stage.teach("report", REPORT, 48);
    let long = patient(stage.ask("report", &report("90s")));
    let (came, client) = stage.run(&long);
    assert!(
        matches!(&came, ClientOutcome::Rejected { error: name, retry_after: Some(_) } if name == ENDED),
        "{came:?}"
    );
    let last =
        String::from_utf8_lossy(&client.responses().last().expect("an answer").response.body)
            .into_owned();
    assert!(
        last.contains("a rule of this installation ends it"),
        "{last}"
    );
    assert_eq!(stage.sent(&long), 1);
    stage.assert_rules_kept();
}

#[test]
fn a_paused_report_stands_still_for_its_time_and_is_then_served() {
    let pausing = |value: &mut Value| {
        settings(value);
        value["runaways"] = json!({ "acts": ["name", "pause"], "pause_for": "5s" });
    };
    let stage = Stage::with(2, pausing, telling);
    stage.teach("report", REPORT, 48);
    let long = patient(stage.ask("report", &report("9s")));
    let began = std::time::Instant::now();
    assert_eq!(stage.run(&long).0, ClientOutcome::Served(300));
    // Its work takes nine seconds of moving; only a lower bound, so that a slow machine changes nothing.
    assert!(
        began.elapsed() >= Duration::from_millis(13_500),
        "{:?}",
        began.elapsed()
    );
    assert_eq!(
        (
            stage.sent(&long),
            stage.runaways()["holds"].as_array().map(Vec::len)
        ),
        (1, Some(0))
    );
    stage.assert_rules_kept();
}

#[test]
fn one_that_finishes_as_it_is_being_ended_gives_its_rows() {
    let stage = stage_that_ends(2);
    stage.teach("rent-load", "INSERT INTO due /* work=50ms threads=1 */", 48);
    let late = EngineFaults {
        kill_after_finish: true,
        only_class: Some("rent-load".into()),
        ..EngineFaults::default()
    };
    stage
        .engines
        .iter()
        .for_each(|e| e.inject_faults(late.clone()));
    // Beyond its bound of 3 s from the first, and done some 8 s after it began.
    let load = patient(stage.ask("rent-load", "INSERT INTO due /* work=8s threads=1 */"));
    assert_eq!(stage.run(&load).0, ClientOutcome::Served(1));
    let all = stage.runaways();
    assert!(
        all["past"]
            .as_array()
            .is_some_and(|p| p.iter().any(|f| f["cause"] == json!("heavy"))),
        "{all:#}"
    );
    assert_eq!((stage.sent(&load), stage.posted(&load)), (1, 1));
    stage.assert_rules_kept();
}

/// Set when a test's thread is done, also by a panic.
struct OnDrop<'a>(&'a AtomicBool);

impl Drop for OnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

#[test]
fn a_runaway_whose_router_has_died_is_named_by_the_next_one() {
    let mut stage = stage(1);
    let mut other = stage.settings.clone();
    (other.router.name, other.router.index) = ("r2".into(), 1);
    other.router.admin = Some(([127, 0, 0, 1], 0).into());
    let (_running, addr) = start_router(&mut other);
    let admin = other.router.admin.expect("it listens");
    let load = patient(stage.ask("rent-load", "INSERT INTO due /* work=300s set=7 */"));
    let trace = load.clone();
    let from = stage.addr;
    let recorder = stage.recorder.clone();
    std::thread::scope(|s| {
        s.spawn(move || {
            let mut ask = load;
            ask.options.abandon_after = Some(2);
            futures_lite::future::block_on(Client::new("r1", from, recorder).run(&ask))
        });
        stage.wait_until_sent(&trace);
    });
    stage.crash_router();
    // It is named some 12 s after it began, if lookups stand behind it then: they come until it is.
    let over = AtomicBool::new(false);
    std::thread::scope(|s| {
        let _ends = OnDrop(&over);
        for _ in 0..12 {
            s.spawn(|| {
                while !over.load(Ordering::Relaxed) {
                    let mut ask = stage.ask("lookup", "SELECT rent FROM due /* work=20ms set=7 */");
                    ask.timeout = Duration::from_millis(7400);
                    let mut client = Client::new("r2", addr, stage.recorder.clone());
                    futures_lite::future::block_on(client.run(&ask));
                }
            });
        }
        let began = std::time::Instant::now();
        loop {
            let answer = send_to(admin, &Request::new(Method::Get, "/v1/admin/runaways"));
            let all: Value = serde_json::from_slice(&answer.body).expect("JSON");
            if !runaways(&all).is_empty() {
                assert_eq!(
                    runaways(&all),
                    [(
                        "blocks".to_owned(),
                        "statement r1/00000_lifelife".to_owned()
                    )]
                );
                break;
            }
            if began.elapsed() > Duration::from_secs(40) {
                for r in stage.recorder.records().expect("r") {
                    eprintln!("REC {}", serde_json::to_string(&r).expect("j"));
                }
            }
            assert!(began.elapsed() < Duration::from_secs(40), "{all:#}");
            std::thread::sleep(Duration::from_millis(100));
        }
    });
}

#[test]
fn a_kind_that_has_changed_is_one_notice() {
    let stage = stage(3);
    stage.teach("report", REPORT, 48);
    std::thread::scope(|s| {
        for _ in 0..30 {
            s.spawn(|| stage.run(&patient(stage.ask("report", &report("9s")))).0);
        }
        let all = stage.wait_for_runaways("the notice", |all| !verdicts(all, "notice").is_empty());
        assert_eq!(verdicts(&all, "notice").len(), 1);
        assert_eq!(verdicts(&all, "notice")[0]["cause"], json!("kind_changed"));
    });
    let all = stage.runaways();
    let past = all["past"].as_array().cloned().unwrap_or_default();
    assert!(
        past.iter()
            .any(|f| f["note"] == json!("its new figures are taken as usual")),
        "{all:#}"
    );
    assert_eq!(
        (runaways(&all).len(), all["holds"].as_array().map(Vec::len)),
        (0, Some(0))
    );
    stage.assert_rules_kept();
}

#[test]
fn kinds_made_up_by_the_thousand_are_bounded_and_known_ones_stay() {
    let change = |value: &mut Value| {
        settings(value);
        value["runaways"] = json!({ "kinds": 100 });
    };
    let stage = Stage::with(2, change, telling);
    stage.teach("lookup", "SELECT a FROM t /* work=60ms */", 48);
    std::thread::scope(|s| {
        for thread in 0..8 {
            let stage = &stage;
            s.spawn(move || {
                for n in 0..250 {
                    stage.run(&stage.ask(
                        "lookup",
                        &format!("SELECT made_up_{thread}_{n} FROM t /* work=1ms */"),
                    ));
                }
            });
        }
    });
    let all = stage.runaways();
    assert!(
        all["kindsKnown"].as_u64() <= Some(100) && all["attemptsWatched"] == json!(0),
        "{all:#}"
    );
    let mut long = stage.ask("lookup", "SELECT a FROM t /* work=300s */");
    long.timeout = Duration::from_millis(7400);
    std::thread::scope(|s| {
        s.spawn(|| stage.run(&long).0);
        let all = stage.wait_for_runaways("it", |all| !runaways(all).is_empty());
        assert_eq!(
            all["findings"][0]["evidence"]["basis"]["on"],
            json!("kind"),
            "known from before"
        );
    });
    stage.assert_rules_kept();
}

#[test]
fn a_held_kind_runs_one_beside_the_runaway_and_an_administrator_frees_it() {
    let stage = stage(3);
    stage.teach("report", REPORT, 48);
    let long = patient(stage.ask("report", &report("90s")));
    let delete = |path: &str| {
        let admin = stage.settings.router.admin.expect("set");
        send_to(admin, &Request::new(Method::Delete, path)).status.0
    };
    let ten: Vec<ClientRequest> = (0..10)
        .map(|_| patient(stage.ask("report", &report("2s"))))
        .collect();
    std::thread::scope(|s| {
        s.spawn(|| stage.run(&long).0);
        let all = stage.wait_for_runaways("the hold", |all| {
            all["holds"].as_array().is_some_and(|h| !h.is_empty())
        });
        let kind = all["holds"][0]["kind"].as_str().expect("a kind").to_owned();
        // Of ten at once, one runs at a time; other kinds of the class go past them.
        let runs: Vec<_> = ten.iter().map(|ask| s.spawn(|| stage.run(ask).0)).collect();
        stage.wait_until_sent_any(&ten);
        let other = patient(stage.ask("report", "SELECT other FROM t /* work=50ms */"));
        assert!(matches!(stage.run(&other).0, ClientOutcome::Served(_)));
        let sent = ten.iter().filter(|ask| stage.sent(ask) > 0).count();
        assert!(sent <= 2, "{sent} of ten were sent");
        assert_eq!(delete("/v1/admin/holds/0000000000000001"), 404);
        assert_eq!(delete("/v1/admin/holds/nonsense"), 404);
        assert_eq!(delete(&format!("/v1/admin/holds/{kind}")), 204);
        assert!(
            stage.runaways()["holds"]
                .as_array()
                .is_some_and(Vec::is_empty)
        );
        runs.into_iter()
            .for_each(|r| assert_eq!(r.join().expect("ends"), ClientOutcome::Served(300)));
    });
    stage.assert_rules_kept();
}

#[test]
fn what_was_learnt_survives_its_router_and_a_damaged_file_does_no_harm() {
    let dir = std::env::temp_dir().join(format!("hoptiller-runaways-{}", std::process::id()));
    let state = dir.clone();
    let change = move |value: &mut Value| {
        settings(value);
        value["router"]["state"] = json!(state.display().to_string());
        value["runaways"] = json!({ "save_every": "1s" });
    };
    let mut stage = Stage::with(2, change, telling);
    stage.teach("report", REPORT, 48);
    std::thread::sleep(Duration::from_millis(1500));
    let file = dir.join("runaways");
    let began = std::time::Instant::now();
    let holds_enough = || {
        std::fs::read(&file).is_ok_and(|b| b.len() > 200 && b.windows(7).any(|w| w == b"arrears"))
    };
    while !holds_enough() {
        assert!(
            began.elapsed() < Duration::from_secs(20),
            "nothing was written"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
    stage.crash_router();
    let kinds_known = |settings: &hoptiller_statement_router::Settings| {
        let mut settings = settings.clone();
        settings.router.admin = Some(([127, 0, 0, 1], 0).into());
        let (running, _) = start_router(&mut settings);
        let admin = settings.router.admin.expect("it listens");
        let answer = send_to(admin, &Request::new(Method::Get, "/v1/admin/runaways"));
        running.crash();
        let all: Value = serde_json::from_slice(&answer.body).expect("JSON");
        all["kindsKnown"].as_u64()
    };
    assert_eq!(kinds_known(&stage.settings), Some(1));
    let whole = std::fs::read(&file).expect("there");
    for bytes in [
        &whole[..whole.len() / 2],
        b"",
        b"\xff\xfe something of somebody else",
    ] {
        std::fs::write(&file, bytes).expect("written");
        assert_eq!(
            kinds_known(&stage.settings),
            Some(0),
            "it starts, from what the settings say"
        );
        assert!(
            dir.join("runaways.unreadable").exists(),
            "what can't be read is set aside"
        );
    }
    std::fs::remove_dir_all(&dir).expect("removed");
    assert_eq!(kinds_known(&stage.settings), Some(0));
    let _ = std::fs::remove_dir_all(&dir);
}
