//! How a new replica joins the cluster: it begins with the state that another replica sends, once a replacement has made
//! it a member. It has promised nothing under that membership, so that state is all that it has to know.

use std::time::Duration;

use async_io::Timer;
use hoptiller_coordination_client::{CallError, CoordinationClient, Secret, wire};

use crate::config::Config;
use crate::peer_protocol::JoinRequest;
use crate::replica::ReplicatedState;
use crate::storage::{DiskStorage, StorageError};

/// Limit of the time for each replica's answer; states may be large.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause before all are called again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Why a replica can't join.
#[derive(Debug, thiserror::Error)]
pub enum JoinError {
    /// The state can't be stored.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The other replicas reject it.
    #[error("the other keepers don't take it in: {0}")]
    Rejected(String),
}

/// Waits until another replica sends the replicated state, and stores it. A storage that holds something already is left
/// as it is: that replica has joined before.
///
/// # Errors
///
/// When the others reject the replica, or the state can't be stored.
pub async fn join(
    config: &Config,
    secret: &Secret,
    storage: &DiskStorage,
) -> Result<(), JoinError> {
    if !storage.is_blank() {
        return Ok(());
    }
    let endpoints = config.peers().map(|(_, address)| address).collect();
    let client = CoordinationClient::new(endpoints, secret.clone());
    let request = JoinRequest {
        fleet: config.fleet.clone(),
        replica: config.replica,
        disk_id: storage.identity().disk_id,
    };
    let mut reported = String::new();
    loop {
        for endpoint in client.endpoints() {
            let reason = match client
                .call_endpoint::<ReplicatedState>(
                    *endpoint,
                    wire::STATE,
                    Some(&request),
                    CALL_TIMEOUT,
                )
                .await
            {
                Ok(state) if state.membership.contains(config.replica) => {
                    return store(storage, state);
                }
                Ok(state) => format!("list {} does not name this keeper", state.membership.number),
                Err(CallError::Rejected { message, .. }) => {
                    return Err(JoinError::Rejected(message));
                }
                Err(error) => error.to_string(),
            };
            if reason != reported {
                tracing::info!(reason = %reason, "waiting to join");
                reported = reason;
            }
        }
        Timer::after(RETRY_PAUSE).await;
    }
}

fn store(storage: &DiskStorage, state: ReplicatedState) -> Result<(), JoinError> {
    storage.reconfigure(state.membership, state.index, state.state_machine);
    match storage.handle().take_failure() {
        Some(error) => Err(error.into()),
        None => Ok(()),
    }
}
