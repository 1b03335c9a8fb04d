//! The procedure by which a new replica joins the cluster. Once a replacement has made it a member, the replica starts
//! from the replicated state of another replica. It has made no promises under that membership, so the replicated state
//! is all that it needs.

use std::time::Duration;

use async_io::Timer;
use hoptiller_coordination_client::{CallError, CoordinationClient, Secret, wire};

use crate::config::Config;
use crate::peer_protocol::JoinRequest;
use crate::replica::ReplicatedState;
use crate::storage::{DiskStorage, StorageError};

/// Time limit for the response of one replica. The replicated state may be large.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two rounds of calls to all replicas.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// An error that prevents a replica from joining.
#[derive(Debug, thiserror::Error)]
pub enum JoinError {
    /// The replicated state can't be stored.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// Another replica rejects the request.
    #[error("another replica rejects the join request: {0}")]
    Rejected(String),
}

/// Requests the replicated state from the other replicas, and stores it. Repeats the requests without limit until the
/// replacement that makes this replica a member has taken effect. Leaves a storage that is not empty unchanged, because
/// its replica has joined before.
///
/// # Errors
///
/// Returns an error if another replica rejects the request or the state can't be stored.
pub async fn join(
    config: &Config,
    secret: &Secret,
    storage: &DiskStorage,
) -> Result<(), JoinError> {
    if !storage.is_empty() {
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
                Ok(state) => format!(
                    "membership {} does not contain this replica",
                    state.membership.number
                ),
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
