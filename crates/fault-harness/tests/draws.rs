//! Random draws of scenarios. Recorded runs name their seeds, so the draws must not change: the fixtures contain the
//! draws of earlier versions.

use hoptiller_fault_harness::fleet_scenario::Timeline;
use hoptiller_fault_harness::router_scenario::{RouterClientDraws, RouterLoadConfig};
use hoptiller_fault_harness::{ClientLoadConfig, StatementDraws};
use serde_json::{Map, Value, json};

const ROUTERS: usize = 4;
const REPLICAS: usize = 3;

/// Returns a timeline with random events. Their draws depend on the names of the documents, but not on the contents of
/// the documents or on the clients.
fn timeline_with_random_events() -> Timeline {
    let document = json!({
        "form": 1, "kinds": { "a": 8 }, "engines": {},
        "classes": { "lookup": { "aim": "1s", "patience": "7s", "repeat": "safe" } },
        "rules": { "start_capacity": 0.3, "ramp": "14s", "overload": 3, "fall": "2s" }
    });
    let names = ["first", "two", "one", "ordered", "never", "rested"];
    let documents: Map<String, Value> = names
        .iter()
        .map(|name| ((*name).to_owned(), document.clone()))
        .collect();
    serde_json::from_value(json!({
        "lasts": "30s", "random_every": "2s", "documents": documents,
        "clients": { "count": 1, "pause": "1s", "mix": [] }
    }))
    .expect("a timeline")
}

#[test]
fn a_seed_draws_the_same_events_in_every_version() {
    let timeline = timeline_with_random_events();
    let mut drawn = String::new();
    for seed in [1, 7, 42] {
        for scheduled in timeline.random_events(seed, ROUTERS, REPLICAS) {
            drawn.push_str(&format!("{seed} {} {}\n", scheduled.at, scheduled.event));
        }
    }
    assert_eq!(drawn, include_str!("fixtures/random-events.txt"));
}

#[test]
fn a_seed_draws_the_same_statements_of_a_fleet_in_every_version() {
    let config: ClientLoadConfig = serde_json::from_value(json!({
        "count": 3, "pause": "300ms",
        "mix": [
            { "class": "lookup", "part": 80, "text": "SELECT balance", "patience": "7.5s" },
            { "class": "report", "part": 14, "text": "SELECT arrears", "patience": "25s" },
            { "class": "rent-load", "part": 6, "text": "INSERT rent", "patience": "25s" },
        ],
    }))
    .expect("a load");
    let mut drawn = String::new();
    for client in 0..3 {
        let mut draws = StatementDraws::new(&config, 7, client);
        for _ in 0..20 {
            let pause = draws.pause().as_micros();
            let router = draws.router(ROUTERS);
            let class = &draws.class().expect("a class").class;
            drawn.push_str(&format!("{client} {pause} {router} {class}\n"));
        }
    }
    assert_eq!(drawn, include_str!("fixtures/fleet-statements.txt"));
}

#[test]
fn a_seed_draws_the_same_statements_of_a_router_scenario_in_every_version() {
    let config: RouterLoadConfig = serde_json::from_value(json!({
        "count": 2, "pause": "1.8s", "again": 0.5, "leave": 0.1,
        "mix": [
            { "class": "lookup", "part": 80, "text": "SELECT balance", "patience": "7.5s" },
            { "class": "report", "part": 14, "text": "SELECT arrears", "patience": "25s" },
            { "class": "rent-load", "part": 6, "text": "INSERT rent", "patience": "25s", "keys": 40 },
        ],
    }))
    .expect("clients");
    let mut drawn = String::new();
    for client in 0..3 {
        let mut draws = RouterClientDraws::new(&config, 7, client);
        drawn.push_str(&format!("client {client} retries {}\n", draws.resubmits()));
        for _ in 0..25 {
            let pause = draws.pause(1.0);
            let statement = draws.statement();
            drawn.push_str(&format!(
                "{} {} {:?} {:?} {:?}\n",
                pause.as_nanos(),
                statement.trace,
                statement.ordering_key,
                statement.options.abandon_after,
                statement.timeout
            ));
        }
    }
    assert_eq!(drawn, include_str!("fixtures/drawn-statements.txt"));
}
