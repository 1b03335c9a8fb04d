//! Client load of router scenarios. Each client uses one router, and switches to the next one if it can't be reached. A
//! configured fraction of the clients resubmits rejected statements.

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
/// Distance between the client seeds of consecutive load seeds, which do not overlap for up to this number of clients.
const SEED_STRIDE: u64 = 1_000_003;
const MAX_PAUSE_SECONDS: f64 = 60.0;
/// Maximum number of resubmissions of a statement.
const MAX_RESUBMISSIONS: u32 = 3;
/// Pause before a resubmission to the next router if a router can't be reached.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(100);
/// Pause before a resubmission if the rejection does not specify one.
const REJECTED_BACKOFF: Duration = Duration::from_secs(1);
/// Number of polls after which a client cancels a statement that was drawn to be cancelled.
const CANCEL_AFTER_POLLS: usize = 2;
/// Scale of the load factor, which is shared as an integer in units of 1/1000.
const LOAD_FACTOR_SCALE: f64 = 1000.0;

/// Configuration of the client load of a router scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterLoadConfig {
    /// Number of clients.
    pub count: u32,
    /// Mean pause of a client between two statements.
    #[serde(deserialize_with = "deserialize_duration")]
    pub pause: Duration,
    /// Classes from which the clients draw their statements.
    pub mix: Vec<RouterWorkloadClass>,
    /// Fraction of the clients that resubmit rejected statements.
    #[serde(rename = "again", default)]
    pub resubmitting_fraction: f64,
    /// Fraction of the statements that clients cancel after a few polls.
    #[serde(rename = "leave", default)]
    pub cancelled_fraction: f64,
}

/// A statement class in the mix of the client load of a router scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterWorkloadClass {
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

/// Clients that submit statements until [`finish`](RouterClientLoad::finish) is called.
pub(super) struct RouterClientLoad {
    threads: ClientThreads,
    load_factor: Arc<AtomicU64>,
}

impl RouterClientLoad {
    /// Starts the clients, distributed over the routers.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread can't be started.
    pub(super) fn start(
        config: &RouterLoadConfig,
        routers: Vec<RouterAddress>,
        recorder: &Recorder,
        seed: u64,
    ) -> Result<RouterClientLoad, ScenarioError> {
        let load_factor = Arc::new(AtomicU64::new(LOAD_FACTOR_SCALE as u64));
        let (config, recorder, factor) = (config.clone(), recorder.clone(), load_factor.clone());
        let count = u64::from(config.count);
        let threads = ClientThreads::start(count, THREAD_COUNT, move |number, control| {
            let client = RouterClient {
                draws: RouterClientDraws::new(&config, seed, number),
                router_index: number as usize % routers.len(),
                routers: routers.clone(),
                load_factor: factor.clone(),
                control,
                recorder: recorder.clone(),
            };
            client.run()
        })
        .map_err(ScenarioError::io("client threads"))?;
        Ok(RouterClientLoad {
            threads,
            load_factor,
        })
    }

    /// Divides the mean pause of the clients by `factor`, relative to their configuration.
    pub(super) fn set_load_factor(&self, factor: f64) {
        self.load_factor
            .store((factor * LOAD_FACTOR_SCALE) as u64, Ordering::Relaxed);
    }

    /// Signals the clients to stop, and waits until they have finished their current statements.
    pub(super) fn finish(self) {
        self.threads.finish();
    }
}

/// The random draws of one client of a router scenario.
#[derive(Clone, Debug)]
pub struct RouterClientDraws {
    config: RouterLoadConfig,
    rng: StdRng,
    resubmits: bool,
}

impl RouterClientDraws {
    /// Creates the draws of the client `number` in a load with the seed `seed`.
    pub fn new(config: &RouterLoadConfig, seed: u64, number: u64) -> RouterClientDraws {
        let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(SEED_STRIDE) + number);
        let resubmits = rng.random_bool(config.resubmitting_fraction.clamp(0.0, 1.0));
        RouterClientDraws {
            config: config.clone(),
            rng,
            resubmits,
        }
    }

    /// Returns whether the client resubmits rejected statements.
    pub fn resubmits(&self) -> bool {
        self.resubmits
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
        let is_cancelled = self
            .rng
            .random_bool(self.config.cancelled_fraction.clamp(0.0, 1.0));
        ClientRequest {
            id: 0,
            trace: format!("{}-{number:016x}", class.class),
            class: class.class,
            ordering_key: key,
            tags: String::new(),
            text: class.text,
            timeout: class.timeout,
            options: ClientOptions {
                abandon_after: is_cancelled.then_some(CANCEL_AFTER_POLLS),
                ..ClientOptions::default()
            },
        }
    }

    fn class(&mut self) -> RouterWorkloadClass {
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

struct RouterClient {
    draws: RouterClientDraws,
    /// Index of the router that the client uses.
    router_index: usize,
    routers: Vec<RouterAddress>,
    load_factor: Arc<AtomicU64>,
    control: Arc<ClientControl>,
    recorder: Recorder,
}

impl RouterClient {
    async fn run(mut self) {
        loop {
            let factor = self.load_factor.load(Ordering::Relaxed).max(1) as f64 / LOAD_FACTOR_SCALE;
            let pause = self.draws.pause(factor);
            self.control.sleep(pause).await;
            if self.control.is_stopped() {
                return;
            }
            self.run_statement().await;
        }
    }

    /// Submits a statement, and resubmits it as long as [`backoff`](Self::backoff) returns a pause.
    async fn run_statement(&mut self) {
        let mut statement = self.draws.statement();
        let name = statement.trace.clone();
        for submission in 0..=MAX_RESUBMISSIONS {
            statement.trace = format!("{name}.{submission}");
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

    /// Returns the pause before a resubmission, or `None` if there is none. Every client resubmits a statement if the
    /// router can't be reached, and then switches to the next one, or if its response is an HTTP error. Only some
    /// clients do so after a rejection by the service.
    fn backoff(&mut self, outcome: &ClientOutcome) -> Option<Duration> {
        match outcome {
            ClientOutcome::Unreachable => {
                self.router_index = (self.router_index + 1) % self.routers.len();
                Some(UNREACHABLE_BACKOFF)
            }
            ClientOutcome::NotAdmitted(_) => Some(REJECTED_BACKOFF),
            ClientOutcome::Rejected { retry_after, .. } if self.draws.resubmits() => {
                Some(retry_after.map_or(REJECTED_BACKOFF, Duration::from_secs))
            }
            _ => None,
        }
    }
}
