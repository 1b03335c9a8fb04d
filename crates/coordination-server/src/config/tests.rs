use super::*;
use serde_json::json;

#[test]
fn invalid_settings_are_reported_by_name() {
    let valid = json!({ "fleet": "f", "keeper": 1, "dir": "d", "secret": "s",
        "keepers": { "1": "127.0.0.1:1", "2": "127.0.0.1:2", "3": "127.0.0.1:3" } });
    let config = Config::read(valid.clone()).expect("valid");
    assert_eq!(
        (config.lease_timing().term, config.peers().count()),
        (10_000_000, 2)
    );
    let error_with = |key: &str, value: serde_json::Value| {
        let mut config = valid.clone();
        config[key] = value;
        Config::read(config).expect_err(key).to_string()
    };
    assert!(error_with("keeper", json!(4)).contains("one of the ids in keepers"));
    assert!(error_with("keepers", json!({ "1": "127.0.0.1:1" })).contains("three or five"));
    assert!(error_with("permit", json!("1ms")).contains("500ms"));
    assert!(error_with("permit", json!("soon")).contains("duration"));
    assert!(error_with("colour", json!("red")).contains("colour"));
    assert!(error_with("drift", json!(200_000)).contains("drift"));
}
