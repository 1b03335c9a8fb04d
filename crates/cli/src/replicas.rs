//! Calls of commands to the replicas of the coordination server, each of which blocks until its response.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use hoptiller_coordination_client::{CallError, CoordinationClient, Secret};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::CommandError;

/// Limit of the time that each replica may take for a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// The command-line arguments that say where the replicas are.
#[derive(clap::Args)]
pub(crate) struct ReplicaArgs {
    /// The addresses of the replicas of the coordination server (keepers), separated by commas
    #[arg(
        long = "keepers",
        env = "HOPTILLER_KEEPERS",
        value_name = "ADDR,…",
        value_delimiter = ',',
        required = true
    )]
    addresses: Vec<SocketAddr>,
    /// The file with the fleet's secret
    #[arg(long, env = "HOPTILLER_FLEET_SECRET", value_name = "FILE")]
    secret: PathBuf,
}

impl ReplicaArgs {
    /// A client of these replicas.
    ///
    /// # Errors
    ///
    /// Where the secret can't be loaded.
    pub(crate) fn open(&self) -> Result<Replicas, CommandError> {
        let secret = load_fleet_secret(&self.secret)?;
        Ok(Replicas(CoordinationClient::new(
            self.addresses.clone(),
            secret,
        )))
    }
}

/// Loads the secret that replicas, routers and administrators share.
///
/// # Errors
///
/// Where the file can't be read or is malformed.
pub(crate) fn load_fleet_secret(path: &std::path::Path) -> Result<Secret, CommandError> {
    Secret::load(path).map_err(CommandError::io("the fleet's secret can't be read"))
}

/// The replicas, for calls that block.
pub(crate) struct Replicas(CoordinationClient);

impl Replicas {
    /// A call with a body.
    ///
    /// # Errors
    ///
    /// Where a replica rejects the call, or none answers.
    pub(crate) fn post<A: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<A, CommandError> {
        self.post_with_timeout(path, body, CALL_TIMEOUT)
    }

    /// A call with a body, with another limit of each replica's time.
    ///
    /// # Errors
    ///
    /// Where a replica rejects the call, or none answers.
    pub(crate) fn post_with_timeout<A: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<A, CommandError> {
        Ok(async_io::block_on(self.0.call(path, Some(body), timeout))?)
    }

    /// A call without a body.
    ///
    /// # Errors
    ///
    /// Where a replica rejects the call, or none answers.
    pub(crate) fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A, CommandError> {
        let call = self.0.call(path, None::<&()>, CALL_TIMEOUT);
        Ok(async_io::block_on(call)?)
    }

    /// The same call without a body to each replica, in the order of their addresses.
    pub(crate) fn get_from_each<A: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Vec<(SocketAddr, Result<A, CallError>)> {
        let call = |address: &SocketAddr| {
            let call = self
                .0
                .call_endpoint(*address, path, None::<&()>, CALL_TIMEOUT);
            (*address, async_io::block_on(call))
        };
        self.0.endpoints().iter().map(call).collect()
    }
}
