//! `hoptiller demo`: engines, discovery and a router in one process, on loopback.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use async_io::Timer;
use hoptiller_mock_servers::discovery::DiscoveryConfig;
use hoptiller_mock_servers::engine::EngineConfig;
use hoptiller_statement_router::{Service, Settings};

use crate::run::{self, Failure};
use crate::secret;

/// The settings that the demo starts from.
const EXAMPLE: &str = include_str!("../../../../examples/derby.jsonnet");

#[derive(clap::Args)]
pub struct Args {
    /// Where the router listens; port 0 takes a free one
    #[arg(long, default_value = "127.0.0.1:0", value_name = "ADDR")]
    http: SocketAddr,
    /// Stand-in engines
    #[arg(long, default_value_t = 8, value_name = "N", value_parser = clap::value_parser!(u16).range(1..=64))]
    engines: u16,
}

pub fn run(args: &Args) -> Result<ExitCode, Failure> {
    run::raise_descriptors();
    let outside = |what: &str| {
        let what = what.to_owned();
        move |e| Failure::Outside(what, e)
    };
    let discovery = DiscoveryConfig::default()
        .start()
        .map_err(outside("the stand-in discovery"))?;
    let mut running = Vec::new();
    for n in 0..args.engines {
        // Four in seven are of the kind that reports may run on.
        let kind = if n % 7 < 4 { "std-8a" } else { "std-8b" };
        let zone = ["hall-a", "hall-b", "hall-c"][usize::from(n % 3)];
        let mut engine = EngineConfig::new(&format!("engine-{n}"), kind, zone);
        engine.discovery = Some(discovery.addr);
        engine.reports_progress = true;
        running.push(engine.start().map_err(outside("a stand-in engine"))?);
    }
    let mut value = hoptiller_statement_router::settings::evaluate("derby.jsonnet", EXAMPLE)
        .map_err(|p| Failure::Settings(vec![p]))?;
    value["router"]["listen"] = args.http.to_string().into();
    value["router"]["state"] = serde_json::Value::Null;
    value["router"]["admin"] = "127.0.0.1:0".into();
    value["discovery"]["address"] = discovery.addr.to_string().into();
    let settings = Settings::from_value("derby.jsonnet", &value).map_err(Failure::Settings)?;
    run::block_on(async |spawner| {
        let extra = run::extra(run::metrics(&spawner));
        let service = Service::new(settings, &secret::fresh(), secret::life(), spawner)
            .map_err(|e| Failure::Usage(e.to_string()))?;
        let addr = service
            .start(extra)
            .map_err(outside(&format!("can't listen on {}", args.http)))?;
        let began = Instant::now();
        while service.listed_engines() < usize::from(args.engines)
            && began.elapsed() < Duration::from_secs(10)
        {
            Timer::after(Duration::from_millis(20)).await;
        }
        println!("ready http://{addr}");
        if let Some(admin) = service.admin_addr() {
            eprintln!("What runs away: hoptiller runaways --admin {admin}");
        }
        eprintln!(
            "{} stand-in engines, classes lookup, report, rent-load (by client tag class=…). Try:\n  \
             curl -s -X POST http://{addr}/v1/statement -H 'X-Trino-User: me' -d 'SELECT 1'\nCtrl-C ends it.",
            running.len()
        );
        run::told_to_end().await?;
        run::end(&service).await;
        Ok(ExitCode::SUCCESS)
    })
}
