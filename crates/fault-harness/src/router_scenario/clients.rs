//! Client load of router scenarios. Each client uses one router, switches to the next one if it can't be reached, and
//! retries rejected statements.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hoptiller_audit::Recorder;
use hoptiller_mock_servers::client::{Client, ClientOptions, ClientOutcome, ClientRequest};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Deserialize;

use super::duration::deserialize_duration;
use crate::client_load::RouterAddress;
use crate::client_threads::{ClientControl, ClientThreads};
use crate::error::ScenarioError;

const THREAD_COUNT: u64 = 2;
/// Distance between the client seeds of consecutive load seeds, so that they do not overlap.
const SEED_STRIDE: u64 = 1_000_003;
const MAX_PAUSE_SECONDS: f64 = 60.0;
/// Maximum number of times that a client submits a rejected statement again.
const MAX_RETRIES: u32 = 3;
/// Pause before a retry at the next router if a router can't be reached.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(100);
/// Pause before a retry if the rejection does not specify one.
const REJECTED_BACKOFF: Duration = Duration::from_secs(1);
/// Number of polls after which a client abandons a statement that was drawn to be abandoned.
const ABANDON_AFTER_POLLS: usize = 2;
/// Integer that represents a load factor of 1 in the shared counter.
const FACTOR_SCALE: f64 = 1000.0;

/// Configuration of a load of retrying clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryingLoadConfig {
    /// Number of clients.
    pub count: u32,
    /// Mean pause of a client between two statements.
    #[serde(deserialize_with = "deserialize_duration")]
    pub pause: Duration,
    /// Classes from which the clients draw their statements.
    pub mix: Vec<RetryingWorkloadClass>,
    /// Fraction of the clients that retry rejected statements.
    #[serde(rename = "again", default)]
    pub retrying_fraction: f64,
    /// Fraction of the statements that clients abandon after a few polls.
    #[serde(rename = "leave", default)]
    pub abandoned_fraction: f64,
}

/// A statement class in the mix of a load of retrying clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryingWorkloadClass {
    /// Name of the class.
    pub class: String,
    /// Weight of the class in the mix.
    #[serde(rename = "part")]
    pub weight: f64,
    /// Text of the statements.
    pub text: String,
    /// Number of ordering keys from which statements draw theirs; 0 for statements without a key.
    #[serde(default)]
    pub keys: u32,
    /// Maximum time that clients wait for a result.
    #[serde(rename = "patience", deserialize_with = "deserialize_duration")]
    pub timeout: Duration,
}

/// Clients that submit statements until [`finish`](RetryingClientLoad::finish) is called.
pub(super) struct RetryingClientLoad {
    threads: ClientThreads,
    load_factor: Arc<AtomicU64>,
}

impl RetryingClientLoad {
    /// Starts the clients, distributed over the routers.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread can't be started.
    pub(super) fn start(
        config: &RetryingLoadConfig,
        routers: Vec<RouterAddress>,
        recorder: &Recorder,
        seed: u64,
    ) -> Result<RetryingClientLoad, ScenarioError> {
        let load_factor = Arc::new(AtomicU64::new(FACTOR_SCALE as u64));
        let (config, recorder, factor) = (config.clone(), recorder.clone(), load_factor.clone());
        let count = u64::from(config.count);
        let threads = ClientThreads::start(count, THREAD_COUNT, move |number, control| {
            let client = RetryingClient {
                draws: RetryingClientDraws::new(&config, seed, number),
                router_index: number as usize % routers.len(),
                routers: routers.clone(),
                load_factor: factor.clone(),
                control,
                recorder: recorder.clone(),
            };
            client.run()
        })
        .map_err(ScenarioError::io("client threads"))?;
        Ok(RetryingClientLoad {
            threads,
            load_factor,
        })
    }

    /// Divides the mean pause of the clients by `factor`, relative to their configuration.
    pub(super) fn set_load_factor(&self, factor: f64) {
        self.load_factor
            .store((factor * FACTOR_SCALE) as u64, Ordering::Relaxed);
    }

    /// Signals the clients to stop, and waits until they have finished their current statements.
    pub(super) fn finish(self) {
        self.threads.finish();
    }
}

/// The random draws of one retrying client.
#[derive(Clone, Debug)]
pub struct RetryingClientDraws {
    config: RetryingLoadConfig,
    rng: StdRng,
    retries: bool,
}

