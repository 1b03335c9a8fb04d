//! `hoptiller route`: a router.

use std::path::PathBuf;
use std::process::ExitCode;

use hoptiller_coordination_client::{Clock, Secret};
use hoptiller_statement_router::fleet_member::FleetMember;
use hoptiller_statement_router::{Service, Settings};

use crate::run::{self, Failure};
use crate::secret;

#[derive(clap::Args)]
pub struct Args {
    /// The settings, in Jsonnet; try `hoptiller check` on them first
    file: PathBuf,
    /// For tests: the clock of permits runs fast by so many millionths (slow, where under 0)
    #[arg(long, hide = true, default_value_t = 0, allow_hyphen_values = true)]
    clock_skew: i64,
}

pub fn run(args: &Args) -> Result<ExitCode, Failure> {
    let settings = Settings::load(&args.file).map_err(Failure::Settings)?;
    let secret = match &settings.router.state_dir {
        None => secret::fresh(),
        Some(dir) => secret::load_or_make(dir)
            .map_err(|e| Failure::Outside(format!("the state folder {}", dir.display()), e))?,
    };
    let life = secret::life();
    let fleet_member = match &settings.coordination {
        None => None,
        Some(a) => {
            let fleet = Secret::load(&a.secret_file)
                .map_err(|e| Failure::Outside("the fleet's secret can't be read".into(), e))?;
            let (router, state) = (&settings.router.name, settings.router.state_dir.as_deref());
            Some(FleetMember::new(
                a.clone(),
                fleet,
                router,
                &life,
                state,
                Clock::with_skew(args.clock_skew),
            ))
        }
    };
    let descriptors = run::raise_descriptors();
    // One for each client, and some for engines and the rest.
    if descriptors < settings.limits.max_connections as u64 + 500 {
        tracing::warn!(
            descriptors,
            connections = settings.limits.max_connections,
            "the system permits fewer descriptors than limits.connections may need: raise `ulimit -n`, or lower it"
        );
    }
    run::block_on(async |spawner| {
        let extra = run::extra(run::metrics(&spawner));
        let service = Service::with_fleet_member(settings, &secret, life, spawner, fleet_member)
            .map_err(|e| Failure::Usage(format!("{}: {e}", args.file.display())))?;
        let listen = service.settings().router.listen;
        let addr = service
            .start(extra)
            .map_err(|e| Failure::Outside(format!("can't listen on {listen}"), e))?;
        println!("ready http://{addr}");
        run::told_to_end().await?;
        run::end(&service).await;
        Ok(ExitCode::SUCCESS)
    })
}
