//! Conversions shared by the hosts of the policy: the settings object, load reports and times. No I/O and no decisions.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod convert;
mod schema;

use std::collections::BTreeMap;

use hoptiller_policy::{LoadReport, Micros};

pub use schema::{
    ClassSettings, ClientSettings, Costs, DeduplicationScope, ExecutionSettings, Idempotency,
    Limits, LoadReporting, Rules, Settings, Tenant,
};

/// Returns the load report that consists of these named values, or `None` if there are no values. The names are those
/// of [`LoadReporting::names`].
pub fn load_report(values: &BTreeMap<String, serde_json::Value>) -> Option<LoadReport> {
    let mut report = LoadReport::default();
    for (name, value) in values {
        set_load_value(&mut report, name, value.as_f64());
    }
    (!values.is_empty()).then_some(report)
}

/// Sets one value of a load report by its name in the platform's protocol (`inflight`, `util`) or in the settings and
/// the simulator's protocol (`busy_reqs`, `x0`, `cpu_share`). Other names are ignored.
pub fn set_load_value(report: &mut LoadReport, name: &str, value: Option<f64>) {
    match name {
        "inflight" | "busy_reqs" => report.in_flight = value,
        "x0" => report.memory = value,
        "util" | "cpu_share" => report.cpu = value,
        _ => {}
    }
}

/// Returns the position of a name in a list.
pub fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|other| other == name)
}

/// Converts milliseconds to microseconds. Negative values and NaN become 0.
pub fn micros_from_millis(millis: f64) -> Micros {
    (millis * 1000.0).round().max(0.0) as Micros
}

/// Converts microseconds to milliseconds.
pub fn millis_from_micros(micros: Micros) -> f64 {
    micros as f64 / 1000.0
}
