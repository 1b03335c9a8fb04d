//! Tests of reading a folder of record files.

use hoptiller_audit::{Outcome, Record, read_records};

#[test]
fn malformed_lines_are_listed_with_file_and_line() {
    let dir = std::env::temp_dir().join(format!("hoptiller-audit-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let record = Record::Answered {
        at: 5,
        request: 1,
        outcome: Outcome::Served,
        error: None,
    };
    let valid_line = serde_json::to_string(&record).expect("text");
    let bytes = [
        valid_line.as_bytes(),
        b"\n{\"what\":\"fel\n\xff\xfe\n",
        &valid_line.as_bytes()[..valid_line.len() - 3],
    ]
    .concat();
    std::fs::write(dir.join("a.jsonl"), bytes).expect("written");
    let files = read_records(&dir).expect("read");
    std::fs::remove_dir_all(&dir).expect("removed");
    assert_eq!(files.records.len(), 1);
    assert_eq!(files.malformed.len(), 3);
    let first = files.malformed[0].to_string();
    let expected = format!("{}:2: ", dir.join("a.jsonl").display());
    assert!(first.starts_with(&expected), "{first}");
}
