//! `hoptiller fleet status`: shows the status that replicas report, with versions and config leases.

use std::process::ExitCode;

use hoptiller_coordination_client::CallError;
use hoptiller_coordination_client::wire::{self, ClusterStatus};
use serde_json::{Value, json};

use crate::error::CommandError;
use crate::replicas::ReplicaArgs;

/// Arguments of `hoptiller fleet status` and `hoptiller fleet leases`.
#[derive(clap::Args)]
pub(crate) struct StatusArgs {
    #[command(flatten)]
    pub(super) keepers: ReplicaArgs,
    /// Print the response as JSON; for `fleet status`, that of each replica
    #[arg(long)]
    pub(super) json: bool,
}

type ReplicaStatus = (std::net::SocketAddr, Result<ClusterStatus, CallError>);

/// Prints the status of each replica. The exit code is 3 if no replica responds.
pub(super) fn run(args: &StatusArgs) -> Result<ExitCode, CommandError> {
    let replicas = args
        .keepers
        .open()?
        .get_from_each::<ClusterStatus>(wire::STATUS);
    if args.json {
        print_json(&replicas);
    } else {
        print_text(&replicas);
    }
    if replicas.iter().any(|(_, status)| status.is_ok()) {
        Ok(ExitCode::SUCCESS)
    } else {
        Ok(ExitCode::from(3))
    }
}

fn print_json(replicas: &[ReplicaStatus]) {
    let values: Vec<Value> = replicas
        .iter()
        .map(|(addr, status)| match status {
            Ok(status) => json!({ "at": addr, "status": status }),
            Err(error) => json!({ "at": addr, "problem": error.to_string() }),
        })
        .collect();
    println!(
        "{}",
        serde_json::to_string_pretty(&values).unwrap_or_default()
    );
}

fn print_text(replicas: &[ReplicaStatus]) {
    for (addr, status) in replicas {
        match status {
            Ok(status) => print!("{}", format_replica(&addr.to_string(), status)),
            Err(error) => println!("keeper at {addr}: {error}"),
        }
    }
    // The replica with the most decided entries knows the newest versions.
    let newest = replicas
        .iter()
        .filter_map(|(_, status)| status.as_ref().ok())
        .max_by_key(|status| status.log.decided);
    if let Some(newest) = newest {
        print!("{}", format_versions(newest));
    }
}

/// Formats a line with a replica's membership, leader and log, and the time since it heard from each peer.
fn format_replica(addr: &str, status: &ClusterStatus) -> String {
    let leader = status
        .leader
        .map_or("nobody".to_owned(), |leader| leader.to_string());
    let peers: Vec<String> = status
        .peers
        .iter()
        .map(|peer| match peer.heard_ms_ago {
            Some(ms) => format!("{} {ms} ms ago", peer.replica),
            None => format!("{} never", peer.replica),
        })
        .collect();
    let members: Vec<String> = status.replicas.iter().map(u64::to_string).collect();
    format!(
        "keeper {} at {addr}: membership {} ({}), leader {leader}, {} log entries decided, {} retained, peers heard {}\n",
        status.replica,
        status.membership,
        members.join(" "),
        status.log.decided,
        status.log.retained,
        peers.join(", ")
    )
}

/// Formats the versions in force and pending, and the routers that hold config leases.
fn format_versions(status: &ClusterStatus) -> String {
    let mut text = format!(
        "in force {}, last {}\n",
        status.versions.in_force, status.versions.last
    );
    for version in &status.pending {
        text.push_str(&format!(
            "  pending: {} ({}) by {}: {}\n",
            version.number,
            version.kind.description(),
            version.author,
            version.reason
        ));
    }
    for holder in &status.holders {
        let blocking = if holder.blocks_rollout {
            "  BLOCKS the next version"
        } else {
            ""
        };
        text.push_str(&format!(
            "  {:<30} enforces {:>5}, lease {:>6} ms{blocking}\n",
            holder.holder.to_string(),
            holder.enforced_version,
            holder.left_ms
        ));
    }
    text
}

/// Formats a line for each router whose config lease blocks the next version, with the maximum time that it does.
pub(crate) fn format_blocking_holders(status: &ClusterStatus) -> String {
    let blocking = status.holders.iter().filter(|holder| holder.blocks_rollout);
    blocking
        .map(|holder| {
            format!(
                "  waiting for {}, {} ms at most\n",
                holder.holder, holder.left_ms
            )
        })
        .collect()
}

#[cfg(test)]
mod tests;
