//! `hoptiller node`: runs a router on the platform's protocol.

use std::path::PathBuf;
use std::process::ExitCode;

use async_signal::Signal;
use futures_lite::StreamExt;
use hoptiller_platform_router::Router;

use crate::error::CommandError;
use crate::runtime;

/// Arguments of `hoptiller node`.
#[derive(clap::Args)]
pub(crate) struct Args {
    /// The configuration, in JSON: name, address, limits, coordinator, initial endpoint list, settings
    #[arg(long, env = "GW_CONFIG", value_name = "FILE")]
    config: PathBuf,
}

pub(crate) fn run(args: &Args) -> Result<ExitCode, CommandError> {
    runtime::block_on(async |spawner| {
        // Listen to signals before the listener is bound, so that an early signal does not end the process.
        let mut signals = runtime::listen_to_signals([Signal::Term, Signal::Int, Signal::Hup])?;
        let router = Router::load(args.config.clone(), spawner.clone())
            .map_err(CommandError::invalid_file(&args.config))?;
        let address = router.start().map_err(CommandError::io("cannot listen"))?;
        println!("ready http://{address}");
        while let Some(signal) = signals.next().await {
            if !matches!(signal, Ok(Signal::Hup)) {
                break;
            }
            let router = router.clone();
            spawner.spawn(async move { router.reload().await });
        }
        router.shutdown().await;
        Ok(ExitCode::SUCCESS)
    })
}
