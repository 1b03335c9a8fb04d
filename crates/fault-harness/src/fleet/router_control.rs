//! Control of routers: starting, pausing, resuming and killing them.

use std::time::Duration;

use hoptiller_audit::{Record, unix_micros};
use serde_json::json;

use super::error::FleetError;
use super::links::LinkId;
use super::routers::router_name;
use super::test_fleet::TestFleet;
use super::topology::skew_argument;
use crate::client_load::RouterAddress;
use crate::process::Process;

impl TestFleet {
    /// Starts a router on its existing state.
    ///
    /// # Errors
    ///
    /// Returns an error if the settings can't be written or the router does not start.
    ///
    /// # Panics
    ///
    /// Panics if there is no such router, as do all methods that take a router.
    pub fn start_router(&mut self, router: usize) -> Result<(), FleetError> {
        let name = router_name(router);
        let file = self
            .files
            .write_config(&name, &self.router_settings(router))?;
        let skew = skew_argument(&self.topology.router_skews, router);
        let args = ["route", &file, "--clock-skew", &skew];
        let process = self.files.start_process(&name, &args)?;
        self.routers.set_process(router, process);
        Ok(())
    }

    /// Starts a router if it is not running.
    ///
    /// # Errors
    ///
    /// Returns an error if the router does not start.
    pub fn start_router_if_stopped(&mut self, router: usize) -> Result<(), FleetError> {
        match self.router(router) {
            Some(_) => Ok(()),
            None => self.start_router(router),
        }
    }

    fn router_settings(&self, router: usize) -> serde_json::Value {
        let name = router_name(router);
        let mut settings = self.topology.router_settings.clone();
        settings["router"] = json!({
            "name": name, "index": router, "of": self.topology.routers, "listen": "127.0.0.1:0",
            "state": self.files.path(&format!("state-{name}")), "seed": router + 1,
        });
        let discovery = self
            .links
            .addr(LinkId::Discovery(router))
            .unwrap_or(self.discovery.addr);
        settings["discovery"]["address"] = discovery.to_string().into();
        if self.topology.coordinated {
            let replicas: Vec<String> = (0..self.topology.replicas)
                .filter_map(|replica| self.links.addr(LinkId::Router(router, replica)))
                .map(|addr| addr.to_string())
                .collect();
            settings["agreement"] = json!({
                "keepers": replicas, "secret": self.files.secret(), "drift": self.topology.drift_millionths,
                "permit": self.topology.lease_term_text(),
            });
        }
        settings
    }

    /// Kills a router, and then records the kill, as no response is required for the statements that the router held.
    pub fn kill_router(&mut self, router: usize) {
        self.resume_router(router);
        if self.routers.kill(router) {
            self.recorder.write(Record::RouterKilled {
                at: unix_micros(),
                router: router_name(router),
            });
        }
    }

    /// Pauses a router.
    pub fn pause_router(&mut self, router: usize) {
        self.routers.pause(router);
    }

    /// Resumes a router and records its pause.
    pub fn resume_router(&mut self, router: usize) {
        // Records the end of the pause before resuming, so that later actions of the router follow the pause.
        if let Some(at) = self.routers.end_pause(router) {
            self.recorder.write(Record::RouterPaused {
                at,
                router: router_name(router),
                until: unix_micros(),
            });
        }
        self.routers.resume(router);
    }

    /// Resumes all paused routers.
    pub fn resume_routers(&mut self) {
        (0..self.routers.count()).for_each(|router| self.resume_router(router));
    }

    /// Returns the process of a router; `None` if it was killed or not started.
    pub fn router(&mut self, router: usize) -> Option<&mut Process> {
        self.routers.process(router)
    }

    /// Returns the routers that are running and not paused.
    pub fn running_routers(&self) -> Vec<RouterAddress> {
        self.routers.running()
    }

    /// Waits at most `timeout` until `routers` routers hold a config lease and enforce `version` or a later one.
    /// Returns whether they do.
    pub fn wait_until_enforced(&mut self, routers: usize, version: u64, timeout: Duration) -> bool {
        self.wait_until(timeout, |fleet| {
            let enforcing = fleet.statuses().into_iter().map(|status| {
                let holders = status.holders.iter();
                holders
                    .filter(|holder| holder.enforced_version >= version)
                    .count()
            });
            enforcing.max().unwrap_or(0) >= routers
        })
    }
}
