//! What both hosts of the decision module tell it alike: the settings object with the bench's names, load reports,
//! times. No I/O, no decisions.

mod settings;

use std::collections::BTreeMap;

pub use settings::{Extra, Limits, Rules, Settings, Telemetry, settings};

/// A load report, from the names that its values have in the settings.
pub fn report(
    values: &BTreeMap<String, serde_json::Value>,
) -> Option<hoptiller_policy::LoadReport> {
    let mut report = hoptiller_policy::LoadReport::default();
    for (name, value) in values {
        tell(&mut report, name, value.as_f64());
    }
    (!values.is_empty()).then_some(report)
}

/// The position of a name.
pub fn index(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

pub(crate) fn indices(names: &[String], only: &[String]) -> Vec<usize> {
    only.iter().filter_map(|n| index(names, n)).collect()
}

/// Milliseconds of the wire as microseconds; what is negative or no number counts as 0.
pub fn micros(ms: f64) -> hoptiller_policy::Micros {
    (ms * 1000.0).round().max(0.0) as hoptiller_policy::Micros
}

/// Microseconds as milliseconds.
pub fn millis(us: hoptiller_policy::Micros) -> f64 {
    us as f64 / 1000.0
}

/// One value of a load report: by the name that it has on our platform's sockets, or on the simulator's wire.
pub fn tell(report: &mut hoptiller_policy::LoadReport, name: &str, value: Option<f64>) {
    match name {
        "inflight" | "busy_reqs" => report.in_flight = value,
        "x0" => report.memory = value,
        "util" | "cpu_share" => report.cpu = value,
        _ => {}
    }
}
