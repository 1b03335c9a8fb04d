//! `hoptiller fleet status`: what replicas report of themselves, of versions and of config leases.

use std::process::ExitCode;

use hoptiller_coordination_client::CallError;
use hoptiller_coordination_client::wire::{self, ClusterStatus};
use serde_json::{Value, json};

use crate::error::CommandError;
use crate::replicas::ReplicaArgs;

#[derive(clap::Args)]
pub(crate) struct StatusArgs {
    #[command(flatten)]
    pub(super) keepers: ReplicaArgs,
    /// Print the response of each replica in JSON
    #[arg(long)]
    pub(super) json: bool,
}

type ReplicaStatus = (std::net::SocketAddr, Result<ClusterStatus, CallError>);

/// Prints the status of each replica; the exit code is 3 where none answers.
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
    // The replica that has decided most knows the newest versions.
    let newest = replicas
        .iter()
        .filter_map(|(_, status)| status.as_ref().ok())
        .max_by_key(|status| status.log.decided);
    if let Some(newest) = newest {
        print!("{}", format_versions(newest));
    }
}

/// A line for a replica: its membership, leader, log, and when it heard from its peers.
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
        "keeper {} at {addr}: list {} ({}), leads {leader}, {} steps decided, {} kept, reached {}\n",
        status.replica,
        status.membership,
        members.join(" "),
        status.log.decided,
        status.log.retained,
        peers.join(", ")
    )
}

/// The versions in force and pending, and the routers that hold config leases.
fn format_versions(status: &ClusterStatus) -> String {
    let mut text = format!(
        "in force {}, last {}\n",
        status.versions.in_force, status.versions.last
    );
    for version in &status.pending {
        text.push_str(&format!(
            "  on its way: {} ({}) by {}: {}\n",
            version.number,
            version.kind.description(),
            version.author,
            version.reason
        ));
    }
    for holder in &status.holders {
        let blocking = if holder.blocks_rollout {
            "  HOLDS UP the next version"
        } else {
            ""
        };
        text.push_str(&format!(
            "  {:<30} heeds {:>5}, permit {:>6} ms{blocking}\n",
            holder.holder.to_string(),
            holder.enforced_version,
            holder.left_ms
        ));
    }
    text
}

/// The routers whose config leases block the next version, and for how long at most.
pub(crate) fn format_blocking_holders(status: &ClusterStatus) -> String {
    let blocking = status.holders.iter().filter(|holder| holder.blocks_rollout);
    blocking
        .map(|holder| {
            format!(
                "  waits for {}, {} ms at most\n",
                holder.holder, holder.left_ms
            )
        })
        .collect()
}

#[cfg(test)]
mod tests;
