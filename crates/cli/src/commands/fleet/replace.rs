//! `hoptiller fleet replace-keeper`: puts a new replica into the place of a lost one.

use std::process::ExitCode;

use hoptiller_coordination_client::wire;

use crate::error::CommandError;
use crate::replicas::ReplicaArgs;

#[derive(clap::Args)]
pub(crate) struct ReplaceArgs {
    #[command(flatten)]
    keepers: ReplicaArgs,
    /// The number of the lost replica
    #[arg(long, value_name = "N")]
    lost: u64,
    /// The number of the new replica: one that no replica of this fleet had before
    #[arg(long, value_name = "N")]
    new: u64,
    /// The address of the new replica; best that of the lost one, which routers know
    #[arg(long, value_name = "ADDR")]
    at: std::net::SocketAddr,
}

/// Asks the replicas to replace one of them, and prints what is to be done next.
pub(super) fn run(args: &ReplaceArgs) -> Result<ExitCode, CommandError> {
    let request = serde_json::json!({ "lost": args.lost, "new": args.new, "at": args.at });
    let response: wire::ReplaceResponse = args.keepers.open()?.post(wire::REPLACE, &request)?;
    println!(
        "keeper {} has the place of keeper {}: list {} of the keepers holds",
        args.new, args.lost, response.membership
    );
    println!("start it on an empty folder with `hoptiller keep --join --config FILE`");
    Ok(ExitCode::SUCCESS)
}
