//! Documents for tests.

use hoptiller_coordination::Document;

/// Returns a document with three classes, two machine kinds and three zones.
pub fn document() -> Document {
    let text = r#"{
        "form": 1, "kinds": {"a": 8, "b": 8}, "zones": ["x", "y", "z"], "tenants": {"t": 1},
        "classes": {
            "lookup": {"aim": "1.5s", "patience": "7s", "repeat": "safe"},
            "report": {"aim": "2s", "patience": "25s", "repeat": "safe", "worth": 6, "threads": 2, "kinds": ["a"]},
            "load": {"aim": "3s", "patience": "25s", "repeat": "never", "holds": true}
        },
        "default_class": "lookup",
        "engines": {"max_attempts": 3},
        "rules": {"start_capacity": 0.3, "ramp": "14s", "overload": 3, "fall": "2s"}
    }"#;
    Document::from_json(text.as_bytes()).expect("the document is valid")
}
