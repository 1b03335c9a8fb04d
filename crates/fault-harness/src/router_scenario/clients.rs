//! Client load of scenarios of routers: each client stays at its router, retries what was rejected, and moves to the next
//! router when its own can't be reached.

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

const THREADS: u64 = 2;
/// Keeps the seeds of the clients of one load apart from those of the next seed's.
const SEED_STRIDE: u64 = 1_000_003;
const MAX_PAUSE_SECONDS: f64 = 60.0;
/// How often one statement is submitted again after it was rejected.
const MAX_RETRIES: u32 = 3;
/// Pause before the next router is tried where one can't be reached.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(100);
/// Pause before a retry where the rejection names none.
const REJECTED_BACKOFF: Duration = Duration::from_secs(1);
/// Polls after which a client that gives its statement up does so.
const ABANDON_AFTER_POLLS: usize = 2;
/// The load factor is shared as an integer: this is a factor of 1.
const FACTOR_SCALE: f64 = 1000.0;

/// What clients do.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientConfig {
    /// How many clients there are.
    pub count: u32,
    /// The mean pause of a client between two statements.
    #[serde(deserialize_with = "deserialize_duration")]
    pub pause: Duration,
    /// The classes of their statements.
    pub mix: Vec<StatementClassConfig>,
    /// The fraction of the clients that retry what was rejected.
    #[serde(rename = "again", default)]
    pub retrying: f64,
    /// The fraction of the statements that clients abandon after a few polls.
    #[serde(rename = "leave", default)]
    pub abandoned: f64,
}

/// Statements of one class in a load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StatementClassConfig {
    /// The class.
    pub class: String,
    /// Its weight among the classes of the load.
    #[serde(rename = "part")]
    pub weight: f64,
    /// The text of its statements.
    pub text: String,
    /// How many ordering keys its statements are drawn from; 0: they have none.
    #[serde(default)]
    pub keys: u32,
    /// How long clients wait for a result.
    #[serde(rename = "patience", deserialize_with = "deserialize_duration")]
    pub timeout: Duration,
}

/// Clients that submit statements until they are told to finish.
pub(super) struct RetryingClientLoad {
    threads: ClientThreads,
    load_factor: Arc<AtomicU64>,
}

impl RetryingClientLoad {
    /// Starts the clients, spread over the routers.
    ///
    /// # Errors
    ///
    /// When no thread can be started.
    pub(super) fn start(
        config: &ClientConfig,
        routers: Vec<RouterAddress>,
        recorder: &Recorder,
        seed: u64,
    ) -> Result<RetryingClientLoad, ScenarioError> {
        let load_factor = Arc::new(AtomicU64::new(FACTOR_SCALE as u64));
        let (config, recorder, factor) = (config.clone(), recorder.clone(), load_factor.clone());
        let count = u64::from(config.count);
        let threads = ClientThreads::start(count, THREADS, move |number, control| {
            let client = RetryingClient {
                draws: ClientDraws::new(&config, seed, number),
                home: number as usize % routers.len(),
                routers: routers.clone(),
                load_factor: factor.clone(),
                control,
                recorder: recorder.clone(),
            };
            client.run()
        })
        .map_err(ScenarioError::io("a thread for clients"))?;
        Ok(RetryingClientLoad {
            threads,
            load_factor,
        })
    }

    /// Has clients pause `factor` times less than at first.
    pub(super) fn set_load_factor(&self, factor: f64) {
        self.load_factor
            .store((factor * FACTOR_SCALE) as u64, Ordering::Relaxed);
    }

    /// Lets every client end what it has begun, and waits for all of them.
    pub(super) fn finish(self) {
        self.threads.finish();
    }
}

/// What one client draws from its seed.
#[derive(Clone, Debug)]
pub struct ClientDraws {
    config: ClientConfig,
    rng: StdRng,
    retries: bool,
}

impl ClientDraws {
    /// The draws of the client `number` of a load that started from `seed`.
    pub fn new(config: &ClientConfig, seed: u64, number: u64) -> ClientDraws {
        let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(SEED_STRIDE) + number);
        let retries = rng.random_bool(config.retrying.clamp(0.0, 1.0));
        ClientDraws {
            config: config.clone(),
            rng,
            retries,
        }
    }

    /// Whether this client retries what was rejected.
    pub fn retries(&self) -> bool {
        self.retries
    }

    /// Draws the pause before a statement, exponentially distributed around the mean over `load_factor`; at most 60 s.
    pub fn pause(&mut self, load_factor: f64) -> Duration {
        let mean = self.config.pause.as_secs_f64() / load_factor;
        let pause = mean * -self.rng.random_range(f64::EPSILON..1.0f64).ln();
        Duration::from_secs_f64(pause.min(MAX_PAUSE_SECONDS))
    }

    /// Draws a statement. Its number is still to be set.
    ///
    /// # Panics
    ///
    /// When the load has no class.
    pub fn statement(&mut self) -> ClientRequest {
        let class = self.class();
        let number: u64 = self.rng.random();
        let key = (class.keys > 0).then(|| format!("k{}", self.rng.random_range(0..class.keys)));
        let is_abandoned = self.rng.random_bool(self.config.abandoned.clamp(0.0, 1.0));
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

    fn class(&mut self) -> StatementClassConfig {
        let total: f64 = self.config.mix.iter().map(|class| class.weight).sum();
        let mut left = self.rng.random_range(0.0..1.0) * total;
        let mut chosen = &self.config.mix[0];
        for class in &self.config.mix {
            chosen = class;
            left -= class.weight;
            if left <= 0.0 {
                break;
            }
        }
        chosen.clone()
    }
}

struct RetryingClient {
    draws: ClientDraws,
    /// The place of its router.
    home: usize,
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

    /// Submits a statement, and retries it where it is rejected.
    async fn run_statement(&mut self) {
        let mut statement = self.draws.statement();
        let name = statement.trace.clone();
        for attempt in 0..=MAX_RETRIES {
            statement.trace = format!("{name}.{attempt}");
            statement.id = self.control.next_request();
            let router = &self.routers[self.home];
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

    /// How long to wait before a retry; `None` where there is to be none. Where the router can't be reached, the next one is
    /// this client's from now on.
    fn backoff(&mut self, outcome: &ClientOutcome) -> Option<Duration> {
        match outcome {
            ClientOutcome::Unreachable => {
                self.home = (self.home + 1) % self.routers.len();
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
