use super::*;
use serde_json::json;

#[test]
fn settings_that_can_not_work_are_reported_by_name() {
    let good = json!({ "fleet": "f", "keeper": 1, "dir": "d", "secret": "s",
        "keepers": { "1": "127.0.0.1:1", "2": "127.0.0.1:2", "3": "127.0.0.1:3" } });
    let read = Config::read(good.clone()).expect("good");
    assert_eq!(
        (read.lease_timing().term, read.peers().count()),
        (10_000_000, 2)
    );
    let with = |key: &str, value: serde_json::Value| {
        let mut config = good.clone();
        config[key] = value;
        Config::read(config).expect_err(key).to_string()
    };
    assert!(with("keeper", json!(4)).contains("one of the ids in keepers"));
    assert!(with("keepers", json!({ "1": "127.0.0.1:1" })).contains("three or five"));
    assert!(with("permit", json!("1ms")).contains("500ms"));
    assert!(with("permit", json!("soon")).contains("duration"));
    assert!(with("colour", json!("red")).contains("colour"));
    assert!(with("drift", json!(200_000)).contains("drift"));
}
