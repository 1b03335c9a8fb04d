//! `hoptiller keep`: one of a fleet's keepers.

use std::path::PathBuf;
use std::process::ExitCode;

use futures_lite::future;
use hoptiller_coordination_client::{Clock, Secret};
use hoptiller_coordination_server::join::join;
use hoptiller_coordination_server::{Config, Keeper, StartError};

use crate::run::{self, Failure};
use crate::secret;

#[derive(clap::Args)]
pub struct Args {
    /// The keeper's configuration, in Jsonnet
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// A new keeper in another's place: it waits until the others have taken it in, and begins with what they know.
    /// Where it was taken in before, it goes on as any other
    #[arg(long)]
    join: bool,
    /// For tests: the clock runs fast by so many millionths (slow, where under 0)
    #[arg(long, hide = true, default_value_t = 0, allow_hyphen_values = true)]
    clock_skew: i64,
}

pub fn run(args: &Args) -> Result<ExitCode, Failure> {
    let value = hoptiller_statement_router::settings::evaluate_file(&args.config)
        .map_err(|p| Failure::Settings(vec![p]))?;
    let place = |e| Failure::Usage(format!("{}: {e}", args.config.display()));
    let config = Config::read(value).map_err(|e| place(e.to_string()))?;
    let fleet_secret = Secret::load(&config.secret)
        .map_err(|e| Failure::Outside("the fleet's secret can't be read".into(), e))?;
    run::raise_descriptors();
    run::block_on(async |spawner| {
        let clock = Clock::with_skew(args.clock_skew);
        let outside = |e: StartError| {
            Failure::Outside("the keeper can't start".into(), std::io::Error::other(e))
        };
        let (number, fleet) = (config.keeper, config.fleet.clone());
        let disk = Keeper::disk(&config, &secret::life()).map_err(outside)?;
        if args.join {
            let joined = async {
                join(&config, &fleet_secret, &disk)
                    .await
                    .map(Some)
                    .map_err(outside)
            };
            let told = async { run::told_to_end().await.map(|()| None) };
            if future::or(told, joined).await?.is_none() {
                return Ok(ExitCode::SUCCESS);
            }
        }
        let keeper = Keeper::open(config, fleet_secret, clock, disk).map_err(outside)?;
        let addr = keeper.start(&spawner).map_err(outside)?;
        println!("keeper {number} of {fleet} ready http://{addr}");
        let told = async { run::told_to_end().await.map(|()| None) };
        let over = async { Ok(Some(keeper.over().await)) };
        match future::or(told, over).await? {
            None => Ok(ExitCode::SUCCESS),
            Some(why) => Err(Failure::Outside(
                "the keeper may not go on".into(),
                std::io::Error::other(why.to_string()),
            )),
        }
    })
}
