//! `hoptiller node`: a router on our platform.

use std::path::PathBuf;
use std::process::ExitCode;

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use hoptiller_platform_router::Router;

use crate::run::{self, Failure};

#[derive(clap::Args)]
pub struct Args {
    /// The configuration, in JSON: name, address, limits, coordinator, engines as of the start, settings
    #[arg(long, env = "GW_CONFIG", value_name = "FILE")]
    config: PathBuf,
}

pub fn run(args: &Args) -> Result<ExitCode, Failure> {
    run::block_on(async |spawner| {
        // They stand before the listener: a signal that comes early must not end the process.
        let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
        let mut signals =
            signals.map_err(|e| Failure::Outside("signals can't be listened to".into(), e))?;
        let router = Router::load(args.config.clone(), spawner.clone())
            .map_err(|e| Failure::Usage(format!("{}: {e}", args.config.display())))?;
        let addr = router
            .start()
            .map_err(|e| Failure::Outside("can't listen".into(), e))?;
        println!("ready http://{addr}");
        while let Some(signal) = signals.next().await {
            if let Ok(Signal::Hup) = signal {
                let router = router.clone();
                spawner.spawn(async move { router.reload().await });
                continue;
            }
            break;
        }
        router.shutdown().await;
        Ok(ExitCode::SUCCESS)
    })
}
