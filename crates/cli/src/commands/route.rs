//! `hoptiller route`: runs a router on the statement API.

use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

use hoptiller_coordination_client::Clock;
use hoptiller_statement_router::fleet_member::FleetMember;
use hoptiller_statement_router::{Service, Settings};

use super::service::shut_down;
use crate::error::CommandError;
use crate::random_id::random_id;
use crate::replicas::load_fleet_secret;
use crate::runtime::{self, wait_for_termination};
use crate::{metrics_endpoint, secret};

/// Number of file descriptors reserved for engines, files and replicas, in addition to those of clients.
const OTHER_DESCRIPTORS: u64 = 500;

/// Arguments of `hoptiller route`.
#[derive(clap::Args)]
pub(crate) struct Args {
    /// The settings, in Jsonnet; `hoptiller check` validates them
    file: PathBuf,
    /// For tests: the clock of config leases is fast by this number of millionths (slow, if negative)
    #[arg(long, hide = true, default_value_t = 0, allow_hyphen_values = true)]
    clock_skew: i64,
}

pub(crate) fn run(args: &Args) -> Result<ExitCode, CommandError> {
    let settings = Settings::load(&args.file)?;
    let secret = match &settings.router.state_dir {
        None => secret::generate(),
        Some(dir) => secret::load_or_create(dir).map_err(CommandError::io(format!(
            "the state folder {}",
            dir.display()
        )))?,
    };
    let incarnation = random_id();
    let fleet = fleet_member(args, &settings, &incarnation)?;
    let descriptors = runtime::raise_descriptor_limit();
    if descriptors < settings.limits.max_connections as u64 + OTHER_DESCRIPTORS {
        tracing::warn!(
            descriptors,
            connections = settings.limits.max_connections,
            "file descriptors may not suffice for limits.connections: raise `ulimit -n`, or lower the limit"
        );
    }
    runtime::block_on(async |spawner| {
        let metrics = metrics_endpoint::start(&spawner);
        let service = Service::with_fleet_member(settings, &secret, incarnation, spawner, fleet)
            .map_err(CommandError::invalid_file(&args.file))?;
        let listen = service.settings().router.listen;
        let address = service
            .start(metrics)
            .map_err(CommandError::io(format!("cannot listen on {listen}")))?;
        println!("ready http://{address}");
        wait_for_termination().await?;
        shut_down(&service).await;
        Ok(ExitCode::SUCCESS)
    })
}

/// Creates the router's membership in a coordinated fleet; `None` if its settings name no replicas.
fn fleet_member(
    args: &Args,
    settings: &Settings,
    incarnation: &str,
) -> Result<Option<Rc<FleetMember>>, CommandError> {
    let Some(coordination) = &settings.coordination else {
        return Ok(None);
    };
    Ok(Some(FleetMember::new(
        coordination.clone(),
        load_fleet_secret(&coordination.secret_file)?,
        &settings.router.name,
        incarnation,
        settings.router.state_dir.as_deref(),
        Clock::with_skew(args.clock_skew),
    )))
}
