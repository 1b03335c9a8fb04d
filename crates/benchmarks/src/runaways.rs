//! The watch for runaways: what it costs, and how soon it finds planted ones over sockets.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_lite::future::block_on;
use hoptiller_audit::Recorder;
use hoptiller_http::{Method, Request};
use hoptiller_mock_servers::client::{Client, ClientOptions, ClientRequest};
use hoptiller_policy::EngineId;
use hoptiller_runaway::{
    Announced, AttemptId, AttemptStart, EngineStatus, ExecutionOutcome, FingerprintId,
    ProgressReport, RunawayDetector,
};
use hoptiller_sql::{Dialect, normalize};
use hoptiller_statement_router::Settings;
use serde_json::{Value, json};

use crate::site::{Place, Site, ask};

#[derive(clap::Args)]
pub struct Args {
    #[command(flatten)]
    place: Place,
    /// Runaways planted over sockets, one after the other
    #[arg(long, default_value_t = 6)]
    planted: u32,
}

pub fn run(args: &Args) -> io::Result<()> {
    kinds();
    let settings = Settings::load(&args.place.settings_file())
        .map_err(|_| io::Error::other("the settings are wrong"))?;
    watch(&settings);
    sockets(args)
}

/// Kinds of statements: how cost grows with the text.
fn kinds() {
    for repeats in [1, 100, 10_000] {
        let list = "(4711, 'some value', now()), ".repeat(repeats);
        let text = format!("INSERT INTO \"rent\" (a, b, c) VALUES {list}(1, 'x', now()) -- end");
        let began = Instant::now();
        let mut times = 0u32;
        while began.elapsed() < Duration::from_millis(300) {
            std::hint::black_box(normalize(&text, Dialect::STANDARD));
            times += 1;
        }
        let each = began.elapsed().as_secs_f64() / f64::from(times);
        let speed = text.len() as f64 / each / 1e6;
        println!(
            "kind of a statement of {:>7} bytes: {:>9.1} us, {speed:.0} MB/s",
            text.len(),
            each * 1e6
        );
    }
}

/// A look at so many attempts, and what is kept of so many kinds.
fn watch(settings: &Settings) {
    for n in [100u64, 1_000, 10_000] {
        let mut watch = RunawayDetector::new(settings.runaway_settings());
        let listed = |e| EngineStatus {
            engine: EngineId(e),
            is_up: true,
            classes: vec![true; settings.classes.len()],
        };
        watch.update_engines((0..70).map(listed).collect());
        let mut now = 1_000_000_000;
        let start = |watch: &mut RunawayDetector, now, id: u64| {
            let (kind, label) = (
                FingerprintId(id % 4000),
                "select a from t where b = ?".into(),
            );
            let held_as = watch.observe_arrival(now, kind, 0, &label);
            let attempt = AttemptId {
                statement: id,
                number: 0,
            };
            let start = AttemptStart {
                attempt,
                engine: EngineId((id % 70) as u32),
                class: 0,
                name: format!("r1/{id}_x"),
                fingerprint: kind,
                held_as,
                label,
                announced: Announced::default(),
                group: None,
            };
            watch.start_attempt(now, start);
            attempt
        };
        // Every kind gets a past.
        for id in 0..80_000 {
            let attempt = start(&mut watch, now, id);
            now += 200_000 + id % 100_000;
            watch.end_attempt(now, attempt, ExecutionOutcome::Succeeded, Some(200_000));
        }
        let ids: Vec<AttemptId> = (0..n)
            .map(|id| start(&mut watch, now, 1_000_000 + id))
            .collect();
        let (mut spent, mut looks) = (Duration::ZERO, 0);
        for _ in 0..12 {
            now += 500_000;
            for id in &ids {
                let news = ProgressReport {
                    work: Some(now % 300_000),
                    done: Some(0.5),
                    ..ProgressReport::default()
                };
                watch.report_progress(now, *id, news);
            }
            let began = Instant::now();
            watch.run_detection(now);
            spent += began.elapsed();
            looks += 1;
            watch.take_decisions();
        }
        let each = spent.as_secs_f64() / f64::from(looks) * 1e3;
        let began = Instant::now();
        let saved = watch.save();
        println!(
            "look at {n:>6} attempts, {} kinds: {each:>8.2} ms, {:.2}% of a thread; state {:.1} MB, made in {:.0} ms",
            watch.tracked_counts().fingerprints,
            each / 5.0,
            saved.len() as f64 / 1e6,
            began.elapsed().as_secs_f64() * 1e3
        );
    }
}

/// Runaways planted among statements of their kind, over sockets.
fn sockets(args: &Args) -> io::Result<()> {
    let admin: SocketAddr = std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let change = |v: &mut Value| v["router"]["admin"] = json!(admin.to_string());
    let site = Site::new(&args.place, 4, change, |e| e.reports_progress = true)?;
    let addr = site.router.addr;
    let report = |work: &str, seconds| ClientRequest {
        id: 0,
        trace: format!("m{work}"),
        class: "report".into(),
        ordering_key: None,
        tags: String::new(),
        text: format!("SELECT * FROM arrears /* work={work} threads=1 */"),
        timeout: Duration::from_secs(seconds),
        options: ClientOptions::default(),
    };
    let once =
        |ask: &ClientRequest| block_on(Client::new("r1", addr, Recorder::default()).run(ask));
    std::thread::scope(|s| {
        (0..8).for_each(|_| {
            s.spawn(|| (0..8).for_each(|_| _ = once(&report("400ms", 20))));
        });
    });
    let findings = || -> Vec<Value> {
        let answer = ask(admin, &Request::new(Method::Get, "/v1/admin/runaways"));
        let all: Value = answer
            .ok()
            .and_then(|a| serde_json::from_slice(&a.body).ok())
            .unwrap_or_default();
        all["findings"].as_array().cloned().unwrap_or_default()
    };
    let mut found = Vec::new();
    for _ in 0..args.planted {
        std::thread::scope(|s| {
            // The kind's usual statements go on beside it.
            s.spawn(|| (0..24).for_each(|_| _ = once(&report("400ms", 20))));
            let began = Instant::now();
            let run = s.spawn(|| once(&report("300s", 12)));
            // A large one beside it, ten times the median.
            let large = s.spawn(|| once(&report("4s", 20)));
            while !run.is_finished() {
                let now = findings();
                if let Some(f) = now.iter().find(|f| f["verdict"] == json!("runaway")) {
                    found.push((
                        began.elapsed().as_secs_f64(),
                        now.len(),
                        f["cause"].to_string(),
                    ));
                    break;
                }
                std::thread::sleep(Duration::from_millis(50));
            }
            (_, _) = (run.join(), large.join());
        });
    }
    found.sort_by(|a, b| a.0.total_cmp(&b.0));
    println!(
        "over sockets: {} of {} planted runaways found",
        found.len(),
        args.planted
    );
    for (after, verdicts, cause) in &found {
        println!("  after {after:.1} s, {cause}; verdicts standing then: {verdicts}");
    }
    Ok(())
}
