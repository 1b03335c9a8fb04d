//! Tests of the JSON of commands to engines.

use super::*;

#[test]
fn statement_command_carries_the_idempotency_key_only_if_present() {
    let command = StatementCommand {
        id: "9b1f",
        class: "post",
        idempotency_key: None,
        priority: Some(7),
        statement: "a",
    };
    let parse = |line: String| serde_json::from_str::<Value>(line.trim_end()).expect("JSON");
    let line = encode_statement(&command, 1500);
    assert!(line.ends_with('\n'));
    let expected = serde_json::json!({"t": "REQ", "i": "9b1f", "f": {"c": "post", "w": 1500, "weight": 3}, "b": "YQ=="});
    assert_eq!(parse(line), expected);
    let with_key = parse(encode_statement(
        &StatementCommand {
            idempotency_key: Some("k\"1"),
            priority: None,
            ..command
        },
        1,
    ));
    assert_eq!(
        with_key["f"],
        serde_json::json!({"c": "post", "w": 1, "i": "k\"1"})
    );
}
