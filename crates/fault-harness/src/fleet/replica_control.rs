//! Control of replicas: starting, killing and replacing them, and deleting, saving and restoring their storage.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use hoptiller_coordination_client::{CallError, wire};
use serde_json::json;

use super::error::FleetError;
use super::links::LinkId;
use super::replicas::replica_name;
use super::test_fleet::{FLEET_NAME, TestFleet};
use super::topology::skew_argument;
use crate::process::Process;

const REPLACE_TIMEOUT: Duration = Duration::from_secs(4);
/// Name of the storage file in the folder of a replica.
const STORAGE_FILE: &str = "keeper.redb";

impl TestFleet {
    /// Returns the number of replicas, including those that were replaced.
    pub fn replica_count(&self) -> usize {
        self.replicas.count()
    }

    /// Returns the process of a replica; `None` if it was killed or not started.
    ///
    /// # Panics
    ///
    /// Panics if there is no such replica, as do all methods that take a replica.
    pub fn replica(&mut self, replica: usize) -> Option<&mut Process> {
        self.replicas.process(replica)
    }

    /// Starts a replica on its existing storage, and points its links to its new address.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration can't be written or the replica does not start.
    pub fn start_replica(&mut self, replica: usize) -> Result<(), FleetError> {
        let name = replica_name(replica);
        let file = self
            .files
            .write_config(&name, &self.replica_config(replica))?;
        let skew = skew_argument(&self.topology.replica_skews, replica);
        let mut args = vec!["keep", "--config", &file, "--clock-skew", &skew];
        let joins = self.replicas.is_replacement(replica);
        args.extend(joins.then_some("--join"));
        let process = self.files.start_process(&name, &args)?;
        let initial_index = self.replicas.initial_index(replica);
        let is_inbound = |id: &LinkId| match id {
            LinkId::Replicas(_, to) | LinkId::Replacement(to) => *to == replica,
            // Routers reach a replacement over the links of the initial replica.
            LinkId::Router(_, to) => *to == initial_index,
            LinkId::Discovery(_) => false,
        };
        for link in self.links.matching(is_inbound) {
            link.set_target(process.addr());
        }
        self.replicas.set_process(replica, process);
        Ok(())
    }

    /// Starts all replicas that are not running.
    ///
    /// # Errors
    ///
    /// Returns an error if one of them does not start.
    pub fn start_stopped_replicas(&mut self) -> Result<(), FleetError> {
        (0..self.replica_count()).try_for_each(|replica| self.start_replica_if_stopped(replica))
    }

    /// Starts a replica if it is not running.
    ///
    /// # Errors
    ///
    /// Returns an error if the replica does not start.
    pub fn start_replica_if_stopped(&mut self, replica: usize) -> Result<(), FleetError> {
        match self.replica(replica) {
            Some(_) => Ok(()),
            None => self.start_replica(replica),
        }
    }

    fn replica_config(&self, replica: usize) -> serde_json::Value {
        let members = self.replicas.members_known_to(replica);
        let addrs: BTreeMap<String, String> = members
            .into_iter()
            .map(|member| {
                let addr = self.peer_addr(replica, member);
                ((member + 1).to_string(), addr.to_string())
            })
            .collect();
        let mut config = json!({
            "fleet": FLEET_NAME, "keeper": replica + 1, "keepers": addrs, "listen": "127.0.0.1:0",
            "dir": self.replica_dir(replica), "secret": self.files.secret(),
            "permit": self.topology.lease_term_text(), "drift": self.topology.drift_millionths,
        });
        if let Some(max) = self.topology.max_storage_bytes {
            config["most_bytes"] = max.into();
        }
        config
    }

    /// Returns the address at which a replica reaches another member.
    fn peer_addr(&self, replica: usize, member: usize) -> SocketAddr {
        // A replica never connects to its own address: it listens on any free port.
        let unused = SocketAddr::from(([127, 0, 0, 1], 1));
        if member == replica {
            return unused;
        }
        self.links
            .addr(LinkId::Replicas(replica, member))
            .or_else(|| self.links.addr(LinkId::Replacement(member)))
            .unwrap_or(unused)
    }

    /// Asks the replicas to replace `lost`, which must not be running, with a new replica. Returns the index of the new
    /// replica, which is not started yet, or the error of the call.
    ///
    /// # Errors
    ///
    /// Returns an error if a link can't be started.
    pub fn replace_replica(&mut self, lost: usize) -> Result<Result<usize, CallError>, FleetError> {
        let new = self.replica_count();
        let addr = match self.links.addr(LinkId::Replacement(new)) {
            Some(addr) => addr,
            None => self.add_link(LinkId::Replacement(new), None)?,
        };
        let request = json!({ "lost": lost + 1, "new": new + 1, "at": addr });
        let client = self.client();
        let call =
            client.call::<wire::ReplaceResponse>(wire::REPLACE, Some(&request), REPLACE_TIMEOUT);
        if let Err(error) = async_io::block_on(call) {
            return Ok(Err(error));
        }
        let mut members = self.replicas.current_members();
        members.retain(|member| *member != lost);
        for member in &members {
            let target = self.replicas.addr(*member);
            self.add_link(LinkId::Replicas(new, *member), target)?;
        }
        members.push(new);
        self.replicas.add_replacement(lost, members);
        Ok(Ok(new))
    }

    fn add_link(
        &mut self,
        id: LinkId,
        target: Option<SocketAddr>,
    ) -> Result<SocketAddr, FleetError> {
        let link = self.links.add(id).map_err(FleetError::server("link"))?;
        if let Some(target) = target {
            link.set_target(target);
        }
        Ok(link.addr())
    }

    /// Kills a replica.
    pub fn kill_replica(&mut self, replica: usize) {
        self.replicas.kill(replica);
    }

    /// Kills all matching replicas.
    pub fn kill_replicas(&mut self, matches: impl Fn(usize) -> bool) {
        (0..self.replica_count())
            .filter(|replica| matches(*replica))
            .for_each(|replica| self.kill_replica(replica));
    }

    fn replica_dir(&self, replica: usize) -> PathBuf {
        self.files.path(&replica_name(replica))
    }

    fn saved_storage(&self, replica: usize) -> PathBuf {
        self.files.path(&format!("{}.saved", replica_name(replica)))
    }

    /// Deletes the folder of a replica with its storage.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be deleted.
    pub fn lose_disk(&self, replica: usize) -> Result<(), FleetError> {
        let dir = self.replica_dir(replica);
        std::fs::remove_dir_all(&dir).map_err(FleetError::file(&dir))
    }

    /// Saves a copy of the storage of a replica for [`restore_disk`](TestFleet::restore_disk).
    ///
    /// # Errors
    ///
    /// Returns an error if the storage can't be copied.
    pub fn save_disk(&self, replica: usize) -> Result<(), FleetError> {
        let storage = self.replica_dir(replica).join(STORAGE_FILE);
        std::fs::copy(&storage, self.saved_storage(replica)).map_err(FleetError::file(&storage))?;
        Ok(())
    }

    /// Restores the storage of a replica from its saved copy.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no saved copy or it can't be copied.
    pub fn restore_disk(&self, replica: usize) -> Result<(), FleetError> {
        let dir = self.replica_dir(replica);
        std::fs::create_dir_all(&dir).map_err(FleetError::file(&dir))?;
        let saved = self.saved_storage(replica);
        std::fs::copy(&saved, dir.join(STORAGE_FILE)).map_err(FleetError::file(&saved))?;
        Ok(())
    }
}
