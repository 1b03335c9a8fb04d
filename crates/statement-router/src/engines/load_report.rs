//! Load reports in the responses of engines.

use hoptiller_http::Response;
use hoptiller_policy::LoadReport;
use hoptiller_statement::discovery::NodeStatus;
use hoptiller_statement::extra;

/// Returns the load in the response to a health check. Its optional header has precedence over the body.
pub(super) fn from_status(response: &Response) -> Option<LoadReport> {
    let status: NodeStatus = serde_json::from_slice(&response.body).ok()?;
    let header = from_header(response).unwrap_or_default();
    let memory =
        (status.heap_available > 0).then(|| status.heap_used as f64 / status.heap_available as f64);
    Some(LoadReport {
        in_flight: header.in_flight,
        memory: header.memory.or(memory),
        cpu: header
            .cpu
            .or(Some(status.process_cpu_load))
            .filter(|cpu| cpu.is_finite()),
    })
}

/// Returns the load in the optional header of any response.
pub(super) fn from_header(response: &Response) -> Option<LoadReport> {
    let text = response.headers.get(extra::LOAD)?;
    let value = |name| extra::find_number(text, name).filter(|value| *value >= 0.0);
    Some(LoadReport {
        in_flight: value("in_flight"),
        memory: value("memory"),
        cpu: value("cpu"),
    })
}
