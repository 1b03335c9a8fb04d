//! `hoptiller fleet replace-keeper`: replaces a lost replica by a new one.

use std::process::ExitCode;

use hoptiller_coordination_client::wire;

use crate::error::CommandError;
use crate::replicas::ReplicaArgs;

/// Arguments of `hoptiller fleet replace-keeper`.
#[derive(clap::Args)]
pub(crate) struct ReplaceArgs {
    #[command(flatten)]
    keepers: ReplicaArgs,
    /// The number of the lost replica
    #[arg(long, value_name = "N")]
    lost: u64,
    /// The number of the new replica, which no replica of this fleet may have had before
    #[arg(long, value_name = "N")]
    new: u64,
    /// The address of the new replica, preferably that of the lost one, which routers know
    #[arg(long, value_name = "ADDR")]
    at: std::net::SocketAddr,
}

/// Requests the replacement from the replicas, and prints the next step for the operator.
pub(super) fn run(args: &ReplaceArgs) -> Result<ExitCode, CommandError> {
    let request = serde_json::json!({ "lost": args.lost, "new": args.new, "at": args.at });
    let response: wire::ReplaceResponse = args.keepers.open()?.post(wire::REPLACE, &request)?;
    println!(
        "keeper {} replaces keeper {}: membership {} is in force",
        args.new, args.lost, response.membership
    );
    println!("start the new keeper on an empty folder with `hoptiller keep --join --config FILE`");
    Ok(ExitCode::SUCCESS)
}
