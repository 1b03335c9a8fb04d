//! Owns the clients of a day: each does one statement after the other, with pauses, on its router; when that one
//! is not there, it goes to the next.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use hoptiller_audit::Recorder;
use hoptiller_mock_servers::client::{Client, ClientOptions, ClientOutcome, ClientRequest};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::plan::{ClientPlan, Plan};
use super::stage::Stage;
use crate::run::Failure;

struct Shared {
    stop: AtomicBool,
    /// How many times less clients pause, in thousandths.
    rush: AtomicU64,
    next: AtomicU64,
}

pub struct Crowd {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

/// Threads that the clients share.
const THREADS: u32 = 2;
/// Times that one statement is submitted again after refusals.
const AGAIN: u32 = 3;

impl Crowd {
    pub fn start(plan: &Plan, stage: &Stage, seed: u64) -> Result<Crowd, Failure> {
        let (stop, rush, next) = (
            AtomicBool::new(false),
            AtomicU64::new(1000),
            AtomicU64::new(0),
        );
        let shared = Arc::new(Shared { stop, rush, next });
        let mut threads = Vec::new();
        for t in 0..THREADS {
            let (plan, shared) = (plan.clients.clone(), shared.clone());
            let (routers, recorder) = (stage.addresses(), stage.recorder.clone());
            let thread = std::thread::Builder::new()
                .name(format!("clients-{t}"))
                .spawn(move || {
                    let ex = Rc::new(LocalExecutor::new());
                    let left = Rc::new(Cell::new(0u32));
                    for n in (t..plan.count).step_by(THREADS as usize) {
                        left.set(left.get() + 1);
                        let person = Person {
                            rng: StdRng::seed_from_u64(seed.wrapping_mul(1_000_003) + u64::from(n)),
                            home: n as usize % routers.len(),
                            routers: routers.clone(),
                            plan: plan.clone(),
                            shared: shared.clone(),
                            recorder: recorder.clone(),
                        };
                        let left = left.clone();
                        ex.spawn(async move {
                            person.live().await;
                            left.set(left.get() - 1);
                        })
                        .detach();
                    }
                    async_io::block_on(ex.run(async {
                        while left.get() > 0 {
                            Timer::after(Duration::from_millis(20)).await;
                        }
                    }));
                });
            threads.push(thread.map_err(|e| Failure::Outside("a thread for clients".into(), e))?);
        }
        Ok(Crowd { shared, threads })
    }

    pub fn rush(&self, factor: f64) {
        self.shared
            .rush
            .store((factor * 1000.0) as u64, Ordering::Relaxed);
    }

    /// Lets every client end what it has begun.
    pub fn finish(self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

struct Person {
    rng: StdRng,
    home: usize,
    routers: Vec<(String, SocketAddr)>,
    plan: ClientPlan,
    shared: Arc<Shared>,
    recorder: Recorder,
}

impl Person {
    fn stopped(&self) -> bool {
        self.shared.stop.load(Ordering::Relaxed)
    }

    async fn live(mut self) {
        let retries = self.rng.random_bool(self.plan.again.clamp(0.0, 1.0));
        loop {
            let rush = self.shared.rush.load(Ordering::Relaxed).max(1) as f64 / 1000.0;
            let pause = self.plan.pause.as_secs_f64() / rush
                * -self.rng.random_range(f64::EPSILON..1.0f64).ln();
            self.sleep(Duration::from_secs_f64(pause.min(60.0))).await;
            if self.stopped() {
                return;
            }
            let mut ask = self.draw();
            let name = ask.trace.clone();
            for n in 0..=AGAIN {
                ask.trace = format!("{name}.{n}");
                ask.id = self.shared.next.fetch_add(1, Ordering::Relaxed);
                let (router, addr) = self.routers[self.home].clone();
                let came = Client::new(&router, addr, self.recorder.clone())
                    .run(&ask)
                    .await;
                let wait = match came {
                    // Nobody there: the next router, at once.
                    ClientOutcome::Unreachable => {
                        self.home = (self.home + 1) % self.routers.len();
                        Duration::from_millis(100)
                    }
                    ClientOutcome::NotAdmitted(_) => Duration::from_secs(1),
                    ClientOutcome::Rejected { retry_after, .. } if retries => {
                        Duration::from_secs(retry_after.unwrap_or(1))
                    }
                    _ => break,
                };
                self.sleep(wait).await;
                if self.stopped() {
                    return;
                }
            }
        }
    }

    /// Sleeps, but not on after the day's end.
    async fn sleep(&self, mut time: Duration) {
        while !time.is_zero() && !self.stopped() {
            let part = time.min(Duration::from_millis(200));
            Timer::after(part).await;
            time -= part;
        }
    }

    fn draw(&mut self) -> ClientRequest {
        let total: f64 = self.plan.mix.iter().map(|m| m.part).sum();
        let mut at = self.rng.random_range(0.0..1.0) * total;
        let mut chosen = &self.plan.mix[0];
        for mix in &self.plan.mix {
            chosen = mix;
            at -= mix.part;
            if at <= 0.0 {
                break;
            }
        }
        let number: u64 = self.rng.random();
        let key = (chosen.keys > 0).then(|| format!("k{}", self.rng.random_range(0..chosen.keys)));
        let leaves = self.rng.random_bool(self.plan.leave.clamp(0.0, 1.0));
        ClientRequest {
            id: 0,
            trace: format!("{}-{number:016x}", chosen.class),
            class: chosen.class.clone(),
            ordering_key: key,
            tags: String::new(),
            text: chosen.text.clone(),
            timeout: chosen.patience,
            options: ClientOptions {
                abandon_after: leaves.then_some(2),
                ..ClientOptions::default()
            },
        }
    }
}
