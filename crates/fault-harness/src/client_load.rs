//! Client load of fleet scenarios. Each client submits one statement after another, each to a random router. Routers
//! that reject statements or can't be reached are not excluded from later draws.

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

const THREAD_COUNT: u64 = 1;
/// Distance between the client seeds of consecutive load seeds, which do not overlap for up to this number of clients.
const SEED_STRIDE: u64 = 977;

/// A statement class in the mix of a client load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkloadClass {
    /// Name of the class.
    pub class: String,
    /// Weight of the class in the mix.
    #[serde(rename = "part")]
    pub weight: u64,
    /// Text of the statements.
    pub text: String,
    /// Maximum time that clients wait for a result.
    #[serde(rename = "patience")]
    pub timeout: ConfigDuration,
}

/// Configuration of a client load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientLoadConfig {
    /// Number of clients.
    pub count: u64,
    /// Mean pause of a client between two statements.
    pub pause: ConfigDuration,
    /// Classes from which the clients draw their statements.
    pub mix: Vec<WorkloadClass>,
}

/// The name and address of a router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterAddress {
    /// Name of the router in records.
    pub name: String,
    /// Address on which the router listens.
    pub addr: SocketAddr,
}

type SharedRouters = Arc<Mutex<Vec<RouterAddress>>>;

/// Clients that submit statements until [`finish`](ClientLoad::finish) is called. Dropping the value stops them without
/// waiting.
pub struct ClientLoad {
    threads: ClientThreads,
    routers: SharedRouters,
}

impl ClientLoad {
    /// Starts the clients. They submit nothing before [`set_routers`](ClientLoad::set_routers) is called.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread can't be started.
    pub fn start(
        config: &ClientLoadConfig,
        seed: u64,
        recorder: &Recorder,
    ) -> io::Result<ClientLoad> {
        let routers = SharedRouters::default();
        let (config, recorder, shared_routers) =
            (config.clone(), recorder.clone(), routers.clone());
        let threads = ClientThreads::start(config.count, THREAD_COUNT, move |number, control| {
            let client = LoadClient {
                number,
                draws: StatementDraws::new(&config, seed, number),
                routers: shared_routers.clone(),
                recorder: recorder.clone(),
            };
            client.run(control)
        })?;
        Ok(ClientLoad { threads, routers })
    }

    /// Replaces the routers that receive statements.
    pub fn set_routers(&self, routers: Vec<RouterAddress>) {
        if let Ok(mut current) = self.routers.lock() {
            *current = routers;
        }
    }

    /// Signals the clients to stop, and waits for them. A client that is pausing still submits the statement after the
    /// pause.
    pub fn finish(self) {
        self.threads.finish();
    }
}

/// The random draws of one client.
#[derive(Clone, Debug)]
pub struct StatementDraws {
    config: ClientLoadConfig,
    rng: SeededRng,
}

impl StatementDraws {
    /// Creates the draws of the client `number` in a load with the seed `seed`.
    pub fn new(config: &ClientLoadConfig, seed: u64, number: u64) -> StatementDraws {
        StatementDraws {
            config: config.clone(),
            rng: SeededRng::new(seed.wrapping_mul(SEED_STRIDE) + number),
        }
    }

    /// Draws the pause before a statement, uniformly between 0.5 and 1.5 times the mean.
    pub fn pause(&mut self) -> Duration {
        let mean = self.config.pause.as_micros();
        Duration::from_micros(mean / 2 + self.rng.below(mean))
    }

    /// Draws the index of one of `count` routers.
    pub fn router(&mut self, count: usize) -> usize {
        self.rng.index(count)
    }

    /// Draws a class according to the weights. Returns `None` if the mix is empty.
    pub fn class(&mut self) -> Option<&WorkloadClass> {
        let total = self.config.mix.iter().map(|class| class.weight).sum();
        let mut remaining = self.rng.below(total);
        self.config
            .mix
            .iter()
            .find(|class| match remaining.checked_sub(class.weight) {
                Some(rest) => {
                    remaining = rest;
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
            let Some(class) = self.draws.class().cloned() else {
                return;
            };
            let statement = self.statement(&class, control.next_request());
            Client::new(&router.name, router.addr, self.recorder.clone())
                .run(&statement)
                .await;
        }
    }

    fn draw_router(&mut self) -> Option<RouterAddress> {
        let routers = self.routers.lock().ok()?;
        if routers.is_empty() {
            return None;
        }
        Some(routers[self.draws.router(routers.len())].clone())
    }

    fn statement(&self, class: &WorkloadClass, request: u64) -> ClientRequest {
        ClientRequest {
            id: request,
            trace: format!("{}-{}-{request}", class.class, self.number),
            class: class.class.clone(),
            ordering_key: None,
            tags: String::new(),
            text: class.text.clone(),
            timeout: Duration::from_micros(class.timeout.as_micros()),
            options: ClientOptions::default(),
        }
    }
}
