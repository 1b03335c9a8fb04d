//! Owns how a new keeper begins: with the state that the others hand to it, once one of their changes has put it in
//! another's place. It has promised nothing under that list of keepers, so what it is told is all that it has to know.

use std::time::Duration;

use async_io::Timer;
use hoptiller_coordination_client::{CallError, CoordinationClient, Secret, wire};

use crate::config::Config;
use crate::core::State;
use crate::disk::Disk;
use crate::peers::Join;
use crate::service::StartError;

/// Time for each keeper that is asked; states may be large.
const EACH: Duration = Duration::from_secs(5);
/// Pause before all are asked again.
const PAUSE: Duration = Duration::from_millis(300);

/// Waits until another keeper hands the state over, and writes it down. A disk that holds something already is left as
/// it is: that keeper has joined before.
pub async fn join(config: &Config, secret: &Secret, disk: &Disk) -> Result<(), StartError> {
    if !disk.is_blank() {
        return Ok(());
    }
    let others =
        CoordinationClient::new(config.others().map(|(_, at)| at).collect(), secret.clone());
    let (fleet, name) = (config.fleet.clone(), disk.identity().disk);
    let ask = Join {
        fleet,
        keeper: config.keeper,
        disk: name,
    };
    let mut said = String::new();
    loop {
        for at in others.endpoints() {
            let why = match others
                .call_endpoint::<State>(*at, wire::STATE, Some(&ask), EACH)
                .await
            {
                Ok(state) if state.members.at.contains_key(&config.keeper) => {
                    disk.move_on(state.members, state.index, state.machine);
                    return match disk.shared().failed.borrow_mut().take() {
                        Some(e) => Err(StartError::Disk(e)),
                        None => Ok(()),
                    };
                }
                Ok(state) => format!("list {} does not name this keeper", state.members.number),
                Err(CallError::Rejected { message: why, .. }) => return Err(StartError::Join(why)),
                Err(e) => e.to_string(),
            };
            if why != said {
                tracing::info!(%why, "waiting to be taken in");
                said = why;
            }
        }
        Timer::after(PAUSE).await;
    }
}
