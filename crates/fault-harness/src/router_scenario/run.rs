//! Runs a router scenario. Judging the records is left to the caller.

use std::fmt;
use std::path::Path;
use std::time::{Duration, Instant};

use super::clients::RouterClientLoad;
use super::cluster::RouterCluster;
use super::event::RouterEvent;
use super::scenario::RouterScenario;
use crate::error::ScenarioError;

/// Options for running a scenario.
#[derive(Clone, Copy, Debug)]
pub struct RouterRunOptions<'a> {
    /// Path of the program whose `route` command runs the routers.
    pub program: &'a Path,
    /// Folder for settings, records, logs and rules, which must exist and be empty.
    pub report_dir: &'a Path,
    /// Seed of the client load.
    pub seed: u64,
}

/// Progress of a run, reported to its operator. Times are since the start of the client load.
#[derive(Clone, Copy, Debug)]
pub enum Progress<'a> {
    /// All processes and servers are running, and the client load is about to start.
    Started(&'a RouterScenario),
    /// An event is about to be applied.
    Event(Duration, &'a RouterEvent),
    /// The duration of the scenario is over, and clients are about to be stopped.
    LoadStopped(Duration),
    /// All clients have ended.
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
    /// Runs the scenario and reports its progress.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be written, a router or server does not start, or a router does not list all
    /// engines in time.
    pub fn run(
        &self,
        options: &RouterRunOptions<'_>,
        mut report: impl FnMut(Progress<'_>),
    ) -> Result<(), ScenarioError> {
        let mut cluster = RouterCluster::start(self, options.program, options.report_dir)?;
        report(Progress::Started(self));
        let load = RouterClientLoad::start(
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
