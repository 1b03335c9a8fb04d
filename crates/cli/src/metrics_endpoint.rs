//! The metrics of this process in Prometheus text format, served on the router's address.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use hoptiller_http::{Response, Spawner};
use hoptiller_statement_router::front_end::statement_api::ExtraRoutes;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

const METRICS_PATH: &str = "/metrics";

/// Interval of the recorder's upkeep, which moves raw samples into the histograms and so bounds their memory.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Starts to record metrics, and returns the route that serves them.
pub(crate) fn start(spawner: &Spawner) -> ExtraRoutes {
    let recorder = install_recorder(spawner);
    Rc::new(move |path| match (path, &recorder) {
        (METRICS_PATH, Some(recorder)) => Some(Response::text(200, recorder.render().trim_end())),
        _ => None,
    })
}

/// Installs a recorder; `None` if the process has one already.
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
