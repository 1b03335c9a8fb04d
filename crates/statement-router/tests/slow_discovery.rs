//! Tests of a router whose discovery is slow.

mod common;

use std::time::Duration;

use common::TestCluster;
use hoptiller_mock_servers::discovery::DiscoveryFaults;
use serde_json::json;

/// Guards against a router that leaves each request to a slow discovery before its response, and never learns that an
/// engine has gone.
#[test]
fn a_discovery_that_answers_slower_than_the_timeout_is_heard() {
    let cluster =
        TestCluster::with_config(2, |v| v["discovery"]["within"] = json!("300ms"), |_| {});
    cluster.discovery.inject_faults(DiscoveryFaults {
        list_delay: Duration::from_secs(1),
        ..DiscoveryFaults::default()
    });
    cluster.crash_engine(0);
    cluster.wait_for_info("the crashed engine to be unlisted", |info| {
        info["engines"] == json!(1)
    });
    cluster.assert_served(&cluster.request("lookup", "SELECT 1 /* work=5ms */"));
}
