//! The time in which a router finds runaways among other statements of their fingerprint, over sockets.

use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use futures_lite::future::block_on;
use hoptiller_audit::Recorder;
use hoptiller_http::{Method, Request};
use hoptiller_mock_servers::client::{Client, ClientOptions, ClientRequest};
use serde_json::{Value, json};

use crate::error::BenchmarkError;
use crate::requests::exchange_once;
use crate::test_site::{SiteArgs, TestSite};

const ENGINES: usize = 4;

/// Number of clients in the warm-up, which gives the fingerprint its statistics.
const WARM_UP_CLIENTS: usize = 8;
/// Number of statements of each warm-up client.
const WARM_UP_STATEMENTS: usize = 8;

/// Number of statements of usual size that run in sequence beside each runaway.
const USUAL_STATEMENTS: usize = 24;

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Statements of one fingerprint that differ in their work.
#[derive(Clone, Copy)]
struct Report {
    work: &'static str,
    timeout: Duration,
}

const USUAL: Report = Report {
    work: "400ms",
    timeout: Duration::from_secs(20),
};

/// Ten times the usual work, which is no runaway.
const LARGE: Report = Report {
    work: "4s",
    timeout: Duration::from_secs(20),
};

const RUNAWAY: Report = Report {
    work: "300s",
    timeout: Duration::from_secs(12),
};

impl Report {
    /// Submits the report, and waits for its final response.
    fn run(self, router: SocketAddr) {
        let request = ClientRequest {
            id: 0,
            trace: format!("m{}", self.work),
            class: "report".into(),
            ordering_key: None,
            tags: String::new(),
            text: format!("SELECT * FROM arrears /* work={} threads=1 */", self.work),
            timeout: self.timeout,
            options: ClientOptions::default(),
        };
        let mut client = Client::new("r1", router, Recorder::default());
        let _ = block_on(client.run(&request));
    }

    fn run_times(self, router: SocketAddr, count: usize) {
        for _ in 0..count {
            self.run(router);
        }
    }
}

/// The detection of a runaway.
struct Detection {
    seconds: f64,
    /// Number of open findings at that time.
    findings: usize,
    cause: String,
}

pub(super) fn run(site: &SiteArgs, planted: u32) -> Result<(), BenchmarkError> {
    // Dropping the listener at once frees the port for the router.
    let admin = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let change_settings =
        |settings: &mut Value| settings["router"]["admin"] = json!(admin.to_string());
    let site = TestSite::start(site, ENGINES, change_settings, |engine| {
        engine.reports_progress = true;
    })?;
    let router = site.router().address();
    thread::scope(|scope| {
        for _ in 0..WARM_UP_CLIENTS {
            scope.spawn(|| USUAL.run_times(router, WARM_UP_STATEMENTS));
        }
    });
    let mut detections: Vec<Detection> = (0..planted)
        .filter_map(|_| run_runaway(router, admin))
        .collect();
    detections.sort_by(|a, b| a.seconds.total_cmp(&b.seconds));
    println!(
        "over sockets: {} of {planted} planted runaways found",
        detections.len()
    );
    for detection in &detections {
        println!(
            "  after {:.1} s, {}; open findings: {}",
            detection.seconds, detection.cause, detection.findings
        );
    }
    Ok(())
}

/// Runs a runaway beside a large report and usual ones, until the runaway is found or ends.
fn run_runaway(router: SocketAddr, admin: SocketAddr) -> Option<Detection> {
    thread::scope(|scope| {
        scope.spawn(|| USUAL.run_times(router, USUAL_STATEMENTS));
        let start = Instant::now();
        let runaway = scope.spawn(|| RUNAWAY.run(router));
        scope.spawn(|| LARGE.run(router));
        while !runaway.is_finished() {
            let findings = open_findings(admin);
            let found = findings
                .iter()
                .find(|finding| finding["verdict"] == json!("runaway"));
            if let Some(finding) = found {
                return Some(Detection {
                    seconds: start.elapsed().as_secs_f64(),
                    findings: findings.len(),
                    cause: finding["cause"].to_string(),
                });
            }
            thread::sleep(POLL_INTERVAL);
        }
        None
    })
}

fn open_findings(admin: SocketAddr) -> Vec<Value> {
    let request = Request::new(Method::Get, "/v1/admin/runaways");
    let report: Value = exchange_once(admin, &request)
        .ok()
        .and_then(|response| serde_json::from_slice(&response.body).ok())
        .unwrap_or_default();
    report["findings"].as_array().cloned().unwrap_or_default()
}
