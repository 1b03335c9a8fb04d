//! `hoptiller fleet leases`: shows which router holds which shard of a task.

use std::collections::BTreeMap;
use std::process::ExitCode;

use hoptiller_coordination_client::wire::{self, LeaseStatus};

use super::status::StatusArgs;
use crate::error::CommandError;

/// Prints the leases of all shards.
pub(super) fn run(args: &StatusArgs) -> Result<ExitCode, CommandError> {
    let leases: Vec<LeaseStatus> = args.keepers.open()?.get(wire::LEASES)?;
    if args.json {
        println!(
            "{}",
            serde_json::to_string_pretty(&leases).unwrap_or_default()
        );
    } else {
        print!("{}", format_leases(&leases));
    }
    Ok(ExitCode::SUCCESS)
}

/// Formats a line for each shard, and a line for each holder with the number of its shards.
fn format_leases(leases: &[LeaseStatus]) -> String {
    if leases.is_empty() {
        return "the version in force configures no tasks\n".to_owned();
    }
    let mut text = String::new();
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for lease in leases {
        if let Some((holder, _)) = &lease.holder {
            *counts.entry(holder.to_string()).or_default() += 1;
        }
        let shard = lease.shard.to_string();
        text.push_str(&format!("{shard:<12} {}\n", format_holder(lease)));
    }
    for (holder, count) in counts {
        text.push_str(&format!("{holder}: {count} of {}\n", leases.len()));
    }
    text
}

fn format_holder(lease: &LeaseStatus) -> String {
    let Some((holder, fencing_token)) = &lease.holder else {
        return "no holder; each router does this task itself".to_owned();
    };
    let left = lease.left_ms.map_or("?".to_owned(), |ms| ms.to_string());
    format!(
        "{holder} with fencing token {fencing_token}, {left} ms left, note of {} bytes",
        lease.note_bytes
    )
}

#[cfg(test)]
mod tests;
