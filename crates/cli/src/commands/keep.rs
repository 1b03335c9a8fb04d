//! `hoptiller keep`: runs a replica of the coordination server.

use std::path::PathBuf;
use std::process::ExitCode;

use futures_lite::future;
use hoptiller_coordination_client::{Clock, Secret};
use hoptiller_coordination_server::join::join;
use hoptiller_coordination_server::{Config, Server, StartError};
use hoptiller_http::Spawner;
use hoptiller_statement_router::settings::evaluate_file;

use crate::error::CommandError;
use crate::random_id::random_id;
use crate::replicas::load_fleet_secret;
use crate::runtime::{self, wait_for_termination};

/// Arguments of `hoptiller keep`.
#[derive(clap::Args)]
pub(crate) struct Args {
    /// The replica's configuration, in Jsonnet
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Start a new replica in place of a lost one: it waits until the others have made it a member, and takes over their
    /// state. For a replica that is a member already, this option has no effect
    #[arg(long)]
    join: bool,
    /// For tests: the clock is fast by this number of millionths (slow, if negative)
    #[arg(long, hide = true, default_value_t = 0, allow_hyphen_values = true)]
    clock_skew: i64,
}

pub(crate) fn run(args: &Args) -> Result<ExitCode, CommandError> {
    let value = evaluate_file(&args.config)?;
    let config = Config::read(value).map_err(CommandError::invalid_file(&args.config))?;
    let secret = load_fleet_secret(&config.secret)?;
    runtime::raise_descriptor_limit();
    runtime::block_on(async |spawner| {
        serve(args, config, secret, &spawner).await?;
        Ok(ExitCode::SUCCESS)
    })
}

async fn serve(
    args: &Args,
    config: Config,
    secret: Secret,
    spawner: &Spawner,
) -> Result<(), CommandError> {
    let clock = Clock::with_skew(args.clock_skew);
    let (number, fleet) = (config.replica, config.fleet.clone());
    let storage = Server::open_storage(&config, &random_id()).map_err(start_error)?;
    if args.join {
        let joined = async {
            let joined = join(&config, &secret, &storage).await;
            joined.map(Some).map_err(|error| start_error(error.into()))
        };
        if future::or(terminated(), joined).await?.is_none() {
            return Ok(());
        }
    }
    let server = Server::open(config, secret, clock, storage).map_err(start_error)?;
    let address = server.start(spawner).map_err(start_error)?;
    println!("keeper {number} of {fleet} ready http://{address}");
    let stopped = async { Ok(Some(server.stopped().await)) };
    match future::or(terminated(), stopped).await? {
        None => Ok(()),
        Some(reason) => Err(CommandError::io("the keeper had to stop")(reason)),
    }
}

/// Waits for a signal that terminates the process, and returns `None`.
async fn terminated<T>() -> Result<Option<T>, CommandError> {
    wait_for_termination().await.map(|()| None)
}

fn start_error(error: StartError) -> CommandError {
    CommandError::io("the keeper cannot start")(error)
}
