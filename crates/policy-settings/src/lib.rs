//! What both hosts of the policy read alike: the settings object, load reports, times. No I/O, no decisions.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod convert;
mod schema;

use std::collections::BTreeMap;

use hoptiller_policy::{LoadReport, Micros};

pub use schema::{
    Clients, Extra, Group, Lane, Limits, Prices, Rules, Semantics, Settings, Telemetry, Tenant,
};

/// The load report that these values make; `None` if there are none. Names are those of the settings.
pub fn load_report(values: &BTreeMap<String, serde_json::Value>) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for (name, value) in values {
        set_load_value(&mut report, name, value.as_f64());
    }
    (!values.is_empty()).then_some(report)
}

/// Sets one value of a load report, by its name on the platform's sockets or on the simulator's wire. Other names are
/// ignored.
pub fn set_load_value(report: &mut LoadReport, name: &str, value: Option<f64>) {
    match name {
        "inflight" | "busy_reqs" => report.in_flight = value,
        "x0" => report.memory = value,
        "util" | "cpu_share" => report.cpu = value,
        _ => {}
    }
}

/// The position of a name.
pub fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

/// Milliseconds of the wire as microseconds; what is negative or not a number counts as 0.
pub fn micros_from_millis(millis: f64) -> Micros {
    (millis * 1000.0).round().max(0.0) as Micros
}

/// Microseconds as milliseconds of the wire.
pub fn millis_from_micros(micros: Micros) -> f64 {
    micros as f64 / 1000.0
}
