//! Blocking calls from commands to the replicas of the coordination server.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use hoptiller_coordination_client::{CallError, CoordinationClient, Secret};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::CommandError;

/// Timeout of a call at each replica.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);

/// The command-line arguments for access to the replicas.
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
    /// The file that contains the fleet's secret
    #[arg(long, env = "HOPTILLER_FLEET_SECRET", value_name = "FILE")]
    secret: PathBuf,
}

impl ReplicaArgs {
    /// Creates a client of the replicas.
    ///
    /// # Errors
    ///
    /// Returns an error if the secret can't be loaded.
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
/// Returns an error if the file can't be read or is malformed.
pub(crate) fn load_fleet_secret(path: &std::path::Path) -> Result<Secret, CommandError> {
    Secret::load(path).map_err(CommandError::io("cannot load the fleet's secret"))
}

/// A blocking client of the replicas.
pub(crate) struct Replicas(CoordinationClient);

impl Replicas {
    /// Calls a replica with a body, and returns the response.
    ///
    /// # Errors
    ///
    /// Returns an error if a replica rejects the call or none responds.
    pub(crate) fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CommandError> {
        self.post_with_timeout(path, body, CALL_TIMEOUT)
    }

    /// Calls a replica with a body and a timeout for each replica, and returns the response.
    ///
    /// # Errors
    ///
    /// Returns an error if a replica rejects the call or none responds.
    pub(crate) fn post_with_timeout<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        timeout: Duration,
    ) -> Result<T, CommandError> {
        Ok(async_io::block_on(self.0.call(path, Some(body), timeout))?)
    }

    /// Calls a replica without a body, and returns the response.
    ///
    /// # Errors
    ///
    /// Returns an error if a replica rejects the call or none responds.
    pub(crate) fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CommandError> {
        let call = self.0.call(path, None::<&()>, CALL_TIMEOUT);
        Ok(async_io::block_on(call)?)
    }

    /// Calls each replica without a body, and returns their results in the order of the addresses.
    pub(crate) fn get_from_each<T: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Vec<(SocketAddr, Result<T, CallError>)> {
        let call = |address: &SocketAddr| {
            let call = self
                .0
                .call_endpoint(*address, path, None::<&()>, CALL_TIMEOUT);
            (*address, async_io::block_on(call))
        };
        self.0.endpoints().iter().map(call).collect()
    }
}
