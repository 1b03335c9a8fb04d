//! Metrics of this process, in Prometheus' text format, on the router's own address.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use hoptiller_http::{Response, Spawner};
use hoptiller_statement_router::front_end::statement_api::ExtraRoutes;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

const METRICS_PATH: &str = "/metrics";

/// Interval at which the recorder drops old samples of histograms.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Starts to record metrics, and returns what responds to requests for them.
pub(crate) fn start(spawner: &Spawner) -> ExtraRoutes {
    let recorder = install_recorder(spawner);
    Rc::new(move |path| match (path, &recorder) {
        (METRICS_PATH, Some(recorder)) => Some(Response::text(200, recorder.render().trim_end())),
        _ => None,
    })
}

/// None where the process has a recorder already.
fn install_recorder(spawner: &Spawner) -> Option<PrometheusHandle> {
    let recorder = PrometheusBuilder::new().build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).ok()?;
    let upkeep = handle.clone();
    spawner.spawn(async move {
        loop {
            Timer::after(UPKEEP_INTERVAL).await;
            upkeep.run_upkeep();
        }
    });
    Some(handle)
}
