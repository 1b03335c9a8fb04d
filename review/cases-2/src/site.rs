//! A small deployment: three routers, six engines and a coordinator.

use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use crate::client::{call, Calls, End, Outcome};
use crate::coordinator;
use crate::engine;
use crate::record::Record;
use crate::router::{free_addr, Entry, Options, Router};

/// By how much an answer may come after its client's time: half a second, and 50 ms that each time limit on sockets is
/// longer.
pub const LATEST_ANSWER_MS: f64 = 550.0;

/// What a case needs to start.
pub struct Setting {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub record: Record,
    /// Whether the disruption is played.
    pub trouble: bool,
}

pub struct Site {
    pub routers: Vec<Router>,
}

impl Site {
    /// Starts a site and waits until each router serves a request.
    pub fn start(setting: &Setting, options: Options, engines: usize) -> Result<Site, String> {
        let failed = |error: std::io::Error| error.to_string();
        let coordinator = coordinator::start().map_err(failed)?;
        let mut entries = Vec::new();
        for number in 0..engines {
            entries.push(Entry {
                id: 0x00c4_1f70 + number as u32,
                addr: engine::start(number, setting.record.clone()).map_err(failed)?,
                zone: number % 3,
                kind: number % 2,
            });
        }
        let mut site = Site {
            routers: Vec::new(),
        };
        for index in 0..options.routers {
            let addr = free_addr().map_err(failed)?;
            let options = Options {
                index,
                ..options.clone()
            };
            let (root, folder) = (&setting.root, &setting.folder);
            let router = Router::start(root, folder, addr, coordinator, &entries, &options)?;
            site.routers.push(router);
        }
        for (index, router) in site.routers.iter().enumerate() {
            let outcome = call(
                router.addr,
                index,
                "lookup",
                1500,
                "SELECT a FROM sales_17.orders",
            );
            if outcome.end != End::Answer(200) {
                return Err(format!(
                    "router {} does not serve: {:?}",
                    router.name, outcome.end
                ));
            }
        }
        setting.record.say(&format!(
            "{} routers and {engines} engines serve",
            site.routers.len()
        ));
        Ok(site)
    }

    /// Sends usual requests for a time, one after each pause, to one router after the other.
    pub fn usual_load(
        &self,
        calls: &Calls,
        record: &Record,
        class: &'static str,
        max_wait_ms: u64,
        pause: Duration,
        count: usize,
    ) {
        for number in 0..count {
            let index = number % self.routers.len();
            calls.start(self.routers[index].addr, index, class, max_wait_ms, record);
            thread::sleep(pause);
        }
    }

    /// Returns a line for each router that has ended by itself.
    pub fn ended_routers(&mut self) -> Vec<String> {
        let ended = |router: &mut Router| {
            let name = router.name.clone();
            router
                .ended()
                .map(|status| format!("router {name} ended: {status}"))
        };
        self.routers.iter_mut().filter_map(ended).collect()
    }
}

/// Judges the rule on lost requests: each request that was taken has its whole answer at most half a second after its
/// time. Requests whose connection the router closed are counted and not judged.
pub fn judge_lost(record: &Record, outcomes: &[Outcome]) -> bool {
    let is_lost = |outcome: &&Outcome| match outcome.end {
        End::Answer(_) => outcome.took_ms > outcome.max_wait_ms as f64 + LATEST_ANSWER_MS,
        End::Nothing => true,
        End::Closed | End::NotTaken => false,
    };
    let lost: Vec<&Outcome> = outcomes.iter().filter(is_lost).collect();
    let count = |end: fn(&End) -> bool| outcomes.iter().filter(|o| end(&o.end)).count();
    let answered = count(|end| matches!(end, End::Answer(_)));
    let served = count(|end| *end == End::Answer(200));
    let closed = count(|end| *end == End::Closed);
    let not_taken = count(|end| *end == End::NotTaken);
    let latest = outcomes
        .iter()
        .map(|outcome| outcome.took_ms)
        .fold(0.0, f64::max);
    record.say(&format!(
        "usual requests: {} sent, {answered} answered ({served} served), {closed} closed, {not_taken} not taken; the last took {latest:.0} ms",
        outcomes.len()
    ));
    for outcome in &lost {
        record.note(&format!(
            "LOST id={} router={} sent_ms={:.1} max_wait_ms={} took_ms={:.1} end={:?}",
            outcome.id,
            outcome.router + 1,
            outcome.sent_ms,
            outcome.max_wait_ms,
            outcome.took_ms,
            outcome.end
        ));
    }
    let by_router: Vec<usize> = (0..3)
        .map(|router| {
            lost.iter()
                .filter(|outcome| outcome.router == router)
                .count()
        })
        .collect();
    record.say(&format!(
        "lost (no answer {LATEST_ANSWER_MS} ms after its time): {} of {}, by router {by_router:?}",
        lost.len(),
        outcomes.len()
    ));
    lost.is_empty()
}
