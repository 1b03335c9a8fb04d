//! Clusters, statements and findings of the runaway tests.

use std::time::Duration;

use hoptiller_mock_servers::engine::EngineConfig;
use serde_json::{Value, json};

use super::{ClientRequest, INCARNATION, TestCluster};

/// A report whose runs all take the same time.
pub const REPORT: &str = "SELECT * FROM arrears /* work=400ms threads=1 */";
/// A client timeout that expires before the engines finish.
pub const SHORT_TIMEOUT: Duration = Duration::from_millis(7400);

/// Time that clients wait beyond their timeout, as timely responses can arrive late on a loaded machine.
const CLIENT_GRACE: Duration = Duration::from_secs(5);

/// Configures an engine with 32 cores that reports progress and kills statements on request.
pub fn reporting_engine(engine: &mut EngineConfig) {
    (engine.reports_progress, engine.supports_kill) = (true, true);
    (engine.work_model.cores, engine.work_model.io_slots) = (32.0, 64.0);
}

/// Adapts settings to engines that report progress and kill statements.
pub fn reporting_settings(value: &mut Value) {
    value["kinds"] = json!({ "std-8a": 32, "std-8b": 32 });
    let engines = value["engines"].as_object_mut().expect("an object");
    engines.insert("ends".into(), json!(true));
    engines.insert("pauses".into(), json!(true));
}

/// Returns a cluster whose router reports findings and holds runaways.
pub fn holding_cluster(engines: usize) -> TestCluster {
    TestCluster::with_config(engines, reporting_settings, reporting_engine)
        .with_client_grace(CLIENT_GRACE)
}

/// Returns a cluster whose router also kills runaways.
pub fn killing_cluster(engines: usize) -> TestCluster {
    let killing_settings = |value: &mut Value| {
        reporting_settings(value);
        value["runaways"] = json!({ "acts": ["name", "hold", "end"], "end_after": "500ms" });
    };
    TestCluster::with_config(engines, killing_settings, reporting_engine)
        .with_client_grace(CLIENT_GRACE)
}

/// Returns the text of a statement of class `report` with this much work.
pub fn report_statement(work: &str) -> String {
    format!("SELECT * FROM arrears /* work={work} threads=1 */")
}

/// Returns the request with a timeout of 20 s.
pub fn with_long_timeout(mut request: ClientRequest) -> ClientRequest {
    request.timeout = Duration::from_secs(20);
    request
}

/// Returns open and past findings with this verdict.
pub fn findings(shown: &Value, verdict: &str) -> Vec<Value> {
    let all = [&shown["findings"], &shown["past"]]
        .into_iter()
        .flat_map(|list| list.as_array().cloned().unwrap_or_default());
    all.filter(|finding| finding["verdict"] == json!(verdict))
        .collect()
}

/// Returns the cause and subject of each runaway.
pub fn runaways(shown: &Value) -> Vec<(String, String)> {
    let text = |finding: &Value, key: &str| finding[key].as_str().unwrap_or_default().to_owned();
    findings(shown, "runaway")
        .iter()
        .map(|finding| (text(finding, "cause"), text(finding, "subject")))
        .collect()
}

/// Returns whether there is an open or past runaway.
pub fn has_runaway(shown: &Value) -> bool {
    !findings(shown, "runaway").is_empty()
}

/// Returns whether there is an open or past notice.
pub fn has_notice(shown: &Value) -> bool {
    !findings(shown, "notice").is_empty()
}

/// Returns the number of open and past findings with any verdict.
pub fn count_findings(shown: &Value) -> usize {
    ["findings", "past"]
        .iter()
        .map(|key| shown[key].as_array().map_or(0, Vec::len))
        .sum()
}

/// Returns the subject of findings about a statement.
pub fn subject_of(request: &ClientRequest) -> String {
    // The router numbers statements in the order of their arrival, which is that of these requests.
    format!("statement r1/{:05}_{INCARNATION}", request.id)
}
