//! Client load of fleet scenarios: each client submits one statement after the other, each to a router drawn at random.
//! Routers that reject statements or can't be reached go on being drawn.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_io::Timer;
use hoptiller_audit::Recorder;
use hoptiller_coordination::ConfigDuration;
use hoptiller_mock_servers::client::{Client, ClientOptions, ClientRequest};
use serde::Deserialize;

use crate::client_threads::{ClientControl, ClientThreads};
use crate::rng::SeededRng;

const THREADS: u64 = 1;
/// Keeps the seeds of the clients of one load apart from those of the next seed's.
const SEED_STRIDE: u64 = 977;

/// Statements of one class in a load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkloadMix {
    /// The class.
    pub class: String,
    /// Its weight among the classes of the load.
    #[serde(rename = "part")]
    pub weight: u64,
    /// The text of its statements.
    pub text: String,
    /// How long clients wait for a result.
    #[serde(rename = "patience")]
    pub timeout: ConfigDuration,
}

/// What clients do.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientLoadConfig {
    /// How many clients there are.
    pub count: u64,
    /// The mean pause of a client between two statements.
    pub pause: ConfigDuration,
    /// The classes of their statements.
    pub mix: Vec<WorkloadMix>,
}

/// A router as clients know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterAddress {
    /// Its name in records.
    pub name: String,
    /// Where it listens.
    pub addr: SocketAddr,
}

type SharedRouters = Arc<Mutex<Vec<RouterAddress>>>;

/// Clients that submit statements until they are told to finish. Where it is dropped before, they finish unwatched.
pub struct ClientLoad {
    threads: ClientThreads,
    routers: SharedRouters,
}

impl ClientLoad {
    /// Starts the clients. They submit nothing before [`set_routers`](ClientLoad::set_routers).
    ///
    /// # Errors
    ///
    /// When no thread can be started.
    pub fn start(
        config: &ClientLoadConfig,
        seed: u64,
        recorder: &Recorder,
    ) -> io::Result<ClientLoad> {
        let routers = SharedRouters::default();
        let (config, recorder, known) = (config.clone(), recorder.clone(), routers.clone());
        let threads = ClientThreads::start(config.count, THREADS, move |number, control| {
            let client = LoadClient {
                number,
                draws: StatementDraws::new(&config, seed, number),
                routers: known.clone(),
                recorder: recorder.clone(),
            };
            client.run(control)
        })?;
        Ok(ClientLoad { threads, routers })
    }

    /// Replaces the routers that statements go to.
    pub fn set_routers(&self, routers: Vec<RouterAddress>) {
        if let Ok(mut known) = self.routers.lock() {
            *known = routers;
        }
    }

    /// Lets every client end what it has begun, and waits for all of them.
    pub fn finish(self) {
        self.threads.finish();
    }
}

/// What one client draws from its seed.
#[derive(Clone, Debug)]
pub struct StatementDraws {
    config: ClientLoadConfig,
    rng: SeededRng,
}

impl StatementDraws {
    /// The draws of the client `number` of a load that started from `seed`.
    pub fn new(config: &ClientLoadConfig, seed: u64, number: u64) -> StatementDraws {
        StatementDraws {
            config: config.clone(),
            rng: SeededRng::new(seed.wrapping_mul(SEED_STRIDE) + number),
        }
    }

    /// Draws the pause before a statement: from a half to one and a half of the mean.
    pub fn pause(&mut self) -> Duration {
        let mean = self.config.pause.as_micros();
        Duration::from_micros(mean / 2 + self.rng.below(mean))
    }

    /// Draws one of so many routers.
    pub fn router(&mut self, count: usize) -> usize {
        self.rng.index(count)
    }

    /// Draws a class by its weight; `None` where the load has none.
    pub fn class(&mut self) -> Option<&WorkloadMix> {
        let total = self.config.mix.iter().map(|mix| mix.weight).sum();
        let mut left = self.rng.below(total);
        self.config
            .mix
            .iter()
            .find(|mix| match left.checked_sub(mix.weight) {
                Some(rest) => {
                    left = rest;
                    false
                }
                None => true,
            })
    }
}

struct LoadClient {
    number: u64,
    draws: StatementDraws,
    routers: SharedRouters,
    recorder: Recorder,
}

impl LoadClient {
    async fn run(mut self, control: Arc<ClientControl>) {
        while !control.is_stopped() {
            Timer::after(self.draws.pause()).await;
            let Some(router) = self.draw_router() else {
                continue;
            };
            let Some(mix) = self.draws.class().cloned() else {
                return;
            };
            let statement = self.statement(&mix, control.next_request());
            Client::new(&router.name, router.addr, self.recorder.clone())
                .run(&statement)
                .await;
        }
    }

    fn draw_router(&mut self) -> Option<RouterAddress> {
        let known = self.routers.lock().ok()?;
        if known.is_empty() {
            return None;
        }
        Some(known[self.draws.router(known.len())].clone())
    }

    fn statement(&self, mix: &WorkloadMix, request: u64) -> ClientRequest {
        ClientRequest {
            id: request,
            trace: format!("{}-{}-{request}", mix.class, self.number),
            class: mix.class.clone(),
            ordering_key: None,
            tags: String::new(),
            text: mix.text.clone(),
            timeout: Duration::from_micros(mix.timeout.as_micros()),
            options: ClientOptions::default(),
        }
    }
}
