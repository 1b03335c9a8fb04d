//! Owns what commands share that speak to keepers: where they are, the fleet's secret, a call that waits.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use hoptiller_coordination_client::{CallError, CoordinationClient, Secret};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::run::Failure;

/// How long each keeper may take.
const WITHIN: Duration = Duration::from_secs(4);

#[derive(clap::Args)]
pub struct KeeperArgs {
    /// Where the keepers are, with commas between
    #[arg(
        long,
        env = "HOPTILLER_KEEPERS",
        value_name = "ADDR,…",
        value_delimiter = ',',
        required = true
    )]
    keepers: Vec<SocketAddr>,
    /// The file with the fleet's secret
    #[arg(long, env = "HOPTILLER_FLEET_SECRET", value_name = "FILE")]
    secret: PathBuf,
}

impl KeeperArgs {
    /// The keepers meant.
    pub fn open(&self) -> Result<Fleet, Failure> {
        let secret = Secret::load(&self.secret)
            .map_err(|e| Failure::Outside("the fleet's secret can't be read".into(), e))?;
        Ok(Fleet(CoordinationClient::new(self.keepers.clone(), secret)))
    }
}

/// Keepers, for commands that wait for their answers.
pub struct Fleet(CoordinationClient);

impl Fleet {
    /// A call with a body.
    pub fn post<A: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<A, Failure> {
        self.within(path, body, WITHIN)
    }

    /// The same, with another time for each keeper.
    pub fn within<A: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
        each: Duration,
    ) -> Result<A, Failure> {
        async_io::block_on(self.0.call(path, Some(body), each)).map_err(failure)
    }

    /// A call without a body.
    pub fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A, Failure> {
        async_io::block_on(self.0.call(path, None::<&()>, WITHIN)).map_err(failure)
    }

    /// The same call to each keeper, in the order of their addresses.
    pub fn each<A: DeserializeOwned>(&self, path: &str) -> Vec<(SocketAddr, Result<A, CallError>)> {
        let one = |at: &SocketAddr| {
            (
                *at,
                async_io::block_on(self.0.call_endpoint(*at, path, None::<&()>, WITHIN)),
            )
        };
        self.0.endpoints().iter().map(one).collect()
    }
}

fn failure(e: CallError) -> Failure {
    match e {
        CallError::Rejected { message, .. } => Failure::Usage(message),
        unavailable => Failure::Outside(
            "the keepers".into(),
            std::io::Error::other(unavailable.to_string()),
        ),
    }
}
