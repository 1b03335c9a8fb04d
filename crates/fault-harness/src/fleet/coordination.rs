//! Administrative access to the coordination store of a fleet: proposing versions, reading status, and waiting.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hoptiller_audit::unix_micros;
use hoptiller_coordination::{Document, Proposal, VersionMetadata};
use hoptiller_coordination_client::{CallError, CoordinationClient, wire};

use super::test_fleet::TestFleet;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const PROPOSE_TIMEOUT: Duration = Duration::from_secs(4);
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
const HISTORY_TIMEOUT: Duration = Duration::from_secs(5);

impl TestFleet {
    /// Returns a client of the running replicas that bypasses the links.
    pub fn client(&self) -> CoordinationClient {
        CoordinationClient::new(self.replicas.running_addrs(), self.secret.clone())
    }

    /// Proposes a document as the next version, under the name `change`.
    ///
    /// # Errors
    ///
    /// Returns an error if no replica responds within 4 s each.
    pub fn propose(
        &self,
        change: &str,
        document: &Document,
    ) -> Result<wire::ProposalResponse, CallError> {
        let proposal = Proposal {
            change_name: change.to_owned(),
            base: None,
            author: "the stage".into(),
            proposed_at_ms: unix_micros() / 1000,
            reason: "a day on the stage".into(),
            document: document.clone(),
        };
        let client = self.client();
        async_io::block_on(client.call(wire::PROPOSE, Some(&proposal), PROPOSE_TIMEOUT))
    }

    /// Returns the newest version numbers that any replica reports, as an isolated replica may lag behind. Returns
    /// `None` if no replica responds.
    pub fn version_numbers(&self) -> Option<wire::VersionNumbers> {
        self.statuses()
            .into_iter()
            .map(|status| status.versions)
            .max_by_key(|numbers| (numbers.in_force, numbers.last))
    }

    /// Returns the statuses of the replicas that respond within 2 s, in replica order.
    pub fn statuses(&self) -> Vec<wire::ClusterStatus> {
        let client = self.client();
        let status_of = |addr: &SocketAddr| {
            let call = client.call_endpoint(*addr, wire::STATUS, None::<&()>, STATUS_TIMEOUT);
            async_io::block_on(call).ok()
        };
        client.endpoints().iter().filter_map(status_of).collect()
    }

    /// Returns all versions that the replicas retain; none if no replica responds.
    pub fn history(&self) -> Vec<VersionMetadata> {
        let client = self.client();
        let call = client.call(wire::HISTORY, None::<&()>, HISTORY_TIMEOUT);
        async_io::block_on(call).unwrap_or_default()
    }

    /// Waits at most `timeout` until `condition` holds. Returns whether it holds.
    ///
    /// Replicas and recorders send no notifications to this process, so the condition is polled every 20 ms.
    pub fn wait_until(
        &mut self,
        timeout: Duration,
        mut condition: impl FnMut(&mut TestFleet) -> bool,
    ) -> bool {
        let deadline = Instant::now() + timeout;
        loop {
            if condition(self) {
                return true;
            }
            if Instant::now() >= deadline {
                return false;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits at most `timeout` until a version is in force. Returns whether it is.
    pub fn wait_until_in_force(&mut self, version: u64, timeout: Duration) -> bool {
        self.wait_until(timeout, |fleet| {
            fleet
                .version_numbers()
                .is_some_and(|numbers| numbers.in_force >= version)
        })
    }
}
