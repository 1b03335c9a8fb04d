//! Runs a scenario of routers. Its records are judged by whoever reads the folder.

use std::fmt;
use std::path::Path;
use std::time::{Duration, Instant};

use super::clients::RetryingClientLoad;
use super::cluster::RouterCluster;
use super::event::RouterEvent;
use super::scenario::RouterScenario;
use crate::error::ScenarioError;

/// How a scenario is run.
#[derive(Clone, Copy, Debug)]
pub struct RouterRunOptions<'a> {
    /// The program whose `route` command runs the routers.
    pub program: &'a Path,
    /// The folder of settings, records, logs and rules, which exists and is empty.
    pub report_dir: &'a Path,
    /// The seed of the clients' draws.
    pub seed: u64,
}

/// What has just happened in a run, for its operator. The times are from the start of the client load on.
#[derive(Clone, Copy, Debug)]
pub enum Progress<'a> {
    /// Everything runs, and the client load is about to start.
    Started(&'a RouterScenario),
    /// An event is about to be applied.
    Event(Duration, &'a RouterEvent),
    /// Clients begin nothing more.
    LoadStopped(Duration),
    /// The last client has ended.
    LoadFinished(Duration),
}

impl fmt::Display for Progress<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Progress::Started(scenario) => write!(
                f,
                "{} routers, {} engines, {} clients; {} s",
                scenario.routers,
                scenario.engines.len(),
                scenario.clients.count,
                scenario.duration.as_secs_f64()
            ),
            Progress::Event(at, event) => write!(f, "{:5.1} s  {event}", at.as_secs_f64()),
            Progress::LoadStopped(at) => {
                write!(f, "{:5.1} s  clients submit nothing more", at.as_secs_f64())
            }
            Progress::LoadFinished(at) => {
                write!(f, "{:5.1} s  all clients have ended", at.as_secs_f64())
            }
        }
    }
}

impl RouterScenario {
    /// Runs the scenario, and reports its progress.
    ///
    /// # Errors
    ///
    /// When a file can't be written, a router or server does not start, or a router does not list all engines in time.
    pub fn run(
        &self,
        options: &RouterRunOptions<'_>,
        mut report: impl FnMut(Progress<'_>),
    ) -> Result<(), ScenarioError> {
        let mut cluster = RouterCluster::start(self, options.program, options.report_dir)?;
        report(Progress::Started(self));
        let load = RetryingClientLoad::start(
            &self.clients,
            cluster.router_addresses(),
            cluster.client_recorder(),
            options.seed,
        )?;
        let started = Instant::now();
        for scheduled in &self.events {
            let wait = scheduled.at.saturating_sub(started.elapsed());
            if !wait.is_zero() {
                if scheduled.at >= self.duration {
                    break;
                }
                std::thread::sleep(wait);
            }
            report(Progress::Event(started.elapsed(), &scheduled.event));
            match &scheduled.event {
                RouterEvent::SetLoadFactor(factor) => load.set_load_factor(*factor),
                event => cluster.apply(event)?,
            }
        }
        std::thread::sleep(self.duration.saturating_sub(started.elapsed()));
        report(Progress::LoadStopped(started.elapsed()));
        load.finish();
        report(Progress::LoadFinished(started.elapsed()));
        cluster.shut_down()
    }
}