impl RetryingClientDraws {
    /// Creates the draws of the client `number` in a load with the seed `seed`.
    pub fn new(config: &RetryingLoadConfig, seed: u64, number: u64) -> RetryingClientDraws {
        let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(SEED_STRIDE) + number);
        let retries = rng.random_bool(config.retrying_fraction.clamp(0.0, 1.0));
        RetryingClientDraws {
            config: config.clone(),
            rng,
            retries,
        }
    }

    /// Returns whether the client retries rejected statements.
    pub fn retries(&self) -> bool {
        self.retries
    }

    /// Draws the pause before a statement from an exponential distribution whose mean is the configured one divided by
    /// `load_factor`. The pause is at most 60 s.
    pub fn pause(&mut self, load_factor: f64) -> Duration {
        let mean = self.config.pause.as_secs_f64() / load_factor;
        let pause = mean * -self.rng.random_range(f64::EPSILON..1.0f64).ln();
        Duration::from_secs_f64(pause.min(MAX_PAUSE_SECONDS))
    }

    /// Draws a statement. The caller has to set its request number.
    ///
    /// # Panics
    ///
    /// Panics if the mix is empty.
    pub fn statement(&mut self) -> ClientRequest {
        let class = self.class();
        let number: u64 = self.rng.random();
        let key = (class.keys > 0).then(|| format!("k{}", self.rng.random_range(0..class.keys)));
        let is_abandoned = self
            .rng
            .random_bool(self.config.abandoned_fraction.clamp(0.0, 1.0));
        ClientRequest {
            id: 0,
            trace: format!("{}-{number:016x}", class.class),
            class: class.class,
            ordering_key: key,
            tags: String::new(),
            text: class.text,
            timeout: class.timeout,
            options: ClientOptions {
                abandon_after: is_abandoned.then_some(ABANDON_AFTER_POLLS),
                ..ClientOptions::default()
            },
        }
    }

    fn class(&mut self) -> RetryingWorkloadClass {
        let total: f64 = self.config.mix.iter().map(|class| class.weight).sum();
        let mut remaining = self.rng.random_range(0.0..1.0) * total;
        let mut chosen = &self.config.mix[0];
        for class in &self.config.mix {
            chosen = class;
            remaining -= class.weight;
            if remaining <= 0.0 {
                break;
            }
        }
        chosen.clone()
    }
}

struct RetryingClient {
    draws: RetryingClientDraws,
    /// Index of the router that the client uses.
    router_index: usize,
    routers: Vec<RouterAddress>,
    load_factor: Arc<AtomicU64>,
    control: Arc<ClientControl>,
    recorder: Recorder,
}

impl RetryingClient {
    async fn run(mut self) {
        loop {
            let factor = self.load_factor.load(Ordering::Relaxed).max(1) as f64 / FACTOR_SCALE;
            let pause = self.draws.pause(factor);
            self.control.sleep(pause).await;
            if self.control.is_stopped() {
                return;
            }
            self.run_statement().await;
        }
    }

    /// Submits a statement, and retries it if it is rejected.
    async fn run_statement(&mut self) {
        let mut statement = self.draws.statement();
        let name = statement.trace.clone();
        for attempt in 0..=MAX_RETRIES {
            statement.trace = format!("{name}.{attempt}");
            statement.id = self.control.next_request();
            let router = &self.routers[self.router_index];
            let outcome = Client::new(&router.name, router.addr, self.recorder.clone())
                .run(&statement)
                .await;
            let Some(backoff) = self.backoff(&outcome) else {
                return;
            };
            self.control.sleep(backoff).await;
            if self.control.is_stopped() {
                return;
            }
        }
    }

    /// Returns the pause before a retry, or `None` if the client does not retry. If the router can't be reached, the
    /// client switches to the next one.
    fn backoff(&mut self, outcome: &ClientOutcome) -> Option<Duration> {
        match outcome {
            ClientOutcome::Unreachable => {
                self.router_index = (self.router_index + 1) % self.routers.len();
                Some(UNREACHABLE_BACKOFF)
            }
            ClientOutcome::NotAdmitted(_) => Some(REJECTED_BACKOFF),
            ClientOutcome::Rejected { retry_after, .. } if self.draws.retries() => {
                Some(retry_after.map_or(REJECTED_BACKOFF, Duration::from_secs))
            }
            _ => None,
        }
    }
}
