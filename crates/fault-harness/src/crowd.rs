//! Owns the clients on the stage: each does one statement after the other, each at a router of chance: routers that refuse
//! or are cut off go on being asked.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use async_io::Timer;
use hoptiller_audit::Recorder;
use hoptiller_coordination::ConfigDuration;
use hoptiller_mock_servers::client::{Ask, Client, Manner};
use serde::Deserialize;

/// Statements of one class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// Its class.
    pub class: String,
    /// Their part among all, in parts of the sum.
    pub part: u64,
    /// Their text.
    pub text: String,
    /// How long clients wait.
    pub patience: ConfigDuration,
}

/// The clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// How many.
    pub count: u64,
    /// Pause between two statements.
    pub pause: ConfigDuration,
    /// What they want.
    pub mix: Vec<Mix>,
}

/// A small generator: the same draws for the same seed.
pub struct Dice(u64);

impl Dice {
    /// From a seed.
    pub fn new(seed: u64) -> Dice {
        Dice(seed ^ 0x5dee_ce66_d1ce_4e5b)
    }

    /// One of so many.
    pub fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (x ^ (x >> 31)) % n.max(1)
    }
}

/// Clients that go on until told to stop.
pub struct Crowd {
    stop: Arc<AtomicBool>,
    routers: Arc<Mutex<Vec<(String, SocketAddr)>>>,
    thread: Option<JoinHandle<()>>,
}

impl Crowd {
    /// Starts them; they reach nobody yet.
    pub fn start(plan: &Clients, seed: u64, recorder: &Recorder) -> io::Result<Crowd> {
        let (stop, routers): (Arc<AtomicBool>, Arc<Mutex<Vec<_>>>) = Default::default();
        let next = Arc::new(AtomicU64::new(0));
        let (plan, recorder) = (plan.clone(), recorder.clone());
        let (own_stop, own_routers) = (stop.clone(), routers.clone());
        let thread = std::thread::Builder::new()
            .name("clients".into())
            .spawn(move || {
                let all = (0..plan.count).map(|n| {
                    let (plan, recorder, next) = (plan.clone(), recorder.clone(), next.clone());
                    let (stop, routers) = (own_stop.clone(), own_routers.clone());
                    live(
                        Dice::new(seed.wrapping_mul(977) + n),
                        n,
                        plan,
                        recorder,
                        next,
                        stop,
                        routers,
                    )
                });
                let all: Vec<_> = all.collect();
                async_io::block_on(join(all));
            })?;
        Ok(Crowd {
            stop,
            routers,
            thread: Some(thread),
        })
    }

    /// Where routers are from now on.
    pub fn reach(&self, routers: Vec<(String, SocketAddr)>) {
        if let Ok(mut known) = self.routers.lock() {
            *known = routers;
        }
    }

    /// Lets every client end what it has begun.
    pub fn finish(mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn join<F: Future<Output = ()> + 'static>(all: Vec<F>) {
    let ex = Rc::new(async_executor::LocalExecutor::new());
    let tasks: Vec<_> = all.into_iter().map(|f| ex.spawn(f)).collect();
    ex.run(async {
        for task in tasks {
            task.await;
        }
    })
    .await;
}

async fn live(
    mut dice: Dice,
    number: u64,
    plan: Clients,
    recorder: Recorder,
    next: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    routers: Arc<Mutex<Vec<(String, SocketAddr)>>>,
) {
    let parts: u64 = plan.mix.iter().map(|m| m.part).sum();
    while !stop.load(Ordering::Relaxed) {
        Timer::after(Duration::from_micros(
            plan.pause.as_micros() / 2 + dice.below(plan.pause.as_micros()),
        ))
        .await;
        let known = routers.lock().map(|r| r.clone()).unwrap_or_default();
        if known.is_empty() {
            continue;
        }
        let (router, addr) = known[dice.below(known.len() as u64) as usize].clone();
        let mut left = dice.below(parts);
        let mix = plan.mix.iter().find(|m| match left.checked_sub(m.part) {
            Some(rest) => {
                left = rest;
                false
            }
            None => true,
        });
        let Some(mix) = mix else { return };
        let request = next.fetch_add(1, Ordering::Relaxed);
        let ask = Ask {
            request,
            trace: format!("{}-{number}-{request}", mix.class),
            class: mix.class.clone(),
            key: None,
            tags: String::new(),
            text: mix.text.clone(),
            patience: Duration::from_micros(mix.patience.as_micros()),
            manner: Manner::default(),
        };
        Client::new(&router, addr, recorder.clone()).run(&ask).await;
    }
}
