//! What replicas report of a fleet, and how a replica is replaced.

use std::collections::BTreeMap;
use std::process::ExitCode;

use hoptiller_coordination_client::wire::{self, ClusterStatus, LeaseStatus};

use crate::keepers::KeeperArgs;
use crate::run::Failure;

#[derive(clap::Args)]
pub struct ReplaceArgs {
    #[command(flatten)]
    keepers: KeeperArgs,
    /// The keeper that is lost
    #[arg(long, value_name = "N")]
    lost: u64,
    /// The new keeper's number: one that no keeper of this fleet had before
    #[arg(long, value_name = "N")]
    new: u64,
    /// Where the others reach the new keeper; best the address of the lost one, which routers know
    #[arg(long, value_name = "ADDR")]
    at: std::net::SocketAddr,
}

#[derive(clap::Args)]
pub struct StatusArgs {
    #[command(flatten)]
    keepers: KeeperArgs,
    /// What each keeper answers, in JSON
    #[arg(long)]
    json: bool,
}

pub(super) fn replace_keeper(args: &ReplaceArgs) -> Result<ExitCode, Failure> {
    let ask = serde_json::json!({ "lost": args.lost, "new": args.new, "at": args.at });
    let done: wire::ReplaceResponse = args.keepers.open()?.post(wire::REPLACE, &ask)?;
    println!(
        "keeper {} has the place of keeper {}: list {} of the keepers holds",
        args.new, args.lost, done.membership
    );
    println!("start it on an empty folder with `hoptiller keep --join --config FILE`");
    Ok(ExitCode::SUCCESS)
}

pub(super) fn leases(args: &StatusArgs) -> Result<ExitCode, Failure> {
    let all: Vec<LeaseStatus> = args.keepers.open()?.get(wire::LEASES)?;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&all).unwrap_or_default());
    } else {
        print!("{}", show_leases(&all));
    }
    Ok(ExitCode::SUCCESS)
}

/// A line a part, and how many each router has.
fn show_leases(all: &[LeaseStatus]) -> String {
    let mut out = String::new();
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for l in all {
        let line = match &l.holder {
            None => "nobody; each router does it for itself".to_owned(),
            Some((holder, number)) => {
                *counts.entry(holder.to_string()).or_default() += 1;
                let left = l.left_ms.map_or("?".to_owned(), |ms| ms.to_string());
                format!(
                    "{holder} under number {number}, for {left} ms more, note of {} bytes",
                    l.note_bytes
                )
            }
        };
        out.push_str(&format!("{:<12} {line}\n", l.shard.to_string()));
    }
    for (holder, n) in counts {
        out.push_str(&format!("{holder}: {n} of {}\n", all.len()));
    }
    if all.is_empty() {
        out.push_str("the version in force names no tasks\n");
    }
    out
}

pub(super) fn status(args: &StatusArgs) -> Result<ExitCode, Failure> {
    let all = args.keepers.open()?.each::<ClusterStatus>(wire::STATUS);
    if args.json {
        let shown: Vec<_> = all
            .iter()
            .map(|(at, s)| match s {
                Ok(status) => serde_json::json!({ "at": at, "status": status }),
                Err(e) => serde_json::json!({ "at": at, "problem": e.to_string() }),
            })
            .collect();
        println!(
            "{}",
            serde_json::to_string_pretty(&shown).unwrap_or_default()
        );
    } else {
        for (at, status) in &all {
            match status {
                Err(e) => println!("keeper at {at}: {e}"),
                Ok(s) => print!("{}", show_keeper(&at.to_string(), s)),
            }
        }
        // The one that knows most tells of the fleet.
        let best = all
            .iter()
            .filter_map(|(_, s)| s.as_ref().ok())
            .max_by_key(|s| s.log.decided);
        if let Some(best) = best {
            print!("{}", show_fleet(best));
        }
    }
    let any = all.iter().any(|(_, s)| s.is_ok());
    Ok(if any {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(3)
    })
}

fn show_keeper(at: &str, s: &ClusterStatus) -> String {
    let leader = s.leader.map_or("nobody".to_owned(), |l| l.to_string());
    let heard: Vec<String> = s
        .peers
        .iter()
        .map(|peer| match peer.heard_ms_ago {
            Some(ms) => format!("{} {ms} ms ago", peer.replica),
            None => format!("{} never", peer.replica),
        })
        .collect();
    let all: Vec<String> = s.replicas.iter().map(u64::to_string).collect();
    format!(
        "keeper {} at {at}: list {} ({}), leads {leader}, {} steps decided, {} kept, reached {}\n",
        s.replica,
        s.membership,
        all.join(" "),
        s.log.decided,
        s.log.retained,
        heard.join(", ")
    )
}

fn show_fleet(s: &ClusterStatus) -> String {
    let mut out = format!(
        "in force {}, last {}\n",
        s.versions.in_force, s.versions.last
    );
    for h in &s.pending {
        out.push_str(&format!(
            "  on its way: {} ({}) by {}: {}\n",
            h.number,
            h.kind.description(),
            h.author,
            h.reason
        ));
    }
    for h in &s.holders {
        let held = if h.blocks_rollout {
            "  HOLDS UP the next version"
        } else {
            ""
        };
        out.push_str(&format!(
            "  {:<30} heeds {:>5}, permit {:>6} ms{held}\n",
            h.holder.to_string(),
            h.enforced_version,
            h.left_ms
        ));
    }
    out
}

/// Who holds up the next version, and until when at most.
pub fn waiting_for(s: &ClusterStatus) -> String {
    let held = s.holders.iter().filter(|h| h.blocks_rollout);
    held.map(|h| format!("  waits for {}, {} ms at most\n", h.holder, h.left_ms))
        .collect()
}

#[cfg(test)]
mod tests;
